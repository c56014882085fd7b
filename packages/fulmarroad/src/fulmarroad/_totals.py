"""Exchange of service totals between the schedulers of a pool.

It handles workspaces whose requests are queued at several shards, or at another shard
than those of a competing workspace. Without totals each shard is fair only on its own,
and a workspace gets a full share at every shard it uses; operators would see service
grow with the number of shards. No consensus is needed: each scheduler sends cumulative
sums under its own epoch, so lost, duplicate or late reports do no harm.
"""

from __future__ import annotations

import math

from attrs import define, field

from fulmarroad._fairqueue import Account, FleetQueue
from fulmarroad._messages import ServiceEntry, ServiceReport
from fulmarroad.types import Epoch, ShardId, WorkspaceName

CONTROL_BYTES_S = 2500.0
"""Bytes per second for the reports of one scheduler, out of 7 KB in total."""

REPORT_BYTES = 100
ENTRY_BYTES = 48
"""Encoded sizes in bytes, for names of 16 letters."""

BURST_BYTES = 2 * CONTROL_BYTES_S
"""Unspent budget that accumulates, so that changes after a quiet period are sent at
once."""

MAX_ENTRIES = 64
"""Entries per report; the next one sends the rest, the largest change first."""

MOVE_LAG_COSTS = 2.0
"""Lag, in request costs, from which demands of a workspace move to another shard.

A lag of one cost is normal between two grants. At two, the next grant of the other
shard would still go to a workspace that was served more.
"""

MIN_LEAST_SERVED = 8
"""Number of least served workspaces that every report contains; other shards use them
to choose the demands that they send here."""

MIN_INTERVAL_S = 0.1
"""Minimum seconds between reports; below it the cost of single requests determines the
gap."""

IDLE_INTERVAL_S = 2.0
"""Seconds between reports of free units while no totals change."""

ACTIVE_S = 5.0
"""Seconds for which a workspace counts as backlogged elsewhere after a report.

It is longer than two idle intervals, so that one lost report doesn't end the backlog.
"""

SILENCE_S = 5.0
"""Seconds without a report after which a scheduler's next service counts as late."""

SEED_WINDOW_S = 2.0
"""Seconds during which a workspace that is new here takes its counter from reports."""

FORGET_S = 2 * 3600.0
"""Seconds to keep sums of a silent scheduler; a region may be cut off for an hour."""

MAX_EPOCHS = 128
"""Maximum number of schedulers kept; the largest pools have some 20 shards."""


@define
class _ReceivedEntry:
    """Hold the last entry received from one scheduler for one workspace."""

    sequence: int
    served: float
    at: float
    era: int


@define
class _Peer:
    """Hold what one scheduler reported under one epoch."""

    shard: ShardId
    at: float
    sequence: int = -1
    resumed_at: float = -math.inf
    entries: dict[WorkspaceName, _ReceivedEntry] = field(factory=dict)


@define
class _SentEntry:
    served: float
    at: float


