"""Simulate the routers of a fleet, their callers and engines as timed events."""

from __future__ import annotations

import random
from collections.abc import Iterable, Sequence

from attrs import field, frozen

from fulmarroad_bench._lab_day import SimulatedDay
from fulmarroad_bench._lab_engine import (
    EngineShape,
    EngineStop,
    SimulatedCall,
    SimulatedEngine,
)
from fulmarroad_bench._lab_engine_side import EngineSide
from fulmarroad_bench._lab_events import EventQueue
from fulmarroad_bench._lab_messages import LocalDelivery, MessageSide
from fulmarroad_bench._lab_processor import Processor
from fulmarroad_bench._lab_router import (
    CountingDispatcher,
    LabRouter,
    PickRouter,
    pick_round_robin,
)
from fulmarroad_bench._lab_router_side import SERVICE, RouterSide
from fulmarroad_bench._lab_slowdowns import Slowdowns, schedule_slowdowns
from fulmarroad_bench._lab_traffic import Workload
from fulmarroad_serving import (
    DEFAULT_PLACEMENT,
    CallerLimits,
    Catalog,
    FeatureSettings,
    FleetBounds,
    Instance,
    ServedRoute,
    Service,
    placement_named,
)
from fulmarroad_serving import EngineProfile as Profile
from fulmarroad_serving._granting import Granter
from fulmarroad_serving._owner_client import OwnerClient
from fulmarroad_serving._owners import OwnerTable
from fulmarroad_serving._spilling import Spiller

ENGINES_STARTED_AT_S = -60.0
"""Start time of the engines, in seconds: well before the first call at 0."""


@frozen
class Fleet:
    """Describe the routers and engines of a simulated day, and their configuration."""

    routers: int
    engines: int
    shape: EngineShape
    units_per_s: float  # capacity that operators state
    routes: tuple[ServedRoute, ...] = ()
    centres: tuple[str, ...] = ("fes",)  # routers and engines are in them in turn
    speeds: tuple[float, ...] = (1.0,)  # of the engines in turn
    slowdowns: Slowdowns | None = None
    pick_router: PickRouter = pick_round_robin
    report_delay_s: float = 0.0  # between routers
    cores: Sequence[float] = ()  # of each router; empty: its work takes no time
    owners: bool = False  # owners of engines place the calls
    stops: Sequence[EngineStop] = ()
    policy: str = DEFAULT_PLACEMENT
    features: FeatureSettings = field(factory=FeatureSettings)

    def centre(self, number: int) -> str:
        """Return the data centre of a router or engine."""
        return self.centres[number % len(self.centres)]


def simulate_fleet(
    workload: Workload, fleet: Fleet, calls: Iterable[SimulatedCall], seed: int
) -> SimulatedDay:
    """Simulate one day of a fleet with these calls."""
    events = EventQueue()
    routers = fleet_routers(fleet)
    router_side = RouterSide(events, workload, fleet.pick_router, routers)
    engine_side = EngineSide(
        events, router_side, _engines(fleet), seconds=workload.seconds
    )
    if fleet.slowdowns is not None:
        engine_side.slowdowns = schedule_slowdowns(
            fleet.slowdowns, fleet.engines, workload.seconds, seed
        )
    message_side = MessageSide(
        events,
        {row.name: row for row in routers},
        router_side.receive_reply,
        engine_side.sample,
        SERVICE,
        fleet.report_delay_s,
        workload.seconds,
    )
    router_side.engines, router_side.messages = engine_side, message_side
    if fleet.owners:
        for router in routers:
            _let_own(fleet, router, routers, message_side, seed)
    router_side.schedule(calls)
    engine_side.schedule_stops(fleet.stops)
    events.at(0.0, message_side.exchange)
    events.run()
    return _results(workload, fleet, seed, router_side)


def _results(
    workload: Workload, fleet: Fleet, seed: int, router_side: RouterSide
) -> SimulatedDay:
    engine_side = router_side.engines
    engines = engine_side.engines.values()
    return SimulatedDay(
        fleet.policy,
        seed,
        tuple(router_side.outcomes),
        tuple(engine_side.samples),
        sum(row.read_tokens for row in engines),
        sum(row.reread_tokens for row in engines),
        sum(row.dispatcher.attempts for row in router_side.routers),
        engine_side.reading_s / (fleet.engines * workload.seconds),
        tuple(router_side.estimates.rows),
    )


def _catalog(fleet: Fleet) -> Catalog:
    service = Service(SERVICE, engine=Profile(fleet.shape.slots))
    return Catalog(
        1,
        routes=fleet.routes,
        services={SERVICE: service},
        limits=CallerLimits(units_per_s=fleet.units_per_s),
    )


def _engines(fleet: Fleet) -> dict[str, SimulatedEngine]:
    speeds = fleet.speeds
    return {
        f"e{number}": SimulatedEngine(fleet.shape, speeds[number % len(speeds)])
        for number in range(fleet.engines)
    }


def fleet_routers(fleet: Fleet) -> list[LabRouter]:
    """Return the routers of a fleet, which know all engines."""
    catalog = _catalog(fleet)
    routers = []
    for number in range(fleet.routers):
        name = f"r{number}"
        dispatcher = CountingDispatcher(
            name,
            fleet.centre(number),
            FleetBounds(),
            number,
            placement_named(fleet.policy),
            fleet.features,
        )
        dispatcher.set_catalog(catalog)
        _register_engines(fleet, dispatcher)
        processor = Processor(fleet.cores[number]) if fleet.cores else None
        routers.append(LabRouter(name, dispatcher, processor=processor))
    return routers


def _register_engines(fleet: Fleet, dispatcher: CountingDispatcher) -> None:
    for number in range(fleet.engines):
        centre, slots = fleet.centre(number), fleet.shape.slots
        instance = Instance(f"e{number}", SERVICE, "10.0.0.1", 1, centre, slots)
        dispatcher.registry.put(instance, ENGINES_STARTED_AT_S)


def _let_own(
    fleet: Fleet,
    router: LabRouter,
    routers: Sequence[LabRouter],
    messages: MessageSide,
    seed: int,
) -> None:
    """Let a router own engines and ask other owners, with the served code."""
    table = OwnerTable(router.dispatcher.registry.usable, me=router.name)
    table.set_routers(
        {row.name: fleet.centre(number) for number, row in enumerate(routers)}
    )
    router.owners = table
    router.granter = Granter(router.name, 1, router.dispatcher, table)
    source = random.Random(f"{seed} {router.name}")
    client = router.client = OwnerClient(
        router.name, 1, router.dispatcher, table, source, lambda: messages.events.now
    )
    client.local = LocalDelivery(messages, router)
    router.spiller = Spiller(client, router.dispatcher, lambda: messages.events.now)
    client.on_notes = lambda: messages.schedule_notes(router)
    router.dispatcher.on_progress = client.note_progress
