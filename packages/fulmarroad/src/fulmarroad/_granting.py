"""Grant free units to waiting demands, and end the leases."""

from __future__ import annotations

from collections.abc import Sequence

from attrs import frozen

from fulmarroad._fairqueue import Eligible, Waiting, sanitize
from fulmarroad._leases import Follower, Lease, LeaseTable
from fulmarroad._messages import (
    Finished,
    Grant,
    RouterMessage,
    RunningLease,
    ServiceUsed,
)
from fulmarroad._placement import PrefixMap, choose_unit
from fulmarroad._policies import SchedulingPolicy
from fulmarroad._service_times import ServiceTimeEstimator
from fulmarroad._shares import START_WINDOW_S
from fulmarroad._slots import FreeUnit, ServerBook
from fulmarroad._warmth import WarmthChange
from fulmarroad.types import Epoch, Outcome, RouterName, ShardId, Unit, Warmth


@frozen
class Send:
    """Carry a message to a router that follows the scheduler."""

    router: RouterName
    message: RouterMessage


class Granting:
    """Keep the queue, the book and the leases of one scheduler consistent."""

    def __init__(
        self, shard: ShardId, epoch: Epoch, book: ServerBook, queue: SchedulingPolicy
    ) -> None:
        self._shard = shard
        self._epoch = epoch
        self._book = book
        self._queue = queue
        self._leases = LeaseTable(epoch)
        self._prefixes = PrefixMap()
        self._service_times = ServiceTimeEstimator()
        self._changes: list[WarmthChange] = []

    @property
    def leases(self) -> LeaseTable:
        """Return the table of leases held."""
        return self._leases

    @property
    def service_times(self) -> ServiceTimeEstimator:
        """Return the estimator of request durations."""
        return self._service_times

    def next_grant(
        self, followers: dict[RouterName, Follower], now: float
    ) -> Send | None:
        """Grant a free unit to the next eligible demand; return none without one."""
        if not len(self._queue):
            return None
        free = self._book.free(now)
        if not free:
            return None
        waiting = self._queue.pop(_eligible(free, followers, now), now)
        if waiting is None:
            return None
        return self._grant(waiting, free, followers[waiting.router], now)

    def adopt(self, router: RouterName, row: RunningLease, now: float) -> None:
        """Take over a lease that an earlier scheduler granted."""
        self._book.adopt_lease(row, router, now)
        charge = self._queue.adopt(row.workspace, row.charged)
        deadline = now + sanitize(row.remaining_s)
        lease = Lease(row.lease_id, row.demand_id, router, row.unit, charge, deadline)
        lease.started = True
        self._leases.add(lease)

    def reconcile(
        self, router: RouterName, reported: Sequence[RunningLease], now: float
    ) -> None:
        """Replace the leases of a router by those that it reports."""
        reported_ids = {row.lease_id for row in reported}
        for lease in self._leases.of_router(router):
            if lease.lease_id not in reported_ids:
                self.forget(lease, now)
        for row in reported:
            known = self._leases.held(row.lease_id, router)
            if known is None:
                self.adopt(router, row, now)
            else:
                self._leases.mark_reported(known)

    def finish(self, router: RouterName, message: Finished, now: float) -> None:
        """End a lease and charge its final cost; ignore a lease that is not held."""
        lease = self._leases.held(message.lease_id, router)
        if lease is None:
            return
        if message.outcome is Outcome.DECLINED:
            self._end(lease, 0.0, now, learn=False)
            return
        completed = message.outcome is Outcome.COMPLETED
        service = sanitize(message.service)
        if completed:
            self._service_times.record(message.total_s)
            self._record_prefix(lease, message.cached_prefix, now)
        changes = self._book.observe(
            lease.unit.server,
            message.outcome,
            message.first_s,
            message.gap_s,
            service,
            now,
            lease_id=lease.lease_id,
        )
        self._end(lease, service, now, learn=completed)
        self.record_changes(changes)

    def observe_early(self, lease: Lease, used: ServiceUsed, now: float) -> None:
        """Update a server's health from an answer that still runs."""
        changes = self._book.observe_early(
            lease.lease_id, used.first_s, used.gap_s, lease.charge.reported, now
        )
        self.record_changes(changes)

    def forget(self, lease: Lease, now: float) -> None:
        """End a lease that its router no longer reports; keep the reported charge."""
        self._end(lease, lease.charge.reported, now, learn=False)

    def expire(self, now: float) -> None:
        """End orphaned leases whose deadline and grace are over."""
        for lease in self._leases.expired(now):
            self._end(lease, lease.charge.amount, now, learn=False)

    def reclaim_unstarted(self, follower: Follower, now: float) -> list[Waiting]:
        """End leases that a router can no longer start; return their demands."""
        late = self._leases.unstartable(follower)
        for lease in late:
            self._end(lease, 0.0, now, learn=False)
        return [lease.waiting for lease in late if lease.waiting is not None]

    def record_changes(self, changes: Sequence[WarmthChange]) -> None:
        """Record warmth changes; drop the prefixes of servers that became cold."""
        self._changes += changes
        for change in changes:
            if change.after is Warmth.COLD:
                self._prefixes.forget(change.server)

    def take_changes(self) -> list[WarmthChange]:
        """Return the warmth changes since the last call."""
        changes, self._changes = self._changes, []
        return changes

    def _grant(
        self,
        waiting: Waiting,
        free: Sequence[FreeUnit],
        follower: Follower,
        now: float,
    ) -> Send:
        demand = waiting.demand
        unit = self._choose_unit(waiting, free)
        lease = Lease(
            self._leases.new_id(),
            demand.demand_id,
            waiting.router,
            unit,
            self._queue.begin(waiting),
            waiting.deadline,
            waiting,
            follower.clock + START_WINDOW_S,
        )
        self._book.take(unit, lease.lease_id, waiting.router, now)
        self._leases.add(lease)
        self._prefixes.note(unit.server, demand.prefix, now)
        grant = Grant(
            self._shard,
            self._epoch,
            lease.lease_id,
            demand.demand_id,
            unit,
            follower.clock,
            START_WINDOW_S,
        )
        return Send(waiting.router, grant)

    def _choose_unit(self, waiting: Waiting, free: Sequence[FreeUnit]) -> Unit:
        mean_cost = self._queue.mean_cost or None
        unit = choose_unit(waiting.demand, free, self._prefixes, mean_cost=mean_cost)
        assert unit is not None, "no free unit for a demand that was found eligible"
        return unit

    def _record_prefix(self, lease: Lease, cached: int, now: float) -> None:
        if lease.waiting is not None and lease.waiting.demand.prefix:
            prefix = lease.waiting.demand.prefix
            self._prefixes.correct(lease.unit.server, prefix, cached, now)

    def _end(self, lease: Lease, service: float, now: float, *, learn: bool) -> None:
        self._leases.remove(lease)
        self._queue.finish(lease.charge, service, learn=learn)
        self._book.release(lease.lease_id, now)


def _eligible(
    free: Sequence[FreeUnit], followers: dict[RouterName, Follower], now: float
) -> Eligible:
    servers = {free_unit.unit.server for free_unit in free}

    def eligible(row: Waiting) -> bool:
        if not followers[row.router].fresh(now):
            return False
        return not row.demand.avoid or not servers <= set(row.demand.avoid)

    return eligible
