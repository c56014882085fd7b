"""The router's side of scheduling: whom to ask, and which grants to believe.

Load it answers: callers of one workspace arrive unevenly at many routers, so no
router may choose a backend server by itself. It asks the scheduler of a shard and
keeps every waiting demand and running lease, from which a lost scheduler is rebuilt.
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

FOREIGN_IDLE_S = 30.0
"""A shard of another data centre that was not asked for this long is let go.

Otherwise streams from every router to every scheduler would gather over time.
"""

RETRY_AFTER_S = 1.0


class Follower:
    """Keep demands and leases, and ask the scheduler that this router follows.

    Every method takes this router's clock and returns what to do; nothing here
    touches a network.
    """

    def __init__(
        self, router: RouterName, incarnation: int, data_centre: DataCentreName
    ) -> None:
        self._router = router
        self._incarnation = incarnation
        self._data_centre = data_centre
        self._map = ShardMap()
        self._lost = UnreachablePeers()
        self._follows: dict[ShardId, Follow] = {}
        self._waiting = WaitingDemands()
        self._running = RunningLeases()
        self._changes: list[FollowChange] = []

    @property
    def schedulers(self) -> Mapping[ShardId, RouterName]:
        """Return who schedules each shard, as this router sees it."""
        return self._map.schedulers

    @property
    def follows(self) -> Mapping[ShardId, Follow]:
        """Return the shards whose schedulers this router follows."""
        return self._follows

    @property
    def waiting(self) -> int:
        """Return how many demands wait."""
        return len(self._waiting)

    @property
    def running(self) -> int:
        """Return how many leases run."""
        return len(self._running)

    @property
    def live(self) -> Mapping[DataCentreName, tuple[RouterName, ...]]:
        """Return the routers that membership believes live, by data centre."""
        return self._map.live

    def changes(self) -> list[FollowChange]:
        """Return the changes of scheduler since last asked."""
        changes, self._changes = self._changes, []
        return changes

    def centre_changes(self) -> list[CentreChange]:
        """Return the changes of data centres since last asked."""
        return self._map.changes()

    def centre_state(self, data_centre: DataCentreName) -> CentreState:
        """Return how far a data centre is in service."""
        return self._map.centre_state(data_centre)

    def wanted_peers(self) -> set[RouterName]:
        """Return the peers to which a stream must be kept."""
        peers = {follow.scheduler for follow in self._follows.values()}
        return {peer for peer in peers if peer is not None and peer != self._router}

    def estimated_wait_s(self, pool: PoolName) -> float:
        """Return the shortest wait that a shard of the pool reports, in seconds."""
        beats = [
            follow.heartbeat
            for shard, follow in self._follows.items()
            if shard.pool == pool and follow.heartbeat is not None
        ]
        return min((beat.wait_s for beat in beats), default=0.0)

    def set_tables(self, tables: Tables, now: float) -> list[Decision]:
        """Take new tables; demands of shards that are gone ask elsewhere."""
        self._map.set_tables(tables, now)
        return self._reassign(now)

    def set_live(
        self, live: Mapping[DataCentreName, tuple[RouterName, ...]], now: float
    ) -> list[Decision]:
        """Take the membership's view of live routers."""
        self._map.set_live(live)
        return self._reassign(now)

    def submit(self, ask: Ask, now: float, moves: int = 0) -> list[Decision]:
        """Ask for a lease; answer at once where no server could ever give one."""
        if not self._map.open_shards(ask.pool):
            return [Rejected(ask.demand_id, RefusalReason.NO_SERVERS, RETRY_AFTER_S)]
        waiting = Waiting(ask, moves=moves)
        self._waiting.add(waiting)
        return self._place(waiting, now)

    def withdraw(self, demand_id: str, now: float) -> list[Decision]:
        """Take a demand back."""
        waiting = self._waiting.pop(demand_id)
        if waiting is None or waiting.shard is None:
            return []
        return self._tell(waiting.shard, m.Withdraw(waiting.shard, demand_id))

    def started(self, lease_id: str, now: float) -> list[Decision]:
        """Report that the request of a lease is on its way to the backend server."""
        shard = self._running.shard_of(lease_id)
        if shard is None:
            return []
        return self._tell(shard, m.Started(shard, lease_id))

    def progress(
        self,
        lease_id: str,
        service: float,
        first_s: float | None = None,
        gap_s: float | None = None,
    ) -> None:
        """Add service that a lease used; the next report tells it."""
        self._running.use(lease_id, service, first_s, gap_s)

    def finished(self, report: m.Finished, now: float) -> list[Decision]:
        """Report the end of a lease."""
        shard = self._running.shard_of(report.lease_id)
        if shard is None:
            return []
        self._running.end(report.lease_id)
        return self._tell(shard, report)

    def handle(
        self, peer: RouterName, message: m.RouterMessage, now: float
    ) -> list[Decision]:
        """Take a message of the scheduler that is followed; ignore any other's."""
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
        return self._pass_over(peer, now)

    def link_up(self, peer: RouterName, now: float) -> list[Decision]:
        """Say hello for each shard whose scheduler this peer is."""
        decisions: list[Decision] = []
        for follow in self._follows.values():
            if follow.scheduler == peer:
                decisions += self._hello(follow, now)
        return decisions

    def link_lost(self, peer: RouterName, now: float) -> list[Decision]:
        """Turn to the next scheduler in the order of each shard."""
        return self._pass_over(peer, now)

    def tick(self, now: float) -> list[Decision]:
        """Report progress, drop what is overdue and look for silent schedulers."""
        self._map.tick(now)
        decisions = self._report_progress(now)
        decisions += self._reject_overdue(now)
        decisions += self._check_silence(now)
        decisions += self._place_unplaced(now)
        decisions += self._let_go_foreign(now)
        return decisions

    def views(self, pool: PoolName, now: float) -> list[ShardView]:
        """Return what this router knows of each shard that takes work."""
        return [self._view(shard) for shard in self._map.open_shards(pool)]

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
        shifted = [
            view for view in views if self._map.may_go(view.shard, ask.demand_id, now)
        ]
        waiting.shard = choose_shard(shifted or views, avoid=(), key=ask.demand_id)
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
            return decisions  # the hello carries the demand
        return self._tell(shard, waiting.demand(now))

    def _follow(self, shard: ShardId, now: float) -> list[Decision]:
        """Begin to follow a shard's scheduler unless that is done."""
        if shard in self._follows:
            return []
        follow = Follow(shard, self.schedulers.get(shard), last_used_at=now)
        self._follows[shard] = follow
        return self._hello(follow, now)

    def _hello(self, follow: Follow, now: float) -> list[Decision]:
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

    def _tell(self, shard: ShardId, message: m.SchedulerMessage) -> list[Decision]:
        follow = self._follows.get(shard)
        if follow is None or follow.scheduler is None:
            return []
        return [SendTo(follow.scheduler, message)]

    def _reassign(self, now: float) -> list[Decision]:
        """Work out every shard's scheduler anew and turn to those that changed."""
        self._map.assign(lambda router: self._lost.passed_over(router, now))
        decisions: list[Decision] = []
        for shard in list(self._follows):
            decisions += self._refollow(shard, now)
        for shard in self._map:
            if shard.data_centre == self._data_centre:
                decisions += self._follow(shard, now)
        return decisions + self._place_lost(now)

    def _refollow(self, shard: ShardId, now: float) -> list[Decision]:
        follow = self._follows[shard]
        known = shard in self._map
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
        return decisions + self._hello(follow, now)

    def _place_lost(self, now: float) -> list[Decision]:
        """Ask elsewhere for demands whose shard takes no more work."""
        decisions: list[Decision] = []
        for waiting in self._waiting:
            shard = waiting.shard
            if shard is None or shard in self._map.open_shards(shard.pool):
                continue
            gone = m.Withdraw(shard, waiting.ask.demand_id)
            decisions += self._tell(shard, gone)
            decisions += self._place_or_reject(waiting, now)
        return decisions

    def _place_or_reject(self, waiting: Waiting, now: float) -> list[Decision]:
        ask = waiting.ask
        if not self._map.open_shards(ask.pool):
            self._waiting.pop(ask.demand_id)
            return [Rejected(ask.demand_id, RefusalReason.NO_SERVERS, RETRY_AFTER_S)]
        return self._place(waiting, now)

    def _on_grant(
        self, peer: RouterName, follow: Follow | None, grant: m.Grant, now: float
    ) -> list[Decision]:
        waiting = self._waiting.at(grant.shard, grant.demand_id)
        following = follow.epoch if follow and follow.scheduler == peer else None
        hello_clock = follow.hello_sent_at if follow else now
        server = self._map.server(grant.unit.server)
        if (
            waiting is None
            or server is None
            or not grant_valid(grant, following, now, hello_clock)
        ):
            return self._decline(peer, grant, waiting, following, now)
        self._waiting.pop(grant.demand_id)
        lease = Lease(grant.lease_id, grant.shard, grant.unit, server, waiting.ask, now)
        self._running.add(lease)
        return [Granted(grant.demand_id, lease)]

    def _decline(
        self,
        peer: RouterName,
        grant: m.Grant,
        waiting: Waiting | None,
        following: Epoch | None,
        now: float,
    ) -> list[Decision]:
        """Give a grant back; the scheduler forgot the demand, so ask it again."""
        declined = m.Finished(grant.shard, grant.lease_id, Outcome.DECLINED, 0.0)
        decisions: list[Decision] = [SendTo(peer, declined)]
        current = following is not None and following == grant.epoch
        if waiting is not None and current:
            decisions += self._place_or_reject(waiting, now)
        return decisions

    def _on_heartbeat(
        self, follow: Follow, beat: m.Heartbeat, now: float
    ) -> list[Decision]:
        follow.heartbeat = beat
        follow.handed_over = False
        for status in beat.servers:
            # A scheduler that knows nothing of a server calls it cold; passed on as a
            # hint that would chill a warm server at the next change of hands.
            if beat.settled and status.informed:
                follow.hints[status.server] = (status, now)
        lend = m.Lend(follow.shard, beat.epoch, beat.clock, now)
        return self._tell(follow.shard, lend)

    def _on_move(self, move: m.Move, now: float) -> list[Decision]:
        waiting = self._waiting.at(move.shard, move.demand_id)
        if waiting is None:
            return []
        waiting.moves += 1
        if move.target not in self._map or move.target not in self.schedulers:
            return self._send_demand(waiting, now)
        waiting.shard = move.target
        return self._send_demand(waiting, now)

    def _on_refuse(self, refuse: m.Refuse) -> list[Decision]:
        if self._waiting.at(refuse.shard, refuse.demand_id) is None:
            return []
        self._waiting.pop(refuse.demand_id)
        return [Rejected(refuse.demand_id, refuse.reason, refuse.retry_after_s)]

    def _pass_over(self, peer: RouterName, now: float) -> list[Decision]:
        if peer == self._router:
            return []
        self._lost.note(peer, now)
        for follow in self._follows.values():
            if follow.scheduler == peer:
                follow.epoch = None
        return self._reassign(now)

    def _report_progress(self, now: float) -> list[Decision]:
        decisions: list[Decision] = []
        for progress in self._running.report(now):
            decisions += self._tell(progress.shard, progress)
        return decisions

    def _reject_overdue(self, now: float) -> list[Decision]:
        decisions: list[Decision] = []
        for waiting in self._waiting.overdue(now):
            demand_id = waiting.ask.demand_id
            decisions += self.withdraw(demand_id, now)
            reason = RefusalReason.DEADLINE_PASSED
            decisions.append(Rejected(demand_id, reason, RETRY_AFTER_S))
        return decisions

    def _check_silence(self, now: float) -> list[Decision]:
        follows = self._follows.values()
        silent = {row.scheduler for row in follows if row.silent(now)}
        decisions: list[Decision] = []
        for peer in silent - {self._router}:
            if peer is not None:
                decisions += self._pass_over(peer, now)
        if self._lost.expire(now):
            decisions += self._reassign(now)
        return decisions

    def _place_unplaced(self, now: float) -> list[Decision]:
        decisions: list[Decision] = []
        for waiting in self._waiting:
            if waiting.shard is None or waiting.shard not in self.schedulers:
                decisions += self._place(waiting, now)
        return decisions

    def _let_go_foreign(self, now: float) -> list[Decision]:
        busy = self._waiting.shards | self._running.shards
        decisions: list[Decision] = []
        for shard, follow in list(self._follows.items()):
            if shard.data_centre == self._data_centre or shard in busy:
                continue
            if now - follow.last_used_at > FOREIGN_IDLE_S:
                decisions += self._tell(shard, m.Goodbye(shard, self._router))
                del self._follows[shard]
        return decisions
