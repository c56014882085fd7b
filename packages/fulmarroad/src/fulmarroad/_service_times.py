"""Estimate request durations, to predict waits and deadlines that can't be met."""

from __future__ import annotations

from collections import deque

MEAN_STEP = 0.05
"""Weight of the newest duration in the running mean: about the last 20 count."""

MAX_SAMPLES = 64
"""Number of recent durations from which the minimum duration is estimated."""

MIN_SAMPLES = 16
"""Durations needed before the minimum duration is estimated.

Until then no demand is refused for too little remaining time.
"""

MIN_DURATION_FACTOR = 0.5
"""Estimated minimum duration as a fraction of the shortest recent duration."""


class ServiceTimeEstimator:
    """Estimate from completed requests how long requests of a shard take."""

    def __init__(self) -> None:
        self._durations: deque[float] = deque(maxlen=MAX_SAMPLES)
        self._mean = 0.0
        self._min = 0.0

    @property
    def mean_s(self) -> float:
        """Return the mean duration of a request in seconds, 0 while unknown."""
        return self._mean

    @property
    def min_s(self) -> float:
        """Return the estimated minimum duration in seconds, 0 while unknown."""
        return self._min

    def record(self, total_s: float) -> None:
        """Record the duration of a completed request."""
        if not total_s > 0:
            return
        self._durations.append(total_s)
        weight = MEAN_STEP if self._mean else 1.0
        self._mean += weight * (total_s - self._mean)
        if len(self._durations) >= MIN_SAMPLES:
            self._min = min(self._durations) * MIN_DURATION_FACTOR

    def wait_s(self, ahead: int, units: int) -> float:
        """Return the estimated wait in seconds of a demand with others ahead of it.

        The estimate uses service times rather than the recent rate of grants, as that
        rate is far below the shard's capacity if the shard was idle before a burst.
        """
        return ahead * self._mean / max(1, units)
