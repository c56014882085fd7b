"""Assign each backend server to the router that places calls there.

Load pattern: scores of routers each send a small part of the calls to the same servers.
If every router chooses by reports of the others, which are older than a server's queue,
several fill the same server at once while another one idles; calls begin late, and
shared prompt parts are read by more servers than needed. The symptoms are late answers
and refusals under a load that the servers can carry. So each server has one owner, a
router that places nearly all calls there and thus knows its queue exactly. Each router
computes the owners from the servers and the live routers, without messages.

Routers may disagree while the fleet changes. Then a server has two owners for a moment,
each of which sees the other's calls in its reports.
"""

from __future__ import annotations

import math
import random
from collections import Counter
from collections.abc import Callable, Mapping, Sequence
from functools import lru_cache

import xxhash
from attrs import define, field, frozen

from fulmarroad.ownership import watchers
from fulmarroad.types import DataCentreName, RouterName, ServerName
from fulmarroad_serving._catalog import ServiceName
from fulmarroad_serving._registry import Registered
from fulmarroad_serving.placement import (
    NO_CLASSES,
    PartId,
    SpeedClasses,
    first_servers,
)

SERVERS_PER_OWNER = 5
"""Number of servers per owner: enough to even out their queues, and few enough that a
small VM can place all calls to them."""

RANKED_SERVERS = 12
"""Number of a part's best servers of which the owners are asked in turn."""

MAX_CACHED_PARTS = 4_096
"""Maximum number of parts whose owners are cached."""

MAX_CACHED_TABLES = 64
"""Maximum number of cached assignments: routers leave out others for a moment."""

Routers = Mapping[RouterName, DataCentreName]


def assign_owners(
    service: ServiceName,
    servers: Mapping[ServerName, DataCentreName],
    routers: Routers,
) -> dict[ServerName, RouterName]:
    """Return the owner of each server, empty without routers.

    A server's owner is in its data centre if there are enough servers for that, so that
    a data centre which is cut off keeps the owners of its servers.
    """
    if not servers or not routers:
        return {}
    if not has_local_owners(servers):
        return _assign(service, sorted(servers), list(routers))
    owners: dict[ServerName, RouterName] = {}
    for centre in set(servers.values()):
        names = sorted(name for name, at in servers.items() if at == centre)
        local = [name for name, at in routers.items() if at == centre]
        owners |= _assign(f"{service}\0{centre}", names, local or list(routers))
    return owners


def has_local_owners(servers: Mapping[ServerName, DataCentreName]) -> bool:
    """Return whether each server's owner is one of its data centre's routers."""
    return len(servers) >= SERVERS_PER_OWNER * len(set(servers.values()))


def _assign(
    subject: str, servers: Sequence[ServerName], routers: Sequence[RouterName]
) -> dict[ServerName, RouterName]:
    """Give each group of servers an owner."""
    assigned = {}
    free = set(routers)
    for number, group in enumerate(_groups(tuple(servers))):
        (owner,) = watchers(free, 1, f"owners\0{subject}\0{number}")
        assigned.update(dict.fromkeys(group, owner))
        free = free - {owner} or set(routers)
    return assigned


@lru_cache(maxsize=MAX_CACHED_TABLES)
def _groups(servers: tuple[ServerName, ...]) -> tuple[tuple[ServerName, ...], ...]:
    """Divide servers into groups by rendezvous hashing, none larger than the others.

    The groups don't depend on the routers: with another owner the servers of a group
    still have the prompt parts that its calls need.
    """
    count = math.ceil(len(servers) / SERVERS_PER_OWNER)
    limit = math.ceil(len(servers) / count)
    groups: list[list[ServerName]] = [[] for _ in range(count)]
    for server in servers:
        ranked = sorted(
            range(count), key=lambda number: _weight(server, number), reverse=True
        )
        group = next(number for number in ranked if len(groups[number]) < limit)
        groups[group].append(server)
    return tuple(tuple(group) for group in groups if group)


def _weight(server: ServerName, group: int) -> int:
    return xxhash.xxh3_64_intdigest(f"{server}\0{group}".encode())


