"""Encode the reports that routers exchange over UDP, and keep the newest of each."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Any

import msgpack
from attrs import define, field, frozen

from fulmarroad.exceptions import MessageError
from fulmarroad.types import DataCentreName, RouterName, ServerName, WorkspaceName
from fulmarroad_serving._load import PeerLoad
from fulmarroad_serving._positions import Position, era_of, position, revision_of
from fulmarroad_serving._routing import PartId
from fulmarroad_serving._shares import WorkspaceCount
from fulmarroad_serving._suspect_rows import (
    SuspectRow,
    pack_suspect_callers,
    pack_suspects,
    read_suspects,
)
from fulmarroad_serving.decoding import (
    DECODE_ERRORS,
    read_float,
    read_id,
    read_int,
    saturated,
)
from fulmarroad_serving.engines._book import SpeedClass, read_speed_classes

ServerRun = tuple[ServerName, int]
"""A server and the Unix time of its start in milliseconds."""

FORMAT = 1
"""First field of each report; reports of another format are dropped."""

PEER_TIMEOUT_S = 2.0
"""Time without a report after which a peer counts as lost: ten missed reports."""

RESTART_SILENCE_S = 1.0
"""Time without a report after which an incarnation is accepted that seems older.

That is six missed reports, and no packet is delayed in the network for that long.
"""

PEER_RETENTION_S = 120.0
"""Time without a report after which a peer no longer counts towards the fleet's size.

A replaced VM is back long before that. A router whose share of a fleet-wide bound grew
too soon would break the bound.
"""


@frozen
class Member:
    """Hold a router's address and the age of its copy of the store, without loads."""

    router: RouterName
    incarnation: int  # boot time in ms since 1970
    sequence: int  # of the report from which this was built
    data_centre: DataCentreName
    host: str
    leaving: bool
    news_at: Position
    store_age_s: float
    store_failure_age_s: float
    age_s: float  # of that report when this was built
    owns_servers: bool = False  # may place the calls of other routers


@frozen
class PeerReport:
    """Hold what one router reports about itself."""

    router: RouterName
    incarnation: int  # boot time in ms since 1970
    sequence: int
    data_centre: DataCentreName
    host: str
    leaving: bool
    news_at: Position  # store position of the last change of its copy
    store_age_s: float  # since its last answer from the store; negative: none yet
    store_failure_age_s: float  # since its last failed access to the store
    loads: Mapping[ServerName, PeerLoad] = field(factory=dict)
    counts: Mapping[WorkspaceName, WorkspaceCount] = field(factory=dict)
    known: tuple[Member, ...] = ()  # other routers
    parts: tuple[tuple[PartId, ServerName], ...] = ()  # sent since the last report
    suspects: tuple[SuspectRow, ...] = ()  # requests that may have crashed servers
    owns_servers: bool = False  # may place the calls of other routers
    leaving_servers: tuple[ServerRun, ...] = ()  # announced it, no entry says so
    speed_classes: tuple[SpeedClass, ...] = ()  # of owned servers
    room: int = 0  # prompt tokens that engines of this owner can begin soon


def pack_report(report: PeerReport) -> bytes:
    """Encode a report as a packet."""
    row = [
        FORMAT,
        report.router,
        report.incarnation,
        report.sequence,
        report.data_centre,
        report.host,
        report.leaving,
        revision_of(report.news_at),
        round(report.store_age_s, 2),
        round(report.store_failure_age_s, 2),
        pack_loads(report.loads),
        pack_counts(report.counts),
        [pack_member(row) for row in report.known],
        [list(pair) for pair in report.parts],
        pack_suspects(report.suspects),
        era_of(report.news_at),
        report.owns_servers,
        pack_server_runs(report.leaving_servers),
        pack_suspect_callers(report.suspects),
        [list(row) for row in report.speed_classes],
        report.room,
    ]
    return bytes(msgpack.packb(row))


def pack_server_runs(runs: Iterable[ServerRun]) -> list[Any]:
    """Encode runs of servers as rows."""
    return [list(run) for run in runs]


def read_server_runs(rows: list[Any]) -> tuple[ServerRun, ...]:
    """Decode runs of servers from rows.

    Raises `ValueError` or `TypeError` for rows that are not valid.
    """
    return tuple((str(server), read_int(started_ms)) for server, started_ms in rows)


def pack_loads(loads: Mapping[ServerName, PeerLoad]) -> list[Any]:
    """Encode loads as rows."""
    return [
        [name, saturated(load.running), saturated(load.waiting_tokens)]
        for name, load in loads.items()
    ]


