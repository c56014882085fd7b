"""Generate calls as a data sheet states them, with unequal workspaces and surges.

Demand may move between data centres with a wave, and the lengths of prompts and answers
may be log-normal.
"""

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
    deadline_s: float = math.inf  # for the whole answer; inf: never cut
    own_sigma: float = 0.0  # of the log-normal length; 0: uniform, half to 1.5 times
    output_sigma: float = 0.0
    max_length_factor: float = 4.0  # longest log-normal length, over the mean
    hint_sigma: float = 0.0  # of the hint's error; 0: no hint

    @property
    def max_output_tokens(self) -> int:
        """Return the maximum that callers state; 0 if they state the actual number."""
        if not self.output_sigma:
            return 0
        return int(self.max_length_factor * self.output_tokens)


@frozen
class Wave:
    """Let the demand of data centres rise and fall, each at another time."""

    period_s: float
    amplitude: float  # of the call rate, as a fraction of its mean

    def factor(self, centre: int, centres: int, at_s: float) -> float:
        """Return the call rate of a data centre, as a multiple of its mean.

        The phases are evenly spaced, so the rate of all data centres is constant.
        """
        phase = at_s / self.period_s + centre / centres
        return 1.0 + self.amplitude * math.sin(2 * math.pi * phase)


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
    centres: int = 1  # data centres with callers
    wave: Wave | None = None  # None: their demand is equal


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
        call = SimulatedCall(
            number,
            kind.name,
            f"w{workspace:02d}",
            f"{kind.name}-{part}",
            kind.shared_tokens,
            _length(kind.own_tokens, kind.own_sigma, kind, source),
            _length(kind.output_tokens, kind.output_sigma, kind, source),
            now,
            max_output_tokens=kind.max_output_tokens,
            deadline_s=kind.deadline_s,
        )
        if kind.hint_sigma:
            error = source.lognormvariate(0.0, kind.hint_sigma)
            call.length_hint = max(1, round(call.output_tokens * error))
        if workload.centres > 1:
            call.centre = _pick_centre(workload, now, source)
        yield call


def _length(mean: int, sigma: float, kind: CallClass, source: random.Random) -> int:
    if not sigma:
        return max(1, int(mean * source.uniform(0.5, 1.5)))
    length = source.lognormvariate(math.log(mean) - sigma**2 / 2, sigma)
    return max(1, int(min(length, kind.max_length_factor * mean)))


def _pick_centre(workload: Workload, now: float, source: random.Random) -> int:
    centres, wave = workload.centres, workload.wave
    if wave is None:
        return source.randrange(centres)
    weights = [wave.factor(number, centres, now) for number in range(centres)]
    return source.choices(range(centres), weights)[0]


def _surge_factor(workload: Workload, workspace: int, now: float) -> float:
    factor = 1.0
    for row in workload.surges:
        if row.at_s <= now < row.at_s + row.duration_s and row.workspace in (
            None,
            workspace,
        ):
            factor *= row.factor
    return factor
