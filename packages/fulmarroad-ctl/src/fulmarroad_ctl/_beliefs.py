"""What every router of a running fleet believes, side by side."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Any

from result import Ok

from fulmarroad_ctl._client import AdminClient

COLUMNS = ("router", "state", "version", "revision", "store age", "peers", "servers")


def gather(addresses: Iterable[str]) -> dict[str, Any]:
    """Return each router's answer by its address; an error where it gave none."""
    answers: dict[str, Any] = {}
    for address in addresses:
        reply = AdminClient(f"http://{address}", "").get("/status")
        if isinstance(reply, Ok):
            answers[address] = reply.ok_value
        else:
            answers[address] = {"error": reply.err_value.message}
    return answers


def differing(answers: Mapping[str, Any]) -> list[str]:
    """Return what the routers that answered do not agree on."""
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


def belief_lines(answers: Mapping[str, Any]) -> Iterable[str]:
    """Yield a table with a line for each router, then what they differ in."""
    rows = [COLUMNS, *(_row(address, row) for address, row in answers.items())]
    widths = [max(len(row[n]) for row in rows) for n in range(len(COLUMNS))]
    for row in rows:
        cells = (cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        yield "  ".join(cells).rstrip()
    for name in differing(answers):
        yield f"warning: the routers differ in their {name}"


def _row(address: str, row: Mapping[str, Any]) -> tuple[str, ...]:
    if "error" in row:
        return (address, "no answer", "", "", "", "", "")
    servers = row.get("servers", {})
    cold = sum(bool(server.get("cold")) for server in servers.values())
    draining = sum(bool(server.get("draining")) for server in servers.values())
    return (
        str(row.get("router", address)),
        str(row.get("state", "")),
        str(row.get("version", "")),
        str(row.get("store_revision", "")),
        f"{row.get('store_age_s', 0.0):.1f} s",
        str(len(row.get("peers", ()))),
        f"{len(servers)}, {cold} cold, {draining} leaving",
    )
