"""Names and small value types used by all parts of the library."""

from __future__ import annotations

import enum

from attrs import frozen

RouterName = str
WorkspaceName = str
PoolName = str
ServerName = str
DataCentreName = str


@frozen(order=True)
class ShardId:
    """Identify a shard: a group of backend servers of one pool in one data centre."""

    pool: PoolName
    data_centre: DataCentreName
    index: int

    def __str__(self) -> str:
        return f"{self.pool}/{self.data_centre}/{self.index}"


@frozen(order=True)
class Epoch:
    """Identify one period in which a router holds a scheduler's role.

    `incarnation` is that of the router, so that a restarted router never repeats an
    epoch. `term` increases each time that this incarnation acquires a role.
    """

    router: RouterName
    incarnation: int
    term: int


@frozen(order=True)
class Unit:
    """Identify one unit of a backend server's concurrency: one running request."""

    server: ServerName
    index: int


class Warmth(enum.StrEnum):
    """Describe how far a backend server has progressed from its cold start."""

    COLD = "cold"
    WARMING = "warming"
    WARM = "warm"
    FAILING = "failing"


class Outcome(enum.StrEnum):
    """Describe how a lease ended, as seen by the router that held it."""

    COMPLETED = "completed"
    CANCELLED = "cancelled"
    FAILED = "failed"
    TIMED_OUT = "timed_out"
    UNREACHABLE = "unreachable"
    DECLINED = "declined"


class Ran(enum.StrEnum):
    """Describe whether a request reached a backend server, for its caller."""

    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    RAN = "ran"


class RefusalReason(enum.StrEnum):
    """List the reasons for refusing a request without running it."""

    QUEUE_FULL = "queue_full"
    WORKSPACE_QUEUE_FULL = "workspace_queue_full"
    WAIT_TOO_LONG = "wait_too_long"
    ABOVE_SHARE = "above_share"
    DEADLINE_PASSED = "deadline_passed"
    NO_SERVERS = "no_servers"
    SHUTTING_DOWN = "shutting_down"
    NOT_READY = "not_ready"
    ROUTER_BUSY = "router_busy"
    RETRY_BUDGET = "retry_budget"
    KEY_IN_PROGRESS = "key_in_progress"
    KEY_UNVERIFIABLE = "key_unverifiable"
    KEYS_FULL = "keys_full"
    REQUEST_SUSPECTED = "request_suspected"
    SERVERS_REST = "servers_rest"
    STREAM_ORIGIN_GONE = "stream_origin_gone"
    STREAM_UNKNOWN = "stream_unknown"
    STREAM_UNCONFIRMED = "stream_unconfirmed"
    CANNOT_FINISH = "cannot_finish"
    CALL_TOO_LARGE = "call_too_large"
    CONFIGURATION_UNCONFIRMED = "configuration_unconfirmed"


class MemberState(enum.StrEnum):
    """Describe the state of a VM as the membership protocol sees it."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    DEAD = "dead"
