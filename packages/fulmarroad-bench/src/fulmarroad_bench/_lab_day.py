"""Hold the results of a simulated day and compute its figures."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

from attrs import frozen

from fulmarroad_bench._lab_engine import SimulatedCall
from fulmarroad_bench._lab_estimates import EstimatedCall
from fulmarroad_bench._lab_traffic import Workload


@frozen
class CallOutcome:
    """Record how one call ended for its caller."""

    call: SimulatedCall
    ended: str  # on time, late, refused or failed
    at: float


@frozen
class SimulatedDay:
    """Hold the results of one day with one policy."""

    policy: str
    seed: int
    outcomes: tuple[CallOutcome, ...]
    samples: tuple[tuple[float, int, float], ...]  # seconds, calls waiting, memory used
    read_tokens: int
    reread_tokens: int
    placements: int = 0  # attempts of all routers to find a place
    reading_fraction: float = 0.0  # of the engines' time, spent reading prompts
    estimates: tuple[EstimatedCall, ...] = ()


def worth(workload: Workload, outcomes: Sequence[CallOutcome]) -> float:
    """Return the worth of answered calls as a fraction of the worth of all calls.

    A late call counts with its class's `late_worth`, others with 0.
    """
    kinds = {row.name: row for row in workload.classes}
    got = sum(
        kinds[row.call.kind].worth
        if row.ended == "on time"
        else kinds[row.call.kind].late_worth
        for row in outcomes
        if row.ended in ("on time", "late")
    )
    possible = sum(kinds[row.call.kind].worth for row in outcomes)
    return got / possible if possible else 0.0


def summary(workload: Workload, day: SimulatedDay) -> dict[str, Any]:
    """Return the figures of a day, as the report shows them."""
    ended = [row.ended for row in day.outcomes]
    by_class = {
        kind.name: round(
            worth(
                workload, [row for row in day.outcomes if row.call.kind == kind.name]
            ),
            3,
        )
        for kind in workload.classes
    }
    names = sorted({row.call.workspace for row in day.outcomes})
    by_workspace = {
        name: round(
            worth(
                workload, [row for row in day.outcomes if row.call.workspace == name]
            ),
            3,
        )
        for name in names
    }
    return {
        "policy": day.policy,
        "seed": day.seed,
        "calls": len(ended),
        "worth": round(worth(workload, day.outcomes), 3),
        "on_time": ended.count("on time"),
        "late": ended.count("late"),
        "refused": ended.count("refused"),
        "failed": ended.count("failed"),
        "read_again_part": round(day.reread_tokens / max(1, day.read_tokens), 3),
        "by_class": by_class,
        "by_workspace": by_workspace,
    }
