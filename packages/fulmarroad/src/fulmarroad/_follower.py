"""Request leases from shard schedulers, and validate the grants they return.

The callers of one workspace are spread unevenly over many routers, so a router cannot
choose a backend server on its own: it asks the scheduler of a shard. The router keeps
every waiting demand and running lease, from which the successor of a lost scheduler
rebuilds its state.
"""

from __future__ import annotations

from collections.abc import Mapping

from fulmarroad import _messages as m
from fulmarroad._following import (
    Ask,
    Decision,
    Follow,
    FollowChange,
    Granted,
    Lease,
    Rejected,
    SendTo,
    UnreachablePeers,
    Waiting,
)
from fulmarroad._running import RunningLeases
from fulmarroad._shardmap import ShardMap
from fulmarroad._tables import Tables
from fulmarroad._waiting import WaitingDemands
from fulmarroad.placement import ShardView, choose_shard
from fulmarroad.scheduling import grant_valid
from fulmarroad.shifting import CentreChange, CentreState
from fulmarroad.types import (
    DataCentreName,
    Epoch,
    Outcome,
    PoolName,
    RefusalReason,
    RouterName,
    ShardId,
)

REMOTE_SHARD_IDLE_S = 30.0
"""How long a shard of another data centre is followed after its last demand.

Without a limit every router would in time keep a stream to every scheduler.
"""

RETRY_AFTER_S = 1.0
"""Delay before a retry that is suggested to a caller whose request is rejected here."""


