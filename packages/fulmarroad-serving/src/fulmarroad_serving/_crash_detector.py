"""Detect whether a backend server has crashed after a connection to it broke.

Load pattern: a crash breaks dozens of calls, and each of them triggers a check. A
reset connection, a corrupt answer or a cut link break calls as well, but the server
then accepts a new connection or does not respond. If its process has ended, the host
refuses the connection.
"""

from __future__ import annotations

import logging
from collections.abc import Callable

import anyio
from attrs import frozen

from fulmarroad.events import Event, emit
from fulmarroad.types import ServerName
from fulmarroad_serving._pool import ConnectionPool
from fulmarroad_serving._registry import Instance, Registry

logger = logging.getLogger("fulmarroad.serving")

MAX_RESULTS = 256
"""Maximum number of results kept; the oldest are dropped first."""

CRASH_WINDOW_S = 1.0
"""Time after a detected crash in which broken calls are attributed to it.

Later ones check the server again, as it may only have been unreachable.
"""

Start = tuple[ServerName, int]


@frozen
class _CheckResult:
    ended: bool
    checked_at: float

    def applies_to(self, broke_at: float) -> bool:
        """Return whether the result applies to a call that broke at `broke_at`."""
        return broke_at <= self.checked_at + (CRASH_WINDOW_S if self.ended else 0.0)


class CrashDetector:
    """Check a server once for all calls that broke at about the same time."""

    def __init__(
        self, pool: ConnectionPool, registry: Registry, clock: Callable[[], float]
    ) -> None:
        self._pool = pool
        self._registry = registry
        self._clock = clock
        self._results: dict[Start, _CheckResult] = {}
        self._checks: dict[Start, anyio.Event] = {}

    async def has_crashed(self, instance: Instance, broke_at: float) -> bool:
        """Return whether a server that broke a call has ended without announcing it."""
        start = (instance.id, instance.started_ms)
        while True:
            result = self._results.get(start)
            if result is not None and result.applies_to(broke_at):
                return result.ended
            check_done = self._checks.get(start)
            if check_done is None:
                return await self._check(instance, start)
            await check_done.wait()

    async def _check(self, instance: Instance, start: Start) -> bool:
        check_done = self._checks[start] = anyio.Event()
        checked_at = self._clock()
        try:
            ended = self._is_expected(instance) and await self._pool.refuses(instance)
            self._results[start] = _CheckResult(ended, checked_at)
            if len(self._results) > MAX_RESULTS:
                del self._results[next(iter(self._results))]
        finally:
            del self._checks[start]
            check_done.set()
        if ended:
            self._registry.note_ended(instance, checked_at)
            emit(
                logger,
                Event.SERVER_ENDED,
                server=instance.id,
                service=instance.service,
                data_centre=instance.data_centre,
            )
        return ended

    def _is_expected(self, instance: Instance) -> bool:
        """Return whether the server should be running: registered and not draining."""
        row = self._registry.get(instance.id)
        return row is not None and not row.instance.draining
