"""Track for how long a router has seen every server come and go."""

from __future__ import annotations

from attrs import define

from fulmarroad_serving._positions import Position


@define
class ListWatch:
    """Hold since when, and since which position of the store, no change is missing."""

    _since: float | None = None
    since_at: Position = 0

    def note_copy(self, at: Position, now: float, *, hides_changes: bool) -> None:
        """Record that the list was replaced by a copy, complete up to a position.

        A version that has come and gone meanwhile may be in neither of them.
        """
        if self._since is None or hides_changes:
            self._since, self.since_at = now, at

    def extend(self, seconds: float, since_at: Position, now: float) -> None:
        """Record that every server of the last `seconds` is known from elsewhere."""
        since = now - seconds
        if self._since is None or since < self._since:
            self._since, self.since_at = since, since_at

    def seconds(self, now: float) -> float:
        """Return for how long there was no gap."""
        return now - self._since if self._since is not None else 0.0
