"""What routers tell each other, several times a second, over UDP."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Any

import msgpack
from attrs import define, field, frozen

from fulmarroad.exceptions import MessageError
from fulmarroad.types import DataCentreName, RouterName, ServerName, WorkspaceName
from fulmarroad_serving._fingerprints import FINGERPRINT_BYTES, Fingerprint
from fulmarroad_serving._load import PeerLoad
from fulmarroad_serving._positions import Position, era_of, position, revision_of
from fulmarroad_serving._routing import PartId
from fulmarroad_serving._shares import WorkspaceCount
from fulmarroad_serving._suspects import SuspectRow

FORMAT = 1
"""First field of each report; reports of another format are dropped."""

ALIVE_S = 2.0
"""Silence after which a peer's word no longer counts: ten of its reports."""

SILENT_START_S = 1.0
"""Silence after which a router's start is taken though it seems older: six reports
long, and packets do not stay on the way for that time."""

REMEMBERED_S = 120.0
"""Silence after which a peer no longer counts towards the size of the fleet: a VM that
is replaced is back long before, and a share that grew too soon would break a bound."""


@frozen
class Member:
    """Say where a router is and how fresh its copy of the store, without its loads."""

    router: RouterName
    incarnation: int  # boot time in ms since 1970
    sequence: int  # of the report that this was taken from
    data_centre: DataCentreName
    host: str
    leaving: bool
    news_at: Position
    store_age_s: float
    store_failure_age_s: float
    age_s: float  # of that report when this was written


@frozen
class PeerReport:
    """Hold what one router says of itself."""

    router: RouterName
    incarnation: int  # boot time in ms since 1970
    sequence: int
    data_centre: DataCentreName
    host: str
    leaving: bool
    news_at: Position  # the store's at which its copy last changed
    store_age_s: float  # since it heard from the store itself; negative: never
    store_failure_age_s: float  # since the store last failed it
    loads: Mapping[ServerName, PeerLoad] = field(factory=dict)
    counts: Mapping[WorkspaceName, WorkspaceCount] = field(factory=dict)
    known: tuple[Member, ...] = ()  # other routers
    parts: tuple[tuple[PartId, ServerName], ...] = ()  # sent to servers since the last
    suspects: tuple[SuspectRow, ...] = ()  # requests under which servers ended


def pack_report(report: PeerReport) -> bytes:
    """Return a report as bytes."""
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
    ]
    return bytes(msgpack.packb(row))


def pack_loads(loads: Mapping[ServerName, PeerLoad]) -> list[Any]:
    """Return loads as rows."""
    return [[name, load.running, load.waiting_tokens] for name, load in loads.items()]


def pack_counts(counts: Mapping[WorkspaceName, WorkspaceCount]) -> list[Any]:
    """Return workspaces' counts as rows."""
    return [[name, int(row.asked), int(row.got)] for name, row in counts.items()]


def pack_suspects(suspects: Iterable[SuspectRow]) -> list[Any]:
    """Return suspects as rows."""
    return [
        [
            row.fingerprint,
            [[end, _pack_age(age_s)] for end, age_s in row.ends],
            _pack_age(row.success_age_s),
            None if row.trial is None else [row.trial[0], _pack_age(row.trial[1])],
        ]
        for row in suspects
    ]


def read_suspects(rows: list[Any]) -> tuple[SuspectRow, ...]:
    """Return the suspects that rows hold; raise `ValueError` or `TypeError`."""
    return tuple(
        SuspectRow(
            _read_fingerprint(name),
            tuple((int(end), _read_age(age)) for end, age in ends),
            None if good is None else _read_age(good),
            None if trial is None else _read_trial(trial),
        )
        for name, ends, good, trial in rows
    )


def _read_trial(value: Any) -> tuple[int, float]:
    server, age_s = value
    return int(server), _read_age(age_s)


def _read_fingerprint(value: Any) -> Fingerprint:
    if not isinstance(value, bytes) or len(value) != FINGERPRINT_BYTES:
        raise ValueError("This is no fingerprint.")
    return value


def _pack_age(age_s: float | None) -> float | None:
    return None if age_s is None else round(max(0.0, age_s), 2)


def _read_age(value: Any) -> float:
    age_s = float(value)
    if not 0 <= age_s < float("inf"):
        raise ValueError(f"{age_s} is no age.")
    return age_s


def read_loads(rows: list[Any]) -> dict[ServerName, PeerLoad]:
    """Return the loads that rows hold; raise `ValueError` or `TypeError`."""
    return {str(n): PeerLoad(int(r), int(w)) for n, r, w in rows}


def read_counts(rows: list[Any]) -> dict[WorkspaceName, WorkspaceCount]:
    """Return the counts that rows hold; raise `ValueError` or `TypeError`."""
    return {str(n): WorkspaceCount(float(a), float(g)) for n, a, g in rows}


def member_of(report: PeerReport, age_s: float) -> Member:
    """Return where a router is, by its report of some age."""
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
    )


def report_of(member: Member) -> PeerReport:
    """Return a report that says no more than where a router is."""
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
    )


def pack_member(member: Member) -> list[Any]:
    """Return a member as a row."""
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
    ]


def _read_position(revision: Any, row: list[Any], place: int, era: int) -> Position:
    """Return a position; routers of the version before state no era."""
    return position(int(row[place]) if len(row) > place else era, int(revision))


