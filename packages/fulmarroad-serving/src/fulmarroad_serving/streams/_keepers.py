"""Keep records of streams at several routers, and look them up there.

Load pattern: a router ends, and all of its streams are taken up at other routers at
once. A record that only the lost router had would be lost exactly then. So each router
tells a few others, chosen by the stream's key, as a stream begins; any router computes
from the key whom to ask. Two of them are in the data centre of the router that began
the stream, which may be cut off from the others; two may be anywhere, as a caller may
come back to another data centre.
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Collection, Iterable, Mapping
from typing import Any

import anyio
from attrs import define, field, frozen

from fulmarroad.events import Event, emit
from fulmarroad.supervision import continue_on_error
from fulmarroad.types import DataCentreName, RouterName
from fulmarroad_serving._catalog import ServiceName
from fulmarroad_serving.streams._keeper_table import Keeper, KeeperTable
from fulmarroad_serving.streams._list_watch import ListWatch
from fulmarroad_serving.streams._messages import (
    FINDING_FORMAT,
    LOOKUP_FORMAT,
    MAX_RECORDS_PER_PACKET,
    RECORDS_FORMAT,
    KeptStream,
    StreamFinding,
    StreamLookup,
    pack_finding,
    pack_kept,
    pack_lookup,
    read_finding,
    read_kept,
    read_lookup,
)
from fulmarroad_serving.streams._records import (
    MAX_LIFE_S,
    StreamKey,
    StreamOrigin,
    StreamRecord,
    StreamRecords,
)

logger = logging.getLogger("fulmarroad.serving")

KEEPER_SILENCE_S = 0.6
"""Silence after which a router is not told: four missed reports."""

FLUSH_INTERVAL_S = 0.01
"""Time for which records are collected into one packet: less than the time between two
events of a stream."""

LOOKUP_TIMEOUT_S = 0.1
"""Time for the answers to a lookup: a round trip between regions and a busy event
loop."""

LOOKUP_ATTEMPTS = 2
"""Number of times that a lookup is sent to routers that don't answer."""

MAX_LOOKUPS = 500
"""Maximum number of lookups at once, several times the streams of a lost router; each
costs some ten packets, and a caller may name any call."""

Send = Callable[[bytes, str], None]
"""Send a packet to a host."""


@frozen
class Finding:
    """Hold what is known of a stream that a caller takes up."""

    origin: StreamOrigin | None
    versions: frozenset[StreamOrigin]  # that routers know in the services concerned
    asked: int = 0
    answered: int = 0
    watched_s: float = 0.0  # for how long one of them has known all versions


@define
class _PendingLookup:
    key: StreamKey
    waiting: set[RouterName]
    enough_s: float = float("inf")  # a router that has watched for so long is enough
    origin: StreamOrigin | None = None
    versions: set[StreamOrigin] = field(factory=set)
    watched_s: float = 0.0
    done: anyio.Event = field(factory=anyio.Event)

    def note(self, finding: StreamFinding) -> None:
        if finding.key != self.key:
            # It answers a lookup of an earlier start of this router.
            return
        self.waiting.discard(finding.router)
        self.versions.update(finding.versions)
        self.watched_s = max(self.watched_s, finding.watched_s)
        if self.origin is None:
            self.origin = finding.origin
        if (
            self.origin is not None
            or not self.waiting
            or self.watched_s >= self.enough_s
        ):
            self.done.set()


