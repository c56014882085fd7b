"""The shards and servers of the tables in force, and the scheduler of each shard."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Mapping

from fulmarroad._tables import BackendServer, Tables, shards_of
from fulmarroad.ownership import assign_shards
from fulmarroad.shifting import CentreChange, CentreShift, CentreState
from fulmarroad.types import (
    DataCentreName,
    PoolName,
    RouterName,
    ServerName,
    ShardId,
)


class ShardMap:
    """Hold the shards of the tables in force and their assigned schedulers."""

    def __init__(self) -> None:
        self._tables: Tables | None = None
        self._live: dict[DataCentreName, tuple[RouterName, ...]] = {}
        self._shards: dict[PoolName, dict[ShardId, tuple[BackendServer, ...]]] = {}
        self._servers: dict[ServerName, BackendServer] = {}
        self._schedulers: dict[ShardId, RouterName] = {}
        self._shift = CentreShift()
        self._changes: list[CentreChange] = []

    def __iter__(self) -> Iterator[ShardId]:
        for shards in self._shards.values():
            yield from shards

    def __contains__(self, shard: ShardId) -> bool:
        return shard in self._shards.get(shard.pool, {})

    @property
    def schedulers(self) -> Mapping[ShardId, RouterName]:
        """Return the scheduler of each shard in this router's view."""
        return self._schedulers

    @property
    def live(self) -> Mapping[DataCentreName, tuple[RouterName, ...]]:
        """Return the routers that are live according to membership, by data centre."""
        return self._live

    def changes(self) -> list[CentreChange]:
        """Return the data centre state changes since the last call."""
        changes, self._changes = self._changes, []
        return changes

    def set_tables(self, tables: Tables, now: float) -> None:
        """Apply new tables."""
        self._tables = tables
        self._changes += self._shift.update(tables, now)
        self._shards = {name: shards_of(pool) for name, pool in tables.pools.items()}
        self._servers = {
            server.name: server
            for pool in tables.pools.values()
            for server in pool.servers
        }

    def set_live(self, live: Mapping[DataCentreName, tuple[RouterName, ...]]) -> None:
        """Apply the membership's view of live routers."""
        self._live = dict(live)

    def tick(self, now: float) -> None:
        """Advance the state of the data centres that return to service."""
        self._changes += self._shift.tick(now)

    def assign(self, is_unreachable: Callable[[RouterName], bool]) -> None:
        """Recompute every shard's scheduler, without unreachable routers."""
        reachable = {
            centre: tuple(router for router in routers if not is_unreachable(router))
            for centre, routers in self._live.items()
        }
        self._schedulers = assign_shards(list(self), reachable)

    def server(self, name: ServerName) -> BackendServer | None:
        """Return a backend server, or `None` if it is unknown or takes no new work."""
        server = self._servers.get(name)
        return server if server is not None and self._takes_work(server) else None

    def open_shards(self, pool: PoolName) -> list[ShardId]:
        """Return the shards of a pool that have a server which takes new work."""
        return [
            shard
            for shard, servers in self._shards.get(pool, {}).items()
            if any(self._takes_work(server) for server in servers)
        ]

    def accepts_request(self, shard: ShardId, key: str, now: float) -> bool:
        """Return whether the shard's data centre takes the request with this key.

        A data centre that returns to service takes a growing share of requests.
        """
        return self._shift.accepts(shard.data_centre, key, now)

    def centre_state(self, data_centre: DataCentreName) -> CentreState:
        """Return the service state of a data centre."""
        return self._shift.state(data_centre)

    def _takes_work(self, server: BackendServer) -> bool:
        return self._tables is not None and self._tables.server_takes_work(server)
