"""Talk with the other routers over UDP: reports, and digests in a large fleet."""

from __future__ import annotations

import logging
import random
from collections.abc import Callable, Iterable

import anyio

from fulmarroad.datagrams import PacketSocket
from fulmarroad.events import Event, emit
from fulmarroad.exceptions import MessageError
from fulmarroad.ownership import watchers
from fulmarroad.types import DataCentreName, RouterName
from fulmarroad_serving._digests import is_digest, pack_digest, read_digest
from fulmarroad_serving._dispatch import Dispatcher
from fulmarroad_serving._fleet_view import FleetView
from fulmarroad_serving._positions import era_of
from fulmarroad_serving._replica_sync import ReplicaSync
from fulmarroad_serving._reports import (
    PeerBook,
    PeerReport,
    pack_report,
    read_report,
    unpack,
)
from fulmarroad_serving._router_state import RouterState

logger = logging.getLogger("fulmarroad.serving")

REPORT_S = 0.15
"""Time between two reports: an engine reads some 13,000 prompt tokens in it, so peers'
loads are off by less than a large prompt."""

RELAYED_REPORT_S = 0.075
"""Time between two reports, and two digests of a collector, in a large fleet. News go
there by up to two collectors, and nearly all calls at an engine are of others."""

LEAST_PAUSE_S = 0.02
"""Least time between two reports: in a burst every large prompt would send one."""

MOST_WORKSPACES = 40
"""Workspaces in one report, those that ask for most first: shares turn on those."""

FRESH_STORE_S = 1.6
"""Age at which a peer's contact with the store counts as lost: a watch that waits for
its whole second, its way and a report."""

FIRST_REPLICA_WAIT_S = 0.5
"""Time for which a router that has just started waits for a peer's copy of the store:
three reports there and back, and the way of the copy."""

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
        beliefs: RouterState,
        store_ages: Callable[[], tuple[float, float]],
        clock: Callable[[], float],
    ) -> None:
        self._me = me
        self._centre = centre
        self._host = host
        self._port = port
        self._incarnation = incarnation
        self._dispatcher = dispatcher
        self._router_state = beliefs
        self._store_ages = store_ages
        self._clock = clock
        self._sequence = 0
        self._news = anyio.Event()
        source = random.Random(incarnation)
        self._view = FleetView(me, centre, host, dispatcher, source)
        self._replica_sync = ReplicaSync(host, port, beliefs, self.book, source, clock)
        self._begun_at = float("-inf")
        self.seeds: tuple[str, ...] = ()
        self.leaving = False

    @property
    def book(self) -> PeerBook:
        """Return what is known of the other routers."""
        return self._view.book

    @property
    def _report_s(self) -> float:
        """Return the time between two reports."""
        return RELAYED_REPORT_S if self._view.relayed else REPORT_S

    def trigger_report(self) -> None:
        """Send the next report now: this router's copy of the store has changed."""
        self._news.set()

    def trigger_load_report(self) -> None:
        """Send the next report now: this router has sent a large prompt.

        Where reports are summed up on the way, it would wait for the sum in any case.
        """
        if not self._view.relayed:
            self._news.set()

    def reads_store(self) -> bool:
        """Tell whether this router is the one to read the store."""
        now = self._clock()
        if self._expects_copy(now):
            return False
        alive = [peer for peer in self.book.alive(now) if not peer.leaving]
        mine = [peer.router for peer in alive if peer.data_centre == self._centre]
        if self._me in watchers([self._me, *mine], 1, "store"):
            return True
        return not any(0 <= peer.store_age_s < FRESH_STORE_S for peer in alive)

    def _expects_copy(self, now: float) -> bool:
        """Tell whether a peer should have a copy for this router, which has none yet.

        Hundreds of routers that start at once would each list the whole store; those
        that the others turn to read it, and the others ask them.
        """
        if (
            self._router_state.replica.known
            or not self.seeds
            or self._host in self.seeds
        ):
            return False
        return now - self._begun_at < FIRST_REPLICA_WAIT_S

    async def run(self) -> None:
        """Talk until cancelled."""
        self._begun_at = self._clock()
        with PacketSocket(
            self._host, self._port, self._on_packet, _tell_unread
        ) as packets:
            async with anyio.create_task_group() as group:
                group.start_soon(self._send_reports, packets)
                group.start_soon(self._replica_sync.pull_changes)
                group.start_soon(self._expire)

    async def serve(self) -> None:
        """Give this router's copy of the store to peers, until cancelled."""
        await self._replica_sync.serve()

    async def _send_reports(self, packets: PacketSocket) -> None:
        while True:
            self._news = anyio.Event()
            now = self._clock()
            self._sequence += 1
            report = self._view.complete_report(self._report(now), now)
            hosts = self._view.receivers(self.seeds, self._sequence, now)
            self._send(packets, pack_report(report), hosts)
            for digest, followers in self._view.digests(now):
                self._send(packets, pack_digest(digest), followers)
            await anyio.sleep(LEAST_PAUSE_S)
            with anyio.move_on_after(self._report_s - LEAST_PAUSE_S):
                await self._news.wait()

    def _send(self, packets: PacketSocket, data: bytes, hosts: Iterable[str]) -> None:
        for host in hosts:
            try:
                packets.send(data, host, self._port)
            except OSError as error:
                # Peers hear the next report in its place.
                emit(logger, Event.REPORT_UNSENT, peer=host, cause=repr(error))

    def _report(self, now: float) -> PeerReport:
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
            self._router_state.replica.news_at,
            min(age, 1e6),
            min(calm, 1e6),
            self._dispatcher.own_load(),
            counts,
        )

    def _on_packet(self, data: bytes, host: str) -> None:
        try:
            self._take(data)
        except MessageError as error:
            emit(logger, Event.REPORT_REJECTED, peer=host, cause=error.message)

    def _take(self, data: bytes) -> None:
        row = unpack(data)
        now = self._clock()
        known = self.book.size
        era = era_of(self._router_state.replica.at)
        if is_digest(row):
            digest = read_digest(row, era)
            self._view.receive_digest(digest, now)
            newest = max((member.news_at for member in digest.members), default=0)
        else:
            report = read_report(row, era)
            self._view.receive_report(report, now)
            newest = report.news_at
        if self.book.size != known:
            # Shares of the fleet's bounds must not stay those of a smaller fleet.
            self._remember(now)
        if newest > self._router_state.replica.at:
            self._replica_sync.request_pull()

    def _remember(self, now: float) -> None:
        """Tell the dispatcher which routers may exist, where that has changed.

        What is worked out by them is kept for as long as it is the same object.
        """
        routers = self.book.known_routers(now)
        if routers != self._dispatcher.routers:
            self._dispatcher.routers = routers

    async def _expire(self) -> None:
        heard: set[RouterName] = set()
        while True:
            await anyio.sleep(EXPIRE_S)
            now = self._clock()
            self._router_state.expire()
            self._remember(now)
            heard = self._tell_changes(heard, now)

    def _tell_changes(self, before: set[RouterName], now: float) -> set[RouterName]:
        """Log who came and who fell silent; return who is heard now."""
        alive = {peer.router: peer for peer in self.book.alive(now)}
        for router in sorted(alive.keys() - before):
            emit(
                logger,
                Event.PEER_HEARD,
                peer=router,
                data_centre=alive[router].data_centre,
                incarnation=alive[router].incarnation,
            )
        for router in sorted(before - alive.keys()):
            emit(logger, Event.PEER_SILENT, peer=router)
        return set(alive)


def _tell_unread(error: OSError) -> None:
    emit(logger, Event.REPORT_REJECTED, cause=repr(error))
