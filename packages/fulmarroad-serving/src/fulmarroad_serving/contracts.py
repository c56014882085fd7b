"""Interfaces that a platform adapter implements, and the types that they exchange.

An adapter decodes names and formats once and makes no decisions: the types describe the
platform's state, never how to react to it.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import Protocol

from attrs import evolve, field, frozen

from fulmarroad.types import DataCentreName, RouterName, ServerName, WorkspaceName
from fulmarroad_serving._baselines import DEFAULT_PLACEMENT
from fulmarroad_serving._catalog import Catalog
from fulmarroad_serving._demands import FleetBounds
from fulmarroad_serving._features import FeatureSettings
from fulmarroad_serving._positions import Position
from fulmarroad_serving._registry import Instance
from fulmarroad_serving._replica import ReplicaItem

DEFAULT_HEARTBEAT_S = 1.2
"""Interval of servers' heartbeats in seconds where the settings state none."""

Header = tuple[bytes, bytes]
Headers = list[Header]


@frozen
class CallHead:
    """Hold the decoded headers of a call; `forward` is sent to the server unchanged."""

    request_id: str
    host: str
    key: bytes = b""
    deadline_s: float | None = None
    last_event_id: str = ""
    resumes: str = ""  # id of the call that brought the first event of its stream
    parts: tuple[str, ...] = ()  # names of the prompt's shared parts, in order
    shared_tokens: int = 0
    own_tokens: int = 0
    output_tokens: int = 0
    length_hint: int = 0  # output tokens that the caller expects; 0: not stated
    own_part: str = ""  # name of the last part, which is the call's or its session's
    own_part_tokens: int = 0
    forward: tuple[Header, ...] = ()

    @property
    def part(self) -> str:
        """Return the name of the shared parts as one, which servers cache together."""
        return ",".join(self.parts)

    @property
    def tokens(self) -> int:
        """Return the tokens of its prompt and of the longest answer that it allows."""
        return self.shared_tokens + self.own_tokens + self.output_tokens

    def without_tokens(self) -> CallHead:
        """Return the same call as one that states no numbers of tokens."""
        return evolve(self, shared_tokens=0, own_tokens=0, output_tokens=0)


@frozen
class AnswerHead:
    """Hold the decoded status and headers of a server's answer."""

    status: int
    request_id: str = ""
    signed: bool = False  # carries the backend server's own signature
    not_run: bool = False
    encoded: bool = False  # the body has a content encoding that was not requested
    warmup_left_s: float = 0.0
    leaving: bool = False  # the server is shutting down and takes no new calls
    rest: str = ""  # seconds for which a refusing server wants no calls, as stated
    instance: str = ""  # id of the server that answers, where it states one
    forward: tuple[Header, ...] = ()


class CallCodec(Protocol):
    """Translate the headers of calls and answers."""

    def read_call(self, headers: Sequence[Header]) -> CallHead:
        """Decode a caller's headers."""

    def server_headers(
        self,
        head: CallHead,
        *,
        instance: ServerName,
        workspace: WorkspaceName,
        remaining_s: float,
        last_event_id: str,
        source: Instance | None = None,
    ) -> Headers:
        """Return the headers of a call to a server, without the framing headers.

        `source` is another engine, from which the server may fetch the cached parts of
        the prompt that it is missing.
        """

    def read_answer(self, status: int, headers: Sequence[Header]) -> AnswerHead:
        """Decode the status and headers of a server's answer."""

    def own_headers(self, head: CallHead | None) -> Headers:
        """Return the headers of an answer that the router itself generates."""


@frozen
class CatalogFact:
    """Report the version of the configuration in force."""

    catalog: Catalog


@frozen
class InstanceFact:
    """Report a backend server's registration."""

    instance: Instance


@frozen
class InstanceRemovedFact:
    """Report that a backend server's entry was removed."""

    server: ServerName


@frozen
class CentreFact:
    """Report whether a data centre is excluded from new calls."""

    data_centre: DataCentreName
    excluded: bool


@frozen
class UnusableFact:
    """Report an item that can't be decoded, and the cause.

    `server` is set if the item is a backend server's entry.
    """

    key: str
    cause: str
    server: ServerName = ""


Fact = CatalogFact | InstanceFact | InstanceRemovedFact | CentreFact | UnusableFact


@frozen
class Listing:
    """Hold items of the store, complete up to position `at`."""

    at: Position
    items: tuple[ReplicaItem, ...]
    is_paged: bool = False  # items may have changed or gone between its pages


class StateStore(Protocol):
    """Read the platform's store; raise `StoreError` if it gives no usable answer."""

    async def list_all(self) -> Listing:
        """Return every item that routers need."""

    async def watch(self, at: Position, wait_s: float) -> Listing:
        """Return the changes after a position, waiting up to `wait_s` for the first.

        Raise `HistoryLostError` if the store no longer has these changes, for instance
        because it was restored from an older copy.
        """

    async def read_changes(self, at: Position, timeout_s: float) -> Listing:
        """Return the changes after a position that were made before this call.

        Later ones may be among them. It doesn't wait for a call of `watch`. Raise
        `HistoryLostError` as `watch` does.
        """

    def decode(self, item: ReplicaItem) -> Fact | None:
        """Return the decoded item, or None for one that routers don't use."""


@frozen
class EngineMemory:
    """Hold what a run of an engine has cached; complete, or it isn't returned."""

    started_ms: int  # Unix time of this run's start
    capacity_tokens: int
    parts: Mapping[str, int]  # tokens by the name of a part


class EngineMemories(Protocol):
    """Ask engines what they have cached; raise `StoreError` for no usable answer."""

    async def read(self, instance: Instance, timeout_s: float) -> EngineMemory:
        """Return what one run has cached.

        It is the run that the start names, if that start was known before this call.
        """


@frozen
class ServingSettings:
    """Hold the settings with which one process starts."""

    router: RouterName
    data_centre: DataCentreName
    host: str
    callers_port: int
    readiness_port: int
    admin_port: int
    peer_port: int
    metrics_port: int
    seeds: tuple[str, ...]  # hosts of some routers; may be out of date
    grace_s: float  # seconds from the stop request until the process is killed
    bounds: FleetBounds = field(factory=FleetBounds)
    placement: str = DEFAULT_PLACEMENT  # name of the placement strategy
    features: FeatureSettings = field(factory=FeatureSettings)
    heartbeat_s: float = DEFAULT_HEARTBEAT_S  # interval at which servers register
