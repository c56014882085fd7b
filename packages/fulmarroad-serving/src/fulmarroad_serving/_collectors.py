"""Choose the collectors of each data centre, which sum up its reports."""

from __future__ import annotations

from fulmarroad.types import DataCentreName, RouterName
from fulmarroad_serving._digests import collectors
from fulmarroad_serving._reports import PeerBook

COLLECTOR_CACHE_S = 0.2
"""Time for which the collectors of a data centre are cached.

Each packet needs them, and they change as routers start and stop.
"""

COLLECTOR_SILENCE_S = 0.75
"""Time without a packet after which a collector is replaced.

Ten missed digests, so that packet loss alone hardly ever replaces it.
"""

COLLECTOR_CANDIDATE_S = 6.0
"""Age of a router's newest report up to which it may be chosen as a collector.

It is longer than the time for which a router counts as alive: if the collectors fail,
all others seem silent at once, and replacements have to be chosen among them.
"""


class Collectors:
    """Choose collectors among the known routers, and replace silent ones."""

    def __init__(self, me: RouterName, centre: DataCentreName, book: PeerBook) -> None:
        self._me = me
        self._centre = centre
        self._book = book
        self._cache: dict[DataCentreName, tuple[float, tuple[RouterName, ...]]] = {}
        self._seen_at: dict[RouterName, float] = {}
        """Time of each local collector's last packet, or of its selection."""

    def of(self, centre: DataCentreName, now: float) -> tuple[RouterName, ...]:
        """Return the collectors of a data centre."""
        known = self._cache.get(centre)
        if known is not None and now - known[0] < COLLECTOR_CACHE_S:
            return known[1]
        routers = {
            peer.router
            for peer in self._book.alive(now, COLLECTOR_CANDIDATE_S)
            if peer.data_centre == centre and not peer.leaving
        }
        if centre == self._centre:
            names = self._active(routers, now)
        else:
            names = collectors(routers, centre)
        self._cache[centre] = (now, names)
        return names

    def note_packet(self, router: RouterName, now: float) -> None:
        """Record a packet of a router, which shows that it is not lost."""
        if router in self._seen_at:
            self._seen_at[router] = now

    def _active(self, routers: set[RouterName], now: float) -> tuple[RouterName, ...]:
        """Return the collectors of this data centre, with silent ones replaced."""
        names: tuple[RouterName, ...] = ()
        routers.add(self._me)
        candidates = frozenset(routers)
        while routers:
            names = collectors(routers, self._centre)
            for name in names:
                self._seen_at.setdefault(name, now)
            lost = [name for name in names if self._is_lost(name, now)]
            if not lost:
                break
            routers.difference_update(lost)
        for name in self._seen_at.keys() - set(names):
            if name not in candidates or not self._is_lost(name, now):
                del self._seen_at[name]
        return names

    def _is_lost(self, router: RouterName, now: float) -> bool:
        at = self._seen_at.get(router)
        silent = at is not None and now - at >= COLLECTOR_SILENCE_S
        return silent and router != self._me
