"""Ask the owner of a server for a place, and decide by its reply.

Load pattern: an owner crashes, freezes or is cut off while scores of routers depend on
its decisions. If they waited for the membership to notice, its servers would idle for
seconds. So a request without a prompt answer counts its owner as silent: the call is
placed without it, later ones ask the next owner, and calls that the lost owner counted
are counted here.
"""

from __future__ import annotations

import logging
import math
import random
from collections.abc import Callable, Collection, Mapping

from attrs import define, field

from fulmarroad.events import Event, emit
from fulmarroad.types import RefusalReason, RouterName, ServerName
from fulmarroad_serving._attempts import SendOutcome
from fulmarroad_serving._budgets import ColdBudget
from fulmarroad_serving._catalog import ServiceName
from fulmarroad_serving._demands import Demand, Grant, Placement, Refusal, Ticket
from fulmarroad_serving._dispatch import Dispatcher
from fulmarroad_serving._granted_calls import GrantedCalls
from fulmarroad_serving._obstacles import Obstacle
from fulmarroad_serving._owner_messages import (
    PlacementReply,
    PlacementRequest,
    ReplyKind,
    pack_request,
)
from fulmarroad_serving._owners import OwnedServers, OwnerTable
from fulmarroad_serving._pace_reporter import PaceReporter
from fulmarroad_serving._pending_requests import (
    AcceptedRequests,
    LocalOwner,
    PendingRequest,
)
from fulmarroad_serving._routing import Choice, part_id
from fulmarroad_serving._silent_owners import SILENCE_S, SilentOwners
from fulmarroad_serving._workspace_outcomes import (
    UNMET_REQUESTS,
    RequestOutcome,
    WorkspaceOutcomes,
    given_back,
)
from fulmarroad_serving.engines._pace import PaceBook
from fulmarroad_serving.engines._pace_messages import PaceReport
from fulmarroad_serving.placement import SpillCounts

logger = logging.getLogger("fulmarroad.serving")

REPLY_TIMEOUT_S = 0.04
"""Time for the first answer of an owner: a round trip between data centres and two
iterations of busy event loops."""

LACKING_REASONS = (RefusalReason.NO_SERVERS, RefusalReason.STREAM_ORIGIN_GONE)
"""Reasons for which an owner's refusal says nothing about other owners' servers."""

COLD_OBSTACLES = (Obstacle.COLD, Obstacle.SUSPECT)


