"""Compare placement policies in virtual time, with simulated engines.

    make lab                                   # one day per policy, as a report
    python -m fulmarroad_bench.lab --seeds 3   # three days each

The routers' decisions are made by the code of `fulmarroad_serving`; engines and traffic
are simulated from a deployment's data sheet, so a day of thousands of calls takes
seconds. The simulated engine is simpler than a real one: results show which policy is
better, not the figures that a real deployment reaches.
"""

from __future__ import annotations

import heapq
import itertools
import json
import random
from collections.abc import Callable, Mapping, Sequence
from pathlib import Path

import fire
from attrs import define, evolve, field, frozen

from fulmarroad.types import ServerName, WorkspaceName
from fulmarroad_bench._lab_day import CallOutcome, SimulatedDay, summary
from fulmarroad_bench._lab_engine import EngineShape, SimulatedCall, SimulatedEngine
from fulmarroad_bench._lab_processor import (
    FORWARD_COST_S,
    PLACEMENT_COST_S,
    READ_COST_S,
    Processor,
)
from fulmarroad_bench._lab_report import write_report
from fulmarroad_bench._lab_traffic import REMINDERS, CallClass, Workload, arrivals
from fulmarroad_serving import (
    PLACEMENTS,
    CallerLimits,
    CallKind,
    Catalog,
    Demand,
    Dispatcher,
    FleetBounds,
    Instance,
    Placement,
    SendOutcome,
    Service,
    Ticket,
    placement_named,
)
from fulmarroad_serving import EngineProfile as Profile
from fulmarroad_serving._fingerprints import fingerprint_of, hash_fraction_of
from fulmarroad_serving._granting import AddressedReply, Granter
from fulmarroad_serving._holding import HeldCalls
from fulmarroad_serving._load import PeerLoad
from fulmarroad_serving._owner_messages import (
    PlacementReply,
    PlacementRequest,
    ProgressNote,
    ProgressReport,
    ReplyKind,
)
from fulmarroad_serving._owners import OwnerTable
from fulmarroad_serving._routing import PartId, part_id
from fulmarroad_serving._shares import WorkspaceCount

REPORT_S = 0.15
"""Seconds between two exchanges of reports between routers."""

NETWORK_DELAY_S = 0.0015
"""Seconds that a message takes from a router to an engine or back."""

MAX_RETRIES = 1
"""Number of times that a caller retries after a refusal."""

THROUGHPUT = 455_000.0
"""Units of service per second that operators configure for five engines."""

SERVICE = "drafting"
ENGINES_STARTED_AT_S = -60.0
"""Start time of the engines, in seconds: well before the first call at 0."""


PickRouter = Callable[[SimulatedCall, int], int]
"""Return the index of the router for a call, given the number of routers."""


def pick_round_robin(call: SimulatedCall, routers: int) -> int:
    """Send calls to the routers in turn, and each retry to a different router."""
    return (call.number + 3 * call.retries) % routers


@define
class _Router:
    name: str
    dispatcher: Dispatcher
    granter: Granter | None = None  # None: each router places its own calls
    held: HeldCalls = field(factory=HeldCalls)
    processor: Processor | None = None  # None: work takes no time

    def work(self, seconds: float, now: float) -> float:
        """Add seconds of work for one core; return the time at which it is done."""
        return self.processor.work(seconds, now) if self.processor else now

    def is_busy(self, kind: CallKind) -> bool:
        """Return whether the overload guard refuses a call of this kind."""
        return self.processor is not None and self.processor.guard.should_shed(kind)


@define
class _PendingCall:
    """Hold a call that waits at a router for an engine with capacity."""

    call: SimulatedCall
    demand: Demand
    router: _Router
    since: float


@frozen
class _RouterReport:
    """Hold what one router reports to the others."""

    sender: _Router
    loads: Mapping[ServerName, PeerLoad]
    counts: Mapping[WorkspaceName, WorkspaceCount]
    parts: Sequence[tuple[PartId, ServerName]]


