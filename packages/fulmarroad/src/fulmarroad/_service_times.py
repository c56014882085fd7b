"""Estimate how long requests take, to tell waits and what can't be met."""

from __future__ import annotations

from collections import deque

MEAN_STEP = 0.05
"""Weight of the newest time in the mean: about the last twenty requests count."""

SAMPLES = 64
"""Answers remembered for the least plausible time that a request takes."""

ENOUGH = 16
"""Answers needed before a demand is refused for too little time left."""

LEAST_FACTOR = 0.5
"""A request may be this much faster than the fastest one seen of late."""


class ServiceTimeEstimator:
    """Learn from answers how long requests of a shard take."""

    def __init__(self) -> None:
        self._totals: deque[float] = deque(maxlen=SAMPLES)
        self._mean = 0.0
        self._least = 0.0

    @property
    def mean_s(self) -> float:
        """Return the mean time that a request takes, 0 while unknown."""
        return self._mean

    @property
    def min_s(self) -> float:
        """Return the least plausible time of a request, 0 while unknown."""
        return self._least

    def note(self, total_s: float) -> None:
        """Note how long a completed request took."""
        if not total_s > 0:
            return
        self._totals.append(total_s)
        step = MEAN_STEP if self._mean else 1.0
        self._mean += step * (total_s - self._mean)
        if len(self._totals) >= ENOUGH:
            self._least = min(self._totals) * LEAST_FACTOR

    def wait_s(self, ahead: int, units: int) -> float:
        """Return the estimated wait of a demand behind others.

        Counted from service times: the rate of grants of late says nothing of what
        a shard could do if it was idle before a burst.
        """
        return ahead * self._mean / max(1, units)
