"""The scheduler of one shard: demands in, grants out, all state rebuilt from routers.

Failures it answers: a scheduler that is lost or replaced with no memory, one that
wakes late, routers that vanish with running requests, messages that come twice, late
or under a former epoch. Whatever it believes, a unit is granted only while its router
lends it, and a grant is started only under the epoch and clock that the router knows.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable, Collection, Sequence
from typing import Any, Protocol

from attrs import frozen

from fulmarroad._fairqueue import FleetQueue, Waiting, sane
from fulmarroad._leases import (
    LEND_S,
    START_WITHIN_S,
    Follower,
    Lease,
    LeaseTable,
    Pace,
    grant_valid,
)
from fulmarroad._messages import (
    Demand,
    Finished,
    Goodbye,
    Grant,
    Heartbeat,
    Hello,
    Lend,
    Move,
    Progress,
    Refuse,
    RouterMessage,
    RunningLease,
    SchedulerMessage,
    ServerHint,
    ServerStatus,
    ServiceReport,
    Started,
    StepDown,
    Welcome,
    Withdraw,
)
from fulmarroad._policies import SchedulingPolicy
from fulmarroad._rebalance import Handover, Rebalancer
from fulmarroad._tables import BackendServer, Pool
from fulmarroad._totals import IDLE_INTERVAL_S, Totals, spread_interval
from fulmarroad.types import (
    Epoch,
    Outcome,
    RefusalReason,
    RouterName,
    ServerName,
    ShardId,
    Unit,
)

__all__ = ["Scheduler", "Send", "grant_valid"]

SETTLE_S = 0.5
"""A new scheduler waits this long for the hellos of all live routers.

A hello takes a few milliseconds after a stream breaks; half a second covers a slow
one and is short against a request.
"""

HEARTBEAT_S = 0.5
"""Interval of heartbeats: half the time in which a grant may be started."""

FORGET_INTERVAL_S = 10.0
"""Idle accounts and silent schedulers are looked for this often."""


@frozen
class Send:
    """Carry a message to a router that follows the scheduler."""

    router: RouterName
    message: RouterMessage


class FreeUnitLike(Protocol):
    """Describe a unit that may be granted now."""

    @property
    def unit(self) -> Unit:
        """Return the unit's name."""


class Book(Protocol):
    """Know the units of a shard's backend servers; `ServerBook` is one."""

    def set_servers(
        self,
        pool: Pool,
        servers: Sequence[BackendServer],
        taking: Collection[ServerName],
        now: float,
    ) -> Sequence[Any]:
        """Take a change of the tables."""

    def lend(self, router: RouterName, until: float, now: float) -> None:
        """Let a router's units be granted until a time."""

    def recall(self, router: RouterName) -> None:
        """End a router's lending."""

    def mark_lost(self, router: RouterName, now: float) -> None:
        """Note that a router is dead."""

    def adopt_hint(self, hint: ServerHint, now: float) -> Sequence[Any]:
        """Take what the former scheduler last said of a backend server."""

    def adopt_lease(self, lease: RunningLease, router: RouterName, now: float) -> None:
        """Count a request that runs already."""

    def free(self, now: float) -> Sequence[Any]:
        """Return the units that may be granted."""

    def take(self, unit: Unit, lease_id: str, router: RouterName, now: float) -> None:
        """Use a unit for a lease."""

    def release(self, lease_id: str, now: float) -> None:
        """Give a lease's unit back."""

    def observe(
        self,
        server: ServerName,
        outcome: Outcome,
        first_s: float | None,
        gap_s: float | None,
        service: float,
        now: float,
    ) -> Sequence[Any]:
        """Note how a request ended; return changes of warmth."""

    def status(self, now: float) -> tuple[ServerStatus, ...]:
        """Return how each backend server stands."""

    def capacity(self, now: float) -> int:
        """Return the units usable, free or taken."""


Choose = Callable[[Demand, Sequence[Any]], Unit | None]


