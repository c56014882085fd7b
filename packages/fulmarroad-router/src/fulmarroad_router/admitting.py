"""Admit calls at one router and refuse those early that would miss their deadline."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

import anyio

from fulmarroad.admission import Admission, LoadView, RetryBudget
from fulmarroad.coordination import Coordinator, RejectDemand, Rejected
from fulmarroad.tables import Tables
from fulmarroad.types import RefusalReason
from fulmarroad_router.calls import Call
from fulmarroad_router.exceptions import Refused

SHED_INTERVAL_S = 0.1
"""Interval of the checks of waiting calls, and so the longest delay of a refusal."""

RUNNING_RETRY_S = 1.0


class AdmissionController:
    """Track the calls that wait and run at this router, by workspace."""

    def __init__(
        self,
        coordinator: Coordinator,
        tables: Callable[[], Tables | None],
        clock: Callable[[], float],
    ) -> None:
        self._coordinator = coordinator
        self._tables = tables
        self._clock = clock
        self._admission = Admission()
        self._budget = RetryBudget()
        self._running: Counter[str] = Counter()

    @property
    def waiting(self) -> int:
        """Return how many calls wait for a lease."""
        return self._admission.waiting

    def admit(self, call: Call, demand_id: str, *, first: bool) -> None:
        """Register a call as waiting for a lease, or raise `Refused`.

        `first` is false for a further try, which does not add to the retry budget.
        """
        now = self._clock()
        workspace = call.workspace
        if self._running[workspace.name] >= workspace.max_running:
            raise Refused(RefusalReason.WORKSPACE_QUEUE_FULL, RUNNING_RETRY_S)
        if first:
            self._budget.note_request(call.pool.name, now)
        view = LoadView(
            pool=call.pool.name,
            wait_s=self._coordinator.follower.estimated_wait_s(call.pool.name),
            servers=self._count_usable_servers(call),
            remaining_s=call.deadline - now,
        )
        refusal = self._admission.admit(demand_id, workspace, call.route, view, now)
        self._refuse_shed_calls(now)
        if refusal is not None:
            raise Refused(refusal.reason, refusal.retry_after_s)

    def leave(self, demand_id: str) -> None:
        """Remove a call from the waiting calls."""
        self._admission.leave(demand_id)

    def begin(self, call: Call) -> None:
        """Count a call as running."""
        self._running[call.workspace.name] += 1

    def end(self, call: Call) -> None:
        """Count a call as ended."""
        self._running[call.workspace.name] -= 1
        if not self._running[call.workspace.name]:
            del self._running[call.workspace.name]

    def take_retry(self, pool: str) -> bool:
        """Take one retry from a pool's budget; return whether one was available."""
        return self._budget.take_retry(pool, self._clock())

    async def run(self) -> None:
        """Refuse waiting calls that can't be served in time, until cancelled."""
        while True:
            await anyio.sleep(SHED_INTERVAL_S)
            tables = self._tables()
            for pool in tables.pools if tables else ():
                wait_s = self._coordinator.follower.estimated_wait_s(pool)
                self._admission.set_estimated_wait(pool, wait_s)
            self._refuse_shed_calls(self._clock())

    def _refuse_shed_calls(self, now: float) -> None:
        for demand_id, refusal in self._admission.shed(now):
            rejection = Rejected(demand_id, refusal.reason, refusal.retry_after_s)
            self._coordinator.send_command(RejectDemand(rejection))

    def _count_usable_servers(self, call: Call) -> int:
        tables = self._tables()
        if tables is None:
            return 0
        return sum(tables.server_takes_work(row) for row in call.pool.servers)
