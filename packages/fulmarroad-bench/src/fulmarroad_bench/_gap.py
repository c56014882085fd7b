"""The fairness gap: the largest service difference of two backlogged workspaces.

Over an interval in which both always have work waiting, a fair fleet gives both the
same weighted service. The gap is the largest difference over any such interval. It
grows with time if one workspace's load starves small workspaces, or if each router
is fair only by itself; with one fleet-wide queue order it stays under a bound.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence

import numpy as np
from attrs import frozen
from numpy.typing import NDArray

from fulmarroad_bench._intervals import Interval, intersected


@frozen
class ServiceEvent:
    """Hold weighted service that a workspace received at a time."""

    at: float
    workspace: str
    service: float


@frozen
class Gap:
    """Hold the largest difference found, its two workspaces and its interval."""

    value: float = 0.0
    more_served: str = ""
    less_served: str = ""
    start: float = 0.0
    end: float = 0.0


class _CumulativeService:
    """Hold the cumulative service of each workspace at common times."""

    def __init__(
        self, served: Sequence[ServiceEvent], workspaces: Sequence[str]
    ) -> None:
        row_of = {name: row for row, name in enumerate(workspaces)}
        known = [event for event in served if event.workspace in row_of]
        self.times, indices = np.unique(
            np.array([event.at for event in known], dtype=float), return_inverse=True
        )
        steps = np.zeros((len(workspaces), len(self.times) + 1))
        rows = [row_of[event.workspace] for event in known]
        np.add.at(
            steps,
            (np.array(rows, dtype=int), indices + 1),
            [event.service for event in known],
        )
        self._sums = np.cumsum(steps, axis=1)

    def between(self, row: int, interval: Interval) -> NDArray[np.float64]:
        """Return cumulative service at the interval's start and after each step."""
        low = int(np.searchsorted(self.times, interval[0], side="right"))
        high = int(np.searchsorted(self.times, interval[1], side="right"))
        return self._sums[row, low : high + 1]

    def time_at(self, interval: Interval, index: int) -> float:
        """Return the time of an index into the result of `between`."""
        low = int(np.searchsorted(self.times, interval[0], side="right"))
        return interval[0] if index == 0 else float(self.times[low + index - 1])


def fairness_gap(
    served: Sequence[ServiceEvent], backlogged: Mapping[str, Sequence[Interval]]
) -> Gap:
    """Return the largest gap over all pairs of workspaces and common backlogs."""
    names = sorted(backlogged)
    cumulative = _CumulativeService(served, names)
    worst = Gap()
    for row, name in enumerate(names):
        for other in range(row + 1, len(names)):
            common = intersected(backlogged[name], backlogged[names[other]])
            for interval in common:
                found = _gap_in(cumulative, names, row, other, interval)
                worst = max(worst, found, key=lambda gap: gap.value)
    return worst


def _gap_in(
    cumulative: _CumulativeService,
    names: Sequence[str],
    row: int,
    other: int,
    interval: Interval,
) -> Gap:
    """Return the gap of one pair in one interval.

    It is the range of the difference of their cumulative service.
    """
    difference = cumulative.between(row, interval) - cumulative.between(other, interval)
    low, high = int(difference.argmin()), int(difference.argmax())
    value = float(difference[high] - difference[low])
    more_served, less_served = (row, other) if low < high else (other, row)
    start, end = min(low, high), max(low, high)
    return Gap(
        value,
        names[more_served],
        names[less_served],
        cumulative.time_at(interval, start),
        cumulative.time_at(interval, end),
    )
