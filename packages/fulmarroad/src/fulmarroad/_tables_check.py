"""Checks across both tables: references between rows, duplicates, ambiguous routes."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping, Sequence
from typing import Any

from attrs import frozen

from fulmarroad._manifest import Manifest, ManifestPart, TableName, check_part
from fulmarroad._table_rows import PartRows, read_part
from fulmarroad._tables import Pool, Route, Tables, Workspace
from fulmarroad.exceptions import ConfigurationError

_HINT = "Correct the tables and publish a higher version; the last valid ones stay."


@frozen
class ReadPart:
    """Hold a part of the manifest and its rows."""

    part: ManifestPart
    rows: PartRows


def parse_tables(
    version: int, parts: Mapping[str, bytes], manifest: Manifest
) -> Tables:
    """Return the tables made up of a manifest's parts; `parts` maps SHA-256 to content.

    Raise `ConfigurationError` with every problem, each naming table, row and field.
    """
    problems = (
        []
        if version == manifest.version
        else ["manifest: version: does not match the tables"]
    )
    read: list[ReadPart] = []
    for part in manifest.parts:
        content = parts.get(part.sha256)
        fault = "is missing" if content is None else check_part(part, content)
        if content is None or fault:
            problems.append(f"{part.table} (part {part.name}): {fault}")
        else:
            read.append(ReadPart(part, read_part(part.table, content)))
    if problems:
        raise _error(version, problems)
    return join_tables(version, read)


def parse_texts(version: int, routes: bytes, pools: bytes) -> Tables:
    """Return the tables of two complete TOML texts, for files that aren't published.

    Raise `ConfigurationError` with every problem, each naming table, row and field.
    """
    read = [
        ReadPart(ManifestPart(table, table.value, "", 0), read_part(table, content))
        for table, content in ((TableName.ROUTES, routes), (TableName.POOLS, pools))
    ]
    return join_tables(version, read)


def join_tables(version: int, read: Sequence[ReadPart]) -> Tables:
    """Return the tables made up of the rows of all parts.

    Raise `ConfigurationError` with every problem, each naming table, row and field.
    """
    problems = [
        f"{part.part.table} (part {part.part.name}): {problem}"
        for part in read
        for problem in part.rows.problems
    ]
    rows = [part.rows for part in read]
    names = _declared_names(rows)
    problems += _duplicate_names(rows)
    routes = [route for part in rows for route in part.routes]
    pools = [pool for part in rows for pool in part.pools]
    workspaces = [row for part in rows for row in part.workspaces]
    problems += _duplicate_keys(workspaces)
    problems += _dangling_routes(routes, names)
    problems += _ambiguous_routes(routes)
    problems += _dangling_servers(pools, names)
    problems += _duplicate_addresses(pools)
    if problems:
        raise _error(version, problems)
    return Tables(
        version,
        workspaces={row.name: row for row in workspaces},
        routes={row.name: row for row in routes},
        pools={row.name: row for row in pools},
        data_centres={row.name: row for part in rows for row in part.data_centres},
    )


def _error(version: int, problems: Iterable[str]) -> ConfigurationError:
    return ConfigurationError(
        f"The tables of version {version} are not valid.",
        problems=tuple(problems),
        hint=_HINT,
    )


def _declared_names(rows: Iterable[PartRows]) -> dict[str, set[str]]:
    names: dict[str, set[str]] = {}
    for part in rows:
        for kind, name in part.declared:
            names.setdefault(kind, set()).add(name)
    return names


_TABLE_BY_KIND = {"workspace": TableName.ROUTES, "route": TableName.ROUTES}


def _duplicate_names(rows: Iterable[PartRows]) -> Iterator[str]:
    seen: set[tuple[str, str]] = set()
    for part in rows:
        for kind, name in part.declared:
            if (kind, name) in seen:
                table = _TABLE_BY_KIND.get(kind, TableName.POOLS)
                yield f"{table}: {kind} {name!r}: name: is used twice"
            seen.add((kind, name))


def _duplicate_keys(workspaces: Iterable[Workspace]) -> Iterator[str]:
    # With a shared key, one workspace would be charged for requests of the other.
    owner: dict[str, str] = {}
    for workspace in workspaces:
        for key in workspace.key_sha256:
            other = owner.setdefault(key, workspace.name)
            if other != workspace.name:
                yield (
                    f"routes: workspace {workspace.name!r}: key_sha256: "
                    f"{key[:8]}… is also a key of workspace {other!r}"
                )


def _dangling_routes(
    routes: Iterable[Route], names: Mapping[str, set[str]]
) -> Iterator[str]:
    for route in routes:
        label = f"routes: route {route.name!r}"
        if route.pool not in names.get("pool", ()):
            yield f"{label}: pool: no pool is named {route.pool!r}"
        for workspace in route.workspaces:
            if workspace not in names.get("workspace", ()):
                yield f"{label}: workspaces: no workspace is named {workspace!r}"


def _ambiguous_routes(routes: Iterable[Route]) -> Iterator[str]:
    # Comparing every pair of routes would block the router with thousands of routes
    # on one path, so each call that a route matches is looked up instead.
    owner: dict[tuple[Any, ...], str] = {}
    for route in routes:
        conflicting = {
            owner.setdefault(call, route.name) for call in _matched_calls(route)
        }
        conflicting.discard(route.name)
        if conflicting:
            yield (
                f"routes: route {route.name!r}: path: matches the same calls as "
                f"route {min(conflicting)!r}"
            )


def _matched_calls(route: Route) -> Iterator[tuple[Any, ...]]:
    path = (route.path.rstrip("/") or "/") if route.path_prefix else route.path
    for workspace in route.workspaces or ("",):
        for method in route.methods or ("",):
            yield path, route.path_prefix, route.model, workspace, method


def _dangling_servers(
    pools: Iterable[Pool], names: Mapping[str, set[str]]
) -> Iterator[str]:
    for pool in pools:
        for server in pool.servers:
            if server.data_centre not in names.get("data_centre", ()):
                yield (
                    f"pools: pool {pool.name!r} server {server.name!r}: data_centre: "
                    f"no data centre is named {server.data_centre!r}"
                )


def _duplicate_addresses(pools: Iterable[Pool]) -> Iterator[str]:
    # A backend server with two rows would get twice the work that it can handle.
    owner: dict[str, str] = {}
    for pool in pools:
        for server in pool.servers:
            label = f"pool {pool.name!r} server {server.name!r}"
            other = owner.setdefault(server.address, label)
            if other != label:
                yield (
                    f"pools: {label}: address: {server.address} is also that of {other}"
                )
