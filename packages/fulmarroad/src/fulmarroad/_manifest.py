"""The manifest, which lists the parts of one version of the tables.

The configuration service stores values of at most one megabyte and counts each read, so
the tables are split into parts that are identified by the SHA-256 of their content. A
change then costs one read of the manifest and one of each changed part.
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
"""Maximum size in bytes of a value in the configuration service."""

MAX_PARTS = 64
"""Maximum number of parts of one version.

Each router reads one part per change, so many small parts are cheaper. Above 64 parts,
the size of the manifest, which is read on every change, begins to matter."""

MAX_TABLE_BYTES = 8_000_000
"""Maximum total bytes of all parts, so that a wrong manifest cannot exhaust the memory
of a small VM; nearly four times the size needed for 16,000 workspaces."""

MAX_VERSION = 2**53
"""Largest version number, which every JSON parser reads exactly."""


class TableName(enum.StrEnum):
    """Name the tables to which a part can belong."""

    ROUTES = "routes"
    POOLS = "pools"


@frozen
class ManifestPart:
    """Identify one part by the SHA-256 of its content; `bytes` is its size."""

    table: TableName
    name: str
    sha256: str
    bytes: int


@frozen
class Manifest:
    """List the parts of one version; `raw` is the published text."""

    version: int
    parts: tuple[ManifestPart, ...]
    raw: bytes = field(default=b"", eq=False, repr=False)

    @property
    def fingerprint(self) -> str:
        """Return a digest of the content, independent of part order and layout."""
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


def load_toml(raw: bytes, source_name: str) -> dict[str, Any]:
    """Parse a TOML text; `source_name` names it in error messages.

    Raise `ConfigurationError`, with the line number of a syntax error.
    """
    try:
        return tomllib.loads(raw.decode())
    except RecursionError as error:
        problem = "is nested too deeply"
        raise ConfigurationError(
            f"{source_name} {problem}.", problems=(problem,)
        ) from error
    except ValueError as error:
        problem = f"is not valid TOML: {error}"
        raise ConfigurationError(
            f"{source_name} {problem}.", problems=(problem,)
        ) from error


def parse_manifest(raw: bytes) -> Manifest:
    """Parse a manifest from TOML text.

    Raise `ConfigurationError` with every problem found. Version 0 without parts means
    that nothing has been published.
    """
    if len(raw) > MAX_PART_BYTES:
        raise ConfigurationError(f"The manifest is too large: {len(raw)} bytes.")
    document = load_toml(raw, "The manifest")
    problems: list[str] = []
    version = _read_version(document, problems)
    parts = _read_parts(document.get("part", []), problems)
    if bool(version) != bool(parts) and not problems:
        problems.append("manifest: part: must be at least one [[part]], from version 1")
    unknown = sorted(set(document) - {"version", "part"})
    problems += [f"manifest: {key}: is not a known field" for key in unknown]
    if problems:
        raise ConfigurationError(
            "The manifest is not valid.", problems=tuple(problems), hint=_HINT
        )
    return Manifest(version, parts, raw)


_HINT = "Correct the published manifest; the current tables stay in force until then."


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
        problems.append(
            f"manifest: part: must be at most {MAX_PARTS} rows, got {len(rows)}"
        )
        return ()
    parts: list[ManifestPart] = []
    for index, row in enumerate(rows, 1):
        part = _read_part(index, row, problems)
        if part is not None:
            parts.append(part)
    problems += _duplicates(parts)
    total = sum(part.bytes for part in parts)
    if total > MAX_TABLE_BYTES:
        problems.append(f"manifest: bytes: total {total} is above {MAX_TABLE_BYTES}")
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
    """Return the problem with a part's content, or an empty string if it is valid."""
    if len(content) != part.bytes:
        return f"has {len(content)} bytes, the manifest lists {part.bytes}"
    if hashlib.sha256(content).hexdigest() != part.sha256:
        return "has another SHA-256 than the manifest lists"
    return ""


def build_manifest(
    version: int, parts: Mapping[tuple[TableName, str], bytes]
) -> Manifest:
    """Build the manifest of a version from its parts, keyed by table and name."""
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
