"""Find out whether a backend server whose connection broke has ended.

Pattern of load: a server takes dozens of calls down with it, and each of them asks. A
reset connection, a spoiled answer or a cut link break calls as well, but leave a server
that takes new connections or says nothing; the host of one that ended refuses them.
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

MOST_VERDICTS = 256
"""Servers that ended or were asked lately; the oldest verdicts go first."""

ONE_END_S = 1.0
"""Time after an end in which calls that break off belong to it. Later ones ask anew: a
cut that refused connections may have healed."""

Start = tuple[ServerName, int]


@frozen
class _Verdict:
    ended: bool
    asked_at: float

    def holds(self, broke_at: float) -> bool:
        """Tell whether it answers for a call that broke off at a time."""
        return broke_at <= self.asked_at + (ONE_END_S if self.ended else 0.0)


class CrashDetector:
    """Ask a server once for all the calls that it broke off together."""

    def __init__(
        self, pool: ConnectionPool, registry: Registry, clock: Callable[[], float]
    ) -> None:
        self._pool = pool
        self._registry = registry
        self._clock = clock
        self._verdicts: dict[Start, _Verdict] = {}
        self._asking: dict[Start, anyio.Event] = {}

    async def has_crashed(self, instance: Instance, broke_at: float) -> bool:
        """Tell whether a server that broke a call off ended, and unannounced."""
        start = (instance.id, instance.started_ms)
        while True:
            verdict = self._verdicts.get(start)
            if verdict is not None and verdict.holds(broke_at):
                return verdict.ended
            asking = self._asking.get(start)
            if asking is None:
                return await self._ask(instance, start)
            await asking.wait()

    async def _ask(self, instance: Instance, start: Start) -> bool:
        asking = self._asking[start] = anyio.Event()
        asked_at = self._clock()
        try:
            ended = self._is_expected(instance) and await self._pool.refuses(instance)
            self._verdicts[start] = _Verdict(ended, asked_at)
            if len(self._verdicts) > MOST_VERDICTS:
                del self._verdicts[next(iter(self._verdicts))]
        finally:
            del self._asking[start]
            asking.set()
        if ended:
            emit(
                logger,
                Event.SERVER_ENDED,
                server=instance.id,
                service=instance.service,
                data_centre=instance.data_centre,
            )
        return ended

    def _is_expected(self, instance: Instance) -> bool:
        """Tell whether the server should be running: it did not say that it leaves."""
        row = self._registry.get(instance.id)
        return row is not None and not row.instance.draining
