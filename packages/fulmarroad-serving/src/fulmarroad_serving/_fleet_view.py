"""Choose the receivers of reports and digests, and apply those that arrive.

In a small fleet each router reports to all others. In a large one reports go through
the collectors of each data centre, see `_digests`. Both ways may be in use at once
while routers disagree on the size of the fleet, so a load that is in a digest is not
counted again from the report of its router.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Collection, Iterable

from attrs import evolve

from fulmarroad.types import DataCentreName, RouterName, ServerName
from fulmarroad_serving._collectors import Collectors
from fulmarroad_serving._digests import (
    MAX_REPORT_AGE_S,
    Digest,
    MemberRoom,
    ReportSum,
    member_id,
    merge,
    sum_reports,
)
from fulmarroad_serving._dispatch import Dispatcher
from fulmarroad_serving._load_sums import LoadSums
from fulmarroad_serving._reports import (
    Member,
    PeerBook,
    PeerReport,
    ServerRun,
    member_of,
)
from fulmarroad_serving._routing import PartId
from fulmarroad_serving._suspect_rows import SuspectRow
from fulmarroad_serving.engines._book import SpeedClass

MAX_DIRECT_PEERS = 16
"""Maximum number of peers for direct reports: some 100 packets a second."""

REPORTS_PER_MEMBER_LIST = 6
"""Number of reports of which one lists other routers: once or twice a second."""

MAX_REPORT_MEMBERS = 12
"""Maximum number of routers listed in one report, picked at random."""

DIGESTS_PER_MEMBER_LIST = 10
"""Number of digests of which one lists the known routers: about once a second."""

DIGESTS_PER_FOLLOWER = 2
"""Number of digests of which one goes to a router that owns no servers.

It needs the loads only while no owner answers; half of the digests is a tenth of its
processor time.
"""

MAX_REPORT_PARTS = 40
"""Maximum number of parts in one report, about 0.6 KB.

A router sends fewer to servers between two reports.
"""

MAX_DIGEST_PARTS = 150
"""Maximum number of parts in one digest, about 2.5 KB.

The routers of a data centre send as many to servers between two digests.
"""

MAX_SUSPECTS = 16
"""Maximum number of suspects in one packet, 0.7 to 2 KB.

The suspects of a crash that broke a hundred calls are sent within a second, those with
the most crashes first.
"""

MAX_LEAVING_SERVERS = 64
"""Maximum number of leaving servers in one packet, about 1.5 KB.

