"""What a scheduler keeps of its followers and of the leases it granted."""

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
"""A router not heard from for this long gets no grant: it might no longer start it."""

ORPHAN_GRACE_S = 1.0
"""An orphaned lease is held this long beyond its deadline, for clocks that drift."""


def grant_valid(
    grant: Grant, following: Epoch | None, clock: float, hello_clock: float = -math.inf
) -> bool:
    """Tell whether a router may start a grant, by its own clock.

    A scheduler that paused wakes late and still believes in its role. Its grants
    would put requests onto units that its successor granted to others; they carry
    a former epoch, or a clock reading from before the pause, and are refused.

    `hello_clock` is the clock in the hello that the router last sent. A grant from
    before it reached the scheduler carries an older reading: the hello, which could not
    mention it, has ended its lease there.
    """
    if grant.epoch != following or grant.echo < hello_clock:
        return False
    return clock < grant.echo + grant.start_within_s


@define(eq=False)
class Follower:
    """Hold what is known of a router that follows this scheduler."""

    router: RouterName
    incarnation: int
    clock: float  # the router's own, as last heard
    heard_at: float  # when it read so, or earlier, on the scheduler's clock

    def update_clock(self, clock: float, at: float) -> None:
        """Note a reading of the router's own clock; it never goes back."""
        if clock >= self.clock:
            self.clock = clock
            self.heard_at = at

    def fresh(self, now: float) -> bool:
        """Tell whether a grant sent now could still be started in time."""
        return now - self.heard_at < FRESH_S


@define(eq=False)
class Lease:
    """Hold one granted unit until its request ends.

    `waiting` is none for a lease that another scheduler granted; `start_by` is on
    the clock of the router.
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
        """Tell whether an orphaned request must have ended by its deadline."""
        return self.orphan and now > self.deadline + ORPHAN_GRACE_S


class LeaseTable:
    """Keep the leases of one scheduler by id and by demand."""

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
        """Return an id that no other scheduler and no other epoch ever gives."""
        return f"{self._prefix}{next(self._numbers):x}"

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

    def runs(self, demand_id: str) -> bool:
        """Tell whether a demand holds a lease."""
        return demand_id in self._by_demand

    def of_router(self, router: RouterName) -> list[Lease]:
        """Return the leases that a router holds."""
        return [lease for lease in self._leases.values() if lease.router == router]

    def start(self, lease: Lease) -> None:
        """Note that the request of a lease was sent."""
        lease.started = True
        self._unstarted.pop(lease.lease_id, None)

    def orphan(self, lease: Lease) -> None:
        """Note that the router of a lease is out of reach."""
        lease.orphan = True
        self._orphans[lease.lease_id] = lease

    def claim(self, lease: Lease) -> None:
        """Note that the router of a lease told of it again."""
        lease.orphan = False
        self._orphans.pop(lease.lease_id, None)
        self.start(lease)

    def remove(self, lease: Lease) -> None:
        """Forget a lease that ended."""
        for table in (self._leases, self._unstarted, self._orphans):
            table.pop(lease.lease_id, None)
        if self._by_demand.get(lease.demand_id) is lease:
            del self._by_demand[lease.demand_id]

    def expired(self, now: float) -> list[Lease]:
        """Return the orphaned leases whose requests must have ended."""
        return [lease for lease in self._orphans.values() if lease.expired(now)]

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
