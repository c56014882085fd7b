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
from collections.abc import Awaitable, Callable, Collection, Iterable, Mapping, Sequence
from typing import Any, Protocol

import anyio

from fulmarroad.events import Event, emit
from fulmarroad.supervision import continue_on_error
from fulmarroad.types import DataCentreName, RouterName
from fulmarroad_serving._catalog import ServiceName
from fulmarroad_serving._positions import Position
from fulmarroad_serving.streams._keeper_table import Keeper, KeeperTable
from fulmarroad_serving.streams._list_watch import ListWatch
from fulmarroad_serving.streams._lookups import (
    LOOKUP_TIMEOUT_S,
    MAX_LOOKUPS,
    Answers,
    StreamLookups,
)
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
from fulmarroad_serving.streams._views import Confirmation, VersionView

logger = logging.getLogger("fulmarroad.serving")

KEEPER_SILENCE_S = 0.6
"""Silence after which a router is not told: four missed reports."""

FLUSH_INTERVAL_S = 0.01
"""Time for which records are collected into one packet: less than the time between two
events of a stream."""

Send = Callable[[bytes, str], None]
"""Send a packet to a host."""


class Confirm(Protocol):
    """Return whether this router's list of servers is complete as of a time."""

    def __call__(self, since: float, timeout_s: float) -> Awaitable[bool]:
        """Return it within `timeout_s` seconds; False if it can't be shown."""


class StreamKeepers:
    """Keep records of streams for this router and for others."""

    def __init__(
        self,
        me: RouterName,
        centre: DataCentreName,
        versions: Callable[[ServiceName], Collection[str]],
        hosts: Callable[[], Mapping[RouterName, str]],
        clock: Callable[[], float],
        position: Callable[[], Position] = lambda: 0,
        in_contact: Callable[[], Sequence[RouterName]] = tuple,
        seeds: Callable[[], Collection[str]] = tuple,
    ) -> None:
        self._seeds = seeds
        self._me = me
        self._position = position
        self._in_contact = in_contact
        self.watch = ListWatch()
        self._versions = versions
        self._hosts = hosts
        self._clock = clock
        self._send: Send = lambda data, host: None
        self.lookups = StreamLookups(me, self._send_to)
        self._to_confirm: list[tuple[StreamLookup, str]] = []
        self._confirmation_due = anyio.Event()
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

    def records_origin(self, key: StreamKey) -> StreamOrigin | None:
        """Return where a stream began, or None if this router doesn't know it."""
        return self.records.find(key, self._clock())

    def view(
        self, services: Collection[ServiceName], *, is_confirmed: bool = False
    ) -> VersionView:
        """Return the versions that this router knows, also from records of streams."""
        listed = {
            StreamOrigin(service, version)
            for service in services
            for version in self._versions(service)
        }
        begun = {row for row in self.records.origins() if row.service in services}
        return VersionView(
            frozenset(listed | begun),
            self.watch.seconds(self._clock()),
            self.watch.since_at,
            self._position(),
            Confirmation.STORE if is_confirmed else Confirmation.NONE,
        )

    async def ask(
        self,
        key: StreamKey,
        services: Collection[ServiceName],
        routers: Collection[RouterName] | None = None,
        *,
        confirms: bool = False,
    ) -> Answers:
        """Return what others know of a stream, by default those that may have it."""
        asked = self._table.asked(key) if routers is None else routers
        return await self.lookups.ask(key, services, asked, confirms=confirms)

    def are_all(self, answers: Answers) -> bool:
        """Return whether all other routers that can have begun streams have answered.

        It is never known in a fleet too large to name them, nor while a seed is
        silent: routers that started cut off may have met only each other.
        """
        met = self._table.met()
        if not met or answers.met is None:
            return False
        hosts, answered = self._hosts(), answers.answered
        reached = {hosts[router] for router in answered if router in hosts}
        return (met | answers.met) - {self._me} <= answered and (
            set(self._seeds()) <= reached
        )

    def in_contact(self) -> Sequence[RouterName]:
        """Return the routers that the store answered lately, the latest first."""
        return self._in_contact()

    def expire(self) -> None:
        """Drop records whose time is over, and log those that were dropped early."""
        self.records.current(self._clock())
        for key in [key for key in self._told if key not in self.records]:
            del self._told[key]
        if self.records.dropped:
            emit(logger, Event.STREAM_RECORDS_DROPPED, records=self.records.dropped)
            self.records.dropped = 0

    def receive(self, row: Any, host: str) -> None:
        """Apply a message; raise `MessageError` if it is not valid."""
        if row[0] == RECORDS_FORMAT:
            now = self._clock()
            for kept in read_kept(row):
                record = StreamRecord(kept.key, kept.origin, now + kept.life_s)
                self.records.keep(record)
        elif row[0] == LOOKUP_FORMAT:
            self._receive_lookup(read_lookup(row), host)
        else:
            self.lookups.note(read_finding(row))

    async def run(self, send: Send) -> None:
        """Send records in batches until cancelled."""
        self._send = send
        while True:
            await self._due.wait()
            await anyio.sleep(FLUSH_INTERVAL_S)
            self._flush()

    def _receive_lookup(self, lookup: StreamLookup, host: str) -> None:
        if not lookup.confirms:
            self._answer(lookup, host, is_confirmed=False)
        elif len(self._to_confirm) < MAX_LOOKUPS:
            self._to_confirm.append((lookup, host))
            self._confirmation_due.set()

    async def confirm_for_others(self, confirm: Confirm) -> None:
        """Answer lookups that ask for a complete list, until cancelled."""
        while True:
            await self._confirmation_due.wait()
            self._confirmation_due = anyio.Event()
            lookups, self._to_confirm = self._to_confirm, []
            is_confirmed = await confirm(self._clock(), LOOKUP_TIMEOUT_S)
            for lookup, host in lookups:
                with continue_on_error("answer to a lookup"):
                    self._answer(lookup, host, is_confirmed=is_confirmed)

    def _answer(self, lookup: StreamLookup, host: str, *, is_confirmed: bool) -> None:
        finding = StreamFinding(
            self._me,
            lookup.number,
            lookup.key,
            self.records_origin(lookup.key),
            self.view(lookup.services, is_confirmed=is_confirmed),
            self._met_to_tell(),
        )
        self._send(pack_finding(finding), host)

    def _met_to_tell(self) -> tuple[RouterName, ...] | None:
        met = self._table.met()
        return None if met is None else tuple(met)

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
