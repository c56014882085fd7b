"""Turn free units and waiting demands into leases, and end them."""

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
    """Hold the queue, the book and the leases of one scheduler together."""

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
        """Return the leases held."""
        return self._leases

    @property
    def service_times(self) -> ServiceTimeEstimator:
        """Return what is known of how long requests take."""
        return self._service_times

    def next_grant(
        self, followers: dict[RouterName, Follower], now: float
    ) -> Send | None:
        """Grant one free unit to the next demand in line, or return none."""
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
        """Take over a lease that a former scheduler granted."""
        self._book.adopt_lease(row, router, now)
        charge = self._queue.adopt(row.workspace, row.charged)
        deadline = now + sanitize(row.remaining_s)
        lease = Lease(row.lease_id, row.demand_id, router, row.unit, charge, deadline)
        lease.started = True
        self._leases.add(lease)

    def reconcile(
        self, router: RouterName, told: Sequence[RunningLease], now: float
    ) -> None:
        """Hold exactly the leases that a router says it holds."""
        named = {row.lease_id for row in told}
        for lease in self._leases.of_router(router):
            if lease.lease_id not in named:
                self.forget(lease, now)
        for row in told:
            known = self._leases.held(row.lease_id, router)
            if known is None:
                self.adopt(router, row, now)
            else:
                self._leases.claim(known)

    def finish(self, router: RouterName, message: Finished, now: float) -> None:
        """End a lease with its whole cost; a lease that is not held is ignored."""
        lease = self._leases.held(message.lease_id, router)
        if lease is None:
            return
        if message.outcome is Outcome.DECLINED:
            self._end(lease, 0.0, now, learn=False)
            return
        completed = message.outcome is Outcome.COMPLETED
        service = sanitize(message.service)
        if completed:
            self._service_times.note(message.total_s)
            self._note_prefix(lease, message.cached_prefix, now)
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
        self.note_changes(changes)

    def judge(self, lease: Lease, used: ServiceUsed, now: float) -> None:
        """Judge a server by an answer that still runs."""
        changes = self._book.observe_early(
            lease.lease_id, used.first_s, used.gap_s, lease.charge.reported, now
        )
        self.note_changes(changes)

    def forget(self, lease: Lease, now: float) -> None:
        """End a lease of which nothing more will be heard; what it used stays."""
        self._end(lease, lease.charge.reported, now, learn=False)

    def expire(self, now: float) -> None:
        """End orphaned leases whose deadline has passed."""
        for lease in self._leases.expired(now):
            self._end(lease, lease.charge.amount, now, learn=False)

    def reclaim(self, follower: Follower, now: float) -> list[Waiting]:
        """End leases that a router can't start any more; return their demands."""
        late = self._leases.unstartable(follower)
        for lease in late:
            self._end(lease, 0.0, now, learn=False)
        return [lease.waiting for lease in late if lease.waiting is not None]

    def note_changes(self, changes: Sequence[WarmthChange]) -> None:
        """Keep changes of warmth; a server that turned cold lost its cache."""
        self._changes += changes
        for change in changes:
            if change.after is Warmth.COLD:
                self._prefixes.forget(change.server)

    def take_changes(self) -> list[WarmthChange]:
        """Return the changes of warmth since the last call."""
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
        unit = self._choose(waiting, free)
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

    def _choose(self, waiting: Waiting, free: Sequence[FreeUnit]) -> Unit:
        usual = self._queue.mean_cost or None
        unit = choose_unit(waiting.demand, free, self._prefixes, mean_cost=usual)
        assert unit is not None, "an eligible demand fits a free unit"
        return unit

    def _note_prefix(self, lease: Lease, cached: int, now: float) -> None:
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
    servers = {offer.unit.server for offer in free}

    def eligible(row: Waiting) -> bool:
        if not followers[row.router].fresh(now):
            return False
        return not row.demand.avoid or not servers <= set(row.demand.avoid)

    return eligible
