"""Typed messages between routers.

Times inside a message are durations in seconds or readings of the clock of the
router that is named in the field's comment; clocks of two routers are never compared.
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
    """Report to a new scheduler a backend server's last status from the former one."""

    server: ServerName
    limit: int
    warmth: Warmth
    age_s: float


@frozen
class RunningLease:
    """Report to a new scheduler a request that is already running."""

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

    `weight` is the workspace's weight. `cost_hint` is a rough estimate in service
    units that is charged at the grant and corrected at the end. `prefix` holds the
    hashes of the prompt's leading blocks, from short to long. `waited_s` is the time
    since the caller's request arrived, `remaining_s` the time to its deadline.
    `repeatable` is false for a call that is never sent twice. `avoid` lists backend
    servers that already failed this request.
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
    """Start following a scheduler; include waiting demands and running leases."""

    shard: ShardId
    router: RouterName
    incarnation: int
    data_centre: DataCentreName
    clock: float  # the sender's clock
    demands: tuple[Demand, ...] = ()
    leases: tuple[RunningLease, ...] = ()
    hints: tuple[ServerHint, ...] = ()
    handed_over: bool = False  # the former scheduler stepped down cleanly


@frozen
class Lend:
    """Renew the lending of the sender's units, in answer to a scheduler's heartbeat."""

    shard: ShardId
    epoch: Epoch
    echo: float  # the scheduler's clock, from its heartbeat
    clock: float  # the sender's clock


@frozen
class Withdraw:
    """Withdraw a waiting demand whose caller disconnected or whose deadline passed."""

    shard: ShardId
    demand_id: str


@frozen
class Started:
    """Confirm that the request of a lease has been sent to its backend server."""

    shard: ShardId
    lease_id: str


@frozen
class ServiceUsed:
    """Report the service that one running lease used since the last report.

    `first_s` and `gap_s` are the time to the answer's first byte and the mean time
    between chunks, in seconds. They are sent once, when enough of the answer has
    arrived to assess the backend server.
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
    answer and the mean time between chunks, in seconds, if they were measured.
    """

    shard: ShardId
    lease_id: str
    outcome: Outcome
    service: float
    first_s: float | None = None
    gap_s: float | None = None
    total_s: float = 0.0
    cached_prefix: int = 0  # leading blocks that the engine reported as cached


@frozen
class Goodbye:
    """Stop following a scheduler, which drops the sender's demands, not its leases."""

    shard: ShardId
    router: RouterName


@frozen
class Welcome:
    """Answer a `Hello` with the epoch of the grants that will follow."""

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
    echo: float  # last known clock of the router that receives the grant
    start_within_s: float


@frozen
class Move:
    """Return a waiting demand to its router, which then asks another shard."""

    shard: ShardId
    epoch: Epoch
    demand_id: str
    target: ShardId


@frozen
class Refuse:
    """Refuse a waiting demand at once; its request was not run."""

    shard: ShardId
    epoch: Epoch
    demand_id: str
    reason: RefusalReason
    retry_after_s: float


@frozen
class ServerStatus:
    """Describe a backend server as its scheduler sees it now.

    `informed` is false while the scheduler has neither seen an answer of the server nor
    received the former scheduler's status; the next scheduler must not use this status
    as a hint.
    """

    server: ServerName
    warmth: Warmth
    limit: int
    running: int
    usable: int
    informed: bool = True


@frozen
class Heartbeat:
    """Announce that a scheduler is alive, with the state of its shard."""

    shard: ShardId
    epoch: Epoch
    clock: float  # the scheduler's clock, echoed by `Lend`
    servers: tuple[ServerStatus, ...] = ()
    waiting: int = 0
    wait_s: float = 0.0  # estimated wait of a new demand
    settled: bool = True


@frozen
class StepDown:
    """Release the scheduler role cleanly; followers switch to the next scheduler."""

    shard: ShardId
    epoch: Epoch


@frozen
class ServiceEntry:
    """Report the service of one backlogged workspace at one scheduler.

    `served` is cumulative over the epoch and weighted, so that a report that
    arrives twice or late adds nothing. `lag` is the workspace's counter minus the
    lowest active one; a scheduler that did not know the workspace initialises its
    counter from it.
    """

    workspace: WorkspaceName
    served: float
    lag: float
    waiting: int


@frozen
class ServiceReport:
    """Send a scheduler's service totals to the pool's other schedulers."""

    shard: ShardId
    epoch: Epoch
    sequence: int
    free: int
    capacity: int
    waiting: int
    entries: tuple[ServiceEntry, ...] = ()


@frozen
class TablesRequest:
    """Ask a peer for its tables in force, without the parts that the sender holds."""

    above: int
    known: tuple[str, ...] = ()  # SHA-256 of the parts that the sender holds


@frozen
class TablesReply:
    """Return the manifest in force and the requested parts; empty if not newer."""

    version: int
    manifest: bytes = b""
    parts: dict[str, bytes] = field(factory=dict)


@frozen
class KeyRecorded:
    """Describe a key's record at a group member."""

    state: str = "absent"  # a value of `KeyState`
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

    `group` is the key's group according to the sender's VM list.
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

    `whole` is false if the answer was too long to be stored for a repeat.
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
class KeyCopyRequest:
    """Ask a group member for a page of the records of groups that `asker` is also in.

    `vms` are the data centre's VMs according to the sender's list.
    """

    data_centre: DataCentreName
    after: str = ""
    limit: int = 256
    asker: RouterName = ""
    vms: tuple[RouterName, ...] = ()


@frozen
class KeyEntry:
    """Hold one key's record in a `KeyCopyReply` and the record's age."""

    workspace: WorkspaceName
    key: str
    age_s: float
    record: KeyRecorded


@frozen
class KeyCopyReply:
    """Return one page of records; `ready` is false while the sender may lack some.

    `basis` is the VM list for which the sender knows every key of its groups.
    """

    ready: bool
    entries: tuple[KeyEntry, ...] = ()
    last: str = ""
    more: bool = False
    basis: tuple[RouterName, ...] = ()


@frozen
class MemberUpdate:
    """Report the believed state of one VM."""

    router: RouterName
    incarnation: int
    state: MemberState
    data_centre: DataCentreName = ""
    host: str = ""
    peer_port: int = 0
    gossip_port: int = 0


@frozen
class Ping:
    """Probe a member; `table_version` is the version of the sender's tables."""

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
    """Answer a probe, for the sender itself or for the target of a ping request."""

    sequence: int
    sender: RouterName
    target: RouterName
    incarnation: int
    table_version: int
    updates: tuple[MemberUpdate, ...] = ()


@frozen
class MembersRequest:
    """Ask a member for a page of its member list, of names sorted after `after`."""

    sequence: int
    sender: RouterName
    table_version: int
    after: RouterName = ""
    updates: tuple[MemberUpdate, ...] = ()


@frozen
class MembersReply:
    """Return a page of members that are not dead; the next one starts after `last`."""

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
MembershipMessage = Ping | PingRequest | Ack | MembersRequest | MembersReply
