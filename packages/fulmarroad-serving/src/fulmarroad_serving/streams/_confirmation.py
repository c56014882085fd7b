"""Confirm this router's list of servers by a read of the store that began after a call.

Load pattern: a router that was cut off or stood still gets the streams of another one,
hundreds within a second. Each needs to know that the list is complete as of its own
coming, so those that come while a read is on its way share the next one. The store's
limit counts calls over the whole fleet, so the pause between two reads grows with it.
"""

from __future__ import annotations

import logging
from collections.abc import Callable

import anyio

from fulmarroad.events import Event, emit
from fulmarroad.supervision import continue_on_error
from fulmarroad_serving._positions import revision_of
from fulmarroad_serving._router_state import RouterState
from fulmarroad_serving.contracts import StateStore
from fulmarroad_serving.exceptions import StoreError

logger = logging.getLogger("fulmarroad.serving")

READ_TIMEOUT_S = 0.8
"""Time in seconds for a read; the store answers in milliseconds, or half a second when
it is slow."""

FLEET_READS_PER_S = 500.0
"""Maximum number of reads per second of all routers together: a quarter of what stores
allow, as readers of changes need the rest."""

MIN_INTERVAL_S = 0.05
"""Least time in seconds between two reads, which callers may force."""

READS_AWAITED = 2
"""Number of reads after which a call knows: the first may have begun before it."""


class ListConfirmation:
    """Read the store's newest changes when a call needs the list to be complete."""

    def __init__(
        self,
        store: StateStore,
        router_state: RouterState,
        fleet_size: Callable[[], int],
        failure_age_s: Callable[[], float],
        clock: Callable[[], float],
    ) -> None:
        self._store = store
        self._router_state = router_state
        self._fleet_size = fleet_size
        self._failure_age_s = failure_age_s
        self._failed_at = float("-inf")
        self._clock = clock
        self._confirmed_as_of = float("-inf")
        """When the newest read began that was answered."""
        self._last_read_at = float("-inf")
        self._due = anyio.Event()
        self._ended = anyio.Event()

    async def confirm(self, since: float, timeout_s: float) -> bool:
        """Return whether the list is complete as of a time of the router's clock.

        False if the store gives no usable answer within `timeout_s` seconds.
        """
        with anyio.move_on_after(timeout_s):
            for _ in range(READS_AWAITED):
                if self._confirmed_as_of >= since:
                    return True
                ended = self._ended
                self._due.set()
                await ended.wait()
        return self._confirmed_as_of >= since

    async def run(self) -> None:
        """Read when calls wait for it, until cancelled."""
        while True:
            await self._due.wait()
            pause_s = max(MIN_INTERVAL_S, self._fleet_size() / FLEET_READS_PER_S)
            next_at = self._last_read_at + pause_s
            await anyio.sleep(max(0.0, next_at - self._clock()))
            self._due = anyio.Event()
            try:
                with continue_on_error("confirming the list"):
                    await self._read()
            finally:
                ended, self._ended = self._ended, anyio.Event()
                ended.set()

    async def _read(self) -> None:
        state = self._router_state
        begun_at = self._last_read_at = self._clock()
        if not state.replica.known:
            return
        try:
            with anyio.fail_after(READ_TIMEOUT_S):
                listing = await self._store.read_changes(
                    state.replica.at, READ_TIMEOUT_S
                )
        except (StoreError, TimeoutError) as error:
            self._failed_at = self._clock()
            emit(
                logger,
                Event.LIST_UNCONFIRMED,
                cause=str(error),
                at=revision_of(state.replica.at),
                seconds=round(self._clock() - begun_at, 3),
            )
            return
        # Removals read just after a failure may be entries that lapsed in an outage.
        age_s = min(self._failure_age_s(), self._clock() - self._failed_at)
        state.apply_changes(listing.items, listing.at, age_s, "confirmation")
        self._confirmed_as_of = begun_at
