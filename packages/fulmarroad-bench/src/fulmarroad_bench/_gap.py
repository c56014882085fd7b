"""The fairness gap: how far apart the service of two backlogged workspaces can get.

Over an interval in which both have work waiting all the time, a fair fleet gives
both the same weighted service. The gap is the largest difference over any such
interval. It shows a flood that crowds small workspaces out, or routers that are fair
each by itself but not together: there it grows with time; with a fleet-wide order
it stays under a bound.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence

import numpy as np
from attrs import frozen
from numpy.typing import NDArray

from fulmarroad_bench._intervals import Interval, intersected


@frozen
class ServiceEvent:
    """Say that a workspace got weighted service at a time."""

    at: float
    workspace: str
    service: float


@frozen
class Gap:
    """Hold the largest difference found, and between whom."""

    value: float = 0.0
    more_served: str = ""
    less_served: str = ""
    start: float = 0.0
    end: float = 0.0


class _Curves:
    """Hold the service of each workspace as it grows, at common times."""

    def __init__(
        self, served: Sequence[ServiceEvent], workspaces: Sequence[str]
    ) -> None:
        row_of = {name: row for row, name in enumerate(workspaces)}
        known = [event for event in served if event.workspace in row_of]
        self.times, places = np.unique(
            np.array([event.at for event in known], dtype=float), return_inverse=True
        )
        steps = np.zeros((len(workspaces), len(self.times) + 1))
        rows = [row_of[event.workspace] for event in known]
        np.add.at(
            steps,
            (np.array(rows, dtype=int), places + 1),
            [event.service for event in known],
        )
        self._sums = np.cumsum(steps, axis=1)

    def between(self, row: int, interval: Interval) -> NDArray[np.float64]:
        """Return a workspace's service at the start and after each step."""
        low = int(np.searchsorted(self.times, interval[0], side="right"))
        high = int(np.searchsorted(self.times, interval[1], side="right"))
        return self._sums[row, low : high + 1]

    def time_at(self, interval: Interval, place: int) -> float:
        """Return when a place of `between` was reached."""
        low = int(np.searchsorted(self.times, interval[0], side="right"))
        return interval[0] if place == 0 else float(self.times[low + place - 1])


def fairness_gap(
    served: Sequence[ServiceEvent], backlogged: Mapping[str, Sequence[Interval]]
) -> Gap:
    """Return the largest gap over every pair and every common backlog."""
    names = sorted(backlogged)
    curves = _Curves(served, names)
    worst = Gap()
    for row, name in enumerate(names):
        for other in range(row + 1, len(names)):
            common = intersected(backlogged[name], backlogged[names[other]])
            for interval in common:
                found = _gap_in(curves, names, row, other, interval)
                worst = max(worst, found, key=lambda gap: gap.value)
    return worst


def _gap_in(
    curves: _Curves, names: Sequence[str], row: int, other: int, interval: Interval
) -> Gap:
    """Return the gap of one pair in one interval: the range of their difference."""
    ahead = curves.between(row, interval) - curves.between(other, interval)
    low, high = int(ahead.argmin()), int(ahead.argmax())
    value = float(ahead[high] - ahead[low])
    more_served, less_served = (row, other) if low < high else (other, row)
    start, end = min(low, high), max(low, high)
    return Gap(
        value,
        names[more_served],
        names[less_served],
        curves.time_at(interval, start),
        curves.time_at(interval, end),
    )
