"""Tables from files on the operator's machine, read as the fleet would read them."""

from __future__ import annotations

import re
from collections.abc import Sequence
from pathlib import Path

from fulmarroad.exceptions import ConfigurationError
from fulmarroad.tables import (
    TableName,
    Tables,
    build_manifest,
    parse_manifest,
    parse_tables,
)
from fulmarroad_ctl.exceptions import UsageError

DRAFT_VERSION = 1
"""Stands in for the version, which the publisher gives."""


def read_tables(routes: str, pools: str) -> Tables:
    """Return the tables of files; each argument lists files parted by commas.

    Raise `UsageError` for a file that can't be read and `ConfigurationError` with
    every problem of the tables.
    """
    contents: dict[tuple[TableName, str], bytes] = {}
    for table, files in ((TableName.ROUTES, routes), (TableName.POOLS, pools)):
        for path in _paths(table, files):
            contents[table, _part_name(path, contents)] = _read(path)
    empty = [name for (_, name), content in contents.items() if not content]
    if empty:
        raise ConfigurationError(
            "The tables are not valid.",
            problems=tuple(f"part {name}: is empty" for name in empty),
        )
    manifest = parse_manifest(build_manifest(DRAFT_VERSION, contents).raw)
    parts = {row.sha256: contents[row.table, row.name] for row in manifest.parts}
    return parse_tables(DRAFT_VERSION, parts, manifest)


def _paths(table: TableName, files: str) -> Sequence[Path]:
    names = [name.strip() for name in files.split(",") if name.strip()]
    if not names:
        raise UsageError(
            f"No file of the {table} table is named.",
            hint="Name both: --routes routes.toml --pools pools.toml; several files "
            "are parted by commas.",
        )
    return [Path(name) for name in names]


def _read(path: Path) -> bytes:
    try:
        return path.read_bytes()
    except OSError as error:
        raise UsageError(f"{path} can't be read: {error.strerror}.") from error


def _part_name(path: Path, taken: dict[tuple[TableName, str], bytes]) -> str:
    """Return a part's name that shows which file it is."""
    plain = re.sub(r"[^A-Za-z0-9._-]", "-", path.name).lstrip("._-")[:48] or "part"
    names = {name for _, name in taken}
    if plain not in names:
        return plain
    return f"{plain}-{len(names)}"
