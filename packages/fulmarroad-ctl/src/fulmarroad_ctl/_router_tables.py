"""Tables from a router's admin port, which omits the hashes of keys."""

from __future__ import annotations

from typing import Any

import cattrs
from attrs import evolve

from fulmarroad.tables import Tables
from fulmarroad_ctl.exceptions import RouterError


def parse_router_tables(document: dict[str, Any]) -> Tables:
    """Parse the tables of an admin port's answer, which has key counts, not hashes.

    Raise `RouterError` if the answer can't be parsed.
    """
    try:
        for row in document["workspaces"].values():
            row["key_sha256"] = [_key_count_label(int(row.pop("keys")))]
        return cattrs.structure(document, Tables)
    except Exception as error:
        raise RouterError(
            f"The router's tables could not be read: {type(error).__name__} {error}",
            hint="Use fulmarroadctl of the same release as the router.",
        ) from error


def with_key_counts(tables: Tables) -> Tables:
    """Replace key hashes by their number, for comparison with a router's tables."""
    workspaces = {
        name: evolve(row, key_sha256=(_key_count_label(len(row.key_sha256)),))
        for name, row in tables.workspaces.items()
    }
    return evolve(tables, workspaces=workspaces)


def _key_count_label(keys: int) -> str:
    return f"{keys} in all"
