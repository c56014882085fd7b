"""Ask other routers where a stream began, and which versions they know."""

from __future__ import annotations

from collections.abc import Callable, Collection

import anyio
from attrs import define, field, frozen

from fulmarroad.types import RouterName
from fulmarroad_serving._catalog import ServiceName
from fulmarroad_serving.streams._messages import (
    StreamFinding,
    StreamLookup,
    pack_lookup,
)
from fulmarroad_serving.streams._records import StreamKey, StreamOrigin
from fulmarroad_serving.streams._views import VersionView

LOOKUP_TIMEOUT_S = 0.1
"""Time for the answers to a lookup: a round trip between regions and a busy event
loop."""

LOOKUP_ATTEMPTS = 2
"""Number of times that a lookup is sent to routers that don't answer."""

MAX_LOOKUPS = 500
"""Maximum number of lookups at once, several times the streams of a lost router; each
costs some ten packets, and a caller may name any call."""

SendTo = Callable[[RouterName, bytes], None]
"""Send a packet to a router."""


@frozen
class Answers:
    """Hold what other routers know of a stream."""

    origin: StreamOrigin | None = None
    views: tuple[VersionView, ...] = ()
    asked: int = 0
    answered: frozenset[RouterName] = frozenset()
    met: frozenset[RouterName] | None = frozenset()  # by these, None: not known


@define
class _PendingLookup:
    key: StreamKey
    waiting: set[RouterName]
    origin: StreamOrigin | None = None
    views: dict[RouterName, VersionView] = field(factory=dict)
    met: set[RouterName] | None = field(factory=set)
    done: anyio.Event = field(factory=anyio.Event)

    def note(self, finding: StreamFinding) -> None:
        if finding.key != self.key or finding.router not in self.waiting:
            # It answers a lookup of an earlier start of this router, or comes twice.
            return
        self.waiting.discard(finding.router)
        self.views[finding.router] = finding.view
        if finding.met is None:
            self.met = None
        elif self.met is not None:
            self.met.update(finding.met)
        if self.origin is None:
            self.origin = finding.origin
        if self.origin is not None or not self.waiting:
            self.done.set()


class StreamLookups:
    """Send lookups and collect their answers."""

    def __init__(self, me: RouterName, send_to: SendTo) -> None:
        self._me = me
        self._send_to = send_to
        self._number = 0
        self._pending: dict[int, _PendingLookup] = {}

    async def ask(
        self,
        key: StreamKey,
        services: Collection[ServiceName],
        asked: Collection[RouterName],
        *,
        confirms: bool = False,
    ) -> Answers:
        """Return the answers that come in time; none if there are too many lookups.

        With `confirms`, the routers ask the store first whether their lists are
        complete.
        """
        if len(self._pending) >= MAX_LOOKUPS or not asked:
            return Answers()
        self._number += 1
        lookup = StreamLookup(self._me, self._number, key, tuple(services), confirms)
        pending = _PendingLookup(key, set(asked))
        self._pending[lookup.number] = pending
        try:
            await self._send(lookup, pending)
        finally:
            del self._pending[lookup.number]
        return Answers(
            pending.origin,
            tuple(pending.views.values()),
            len(asked),
            frozenset(pending.views),
            None if pending.met is None else frozenset(pending.met),
        )

    def note(self, finding: StreamFinding) -> None:
        """Record the answer of another router."""
        pending = self._pending.get(finding.number)
        if pending is not None:
            pending.note(finding)

    async def _send(self, lookup: StreamLookup, pending: _PendingLookup) -> None:
        data = pack_lookup(lookup)
        for _ in range(LOOKUP_ATTEMPTS):
            if pending.done.is_set() or not pending.waiting:
                return
            for router in sorted(pending.waiting):
                self._send_to(router, data)
            with anyio.move_on_after(LOOKUP_TIMEOUT_S):
                await pending.done.wait()