A server is listed until its entry says that it leaves, so many are listed only while
the store is down.
"""

MAX_CLASSES_AGE_S = 6.0
"""Age of another data centre's list of speed classes up to which it is passed on: its
collectors send it with each list of members, and some are lost."""


class FleetView:
    """Hold the state of one router in the exchange of reports."""

    def __init__(
        self,
        me: RouterName,
        centre: DataCentreName,
        host: str,
        dispatcher: Dispatcher,
        source: random.Random,
    ) -> None:
        self._me = me
        self._centre = centre
        self._host = host
        self._dispatcher = dispatcher
        self._random = source
        self._last_report: PeerReport | None = None
        self._sums = LoadSums(me, dispatcher)
        self._introductions: dict[str, DataCentreName] = {}
        self._digest_count = 0
        self._remote_classes: dict[
            DataCentreName, tuple[float, tuple[SpeedClass, ...]]
        ] = {}
        """Time and content of each data centre's newest list of speed classes."""
        self.book = PeerBook(me, host)
        self._collectors = Collectors(me, centre, self.book)
        self.owners: Callable[[], Collection[RouterName]] = frozenset
        """Returns the routers that place the calls of others; empty: all decide."""

    @property
    def uses_collectors(self) -> bool:
        """Return whether the fleet is too large for direct reports to all routers."""
        return self.book.size > MAX_DIRECT_PEERS

    def collectors_of(
        self, centre: DataCentreName, now: float
    ) -> tuple[RouterName, ...]:
        """Return the collectors of a data centre."""
        return self._collectors.of(centre, now)

    def is_collector(self, now: float) -> bool:
        """Return whether this router is a collector of its data centre."""
        return self.uses_collectors and self._me in self.collectors_of(
            self._centre, now
        )

    # outgoing packets

    def complete_report(self, report: PeerReport, now: float) -> PeerReport:
        """Add known members, parts and suspects to a report, and record it as sent."""
        known: list[Member] = []
        if self._introductions:
            names = {
                name
                for centre in set(self._introductions.values())
                for name in self.collectors_of(centre, now)
            }
            known = [row for row in self.book.members(now) if row.router in names]
        elif not report.sequence % REPORTS_PER_MEMBER_LIST:
            known = self.book.members(now)
            if len(known) > MAX_REPORT_MEMBERS:
                known = self._random.sample(known, MAX_REPORT_MEMBERS)
        if not self.is_collector(now):  # collectors send them in digests
            report = evolve(
                report,
                parts=self._dispatcher.parts.pop_updates(MAX_REPORT_PARTS),
                suspects=self._dispatcher.suspects.pop_updates(MAX_SUSPECTS, now),
            )
        report = evolve(
            report, known=tuple(known), leaving_servers=self._leaving_servers()
        )
        self._sums.note_own(report)
        self._last_report = report
        return report

    def receivers(self, seeds: Collection[str], sequence: int, now: float) -> list[str]:
        """Return the hosts to which a report is sent."""
        known = self.book.hosts()
        hosts = set(self._introductions)
        self._introductions.clear()
        if self.uses_collectors:
            names = self.collectors_of(self._centre, now)
            hosts |= {known[name] for name in names if name in known}
        else:
            hosts |= set(known.values())
        if not known or not sequence % REPORTS_PER_MEMBER_LIST:
            # Report to the seeds regularly, as some may be stale and a split fleet has
            # to merge again.
            hosts |= set(seeds)
        hosts.discard(self._host)
        return sorted(hosts)

    def digests(self, now: float) -> list[tuple[Digest, list[str]]]:
        """Return the digests that are due, each with the hosts to which it is sent."""
        if self._last_report is None or not self.is_collector(now):
            self._digest_count = 0
            return []
        with_members = not self._digest_count % DIGESTS_PER_MEMBER_LIST
        owners = self.owners()
        to_all = not owners or not self._digest_count % DIGESTS_PER_FOLLOWER
        self._digest_count += 1
        centre_sum = sum_reports([(self._last_report, 0.0), *self._centre_reports(now)])
        remote_sums = [(row.total, now - row.at) for row in self._sums.of_centres(now)]
        fleet = merge([(centre_sum, 0.0), *remote_sums])
        parts: tuple[tuple[PartId, ServerName], ...] = ()
        suspects: tuple[SuspectRow, ...] = ()
        classes = self._centre_speed_classes(now) if with_members else ()
        if to_all:  # each of them is sent once
            parts = self._dispatcher.parts.pop_updates(MAX_DIGEST_PARTS)
            suspects = self._dispatcher.suspects.pop_updates(MAX_SUSPECTS, now)
        leaving = self._leaving_servers()
        rooms, centre_rooms = self._rooms(now)
        me = member_of(self._last_report, 0.0)
        members = self.book.members(now) if with_members else []
        centre_members = [row for row in members if row.data_centre == self._centre]
        return [
            (
                Digest(
                    self._me,
                    self._centre,
                    centre_sum,
                    (me, *centre_members),
                    parts,
                    suspects,
                    leaving,
                    classes,
                    centre_rooms,
                ),
                self._remote_collector_hosts(now),
            ),
            (
                Digest(
                    self._me,
                    "",
                    fleet,
                    (me, *members),
                    parts,
                    suspects,
                    leaving,
                    (*classes, *self._remote_speed_classes(now))
                    if with_members
                    else (),
                    rooms,
                ),
                self._centre_hosts(now, None if to_all else owners),
            ),
        ]

    def _rooms(self, now: float) -> tuple[tuple[MemberRoom, ...], ...]:
        """Return the rooms of all owners, and those of this data centre's."""
        rows = self._dispatcher.rooms.rows(now)
        if not rows:
            return (), ()
        local = {report.router for report, _ in self._centre_reports(now)} | {self._me}
        rooms = [(member_id(row.owner), row.tokens, row.age_s) for row in rows]
        pairs = zip(rows, rooms, strict=True)
        return tuple(rooms), tuple(room for row, room in pairs if row.owner in local)

    def _leaving_servers(self) -> tuple[ServerRun, ...]:
        return self._dispatcher.registry.announced()[-MAX_LEAVING_SERVERS:]

    def _centre_speed_classes(self, now: float) -> tuple[SpeedClass, ...]:
        """Return the classes that the owners of this data centre reported."""
        own = self._last_report.speed_classes if self._last_report is not None else ()
        reports = (report for report, _ in self._centre_reports(now))
        return (*own, *(row for report in reports for row in report.speed_classes))

    def _remote_speed_classes(self, now: float) -> tuple[SpeedClass, ...]:
        """Return the classes that the collectors of other data centres sent lately."""
        received = self._remote_classes.values()
        return tuple(
            row
            for at, classes in received
            if now - at < MAX_CLASSES_AGE_S
            for row in classes
        )

    def _centre_reports(self, now: float) -> list[tuple[PeerReport, float]]:
        return [
            (report, age_s)
            for report, age_s in self.book.own_reports(now, MAX_REPORT_AGE_S)
            if report.data_centre == self._centre
        ]

    def _remote_collector_hosts(self, now: float) -> list[str]:
        centres = {peer.data_centre for peer in self.book.alive(now)}
        hosts = self.book.hosts()
        names: set[RouterName] = set()
        for centre in centres - {self._centre}:
            # The senders of recent digests are its collectors, even if the peer book
            # already counts them as lost.
            names |= self._sums.senders(centre, now)
            names |= set(self.collectors_of(centre, now))
        return sorted(hosts[name] for name in names if name in hosts)

    def _centre_hosts(
        self, now: float, only: Collection[RouterName] | None
    ) -> list[str]:
        """Return the hosts of this data centre, or of some of its routers."""
        return sorted(
            peer.host
            for peer in self.book.alive(now)
            if peer.data_centre == self._centre
            and (only is None or peer.router in only)
        )

    # incoming packets

    def receive_report(self, report: PeerReport, now: float) -> bool:
        """Apply a peer's own report and return whether it is newer than the last."""
        is_new = not self.book.knows(report.router)
        if not self.book.receive_report(report, now):
            return False
        self._collectors.note_packet(report.router, now)
        self._note_parts(report.parts, now)
        self._note_suspects(report.suspects, now)
        self._note_leaving_servers(report.leaving_servers, report.router)
        self._dispatcher.rooms.note(report.router, report.room, now)
        self._dispatcher.speeds.receive_classes(report.speed_classes, now)
        if self.uses_collectors:
            self._introduce_collectors(report, now, is_new=is_new)
        self._sums.apply_report(report, now)
        return True

    def _introduce_collectors(
        self, report: PeerReport, now: float, *, is_new: bool
    ) -> None:
        """Schedule a report with the collectors for a router that does not know them.

        It has just started, knows nobody, or sends reports here as if this router were
        a collector. That it knows nobody is answered as often as it says so: if nobody
        else is a seed in its data centre, one answer that it missed would leave it
        alone for good.
        """
        lists_members = not report.sequence % REPORTS_PER_MEMBER_LIST
        knows_nobody = lists_members and not report.known
        takes_for_collector = (
            report.data_centre == self._centre
            and not lists_members
            and not self.is_collector(now)
        )
        starts = is_new and not self.is_collector(now)
        if starts or knows_nobody or takes_for_collector:
            self._introductions[report.host] = report.data_centre

    def receive_digest(self, digest: Digest, now: float) -> None:
        """Apply a digest of a collector."""
        for member in digest.members:
            self.book.merge_member(member, now)
        self._collectors.note_packet(digest.sender, now)
        self._note_parts(digest.parts, now)
        self._note_suspects(digest.suspects, now)
        self._note_leaving_servers(digest.leaving_servers, digest.sender)
        self._note_rooms(digest.rooms, now)
        self._dispatcher.speeds.receive_classes(digest.speed_classes, now)
        if digest.scope and digest.speed_classes:
            self._remote_classes[digest.scope] = (now, digest.speed_classes)
        if digest.scope == self._centre:
            return
        if digest.scope:
            if self.is_collector(now):
                self._sums.apply_centre(digest, now)
        elif not self.is_collector(now) or self._is_more_complete(digest.total, now):
            self._sums.apply_fleet(digest, now)

    def _is_more_complete(self, total: ReportSum, now: float) -> bool:
        """Return whether a sum has more routers than this collector knows of.

        That is so for a router that has just become a collector.
        """
        known = 1 + len(self._centre_reports(now))
        known += sum(len(row.total.sequences) for row in self._sums.of_centres(now))
        return len(total.sequences) > known

    def _note_parts(self, parts: Iterable[tuple[PartId, str]], now: float) -> None:
        relay = self.is_collector(now)
        for part, server in parts:
            if relay:
                self._dispatcher.parts.send(part, server, now)
            else:
                self._dispatcher.parts.note(part, server, now)

    def _note_suspects(self, rows: Iterable[SuspectRow], now: float) -> None:
        if rows:
            relay = self.is_collector(now)
            self._dispatcher.suspects.merge_rows(rows, now, relay=relay)

    def _note_rooms(self, rooms: Iterable[MemberRoom], now: float) -> None:
        if not rooms:
            return
        names = {member_id(name): name for name in self.book.hosts()}
        for member, tokens, age_s in rooms:
            if member in names:
                self._dispatcher.rooms.note(names[member], tokens, now - age_s)

    def _note_leaving_servers(self, runs: Iterable[ServerRun], source: str) -> None:
        for server, started_ms in runs:
            self._dispatcher.note_leaving(server, started_ms, source)
