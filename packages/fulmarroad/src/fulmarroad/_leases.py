"""Track the followers of a scheduler and the leases that it holds."""

from __future__ import annotations

import itertools
import math
from collections.abc import Iterator

from attrs import define

from fulmarroad._fairqueue import Charge, Waiting
from fulmarroad._messages import Grant
from fulmarroad._rendezvous import short_name
from fulmarroad._shares import START_WINDOW_S
from fulmarroad.types import Epoch, RouterName, Unit

FRESH_S = 0.8 * START_WINDOW_S
"""Age of a router's last clock reading at which it gets no more grants.

A grant carries that reading, and the router might no longer start it in time.
"""

ORPHAN_GRACE_S = 1.0
"""Time that an orphaned lease is held beyond its deadline, as clocks drift."""


def grant_valid(
    grant: Grant, following: Epoch | None, clock: float, hello_clock: float = -math.inf
) -> bool:
    """Return whether a router may start a grant, by the router's own clock.

    A scheduler that resumes after a pause may have been replaced without knowing it.
    Its grants could put requests onto units that its successor granted to others. Such
    grants carry an earlier epoch or a clock reading from before the pause and are
    declined.

    `hello_clock` is the clock in the hello that the router last sent. A grant with an
    older reading was sent before the scheduler received that hello. As the hello did
    not list its lease, the scheduler has ended the lease.
    """
    if grant.epoch != following or grant.echo < hello_clock:
        return False
    return clock < grant.echo + grant.start_within_s


@define(eq=False)
class Follower:
    """Hold the latest clock reading of a router that follows this scheduler."""

    router: RouterName
    incarnation: int
    clock: float  # latest reading of the router's own clock
    clock_read_at: float  # scheduler's clock at that reading or earlier

    def update_clock(self, clock: float, at: float) -> None:
        """Record a reading of the router's own clock; ignore an older one."""
        if clock >= self.clock:
            self.clock = clock
            self.clock_read_at = at

    def fresh(self, now: float) -> bool:
        """Return whether the router could still start a grant sent now in time."""
        return now - self.clock_read_at < FRESH_S


@define(eq=False)
class Lease:
    """Hold a unit for a demand from the grant until the request ends.

    `waiting` is none for a lease that another scheduler granted; `start_by` is a
    reading of the router's clock.
    """

    lease_id: str
    demand_id: str
    router: RouterName
    unit: Unit
    charge: Charge
    deadline: float
    waiting: Waiting | None = None
    start_by: float = 0.0
    started: bool = False
    orphan: bool = False

    def expired(self, now: float) -> bool:
        """Return whether the lease is orphaned and its deadline and grace are over."""
        return self.orphan and now > self.deadline + ORPHAN_GRACE_S


class LeaseTable:
    """Store the leases of one scheduler by lease id and by demand id."""

    def __init__(self, epoch: Epoch) -> None:
        self._prefix = short_name(f"{epoch.router}/{epoch.incarnation}/{epoch.term}")
        self._numbers = itertools.count(1)
        self._leases: dict[str, Lease] = {}
        self._by_demand: dict[str, Lease] = {}
        self._unstarted: dict[str, Lease] = {}
        self._orphans: dict[str, Lease] = {}

    def __len__(self) -> int:
        return len(self._leases)

    def __iter__(self) -> Iterator[Lease]:
        return iter(self._leases.values())

    def new_id(self) -> str:
        """Return a lease id that is unique across schedulers and epochs."""
        return f"{self._prefix}{next(self._numbers):x}"

    def add(self, lease: Lease) -> None:
        """Add a lease."""
        self._leases[lease.lease_id] = lease
        self._by_demand[lease.demand_id] = lease
        if not lease.started:
            self._unstarted[lease.lease_id] = lease

    def held(self, lease_id: str, router: RouterName) -> Lease | None:
        """Return a lease by id; return none unless this router holds it."""
        lease = self._leases.get(lease_id)
        return lease if lease is not None and lease.router == router else None

    def has_demand(self, demand_id: str) -> bool:
        """Return whether a demand has a lease."""
        return demand_id in self._by_demand

    def of_router(self, router: RouterName) -> list[Lease]:
        """Return the leases that a router holds."""
        return [lease for lease in self._leases.values() if lease.router == router]

    def start(self, lease: Lease) -> None:
        """Mark a lease whose request was sent to its backend server."""
        lease.started = True
        self._unstarted.pop(lease.lease_id, None)

    def mark_orphan(self, lease: Lease) -> None:
        """Mark a lease whose router is disconnected."""
        lease.orphan = True
        self._orphans[lease.lease_id] = lease

    def mark_reported(self, lease: Lease) -> None:
        """Mark a lease that its router reported as running in a new hello."""
        lease.orphan = False
        self._orphans.pop(lease.lease_id, None)
        self.start(lease)

    def remove(self, lease: Lease) -> None:
        """Remove a lease that ended."""
        for table in (self._leases, self._unstarted, self._orphans):
            table.pop(lease.lease_id, None)
        if self._by_demand.get(lease.demand_id) is lease:
            del self._by_demand[lease.demand_id]

    def expired(self, now: float) -> list[Lease]:
        """Return the orphaned leases whose deadline and grace are over."""
        return [lease for lease in self._orphans.values() if lease.expired(now)]

    def unstartable(self, follower: Follower) -> list[Lease]:
        """Return unstarted leases that a router can no longer start.

        The router's clock is past their start-by time. The reading comes on the same
        stream as confirmations of started leases, so a confirmation would have arrived
        before it. Reclaiming a lease earlier could put two requests onto one unit.
        """
        return [
            lease
            for lease in self._unstarted.values()
            if lease.router == follower.router and follower.clock >= lease.start_by
        ]
