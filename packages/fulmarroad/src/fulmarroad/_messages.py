"""Typed messages between routers.

Times inside a message are durations in seconds or readings of the clock of the
router that is named in the field's comment; no two routers compare clocks.
"""

from __future__ import annotations

from attrs import field, frozen

from fulmarroad.types import (
    DataCentreName,
    Epoch,
    MemberState,
    Outcome,
    RefusalReason,
    RouterName,
    ServerName,
    ShardId,
    Unit,
    Warmth,
    WorkspaceName,
)


@frozen
class ServerHint:
    """Tell a new scheduler what the former one last said of a backend server."""

    server: ServerName
    limit: int
    warmth: Warmth
    age_s: float


@frozen
class RunningLease:
    """Tell a new scheduler of a request that already runs."""

    lease_id: str
    demand_id: str
    workspace: WorkspaceName
    unit: Unit
    ran_s: float
    remaining_s: float
    charged: float


@frozen
class Demand:
    """Ask a shard's scheduler for a lease.

    `weight` is the workspace's, `cost_hint` a rough guess in service units that
    is charged at the grant and corrected at the end, `prefix` the hashes of
    the prompt's leading blocks from short to long, `waited_s` the time since the
    caller's request arrived, `remaining_s` the time to its deadline. `repeatable`
    false marks a call that is never sent twice; `avoid` lists backend servers that
    already failed this request.
    """

    shard: ShardId
    demand_id: str
    workspace: WorkspaceName
    weight: float
    cost_hint: float
    waited_s: float
    remaining_s: float
    prefix: tuple[int, ...] = ()
    repeatable: bool = True
    avoid: tuple[ServerName, ...] = ()
    moves: int = 0


@frozen
class Hello:
    """Begin to follow a scheduler; waiting demands and running leases come along."""

    shard: ShardId
    router: RouterName
    incarnation: int
    data_centre: DataCentreName
    clock: float  # the sender's clock
    demands: tuple[Demand, ...] = ()
    leases: tuple[RunningLease, ...] = ()
    hints: tuple[ServerHint, ...] = ()
    handed_over: bool = False  # the former scheduler stepped down in good order


@frozen
class Lend:
    """Renew the lending of the sender's units; answers a scheduler's heartbeat."""

    shard: ShardId
    epoch: Epoch
    echo: float  # the scheduler's clock, from its heartbeat
    clock: float  # the sender's clock


@frozen
class Withdraw:
    """Take a waiting demand back, for its caller left or its deadline passed."""

    shard: ShardId
    demand_id: str


@frozen
class Started:
    """Confirm that the request of a lease has been sent to its backend server."""

    shard: ShardId
    lease_id: str


@frozen
class ServiceUsed:
    """Give the service that one running lease used since the last report.

    Once, when an answer has got far enough to judge its server by, the time to its
    first byte and the mean time between chunks come along, in seconds.
    """

    lease_id: str
    service: float
    first_s: float | None = None
    gap_s: float | None = None


@frozen
class Progress:
    """Report the service that running leases of a shard used."""

    shard: ShardId
    leases: tuple[ServiceUsed, ...]


@frozen
class Finished:
    """Report the end of a lease.

    `service` is the whole cost of the request in service units, which replaces
    what was charged so far. `first_s` and `gap_s` are the time to the first byte of the
    answer and the mean time between chunks, in seconds, where they were seen.
    """

    shard: ShardId
    lease_id: str
    outcome: Outcome
    service: float
    first_s: float | None = None
    gap_s: float | None = None
    total_s: float = 0.0
    cached_prefix: int = 0  # leading blocks that the engine said it had cached


@frozen
class Goodbye:
    """Stop following a scheduler; nothing of the sender waits or runs there."""

    shard: ShardId
    router: RouterName


@frozen
class Welcome:
    """Answer a hello with the epoch under which grants will come."""

    shard: ShardId
    epoch: Epoch


@frozen
class Grant:
    """Lease one unit of a backend server to one demand.

    The router starts it only while its own clock is below `echo + start_within_s`.
    """

    shard: ShardId
    epoch: Epoch
    lease_id: str
    demand_id: str
    unit: Unit
    echo: float  # the clock of the router that gets the grant, as last heard
    start_within_s: float


@frozen
class Move:
    """Hand a waiting demand back to its router, to be asked of another shard."""

    shard: ShardId
    epoch: Epoch
    demand_id: str
    target: ShardId


@frozen
class Refuse:
    """Turn a waiting demand away at once; it was not run."""

    shard: ShardId
    epoch: Epoch
    demand_id: str
    reason: RefusalReason
    retry_after_s: float


@frozen
class ServerStatus:
    """Describe a backend server as its scheduler sees it now.

    `informed` is false while the scheduler has neither seen an answer of the server nor
    heard from its predecessor, so that its word is no hint for a successor.
    """

    server: ServerName
    warmth: Warmth
    limit: int
    running: int
    usable: int
    informed: bool = True


@frozen
class Heartbeat:
    """Show that a scheduler lives, and how its shard stands."""

    shard: ShardId
    epoch: Epoch
    clock: float  # the scheduler's clock, echoed by `Lend`
    servers: tuple[ServerStatus, ...] = ()
    waiting: int = 0
    wait_s: float = 0.0  # the wait that a new demand would meet, estimated
    settled: bool = True


