"""Size of the fleet for which docs/CAPACITY-LIBRARY.md states the needs."""

from __future__ import annotations

import math

from attrs import frozen


@frozen
class FleetSize:
    """Hold a fleet's size and derive the sizes of its parts.

    Pools, data centres and routers are assumed to be equal. `request_s` is the duration
    of one request: the time to the first token plus 62 ms for each token of the answer.
    """

    nodes: int = 370
    servers: int = 1800
    requests_s: float = 3100.0
    tokens_s: float = 640_000.0
    workspaces: int = 16_000
    backlogged_part: float = 0.1
    models: int = 14
    centres: int = 12
    shard_servers: int = 8
    first_token_s: float = 0.35
    token_s: float = 0.062
    changes_day: float = 1100.0
    replaced_day: float = 800.0
    delay_s: float = 0.1
    largest_cost: float = 4096.0
    estimate_error: float = 4096.0

    @property
    def tokens_of_request(self) -> float:
        """Return the mean number of tokens of an answer."""
        return self.tokens_s / self.requests_s

    @property
    def request_s(self) -> float:
        """Return the mean duration of a request, in seconds."""
        return self.first_token_s + self.tokens_of_request * self.token_s

    @property
    def running(self) -> float:
        """Return the mean number of requests that run concurrently in the fleet."""
        return self.requests_s * self.request_s

    @property
    def shards_of_pool(self) -> int:
        """Return the number of shards of one pool, equal in every data centre."""
        servers = self.servers / self.models / self.centres
        return self.centres * math.ceil(servers / self.shard_servers)

    @property
    def shards_of_centre(self) -> int:
        """Return the number of shards of all pools in one data centre."""
        return self.models * self.shards_of_pool // self.centres

    @property
    def servers_of_shard(self) -> float:
        """Return the mean number of backend servers in a shard."""
        return self.servers / (self.models * self.shards_of_pool)

    @property
    def nodes_of_centre(self) -> float:
        """Return the mean number of routers in a data centre; all follow its shards."""
        return self.nodes / self.centres

    @property
    def roles_of_node(self) -> float:
        """Return the mean number of schedulers that one router runs."""
        return self.models * self.shards_of_pool / self.nodes

    @property
    def schedulers_of_pool(self) -> int:
        """Return the number of schedulers of one pool: one for each shard."""
        return self.shards_of_pool

    @property
    def backlogged_of_pool(self) -> int:
        """Return the workspaces backlogged at one pool, if each uses one pool."""
        return math.ceil(self.workspaces * self.backlogged_part / self.models)

    @property
    def units_of_pool(self) -> int:
        """Return the number of requests that run concurrently in one pool."""
        return math.ceil(self.running / self.models)

    @property
    def rate_of_pool(self) -> float:
        """Return the token rate of one pool, per second."""
        return self.tokens_s / self.models


TARGET_FLEET = FleetSize()
"""Size of the fleet that the library is designed for."""
