"""Service totals between the schedulers of a pool.

Load it answers: a workspace whose requests are queued at several shards, or at
another shard than its rival's. Without totals every shard is fair by itself, and a
workspace is served once per shard it reaches; an operator would see service differ
by the number of shards. Nothing is agreed on: each scheduler tells cumulative sums
under its own epoch, so that a report that is lost, doubled or late does no harm.
"""

from __future__ import annotations

import math

from attrs import define, field

from fulmarroad._fairqueue import Account, FleetQueue
from fulmarroad._messages import ServiceEntry, ServiceReport
from fulmarroad.types import Epoch, ShardId, WorkspaceName

CONTROL_BYTES_S = 2500.0
"""Bytes a second that one scheduler may spend on reports, of 7 KB a second in all."""

REPORT_BYTES = 100
ENTRY_BYTES = 48
"""Sizes on the wire, measured with the codec and names of 16 letters."""

BURST_BYTES = 2 * CONTROL_BYTES_S
"""Unspent budget that is kept: news after a quiet time goes out at once."""

MAX_ENTRIES = 64
"""Entries in one report; what is left out is told next, the largest change first."""

MOVE_COSTS = 2.0
"""Costs by which a workspace must lag before its demands move for fairness' sake.

One cost of difference is normal between two grants; at two, the next grant at the
other shard would still go to somebody served more.
"""

LEAST_FIRST = 8
"""The least served are always told of: whom a shard serves next decides what others
send to it."""

MIN_INTERVAL_S = 0.1
"""Reports are no closer than this: below it the gap is ruled by request cost."""

IDLE_INTERVAL_S = 2.0
"""A scheduler without news tells its free units this often."""

ACTIVE_S = 5.0
"""A workspace counts as backlogged elsewhere this long after it was last told.

Longer than two idle intervals, so that one lost report doesn't end it.
"""

CUT_S = 5.0
"""Silence of a scheduler after which its service counts as told late."""

YOUNG_S = 2.0
"""Time in which a workspace that is new here takes its counter from reports."""

FORGET_S = 2 * 3600.0
"""Sums of a silent scheduler are kept this long; regions are cut off for an hour."""

MAX_EPOCHS = 128
"""Schedulers remembered; a pool of today's largest size has some 20 shards."""


@define
class _Heard:
    """Hold what one scheduler last told of one workspace."""

    sequence: int
    served: float
    at: float
    era: int


@define
class _Peer:
    """Hold what was heard from one scheduler, under one epoch."""

    shard: ShardId
    at: float
    sequence: int = -1
    resumed: float = -math.inf
    entries: dict[WorkspaceName, _Heard] = field(factory=dict)


@define
class _Told:
    served: float
    at: float


def report_size(entries: int) -> int:
    """Return the bytes of a report to one peer."""
    return REPORT_BYTES + ENTRY_BYTES * min(entries, MAX_ENTRIES)


def spread_interval(peers: int, entries: int) -> float:
    """Return the mean seconds between reports that the control budget allows."""
    return max(MIN_INTERVAL_S, peers * report_size(entries) / CONTROL_BYTES_S)


def gap_bound(
    *,
    units: int,
    shards: int,
    rate: float,
    interval_s: float,
    delay_s: float,
    largest_cost: float,
    estimate_error: float,
    min_weight: float = 1.0,
) -> float:
    """Return the largest gap in weighted service between two backlogged workspaces.

    The gap is what the one was served more than the other over any interval in which
    both were backlogged throughout. `units` and `rate` (service units a second) are
    the pool's, `estimate_error` the largest difference between a grant's estimate and
    the cost found later. The parts, each a worst case:

    - `2 * largest_cost`: each of the two may be one grant ahead of the other.
    - `2 * units * (largest_cost + estimate_error)`: a grant is charged before it is
      rendered and corrected after it; all units may hold leases of the one workspace
      at the interval's beginning and of the other at its end.
    - `4 * rate * (interval_s + delay_s)`: what other schedulers gave and has not been
      told yet, for both; once more for counters seeded at different times, and once
      more until demands have moved.
    - `(units + MOVE_COSTS) * largest_cost`: leases granted at once before a workspace
      was first told of, and the difference below which demands stay at their shard.
      The last two are missing where the pool has one shard.

    It holds while reports arrive and demands may move. During a cut it holds on each
    side; afterwards the gap closes at the rate that `REPAY` gives.
    """
    grants = 2 * largest_cost + 2 * units * (largest_cost + estimate_error)
    if shards <= 1:
        return grants / min_weight
    untold = 4 * rate * (interval_s + delay_s)
    moves = (units + MOVE_COSTS) * largest_cost
    return (grants + untold + moves) / min_weight


def _is_sane(entry: ServiceEntry) -> bool:
    return math.isfinite(entry.served) and math.isfinite(entry.lag)


def _is_young(account: Account, now: float) -> bool:
    return now - account.began <= YOUNG_S


