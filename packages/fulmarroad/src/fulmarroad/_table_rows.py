"""Parsing and checks of the rows in one part of a table: types, ranges, unknown fields.

The rows of a part depend on its bytes alone. They can therefore be cached by the
SHA-256 of the part, and a new version costs only the parsing of the changed parts.
"""

from __future__ import annotations

import re
from collections.abc import Callable
from typing import Any, TypeVar

from attrs import evolve, field, frozen

from fulmarroad import _checks as checks
from fulmarroad._manifest import TableName, load_toml
from fulmarroad._tables import (
    BackendServer,
    CostUnit,
    DataCentre,
    Pool,
    PoolKind,
    Route,
    ServiceState,
    Workspace,
)
from fulmarroad.exceptions import ConfigurationError

T = TypeVar("T")

MAX_KEYS = 64
"""Maximum number of keys of a workspace: rotation needs two, and separate keys for a
few tools some more."""

MAX_ROUTE_WORKSPACES = 1024
"""Maximum number of workspaces that a route may list. A route for more workspaces
should have no list."""

MAX_SERVERS = 10_000
"""Maximum number of backend servers in a pool: five times those expected in the
fleet."""

WEIGHT_RANGE = (0.001, 1000.0)
"""Range of a weight. A weight far outside it would make the fairness bound, cost
divided by weight, meaningless."""

MAX_DURATION_S = 86_400.0
"""Maximum duration in the tables. No call takes more than a day; a larger number is a
mistake in the unit."""

_PATH = re.compile(r"/[!-~]*")
_METHOD = re.compile(r"[A-Z]{1,32}")


def _path(value: Any) -> str:
    plain = isinstance(value, str) and len(value) <= 1024 and _PATH.fullmatch(value)
    if not plain or "?" in value or "#" in value:
        raise ValueError(
            "must begin with '/' and have no space, '?' or '#'; is "
            + checks.shown(value)
        )
    return value


def _method(value: Any) -> str:
    if isinstance(value, str) and _METHOD.fullmatch(value):
        return value
    raise ValueError(
        f"must be an HTTP method in capital letters; is {checks.shown(value)}"
    )


_duration = checks.number(0.001, MAX_DURATION_S)
_limit = checks.whole(1, 1_000_000)

WORKSPACE_CHECKS: dict[str, checks.Check] = {
    "name": checks.name,
    "weight": checks.number(*WEIGHT_RANGE),
    "key_sha256": checks.list_of(checks.sha256, most=MAX_KEYS),
    "max_waiting": _limit,
    "max_running": _limit,
}
ROUTE_CHECKS: dict[str, checks.Check] = {
    "name": checks.name,
    "path": _path,
    "pool": checks.name,
    "path_prefix": checks.flag,
    "methods": checks.list_of(_method, most=16),
    "model": checks.text(256, empty=True),
    "workspaces": checks.list_of(checks.name, most=MAX_ROUTE_WORKSPACES),
    "repeatable": checks.flag,
    "timeout_s": _duration,
    "max_wait_s": checks.number(0.0, MAX_DURATION_S),
    "max_body_bytes": checks.whole(0, 2**30),
}
DATA_CENTRE_CHECKS: dict[str, checks.Check] = {
    "name": checks.name,
    "state": checks.choice(ServiceState),
}
SERVER_CHECKS: dict[str, checks.Check] = {
    "name": checks.name,
    "address": checks.address,
    "data_centre": checks.name,
    "state": checks.choice(ServiceState),
}
POOL_CHECKS: dict[str, checks.Check] = {
    "name": checks.name,
    "kind": checks.choice(PoolKind),
    "cost": checks.choice(CostUnit),
    "prompt_cost": checks.number(0.0, 1000.0),
    "can_resume": checks.flag,
    "checks_fence": checks.flag,
    "max_concurrency": checks.whole(1, 10_000),
    "cold_concurrency": checks.whole(1, 10_000),
    "first_token_target_s": _duration,
    "gap_target_s": _duration,
    "connect_timeout_s": _duration,
    "first_byte_timeout_s": _duration,
    "idle_timeout_s": _duration,
    "shard_servers": checks.whole(1, 64),
}


@frozen
class PartRows:
    """Hold the valid rows of one part and the problems of the others.

    `declared` has the kind and name of every row, including invalid ones, so that a
    reference to an invalid row isn't also reported as unknown.
    """

    workspaces: tuple[Workspace, ...] = ()
    routes: tuple[Route, ...] = ()
    data_centres: tuple[DataCentre, ...] = ()
    pools: tuple[Pool, ...] = ()
    declared: tuple[tuple[str, str], ...] = field(default=(), repr=False)
    problems: tuple[str, ...] = ()


