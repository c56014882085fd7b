"""Components that coordinate a fleet of routers to share capacity fairly."""

import importlib
from typing import TYPE_CHECKING, Any

from fulmarroad.exceptions import ConfigurationError as ConfigurationError
from fulmarroad.exceptions import FulmarroadError as FulmarroadError
from fulmarroad.exceptions import MessageError as MessageError
from fulmarroad.exceptions import TransportError as TransportError

if TYPE_CHECKING:
    from fulmarroad.audit import AuditRecord as AuditRecord
    from fulmarroad.audit import AuditTrail as AuditTrail
    from fulmarroad.tables import Pool as Pool
    from fulmarroad.tables import Route as Route
    from fulmarroad.tables import Tables as Tables
    from fulmarroad.tables import Workspace as Workspace
    from fulmarroad.types import Epoch as Epoch
    from fulmarroad.types import ShardId as ShardId
    from fulmarroad.types import Unit as Unit

_LAZY_IMPORTS = {
    "AuditRecord": "audit",
    "AuditTrail": "audit",
    "Pool": "tables",
    "Route": "tables",
    "Tables": "tables",
    "Workspace": "tables",
    "Epoch": "types",
    "ShardId": "types",
    "Unit": "types",
}
"""Module of each name that is imported on first use, so that a program that uses one
module does not import all of them at startup."""


def __getattr__(name: str) -> Any:
    module = _LAZY_IMPORTS.get(name)
    if module is None:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    return getattr(importlib.import_module(f"{__name__}.{module}"), name)
