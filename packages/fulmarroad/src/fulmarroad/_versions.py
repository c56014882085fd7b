"""Which table versions are in force where, as membership packets tell it."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from types import MappingProxyType

from fulmarroad.types import RouterName


class VersionTracker:
    """Keep the version in force here and those heard of others.

    A packet carries the version that its sender has in force and not the highest that
    it heard of, so that a router which hears of a newer one knows where to get it.
    """

    def __init__(self) -> None:
        self._own = 0
        self._heard: dict[RouterName, int] = {}
        self._best: RouterName | None = None

    @property
    def own(self) -> int:
        """Return the version in force here; 0 before any."""
        return self._own

    @property
    def versions(self) -> Mapping[RouterName, int]:
        """Return the version last heard of each router."""
        return MappingProxyType(self._heard)

    def raise_own(self, version: int) -> bool:
        """Take a higher version over as one's own; return whether it was higher."""
        if version <= self._own:
            return False
        self._own = version
        return True

    def record_version(self, router: RouterName, version: int) -> None:
        """Note what a router has in force; a restarted one may fall back to 0."""
        self._heard[router] = version
        if self._best == router or version > self._heard.get(self._best or "", -1):
            self._best = router

    def forget(self, router: RouterName) -> None:
        """Drop a router that is no member any more."""
        self._heard.pop(router, None)

    def highest(
        self, reachable: Callable[[RouterName], bool]
    ) -> tuple[int, RouterName]:
        """Return the highest version heard of a reachable router, and that router.

        The first one heard of is kept, which spreads the fetching as the news spreads.
        Return `(0, "")` if nobody said anything.
        """
        best = self._best
        if best is None or not self._is_highest(best) or not reachable(best):
            rows = [router for router in self._heard if reachable(router)]
            best = max(rows, key=lambda router: self._heard[router], default=None)
            self._best = best
        return (self._heard[best], best) if best else (0, "")

    def _is_highest(self, router: RouterName) -> bool:
        return self._heard.get(router, -1) >= max(self._heard.values())
