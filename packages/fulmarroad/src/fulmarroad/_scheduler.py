"""The scheduler of one shard: demands in, grants out, all state rebuilt from routers.

Failures it answers: a scheduler that is lost or replaced with no memory, one that
wakes late, routers that vanish with running requests, messages that come twice, late
or under a former epoch. Whatever it believes, a unit is granted only while its router
lends it, and a grant is started only under the epoch and clock that the router knows.
"""

from __future__ import annotations

import heapq
from collections.abc import Collection, Sequence

from fulmarroad._fairqueue import FleetQueue, sanitize
from fulmarroad._granting import Granting, Send
from fulmarroad._leases import Follower, grant_valid
from fulmarroad._messages import (
    Demand,
    Finished,
    Goodbye,
    Heartbeat,
    Hello,
    Lend,
    Move,
    Progress,
    Refuse,
    SchedulerMessage,
    ServiceReport,
    Started,
    StepDown,
    Welcome,
    Withdraw,
)
from fulmarroad._policies import SchedulingPolicy
from fulmarroad._pool_reporter import PoolReporter
from fulmarroad._shares import LENDING_TERM_S
from fulmarroad._slots import ServerBook
from fulmarroad._tables import BackendServer, Pool
from fulmarroad._warmth import WarmthChange
from fulmarroad.types import Epoch, RefusalReason, RouterName, ServerName, ShardId

__all__ = ["Scheduler", "Send", "grant_valid"]

SETTLE_S = 0.5
"""A new scheduler counts as settled once every live router said hello, or after this.

A hello takes a few milliseconds after a stream breaks; half a second covers a slow one.
Until then no demand is moved away, as most units are not lent yet.
"""

HEARTBEAT_S = 1.0
"""Interval of heartbeats: half the time in which a grant may be started.

Heartbeats and their answers are the largest part of the control traffic, and every
router exchanges them with each scheduler of its data centre.
"""

FORGET_INTERVAL_S = 10.0
"""Idle accounts and silent schedulers are looked for this often."""


