"""What a queueing policy is, and the two baselines that the fleet's is measured by."""

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
    """Decide which waiting demand is granted next, and count service."""

    @property
    def reports_totals(self) -> bool:
        """Tell whether totals and moves between shards apply to this policy."""

    @property
    def mean_cost(self) -> float:
        """Return the mean cost of a request, 0 while it is not known."""

    def __len__(self) -> int: ...

    def __contains__(self, demand_id: object) -> bool: ...

    def __iter__(self) -> Iterator[Waiting]: ...

    def get(self, demand_id: str) -> Waiting | None:
        """Return a waiting demand by its id."""

    def add(self, demand: Demand, router: RouterName, now: float) -> bool:
        """Queue a demand; return false if it waits already."""

    def restore(self, waiting: Waiting, now: float) -> bool:
        """Queue a demand that waited before, at its old place."""

    def remove(self, demand_id: str) -> Waiting | None:
        """Take a demand out of the queue."""

    def pop(self, eligible: Eligible, now: float) -> Waiting | None:
        """Take the next demand that is eligible, or none."""

    def begin(self, waiting: Waiting) -> Charge:
        """Charge the estimate for a demand that is granted."""

    def adopt(self, workspace: WorkspaceName, charged: float) -> Charge:
        """Take over a lease that another scheduler granted."""

    def progress(self, charge: Charge, service: float) -> None:
        """Note service used by a running lease."""

    def finish(self, charge: Charge, service: float, *, learn: bool = True) -> None:
        """Replace what was charged by the whole cost of an ended lease."""

    def ahead(self) -> int:
        """Return how many demands are served before that of a new workspace."""

    def forget_idle(self, now: float) -> None:
        """Drop what is no longer needed of idle workspaces."""


class _Uncounted:
    """Count no service across workspaces; share what baselines have in common."""

    @property
    def reports_totals(self) -> bool:
        """Tell that totals and moves between shards don't apply to a baseline."""
        return False

    @property
    def mean_cost(self) -> float:
        """Return 0, for costs are not looked at."""
        return 0.0

    def begin(self, waiting: Waiting) -> Charge:
        """Return a charge that is compared with nothing."""
        return Charge(waiting.demand.workspace, 1.0, 0, 0.0)

    def adopt(self, workspace: WorkspaceName, charged: float) -> Charge:
        """Return a charge that is compared with nothing."""
        return Charge(workspace, 1.0, 0, 0.0)

    def progress(self, charge: Charge, service: float) -> None:
        """Do nothing."""

    def finish(self, charge: Charge, service: float, *, learn: bool = True) -> None:
        """Do nothing."""

    def forget_idle(self, now: float) -> None:
        """Do nothing."""


class FifoQueue(_Uncounted, WaitingById):
    """Serve demands in the order of arrival, whoever sent them.

    This is the baseline without fairness: a flood fills the line before everybody.
    """

    def __init__(self) -> None:
        super().__init__()
        self._line: list[Waiting] = []

    def ahead(self) -> int:
        """Return the length of the line."""
        return len(self._line)

    def restore(self, waiting: Waiting, now: float) -> bool:
        """Queue a demand that waited before, at its old place."""
        demand_id = waiting.demand.demand_id
        if demand_id in self._waiting:
            return False
        insort(self._line, waiting, key=attrgetter("arrival"))
        self._waiting[demand_id] = waiting
        return True

    def remove(self, demand_id: str) -> Waiting | None:
        """Take a demand out of the line."""
        waiting = self._waiting.pop(demand_id, None)
        if waiting is not None:
            self._line.remove(waiting)
        return waiting

    def pop(self, eligible: Eligible, now: float) -> Waiting | None:
        """Take the oldest eligible demand, or none."""
        found = next((row for row in self._line if eligible(row)), None)
        return found and self.remove(found.demand.demand_id)


