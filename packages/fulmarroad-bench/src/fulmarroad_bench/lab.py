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
from collections.abc import Sequence
from pathlib import Path

import fire

from fulmarroad_bench._lab_day import SimulatedDay, summary
from fulmarroad_bench._lab_engine import EngineShape, EngineStop
from fulmarroad_bench._lab_report import write_report
from fulmarroad_bench._lab_router import PickRouter, pick_round_robin
from fulmarroad_bench._lab_simulation import Fleet, simulate_fleet
from fulmarroad_bench._lab_traffic import REMINDERS, Workload, arrivals
from fulmarroad_serving import PLACEMENTS

THROUGHPUT = 455_000.0
"""Units of service per second that operators configure for five engines."""


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
    fleet = Fleet(
        routers,
        engines,
        shape or EngineShape(),
        units_per_s=THROUGHPUT * engines / 5,
        pick_router=pick_router,
        report_delay_s=report_delay_s,
        cores=cores,
        owners=owners,
        stops=stops,
        policy=policy,
    )
    return simulate_fleet(workload, fleet, arrivals(workload, seed), seed)


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
