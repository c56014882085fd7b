"""Move waiting demands to shards of the pool that serve them sooner or more fairly.

Workspaces are spread unevenly over shards, and a shard can slow down or drain. Without
moves one shard's units idle while another's queue grows, and two workspaces queued at
different shards get very different service. A router withdraws a demand from its shard
before it submits it to another one, so that no demand is granted twice.
"""

from __future__ import annotations

import math
from collections.abc import Iterator

from attrs import define, frozen

from fulmarroad._fairqueue import Account, FleetQueue, Waiting
from fulmarroad._messages import ServiceReport
from fulmarroad._totals import MOVE_LAG_COSTS
from fulmarroad.types import ShardId, WorkspaceName

MAX_MOVES = 3
"""Maximum number of moves of one demand; after three it stays in its shard."""

MAX_REPORT_AGE_S = 2.5
"""Maximum age of a report that is used to plan moves.

It is slightly longer than the interval at which idle schedulers report.
"""

LOOKAHEAD_INTERVALS = 2.0
"""Report intervals for which demands are sent to units that are not free yet.

A unit that becomes free between two reports would otherwise idle until the next one.
Twice the interval allows for reports that arrive late.
"""

MIN_LOOKAHEAD_S = 0.3
"""Minimum time for which demands are sent ahead: three of the shortest intervals."""

MIN_LOOKAHEAD_SHARE = 0.25
"""Minimum number of demands sent ahead, as a fraction of the shard's units.

Long requests end rarely, but often together because they were granted together. A
quarter of the units then has demands waiting in the shard.
"""

FAIR_SHARE = 0.5
"""Demands of lagging workspaces sent per report, as a fraction of the target's units.

This lets a lagging workspace catch up without overloading the target if several shards
send to it.
"""


@frozen
class Handover:
    """Assign a waiting demand to another shard."""

    demand_id: str
    target: ShardId


@define
class PeerShard:
    """Hold the last report of another shard and the quotas left for moves to it.

    A quota is the number of demands that this shard may still send before the next
    report.
    """

    shard: ShardId
    capacity: int
    waiting: int
    at: float
    free_quota: int
    lookahead_quota: int
    fair_quota: int
    backlogged: tuple[WorkspaceName, ...]


