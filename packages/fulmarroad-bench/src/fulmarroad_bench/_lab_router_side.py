"""Let the routers of a simulated day decide on their callers' calls."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from functools import partial

from attrs import define, evolve, field

from fulmarroad.types import RefusalReason, RouterName
from fulmarroad_bench._lab_day import CallOutcome
from fulmarroad_bench._lab_engine import EngineShape, SimulatedCall
from fulmarroad_bench._lab_engine_side import NETWORK_DELAY_S, EngineSide
from fulmarroad_bench._lab_estimates import EstimateLog
from fulmarroad_bench._lab_events import EventQueue
from fulmarroad_bench._lab_messages import MessageSide
from fulmarroad_bench._lab_processor import (
    FORWARD_COST_S,
    PLACEMENT_COST_S,
    READ_COST_S,
)
from fulmarroad_bench._lab_router import LabRouter, PendingCall, PickRouter
from fulmarroad_bench._lab_traffic import CallClass, Workload
from fulmarroad_serving import (
    Demand,
    Instance,
    Placement,
    Refusal,
    SendOutcome,
    Ticket,
)
from fulmarroad_serving._fingerprints import fingerprint_of, hash_fraction_of
from fulmarroad_serving._owner_messages import PlacementReply, ReplyKind
from fulmarroad_serving._spilling import may_spill, outcome_of, refuses_early

MAX_RETRIES = 1
"""Number of times that a caller retries after a refusal."""

MAX_SENDS = 3
"""Number of engines to which a router sends one call."""

RETRY_WAIT_FRACTION = 1 / 3
"""Fraction of its remaining time for which a caller honours `Retry-After`."""

SERVICE = "drafting"


@define
class RouterSide:
    """Hold the routers, and what becomes of each call."""

    events: EventQueue
    workload: Workload
    pick_router: PickRouter
    routers: Sequence[LabRouter]
    engines: EngineSide = field(init=False)
    messages: MessageSide = field(init=False)
    outcomes: list[CallOutcome] = field(factory=list)
    estimates: EstimateLog = field(factory=EstimateLog)
    _tickets: dict[int, tuple[LabRouter, Ticket]] = field(factory=dict)
    _requests: dict[tuple[str, int], PendingCall] = field(factory=dict)
    """Calls that wait for an owner's reply, by router and number of the request."""
    _waiting: dict[int, PendingCall] = field(factory=dict)
    """The same calls by their number."""
    _sent: dict[int, PendingCall] = field(factory=dict)

    def schedule(self, calls: Iterable[SimulatedCall]) -> None:
        """Let calls arrive at their times."""
        for call in calls:
            self.events.at(call.arrived, partial(self._arrive, call))
            if call.deadline_s != float("inf"):
                due = call.arrived + call.deadline_s
                self.events.at(due, partial(self._cut, call))

    def begin(self, call: SimulatedCall) -> None:
        """Receive the first token of an answer."""
        if call.closed:
            return
        now = self.events.now
        if call.number in self._tickets:
            router, ticket = self._tickets[call.number]
            router.dispatcher.begin(ticket, now)
        self.estimates.begun(call.number, now)
        call.begun_at = now
        if call.deadline_s == float("inf"):
            self._close(call, self._timeliness(call))

    def finish(self, call: SimulatedCall) -> None:
        """Receive the last token of an answer."""
        self.end(call, None)
        if not call.closed:
            self._close(call, self._timeliness(call))

    def end(self, call: SimulatedCall, outcome: SendOutcome | None) -> None:
        """Stop counting a call at its engine."""
        self.estimates.ended(call.number)
        if call.number in self._tickets:  # else it ended with its engine
            router, ticket = self._tickets.pop(call.number)
            router.dispatcher.end(ticket, outcome, self.events.now)

    def refused_by_engine(self, call: SimulatedCall, retry_after_s: float) -> None:
        """Refuse a call that reached a full engine."""
        self.end(call, SendOutcome.NOT_RUN)
        self._refuse(call, retry_after_s)

    def lose(
        self,
        call: SimulatedCall,
        server: str,
        outcome: SendOutcome = SendOutcome.UNKNOWN,
    ) -> None:
        """Place a call again whose engine has stopped, as far as the budget allows."""
        if call.closed:
            return
        pending = self._sent[call.number]
        dispatcher = pending.router.dispatcher
        now = self.events.now
        self.end(call, outcome)
        dispatcher.health(server).unreachable(now)
        again = pending.asked_again(server, now)
        if len(again.avoid) <= MAX_SENDS and dispatcher.take_retry(SERVICE, now):
            self._place(again)
        else:
            self._close(call, "failed")

    def add_server(self, server: str, shape: EngineShape) -> None:
        """Register a new engine at every router."""
        instance = Instance(server, SERVICE, "10.0.0.1", 1, "fes", shape.slots)
        for router in self.routers:
            if router.dispatcher.registry.put(instance, self.events.now):
                router.dispatcher.restarted(server)

    def remove_server(self, server: str) -> None:
        """Remove a stopped engine's entry at every router."""
        for router in self.routers:
            router.dispatcher.registry.remove(server, self.events.now)
            router.dispatcher.expire(self.events.now)

    def receive_reply(self, router: LabRouter, reply: PlacementReply) -> None:
        """Act upon an owner's reply as the served routers do."""
        assert router.client is not None
        pending = self._requests.get((router.name, reply.number))
        if pending is None:
            router.client.receive_reply(reply)  # returns a place that is not needed
            return
        router.dispatcher.rooms.note(reply.owner, reply.room, self.events.now)
        if reply.kind is ReplyKind.WAITS:
            return
        self._forget_request(pending)
        placed = router.client.decide(pending.demand, pending.avoid, reply)
        if pending.is_spilling and pending.first_refusal is not None:
            pending.is_spilling = False
            router.client.spilled.note(reply.owner, outcome_of(placed))
            if not isinstance(placed, Placement):
                self._refuse(pending.call, pending.first_refusal.retry_after_s)
                return
        if placed is None:
            self._try_to_place(pending)
        elif isinstance(placed, Placement):
            self._send(pending, placed)
        else:
            self._spill_or_refuse(pending, placed)

    def _kind(self, call: SimulatedCall) -> CallClass:
        return next(row for row in self.workload.classes if row.name == call.kind)

    def _timeliness(self, call: SimulatedCall) -> str:
        assert call.begun_at is not None
        on_time = call.begun_at - call.arrived <= self._kind(call).objective_s
        return "on time" if on_time else "late"

    def _close(self, call: SimulatedCall, ended: str) -> None:
        call.closed = True
        self.outcomes.append(CallOutcome(call, ended, self.events.now))

    def _cut(self, call: SimulatedCall) -> None:
        """End a call at its deadline, as its caller does."""
        if call.closed:
            return
        self._close(call, "failed")
        waiting = self._waiting.get(call.number)
        if waiting is not None:
            self._withdraw(waiting)
        if call.number in self._tickets:
            server = self._tickets[call.number][1].charge.server
            self.end(call, None)
            cancel = partial(self.engines.cancel, call, server)
            self.events.at(self.events.now + NETWORK_DELAY_S, cancel)

    def _arrive(self, call: SimulatedCall) -> None:
        if call.closed:
            return
        router = self.routers[self.pick_router(call, len(self.routers))]
        read_at = router.work(READ_COST_S, self.events.now)
        self.events.at(read_at, partial(self._decide, call, router))

    def _decide(self, call: SimulatedCall, router: LabRouter) -> None:
        """Refuse a call or try to place it."""
        now = self.events.now
        demand = _demand(call, self._kind(call))
        router.dispatcher.note_asked(demand, now)
        refusal = router.dispatcher.reject_early(demand, now)
        if refusal is not None:
            self._refuse(call, refusal.retry_after_s)
            return
        if router.is_busy(demand, now):
            assert router.processor is not None
            self._refuse(call, router.processor.guard.retry_after_s())
            return
        self._place(PendingCall(call, demand, router, now))

    def _place(self, pending: PendingCall) -> None:
        """Place a call, or let the owner of the engines that suit it do so."""
        if pending.router.granter is None:
            self._try_to_place(pending)
        else:
            self._ask_owner(pending)

    def _ask_owner(self, pending: PendingCall) -> None:
        """Ask the owner of the engines that suit a call, or decide as their owner."""
        router = pending.router
        client = router.client
        assert client is not None
        owner = client.owner_for(pending.demand)
        queues_own = router.dispatcher.queues_calls(SERVICE)
        if owner is None or (owner == router.name and not queues_own):
            if owner is not None:
                pending.owned = client.own_servers(pending.demand)
            self._try_to_place(pending)
            return
        self._request(pending, owner, pending.demand, may_wait=pending.may_wait)

    def _request(
        self, pending: PendingCall, owner: RouterName, demand: Demand, *, may_wait: bool
    ) -> None:
        """Request a place from an owner, which may be the call's own router."""
        router, client = pending.router, pending.router.client
        assert client is not None
        request = client.new_request(
            owner,
            demand,
            pending.avoid,
            may_wait=may_wait,
            remaining_s=pending.call.remaining_s(self.events.now),
        )
        pending.asked = (owner, request)
        self._requests[router.name, request.number] = pending
        self._waiting[pending.call.number] = pending
        self.messages.send_request(owner, request)

    def _forget_request(self, pending: PendingCall) -> None:
        assert pending.asked is not None
        _, request = pending.asked
        pending.asked = None
        del self._requests[request.router, request.number]
        del self._waiting[pending.call.number]

    def _withdraw(self, pending: PendingCall) -> None:
        """Tell the owner that a waiting call's caller has left."""
        assert pending.asked is not None
        assert pending.router.client is not None
        owner, request = pending.asked
        self._forget_request(pending)
        pending.router.client.cancel(owner, request)

    def _spill_or_refuse(self, pending: PendingCall, refusal: Refusal) -> None:
        """Ask a second owner for a call, as the served routers do, or refuse it."""
        owner = self._second_owner(pending, refusal)
        if owner is None:
            self._refuse(pending.call, refusal.retry_after_s)
            return
        pending.first_refusal, pending.is_spilling = refusal, True
        now, dispatcher = self.events.now, pending.router.dispatcher
        dispatcher.rooms.note_sent(owner, pending.demand.prompt_tokens, now)
        self._request(pending, owner, _rest_of(pending, now), may_wait=False)

    def _second_owner(
        self, pending: PendingCall, refusal: Refusal
    ) -> RouterName | None:
        router, now = pending.router, self.events.now
        if pending.call.closed or router.spiller is None:
            return None
        if pending.first_refusal is not None:
            return None
        if not may_spill(router.dispatcher, pending.demand, refusal):
            return None
        first = refusal.owner or router.name
        return router.spiller.second_owner(_rest_of(pending, now), first, now)

    def _leaves_early(self, waiting: PendingCall, refusal: Refusal) -> bool:
        """Return whether a call should leave its router's own queue."""
        if waiting.owned is None or waiting.first_refusal is not None:
            return False
        router, now = waiting.router, self.events.now
        return refuses_early(
            router.dispatcher,
            waiting.demand,
            refusal,
            waiting.owned,
            now - waiting.since,
            now,
            {router.name},
        )

    def _try_to_place(self, waiting: PendingCall) -> None:
        """Place a call on an engine; otherwise hold it and retry, or refuse it."""
        if waiting.call.closed:
            return
        now = self.events.now
        router, objective_s = waiting.router, waiting.demand.objective_s
        held_s = now - waiting.since
        demand = evolve(waiting.demand, objective_s=max(0.0, objective_s - held_s))
        placed = router.dispatcher.place(
            demand, now, avoid=waiting.avoid, owned=waiting.owned
        )
        if isinstance(placed, Placement):
            self._send(waiting, placed)
            return
        if waiting.owned is not None and placed.reason is RefusalReason.NO_SERVERS:
            waiting.owned = None  # other routers own engines that it may use
            self._try_to_place(waiting)
            return
        router.held.count += 1
        pause_s = router.held.next_poll_s(placed, objective_s, held_s)
        if (
            pause_s is None
            or not waiting.may_wait
            or self._leaves_early(waiting, placed)
        ):
            router.held.count -= 1
            self._spill_or_refuse(waiting, placed)
            return
        due = max(now + pause_s, router.work(PLACEMENT_COST_S, now))
        self.events.at(due, partial(self._retry_placement, waiting))

    def _retry_placement(self, waiting: PendingCall) -> None:
        waiting.router.held.count -= 1
        self._try_to_place(waiting)

    def _send(self, waiting: PendingCall, placed: Placement) -> None:
        call, router, now = waiting.call, waiting.router, self.events.now
        if call.closed:
            if placed.grant is not None and router.client is not None:
                router.client.abandon(placed.grant)
            return
        self._sent[call.number] = waiting
        ticket = router.dispatcher.send(waiting.demand, placed, now)
        self._tickets[call.number] = (router, ticket)
        choice = placed.choice
        state = self.engines.state(choice.server)
        self.estimates.sent(call.number, state, choice.wait_s + choice.read_s, now)
        arrives = router.work(FORWARD_COST_S, now) + NETWORK_DELAY_S
        self.events.at(arrives, partial(self.engines.reach, call, choice.server))

    def _refuse(self, call: SimulatedCall, retry_after_s: float) -> None:
        if call.closed:
            return
        if call.retries >= MAX_RETRIES:
            self._close(call, "refused")
            return
        call.retries += 1
        now = self.events.now
        pause_s = min(retry_after_s, RETRY_WAIT_FRACTION * call.remaining_s(now))
        self.events.at(now + pause_s, partial(self._arrive, call))


def _rest_of(pending: PendingCall, now: float) -> Demand:
    """Return a call's demand with the objective that is left."""
    left_s = pending.demand.objective_s - (now - pending.since)
    return evolve(pending.demand, objective_s=max(0.0, left_s))


def _demand(call: SimulatedCall, kind: CallClass) -> Demand:
    return Demand(
        f"c{call.number}",
        SERVICE,
        call.workspace,
        kind.objective_s,
        call.part,
        call.shared_tokens,
        call.own_tokens,
        call.max_output_tokens or call.output_tokens,
        _hash_fraction(call),
        length_hint=call.length_hint,
    )


def _hash_fraction(call: SimulatedCall) -> float:
    number = call.number.to_bytes(8, "big")
    return hash_fraction_of(fingerprint_of(call.workspace, "", "", number, b""))
