"""What a scheduler keeps of its followers and of the leases it granted."""

from __future__ import annotations

import itertools
from collections import deque
from collections.abc import Iterator

from attrs import define

from fulmarroad._fairqueue import Charge, Waiting
from fulmarroad._messages import Grant
from fulmarroad.types import Epoch, RouterName, ServerName, Unit, WorkspaceName

START_WITHIN_S = 1.0
"""A router starts a grant only this long after the clock reading that it carries.

Two heartbeat intervals, so that one lost answer to a heartbeat stops no grant; a
scheduler that slept longer wakes with grants that nobody starts.
"""

FRESH_S = 0.8
"""A router not heard from for this long gets no grant: it might no longer start it."""

LEND_S = 2.0
"""A router's units are lent this long after the scheduler's clock that it echoed."""

ORPHAN_GRACE_S = 1.0
"""An orphaned lease is held this long beyond its deadline, for clocks that drift."""

RATE_STEP = 0.2
SAMPLES = 64
"""Answers remembered for the least plausible time that a request takes."""


def grant_valid(grant: Grant, following: Epoch | None, clock: float) -> bool:
    """Tell whether a router may start a grant, by its own clock.

    A scheduler that paused wakes late and still believes in its role. Its grants
    would put requests onto units that its successor granted to others; they carry
    a former epoch, or a clock reading from before the pause, and are refused.
    """
    return grant.epoch == following and clock < grant.echo + grant.start_within_s


@define(eq=False)
class Follower:
    """Hold what is known of a router that follows this scheduler."""

    router: RouterName
    incarnation: int
    clock: float
    heard_at: float

    def hear(self, clock: float, now: float) -> None:
        """Note a reading of the router's own clock; it never goes back."""
        if clock >= self.clock:
            self.clock = clock
            self.heard_at = now

    def fresh(self, now: float) -> bool:
        """Tell whether a grant sent now could still be started in time."""
        return now - self.heard_at < FRESH_S


@define(eq=False)
class Lease:
    """Hold one granted unit until its request ends."""

    lease_id: str
    demand_id: str
    router: RouterName
    workspace: WorkspaceName
    unit: Unit
    charge: Charge
    deadline: float
    start_by: float
    waiting: Waiting | None
    orphan: bool = False
    started: bool = False

    @property
    def server(self) -> ServerName:
        """Return the backend server that the lease is for."""
        return self.unit.server

    def expired(self, now: float) -> bool:
        """Tell whether an orphaned request must have ended by its deadline."""
        return self.orphan and now > self.deadline + ORPHAN_GRACE_S


class LeaseTable:
    """Keep the leases of one scheduler by id and by demand."""

    def __init__(self, epoch: Epoch) -> None:
        self._prefix = f"{epoch.router}.{epoch.incarnation}.{epoch.term}"
        self._numbers = itertools.count(1)
        self._leases: dict[str, Lease] = {}
        self._by_demand: dict[str, Lease] = {}
        self._unstarted: dict[str, Lease] = {}

    def __len__(self) -> int:
        return len(self._leases)

    def __iter__(self) -> Iterator[Lease]:
        return iter(tuple(self._leases.values()))

    def new_id(self) -> str:
        """Return an id that no other scheduler and no other epoch ever gives."""
        return f"{self._prefix}.{next(self._numbers)}"

    def add(self, lease: Lease) -> None:
        """Keep a lease."""
        self._leases[lease.lease_id] = lease
        self._by_demand[lease.demand_id] = lease
        if not lease.started:
            self._unstarted[lease.lease_id] = lease

    def held(self, lease_id: str, router: RouterName) -> Lease | None:
        """Return a lease if this router holds it."""
        lease = self._leases.get(lease_id)
        return lease if lease is not None and lease.router == router else None

    def of_demand(self, demand_id: str) -> Lease | None:
        """Return the lease under which a demand runs."""
        return self._by_demand.get(demand_id)

    def of_router(self, router: RouterName) -> list[Lease]:
        """Return the leases that a router holds."""
        return [lease for lease in self._leases.values() if lease.router == router]

    def start(self, lease: Lease) -> None:
        """Note that the request of a lease was sent."""
        lease.started = True
        self._unstarted.pop(lease.lease_id, None)

    def remove(self, lease: Lease) -> None:
        """Forget a lease that ended."""
        self._leases.pop(lease.lease_id, None)
        self._unstarted.pop(lease.lease_id, None)
        if self._by_demand.get(lease.demand_id) is lease:
            del self._by_demand[lease.demand_id]

    def unstartable(self, follower: Follower) -> list[Lease]:
        """Return unstarted leases that a router can no longer start.

        Its clock, heard on the stream on which a confirmation would have come
        before, is past their start-by time: an earlier reclaim could put two
        requests onto one unit.
        """
        return [
            lease
            for lease in self._unstarted.values()
            if lease.router == follower.router and follower.clock >= lease.start_by
        ]


class Pace:
    """Estimate how soon a new demand is served, from what was seen lately."""

    def __init__(self, now: float) -> None:
        self._since = now
        self._grants = 0
        self._rate = 0.0
        self._totals: deque[float] = deque(maxlen=SAMPLES)
        self._least = 0.0

    @property
    def least_service_s(self) -> float:
        """Return half the shortest time seen of late; 0 until enough is known."""
        return self._least

    def note_grant(self) -> None:
        """Count a grant."""
        self._grants += 1

    def note_answer(self, total_s: float) -> None:
        """Note how long a completed request took."""
        if total_s <= 0:
            return
        self._totals.append(total_s)
        if len(self._totals) >= SAMPLES // 4:
            self._least = min(self._totals) / 2

    def roll(self, now: float) -> None:
        """Begin a new second of counting once one is over."""
        elapsed = now - self._since
        if elapsed < 1.0:
            return
        self._rate += RATE_STEP * (self._grants / elapsed - self._rate)
        self._since = now
        self._grants = 0

    def wait_s(self, waiting: int) -> float:
        """Return the estimated wait of a demand behind so many others."""
        if not waiting:
            return 0.0
        return waiting / max(self._rate, 0.1)
