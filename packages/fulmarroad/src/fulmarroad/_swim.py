"""Membership by probes and gossip: a state machine without network or clock.

Each period a router probes one other member and answers about one probe, whatever the
size of the fleet, and news ride on these packets. A member that answers neither
directly nor through others is suspected, can refute, and only then counts as dead.
"""

from __future__ import annotations

import random
from collections.abc import Collection, Mapping

from fulmarroad._members import Member, MemberChange
from fulmarroad._membership_view import MembershipView
from fulmarroad._messages import (
    Ack,
    MembersGiven,
    MembershipMessage,
    MembersWanted,
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
"""How often `tick` is to be called, in seconds."""

PERIOD_S = 1.0
"""Time from one probe to the next, in seconds, give or take a tenth.

Each VM is probed about once a second by somebody, so a death is met about a second
after it happened. Two probes a second would halve that and double the one cost that
never ends. The tenth keeps routers that started together from probing in step.
"""

PROBE_TIMEOUT_S = 0.3
"""Wait for a direct answer: a hundred times the round trip between data centres."""

VERDICT_S = 0.6
"""Wait for any answer: the helpers get as long again as the direct probe."""

HELPERS = 3
"""Members asked to probe one that did not answer.

One broken link then accuses nobody, and with a tenth of the packets lost all ways fail
together less than once in a hundred probes.
"""

FANOUT = 3
"""Members told at once of a new table version or of an own verdict."""

PUSH_GAP_S = 0.5
"""Least time between two pushes, which bounds them when many VMs fail at once."""

JOIN_WAIT_S = 3.0
"""Wait for any answer before a router concludes that it is alone, in seconds."""


class Swim:
    """Decide what to send and whom to believe alive.

    `me` carries this router's name, addresses and, as its incarnation, its boot time in
    milliseconds since 1970, so that a restarted router beats what is still said of its
    former life.
    """

    def __init__(self, me: MemberUpdate, *, seed: int, now: float) -> None:
        self._rng = random.Random(f"{seed} {me.router}")
        self._view = MembershipView(me, now)
        self._clock = self._view.clock
        self._version_tracker = VersionTracker()
        self._packets = PacketBuilder(self._view, self._version_tracker, self._rng)
        self._pages = MemberPageSync(self._view, self._packets, now)
        self._order = ProbeOrder(self._rng)
        self._lost_order = ProbeOrder(self._rng)
        self._relays = Relays()
        self._probe: Probe | None = None
        self._out_of_turn: list[RouterName] = []
        self._started = now
        self._next_period = now
        self._pushed = now - PUSH_GAP_S

    @property
    def me(self) -> MemberUpdate:
        """Return what this router says of itself."""
        return self._view.me

    @property
    def vm_list(self) -> VmList:
        """Return the VM list in force, by which units and key groups go."""
        return self._view.vm_list

    @property
    def table_version(self) -> int:
        """Return the table version that this router says is in force here."""
        return self._version_tracker.own

    def members(self) -> Mapping[RouterName, Member]:
        """Return all that is believed of the other VMs, dead ones included."""
        return self._view.table.members

    def live(self, data_centre: DataCentreName | None = None) -> tuple[RouterName, ...]:
        """Return the VMs that may hold roles: alive or suspect, not leaving.

        This router is one of them, unless it leaves.
        """
        return self._view.live(data_centre)

    def changes(self) -> list[MemberChange]:
        """Return the changes of belief since last asked."""
        return self._view.table.changes()

    def recovering_from_pause(self, now: float) -> bool:
        """Tell whether this process has just not run for a while."""
        return self._clock.recovering_from_pause(now)

    def joined(self, now: float) -> bool:
        """Tell whether the members are known, or nobody answers."""
        if self._pages.complete:
            return True
        return not self._view.others() and now - self._started >= JOIN_WAIT_S

    def highest_reported_version(self) -> tuple[int, RouterName]:
        """Return the highest table version in force at another router, and which.

        Return `(0, "")` if nobody was heard.
        """
        return self._version_tracker.highest(self._view.is_reachable)

    def versions(self) -> Mapping[RouterName, int]:
        """Return the table version last heard of each router; it lags."""
        return self._version_tracker.versions

    def hint(self, vms: Collection[VmEntry], now: float) -> list[Outgoing]:
        """Take the VM list in as a hint whom to probe."""
        changed = self._view.vm_list.offer(vms)
        if not changed or self._view.others():
            return []
        return self._probe_lost(FANOUT)

    def announce_version(self, version: int, now: float) -> list[Outgoing]:
        """Tell some members at once that a higher table version is in force here."""
        if not self._version_tracker.raise_own(version):
            return []
        # Each router that takes the version on does the same, and ordinary probes reach
        # the few that are left out; more rounds of this were no faster among 370.
        return self._packets.push(FANOUT)

    def probe_now(self, router: RouterName, now: float) -> list[Outgoing]:
        """Probe a member out of turn, as when a link to it broke."""
        if router not in self._out_of_turn:
            self._out_of_turn.append(router)
        return self._begin_probe(now)

    def leave(self, now: float) -> list[Outgoing]:
        """Say that this router goes; it gets no new role from then on."""
        if not self._view.leave():
            return []
        return self._packets.push(2 * FANOUT)

    def tick(self, now: float) -> list[Outgoing]:
        """Return what is due now."""
        if self._clock.detect_pause(now, self._view.count):
            self._start_again(now)
        out = self._watch_probe(now)
        out += self._watch_suspects(now)
        if now >= self._next_period:
            out += self._begin_period(now)
        out += self._begin_probe(now)
        out += self._pages.tick(now)
        out += self._push(now)
        return out

    def handle(self, message: MembershipMessage, now: float) -> list[Outgoing]:
        """Take a message in and return the answers to it."""
        if message.sender == self.me.router:
            return []
        if isinstance(message, Ping) and message.target != self.me.router:
            return []  # this VM was given the address of one that is gone
        repeat = not isinstance(message, MembersGiven)
        for update in message.updates:
            self._view.merge_update(update, now, repeat=repeat)
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
                return self._probe_for(message, now)
            case Ack():
                return self._answered(message)
            case MembersWanted():
                return self._pages.serve_page(message)
            case MembersGiven():
                return self._pages.receive_page(message, now)

    def _start_again(self, now: float) -> None:
        """Judge nothing by what was open before a pause, and ask what happened."""
        self._probe = None
        self._view.start_again()
        self._pages.begin(now)

    def _begin_period(self, now: float) -> list[Outgoing]:
        self._next_period = now + PERIOD_S * self._rng.uniform(0.9, 1.1)
        self._relays.expire(now)
        for router in self._view.table.forget(now):
            self._version_tracker.forget(router)
        others = self._view.others()
        target = self._order.next(others)
        if target is not None and not self._out_of_turn:
            self._out_of_turn.append(target)
        return self._probe_lost(1 if others else FANOUT)

    def _begin_probe(self, now: float) -> list[Outgoing]:
        if self._probe is not None or not self._out_of_turn:
            return []
        target = self._out_of_turn.pop(0)
        if not self._view.is_reachable(target):
            return []
        self._probe = Probe(target, self._packets.next_sequence(), now)
        return self._packets.ping(target, self._probe.sequence)

    def _watch_probe(self, now: float) -> list[Outgoing]:
        probe = self._probe
        if probe is None:
            return []
        waited = now - probe.sent
        if waited >= VERDICT_S:
            self._probe = None
            self._accuse(probe.target, now)
        elif waited >= PROBE_TIMEOUT_S and not probe.indirect_probe_sent:
            probe.indirect_probe_sent = True
            return self._ask_helpers(probe)
        return []

    def _ask_helpers(self, probe: Probe) -> list[Outgoing]:
        out = self._packets.ping(probe.target, probe.sequence)
        for helper in self._packets.some(HELPERS, without=probe.target):
            out += self._packets.request(helper, probe.target, probe.sequence)
        return out

    def _accuse(self, router: RouterName, now: float) -> None:
        member = self._view.get(router)
        if member is None or self._clock.recovering_from_pause(now):
            return
        if member.state is MemberState.ALIVE:
            cause = "no answer to probes"
            self._view.declare_state(router, MemberState.SUSPECT, cause, now)
        if member.state is not MemberState.DEAD:
            # A leaving one keeps its state, or it could get roles again.
            self._clock.record_own_suspicion(router, self._view.count, now)

    def _watch_suspects(self, now: float) -> list[Outgoing]:
        for router in self._clock.expired_suspects(now):
            cause = "suspicion not refuted"
            self._view.declare_state(router, MemberState.DEAD, cause, now)
        reminded = self._clock.reminders(now)
        return [row for router in reminded for row in self._packets.ping(router)]

    def _probe_lost(self, count: int) -> list[Outgoing]:
        """Probe dead members and unknown VMs of the list, a few each period.

        Without it two halves that counted each other dead would never meet again.
        """
        lost = self._view.lost()
        chosen = dict.fromkeys(self._lost_order.next(lost) for _ in range(count))
        return [
            row for router in chosen if router for row in self._packets.ping(router)
        ]

    def _probe_for(self, request: PingRequest, now: float) -> list[Outgoing]:
        sequence = self._packets.next_sequence()
        self._relays.add(sequence, request, now)
        return self._packets.ping(request.target, sequence)

    def _answered(self, ack: Ack) -> list[Outgoing]:
        probe = self._probe
        if probe and (probe.sequence, probe.target) == (ack.sequence, ack.target):
            self._probe = None
        member = self._view.get(ack.target)
        if member is not None and member.state is MemberState.LEAVING:
            self._clock.clear(ack.target)  # no refutation is due that would do it
        request = self._relays.answered(ack.sequence)
        if request is None or request.target != ack.target:
            return []
        return self._packets.ack(
            request.sender, request.sequence, ack.target, ack.incarnation
        )

    def _push(self, now: float) -> list[Outgoing]:
        if not self._view.urgent or now - self._pushed < PUSH_GAP_S:
            return []
        self._pushed = now
        self._view.urgent = False
        return self._packets.push(FANOUT)
