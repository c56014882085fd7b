"""Define the scheduling policy protocol and two baselines for `FleetQueue`."""

from __future__ import annotations

import itertools
from bisect import insort
from collections.abc import Iterator
from operator import attrgetter
from typing import Protocol

from fulmarroad._fairqueue import (
    Charge,
    Eligible,
    FleetQueue,
    Waiting,
    WaitingById,
)
from fulmarroad._messages import Demand
from fulmarroad.exceptions import ConfigurationError
from fulmarroad.types import RouterName, WorkspaceName


class SchedulingPolicy(Protocol):
    """Select the waiting demand that is granted next, and account for service."""

    @property
    def reports_totals(self) -> bool:
        """Return whether totals and moves between shards apply to this policy."""

    @property
    def mean_cost(self) -> float:
        """Return the mean cost of a request in service units, 0 while unknown."""

    def __len__(self) -> int: ...

    def __contains__(self, demand_id: object) -> bool: ...

    def __iter__(self) -> Iterator[Waiting]: ...

    def get(self, demand_id: str) -> Waiting | None:
        """Return a waiting demand by its id."""

    def add(self, demand: Demand, router: RouterName, now: float) -> bool:
        """Queue a demand; return false if it is queued already."""

    def restore(self, waiting: Waiting, now: float) -> bool:
        """Queue a demand again at its previous place; return false if it is queued."""

    def remove(self, demand_id: str) -> Waiting | None:
        """Remove and return a waiting demand; return none if it is not queued."""

    def pop(self, eligible: Eligible, now: float) -> Waiting | None:
        """Remove and return the next eligible demand; return none without one."""

    def begin(self, waiting: Waiting) -> Charge:
        """Charge the estimated cost of a demand that is granted."""

    def adopt(self, workspace: WorkspaceName, charged: float) -> Charge:
        """Take over the charge of a lease that another scheduler granted."""

    def progress(self, charge: Charge, service: float) -> None:
        """Record service used by a running lease."""

    def finish(self, charge: Charge, service: float, *, learn: bool = True) -> None:
        """Replace the charge of an ended lease by its final cost.

        `learn` tells whether the cost also counts for the estimates of later demands.
        """

    def demands_ahead(self) -> int:
        """Return how many demands would be served before one of a new workspace."""

    def forget_idle(self, now: float) -> None:
        """Drop the state of idle workspaces that is no longer needed."""


class _NoAccounting:
    """Implement the accounting methods for a policy that ignores service."""

    @property
    def reports_totals(self) -> bool:
        """Return false: baselines use no service totals or moves between shards."""
        return False

    @property
    def mean_cost(self) -> float:
        """Return 0, as costs are ignored."""
        return 0.0

    def begin(self, waiting: Waiting) -> Charge:
        """Return a dummy charge."""
        return Charge(waiting.demand.workspace, 1.0, 0, 0.0)

    def adopt(self, workspace: WorkspaceName, charged: float) -> Charge:
        """Return a dummy charge."""
        return Charge(workspace, 1.0, 0, 0.0)

    def progress(self, charge: Charge, service: float) -> None:
        """Do nothing."""

    def finish(self, charge: Charge, service: float, *, learn: bool = True) -> None:
        """Do nothing."""

    def forget_idle(self, now: float) -> None:
        """Do nothing."""


class FifoQueue(_NoAccounting, WaitingById):
    """Serve demands in the order of arrival, whatever their workspace.

    This is the baseline without fairness: demands wait behind every earlier demand of
    a workspace that floods the queue.
    """

    def __init__(self) -> None:
        super().__init__()
        self._queue: list[Waiting] = []

    def demands_ahead(self) -> int:
        """Return the length of the queue."""
        return len(self._queue)

    def restore(self, waiting: Waiting, now: float) -> bool:
        """Queue a demand again by its arrival; return false if it is queued already."""
        demand_id = waiting.demand.demand_id
        if demand_id in self._waiting:
            return False
        insort(self._queue, waiting, key=attrgetter("arrival"))
        self._waiting[demand_id] = waiting
        return True

    def remove(self, demand_id: str) -> Waiting | None:
        """Remove and return a waiting demand; return none if it is not queued."""
        waiting = self._waiting.pop(demand_id, None)
        if waiting is not None:
            self._queue.remove(waiting)
        return waiting

    def pop(self, eligible: Eligible, now: float) -> Waiting | None:
        """Remove and return the oldest eligible demand; return none without one."""
        oldest = next((row for row in self._queue if eligible(row)), None)
        return oldest and self.remove(oldest.demand.demand_id)