def read_part(table: TableName, content: bytes) -> PartRows:
    """Return the rows of a part and the problems found in it."""
    try:
        document = load_toml(content, "The part")
    except ConfigurationError as error:
        return PartRows(problems=error.problems)
    reader = _PartReader(document)
    if table is TableName.ROUTES:
        return reader.routes()
    return reader.pools()


class _PartReader:
    """Read the rows of one part and collect their problems."""

    def __init__(self, document: dict[str, Any]) -> None:
        self._document = document
        self._declared: list[tuple[str, str]] = []
        self._problems: list[str] = []

    def routes(self) -> PartRows:
        """Return the rows of a part of the routes table."""
        self._report_unknown_keys("workspace", "route")
        workspaces = self._rows(
            "workspace", self._row_reader(Workspace, WORKSPACE_CHECKS)
        )
        routes = self._rows("route", self._row_reader(Route, ROUTE_CHECKS))
        return PartRows(
            workspaces=workspaces,
            routes=routes,
            declared=tuple(self._declared),
            problems=tuple(self._problems),
        )

    def pools(self) -> PartRows:
        """Return the rows of a part of the pools table."""
        self._report_unknown_keys("data_centre", "pool")
        centres = self._rows(
            "data_centre", self._row_reader(DataCentre, DATA_CENTRE_CHECKS)
        )
        pools = self._rows("pool", self._pool)
        return PartRows(
            data_centres=centres,
            pools=pools,
            declared=tuple(self._declared),
            problems=tuple(self._problems),
        )

    def _report_unknown_keys(self, *known: str) -> None:
        for key in self._document:
            if key not in known:
                words = " or ".join(f"[[{kind}]]" for kind in known)
                self._problems.append(f"{key}: is unknown here; write {words}")

    def _rows(
        self, kind: str, read: Callable[[str, dict[str, Any]], T | None]
    ) -> tuple[T, ...]:
        rows = self._document.get(kind, [])
        if not isinstance(rows, list):
            self._problems.append(f"{kind}: must be written as [[{kind}]]")
            return ()
        found: list[T] = []
        for index, row in enumerate(rows, 1):
            if not isinstance(row, dict):
                self._problems.append(f"{kind} {index}: must be a table")
                continue
            parsed = read(self._label(kind, index, row), row)
            if parsed is not None:
                found.append(parsed)
        return tuple(found)

    def _label(self, kind: str, index: int, row: dict[str, Any]) -> str:
        name = row.get("name")
        if not isinstance(name, str):
            return f"{kind} number {index}"
        self._declared.append((kind, name))
        return f"{kind} {checks.shown(name)}"

    def _row_reader(
        self, cls: type[T], row_checks: dict[str, checks.Check]
    ) -> Callable[[str, dict[str, Any]], T | None]:
        return lambda label, row: self._read_row(cls, label, row, row_checks)

    def _read_row(
        self,
        cls: type[T],
        label: str,
        row: dict[str, Any],
        row_checks: dict[str, checks.Check],
    ) -> T | None:
        def report(key: str, fault: str) -> None:
            self._problems.append(f"{label}: {key}: {fault}")

        return checks.read_row(cls, row, row_checks, report)

    def _pool(self, label: str, row: dict[str, Any]) -> Pool | None:
        plain = {key: value for key, value in row.items() if key != "server"}
        servers = self._servers(label, row.get("server", []))
        if plain.get("kind") == PoolKind.PLAIN:
            # A plain service generates no tokens, so its cost is counted in calls.
            plain.setdefault("cost", CostUnit.CALLS.value)
        pool = self._read_row(Pool, label, plain, POOL_CHECKS)
        if pool is None:
            return None
        self._check_pool(label, pool)
        return evolve(pool, servers=servers)

    def _servers(self, label: str, rows: Any) -> tuple[BackendServer, ...]:
        if not isinstance(rows, list):
            self._problems.append(
                f"{label}: server: must be written as [[pool.server]]"
            )
            return ()
        if len(rows) > MAX_SERVERS:
            self._problems.append(
                f"{label}: server: must have at most {MAX_SERVERS} rows"
            )
            return ()
        servers: list[BackendServer] = []
        for index, row in enumerate(rows, 1):
            if not isinstance(row, dict):
                self._problems.append(f"{label} server {index}: must be a table")
                continue
            row_label = f"{label} {self._label('server', index, row)}"
            server = self._read_row(BackendServer, row_label, row, SERVER_CHECKS)
            if server is not None:
                servers.append(server)
        return tuple(servers)

    def _check_pool(self, label: str, pool: Pool) -> None:
        if pool.cold_concurrency > pool.max_concurrency:
            self._problems.append(
                f"{label}: cold_concurrency: must be at most max_concurrency, "
                f"{pool.max_concurrency}; is {pool.cold_concurrency}"
            )
        if pool.kind is PoolKind.PLAIN and pool.cost is CostUnit.TOKENS:
            self._problems.append(
                f'{label}: cost: must be "calls" or "seconds" in a plain pool'
            )
