"""Rendezvous hashing: who schedules a shard, owns a unit or holds a key's record.

Every router works out the same owner from the same list of names, so that a role
needs no message to be handed out. Each name is hashed together with each candidate
and the highest hash wins: when a VM goes, only what it owned gets a new owner, while
`hash(name) % count` would move nearly everything at once.
"""

from __future__ import annotations

import base64
import math
from collections.abc import Collection, Mapping

import xxhash

from fulmarroad.types import DataCentreName, RouterName, ShardId, Unit, WorkspaceName

LOAD_FACTOR = 1.25
"""How far above the mean a router's number of shards may lie.

Hashing alone gives the unluckiest of 31 routers three to four times the mean, and
that router's schedulers would be slow under a load that the others hardly notice.
At 1.25 the fleet still has room to place a lost router's shards close to the front of
their hash order; nearer to 1 each loss would push many other shards on as well.
"""

KEY_GROUP_SIZE = 3
"""Members that hold a key's record: two of three survive the loss of one VM."""


def candidates(shard: ShardId, live: Collection[RouterName]) -> tuple[RouterName, ...]:
    """Return the live routers in the order in which they would schedule a shard."""
    return _ranked(f"shard\0{shard}", live)


def owner_of(shard: ShardId, live: Collection[RouterName]) -> RouterName | None:
    """Return the first candidate for a shard, whatever else it schedules."""
    return _first(f"shard\0{shard}", live)


def assign_shards(
    shards: Collection[ShardId],
    live: Mapping[DataCentreName, Collection[RouterName]],
) -> dict[ShardId, RouterName]:
    """Return the scheduler of each shard, a router of the shard's data centre.

    The pattern of load: some routers would hold several busy schedulers while others
    hold none, which one notices by control processor time that differs several times
    between routers. So no router gets more than `shard_limit` shards; a shard whose
    candidates are full goes on to the next one in its hash order. A shard whose data
    centre has no live router has no scheduler and is left out: its units belong to
    routers of that data centre, so that nobody else may grant them.
    """
    assigned: dict[ShardId, RouterName] = {}
    for centre, routers in live.items():
        own = sorted(shard for shard in shards if shard.data_centre == centre)
        assigned |= _assign_centre(own, frozenset(routers))
    return assigned


def shard_limit(shards: int, routers: int) -> int:
    """Return how many shards of its data centre one router schedules at most."""
    return math.ceil(LOAD_FACTOR * shards / routers)


def follow_order(
    shard: ShardId,
    assigned: Mapping[ShardId, RouterName],
    live: Collection[RouterName],
) -> tuple[RouterName, ...]:
    """Return the order in which followers try a shard's schedulers.

    The assigned one comes first, then the other live routers in hash order, so that
    followers that lose it meet again at the same next one before the membership
    has found out.
    """
    ranked = candidates(shard, live)
    first = assigned.get(shard)
    if first not in ranked:
        return ranked
    return (first, *(router for router in ranked if router != first))


def unit_owner(unit: Unit, vms: Collection[RouterName]) -> RouterName:
    """Return the router that owns a unit, out of the published VMs of a data centre.

    Raise `ValueError` for an empty list. Each unit is hashed by itself: two routers
    whose VM lists differ by one VM disagree about that VM's units alone, which bounds
    what the two sides of a split could grant twice to 1/N.
    """
    owner = _first(f"unit\0{unit.server}\0{unit.index}", vms)
    if owner is None:
        raise ValueError("A unit has no owner where no VM is published.")
    return owner


def key_group(
    workspace: WorkspaceName,
    key: str,
    vms: Collection[RouterName],
    size: int = KEY_GROUP_SIZE,
) -> tuple[RouterName, ...]:
    """Return the published VMs of a data centre that hold a key's record.

    The published list decides, not liveness: a group that shrank with each loss would
    let both sides of a split find a majority. With fewer VMs than `size` the group
    is all of them.
    """
    return _ranked(f"key\0{workspace}\0{key}", vms)[:size]


def watchers(
    live: Collection[RouterName], count: int, subject: str = "tables"
) -> tuple[RouterName, ...]:
    """Return the live routers of a data centre that read the configuration service.

    The others hear of a new version from their peers, as the service's rate grows more
    slowly than the fleet.
    """
    return _ranked(f"watch\0{subject}", live)[:count]


def _assign_centre(
    shards: list[ShardId], routers: frozenset[RouterName]
) -> dict[ShardId, RouterName]:
    if not routers:
        return {}
    limit = shard_limit(len(shards), len(routers))
    load = dict.fromkeys(routers, 0)
    assigned = {}
    for shard in shards:
        ranked = candidates(shard, routers)
        owner = next(router for router in ranked if load[router] < limit)
        assigned[shard] = owner
        load[owner] += 1
    return assigned


def _weight(name: str, router: RouterName) -> tuple[int, RouterName]:
    return xxhash.xxh3_64_intdigest(f"{name}\0{router}".encode()), router


def _first(name: str, routers: Collection[RouterName]) -> RouterName | None:
    return max(routers, key=lambda router: _weight(name, router), default=None)


def _ranked(name: str, routers: Collection[RouterName]) -> tuple[RouterName, ...]:
    unique = frozenset(routers)
    ordered = sorted(unique, key=lambda router: _weight(name, router), reverse=True)
    return tuple(ordered)


def short_name(text: str) -> str:
    """Return eight characters that stand for a name in ids which travel often.

    Forty-eight bits: among the million names that a fleet of 370 routers and its
    restarts make in three years, two are alike with a chance of one in five hundred,
    and it takes two that run at the same time to do harm.
    """
    digest = xxhash.xxh3_64_digest(text.encode())
    return base64.urlsafe_b64encode(digest[:6]).decode()