@define
class OwnerClient:
    """Request places from the owners of servers for this router's calls."""

    me: RouterName
    _incarnation: int
    _dispatcher: Dispatcher
    _owners: OwnerTable
    _random: random.Random
    _clock: Callable[[], float]
    send: Callable[[RouterName, bytes], None] = lambda owner, data: None
    on_notes: Callable[[], None] = lambda: None
    is_full: Callable[[ServiceName, ServerName], bool] = lambda service, server: False
    """Return whether this router has its share of a server's connections in use."""
    local: LocalOwner | None = None
    """Deliver messages to this router as an owner; set by the exchange."""
    _number: int = 0
    _pending: dict[int, PendingRequest] = field(factory=dict)
    _silent: SilentOwners = field(factory=SilentOwners)
    requests: WorkspaceOutcomes = field(
        factory=lambda: WorkspaceOutcomes(refusals=UNMET_REQUESTS)
    )
    """What became of the requests, until the node logs it."""
    spilled: SpillCounts = field(factory=SpillCounts)
    """What became of the calls sent on to a second owner, until the node logs it."""
    _accepted: AcceptedRequests = field(factory=AcceptedRequests)
    _granted: GrantedCalls = field(init=False)
    _pace_reporter: PaceReporter = field(init=False)

    def __attrs_post_init__(self) -> None:
        self._granted = GrantedCalls(
            self.me, self._incarnation, self.requests, self._report
        )
        self._pace_reporter = PaceReporter(
            self.me, self._incarnation, self._dispatcher, self._owners, self._left_out
        )

    @property
    def pace(self) -> PaceBook:
        """Return the answers of which this router watches the gaps."""
        return self._dispatcher.speeds.pace

    def owner_for(self, demand: Demand) -> RouterName | None:
        """Return the router to ask, which may be this one; None: there is no owner."""
        owners = self._owners.owners(demand.service, self._left_out())
        part = part_id(demand.part)
        classes = self._dispatcher.speed_classes(demand.service, self._clock())
        order = owners.order(part, self._random, demand.version, classes)
        return next(iter(order), None)

    def spare_owner(self, demand: Demand, refused_by: RouterName) -> RouterName | None:
        """Return another owner with room for a call's whole prompt, or None."""
        table = self._owners.owners(demand.service, self._left_out())
        names = set(table.by_server.values()) - {refused_by, self.me}
        rooms, now = self._dispatcher.rooms, self._clock()
        return rooms.choose(sorted(names), demand.prompt_tokens, self._random, now)

    def read_s(self, demand: Demand, owner: RouterName) -> float:
        """Return the mean time in which an owner's engines read a whole prompt."""
        rows = self._owners.owners(demand.service, self._left_out()).servers_of(owner)
        return self._dispatcher.servers.mean_read_s(rows, demand.prompt_tokens)

    def own_servers(self, demand: Demand) -> OwnedServers:
        """Return the servers that this router owns for a call."""
        return self._owners.owned(demand.service, self._left_out())

    async def request(
        self,
        owner: RouterName,
        demand: Demand,
        avoid: Collection[ServerName],
        *,
        may_wait: bool,
        remaining_s: float = math.inf,
    ) -> Placement | Refusal | None:
        """Return the decision of an owner, or None without a usable one.

        `remaining_s` is the time until the call's deadline.
        """
        request = self.new_request(
            owner, demand, avoid, may_wait=may_wait, remaining_s=remaining_s
        )
        number = request.number
        pending = self._pending[number] = PendingRequest()
        try:
            self._deliver(owner, request)
            reply = await self._reply(pending, demand, remaining_s)
        finally:
            del self._pending[number]
            if not pending.decided:
                self._withdraw(owner, request, pending.reply)
        if reply is None:
            self.requests.note(demand.workspace, RequestOutcome.NO_REPLY)
            if owner == self.me:
                reason, now = RefusalReason.WAIT_TOO_LONG, self._clock()
                return self._dispatcher.refuse_queued(demand, reason, now)
            if remaining_s > demand.objective_s:
                self._note_silent(owner)
            return None
        self._silent.forget(owner)
        return self.decide(demand, avoid, reply)

    async def _reply(
        self, pending: PendingRequest, demand: Demand, remaining_s: float
    ) -> PlacementReply | None:
        """Return the owner's final reply, or None if it does not arrive in time."""
        reply = await pending.wait(REPLY_TIMEOUT_S)
        if reply is not None and reply.kind is ReplyKind.WAITS:
            told_s = reply.wait_s + REPLY_TIMEOUT_S if reply.wait_s > 0 else 0.0
            reply = await pending.wait(min(told_s or demand.objective_s, remaining_s))
        pending.decided = reply is not None
        return reply

    def _deliver(self, owner: RouterName, request: PlacementRequest) -> None:
        if owner == self.me and self.local is not None:
            self.local.receive_request(request)
        else:
            self.send(owner, pack_request(request))

    def _withdraw(
        self,
        owner: RouterName,
        request: PlacementRequest,
        reply: PlacementReply | None,
    ) -> None:
        """Tell an owner that nobody waits for a request any more."""
        if reply is not None and reply.kind is ReplyKind.GRANTED:
            self._return_unused(reply)
        else:
            self.cancel(owner, request)

    def cancel(self, owner: RouterName, request: PlacementRequest) -> None:
        """Let an owner drop an undecided request, or a grant whose reply was lost."""
        self._granted.begin_lists(owner)
        if self._dispatcher.queues_calls(request.demand.service):
            self._granted.cancel(owner, request.number)

    def new_request(
        self,
        owner: RouterName,
        demand: Demand,
        avoid: Collection[ServerName],
        *,
        may_wait: bool,
        remaining_s: float = math.inf,
    ) -> PlacementRequest:
        """Return a request that says which of the owner's servers can't be used."""
        self._number += 1
        now, left_out = self._clock(), self._left_out()
        rows = self._owners.owners(demand.service, left_out).servers_of(owner)
        servers = self._dispatcher.servers
        unavailable = servers.unavailable(now) | servers.silent(rows, now)
        return PlacementRequest(
            self.me,
            self._incarnation,
            self._number,
            demand,
            tuple(unavailable.union(avoid)),
            may_wait,
            tuple(left_out),
            self._dispatcher.cold_servers(rows, demand.service, now),
            tuple(
                row.instance.id
                for row in rows
                if self.is_full(demand.service, row.instance.id)
            ),
            max(0.0, remaining_s) if math.isfinite(remaining_s) else 0.0,
        )

    def receive_reply(self, reply: PlacementReply) -> None:
        """Apply an owner's reply; return a place that came too late."""
        self._dispatcher.rooms.note(reply.owner, reply.room, self._clock())
        pending = self._pending.get(reply.number)
        if pending is not None:
            pending.receive(reply)
        elif reply.number not in self._accepted:
            self._return_unused(reply)

    def note_progress(self, ticket: Ticket) -> None:
        """Record that a granted call was sent, began or ended."""
        self._granted.note(ticket)

    def abandon(
        self,
        grant: Grant,
        outcome: SendOutcome | None = None,
        obstacle: Obstacle | None = None,
    ) -> None:
        """Return a place that was not used; do nothing if it was used or returned.

        `outcome` is set if the server was the cause, which its owner then knows too.
        `obstacle` says why the call could not be sent, for the log.
        """
        if grant.closed:
            return
        grant.closed = True
        ended = RequestOutcome.UNUSED if obstacle is None else given_back(obstacle)
        self.requests.note(grant.workspace, ended)
        if grant.owner == self.me:
            outcome = None  # as the owner, it noted the server's failure already
        self._granted.give_back(grant.owner, grant.number, outcome)

    def pop_notes(self) -> list[tuple[RouterName, bytes]]:
        """Remove and return the packets with unreported progress, by owner."""
        return self._granted.pop_notes()

    def held_lists(self) -> list[tuple[RouterName, bytes]]:
        """Return the packets that list all granted calls, by owner."""
        return self._granted.held_lists()

    def adopt_from_lost(self, alive: Mapping[RouterName, int]) -> None:
        """Count the calls of owners that are gone or have restarted.

        `alive` maps each live router to its incarnation.
        """
        for owner, numbers in self._granted.lost(alive).items():
            for number in numbers:
                ticket = self._granted.pop(owner, number)
                self._dispatcher.adopt(ticket, self._clock())
            emit(logger, Event.OWNER_LOST, owner=owner, calls=len(numbers))

    def receive_pace(self, report: PaceReport, now: float) -> None:
        """Apply another router's report on the gaps of a server's answers.

        A router that stands in for a silent owner places calls as well, so it applies
        reports on servers that it doesn't own by its own view of the fleet.
        """
        self._dispatcher.speeds.receive_pace(report, now)

    def tell_slow_changes(self, now: float) -> None:
        """Log the slow-downs that ended without a further report."""
        self._dispatcher.speeds.tell_slow_changes(now)

    def pace_reports(self) -> list[tuple[RouterName, bytes]]:
        """Return the packets on servers whose answers pause here, by owner.

        Reports on servers of this router are applied at once.
        """
        return self._pace_reporter.pop_packets(self._clock())

    def _left_out(self) -> frozenset[RouterName]:
        """Return the routers that are not asked now."""
        left_out = self._silent.left_out(self._owners.routers, self._clock())
        return left_out - {self.me}

    def _note_silent(self, owner: RouterName) -> None:
        if self._silent.note(owner, self._clock()):
            emit(logger, Event.OWNER_SILENT, owner=owner, seconds=SILENCE_S)

    def decide(
        self,
        demand: Demand,
        avoid: Collection[ServerName],
        reply: PlacementReply,
    ) -> Placement | Refusal | None:
        """Return what an owner's reply means here; None: decide without it."""
        if reply.reason in LACKING_REASONS or reply.kind is ReplyKind.NOT_OWNER:
            # Other owners may have servers that this router can reach.
            self.requests.note(demand.workspace, RequestOutcome.NOT_OWNER)
            return None
        if reply.kind is ReplyKind.REFUSED:
            self.requests.note(demand.workspace, RequestOutcome.REFUSED)
            return Refusal(
                reply.reason,
                reply.retry_after_s,
                reply.wait_s,
                read_s=reply.read_s,
                owner=reply.owner,
                is_late=reply.is_late,
            )
        obstacle = self._obstacle(demand, reply.server, avoid)
        if reply.cold_granted and obstacle in COLD_OBSTACLES:
            obstacle = None  # the owner counts it against the server's limit
        if obstacle is not None:
            self.requests.note(demand.workspace, given_back(obstacle))
            self._return_unused(reply)
            return None
        self._accepted.add(reply.number)
        if reply.read_rate and reply.owner != self.me:
            self._dispatcher.speeds.note_read_rate(
                demand.service, reply.server, reply.read_rate, self._clock()
            )
        registry = self._dispatcher.registry
        registered = registry.get(reply.server)
        assert registered is not None
        choice = Choice(
            reply.server,
            reply.wait_s,
            reply.read_s,
            reply.tokens,
            reply.cached,
            reply.copies,
            reply.source,
        )
        use = self._dispatcher.use_of(demand, self._clock())
        source = registry.get(reply.source) if reply.source else None
        grant = Grant(
            reply.owner, reply.incarnation, reply.number, workspace=demand.workspace
        )
        budget = ColdBudget.GRANTED if reply.cold_granted else ColdBudget.SHARE
        return Placement(
            registered, choice, use, 0, source, grant, budget, reply.may_open
        )

    def _obstacle(
        self, demand: Demand, server: ServerName, avoid: Collection[ServerName]
    ) -> Obstacle | None:
        """Return why this router may not send a call to a server, None if it may.

        The owner may not know yet that the server is leaving, or be able to reach a
        server that this router can't reach.
        """
        usable = self._dispatcher.registry.usable(demand.service, demand.version)
        if all(row.instance.id != server for row in usable):
            return Obstacle.GONE
        if server in avoid:
            return Obstacle.AVOIDED
        return self._dispatcher.obstacle(demand, server, self._clock())

    def _return_unused(self, reply: PlacementReply) -> None:
        if reply.kind is ReplyKind.GRANTED:
            self._granted.give_back(reply.owner, reply.number)

    def _report(self, owner: RouterName) -> None:
        """Report progress, to this router itself at once."""
        if owner == self.me and self.local is not None:
            self.local.receive_progress(self._granted.pop_report(owner))
        else:
            self.on_notes()
