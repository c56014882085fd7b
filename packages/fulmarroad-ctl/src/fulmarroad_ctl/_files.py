"""Tables from local files, parsed in the same way as by the routers."""

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
"""Placeholder version; the publisher assigns the real one."""


def read_tables(routes: str, pools: str) -> Tables:
    """Read tables from files; each argument lists files separated by commas.

    Raise `UsageError` for a file that can't be read and `ConfigurationError` with
    every problem of the tables.
    """
    contents: dict[tuple[TableName, str], bytes] = {}
    for table, files in ((TableName.ROUTES, routes), (TableName.POOLS, pools)):
        for path in _parse_paths(table, files):
            contents[table, _part_name(path, contents)] = _read_bytes(path)
    empty = [name for (_, name), content in contents.items() if not content]
    if empty:
        raise ConfigurationError(
            "The tables are not valid.",
            problems=tuple(f"part {name}: is empty" for name in empty),
        )
    manifest = parse_manifest(build_manifest(DRAFT_VERSION, contents).raw)
    parts = {row.sha256: contents[row.table, row.name] for row in manifest.parts}
    return parse_tables(DRAFT_VERSION, parts, manifest)


def _parse_paths(table: TableName, files: str) -> Sequence[Path]:
    names = [name.strip() for name in files.split(",") if name.strip()]
    if not names:
        raise UsageError(
            f"No file of the {table} table is named.",
            hint="Name both: --routes routes.toml --pools pools.toml; several files "
            "are separated by commas.",
        )
    return [Path(name) for name in names]


def _read_bytes(path: Path) -> bytes:
    try:
        return path.read_bytes()
    except OSError as error:
        raise UsageError(f"{path} can't be read: {error.strerror}.") from error


def _part_name(path: Path, taken: dict[tuple[TableName, str], bytes]) -> str:
    """Return a part name derived from the file name, with a number if it is taken."""
    plain = re.sub(r"[^A-Za-z0-9._-]", "-", path.name).lstrip("._-")[:48] or "part"
    names = {name for _, name in taken}
    if plain not in names:
        return plain
    return f"{plain}-{len(names)}"
