"""Read the platform's store, or leave that to a peer.

Calls to the store are counted over the whole fleet, pending watches included. One
router of each data centre therefore reads and the others copy the changes from it. A
router reads for itself as soon as no peer has had a recent answer from the store, so
the loss of a reader, or of its link to the store, delays changes by about two seconds.
"""

from __future__ import annotations

import logging
import random
from collections.abc import Awaitable, Callable

import anyio

from fulmarroad.events import Event, emit
from fulmarroad.supervision import continue_on_error
from fulmarroad_serving._positions import era_of, revision_of
from fulmarroad_serving._router_state import RouterState
from fulmarroad_serving.contracts import Listing, StateStore
from fulmarroad_serving.exceptions import HistoryLostError, StoreError

logger = logging.getLogger("fulmarroad.serving")

WATCH_S = 1.0
"""Time in seconds that a watch waits for a change; a store that stopped answering is
detected after it."""

BATCH_S = 0.15
"""Pause in seconds between two watches, which collects changes into one call. It is an
eighth of the shortest time within which a change must be in force."""

RETRY_S = (0.15, 0.4)
"""Range in seconds of the pause after a failed call; it allows several attempts within
two seconds, the time in which a change must be in force."""

MAX_CALL_S = WATCH_S + 0.8
"""Time in seconds of a watch above which this process stood still meanwhile. Its answer
may have waited in the socket and is only known to be newer than the call."""

IDLE_CHECK_S = 0.1


class StoreReader:
    """Call the store on behalf of one router."""

    def __init__(
        self,
        store: StateStore,
        beliefs: RouterState,
        should_read: Callable[[], bool],
        clock: Callable[[], float],
        seed: int,
    ) -> None:
        self._store = store
        self._router_state = beliefs
        self._should_read = should_read
        self._clock = clock
        self._random = random.Random(seed)
        self._needs_listing = True
        self._answered_at = float("-inf")
        self._failed_at = float("-inf")
        self._is_unreachable = False
        self.on_listed: Callable[[Listing], Awaitable[None]] | None = None
        """Called after a complete listing was applied."""

    def age_s(self) -> float:
        """Return the seconds since the store last answered this router."""
        return self._clock() - self._answered_at

    def failure_age_s(self) -> float:
        """Return the seconds since a call of this router to the store last failed."""
        return self._clock() - self._failed_at

    async def run(self) -> None:
        """Read whenever it is this router's turn, until cancelled."""
        while True:
            if not self._should_read():
                # Peers deliver the changes made in the meantime, but a peer's copy may
                # be older, so a router without a copy still lists the store itself.
                self._needs_listing = (
                    self._needs_listing or not self._router_state.replica.known
                )
                await anyio.sleep(IDLE_CHECK_S)
                continue
            with continue_on_error("reading the store"):
                await self._try_read()
                continue
            self._needs_listing = True
            await anyio.sleep(self._random.uniform(*RETRY_S))

    async def _try_read(self) -> None:
        try:
            await self._read()
        except HistoryLostError as error:
            self._needs_listing = True
            emit(logger, Event.STORE_HISTORY_LOST, cause=error.message)
            # Without a pause, a store that refuses every watch would be listed in a
            # tight loop.
            await anyio.sleep(BATCH_S)
        except StoreError as error:
            self._note_failure(error)
            await anyio.sleep(self._random.uniform(*RETRY_S))

    async def _read(self) -> None:
        if self._needs_listing or not self._router_state.replica.known:
            listing = await self._store.list_all()
            self._note_answer(self._clock())
            self._needs_listing = False
            known_at = self._router_state.replica.at
            changed = self._router_state.apply_listing(
                listing.items,
                listing.at,
                self.failure_age_s(),
                "store",
                is_paged=listing.is_paged,
            )
            emit(
                logger,
                Event.STORE_LISTED,
                at=revision_of(listing.at),
                era=era_of(listing.at),
                known_at=revision_of(known_at),
                items=len(listing.items),
                changed=changed,
            )
            if self.on_listed is not None:
                await self.on_listed(listing)
            return
        called_at = self._clock()
        listing = await self._store.watch(self._router_state.replica.at, WATCH_S)
        now = self._clock()
        self._note_answer(now if now <= called_at + MAX_CALL_S else called_at)
        self._router_state.apply_changes(
            listing.items, listing.at, self.failure_age_s(), "store"
        )
        await anyio.sleep(BATCH_S)

    def _note_answer(self, at: float) -> None:
        self._answered_at = at
        if self._is_unreachable:
            self._is_unreachable = False
            emit(
                logger, Event.STORE_BACK, at=revision_of(self._router_state.replica.at)
            )

    def _note_failure(self, error: StoreError) -> None:
        self._failed_at = self._clock()
        if not self._is_unreachable:
            self._is_unreachable = True
            emit(
                logger,
                Event.STORE_LOST,
                cause=error.message,
                at=revision_of(self._router_state.replica.at),
            )
