"""Move waiting demands to shards of the pool that would serve them sooner or fairer.

Load it answers: tenants spread unevenly over shards, and a shard that slows or drains.
Without it one shard's units idle while another's queue grows, and two workspaces
queued at different shards get very different service. Demands are withdrawn first
and resubmitted by their router, so that none is ever granted twice.
"""

from __future__ import annotations

import math
from collections.abc import Iterator

from attrs import define, frozen

from fulmarroad._fairqueue import Account, FleetQueue, Waiting
from fulmarroad._messages import ServiceReport
from fulmarroad._totals import MOVE_COSTS
from fulmarroad.types import ShardId, WorkspaceName

MAX_MOVES = 3
"""Moves of one demand; a demand that was unlucky three times stays where it is."""

FRESH_S = 2.5
"""A report older than this tells nothing of free units; a little above the interval
at which idle schedulers report."""

AHEAD_INTERVALS = 2.0
LEAST_AHEAD_S = 0.3
"""Work is sent ahead of the units that will be free until the next report, as a unit
that frees in between would idle until then; twice the interval, for reports that come
late. The least is three of the shortest intervals."""

LEAST_AHEAD_SHARE = 0.25
"""Long requests end rarely but often together, as they were granted together; then a
quarter of the units has work at hand."""

FAIR_SHARE = 0.5
"""Part of another shard's units that demands of lagging workspaces may be sent for
with each report: enough to catch up, too little to swamp it if several send."""


@frozen
class Handover:
    """Say which waiting demand goes to which shard."""

    demand_id: str
    target: ShardId


@define
class PeerShard:
    """Hold what another shard of the pool last reported, and what it may still get."""

    shard: ShardId
    capacity: int
    waiting: int
    at: float
    free_quota: int
    ahead_quota: int
    fair_quota: int
    backlogged: tuple[WorkspaceName, ...]


