"""Exchange reports with the other routers over UDP, and digests in a large fleet."""

from __future__ import annotations

import logging
import random
from collections import Counter
from collections.abc import Callable, Iterable

import anyio

from fulmarroad.datagrams import PacketSocket
from fulmarroad.events import Event, emit
from fulmarroad.exceptions import MessageError
from fulmarroad.ownership import watchers
from fulmarroad.supervision import continue_on_error
from fulmarroad.types import DataCentreName, RouterName
from fulmarroad_serving._digests import is_digest, pack_digest, read_digest
from fulmarroad_serving._dispatch import Dispatcher
from fulmarroad_serving._fleet_view import FleetView
from fulmarroad_serving._granting import Granter
from fulmarroad_serving._owner_client import OwnerClient
from fulmarroad_serving._owner_exchange import OwnerExchange, Send, is_owner_message
from fulmarroad_serving._owners import OwnerTable
from fulmarroad_serving._positions import Position, era_of
from fulmarroad_serving._replica_sync import ReplicaSync
from fulmarroad_serving._reports import (
    PeerBook,
    PeerReport,
    pack_report,
    read_report,
    unpack,
)
from fulmarroad_serving._router_state import RouterState
from fulmarroad_serving._server_ends import ServerEnds, is_server_end
from fulmarroad_serving._timers import sleep_and_read, wait_at_most
from fulmarroad_serving.engines._book import SpeedClass
from fulmarroad_serving.streams import (
    KEEPER_SILENCE_S,
    Confirm,
    Keeper,
    StreamKeepers,
    is_stream_message,
)

logger = logging.getLogger("fulmarroad.serving")

REPORT_S = 0.15
"""Time between two reports.

An engine reads some 13,000 prompt tokens in this time, so the known loads of peers are
off by less than a large prompt.
"""

RELAYED_REPORT_S = 0.075
"""Time between two reports, or two digests of a collector, in a large fleet.

Shorter than `REPORT_S`, as loads pass through up to two collectors there and nearly all
calls at an engine come from other routers.
"""

MIN_REPORT_INTERVAL_S = 0.02
"""Minimum time between two reports, else each large prompt of a burst sends one."""

MAX_REPORTED_WORKSPACES = 40
"""Maximum number of workspaces in a report.

Those that ask for most come first, as the shares depend on them.
"""

STORE_CONTACT_TIMEOUT_S = 1.6
"""Age of a peer's last answer from the store at which its contact counts as lost.

It covers a watch that waits for its whole second, the transfer and one report.
"""

FIRST_REPLICA_WAIT_S = 0.5
"""Time for which a starting router waits for a peer's copy of the store.

It covers three reports each way and the transfer of the copy.
"""

EXPIRY_INTERVAL_S = 0.25