@define
class ServiceOwners:
    """Hold the owners of one service's servers."""

    centres: Mapping[ServerName, DataCentreName]
    by_server: Mapping[ServerName, RouterName]
    servers: tuple[Registered, ...] = ()
    _owned: dict[RouterName, tuple[Registered, ...]] = field(factory=dict)
    _orders: dict[tuple[PartId, str], tuple[RouterName, ...]] = field(factory=dict)
    _classes: SpeedClasses = NO_CLASSES

    def set_servers(self, servers: tuple[Registered, ...]) -> None:
        """Replace the entries of the servers."""
        self.servers = servers
        self._owned.clear()
        self._orders = {key: row for key, row in self._orders.items() if not key[1]}

    def servers_of(self, owner: RouterName) -> tuple[Registered, ...]:
        """Return the servers of one owner."""
        owned = self._owned.get(owner)
        if owned is None:
            owned = self._owned[owner] = tuple(
                row
                for row in self.servers
                if self.by_server.get(row.instance.id) == owner
            )
        return owned

    def order(
        self,
        part: PartId,
        source: random.Random,
        version: str = "",
        classes: SpeedClasses = NO_CLASSES,
    ) -> tuple[RouterName, ...]:
        """Return the owners in order of preference for a call.

        For a part it is the order of their best servers for it, the same at every
        router, so that one owner knows all calls for the part. Only owners of servers
        of a version are in its order. `classes` must be the same object for as long as
        no speed class changes.
        """
        if not part:
            names = self._servers_of_version(version)
            source.shuffle(names)
            return tuple(dict.fromkeys(self.by_server[name] for name in names))
        if classes is not self._classes:
            self._classes = classes
            self._orders.clear()
        known = self._orders.get((part, version))
        if known is None:
            if len(self._orders) >= MAX_CACHED_PARTS:
                self._orders.clear()
            names = self._servers_of_version(version)
            ranked = first_servers(part, names, RANKED_SERVERS, classes)
            known = tuple(dict.fromkeys(self.by_server[name] for name in ranked))
            self._orders[part, version] = known
        return known

    def _servers_of_version(self, version: str) -> list[ServerName]:
        if not version:
            return list(self.by_server)
        return [
            row.instance.id
            for row in self.servers
            if row.instance.version == version and row.instance.id in self.by_server
        ]


@frozen
class OwnedServers:
    """List the servers for which a router decides as their owner."""

    rows: tuple[Registered, ...] = ()
    held: frozenset[ServerName] = frozenset()
    """Those of which it deals out a part of the limit on calls while they are cold."""


@define
class OwnerTable:
    """Hold the owners of every service, as this router computes them."""

    _usable: Callable[[ServiceName], tuple[Registered, ...]]
    routers: Routers = field(factory=dict)
    _me: RouterName = field(default="", kw_only=True)
    _sees_most: bool = False  # of all routers
    _centres_seen: frozenset[DataCentreName] = frozenset()
    """Data centres of whose routers this router sees most."""
    _owned: dict[tuple[ServiceName, frozenset[RouterName]], OwnedServers] = field(
        factory=dict
    )
    _tables: dict[tuple[ServiceName, frozenset[RouterName]], ServiceOwners] = field(
        factory=dict
    )

    def set_routers(
        self, routers: Routers, known: Mapping[DataCentreName, int] | None = None
    ) -> None:
        """Replace the routers that may own servers.

        `known` counts the routers of each data centre, with those out of sight.
        """
        in_sight = Counter(routers.values())
        known = in_sight if known is None else known
        self._sees_most = 2 * len(routers) > sum(known.values())
        self._centres_seen = frozenset(
            centre
            for centre, count in in_sight.items()
            if 2 * count > known.get(centre, 0)
        )
        self._owned.clear()
        if routers != self.routers:
            self.routers = dict(routers)
            self._tables.clear()

    def owned(
        self, service: ServiceName, left_out: frozenset[RouterName] = frozenset()
    ) -> OwnedServers:
        """Return the servers for which this router decides as their owner."""
        rows = self.owners(service, left_out).servers_of(self._me)
        known = self._owned.get((service, left_out))
        if known is not None and known.rows is rows:
            return known
        table = self.owners(service)
        held = (row.instance.id for row in rows if self._holds(table, row))
        if len(self._owned) >= MAX_CACHED_TABLES:
            self._owned.clear()
        owned = self._owned[service, left_out] = OwnedServers(rows, frozenset(held))
        return owned

    def _holds(self, table: ServiceOwners, row: Registered) -> bool:
        """Return whether this router is a server's owner for most of the routers.

        Cut off from them, it would be one of several. Standing in for a router that
        doesn't answer, it would be the second.
        """
        if table.by_server.get(row.instance.id) != self._me:
            return False
        if not has_local_owners(table.centres):
            return self._sees_most
        centre = row.instance.data_centre
        return self.routers.get(self._me) == centre and centre in self._centres_seen

    def all_owners(self) -> frozenset[RouterName]:
        """Return the owners of all servers that calls came for."""
        return frozenset(
            owner
            for (_, left_out), table in self._tables.items()
            if not left_out
            for owner in table.by_server.values()
        )

    def owned_by(self, router: RouterName) -> list[ServerName]:
        """Return the servers of a router, of services that calls came for."""
        return sorted(
            server
            for (_, left_out), table in self._tables.items()
            if not left_out
            for server, owner in table.by_server.items()
            if owner == router
        )

    def owners(
        self, service: ServiceName, left_out: frozenset[RouterName] = frozenset()
    ) -> ServiceOwners:
        """Return the owners of a service's servers, without some of the routers."""
        servers = self._usable(service)
        key = (service, left_out)
        known = self._tables.get(key)
        if known is not None and known.servers is servers:
            return known
        centres = {row.instance.id: row.instance.data_centre for row in servers}
        if known is None or known.centres != centres:
            routers = {
                name: at for name, at in self.routers.items() if name not in left_out
            }
            if len(self._tables) >= MAX_CACHED_TABLES:
                self._tables.clear()
            by_server = assign_owners(service, centres, routers)
            known = self._tables[key] = ServiceOwners(centres, by_server)
        known.set_servers(servers)
        return known
