"""Apply the sums of loads that collectors send, and count no router twice."""

from __future__ import annotations

from attrs import define, field

from fulmarroad.types import DataCentreName, RouterName
from fulmarroad_serving._digests import (
    MAX_REPORT_AGE_S,
    Digest,
    MemberId,
    OwnReports,
    ReportSum,
    member_id,
)
from fulmarroad_serving._dispatch import Dispatcher
from fulmarroad_serving._reports import PeerReport

FLEET_SOURCE = "*"
"""Source name of the loads of the whole fleet.

For those of one data centre, its name is appended. No router's name starts with "*".
"""


@define
class ReceivedSum:
    """Hold a sum that a collector sent and the time of its receipt."""

    total: ReportSum
    at: float
    senders: dict[RouterName, float] = field(factory=dict)

    def is_fresh(self, now: float) -> bool:
        """Return whether the sum is recent enough to be used."""
        return now - self.at < MAX_REPORT_AGE_S


class LoadSums:
    """Hold the newest sums, and the routers that are counted by their own reports."""

    def __init__(self, me: RouterName, dispatcher: Dispatcher) -> None:
        self._me = me
        self._dispatcher = dispatcher
        self._own_reports = OwnReports()
        self._centre_sums: dict[DataCentreName, ReceivedSum] = {}
        self._fleet_sum: ReceivedSum | None = None
        self._direct_members: dict[MemberId, RouterName] = {}

    def note_own(self, report: PeerReport) -> None:
        """Record a report of this router, which sums of the fleet will contain."""
        self._own_reports.note(report)

    def of_centres(self, now: float) -> list[ReceivedSum]:
        """Return the recent sums of other data centres."""
        return [row for row in self._centre_sums.values() if row.is_fresh(now)]

    def senders(self, centre: DataCentreName, now: float) -> set[RouterName]:
        """Return the routers that sent recent sums of a data centre."""
        received = self._centre_sums.get(centre)
        if received is None or not received.is_fresh(now):
            return set()
        return set(received.senders)

    def apply_report(self, report: PeerReport, now: float) -> None:
        """Apply a router's own report, unless a recent sum contains it."""
        member = member_id(report.router)
        if self._is_counted(member, now):
            return
        self._direct_members[member] = report.router
        self._dispatcher.receive_load(report.router, report.loads, now)
        self._dispatcher.shares.receive_counts(report.router, report.counts, now)

    def apply_centre(self, digest: Digest, now: float) -> None:
        """Apply the sum of another data centre, in place of one of the whole fleet."""
        before = self._centre_sums.get(digest.scope)
        senders = {
            name: at
            for name, at in (before.senders.items() if before is not None else ())
            if now - at < MAX_REPORT_AGE_S
        }
        senders[digest.sender] = now
        self._centre_sums[digest.scope] = ReceivedSum(digest.total, now, senders)
        if self._fleet_sum is not None:
            self._fleet_sum = None
            self._dispatcher.forget_peers({FLEET_SOURCE})
        self._apply_sum(FLEET_SOURCE + digest.scope, digest.total, now)

    def apply_fleet(self, digest: Digest, now: float) -> None:
        """Apply the sum of the whole fleet, in place of those of data centres."""
        self._fleet_sum = ReceivedSum(digest.total, now)
        if self._centre_sums:
            self._dispatcher.forget_peers(
                {FLEET_SOURCE + scope for scope in self._centre_sums}
            )
            self._centre_sums.clear()
        self._apply_sum(
            FLEET_SOURCE, self._own_reports.subtract_own(digest.total, self._me), now
        )

    def _apply_sum(self, source: str, total: ReportSum, now: float) -> None:
        counted_twice = self._direct_members.keys() & total.sequences.keys()
        if counted_twice:
            self._dispatcher.forget_peers(
                {self._direct_members.pop(row) for row in counted_twice}
            )
        self._dispatcher.receive_load(source, total.loads, now - total.age_s)
        self._dispatcher.shares.receive_counts(source, total.counts, now)

    def _is_counted(self, member: MemberId, now: float) -> bool:
        """Return whether a recent sum contains a report of the router."""
        rows = [
            *self._centre_sums.values(),
            *([self._fleet_sum] if self._fleet_sum else []),
        ]
        return any(row.is_fresh(now) and member in row.total.sequences for row in rows)