def pack_counts(counts: Mapping[WorkspaceName, WorkspaceCount]) -> list[Any]:
    """Encode the counts of workspaces as rows."""
    return [
        [name, saturated(row.asked), saturated(row.got)] for name, row in counts.items()
    ]


def read_loads(rows: list[Any]) -> dict[ServerName, PeerLoad]:
    """Decode loads from rows.

    Raises `ValueError` or `TypeError` for rows that are not valid.
    """
    return {str(n): PeerLoad(read_int(r), read_int(w)) for n, r, w in rows}


def read_counts(rows: list[Any]) -> dict[WorkspaceName, WorkspaceCount]:
    """Decode the counts of workspaces from rows.

    Raises `ValueError` or `TypeError` for rows that are not valid.
    """
    return {str(n): WorkspaceCount(read_float(a), read_float(g)) for n, a, g in rows}


def member_of(report: PeerReport, age_s: float) -> Member:
    """Build a member from a report of `age_s` seconds ago."""
    return Member(
        report.router,
        report.incarnation,
        report.sequence,
        report.data_centre,
        report.host,
        report.leaving,
        report.news_at,
        report.store_age_s,
        report.store_failure_age_s,
        age_s,
        report.owns_servers,
    )


def report_of(member: Member) -> PeerReport:
    """Build a report without loads from a member."""
    return PeerReport(
        member.router,
        member.incarnation,
        member.sequence,
        member.data_centre,
        member.host,
        member.leaving,
        member.news_at,
        member.store_age_s,
        member.store_failure_age_s,
        owns_servers=member.owns_servers,
    )


def pack_member(member: Member) -> list[Any]:
    """Encode a member as a row."""
    return [
        member.router,
        member.incarnation,
        member.sequence,
        member.data_centre,
        member.host,
        member.leaving,
        revision_of(member.news_at),
        round(member.store_age_s, 2),
        round(member.store_failure_age_s, 2),
        round(member.age_s, 2),
        era_of(member.news_at),
        member.owns_servers,
    ]


def _read_position(revision: Any, row: list[Any], place: int, era: int) -> Position:
    """Decode a position; the previous release sends no era, so `era` replaces it."""
    return position(
        read_int(row[place]) if len(row) > place else era, read_int(revision)
    )


def read_member(row: list[Any], era: int = 0) -> Member:
    """Decode a member from a row.

    `era` is the store's era known to this router, used for a row without one.
    Raises `ValueError`, `TypeError` or `IndexError` for a row that is not valid.
    """
    return Member(
        router=str(row[0]),
        incarnation=read_int(row[1]),
        sequence=read_int(row[2]),
        data_centre=str(row[3]),
        host=str(row[4]),
        leaving=bool(row[5]),
        news_at=_read_position(row[6], row, 10, era),
        store_age_s=read_float(row[7]),
        store_failure_age_s=read_float(row[8]),
        age_s=read_float(row[9]),
        # Routers of the previous release neither own servers nor say so.
        owns_servers=len(row) > 11 and bool(row[11]),
    )


def unpack(data: bytes) -> object:
    """Decode a packet from MessagePack; raise `MessageError` if it is not valid."""
    try:
        return msgpack.unpackb(data)
    except DECODE_ERRORS as error:
        raise MessageError("The packet is not valid MessagePack.") from error


def unpack_report(data: bytes) -> PeerReport:
    """Decode a report from a packet; raise `MessageError` if it is not valid."""
    return read_report(unpack(data))


def read_report(row: Any, era: int = 0) -> PeerReport:
    """Decode a report from an unpacked packet; raise `MessageError` if it is not valid.

    `era` is the store's era known to this router, used for a packet without one.
    """
    if not isinstance(row, list) or not row or row[0] != FORMAT:
        raise MessageError("The packet is not a report in the supported format.")
    try:
        return PeerReport(
            router=str(row[1]),
            incarnation=read_int(row[2]),
            sequence=read_int(row[3]),
            data_centre=str(row[4]),
            host=str(row[5]),
            leaving=bool(row[6]),
            news_at=_read_position(row[7], row, 15, era),
            store_age_s=read_float(row[8]),
            store_failure_age_s=read_float(row[9]),
            loads=read_loads(row[10]),
            counts=read_counts(row[11]),
            known=tuple(read_member(member, era) for member in row[12]),
            parts=tuple((read_id(part), str(server)) for part, server in row[13]),
            # Routers of the previous release send no suspects.
            suspects=(
                read_suspects(row[14], row[18] if len(row) > 18 else [])
                if len(row) > 14
                else ()
            ),
            owns_servers=len(row) > 16 and bool(row[16]),
            # Routers of earlier releases send shorter rows.
            leaving_servers=read_server_runs(row[17]) if len(row) > 17 else (),
            speed_classes=read_speed_classes(row[19]) if len(row) > 19 else (),
            room=read_int(row[20]) if len(row) > 20 else 0,
        )
    except DECODE_ERRORS as error:
        raise MessageError(
            "The report has a field that is missing or not valid."
        ) from error


