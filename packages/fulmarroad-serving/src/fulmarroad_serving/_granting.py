"""Place calls of other routers on the servers that this router owns.

Load pattern: routers hold calls for which no server has capacity. If each of them
searched for a place again and again, scores of searches would run for each place that
becomes free, and the first to look would get it. Here the calls for one server wait at
its owner, which has the only list of them and answers each router once it has decided.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping
from heapq import heappop, heappush
from itertools import count

from attrs import define, evolve, field

from fulmarroad.types import RefusalReason, RouterName
from fulmarroad_serving._budgets import ColdBudget
from fulmarroad_serving._catalog import ServiceName
from fulmarroad_serving._demands import Placement, Refusal, Ticket
from fulmarroad_serving._dispatch import Dispatcher
from fulmarroad_serving._held_requests import (
    AddressedReply,
    HeldRequest,
    after,
    request_key,
)
from fulmarroad_serving._holding import HeldCalls
from fulmarroad_serving._owner_messages import (
    PlacementReply,
    PlacementRequest,
    ProgressNote,
    ProgressReport,
    ReplyKind,
)
from fulmarroad_serving._owners import OwnedServers, OwnerTable
from fulmarroad_serving._queueing import QueuedRequests
from fulmarroad_serving._returns import Attempt, RefusedCalls
from fulmarroad_serving._routing import part_id
from fulmarroad_serving._spilling import refuses_early
from fulmarroad_serving.admission import EntryKey, OwnerBacklog, ScheduledRetries

UNCONFIRMED_GRANT_S = 0.4
"""Age at which a grant counts as unused if its router doesn't list it: a grant is used
within a tenth of a second."""


@define
class _Granted:
    ticket: Ticket
    at: float


@define
class Granter:
    """Decide on the requests of other routers and count the granted calls."""

    _me: RouterName
    _incarnation: int
    _dispatcher: Dispatcher
    _owners: OwnerTable
    held: HeldCalls = field(factory=HeldCalls)
    retries: ScheduledRetries = field(factory=ScheduledRetries)
    _refused: RefusedCalls = field(factory=RefusedCalls)
    _due: list[tuple[float, int, HeldRequest]] = field(factory=list)
    _numbers: count[int] = field(factory=count)
    _granted: dict[EntryKey, _Granted] = field(factory=dict)
    queued: QueuedRequests = field(init=False)

    def __attrs_post_init__(self) -> None:
        self.queued = QueuedRequests(self._dispatcher, self)

    @property
    def next_due(self) -> float | None:
        """Return when a held request looks for a place again; None without any."""
        times = (self._due[0][0] if self._due else None, self.queued.next_due)
        return min((at for at in times if at is not None), default=None)

    def receive_request(self, request: PlacementRequest, now: float) -> AddressedReply:
        """Decide on a request, or hold it."""
        is_queued = self._dispatcher.queues_calls(request.demand.service)
        if is_queued and self._is_known(request):
            return self.reply(request, ReplyKind.WAITS)
        if request.demand.part and request.router != self._me:
            self._dispatcher.parts.note_asked(part_id(request.demand.part), now)
        attempt = self._refused.attempt(request.demand, now)
        attempt = self._claim_reservation(request, attempt, now)
        held = HeldRequest(request, attempt, now)
        if is_queued:
            return self.queued.receive(held, now)
        return self._decide(held, now)

    def decide_held(self, now: float) -> list[AddressedReply]:
        """Look for places for the held requests that are due and return the replies."""
        replies = []
        while self._due and self._due[0][0] <= now:
            held = heappop(self._due)[2]
            self.held.count -= 1
            reply = self._decide(held, now)
            if reply.reply.kind is not ReplyKind.WAITS:
                replies.append(reply)
        return replies + self.queued.decide(now)

    def receive_progress(self, report: ProgressReport, now: float) -> None:
        """Apply what a router reports of its granted calls."""
        for number in report.cancelled:
            key = (report.router, report.incarnation, number)
            self.queued.drop(key, now)
            if key in self._granted:  # the reply was lost
                self._end_unanswered([key], now)
        for note in report.notes:
            self._apply(report, note, now)
        if report.held is not None:
            self._drop_unlisted(report, set(report.held), now)

    def forget_routers(self, alive: Mapping[RouterName, int], now: float) -> None:
        """End the calls of routers that are gone or have restarted.

        `alive` maps each live router to its incarnation.
        """
        alive = {**alive, self._me: self._incarnation}
        lost = [key for key in self._granted if alive.get(key[0]) != key[1]]
        self._end_unanswered(lost, now)
        self.queued.drop_lost(alive, now)

    def _decide(self, held: HeldRequest, now: float) -> AddressedReply:
        request = held.request
        owned = self.owned(request)
        if not owned.rows:
            return self.reply(request, ReplyKind.NOT_OWNER)
        held_s = now - held.since
        placed = self.place(held, owned, now)
        if isinstance(placed, Placement):
            return self.grant(held, placed, now)
        objective_s = held.attempt.demand.objective_s
        pause_s = self.held.next_poll_s(placed, objective_s, held_s)
        if held.may_wait and self._refuses_early(held, placed, owned, now):
            pause_s = None
        if pause_s is None or not held.may_wait:
            return self.refuse(held, placed, now)
        self.held.count += 1
        heappush(self._due, (now + pause_s, next(self._numbers), held))
        return self.reply(request, ReplyKind.WAITS, self._room(request, now))

    def owned(self, request: PlacementRequest) -> OwnedServers:
        """Return the servers for which this router decides on a request."""
        left_out = frozenset(request.left_out) - {self._me}
        return self._owners.owned(request.demand.service, left_out)

    def place(
        self, held: HeldRequest, owned: OwnedServers, now: float
    ) -> Placement | Refusal:
        """Choose one of this router's servers for a request."""
        request, held_s = held.request, now - held.since
        return self._dispatcher.place(
            after(held.attempt.demand, held_s),
            now,
            avoid=request.avoid,
            owned=owned,
            asker=request.cold,
            full=request.full,
            commit=held.bound,
        )

    def _refuses_early(
        self, held: HeldRequest, refusal: Refusal, owned: OwnedServers, now: float
    ) -> bool:
        return refuses_early(
            self._dispatcher,
            held.attempt.demand,
            refusal,
            owned,
            now - held.since,
            now,
            without={self._me, *held.request.left_out},
        )

    def grant(self, held: HeldRequest, placed: Placement, now: float) -> AddressedReply:
        """Count a call that got a place and return the reply."""
        self._note_placement(held, placed=True)
        return self._grant(held.request, placed, now)

    def refuse(self, held: HeldRequest, refusal: Refusal, now: float) -> AddressedReply:
        """Count a call that gets no place and return the reply."""
        self._note_placement(held, placed=False)
        self._refused.note_refused(held.request.demand, held.attempt.first_at)
        if held.attempt.late_anyway:
            refusal = evolve(refusal, is_late=True)
        refusal = self._schedule_return(held, refusal, now)
        return self._refuse(held.request, refusal, now)

    def _is_known(self, request: PlacementRequest) -> bool:
        """Return whether a request came before, as its packet was duplicated."""
        key = request_key(request)
        return key in self.queued.queue or key in self._granted

    def _claim_reservation(
        self, request: PlacementRequest, attempt: Attempt, now: float
    ) -> Attempt:
        """Return the attempt of a call, with its reservation if it has one."""
        demand = request.demand
        if not self._dispatcher.features(demand.service).scheduled_retries:
            return attempt
        return self.retries.claim(attempt, demand, now)

    def _schedule_return(
        self, held: HeldRequest, refusal: Refusal, now: float
    ) -> Refusal:
        """Return a refusal for lack of capacity that says when its call's turn comes.

        The remaining time of a router of the previous release isn't known: its calls
        get no reservation.
        """
        demand = held.request.demand
        if refusal.reason is not RefusalReason.WAIT_TOO_LONG:
            return refusal
        if not self._dispatcher.features(demand.service).scheduled_retries:
            return refusal
        retry_after_s = self.retries.schedule(
            demand,
            refusal,
            max(0.0, held.request.remaining_s - (now - held.since)),
            self._backlog(demand.service),
            now,
            is_return=held.is_return,
        )
        if retry_after_s is None:
            return refusal
        return evolve(refusal, retry_after_s=retry_after_s)

    def _backlog(self, service: ServiceName) -> OwnerBacklog:
        """Return what waits here for the engines of a service."""
        demands = (row[2].request.demand for row in self._due)
        units = sum(demand.units for demand in demands if demand.service == service)
        rows = self._owners.owned(service, frozenset()).rows
        speeds = (self._dispatcher.load(row.instance.id).read_rate for row in rows)
        return OwnerBacklog(units + self.queued.queue.units, sum(speeds))

    def _note_begun(self, granted: _Granted, now: float) -> None:
        demand = granted.ticket.demand
        if self._dispatcher.features(demand.service).scheduled_retries:
            self.retries.note_begun(demand, now)

    def _note_placement(self, held: HeldRequest, *, placed: bool) -> None:
        demand = held.request.demand
        self._dispatcher.placements.note_decision(
            demand.workspace, demand.units, placed=placed, is_return=held.is_return
        )

    def _grant(
        self, request: PlacementRequest, placed: Placement, now: float
    ) -> AddressedReply:
        ticket = self._dispatcher.send(request.demand, placed, now, for_peer=True)
        self._granted[request_key(request)] = _Granted(ticket, now)
        choice = placed.choice
        reply = PlacementReply(
            self._me,
            self._incarnation,
            request.number,
            ReplyKind.GRANTED,
            choice.server,
            choice.source,
            choice.tokens,
            choice.wait_s,
            choice.read_s,
            choice.cached,
            choice.copies,
            self._dispatcher.load(choice.server).read_rate,
            cold_granted=placed.cold_budget is ColdBudget.OWNER,
            may_open=placed.may_open,
            room=self._room(request, now),
        )
        return AddressedReply(request.router, reply)

    def _refuse(
        self, request: PlacementRequest, refusal: Refusal, now: float
    ) -> AddressedReply:
        reply = PlacementReply(
            self._me,
            self._incarnation,
            request.number,
            ReplyKind.REFUSED,
            wait_s=refusal.wait_s,
            read_s=refusal.read_s,
            reason=refusal.reason,
            retry_after_s=refusal.retry_after_s,
            room=self._room(request, now),
            is_late=refusal.is_late,
        )
        return AddressedReply(request.router, reply)

    def reply(
        self, request: PlacementRequest, kind: ReplyKind, room: int = 0
    ) -> AddressedReply:
        """Return a reply without further fields but the spare capacity."""
        reply = PlacementReply(
            self._me, self._incarnation, request.number, kind, room=room
        )
        return AddressedReply(request.router, reply)

    def _room(self, request: PlacementRequest, now: float) -> int:
        service = request.demand.service
        rows = self._owners.owned(service).rows
        return self._dispatcher.room(service, rows, now)

    def _apply(self, report: ProgressReport, note: ProgressNote, now: float) -> None:
        key = (report.router, report.incarnation, note.number)
        granted = self._granted.get(key)
        if granted is None:
            return
        if note.begun and not granted.ticket.begun:
            self._note_begun(granted, now)
            self._dispatcher.begin(granted.ticket, now)
        if note.unused:
            demand = granted.ticket.demand
            self._dispatcher.placements.note_given_back(demand.workspace, demand.units)
        if note.ended:
            del self._granted[key]
            self._dispatcher.end(granted.ticket, note.outcome, now)
        self.queued.note_capacity()

    def _drop_unlisted(
        self, report: ProgressReport, listed: Collection[int], now: float
    ) -> None:
        """End calls whose end was reported in a packet that was lost."""
        router = (report.router, report.incarnation)
        lost = [
            key
            for key, granted in self._granted.items()
            if key[:2] == router
            and key[2] not in listed
            and now - granted.at >= UNCONFIRMED_GRANT_S
        ]
        self._end_unanswered(lost, now)

    def _end_unanswered(self, keys: Iterable[EntryKey], now: float) -> None:
        for key in keys:
            granted = self._granted.pop(key)
            self._dispatcher.release(granted.ticket, now)
            self.queued.note_capacity()
