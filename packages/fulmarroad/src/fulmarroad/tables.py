"""The tables of routes and pools."""

from fulmarroad._tables import (
    BackendServer,
    CostUnit,
    DataCentre,
    Pool,
    PoolKind,
    Route,
    ServiceState,
    Tables,
    Workspace,
    shards_of,
)

__all__ = [
    "BackendServer",
    "CostUnit",
    "DataCentre",
    "Pool",
    "PoolKind",
    "Route",
    "ServiceState",
    "Tables",
    "Workspace",
    "shards_of",
]