@frozen
class StepDown:
    """Give the role up in good order; followers turn to the next scheduler."""

    shard: ShardId
    epoch: Epoch


@frozen
class ServiceEntry:
    """Give the service of one backlogged workspace at one scheduler.

    `served` is cumulative over the epoch and weighted, so that a report that
    arrives twice or late adds nothing; `lag` is the workspace's counter above the
    least active one, which seeds a scheduler that did not know the workspace.
    """

    workspace: WorkspaceName
    served: float
    lag: float
    waiting: int


@frozen
class ServiceReport:
    """Spread a scheduler's service totals to the pool's other schedulers."""

    shard: ShardId
    epoch: Epoch
    sequence: int
    free: int
    capacity: int
    waiting: int
    entries: tuple[ServiceEntry, ...] = ()


@frozen
class TablesWanted:
    """Ask a peer for the tables that it has in force, without the parts known."""

    above: int
    known: tuple[str, ...] = ()  # SHA-256 of the parts that the asker holds


@frozen
class TablesGiven:
    """Give the manifest in force and the parts asked for; empty if not newer."""

    version: int
    manifest: bytes = b""
    parts: dict[str, bytes] = field(factory=dict)


@frozen
class KeyRecorded:
    """Describe a key's record as a group member holds it."""

    state: str = "absent"  # absent, started, finished, fenced, unable
    attempt: str = ""
    fence: int = 0
    status: int = 0
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    fingerprint: str = ""
    reason: str = ""


@frozen
class KeyStart:
    """Ask a group member to record that an attempt is about to be sent.

    `group` is the key's group as the asker's VM list gives it.
    """

    workspace: WorkspaceName
    key: str
    attempt: str
    fingerprint: str
    fence: int
    group: tuple[RouterName, ...] = ()


@frozen
class KeyFence:
    """Ask a group member to refuse every attempt below a fence from now on.

    Equal fences are ordered by the attempts that set them, so that no two are the same.
    """

    workspace: WorkspaceName
    key: str
    fence: int
    fingerprint: str
    attempt: str = ""
    group: tuple[RouterName, ...] = ()


@frozen
class KeyFinish:
    """Store an attempt's outcome at a group member.

    `whole` is false if the answer was too long to be kept for a repeat.
    """

    workspace: WorkspaceName
    key: str
    attempt: str
    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    outcome: str = "finished"  # finished, unknown or not_run
    fingerprint: str = ""
    whole: bool = True


@frozen
class KeyCopyWanted:
    """Ask a group member for the records that it shares with the asker, by page.

    `vms` are the data centre's VMs as the asker's list gives them.
    """

    data_centre: DataCentreName
    after: str = ""
    limit: int = 256
    asker: RouterName = ""
    vms: tuple[RouterName, ...] = ()


@frozen
class KeyEntry:
    """Carry one record of a copy."""

    workspace: WorkspaceName
    key: str
    age_s: float
    record: KeyRecorded


@frozen
class KeyCopyGiven:
    """Give one page of records; `ready` is false while the giver has no memory.

    `basis` is the VM list by which the giver knows every key of its groups.
    """

    ready: bool
    entries: tuple[KeyEntry, ...] = ()
    last: str = ""
    more: bool = False
    basis: tuple[RouterName, ...] = ()


@frozen
class MemberUpdate:
    """Spread what is believed of one VM."""

    router: RouterName
    incarnation: int
    state: MemberState
    data_centre: DataCentreName = ""
    host: str = ""
    peer_port: int = 0
    gossip_port: int = 0


@frozen
class Ping:
    """Probe a member; `table_version` rides along."""

    sequence: int
    sender: RouterName
    incarnation: int
    table_version: int
    updates: tuple[MemberUpdate, ...] = ()
    target: RouterName = ""


@frozen
class PingRequest:
    """Ask a member to probe another one that did not answer."""

    sequence: int
    sender: RouterName
    target: RouterName
    table_version: int
    updates: tuple[MemberUpdate, ...] = ()


@frozen
class Ack:
    """Answer a probe, for oneself or for the target of a ping request."""

    sequence: int
    sender: RouterName
    target: RouterName
    incarnation: int
    table_version: int
    updates: tuple[MemberUpdate, ...] = ()


@frozen
class MembersWanted:
    """Ask a member for a page of what it believes, by name after `after`."""

    sequence: int
    sender: RouterName
    table_version: int
    after: RouterName = ""
    updates: tuple[MemberUpdate, ...] = ()


@frozen
class MembersGiven:
    """Give a page of members that are not dead; `last` is where the next one starts."""

    sequence: int
    sender: RouterName
    table_version: int
    updates: tuple[MemberUpdate, ...] = ()
    last: RouterName = ""
    more: bool = False


SchedulerMessage = (
    Hello | Demand | Withdraw | Lend | Started | Progress | Finished | Goodbye
)
RouterMessage = Welcome | Grant | Move | Refuse | Heartbeat | StepDown
MembershipMessage = Ping | PingRequest | Ack | MembersWanted | MembersGiven
