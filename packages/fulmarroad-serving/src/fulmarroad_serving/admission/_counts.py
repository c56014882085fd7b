"""Count what became of the calls that waited at this owner, second by second."""

from __future__ import annotations

from collections import Counter

from attrs import define, field, frozen

from fulmarroad.types import WorkspaceName
from fulmarroad_serving.admission._queue import AdmissionQueue

STATUS_INTERVAL_S = 1.0

MAX_LISTED = 8
"""Maximum number of workspaces listed, those with most waiting calls."""

GRANTED = "granted"
REFUSED = "refused"
DROPPED = "dropped"
"""Granted after a wait or at once; refused without a place; dropped as the caller or
its router left."""

DECISIONS = (GRANTED, REFUSED, DROPPED)


@frozen
class QueueStatus:
    """Hold the state of a queue and the decisions of an interval."""

    waiting: dict[WorkspaceName, int]
    longest_wait_s: float  # of the calls that wait or were granted after a wait
    granted: int
    refused: int
    dropped: int


@define
class QueueCounts:
    """Count decisions on calls until they are reported."""

    totals: Counter[str] = field(factory=Counter)
    """Decisions since the start."""
    _exported: Counter[str] = field(factory=Counter)
    _reported: Counter[str] = field(factory=Counter)
    _reported_at: float = float("-inf")
    _longest_wait_s: float = 0.0

    def note(self, decision: str, wait_s: float = 0.0) -> None:
        """Count a decision on a call that waited for a time."""
        self.totals[decision] += 1
        self._longest_wait_s = max(self._longest_wait_s, wait_s)

    def pop_uncounted(self) -> Counter[str]:
        """Return the decisions since the last time, for the metrics."""
        recent = self.totals - self._exported
        self._exported = self.totals.copy()
        return recent

    def pop_status(self, queue: AdmissionQueue, now: float) -> QueueStatus | None:
        """Return the status if it is due and calls wait or were decided on."""
        if now - self._reported_at < STATUS_INTERVAL_S:
            return None
        recent = self.totals - self._reported
        longest_s = max(self._longest_wait_s, queue.longest_wait_s(now))
        self._reported, self._reported_at = self.totals.copy(), now
        self._longest_wait_s = 0.0
        if not recent and not len(queue):
            return None
        waiting = Counter(queue.waiting).most_common(MAX_LISTED)
        counts = [recent[name] for name in DECISIONS]
        return QueueStatus(dict(waiting), round(longest_s, 3), *counts)
