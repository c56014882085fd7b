"""The routes and pools tables: model, checks, manifest, acceptance and lookups."""

from fulmarroad._acceptance import (
    Acceptance,
    TableStore,
    Verdict,
)
from fulmarroad._manifest import (
    MAX_PART_BYTES,
    Manifest,
    ManifestPart,
    TableName,
    build_manifest,
    parse_manifest,
)
from fulmarroad._route_index import (
    RouteIndex,
)
from fulmarroad._table_diff import TableChange, diff_tables, servers_leaving
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
from fulmarroad._tables_check import (
    parse_tables,
    parse_texts,
)

__all__ = [
    "Acceptance",
    "BackendServer",
    "CostUnit",
    "DataCentre",
    "MAX_PART_BYTES",
    "Manifest",
    "ManifestPart",
    "Pool",
    "PoolKind",
    "Route",
    "RouteIndex",
    "ServiceState",
    "TableName",
    "TableStore",
    "TableChange",
    "Tables",
    "Verdict",
    "Workspace",
    "build_manifest",
    "diff_tables",
    "parse_manifest",
    "parse_tables",
    "parse_texts",
    "servers_leaving",
    "shards_of",
]
