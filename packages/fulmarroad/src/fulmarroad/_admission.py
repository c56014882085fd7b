"""Decide what is let in, what waits and for how long, and what is turned away.

Patterns of load: a burst, a flood by one workspace, saturation. Without a bound the
queue grows until everything in it has missed its deadline and capacity goes into
answers that nobody waits for any more; callers would notice timeouts in place of
refusals. With one bound for all, a workspace that floods fills it and the others are
refused for its load. A request is refused at once when its wait can't be met, and
each workspace's room shrinks as the queue fills.

All counts are one router's own: a refusal must not need a message. Fairness between
workspaces is the schedulers' work; what is bounded here is memory and hopeless waits.
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
"""Requests that wait at one router. Its part of the peak (3,100 requests a second over
370 routers) for the usual longest wait of 30 s is 250; four times that rides out a
burst, and at 8 KB of body each it is 8 MB."""

ROOM_FACTOR = 1.0
"""A workspace may hold this many times the room that is left. With 1 a single flood
ends at half of the queue and k floods leave one part in k + 1 free, so that small
workspaces always find room. Weights don't count here: they decide who is served
first, and a heavy workspace that floods should not be able to fill the queue."""

ALWAYS_ROOM = 2
"""Requests of a workspace that wait whatever the others do, while there is any room."""

LOOK_AT = 16
"""Oldest requests looked at for one that is hopeless: refusals must stay cheap in a
flood, and the oldest have the least time left."""

HOPELESS_FACTOR = 2.0
"""How far the wait still to come must exceed the time left before a waiting request is
given up with room to spare; estimates from heartbeats are off by about that much."""

SPREAD = 0.5
"""Part by which Retry-After differs between requests, so that those who were refused
together don't return together."""

LEAST_RETRY_S = 1.0
"""Shortest Retry-After: the header counts whole seconds."""

MOST_RETRY_S = 120.0
"""Longest Retry-After: what lies further ahead is no estimate any more."""

NO_SERVERS_RETRY_S = 5.0
"""Retry-After while no server takes work: a table change is in force within 5 s."""


@frozen
class LoadView:
    """Show what a router knows of a pool as a request arrives.

    `wait_s` is the least wait estimated by the pool's schedulers, `servers` the number
    of backend servers that take work, `remaining_s` the time to the request's own
    deadline (infinite where the caller gave none).
    """

    pool: PoolName
    wait_s: float
    servers: int
    remaining_s: float = math.inf


@frozen
class Refusal:
    """Turn a request away that was not run."""

    reason: RefusalReason
    retry_after_s: float


@define
class _Waiting:
    workspace: WorkspaceName
    pool: PoolName
    since: float
    deadline: float


