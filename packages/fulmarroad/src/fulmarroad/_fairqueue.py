"""Weighted fair queue of a shard, which serves the least served workspace next.

It handles a workspace that floods, a few workspaces that cause most of the load, long
requests among short ones, and saturation. Without it the workspace that sends most
requests gets most service, and a small workspace waits behind the whole backlog of a
large one; operators would see waits that differ between workspaces of equal weight.

Each workspace has a counter: the service it received divided by its weight. The cost
of a request is known only at its end, so a grant charges an estimate, which progress
and final reports replace. Only counters of backlogged workspaces are compared. The
counter of a workspace that returns from idle is raised to the least of them, so that
idle time earns no credit.
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

COST_MEAN_GAIN = 0.1
"""Weight of the newest cost in the running mean of a workspace's costs.

0.1 covers about the last ten requests. With fewer, one short answer would hide a
flood of long ones; with many more, the mean would reflect yesterday's traffic.
"""

DEBT_SURCHARGE = 1.0
"""Debt repaid with each grant, per service unit that the grant charges.

The debt is service that another scheduler reported late. At 1 a workspace keeps half
of its fair share until the debt is repaid. A larger surcharge closes the gap sooner
but leaves the workspace a smaller share meanwhile.
"""

IDLE_FORGET_S = 60.0
"""Seconds without a new demand after which the service of a workspace is forgotten.

It is longer than nearly every request, so that a workspace can't gain by pausing.
"""

HEAP_SLACK = 64
"""Heap entries allowed beyond four per backlogged workspace before a rebuild."""


def sanitize(value: float) -> float:
    """Return a reported amount, or 0 if it is negative or not finite."""
    return value if math.isfinite(value) and value > 0 else 0.0


@define(eq=False)
class Waiting:
    """Hold a waiting demand; times are on the scheduler's clock, in seconds."""

    demand: Demand
    router: RouterName
    arrival: float
    deadline: float


Eligible = Callable[[Waiting], bool]


def any_demand(waiting: Waiting) -> bool:
    """Return true for every demand."""
    return True


@define(eq=False)
class Charge:
    """Hold the service units charged so far for one lease."""

    workspace: WorkspaceName
    weight: float
    era: int
    amount: float
    reported: float = 0.0


@define(eq=False)
class Account:
    """Hold the service of one workspace and its waiting demands.

    An era begins whenever the workspace returns from idle. The counter is the sum of
    two parts: the service of former eras, raised to `floor`, and the service of the
    current one. They are separate because the charge of a lease from a former era may
    be corrected later, and a refund must not lower the counter below the floor and so
    turn into credit.
    """

    name: WorkspaceName
    weight: float = 1.0
    prior_service: float = 0.0
    floor: float = 0.0
    era_service: float = 0.0
    era: int = 0
    era_start: float = -math.inf
    asked: float = -math.inf
    seeded: bool = False
    waiting: list[Waiting] = field(factory=list)
    running: int = 0
    mean_cost: float | None = None
    served: float = 0.0
    debt: float = 0.0
    active_until: float = -math.inf
    stamp: int = 0

    @property
    def counter(self) -> float:
        """Return the weighted service by which workspaces are compared."""
        return max(self.prior_service, self.floor) + self.era_service

    def active(self, now: float) -> bool:
        """Return whether the workspace is backlogged at any scheduler of the pool."""
        return bool(self.waiting) or self.active_until > now

    def reset_to_floor(self, floor: float, now: float) -> None:
        """Begin a new era at the floor and cancel the debt of the former one."""
        self.prior_service = self.counter
        self.floor = floor
        self.era_service = 0.0
        self.debt = 0.0
        self.seeded = False
        self.era += 1
        self.era_start = now


class WaitingById:
    """Index waiting demands by id; the base class of `FleetQueue` and `FifoQueue`."""

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
        """Queue a demand by its original arrival; return false if it is queued."""
        arrival = now - sanitize(demand.waited_s)
        deadline = now + sanitize(demand.remaining_s)
        return self.restore(Waiting(demand, router, arrival, deadline), now)

    def restore(self, waiting: Waiting, now: float) -> bool:
        """Queue a demand again by its arrival; return false if it is queued already."""
        raise NotImplementedError


