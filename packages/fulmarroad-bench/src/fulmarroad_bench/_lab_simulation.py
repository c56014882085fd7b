"""Simulate the routers of a fleet, their callers and engines as timed events."""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable, Iterable, Sequence

from attrs import define, evolve, field

from fulmarroad.types import RefusalReason
from fulmarroad_bench._lab_day import CallOutcome
from fulmarroad_bench._lab_engine import (
    EngineShape,
    EngineStop,
    SimulatedCall,
    SimulatedEngine,
)
from fulmarroad_bench._lab_processor import (
    FORWARD_COST_S,
    PLACEMENT_COST_S,
    READ_COST_S,
)
from fulmarroad_bench._lab_router import (
    LabRouter,
    PendingCall,
    PickRouter,
    RouterReport,
    pick_round_robin,
)
from fulmarroad_bench._lab_traffic import CallClass, Workload
from fulmarroad_serving import (
    Demand,
    Instance,
    Placement,
    SendOutcome,
    Ticket,
)
from fulmarroad_serving._fingerprints import fingerprint_of, hash_fraction_of
from fulmarroad_serving._granting import AddressedReply
from fulmarroad_serving._owner_exchange import NOTES_DELAY_S
from fulmarroad_serving._owner_messages import (
    PlacementRequest,
    ReplyKind,
    read_progress,
)
from fulmarroad_serving._reports import unpack

REPORT_S = 0.15
"""Seconds between two exchanges of reports between routers."""

NETWORK_DELAY_S = 0.0015
"""Seconds that a message takes from a router to an engine or back."""

MAX_RETRIES = 1
"""Number of times that a caller retries after a refusal."""

MAX_SENDS = 3
"""Number of engines to which a router sends one call."""

REMOVAL_S = 3.6
"""Seconds after which the entry of a stopped engine is removed: three heartbeats."""

SERVICE = "drafting"


