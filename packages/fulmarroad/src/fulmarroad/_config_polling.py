"""Polling of one value of the configuration service with few calls and backoff.

The service counts every call, and it may be down, slow or ignore the requested wait.
A few watchers use long polls and all other routers poll slowly; otherwise 370 routers
would hold 740 long polls, and the calls per second would grow with the fleet. Jitter
and backoff spread the calls. Without them all routers would retry at the same time
after a failure and keep the service down, and calls would peak once per polling period.
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
"""Seconds that a long poll waits for a change.

Below the usual idle timeouts of one minute, and long enough that a watch of an
unchanged value costs two calls per minute."""

MIN_LONG_POLL_INTERVAL_S = 1.0
"""Minimum seconds between the starts of two long polls.

A service that ignores the requested wait or returns no entity tag would otherwise be
polled without a pause. A second change within this second is read at its end."""

ROLE_CHECK_S = 5.0
"""Maximum seconds until a slow poller notices that it has become a watcher."""

BACKOFF_BASE_S = 0.5
BACKOFF_CAP_S = 30.0
"""Bounds of the retry delay in seconds.

The base of half a second covers a restart of the service. At the cap, with full jitter,
370 routers with two values each make about 49 calls per second, 2.5% of the service's
capacity."""


class Backoff:
    """Compute exponential retry delays with full jitter.

    Each delay is uniform between 0 and a ceiling that doubles after every failure, so
    that routers that failed at the same time do not retry at the same time.
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
        """Return the seconds to wait after a failure, and double the ceiling."""
        delay = self._rng.uniform(0.0, self._ceiling_s)
        self._ceiling_s = min(self._cap_s, self._ceiling_s * 2)
        return delay

    def reset(self) -> None:
        """Reset the ceiling to the base delay after a success."""
        self._ceiling_s = self._base_s


class Poller:
    """Poll one value: with long polls on a watcher, slowly on other routers.

    `read` queries the service. `apply` receives a changed body; it raises
    `ConfigurationServiceError` if the body could not be processed and must be read
    again. `period_s` is the mean number of seconds between slow reads.
    """

    def __init__(
        self,
        name: str,
        read: Callable[[str, float], Awaitable[SourceReply]],
        apply: Callable[[bytes], Awaitable[None]],
        *,
        is_watcher: Callable[[], bool],
        period_s: float,
        rng: random.Random,
    ) -> None:
        self._name = name
        self._read = read
        self._apply = apply
        self._is_watcher = is_watcher
        self._period_s = period_s
        self._rng = rng
        self._backoff = Backoff(rng)
        self._etag = ""
        self._reachable = True

    @property
    def reachable(self) -> bool:
        """Return whether the last read succeeded."""
        return self._reachable

    async def run(self) -> NoReturn:
        """Poll until cancelled."""
        await self._read_once(0.0)
        while True:
            if self._is_watcher():
                await self._long_poll()
            else:
                await self._wait_for_next_read()
                await self._read_once(0.0)

    async def _long_poll(self) -> None:
        due = anyio.current_time() + MIN_LONG_POLL_INTERVAL_S
        await self._read_once(WATCH_S)
        await anyio.sleep_until(due)

    async def _wait_for_next_read(self) -> None:
        """Wait for the next slow read, or until this router becomes a watcher."""
        due = anyio.current_time() + self._rng.uniform(0.5, 1.5) * self._period_s
        while not self._is_watcher():
            left = due - anyio.current_time()
            if left <= 0:
                return
            await anyio.sleep(min(left, ROLE_CHECK_S))

    async def _read_once(self, wait_s: float) -> None:
        """Read once; after a failure, wait for the backoff delay."""
        try:
            reply = await self._read(self._etag, wait_s)
            if reply.body is not None:
                await self._apply(reply.body)
        except ConfigurationServiceError as error:
            self._record_failure(error)
            await anyio.sleep(self._backoff.next())
            return
        # Store the tag only after `apply` succeeds; with the new tag, the service would
        # not return a value again whose processing failed.
        self._etag = reply.etag
        self._record_success()

    def _record_failure(self, error: ConfigurationServiceError) -> None:
        if self._reachable:
            emit(logger, Event.SERVICE_UNREACHABLE, value=self._name, cause=str(error))
        self._reachable = False

    def _record_success(self) -> None:
        if not self._reachable:
            emit(logger, Event.SERVICE_BACK, value=self._name)
        self._reachable = True
        self._backoff.reset()