def first_fit(demand: Demand, free: Sequence[Any]) -> Unit | None:
    """Return the first free unit that the demand doesn't avoid."""
    for row in free:
        if row.unit.server not in demand.avoid:
            return row.unit
    return None


class Scheduler:
    """Grant the units of one shard to waiting demands, the least served first."""

    def __init__(
        self,
        shard: ShardId,
        epoch: Epoch,
        book: Book,
        queue: SchedulingPolicy,
        *,
        live: Collection[RouterName],
        now: float,
        choose: Choose = first_fit,
        peers: int = 0,
    ) -> None:
        self._shard = shard
        self._epoch = epoch
        self._book = book
        self._queue = queue
        self._live = set(live)
        self._choose = choose
        self._peers = peers
        self._began = now
        self._settled = False
        self._draining = False
        self._stepped_down = False
        self._followers: dict[RouterName, Follower] = {}
        self._leases = LeaseTable(epoch)
        self._pace = Pace(now)
        self._deadlines: list[tuple[float, str]] = []
        self._beat_at = now
        self._told_at = now - IDLE_INTERVAL_S
        self._told_free = 0
        self._forget_at = now + FORGET_INTERVAL_S
        self._changes: list[Any] = []
        self._fair = queue if isinstance(queue, FleetQueue) else None
        self._totals = Totals(shard, epoch, self._fair) if self._fair else None
        self._rebalancer = Rebalancer(shard) if self._fair else None

    @property
    def shard(self) -> ShardId:
        """Return the shard that is scheduled."""
        return self._shard

    @property
    def epoch(self) -> Epoch:
        """Return the epoch under which grants are made."""
        return self._epoch

    @property
    def settled(self) -> bool:
        """Tell whether every live router was heard, or the time for it is over."""
        return self._settled

    @property
    def waiting(self) -> int:
        """Return how many demands wait."""
        return len(self._queue)

    @property
    def running(self) -> int:
        """Return how many leases are held."""
        return len(self._leases)

    def handle(
        self, router: RouterName, message: SchedulerMessage, now: float
    ) -> list[Send]:
        """Take a follower's message; return what to send."""
        if self._stepped_down:
            return []
        out = self._take(router, message, now)
        return out + self._grant(now)

    def absorb(self, report: ServiceReport, now: float) -> list[Send]:
        """Count what another scheduler of the pool served; move demands if due."""
        if self._stepped_down or self._totals is None or self._rebalancer is None:
            return []
        if self._totals.absorb(report, now):
            self._rebalancer.note(report, now)
        return self._grant(now) + self._moves(now)

    def link_lost(self, router: RouterName, now: float) -> list[Send]:
        """Drop a router whose stream broke; what it runs stays charged.

        It resends its waiting demands to whoever it follows next. Its running
        requests go on without us, so their units stay taken until their deadline.
        """
        self._drop(router)
        for lease in self._leases.of_router(router):
            lease.orphan = True
        return self._grant(now)

    def set_live(self, live: Collection[RouterName], now: float) -> list[Send]:
        """Take the live routers of the data centre."""
        for router in self._live - set(live):
            self._book.mark_lost(router, now)
        self._live = set(live)
        return self._grant(now)

    def set_peers(self, peers: int) -> None:
        """Take how many other schedulers each report goes to."""
        self._peers = peers

    def set_tables(
        self,
        pool: Pool,
        servers: Sequence[BackendServer],
        taking: Collection[ServerName],
        now: float,
    ) -> list[Send]:
        """Take a change of the tables; a shard that takes no work hands demands on."""
        self._changes += self._book.set_servers(pool, servers, taking, now)
        self._draining = not taking
        return self._grant(now) + self._moves(now)

    def tick(self, now: float) -> list[Send]:
        """Do what time brings: refusals, expiry, moves and heartbeats."""
        if self._stepped_down:
            return []
        self._pace.roll(now)
        self._expire(now)
        out = self._refuse_hopeless(now)
        out += self._grant(now)
        out += self._moves(now)
        if now >= self._beat_at:
            self._beat_at = now + HEARTBEAT_S
            beat = self._heartbeat(now)
            out += [Send(router, beat) for router in self._followers]
        self._forget(now)
        return out

    def report(self, now: float) -> ServiceReport | None:
        """Return the totals to spread now, or none while nothing is due."""
        if self._totals is None or self._stepped_down or not self._report_due(now):
            return None
        free = len(self._book.free(now))
        self._told_at = now
        self._told_free = free
        return ServiceReport(
            self._shard,
            self._epoch,
            self._totals.next_sequence(),
            free,
            self._book.capacity(now),
            len(self._queue),
            self._totals.entries(now),
        )

    def step_down(self, now: float) -> list[Send]:
        """Give the role up; nothing is granted from here on."""
        self._stepped_down = True
        notice = StepDown(self._shard, self._epoch)
        return [Send(router, notice) for router in self._followers]

    def changes(self) -> list[Any]:
        """Return the changes of warmth since the last call."""
        changes, self._changes = self._changes, []
        return changes

    def _take(
        self, router: RouterName, message: SchedulerMessage, now: float
    ) -> list[Send]:
        if isinstance(message, Hello):
            return self._hello(router, message, now)
        follower = self._followers.get(router)
        if follower is not None and isinstance(message, Demand):
            return self._demand(router, message, now)
        if follower is not None and isinstance(message, Lend):
            self._lend(follower, message, now)
        elif isinstance(message, Finished):
            self._finished(router, message, now)
        elif isinstance(message, Started):
            self._started(router, message)
        elif isinstance(message, Progress):
            self._progress(router, message)
        elif isinstance(message, Withdraw):
            self._withdraw(router, message)
        elif isinstance(message, Goodbye):
            return self.link_lost(router, now)
        return []

    def _hello(self, router: RouterName, hello: Hello, now: float) -> list[Send]:
        known = self._followers.get(router)
        if known is not None and hello.incarnation < known.incarnation:
            return []
        self._drop(router)
        follower = Follower(router, hello.incarnation, hello.clock, now)
        self._followers[router] = follower
        for hint in hello.hints:
            self._changes += self._book.adopt_hint(hint, now)
        self._reconcile(router, hello.leases, now)
        out = [
            Send(router, Welcome(self._shard, self._epoch)),
            Send(router, self._heartbeat(now)),
        ]
        for demand in hello.demands:
            out += self._demand(router, demand, now)
        return out

    def _reconcile(
        self, router: RouterName, leases: Sequence[RunningLease], now: float
    ) -> None:
        """Hold exactly the leases that the router says it holds."""
        told = {lease.lease_id for lease in leases}
        for lease in self._leases.of_router(router):
            if lease.lease_id not in told:
                self._end(lease, 0.0, now, learn=False)
        for row in leases:
            lease_known = self._leases.held(row.lease_id, router)
            if lease_known is None:
                self._adopt(router, row, now)
            else:
                lease_known.orphan = False
                self._leases.start(lease_known)

    def _adopt(self, router: RouterName, row: RunningLease, now: float) -> None:
        self._book.adopt_lease(row, router, now)
        charge = self._queue.adopt(row.workspace, row.charged)
        deadline = now + sane(row.remaining_s)
        self._leases.add(
            Lease(
                row.lease_id,
                row.demand_id,
                router,
                row.workspace,
                row.unit,
                charge,
                deadline,
                now,
                None,
                started=True,
            )
        )

    def _demand(self, router: RouterName, demand: Demand, now: float) -> list[Send]:
        if self._leases.of_demand(demand.demand_id) is not None:
            return []
        if demand.remaining_s <= self._pace.least_service_s:
            return [self._refusal(router, demand.demand_id)]
        if self._queue.add(demand, router, now):
            due = now + sane(demand.remaining_s) - self._pace.least_service_s
            heapq.heappush(self._deadlines, (due, demand.demand_id))
        return []

    def _lend(self, follower: Follower, lend: Lend, now: float) -> None:
        """Renew a lending by the scheduler's own clock, as the router echoed it.

        The term runs from when the echoed heartbeat was sent, not from when the
        answer was read: a scheduler that wakes from a pause must not take an answer
        that lay in its buffer for a fresh one.
        """
        if lend.epoch != self._epoch or lend.echo > now:
            return
        follower.hear(lend.clock, lend.echo)
        self._book.lend(follower.router, lend.echo + LEND_S, now)
        self._reclaim(follower, now)

    def _reclaim(self, follower: Follower, now: float) -> None:
        for lease in self._leases.unstartable(follower):
            self._end(lease, 0.0, now, learn=False)
            if lease.waiting is not None:
                left = lease.waiting.deadline - now
                if left > self._pace.least_service_s:
                    self._requeue(lease.waiting, now)

    def _requeue(self, waiting: Waiting, now: float) -> None:
        """Queue a demand again whose grant its router never answered."""
        self._queue.restore(waiting, now)
        due = waiting.deadline - self._pace.least_service_s
        heapq.heappush(self._deadlines, (due, waiting.demand.demand_id))

    def _finished(self, router: RouterName, message: Finished, now: float) -> None:
        lease = self._leases.held(message.lease_id, router)
        if lease is None:
            return
        declined = message.outcome is Outcome.DECLINED
        completed = message.outcome is Outcome.COMPLETED
        if completed:
            self._pace.note_answer(message.total_s)
        service = 0.0 if declined else sane(message.service)
        self._end(lease, service, now, learn=completed)
        if not declined:
            self._changes += self._book.observe(
                lease.server,
                message.outcome,
                message.first_s,
                message.gap_s,
                service,
                now,
            )

    def _started(self, router: RouterName, message: Started) -> None:
        lease = self._leases.held(message.lease_id, router)
        if lease is not None:
            self._leases.start(lease)

    def _progress(self, router: RouterName, message: Progress) -> None:
        lease = self._leases.held(message.lease_id, router)
        if lease is not None:
            self._queue.progress(lease.charge, message.service)

    def _withdraw(self, router: RouterName, message: Withdraw) -> None:
        waiting = self._queue.get(message.demand_id)
        if waiting is not None and waiting.router == router:
            self._queue.remove(message.demand_id)

    def _end(
        self, lease: Lease, service: float, now: float, *, learn: bool = True
    ) -> None:
        self._leases.remove(lease)
        self._queue.finish(lease.charge, service, learn=learn)
        self._book.release(lease.lease_id, now)

    def _drop(self, router: RouterName) -> None:
        if self._followers.pop(router, None) is None:
            return
        self._book.recall(router)
        gone = [row.demand.demand_id for row in self._queue if row.router == router]
        for demand_id in gone:
            self._queue.remove(demand_id)

    def _grant(self, now: float) -> list[Send]:
        """Grant free units until none is left or nobody who waits can use one."""
        self._settle(now)
        out: list[Send] = []
        while len(self._queue) and not self._stepped_down and self._may_grant(now):
            free = self._book.free(now)
            if not free:
                break
            waiting = self._queue.pop(self._eligible(free, now), now)
            if waiting is None:
                break
            out.append(self._lease(waiting, free, now))
        return out

    def _may_grant(self, now: float) -> bool:
        """Hold back what routers that were not heard yet may be using.

        A new scheduler doesn't know their running requests. It counts them as using
        their even share until it has settled; otherwise every takeover would put
        requests onto units that are in use.
        """
        if self._settled or not self._live:
            return True
        seen = len(self._live & self._followers.keys()) / len(self._live)
        return len(self._leases) < self._book.capacity(now) * seen

    def _eligible(self, free: Sequence[Any], now: float) -> Callable[[Waiting], bool]:
        servers = {row.unit.server for row in free}

        def eligible(row: Waiting) -> bool:
            if not self._followers[row.router].fresh(now):
                return False
            return not row.demand.avoid or not servers <= set(row.demand.avoid)

        return eligible

    def _lease(self, waiting: Waiting, free: Sequence[Any], now: float) -> Send:
        demand = waiting.demand
        unit = self._choose(demand, free) or first_fit(demand, free)
        assert unit is not None, "an eligible demand fits a free unit"
        follower = self._followers[waiting.router]
        lease = Lease(
            self._leases.new_id(),
            demand.demand_id,
            waiting.router,
            demand.workspace,
            unit,
            self._queue.begin(waiting),
            waiting.deadline,
            follower.clock + START_WITHIN_S,
            waiting,
        )
        self._leases.add(lease)
        self._book.take(unit, lease.lease_id, waiting.router, now)
        self._pace.note_grant()
        return Send(
            waiting.router,
            Grant(
                self._shard,
                self._epoch,
                lease.lease_id,
                demand.demand_id,
                unit,
                follower.clock,
                START_WITHIN_S,
            ),
        )

    def _moves(self, now: float) -> list[Send]:
        if self._fair is None or self._rebalancer is None or not len(self._queue):
            return []
        if self._draining:
            moves = self._rebalancer.drain(self._fair, now)
        else:
            moves = self._rebalancer.plan(
                self._fair,
                free=bool(self._book.free(now)),
                usual_cost=self._fair.usual_cost,
                now=now,
            )
        return [self._move(move) for move in moves]

    def _move(self, move: Handover) -> Send:
        waiting = self._queue.remove(move.demand_id)
        assert waiting is not None, "only waiting demands are moved"
        message = Move(self._shard, self._epoch, move.demand_id, move.target)
        return Send(waiting.router, message)

    def _refuse_hopeless(self, now: float) -> list[Send]:
        """Turn demands away as soon as their deadline can't be met any more.

        Held until the deadline they would take a unit for an answer that nobody
        waits for, or cost their caller the time to ask elsewhere.
        """
        out = []
        while self._deadlines and self._deadlines[0][0] <= now:
            _, demand_id = heapq.heappop(self._deadlines)
            waiting = self._queue.get(demand_id)
            if waiting is None:
                continue
            due = waiting.deadline - self._pace.least_service_s
            if due > now:
                heapq.heappush(self._deadlines, (due, demand_id))
                continue
            self._queue.remove(demand_id)
            out.append(self._refusal(waiting.router, demand_id))
        return out

    def _refusal(self, router: RouterName, demand_id: str) -> Send:
        retry_after = self._pace.wait_s(len(self._queue))
        return Send(
            router,
            Refuse(
                self._shard,
                self._epoch,
                demand_id,
                RefusalReason.DEADLINE_PASSED,
                retry_after,
            ),
        )

    def _expire(self, now: float) -> None:
        for lease in self._leases:
            if lease.expired(now):
                self._end(lease, lease.charge.amount, now, learn=False)

    def _heartbeat(self, now: float) -> Heartbeat:
        waiting = len(self._queue)
        return Heartbeat(
            self._shard,
            self._epoch,
            now,
            self._book.status(now),
            waiting,
            self._pace.wait_s(waiting),
            self._settled,
        )

    def _settle(self, now: float) -> None:
        if not self._settled:
            all_heard = bool(self._live) and self._live <= self._followers.keys()
            self._settled = all_heard or now - self._began >= SETTLE_S

    def _report_due(self, now: float) -> bool:
        assert self._totals is not None
        assert self._rebalancer is not None
        elapsed = now - self._told_at
        if elapsed >= IDLE_INTERVAL_S:
            return True
        news = self._totals.news(now)
        peers = self._peers or self._totals.heard(now)
        if elapsed < spread_interval(max(1, peers), news):
            return False
        if news:
            return True
        free = len(self._book.free(now))
        return free > self._told_free and self._rebalancer.wanted_elsewhere(now)

    def _forget(self, now: float) -> None:
        if now < self._forget_at:
            return
        self._forget_at = now + FORGET_INTERVAL_S
        self._queue.forget_idle(now)
        if self._totals is not None:
            self._totals.forget(now)