class Scheduler:
    """Grant the units of one shard to waiting demands.

    The queue decides who is next, the book which units may be granted; this class
    keeps both true to what routers say, and tells them.
    """

    def __init__(
        self,
        shard: ShardId,
        epoch: Epoch,
        book: ServerBook,
        queue: SchedulingPolicy,
        *,
        live: Collection[RouterName],
        now: float,
    ) -> None:
        self._shard = shard
        self._epoch = epoch
        self._book = book
        self._queue = queue
        self._live = frozenset(live)
        self._began = now
        self._settled = False
        self._stepped_down = False
        self._followers: dict[RouterName, Follower] = {}
        self._granting = Granting(shard, epoch, book, queue)
        self._deadlines: list[tuple[float, str]] = []
        self._beat_at = now
        self._forget_at = now + FORGET_INTERVAL_S
        self._pool_reporter: PoolReporter | None = None
        if isinstance(queue, FleetQueue):
            service_times = self._granting.service_times
            self._pool_reporter = PoolReporter(
                shard, epoch, book, queue, service_times, now
            )

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
        return len(self._granting.leases)

    def handle(
        self, router: RouterName, message: SchedulerMessage, now: float
    ) -> list[Send]:
        """Take a follower's message; return what to send."""
        if self._stepped_down:
            return []
        if isinstance(message, Started):
            self._started(router, message)
            return []
        if isinstance(message, Progress):
            judged = self._progress(router, message, now)
            return self._grant(now) if judged else []
        out = self._take(router, message, now)
        return out + self._grant(now)

    def receive_report(self, report: ServiceReport, now: float) -> list[Send]:
        """Count what another scheduler of the pool served; move demands if due."""
        if self._stepped_down or self._pool_reporter is None:
            return []
        self._pool_reporter.receive_report(report, now)
        return self._grant(now) + self._moves(now)

    def link_lost(self, router: RouterName, now: float) -> list[Send]:
        """Drop a router whose stream broke; what it runs stays charged.

        It resends its waiting demands to whoever it follows next. Its running
        requests go on without us, so their units stay taken until their deadline.
        """
        self._drop(router)
        for lease in self._granting.leases.of_router(router):
            self._granting.leases.orphan(lease)
        return self._grant(now)

    def set_live(self, live: Collection[RouterName], now: float) -> list[Send]:
        """Take the live routers of the data centre."""
        for router in self._live.difference(live):
            self._book.mark_lost(router, now)
        self._live = frozenset(live)
        return self._grant(now)

    def set_vms(self, vms: Collection[RouterName], now: float) -> list[Send]:
        """Take the published VMs of the data centre: the owners of units."""
        self._book.set_vms(vms, now)
        return self._grant(now)

    def set_peers(self, peers: int) -> None:
        """Take how many other schedulers of the pool each report goes to."""
        if self._pool_reporter is not None:
            self._pool_reporter.set_peers(peers)

    def set_tables(
        self,
        pool: Pool,
        servers: Sequence[BackendServer],
        taking: Collection[ServerName],
        now: float,
    ) -> list[Send]:
        """Take a change of the tables; a shard that takes no work hands demands on."""
        self._granting.note_changes(self._book.set_servers(pool, servers, taking, now))
        if self._pool_reporter is not None:
            self._pool_reporter.set_draining(not taking)
        return self._grant(now) + self._moves(now)

    def tick(self, now: float) -> list[Send]:
        """Do what time brings: refusals, expiry, moves and heartbeats."""
        if self._stepped_down:
            return []
        self._granting.expire(now)
        out = self._refuse_hopeless(now)
        out += self._grant(now)
        out += self._moves(now)
        if now >= self._beat_at:
            self._beat_at = now + HEARTBEAT_S
            beat = self._heartbeat(now)
            out += [Send(router, beat) for router in self._followers]
        if now >= self._forget_at:
            self._forget_at = now + FORGET_INTERVAL_S
            self._forget(now)
        return out

    def report(self, now: float) -> ServiceReport | None:
        """Return the totals to spread now, or none while nothing is due."""
        if self._stepped_down or self._pool_reporter is None:
            return None
        return self._pool_reporter.report(now)

    def step_down(self, now: float) -> list[Send]:
        """Give the role up; nothing is granted from here on."""
        self._stepped_down = True
        notice = StepDown(self._shard, self._epoch)
        return [Send(router, notice) for router in self._followers]

    def changes(self) -> list[WarmthChange]:
        """Return the changes of warmth since the last call."""
        return self._granting.take_changes()

    def _take(
        self, router: RouterName, message: SchedulerMessage, now: float
    ) -> list[Send]:
        if isinstance(message, Finished):
            self._granting.finish(router, message, now)
            return []
        if isinstance(message, Hello):
            return self._hello(router, message, now)
        follower = self._followers.get(router)
        if follower is None:
            return []  # its hello will tell all of it
        if isinstance(message, Demand):
            return self._demand(router, message, now)
        if isinstance(message, Lend):
            self._lend(follower, message, now)
        elif isinstance(message, Withdraw):
            self._withdraw(router, message)
        elif isinstance(message, Goodbye):
            return self.link_lost(router, now)
        return []

    def _hello(self, router: RouterName, hello: Hello, now: float) -> list[Send]:
        if self._is_late(router, hello):
            return []
        self._drop(router)
        self._followers[router] = Follower(router, hello.incarnation, hello.clock, now)
        for hint in hello.hints:
            self._granting.note_changes(self._book.adopt_hint(hint, now))
        self._granting.reconcile(router, hello.leases, now)
        out = [
            Send(router, Welcome(self._shard, self._epoch)),
            Send(router, self._heartbeat(now)),
        ]
        for demand in hello.demands:
            out += self._demand(router, demand, now)
        return out

    def _is_late(self, router: RouterName, hello: Hello) -> bool:
        """Tell whether a hello is older than what the router said since.

        It would end leases that were granted after it was sent.
        """
        known = self._followers.get(router)
        if known is None:
            return False
        if hello.incarnation != known.incarnation:
            return hello.incarnation < known.incarnation
        return hello.clock <= known.clock

    def _demand(self, router: RouterName, demand: Demand, now: float) -> list[Send]:
        if self._granting.leases.runs(demand.demand_id):
            return []
        if sanitize(demand.remaining_s) <= self._granting.service_times.min_s:
            return [self._refusal(router, demand.demand_id, now)]
        if self._queue.add(demand, router, now):
            self._watch(now + sanitize(demand.remaining_s), demand.demand_id)
        return []

    def _lend(self, follower: Follower, lend: Lend, now: float) -> None:
        """Renew a lending by the scheduler's own clock, as the router echoed it.

        The term runs from when the echoed heartbeat was sent, not from when the
        answer was read: a scheduler that wakes from a pause must not take an answer
        that lay in its buffer for a fresh one.
        """
        if lend.epoch != self._epoch or not lend.echo <= now:
            return
        follower.update_clock(lend.clock, lend.echo)
        if lend.echo + LENDING_TERM_S > now:
            self._book.lend(follower.router, lend.echo + LENDING_TERM_S, now)
        for waiting in self._granting.reclaim(follower, now):
            self._queue.restore(waiting, now)
            self._watch(waiting.deadline, waiting.demand.demand_id)

    def _started(self, router: RouterName, message: Started) -> None:
        lease = self._granting.leases.held(message.lease_id, router)
        if lease is not None:
            self._granting.leases.start(lease)

    def _progress(self, router: RouterName, message: Progress, now: float) -> bool:
        """Charge what leases used; tell whether a server was judged by it."""
        judged = False
        for used in message.leases:
            lease = self._granting.leases.held(used.lease_id, router)
            if lease is None:
                continue
            self._queue.progress(lease.charge, used.service)
            if used.first_s is not None:
                self._granting.judge(lease, used, now)
                judged = True
        return judged

    def _withdraw(self, router: RouterName, message: Withdraw) -> None:
        waiting = self._queue.get(message.demand_id)
        if waiting is not None and waiting.router == router:
            self._queue.remove(message.demand_id)

    def _drop(self, router: RouterName) -> None:
        if self._followers.pop(router, None) is None:
            return
        self._book.recall(router)
        gone = [row.demand.demand_id for row in self._queue if row.router == router]
        for demand_id in gone:
            self._queue.remove(demand_id)

    def _grant(self, now: float) -> list[Send]:
        """Grant free units until none is left or nobody who waits can use one.

        A new scheduler doesn't know what routers run that it has not heard. They lend
        nothing to it, and the book fits all leases that are known into what is lent,
        so that their even share stays free for them.
        """
        self._settle(now)
        out: list[Send] = []
        while not self._stepped_down:
            send = self._granting.next_grant(self._followers, now)
            if send is None:
                break
            out.append(send)
        return out

    def _settle(self, now: float) -> None:
        if not self._settled:
            all_heard = bool(self._live) and self._live <= self._followers.keys()
            self._settled = all_heard or now - self._began >= SETTLE_S

    def _moves(self, now: float) -> list[Send]:
        if self._pool_reporter is None or not self._settled:
            return []
        out = []
        for move in self._pool_reporter.moves(now):
            waiting = self._queue.remove(move.demand_id)
            if waiting is not None:
                message = Move(self._shard, self._epoch, move.demand_id, move.target)
                out.append(Send(waiting.router, message))
        return out

    def _watch(self, deadline: float, demand_id: str) -> None:
        heapq.heappush(self._deadlines, (deadline, demand_id))

    def _refuse_hopeless(self, now: float) -> list[Send]:
        """Turn demands away as soon as their deadline can't be met any more.

        Held until the deadline they would take a unit for an answer that nobody
        waits for, or cost their caller the time to ask elsewhere.
        """
        out = []
        horizon = now + self._granting.service_times.min_s
        while self._deadlines and self._deadlines[0][0] <= horizon:
            _, demand_id = heapq.heappop(self._deadlines)
            waiting = self._queue.get(demand_id)
            if waiting is not None and waiting.deadline <= horizon:
                self._queue.remove(demand_id)
                out.append(self._refusal(waiting.router, demand_id, now))
        return out

    def _refusal(self, router: RouterName, demand_id: str, now: float) -> Send:
        message = Refuse(
            self._shard,
            self._epoch,
            demand_id,
            RefusalReason.DEADLINE_PASSED,
            self._wait_s(now),
        )
        return Send(router, message)

    def _heartbeat(self, now: float) -> Heartbeat:
        return Heartbeat(
            self._shard,
            self._epoch,
            now,
            self._book.status(now),
            len(self._queue),
            self._wait_s(now),
            self._settled,
        )

    def _wait_s(self, now: float) -> float:
        units = self._book.capacity(now)
        return self._granting.service_times.wait_s(self._queue.ahead(), units)

    def _forget(self, now: float) -> None:
        self._queue.forget_idle(now)
        if self._pool_reporter is not None:
            self._pool_reporter.forget(now)
