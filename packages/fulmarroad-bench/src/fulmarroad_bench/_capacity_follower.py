"""Measure the router's side of scheduling: cost by shards and by requests."""

from __future__ import annotations

from collections import Counter

from attrs import evolve

from fulmarroad.coordination import Ask, Follower, SendTo
from fulmarroad.messages import Demand, Finished, Grant, Welcome
from fulmarroad.tables import BackendServer, DataCentre, Pool, Tables, shards_of
from fulmarroad.types import Outcome, ShardId, Unit
from fulmarroad_bench._capacity_control import (
    CENTRE,
    EPOCH,
    LEASE_SIZES,
    ROUTERS,
    SERVERS,
)
from fulmarroad_bench._capacity_state import workspace_name
from fulmarroad_bench._slopes import Slope, allocated_bytes, best_us, measure

SHARD_SIZES = (28, 84, 336)
"""Shards of the fleet; 14 pools in 12 data centres with two shards each are 336."""


def _tables(shards: int) -> Tables:
    """Return tables of 14 pools over 12 data centres with `shards` in total."""
    centres = [CENTRE, *(f"region-2-dc-{n:02d}" for n in range(2, 13))]
    each = max(1, shards // (14 * len(centres)))
    pools = {}
    for number in range(1, 15):
        names = centres[: max(1, shards // 14)]
        servers = tuple(
            BackendServer(f"m{number:02d}-{centre}-{n:04d}", "10.0.0.1:8000", centre)
            for centre in names
            for n in range(each * SERVERS)
        )
        pools[f"model-{number:02d}"] = Pool(f"model-{number:02d}", servers=servers)
    tables = Tables(1, {}, {}, pools, {c: DataCentre(c) for c in centres})
    actual = sum(len(shards_of(pool)) for pool in pools.values())
    if actual != shards:
        raise ValueError(f"the tables have {actual} shards, expected {shards}.")
    return tables


def _live(tables: Tables) -> dict[str, tuple[str, ...]]:
    return {
        centre: tuple(f"{centre}-{n:03d}" for n in range(len(ROUTERS)))
        for centre in tables.data_centres
    }


def _follower(tables: Tables) -> Follower:
    follower = Follower(f"{CENTRE}-000", 1, CENTRE)
    follower.set_live(_live(tables), 0.0)
    follower.set_tables(tables, 0.0)
    for shard, follow in follower.follows.items():
        if follow.scheduler is not None:
            epoch = evolve(EPOCH, router=follow.scheduler)
            follower.handle(follow.scheduler, Welcome(shard, epoch), 0.0)
    return follower


def _grant_all(follower: Follower, count: int, first: int = 0) -> list[Demand]:
    """Submit `count` requests and grant them; return the demands sent."""
    demands = []
    for number in range(first, first + count):
        name = f"01234567-89ab-cdef-0123-{number:012d}#1"
        submission = Ask(
            name, "model-01", workspace_name(number), 1.0, 200.0, 0.0, 60.0
        )
        for row in follower.submit(submission, 0.0):
            if isinstance(row, SendTo) and isinstance(row.message, Demand):
                demands.append(row.message)
    for demand in demands:
        _grant_one(follower, demand)
    if len(demands) != count or follower.running != count:
        raise ValueError(f"{follower.running} of {count} requests are running.")
    return demands


def _grant_one(follower: Follower, demand: Demand) -> None:
    shard, demand_id = demand.shard, demand.demand_id
    scheduler = follower.schedulers[shard]
    epoch = evolve(EPOCH, router=scheduler)
    unit = Unit(_first_server(shard), 0)
    lease_id = _lease_id(demand_id)
    grant = Grant(shard, epoch, lease_id, demand_id, unit, 0.0, 1.0)
    follower.handle(scheduler, grant, 0.0)


def _lease_id(demand_id: str) -> str:
    return f"entry-vm-000001-18fae27693b400-17.{demand_id[-14:-2]}"


def _complete_all(follower: Follower, count: int, first: int) -> None:
    """Run requests through every step of the router's side, from demand to end."""
    for demand in _grant_all(follower, count, first):
        shard, lease_id = demand.shard, _lease_id(demand.demand_id)
        follower.started(lease_id, 0.0)
        follower.progress(lease_id, 12.5)
        end = Finished(shard, lease_id, Outcome.COMPLETED, 200.0, 0.1, 0.01, 5.0)
        follower.finished(end, 0.0)


def _first_server(shard: ShardId) -> str:
    return f"m{shard.pool[-2:]}-{shard.data_centre}-{shard.index:04d}"


def _max_roles(tables: Tables) -> int:
    """Return the largest number of schedulers assigned to one router."""
    held = Counter(_follower(tables).schedulers.values())
    return max(held.values())


def slopes() -> list[Slope]:
    """Return memory by shards and leases, and time of VM changes and requests."""
    all_tables = {size: _tables(size) for size in SHARD_SIZES}

    def change_us(shards: int) -> float:
        tables = all_tables[shards]
        follower, live = _follower(tables), _live(tables)
        return best_us(lambda: follower.set_live(live, 1.0))

    def request_us(count: int) -> float:
        follower = _follower(all_tables[28])
        numbers = iter(range(0, 100 * count, count))
        return best_us(lambda: _complete_all(follower, count, next(numbers)))

    def leases(count: int) -> float:
        tables = _tables(28)

        def build() -> Follower:
            follower = _follower(tables)
            _grant_all(follower, count)
            return follower

        return allocated_bytes(build)

    return [
        measure(
            "follower_bytes",
            "shard of the fleet",
            "B",
            SHARD_SIZES,
            lambda size: allocated_bytes(lambda: _follower(all_tables[size])),
        ),
        measure("assignment_us", "shard of the fleet", "us", SHARD_SIZES, change_us),
        measure("follower_lease_bytes", "running lease", "B", LEASE_SIZES, leases),
        measure("follower_us", "request", "us", LEASE_SIZES, request_us),
        measure(
            "most_roles",
            "shard of the fleet",
            "roles",
            SHARD_SIZES,
            lambda size: _max_roles(all_tables[size]),
        ),
    ]
