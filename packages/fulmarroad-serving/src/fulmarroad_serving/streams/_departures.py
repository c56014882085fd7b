"""Remember of which versions servers left or started again lately.

Load pattern: servers are replaced by another version, and all routers are lost. A
stream that began at a server which has gone since may look as if another version had
begun it, which has cached the same prompt.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from fulmarroad.types import ServerName
from fulmarroad_serving._registry import LAPSE_GRACE_S, Instance
from fulmarroad_serving.streams._records import MAX_LIFE_S, StreamOrigin


class ServerDepartures:
    """Follow the entries of servers, in their order."""

    def __init__(
        self, watched_s: Callable[[], float], clock: Callable[[], float]
    ) -> None:
        self._watched_s = watched_s
        self._clock = clock
        self._followed_since = clock()
        self._runs: dict[ServerName, Instance] = {}
        self._left: dict[StreamOrigin, float] = {}

    def note_entry(self, instance: Instance) -> None:
        """Record an entry; another start under the same id ends the run before."""
        before = self._runs.get(instance.id)
        if before is not None and (
            before.started_ms != instance.started_ms
            or _origin(before) != _origin(instance)
        ):
            self._note_left(before)
        self._runs[instance.id] = instance

    def note_removed(self, server: ServerName) -> None:
        """Record that the entry of a server was removed."""
        run = self._runs.pop(server, None)
        if run is not None:
            self._note_left(run)

    def note_history(self, seconds: float, left: Iterable[StreamOrigin]) -> None:
        """Record the versions of all runs that ended in the last seconds.

        They are known from elsewhere, for the time before this router's start.
        """
        now = self._clock()
        self._followed_since = min(self._followed_since, now - seconds)
        for origin in left:
            self._left[origin] = now

    def within(self, seconds: float) -> frozenset[StreamOrigin] | None:
        """Return the versions of runs that ended lately, None if that isn't known."""
        now = self._clock()
        # The watch may have been extended by who doesn't know which servers left.
        if min(self._watched_s(), now - self._followed_since) < seconds:
            return None
        # Other routers may have used a server for some time after it was removed.
        since = now - seconds - LAPSE_GRACE_S
        return frozenset(origin for origin, at in self._left.items() if at >= since)

    def _note_left(self, run: Instance) -> None:
        now = self._clock()
        self._left[_origin(run)] = now
        for origin, at in list(self._left.items()):
            if now - at > MAX_LIFE_S + LAPSE_GRACE_S:
                del self._left[origin]


def _origin(instance: Instance) -> StreamOrigin:
    return StreamOrigin(instance.service, instance.version)
