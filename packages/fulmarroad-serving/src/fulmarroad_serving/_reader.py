"""Read the platform's store, or leave that to a peer that does.

Every call to the store is counted over the whole fleet, a waiting one too, so one
router of each data centre reads and the others take the changes from its copy. A
router reads for itself as soon as no peer has heard from the store lately, so that
the loss of a reader, or of the way to it, costs about two seconds of news.
"""

from __future__ import annotations

import logging
import random
from collections.abc import Callable

import anyio

from fulmarroad.events import Event, emit
from fulmarroad_serving._positions import era_of, revision_of
from fulmarroad_serving._router_state import RouterState
from fulmarroad_serving.contracts import StateStore
from fulmarroad_serving.exceptions import HistoryLostError, StoreError

logger = logging.getLogger("fulmarroad.serving")

WATCH_S = 1.0
"""Time that a watch waits: a store that has gone silent shows after it."""

BATCH_S = 0.15
"""Pause between two watches, in which changes gather to one call; an eighth of the
shortest bound within which a change has to be in force."""

RETRY_S = (0.15, 0.4)
"""Pause after a failed call: a bound of two seconds leaves room for several tries."""

IDLE_CHECK_S = 0.1


class StoreReader:
    """Own the calls to the store of one router."""

    def __init__(
        self,
        store: StateStore,
        beliefs: RouterState,
        due: Callable[[], bool],
        clock: Callable[[], float],
        seed: int,
    ) -> None:
        self._store = store
        self._router_state = beliefs
        self._due = due
        self._clock = clock
        self._random = random.Random(seed)
        self._must_list = True
        self._heard_at = float("-inf")
        self._failed_at = float("-inf")
        self._lost = False

    def age_s(self) -> float:
        """Return the time since the store last answered this router."""
        return self._clock() - self._heard_at

    def failure_age_s(self) -> float:
        """Return the time since the store last failed this router."""
        return self._clock() - self._failed_at

    async def run(self) -> None:
        """Read for as long as it is this router's turn, until cancelled."""
        while True:
            if not self._due():
                # What is missed meanwhile comes by peers, whose copy may be older.
                self._must_list = (
                    self._must_list or not self._router_state.replica.known
                )
                await anyio.sleep(IDLE_CHECK_S)
                continue
            try:
                await self._read()
            except HistoryLostError as error:
                self._must_list = True
                emit(logger, Event.STORE_HISTORY_LOST, cause=error.message)
                # A store that refuses each watch would be listed without a pause.
                await anyio.sleep(BATCH_S)
            except StoreError as error:
                self._note_lost(error)
                await anyio.sleep(self._random.uniform(*RETRY_S))

    async def _read(self) -> None:
        if self._must_list or not self._router_state.replica.known:
            listing = await self._store.list_all()
            self._note_heard()
            self._must_list = False
            known_at = self._router_state.replica.at
            changed = self._router_state.apply_listing(
                listing.items, listing.at, self.failure_age_s(), "store"
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
            return
        listing = await self._store.watch(self._router_state.replica.at, WATCH_S)
        self._note_heard()
        self._router_state.apply_changes(
            listing.items, listing.at, self.failure_age_s(), "store"
        )
        await anyio.sleep(BATCH_S)

    def _note_heard(self) -> None:
        self._heard_at = self._clock()
        if self._lost:
            self._lost = False
            emit(
                logger, Event.STORE_BACK, at=revision_of(self._router_state.replica.at)
            )

    def _note_lost(self, error: StoreError) -> None:
        self._failed_at = self._clock()
        if not self._lost:
            self._lost = True
            emit(
                logger,
                Event.STORE_LOST,
                cause=error.message,
                at=revision_of(self._router_state.replica.at),
            )
