"""One scheduler's part among the schedulers of its pool: reports and moves."""

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
    """Tell the pool's other schedulers how this shard stands, and act on theirs."""

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
        self._greets = False
        self._told_at = now - IDLE_INTERVAL_S
        self._credit = BURST_BYTES
        self._credited_at = now
        self._sequence = 0

    def set_peers(self, peers: int) -> None:
        """Take how many other schedulers each report goes to."""
        self._peers = peers

    def set_draining(self, draining: bool) -> None:
        """Take whether the shard has no backend server that takes work."""
        self._draining = draining

    def receive_report(self, report: ServiceReport, now: float) -> None:
        """Count a report; only the newest of an epoch tells how its shard stands.

        A scheduler that is heard for the first time has no memory: it is told soon.
        """
        self._greets = self._greets or not self._totals.knows(report.epoch)
        if self._totals.receive_report(report, now):
            self._rebalancer.note(report, self._service_times.mean_s, now)

    def moves(self, now: float) -> list[Handover]:
        """Return the waiting demands that other shards are to have."""
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
        """Return the report to spread now, or none while none is due."""
        self._earn(now)
        if not self._due(now):
            return None
        self._told_at = now
        self._greets = False
        entries = self._totals.entries(now, self._affordable(now))
        self._credit -= self._reached(now) * report_size(len(entries))
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
        """Drop what was heard of schedulers that are long silent."""
        self._totals.forget(now)

    def _earn(self, now: float) -> None:
        earned = (now - self._credited_at) * CONTROL_BYTES_S
        self._credit = min(BURST_BYTES, self._credit + earned)
        self._credited_at = now

    def _affordable(self, now: float) -> int:
        """Return how many entries the budget allows; a report without any is always.

        With many schedulers in a pool a whole report costs more than is saved up, and
        workspaces are told of in turn.
        """
        bytes_each = self._credit / max(1, self._reached(now)) - REPORT_BYTES
        return max(0, min(MAX_ENTRIES, int(bytes_each / ENTRY_BYTES)))

    def _reached(self, now: float) -> int:
        """Return how many schedulers a report goes to."""
        return (
            self._totals.active_peer_count(now) if self._peers is None else self._peers
        )

    def _due(self, now: float) -> bool:
        elapsed = now - self._told_at
        if elapsed >= IDLE_INTERVAL_S:
            return True
        if elapsed < MIN_INTERVAL_S or not self._reached(now):
            return False
        pending_entries = self._totals.pending_entries(now)
        if self._credit < min(
            BURST_BYTES, self._reached(now) * report_size(pending_entries)
        ):
            return False
        if pending_entries or self._greets:
            return True
        return self._rebalancer.wanted_elsewhere(now) and bool(self._book.free(now))