class Peers:
    """Own the sockets to the other routers and the state known of them."""

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
        self._report_due = anyio.Event()
        source = random.Random(incarnation)
        self._view = FleetView(me, centre, host, dispatcher, source)
        self.owners = OwnerTable(dispatcher.registry.usable, me=me)
        self._view.owners = self.owners.all_owners
        self.owner_client = OwnerClient(
            me, incarnation, dispatcher, self.owners, source, clock
        )
        self.granter = Granter(me, incarnation, dispatcher, self.owners)
        self.retries = self.granter.retries
        self._owner_exchange = OwnerExchange(
            self.owner_client,
            self.granter,
            self.book.hosts,
            self._incarnations,
            clock,
        )
        dispatcher.on_progress = self.owner_client.note_progress
        self.streams = StreamKeepers(
            me,
            centre,
            lambda service: dispatcher.registry.versions(service, clock()),
            self.book.hosts,
            clock,
            lambda: beliefs.replica.at,
            self._in_contact,
            lambda: set(self.seeds) - {host},
        )
        beliefs.on_items = self._note_copy
        self.confirm_list: Confirm = _cannot_confirm
        """Confirm this router's list of servers by the store."""
        registry = dispatcher.registry
        self._server_ends = ServerEnds(me, registry, self.book.hosts, clock)
        self._replica_sync = ReplicaSync(host, port, beliefs, self.book, source, clock)
        self._started_at = float("-inf")
        self.seeds: tuple[str, ...] = ()
        self.leaving = False

    @property
    def book(self) -> PeerBook:
        """Return the newest known state of the other routers."""
        return self._view.book

    @property
    def _report_s(self) -> float:
        """Return the time between two reports.

        The load of a router whose calls are placed and counted by owners is no news.
        """
        owners = self.owners.all_owners()
        if not self._view.uses_collectors:
            return REPORT_S
        if not owners or self._me in owners or self._view.is_collector(self._clock()):
            return RELAYED_REPORT_S
        return REPORT_S

    def trigger_report(self) -> None:
        """Send the next report now, as this router's copy of the store has changed."""
        self._report_due.set()

    def trigger_load_report(self) -> None:
        """Send the next report now, as this router has sent a large prompt.

        Do nothing in a large fleet, where the report would wait at the collector for
        its next digest.
        """
        if not self._view.uses_collectors:
            self._report_due.set()

    def reads_store(self) -> bool:
        """Return whether this router should read the store itself."""
        now = self._clock()
        if self._awaits_peer_copy(now):
            return False
        alive = [peer for peer in self.book.alive(now) if not peer.leaving]
        centre_routers = [
            peer.router for peer in alive if peer.data_centre == self._centre
        ]
        if self._me in watchers([self._me, *centre_routers], 1, "store"):
            return True
        return not any(
            0 <= peer.store_age_s < STORE_CONTACT_TIMEOUT_S for peer in alive
        )

    def _awaits_peer_copy(self, now: float) -> bool:
        """Return whether this router, without a copy yet, waits for that of a peer.

        Otherwise hundreds of routers that start at once would each list the whole
        store. Only seeds list it at once; the others pull their copies.
        """
        if (
            self._router_state.replica.known
            or not self.seeds
            or self._host in self.seeds
        ):
            return False
        return now - self._started_at < FIRST_REPLICA_WAIT_S

    async def run(self) -> None:
        """Exchange reports and copies until cancelled."""
        self._started_at = self._clock()
        with PacketSocket(
            self._host, self._port, self._on_packet, _log_receive_error
        ) as packets:
            async with anyio.create_task_group() as group:
                group.start_soon(self._send_reports, packets)
                group.start_soon(self._owner_exchange.run, self._sender(packets))
                group.start_soon(self.streams.run, self._sender(packets))
                group.start_soon(self.streams.confirm_for_others, self._confirm_list)
                group.start_soon(self._server_ends.run, self._sender(packets))
                group.start_soon(self._replica_sync.pull_changes)
                group.start_soon(self._expire_periodically)

    async def serve(self) -> None:
        """Serve this router's copy of the store to peers until cancelled."""
        await self._replica_sync.serve()

    async def _send_reports(self, packets: PacketSocket) -> None:
        while True:
            self._report_due = anyio.Event()
            now = self._clock()
            with continue_on_error("report"):
                self._send_report(packets, now)
            with continue_on_error("digests"):
                self._send_digests(packets, now)
            await anyio.sleep(MIN_REPORT_INTERVAL_S)
            pause_s = self._report_s - MIN_REPORT_INTERVAL_S
            await wait_at_most(self._report_due, pause_s)

    def _send_report(self, packets: PacketSocket, now: float) -> None:
        self._sequence += 1
        report = self._view.complete_report(self._report(now), now)
        hosts = self._view.receivers(self.seeds, self._sequence, now)
        self._send(packets, pack_report(report), hosts)

    def _send_digests(self, packets: PacketSocket, now: float) -> None:
        for digest, receivers in self._view.digests(now):
            self._send(packets, pack_digest(digest), receivers)

    def _sender(self, packets: PacketSocket) -> Send:
        return lambda data, host: self._send(packets, data, (host,))

    def _send(self, packets: PacketSocket, data: bytes, hosts: Iterable[str]) -> None:
        for host in hosts:
            try:
                packets.send(data, host, self._port)
            except (OSError, ValueError, TypeError, OverflowError) as error:
                # The next report replaces the one that was not sent.
                emit(logger, Event.REPORT_UNSENT, peer=host, cause=repr(error))

    def _report(self, now: float) -> PeerReport:
        counts = self._dispatcher.shares.own_counts(now)
        if len(counts) > MAX_REPORTED_WORKSPACES:
            rows = sorted(counts.items(), key=lambda row: -row[1].asked)
            counts = dict(rows[:MAX_REPORTED_WORKSPACES])
        age, failure_age = self._store_ages()
        return PeerReport(
            self._me,
            self._incarnation,
            self._sequence,
            self._centre,
            self._host,
            self.leaving,
            self._router_state.replica.news_at,
            min(age, 1e6),
            min(failure_age, 1e6),
            self._dispatcher.own_load(),
            counts,
            owns_servers=self._may_own_servers,
            speed_classes=self._speed_classes(),
            room=self._own_room(now),
        )

    def _speed_classes(self) -> tuple[SpeedClass, ...]:
        if not self._may_own_servers:
            return ()
        return tuple(
            row
            for service in self._dispatcher.settings.services_with_speeds()
            for row in self._dispatcher.speeds.classes(self.owners.owned(service).rows)
        )

    def _own_room(self, now: float) -> int:
        """Return the prompt tokens that this router's engines can begin soon.

        Of several services it is the least room, so that it is not too much for any.
        """
        rooms = [
            self._dispatcher.room(service, rows, now)
            for service in self._dispatcher.settings.spilling_services()
            if (rows := self.owners.owned(service).rows)
        ]
        room = min(rooms, default=0)
        self._dispatcher.rooms.note(self._me, room, now)
        return room

    def _on_packet(self, data: bytes, host: str) -> None:
        with continue_on_error("packet", peer=host):
            try:
                self._receive(data, host)
            except MessageError as error:
                emit(logger, Event.REPORT_REJECTED, peer=host, cause=error.message)

    def _receive(self, data: bytes, host: str) -> None:
        row = unpack(data)
        if is_owner_message(row):
            self._owner_exchange.receive(row, host)
            return
        if is_stream_message(row):
            self.streams.receive(row, host)
            return
        if is_server_end(row):
            self._server_ends.receive(row, host)
            return
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
            # This router's shares of fleet-wide bounds depend on the size of the fleet.
            self._update_routers(now)
        if newest > self._router_state.replica.at:
            self._replica_sync.request_pull()

    def _update_routers(self, now: float) -> None:
        """Update the dispatcher's list of known routers if it has changed.

        Values derived from the list stay cached for as long as it is the same object,
        so an equal list is not assigned again.
        """
        self.owners.set_routers(self._possible_owners(now), self._known_by_centre())
        self.streams.set_routers(self._possible_keepers(now), now)
        routers = self.book.known_routers(now)
        if routers != self._dispatcher.routers:
            self._dispatcher.routers = routers

    @property
    def _may_own_servers(self) -> bool:
        return self._router_state.index is not None and not self.leaving

    def _possible_owners(self, now: float) -> dict[RouterName, DataCentreName]:
        """Return the routers that may own servers, with their data centres."""
        routers = {
            peer.router: peer.data_centre
            for peer in self.book.alive(now)
            if peer.owns_servers and not peer.leaving
        }
        if self._may_own_servers:
            routers[self._me] = self._centre
        return routers

    def _known_by_centre(self) -> Counter[DataCentreName]:
        """Count the routers of each data centre, with those that are silent."""
        return Counter([self._centre, *self.book.data_centres()])

    def _possible_keepers(self, now: float) -> list[Keeper]:
        """Return the routers that may keep records of streams."""
        lately = self.book.alive(now, KEEPER_SILENCE_S)
        heard = {peer.router for peer in lately}
        return [
            Keeper(
                peer.router, peer.data_centre, peer.incarnation, peer.router in heard
            )
            for peer in self.book.alive(now)
            if not peer.leaving
        ]

    def _note_copy(self, at: Position, hides_changes: bool) -> None:
        now = self._clock()
        self.streams.watch.note_copy(at, now, hides_changes=hides_changes)

    async def _confirm_list(self, since: float, timeout_s: float) -> bool:
        return await self.confirm_list(since, timeout_s)

    def _in_contact(self) -> list[RouterName]:
        """Return the peers that the store answered lately, the latest first."""
        ages = {
            peer.router: peer.store_age_s + peer.age_s
            for peer in self.book.members(self._clock())
            if peer.store_age_s >= 0 and not peer.leaving
        }
        return sorted(ages, key=lambda router: ages[router])

    def store_failure_age_s(self) -> float:
        """Return the seconds since the store last failed for any router."""
        members = self.book.members(self._clock())
        ages = (peer.store_failure_age_s + peer.age_s for peer in members)
        return min(self._store_ages()[1], *ages, float("inf"))

    def list_age_s(self) -> float:
        """Return the age of this router's list of servers, in seconds.

        A peer that is in contact with the store and knows nothing newer confirms it.
        """
        now, at = self._clock(), self._router_state.replica.at
        ages = [self._store_ages()[0]]
        for peer in self.book.members(now):
            if peer.store_age_s >= 0 and peer.news_at <= at:
                ages.append(peer.store_age_s + peer.age_s)
        return min(ages)

    def _incarnations(self) -> dict[RouterName, int]:
        alive = self.book.alive(self._clock())
        return {peer.router: peer.incarnation for peer in alive}

    async def _expire_periodically(self) -> None:
        alive: set[RouterName] = set()
        while True:
            stood_still = await sleep_and_read(EXPIRY_INTERVAL_S)
            now = self._clock()
            if stood_still:
                # An answer of the store that waited in its socket seems to be new.
                self._dispatcher.registry.note_gap(now)
            with continue_on_error("lapsed servers"):
                self._router_state.expire(self.list_age_s())
            with continue_on_error("known routers"):
                self._update_routers(now)
            with continue_on_error("lapsed streams"):
                self._dispatcher.registry.note_current(now - self.list_age_s())
                self.streams.expire()
                if self.book.has_silent(now):
                    self._dispatcher.registry.keep_former_versions(now)
            with continue_on_error("silent peers"):
                alive = self._log_changes(alive, now)

    def _log_changes(self, before: set[RouterName], now: float) -> set[RouterName]:
        """Log the peers that became alive or silent and return those alive now."""
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


async def _cannot_confirm(since: float, timeout_s: float) -> bool:
    return False


def _log_receive_error(error: OSError) -> None:
    emit(logger, Event.REPORT_REJECTED, cause=repr(error))
