"""Track for how long a router has seen every server come and go."""

from __future__ import annotations

from attrs import define

MAX_LIST_AGE_S = 3.0
"""Age in seconds of the list of servers from which on an unknown version may serve."""


@define
class ListWatch:
    """Track since when this router has seen every server come and go."""

    _since: float | None = None
    _current_at: float = float("-inf")

    def note_age(self, list_age_s: float, now: float) -> None:
        """Record the age of the list of servers."""
        if list_age_s > MAX_LIST_AGE_S:
            return
        self._current_at = now
        if self._since is None:
            self._since = now

    def note_copy(self, now: float) -> None:
        """Record that the list was replaced by a copy without the changes between.

        A version that served meanwhile may be in neither of them.
        """
        if self._since is not None and now - self._current_at > MAX_LIST_AGE_S:
            self._since = now

    def extend(self, seconds: float, now: float) -> None:
        """Record that every server of the last `seconds` is known from elsewhere."""
        self._current_at = now
        since = now - seconds
        self._since = since if self._since is None else min(self._since, since)

    def seconds(self, now: float) -> float:
        """Return for how long there was no gap."""
        return now - self._since if self._since is not None else 0.0
