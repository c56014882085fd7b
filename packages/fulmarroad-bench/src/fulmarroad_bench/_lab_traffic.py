"""Generate calls as a data sheet states them, with unequal workspaces and surges."""

from __future__ import annotations

import math
import random
from collections.abc import Iterator

from attrs import frozen

from fulmarroad_bench._lab_engine import SimulatedCall


@frozen
class CallClass:
    """Describe one class of calls, as a deployment's data sheet states it."""

    name: str
    per_s: float
    shared_tokens: int
    own_tokens: int
    output_tokens: int
    objective_s: float
    worth: float
    late_worth: float
    parts: int = 180


@frozen
class Surge:
    """Multiply the call rate of one workspace, or of all, for some seconds."""

    at_s: float
    duration_s: float
    factor: float
    workspace: int | None = None  # its index; None: all workspaces


@frozen
class Workload:
    """Describe the traffic of a day."""

    classes: tuple[CallClass, ...]
    workspaces: int = 16
    skew: float = 0.8  # workspace n has size 1 / (n + 1) ** skew
    part_skew: float = 0.3
    surges: tuple[Surge, ...] = ()
    seconds: float = 40.0


REMINDERS = Workload(
    (
        CallClass("dossier-letter", 38.6, 13_300, 3_720, 120, 0.4, 3.0, 0.3, 182),
        CallClass("relance-notice", 28.9, 6_300, 2_890, 50, 0.4, 2.5, 0.25, 90),
        CallClass("sms-nudge", 41.6, 350, 1_110, 170, 0.25, 0.42, 0.042, 150),
    ),
    surges=(Surge(4.0, 8.0, 5.0, 2), Surge(10.0, 10.0, 5.0, 5), Surge(24.0, 6.0, 1.8)),
)
"""Reminder letters as their data sheet states them, on a typical overloaded day."""


def arrivals(workload: Workload, seed: int) -> Iterator[SimulatedCall]:
    """Yield the calls of a workload in order of arrival."""
    source = random.Random(seed)
    sizes = [
        1.0 / (number + 1) ** workload.skew for number in range(workload.workspaces)
    ]
    peak_factor = math.prod(max(1.0, row.factor) for row in workload.surges)
    rate = sum(row.per_s for row in workload.classes)
    now, number = 0.0, 0
    while True:
        # Thinning: draw arrivals at the highest rate and drop the surplus.
        now += source.expovariate(rate * peak_factor)
        if now >= workload.seconds:
            return
        workspace = source.choices(range(workload.workspaces), sizes)[0]
        if source.random() >= _surge_factor(workload, workspace, now) / peak_factor:
            continue
        kind = source.choices(
            workload.classes, [row.per_s for row in workload.classes]
        )[0]
        number += 1
        part = int(kind.parts * source.random() ** (1.0 + workload.part_skew))
        yield SimulatedCall(
            number,
            kind.name,
            f"w{workspace:02d}",
            f"{kind.name}-{part}",
            kind.shared_tokens,
            max(1, int(kind.own_tokens * source.uniform(0.5, 1.5))),
            max(1, int(kind.output_tokens * source.uniform(0.5, 1.5))),
            now,
        )


def _surge_factor(workload: Workload, workspace: int, now: float) -> float:
    factor = 1.0
    for row in workload.surges:
        if row.at_s <= now < row.at_s + row.duration_s and row.workspace in (
            None,
            workspace,
        ):
            factor *= row.factor
    return factor
