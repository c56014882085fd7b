"""Ask engines for what they have cached, once for all streams that wait for it.

Load pattern: after a loss of all routers, hundreds of streams are taken up at routers
that have just started. A list delays its engine, so the streams that come at about the
same time share one. A list that was made before a take-up came isn't used for it: the
stream may have begun since then.
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Collection, Sequence

import anyio
from attrs import define, field, frozen

from fulmarroad.events import Event, emit
from fulmarroad_serving._catalog import Catalog
from fulmarroad_serving._registry import Instance, Registered
from fulmarroad_serving.contracts import CallHead, EngineMemories, EngineMemory
from fulmarroad_serving.exceptions import StoreError
from fulmarroad_serving.streams._engine_evidence import (
    Doubt,
    EngineReply,
    Evidence,
    claim_of,
    decide_by_engines,
)
from fulmarroad_serving.streams._records import StreamOrigin

logger = logging.getLogger("fulmarroad.serving")

MAX_ENGINES = 64
"""Number of engines above which none is asked: each router would list each engine."""

ASK_FOR_S = 6.0
"""Time in seconds after its start in which a router asks: callers whose router was lost
come back within some seconds. Later, routers remember the streams themselves."""

MAX_ROUNDS = 4
"""Number of times that a router asks engines."""

ROUND_INTERVAL_S = 0.6
"""Least time in seconds between two times that engines are asked."""

COLLECT_S = 0.1
"""Time in seconds for which streams are collected that share the lists."""

ANSWER_TIMEOUT_S = 0.25
"""Time in seconds for the answers of all engines, which need some milliseconds."""

MAX_HOLD_S = 1.0
"""Longest time in seconds for which a stream waits; the sum of those above."""

Engines = Callable[[], Sequence[Instance]]
"""Return all servers that may have begun a stream."""

Departures = Callable[[float], Collection[StreamOrigin] | None]
"""Return the versions of servers that left or restarted within the last seconds, None
if that isn't known."""


@define
class _Round:
    replies: tuple[EngineReply, ...] = ()
    done: anyio.Event = field(factory=anyio.Event)


def engines_of(catalog: Catalog, rows: Sequence[Registered]) -> list[Instance]:
    """Return all servers that may be engines, also of services that have gone."""
    plain = {name for name, row in catalog.services.items() if row.engine is None}
    return [row.instance for row in rows if row.instance.service not in plain]


class EngineLists:
    """Ask all engines at once, a few times after this router's start."""

    def __init__(
        self,
        memories: EngineMemories | None,
        engines: Engines,
        clock: Callable[[], float],
    ) -> None:
        self._memories = memories
        self._engines = engines
        self._clock = clock
        self._started_at = clock()
        self._rounds = 0
        self._last_at = float("-inf")
        self._next: _Round | None = None
        self._due = anyio.Event()

    async def replies(self) -> Sequence[EngineReply] | Doubt:
        """Return the answers of all engines, asked after this call."""
        if self._memories is None:
            return Doubt.NO_ANSWER
        if self._clock() - self._started_at > ASK_FOR_S:
            return Doubt.TOO_LATE
        if len(self._engines()) > MAX_ENGINES:
            return Doubt.TOO_MANY_ENGINES
        pending = self._next
        if pending is None:
            if self._rounds >= MAX_ROUNDS:
                return Doubt.TOO_LATE
            self._rounds += 1
            pending = self._next = _Round()
            self._due.set()
        with anyio.move_on_after(MAX_HOLD_S):
            await pending.done.wait()
            return pending.replies
        return Doubt.NO_ANSWER

    async def run(self) -> None:
        """Ask engines when streams wait for it, until cancelled."""
        while True:
            await self._due.wait()
            self._due = anyio.Event()
            if self._next is not None and self._memories is not None:
                await self._ask(self._next, self._memories)

    async def _ask(self, pending: _Round, memories: EngineMemories) -> None:
        since_s = self._clock() - self._last_at
        await anyio.sleep(max(COLLECT_S, ROUND_INTERVAL_S - since_s))
        self._last_at = self._clock()
        # Streams that come from now on need the next lists.
        self._next = None
        instances = self._engines()
        found: dict[str, EngineMemory] = {}
        try:
            with anyio.move_on_after(ANSWER_TIMEOUT_S):
                async with anyio.create_task_group() as group:
                    for instance in instances:
                        group.start_soon(_read, memories, instance, found)
        finally:
            pending.replies = tuple(
                EngineReply(StreamOrigin(row.service, row.version), found.get(row.id))
                for row in instances
            )
            pending.done.set()
        emit(
            logger,
            Event.ENGINES_LISTED,
            engines=len(instances),
            answered=len(found),
            seconds=round(self._clock() - self._last_at, 4),
        )


async def _read(
    memories: EngineMemories, instance: Instance, found: dict[str, EngineMemory]
) -> None:
    try:
        memory = await memories.read(instance, ANSWER_TIMEOUT_S)
    except StoreError as error:
        emit(
            logger,
            Event.ENGINE_LIST_FAILED,
            server=instance.id,
            cause=error.message,
        )
        return
    # The entry may be that of a run before, with another version and another memory.
    if memory.started_ms == instance.started_ms:
        found[instance.id] = memory


@frozen
class EngineEvidence:
    """Find the version that began a stream in the caches of all engines."""

    _lists: EngineLists
    _departures: Departures

    async def find(self, head: CallHead, life_s: float) -> Evidence:
        """Return which version began a stream that is at most `life_s` seconds old."""
        claim = claim_of(head)
        if claim is None:
            return Evidence(doubt=Doubt.NO_PART)
        if self._departures(life_s) is None:
            return Evidence(doubt=Doubt.DEPARTURES_UNKNOWN)
        replies = await self._lists.replies()
        if isinstance(replies, Doubt):
            return Evidence(doubt=replies)
        # Servers may have left while engines were asked.
        departed = self._departures(life_s)
        return decide_by_engines(claim, replies, departed)
