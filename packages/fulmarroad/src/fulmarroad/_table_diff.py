"""Differences between two versions of the tables, per row and field."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from typing import Any

from attrs import fields, frozen

from fulmarroad._tables import Tables
from fulmarroad.types import DataCentreName

ABSENT = ""
"""Value of `before` or `after` for a row that doesn't exist; no existing row or field
is shown as an empty text."""

SHOWN_HASH_DIGITS = 8
"""Digits of a key's hash that are shown, enough to tell two keys apart."""


@frozen
class TableChange:
    """Describe a change in one row; `field` is empty for an added or removed row."""

    kind: str  # workspace, route, data_centre, pool or server
    name: str
    field: str
    before: str
    after: str

    def __str__(self) -> str:
        if self.field:
            text = f"{self.field}: {self.before} -> {self.after}"
        else:
            text = "removed" if self.before else "added"
        return f"{self.kind} {self.name}: {text}"


def diff_tables(before: Tables | None, after: Tables) -> tuple[TableChange, ...]:
    """Return the differences by row kind, data centres and servers first."""
    old = before if before is not None else Tables(0)
    return (
        *_diff_rows("data_centre", old.data_centres, after.data_centres),
        *_diff_rows("server", _servers(old), _servers(after)),
        *_diff_rows("pool", old.pools, after.pools),
        *_diff_rows("route", old.routes, after.routes),
        *_diff_rows("workspace", old.workspaces, after.workspaces),
    )


def servers_leaving(before: Tables, after: Tables) -> dict[DataCentreName, int]:
    """Return the number of backend servers per data centre that would leave service."""
    leaving: dict[DataCentreName, int] = {}
    kept = _servers(after)
    for name, server in _servers(before).items():
        if not before.server_takes_work(server):
            continue
        new = kept.get(name)
        if new is None or not after.server_takes_work(new):
            leaving[server.data_centre] = leaving.get(server.data_centre, 0) + 1
    return leaving


def _servers(tables: Tables) -> dict[str, Any]:
    return {
        f"{pool.name}/{server.name}": server
        for pool in tables.pools.values()
        for server in pool.servers
    }


def _diff_rows(
    kind: str, before: Mapping[str, Any], after: Mapping[str, Any]
) -> Iterator[TableChange]:
    for name in sorted(before.keys() | after.keys()):
        old, new = before.get(name), after.get(name)
        if old is new or old == new:
            continue
        if old is None or new is None:
            was = ABSENT if old is None else "present"
            now = ABSENT if new is None else "present"
            yield TableChange(kind, name, "", was, now)
        else:
            yield from _diff_row(kind, name, old, new)


def _diff_row(kind: str, name: str, old: Any, new: Any) -> Iterator[TableChange]:
    for attribute in fields(type(old)):
        field = attribute.name
        # Servers are compared as separate rows.
        if (kind, field) == ("pool", "servers"):
            continue
        was, now = getattr(old, field), getattr(new, field)
        if was != now:
            yield TableChange(kind, name, field, _shown(field, was), _shown(field, now))


def _shown(field: str, value: Any) -> str:
    if isinstance(value, tuple):
        entries = [
            v[:SHOWN_HASH_DIGITS] if field == "key_sha256" else str(v) for v in value
        ]
        return ", ".join(entries) or "none"
    if isinstance(value, bool):
        return str(value).lower()
    return f"{value:g}" if isinstance(value, float) else str(value) or "none"
