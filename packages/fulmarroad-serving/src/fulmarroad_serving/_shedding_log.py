"""Log how much a router sheds, and how much of its processor it uses meanwhile."""

from __future__ import annotations

import logging

from attrs import define

from fulmarroad.events import Event, emit
from fulmarroad_serving._lateness import LoopLateness
from fulmarroad_serving._saturation import SaturationGuard

logger = logging.getLogger("fulmarroad.serving")

INTERVAL_S = 1.0
"""Seconds between two lines."""


@define
class SheddingLog:
    """Write a line each second while a router sheds calls."""

    _guard: SaturationGuard
    _lateness: LoopLateness
    _logged_at: float = float("-inf")
    _processor_s: float = 0.0

    def log(self, now: float, processor_s: float) -> None:
        """Log if a line is due; `processor_s` is the processor time used so far."""
        if now - self._logged_at < INTERVAL_S:
            return
        seconds, used_s = now - self._logged_at, processor_s - self._processor_s
        self._logged_at, self._processor_s = now, processor_s
        guard = self._guard
        if not (guard.stream_fraction or guard.short_call_fraction or guard.saturated):
            return
        emit(
            logger,
            Event.CALLS_SHED,
            streams=round(guard.stream_fraction, 2),
            short_calls=round(guard.short_call_fraction, 2),
            saturated=guard.saturated,
            late_s=round(self._lateness.sustained_s, 4),
            processor_s=round(used_s, 3),
            seconds=round(seconds, 2),
        )
