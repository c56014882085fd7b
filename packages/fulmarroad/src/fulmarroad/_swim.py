"""Membership by probes and gossip: a state machine without network or clock.

Each period a router probes one other member and answers about one probe, whatever the
size of the fleet. Member updates are piggybacked on these packets. A member that
answers neither direct nor indirect probes becomes suspect, and dead if it doesn't
refute that in time.
"""

from __future__ import annotations

import random
from collections.abc import Collection, Mapping

from fulmarroad._members import Member, MemberChange
from fulmarroad._membership_view import MembershipView
from fulmarroad._messages import (
    Ack,
    MembershipMessage,
    MembersReply,
    MembersRequest,
    MemberUpdate,
    Ping,
    PingRequest,
)
from fulmarroad._packets import Outgoing, PacketBuilder
from fulmarroad._pages import MemberPageSync
from fulmarroad._probes import Probe, ProbeOrder, Relays
from fulmarroad._versions import VersionTracker
from fulmarroad._vmlist import VmEntry, VmList
from fulmarroad.types import DataCentreName, MemberState, RouterName

TICK_S = 0.1
"""Interval between calls of `tick`, in seconds."""

PROBE_PERIOD_S = 1.0
"""Time from one probe to the next, in seconds, with a random jitter of a tenth.

Some member probes each VM about once a second, so the first unanswered probe comes
about a second after a failure. Two probes a second would halve that delay and double
the permanent traffic. The jitter keeps routers that started together from probing in
step.
"""

PROBE_TIMEOUT_S = 0.3
"""Timeout of a direct probe in seconds, a hundred round trips between data centres."""

PROBE_DEADLINE_S = 0.6
"""Time from a probe until its target is suspected, in seconds.

Indirect probes get as long as the direct probe had.
"""

INDIRECT_PROBES = 3
"""Number of members that are asked to probe one that did not answer.

A single broken link then causes no suspicion. With a tenth of the packets lost, the
direct and all indirect probes fail together less than once in a hundred probes.
"""

FANOUT = 3
"""Number of members that a table version or an urgent update is pushed to at once."""

MIN_PUSH_INTERVAL_S = 0.5
"""Minimum time between two pushes in seconds; it limits them if many VMs fail."""

JOIN_TIMEOUT_S = 3.0
"""Time without any answer after which a router assumes it is alone, in seconds."""


