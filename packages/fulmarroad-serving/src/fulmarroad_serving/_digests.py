"""Sum the reports of many routers, so that a large fleet needs few packets.

Load pattern: scores of routers send calls to the same engines, each a small part of
them. If each router reported to all others, the number of packets would grow with the
square of the fleet. With gossip to a few random peers, loads would be half a second old
and some would be missing: operators would see engines refuse calls as full while others
idle.

So two routers of each data centre, its collectors, sum the reports there, exchange the
sums with the collectors of other data centres and send the sum of the fleet to the
routers of their own. Digests hold no loads of single routers; each router subtracts its
own report from the sum that it receives. Both collectors do the same work, so the loss
of one delays loads by the interval of one digest at most.
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
    ServerRun,
    pack_counts,
    pack_loads,
    pack_member,
    pack_server_runs,
    read_counts,
    read_loads,
    read_member,
    read_server_runs,
)
from fulmarroad_serving._routing import PartId
from fulmarroad_serving._shares import WorkspaceCount
from fulmarroad_serving._suspect_rows import (
    SuspectRow,
    pack_suspect_callers,
    pack_suspects,
    read_suspects,
)
from fulmarroad_serving.decoding import DECODE_ERRORS, read_float, read_id, read_int
from fulmarroad_serving.engines._book import SpeedClass, read_speed_classes

FORMAT = 2
"""First field of each digest; reports of single routers have another value there."""

COLLECTORS_PER_CENTRE = 2
"""Number of routers that sum the reports of a data centre; one may fail at any time."""

MAX_REPORT_AGE_S = 1.0
"""Age at which a report or sum is left out: several packets in a row were lost."""

MAX_OWN_REPORTS = 80
"""Number of its own reports that a router keeps.

They cover six seconds, more than the age of the oldest report that a sum may contain.
"""


MemberId = int

MemberRoom = tuple[MemberId, int, float]
"""An owner, the prompt tokens that its engines can begin soon, and the age in seconds.
"""

ROOM_UNIT_TOKENS = 100
ROOM_AGE_UNIT_S = 0.01
"""Units of rooms in packets, which contain one for each owner of the fleet."""


def member_id(router: RouterName) -> MemberId:
    """Return the 32-bit id of a router in sums, where names would take too much space.

    The chance that two of 370 routers share an id is one in sixty thousand. One of them
    would then count its own calls as those of others, or leave out some of theirs.
    """
    return xxhash.xxh3_64_intdigest(router.encode()) & 0xFFFFFFFF


@frozen
class ReportSum:
    """Hold the summed reports of some routers."""

    sequences: Mapping[MemberId, int]
    """Sequence number of the report of each router that is in the sum."""
    age_s: float  # average age of the loads
    loads: Mapping[ServerName, PeerLoad]
    counts: Mapping[WorkspaceName, WorkspaceCount]


@frozen
class Digest:
    """Hold what a collector sends: a sum, and in some digests the members it knows."""

    sender: RouterName
    scope: DataCentreName  # data centre of the routers in the sum; empty: fleet
    total: ReportSum
    members: tuple[Member, ...] = ()
    parts: tuple[tuple[PartId, ServerName], ...] = ()  # recently sent to servers
    suspects: tuple[SuspectRow, ...] = ()  # requests that may have crashed servers
    leaving_servers: tuple[ServerRun, ...] = ()  # announced it, no entry says so
    speed_classes: tuple[SpeedClass, ...] = ()  # as the servers' owners reported
    rooms: tuple[MemberRoom, ...] = ()  # what engines of owners can begin soon


def collectors(
    routers: Collection[RouterName], centre: DataCentreName
) -> tuple[RouterName, ...]:
    """Return the routers that sum the reports of a data centre."""
    return watchers(routers, COLLECTORS_PER_CENTRE, f"reports\0{centre}")


def sum_reports(reports: Iterable[tuple[PeerReport, float]]) -> ReportSum:
    """Sum reports, each given with its age in seconds."""
    return _sum(
        (ReportSum({member_id(row.router): row.sequence}, age_s, row.loads, row.counts))
        for row, age_s in reports
    )


def merge(sums: Iterable[tuple[ReportSum, float]]) -> ReportSum:
    """Merge sums without a router in common, each given with the time since receipt."""
    return _sum(
        ReportSum(row.sequences, row.age_s + age_s, row.loads, row.counts)
        for row, age_s in sums
    )


def _sum(rows: Iterable[ReportSum]) -> ReportSum:
    sequences: dict[MemberId, int] = {}
    loads: dict[ServerName, list[int]] = {}
    counts: dict[WorkspaceName, list[float]] = {}
    weight = weighted_age_s = 0.0
    for row in rows:
        sequences.update(row.sequences)
        weight += len(row.sequences)
        weighted_age_s += row.age_s * len(row.sequences)
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
        weighted_age_s / weight if weight else 0.0,
        {name: PeerLoad(*pair) for name, pair in loads.items()},
        {name: WorkspaceCount(*pair) for name, pair in counts.items()},
    )


@define
class OwnReports:
    """Keep this router's own reports, to subtract them from sums of the fleet."""

    _reports: deque[PeerReport] = field(factory=lambda: deque(maxlen=MAX_OWN_REPORTS))

    def note(self, report: PeerReport) -> None:
        """Record a report that was sent."""
        self._reports.append(report)

    def subtract_own(self, total: ReportSum, me: RouterName) -> ReportSum:
        """Return a sum without the report of the router `me`, if it is in the sum."""
        sequence = total.sequences.get(member_id(me))
        own_report = next(
            (row for row in self._reports if row.sequence == sequence), None
        )
        if own_report is None:
            return total
        loads = dict(total.loads)
        for server, load in own_report.loads.items():
            if server in loads:
                loads[server] = PeerLoad(
                    max(0, loads[server].running - load.running),
                    max(0, loads[server].waiting_tokens - load.waiting_tokens),
                )
        counts = dict(total.counts)
        for workspace, count in own_report.counts.items():
            if workspace in counts:
                counts[workspace] = WorkspaceCount(
                    max(0.0, counts[workspace].asked - count.asked),
                    max(0.0, counts[workspace].got - count.got),
                )
        return ReportSum(total.sequences, total.age_s, loads, counts)


