"""Keep the spread of a measured quantity over its latest samples."""

from __future__ import annotations

from bisect import bisect_left, insort
from collections import deque

from attrs import define, field

MAX_SAMPLES = 128
"""Samples kept: enough that an outlier of one in fifty is nearly always among them."""

MAX_AGE_S = 60.0
"""Age at which a sample is dropped: callers and software versions change over minutes,
and a decision that prevents new samples must not rest on old ones forever."""


@define
class Spread:
    """Hold the latest samples of a quantity in the order of time and of size."""

    _by_time: deque[tuple[float, float]] = field(factory=deque)
    _sorted: list[float] = field(factory=list)

    def note(self, value: float, now: float) -> None:
        """Add a sample."""
        if len(self._by_time) >= MAX_SAMPLES:
            self._drop_oldest()
        self._by_time.append((now, value))
        insort(self._sorted, value)

    def count(self, now: float) -> int:
        """Return the number of samples that are not too old."""
        while self._by_time and now - self._by_time[0][0] > MAX_AGE_S:
            self._drop_oldest()
        return len(self._sorted)

    def quantile(self, fraction: float) -> float:
        """Return the sample below which a fraction of them lies; 0 without samples."""
        if not self._sorted:
            return 0.0
        return self._sorted[min(int(fraction * len(self._sorted)), len(self) - 1)]

    def __len__(self) -> int:
        return len(self._sorted)

    def _drop_oldest(self) -> None:
        _, value = self._by_time.popleft()
        del self._sorted[bisect_left(self._sorted, value)]
