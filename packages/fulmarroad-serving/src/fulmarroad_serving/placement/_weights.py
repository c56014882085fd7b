"""Order servers for a prompt part by weighted rendezvous hashing.

Load pattern: engines of unequal speed. If each engine were first for equally many
parts, a slow one would be the home of more calls than it can read, and a fast one of
fewer. The symptoms are calls that wait at, or are refused by, slow engines while fast
ones idle. So an engine of class n, whose speed is 2**(n/2) times the median, is first
for 2**(n/2) times as many parts. Another class of one engine only moves parts to or
from that engine.

Routers may know different classes for a moment. They then send a part to two engines,
both of which read it; nothing depends on their agreement.
"""

from __future__ import annotations

import heapq
import math
from collections.abc import Callable, Iterable, Mapping, Sequence
from functools import lru_cache, partial
from typing import Any, Protocol

import xxhash
from attrs import define

from fulmarroad.types import ServerName

PartId = int

SpeedClasses = Mapping[ServerName, int]
"""Speed classes by server, without those of class 0."""

NO_CLASSES: SpeedClasses = {}

MAX_CLASS = 3
"""Largest speed class, and largest negative one; others count as these."""

CLASS_REFRESH_S = 0.25
"""Time between two readings of all classes. A class is a lasting speed, which changes
over seconds; reading those of all servers for each call would cost more than the
placement among a few of them."""

_INVERSE_WEIGHTS = {n: 2.0 ** (-n / 2) for n in range(-MAX_CLASS, MAX_CLASS + 1)}

_HASH_UNIT = 2.0**-64
"""Factor that turns a hash of 64 bits into a number between 0 and 1."""


@lru_cache(maxsize=4096)
def _server_seed(server: ServerName) -> int:
    return xxhash.xxh3_64_intdigest(server.encode())


def hash_weight(part: PartId, server: ServerName) -> int:
    """Return the rendezvous weight of a server for a part, the same at every router."""
    return xxhash.xxh3_64_intdigest(part.to_bytes(8, "big"), _server_seed(server))


def home_order(
    part: PartId, servers: Iterable[ServerName], classes: SpeedClasses = NO_CLASSES
) -> list[ServerName]:
    """Return the servers in the part's order of preference."""
    return sorted(servers, key=_ranking(part, classes), reverse=True)


def first_servers(
    part: PartId,
    servers: Iterable[ServerName],
    count: int,
    classes: SpeedClasses = NO_CLASSES,
) -> list[ServerName]:
    """Return the first `count` servers of the part's order of preference."""
    return heapq.nlargest(count, servers, key=_ranking(part, classes))


def _ranking(part: PartId, classes: SpeedClasses) -> Callable[[ServerName], Any]:
    if not classes:
        return partial(hash_weight, part)

    def rank(server: ServerName) -> float:
        # With uniform u, the largest log(u) / weight is that of a server with a
        # probability in proportion to its weight. It grows with u, so servers of one
        # class keep the order of their hashes.
        logarithm = math.log((hash_weight(part, server) + 0.5) * _HASH_UNIT)
        return logarithm * _INVERSE_WEIGHTS[classes.get(server, 0)]

    return rank


class _Entry(Protocol):
    @property
    def instance(self) -> _Named: ...


class _Named(Protocol):
    @property
    def id(self) -> ServerName: ...


@define
class ClassSnapshot:
    """Hold the speed classes of a service's servers, as lately read.

    The mapping stays the same object until a class changes, so what is derived from it
    can be cached together with it.
    """

    _read: Callable[[ServerName], int]
    _classes: SpeedClasses = NO_CLASSES
    _servers: Sequence[_Entry] | None = None
    _read_at: float = float("-inf")

    def current(self, servers: Sequence[_Entry], now: float) -> SpeedClasses:
        """Return the classes of some servers, the same object as before if unchanged.

        `servers` must be the same object for as long as no server is added or removed.
        """
        if servers is self._servers and now - self._read_at < CLASS_REFRESH_S:
            return self._classes
        self._servers, self._read_at = servers, now
        names = (row.instance.id for row in servers)
        classes = {name: _bounded(n) for name in names if (n := self._read(name))}
        if classes != self._classes:
            self._classes = classes
        return self._classes


def _bounded(speed_class: int) -> int:
    return min(max(speed_class, -MAX_CLASS), MAX_CLASS)
