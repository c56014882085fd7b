"""Select the few servers of a service that are considered for one call.

Load pattern: hundreds of routers share many engines and have the same load reports. If
each call considered every engine, all routers would send to the one that just became
free. The symptoms are one overloaded engine among others with capacity, and CPU time
that grows with routers times engines. So a call considers engines that have its part,
the first ones in the part's own order, which differs between parts, and a few random
ones, so that every engine is considered at times.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable, Mapping, Sequence

from attrs import define, field

from fulmarroad.types import ServerName
from fulmarroad_serving._catalog import ServiceName
from fulmarroad_serving._registry import Registered
from fulmarroad_serving.placement import (
    NO_CLASSES,
    PartId,
    SpeedClasses,
    first_servers,
)

HOLDER_CANDIDATES = 6
"""Candidates that were most recently sent the part."""

HOME_CANDIDATES = 6
"""Candidates from the start of the part's order, to which the part spreads."""

RANDOM_CANDIDATES = 4
"""Random candidates: enough to avoid the fullest servers, and few enough that two calls
seldom get the same ones."""

MAX_CANDIDATES = HOLDER_CANDIDATES + HOME_CANDIDATES + RANDOM_CANDIDATES
"""Number of servers up to which every call considers the whole service."""

MAX_SHORTLISTS = 64
"""Maximum number of shortlists kept; each release of a service adds one."""

MAX_CACHED_ORDERS = 4_096
"""Maximum number of parts whose order is cached: computing one takes as long as placing
a call."""


@define
class Shortlist:
    """Select candidates of one service for the calls of one router."""

    _random: random.Random
    _servers: Sequence[Registered] = ()
    _rows: dict[ServerName, Registered] = field(factory=dict)
    _names: tuple[ServerName, ...] = ()
    _cached_orders: dict[PartId, list[ServerName]] = field(factory=dict)
    """The start of each part's order."""
    _classes: SpeedClasses = NO_CLASSES

    def pick(
        self,
        part: PartId,
        servers: Sequence[Registered],
        holders: Mapping[ServerName, float],
        classes: SpeedClasses = NO_CLASSES,
    ) -> Sequence[Registered]:
        """Return the servers to consider for a call with a part.

        `holders` maps each server that was sent the part to the time. `servers` must
        be the same object for as long as no server is added or removed, and `classes`
        for as long as no speed class changes.
        """
        if len(servers) <= MAX_CANDIDATES:
            return servers
        if servers is not self._servers:
            self._set_servers(servers)
        if classes is not self._classes:
            self._classes = classes
            self._cached_orders.clear()
        if not part:
            return self._random.sample(servers, MAX_CANDIDATES)
        names = dict.fromkeys(
            heapq.nlargest(HOLDER_CANDIDATES, holders, key=holders.__getitem__)
        )
        names.update(dict.fromkeys(self._home_candidates(part)))
        names.update(dict.fromkeys(self._random.sample(self._names, RANDOM_CANDIDATES)))
        return [self._rows[name] for name in names if name in self._rows]

    def pick_accepting(
        self,
        part: PartId,
        servers: Sequence[Registered],
        holders: Mapping[ServerName, float],
        classes: SpeedClasses,
        accepts: Callable[[Registered], bool],
        is_silent: Callable[[Registered], bool],
    ) -> list[Registered]:
        """Return the servers of `pick` that accept a call now.

        Fall back to all servers if none of the shortlist accepts one, and to silent
        ones if there are no others.
        """
        picked = self.pick(part, servers, holders, classes)
        accepting = [row for row in picked if accepts(row)]
        rows = [row for row in accepting if not is_silent(row)]
        if not rows and len(picked) < len(servers):
            accepting = [row for row in servers if accepts(row)]
            rows = [row for row in accepting if not is_silent(row)]
        return rows or accepting

    def _set_servers(self, servers: Sequence[Registered]) -> None:
        self._servers = servers
        self._rows = {row.instance.id: row for row in servers}
        self._names = tuple(self._rows)
        self._cached_orders.clear()

    def _home_candidates(self, part: PartId) -> list[ServerName]:
        first = self._cached_orders.get(part)
        if first is None:
            if len(self._cached_orders) >= MAX_CACHED_ORDERS:
                self._cached_orders.clear()
            first = first_servers(part, self._names, HOME_CANDIDATES, self._classes)
            self._cached_orders[part] = first
        return first


@define
class ShortlistBook:
    """Keep a shortlist for each service and version."""

    _random: random.Random
    _shortlists: dict[tuple[ServiceName, str], Shortlist] = field(factory=dict)

    def of(self, service: ServiceName, version: str) -> Shortlist:
        """Return the shortlist of a service, or of one version of it."""
        shortlist = self._shortlists.get((service, version))
        if shortlist is None:
            if len(self._shortlists) >= MAX_SHORTLISTS:
                self._shortlists.clear()
            shortlist = self._shortlists[service, version] = Shortlist(self._random)
        return shortlist
