"""Compare placement policies in virtual time, with simulated engines.

    make lab                                   # one day per policy, as a report
    python -m fulmarroad_bench.lab --seeds 3   # three days each

The routers' decisions are made by the code of `fulmarroad_serving`; engines and traffic
are simulated from a deployment's data sheet, so a day of thousands of calls takes
seconds. The simulated engine is simpler than a real one: results show which policy is
better, not the figures that a real deployment reaches.
"""

from __future__ import annotations

import json
import random
from collections.abc import Sequence
from pathlib import Path

import fire

from fulmarroad_bench._lab_day import SimulatedDay, summary
from fulmarroad_bench._lab_engine import EngineShape, EngineStop, SimulatedEngine
from fulmarroad_bench._lab_processor import Processor
from fulmarroad_bench._lab_report import write_report
from fulmarroad_bench._lab_router import LabRouter, PickRouter, pick_round_robin
from fulmarroad_bench._lab_simulation import SERVICE, Simulation
from fulmarroad_bench._lab_traffic import REMINDERS, Workload, arrivals
from fulmarroad_serving import (
    PLACEMENTS,
    CallerLimits,
    Catalog,
    Dispatcher,
    FleetBounds,
    Instance,
    Service,
    placement_named,
)
from fulmarroad_serving import EngineProfile as Profile
from fulmarroad_serving._granting import Granter
from fulmarroad_serving._owner_client import OwnerClient
from fulmarroad_serving._owners import OwnerTable

THROUGHPUT = 455_000.0
"""Units of service per second that operators configure for five engines."""

ENGINES_STARTED_AT_S = -60.0
"""Start time of the engines, in seconds: well before the first call at 0."""


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
    stops: Sequence[EngineStop] = (),
) -> SimulatedDay:
    """Simulate one day with one policy.

    With `owners`, calls are placed by the owners of engines, otherwise each router
    places its own. Reports between routers take `report_delay_s` seconds. `cores` lists
    the processor cores of each router; if empty, the routers' work takes no time.
    `stops` lists engines that stop and are replaced by new ones.
    """
    run = Simulation(workload, pick_router, report_delay_s, stops)
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
        router = LabRouter(f"r{number}", dispatcher, processor=processor)
        run.routers.append(router)
    if owners:
        for row in run.routers:
            _let_own(run, row, seed)
    run.simulate(arrivals(workload, seed))
    return SimulatedDay(
        policy,
        seed,
        tuple(run.outcomes),
        tuple(run.samples),
        sum(row.read_tokens for row in run.engines.values()),
        sum(row.reread_tokens for row in run.engines.values()),
    )


def _let_own(run: Simulation, router: LabRouter, seed: int) -> None:
    """Let a router own engines and ask other owners, with the served code."""
    table = OwnerTable(router.dispatcher.registry.usable, me=router.name)
    table.set_routers({row.name: "fes" for row in run.routers})
    router.granter = Granter(router.name, 1, router.dispatcher, table)
    source = random.Random(f"{seed} {router.name}")
    client = router.client = OwnerClient(
        router.name, 1, router.dispatcher, table, source, lambda: run.now
    )
    client.on_notes = lambda: run.schedule_notes(router)
    router.dispatcher.on_progress = client.note_progress


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
