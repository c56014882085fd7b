"""Rendezvous hashing of shards, units and idempotency keys to routers.

Every router computes the same owner from the same list of names, so that assigning a
role needs no message. Each name is hashed together with each candidate and the highest
hash wins: when a VM is removed, only what it owned gets a new owner, while
`hash(name) % count` would move nearly everything at once.
"""

from __future__ import annotations

import base64
import math
from collections.abc import Collection, Mapping

import xxhash

from fulmarroad.types import DataCentreName, RouterName, ShardId, Unit, WorkspaceName

LOAD_FACTOR = 1.25
"""Maximum number of shards per router, relative to the mean.

Hashing alone assigns up to three to four times the mean to one of 31 routers, and that
router's schedulers would be slow under a load that is light for the others. At 1.25
most shards of a lost router still go to one of the first candidates in their hash
order; nearer to 1 each loss would also displace many other shards.
"""

KEY_GROUP_SIZE = 3
"""Number of VMs that hold a key's record: two of three survive the loss of one."""


def candidates(shard: ShardId, live: Collection[RouterName]) -> tuple[RouterName, ...]:
    """Return the live routers in order of preference as scheduler of a shard."""
    return _ranked(f"shard\0{shard}", live)


def owner_of(shard: ShardId, live: Collection[RouterName]) -> RouterName | None:
    """Return the first candidate for a shard, however many shards it has already."""
    return _first(f"shard\0{shard}", live)


def assign_shards(
    shards: Collection[ShardId],
    live: Mapping[DataCentreName, Collection[RouterName]],
) -> dict[ShardId, RouterName]:
    """Return the scheduler of each shard, a router of the shard's data centre.

    No router gets more than `shard_limit` shards; a shard goes to the first candidate
    in its hash order that is below the limit. Without the limit some routers would
    hold several busy schedulers and others none, and the processor time of their
    control work would differ several times over.

    A shard whose data centre has no live router gets no scheduler and is left out: its
    units belong to routers of that data centre, so no other router may grant them.
    """
    assigned: dict[ShardId, RouterName] = {}
    for data_centre, routers in live.items():
        local_shards = sorted(
            shard for shard in shards if shard.data_centre == data_centre
        )
        assigned |= _assign_data_centre(local_shards, frozenset(routers))
    return assigned


def shard_limit(shards: int, routers: int) -> int:
    """Return the maximum number of shards of a data centre per router."""
    return math.ceil(LOAD_FACTOR * shards / routers)


def follow_order(
    shard: ShardId,
    assigned: Mapping[ShardId, RouterName],
    live: Collection[RouterName],
) -> tuple[RouterName, ...]:
    """Return the routers that followers try as scheduler of a shard, in order.

    The assigned router comes first, then the other live routers in hash order, so that
    followers that lose their scheduler agree on the next one before the membership
    detects the failure.
    """
    ranked = candidates(shard, live)
    first = assigned.get(shard)
    if first not in ranked:
        return ranked
    return (first, *(router for router in ranked if router != first))


def unit_owner(unit: Unit, vms: Collection[RouterName]) -> RouterName:
    """Return the router that owns a unit, out of the published VMs of a data centre.

    Each unit is hashed by itself: two routers whose lists of N VMs differ by one VM
    disagree only about that VM's units. During a network partition the two sides can
    therefore grant at most 1/N of the units twice.

    Raise `ValueError` if the list is empty.
    """
    owner = _first(f"unit\0{unit.server}\0{unit.index}", vms)
    if owner is None:
        raise ValueError("A unit has no owner if no VM is published.")
    return owner


def key_group(
    workspace: WorkspaceName,
    key: str,
    vms: Collection[RouterName],
    size: int = KEY_GROUP_SIZE,
) -> tuple[RouterName, ...]:
    """Return the published VMs of a data centre that hold a key's record.

    The group is chosen from the published list and not from the live routers: if it
    shrank with each lost VM, both sides of a network partition could find a majority.
    With fewer VMs than `size` the group contains all of them.
    """
    return _ranked(f"key\0{workspace}\0{key}", vms)[:size]


def watchers(
    live: Collection[RouterName], count: int, subject: str = "tables"
) -> tuple[RouterName, ...]:
    """Return the live routers of a data centre that read the configuration service.

    The other routers fetch a new version from their peers, because the capacity
    of the service grows more slowly than the fleet.
    """
    return _ranked(f"watch\0{subject}", live)[:count]


def _assign_data_centre(
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


def _score(name: str, router: RouterName) -> tuple[int, RouterName]:
    return xxhash.xxh3_64_intdigest(f"{name}\0{router}".encode()), router


def _first(name: str, routers: Collection[RouterName]) -> RouterName | None:
    return max(routers, key=lambda router: _score(name, router), default=None)


def _ranked(name: str, routers: Collection[RouterName]) -> tuple[RouterName, ...]:
    unique = frozenset(routers)
    ordered = sorted(unique, key=lambda router: _score(name, router), reverse=True)
    return tuple(ordered)


def short_name(text: str) -> str:
    """Return an eight-character hash of a name, for ids that are sent often.

    The hash has forty-eight bits. A fleet of 370 routers and its restarts produce a
    million names in three years; the chance that two of them collide is one in five
    hundred, and a collision does harm only if both names are in use at the same time.
    """
    digest = xxhash.xxh3_64_digest(text.encode())
    return base64.urlsafe_b64encode(digest[:6]).decode()
