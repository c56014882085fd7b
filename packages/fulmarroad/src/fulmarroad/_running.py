"""The leases that run at this router, and what of their service was reported.

Load it answers: many long answers at once. A report for each token would outweigh the
work itself, so service is added up here and told in one report a shard, less often the
more leases run.
"""

from __future__ import annotations

from attrs import define, field

from fulmarroad import _messages as m
from fulmarroad._following import Lease, Running, progress_interval
from fulmarroad.types import ShardId


@define
class RunningLeases:
    """Hold the running leases of one router."""

    _running: dict[str, Running] = field(factory=dict)
    _progress_at: float = 0.0

    def __len__(self) -> int:
        """Return how many leases run."""
        return len(self._running)

    @property
    def shards(self) -> set[ShardId]:
        """Return the shards that granted them."""
        return {row.lease.shard for row in self._running.values()}

    def add(self, lease: Lease) -> None:
        """Hold a lease that was granted."""
        self._running[lease.lease_id] = Running(lease)

    def shard_of(self, lease_id: str) -> ShardId | None:
        """Return the shard that granted a lease, if it runs."""
        running = self._running.get(lease_id)
        return running.lease.shard if running is not None else None

    def use(
        self, lease_id: str, service: float, first_s: float | None, gap_s: float | None
    ) -> None:
        """Add service that a lease used."""
        running = self._running.get(lease_id)
        if running is None:
            return
        running.unreported += service
        if first_s is not None:
            running.first_s, running.gap_s = first_s, gap_s

    def end(self, lease_id: str) -> None:
        """Drop a lease."""
        self._running.pop(lease_id, None)

    def snapshot(self, shard: ShardId, now: float) -> tuple[m.RunningLease, ...]:
        """Return a shard's leases as a new scheduler gets them."""
        return tuple(
            row.snapshot(now)
            for row in self._running.values()
            if row.lease.shard == shard
        )

    def report(self, now: float) -> list[m.Progress]:
        """Return what is to be told of their progress, if it is time."""
        if now < self._progress_at:
            return []
        self._progress_at = now + progress_interval(len(self._running))
        used: dict[ShardId, list[m.ServiceUsed]] = {}
        for lease_id, running in self._running.items():
            if running.unreported <= 0:
                continue
            row = m.ServiceUsed(
                lease_id, running.unreported, running.first_s, running.gap_s
            )
            running.first_s = running.gap_s = None
            used.setdefault(running.lease.shard, []).append(row)
            running.charged += running.unreported
            running.unreported = 0.0
        return [m.Progress(shard, tuple(rows)) for shard, rows in used.items()]
