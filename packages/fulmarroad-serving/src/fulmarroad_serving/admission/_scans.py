"""Decide when an owner looks through the calls that wait for it.

Load pattern: calls arrive, begin and end hundreds of times a second at an owner while
scores of calls wait. If each of these events led to a search for each waiting call, the
searches would use more processor time than the calls. So searches come at intervals,
and each tries a fixed number of calls.
"""

from __future__ import annotations

from attrs import define

SCAN_INTERVAL_S = 0.01
"""Time between two scans while calls wait: about two engine steps. Estimates of engines
change as time passes, also without an event."""

MIN_SCAN_INTERVAL_S = 0.002
"""Shortest time between two scans: less than an engine step."""

MAX_TRIES = 3
"""Calls without success that a scan tries. A try takes about a tenth of a millisecond,
so that many scans in a row leave most of a small VM's processor to its own calls."""

MAX_GRANTS = 32
"""Calls that a scan grants at most: as many prompts as an owner's engines take up."""


@define
class ScanSchedule:
    """Hold when the next scan is due."""

    _scanned_at: float = float("-inf")
    _event: bool = False
    """Whether a call came, began or ended since the last scan."""

    def note_event(self) -> None:
        """Record that a scan may find places."""
        self._event = True

    def note_scan(self, now: float, *, unfinished: bool = False) -> None:
        """Record a scan; an unfinished one goes on as soon as the next may begin."""
        self._scanned_at, self._event = now, unfinished

    def next_due(self, waiting: int, next_end: float | None) -> float | None:
        """Return when to scan again; None if nothing waits."""
        if not waiting:
            return None
        soonest = self._scanned_at + MIN_SCAN_INTERVAL_S
        if self._event:
            return soonest
        due = self._scanned_at + SCAN_INTERVAL_S
        return due if next_end is None else max(soonest, min(due, next_end))
