"""Schedule the short slow-downs of engines from a seed."""

from __future__ import annotations

import bisect
import random
from collections.abc import Mapping, Sequence

from attrs import define, frozen


@frozen
class Slowdowns:
    """Describe engines that are slow for a short time."""

    fraction: float  # of the engines, at any time
    factor: float  # by which the steps of a slow engine take longer
    duration_s: float


@define
class SlowdownSchedule:
    """Hold the times from which each engine is slow."""

    _slowdowns: Slowdowns
    _starts: Mapping[int, Sequence[float]]  # by engine, in ascending order

    def factor(self, engine: int, at_s: float) -> float:
        """Return the factor by which a step that begins at a time takes longer."""
        starts = self._starts.get(engine, ())
        index = bisect.bisect_right(starts, at_s) - 1
        if index >= 0 and at_s < starts[index] + self._slowdowns.duration_s:
            return self._slowdowns.factor
        return 1.0


def schedule_slowdowns(
    slowdowns: Slowdowns, engines: int, seconds: float, seed: int
) -> SlowdownSchedule:
    """Return which engines are slow when, until a time in seconds.

    The same number of engines is slow at any time; they don't change all at once.
    """
    source = random.Random(f"slowdowns {seed}")
    at_once = round(slowdowns.fraction * engines)
    duration_s = slowdowns.duration_s
    slow_until = [float("-inf")] * engines
    starts: dict[int, list[float]] = {number: [] for number in range(engines)}
    number = 0
    while at_once and (start := duration_s * (number / at_once - 1.0)) < seconds:
        # The tolerance keeps an engine whose time ends now out of the next draw.
        usual = [row for row in range(engines) if slow_until[row] < start - 1e-9]
        engine = source.choice(usual)
        slow_until[engine] = start + duration_s
        starts[engine].append(start)
        number += 1
    return SlowdownSchedule(slowdowns, starts)
