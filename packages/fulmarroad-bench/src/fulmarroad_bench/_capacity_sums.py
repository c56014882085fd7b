"""Compute the needs of one node of a large fleet from slopes, term by term."""

from __future__ import annotations

import math
from collections.abc import Mapping, Sequence

from attrs import frozen

from fulmarroad._following import progress_interval
from fulmarroad._grpc import FRAME_OVERHEAD_BYTES
from fulmarroad._scheduler import HEARTBEAT_S
from fulmarroad_bench._capacity_size import FleetSize
from fulmarroad_bench._slopes import Slope

FRAME_BYTES = FRAME_OVERHEAD_BYTES
"""gRPC prefix, HTTP/2, TCP and IP headers of a frame, as routers count them."""

BEATS_S = 1 / HEARTBEAT_S
"""Heartbeats per second from each scheduler to each of its followers."""

TICKS_S = 20.0
"""Ticks per second of each scheduler."""

DAY_S = 86_400.0
TABLE_PARTS = 64
UPDATE_REPEATS = 18
"""Times that each of 370 members repeats an update: twice log2, rounded up."""

DEAD_MEMBERS_KEPT = 67
"""Replaced VMs still held: 800 a day, each kept for two hours, are 800 / 12."""

PROMPT_BLOCKS = 8
"""Maximum prompt block hashes of a demand; real prompt lengths are unknown."""

AUDIT_RECORDS = 4096
KEYS_KEPT = 16_384
KEY_ANSWERS_BYTES = 4 * 1024 * 1024
MAX_WAITING = 1024
PREFIX_BLOCKS = 4096

LIMITS = {"sent": 7000.0, "received": 7000.0, "us": 43_000.0, "bytes": 32e6}
"""7 KB/s in each direction, 4.3% of a core in microseconds per second, and 32 MB."""


@frozen
class CostTerm:
    """Hold one product of the calculation: a role's mean need of one kind at a node."""

    role: str
    kind: str  # sent or received (bytes a second), us (a second) or bytes (held)
    what: str
    text: str
    value: float


class _CostSheet:
    """Look up slopes by name and collect the cost terms."""

    def __init__(self, slopes: Sequence[Slope]) -> None:
        self._slopes = {slope.name: slope for slope in slopes}
        self.rows: list[CostTerm] = []

    def each(self, name: str) -> float:
        return self._slopes[name].each

    def at(self, name: str, size: float) -> float:
        slope = self._slopes[name]
        return slope.fixed + slope.each * size

    def measured(self, name: str, size: int) -> float:
        """Return the value measured at a size, for costs that aren't linear."""
        slope = self._slopes[name]
        return slope.values[slope.sizes.index(size)]

    def add(self, role: str, kind: str, what: str, *factors: float) -> float:
        """Add the product of the factors as a term and return it."""
        text = " x ".join(f"{factor:,.6g}" for factor in factors)
        value = math.prod(factors)
        self.rows.append(CostTerm(role, kind, what, text, value))
        return value


def cost_terms(slopes: Sequence[Slope], size: FleetSize) -> list[CostTerm]:
    """Return all cost terms, for a node with the mean number of schedulers."""
    sheet = _CostSheet(slopes)
    _accepting(sheet, size)
    _scheduling(sheet, size)
    _membership(sheet, size)
    _configuration(sheet, size)
    _keys(sheet)
    _records(sheet)
    return sheet.rows


def _accepting(sheet: _CostSheet, size: FleetSize) -> None:
    role, rate = "accepting", size.requests_s / size.nodes
    asked = sheet.at("asked_bytes", PROMPT_BLOCKS) + 3 * FRAME_BYTES
    grant = sheet.at("grant_bytes", 1) + FRAME_BYTES
    beat = sheet.at("heartbeat_bytes", size.servers_of_shard) + FRAME_BYTES
    lend = sheet.at("lend_bytes", 1) + FRAME_BYTES
    beats = size.shards_of_centre * BEATS_S
    sheet.add(role, "sent", "demand, started, finished", rate, asked)
    sheet.add(role, "received", "grants", rate, grant)
    sheet.add(role, "sent", "lends, one per heartbeat", beats, lend)
    sheet.add(role, "received", "heartbeats of the shards followed", beats, beat)
    sheet.add(role, "sent", "progress reports", *_progress(sheet, size))
    sheet.add(role, "us", "lookups", rate, sheet.at("lookup_us_workspace", 0))
    sheet.add(role, "us", "admission", rate, sheet.each("admission_us"))
    sheet.add(role, "us", "follower", rate, sheet.each("follower_us"))
    codec = sheet.at("request_codec_us", PROMPT_BLOCKS)
    sheet.add(role, "us", "request codec, both ends", rate, codec)
    codec = sheet.at("beat_codec_us", size.servers_of_shard)
    sheet.add(role, "us", "heartbeat and lend codec, both ends", beats, codec)
    leases = size.running / size.nodes
    sheet.add(role, "bytes", "leases", leases, sheet.each("follower_lease_bytes"))
    shards = size.models * size.shards_of_pool
    sheet.add(role, "bytes", "shards", 1, sheet.at("follower_bytes", shards))
    sheet.add(role, "bytes", "waiting", MAX_WAITING, sheet.each("admission_bytes"))


def _progress(sheet: _CostSheet, size: FleetSize) -> tuple[float, float]:
    """Return progress rounds per second, and bytes of one round over all shards."""
    leases = size.running / size.nodes
    interval = progress_interval(round(leases))
    shards = size.shards_of_centre
    fixed = sheet.at("progress_bytes", 0) + FRAME_BYTES
    return 1 / interval, leases * sheet.each("progress_bytes") + shards * fixed