def report_size(entries: int) -> int:
    """Return the size in bytes of a report to one peer."""
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

    The gap is how much more service one of them received than the other, over any
    interval in which both were backlogged throughout. `units` and `rate` (service
    units a second) are those of the pool. `estimate_error` is the largest difference
    between the estimate of a grant and its actual cost. The bound adds these worst
    cases:

    - `2 * largest_cost`: each of the two may be one grant ahead of the other.
    - `2 * units * (largest_cost + estimate_error)`: a grant is charged before the
      service and corrected after it; all units may hold leases of one workspace at
      the beginning of the interval and of the other at its end.
    - `4 * rate * (interval_s + delay_s)`: service by other schedulers that is not
      reported yet, for both workspaces; once more for counters seeded at different
      times, and once more until demands have moved.
    - `(units + MOVE_LAG_COSTS) * largest_cost`: leases granted before the first report
      of a workspace arrived, and the lag below which demands don't move.

    The last two are left out if the pool has one shard.

    The bound holds while reports arrive and demands may move. During a network
    partition it holds on each side; afterwards the gap closes at the rate set by
    `DEBT_SURCHARGE`.
    """
    grants = 2 * largest_cost + 2 * units * (largest_cost + estimate_error)
    if shards <= 1:
        return grants / min_weight
    unreported = 4 * rate * (interval_s + delay_s)
    moves = (units + MOVE_LAG_COSTS) * largest_cost
    return (grants + unreported + moves) / min_weight


def _is_finite(entry: ServiceEntry) -> bool:
    return math.isfinite(entry.served) and math.isfinite(entry.lag)


def _is_new(account: Account, now: float) -> bool:
    return now - account.era_start <= SEED_WINDOW_S


class Totals:
    """Add service reported by other schedulers and report the service given here."""

    def __init__(self, shard: ShardId, epoch: Epoch, queue: FleetQueue) -> None:
        self._shard = shard
        self._epoch = epoch
        self._queue = queue
        self._peers: dict[Epoch, _Peer] = {}
        self._sent: dict[WorkspaceName, _SentEntry] = {}

    def knows(self, epoch: Epoch) -> bool:
        """Return whether a scheduler has reported before or is this one."""
        return epoch in self._peers or epoch == self._epoch

    def receive_report(self, report: ServiceReport, now: float) -> bool:
        """Apply a report; return false if it is an own one or not the newest."""
        if report.epoch == self._epoch:
            return False
        peer = self._peers.get(report.epoch)
        if peer is None:
            peer = self._peers[report.epoch] = _Peer(report.shard, now)
            self._evict_oldest_peers()
        if now - peer.at > SILENCE_S:
            peer.resumed_at = now
        peer.at = now
        rows = [row for row in report.entries if _is_finite(row)]
        base = self._zero_lag_counter(rows, now)
        for entry in rows:
            self._apply_entry(peer, report.sequence, entry, base, now)
        newest = report.sequence > peer.sequence
        peer.sequence = max(peer.sequence, report.sequence)
        return newest

    def active_peer_count(self, now: float) -> int:
        """Return how many schedulers sent a report within `ACTIVE_S`."""
        return sum(1 for peer in self._peers.values() if now - peer.at < ACTIVE_S)

    def entries(self, now: float, limit: int = MAX_ENTRIES) -> tuple[ServiceEntry, ...]:
        """Return the entries to send: the least served first, then by priority."""
        base = self._queue.reference_counter(now)
        rows = self._reportable(now)
        first = min(MIN_LEAST_SERVED, -(-limit // 2))
        rows[first:] = sorted(
            rows[first:], key=lambda row: self._report_priority(row, now), reverse=True
        )
        sent = rows[:limit]
        for account in sent:
            self._sent[account.name] = _SentEntry(account.served, now)
        return tuple(
            ServiceEntry(
                account.name,
                account.served,
                account.counter - base,
                len(account.waiting),
            )
            for account in sent
        )

    def pending_entries(self, now: float) -> int:
        """Return how many workspaces the next report would contain without a limit."""
        return self._queue.demands_ahead() + len(self._unreported_remote(now))

    def forget(self, now: float) -> None:
        """Drop sums that were received or sent more than `FORGET_S` ago."""
        for epoch in [e for e, p in self._peers.items() if now - p.at > FORGET_S]:
            del self._peers[epoch]
        old = [n for n, sent in self._sent.items() if now - sent.at > FORGET_S]
        for name in old:
            del self._sent[name]

    def _reportable(self, now: float) -> list[Account]:
        """Return the workspaces to report: first the backlogged by least service.

        A workspace that is backlogged only elsewhere is included if it was served
        here; otherwise it would get that service on top of its share.
        """
        return self._queue.backlogged() + self._unreported_remote(now)

    def _unreported_remote(self, now: float) -> list[Account]:
        rows = []
        for account in self._queue.backlogged_elsewhere(now):
            sent = self._sent.get(account.name)
            if account.served != (sent.served if sent else 0.0):
                rows.append(account)
        return rows

    def _report_priority(self, account: Account, now: float) -> tuple[float, float]:
        """Return the age of the last sent entry, or 0 if recent, and the change."""
        sent = self._sent.get(account.name)
        if sent is None:
            return math.inf, 0.0
        age = now - sent.at
        stale = age if age > ACTIVE_S / 2 else 0.0
        return stale, abs(account.served - sent.served)

    def _zero_lag_counter(self, entries: list[ServiceEntry], now: float) -> float:
        """Return the local counter that corresponds to a lag of 0 at the sender.

        It is the mean over workspaces with settled counters at both schedulers. If
        there is none, the least served workspaces of both are treated as equal.
        """
        offsets = []
        for entry in entries:
            account = self._queue.account(entry.workspace)
            if account.active(now) and (account.seeded or not _is_new(account, now)):
                offsets.append(account.counter - entry.lag)
        if offsets:
            return sum(offsets) / len(offsets)
        return self._queue.reference_counter(now)

    def _apply_entry(
        self,
        peer: _Peer,
        sequence: int,
        entry: ServiceEntry,
        base: float,
        now: float,
    ) -> None:
        last = peer.entries.get(entry.workspace)
        if last is not None and sequence <= last.sequence:
            return
        account = self._queue.account(entry.workspace)
        if entry.waiting and not account.active(now):
            account.reset_to_floor(self._queue.reference_counter(now), now)
        if entry.waiting and not account.seeded and _is_new(account, now):
            self._queue.seed(account, base + entry.lag)
        elif last is not None and last.era == account.era:
            late = last.at < peer.resumed_at
            self._add_service(account, entry.served - last.served, late=late)
        if entry.waiting:
            self._queue.mark_active(account, now + ACTIVE_S)
        peer.entries[entry.workspace] = _ReceivedEntry(
            sequence, entry.served, now, account.era
        )

    def _add_service(self, account: Account, service: float, *, late: bool) -> None:
        """Add service at once, or as a debt repaid gradually if it was reported late.

        After a long network partition the sum may amount to minutes of service.
        Adding it at once would starve the workspace here for minutes through no fault
        of its own.
        """
        if late and service > 0:
            account.debt += service
        else:
            self._queue.add_remote(account, service)

    def _evict_oldest_peers(self) -> None:
        while len(self._peers) > MAX_EPOCHS:
            oldest = min(self._peers, key=lambda epoch: self._peers[epoch].at)
            del self._peers[oldest]
