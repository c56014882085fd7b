"""Task that owns a router's coordination state and its streams to peers.

Requests, peers, membership and configuration send it typed commands. It answers a
request on the reply channel of its command.
"""

from __future__ import annotations

import logging
import math
from collections.abc import Callable, Mapping
from typing import Any

import anyio
from anyio.abc import TaskGroup
from anyio.streams.memory import MemoryObjectReceiveStream
from attrs import define

from fulmarroad import _messages as m
from fulmarroad._commands import (
    Attached,
    Cancel,
    Detached,
    FromPeer,
    FromScheduler,
    LinkLost,
    LinkUp,
    NoteFinished,
    NoteProgress,
    NoteStarted,
    RejectDemand,
    Reply,
    SetMembers,
    SetTables,
    SetVms,
    StepDownAll,
    Submit,
    Tick,
)
from fulmarroad._follower import Follower
from fulmarroad._following import Ask, Decision, Granted, Rejected, SendTo
from fulmarroad._grpc import Outbox, PeerStream, TrafficCount
from fulmarroad._peer_client import PeerAddress
from fulmarroad._roles import RoleOutput, Roles, ToFollower
from fulmarroad.audit import AuditTrail, Subject
from fulmarroad.events import Event, emit
from fulmarroad.exceptions import TransportError
from fulmarroad.shifting import CentreChange, CentreState
from fulmarroad.types import Outcome, RouterName

logger = logging.getLogger("fulmarroad.coordination")

Dial = Callable[[RouterName, PeerAddress], PeerStream]

TICK_S = 0.05
"""Interval at which progress reports are sent and deadlines are checked."""

PAUSE_S = 1.0
"""Gap between ticks above which a pause of the process is logged."""

REDIAL_S = 0.2
"""Delay before a broken stream to a peer may be reopened."""


@define
class _Link:
    """Hold a stream to a peer; `outbox` is set while the stream is open."""

    scope: anyio.CancelScope
    outbox: Outbox | None = None


def _declined_report(granted: Granted) -> m.Finished:
    lease = granted.lease
    return m.Finished(lease.shard, lease.lease_id, Outcome.DECLINED, 0.0)