class LocalQueue:
    """Serve each router's own fair queue in turn, so that routers share evenly.

    This is the baseline in which every router is fair by itself: a workspace that
    comes in through many routers is served many times as often.
    """

    def __init__(self) -> None:
        self._queues: dict[RouterName, FleetQueue] = {}
        self._owner: dict[str, RouterName] = {}
        self._adopted = FleetQueue()
        self._charged: dict[int, FleetQueue] = {}
        self._turn = itertools.count()
        self._served: dict[RouterName, int] = {}

    @property
    def reports_totals(self) -> bool:
        """Tell that totals and moves between shards don't apply to a baseline."""
        return False

    @property
    def mean_cost(self) -> float:
        """Return the mean cost of a request at any router."""
        known = [q.mean_cost for q in self._queues.values() if q.mean_cost]
        return sum(known) / len(known) if known else 0.0

    def __len__(self) -> int:
        return len(self._owner)

    def __contains__(self, demand_id: object) -> bool:
        return demand_id in self._owner

    def __iter__(self) -> Iterator[Waiting]:
        return itertools.chain.from_iterable(self._queues.values())

    def get(self, demand_id: str) -> Waiting | None:
        """Return a waiting demand by its id."""
        router = self._owner.get(demand_id)
        return None if router is None else self._queues[router].get(demand_id)

    def add(self, demand: Demand, router: RouterName, now: float) -> bool:
        """Queue a demand at its router; return false if it waits already."""
        if demand.demand_id in self._owner:
            return False
        self._owner[demand.demand_id] = router
        return self._queues.setdefault(router, FleetQueue()).add(demand, router, now)

    def ahead(self) -> int:
        """Return how many workspaces wait, counted at each router."""
        return sum(queue.ahead() for queue in self._queues.values())

    def restore(self, waiting: Waiting, now: float) -> bool:
        """Queue a demand that waited before, at its old place."""
        demand_id = waiting.demand.demand_id
        if demand_id in self._owner:
            return False
        self._owner[demand_id] = waiting.router
        queue = self._queues.setdefault(waiting.router, FleetQueue())
        return queue.restore(waiting, now)

    def remove(self, demand_id: str) -> Waiting | None:
        """Take a demand out of its router's queue."""
        router = self._owner.pop(demand_id, None)
        return None if router is None else self._queues[router].remove(demand_id)

    def pop(self, eligible: Eligible, now: float) -> Waiting | None:
        """Take the next demand of the router that was served longest ago."""
        for router in sorted(self._queues, key=lambda name: self._served.get(name, -1)):
            waiting = self._queues[router].pop(eligible, now)
            if waiting is not None:
                self._served[router] = next(self._turn)
                del self._owner[waiting.demand.demand_id]
                return waiting
        return None

    def begin(self, waiting: Waiting) -> Charge:
        """Charge the estimate at the demand's own router."""
        queue = self._queues[waiting.router]
        charge = queue.begin(waiting)
        self._charged[id(charge)] = queue
        return charge

    def adopt(self, workspace: WorkspaceName, charged: float) -> Charge:
        """Take over a lease; no router's queue is charged for it."""
        return self._adopted.adopt(workspace, charged)

    def progress(self, charge: Charge, service: float) -> None:
        """Note service at the router that was charged."""
        self._charged.get(id(charge), self._adopted).progress(charge, service)

    def finish(self, charge: Charge, service: float, *, learn: bool = True) -> None:
        """Correct the charge at the router that was charged."""
        queue = self._charged.pop(id(charge), self._adopted)
        queue.finish(charge, service, learn=learn)

    def forget_idle(self, now: float) -> None:
        """Drop what is no longer needed of idle workspaces."""
        for queue in self._queues.values():
            queue.forget_idle(now)


def make_queue(policy: str) -> SchedulingPolicy:
    """Return a new queue: `fleet`, or one of the baselines `fifo` and `local`.

    Raise `ConfigurationError` for any other name.
    """
    makers: dict[str, type] = {
        "fleet": FleetQueue,
        "fifo": FifoQueue,
        "local": LocalQueue,
    }
    if policy not in makers:
        raise ConfigurationError(
            f"There is no scheduling policy {policy!r}.",
            hint=f"Use one of {', '.join(makers)}.",
        )
    return makers[policy]()
