"""Find out where a stream began, or which versions can have begun it.

Load pattern: the streams of a lost router are taken up within a tenth of a second, and
their records are found at other routers. Only for those without a record, or whose
callers don't name them, it is asked whether the list of servers is complete: first the
store, which answers in milliseconds, then routers that reach it. All of it together is
bounded, so that a router that is cut off refuses soon.
"""

from __future__ import annotations

from collections.abc import Callable, Collection

import anyio
from attrs import define, frozen

from fulmarroad_serving._catalog import ServiceName
from fulmarroad_serving.streams._keepers import Confirm, StreamKeepers
from fulmarroad_serving.streams._lookups import Answers
from fulmarroad_serving.streams._records import StreamKey, StreamOrigin
from fulmarroad_serving.streams._views import Confirmation, VersionView, join_views

FIRST_READ_S = 0.1
"""Time in seconds for the store's answer after which other routers are asked too."""

LATE_READ_S = 0.5
"""Further time in seconds for the answer of a slow store."""

MAX_CONFIRMING = 2
"""Number of routers asked to read the store; more would use up its limit of calls."""


@frozen
class Finding:
    """Hold what is known of a stream that a caller takes up."""

    origin: StreamOrigin | None
    versions: frozenset[StreamOrigin]  # that routers know in the services concerned
    asked: int = 0
    answered: int = 0
    watched_s: float = 0.0  # for how long they have known all versions
    confirmation: Confirmation = Confirmation.NONE  # that these are all
    list_is_complete: bool = False  # of this router, so that it names all engines

    def is_complete(self, life_s: float) -> bool:
        """Return whether no other version served in the last `life_s` seconds."""
        is_confirmed = self.confirmation is not Confirmation.NONE
        return is_confirmed and self.watched_s >= life_s


@define
class _Search:
    """Collect what is known while one stream is looked for."""

    key: StreamKey
    services: Collection[ServiceName]
    life_s: float
    began_at: float
    answers: Answers = Answers()
    is_confirmed: bool = False  # this router's own list
    confirmed_views: tuple[VersionView, ...] = ()


class VersionSearch:
    """Search for streams of which this router has no record."""

    def __init__(
        self, keepers: StreamKeepers, confirm: Confirm, clock: Callable[[], float]
    ) -> None:
        self._keepers = keepers
        self._confirm = confirm
        self._clock = clock

    async def find_named(
        self, key: StreamKey, services: Collection[ServiceName], life_s: float
    ) -> Finding:
        """Return where a stream began that its caller names.

        If nobody remembers it, return the versions that can have begun it.
        """
        origin = self._keepers.records_origin(key)
        if origin is not None:
            return Finding(origin, frozenset({origin}))
        search = _Search(key, services, life_s, self._clock())
        search.answers = await self._keepers.ask(key, services)
        finding = self._finding(search)
        if finding.origin is not None:
            return finding
        await self._confirm_own(search, FIRST_READ_S)
        return await self._complete(search)

    async def find_unnamed(
        self, key: StreamKey, services: Collection[ServiceName], life_s: float
    ) -> Finding:
        """Return the versions that can have begun a stream that nobody has named."""
        search = _Search(key, services, life_s, self._clock())
        finding = self._finding(search)
        if len({row.version for row in finding.versions}) > 1:
            # However many more are found, it isn't one.
            return finding
        await self._confirm_own(search, FIRST_READ_S)
        if self._finding(search).is_complete(life_s):
            return self._finding(search)
        search.answers = await self._keepers.ask(key, services)
        return await self._complete(search)

    async def _complete(self, search: _Search) -> Finding:
        """Return what is known after whoever reaches the store has been asked."""
        finding = self._finding(search)
        if finding.is_complete(search.life_s) or search.is_confirmed:
            return finding
        async with anyio.create_task_group() as group:
            group.start_soon(self._confirm_own, search, LATE_READ_S)
            await self._confirm_elsewhere(search)
            if self._finding(search).is_complete(search.life_s):
                group.cancel_scope.cancel()
        return self._finding(search)

    async def _confirm_own(self, search: _Search, timeout_s: float) -> None:
        search.is_confirmed = await self._confirm(search.began_at, timeout_s)

    async def _confirm_elsewhere(self, search: _Search) -> None:
        routers = self._keepers.in_contact()[:MAX_CONFIRMING]
        answers = await self._keepers.ask(
            search.key, search.services, routers, confirms=True
        )
        search.confirmed_views = answers.views

    def _finding(self, search: _Search) -> Finding:
        """Return what is known now, as it may have changed while others answered."""
        answers, keepers = search.answers, self._keepers
        origin = keepers.records_origin(search.key) or answers.origin
        own = keepers.view(search.services, is_confirmed=search.is_confirmed)
        known = join_views(
            own,
            (*answers.views, *search.confirmed_views),
            all_answered=keepers.are_all(answers),
        )
        is_confirmed = known.confirmation in (Confirmation.STORE, Confirmation.PEER)
        return Finding(
            origin,
            known.versions,
            answers.asked,
            len(answers.answered),
            known.watched_s,
            known.confirmation,
            list_is_complete=is_confirmed,
        )
