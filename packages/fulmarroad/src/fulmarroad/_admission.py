"""Admission control: which requests are queued, for how long, and which are refused.

Load patterns: a burst, a flood by one workspace, saturation. An unbounded queue grows
until every request in it has missed its deadline, and capacity is spent on answers that
no caller waits for any more; callers see timeouts instead of refusals. With a single
bound for all workspaces, one that floods fills the queue and the others are refused
because of its load. A request is therefore refused at once when its wait would exceed
its time limit, and the limit of each workspace shrinks as the queue fills.

All counts are local to one router, so that a refusal needs no message. The schedulers
ensure fairness between workspaces; this module bounds memory and refuses requests that
would miss their deadlines.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from itertools import islice

import xxhash
from attrs import define, frozen

from fulmarroad._tables import Route, Workspace
from fulmarroad.types import PoolName, RefusalReason, WorkspaceName

MAX_WAITING = 1024
"""Maximum number of requests that wait at one router. One router's part of the peak
(3,100 requests a second over 370 routers) over the usual maximum wait of 30 s is 250
requests; four times that absorbs a burst, and takes 8 MB at 8 KB of body each."""

FREE_SPACE_FACTOR = 1.0
"""Queue limit of a workspace, as a multiple of the free places in the queue. With 1, a
single flood stops at half of the queue, and k floods leave one part in k + 1 free, so
that small workspaces can always queue requests. Weights don't count here: they decide
the order of service, and a flood by a workspace of high weight must not fill the
queue."""

MIN_QUEUE_PER_WORKSPACE = 2
"""Requests that every workspace may queue however full the queue is, as long as any
place is free."""

MAX_SCANNED = 16
"""Number of the oldest requests that are searched for one that will miss its deadline.
Refusals must stay cheap in a flood, and the oldest requests have the least time
left."""

SHED_WAIT_RATIO = 2.0
"""Ratio of the remaining wait to the time left above which `shed` refuses a waiting
request. Estimates from heartbeats are wrong by up to about this factor."""

RETRY_AFTER_JITTER = 0.5
"""Maximum increase of Retry-After, as a fraction of it. The hash of the request's id
determines the increase, so that callers that were refused together don't retry
together."""

MIN_RETRY_AFTER_S = 1.0
"""Minimum Retry-After: the header counts whole seconds."""

MAX_RETRY_AFTER_S = 120.0
"""Maximum Retry-After: estimates further ahead are not reliable."""

NO_SERVERS_RETRY_AFTER_S = 5.0
"""Retry-After while no server takes work: a table change takes effect within 5 s."""


@frozen
class LoadView:
    """Describe the load of a pool as a router knows it when a request arrives.

    `wait_s` is the shortest wait that the pool's schedulers estimate, `servers` the
    number of backend servers that take work, and `remaining_s` the time to the
    request's own deadline (infinite if the caller set none).
    """

    pool: PoolName
    wait_s: float
    servers: int
    remaining_s: float = math.inf


@frozen
class Refusal:
    """Describe the refusal of a request that was not run."""

    reason: RefusalReason
    retry_after_s: float


@define
class _Waiting:
    workspace: WorkspaceName
    pool: PoolName
    queued_at: float
    deadline: float


class Admission:
    """Limit the requests that wait at one router, per workspace and in total."""

    def __init__(self, max_waiting: int = MAX_WAITING) -> None:
        self._max_waiting = max_waiting
        self._waiting: OrderedDict[str, _Waiting] = OrderedDict()  # oldest first
        self._by_workspace: dict[WorkspaceName, OrderedDict[str, _Waiting]] = {}
        self._wait_s: dict[PoolName, float] = {}
        self._shed: list[tuple[str, Refusal]] = []

    @property
    def waiting(self) -> int:
        """Return the number of waiting requests."""
        return len(self._waiting)

    def waiting_in(self, workspace: WorkspaceName) -> int:
        """Return the number of waiting requests of a workspace."""
        return len(self._by_workspace.get(workspace, ()))

    def admit(
        self,
        request_id: str,
        workspace: Workspace,
        route: Route,
        view: LoadView,
        now: float,
    ) -> Refusal | None:
        """Queue a request, or return a refusal with its reason and Retry-After.

        If the queue of the workspace or of the router is full, a waiting request that
        can't meet its deadline any more is shed in favour of the new one. In a full
        router queue without such a request, the newest of the workspace with the most
        waiting requests may be shed. Call `shed` afterwards to get the shed requests.
        """
        self._wait_s[view.pool] = view.wait_s
        time_limit_s = min(route.max_wait_s, view.remaining_s)
        refusal = self._find_refusal(request_id, workspace, view, time_limit_s, now)
        if refusal is None:
            entry = _Waiting(workspace.name, view.pool, now, now + time_limit_s)
            own = self._by_workspace.setdefault(workspace.name, OrderedDict())
            self._waiting[request_id] = own[request_id] = entry
        return refusal

    def leave(self, request_id: str) -> None:
        """Remove a request that no longer waits: it was granted, refused or withdrawn.

        An unknown id has no effect.
        """
        entry = self._waiting.pop(request_id, None)
        if entry is None:
            return
        own = self._by_workspace[entry.workspace]
        del own[request_id]
        if not own:
            del self._by_workspace[entry.workspace]

    def set_estimated_wait(self, pool: PoolName, wait_s: float) -> None:
        """Store the wait that the pool's schedulers estimate now."""
        self._wait_s[pool] = wait_s

    def shed(self, now: float) -> tuple[tuple[str, Refusal], ...]:
        """Remove and return the waiting requests to refuse now.

        These are requests whose deadline has passed or whose remaining wait far exceeds
        the time left, and those that `admit` shed. They are answered at once instead of
        near their deadlines, so that callers still have time to go elsewhere.
        """
        for request_id, entry in list(self._waiting.items()):
            if self._wait_ratio(entry, now) > SHED_WAIT_RATIO:
                self._shed_request(request_id, entry, _shed_reason(entry, now))
        shed = tuple(self._shed)
        self._shed.clear()
        return shed

    def free_slots(self, workspace: Workspace) -> int:
        """Return how many requests of a workspace may wait at present."""
        free_total = self._max_waiting - len(self._waiting)
        own = max(MIN_QUEUE_PER_WORKSPACE, int(FREE_SPACE_FACTOR * free_total))
        return min(workspace.max_waiting, own)

    def _find_refusal(
        self,
        request_id: str,
        workspace: Workspace,
        view: LoadView,
        time_limit_s: float,
        now: float,
    ) -> Refusal | None:
        if time_limit_s <= 0:
            return _build_refusal(
                RefusalReason.DEADLINE_PASSED, MIN_RETRY_AFTER_S, request_id
            )
        if view.servers == 0:
            return _build_refusal(
                RefusalReason.NO_SERVERS, NO_SERVERS_RETRY_AFTER_S, request_id
            )
        if view.wait_s > time_limit_s:
            excess_s = view.wait_s - time_limit_s
            return _build_refusal(RefusalReason.WAIT_TOO_LONG, excess_s, request_id)
        own = self._by_workspace.get(workspace.name, OrderedDict())
        if len(own) >= self.free_slots(workspace) and not self._shed_unmeetable(
            own, now
        ):
            reason = RefusalReason.WORKSPACE_QUEUE_FULL
            return _build_refusal(reason, view.wait_s, request_id)
        full = len(self._waiting) >= self._max_waiting
        if full and not self._shed_for(workspace, now):
            return _build_refusal(RefusalReason.QUEUE_FULL, view.wait_s, request_id)
        return None

    def _shed_unmeetable(
        self, candidates: OrderedDict[str, _Waiting], now: float
    ) -> bool:
        for request_id, entry in islice(candidates.items(), MAX_SCANNED):
            if self._wait_ratio(entry, now) > 1.0:
                self._shed_request(request_id, entry, _shed_reason(entry, now))
                return True
        return False

    def _shed_for(self, workspace: Workspace, now: float) -> bool:
        """Shed a request that will miss its deadline, or one of the longest queue.

        Several floods in a row can still fill the queue. The newest request of the
        workspace with the most waiting requests is then shed in favour of a workspace
        that has at least two fewer.
        """
        if self._shed_unmeetable(self._waiting, now):
            return True
        longest_queue = max(self._by_workspace.values(), key=len)
        if len(longest_queue) < self.waiting_in(workspace.name) + 2:
            return False
        request_id = next(reversed(longest_queue))
        reason = RefusalReason.WORKSPACE_QUEUE_FULL
        self._shed_request(request_id, longest_queue[request_id], reason)
        return True

    def _wait_ratio(self, entry: _Waiting, now: float) -> float:
        """Return the remaining wait as a multiple of the time left."""
        left = entry.deadline - now
        if left <= 0:
            return math.inf
        remaining_wait_s = self._wait_s.get(entry.pool, 0.0) - (now - entry.queued_at)
        return remaining_wait_s / left

    def _shed_request(
        self, request_id: str, entry: _Waiting, reason: RefusalReason
    ) -> None:
        self.leave(request_id)
        wait = self._wait_s.get(entry.pool, 0.0)
        self._shed.append((request_id, _build_refusal(reason, wait, request_id)))


def _shed_reason(entry: _Waiting, now: float) -> RefusalReason:
    if entry.deadline <= now:
        return RefusalReason.DEADLINE_PASSED
    return RefusalReason.WAIT_TOO_LONG


def _build_refusal(reason: RefusalReason, after_s: float, request_id: str) -> Refusal:
    fraction = xxhash.xxh3_64_intdigest(request_id.encode()) / 2**64
    after_s = max(MIN_RETRY_AFTER_S, after_s) * (1 + RETRY_AFTER_JITTER * fraction)
    return Refusal(reason, min(MAX_RETRY_AFTER_S, after_s))