class Totals:
    """Count service that other schedulers gave, and tell them what was given here."""

    def __init__(self, shard: ShardId, epoch: Epoch, queue: FleetQueue) -> None:
        self._shard = shard
        self._epoch = epoch
        self._queue = queue
        self._peers: dict[Epoch, _Peer] = {}
        self._told: dict[WorkspaceName, _Told] = {}

    def knows(self, epoch: Epoch) -> bool:
        """Tell whether a scheduler was heard before, or is this one."""
        return epoch in self._peers or epoch == self._epoch

    def receive_report(self, report: ServiceReport, now: float) -> bool:
        """Count a report; return false for one's own, or one that is not the newest."""
        if report.epoch == self._epoch:
            return False
        peer = self._peers.get(report.epoch)
        if peer is None:
            peer = self._peers[report.epoch] = _Peer(report.shard, now)
            self._make_room()
        if now - peer.at > CUT_S:
            peer.resumed = now
        peer.at = now
        rows = [row for row in report.entries if _is_sane(row)]
        base = self._anchor(rows, now)
        for entry in rows:
            self._count(peer, report.sequence, entry, base, now)
        newest = report.sequence > peer.sequence
        peer.sequence = max(peer.sequence, report.sequence)
        return newest

    def active_peer_count(self, now: float) -> int:
        """Return how many schedulers were heard of lately."""
        return sum(1 for peer in self._peers.values() if now - peer.at < ACTIVE_S)

    def entries(self, now: float, limit: int = MAX_ENTRIES) -> tuple[ServiceEntry, ...]:
        """Return what to tell: the least served, then the largest change first."""
        base = self._queue.reference(now)
        rows = self._newsworthy(now)
        first = min(LEAST_FIRST, -(-limit // 2))
        rows[first:] = sorted(
            rows[first:], key=lambda row: self._urgency(row, now), reverse=True
        )
        told = rows[:limit]
        for account in told:
            self._told[account.name] = _Told(account.served, now)
        return tuple(
            ServiceEntry(
                account.name,
                account.served,
                account.counter - base,
                len(account.waiting),
            )
            for account in told
        )

    def pending_entries(self, now: float) -> int:
        """Return how many workspaces the next report would tell of."""
        return self._queue.ahead() + len(self._served_for_others(now))

    def forget(self, now: float) -> None:
        """Drop what was heard of schedulers that are long silent."""
        for epoch in [e for e, p in self._peers.items() if now - p.at > FORGET_S]:
            del self._peers[epoch]
        old = [n for n, told in self._told.items() if now - told.at > FORGET_S]
        for name in old:
            del self._told[name]

    def _newsworthy(self, now: float) -> list[Account]:
        """Return the workspaces that belong into a report, the least served first.

        One that is backlogged only elsewhere counts as well if it was served here:
        it would otherwise be served here on top of its share.
        """
        return self._queue.backlogged() + self._served_for_others(now)

    def _served_for_others(self, now: float) -> list[Account]:
        rows = []
        for account in self._queue.backlogged_elsewhere(now):
            told = self._told.get(account.name)
            if account.served != (told.served if told else 0.0):
                rows.append(account)
        return rows

    def _urgency(self, account: Account, now: float) -> tuple[float, float]:
        """Return the age of what was told once that is stale, then the change."""
        told = self._told.get(account.name)
        if told is None:
            return math.inf, 0.0
        age = now - told.at
        stale = age if age > ACTIVE_S / 2 else 0.0
        return stale, abs(account.served - told.served)

    def _anchor(self, entries: list[ServiceEntry], now: float) -> float:
        """Return the counter here that a lag of 0 there corresponds to.

        It is found from workspaces that both know well; without any, the least
        served of both count as equal.
        """
        offsets = []
        for entry in entries:
            account = self._queue.account(entry.workspace)
            if account.active(now) and (account.seeded or not _is_young(account, now)):
                offsets.append(account.counter - entry.lag)
        if offsets:
            return sum(offsets) / len(offsets)
        return self._queue.reference(now)

    def _count(
        self,
        peer: _Peer,
        sequence: int,
        entry: ServiceEntry,
        base: float,
        now: float,
    ) -> None:
        heard = peer.entries.get(entry.workspace)
        if heard is not None and sequence <= heard.sequence:
            return
        account = self._queue.account(entry.workspace)
        if entry.waiting and not account.active(now):
            account.reset_to_floor(self._queue.reference(now), now)
        if entry.waiting and not account.seeded and _is_young(account, now):
            self._queue.seed(account, base + entry.lag)
        elif heard is not None and heard.era == account.era:
            late = heard.at < peer.resumed
            self._add(account, entry.served - heard.served, late=late)
        if entry.waiting:
            self._queue.mark_active(account, now + ACTIVE_S)
        peer.entries[entry.workspace] = _Heard(sequence, entry.served, now, account.era)

    def _add(self, account: Account, service: float, *, late: bool) -> None:
        """Count service; what was told late is owed and paid back bit by bit.

        After a long cut the sum may be worth minutes of service. Counted at once it
        would starve the workspace here for minutes, though it did nothing wrong.
        """
        if late and service > 0:
            account.owed += service
        else:
            self._queue.add_remote(account, service)

    def _make_room(self) -> None:
        while len(self._peers) > MAX_EPOCHS:
            oldest = min(self._peers, key=lambda epoch: self._peers[epoch].at)
            del self._peers[oldest]
