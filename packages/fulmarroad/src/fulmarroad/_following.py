"""What a router keeps of its demands, its leases and the schedulers it follows."""

from __future__ import annotations

from attrs import define, field, frozen

from fulmarroad import _messages as m
from fulmarroad._tables import BackendServer
from fulmarroad.types import (
    Epoch,
    PoolName,
    RefusalReason,
    RouterName,
    ServerName,
    ShardId,
    Unit,
    WorkspaceName,
)

SILENCE_S = 3.0
"""A scheduler that sent no heartbeat for this long is passed over.

Its heartbeats come every second; a process that is frozen closes no stream, so
without this its followers' callers would wait until membership notices.
"""

HELLO_TIMEOUT_S = 1.0

UNREACHABLE_S = 3.0
"""How long a peer whose stream broke is passed over before it is tried again.

Shorter makes followers run to and fro between two schedulers while a peer starts;
longer leaves a returned peer unused. Membership has settled within this time.
"""

PROGRESS_S = 0.5
"""Shortest time between reports of progress; in it a request uses some twenty tokens,
far less than the cost of one request, by which the gap is bounded anyway."""

PROGRESS_BYTES = 40
PROGRESS_BYTES_PER_S = 1500.0
"""Budget of progress reports. A router with 108 running requests, as expected in two
years, reports every 2.9 s; without a budget it alone would pass the control limit."""


@frozen
class Ask:
    """Hold what a scheduler needs to know of one caller's request.

    `arrived` and `deadline` are readings of this router's clock.
    """

    demand_id: str
    pool: PoolName
    workspace: WorkspaceName
    weight: float
    cost_hint: float
    arrived: float
    deadline: float
    prefix: tuple[int, ...] = ()
    repeatable: bool = True
    avoid: tuple[ServerName, ...] = ()


@frozen
class Lease:
    """Hold a grant that this router accepted."""

    lease_id: str
    shard: ShardId
    unit: Unit
    server: BackendServer
    ask: Ask
    granted: float


@frozen
class SendTo:
    """Send a message to a peer, which may be this router itself."""

    peer: RouterName
    message: m.SchedulerMessage


@frozen
class Granted:
    """Tell the request that it may run."""

    demand_id: str
    lease: Lease


@frozen
class Rejected:
    """Tell the request that it won't run."""

    demand_id: str
    reason: RefusalReason
    retry_after_s: float


Decision = SendTo | Granted | Rejected


@define
class Waiting:
    """Hold a demand that waits, and the shard that was asked."""

    ask: Ask
    shard: ShardId | None = None
    moves: int = 0

    def demand(self, now: float) -> m.Demand:
        """Return the demand as its scheduler gets it now."""
        ask = self.ask
        if self.shard is None:
            raise ValueError(f"demand {ask.demand_id} has no shard")
        return m.Demand(
            shard=self.shard,
            demand_id=ask.demand_id,
            workspace=ask.workspace,
            weight=ask.weight,
            cost_hint=ask.cost_hint,
            waited_s=max(0.0, now - ask.arrived),
            remaining_s=ask.deadline - now,
            prefix=ask.prefix,
            repeatable=ask.repeatable,
            avoid=ask.avoid,
            moves=self.moves,
        )


@define
class Running:
    """Hold a lease that runs, and what of its service was reported."""

    lease: Lease
    charged: float = 0.0
    unreported: float = 0.0
    first_s: float | None = None
    gap_s: float | None = None

    def snapshot(self, now: float) -> m.RunningLease:
        """Return the lease as a new scheduler gets it, with all service so far."""
        self.charged += self.unreported
        self.unreported = 0.0
        lease = self.lease
        return m.RunningLease(
            lease_id=lease.lease_id,
            demand_id=lease.ask.demand_id,
            workspace=lease.ask.workspace,
            unit=lease.unit,
            ran_s=now - lease.granted,
            remaining_s=lease.ask.deadline - now,
            charged=self.charged,
        )


@define
class UnreachablePeers:
    """Remember whose streams broke, to pass them over for a while."""

    _until: dict[RouterName, float] = field(factory=dict)

    def note(self, peer: RouterName, now: float) -> None:
        """Pass a peer over from now on."""
        self._until[peer] = now + UNREACHABLE_S

    def passed_over(self, peer: RouterName, now: float) -> bool:
        """Tell whether a peer is passed over."""
        return self._until.get(peer, now) > now

    def expire(self, now: float) -> bool:
        """Forget those whose time is over; tell whether there were any."""
        back = [peer for peer, until in self._until.items() if until <= now]
        for peer in back:
            del self._until[peer]
        return bool(back)


@define
class Follow:
    """Hold how this router stands with the scheduler of one shard."""

    shard: ShardId
    scheduler: RouterName | None = None
    epoch: Epoch | None = None
    hello_sent_at: float = 0.0
    last_message_at: float = 0.0
    last_used_at: float = 0.0
    heartbeat: m.Heartbeat | None = None
    handed_over: bool = False
    hints: dict[ServerName, tuple[m.ServerStatus, float]] = field(factory=dict)

    def record_hello(self, now: float) -> None:
        """Note that the scheduler is greeted and has to answer."""
        self.epoch = None
        self.hello_sent_at = now
        self.last_message_at = now

    def silent(self, now: float) -> bool:
        """Tell whether the scheduler has not been heard for too long."""
        limit = SILENCE_S if self.epoch is not None else HELLO_TIMEOUT_S
        return self.scheduler is not None and now - self.last_message_at > limit

    def hints_snapshot(self, now: float) -> tuple[m.ServerHint, ...]:
        """Return what is known of the shard's servers, as a new scheduler gets it."""
        return tuple(
            m.ServerHint(name, status.limit, status.warmth, now - at)
            for name, (status, at) in self.hints.items()
        )


@frozen
class FollowChange:
    """Say that a shard's scheduler is another router now, for the log."""

    shard: ShardId
    before: RouterName | None
    after: RouterName | None


def progress_interval(running: int) -> float:
    """Return the seconds between progress reports of a router's running leases."""
    return max(PROGRESS_S, running * PROGRESS_BYTES / PROGRESS_BYTES_PER_S)