def _scheduling(sheet: _CostSheet, size: FleetSize) -> None:
    role, roles = "scheduler", size.roles_of_node
    rate = size.requests_s / size.nodes
    beats = roles * size.nodes_of_centre * BEATS_S
    beat = sheet.at("heartbeat_bytes", size.servers_of_shard) + FRAME_BYTES
    lend = sheet.at("lend_bytes", 1) + FRAME_BYTES
    asked = sheet.at("asked_bytes", PROMPT_BLOCKS) + 3 * FRAME_BYTES
    grant = sheet.at("grant_bytes", 1) + FRAME_BYTES
    sheet.add(role, "sent", "grants", rate, grant)
    sheet.add(role, "received", "demand, started, finished", rate, asked)
    sheet.add(role, "sent", "heartbeats to followers", beats, beat)
    sheet.add(role, "received", "lends", beats, lend)
    sheet.add(role, "received", "progress reports", *_progress(sheet, size))
    peers = size.schedulers_of_pool - 1
    entries = sheet.measured("report_entries", peers)
    report = sheet.at("report_bytes", entries) + FRAME_BYTES
    reports = roles * peers * sheet.measured("reports_minute", peers) / 60
    sheet.add(role, "sent", "service reports", reports, report)
    sheet.add(role, "received", "service reports", reports, report)
    cycle = sheet.at("cycle_us", size.backlogged_of_pool)
    sheet.add(role, "us", "demand, start, end and next grant", rate, cycle)
    tick = sheet.at("beat_tick_us", size.servers_of_shard)
    sheet.add(role, "us", "ticks", roles * TICKS_S, tick)
    sheet.add(role, "us", "lends", beats, sheet.at("lend_us", size.servers_of_shard))
    rounds, _ = _progress(sheet, size)
    leases = size.running / size.nodes
    one = sheet.each("progress_us") + sheet.each("progress_codec_us")
    sheet.add(role, "us", "progress reports with codec", rounds, leases, one)
    one = sheet.at("report_codec_us", entries) + sheet.at("report_absorb_us", entries)
    sheet.add(role, "us", "service reports", reports, one)
    _scheduler_memory(sheet, size)


def _scheduler_memory(sheet: _CostSheet, size: FleetSize) -> None:
    role, roles = "scheduler", size.roles_of_node
    servers = size.servers_of_shard
    sheet.add(role, "bytes", "servers", roles, servers, sheet.each("server_bytes"))
    backlogged = size.backlogged_of_pool
    one = sheet.each("backlog_bytes")
    sheet.add(role, "bytes", "backlogged workspaces", roles, backlogged, one)
    leases = size.running / size.nodes
    sheet.add(role, "bytes", "running leases", leases, sheet.each("lease_bytes"))
    peers = size.schedulers_of_pool - 1
    known = size.workspaces / size.models
    one = sheet.each("peer_entry_bytes")
    sheet.add(role, "bytes", "entries from other schedulers", roles, peers, known, one)
    prefixes = sheet.at("prefix_bytes", PREFIX_BLOCKS)
    sheet.add(role, "bytes", "prefix map, full", roles, servers, prefixes)


def _membership(sheet: _CostSheet, size: FleetSize) -> None:
    role = "membership"
    probes = sheet.at("probe_bytes_period", size.nodes)
    updates = 2 * size.replaced_day / DAY_S * UPDATE_REPEATS
    for kind in ("sent", "received"):
        sheet.add(role, kind, "probes and answers", 1, probes)
        sheet.add(
            role,
            kind,
            "updates about replaced VMs",
            updates,
            sheet.each("update_bytes"),
        )
    spent = sheet.at("probe_us_period", size.nodes)
    sheet.add(role, "us", "probes and answers", 1, spent)
    shards = size.models * size.shards_of_pool
    changes = 2 * size.replaced_day / DAY_S
    assigned = sheet.at("assignment_us", shards)
    sheet.add(role, "us", "reassignment of shard owners", changes, assigned)
    known = size.nodes + DEAD_MEMBERS_KEPT
    sheet.add(role, "bytes", "members", known, sheet.each("member_bytes"))


def _configuration(sheet: _CostSheet, size: FleetSize) -> None:
    role, changes = "configuration", size.changes_day / DAY_S
    text = sheet.each("table_text_bytes") * size.workspaces / TABLE_PARTS
    manifest = sheet.at("manifest_bytes", TABLE_PARTS)
    for kind in ("sent", "received"):
        sheet.add(role, kind, "one part per change", changes, text)
        sheet.add(role, kind, "manifest per change", changes, manifest)
    spent = sheet.at("tables_change_us", size.workspaces)
    sheet.add(role, "us", "applying a change", changes, spent)
    for per, count in (("workspace", size.workspaces), ("server", size.servers)):
        one = sheet.each(f"tables_bytes_{per}")
        sheet.add(role, "bytes", f"tables, {per}s", count, one)


def _keys(sheet: _CostSheet) -> None:
    sheet.add("keys", "bytes", "records, full", KEYS_KEPT, sheet.each("key_bytes"))
    sheet.add("keys", "bytes", "stored answers, full", 1, KEY_ANSWERS_BYTES)


def _records(sheet: _CostSheet) -> None:
    one = sheet.each("audit_bytes")
    sheet.add("audit", "bytes", "trail, full", AUDIT_RECORDS, one)


def totals(rows: Sequence[CostTerm]) -> Mapping[str, float]:
    """Return the sum of the terms of each kind."""
    return {kind: sum(row.value for row in rows if row.kind == kind) for kind in LIMITS}