class Coordinator:
    """Run the follower, the hosted schedulers and the streams to peers in one task."""

    def __init__(
        self,
        router: RouterName,
        follower: Follower,
        roles: Roles,
        traffic: TrafficCount,
        audit: AuditTrail,
        *,
        dial: Dial,
        clock: Callable[[], float],
    ) -> None:
        self._router = router
        self._follower = follower
        self._roles = roles
        self._traffic = traffic
        self._audit = audit
        self._dial = dial
        self._clock = clock
        self._send, self._receive = anyio.create_memory_object_stream[Any](math.inf)
        self._replies: dict[str, Reply] = {}
        self._links: dict[RouterName, _Link] = {}
        self._followers: dict[RouterName, tuple[int, Callable[[Any], None]]] = {}
        self._addresses: Mapping[RouterName, PeerAddress] = {}
        self._last_handle = 0
        self._last_tick_at = clock()
        self._group: TaskGroup | None = None

    @property
    def follower(self) -> Follower:
        """Return the follower; callers must only read from it."""
        return self._follower

    @property
    def roles(self) -> Roles:
        """Return the hosted schedulers; callers must only read from them."""
        return self._roles

    def send_command(self, command: Any) -> None:
        """Queue a command without blocking."""
        self._send.send_nowait(command)

    async def request(self, ask: Ask) -> Granted | Rejected:
        """Return a lease or a rejection; withdraw the demand if cancelled."""
        send, receive = anyio.create_memory_object_stream[Granted | Rejected](1)
        self.send_command(Submit(ask, send))
        try:
            return await receive.receive()
        except BaseException:
            self._cancel_request(ask, receive)
            raise
        finally:
            receive.close()

    def _cancel_request(
        self, ask: Ask, receive: MemoryObjectReceiveStream[Granted | Rejected]
    ) -> None:
        """Withdraw a cancelled demand, or return its lease if it was granted meanwhile.

        Otherwise an unused lease would occupy a unit until its deadline.
        """
        try:
            answer = receive.receive_nowait()
        except anyio.WouldBlock:
            self.send_command(Cancel(ask.demand_id))
            return
        if isinstance(answer, Granted):
            self.send_command(NoteFinished(_declined_report(answer)))

    def on_attached(self, peer: RouterName, send: Callable[[Any], None]) -> int:
        """Register a stream opened by a peer, and return a handle for it."""
        self._last_handle += 1
        self.send_command(Attached(peer, self._last_handle, send))
        return self._last_handle

    def on_message(self, peer: RouterName, message: Any) -> None:
        """Queue a message received on a peer's stream."""
        self.send_command(FromPeer(peer, message))

    def on_detached(self, peer: RouterName, handle: int) -> None:
        """Queue the end of the peer's stream with this handle."""
        self.send_command(Detached(peer, handle))

    async def run(self) -> None:
        """Handle commands until cancelled."""
        async with anyio.create_task_group() as group:
            self._group = group
            group.start_soon(self._run_ticks)
            async for command in self._receive:
                self._handle(command, self._clock())

    async def _run_ticks(self) -> None:
        while True:
            await anyio.sleep(TICK_S)
            self.send_command(Tick())

    def _handle(self, command: Any, now: float) -> None:
        handler = self._HANDLERS[type(command)]
        handler(self, command, now)

    def _submit(self, command: Submit, now: float) -> None:
        self._replies[command.ask.demand_id] = command.reply
        self._apply_decisions(self._follower.submit(command.ask, now), now)

    def _cancel(self, command: Cancel, now: float) -> None:
        """Withdraw a demand; a grant that arrives later is returned by `_reply`."""
        if self._replies.pop(command.demand_id, None) is not None:
            self._apply_decisions(self._follower.withdraw(command.demand_id, now), now)

    def _reject_demand(self, command: RejectDemand, now: float) -> None:
        demand_id = command.rejection.demand_id
        if demand_id in self._replies:
            self._apply_decisions(self._follower.withdraw(demand_id, now), now)
            self._reply(command.rejection, now)

    def _note_started(self, command: NoteStarted, now: float) -> None:
        self._apply_decisions(self._follower.started(command.lease_id, now), now)

    def _note_progress(self, command: NoteProgress, now: float) -> None:
        self._follower.progress(
            command.lease_id, command.service, command.first_s, command.gap_s
        )

    def _note_finished(self, command: NoteFinished, now: float) -> None:
        self._apply_decisions(self._follower.finished(command.report, now), now)

    def _set_tables(self, command: SetTables, now: float) -> None:
        self._send_role_outputs(self._roles.set_tables(command.tables, now), now)
        self._apply_decisions(self._follower.set_tables(command.tables, now), now)

    def _set_members(self, command: SetMembers, now: float) -> None:
        self._addresses = command.addresses
        self._send_role_outputs(self._roles.set_live(command.live, now), now)
        self._apply_decisions(self._follower.set_live(command.live, now), now)

    def _set_vms(self, command: SetVms, now: float) -> None:
        self._roles.set_vms(command.vms, now)

    def _step_down(self, command: StepDownAll, now: float) -> None:
        self._send_role_outputs(self._roles.step_down(now), now)
        command.done.set()

    def _tick(self, command: Tick, now: float) -> None:
        if now - self._last_tick_at > PAUSE_S:
            emit(logger, Event.CLOCK_PAUSE, seconds=round(now - self._last_tick_at, 3))
        self._last_tick_at = now
        self._apply_decisions(self._follower.tick(now), now)
        self._send_role_outputs(self._roles.tick(now), now)
        self._open_wanted_links()

    def _from_peer(self, command: FromPeer, now: float) -> None:
        if isinstance(command.message, m.ServiceReport):
            self._send_role_outputs(
                self._roles.receive_report(command.message, now), now
            )
            return
        self._send_role_outputs(
            self._roles.handle(command.peer, command.message, now), now
        )

    def _from_scheduler(self, command: FromScheduler, now: float) -> None:
        self._apply_decisions(
            self._follower.handle(command.peer, command.message, now), now
        )

    def _link_up(self, command: LinkUp, now: float) -> None:
        self._apply_decisions(self._follower.link_up(command.peer, now), now)

    def _link_lost(self, command: LinkLost, now: float) -> None:
        self._apply_decisions(self._follower.link_lost(command.peer, now), now)

    def _attached(self, command: Attached, now: float) -> None:
        self._followers[command.peer] = (command.handle, command.send)

    def _detached(self, command: Detached, now: float) -> None:
        """Remove a follower's stream, unless the follower has opened a newer one."""
        handle, _ = self._followers.get(command.peer, (0, None))
        if handle != command.handle:
            return
        del self._followers[command.peer]
        self._send_role_outputs(self._roles.link_lost(command.peer, now), now)

    def _apply_decisions(self, decisions: list[Decision], now: float) -> None:
        for decision in decisions:
            if isinstance(decision, SendTo):
                self._send_to(decision, now)
            else:
                self._reply(decision, now)
        for change in self._follower.changes():
            emit(
                logger,
                Event.FOLLOW_CHANGED,
                shard=str(change.shard),
                before=change.before,
                after=change.after,
            )
        for centre in self._follower.centre_changes():
            self._record_centre_change(centre)

    def _record_centre_change(self, change: CentreChange) -> None:
        left = change.after is CentreState.OUT
        emit(
            logger,
            Event.CENTRE_LEFT if left else Event.CENTRE_RETURNED,
            data_centre=change.data_centre,
            before=change.before.value,
            after=change.after.value,
        )
        self._audit.record(
            Subject.DATA_CENTRE,
            change.data_centre,
            before=change.before.value,
            after=change.after.value,
            cause=change.cause,
        )

    def _send_to(self, decision: SendTo, now: float) -> None:
        """Send a message to a scheduler, or drop it if there is no open stream.

        The `Hello` sent when the stream opens contains the whole state.
        """
        if decision.peer == self._router:
            self.send_command(FromPeer(self._router, decision.message))
            return
        link = self._get_link(decision.peer)
        if link is not None and link.outbox is not None:
            link.outbox.put(decision.message)

    def _reply(self, decision: Granted | Rejected, now: float) -> None:
        reply = self._replies.pop(decision.demand_id, None)
        if reply is not None:
            try:
                reply.send_nowait(decision)
                return
            except (anyio.BrokenResourceError, anyio.WouldBlock):
                pass
        if isinstance(decision, Granted):
            self._return_lease(decision, now)

    def _return_lease(self, granted: Granted, now: float) -> None:
        """Return a lease whose request no longer waits for an answer."""
        self._apply_decisions(
            self._follower.finished(_declined_report(granted), now), now
        )

    def _send_role_outputs(self, outputs: list[RoleOutput], now: float) -> None:
        for output in outputs:
            if isinstance(output, ToFollower):
                self._send_follower(output)
            else:
                self._send_report(output.report, now)

    def _send_follower(self, output: ToFollower) -> None:
        if output.router == self._router:
            self.send_command(FromScheduler(self._router, output.message))
            return
        _, send = self._followers.get(output.router, (0, None))
        if send is not None:
            send(output.message)

    def _send_report(self, report: m.ServiceReport, now: float) -> None:
        """Send a report once to each router that schedules a shard of the pool."""
        peers = {
            router
            for shard, router in self._follower.schedulers.items()
            if shard.pool == report.shard.pool and shard != report.shard
        }
        for peer in sorted(peers):
            if peer == self._router:
                self.send_command(FromPeer(self._router, report))
                continue
            link = self._get_link(peer)
            if link is not None and link.outbox is not None:
                link.outbox.put(report)

    def _get_link(self, peer: RouterName) -> _Link | None:
        """Return the link to a peer, and open a stream if there is none.

        Return `None` if the peer's address is unknown.
        """
        link = self._links.get(peer)
        if link is not None or self._group is None:
            return link
        address = self._addresses.get(peer)
        if address is None:
            return None
        link = _Link(anyio.CancelScope())
        self._links[peer] = link
        self._group.start_soon(self._run_link, peer, address, link)
        return link

    def _open_wanted_links(self) -> None:
        for peer in self._follower.wanted_peers():
            self._get_link(peer)

    async def _run_link(
        self, peer: RouterName, address: PeerAddress, link: _Link
    ) -> None:
        """Run a stream until it breaks, and allow a new one after `REDIAL_S`."""
        stream = self._dial(peer, address)
        outbox = Outbox(self._traffic)

        def on_connected() -> None:
            link.outbox = outbox
            self.send_command(LinkUp(peer))

        try:
            with link.scope:
                await stream.attach(
                    outbox,
                    lambda message: self._on_scheduler_message(peer, message),
                    on_connected,
                )
        except TransportError as error:
            emit(logger, Event.LINK_LOST, peer=peer, cause=str(error))
        finally:
            outbox.close()
            link.outbox = None
            self.send_command(LinkLost(peer))
            with anyio.CancelScope(shield=True):
                await stream.close()
        await anyio.sleep(REDIAL_S)
        self._links.pop(peer, None)

    def _on_scheduler_message(self, peer: RouterName, message: Any) -> None:
        self.send_command(FromScheduler(peer, message))

    _HANDLERS: Mapping[type, Callable[..., None]] = {
        Submit: _submit,
        Cancel: _cancel,
        RejectDemand: _reject_demand,
        NoteStarted: _note_started,
        NoteProgress: _note_progress,
        NoteFinished: _note_finished,
        SetTables: _set_tables,
        SetMembers: _set_members,
        SetVms: _set_vms,
        StepDownAll: _step_down,
        Tick: _tick,
        FromPeer: _from_peer,
        FromScheduler: _from_scheduler,
        LinkUp: _link_up,
        LinkLost: _link_lost,
        Attached: _attached,
        Detached: _detached,
    }
