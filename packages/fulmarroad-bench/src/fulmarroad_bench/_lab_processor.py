"""Simulate a router's processor in virtual time: the cost of calls and placements."""

from __future__ import annotations

import random

from attrs import define, field

from fulmarroad_serving._lateness import SAMPLE_S, LoopLateness
from fulmarroad_serving._saturation import SaturationGuard

READ_COST_S = 0.0005
"""Seconds of one core to read a call, including a refusal."""

PLACEMENT_COST_S = 0.0002
"""Seconds of one core for one attempt to place a call."""

FORWARD_COST_S = 0.003
"""Seconds of one core to send a call and forward its answer."""

ITERATIONS_PER_CALL = 10
"""Event loop iterations in which a call is read, placed and sent. One iteration is
delayed by the backlog divided by this number."""


@define
class Processor:
    """Run one router's work in order of arrival."""

    cores: float
    _free_at: float = 0.0
    _lateness: LoopLateness = field(factory=LoopLateness)
    _sampled_at: float = 0.0
    guard: SaturationGuard = field(init=False)

    def __attrs_post_init__(self) -> None:
        self.guard = SaturationGuard(self._lateness, random.Random(1))

    def work(self, seconds: float, now: float) -> float:
        """Add seconds of work for one core; return the time at which it is done."""
        self._sample(now)
        self._free_at = max(self._free_at, now) + seconds / self.cores
        return self._free_at

    def _sample(self, now: float) -> None:
        while self._sampled_at + SAMPLE_S <= now:
            self._sampled_at += SAMPLE_S
            backlog_s = max(0.0, self._free_at - self._sampled_at)
            self._lateness.note(backlog_s / ITERATIONS_PER_CALL)
            self.guard.adapt(self._sampled_at)