@define
class Peer:
    """Hold the newest state of a peer and the last report that it sent here itself."""

    report: PeerReport
    updated_at: float
    own_report: PeerReport | None = None
    own_report_at: float = float("-inf")


class PeerBook:
    """Keep the newest state of each peer, from its reports or from those of others."""

    def __init__(self, me: RouterName, host: str) -> None:
        self._me = me
        self._host = host
        self._peers: dict[RouterName, Peer] = {}
        self._hosts: dict[RouterName, str] = {}

    @property
    def size(self) -> int:
        """Return the number of known peers."""
        return len(self._hosts)

    def knows(self, router: RouterName) -> bool:
        """Return whether a peer is known."""
        return router in self._hosts

    def receive_report(self, report: PeerReport, now: float) -> bool:
        """Record a peer's own report and return whether it is newer than the last."""
        if report.router == self._me:
            return False
        peer = self._peers.get(report.router)
        if (
            peer is not None
            and peer.own_report is not None
            and not _is_newer(report, peer.own_report)
        ):
            same_start = report.incarnation == peer.own_report.incarnation
            if same_start or now - peer.updated_at < RESTART_SILENCE_S:
                return False
            # The clock of the peer's VM was set back before the peer restarted, so the
            # new incarnation looks older than the previous one, which sends no more.
            peer = None
        if peer is None:
            peer = self._peers[report.router] = Peer(report, now)
        peer.own_report, peer.own_report_at = report, now
        if report is peer.report or not _is_newer(peer.report, report):
            peer.report, peer.updated_at = report, now
        self._hosts[report.router] = report.host
        for member in report.known:
            self.merge_member(member, now)
        return True

    def merge_member(self, member: Member, now: float) -> None:
        """Record the state of a peer as another router reported it."""
        if member.router == self._me:
            return
        report, updated_at = report_of(member), now - member.age_s
        peer = self._peers.get(member.router)
        if peer is None:
            self._peers[member.router] = Peer(report, updated_at)
        elif _is_newer(report, peer.report):
            peer.report, peer.updated_at = report, updated_at
        else:
            return
        self._hosts[member.router] = member.host

    def members(self, now: float) -> list[Member]:
        """Return every peer that is alive, with the age of its newest report."""
        return [
            member_of(peer.report, max(0.0, now - peer.updated_at))
            for peer in self._peers.values()
            if now - peer.updated_at < PEER_TIMEOUT_S
        ]

    def own_reports(
        self, now: float, max_age_s: float
    ) -> list[tuple[PeerReport, float]]:
        """Return peers' own reports of less than `max_age_s`, with their ages."""
        return [
            (peer.own_report, now - peer.own_report_at)
            for peer in self._peers.values()
            if peer.own_report is not None and now - peer.own_report_at < max_age_s
        ]

    def alive(self, now: float, max_age_s: float = PEER_TIMEOUT_S) -> list[PeerReport]:
        """Return the newest report of each peer, where less than `max_age_s` old."""
        return [
            peer.report
            for peer in self._peers.values()
            if now - peer.updated_at < max_age_s
        ]

    def known_routers(self, now: float) -> list[RouterName]:
        """Drop peers silent for `PEER_RETENTION_S` and return all routers, sorted."""
        for name, peer in list(self._peers.items()):
            if now - peer.updated_at >= PEER_RETENTION_S:
                del self._peers[name]
                self._hosts.pop(name, None)
        return sorted({self._me, *self._hosts})

    def has_silent(self, now: float) -> bool:
        """Return whether a known peer is silent that didn't say that it leaves."""
        return any(
            now - peer.updated_at >= PEER_TIMEOUT_S and not peer.report.leaving
            for peer in self._peers.values()
        )

    def data_centres(self) -> list[DataCentreName]:
        """Return the data centre of every known peer."""
        return [peer.report.data_centre for peer in self._peers.values()]

    def hosts(self) -> dict[RouterName, str]:
        """Return the address of every known peer."""
        return dict(self._hosts)


def _is_newer(report: PeerReport, other: PeerReport) -> bool:
    mine = (report.incarnation, report.sequence)
    return mine > (other.incarnation, other.sequence)
