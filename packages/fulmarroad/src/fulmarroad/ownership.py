"""Assignment of shards, units and key records to routers."""

from fulmarroad._rendezvous import (
    KEY_GROUP_SIZE,
    LOAD_FACTOR,
    assign_shards,
    candidates,
    follow_order,
    key_group,
    owner_of,
    shard_limit,
    short_name,
    unit_owner,
    watchers,
)

__all__ = [
    "KEY_GROUP_SIZE",
    "LOAD_FACTOR",
    "assign_shards",
    "candidates",
    "follow_order",
    "key_group",
    "owner_of",
    "shard_limit",
    "short_name",
    "unit_owner",
    "watchers",
]
