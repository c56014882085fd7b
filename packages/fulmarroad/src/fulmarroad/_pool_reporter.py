"""Exchange reports with the other schedulers of a pool, and plan moves from them."""

from __future__ import annotations

from fulmarroad._fairqueue import FleetQueue
from fulmarroad._messages import ServiceReport
from fulmarroad._rebalance import Handover, Rebalancer
from fulmarroad._service_times import ServiceTimeEstimator
from fulmarroad._slots import ServerBook
from fulmarroad._totals import (
    BURST_BYTES,
    CONTROL_BYTES_S,
    ENTRY_BYTES,
    IDLE_INTERVAL_S,
    MAX_ENTRIES,
    MIN_INTERVAL_S,
    REPORT_BYTES,
    Totals,
    report_size,
)
from fulmarroad.types import Epoch, ShardId


class PoolReporter:
    """Report this shard's state to the pool's other schedulers and use their reports.

    A byte budget limits the size and the rate of the reports.
    """

    def __init__(
        self,
        shard: ShardId,
        epoch: Epoch,
        book: ServerBook,
        queue: FleetQueue,
        service_times: ServiceTimeEstimator,
        now: float,
    ) -> None:
        self._shard = shard
        self._epoch = epoch
        self._book = book
        self._queue = queue
        self._service_times = service_times
        self._totals = Totals(shard, epoch, queue)
        self._rebalancer = Rebalancer(shard)
        self._peers: int | None = None
        self._draining = False
        self._has_new_peer = False
        self._reported_at = now - IDLE_INTERVAL_S
        self._budget_bytes = BURST_BYTES
        self._budget_updated_at = now
        self._sequence = 0

    def set_peers(self, peers: int) -> None:
        """Set the number of schedulers that each report is sent to."""
        self._peers = peers

    def set_draining(self, draining: bool) -> None:
        """Set whether no backend server of the shard takes new work."""
        self._draining = draining

    def receive_report(self, report: ServiceReport, now: float) -> None:
        """Add a report's totals; if it is the newest of its epoch, use it for moves.

        A scheduler that reports for the first time may have no totals from this one,
        so a report is sent to it soon.
        """
        self._has_new_peer = self._has_new_peer or not self._totals.knows(report.epoch)
        if self._totals.receive_report(report, now):
            self._rebalancer.record_report(report, self._service_times.mean_s, now)

    def moves(self, now: float) -> list[Handover]:
        """Return the waiting demands to move, each with its target shard."""
        if not len(self._queue):
            return []
        if self._draining:
            return self._rebalancer.drain(self._queue, now)
        return self._rebalancer.plan(
            self._queue,
            units=self._book.capacity(now),
            mean_s=self._service_times.mean_s,
            now=now,
        )

    def report(self, now: float) -> ServiceReport | None:
        """Return the report to send now, or none if none is due."""
        self._refill_budget(now)
        if not self._is_due(now):
            return None
        self._reported_at = now
        self._has_new_peer = False
        entries = self._totals.entries(now, self._affordable_entries(now))
        self._budget_bytes -= self._recipient_count(now) * report_size(len(entries))
        self._sequence += 1
        return ServiceReport(
            self._shard,
            self._epoch,
            self._sequence,
            len(self._book.free(now)),
            self._book.capacity(now),
            len(self._queue),
            entries,
        )

    def forget(self, now: float) -> None:
        """Drop the totals of schedulers that have sent nothing for a long time."""
        self._totals.forget(now)

    def _refill_budget(self, now: float) -> None:
        refill = (now - self._budget_updated_at) * CONTROL_BYTES_S
        self._budget_bytes = min(BURST_BYTES, self._budget_bytes + refill)
        self._budget_updated_at = now

    def _affordable_entries(self, now: float) -> int:
        """Return how many entries the budget allows in the next report, possibly 0.

        With many schedulers in a pool a full report exceeds the budget, so the entries
        of the workspaces are spread over several reports.
        """
        bytes_per_recipient = (
            self._budget_bytes / max(1, self._recipient_count(now)) - REPORT_BYTES
        )
        return max(0, min(MAX_ENTRIES, int(bytes_per_recipient / ENTRY_BYTES)))

    def _recipient_count(self, now: float) -> int:
        """Return the number of schedulers that a report is sent to."""
        return (
            self._totals.active_peer_count(now) if self._peers is None else self._peers
        )

    def _is_due(self, now: float) -> bool:
        elapsed = now - self._reported_at
        if elapsed >= IDLE_INTERVAL_S:
            return True
        if elapsed < MIN_INTERVAL_S or not self._recipient_count(now):
            return False
        pending_entries = self._totals.pending_entries(now)
        if self._budget_bytes < min(
            BURST_BYTES, self._recipient_count(now) * report_size(pending_entries)
        ):
            return False
        if pending_entries or self._has_new_peer:
            return True
        return self._rebalancer.has_demand_elsewhere(now) and bool(self._book.free(now))
