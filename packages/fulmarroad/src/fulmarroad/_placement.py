"""Choose where a request runs: a unit within a shard, and before that the shard.

Patterns of load: a few prompts that take most of the load, a slow server, long work
among short. Without affinity each server computes the same prompt prefixes again;
with affinity alone the server that holds a popular prefix gets all of its requests
while others idle. Operators would notice the first as a first-token time that grows
with the prompt, the second as one full server among empty ones. Affinity therefore
counts only while a server's load stays near the mean.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Collection, Sequence

import xxhash
from attrs import define, field, frozen

from fulmarroad._messages import Demand, Heartbeat
from fulmarroad._slots import FreeUnit
from fulmarroad.types import ServerName, ShardId, Unit, Warmth

LOAD_BOUND = 1.25
"""How far above the mean load a server may be and still get a request for its cached
prefix. At 1 affinity never counts, at 2 a popular prefix doubles one server's load; a
quarter above the mean is about what queueing hides."""

LOAD_SLACK = 0.1
"""Load that is always allowed on top, so that an idle shard still follows prefixes."""

PREFIX_BLOCKS = 4096
"""Blocks remembered for each server, about what an engine's cache holds; at 100 bytes a
block a shard of eight servers takes 3 MB at most."""

LONG_WORK = 4.0
"""Multiple of the mean cost hint above which a request is long work: it is kept off
servers that are not warm while another has room, as it would hold one of their few
units through several steps of the ramp."""

DISTANCE_S = 0.002
"""A request's way to another data centre and back."""

WAIT_STEP_S = 0.05
"""Waits within one step are alike: heartbeats are a quarter of a second old on average
and a caller doesn't notice the rest."""

UNKNOWN_ROOM = 8.0
"""Room taken for granted in a shard that was not heard of: about one server's, so that
it is asked now and then and its heartbeats tell the truth."""

LOAD_BOUND_OF_SHARD = 0.9
"""Load up to which a shard gets requests for its cached prefixes: fuller ones would
make them wait while others have room."""

HASH_RANGE = 2**64 + 1


class PrefixMap:
    """Remember which prompt prefixes each backend server has probably cached.

    A hint, never the truth: own placements add to it, answers correct it, and what was
    not used lately is dropped as the engine drops it.
    """

    def __init__(self, blocks: int = PREFIX_BLOCKS) -> None:
        self._blocks = blocks
        self._cached: dict[ServerName, OrderedDict[int, float]] = {}

    def note(self, server: ServerName, prefix: Sequence[int], now: float) -> None:
        """Add a prefix that a server computed or said to have cached."""
        known = self._cached.setdefault(server, OrderedDict())
        for block in reversed(prefix):  # so that the shortest is dropped last
            known[block] = now
            known.move_to_end(block)
        while len(known) > self._blocks:
            known.popitem(last=False)

    def correct(
        self, server: ServerName, prefix: Sequence[int], cached: int, now: float
    ) -> None:
        """Take an answer's word: only `cached` leading blocks had been there."""
        known = self._cached.get(server, OrderedDict())
        for block in prefix[cached:]:
            known.pop(block, None)
        self.note(server, prefix, now)

    def forget(self, server: ServerName) -> None:
        """Drop all of a server, for it turned cold or was restarted."""
        self._cached.pop(server, None)

    def matched(self, server: ServerName, prefix: Sequence[int]) -> int:
        """Return how many leading blocks of a prefix a server has cached."""
        known = self._cached.get(server)
        if known is None:
            return 0
        for count, block in enumerate(prefix):
            if block not in known:
                return count
        return len(prefix)


@define
class _Candidate:
    unit: Unit
    warmth: Warmth
    load: float
    matched: int = field(default=0)


