"""Talk with the other routers: reports over UDP, the store's copy over TCP."""

from __future__ import annotations

import logging
import random
from collections.abc import Callable
from typing import Any

import anyio
import msgpack
from anyio.abc import SocketStream, UDPSocket

from fulmarroad.events import Event, emit
from fulmarroad.exceptions import MessageError, TransportError
from fulmarroad.ownership import watchers
from fulmarroad.types import DataCentreName, RouterName
from fulmarroad_serving._beliefs import Beliefs
from fulmarroad_serving._dispatch import Dispatcher
from fulmarroad_serving._replica import ReplicaDelta, ReplicaItem
from fulmarroad_serving._reports import PeerBook, PeerReport, pack_report, unpack_report

logger = logging.getLogger("fulmarroad.serving")

REPORT_S = 0.15
"""Time between two reports: an engine reads some 13,000 prompt tokens in it, so peers'
loads are off by less than a large prompt."""

MOST_RECEIVERS = 16
"""Peers that get each report; in a larger fleet they take turns at random, so that a
router's packets do not grow with the fleet."""

KNOWN_EVERY = 6
"""Reports between two that name other routers: about once a second."""

MOST_KNOWN = 12
"""Routers named in one report, picked at random."""

MOST_WORKSPACES = 40
"""Workspaces in one report, those that ask for most first: shares turn on those."""

MOST_PARTS = 40
"""Parts in one report, about 0.6 KB: more than a router sends between two reports."""

PULL_TIMEOUT_S = 0.6
MOST_PULL_BYTES = 8 * 1024 * 1024
FRESH_STORE_S = 1.6
"""Age at which a peer's contact with the store counts as lost: a watch that waits for
its whole second, its way and a report."""

EXPIRE_S = 0.25


