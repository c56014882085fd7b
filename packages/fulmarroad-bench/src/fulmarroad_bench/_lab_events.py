"""Order the timed events of a simulated day."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable

from attrs import define, field


@define
class EventQueue:
    """Run actions in the order of their times; equal times in the order added."""

    now: float = 0.0  # seconds since the start of the day
    _heap: list[tuple[float, int, Callable[[], None]]] = field(factory=list)
    _numbers: itertools.count[int] = field(factory=itertools.count)

    def at(self, when: float, action: Callable[[], None]) -> None:
        """Run an action at a time in seconds."""
        heapq.heappush(self._heap, (when, next(self._numbers), action))

    def run(self) -> None:
        """Run all actions, including those that they add."""
        while self._heap:
            self.now, _, action = heapq.heappop(self._heap)
            action()
