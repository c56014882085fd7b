"""Pick the few servers that one call looks at among all of its service.

Pattern of load: hundreds of routers before scores of engines, all by the same news. If
each call looked at every engine, every router would find the one that has just come
free and send there at once; operators would notice one engine far behind among others
with room, and processor time that grows with routers times engines. So a call looks at
engines that have its part, at the first ones of its part's own order, which differs
from part to part, and at a few at random, so that no engine stays unseen.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Mapping, Sequence

from attrs import define, field

from fulmarroad.types import ServerName
from fulmarroad_serving._registry import Registered
from fulmarroad_serving._routing import PartId, hash_weight

HOLDERS = 6
"""Servers looked at that were sent the part last."""

HOME_CANDIDATES = 6
"""Servers looked at from the front of the part's order, where it spreads to."""

OTHERS = 4
"""Servers looked at besides, at random: enough to avoid the fullest, and so few that
two calls seldom see the same ones."""

MAX_CANDIDATES = HOLDERS + HOME_CANDIDATES + OTHERS
"""Servers of a service up to which every call looks at all of them."""

REMEMBERED_ORDERS = 4_096
"""Parts whose order is remembered: working it out takes as long as placing a call."""


@define
class Shortlist:
    """Pick servers of one service for one router's calls."""

    _random: random.Random
    _servers: Sequence[Registered] = ()
    _rows: dict[ServerName, Registered] = field(factory=dict)
    _names: tuple[ServerName, ...] = ()
    _first: dict[PartId, list[ServerName]] = field(factory=dict)
    """The front of each part's order."""

    def pick(
        self,
        part: PartId,
        servers: Sequence[Registered],
        holders: Mapping[ServerName, float],
    ) -> Sequence[Registered]:
        """Return the servers that a call with a part looks at.

        `holders` tells when each server was sent the part. `servers` has to be the
        same object for as long as nobody comes or goes.
        """
        if len(servers) <= MAX_CANDIDATES:
            return servers
        if servers is not self._servers:
            self._start(servers)
        if not part:
            return self._random.sample(servers, MAX_CANDIDATES)
        names = dict.fromkeys(heapq.nlargest(HOLDERS, holders, key=holders.__getitem__))
        names.update(dict.fromkeys(self._front(part)))
        names.update(dict.fromkeys(self._random.sample(self._names, OTHERS)))
        return [self._rows[name] for name in names if name in self._rows]

    def _start(self, servers: Sequence[Registered]) -> None:
        self._servers = servers
        self._rows = {row.instance.id: row for row in servers}
        self._names = tuple(self._rows)
        self._first.clear()

    def _front(self, part: PartId) -> list[ServerName]:
        front = self._first.get(part)
        if front is None:
            if len(self._first) >= REMEMBERED_ORDERS:
                self._first.clear()
            weights = {name: hash_weight(part, name) for name in self._names}
            front = heapq.nlargest(HOME_CANDIDATES, weights, key=weights.__getitem__)
            self._first[part] = front
        return front
