"""Placement of requests: the choice of a shard, then of a unit within it.

Load patterns: a few prompts that make up most of the load, a slow server, long requests
among short ones. Without affinity each server computes the same prompt prefixes again,
and the time to the first token grows with the prompt. With affinity alone, the server
that has a popular prefix cached gets all of its requests while other servers idle.
Affinity therefore counts only while a server's load is near the mean.
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
"""Multiple of the mean load up to which a server gets requests for its cached prefixes.
At 1 affinity never counts; at 2 a popular prefix doubles the load of one server. A load
a quarter above the mean adds little to the usual queueing delay."""

LOAD_SLACK = 0.1
"""Load that is allowed in addition to `LOAD_BOUND`, so that affinity also works in an
idle shard."""

PREFIX_BLOCKS = 4096
"""Maximum number of blocks remembered per server, about as many as an engine's cache
holds. At 100 bytes a block, a shard of eight servers needs at most 3 MB."""

LONG_REQUEST_RATIO = 4.0
"""Multiple of the mean cost hint above which a request counts as long. A long request
is not placed on a server that is not warm while a warm one has a free unit, as it would
occupy one of the few units for several steps of the ramp."""

REMOTE_ROUND_TRIP_S = 0.002
"""Round-trip time to another data centre."""

WAIT_STEP_S = 0.05
"""Waits within the same step count as equal: heartbeats are a quarter of a second old
on average, and callers don't notice smaller differences."""

ASSUMED_FREE_UNITS = 8.0
"""Free units assumed in a shard that has sent no heartbeat: about those of one server,
so that it is asked occasionally and its heartbeats then show its real load."""

SHARD_LOAD_BOUND = 0.9
"""Load up to which a shard gets requests for its cached prefixes. In a fuller shard
they would wait while other shards have free units."""

HASH_RANGE = 2**64 + 1


class PrefixMap:
    """Track which prompt prefixes each backend server has probably cached.

    The map is only an estimate: placements add to it, answers correct it, and the least
    recently used blocks are dropped, as the engine drops them.
    """

    def __init__(self, blocks: int = PREFIX_BLOCKS) -> None:
        self._blocks = blocks
        self._cached: dict[ServerName, OrderedDict[int, float]] = {}

    def note(self, server: ServerName, prefix: Sequence[int], now: float) -> None:
        """Add a prefix that a server has computed or reported as cached."""
        known = self._cached.setdefault(server, OrderedDict())
        for block in reversed(prefix):  # so that the first block is dropped last
            known[block] = now
            known.move_to_end(block)
        while len(known) > self._blocks:
            known.popitem(last=False)

    def correct(
        self, server: ServerName, prefix: Sequence[int], cached: int, now: float
    ) -> None:
        """Update a prefix from an answer: its first `cached` blocks were cached before.

        The server has computed the other blocks for the answer, so all of them are
        cached now.
        """
        known = self._cached.get(server, OrderedDict())
        for block in prefix[cached:]:
            known.pop(block, None)
        self.note(server, prefix, now)

    def forget(self, server: ServerName) -> None:
        """Drop all blocks of a server, because it turned cold or restarted."""
        self._cached.pop(server, None)

    def matched(self, server: ServerName, prefix: Sequence[int]) -> int:
        """Return the number of leading blocks of a prefix that a server has cached."""
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
    """Return a free unit for a demand, or None if it avoids every server that has one.

    The order is: the longest cached prefix on a server whose load is within
    `LOAD_BOUND` of the mean, then warm before warming before cold, then the lowest
    load. `mean_cost` is the mean cost hint of the shard, to recognise long requests.
    """
    servers = _candidates(demand, free, prefixes)
    if not servers:
        return None
    if mean_cost and demand.cost_hint > LONG_REQUEST_RATIO * mean_cost:
        servers = [
            candidate for candidate in servers if candidate.warmth is Warmth.WARM
        ] or servers
    load_bound = _load_bound(servers)
    return min(
        servers, key=lambda candidate: _candidate_order(candidate, load_bound)
    ).unit


@frozen
class ShardView:
    """Describe a shard as a router knows it."""

    shard: ShardId
    heartbeat: Heartbeat | None
    own_centre: bool
    reachable: bool
    prefix_blocks: int = 0


def choose_shard(
    views: Sequence[ShardView], *, avoid: Collection[ShardId], key: str
) -> ShardId | None:
    """Return the shard to ask, or None if there is none.

    Unreachable shards rank last, and those in `avoid`, which were asked already, just
    before them. The others rank by the shortest expected wait, then by free units, the
    own data centre and the longest cached prefix. Ties are broken by the hash of `key`,
    weighted by the free units: routers have the same heartbeats, and if all of them
    chose the emptiest shard they would fill it together.
    """
    ranked = sorted(views, key=lambda view: _shard_order(view, avoid, key))
    return ranked[0].shard if ranked else None


def _candidates(
    demand: Demand, free: Sequence[FreeUnit], prefixes: PrefixMap
) -> list[_Candidate]:
    by_server: dict[ServerName, _Candidate] = {}
    for free_unit in free:
        server = free_unit.unit.server
        if server in by_server or server in demand.avoid:
            continue
        load = free_unit.running / max(1, free_unit.limit)
        matched = prefixes.matched(server, demand.prefix)
        by_server[server] = _Candidate(free_unit.unit, free_unit.warmth, load, matched)
    return list(by_server.values())


def _load_bound(servers: Sequence[_Candidate]) -> float:
    mean = sum(candidate.load for candidate in servers) / len(servers)
    return LOAD_BOUND * mean + LOAD_SLACK


_WARMTH_RANK = {Warmth.WARM: 0, Warmth.WARMING: 1, Warmth.COLD: 2, Warmth.FAILING: 3}


def _candidate_order(
    candidate: _Candidate, load_bound: float
) -> tuple[int, int, float, ServerName]:
    matched = candidate.matched if candidate.load <= load_bound else 0
    return (
        -matched,
        _WARMTH_RANK[candidate.warmth],
        candidate.load,
        candidate.unit.server,
    )


def _shard_order(
    view: ShardView, avoid: Collection[ShardId], key: str
) -> tuple[bool, bool, int, bool, bool, int, float]:
    shard_load = _shard_load(view)
    return (
        not view.reachable,
        view.shard in avoid,
        int(shard_load.wait_s / WAIT_STEP_S),
        shard_load.free_units <= 0,
        not view.own_centre,
        -view.prefix_blocks if shard_load.load <= SHARD_LOAD_BOUND else 0,
        _weighted_draw(key, view.shard, shard_load.free_units),
    )


@frozen
class _ShardLoad:
    wait_s: float
    free_units: float
    load: float


def _shard_load(view: ShardView) -> _ShardLoad:
    round_trip_s = 0.0 if view.own_centre else REMOTE_ROUND_TRIP_S
    heartbeat = view.heartbeat
    if heartbeat is None:
        return _ShardLoad(round_trip_s, ASSUMED_FREE_UNITS, 0.0)
    usable = sum(row.usable for row in heartbeat.servers)
    running = sum(row.running for row in heartbeat.servers)
    free_units = usable - running - heartbeat.waiting
    load = running / usable if usable else 1.0
    return _ShardLoad(heartbeat.wait_s + round_trip_s, free_units, load)


def _weighted_draw(key: str, shard: ShardId, free_units: float) -> float:
    """Return a sort key that spreads requests over shards by their free units."""
    draw = xxhash.xxh3_64_intdigest(f"{key}\0{shard}".encode()) + 1
    return -math.log(draw / HASH_RANGE) / max(1.0, free_units)