def read_member(row: list[Any], era: int = 0) -> Member:
    """Return the member that a row holds; raise `ValueError` or `TypeError`.

    `era` is the store's as known here, for a row that states none.
    """
    return Member(
        router=str(row[0]),
        incarnation=int(row[1]),
        sequence=int(row[2]),
        data_centre=str(row[3]),
        host=str(row[4]),
        leaving=bool(row[5]),
        news_at=_read_position(row[6], row, 10, era),
        store_age_s=float(row[7]),
        store_failure_age_s=float(row[8]),
        age_s=float(row[9]),
    )


def unpack(data: bytes) -> object:
    """Return what a packet of a router holds, or raise `MessageError`."""
    try:
        return msgpack.unpackb(data)
    except (ValueError, TypeError, msgpack.UnpackException) as error:
        raise MessageError("This is no packet of a router.") from error


def unpack_report(data: bytes) -> PeerReport:
    """Return the report that bytes hold, or raise `MessageError`."""
    return read_report(unpack(data))


def read_report(row: Any, era: int = 0) -> PeerReport:
    """Return the report that an unpacked packet holds, or raise `MessageError`.

    `era` is the store's as known here, for a packet that states none.
    """
    if not isinstance(row, list) or not row or row[0] != FORMAT:
        raise MessageError("This is no report of the format spoken here.")
    try:
        return PeerReport(
            router=str(row[1]),
            incarnation=int(row[2]),
            sequence=int(row[3]),
            data_centre=str(row[4]),
            host=str(row[5]),
            leaving=bool(row[6]),
            news_at=_read_position(row[7], row, 15, era),
            store_age_s=float(row[8]),
            store_failure_age_s=float(row[9]),
            loads=read_loads(row[10]),
            counts=read_counts(row[11]),
            known=tuple(read_member(member, era) for member in row[12]),
            parts=tuple((int(part), str(server)) for part, server in row[13]),
            # Routers of the version before say nothing of suspects.
            suspects=read_suspects(row[14]) if len(row) > 14 else (),
        )
    except (ValueError, TypeError, IndexError, OverflowError) as error:
        raise MessageError("This is no report of a router.") from error


@define
class Peer:
    """Hold the newest that is known of a peer, and its own newest report."""

    report: PeerReport
    heard_at: float
    own: PeerReport | None = None
    own_at: float = float("-inf")


class PeerBook:
    """Know the other routers from their reports, or from what others say of them."""

    def __init__(self, me: RouterName, host: str) -> None:
        self._me = me
        self._host = host
        self._peers: dict[RouterName, Peer] = {}
        self._hosts: dict[RouterName, str] = {}

    @property
    def size(self) -> int:
        """Return how many peers are known."""
        return len(self._hosts)

    def knows(self, router: RouterName) -> bool:
        """Tell whether a peer was ever heard of."""
        return router in self._hosts

    def receive_report(self, report: PeerReport, now: float) -> bool:
        """Take a peer's own report; tell whether it is news."""
        if report.router == self._me:
            return False
        peer = self._peers.get(report.router)
        if peer is not None and peer.own is not None and not _newer(report, peer.own):
            same_start = report.incarnation == peer.own.incarnation
            if same_start or now - peer.heard_at < SILENT_START_S:
                return False
            # Its VM's time of day was set back before it started again: by that time
            # the start looks older than the one before, which has fallen silent.
            peer = None
        if peer is None:
            peer = self._peers[report.router] = Peer(report, now)
        peer.own, peer.own_at = report, now
        if report is peer.report or not _newer(peer.report, report):
            peer.report, peer.heard_at = report, now
        self._hosts[report.router] = report.host
        for member in report.known:
            self.merge_member(member, now)
        return True

    def merge_member(self, member: Member, now: float) -> None:
        """Take what another router says of a peer."""
        if member.router == self._me:
            return
        report, heard_at = report_of(member), now - member.age_s
        peer = self._peers.get(member.router)
        if peer is None:
            self._peers[member.router] = Peer(report, heard_at)
        elif _newer(report, peer.report):
            peer.report, peer.heard_at = report, heard_at
        else:
            return
        self._hosts[member.router] = member.host

    def members(self, now: float) -> list[Member]:
        """Return every peer that was heard lately, with the age of its report."""
        return [
            member_of(peer.report, max(0.0, now - peer.heard_at))
            for peer in self._peers.values()
            if now - peer.heard_at < ALIVE_S
        ]

    def own_reports(self, now: float, fresh_s: float) -> list[tuple[PeerReport, float]]:
        """Return the reports that peers sent here lately, with their age."""
        return [
            (peer.own, now - peer.own_at)
            for peer in self._peers.values()
            if peer.own is not None and now - peer.own_at < fresh_s
        ]

    def alive(self, now: float, within_s: float = ALIVE_S) -> list[PeerReport]:
        """Return the newest reports of peers that were heard lately."""
        return [
            peer.report
            for peer in self._peers.values()
            if now - peer.heard_at < within_s
        ]

    def known_routers(self, now: float) -> list[RouterName]:
        """Return every router that may exist, this one too, sorted."""
        for name, peer in list(self._peers.items()):
            if now - peer.heard_at >= REMEMBERED_S:
                del self._peers[name]
                self._hosts.pop(name, None)
        return sorted({self._me, *self._hosts})

    def hosts(self) -> dict[RouterName, str]:
        """Return the address of every known peer."""
        return dict(self._hosts)


def _newer(report: PeerReport, other: PeerReport) -> bool:
    mine = (report.incarnation, report.sequence)
    return mine > (other.incarnation, other.sequence)
