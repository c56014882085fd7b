"""Deliver the messages between the routers of a simulated day."""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from functools import partial

from attrs import define, field

from fulmarroad_bench._lab_engine_side import NETWORK_DELAY_S
from fulmarroad_bench._lab_events import EventQueue
from fulmarroad_bench._lab_processor import PLACEMENT_COST_S
from fulmarroad_bench._lab_router import LabRouter, RouterReport
from fulmarroad_serving._catalog import ServiceName
from fulmarroad_serving._granting import AddressedReply
from fulmarroad_serving._owner_exchange import NOTES_DELAY_S
from fulmarroad_serving._owner_messages import (
    PlacementReply,
    PlacementRequest,
    ProgressReport,
    pack_reply,
    pack_request,
    read_progress,
    read_reply,
    read_request,
)
from fulmarroad_serving._reports import unpack

REPORT_S = 0.15
"""Seconds between two exchanges of reports between routers."""

REPORTED_PARTS = 40
"""Maximum number of prompt parts in a report."""

REPORTS_AFTER_DAY_S = 10.0
"""Seconds after the last arrival in which reports are exchanged: calls still run."""


@define
class MessageSide:
    """Carry reports, placement requests, replies and progress between routers."""

    events: EventQueue
    routers: Mapping[str, LabRouter]
    receive_reply: Callable[[LabRouter, PlacementReply], None]
    on_exchange: Callable[[], None]
    service: ServiceName
    report_delay_s: float = 0.0
    seconds: float = 0.0  # of the day
    _notes_due: set[str] = field(factory=set)  # routers that will send notes

    def exchange(self) -> None:
        """Send every router's report to all others, now and at each interval."""
        now = self.events.now
        reports = [
            RouterReport(
                sender,
                sender.dispatcher.own_load(),
                sender.dispatcher.shares.own_counts(now),
                sender.dispatcher.parts.pop_updates(REPORTED_PARTS),
                sender.own_room(self.service, now),
            )
            for sender in self.routers.values()
        ]
        if self.report_delay_s:
            receive = partial(self._receive_reports, reports, now)
            self.events.at(now + self.report_delay_s, receive)
        else:
            self._receive_reports(reports, now)
        self.on_exchange()
        if now < self.seconds + REPORTS_AFTER_DAY_S:
            self.events.at(now + REPORT_S, self.exchange)

    def send_request(self, owner: str, request: PlacementRequest) -> None:
        """Send a request for a place to an owner."""
        receiver = self.routers[owner]
        if owner == request.router:
            self._receive_request(receiver, request)
            return
        read = read_request(unpack(pack_request(request)))
        receive = partial(self._receive_request, receiver, read)
        self.events.at(self.events.now + NETWORK_DELAY_S, receive)

    def schedule_notes(self, router: LabRouter) -> None:
        """Let a router tell owners of its calls' progress a moment later."""
        if router.name not in self._notes_due:
            self._notes_due.add(router.name)
            due = self.events.now + NOTES_DELAY_S
            self.events.at(due, partial(self._send_notes, router))

    def _receive_reports(
        self, reports: Sequence[RouterReport], written_at: float
    ) -> None:
        """Apply every router's report of the time `written_at` to all other routers."""
        for row in reports:
            name = row.sender.name
            for other in self.routers.values():
                if other is row.sender:
                    continue
                other.dispatcher.receive_load(name, row.loads, written_at)
                other.dispatcher.shares.receive_counts(name, row.counts, written_at)
                other.dispatcher.rooms.note(name, row.room, written_at)
                for part, server in row.parts:
                    other.dispatcher.parts.note(part, server, self.events.now)

    def _receive_request(self, owner: LabRouter, request: PlacementRequest) -> None:
        assert owner.granter is not None
        now = self.events.now
        owner.work(PLACEMENT_COST_S, now)
        self._send_replies([owner.granter.receive_request(request, now)])
        self._schedule_held(owner)

    def _schedule_held(self, owner: LabRouter) -> None:
        """Let an owner decide on its held requests when the next one is due."""
        assert owner.granter is not None
        due = owner.granter.next_due
        if due is not None:
            self.events.at(max(due, self.events.now), partial(self._decide_held, owner))

    def _decide_held(self, owner: LabRouter) -> None:
        assert owner.granter is not None
        due = owner.granter.next_due
        if due is None or due > self.events.now:
            return
        self._send_replies(owner.granter.decide_held(self.events.now))
        self._schedule_held(owner)

    def _send_replies(self, replies: Sequence[AddressedReply]) -> None:
        for row in replies:
            if row.router == row.reply.owner:
                self.receive_reply(self.routers[row.router], row.reply)
                continue
            reply = read_reply(unpack(pack_reply(row.reply)))
            receive = partial(self.receive_reply, self.routers[row.router], reply)
            self.events.at(self.events.now + NETWORK_DELAY_S, receive)

    def _send_notes(self, router: LabRouter) -> None:
        self._notes_due.discard(router.name)
        assert router.client is not None
        for owner, data in router.client.pop_notes():
            report = read_progress(unpack(data))
            receive = partial(self.receive_progress, self.routers[owner], report)
            self.events.at(self.events.now + NETWORK_DELAY_S, receive)

    def receive_progress(self, owner: LabRouter, report: ProgressReport) -> None:
        """Apply what a router reports to an owner, which may be itself."""
        assert owner.granter is not None
        owner.granter.receive_progress(report, self.events.now)
        self._schedule_held(owner)


@define
class LocalDelivery:
    """Deliver a router's messages to itself as the owner of servers at once."""

    _messages: MessageSide
    _router: LabRouter

    def receive_request(self, request: PlacementRequest) -> None:
        """Decide on a request of this router."""
        self._messages.send_request(self._router.name, request)

    def receive_progress(self, report: ProgressReport) -> None:
        """Apply the progress of this router's calls."""
        self._messages.receive_progress(self._router, report)
