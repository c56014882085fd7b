"""What routers tell each other, several times a second, over UDP."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

import msgpack
from attrs import define, field, frozen

from fulmarroad.exceptions import MessageError
from fulmarroad.types import DataCentreName, RouterName, ServerName, WorkspaceName
from fulmarroad_serving._load import PeerLoad
from fulmarroad_serving._routing import PartId
from fulmarroad_serving._shares import WorkspaceCount

FORMAT = 1
"""First field of each report; reports of another format are dropped."""

ALIVE_S = 2.0
"""Silence after which a peer's word no longer counts: ten of its reports."""

REMEMBERED_S = 120.0
"""Silence after which a peer no longer counts towards the size of the fleet: a VM that
is replaced is back long before, and a share that grew too soon would break a bound."""


@frozen
class PeerReport:
    """Hold what one router says of itself."""

    router: RouterName
    incarnation: int  # boot time in ms since 1970
    sequence: int
    data_centre: DataCentreName
    host: str
    leaving: bool
    news_at: int  # the store's revision at which its copy last changed
    store_age_s: float  # since it heard from the store itself; negative: never
    store_calm_s: float  # since the store last failed it
    loads: Mapping[ServerName, PeerLoad] = field(factory=dict)
    counts: Mapping[WorkspaceName, WorkspaceCount] = field(factory=dict)
    known: tuple[tuple[RouterName, str], ...] = ()  # routers and their hosts
    parts: tuple[tuple[PartId, ServerName], ...] = ()  # sent to servers since the last


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
        report.news_at,
        round(report.store_age_s, 2),
        round(report.store_calm_s, 2),
        [
            [name, load.running, load.waiting_tokens]
            for name, load in report.loads.items()
        ],
        [[name, int(row.asked), int(row.got)] for name, row in report.counts.items()],
        [list(pair) for pair in report.known],
        [list(pair) for pair in report.parts],
    ]
    return bytes(msgpack.packb(row))


def unpack_report(data: bytes) -> PeerReport:
    """Return the report that bytes hold, or raise `MessageError`."""
    try:
        row: list[Any] = msgpack.unpackb(data)
        if not isinstance(row, list) or row[0] != FORMAT:
            raise MessageError("This is no report of the format spoken here.")
        return PeerReport(
            router=str(row[1]),
            incarnation=int(row[2]),
            sequence=int(row[3]),
            data_centre=str(row[4]),
            host=str(row[5]),
            leaving=bool(row[6]),
            news_at=int(row[7]),
            store_age_s=float(row[8]),
            store_calm_s=float(row[9]),
            loads={str(n): PeerLoad(int(r), int(w)) for n, r, w in row[10]},
            counts={str(n): WorkspaceCount(float(a), float(g)) for n, a, g in row[11]},
            known=tuple((str(name), str(host)) for name, host in row[12]),
            parts=tuple((int(part), str(server)) for part, server in row[13]),
        )
    except (ValueError, TypeError, IndexError, msgpack.UnpackException) as error:
        raise MessageError("This is no report of a router.") from error


@define
class Peer:
    """Hold the newest report of a peer."""

    report: PeerReport
    heard_at: float


class PeerBook:
    """Know the other routers from their reports."""

    def __init__(self, me: RouterName, host: str) -> None:
        self._me = me
        self._host = host
        self._peers: dict[RouterName, Peer] = {}
        self._hosts: dict[RouterName, str] = {}

    def take(self, report: PeerReport, now: float) -> bool:
        """Take a report in; tell whether it is news."""
        if report.router == self._me:
            return False
        before = self._peers.get(report.router)
        if before is not None:
            old = before.report
            if (report.incarnation, report.sequence) <= (old.incarnation, old.sequence):
                return False
        self._peers[report.router] = Peer(report, now)
        self._hosts[report.router] = report.host
        for name, host in report.known:
            if name != self._me:
                self._hosts.setdefault(name, host)
        return True

    def alive(self, now: float) -> list[PeerReport]:
        """Return the newest reports of peers that were heard lately."""
        return [
            peer.report
            for peer in self._peers.values()
            if now - peer.heard_at < ALIVE_S
        ]

    def silent(self, now: float) -> list[RouterName]:
        """Return the peers that were heard once and not lately."""
        return [
            name for name, peer in self._peers.items() if now - peer.heard_at >= ALIVE_S
        ]

    def remembered(self, now: float) -> list[RouterName]:
        """Return every router that may exist, this one too, sorted."""
        for name, peer in list(self._peers.items()):
            if now - peer.heard_at >= REMEMBERED_S:
                del self._peers[name]
                self._hosts.pop(name, None)
        return sorted({self._me, *self._hosts})

    def hosts(self) -> dict[RouterName, str]:
        """Return the address of every known peer."""
        return dict(self._hosts)
