"""The routes and pools tables that operators maintain, linked by names."""

from __future__ import annotations

import enum

from attrs import field, frozen

from fulmarroad.types import (
    DataCentreName,
    PoolName,
    ServerName,
    ShardId,
    WorkspaceName,
)


class ServiceState(enum.StrEnum):
    """Describe whether operators have a data centre or backend server in service."""

    IN = "in"
    OUT = "out"


class PoolKind(enum.StrEnum):
    """Describe what the backend servers of a pool run."""

    MODEL = "model"
    PLAIN = "plain"


class CostUnit(enum.StrEnum):
    """List the units in which fairness measures the cost of a request."""

    TOKENS = "tokens"
    CALLS = "calls"
    SECONDS = "seconds"


@frozen
class Workspace:
    """Describe a workspace: its weight, its keys and its limits."""

    name: WorkspaceName
    weight: float = 1.0
    key_sha256: tuple[str, ...] = ()
    max_waiting: int = 256
    max_running: int = 1024


@frozen
class Route:
    """Describe a route: the calls that match it, their pool and their limits."""

    name: str
    path: str
    pool: PoolName
    path_prefix: bool = False
    methods: tuple[str, ...] = ()  # empty: every method
    model: str = ""  # only calls whose body names this model; empty: every call
    workspaces: tuple[WorkspaceName, ...] = ()  # empty: every workspace
    repeatable: bool = False
    timeout_s: float = 60.0
    max_wait_s: float = 30.0
    max_body_bytes: int = 1024 * 1024


@frozen
class BackendServer:
    """Describe a backend server of a pool."""

    name: ServerName
    address: str  # host:port, where the host is an IP address
    data_centre: DataCentreName
    state: ServiceState = ServiceState.IN


@frozen
class Pool:
    """Describe a pool of interchangeable backend servers."""

    name: PoolName
    kind: PoolKind = PoolKind.MODEL
    cost: CostUnit = CostUnit.TOKENS
    prompt_cost: float = 0.25  # cost units per prompt token
    can_resume: bool = False
    checks_fence: bool = False
    max_concurrency: int = 32
    cold_concurrency: int = 1
    first_token_target_s: float = 2.0
    gap_target_s: float = 0.2
    connect_timeout_s: float = 1.0
    first_byte_timeout_s: float = 30.0
    idle_timeout_s: float = 15.0
    shard_servers: int = 8
    servers: tuple[BackendServer, ...] = ()


@frozen
class DataCentre:
    """Describe a data centre and whether operators have it in service."""

    name: DataCentreName
    state: ServiceState = ServiceState.IN


@frozen
class Tables:
    """Hold one version of both tables after all checks."""

    version: int
    workspaces: dict[WorkspaceName, Workspace] = field(factory=dict)
    routes: dict[str, Route] = field(factory=dict)
    pools: dict[PoolName, Pool] = field(factory=dict)
    data_centres: dict[DataCentreName, DataCentre] = field(factory=dict)

    def in_service(self, data_centre: DataCentreName) -> bool:
        """Return whether a data centre may get new work; an unknown one may not."""
        row = self.data_centres.get(data_centre)
        return row is not None and row.state is ServiceState.IN

    def server_takes_work(self, server: BackendServer) -> bool:
        """Return whether a backend server and its data centre are both in service."""
        return server.state is ServiceState.IN and self.in_service(server.data_centre)


def shards_of(pool: Pool) -> dict[ShardId, tuple[BackendServer, ...]]:
    """Split a pool into shards, identically on every router.

    Servers out of service remain in their shard, so that taking one out of service
    moves no other server to another scheduler.
    """
    by_centre: dict[DataCentreName, list[BackendServer]] = {}
    for server in sorted(pool.servers, key=lambda server: server.name):
        by_centre.setdefault(server.data_centre, []).append(server)
    shards: dict[ShardId, tuple[BackendServer, ...]] = {}
    for centre, servers in sorted(by_centre.items()):
        count = -(-len(servers) // pool.shard_servers)
        for index in range(count):
            shard = ShardId(pool.name, centre, index)
            shards[shard] = tuple(servers[index::count])
    return shards
