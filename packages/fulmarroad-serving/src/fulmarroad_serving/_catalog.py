"""What operators configure: routes, services, workspaces and limits of one version."""

from __future__ import annotations

import enum
import hashlib
from collections.abc import Iterable, Mapping

import xxhash
from attrs import field, frozen

from fulmarroad.types import WorkspaceName

ServiceName = str


class CallKind(enum.StrEnum):
    """Say how often a call may run."""

    IDEMPOTENT = "idempotent"
    AT_MOST_ONCE = "at_most_once"
    STREAM = "stream"


@frozen
class Target:
    """Name a service that gets a part of a route's calls."""

    service: ServiceName
    weight: float = 1.0


@frozen
class ServedRoute:
    """Say which calls go to which services, and how they may be handled."""

    name: str
    host: str
    path_prefix: str
    kind: CallKind
    targets: tuple[Target, ...]
    timeout_s: float
    objective_s: float
    """Time to the answer (streams: to the first event) that callers are promised."""
    max_attempts: int = 1
    priority: int = 0  # 0 is the most urgent
    anonymous: bool = False
    prefix_affinity: bool = False
    resumable: bool = False
    pause_objective_s: float = 0.0  # longest pause between events; 0: none is promised

    @property
    def repeatable(self) -> bool:
        """Tell whether a call may run again after an unknown outcome."""
        return self.kind is CallKind.IDEMPOTENT or self.resumable


@frozen
class EngineProfile:
    """Say what every model engine of a service takes at once."""

    slots: int
    token_bytes: int = 0  # memory of one prompt token
    link_mbps: float = 0.0  # between engines, megabits a second

    @property
    def fetch_rate(self) -> float:
        """Return the tokens a second that one engine gets from another; 0: none."""
        if not self.token_bytes or not self.link_mbps:
            return 0.0
        return self.link_mbps * 1e6 / (8 * self.token_bytes)


@frozen
class Service:
    """Describe the backend servers that can stand in for each other."""

    name: ServiceName
    max_connections: int = 64  # of all routers together, to one server
    warmup_rate: float = 0.0  # calls a second that a cold server bears
    engine: EngineProfile | None = None


@frozen
class CallerLimits:
    """Bound what a caller may send and how long it may stay idle."""

    header_bytes: int = 16384
    body_bytes: int = 4 * 1024 * 1024
    header_timeout_s: float = 10.0  # from a request's first byte to its last header
    idle_timeout_s: float = 15.0
    units_per_s: float = 0.0  # service that all workspaces share; 0: not stated


@frozen
class KeyHolder:
    """Name a workspace, the digests of its keys and its priority."""

    name: WorkspaceName
    key_digests: tuple[bytes, ...] = ()
    priority: int | None = None  # goes before the route's


@frozen
class Catalog:
    """Hold one version of the configuration, whole."""

    version: int
    routes: tuple[ServedRoute, ...] = ()
    services: Mapping[ServiceName, Service] = field(factory=dict)
    holders: tuple[KeyHolder, ...] = ()
    limits: CallerLimits = field(factory=CallerLimits)


def digest_key(key: bytes) -> bytes:
    """Return the digest by which a key is stored and looked up."""
    return hashlib.sha256(key).digest()


class CatalogIndex:
    """Answer the lookups of one version."""

    def __init__(self, catalog: Catalog) -> None:
        self.catalog = catalog
        self._routes: dict[str, dict[str, ServedRoute]] = {}
        for route in catalog.routes:
            self._routes.setdefault(route.host, {})[route.path_prefix] = route
        self._most_urgent: dict[tuple[Target, ...], int] = {}
        given = [row.priority for row in catalog.holders if row.priority is not None]
        for route in catalog.routes:
            # A caller without a key has no workspace whose priority could count.
            least = min([route.priority, *([] if route.anonymous else given)])
            before = self._most_urgent.get(route.targets, least)
            self._most_urgent[route.targets] = min(before, least)
        self._holders = {
            digest: holder
            for holder in catalog.holders
            for digest in holder.key_digests
        }

    def rank_of(self, route: ServedRoute, holder: KeyHolder | None) -> int:
        """Return how far a call is below the most urgent one of its services.

        A workspace's priority goes before its route's.
        """
        stated = holder.priority if holder is not None else None
        priority = route.priority if stated is None else stated
        return max(0, priority - self._most_urgent.get(route.targets, priority))

    @property
    def requires_keys(self) -> bool:
        """Tell whether callers of routes that aren't anonymous need a key."""
        return bool(self.catalog.holders)

    def route_for(self, host: str, path: str) -> ServedRoute | None:
        """Return the route with the longest prefix of a path; prefixes end in '/'."""
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
        """Return the workspace that holds a key.

        The lookup goes by SHA-256, so its time tells nothing about a stored key.
        """
        return self._holders.get(digest_key(key))


def pick_target(targets: Iterable[Target], call_id: str) -> ServiceName | None:
    """Return the service of a call, the same for each of its attempts."""
    rows = [row for row in targets if row.weight > 0]
    if not rows:
        return None
    if len(rows) == 1:
        return rows[0].service
    total = sum(row.weight for row in rows)
    point = xxhash.xxh3_64_intdigest(call_id.encode()) / 2**64 * total
    for row in rows:
        point -= row.weight
        if point < 0:
            return row.service
    return rows[-1].service