class Swim:
    """Run failure detection and decide which packets to send.

    `me` holds this router's name, its addresses and, as its incarnation, its boot time
    in milliseconds since 1970, so that a restarted router supersedes the updates about
    its previous run.
    """

    def __init__(self, me: MemberUpdate, *, seed: int, now: float) -> None:
        self._rng = random.Random(f"{seed} {me.router}")
        self._view = MembershipView(me, now)
        self._timers = self._view.timers
        self._version_tracker = VersionTracker()
        self._packets = PacketBuilder(self._view, self._version_tracker, self._rng)
        self._pages = MemberPageSync(self._view, self._packets, now)
        self._order = ProbeOrder(self._rng)
        self._unreachable_order = ProbeOrder(self._rng)
        self._relays = Relays()
        self._probe: Probe | None = None
        self._pending_probes: list[RouterName] = []
        self._started = now
        self._next_period = now
        self._last_push = now - MIN_PUSH_INTERVAL_S

    @property
    def me(self) -> MemberUpdate:
        """Return this router's own member update."""
        return self._view.me

    @property
    def vm_list(self) -> VmList:
        """Return the current VM list, which assigns units and key groups to VMs."""
        return self._view.vm_list

    @property
    def table_version(self) -> int:
        """Return the table version that this router announces as in force."""
        return self._version_tracker.own

    def members(self) -> Mapping[RouterName, Member]:
        """Return the state of every other member, dead ones included."""
        return self._view.table.members

    def live(self, data_centre: DataCentreName | None = None) -> tuple[RouterName, ...]:
        """Return the VMs that may hold roles: alive or suspect, not leaving.

        This router is included unless it is leaving.
        """
        return self._view.live(data_centre)

    def changes(self) -> list[MemberChange]:
        """Return the member changes since the last call."""
        return self._view.table.changes()

    def recovering_from_pause(self, now: float) -> bool:
        """Return whether this process has just resumed from a pause."""
        return self._timers.recovering_from_pause(now)

    def joined(self, now: float) -> bool:
        """Return whether the members are known, or no other router answered in time."""
        if self._pages.complete:
            return True
        return not self._view.others() and now - self._started >= JOIN_TIMEOUT_S

    def highest_reported_version(self) -> tuple[int, RouterName]:
        """Return the highest table version of other routers, and one that has it.

        Return `(0, "")` if no reachable router has reported a version.
        """
        return self._version_tracker.highest(self._view.is_reachable)

    def versions(self) -> Mapping[RouterName, int]:
        """Return the table version that each router last reported.

        The version in force there now may differ.
        """
        return self._version_tracker.versions

    def hint(self, vms: Collection[VmEntry], now: float) -> list[Outgoing]:
        """Replace the VM list, which is a hint about which VMs to probe.

        If the list changed and no other live member is known, some VMs are probed now.
        """
        changed = self._view.vm_list.replace(vms)
        if not changed or self._view.others():
            return []
        return self._probe_unreachable(FANOUT)

    def announce_version(self, version: int, now: float) -> list[Outgoing]:
        """Push a higher table version that is now in force here to some members."""
        if not self._version_tracker.raise_own(version):
            return []
        # Each router that adopts the version pushes it too, and ordinary probes reach
        # the few that are missed. More rounds of pushes were no faster among 370
        # routers.
        return self._packets.push(FANOUT)

    def probe_now(self, router: RouterName, now: float) -> list[Outgoing]:
        """Probe a member before its turn, for example after its link broke."""
        if router not in self._pending_probes:
            self._pending_probes.append(router)
        return self._begin_probe(now)

    def leave(self, now: float) -> list[Outgoing]:
        """Announce that this router is leaving, so that it gets no new roles."""
        if not self._view.leave():
            return []
        return self._packets.push(2 * FANOUT)

    def tick(self, now: float) -> list[Outgoing]:
        """Advance all timers and return the packets that are due."""
        if self._timers.detect_pause(now, self._view.count):
            self._reset_after_pause(now)
        out = self._check_probe(now)
        out += self._check_suspects(now)
        if now >= self._next_period:
            out += self._begin_period(now)
        out += self._begin_probe(now)
        out += self._pages.tick(now)
        out += self._push(now)
        return out

    def handle(self, message: MembershipMessage, now: float) -> list[Outgoing]:
        """Process a message and return the replies to it."""
        if message.sender == self.me.router:
            return []
        if isinstance(message, Ping) and message.target != self.me.router:
            return []  # this VM reuses the address of a VM that was removed
        propagate = not isinstance(message, MembersReply)
        for update in message.updates:
            self._view.merge_update(update, now, propagate=propagate)
        self._version_tracker.record_version(message.sender, message.table_version)
        return self._reply(message, now)

    def _reply(self, message: MembershipMessage, now: float) -> list[Outgoing]:
        match message:
            case Ping():
                me = self.me
                return self._packets.ack(
                    message.sender, message.sequence, me.router, me.incarnation
                )
            case PingRequest():
                return self._relay_probe(message, now)
            case Ack():
                return self._handle_ack(message)
            case MembersRequest():
                return self._pages.serve_page(message)
            case MembersReply():
                return self._pages.receive_page(message, now)

    def _reset_after_pause(self, now: float) -> None:
        """Drop the state from before a pause and request the members again."""
        self._probe = None
        self._view.clear_stale_updates()
        self._pages.restart(now)

    def _begin_period(self, now: float) -> list[Outgoing]:
        self._next_period = now + PROBE_PERIOD_S * self._rng.uniform(0.9, 1.1)
        self._relays.expire(now)
        for router in self._view.table.remove_expired(now):
            self._version_tracker.remove(router)
        others = self._view.others()
        target = self._order.next(others)
        if target is not None and not self._pending_probes:
            self._pending_probes.append(target)
        return self._probe_unreachable(1 if others else FANOUT)

    def _begin_probe(self, now: float) -> list[Outgoing]:
        if self._probe is not None or not self._pending_probes:
            return []
        target = self._pending_probes.pop(0)
        if not self._view.is_reachable(target):
            return []
        self._probe = Probe(target, self._packets.next_sequence(), now)
        return self._packets.ping(target, self._probe.sequence)

    def _check_probe(self, now: float) -> list[Outgoing]:
        probe = self._probe
        if probe is None:
            return []
        waited = now - probe.sent
        if waited >= PROBE_DEADLINE_S:
            self._probe = None
            self._suspect(probe.target, now)
        elif waited >= PROBE_TIMEOUT_S and not probe.indirect_probe_sent:
            probe.indirect_probe_sent = True
            return self._send_indirect_probes(probe)
        return []

    def _send_indirect_probes(self, probe: Probe) -> list[Outgoing]:
        out = self._packets.ping(probe.target, probe.sequence)
        for relay in self._packets.sample_members(
            INDIRECT_PROBES, exclude=probe.target
        ):
            out += self._packets.request(relay, probe.target, probe.sequence)
        return out

    def _suspect(self, router: RouterName, now: float) -> None:
        member = self._view.get(router)
        if member is None or self._timers.recovering_from_pause(now):
            return
        if member.state is MemberState.ALIVE:
            cause = "no answer to probes"
            self._view.declare_state(router, MemberState.SUSPECT, cause, now)
        if member.state is not MemberState.DEAD:
            # A leaving member stays leaving; as suspect it could get roles again.
            self._timers.record_own_suspicion(router, self._view.count, now)

    def _check_suspects(self, now: float) -> list[Outgoing]:
        for router in self._timers.expired_suspects(now):
            cause = "suspicion not refuted"
            self._view.declare_state(router, MemberState.DEAD, cause, now)
        reminded = self._timers.reminders(now)
        return [row for router in reminded for row in self._packets.ping(router)]

    def _probe_unreachable(self, count: int) -> list[Outgoing]:
        """Probe a few dead members and unknown VMs of the list.

        Without these probes the two sides of a partition that declared each other dead
        would never rejoin.
        """
        unreachable = self._view.unreachable()
        chosen = dict.fromkeys(
            self._unreachable_order.next(unreachable) for _ in range(count)
        )
        return [
            row for router in chosen if router for row in self._packets.ping(router)
        ]

    def _relay_probe(self, request: PingRequest, now: float) -> list[Outgoing]:
        sequence = self._packets.next_sequence()
        self._relays.add(sequence, request, now)
        return self._packets.ping(request.target, sequence)

    def _handle_ack(self, ack: Ack) -> list[Outgoing]:
        probe = self._probe
        if probe and (probe.sequence, probe.target) == (ack.sequence, ack.target):
            self._probe = None
        member = self._view.get(ack.target)
        if member is not None and member.state is MemberState.LEAVING:
            self._timers.clear(ack.target)  # a leaving member sends no refutation
        request = self._relays.finish(ack.sequence)
        if request is None or request.target != ack.target:
            return []
        return self._packets.ack(
            request.sender, request.sequence, ack.target, ack.incarnation
        )

    def _push(self, now: float) -> list[Outgoing]:
        if not self._view.push_pending or now - self._last_push < MIN_PUSH_INTERVAL_S:
            return []
        self._last_push = now
        self._view.push_pending = False
        return self._packets.push(FANOUT)
