"""State of a router's demands, its leases and the schedulers that it follows."""

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
"""How long a scheduler may send nothing before its followers replace it.

Schedulers send a heartbeat every second. A frozen process does not close its streams,
so without this timeout callers would wait until membership detects the failure.
"""

HELLO_TIMEOUT_S = 1.0
"""How long a scheduler may take to answer a `Hello` before it is replaced."""

UNREACHABLE_S = 3.0
"""How long a peer whose stream broke is not used as a scheduler.

A shorter time makes followers alternate between two schedulers while a peer starts; a
longer one leaves a recovered peer unused. Membership converges within this time.
"""

PROGRESS_S = 0.5
"""Minimum interval between progress reports.

A request uses about twenty tokens in this time, far less than the cost of one request,
which bounds the fairness gap in any case.
"""

PROGRESS_BYTES = 40
"""Size of one lease in a progress report."""

PROGRESS_BYTES_PER_S = 1500.0
"""Maximum rate of progress reports of one router.

A router with 108 running requests, the load expected in two years, reports every 2.9 s.
Without this limit its progress reports alone would exceed the limit on control traffic.
"""


@frozen
class Ask:
    """Describe one caller's request to a scheduler.

    `arrived` and `deadline` are in seconds of this router's clock.
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
    """Hold a grant that this router accepted.

    `granted` is the time of acceptance, in seconds of this router's clock.
    """

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
    """Answer a request with the lease under which it may run."""

    demand_id: str
    lease: Lease


@frozen
class Rejected:
    """Answer a request that will not run with the reason."""

    demand_id: str
    reason: RefusalReason
    retry_after_s: float


Decision = SendTo | Granted | Rejected


@define
class Waiting:
    """Hold a waiting demand and the shard to which it was submitted."""

    ask: Ask
    shard: ShardId | None = None
    moves: int = 0

    def demand(self, now: float) -> m.Demand:
        """Return the message that submits the demand to its shard.

        Raise `ValueError` if no shard has been chosen.
        """
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
    """Hold a running lease with its reported and unreported service."""

    lease: Lease
    charged: float = 0.0
    unreported: float = 0.0
    first_s: float | None = None
    gap_s: float | None = None

    def snapshot(self, now: float) -> m.RunningLease:
        """Return the lease for a new scheduler, and mark all service as reported."""
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
    """Hold the peers whose streams broke, which are not used for `UNREACHABLE_S`."""

    _until: dict[RouterName, float] = field(factory=dict)

    def mark_unreachable(self, peer: RouterName, now: float) -> None:
        """Mark a peer as unreachable from `now` on."""
        self._until[peer] = now + UNREACHABLE_S

    def is_unreachable(self, peer: RouterName, now: float) -> bool:
        """Return whether a peer is marked as unreachable."""
        return self._until.get(peer, now) > now

    def expire(self, now: float) -> bool:
        """Remove marks that have expired, and return whether there were any."""
        expired = [peer for peer, until in self._until.items() if until <= now]
        for peer in expired:
            del self._until[peer]
        return bool(expired)


@define
class Follow:
    """Hold this router's relation to the scheduler of one shard.

    `epoch` is `None` until the scheduler has answered the last `Hello`. Times are in
    seconds of this router's clock.
    """

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
        """Record that a `Hello` was sent and a `Welcome` is expected."""
        self.epoch = None
        self.hello_sent_at = now
        self.last_message_at = now

    def is_silent(self, now: float) -> bool:
        """Return whether the scheduler has sent nothing for too long."""
        limit = SILENCE_S if self.epoch is not None else HELLO_TIMEOUT_S
        return self.scheduler is not None and now - self.last_message_at > limit

    def hints_snapshot(self, now: float) -> tuple[m.ServerHint, ...]:
        """Return hints about the shard's servers for a new scheduler."""
        return tuple(
            m.ServerHint(name, status.limit, status.warmth, now - at)
            for name, (status, at) in self.hints.items()
        )


@frozen
class FollowChange:
    """Record a change of a shard's scheduler, for the log."""

    shard: ShardId
    before: RouterName | None
    after: RouterName | None


def progress_interval(running: int) -> float:
    """Return the interval between progress reports of `running` leases, in seconds."""
    return max(PROGRESS_S, running * PROGRESS_BYTES / PROGRESS_BYTES_PER_S)