class Follower:
    """Keep this router's demands and leases, and request leases from schedulers.

    Methods take `now` in seconds of this router's clock and return the decisions to
    carry out. The class does no I/O.
    """

    def __init__(
        self, router: RouterName, incarnation: int, data_centre: DataCentreName
    ) -> None:
        self._router = router
        self._incarnation = incarnation
        self._data_centre = data_centre
        self._shard_map = ShardMap()
        self._unreachable = UnreachablePeers()
        self._follows: dict[ShardId, Follow] = {}
        self._waiting = WaitingDemands()
        self._running = RunningLeases()
        self._changes: list[FollowChange] = []

    @property
    def schedulers(self) -> Mapping[ShardId, RouterName]:
        """Return the scheduler of each shard in this router's view."""
        return self._shard_map.schedulers

    @property
    def follows(self) -> Mapping[ShardId, Follow]:
        """Return the shards whose schedulers this router follows."""
        return self._follows

    @property
    def waiting(self) -> int:
        """Return the number of waiting demands."""
        return len(self._waiting)

    @property
    def running(self) -> int:
        """Return the number of running leases."""
        return len(self._running)

    @property
    def live(self) -> Mapping[DataCentreName, tuple[RouterName, ...]]:
        """Return the routers that are live according to membership, by data centre."""
        return self._shard_map.live

    def changes(self) -> list[FollowChange]:
        """Return the scheduler changes since the last call."""
        changes, self._changes = self._changes, []
        return changes

    def centre_changes(self) -> list[CentreChange]:
        """Return the data centre state changes since the last call."""
        return self._shard_map.changes()

    def centre_state(self, data_centre: DataCentreName) -> CentreState:
        """Return the service state of a data centre."""
        return self._shard_map.centre_state(data_centre)

    def wanted_peers(self) -> set[RouterName]:
        """Return the peers to which this router must keep a stream open."""
        peers = {follow.scheduler for follow in self._follows.values()}
        return {peer for peer in peers if peer is not None and peer != self._router}

    def estimated_wait_s(self, pool: PoolName) -> float:
        """Return the shortest wait that a shard of the pool reports, in seconds.

        Return 0 if no heartbeat of the pool has been received.
        """
        heartbeats = [
            follow.heartbeat
            for shard, follow in self._follows.items()
            if shard.pool == pool and follow.heartbeat is not None
        ]
        return min((heartbeat.wait_s for heartbeat in heartbeats), default=0.0)

    def set_tables(self, tables: Tables, now: float) -> list[Decision]:
        """Apply new tables, and place demands of removed shards elsewhere."""
        self._shard_map.set_tables(tables, now)
        return self._reassign_shards(now)

    def set_live(
        self, live: Mapping[DataCentreName, tuple[RouterName, ...]], now: float
    ) -> list[Decision]:
        """Apply the membership's view of live routers."""
        self._shard_map.set_live(live)
        return self._reassign_shards(now)

    def submit(self, ask: Ask, now: float, moves: int = 0) -> list[Decision]:
        """Request a lease; reject at once if no server of the pool takes new work."""
        if not self._shard_map.open_shards(ask.pool):
            return [Rejected(ask.demand_id, RefusalReason.NO_SERVERS, RETRY_AFTER_S)]
        waiting = Waiting(ask, moves=moves)
        self._waiting.add(waiting)
        return self._place(waiting, now)

    def withdraw(self, demand_id: str, now: float) -> list[Decision]:
        """Withdraw a waiting demand."""
        waiting = self._waiting.pop(demand_id)
        if waiting is None or waiting.shard is None:
            return []
        return self._send_to_scheduler(
            waiting.shard, m.Withdraw(waiting.shard, demand_id)
        )

    def started(self, lease_id: str, now: float) -> list[Decision]:
        """Report that the request of a lease was sent to its backend server."""
        shard = self._running.shard_of(lease_id)
        if shard is None:
            return []
        return self._send_to_scheduler(shard, m.Started(shard, lease_id))

    def progress(
        self,
        lease_id: str,
        service: float,
        first_s: float | None = None,
        gap_s: float | None = None,
    ) -> None:
        """Add service used by a lease, to be sent with the next progress report."""
        self._running.add_service(lease_id, service, first_s, gap_s)

    def finished(self, report: m.Finished, now: float) -> list[Decision]:
        """Remove a running lease and report its end to its scheduler."""
        shard = self._running.shard_of(report.lease_id)
        if shard is None:
            return []
        self._running.end(report.lease_id)
        return self._send_to_scheduler(shard, report)

    def handle(
        self, peer: RouterName, message: m.RouterMessage, now: float
    ) -> list[Decision]:
        """Handle a message from a scheduler.

        Messages of a router that is not the followed scheduler, or of another epoch,
        are ignored; such grants are declined.
        """
        follow = self._follows.get(message.shard)
        if isinstance(message, m.Grant):
            return self._on_grant(peer, follow, message, now)
        if follow is None or follow.scheduler != peer:
            return []
        if isinstance(message, m.Welcome):
            follow.epoch = message.epoch
            follow.last_message_at = now
            return []
        if follow.epoch != message.epoch:
            return []
        follow.last_message_at = now
        if isinstance(message, m.Heartbeat):
            return self._on_heartbeat(follow, message, now)
        if isinstance(message, m.Move):
            return self._on_move(message, now)
        if isinstance(message, m.Refuse):
            return self._on_refuse(message)
        follow.handed_over = True
        return self._replace_scheduler(peer, now)

    def link_up(self, peer: RouterName, now: float) -> list[Decision]:
        """Send a `Hello` for each shard that this peer schedules."""
        decisions: list[Decision] = []
        for follow in self._follows.values():
            if follow.scheduler == peer:
                decisions += self._send_hello(follow, now)
        return decisions

    def link_lost(self, peer: RouterName, now: float) -> list[Decision]:
        """Move the shards of a peer whose stream broke to another scheduler."""
        return self._replace_scheduler(peer, now)

    def tick(self, now: float) -> list[Decision]:
        """Report progress, reject overdue demands and replace silent schedulers."""
        self._shard_map.tick(now)
        decisions = self._report_progress(now)
        decisions += self._reject_overdue(now)
        decisions += self._replace_silent_schedulers(now)
        decisions += self._place_unplaced(now)
        decisions += self._unfollow_idle_remote_shards(now)
        return decisions

    def views(self, pool: PoolName, now: float) -> list[ShardView]:
        """Return this router's view of each shard of a pool that takes new work."""
        return [self._view(shard) for shard in self._shard_map.open_shards(pool)]

    def _view(self, shard: ShardId) -> ShardView:
        follow = self._follows.get(shard)
        return ShardView(
            shard=shard,
            heartbeat=follow.heartbeat if follow is not None else None,
            own_centre=shard.data_centre == self._data_centre,
            reachable=shard in self.schedulers,
            prefix_blocks=0,
        )

    def _place(self, waiting: Waiting, now: float) -> list[Decision]:
        ask = waiting.ask
        views = self.views(ask.pool, now)
        accepting = [
            view
            for view in views
            if self._shard_map.accepts_request(view.shard, ask.demand_id, now)
        ]
        waiting.shard = choose_shard(accepting or views, avoid=(), key=ask.demand_id)
        if waiting.shard is None:
            return []
        return self._send_demand(waiting, now)

    def _send_demand(self, waiting: Waiting, now: float) -> list[Decision]:
        shard = waiting.shard
        if shard is None:
            return []
        decisions = self._follow(shard, now)
        follow = self._follows[shard]
        follow.last_used_at = now
        if decisions:
            return decisions  # the Hello carries the demand
        return self._send_to_scheduler(shard, waiting.demand(now))

    def _follow(self, shard: ShardId, now: float) -> list[Decision]:
        """Follow a shard's scheduler, unless this router already does."""
        if shard in self._follows:
            return []
        follow = Follow(shard, self.schedulers.get(shard), last_used_at=now)
        self._follows[shard] = follow
        return self._send_hello(follow, now)

    def _send_hello(self, follow: Follow, now: float) -> list[Decision]:
        if follow.scheduler is None:
            return []
        shard = follow.shard
        hello = m.Hello(
            shard=shard,
            router=self._router,
            incarnation=self._incarnation,
            data_centre=self._data_centre,
            clock=now,
            demands=self._waiting.snapshot(shard, now),
            leases=self._running.snapshot(shard, now),
            hints=follow.hints_snapshot(now),
            handed_over=follow.handed_over,
        )
        follow.record_hello(now)
        return [SendTo(follow.scheduler, hello)]

    def _send_to_scheduler(
        self, shard: ShardId, message: m.SchedulerMessage
    ) -> list[Decision]:
        follow = self._follows.get(shard)
        if follow is None or follow.scheduler is None:
            return []
        return [SendTo(follow.scheduler, message)]

    def _reassign_shards(self, now: float) -> list[Decision]:
        """Recompute every shard's scheduler, and follow those that changed."""
        self._shard_map.assign(
            lambda router: self._unreachable.is_unreachable(router, now)
        )
        decisions: list[Decision] = []
        for shard in list(self._follows):
            decisions += self._update_follow(shard, now)
        for shard in self._shard_map:
            if shard.data_centre == self._data_centre:
                decisions += self._follow(shard, now)
        return decisions + self._place_from_closed_shards(now)

    def _update_follow(self, shard: ShardId, now: float) -> list[Decision]:
        follow = self._follows[shard]
        known = shard in self._shard_map
        scheduler = self.schedulers.get(shard) if known else None
        if known and scheduler == follow.scheduler:
            return []
        decisions: list[Decision] = []
        if follow.scheduler is not None:
            goodbye = m.Goodbye(shard, self._router)
            decisions.append(SendTo(follow.scheduler, goodbye))
        self._changes.append(FollowChange(shard, follow.scheduler, scheduler))
        if not known:
            del self._follows[shard]
            return decisions
        follow.scheduler = scheduler
        follow.epoch = None
        follow.heartbeat = None
        return decisions + self._send_hello(follow, now)

    def _place_from_closed_shards(self, now: float) -> list[Decision]:
        """Move demands whose shard takes no more work to another shard."""
        decisions: list[Decision] = []
        for waiting in self._waiting:
            shard = waiting.shard
            if shard is None or shard in self._shard_map.open_shards(shard.pool):
                continue
            withdrawal = m.Withdraw(shard, waiting.ask.demand_id)
            decisions += self._send_to_scheduler(shard, withdrawal)
            decisions += self._place_or_reject(waiting, now)
        return decisions

    def _place_or_reject(self, waiting: Waiting, now: float) -> list[Decision]:
        ask = waiting.ask
        if not self._shard_map.open_shards(ask.pool):
            self._waiting.pop(ask.demand_id)
            return [Rejected(ask.demand_id, RefusalReason.NO_SERVERS, RETRY_AFTER_S)]
        return self._place(waiting, now)

    def _on_grant(
        self, peer: RouterName, follow: Follow | None, grant: m.Grant, now: float
    ) -> list[Decision]:
        waiting = self._waiting.at(grant.shard, grant.demand_id)
        followed_epoch = follow.epoch if follow and follow.scheduler == peer else None
        hello_sent_at = follow.hello_sent_at if follow else now
        server = self._shard_map.server(grant.unit.server)
        if (
            waiting is None
            or server is None
            or not grant_valid(grant, followed_epoch, now, hello_sent_at)
        ):
            return self._decline(peer, grant, waiting, followed_epoch, now)
        self._waiting.pop(grant.demand_id)
        lease = Lease(grant.lease_id, grant.shard, grant.unit, server, waiting.ask, now)
        self._running.add(lease)
        return [Granted(grant.demand_id, lease)]

    def _decline(
        self,
        peer: RouterName,
        grant: m.Grant,
        waiting: Waiting | None,
        followed_epoch: Epoch | None,
        now: float,
    ) -> list[Decision]:
        """Return a grant, and submit its demand again.

        A scheduler drops a demand when it grants it. The demand is not submitted again
        for a grant of an outdated epoch.
        """
        declined = m.Finished(grant.shard, grant.lease_id, Outcome.DECLINED, 0.0)
        decisions: list[Decision] = [SendTo(peer, declined)]
        current = followed_epoch is not None and followed_epoch == grant.epoch
        if waiting is not None and current:
            decisions += self._place_or_reject(waiting, now)
        return decisions

    def _on_heartbeat(
        self, follow: Follow, heartbeat: m.Heartbeat, now: float
    ) -> list[Decision]:
        follow.heartbeat = heartbeat
        follow.handed_over = False
        for status in heartbeat.servers:
            # A scheduler without information about a server reports it as cold. Passed
            # on as a hint, that would make the next scheduler treat a warm server as
            # cold.
            if heartbeat.settled and status.informed:
                follow.hints[status.server] = (status, now)
        lend = m.Lend(follow.shard, heartbeat.epoch, heartbeat.clock, now)
        return self._send_to_scheduler(follow.shard, lend)

    def _on_move(self, move: m.Move, now: float) -> list[Decision]:
        waiting = self._waiting.at(move.shard, move.demand_id)
        if waiting is None:
            return []
        waiting.moves += 1
        if move.target not in self._shard_map or move.target not in self.schedulers:
            return self._send_demand(waiting, now)
        waiting.shard = move.target
        return self._send_demand(waiting, now)

    def _on_refuse(self, refuse: m.Refuse) -> list[Decision]:
        if self._waiting.at(refuse.shard, refuse.demand_id) is None:
            return []
        self._waiting.pop(refuse.demand_id)
        return [Rejected(refuse.demand_id, refuse.reason, refuse.retry_after_s)]

    def _replace_scheduler(self, peer: RouterName, now: float) -> list[Decision]:
        if peer == self._router:
            return []
        self._unreachable.mark_unreachable(peer, now)
        for follow in self._follows.values():
            if follow.scheduler == peer:
                follow.epoch = None
        return self._reassign_shards(now)

    def _report_progress(self, now: float) -> list[Decision]:
        decisions: list[Decision] = []
        for progress in self._running.report(now):
            decisions += self._send_to_scheduler(progress.shard, progress)
        return decisions

    def _reject_overdue(self, now: float) -> list[Decision]:
        decisions: list[Decision] = []
        for waiting in self._waiting.overdue(now):
            demand_id = waiting.ask.demand_id
            decisions += self.withdraw(demand_id, now)
            reason = RefusalReason.DEADLINE_PASSED
            decisions.append(Rejected(demand_id, reason, RETRY_AFTER_S))
        return decisions

    def _replace_silent_schedulers(self, now: float) -> list[Decision]:
        follows = self._follows.values()
        silent = {row.scheduler for row in follows if row.is_silent(now)}
        decisions: list[Decision] = []
        for peer in silent - {self._router}:
            if peer is not None:
                decisions += self._replace_scheduler(peer, now)
        if self._unreachable.expire(now):
            decisions += self._reassign_shards(now)
        return decisions

    def _place_unplaced(self, now: float) -> list[Decision]:
        decisions: list[Decision] = []
        for waiting in self._waiting:
            if waiting.shard is None or waiting.shard not in self.schedulers:
                decisions += self._place(waiting, now)
        return decisions

    def _unfollow_idle_remote_shards(self, now: float) -> list[Decision]:
        in_use = self._waiting.shards | self._running.shards
        decisions: list[Decision] = []
        for shard, follow in list(self._follows.items()):
            if shard.data_centre == self._data_centre or shard in in_use:
                continue
            if now - follow.last_used_at > REMOTE_SHARD_IDLE_S:
                decisions += self._send_to_scheduler(
                    shard, m.Goodbye(shard, self._router)
                )
                del self._follows[shard]
        return decisions
