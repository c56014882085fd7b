"""Log each second what became of calls, placements and the servers that they need."""

from __future__ import annotations

import logging
from collections.abc import Callable
from math import isfinite

from attrs import define

from fulmarroad.events import Event, emit
from fulmarroad_serving._catalog import Catalog
from fulmarroad_serving._dispatch import Dispatcher
from fulmarroad_serving._metrics import Metrics
from fulmarroad_serving._obstacles import Obstacle
from fulmarroad_serving._owner_client import OwnerClient
from fulmarroad_serving._pool import ConnectionPool
from fulmarroad_serving._queueing import QueuedRequests
from fulmarroad_serving._workspace_outcomes import REPORT_INTERVAL_S, WorkspaceOutcomes
from fulmarroad_serving.admission import RetryOutcome, ScheduledRetries
from fulmarroad_serving.placement import most_asked

logger = logging.getLogger("fulmarroad.serving")

SERVERS_PER_S = 200
"""Number of servers looked at in a second, for a thousandth of a core; the lines about
the servers of larger services come less often."""

MAX_LOGGED_SERVICES = 4
"""Maximum number of services with a line about their servers in a second."""


@define
class OutcomeLog:
    """Write the lines that tell which workspaces lack places, and why."""

    _dispatcher: Dispatcher
    _pool: ConnectionPool
    _ends: WorkspaceOutcomes
    _owner_client: OwnerClient
    _catalog: Callable[[], Catalog]
    _metrics: Metrics
    _retries: ScheduledRetries
    _queued: QueuedRequests | None = None
    _servers_due: float = 0.0

    def log(self, now: float) -> None:
        """Write the lines that are due."""
        self._log_calls(now)
        self._log_placements(now)
        self._log_requests(now)
        self._log_queue(now)
        self._log_spilled(now)
        self._log_retries(now)
        if now >= self._servers_due:
            servers = len(self._dispatcher.registry.rows())
            self._servers_due = now + max(REPORT_INTERVAL_S, servers / SERVERS_PER_S)
            self._log_servers(now)

    def _log_calls(self, now: float) -> None:
        shares = self._dispatcher.shares
        for row in self._ends.pop_refusals(now):
            status = shares.share_status(row.workspace, now)
            emit(
                logger,
                Event.WORKSPACE_TURNED_AWAY,
                workspace=row.workspace,
                ends=row.ends,
                asked=round(status.asked),
                got=round(status.got),
                share_level=round(status.level) if isfinite(status.level) else None,
                window_s=shares.window_s,
            )

    def _log_placements(self, now: float) -> None:
        for row in self._dispatcher.placements.pop_refusals(now):
            emit(
                logger,
                Event.PLACEMENTS_REFUSED,
                workspace=row.workspace,
                units=row.ends,
            )

    def _log_requests(self, now: float) -> None:
        for row in self._owner_client.requests.pop_refusals(now):
            emit(
                logger,
                Event.PLACEMENT_REQUESTS_UNMET,
                workspace=row.workspace,
                requests=row.ends,
            )

    def _log_queue(self, now: float) -> None:
        status = self._queued.pop_status(now) if self._queued is not None else None
        if status is not None:
            emit(
                logger,
                Event.ADMISSION_QUEUE_STATUS,
                waiting=status.waiting,
                longest_wait_s=status.longest_wait_s,
                granted=status.granted,
                refused=status.refused,
                dropped=status.dropped,
            )

    def _log_spilled(self, now: float) -> None:
        counts = self._owner_client.spilled.pop(now)
        if not counts:
            return
        for row in counts.values():
            for outcome, calls in row.items():
                self._metrics.spilled.labels(outcome.value).inc(calls)
        emit(logger, Event.CALLS_SPILLED, calls=most_asked(counts))

    def _log_retries(self, now: float) -> None:
        self._retries.drop_missed(now)
        for row in self._retries.outcomes.pop_refusals(now):
            counts = {name.value: row.ends.get(name, 0) for name in RetryOutcome}
            emit(logger, Event.RETRIES_SCHEDULED, workspace=row.workspace, **counts)

    def _log_servers(self, now: float) -> None:
        services = list(self._catalog().services.values())[:MAX_LOGGED_SERVICES]
        for service in services:
            servers = self._dispatcher.servers
            obstacles = servers.count_obstacles(service, now)
            rows = self._dispatcher.registry.usable(service.name)
            full = sum(
                self._pool.is_full(
                    row.instance.id, service.max_connections, len(servers.routers)
                )
                for row in rows
            )
            if full:
                obstacles[Obstacle.CONNECTIONS] = full
            if obstacles:
                emit(
                    logger,
                    Event.SERVERS_NOT_USABLE,
                    service=service.name,
                    servers=len(rows),
                    obstacles=dict(obstacles),
                )