class Admission:
    """Hold what waits at one router, for each workspace and in all."""

    def __init__(self, max_waiting: int = MAX_WAITING) -> None:
        self._max_waiting = max_waiting
        self._waiting: OrderedDict[str, _Waiting] = OrderedDict()  # oldest first
        self._of_workspace: dict[WorkspaceName, OrderedDict[str, _Waiting]] = {}
        self._wait_s: dict[PoolName, float] = {}
        self._shed: list[tuple[str, Refusal]] = []

    @property
    def waiting(self) -> int:
        """Return how many requests wait."""
        return len(self._waiting)

    def waiting_of(self, workspace: WorkspaceName) -> int:
        """Return how many requests of a workspace wait."""
        return len(self._of_workspace.get(workspace, ()))

    def admit(
        self,
        request_id: str,
        workspace: Workspace,
        route: Route,
        view: LoadView,
        now: float,
    ) -> Refusal | None:
        """Let a request wait, or say why not and when to come back.

        Where there is no room a waiting request that can't meet its deadline any more
        goes in place of the newcomer: ask `shed` for it afterwards.
        """
        self._wait_s[view.pool] = view.wait_s
        patience = min(route.max_wait_s, view.remaining_s)
        refusal = self._refusal(request_id, workspace, view, patience, now)
        if refusal is None:
            entry = _Waiting(workspace.name, view.pool, now, now + patience)
            own = self._of_workspace.setdefault(workspace.name, OrderedDict())
            self._waiting[request_id] = own[request_id] = entry
        return refusal

    def leave(self, request_id: str) -> None:
        """Note that a request waits no more: it was granted, refused or withdrawn."""
        entry = self._waiting.pop(request_id, None)
        if entry is None:
            return
        own = self._of_workspace[entry.workspace]
        del own[request_id]
        if not own:
            del self._of_workspace[entry.workspace]

    def note_wait(self, pool: PoolName, wait_s: float) -> None:
        """Take the wait that the pool's schedulers estimate now."""
        self._wait_s[pool] = wait_s

    def shed(self, now: float) -> tuple[tuple[str, Refusal], ...]:
        """Return the waiting requests to refuse now; they wait no more.

        Those whose time is up or whose wait to come is far beyond it are answered at
        once instead of being held until near their deadlines.
        """
        for request_id, entry in list(self._waiting.items()):
            if self._lacks(entry, now) > HOPELESS_FACTOR:
                self._give_up(request_id, entry, _why_hopeless(entry, now))
        given_up = tuple(self._shed)
        self._shed.clear()
        return given_up

    def room(self, workspace: Workspace) -> int:
        """Return how many requests of a workspace may wait as the queue stands."""
        free = self._max_waiting - len(self._waiting)
        own = max(ALWAYS_ROOM, int(ROOM_FACTOR * free))
        return min(workspace.max_waiting, own)

    def _refusal(
        self,
        request_id: str,
        workspace: Workspace,
        view: LoadView,
        patience: float,
        now: float,
    ) -> Refusal | None:
        if patience <= 0:
            return _refuse(RefusalReason.DEADLINE_PASSED, LEAST_RETRY_S, request_id)
        if view.servers == 0:
            return _refuse(RefusalReason.NO_SERVERS, NO_SERVERS_RETRY_S, request_id)
        if view.wait_s > patience:
            later = view.wait_s - patience
            return _refuse(RefusalReason.WAIT_TOO_LONG, later, request_id)
        own = self._of_workspace.get(workspace.name, OrderedDict())
        if len(own) >= self.room(workspace) and not self._make_room(own, now):
            reason = RefusalReason.WORKSPACE_QUEUE_FULL
            return _refuse(reason, view.wait_s, request_id)
        full = len(self._waiting) >= self._max_waiting
        if full and not self._make_room_in_all(workspace, now):
            return _refuse(RefusalReason.QUEUE_FULL, view.wait_s, request_id)
        return None

    def _make_room(self, among: OrderedDict[str, _Waiting], now: float) -> bool:
        for request_id, entry in islice(among.items(), LOOK_AT):
            if self._lacks(entry, now) > 1.0:
                self._give_up(request_id, entry, _why_hopeless(entry, now))
                return True
        return False

    def _make_room_in_all(self, workspace: Workspace, now: float) -> bool:
        """Give up a hopeless request, or the newest of whoever holds the most.

        Floods that come one after another can still fill the queue; the last of the
        largest flood then goes in place of a workspace that holds clearly less.
        """
        if self._make_room(self._waiting, now):
            return True
        largest = max(self._of_workspace.values(), key=len)
        if len(largest) < self.waiting_of(workspace.name) + 2:
            return False
        request_id = next(reversed(largest))
        reason = RefusalReason.WORKSPACE_QUEUE_FULL
        self._give_up(request_id, largest[request_id], reason)
        return True

    def _lacks(self, entry: _Waiting, now: float) -> float:
        """Return the wait still to come as a multiple of the time left."""
        left = entry.deadline - now
        if left <= 0:
            return math.inf
        to_come = self._wait_s.get(entry.pool, 0.0) - (now - entry.since)
        return to_come / left

    def _give_up(self, request_id: str, entry: _Waiting, reason: RefusalReason) -> None:
        self.leave(request_id)
        wait = self._wait_s.get(entry.pool, 0.0)
        self._shed.append((request_id, _refuse(reason, wait, request_id)))


def _why_hopeless(entry: _Waiting, now: float) -> RefusalReason:
    if entry.deadline <= now:
        return RefusalReason.DEADLINE_PASSED
    return RefusalReason.WAIT_TOO_LONG


def _refuse(reason: RefusalReason, after_s: float, request_id: str) -> Refusal:
    point = xxhash.xxh3_64_intdigest(request_id.encode()) / 2**64
    after_s = max(LEAST_RETRY_S, after_s) * (1 + SPREAD * point)
    return Refusal(reason, min(MOST_RETRY_S, after_s))