def is_digest(row: object) -> bool:
    """Return whether an unpacked packet is a digest."""
    return isinstance(row, list) and bool(row) and row[0] == FORMAT


def pack_digest(digest: Digest) -> bytes:
    """Encode a digest as a packet."""
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
        pack_server_runs(digest.leaving_servers),
        pack_suspect_callers(digest.suspects),
        [list(row) for row in digest.speed_classes],
        _pack_rooms(digest.rooms),
    ]
    return bytes(msgpack.packb(row))


def _pack_rooms(rooms: Iterable[MemberRoom]) -> list[int]:
    return [
        number
        for member, tokens, age_s in rooms
        for number in (
            member,
            tokens // ROOM_UNIT_TOKENS,
            round(age_s / ROOM_AGE_UNIT_S),
        )
    ]


def _read_rooms(numbers: list[Any]) -> tuple[MemberRoom, ...]:
    rows = zip(numbers[::3], numbers[1::3], numbers[2::3], strict=True)
    return tuple(
        (
            read_id(member),
            read_int(units) * ROOM_UNIT_TOKENS,
            read_int(age) * ROOM_AGE_UNIT_S,
        )
        for member, units, age in rows
    )


def read_digest(row: Any, era: int = 0) -> Digest:
    """Decode a digest from an unpacked packet; raise `MessageError` if it is not valid.

    `era` is the store's era known to this router, used for members without one.
    """
    try:
        total = ReportSum(
            {read_id(member): read_int(number) for member, number in row[3]},
            read_float(row[4]),
            read_loads(row[5]),
            read_counts(row[6]),
        )
        return Digest(
            str(row[1]),
            str(row[2]),
            total,
            tuple(read_member(member, era) for member in row[7]),
            tuple((read_id(part), str(server)) for part, server in row[8]),
            # Collectors of the previous release send no suspects.
            read_suspects(row[9], row[11] if len(row) > 11 else [])
            if len(row) > 9
            else (),
            read_server_runs(row[10]) if len(row) > 10 else (),
            read_speed_classes(row[12]) if len(row) > 12 else (),
            _read_rooms(row[13]) if len(row) > 13 else (),
        )
    except DECODE_ERRORS as error:
        raise MessageError(
            "The digest has a field that is missing or not valid."
        ) from error
