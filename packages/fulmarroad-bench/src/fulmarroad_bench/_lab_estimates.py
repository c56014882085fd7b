"""Compare the expected with the actual time to the first token of sent calls."""

from __future__ import annotations

import statistics
from collections import defaultdict
from collections.abc import Callable, Iterable, Sequence
from typing import Any

from attrs import define, field, frozen

from fulmarroad_bench._lab_engine_side import EngineState

RUNNING_CLASS = 8
"""Width of the classes of running answers in the summary."""

MAX_QUEUED_CLASS = 4
"""Number of queued prompts from which they are summarised as one class."""


@frozen
class EstimatedCall:
    """Hold a router's estimate for a call that was sent, and the engine's state."""

    number: int
    engine: EngineState  # when the call was sent
    expected_s: float
    actual_s: float | None  # None: it did not begin


@define
class EstimateLog:
    """Collect the estimates of calls until they begin."""

    rows: list[EstimatedCall] = field(factory=list)
    _open: dict[int, tuple[EngineState, float, float]] = field(factory=dict)

    def sent(
        self, number: int, engine: EngineState | None, expected_s: float, now: float
    ) -> None:
        """Record a call that is sent; `engine` is None if it has stopped."""
        if engine is not None:
            self._open[number] = (engine, expected_s, now)

    def begun(self, number: int, now: float) -> None:
        """Record the first token of a call."""
        self._close(number, now)

    def ended(self, number: int) -> None:
        """Record the end of a call, which may not have begun."""
        self._close(number, None)

    def _close(self, number: int, now: float | None) -> None:
        row = self._open.pop(number, None)
        if row is not None:
            engine, expected_s, sent_at = row
            actual_s = None if now is None else now - sent_at
            self.rows.append(EstimatedCall(number, engine, expected_s, actual_s))


def estimate_summary(rows: Sequence[EstimatedCall]) -> dict[str, list[dict[str, Any]]]:
    """Return the errors by engine speed, running answers and prompts queued ahead."""
    return {
        "by_speed": _by(
            rows, lambda row: f"{row.engine.speed}{_slowed(row.engine.slowdown)}"
        ),
        "by_running": _by(rows, lambda row: _running_class(row.engine.running)),
        "by_queued": _by(rows, lambda row: _queued_class(row.engine.waiting)),
    }


def _by(
    rows: Iterable[EstimatedCall], key: Callable[[EstimatedCall], str]
) -> list[dict[str, Any]]:
    groups = defaultdict(list)
    for row in rows:
        groups[key(row)].append(row)
    return [{"group": name, **_errors(groups[name])} for name in sorted(groups)]


def _errors(rows: Sequence[EstimatedCall]) -> dict[str, Any]:
    """Return the distribution of actual less expected time, in seconds."""
    begun = [(row.expected_s, row.actual_s) for row in rows if row.actual_s is not None]
    figures: dict[str, Any] = {"calls": len(rows), "not_begun": len(rows) - len(begun)}
    if len(begun) < 2:
        return figures
    errors = [actual - expected for expected, actual in begun]
    cuts = statistics.quantiles(errors, n=20, method="inclusive")
    figures |= {
        "expected_s": round(statistics.fmean(row[0] for row in begun), 3),
        "actual_s": round(statistics.fmean(row[1] for row in begun), 3),
        "error_p5_s": round(cuts[0], 3),
        "error_p50_s": round(cuts[9], 3),
        "error_p95_s": round(cuts[18], 3),
    }
    return figures


def _slowed(slowdown: float) -> str:
    return f", slowed by {slowdown}" if slowdown > 1.0 else ""


def _running_class(running: int) -> str:
    first = running // RUNNING_CLASS * RUNNING_CLASS
    return f"{first:03d}-{first + RUNNING_CLASS - 1:03d}"


def _queued_class(waiting: int) -> str:
    return str(waiting) if waiting < MAX_QUEUED_CLASS else f"{MAX_QUEUED_CLASS}+"
