"""The manifest: which parts make up one version of the tables.

The configuration service holds values of at most a megabyte and counts each read, so
the tables are cut into parts that are named by their content's SHA-256. A change then
costs one read of the manifest and one of each part that changed.
"""

from __future__ import annotations

import enum
import hashlib
import tomllib
from collections.abc import Iterable, Mapping
from typing import Any

from attrs import field, frozen

from fulmarroad import _checks as checks
from fulmarroad.exceptions import ConfigurationError

MAX_PART_BYTES = 1_000_000
"""The largest value that the configuration service holds."""

MAX_PARTS = 64
"""Parts of one version. A change costs every router one part, so many small parts are
cheaper; above 64 the manifest itself, read with each change, begins to weigh."""

MAX_TABLE_BYTES = 8_000_000
"""Bytes of all parts: nearly four times what 16,000 workspaces need, so that a wrong
manifest can't fill a small VM."""

MAX_VERSION = 2**53
"""Versions stay exact in every JSON reader."""


class TableName(enum.StrEnum):
    """Name the table that a part belongs to."""

    ROUTES = "routes"
    POOLS = "pools"


@frozen
class ManifestPart:
    """Name one part by its content; `bytes` is its size."""

    table: TableName
    name: str
    sha256: str
    bytes: int


@frozen
class Manifest:
    """List the parts of one version; `raw` is the text as it was published."""

    version: int
    parts: tuple[ManifestPart, ...]
    raw: bytes = field(default=b"", eq=False, repr=False)

    @property
    def fingerprint(self) -> str:
        """Return a digest of the content, which order and layout don't change."""
        lines = sorted(f"{part.table} {part.sha256}" for part in self.parts)
        return hashlib.sha256("\n".join(lines).encode()).hexdigest()

    @property
    def hashes(self) -> frozenset[str]:
        """Return the SHA-256 of every part."""
        return frozenset(part.sha256 for part in self.parts)


_PART_CHECKS: dict[str, checks.Check] = {
    "table": checks.choice(TableName),
    "name": checks.name,
    "sha256": checks.sha256,
    "bytes": checks.whole(1, MAX_PART_BYTES),
}
_check_version = checks.whole(0, MAX_VERSION)


def load_toml(raw: bytes, what: str) -> dict[str, Any]:
    """Return the document of a TOML text.

    Raise `ConfigurationError` that names the line.
    """
    try:
        return tomllib.loads(raw.decode())
    except RecursionError as error:
        problem = "is nested too deeply"
        raise ConfigurationError(f"{what} {problem}.", problems=(problem,)) from error
    except ValueError as error:
        problem = f"is no TOML: {error}"
        raise ConfigurationError(f"{what} {problem}.", problems=(problem,)) from error


def parse_manifest(raw: bytes) -> Manifest:
    """Return the manifest of a TOML text.

    Raise `ConfigurationError` with every problem found. Version 0 without a part means
    that nothing has been published.
    """
    if len(raw) > MAX_PART_BYTES:
        raise ConfigurationError(f"The manifest of {len(raw)} bytes is too large.")
    document = load_toml(raw, "The manifest")
    problems: list[str] = []
    version = _read_version(document, problems)
    parts = _read_parts(document.get("part", []), problems)
    if bool(version) != bool(parts) and not problems:
        problems.append("manifest: part: must be at least one [[part]], from version 1")
    unknown = sorted(set(document) - {"version", "part"})
    problems += [f"manifest: {key}: is no field here" for key in unknown]
    if problems:
        raise ConfigurationError(
            "The manifest is not valid.", problems=tuple(problems), hint=_HINT
        )
    return Manifest(version, parts, raw)


_HINT = "Correct the published manifest; the tables in force stay until then."


def _read_version(document: Mapping[str, Any], problems: list[str]) -> int:
    try:
        return _check_version(document.get("version"))
    except ValueError as error:
        problems.append(f"manifest: version: {error}")
        return 0


def _read_parts(rows: Any, problems: list[str]) -> tuple[ManifestPart, ...]:
    if not isinstance(rows, list):
        problems.append("manifest: part: must be written as [[part]]")
        return ()
    if len(rows) > MAX_PARTS:
        problems.append(f"manifest: part: must be at most {MAX_PARTS}; are {len(rows)}")
        return ()
    parts: list[ManifestPart] = []
    for index, row in enumerate(rows, 1):
        part = _read_part(index, row, problems)
        if part is not None:
            parts.append(part)
    problems += _duplicates(parts)
    total = sum(part.bytes for part in parts)
    if total > MAX_TABLE_BYTES:
        problems.append(f"manifest: bytes: are {total} in all, above {MAX_TABLE_BYTES}")
    return tuple(parts)


def _read_part(index: int, row: Any, problems: list[str]) -> ManifestPart | None:
    if not isinstance(row, dict):
        problems.append(f"manifest: part {index}: must be a table")
        return None
    label = row["name"] if isinstance(row.get("name"), str) else index
    return checks.read_row(
        ManifestPart,
        row,
        _PART_CHECKS,
        lambda key, fault: problems.append(
            f"manifest: part {checks.shown(label)}: {key}: {fault}"
        ),
    )


def _duplicates(parts: Iterable[ManifestPart]) -> list[str]:
    names: set[str] = set()
    hashes: set[str] = set()
    problems: list[str] = []
    for part in parts:
        if part.name in names:
            problems.append(f"manifest: part {part.name!r}: name: is used twice")
        if part.sha256 in hashes:
            problems.append(f"manifest: part {part.name!r}: sha256: is listed twice")
        names.add(part.name)
        hashes.add(part.sha256)
    return problems


def check_part(part: ManifestPart, content: bytes) -> str:
    """Return what is wrong with a part's content, or nothing."""
    if len(content) != part.bytes:
        return f"has {len(content)} bytes, the manifest says {part.bytes}"
    if hashlib.sha256(content).hexdigest() != part.sha256:
        return "has another SHA-256 than the manifest says"
    return ""


def build_manifest(
    version: int, parts: Mapping[tuple[TableName, str], bytes]
) -> Manifest:
    """Return the manifest of parts given by table and name, for publishers."""
    rows = tuple(
        ManifestPart(table, name, hashlib.sha256(content).hexdigest(), len(content))
        for (table, name), content in parts.items()
    )
    lines = [f"version = {version}"]
    for row in rows:
        lines += [
            "",
            "[[part]]",
            f'table = "{row.table}"',
            f'name = "{row.name}"',
            f'sha256 = "{row.sha256}"',
            f"bytes = {row.bytes}",
        ]
    return Manifest(version, rows, ("\n".join(lines) + "\n").encode())
