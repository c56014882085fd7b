"""Track the running leases of a router and report the service that they used.

With many long answers at once, a report for each token would cost more than the answers
themselves. Service is therefore added up here and sent in one report for each shard,
less often the more leases run.
"""

from __future__ import annotations

from attrs import define, field

from fulmarroad import _messages as m
from fulmarroad._following import Lease, Running, progress_interval
from fulmarroad.types import ShardId


@define
class RunningLeases:
    """Store the running leases of one router by lease id."""

    _running: dict[str, Running] = field(factory=dict)
    _next_report_at: float = 0.0

    def __len__(self) -> int:
        """Return the number of running leases."""
        return len(self._running)

    @property
    def shards(self) -> set[ShardId]:
        """Return the shards that granted the leases."""
        return {running.lease.shard for running in self._running.values()}

    def add(self, lease: Lease) -> None:
        """Add a lease that was granted."""
        self._running[lease.lease_id] = Running(lease)

    def shard_of(self, lease_id: str) -> ShardId | None:
        """Return the shard that granted a lease; return none if it is not running."""
        running = self._running.get(lease_id)
        return running.lease.shard if running is not None else None

    def add_service(
        self, lease_id: str, service: float, first_s: float | None, gap_s: float | None
    ) -> None:
        """Add service that a lease used, and its latencies in seconds once known."""
        running = self._running.get(lease_id)
        if running is None:
            return
        running.unreported += service
        if first_s is not None:
            running.first_s, running.gap_s = first_s, gap_s

    def end(self, lease_id: str) -> None:
        """Remove a lease."""
        self._running.pop(lease_id, None)

    def snapshot(self, shard: ShardId, now: float) -> tuple[m.RunningLease, ...]:
        """Return the leases of a shard for the hello to a new scheduler."""
        return tuple(
            running.snapshot(now)
            for running in self._running.values()
            if running.lease.shard == shard
        )

    def report(self, now: float) -> list[m.Progress]:
        """Return the progress reports to send now; none within the report interval."""
        if now < self._next_report_at:
            return []
        self._next_report_at = now + progress_interval(len(self._running))
        used: dict[ShardId, list[m.ServiceUsed]] = {}
        for lease_id, running in self._running.items():
            if running.unreported <= 0:
                continue
            usage = m.ServiceUsed(
                lease_id, running.unreported, running.first_s, running.gap_s
            )
            running.first_s = running.gap_s = None
            used.setdefault(running.lease.shard, []).append(usage)
            running.charged += running.unreported
            running.unreported = 0.0
        return [m.Progress(shard, tuple(rows)) for shard, rows in used.items()]