@define
class Simulation:
    """Simulate one day as a queue of timed events."""

    workload: Workload
    pick_router: PickRouter = pick_round_robin
    report_delay_s: float = 0.0  # between routers
    stops: Sequence[EngineStop] = ()
    routers: list[LabRouter] = field(factory=list)
    engines: dict[str, SimulatedEngine] = field(factory=dict)
    tickets: dict[int, tuple[LabRouter, Ticket]] = field(factory=dict)
    requests: dict[tuple[str, int], PendingCall] = field(factory=dict)
    """Calls that wait for an owner's reply, by router and number of the request."""
    pending: dict[int, PendingCall] = field(factory=dict)  # sent to engines
    random: random.Random = field(factory=lambda: random.Random(1))
    stepping_engines: set[str] = field(factory=set)
    known: set[str] = field(factory=set)
    outcomes: list[CallOutcome] = field(factory=list)
    samples: list[tuple[float, int, float]] = field(factory=list)
    now: float = 0.0
    _heap: list[tuple[float, int, Callable[[], None]]] = field(factory=list)
    _number: itertools.count[int] = field(factory=itertools.count)
    _notes_due: set[str] = field(factory=set)  # routers that will send notes

    def at(self, when: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._heap, (when, next(self._number), action))

    def simulate(self, calls: Iterable[SimulatedCall]) -> None:
        """Run the day with these calls and everything that follows from them."""
        for call in calls:
            self.at(call.arrived, lambda call=call: self.arrive(call))  # type: ignore[misc]
        for stop in self.stops:
            self.at(stop.at_s, lambda stop=stop: self.stop_engines(stop))  # type: ignore[misc]
        self.at(0.0, self.exchange)
        while self._heap:
            self.now, _, action = heapq.heappop(self._heap)
            action()

    def exchange(self) -> None:
        """Send every router's report to all others and record a sample."""
        reports = [
            RouterReport(
                sender,
                sender.dispatcher.own_load(),
                sender.dispatcher.shares.own_counts(self.now),
                sender.dispatcher.parts.pop_updates(40),
            )
            for sender in self.routers
        ]
        written_at = self.now
        if self.report_delay_s:
            self.at(
                self.now + self.report_delay_s,
                lambda: self.receive_reports(reports, written_at),
            )
        else:
            self.receive_reports(reports, written_at)
        waiting = sum(len(row.waiting) for row in self.engines.values())
        used = sum(
            row.memory_used / row.shape.memory_tokens for row in self.engines.values()
        )
        self.samples.append((self.now, waiting, used / len(self.engines)))
        if self.now < self.workload.seconds + 10.0:
            self.at(self.now + REPORT_S, self.exchange)

    def receive_reports(
        self, reports: Sequence[RouterReport], written_at: float
    ) -> None:
        """Apply every router's report of the time `written_at` to all other routers."""
        for number, row in enumerate(reports):
            name = f"r{number}"
            for other in self.routers:
                if other is row.sender:
                    continue
                other.dispatcher.receive_load(name, row.loads, written_at)
                other.dispatcher.shares.receive_counts(name, row.counts, written_at)
                for part, server in row.parts:
                    other.dispatcher.parts.note(part, server, self.now)

    def kind(self, call: SimulatedCall) -> CallClass:
        return next(row for row in self.workload.classes if row.name == call.kind)

    def arrive(self, call: SimulatedCall) -> None:
        router = self.routers[self.pick_router(call, len(self.routers))]
        read_at = router.work(READ_COST_S, self.now)
        self.at(read_at, lambda: self.decide(call, router))

    def decide(self, call: SimulatedCall, router: LabRouter) -> None:
        """Refuse a call or try to place it."""
        demand = Demand(
            f"c{call.number}",
            SERVICE,
            call.workspace,
            self.kind(call).objective_s,
            call.part,
            call.shared_tokens,
            call.own_tokens,
            call.output_tokens,
            _hash_fraction(call),
        )
        router.dispatcher.note_asked(demand, self.now)
        refusal = router.dispatcher.reject_early(demand, self.now)
        if refusal is not None:
            self.refuse(call, refusal.retry_after_s)
            return
        if router.is_busy(demand, self.now):
            assert router.processor is not None
            self.refuse(call, router.processor.guard.retry_after_s())
            return
        pending = PendingCall(call, demand, router, self.now)
        self.place(pending)

    def place(self, pending: PendingCall) -> None:
        """Place a call, or let the owner of the engines that suit it do so."""
        if pending.router.granter is None:
            self.try_to_place(pending)
        else:
            self.ask_owner(pending)

    def ask_owner(self, pending: PendingCall) -> None:
        """Ask the owner of the engines that suit a call, or decide as their owner."""
        router = pending.router
        client = router.client
        assert client is not None
        owner_name = client.owner_for(pending.demand)
        if owner_name is None:
            self.try_to_place(pending)
            return
        if owner_name == router.name:
            pending.owned = client.own_servers(pending.demand)
            self.try_to_place(pending)
            return
        owner = next(row for row in self.routers if row.name == owner_name)
        request = client.new_request(
            owner_name, pending.demand, pending.avoid, may_wait=pending.may_wait
        )
        self.requests[router.name, request.number] = pending
        self.at(
            self.now + NETWORK_DELAY_S, lambda: self.receive_request(owner, request)
        )

    def receive_request(self, owner: LabRouter, request: PlacementRequest) -> None:
        assert owner.granter is not None
        owner.work(PLACEMENT_COST_S, self.now)
        self.deliver(owner, [owner.granter.receive_request(request, self.now)])
        self.schedule_held(owner)

    def schedule_held(self, owner: LabRouter) -> None:
        """Let an owner decide on its held requests when the next one is due."""
        assert owner.granter is not None
        due = owner.granter.next_due
        if due is not None:
            self.at(max(due, self.now), lambda: self.decide_held(owner))

    def decide_held(self, owner: LabRouter) -> None:
        assert owner.granter is not None
        due = owner.granter.next_due
        if due is None or due > self.now:
            return
        self.deliver(owner, owner.granter.decide_held(self.now))
        self.schedule_held(owner)

    def deliver(self, owner: LabRouter, replies: Sequence[AddressedReply]) -> None:
        for row in replies:
            if row.reply.kind is not ReplyKind.WAITS:
                self.at(
                    self.now + NETWORK_DELAY_S,
                    lambda row=row: self.receive_reply(row),  # type: ignore[misc]
                )

    def receive_reply(self, addressed: AddressedReply) -> None:
        """Act upon an owner's reply as the served routers do."""
        pending = self.requests.pop((addressed.router, addressed.reply.number))
        client = pending.router.client
        assert client is not None
        placed = client.decide(pending.demand, pending.avoid, addressed.reply)
        if placed is None:
            self.try_to_place(pending)
        elif isinstance(placed, Placement):
            self.send(pending, placed)
        else:
            self.refuse(pending.call, placed.retry_after_s)

    def schedule_notes(self, router: LabRouter) -> None:
        """Let a router tell owners of its calls' progress a moment later."""
        if router.name not in self._notes_due:
            self._notes_due.add(router.name)
            self.at(self.now + NOTES_DELAY_S, lambda: self.send_notes(router))

    def send_notes(self, router: LabRouter) -> None:
        self._notes_due.discard(router.name)
        assert router.client is not None
        for owner_name, data in router.client.pop_notes():
            owner = next(row for row in self.routers if row.name == owner_name)
            report = read_progress(unpack(data))
            self.at(
                self.now + NETWORK_DELAY_S,
                lambda owner=owner, report=report: (  # type: ignore[misc]
                    owner.granter.receive_progress(report, self.now)
                ),
            )

    def try_to_place(self, waiting: PendingCall) -> None:
        """Place a call on an engine; otherwise hold it and retry, or refuse it."""
        router, objective_s = waiting.router, waiting.demand.objective_s
        held_s = self.now - waiting.since
        demand = evolve(waiting.demand, objective_s=max(0.0, objective_s - held_s))
        placed = router.dispatcher.place(
            demand, self.now, avoid=waiting.avoid, owned=waiting.owned
        )
        if isinstance(placed, Placement):
            self.send(waiting, placed)
            return
        if waiting.owned is not None and placed.reason is RefusalReason.NO_SERVERS:
            waiting.owned = None  # other routers own engines that it may use
            self.try_to_place(waiting)
            return
        router.held.count += 1
        pause_s = router.held.next_poll_s(placed, objective_s, held_s)
        if pause_s is None or not waiting.may_wait:
            router.held.count -= 1
            self.refuse(waiting.call, placed.retry_after_s)
            return
        due = max(self.now + pause_s, router.work(PLACEMENT_COST_S, self.now))
        self.at(due, lambda: self.retry_placement(waiting))

    def retry_placement(self, waiting: PendingCall) -> None:
        waiting.router.held.count -= 1
        self.try_to_place(waiting)

    def send(self, waiting: PendingCall, placed: Placement) -> None:
        call, router = waiting.call, waiting.router
        self.pending[call.number] = waiting
        ticket = router.dispatcher.send(waiting.demand, placed, self.now)
        self.tickets[call.number] = (router, ticket)
        server = placed.choice.server
        self.at(
            router.work(FORWARD_COST_S, self.now) + NETWORK_DELAY_S,
            lambda: self.reach_engine(call, server),
        )

    def refuse(self, call: SimulatedCall, retry_after_s: float) -> None:
        if call.retries >= MAX_RETRIES:
            self.outcomes.append(CallOutcome(call, "refused", self.now))
            return
        call.retries += 1
        self.at(self.now + retry_after_s, lambda: self.arrive(call))

    def reach_engine(self, call: SimulatedCall, server: str) -> None:
        if server not in self.engines:
            self.lose(call, server, SendOutcome.NOT_SENT)
        elif not self.engines[server].admit(call):
            self.end(call, SendOutcome.NOT_RUN)
            self.refuse(call, 0.5)
        elif server not in self.stepping_engines:
            self.stepping_engines.add(server)
            self.step(server)

    def stop_engines(self, stop: EngineStop) -> None:
        """Stop engines, whose calls are lost; others take their place later."""
        for number in stop.engines:
            server = f"e{number}"
            engine = self.engines.pop(server)
            for call in engine.unbegun_calls():
                self.at(
                    self.now + NETWORK_DELAY_S,
                    lambda call=call, server=server: self.lose(call, server),  # type: ignore[misc]
                )
            for call in engine.running:
                self.end(call, SendOutcome.UNKNOWN)
            self.at(
                self.now + REMOVAL_S,
                lambda server=server: self.remove_server(server),  # type: ignore[misc]
            )
            self.at(
                self.now + stop.replaced_after_s,
                lambda server=server, shape=engine.shape: self.add_server(  # type: ignore[misc]
                    f"{server}-new", shape
                ),
            )

    def remove_server(self, server: str) -> None:
        """Remove a stopped engine's entry at every router."""
        for router in self.routers:
            router.dispatcher.registry.remove(server, self.now)
            router.dispatcher.expire(self.now)

    def add_server(self, server: str, shape: EngineShape) -> None:
        """Start an engine without any cached part."""
        self.engines[server] = SimulatedEngine(shape)
        instance = Instance(server, SERVICE, "10.0.0.1", 1, "fes", shape.slots)
        for router in self.routers:
            if router.dispatcher.registry.put(instance, self.now):
                router.dispatcher.restarted(server)

    def lose(
        self,
        call: SimulatedCall,
        server: str,
        outcome: SendOutcome = SendOutcome.UNKNOWN,
    ) -> None:
        """Place a call again whose engine has stopped, as far as the budget allows."""
        pending = self.pending[call.number]
        dispatcher = pending.router.dispatcher
        self.end(call, outcome)
        dispatcher.health(server).unreachable(self.now)
        again = pending.asked_again(server, self.now)
        if len(again.avoid) <= MAX_SENDS and dispatcher.take_retry(SERVICE, self.now):
            self.place(again)
        else:
            self.outcomes.append(CallOutcome(call, "failed", self.now))

    def step(self, server: str) -> None:
        engine = self.engines.get(server)
        if engine is None or not engine.busy:
            self.stepping_engines.discard(server)
            return
        result = engine.step(self.known)
        end = self.now + result.seconds
        for call in result.begun:
            self.at(
                end + NETWORK_DELAY_S,
                lambda call=call: self.begin(call),  # type: ignore[misc]
            )
        for call in result.done:
            self.at(end + NETWORK_DELAY_S, lambda call=call: self.finish(call))  # type: ignore[misc]
        self.at(end, lambda: self.step(server))

    def begin(self, call: SimulatedCall) -> None:
        if call.number in self.tickets:
            router, ticket = self.tickets[call.number]
            router.dispatcher.begin(ticket, self.now)
        on_time = self.now - call.arrived <= self.kind(call).objective_s
        ended = "on time" if on_time else "late"
        self.outcomes.append(CallOutcome(call, ended, self.now))

    def finish(self, call: SimulatedCall) -> None:
        self.end(call, None)

    def end(self, call: SimulatedCall, outcome: SendOutcome | None) -> None:
        if call.number in self.tickets:  # else it ended with its engine
            router, ticket = self.tickets.pop(call.number)
            router.dispatcher.end(ticket, outcome, self.now)


def _hash_fraction(call: SimulatedCall) -> float:
    number = call.number.to_bytes(8, "big")
    return hash_fraction_of(fingerprint_of(call.workspace, "", "", number, b""))
