"""Comparison of the fleet state that each router reports."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping
from typing import Any

from result import Ok

from fulmarroad_ctl._client import AdminClient

COLUMNS = (
    "router",
    "state",
    "version",
    "revision",
    "store age",
    "loop late",
    "peers",
    "servers",
)

MAX_LISTED_ROUTERS = 20
"""Largest fleet of which all routers are listed; of larger ones only the outliers."""

LATE_S = 0.01
"""Event loop delay in seconds from which a router refuses calls."""


def fetch_statuses(addresses: Iterable[str]) -> dict[str, Any]:
    """Fetch the status of each router by address; an `error` entry if that fails."""
    answers: dict[str, Any] = {}
    for address in addresses:
        result = AdminClient(f"http://{address}", "").get("/status")
        if isinstance(result, Ok):
            answers[address] = result.ok_value
        else:
            answers[address] = {"error": result.err_value.message}
    return answers


def differing_fields(answers: Mapping[str, Any]) -> list[str]:
    """Return the names of the fields in which the routers' answers differ."""
    rows = [row for row in answers.values() if "error" not in row]
    found = []
    for name, value in (
        ("version", lambda row: row.get("version")),
        ("data centres left", lambda row: tuple(row.get("centres_left", ()))),
        ("servers", lambda row: tuple(sorted(row.get("servers", {})))),
    ):
        if len({value(row) for row in rows}) > 1:
            found.append(name)
    return found


def fleet_status_lines(answers: Mapping[str, Any]) -> Iterable[str]:
    """Yield a warning for each differing field, then a table with a row per router.

    Of more than `MAX_LISTED_ROUTERS` routers the table has only the outliers, and a
    line gives the number of the others.
    """
    for name in differing_fields(answers):
        yield f"warning: the routers differ in their {name}"
    listed = answers
    if len(answers) > MAX_LISTED_ROUTERS:
        listed = _select_outliers(answers)
        yield f"{len(answers) - len(listed)} of {len(answers)} routers believe the same"
    rows = [COLUMNS, *(_row(address, row) for address, row in listed.items())]
    widths = [max(len(row[n]) for row in rows) for n in range(len(COLUMNS))]
    for row in rows if listed else []:
        cells = (cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        yield "  ".join(cells).rstrip()


def _select_outliers(answers: Mapping[str, Any]) -> dict[str, Any]:
    """Return the routers whose state differs from most, or whose event loop is late."""
    beliefs = {address: _state_key(row) for address, row in answers.items()}
    [(most_common, _)] = Counter(beliefs.values()).most_common(1)
    return {
        address: row
        for address, row in answers.items()
        if beliefs[address] != most_common or row.get("loop_late_s", 0.0) >= LATE_S
    }


def _state_key(row: Mapping[str, Any]) -> tuple[Any, ...]:
    return (
        "error" in row,
        row.get("state"),
        row.get("version"),
        tuple(row.get("centres_left", ())),
        tuple(sorted(row.get("servers", {}))),
    )


def _row(address: str, row: Mapping[str, Any]) -> tuple[str, ...]:
    if "error" in row:
        return (address, "no answer", *([""] * (len(COLUMNS) - 2)))
    servers = row.get("servers", {})
    cold = sum(bool(server.get("cold")) for server in servers.values())
    draining = sum(bool(server.get("draining")) for server in servers.values())
    return (
        str(row.get("router", address)),
        str(row.get("state", "")),
        str(row.get("version", "")),
        str(row.get("store_revision", "")),
        f"{row.get('store_age_s', 0.0):.1f} s",
        f"{row.get('loop_late_s', 0.0):.3f} s",
        str(len(row.get("peers", ()))),
        f"{len(servers)}, {cold} cold, {draining} leaving",
    )
