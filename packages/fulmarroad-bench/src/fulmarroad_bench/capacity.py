"""Measure how a router's costs grow with the fleet, on the real modules.

Runs in one process without network. Each cost is measured at three sizes or more and
a line is fitted; docs/CAPACITY-LIBRARY.md derives the needs of a large fleet from the
slopes. The last line printed is JSON.
"""

from __future__ import annotations

import json
from typing import Any

import fire
from attrs import asdict

from fulmarroad.scheduling import gap_bound, spread_interval
from fulmarroad_bench import _capacity_control, _capacity_follower, _capacity_state
from fulmarroad_bench._capacity_size import TARGET_FLEET, FleetSize
from fulmarroad_bench._capacity_sums import (
    LIMITS,
    CostTerm,
    cost_terms,
    totals,
)
from fulmarroad_bench._slopes import Slope


def all_slopes() -> list[Slope]:
    """Measure and return every slope."""
    parts = (_capacity_state, _capacity_control, _capacity_follower)
    return [slope for part in parts for slope in part.slopes()]


def bounds(size: FleetSize) -> dict[str, float]:
    """Return the report interval and the gap bound that the library computes."""
    peers = size.schedulers_of_pool - 1
    interval = spread_interval(peers, size.backlogged_of_pool)
    return {
        "spread_peers": peers,
        "spread_entries": size.backlogged_of_pool,
        "spread_interval_s": interval,
        "gap_bound_tokens": _gap_bound(size, interval),
    }


def _gap_bound(size: FleetSize, interval_s: float) -> float:
    return gap_bound(
        units=size.units_of_pool,
        shards=size.shards_of_pool,
        rate=size.rate_of_pool,
        interval_s=interval_s,
        delay_s=size.delay_s,
        largest_cost=size.largest_cost,
        estimate_error=size.estimate_error,
    )


def _row(slope: Slope) -> str:
    sizes = "/".join(map(str, slope.sizes))
    return (
        f"{slope.name:24}{slope.unit:>8}{slope.each:14.3f}{slope.fixed:14.1f}"
        f"{slope.misfit:8.3f}  per {slope.per} at {sizes}"
    )


def table(slopes: list[Slope], limits: dict[str, float]) -> str:
    """Return the slopes and bounds as a text table."""
    header = f"{'slope':24}{'unit':>8}{'each':>14}{'fixed':>14}{'misfit':>8}"
    rows = [header, *map(_row, slopes)]
    rows += [f"{name:24}{value:22.3f}" for name, value in limits.items()]
    return "\n".join(rows)


def format_cost_terms(rows: list[CostTerm]) -> str:
    """Return the cost terms as text, with each kind's total against its limit."""
    shown = [
        f"{row.role:14}{row.kind:10}{row.what:36}{row.text} = {row.value:,.1f}"
        for row in sorted(rows, key=lambda row: list(LIMITS).index(row.kind))
    ]
    for kind, value in totals(rows).items():
        limit = LIMITS[kind]
        verdict = "within" if value <= limit else "PASSED"
        shown.append(f"total {kind:18}{value:16,.0f} of {limit:,.0f}: {verdict}")
    return "\n".join(shown)


def line(
    slopes: list[Slope], limits: dict[str, float], rows: list[CostTerm]
) -> dict[str, Any]:
    """Return the contents of the last output line."""
    return {
        "slopes": {slope.name: asdict(slope) for slope in slopes},
        "size": asdict(TARGET_FLEET),
        "bounds": limits,
        "totals": totals(rows),
        "limits": LIMITS,
    }


def main() -> None:
    """Measure, then print the slopes, the cost terms and one JSON line."""
    slopes, limits = all_slopes(), bounds(TARGET_FLEET)
    rounds = next(slope for slope in slopes if slope.name == "round_s").values[-1]
    limits["gap_bound_round_tokens"] = _gap_bound(TARGET_FLEET, rounds)
    rows = cost_terms(slopes, TARGET_FLEET)
    print(table(slopes, limits))
    print(format_cost_terms(rows))
    print(json.dumps(line(slopes, limits, rows)))


if __name__ == "__main__":
    fire.Fire(main)