class Rebalancer:
    """Plan moves from this shard, a bounded number per received report."""

    def __init__(self, shard: ShardId) -> None:
        self._shard = shard
        self._peers: dict[ShardId, PeerShard] = {}

    def record_report(self, report: ServiceReport, mean_s: float, now: float) -> None:
        """Store the newest report of another shard and reset the quotas for it.

        `mean_s` is the mean duration of a request, in seconds.
        """
        if report.shard == self._shard:
            return
        sources = self._count_sources(report.shard, now)
        unused = max(0, report.free - report.waiting)
        known = self._peers.get(report.shard)
        interval = min(MAX_REPORT_AGE_S, now - known.at) if known else 0.0
        ahead = lookahead(report.capacity, mean_s, interval)
        expected_free = max(0, report.free + ahead - report.waiting)
        self._peers[report.shard] = PeerShard(
            report.shard,
            report.capacity,
            report.waiting,
            now,
            _split_evenly(unused, sources),
            _split_evenly(expected_free, sources) - _split_evenly(unused, sources),
            _split_evenly(int(report.capacity * FAIR_SHARE), sources),
            tuple(entry.workspace for entry in report.entries if entry.waiting),
        )

    def has_demand_elsewhere(self, now: float) -> bool:
        """Return whether another shard has demands that free units could serve."""
        return any(peer.waiting for peer in self._recent_peers(now))

    def plan(
        self, queue: FleetQueue, *, units: int, mean_s: float, now: float
    ) -> list[Handover]:
        """Return the moves from this shard, whose units are all in use.

        `units` is the number of this shard's units and `mean_s` the mean duration of a
        request, in seconds.
        """
        if not len(queue):
            return []
        moves = self._moves_to_free_units(queue, lookahead(units, mean_s, 0.0), now)
        already_moved = {move.demand_id for move in moves}
        return moves + self._moves_to_fairer_shards(queue, already_moved, now)

    def drain(self, queue: FleetQueue, now: float) -> list[Handover]:
        """Return moves of all waiting demands, round-robin to shards with capacity."""
        targets = [peer for peer in self._recent_peers(now) if peer.capacity]
        if not targets:
            return []
        targets.sort(key=lambda peer: (peer.waiting / peer.capacity, peer.shard))
        return [
            Handover(row.demand.demand_id, targets[index % len(targets)].shard)
            for index, row in enumerate(queue)
        ]

    def _moves_to_free_units(
        self, queue: FleetQueue, own_lookahead: int, now: float
    ) -> list[Handover]:
        """Return moves of the next demands to shards with units free now or soon.

        A shard gets a demand for each free unit, and one for each request that it is
        expected to complete before its next report. Demands of the latter kind are sent
        only if this shard itself is not expected to serve them in the same time.
        """
        peers = sorted(self._recent_peers(now), key=self._locality_key)
        targets = [peer for peer in peers for _ in range(peer.free_quota)]
        spare = max(0, len(queue) - len(targets) - own_lookahead)
        ahead = [peer for peer in peers for _ in range(peer.lookahead_quota)]
        targets += ahead[:spare]
        if not targets:
            return []
        moves = []
        for peer, row in zip(targets, _round_robin(queue), strict=False):
            moves.append(Handover(row.demand.demand_id, peer.shard))
            if peer.free_quota:
                peer.free_quota -= 1
            else:
                peer.lookahead_quota -= 1
        return moves

    def _moves_to_fairer_shards(
        self, queue: FleetQueue, already_moved: set[str], now: float
    ) -> list[Handover]:
        """Return moves of lagging workspaces' demands to shards that serve others.

        A shard qualifies if the lowest counter among the workspaces waiting there is
        above the lagging workspace's counter by more than the threshold: it would serve
        the lagging workspace next. At most half of a workspace's demands, rounded
        up, are moved at a time, so that they do not move back and forth.
        """
        moves: list[Handover] = []
        levels = self._lowest_counters(queue, now)
        for account in queue.backlogged():
            peer = self._find_fairer_peer(queue, account, levels)
            if peer is None:
                continue
            rows = [row for row in account.waiting if _movable(row, already_moved)]
            count = min(peer.fair_quota, -(-len(account.waiting) // 2))
            for row in rows[:count]:
                moves.append(Handover(row.demand.demand_id, peer.shard))
                peer.fair_quota -= 1
        return moves

    def _lowest_counters(
        self, queue: FleetQueue, now: float
    ) -> list[tuple[float, ShardId, PeerShard]]:
        """Return the lowest counter among each shard's workspaces, highest first."""
        rows = [
            (min(queue.account(name).counter for name in peer.backlogged), peer)
            for peer in self._recent_peers(now)
            if peer.backlogged
        ]
        return sorted(((level, peer.shard, peer) for level, peer in rows), reverse=True)

    def _find_fairer_peer(
        self,
        queue: FleetQueue,
        account: Account,
        levels: list[tuple[float, ShardId, PeerShard]],
    ) -> PeerShard | None:
        threshold = MOVE_LAG_COSTS * queue.mean_cost / account.weight
        for level, _, peer in levels:
            if level <= account.counter + threshold:
                return None
            if peer.fair_quota > 0:
                return peer
        return None

    def _locality_key(self, peer: PeerShard) -> tuple[bool, ShardId]:
        return peer.shard.data_centre != self._shard.data_centre, peer.shard

    def _recent_peers(self, now: float) -> list[PeerShard]:
        return [
            peer for peer in self._peers.values() if now - peer.at <= MAX_REPORT_AGE_S
        ]

    def _count_sources(self, target: ShardId, now: float) -> int:
        """Return the number of shards that may send to a target and share its units."""
        others = [
            peer
            for peer in self._recent_peers(now)
            if peer.waiting and peer.shard != target
        ]
        return 1 + len(others)


def _movable(row: Waiting, already_moved: set[str]) -> bool:
    return row.demand.moves < MAX_MOVES and row.demand.demand_id not in already_moved


def lookahead(units: int, mean_s: float, interval_s: float) -> int:
    """Return how many requests are expected to end before the next report."""
    if mean_s <= 0:
        return 0
    seconds = max(MIN_LOOKAHEAD_S, LOOKAHEAD_INTERVALS * interval_s)
    return math.ceil(units * max(MIN_LOOKAHEAD_SHARE, seconds / mean_s))


def _split_evenly(count: int, sources: int) -> int:
    return -(-count // sources)


def _round_robin(queue: FleetQueue) -> Iterator[Waiting]:
    """Yield movable demands round-robin by workspace, the least served first."""
    queues = [
        iter([row for row in account.waiting if _movable(row, set())])
        for account in queue.backlogged()
    ]
    while queues:
        left = []
        for rows in queues:
            row = next(rows, None)
            if row is not None:
                yield row
                left.append(rows)
        queues = left