class Peers:
    """Own the sockets to the other routers and what is known of them."""

    def __init__(
        self,
        me: RouterName,
        centre: DataCentreName,
        host: str,
        port: int,
        incarnation: int,
        dispatcher: Dispatcher,
        beliefs: Beliefs,
        store_ages: Callable[[], tuple[float, float]],
        clock: Callable[[], float],
    ) -> None:
        self._me = me
        self._centre = centre
        self._host = host
        self._port = port
        self._incarnation = incarnation
        self._dispatcher = dispatcher
        self._beliefs = beliefs
        self._store_ages = store_ages
        self._clock = clock
        self._random = random.Random(incarnation)
        self._sequence = 0
        self._news = anyio.Event()
        self._pull = anyio.Event()
        self._silent: set[RouterName] = set()
        self.book = PeerBook(me, host)
        self.seeds: tuple[str, ...] = ()
        self.leaving = False

    def tell_news(self) -> None:
        """Send the next report now: this router's copy of the store has changed."""
        self._news.set()

    def reads_store(self) -> bool:
        """Tell whether this router is the one to read the store."""
        now = self._clock()
        alive = [peer for peer in self.book.alive(now) if not peer.leaving]
        mine = [peer.router for peer in alive if peer.data_centre == self._centre]
        if self._me in watchers([self._me, *mine], 1, "store"):
            return True
        return not any(0 <= peer.store_age_s < FRESH_STORE_S for peer in alive)

    async def run(self) -> None:
        """Talk until cancelled."""
        async with (
            await anyio.create_udp_socket(
                local_host=self._host, local_port=self._port
            ) as udp,
            anyio.create_task_group() as group,
        ):
            group.start_soon(self._send_reports, udp)
            group.start_soon(self._read_reports, udp)
            group.start_soon(self._pull_news)
            group.start_soon(self._expire)

    async def serve(self) -> None:
        """Give this router's copy of the store to peers, until cancelled."""
        listener = await anyio.create_tcp_listener(
            local_host=self._host, local_port=self._port, reuse_port=False
        )
        async with listener:
            await listener.serve(self._give)

    # reports

    async def _send_reports(self, udp: UDPSocket) -> None:
        while True:
            data = pack_report(self._report())
            for host in self._receivers():
                try:
                    await udp.sendto(data, host, self._port)
                except OSError as error:
                    emit(logger, Event.REPORT_UNSENT, peer=host, cause=repr(error))
            self._news = anyio.Event()
            with anyio.move_on_after(REPORT_S):
                await self._news.wait()

    def _receivers(self) -> list[str]:
        hosts = set(self.book.hosts().values())
        if not self._sequence % KNOWN_EVERY:
            # Seeds again and again: a split fleet has to meet, and seeds may be stale.
            hosts |= set(self.seeds)
        hosts.discard(self._host)
        rows = sorted(hosts)
        if len(rows) > MOST_RECEIVERS:
            rows = self._random.sample(rows, MOST_RECEIVERS)
        return rows

    def _report(self) -> PeerReport:
        now = self._clock()
        self._sequence += 1
        known: list[tuple[RouterName, str]] = []
        if not self._sequence % KNOWN_EVERY:
            known = list(self.book.hosts().items())
            if len(known) > MOST_KNOWN:
                known = self._random.sample(known, MOST_KNOWN)
        counts = self._dispatcher.shares.own_counts(now)
        if len(counts) > MOST_WORKSPACES:
            rows = sorted(counts.items(), key=lambda row: -row[1].asked)
            counts = dict(rows[:MOST_WORKSPACES])
        age, calm = self._store_ages()
        return PeerReport(
            self._me,
            self._incarnation,
            self._sequence,
            self._centre,
            self._host,
            self.leaving,
            self._beliefs.replica.news_at,
            min(age, 1e6),
            min(calm, 1e6),
            self._dispatcher.own_load(),
            counts,
            tuple(known),
            self._dispatcher.parts.news(MOST_PARTS),
        )

    async def _read_reports(self, udp: UDPSocket) -> None:
        while True:
            try:
                data, (host, _) = await udp.receive()
            except OSError as error:
                emit(logger, Event.REPORT_REJECTED, cause=repr(error))
                continue
            try:
                report = unpack_report(data)
            except MessageError as error:
                emit(logger, Event.REPORT_REJECTED, peer=host, cause=error.message)
                continue
            self._take(report)

    def _take(self, report: PeerReport) -> None:
        now = self._clock()
        known = {peer.router for peer in self.book.alive(now)}
        if not self.book.take(report, now):
            return
        if report.router not in known:
            self._silent.discard(report.router)
            emit(
                logger,
                Event.PEER_HEARD,
                peer=report.router,
                data_centre=report.data_centre,
                incarnation=report.incarnation,
            )
        self._dispatcher.routers = self.book.remembered(now)
        self._dispatcher.hear_load(report.router, report.loads, now)
        self._dispatcher.shares.hear(report.router, report.counts, now)
        for part, server in report.parts:
            self._dispatcher.parts.note(part, server, now)
        if report.news_at > self._beliefs.replica.at:
            self._pull.set()

    async def _expire(self) -> None:
        while True:
            await anyio.sleep(EXPIRE_S)
            now = self._clock()
            self._beliefs.expire()
            self._dispatcher.routers = self.book.remembered(now)
            for router in self.book.silent(now):
                if router not in self._silent:
                    self._silent.add(router)
                    emit(logger, Event.PEER_SILENT, peer=router)

    # the store's copy

    async def _pull_news(self) -> None:
        while True:
            await self._pull.wait()
            self._pull = anyio.Event()
            peer = self._freshest()
            if peer is None:
                continue
            try:
                with anyio.fail_after(PULL_TIMEOUT_S):
                    delta = await self._ask(peer.host)
            except (OSError, TimeoutError, MessageError, anyio.EndOfStream) as error:
                emit(
                    logger,
                    Event.REPLICA_PULL_FAILED,
                    peer=peer.router,
                    cause=repr(error),
                )
                continue
            self._beliefs.take_delta(delta, peer.store_calm_s, peer.router)

    def _freshest(self) -> PeerReport | None:
        ahead = [
            peer
            for peer in self.book.alive(self._clock())
            if peer.news_at > self._beliefs.replica.at
        ]
        if not ahead:
            return None
        newest = max(peer.news_at for peer in ahead)
        return self._random.choice([row for row in ahead if row.news_at == newest])

    async def _ask(self, host: str) -> ReplicaDelta:
        async with await anyio.connect_tcp(host, self._port) as stream:
            await stream.send(msgpack.packb([self._beliefs.replica.at]))
            await stream.send_eof()
            return _read_delta(await _read_all(stream))

    async def _give(self, stream: SocketStream) -> None:
        async with stream:
            try:
                with anyio.fail_after(PULL_TIMEOUT_S):
                    asked = msgpack.unpackb(await _read_all(stream))
                    delta = self._beliefs.replica.since(int(asked[0]))
                    await stream.send(_delta_bytes(delta))
                    await stream.send_eof()
            except (OSError, TimeoutError, ValueError, TypeError) as error:
                emit(logger, Event.REPLICA_GIVE_FAILED, cause=repr(error))
            except (anyio.BrokenResourceError, TransportError) as error:
                emit(logger, Event.REPLICA_GIVE_FAILED, cause=repr(error))


async def _read_all(stream: SocketStream) -> bytes:
    data = bytearray()
    while True:
        try:
            data += await stream.receive()
        except anyio.EndOfStream:
            return bytes(data)
        except anyio.BrokenResourceError as error:
            raise MessageError("The peer broke off.") from error
        if len(data) > MOST_PULL_BYTES:
            raise MessageError("A peer sent more than a copy can hold.")


def _delta_bytes(delta: ReplicaDelta) -> bytes:
    items = [[item.key, item.revision, item.data] for item in delta.items]
    return bytes(msgpack.packb([delta.at, delta.whole, items]))


def _read_delta(data: bytes) -> ReplicaDelta:
    try:
        row: list[Any] = msgpack.unpackb(data)
        items = (ReplicaItem(str(k), int(r), d) for k, r, d in row[2])
        return ReplicaDelta(int(row[0]), bool(row[1]), tuple(items))
    except (ValueError, TypeError, IndexError, msgpack.UnpackException) as error:
        raise MessageError("A peer gave no copy that can be read.") from error