class LocalQueue:
    """Keep a fair queue for each router and serve the routers in turn.

    This is the baseline in which each router is fair on its own: a workspace whose
    requests arrive through several routers gets a share at each of them.
    """

    def __init__(self) -> None:
        self._queues: dict[RouterName, FleetQueue] = {}
        self._router_by_demand: dict[str, RouterName] = {}
        self._adopted = FleetQueue()
        self._queue_by_charge: dict[int, FleetQueue] = {}
        self._serve_counter = itertools.count()
        self._last_served: dict[RouterName, int] = {}

    @property
    def reports_totals(self) -> bool:
        """Return false: baselines use no service totals or moves between shards."""
        return False

    @property
    def mean_cost(self) -> float:
        """Return the average of the routers' mean costs, 0 while none is known."""
        known = [q.mean_cost for q in self._queues.values() if q.mean_cost]
        return sum(known) / len(known) if known else 0.0

    def __len__(self) -> int:
        return len(self._router_by_demand)

    def __contains__(self, demand_id: object) -> bool:
        return demand_id in self._router_by_demand

    def __iter__(self) -> Iterator[Waiting]:
        return itertools.chain.from_iterable(self._queues.values())

    def get(self, demand_id: str) -> Waiting | None:
        """Return a waiting demand by its id."""
        router = self._router_by_demand.get(demand_id)
        return None if router is None else self._queues[router].get(demand_id)

    def add(self, demand: Demand, router: RouterName, now: float) -> bool:
        """Queue a demand at its router; return false if it is queued already."""
        if demand.demand_id in self._router_by_demand:
            return False
        self._router_by_demand[demand.demand_id] = router
        return self._queues.setdefault(router, FleetQueue()).add(demand, router, now)

    def demands_ahead(self) -> int:
        """Return the number of backlogged workspaces, summed over all routers."""
        return sum(queue.demands_ahead() for queue in self._queues.values())

    def restore(self, waiting: Waiting, now: float) -> bool:
        """Queue a demand again at its router; return false if it is queued already."""
        demand_id = waiting.demand.demand_id
        if demand_id in self._router_by_demand:
            return False
        self._router_by_demand[demand_id] = waiting.router
        queue = self._queues.setdefault(waiting.router, FleetQueue())
        return queue.restore(waiting, now)

    def remove(self, demand_id: str) -> Waiting | None:
        """Remove and return a waiting demand; return none if it is not queued."""
        router = self._router_by_demand.pop(demand_id, None)
        return None if router is None else self._queues[router].remove(demand_id)

    def pop(self, eligible: Eligible, now: float) -> Waiting | None:
        """Remove and return the next demand of the least recently served router."""
        for router in sorted(
            self._queues, key=lambda name: self._last_served.get(name, -1)
        ):
            waiting = self._queues[router].pop(eligible, now)
            if waiting is not None:
                self._last_served[router] = next(self._serve_counter)
                del self._router_by_demand[waiting.demand.demand_id]
                return waiting
        return None

    def begin(self, waiting: Waiting) -> Charge:
        """Charge the estimated cost in the queue of the demand's router."""
        queue = self._queues[waiting.router]
        charge = queue.begin(waiting)
        self._queue_by_charge[id(charge)] = queue
        return charge

    def adopt(self, workspace: WorkspaceName, charged: float) -> Charge:
        """Take over a lease's charge without charging any router's queue."""
        return self._adopted.adopt(workspace, charged)

    def progress(self, charge: Charge, service: float) -> None:
        """Record service in the queue that was charged."""
        self._queue_by_charge.get(id(charge), self._adopted).progress(charge, service)

    def finish(self, charge: Charge, service: float, *, learn: bool = True) -> None:
        """Replace the charge by the final cost in the queue that was charged."""
        queue = self._queue_by_charge.pop(id(charge), self._adopted)
        queue.finish(charge, service, learn=learn)

    def forget_idle(self, now: float) -> None:
        """Drop the state of idle workspaces that is no longer needed."""
        for queue in self._queues.values():
            queue.forget_idle(now)


def make_queue(policy: str) -> SchedulingPolicy:
    """Return a new queue for the policy `fleet`, `fifo` or `local`.

    Raise `ConfigurationError` for any other name.
    """
    factories: dict[str, type] = {
        "fleet": FleetQueue,
        "fifo": FifoQueue,
        "local": LocalQueue,
    }
    if policy not in factories:
        raise ConfigurationError(
            f"There is no scheduling policy {policy!r}.",
            hint=f"Use one of {', '.join(factories)}.",
        )
    return factories[policy]()
