"""Tables as a router's admin port shows them, without the hashes of keys."""

from __future__ import annotations

from typing import Any

import cattrs
from attrs import evolve

from fulmarroad.tables import Tables
from fulmarroad_ctl.exceptions import RouterError


def parse_router_tables(document: dict[str, Any]) -> Tables:
    """Return the tables of an admin port's answer; keys are only counted in it.

    Raise `RouterError` if the answer isn't understood.
    """
    try:
        for row in document["workspaces"].values():
            row["key_sha256"] = [_counted(int(row.pop("keys")))]
        return cattrs.structure(document, Tables)
    except Exception as error:
        raise RouterError(
            f"The router's tables could not be read: {type(error).__name__} {error}",
            hint="Use the fulmarroadctl of the router's own release.",
        ) from error


def with_key_counts(tables: Tables) -> Tables:
    """Return tables that can be compared with a router's, which hides the hashes."""
    workspaces = {
        name: evolve(row, key_sha256=(_counted(len(row.key_sha256)),))
        for name, row in tables.workspaces.items()
    }
    return evolve(tables, workspaces=workspaces)


def _counted(keys: int) -> str:
    return f"{keys} in all"
