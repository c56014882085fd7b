"""Table versions in force at each router, as membership packets report them."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from types import MappingProxyType

from fulmarroad.types import RouterName


class VersionTracker:
    """Hold the version in force here and those that other routers reported.

    A packet carries the version in force at its sender and not the highest one that the
    sender knows of. The receiver can therefore fetch a newer version from the sender.
    """

    def __init__(self) -> None:
        self._own = 0
        self._reported: dict[RouterName, int] = {}
        self._highest_source: RouterName | None = None

    @property
    def own(self) -> int:
        """Return the version in force here, or 0 if there is none yet."""
        return self._own

    @property
    def versions(self) -> Mapping[RouterName, int]:
        """Return the version that each router last reported."""
        return MappingProxyType(self._reported)

    def raise_own(self, version: int) -> bool:
        """Set the own version if the given one is higher; return whether it was."""
        if version <= self._own:
            return False
        self._own = version
        return True

    def record_version(self, router: RouterName, version: int) -> None:
        """Record a router's version; after a restart it may be 0 again."""
        self._reported[router] = version
        if self._highest_source == router or version > self._reported.get(
            self._highest_source or "", -1
        ):
            self._highest_source = router

    def remove(self, router: RouterName) -> None:
        """Remove a router that is no longer a member."""
        self._reported.pop(router, None)

    def highest(
        self, reachable: Callable[[RouterName], bool]
    ) -> tuple[int, RouterName]:
        """Return the highest version of the reachable routers, and one that has it.

        The first router that reported it is kept as the source. Routers learn of a
        version from different ones, so this spreads the load of the fetches. Return
        `(0, "")` if no reachable router reported a version.
        """
        source = self._highest_source
        if source is None or not self._is_highest(source) or not reachable(source):
            rows = [router for router in self._reported if reachable(router)]
            source = max(rows, key=lambda router: self._reported[router], default=None)
            self._highest_source = source
        return (self._reported[source], source) if source else (0, "")

    def _is_highest(self, router: RouterName) -> bool:
        return self._reported.get(router, -1) >= max(self._reported.values())