class FleetQueue(WaitingById):
    """Serve the workspace with the least service received in the whole pool first."""

    def __init__(self) -> None:
        super().__init__()
        self._accounts: dict[WorkspaceName, Account] = {}
        self._heap: list[tuple[float, int, Account]] = []
        self._backlogged: dict[WorkspaceName, Account] = {}
        self._remote: dict[WorkspaceName, Account] = {}
        self._skipped: dict[WorkspaceName, Waiting] = {}
        self._stamps = itertools.count(1)
        self._highest_served = 0.0
        self._mean_cost = 0.0

    @property
    def reports_totals(self) -> bool:
        """Return true: this policy uses service totals and moves between shards."""
        return True

    @property
    def mean_cost(self) -> float:
        """Return the running mean cost of all requests, or 0 if none has ended."""
        return self._mean_cost

    def restore(self, waiting: Waiting, now: float) -> bool:
        """Queue a demand again by its arrival; return false if it is queued already."""
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
        """Remove a demand and return it, or none if it is not queued."""
        waiting = self._waiting.pop(demand_id, None)
        if waiting is None:
            return None
        account = self._accounts[waiting.demand.workspace]
        account.waiting.remove(waiting)
        if not account.waiting:
            del self._backlogged[account.name]
        if self._skipped.get(account.name) is waiting:
            del self._skipped[account.name]
        return waiting

    def pop(self, eligible: Eligible = any_demand, now: float = 0.0) -> Waiting | None:
        """Remove and return the next eligible demand, or none.

        A demand that was skipped because no backend server could serve it goes first
        as soon as one can. Otherwise a demand that only one server can serve might
        wait forever for its turn and a free unit of that server to coincide.
        """
        found = self._pop_skipped(eligible) or self._pop_least(eligible)
        if found is None:
            return None
        self.remove(found.demand.demand_id)
        self._highest_served = max(
            self._highest_served, self._accounts[found.demand.workspace].counter
        )
        return found

    def begin(self, waiting: Waiting) -> Charge:
        """Charge the estimated cost of a demand that is being granted."""
        demand = waiting.demand
        account = self.account(demand.workspace)
        account.running += 1
        charge = Charge(account.name, account.weight, account.era, 0.0)
        self._add(charge, self._estimate(account, demand.cost_hint))
        repayment = min(account.debt, DEBT_SURCHARGE * charge.amount / charge.weight)
        account.debt -= repayment
        account.era_service += repayment
        return charge

    def adopt(self, workspace: WorkspaceName, charged: float) -> Charge:
        """Take over a lease that another scheduler granted, with the service it used.

        That service is not reported as served here, because the former epoch has
        reported it already.
        """
        account = self.account(workspace)
        account.running += 1
        amount = sanitize(charged)
        account.era_service += amount / account.weight
        return Charge(workspace, account.weight, account.era, amount, amount)

    def progress(self, charge: Charge, service: float) -> None:
        """Record service used and charge what exceeds the estimate at once."""
        charge.reported += sanitize(service)
        self._add(charge, max(0.0, charge.reported - charge.amount))

    def finish(self, charge: Charge, service: float, *, learn: bool = True) -> None:
        """Replace the charge of an ended lease by its actual cost."""
        total = sanitize(service)
        account = self.account(charge.workspace)
        account.running = max(0, account.running - 1)
        self._add(charge, total - charge.amount)
        if learn and total:
            account.mean_cost = _update_mean(account.mean_cost, total)
            self._mean_cost = _update_mean(self._mean_cost or None, total)

    def account(self, workspace: WorkspaceName) -> Account:
        """Return the account of a workspace; create it if it does not exist."""
        account = self._accounts.get(workspace)
        if account is None:
            account = self._accounts[workspace] = Account(workspace)
        return account

    def backlogged(self) -> list[Account]:
        """Return the accounts with waiting demands, the least served first."""
        return sorted(self._backlogged.values(), key=attrgetter("counter"))

    def backlogged_elsewhere(self, now: float) -> list[Account]:
        """Return the accounts whose demands wait only at other schedulers."""
        rows = self._remote.values()
        return [row for row in rows if row.active_until > now and not row.waiting]

    def demands_ahead(self) -> int:
        """Return how many demands are served before that of a new workspace.

        A new workspace starts at the least counter, so each backlogged workspace is
        served about once before it, however long its own backlog is.
        """
        return len(self._backlogged)

    def mark_active(self, account: Account, until: float) -> None:
        """Record until when a workspace counts as backlogged at another scheduler."""
        account.active_until = max(account.active_until, until)
        self._remote[account.name] = account

    def min_counter(self) -> float | None:
        """Return the least counter of the workspaces that wait here."""
        account = self._top()
        return None if account is None else account.counter

    def add_remote(self, account: Account, service: float) -> None:
        """Add weighted service received from another scheduler of the pool."""
        account.era_service += service
        if service < 0 and account.waiting:
            self._push(account)

    def seed(self, account: Account, counter: float) -> None:
        """Set a counter from another scheduler's report, once per era."""
        account.seeded = True
        self.add_remote(account, counter - account.counter)

    def reference_counter(self, now: float) -> float:
        """Return the counter relative to which lags are sent and received."""
        return self._floor(now)

    def forget_idle(self, now: float) -> None:
        """Drop accounts of idle workspaces to bound memory.

        An account at or below the highest counter served so far is dropped at once,
        as a returning workspace would be raised to the floor anyway. A higher one is
        kept for `IDLE_FORGET_S`, because dropping it forgives that service.
        """
        idle = [
            name
            for name, account in self._accounts.items()
            if not account.active(now)
            and not account.running
            and (
                account.counter <= self._highest_served
                or now - account.asked > IDLE_FORGET_S
            )
        ]
        for name in idle:
            del self._accounts[name]
        rows = self._remote.items()
        self._remote = {name: row for name, row in rows if row.active_until > now}

    def _estimate(self, account: Account, hint: float) -> float:
        """Return the charge of a grant: the hint, but no less than the mean cost.

        A workspace whose hints are too low would otherwise be granted many units
        before its first cost is known. Hints that are too high only delay their own
        workspace until the charge is corrected.
        """
        mean = self._mean_cost if account.mean_cost is None else account.mean_cost
        return max(sanitize(hint), mean)

    def _add(self, charge: Charge, amount: float) -> None:
        if not amount:
            return
        account = self.account(charge.workspace)
        charge.amount += amount
        weighted = amount / charge.weight
        account.served += weighted
        if charge.era == account.era:
            account.era_service += weighted
        else:
            account.prior_service += weighted
        if amount < 0 and account.waiting:
            self._push(account)

    def _floor(self, now: float) -> float:
        min_counter = self.min_counter()
        if min_counter is not None:
            return min_counter
        counters = (row.counter for row in self.backlogged_elsewhere(now))
        return min(counters, default=self._highest_served)

    def _push(self, account: Account) -> None:
        """Push a new heap entry for an account; its former entry becomes stale."""
        account.stamp = next(self._stamps)
        if len(self._heap) > 4 * len(self._backlogged) + HEAP_SLACK:
            self._heap = [entry for entry in self._heap if _is_current(entry)]
            heapq.heapify(self._heap)
        heapq.heappush(self._heap, (account.counter, account.stamp, account))

    def _top(self) -> Account | None:
        """Return the backlogged account with the least counter.

        Entries whose counter has risen are replaced here, so that a charge needs no
        heap operation.
        """
        while self._heap:
            entry = self._heap[0]
            account = entry[2]
            if not _is_current(entry):
                heapq.heappop(self._heap)
            elif account.counter > entry[0]:
                heapq.heapreplace(self._heap, (account.counter, account.stamp, account))
            else:
                return account
        return None

    def _pop_skipped(self, eligible: Eligible) -> Waiting | None:
        rows = sorted(self._skipped.values(), key=attrgetter("arrival"))
        return next((row for row in rows if eligible(row)), None)

    def _pop_least(self, eligible: Eligible) -> Waiting | None:
        set_aside: list[tuple[float, int, Account]] = []
        found = None
        while found is None and (account := self._top()) is not None:
            found = _first_eligible(account, eligible)
            if found is not account.waiting[0]:
                self._skipped.setdefault(account.name, account.waiting[0])
            if found is None:
                set_aside.append(heapq.heappop(self._heap))
        for entry in set_aside:
            heapq.heappush(self._heap, entry)
        return found


def _first_eligible(account: Account, eligible: Eligible) -> Waiting | None:
    return next((row for row in account.waiting if eligible(row)), None)


def _is_current(entry: tuple[float, int, Account]) -> bool:
    account = entry[2]
    return account.stamp == entry[1] and bool(account.waiting)


def _update_mean(mean: float | None, value: float) -> float:
    return value if mean is None else mean + COST_MEAN_GAIN * (value - mean)
