"""One fair queue for a shard: the backlogged workspace with the least service next.

Load it answers: one workspace that floods, few workspaces that take most of the
load, long requests among short ones, saturation. Without it whoever asks most is
served most, and a small workspace waits behind a large one's whole backlog; an
operator would notice by waits that differ between workspaces of equal weight.

Each workspace has a counter of the service it received divided by its weight. The
cost of a request is known only at its end, so a grant charges an estimate that
reports replace. Counters are compared only between backlogged workspaces; one that
returns from idle is lifted to the least of them, so that idle time earns no credit.
"""

from __future__ import annotations

import heapq
import itertools
import math
from bisect import insort
from collections.abc import Callable, Iterator
from operator import attrgetter

from attrs import define, field

from fulmarroad._messages import Demand
from fulmarroad.types import RouterName, WorkspaceName

MEAN_STEP = 0.1
"""Weight of the newest cost in the running mean of a workspace's costs.

About the last ten requests count: fewer would let one short answer hide a flood of
long ones, many more would remember yesterday's traffic.
"""

REPAY = 1.0
"""Surcharge on a grant while service told late is still owed, per unit charged.

At 1 a workspace keeps half of its fair share until the debt is paid. A larger
surcharge closes the gap sooner and serves it less meanwhile.
"""

IDLE_S = 60.0
"""Service of a workspace that asked for nothing this long is no longer held against
it: longer than nearly every request, so that it can't be gained by."""

HEAP_SLACK = 64
"""Stale heap entries kept beyond four for each backlogged workspace."""


def sanitize(value: float) -> float:
    """Return a reported amount, or 0 for one that no honest peer sends."""
    return value if math.isfinite(value) and value > 0 else 0.0


@define(eq=False)
class Waiting:
    """Hold a demand that waits; times are on the scheduler's clock."""

    demand: Demand
    router: RouterName
    arrival: float
    deadline: float


Eligible = Callable[[Waiting], bool]


def anything(waiting: Waiting) -> bool:
    """Hold every demand eligible."""
    return True


@define(eq=False)
class Charge:
    """Hold what one lease has been charged so far, in service units."""

    workspace: WorkspaceName
    weight: float
    era: int
    amount: float
    reported: float = 0.0


@define(eq=False)
class Account:
    """Hold the service of one workspace and its waiting demands.

    The counter is the sum of two parts: what was charged before the workspace last
    returned from idle, lifted to `floor`, and what was charged since. They are kept
    apart since a lease of an earlier era may be corrected later; such a correction
    must not sink the workspace below the floor and so turn into credit.
    """

    name: WorkspaceName
    weight: float = 1.0
    earlier: float = 0.0
    floor: float = 0.0
    since: float = 0.0
    era: int = 0
    began: float = -math.inf
    asked: float = -math.inf
    seeded: bool = False
    waiting: list[Waiting] = field(factory=list)
    running: int = 0
    mean: float | None = None
    served: float = 0.0
    owed: float = 0.0
    active_until: float = -math.inf
    stamp: int = 0

    @property
    def counter(self) -> float:
        """Return the weighted service that the workspace is compared by."""
        return max(self.earlier, self.floor) + self.since

    def active(self, now: float) -> bool:
        """Tell whether the workspace is backlogged here or elsewhere in the pool."""
        return bool(self.waiting) or self.active_until > now

    def reset_to_floor(self, floor: float, now: float) -> None:
        """Begin a new era at the floor; debts of the former one are forgiven."""
        self.earlier = self.counter
        self.floor = floor
        self.since = 0.0
        self.owed = 0.0
        self.seeded = False
        self.era += 1
        self.began = now


class WaitingById:
    """Find waiting demands by id; what every queue of demands has in common."""

    def __init__(self) -> None:
        self._waiting: dict[str, Waiting] = {}

    def __len__(self) -> int:
        return len(self._waiting)

    def __contains__(self, demand_id: object) -> bool:
        return demand_id in self._waiting

    def __iter__(self) -> Iterator[Waiting]:
        return iter(self._waiting.values())

    def get(self, demand_id: str) -> Waiting | None:
        """Return a waiting demand by its id."""
        return self._waiting.get(demand_id)

    def add(self, demand: Demand, router: RouterName, now: float) -> bool:
        """Queue a demand by its original arrival; return false if it waits already."""
        arrival = now - sanitize(demand.waited_s)
        deadline = now + sanitize(demand.remaining_s)
        return self.restore(Waiting(demand, router, arrival, deadline), now)

    def restore(self, waiting: Waiting, now: float) -> bool:
        """Queue a demand that waited before, at its old place."""
        raise NotImplementedError


