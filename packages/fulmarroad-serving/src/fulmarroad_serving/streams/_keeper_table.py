"""Choose the routers that keep the record of a stream.

Load pattern: a router ends, and all of its streams are taken up at other routers at
once. Each router computes from a stream's key who keeps its record, so that whoever
gets the call knows whom to ask.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from attrs import define, field, frozen

from fulmarroad.ownership import watchers
from fulmarroad.types import DataCentreName, RouterName
from fulmarroad_serving.streams._records import StreamKey

LOCAL_KEEPERS = 2
"""Number of routers of the own data centre that keep a record."""

OTHER_KEEPERS = 2
"""Number of further routers, of any data centre, that keep a record."""

SPARE_KEEPERS = 3
"""Number of routers asked beyond those that were told, of each kind: routers that came
or went since then have moved the others in the order."""

SMALL_FLEET = 16
"""Number of other routers up to which all of them keep each record: most of a small
fleet may be lost at once, and reports go to all of them too."""

MAX_KNOWN_FACTOR = 2
"""Number of routers that were ever known, relative to the live ones, above which those
that are gone are forgotten."""

KEY_GROUPS = 256
"""Number of groups of keys, each with its own order of routers."""


@frozen
class Keeper:
    """Name one start of a router, which remembers nothing of an earlier start."""

    router: RouterName
    data_centre: DataCentreName
    incarnation: int
    heard_lately: bool = True  # else it may be lost, or be cut off


@define
class KeeperTable:
    """Choose the routers that keep a stream's record; the same order everywhere.

    The order of a group of keys covers all routers that were ever known, so that the
    loss or return of one, which is frequent, needs no new order.
    """

    _me: RouterName
    _centre: DataCentreName
    _routers: dict[RouterName, Keeper] = field(factory=dict)
    _known: set[RouterName] = field(factory=set)
    _met: set[RouterName] = field(factory=set)
    _orders: dict[int, tuple[RouterName, ...]] = field(factory=dict)

    def set_routers(self, routers: Iterable[Keeper]) -> bool:
        """Replace the live routers and return whether they changed."""
        others = {row.router: row for row in routers if row.router != self._me}
        if self.can_name_all:
            self._met |= others.keys()
        if others == self._routers:
            return False
        self._routers = others
        if not others.keys() <= self._known:
            self._known |= others.keys()
            self._orders.clear()
        elif len(self._known) > MAX_KNOWN_FACTOR * len(others) + SMALL_FLEET:
            self._known = set(others)
            self._orders.clear()
        return True

    @property
    def can_name_all(self) -> bool:
        """Return whether this router names all others that it has met since its start.

        Above `SMALL_FLEET` it never does again: some may be cut off with it.
        """
        return len(self._met) <= SMALL_FLEET

    def met(self) -> frozenset[RouterName] | None:
        """Return the others that were ever live, None if they are too many to name."""
        return frozenset(self._met) if self.can_name_all else None

    def told(self, key: StreamKey) -> tuple[Keeper, ...]:
        """Return the routers that keep a record of a stream that began here."""
        heard = (row for row in self._in_order(key) if row.heard_lately)
        return self._choose(heard, LOCAL_KEEPERS, OTHER_KEEPERS)

    def asked(self, key: StreamKey) -> tuple[RouterName, ...]:
        """Return the routers that may have the record of a stream, from anywhere."""
        # Routers of another data centre skipped their own first ones there.
        local, others = LOCAL_KEEPERS + SPARE_KEEPERS, OTHER_KEEPERS + SPARE_KEEPERS
        chosen = self._choose(self._in_order(key), local, others)
        return tuple(row.router for row in chosen)

    def _in_order(self, key: StreamKey) -> Iterator[Keeper]:
        group = key[0] % KEY_GROUPS
        order = self._orders.get(group)
        if order is None:
            names = self._known
            order = watchers(names, len(names), f"streams\0{group}")
            self._orders[group] = order
        return (self._routers[name] for name in order if name in self._routers)

    def _choose(
        self, ordered: Iterator[Keeper], local: int, others: int
    ) -> tuple[Keeper, ...]:
        """Return the first routers of the own data centre, and the first others."""
        if len(self._routers) <= SMALL_FLEET:
            return tuple(ordered)
        near: list[Keeper] = []
        rest: list[Keeper] = []
        for keeper in ordered:
            if keeper.data_centre == self._centre and len(near) < local:
                near.append(keeper)
            elif len(rest) < others:
                rest.append(keeper)
            if len(near) == local and len(rest) == others:
                break
        return (*near, *rest)
