"""Decide from engines' caches which software version began a stream.

Load pattern: all routers are lost at once, and nobody remembers where the streams began
that their callers take up within seconds. The last part of a prompt belongs to its
request, or to its session, so the engines that hold it ran one of these. That proves a
version only if no other one can have run the stream: each engine answered, those of
other versions hold nothing of the part and can't have lost it, and no server of another
version left while the stream can have begun. Everything else leaves it unknown.
"""

from __future__ import annotations

from collections.abc import Collection
from enum import Enum

from attrs import frozen

from fulmarroad_serving.contracts import CallHead, EngineMemory
from fulmarroad_serving.streams._records import StreamOrigin

LARGEST_PARTS = 4
"""Number of parts as large as the largest that is known, for which an engine that has
evicted nothing has room. Parts yield only to make room, so an engine that evicted some
has less room than the largest of them."""


class Doubt(Enum):
    """Name why engines' caches don't tell which version began a stream."""

    NO_PART = "no_part"
    NOT_HELD = "not_held"
    HELD_IN_PART = "held_in_part"
    TWO_VERSIONS = "two_versions"
    NO_ANSWER = "no_answer"
    MAY_BE_EVICTED = "may_be_evicted"
    DEPARTURES_UNKNOWN = "departures_unknown"
    SERVERS_LEFT = "servers_left"
    TOO_MANY_ENGINES = "too_many_engines"
    TOO_LATE = "too_late"


@frozen
class StreamClaim:
    """Name the part of a stream's prompt that is its own, and its least tokens."""

    part: str
    tokens: int  # of the part, and of the events that the caller has


@frozen
class EngineReply:
    """Hold what an engine has cached; `memory` is None if that is not certain."""

    origin: StreamOrigin
    memory: EngineMemory | None


@frozen
class Evidence:
    """Hold the version that began a stream, or why it is not known."""

    origin: StreamOrigin | None = None
    doubt: Doubt | None = None


def claim_of(head: CallHead) -> StreamClaim | None:
    """Return what an engine that ran a stream holds, None if that isn't known.

    An event has at least one token.
    """
    if not head.own_part or not head.own_part_tokens:
        return None
    if not (head.last_event_id.isascii() and head.last_event_id.isdigit()):
        return None
    return StreamClaim(head.own_part, head.own_part_tokens + int(head.last_event_id))


def decide_by_engines(
    claim: StreamClaim,
    replies: Collection[EngineReply],
    departed: Collection[StreamOrigin] | None,
) -> Evidence:
    """Return the only version that can have begun a stream.

    `replies` are those of all engines; `departed` are the versions of servers that left
    or restarted since the stream can have begun, None if that isn't known.
    """
    memories = [(row.origin, row.memory) for row in replies if row.memory is not None]
    if len(memories) < len(replies):
        return Evidence(doubt=Doubt.NO_ANSWER)
    held = [(origin, memory.parts.get(claim.part, 0)) for origin, memory in memories]
    holders = {origin for origin, tokens in held if tokens > 0}
    if not holders:
        return Evidence(doubt=Doubt.NOT_HELD)
    if len(holders) > 1:
        return Evidence(doubt=Doubt.TWO_VERSIONS)
    if max(tokens for _, tokens in held) < claim.tokens:
        # An earlier, shorter request of the session, or one that was cut by evictions.
        return Evidence(doubt=Doubt.HELD_IN_PART)
    others = [memory for origin, memory in memories if origin not in holders]
    largest = max(max(memory.parts.values(), default=0) for _, memory in memories)
    if any(_may_have_evicted(memory, largest) for memory in others):
        return Evidence(doubt=Doubt.MAY_BE_EVICTED)
    if departed is None:
        return Evidence(doubt=Doubt.DEPARTURES_UNKNOWN)
    if not holders.issuperset(departed):
        return Evidence(doubt=Doubt.SERVERS_LEFT)
    return Evidence(holders.pop())


def _may_have_evicted(memory: EngineMemory, largest: int) -> bool:
    room = memory.capacity_tokens - sum(memory.parts.values())
    return room <= LARGEST_PARTS * largest
