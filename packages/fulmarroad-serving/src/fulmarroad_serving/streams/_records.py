"""Remember for each stream at which service and software version it began.

Load pattern: a router that ends breaks hundreds of streams at once, and their callers
take them up at other routers within a tenth of a second. What two versions write
doesn't fit together, so the routers that get these calls must know where each stream
began, and what the lost router remembered is lost with it.
"""

from __future__ import annotations

from collections import Counter, OrderedDict

from attrs import define, field, frozen

from fulmarroad.types import WorkspaceName
from fulmarroad_serving._catalog import ServedRoute, ServiceName
from fulmarroad_serving._fingerprints import digest_fields

MAX_RECORDS = 8_192
"""Maximum number of streams remembered, in about 3 MB; the oldest are dropped first."""

MAX_LIFE_S = 60.0
"""Maximum time in seconds for which a stream is remembered."""

KEY_BYTES = 12
"""Length of a key: too long to be met by chance or by search."""

StreamKey = bytes


@frozen
class StreamOrigin:
    """Name the service and the software version that began a stream."""

    service: ServiceName
    version: str


@frozen
class StreamRecord:
    """Hold where a stream began, until its caller can't take it up any more."""

    key: StreamKey
    origin: StreamOrigin
    until: float


def stream_key(
    workspace: WorkspaceName, route: ServedRoute, request_id: str
) -> StreamKey:
    """Return the key of the stream that a call began.

    It covers the workspace and the route, so that a caller who names the call of
    another workspace finds nothing.
    """
    fields = (workspace, route.host, route.path_prefix, request_id)
    return digest_fields(*(row.encode() for row in fields)).digest()[:KEY_BYTES]


@define
class StreamRecords:
    """Hold the records of streams, bounded in number and time."""

    _records: OrderedDict[StreamKey, StreamRecord] = field(factory=OrderedDict)
    _origins: Counter[StreamOrigin] = field(factory=Counter)
    dropped: int = 0
    """Records dropped early for want of room since this was last set to 0."""

    def __len__(self) -> int:
        return len(self._records)

    def __contains__(self, key: StreamKey) -> bool:
        return key in self._records

    def keep(self, record: StreamRecord) -> None:
        """Add or replace a record."""
        self._drop(record.key)
        self._records[record.key] = record
        self._origins[record.origin] += 1
        if len(self._records) > MAX_RECORDS:
            self._drop(next(iter(self._records)))
            self.dropped += 1

    def find(self, key: StreamKey, now: float) -> StreamOrigin | None:
        """Return where a stream began, or None if it is not known."""
        record = self._records.get(key)
        return record.origin if record is not None and now < record.until else None

    def current(self, now: float) -> list[StreamRecord]:
        """Drop the records whose time is over and return the others."""
        for key, record in list(self._records.items()):
            if now >= record.until:
                self._drop(key)
        return list(self._records.values())

    def origins(self) -> list[StreamOrigin]:
        """Return where the streams began that are remembered."""
        return list(self._origins)

    def _drop(self, key: StreamKey) -> None:
        record = self._records.pop(key, None)
        if record is None:
            return
        self._origins[record.origin] -= 1
        if not self._origins[record.origin]:
            del self._origins[record.origin]
