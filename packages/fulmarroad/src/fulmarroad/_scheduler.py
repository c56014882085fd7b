"""Grant the units of one shard to waiting demands.

The scheduler stores nothing: a new one rebuilds its state from what routers report.
The design covers schedulers that crash or are replaced without their state, schedulers
that resume after a pause, routers that disconnect while their requests run, and
messages that are duplicated, delayed or sent under an earlier epoch. A unit is granted
only while the router that owns it lends it, and a router starts a grant only if its
epoch and clock reading are valid there (`grant_valid`).
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

SETTLE_TIMEOUT_S = 0.5
"""Time after which a new scheduler is settled even if a live router sent no hello.

A hello takes a few milliseconds after a stream breaks; half a second covers a slow one.
Until the scheduler is settled it moves no demand to another shard, as most units are
not lent to it yet.
"""

HEARTBEAT_S = 1.0
"""Interval of heartbeats: half of the lending term, so one late answer does no harm.

A shorter interval costs bandwidth: heartbeats and their answers are the largest part of
the control traffic, and every router exchanges them with each scheduler of its data
centre.
"""

CLEANUP_INTERVAL_S = 10.0
"""Interval at which state of idle workspaces and silent schedulers is dropped."""


class Scheduler:
    """Grant the units of one shard to waiting demands.

    The queue selects the next demand and the book the units that may be granted. This
    class updates both from the messages of routers and returns the messages to send.
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
        self._created_at = now
        self._settled = False
        self._stepped_down = False
        self._followers: dict[RouterName, Follower] = {}
        self._granting = Granting(shard, epoch, book, queue)
        self._deadlines: list[tuple[float, str]] = []
        self._next_heartbeat_at = now
        self._next_cleanup_at = now + CLEANUP_INTERVAL_S
        self._pool_reporter: PoolReporter | None = None
        if isinstance(queue, FleetQueue):
            service_times = self._granting.service_times
            self._pool_reporter = PoolReporter(
                shard, epoch, book, queue, service_times, now
            )

    @property
    def shard(self) -> ShardId:
        """Return the shard whose units this scheduler grants."""
        return self._shard

    @property
    def epoch(self) -> Epoch:
        """Return the epoch under which grants are made."""
        return self._epoch

    @property
    def settled(self) -> bool:
        """Return whether all live routers sent a hello or `SETTLE_TIMEOUT_S` passed."""
        return self._settled

    @property
    def waiting(self) -> int:
        """Return the number of waiting demands."""
        return len(self._queue)

    @property
    def running(self) -> int:
        """Return the number of leases held."""
        return len(self._granting.leases)

    def handle(
        self, router: RouterName, message: SchedulerMessage, now: float
    ) -> list[Send]:
        """Handle a message from a router; return the messages to send."""
        if self._stepped_down:
            return []
        if isinstance(message, Started):
            self._handle_started(router, message)
            return []
        if isinstance(message, Progress):
            evaluated = self._handle_progress(router, message, now)
            return self._grant_free_units(now) if evaluated else []
        out = self._dispatch(router, message, now)
        return out + self._grant_free_units(now)

    def receive_report(self, report: ServiceReport, now: float) -> list[Send]:
        """Add the service totals of another scheduler; move demands if needed."""
        if self._stepped_down or self._pool_reporter is None:
            return []
        self._pool_reporter.receive_report(report, now)
        return self._grant_free_units(now) + self._move_demands(now)

    def link_lost(self, router: RouterName, now: float) -> list[Send]:
        """Remove a router whose stream broke, but keep its leases.

        The router resends its waiting demands to the scheduler that it follows next.
        Its running requests continue, so their units stay taken until their deadline.
        """
        self._remove_follower(router)
        for lease in self._granting.leases.of_router(router):
            self._granting.leases.mark_orphan(lease)
        return self._grant_free_units(now)

    def set_live(self, live: Collection[RouterName], now: float) -> list[Send]:
        """Set the live routers of the data centre."""
        for router in self._live.difference(live):
            self._book.mark_lost(router, now)
        self._live = frozenset(live)
        return self._grant_free_units(now)

    def set_vms(self, vms: Collection[RouterName], now: float) -> list[Send]:
        """Set the published VMs of the data centre, which own the units."""
        self._book.set_vms(vms, now)
        return self._grant_free_units(now)

    def set_peers(self, peers: int) -> None:
        """Set the number of schedulers of the pool that each report is sent to."""
        if self._pool_reporter is not None:
            self._pool_reporter.set_peers(peers)

    def set_tables(
        self,
        pool: Pool,
        servers: Sequence[BackendServer],
        available: Collection[ServerName],
        now: float,
    ) -> list[Send]:
        """Apply a change of the tables.

        If no backend server of the shard takes work (`available` is empty), its
        waiting demands are moved to other shards.
        """
        self._granting.record_changes(
            self._book.set_servers(pool, servers, available, now)
        )
        if self._pool_reporter is not None:
            self._pool_reporter.set_draining(not available)
        return self._grant_free_units(now) + self._move_demands(now)

    def tick(self, now: float) -> list[Send]:
        """Run periodic work: lease expiry, refusals, grants, moves and heartbeats."""
        if self._stepped_down:
            return []
        self._granting.expire(now)
        out = self._refuse_expiring(now)
        out += self._grant_free_units(now)
        out += self._move_demands(now)
        if now >= self._next_heartbeat_at:
            self._next_heartbeat_at = now + HEARTBEAT_S
            heartbeat = self._heartbeat(now)
            out += [Send(router, heartbeat) for router in self._followers]
        if now >= self._next_cleanup_at:
            self._next_cleanup_at = now + CLEANUP_INTERVAL_S
            self._clean_up(now)
        return out

    def report(self, now: float) -> ServiceReport | None:
        """Return the report to send to other schedulers now, or none if none is due."""
        if self._stepped_down or self._pool_reporter is None:
            return None
        return self._pool_reporter.report(now)

    def step_down(self, now: float) -> list[Send]:
        """Give up the scheduler role; after this nothing is granted."""
        self._stepped_down = True
        notice = StepDown(self._shard, self._epoch)
        return [Send(router, notice) for router in self._followers]

    def changes(self) -> list[WarmthChange]:
        """Return the warmth changes since the last call."""
        return self._granting.take_changes()

    def _dispatch(
        self, router: RouterName, message: SchedulerMessage, now: float
    ) -> list[Send]:
        if isinstance(message, Finished):
            self._granting.finish(router, message, now)
            return []
        if isinstance(message, Hello):
            return self._handle_hello(router, message, now)
        follower = self._followers.get(router)
        if follower is None:
            return []  # the hello it sends next repeats the state
        if isinstance(message, Demand):
            return self._handle_demand(router, message, now)
        if isinstance(message, Lend):
            self._handle_lend(follower, message, now)
        elif isinstance(message, Withdraw):
            self._handle_withdraw(router, message)
        elif isinstance(message, Goodbye):
            return self.link_lost(router, now)
        return []

    def _handle_hello(self, router: RouterName, hello: Hello, now: float) -> list[Send]:
        if self._is_stale(router, hello):
            return []
        self._remove_follower(router)
        self._followers[router] = Follower(router, hello.incarnation, hello.clock, now)
        for hint in hello.hints:
            self._granting.record_changes(self._book.adopt_hint(hint, now))
        self._granting.reconcile(router, hello.leases, now)
        out = [
            Send(router, Welcome(self._shard, self._epoch)),
            Send(router, self._heartbeat(now)),
        ]
        for demand in hello.demands:
            out += self._handle_demand(router, demand, now)
        return out

    def _is_stale(self, router: RouterName, hello: Hello) -> bool:
        """Return whether the router sent newer messages than this hello.

        A stale hello does not list leases that were granted after it was sent, and
        handling it would end them.
        """
        known = self._followers.get(router)
        if known is None:
            return False
        if hello.incarnation != known.incarnation:
            return hello.incarnation < known.incarnation
        return hello.clock <= known.clock

    def _handle_demand(
        self, router: RouterName, demand: Demand, now: float
    ) -> list[Send]:
        if self._granting.leases.has_demand(demand.demand_id):
            return []
        if sanitize(demand.remaining_s) <= self._granting.service_times.min_s:
            return [self._refusal(router, demand.demand_id, now)]
        if self._queue.add(demand, router, now):
            self._track_deadline(now + sanitize(demand.remaining_s), demand.demand_id)
        return []

    def _handle_lend(self, follower: Follower, lend: Lend, now: float) -> None:
        """Renew the lending of a router's units.

        The term starts at the echoed clock reading, at which the scheduler sent the
        heartbeat, and not when the answer is read: after a pause, an old answer in the
        receive buffer must not count as a new one.
        """
        if lend.epoch != self._epoch or not lend.echo <= now:
            return
        follower.update_clock(lend.clock, lend.echo)
        if lend.echo + LENDING_TERM_S > now:
            self._book.lend(follower.router, lend.echo + LENDING_TERM_S, now)
        for waiting in self._granting.reclaim_unstarted(follower, now):
            self._queue.restore(waiting, now)
            self._track_deadline(waiting.deadline, waiting.demand.demand_id)

    def _handle_started(self, router: RouterName, message: Started) -> None:
        lease = self._granting.leases.held(message.lease_id, router)
        if lease is not None:
            self._granting.leases.start(lease)

    def _handle_progress(
        self, router: RouterName, message: Progress, now: float
    ) -> bool:
        """Charge the service used; return whether a server's health was updated."""
        evaluated = False
        for used in message.leases:
            lease = self._granting.leases.held(used.lease_id, router)
            if lease is None:
                continue
            self._queue.progress(lease.charge, used.service)
            if used.first_s is not None:
                self._granting.observe_early(lease, used, now)
                evaluated = True
        return evaluated

    def _handle_withdraw(self, router: RouterName, message: Withdraw) -> None:
        waiting = self._queue.get(message.demand_id)
        if waiting is not None and waiting.router == router:
            self._queue.remove(message.demand_id)

    def _remove_follower(self, router: RouterName) -> None:
        if self._followers.pop(router, None) is None:
            return
        self._book.recall(router)
        demand_ids = [
            row.demand.demand_id for row in self._queue if row.router == router
        ]
        for demand_id in demand_ids:
            self._queue.remove(demand_id)

    def _grant_free_units(self, now: float) -> list[Send]:
        """Grant free units until none is left or no waiting demand can use one.

        A new scheduler does not know the leases of routers that have not sent a hello.
        Those routers lend it nothing, and the book counts all known leases against the
        lent units, so the even share of the other routers stays free.
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
            all_connected = bool(self._live) and self._live <= self._followers.keys()
            self._settled = all_connected or now - self._created_at >= SETTLE_TIMEOUT_S

    def _move_demands(self, now: float) -> list[Send]:
        if self._pool_reporter is None or not self._settled:
            return []
        out = []
        for move in self._pool_reporter.moves(now):
            waiting = self._queue.remove(move.demand_id)
            if waiting is not None:
                message = Move(self._shard, self._epoch, move.demand_id, move.target)
                out.append(Send(waiting.router, message))
        return out

    def _track_deadline(self, deadline: float, demand_id: str) -> None:
        heapq.heappush(self._deadlines, (deadline, demand_id))

    def _refuse_expiring(self, now: float) -> list[Send]:
        """Refuse demands as soon as their deadline can no longer be met.

        If they were kept until the deadline, they could take a unit for an answer that
        comes too late, and the caller would have no time left to try elsewhere.
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
        return self._granting.service_times.wait_s(self._queue.demands_ahead(), units)

    def _clean_up(self, now: float) -> None:
        self._queue.forget_idle(now)
        if self._pool_reporter is not None:
            self._pool_reporter.forget(now)