class StreamKeepers:
    """Keep records of streams for this router and for others."""

    def __init__(
        self,
        me: RouterName,
        centre: DataCentreName,
        versions: Callable[[ServiceName], Collection[str]],
        hosts: Callable[[], Mapping[RouterName, str]],
        clock: Callable[[], float],
        list_age_s: Callable[[], float] = lambda: 0.0,
    ) -> None:
        self._me = me
        self._list_age_s = list_age_s
        self.watch = ListWatch()
        self._versions = versions
        self._hosts = hosts
        self._clock = clock
        self._send: Send = lambda data, host: None
        self._number = 0
        self._lookups: dict[int, _PendingLookup] = {}
        self._outbox: dict[RouterName, list[KeptStream]] = {}
        self._due = anyio.Event()
        self._table = KeeperTable(me, centre)
        self._told: dict[StreamKey, frozenset[Keeper]] = {}
        """Whom this router told of the streams that began here."""
        self.records = StreamRecords()

    def note_begun(self, key: StreamKey, origin: StreamOrigin, life_s: float) -> None:
        """Remember a stream, just before its first event is sent to its caller."""
        now = self._clock()
        record = StreamRecord(key, origin, now + min(life_s, MAX_LIFE_S))
        self.records.keep(record)
        self._told[key] = frozenset()
        self._tell(record, now)

    def set_routers(self, routers: Iterable[Keeper], now: float) -> None:
        """Replace the live routers, and tell new keepers of the streams begun here."""
        if not self._table.set_routers(routers):
            return
        for record in self.records.current(now):
            if record.key in self._told:
                self._tell(record, now)

    def hand_over(self) -> None:
        """Tell other routers all records, as this router is about to end."""
        now = self._clock()
        for record in self.records.current(now):
            self._tell(record, now)
        self._flush()

    def note_list_age(self) -> float:
        """Record the age of the list of servers; return for how long it had no gap."""
        now = self._clock()
        self.watch.note_age(self._list_age_s(), now)
        return self.watch.seconds(now)

    def note_copy(self) -> None:
        """Record that the list of servers was replaced by a copy."""
        self.watch.note_copy(self._clock())

    async def find_versions(
        self, key: StreamKey, services: Collection[ServiceName], life_s: float
    ) -> Finding:
        """Return the versions that may have begun a stream which nobody has named.

        Other routers are asked only if this one hasn't watched for the time `life_s`.
        """
        watched_s = self.note_list_age()
        if watched_s >= life_s:
            known = frozenset(self._known_versions(services))
            return Finding(None, known, watched_s=watched_s)
        return await self.find(key, services, enough_s=life_s)

    async def find(
        self,
        key: StreamKey,
        services: Collection[ServiceName],
        enough_s: float = float("inf"),
    ) -> Finding:
        """Return where a stream began, from memory or from other routers.

        A router that has watched for the time `enough_s` ends the search, if nobody
        can know the stream.
        """
        watched_s = self.note_list_age()
        known = self._known_versions(services)
        origin = self.records.find(key, self._clock())
        if origin is not None or len(self._lookups) >= MAX_LOOKUPS:
            return Finding(origin, frozenset(known), watched_s=watched_s)
        asked = self._table.asked(key)
        self._number += 1
        lookup = StreamLookup(self._me, self._number, key, tuple(services))
        pending = _PendingLookup(key, set(asked), enough_s)
        self._lookups[lookup.number] = pending
        try:
            await self._ask(lookup, pending)
        finally:
            del self._lookups[lookup.number]
        answered = len(asked) - len(pending.waiting)
        versions = frozenset(pending.versions.union(known))
        watched_s = max(watched_s, pending.watched_s)
        return Finding(pending.origin, versions, len(asked), answered, watched_s)

    def expire(self) -> None:
        """Drop records whose time is over, and log those that were dropped early."""
        self.note_list_age()
        self.records.current(self._clock())
        for key in [key for key in self._told if key not in self.records]:
            del self._told[key]
        if self.records.dropped:
            emit(logger, Event.STREAM_RECORDS_DROPPED, records=self.records.dropped)
            self.records.dropped = 0

    async def _ask(self, lookup: StreamLookup, pending: _PendingLookup) -> None:
        data = pack_lookup(lookup)
        for _ in range(LOOKUP_ATTEMPTS):
            if pending.done.is_set() or not pending.waiting:
                return
            for router in sorted(pending.waiting):
                self._send_to(router, data)
            with anyio.move_on_after(LOOKUP_TIMEOUT_S):
                await pending.done.wait()

    def receive(self, row: Any, host: str) -> None:
        """Apply a message; raise `MessageError` if it is not valid."""
        if row[0] == RECORDS_FORMAT:
            now = self._clock()
            for kept in read_kept(row):
                record = StreamRecord(kept.key, kept.origin, now + kept.life_s)
                self.records.keep(record)
        elif row[0] == LOOKUP_FORMAT:
            self._send(pack_finding(self._answer(read_lookup(row))), host)
        else:
            finding = read_finding(row)
            pending = self._lookups.get(finding.number)
            if pending is not None:
                pending.note(finding)

    async def run(self, send: Send) -> None:
        """Send records in batches until cancelled."""
        self._send = send
        while True:
            await self._due.wait()
            await anyio.sleep(FLUSH_INTERVAL_S)
            self._flush()

    def _answer(self, lookup: StreamLookup) -> StreamFinding:
        origin = self.records.find(lookup.key, self._clock())
        watched_s = self.note_list_age()
        versions = tuple(self._known_versions(lookup.services))
        return StreamFinding(
            self._me, lookup.number, lookup.key, origin, versions, watched_s
        )

    def _known_versions(self, services: Iterable[ServiceName]) -> set[StreamOrigin]:
        return {
            StreamOrigin(service, version)
            for service in services
            for version in self._versions(service)
        }

    def _tell(self, record: StreamRecord, now: float) -> None:
        """Tell the keepers of a record that were not told of it before."""
        keepers = frozenset(self._table.told(record.key))
        kept = KeptStream(record.key, record.origin, max(0.0, record.until - now))
        for keeper in keepers - self._told.get(record.key, frozenset()):
            self._outbox.setdefault(keeper.router, []).append(kept)
            self._due.set()
        if record.key in self._told:
            self._told[record.key] = keepers

    def _flush(self) -> None:
        outbox, self._outbox = self._outbox, {}
        self._due = anyio.Event()
        for router, streams in outbox.items():
            for start in range(0, len(streams), MAX_RECORDS_PER_PACKET):
                with continue_on_error("records of streams"):
                    packet = pack_kept(streams[start : start + MAX_RECORDS_PER_PACKET])
                    self._send_to(router, packet)

    def _send_to(self, router: RouterName, data: bytes) -> None:
        host = self._hosts().get(router)
        if host is not None:
            self._send(data, host)


def is_stream_message(row: object) -> bool:
    """Return whether an unpacked packet is about records of streams."""
    formats = (RECORDS_FORMAT, LOOKUP_FORMAT, FINDING_FORMAT)
    return isinstance(row, list) and bool(row) and row[0] in formats
