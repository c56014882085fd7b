"""Routes, services, workspaces and limits of one version of the configuration."""

from __future__ import annotations

import enum
import hashlib
from collections.abc import Iterable, Mapping

import xxhash
from attrs import field, frozen

from fulmarroad.types import WorkspaceName
from fulmarroad_serving.decoding import MAX_CALL_TOKENS

ServiceName = str


class CallKind(enum.StrEnum):
    """Define how often a call may run."""

    IDEMPOTENT = "idempotent"
    AT_MOST_ONCE = "at_most_once"
    STREAM = "stream"


@frozen
class Target:
    """Name a service and its weight in a route's traffic split."""

    service: ServiceName
    weight: float = 1.0


@frozen
class ServedRoute:
    """Map calls to services and define how they may be handled."""

    name: str
    host: str
    path_prefix: str
    kind: CallKind
    targets: tuple[Target, ...]
    timeout_s: float
    objective_s: float
    """Promised time in seconds to the answer (streams: to the first event)."""
    max_attempts: int = 1
    priority: int = 0  # 0 is the most urgent
    anonymous: bool = False
    prefix_affinity: bool = False
    resumable: bool = False
    pause_objective_s: float = 0.0  # longest pause between events; 0: no promise

    @property
    def repeatable(self) -> bool:
        """Return whether a call may run again after an unknown outcome."""
        return self.kind is CallKind.IDEMPOTENT or self.resumable


@frozen
class EngineProfile:
    """Describe the capacity of every inference engine of a service."""

    slots: int
    token_bytes: int = 0  # cache memory of one prompt token, in bytes
    link_mbps: float = 0.0  # link between engines, in Mbit/s
    step_tokens: int = 0  # output tokens of one event of an answer; 0: not stated
    memory_tokens: int = 0  # largest call that fits into memory; 0: not stated

    @property
    def fetch_rate(self) -> float:
        """Return the tokens per second fetched from another engine; 0: none."""
        if not self.token_bytes or not self.link_mbps:
            return 0.0
        return self.link_mbps * 1e6 / (8 * self.token_bytes)

    def holds(self, tokens: int) -> bool:
        """Return whether an idle engine has memory for a call of that size."""
        return tokens < MAX_CALL_TOKENS and tokens <= (self.memory_tokens or tokens)


@frozen
class Service:
    """Describe a group of interchangeable backend servers."""

    name: ServiceName
    max_connections: int = 64  # from all routers together to one server
    warmup_rate: float = 0.0  # calls per second that a cold server can handle
    engine: EngineProfile | None = None


@frozen
class CallerLimits:
    """Limit what a caller may send and how long it may stay idle."""

    header_bytes: int = 16384
    body_bytes: int = 4 * 1024 * 1024
    header_timeout_s: float = 10.0  # from a request's first byte to its last header
    idle_timeout_s: float = 15.0
    units_per_s: float = 0.0  # capacity shared by all workspaces; 0: not configured


@frozen
class KeyHolder:
    """Hold a workspace's name, the digests of its API keys and its priority."""

    name: WorkspaceName
    key_digests: tuple[bytes, ...] = ()
    priority: int | None = None  # overrides the route's priority


@frozen
class Catalog:
    """Hold one complete version of the configuration."""

    version: int
    routes: tuple[ServedRoute, ...] = ()
    services: Mapping[ServiceName, Service] = field(factory=dict)
    holders: tuple[KeyHolder, ...] = ()
    limits: CallerLimits = field(factory=CallerLimits)


def digest_key(key: bytes) -> bytes:
    """Return the digest under which an API key is stored and looked up."""
    return hashlib.sha256(key).digest()


class CatalogIndex:
    """Look up routes, priorities and API keys in one version of the configuration."""

    def __init__(self, catalog: Catalog) -> None:
        self.catalog = catalog
        self._routes: dict[str, dict[str, ServedRoute]] = {}
        for route in catalog.routes:
            self._routes.setdefault(route.host, {})[route.path_prefix] = route
        self._most_urgent: dict[tuple[Target, ...], int] = {}
        workspace_priorities = [
            row.priority for row in catalog.holders if row.priority is not None
        ]
        for route in catalog.routes:
            # An anonymous caller has no workspace that could override the route's
            # priority.
            most_urgent = min(
                [route.priority, *([] if route.anonymous else workspace_priorities)]
            )
            before = self._most_urgent.get(route.targets, most_urgent)
            self._most_urgent[route.targets] = min(before, most_urgent)
        self._holders = {
            digest: holder
            for holder in catalog.holders
            for digest in holder.key_digests
        }

    def rank_of(self, route: ServedRoute, holder: KeyHolder | None) -> int:
        """Return the priority difference to the most urgent call to the same targets.

        A workspace's priority overrides the route's.
        """
        stated = holder.priority if holder is not None else None
        priority = route.priority if stated is None else stated
        return max(0, priority - self._most_urgent.get(route.targets, priority))

    @property
    def requires_keys(self) -> bool:
        """Return whether callers of routes that aren't anonymous need an API key."""
        return bool(self.catalog.holders)

    def route_for(self, host: str, path: str) -> ServedRoute | None:
        """Return the route with the longest matching prefix; prefixes end in '/'."""
        prefixes = self._routes.get(host)
        if not prefixes:
            return None
        end = path.rfind("/")
        while end >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None

    def holder_of(self, key: bytes) -> KeyHolder | None:
        """Return the workspace that holds an API key, or None.

        The lookup uses a SHA-256 digest, so its timing reveals nothing about stored
        keys.
        """
        return self._holders.get(digest_key(key))


def pick_target(targets: Iterable[Target], call_id: str) -> ServiceName | None:
    """Return the target service of a call, the same for each of its attempts."""
    rows = [row for row in targets if row.weight > 0]
    if not rows:
        return None
    if len(rows) == 1:
        return rows[0].service
    total = sum(row.weight for row in rows)
    remaining_weight = xxhash.xxh3_64_intdigest(call_id.encode()) / 2**64 * total
    for row in rows:
        remaining_weight -= row.weight
        if remaining_weight < 0:
            return row.service
    return rows[-1].service