@define
class _Simulation:
    """Simulate one day as a queue of timed events."""

    workload: Workload
    policy: str
    seed: int
    pick_router: PickRouter = pick_round_robin
    report_delay_s: float = 0.0  # between routers
    routers: list[_Router] = field(factory=list)
    engines: dict[str, SimulatedEngine] = field(factory=dict)
    tickets: dict[int, tuple[_Router, Ticket]] = field(factory=dict)
    requests: dict[int, _PendingCall] = field(factory=dict)  # sent to owners
    grants: dict[int, tuple[_Router, str, int]] = field(factory=dict)
    """The owner of each granted call, its router's name and the request's number."""
    owners: OwnerTable = field(factory=lambda: OwnerTable(lambda service: ()))
    random: random.Random = field(factory=lambda: random.Random(1))
    stepping_engines: set[str] = field(factory=set)
    known: set[str] = field(factory=set)
    outcomes: list[CallOutcome] = field(factory=list)
    samples: list[tuple[float, int, float]] = field(factory=list)
    now: float = 0.0
    _heap: list[tuple[float, int, Callable[[], None]]] = field(factory=list)
    _number: itertools.count[int] = field(factory=itertools.count)

    def at(self, when: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._heap, (when, next(self._number), action))

    def simulate(self) -> None:
        for call in arrivals(self.workload, self.seed):
            self.at(call.arrived, lambda call=call: self.arrive(call))  # type: ignore[misc]
        self.at(0.0, self.exchange)
        while self._heap:
            self.now, _, action = heapq.heappop(self._heap)
            action()

    def exchange(self) -> None:
        """Send every router's report to all others and record a sample."""
        reports = [
            _RouterReport(
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
        self, reports: Sequence[_RouterReport], written_at: float
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

    def decide(self, call: SimulatedCall, router: _Router) -> None:
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
        if router.is_busy(CallKind.STREAM):
            assert router.processor is not None
            self.refuse(call, router.processor.guard.retry_after_s())
            return
        pending = _PendingCall(call, demand, router, self.now)
        if router.granter is None:
            self.try_to_place(pending)
        else:
            self.ask_owner(pending)

    def ask_owner(self, pending: _PendingCall) -> None:
        """Send a call's placement request to the owner of the engines that suit it."""
        order = self.owners.owners(SERVICE).order(
            part_id(pending.demand.part), self.random
        )
        owner = next(row for row in self.routers if row.name == order[0])
        number = next(self._number)
        self.requests[number] = pending
        request = PlacementRequest(pending.router.name, 1, number, pending.demand)
        self.at(
            self.now + NETWORK_DELAY_S, lambda: self.receive_request(owner, request)
        )

    def receive_request(self, owner: _Router, request: PlacementRequest) -> None:
        assert owner.granter is not None
        owner.work(PLACEMENT_COST_S, self.now)
        self.deliver(owner, [owner.granter.receive_request(request, self.now)])
        self.schedule_held(owner)

    def schedule_held(self, owner: _Router) -> None:
        """Let an owner decide on its held requests when the next one is due."""
        assert owner.granter is not None
        due = owner.granter.next_due
        if due is not None:
            self.at(max(due, self.now), lambda: self.decide_held(owner))

    def decide_held(self, owner: _Router) -> None:
        assert owner.granter is not None
        due = owner.granter.next_due
        if due is None or due > self.now:
            return
        self.deliver(owner, owner.granter.decide_held(self.now))
        self.schedule_held(owner)

    def deliver(self, owner: _Router, replies: Sequence[AddressedReply]) -> None:
        for row in replies:
            if row.reply.kind is not ReplyKind.WAITS:
                self.at(
                    self.now + NETWORK_DELAY_S,
                    lambda reply=row.reply: self.receive_reply(owner, reply),  # type: ignore[misc]
                )

    def receive_reply(self, owner: _Router, reply: PlacementReply) -> None:
        pending = self.requests.pop(reply.number)
        call = pending.call
        if reply.kind is not ReplyKind.GRANTED:
            self.refuse(call, reply.retry_after_s)
            return
        self.grants[call.number] = (owner, pending.router.name, reply.number)
        self.at(
            pending.router.work(FORWARD_COST_S, self.now) + NETWORK_DELAY_S,
            lambda: self.reach_engine(call, reply.server),
        )

    def report_progress(self, call: SimulatedCall, note: ProgressNote) -> None:
        """Tell the owner how far a call is."""
        owner, name, number = self.grants[call.number]
        if note.ended:
            del self.grants[call.number]
        report = ProgressReport(name, 1, (evolve(note, number=number),))
        granter = owner.granter
        assert granter is not None
        self.at(
            self.now + NETWORK_DELAY_S,
            lambda: granter.receive_progress(report, self.now),
        )

    def try_to_place(self, waiting: _PendingCall) -> None:
        """Place a call on an engine; otherwise hold it and retry, or refuse it."""
        router, objective_s = waiting.router, waiting.demand.objective_s
        held_s = self.now - waiting.since
        demand = evolve(waiting.demand, objective_s=max(0.0, objective_s - held_s))
        placed = router.dispatcher.place(demand, self.now)
        if isinstance(placed, Placement):
            self.send(waiting, placed)
            return
        router.held.count += 1
        pause_s = router.held.next_poll_s(placed, objective_s, held_s)
        if pause_s is None:
            router.held.count -= 1
            self.refuse(waiting.call, placed.retry_after_s)
            return
        due = max(self.now + pause_s, router.work(PLACEMENT_COST_S, self.now))
        self.at(due, lambda: self.retry_placement(waiting))

    def retry_placement(self, waiting: _PendingCall) -> None:
        waiting.router.held.count -= 1
        self.try_to_place(waiting)

    def send(self, waiting: _PendingCall, placed: Placement) -> None:
        call, router = waiting.call, waiting.router
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
        if not self.engines[server].admit(call):
            self.end(call, SendOutcome.NOT_RUN)
            self.refuse(call, 0.5)
        elif server not in self.stepping_engines:
            self.stepping_engines.add(server)
            self.step(server)

    def step(self, server: str) -> None:
        engine = self.engines[server]
        if not engine.busy:
            self.stepping_engines.discard(server)
            return
        result = engine.step(self.known)
        end = self.now + result.seconds
        for call in result.begun:
            self.at(end + NETWORK_DELAY_S, lambda call=call: self.begin(call))  # type: ignore[misc]
        for call in result.done:
            self.at(end + NETWORK_DELAY_S, lambda call=call: self.finish(call))  # type: ignore[misc]
        self.at(end, lambda: self.step(server))

    def begin(self, call: SimulatedCall) -> None:
        if call.number in self.grants:
            self.report_progress(call, ProgressNote(0, True))
        else:
            router, ticket = self.tickets[call.number]
            router.dispatcher.begin(ticket, self.now)
        on_time = self.now - call.arrived <= self.kind(call).objective_s
        ended = "on time" if on_time else "late"
        self.outcomes.append(CallOutcome(call, ended, self.now))

    def finish(self, call: SimulatedCall) -> None:
        self.end(call, None)

    def end(self, call: SimulatedCall, outcome: SendOutcome | None) -> None:
        if call.number in self.grants:
            note = ProgressNote(0, outcome is None, True, outcome)
            self.report_progress(call, note)
            return
        router, ticket = self.tickets.pop(call.number)
        router.dispatcher.end(ticket, outcome, self.now)


def _hash_fraction(call: SimulatedCall) -> float:
    number = call.number.to_bytes(8, "big")
    return hash_fraction_of(fingerprint_of(call.workspace, "", "", number, b""))


def simulate(
    workload: Workload,
    policy: str,
    seed: int,
    *,
    routers: int = 7,
    engines: int = 5,
    shape: EngineShape | None = None,
    pick_router: PickRouter = pick_round_robin,
    report_delay_s: float = 0.0,
    cores: Sequence[float] = (),
    owners: bool = False,
) -> SimulatedDay:
    """Simulate one day with one policy.

    With `owners`, calls are placed by the owners of engines, otherwise each router
    places its own. Reports between routers take `report_delay_s` seconds. `cores` lists
    the processor cores of each router; if empty, the routers' work takes no time.
    """
    run = _Simulation(workload, policy, seed, pick_router, report_delay_s)
    service = Service(SERVICE, engine=Profile(128))
    catalog = Catalog(
        1,
        services={SERVICE: service},
        limits=CallerLimits(units_per_s=THROUGHPUT * engines / 5),
    )
    names = [f"e{number}" for number in range(engines)]
    run.engines = {name: SimulatedEngine(shape or EngineShape()) for name in names}
    for number in range(routers):
        choose = placement_named(policy)
        dispatcher = Dispatcher(f"r{number}", "fes", FleetBounds(), number, choose)
        dispatcher.set_catalog(catalog)
        for name in names:
            slots = run.engines[name].shape.slots
            instance = Instance(name, SERVICE, "10.0.0.1", 1, "fes", slots)
            dispatcher.registry.put(instance, ENGINES_STARTED_AT_S)
        processor = Processor(cores[number]) if cores else None
        router = _Router(f"r{number}", dispatcher, processor=processor)
        run.routers.append(router)
    if owners:
        run.owners = OwnerTable(run.routers[0].dispatcher.registry.usable)
        run.owners.set_routers({row.name: "fes" for row in run.routers})
        for row in run.routers:
            table = OwnerTable(row.dispatcher.registry.usable, run.owners.routers)
            row.granter = Granter(row.name, 1, row.dispatcher, table)
    run.simulate()
    return SimulatedDay(
        policy,
        seed,
        tuple(run.outcomes),
        tuple(run.samples),
        sum(row.read_tokens for row in run.engines.values()),
        sum(row.reread_tokens for row in run.engines.values()),
    )


def main(
    seeds: int = 1,
    policies: str = ",".join(PLACEMENTS),
    directory: str = "bench/results/lab",
) -> None:
    """Simulate every policy on the same days and write an HTML report."""
    rows, days = [], []
    for policy in policies.split(",") if isinstance(policies, str) else policies:
        for seed in range(1, seeds + 1):
            day = simulate(REMINDERS, policy, seed)
            rows.append(summary(REMINDERS, day))
            days.append(day)
            shown = {key: rows[-1][key] for key in rows[-1] if not key.startswith("by")}
            print(json.dumps(shown))
    path = write_report(Path(directory), REMINDERS, days, rows)
    print(json.dumps({"report": str(path)}))


if __name__ == "__main__":
    fire.Fire(main)
