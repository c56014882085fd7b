"""Watching one value of the configuration service, sparingly and through failures.

Answers a service that counts every call while the fleet grows, and one that is down,
slow or ignores the wish to wait. Without the split into a few watchers and many slow
pollers 370 routers would hold 740 watches; without jitter and backoff they would all
come back in the same moment after a failure and keep the service down. One would notice
by calls a second that rise with the fleet, and by peaks on the beat of the period.
"""

from __future__ import annotations

import logging
import random
from collections.abc import Awaitable, Callable
from typing import NoReturn

import anyio

from fulmarroad._config_source import SourceReply
from fulmarroad.events import Event, emit
from fulmarroad.exceptions import ConfigurationServiceError

logger = logging.getLogger("fulmarroad.configuration")

WATCH_S = 30.0
"""Seconds that a long poll waits: below the usual idle timeouts of a minute, and long
enough that a quiet watch costs two calls a minute."""

SHORTEST_CYCLE_S = 1.0
"""Least time between two long polls. A service that ignores the wish to wait, or gives
no entity tag, would otherwise be asked without a pause; a change that follows another
within the second waits for its end."""

ROLE_CHECK_S = 5.0
"""How soon a slow poller finds out that it has become a watcher."""

BACKOFF_BASE_S = 0.5
BACKOFF_CAP_S = 30.0
"""Half a second rides out a restart of the service. At the cap, with full jitter, 370
routers with two values each make about 49 calls a second, 2.5% of what it bears."""


class Backoff:
    """Give growing delays with full jitter.

    Each delay is uniform from 0 to a ceiling that doubles, so that routers which failed
    in the same moment don't come back in the same moment.
    """

    def __init__(
        self,
        rng: random.Random,
        base_s: float = BACKOFF_BASE_S,
        cap_s: float = BACKOFF_CAP_S,
    ) -> None:
        self._rng = rng
        self._base_s = base_s
        self._cap_s = cap_s
        self._ceiling_s = base_s

    def next(self) -> float:
        """Return the seconds to wait after one more failure."""
        delay = self._rng.uniform(0.0, self._ceiling_s)
        self._ceiling_s = min(self._cap_s, self._ceiling_s * 2)
        return delay

    def reset(self) -> None:
        """Begin anew after a success."""
        self._ceiling_s = self._base_s


class Poller:
    """Read one value over and over: as a watcher by long polls, else slowly.

    `read` asks the service, `take` gets a changed body and raises
    `ConfigurationServiceError` if it couldn't be followed up and is to be read again.
    """

    def __init__(
        self,
        name: str,
        read: Callable[[str, float], Awaitable[SourceReply]],
        take: Callable[[bytes], Awaitable[None]],
        *,
        watches: Callable[[], bool],
        period_s: float,
        rng: random.Random,
    ) -> None:
        self._name = name
        self._read = read
        self._take = take
        self._watches = watches
        self._period_s = period_s
        self._rng = rng
        self._backoff = Backoff(rng)
        self._etag = ""
        self._reachable = True

    @property
    def reachable(self) -> bool:
        """Tell whether the last read brought an answer."""
        return self._reachable

    async def run(self) -> NoReturn:
        """Read for ever."""
        await self._attempt(0.0)
        while True:
            if self._watches():
                await self._watch()
            else:
                await self._pause()
                await self._attempt(0.0)

    async def _watch(self) -> None:
        due = anyio.current_time() + SHORTEST_CYCLE_S
        await self._attempt(WATCH_S)
        await anyio.sleep_until(due)

    async def _pause(self) -> None:
        """Wait for the next slow read, or until this router becomes a watcher."""
        due = anyio.current_time() + self._rng.uniform(0.5, 1.5) * self._period_s
        while not self._watches():
            left = due - anyio.current_time()
            if left <= 0:
                return
            await anyio.sleep(min(left, ROLE_CHECK_S))

    async def _attempt(self, wait_s: float) -> None:
        """Read once, and wait out a failure."""
        try:
            reply = await self._read(self._etag, wait_s)
            if reply.body is not None:
                await self._take(reply.body)
        except ConfigurationServiceError as error:
            self._note_failure(error)
            await anyio.sleep(self._backoff.next())
            return
        # The tag is kept only now: a value that wasn't followed up is to come again.
        self._etag = reply.etag
        self._note_success()

    def _note_failure(self, error: ConfigurationServiceError) -> None:
        if self._reachable:
            emit(logger, Event.SERVICE_UNREACHABLE, value=self._name, cause=str(error))
        self._reachable = False

    def _note_success(self) -> None:
        if not self._reachable:
            emit(logger, Event.SERVICE_BACK, value=self._name)
        self._reachable = True
        self._backoff.reset()
