"""A router's processor in virtual time: what calls and looks take of it."""

from __future__ import annotations

import random

from attrs import define, field

from fulmarroad_serving._lateness import SAMPLE_S, LoopLateness
from fulmarroad_serving._saturation import SaturationGuard

READ_COST_S = 0.0005
"""Reading a call, and refusing it if need be, on a whole core."""

PLACEMENT_COST_S = 0.0002
"""One look for a place."""

FORWARD_COST_S = 0.003
"""Sending a call and handing its answer on."""

TURNS = 10
"""Turns of the loop in which a call is read, placed and sent: so much shorter than the
work that waits is the delay of one turn."""


@define
class Processor:
    """Do one router's work in the order in which it comes."""

    cores: float
    _free_at: float = 0.0
    _lateness: LoopLateness = field(factory=LoopLateness)
    _sampled_at: float = 0.0
    guard: SaturationGuard = field(init=False)

    def __attrs_post_init__(self) -> None:
        self.guard = SaturationGuard(self._lateness, random.Random(1))

    def work(self, seconds: float, now: float) -> float:
        """Add work for one core; return when it is done."""
        self._sample(now)
        self._free_at = max(self._free_at, now) + seconds / self.cores
        return self._free_at

    def _sample(self, now: float) -> None:
        while self._sampled_at + SAMPLE_S <= now:
            self._sampled_at += SAMPLE_S
            waits_s = max(0.0, self._free_at - self._sampled_at)
            self._lateness.note(waits_s / TURNS)
            self.guard.adapt(self._sampled_at)
