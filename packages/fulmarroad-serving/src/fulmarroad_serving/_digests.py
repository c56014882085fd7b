"""Sum what many routers report, so that a router hears of a large fleet in few packets.

Pattern of load: scores of routers in front of the same engines, each sending a small
part of the calls. If each told all others, packets would grow with the square of the
fleet; told to a few at random, loads are half a second old and some are missing:
operators would notice engines that turn calls away as full while others idle. So two
routers of each data centre collect the reports there, exchange the sums with the
collectors of other data centres, and give the fleet's sum to those of their own. Nobody
is told of single routers' loads, and a router takes its own report out of the sum that
it hears. Both collectors do the same work, so the loss of one makes news older by a
digest's interval and no more.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Collection, Iterable, Mapping
from typing import Any

import msgpack
import xxhash
from attrs import define, field, frozen

from fulmarroad.exceptions import MessageError
from fulmarroad.ownership import watchers
from fulmarroad.types import DataCentreName, RouterName, ServerName, WorkspaceName
from fulmarroad_serving._load import PeerLoad
from fulmarroad_serving._reports import (
    Member,
    PeerReport,
    pack_counts,
    pack_loads,
    pack_member,
    pack_suspects,
    read_counts,
    read_loads,
    read_member,
    read_suspects,
)
from fulmarroad_serving._routing import PartId
from fulmarroad_serving._shares import WorkspaceCount
from fulmarroad_serving._suspects import SuspectRow

FORMAT = 2
"""First field of each digest; a report of one router has another."""

COLLECTORS = 2
"""Routers of a data centre that sum up its reports: one may be lost at any time."""

FRESH_S = 1.0
"""Age at which what was heard is left out of a sum: several reports were lost."""

OWN_REPORTS = 80
"""Reports of its own that a router remembers: six seconds of them, more than the oldest
that may still be in a sum."""


MemberId = int


def member_id(router: RouterName) -> MemberId:
    """Return the number that stands for a router in sums, where names are too long.

    Two of 370 routers share one with a chance of one in sixty thousand; one of them
    would then count its own calls as others' or leave some out.
    """
    return xxhash.xxh3_64_intdigest(router.encode()) & 0xFFFFFFFF


@frozen
class ReportSum:
    """Hold the sum of what some routers report."""

    sequences: Mapping[MemberId, int]
    """The report of each router that is in the sum."""
    age_s: float  # of the loads, on average
    loads: Mapping[ServerName, PeerLoad]
    counts: Mapping[WorkspaceName, WorkspaceCount]


@frozen
class Digest:
    """Hold what a collector tells: a sum, and now and then where routers are."""

    sender: RouterName
    scope: DataCentreName  # whose routers are in the sum; empty: of the whole fleet
    total: ReportSum
    members: tuple[Member, ...] = ()
    parts: tuple[tuple[PartId, ServerName], ...] = ()  # sent to servers lately
    suspects: tuple[SuspectRow, ...] = ()  # requests under which servers ended


def collectors(
    routers: Collection[RouterName], centre: DataCentreName
) -> tuple[RouterName, ...]:
    """Return the routers of a data centre that sum up its reports."""
    return watchers(routers, COLLECTORS, f"reports\0{centre}")


def sum_reports(reports: Iterable[tuple[PeerReport, float]]) -> ReportSum:
    """Sum reports, each with its age in seconds."""
    return _sum(
        (ReportSum({member_id(row.router): row.sequence}, age_s, row.loads, row.counts))
        for row, age_s in reports
    )


def merge(sums: Iterable[tuple[ReportSum, float]]) -> ReportSum:
    """Merge sums that have no router in common, each with the time since it came."""
    return _sum(
        ReportSum(row.sequences, row.age_s + age_s, row.loads, row.counts)
        for row, age_s in sums
    )


def _sum(rows: Iterable[ReportSum]) -> ReportSum:
    sequences: dict[MemberId, int] = {}
    loads: dict[ServerName, list[int]] = {}
    counts: dict[WorkspaceName, list[float]] = {}
    weight = weighted = 0.0
    for row in rows:
        sequences.update(row.sequences)
        weight += len(row.sequences)
        weighted += row.age_s * len(row.sequences)
        for server, load in row.loads.items():
            pair = loads.setdefault(server, [0, 0])
            pair[0] += load.running
            pair[1] += load.waiting_tokens
        for workspace, count in row.counts.items():
            both = counts.setdefault(workspace, [0.0, 0.0])
            both[0] += count.asked
            both[1] += count.got
    return ReportSum(
        sequences,
        weighted / weight if weight else 0.0,
        {name: PeerLoad(*pair) for name, pair in loads.items()},
        {name: WorkspaceCount(*pair) for name, pair in counts.items()},
    )


@define
class OwnReports:
    """Remember this router's reports, to take them out of sums of all."""

    _rows: deque[PeerReport] = field(factory=lambda: deque(maxlen=OWN_REPORTS))

    def note(self, report: PeerReport) -> None:
        """Remember a report that was sent."""
        self._rows.append(report)

    def subtract_own(self, total: ReportSum, me: RouterName) -> ReportSum:
        """Return a sum without the report of this router that is in it."""
        sequence = total.sequences.get(member_id(me))
        mine = next((row for row in self._rows if row.sequence == sequence), None)
        if mine is None:
            return total
        loads = dict(total.loads)
        for server, load in mine.loads.items():
            if server in loads:
                loads[server] = PeerLoad(
                    max(0, loads[server].running - load.running),
                    max(0, loads[server].waiting_tokens - load.waiting_tokens),
                )
        counts = dict(total.counts)
        for workspace, count in mine.counts.items():
            if workspace in counts:
                counts[workspace] = WorkspaceCount(
                    max(0.0, counts[workspace].asked - count.asked),
                    max(0.0, counts[workspace].got - count.got),
                )
        return ReportSum(total.sequences, total.age_s, loads, counts)


def is_digest(row: object) -> bool:
    """Tell whether an unpacked packet is a digest."""
    return isinstance(row, list) and bool(row) and row[0] == FORMAT


def pack_digest(digest: Digest) -> bytes:
    """Return a digest as bytes."""
    total = digest.total
    row = [
        FORMAT,
        digest.sender,
        digest.scope,
        [list(pair) for pair in total.sequences.items()],
        round(total.age_s, 3),
        pack_loads(total.loads),
        pack_counts(total.counts),
        [pack_member(row) for row in digest.members],
        [list(pair) for pair in digest.parts],
        pack_suspects(digest.suspects),
    ]
    return bytes(msgpack.packb(row))


def read_digest(row: Any, era: int = 0) -> Digest:
    """Return the digest that an unpacked packet holds, or raise `MessageError`.

    `era` is the store's as known here, for members that state none.
    """
    try:
        total = ReportSum(
            {int(member): int(number) for member, number in row[3]},
            float(row[4]),
            read_loads(row[5]),
            read_counts(row[6]),
        )
        return Digest(
            str(row[1]),
            str(row[2]),
            total,
            tuple(read_member(member, era) for member in row[7]),
            tuple((int(part), str(server)) for part, server in row[8]),
            # Collectors of the version before say nothing of suspects.
            read_suspects(row[9]) if len(row) > 9 else (),
        )
    except (ValueError, TypeError, IndexError, OverflowError) as error:
        raise MessageError("This is no digest of reports.") from error