def choose_unit(
    demand: Demand,
    free: Sequence[FreeUnit],
    prefixes: PrefixMap,
    *,
    mean_cost: float | None = None,
) -> Unit | None:
    """Return the free unit for a demand, or None where it avoids all that are free.

    A server with a cached prefix goes first while its load is within `LOAD_BOUND` of
    the mean; then warm before warming before cold, then the least loaded. `mean_cost`
    is the shard's mean cost hint, which tells long work.
    """
    servers = _candidates(demand, free, prefixes)
    if not servers:
        return None
    if mean_cost and demand.cost_hint > LONG_WORK * mean_cost:
        servers = [one for one in servers if one.warmth is Warmth.WARM] or servers
    bound = _load_bound(servers)
    return min(servers, key=lambda one: _order(one, bound)).unit


@frozen
class ShardView:
    """Show what a router knows of a shard."""

    shard: ShardId
    heartbeat: Heartbeat | None
    own_centre: bool
    reachable: bool
    prefix_blocks: int = 0


def choose_shard(
    views: Sequence[ShardView], *, avoid: Collection[ShardId], key: str
) -> ShardId | None:
    """Return the shard to ask, or None where there is none.

    Unreachable ones come last, then those in `avoid`, which were asked before. The
    shorter expected wait goes first, room before none, the own data centre before
    others, a cached prefix before none. What is still equal is spread by the hash of
    `key`, in proportion to room: routers that all took the emptiest shard of the same
    heartbeats would fill it together.
    """
    ranked = sorted(views, key=lambda view: _shard_order(view, avoid, key))
    return ranked[0].shard if ranked else None


def _candidates(
    demand: Demand, free: Sequence[FreeUnit], prefixes: PrefixMap
) -> list[_Candidate]:
    found: dict[ServerName, _Candidate] = {}
    for offer in free:
        server = offer.unit.server
        if server in found or server in demand.avoid:
            continue
        load = offer.running / max(1, offer.limit)
        matched = prefixes.matched(server, demand.prefix)
        found[server] = _Candidate(offer.unit, offer.warmth, load, matched)
    return list(found.values())


def _load_bound(servers: Sequence[_Candidate]) -> float:
    mean = sum(one.load for one in servers) / len(servers)
    return LOAD_BOUND * mean + LOAD_SLACK


_WARMTH_ORDER = {Warmth.WARM: 0, Warmth.WARMING: 1, Warmth.COLD: 2, Warmth.FAILING: 3}


def _order(one: _Candidate, bound: float) -> tuple[int, int, float, ServerName]:
    matched = one.matched if one.load <= bound else 0
    return (-matched, _WARMTH_ORDER[one.warmth], one.load, one.unit.server)


def _shard_order(
    view: ShardView, avoid: Collection[ShardId], key: str
) -> tuple[bool, bool, int, bool, bool, int, float]:
    standing = _standing(view)
    return (
        not view.reachable,
        view.shard in avoid,
        int(standing.wait_s / WAIT_STEP_S),
        standing.room <= 0,
        not view.own_centre,
        -view.prefix_blocks if standing.load <= LOAD_BOUND_OF_SHARD else 0,
        _spread(key, view.shard, standing.room),
    )


@frozen
class _Standing:
    wait_s: float
    room: float
    load: float


def _standing(view: ShardView) -> _Standing:
    distance = 0.0 if view.own_centre else DISTANCE_S
    beat = view.heartbeat
    if beat is None:
        return _Standing(distance, UNKNOWN_ROOM, 0.0)
    usable = sum(row.usable for row in beat.servers)
    running = sum(row.running for row in beat.servers)
    room = usable - running - beat.waiting
    load = running / usable if usable else 1.0
    return _Standing(beat.wait_s + distance, room, load)


def _spread(key: str, shard: ShardId, room: float) -> float:
    """Return a point by which requests spread over shards in proportion to room."""
    point = xxhash.xxh3_64_intdigest(f"{key}\0{shard}".encode()) + 1
    return -math.log(point / HASH_RANGE) / max(1.0, room)