class FleetQueue(WaitingById):
    """Serve backlogged workspaces by least service, wherever it was received."""

    def __init__(self) -> None:
        super().__init__()
        self._accounts: dict[WorkspaceName, Account] = {}
        self._heap: list[tuple[float, int, Account]] = []
        self._backlogged: dict[WorkspaceName, Account] = {}
        self._remote: dict[WorkspaceName, Account] = {}
        self._passed: dict[WorkspaceName, Waiting] = {}
        self._stamps = itertools.count(1)
        self._reached = 0.0
        self._mean = 0.0

    @property
    def reports_totals(self) -> bool:
        """Tell that totals and moves between shards apply to this policy."""
        return True

    @property
    def mean_cost(self) -> float:
        """Return the running mean of every request's cost, 0 while none is known."""
        return self._mean

    def restore(self, waiting: Waiting, now: float) -> bool:
        """Queue a demand that waited before, at its old place."""
        demand = waiting.demand
        if demand.demand_id in self._waiting:
            return False
        account = self.account(demand.workspace)
        account.weight = sanitize(demand.weight) or 1.0
        if not account.active(now):
            account.reset_to_floor(self._floor(now), now)
        account.asked = now
        insort(account.waiting, waiting, key=attrgetter("arrival"))
        self._waiting[demand.demand_id] = waiting
        if len(account.waiting) == 1:
            self._backlogged[account.name] = account
            self._push(account)
        return True

    def remove(self, demand_id: str) -> Waiting | None:
        """Take a demand out of the queue; return none if it does not wait."""
        waiting = self._waiting.pop(demand_id, None)
        if waiting is None:
            return None
        account = self._accounts[waiting.demand.workspace]
        account.waiting.remove(waiting)
        if not account.waiting:
            del self._backlogged[account.name]
        if self._passed.get(account.name) is waiting:
            del self._passed[account.name]
        return waiting

    def pop(self, eligible: Eligible = anything, now: float = 0.0) -> Waiting | None:
        """Take the next demand that is eligible, or none.

        A demand whose turn came while no backend server could take it is served
        first once one can: otherwise a demand that only one server fits would wait
        for its turn and that server's free unit to coincide, perhaps forever.
        """
        found = self._pop_passed(eligible) or self._pop_least(eligible)
        if found is None:
            return None
        self.remove(found.demand.demand_id)
        self._reached = max(
            self._reached, self._accounts[found.demand.workspace].counter
        )
        return found

    def begin(self, waiting: Waiting) -> Charge:
        """Charge the estimate for a demand that is granted."""
        demand = waiting.demand
        account = self.account(demand.workspace)
        account.running += 1
        charge = Charge(account.name, account.weight, account.era, 0.0)
        self._add(charge, self._estimate(account, demand.cost_hint))
        repaid = min(account.owed, REPAY * charge.amount / charge.weight)
        account.owed -= repaid
        account.since += repaid
        return charge

    def adopt(self, workspace: WorkspaceName, charged: float) -> Charge:
        """Take over a lease that another scheduler granted, with what it used.

        What it used is not told as served here: the former epoch told it already.
        """
        account = self.account(workspace)
        account.running += 1
        amount = sanitize(charged)
        account.since += amount / account.weight
        return Charge(workspace, account.weight, account.era, amount, amount)

    def progress(self, charge: Charge, service: float) -> None:
        """Note service used; what goes beyond the estimate is charged at once."""
        charge.reported += sanitize(service)
        self._add(charge, max(0.0, charge.reported - charge.amount))

    def finish(self, charge: Charge, service: float, *, learn: bool = True) -> None:
        """Replace what was charged by the whole cost of an ended lease."""
        total = sanitize(service)
        account = self.account(charge.workspace)
        account.running = max(0, account.running - 1)
        self._add(charge, total - charge.amount)
        if learn and total:
            account.mean = _mean(account.mean, total)
            self._mean = _mean(self._mean or None, total)

    def account(self, workspace: WorkspaceName) -> Account:
        """Return the account of a workspace, new if it is not known."""
        account = self._accounts.get(workspace)
        if account is None:
            account = self._accounts[workspace] = Account(workspace)
        return account

    def backlogged(self) -> list[Account]:
        """Return the accounts with waiting demands, the least served first."""
        return sorted(self._backlogged.values(), key=attrgetter("counter"))

    def backlogged_elsewhere(self, now: float) -> list[Account]:
        """Return the accounts that wait at other shards only."""
        rows = self._remote.values()
        return [row for row in rows if row.active_until > now and not row.waiting]

    def ahead(self) -> int:
        """Return how many demands are served before that of a new workspace.

        It is lifted to the least counter, so each backlogged workspace goes first
        about once, however long its own line is.
        """
        return len(self._backlogged)

    def mark_active(self, account: Account, until: float) -> None:
        """Note that a workspace is backlogged at another scheduler until a time."""
        account.active_until = max(account.active_until, until)
        self._remote[account.name] = account

    def min_counter(self) -> float | None:
        """Return the least counter of the workspaces that wait here."""
        account = self._top()
        return None if account is None else account.counter

    def add_remote(self, account: Account, service: float) -> None:
        """Count weighted service that another scheduler of the pool gave."""
        account.since += service
        if service < 0 and account.waiting:
            self._push(account)

    def seed(self, account: Account, counter: float) -> None:
        """Take a counter from what another scheduler makes of it, once in an era."""
        account.seeded = True
        self.add_remote(account, counter - account.counter)

    def reference(self, now: float) -> float:
        """Return the counter from which lags are told and taken."""
        return self._floor(now)

    def forget_idle(self, now: float) -> None:
        """Drop accounts of idle workspaces; memory stays bounded.

        What a lift would make anew goes at once. An account above the floor is held
        against its workspace for a while, as dropping it forgives that service.
        """
        idle = [
            name
            for name, account in self._accounts.items()
            if not account.active(now)
            and not account.running
            and (account.counter <= self._reached or now - account.asked > IDLE_S)
        ]
        for name in idle:
            del self._accounts[name]
        rows = self._remote.items()
        self._remote = {name: row for name, row in rows if row.active_until > now}

    def _estimate(self, account: Account, hint: float) -> float:
        """Return what a grant is charged: the hint, but no less than the mean.

        A workspace whose hints are too low would otherwise be granted many units
        before its first cost is known. One whose hints are too high only holds
        itself back until the correction.
        """
        usual = self._mean if account.mean is None else account.mean
        return max(sanitize(hint), usual)

    def _add(self, charge: Charge, amount: float) -> None:
        if not amount:
            return
        account = self.account(charge.workspace)
        charge.amount += amount
        weighted = amount / charge.weight
        account.served += weighted
        if charge.era == account.era:
            account.since += weighted
        else:
            account.earlier += weighted
        if amount < 0 and account.waiting:
            self._push(account)

    def _floor(self, now: float) -> float:
        min_counter = self.min_counter()
        if min_counter is not None:
            return min_counter
        counters = (row.counter for row in self.backlogged_elsewhere(now))
        return min(counters, default=self._reached)

    def _push(self, account: Account) -> None:
        """Enter an account into the heap; the entry before it becomes stale."""
        account.stamp = next(self._stamps)
        if len(self._heap) > 4 * len(self._backlogged) + HEAP_SLACK:
            self._heap = [entry for entry in self._heap if _fresh(entry)]
            heapq.heapify(self._heap)
        heapq.heappush(self._heap, (account.counter, account.stamp, account))

    def _top(self) -> Account | None:
        """Return the backlogged account with the least counter.

        Counters that rose since their entry was made are entered anew here, so
        that a charge costs no heap operation.
        """
        while self._heap:
            entry = self._heap[0]
            account = entry[2]
            if not _fresh(entry):
                heapq.heappop(self._heap)
            elif account.counter > entry[0]:
                heapq.heapreplace(self._heap, (account.counter, account.stamp, account))
            else:
                return account
        return None

    def _pop_passed(self, eligible: Eligible) -> Waiting | None:
        rows = sorted(self._passed.values(), key=attrgetter("arrival"))
        return next((row for row in rows if eligible(row)), None)

    def _pop_least(self, eligible: Eligible) -> Waiting | None:
        aside: list[tuple[float, int, Account]] = []
        found = None
        while found is None and (account := self._top()) is not None:
            found = _first(account, eligible)
            if found is not account.waiting[0]:
                self._passed.setdefault(account.name, account.waiting[0])
            if found is None:
                aside.append(heapq.heappop(self._heap))
        for entry in aside:
            heapq.heappush(self._heap, entry)
        return found


def _first(account: Account, eligible: Eligible) -> Waiting | None:
    return next((row for row in account.waiting if eligible(row)), None)


def _fresh(entry: tuple[float, int, Account]) -> bool:
    account = entry[2]
    return account.stamp == entry[1] and bool(account.waiting)


def _mean(mean: float | None, value: float) -> float:
    return value if mean is None else mean + MEAN_STEP * (value - mean)