class Rebalancer:
    """Plan moves from this shard, a bounded number for each report heard."""

    def __init__(self, shard: ShardId) -> None:
        self._shard = shard
        self._peers: dict[ShardId, PeerShard] = {}

    def note(self, report: ServiceReport, mean_s: float, now: float) -> None:
        """Take the newest report of another shard; its quotas begin anew."""
        if report.shard == self._shard:
            return
        sources = self._sources(report.shard, now)
        unused = max(0, report.free - report.waiting)
        known = self._peers.get(report.shard)
        interval = min(FRESH_S, now - known.at) if known else 0.0
        ahead = lookahead(report.capacity, mean_s, interval)
        room = max(0, report.free + ahead - report.waiting)
        self._peers[report.shard] = PeerShard(
            report.shard,
            report.capacity,
            report.waiting,
            now,
            _shared(unused, sources),
            _shared(room, sources) - _shared(unused, sources),
            _shared(int(report.capacity * FAIR_SHARE), sources),
            tuple(entry.workspace for entry in report.entries if entry.waiting),
        )

    def wanted_elsewhere(self, now: float) -> bool:
        """Tell whether another shard has work waiting, so that free units are news."""
        return any(peer.waiting for peer in self._fresh(now))

    def plan(
        self, queue: FleetQueue, *, units: int, mean_s: float, now: float
    ) -> list[Handover]:
        """Return the moves that are due from a shard whose units are all in use."""
        if not len(queue):
            return []
        moves = self._to_free_units(queue, lookahead(units, mean_s, 0.0), now)
        taken = {move.demand_id for move in moves}
        return moves + self._to_fairer_shards(queue, taken, now)

    def drain(self, queue: FleetQueue, now: float) -> list[Handover]:
        """Return moves of every waiting demand to shards with capacity, in turn."""
        targets = [peer for peer in self._fresh(now) if peer.capacity]
        if not targets:
            return []
        targets.sort(key=lambda peer: (peer.waiting / peer.capacity, peer.shard))
        return [
            Handover(row.demand.demand_id, targets[index % len(targets)].shard)
            for index, row in enumerate(queue)
        ]

    def _to_free_units(
        self, queue: FleetQueue, own_ahead: int, now: float
    ) -> list[Handover]:
        """Send those next in line, so that no unit idles while work waits.

        A shard gets what its free units can take, and as many more as it ends before
        it is heard again; for those, as many as this shard itself ends stay here.
        """
        peers = sorted(self._fresh(now), key=self._distance)
        targets = [peer for peer in peers for _ in range(peer.free_quota)]
        spare = max(0, len(queue) - len(targets) - own_ahead)
        ahead = [peer for peer in peers for _ in range(peer.ahead_quota)]
        targets += ahead[:spare]
        if not targets:
            return []
        moves = []
        for peer, row in zip(targets, _by_turn(queue), strict=False):
            moves.append(Handover(row.demand.demand_id, peer.shard))
            if peer.free_quota:
                peer.free_quota -= 1
            else:
                peer.ahead_quota -= 1
        return moves

    def _to_fairer_shards(
        self, queue: FleetQueue, taken: set[str], now: float
    ) -> list[Handover]:
        """Send demands of lagging workspaces to where only others are served.

        A shard that serves somebody whose counter is above a lagging workspace's by
        more than the threshold would, with that workspace's demands, serve it next.
        Half of a workspace's demands stay, so that it is not sent back and forth.
        """
        moves: list[Handover] = []
        levels = self._levels(queue, now)
        for account in queue.backlogged():
            peer = self._fairer(queue, account, levels)
            if peer is None:
                continue
            rows = [row for row in account.waiting if _movable(row, taken)]
            count = min(peer.fair_quota, -(-len(account.waiting) // 2))
            for row in rows[:count]:
                moves.append(Handover(row.demand.demand_id, peer.shard))
                peer.fair_quota -= 1
        return moves

    def _levels(
        self, queue: FleetQueue, now: float
    ) -> list[tuple[float, ShardId, PeerShard]]:
        """Return the least counter that each other shard serves, highest first."""
        rows = [
            (min(queue.account(name).counter for name in peer.backlogged), peer)
            for peer in self._fresh(now)
            if peer.backlogged
        ]
        return sorted(((level, peer.shard, peer) for level, peer in rows), reverse=True)

    def _fairer(
        self,
        queue: FleetQueue,
        account: Account,
        levels: list[tuple[float, ShardId, PeerShard]],
    ) -> PeerShard | None:
        threshold = MOVE_COSTS * queue.mean_cost / account.weight
        for level, _, peer in levels:
            if level <= account.counter + threshold:
                return None
            if peer.fair_quota > 0:
                return peer
        return None

    def _distance(self, peer: PeerShard) -> tuple[bool, ShardId]:
        return peer.shard.data_centre != self._shard.data_centre, peer.shard

    def _fresh(self, now: float) -> list[PeerShard]:
        return [peer for peer in self._peers.values() if now - peer.at <= FRESH_S]

    def _sources(self, target: ShardId, now: float) -> int:
        """Return how many shards may send to a target; they share its units."""
        rivals = [
            peer for peer in self._fresh(now) if peer.waiting and peer.shard != target
        ]
        return 1 + len(rivals)


def _movable(row: Waiting, taken: set[str]) -> bool:
    return row.demand.moves < MAX_MOVES and row.demand.demand_id not in taken


def lookahead(units: int, mean_s: float, interval_s: float) -> int:
    """Return how many requests so many units end before the next report is heard."""
    if mean_s <= 0:
        return 0
    seconds = max(LEAST_AHEAD_S, AHEAD_INTERVALS * interval_s)
    return math.ceil(units * max(LEAST_AHEAD_SHARE, seconds / mean_s))


def _shared(count: int, sources: int) -> int:
    return -(-count // sources)


def _by_turn(queue: FleetQueue) -> Iterator[Waiting]:
    """Yield movable demands, one of each workspace in turn, the least served first."""
    lines = [
        iter([row for row in account.waiting if _movable(row, set())])
        for account in queue.backlogged()
    ]
    while lines:
        left = []
        for line in lines:
            row = next(line, None)
            if row is not None:
                yield row
                left.append(line)
        lines = left
