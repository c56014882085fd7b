"""Plain text output of a router's answers; unknown fields are ignored."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping, Sequence
from datetime import UTC, datetime
from typing import Any

Document = Mapping[str, Any]


def columns(header: Sequence[str], rows: Iterable[Sequence[Any]]) -> Iterator[str]:
    """Yield a header line and rows with aligned columns."""
    table = [
        tuple(header),
        *(tuple(_format_cell(value) for value in row) for row in rows),
    ]
    widths = [max(len(row[index]) for row in table) for index in range(len(header))]
    for row in table:
        cells = (cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        yield "  ".join(cells).rstrip()


def _format_cell(value: Any) -> str:
    if value is None:
        return "-"
    if isinstance(value, bool):
        return "yes" if value else "no"
    return f"{value:.3g}" if isinstance(value, float) else str(value)


def status_lines(document: Document) -> Iterator[str]:
    """Yield the lines that show the state of a router."""
    yield (
        f"router {document.get('router')} in {document.get('data_centre')}: "
        f"{document.get('state')}, tables version {document.get('table_version')}"
    )
    yield (
        f"calls: {document.get('in_flight', 0)} in flight, "
        f"{document.get('waiting', 0)} waiting, {document.get('running', 0)} running"
    )
    yield from _section("data centres", ("name", "state"), _centres(document))
    yield from _section(
        "members",
        ("router", "data centre", "state", "tables"),
        _rows(document, "members", "router", "data_centre", "state", "table_version"),
    )
    yield from _section(
        "schedulers followed",
        ("shard", "scheduler", "welcomed", "waiting", "wait s"),
        _rows(
            document, "follows", "shard", "scheduler", "welcomed", "waiting", "wait_s"
        ),
    )
    yield from _section(
        "backend servers scheduled here",
        ("shard", "server", "warmth", "running", "usable", "limit"),
        _servers(document.get("schedulers", [])),
    )


def explain_lines(document: Document) -> Iterator[str]:
    """Yield the lines that show where a call would be routed now, and why."""
    route, workspace = document.get("route"), document.get("workspace")
    yield f"route {route} of pool {document.get('pool')}"
    if workspace and not document.get("allowed", True):
        yield f"workspace {workspace} is not allowed on this route"
    chosen = document.get("chosen_shard")
    if chosen:
        yield f"goes to shard {chosen}, scheduled by {document.get('scheduler')}"
    else:
        yield "would be refused, not run"
    yield f"because: {document.get('reason')}"
    wait = document.get("estimated_wait_s")
    yield f"wait: {_format_cell(wait)} s" if wait is not None else "wait: unknown"
    out = document.get("out_of_service") or []
    if out:
        yield f"out of service: {', '.join(out)}"
    yield from _section(
        "shards",
        ("shard", "scheduler", "own centre", "reachable", "waiting", "wait s"),
        _rows(
            document,
            "shards",
            "shard",
            "scheduler",
            "own_data_centre",
            "reachable",
            "waiting",
            "wait_s",
        ),
    )
    yield from _section(
        "backend servers",
        ("shard", "server", "warmth", "running", "usable", "limit"),
        _servers(document.get("shards", [])),
    )


def audit_line(record: Document) -> str:
    """Format one audit record as a line."""
    at = datetime.fromtimestamp(float(record.get("at", 0.0)), UTC)
    before = record.get("before") or "nothing"
    after = record.get("after") or "nothing"
    return (
        f"{record.get('sequence')} {at:%Y-%m-%dT%H:%M:%SZ} {record.get('subject')} "
        f"{record.get('name')}: {before} -> {after} ({record.get('cause')})"
    )


def _section(
    title: str, header: Sequence[str], rows: Sequence[Sequence[Any]]
) -> Iterator[str]:
    if not rows:
        return
    yield ""
    yield f"{title}:"
    for line in columns(header, rows):
        yield f"  {line}"


def _rows(document: Document, name: str, *keys: str) -> list[list[Any]]:
    return [[row.get(key) for key in keys] for row in document.get(name, [])]


def _centres(document: Document) -> list[tuple[str, str]]:
    return sorted(document.get("data_centres", {}).items())


def _servers(shards: Iterable[Document]) -> list[list[Any]]:
    keys = ("server", "warmth", "running", "usable", "limit")
    return [
        [shard.get("shard"), *(row.get(key) for key in keys)]
        for shard in shards
        for row in shard.get("servers", [])
    ]
