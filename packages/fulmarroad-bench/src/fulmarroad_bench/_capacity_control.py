"""Measure the cost of scheduling: memory, processor time and bytes on the wire."""

from __future__ import annotations

from typing import Any

from attrs import evolve

from fulmarroad.capacity import ServerBook
from fulmarroad.messages import (
    Demand,
    Finished,
    Grant,
    Heartbeat,
    Hello,
    Lend,
    Progress,
    ServiceEntry,
    ServiceReport,
    ServiceUsed,
    Started,
    decode,
    encode,
)
from fulmarroad.placement import PrefixMap
from fulmarroad.scheduling import FleetQueue, Scheduler, Totals
from fulmarroad.tables import BackendServer, Pool
from fulmarroad.types import Epoch, Outcome, ShardId, Unit
from fulmarroad_bench._capacity_state import workspace_name
from fulmarroad_bench._slopes import Slope, allocated_bytes, best_us, fit, measure

CENTRE = "region-1-dc-01"
SHARD = ShardId("model-01", CENTRE, 0)
EPOCH = Epoch("entry-vm-000001", 1_800_000_000_000, 17)
ROUTERS = tuple(f"entry-vm-{n:06d}" for n in range(31))
"""Routers of one data centre: 370 nodes over 12 data centres are 31 in each."""

BACKLOG_SIZES = (100, 400, 1600)
LEASE_SIZES = (64, 128, 256)
SERVER_SIZES = (8, 16, 32)
PREFIX_SIZES = (1024, 2048, 4096)
ENTRY_SIZES = (4, 16, 64)
CYCLES = 200
MESSAGES = 500
SERVERS = 8
UNITS = 4
FAR_S = 1e5
BACKLOGGED = 115
"""Workspaces with waiting demands at one pool: a tenth of 16,000 over 14 pools."""

PEER_SIZES = (2, 8, 23)
LONGEST_ROUND_S = 600.0
TICK_S = 0.05

BLOCK_SIZES = (0, 4, 16)
"""Numbers of prompt block hashes in a demand, up to 16; the router sends 8 at most."""


def slopes() -> list[Slope]:
    """Return every slope of this module."""
    return [
        *request_slopes(),
        *scheduler_slopes(),
        *heartbeat_slopes(),
        *report_slopes(),
        *round_slopes(),
    ]


def _servers(count: int) -> tuple[BackendServer, ...]:
    return tuple(
        BackendServer(f"model-01-server-{n:04d}", f"10.0.0.{n}:8000", CENTRE)
        for n in range(count)
    )


def build_book(servers: int, units: int) -> ServerBook:
    """Return a server book whose units are all lent."""
    pool = Pool("model-01", max_concurrency=units, cold_concurrency=units)
    book = ServerBook(pool, _servers(servers), now=0.0, handed_over=True)
    book.set_vms(ROUTERS, 0.0)
    for router in ROUTERS:
        book.lend(router, FAR_S, 0.0)
    book.free(1.0)
    return book


def build_scheduler(servers: int, units: int) -> Scheduler:
    """Return an idle scheduler that every router follows and lends capacity to."""
    book = build_book(servers, units)
    scheduler = Scheduler(SHARD, EPOCH, book, FleetQueue(), live=ROUTERS, now=0.0)
    for router in ROUTERS:
        hello = Hello(SHARD, router, 1, CENTRE, 0.0)
        scheduler.handle(router, hello, 0.0)
    _lend(scheduler)
    return scheduler


def _lend(scheduler: Scheduler) -> None:
    for router in ROUTERS:
        scheduler.handle(router, Lend(SHARD, EPOCH, 0.9, 0.9), 1.0)


def _demand(index: int, workspace: int, blocks: int = 0) -> Demand:
    return Demand(
        SHARD,
        f"01234567-89ab-cdef-0123-{index:012d}#1",
        workspace_name(workspace),
        1.0,
        256.5,
        0.00123,
        59.98765,
        tuple(2**63 + n for n in range(blocks)),
    )


def fill(scheduler: Scheduler, workspaces: int, depth: int = 1) -> list[Grant]:
    """Queue `depth` demands for each workspace; return the grants made meanwhile."""
    grants = []
    for index in range(workspaces * depth):
        demand = _demand(index, index % workspaces)
        router = ROUTERS[index % len(ROUTERS)]
        for send in scheduler.handle(router, demand, 1.0):
            if isinstance(send.message, Grant):
                grants.append(send.message)
    return grants


def request_messages(blocks: int = 0) -> tuple[Any, ...]:
    """Return the four messages of one request, in sending order."""
    lease = "entry-vm-000001-18fae27693b400-17.123456"
    demand = _demand(1, 1, blocks)
    unit = Unit("model-01-server-0001", 3)
    return (
        demand,
        Grant(SHARD, EPOCH, lease, demand.demand_id, unit, 12345.6789, 1.0),
        Started(SHARD, lease),
        Finished(SHARD, lease, Outcome.COMPLETED, 206.25, 0.2345, 0.0456, 9.8765, 2),
    )


def request_slopes() -> list[Slope]:
    """Return bytes and codec time of a request's four messages, by prompt blocks."""

    def asked(blocks: int) -> float:
        demand, _, started, finished = request_messages(blocks)
        return sum(len(encode(message)) for message in (demand, started, finished))

    def grants(count: int) -> float:
        return len(encode(*[request_messages()[1]] * count))

    def codec_us(blocks: int) -> float:
        messages = request_messages(blocks)

        def run() -> None:
            for _ in range(MESSAGES):
                for message in messages:
                    decode(encode(message))

        return best_us(run, MESSAGES)

    return [
        measure("asked_bytes", "prompt block", "B", BLOCK_SIZES, asked),
        measure("grant_bytes", "grant", "B", (1, 2, 4), grants),
        measure("request_codec_us", "prompt block", "us", BLOCK_SIZES, codec_us),
    ]


def _cycle_us(workspaces: int) -> float:
    """Return the time to handle one demand, start and end under a backlog.

    The end frees a unit, so it includes the next grant. The time is in microseconds.
    """
    scheduler = build_scheduler(SERVERS, UNITS)
    running = fill(scheduler, workspaces, depth=2)
    router_of = {
        _demand(n, 0).demand_id: ROUTERS[n % len(ROUTERS)]
        for n in range(2 * workspaces + (CYCLES + 1) * 3)
    }
    numbers = iter(range(2 * workspaces, 2 * workspaces + CYCLES * 4))

    def run() -> None:
        for _ in range(CYCLES):
            grant = running.pop(0)
            router = router_of[grant.demand_id]
            scheduler.handle(router, Started(SHARD, grant.lease_id), 1.0)
            number = next(numbers)
            name = ROUTERS[number % len(ROUTERS)]
            scheduler.handle(name, _demand(number, number % workspaces), 1.0)
            end = Finished(
                SHARD, grant.lease_id, Outcome.COMPLETED, 200.0, 0.1, 0.01, 5
            )
            sends = scheduler.handle(router, end, 1.0)
            running.extend(s.message for s in sends if isinstance(s.message, Grant))

    return best_us(run, CYCLES)


def _running_bytes(leases: int) -> float:
    def build() -> Scheduler:
        scheduler = build_scheduler(SERVERS, max(LEASE_SIZES) // SERVERS)
        if len(fill(scheduler, leases)) != leases:
            raise ValueError("not all demands were granted")
        return scheduler

    return allocated_bytes(build)


def _progress_us(leases: int) -> float:
    scheduler = build_scheduler(SERVERS, max(LEASE_SIZES) // SERVERS)
    grants = fill(scheduler, leases)
    reports = [
        (ROUTERS[n % len(ROUTERS)], Progress(SHARD, (ServiceUsed(g.lease_id, 12.5),)))
        for n, g in enumerate(grants)
    ]

    def run() -> None:
        for router, report in reports:
            scheduler.handle(router, report, 1.0)

    return best_us(run)


def _prefix_bytes(blocks: int) -> float:
    def build() -> PrefixMap:
        prefixes = PrefixMap()
        for first in range(0, blocks, 16):
            prefixes.note("server", range(2**63 + first, 2**63 + first + 16), 1.0)
        return prefixes

    return allocated_bytes(build)


def scheduler_slopes() -> list[Slope]:
    """Return a scheduler's memory and time by backlog, leases and servers."""

    def backlog_bytes(workspaces: int, depth: int = 1) -> float:
        def build() -> Scheduler:
            scheduler = build_scheduler(1, 1)
            fill(scheduler, workspaces, depth)
            return scheduler

        return allocated_bytes(build)

    return [
        measure("cycle_us", "backlogged workspace", "us", BACKLOG_SIZES, _cycle_us),
        measure(
            "backlog_bytes", "backlogged workspace", "B", BACKLOG_SIZES, backlog_bytes
        ),
        measure(
            "waiting_bytes",
            "further waiting demand",
            "B",
            (100, 400, 1600),
            lambda size: backlog_bytes(10, size // 10),
        ),
        measure("lease_bytes", "running lease", "B", LEASE_SIZES, _running_bytes),
        measure("prefix_bytes", "prompt block", "B", PREFIX_SIZES, _prefix_bytes),
        measure("progress_us", "running lease", "us", LEASE_SIZES, _progress_us),
        measure(
            "server_bytes",
            "server",
            "B",
            SERVER_SIZES,
            lambda size: allocated_bytes(lambda: build_book(size, UNITS)),
        ),
    ]


def _heartbeat(servers: int) -> Heartbeat:
    book = build_book(servers, UNITS)
    return Heartbeat(SHARD, EPOCH, 12345.6789, book.status(1.0), 100, 1.2345, True)


def heartbeat_slopes() -> list[Slope]:
    """Return bytes and time of heartbeats, lends and progress reports."""
    lend = Lend(SHARD, EPOCH, 12345.6789, 23456.789)

    def beat_codec_us(servers: int) -> float:
        heartbeat = _heartbeat(servers)

        def run() -> None:
            for _ in range(MESSAGES):
                decode(encode(heartbeat))
                decode(encode(lend))

        return best_us(run, MESSAGES)

    def tick_us(servers: int) -> float:
        scheduler = build_scheduler(servers, UNITS)
        times = iter(range(10**6))

        def run() -> None:
            for _ in range(50):
                scheduler.tick(1.0 + next(times) * 0.5)

        return best_us(run, 50)

    def lend_us(servers: int) -> float:
        scheduler = build_scheduler(servers, UNITS)
        return best_us(lambda: _lend(scheduler), len(ROUTERS))

    def progress(leases: int) -> Progress:
        used = [ServiceUsed(f"entry-vm-000001-{n:024d}", 12.5) for n in range(leases)]
        return Progress(SHARD, tuple(used))

    def progress_codec_us(leases: int) -> float:
        message = progress(leases)
        return best_us(lambda: [decode(encode(message)) for _ in range(50)], 50)

    return [
        measure(
            "heartbeat_bytes",
            "server",
            "B",
            SERVER_SIZES,
            lambda n: len(encode(_heartbeat(n))),
        ),
        measure(
            "lend_bytes", "lend", "B", (1, 2, 4), lambda n: len(encode(*[lend] * n))
        ),
        measure("beat_codec_us", "server", "us", SERVER_SIZES, beat_codec_us),
        measure("beat_tick_us", "server", "us", SERVER_SIZES, tick_us),
        measure("lend_us", "server", "us", SERVER_SIZES, lend_us),
        measure(
            "progress_bytes",
            "running lease",
            "B",
            ENTRY_SIZES,
            lambda n: len(encode(progress(n))),
        ),
        measure(
            "progress_codec_us", "running lease", "us", ENTRY_SIZES, progress_codec_us
        ),
    ]


def report(entries: int, sequence: int = 1, router: str = "entry-vm-000002") -> Any:
    """Return a service report with `entries` workspaces from another router."""
    rows = tuple(
        ServiceEntry(workspace_name(n), 12345.25 + sequence, 123.75, 12)
        for n in range(entries)
    )
    epoch = evolve(EPOCH, router=router)
    shard = evolve(SHARD, index=1)
    return ServiceReport(shard, epoch, sequence, 0, 256, 1000, rows)


def run_reports(peers: int) -> tuple[float, float, float]:
    """Return reports a minute, mean entries in one, and seconds for a full round.

    A round ends when a scheduler with `BACKLOGGED` workspaces has reported each of
    them to its peers.
    """
    scheduler = build_scheduler(SERVERS, UNITS)
    fill(scheduler, BACKLOGGED, depth=2)
    scheduler.set_peers(peers)
    unreported = {workspace_name(n) for n in range(BACKLOGGED)}
    reports = entries = 0
    for tick in range(round(LONGEST_ROUND_S / TICK_S)):
        seconds = (tick + 1) * TICK_S
        sent_report = scheduler.report(seconds)
        if sent_report is None:
            continue
        reports, entries = reports + 1, entries + len(sent_report.entries)
        unreported -= {entry.workspace for entry in sent_report.entries}
        if not unreported and reports > 1:
            return 60 * reports / seconds, entries / reports, seconds
    raise ValueError(f"{len(unreported)} workspaces were never reported.")


def round_slopes() -> list[Slope]:
    """Return report rate, entries in a report and length of a round, by peers."""
    found = zip(*map(run_reports, PEER_SIZES), strict=True)
    names = (("reports_minute", "reports"), ("report_entries", "entries"))
    return [
        fit(name, "peer", unit, PEER_SIZES, values)
        for (name, unit), values in zip((*names, ("round_s", "s")), found, strict=True)
    ]


def report_slopes() -> list[Slope]:
    """Return bytes, processor time and memory of service reports, by entries."""

    def receive_us(entries: int) -> float:
        totals = Totals(SHARD, EPOCH, FleetQueue())
        reports = [report(entries, n) for n in range(60)]
        remaining = iter(reports)

        def run() -> None:
            for _ in range(20):
                totals.receive_report(next(remaining), 1.0)

        return best_us(run, 20)

    def codec_us(entries: int) -> float:
        sent_report = report(entries)
        return best_us(lambda: [decode(encode(sent_report)) for _ in range(20)], 20)

    def held(entries: int) -> float:
        def build() -> Totals:
            totals = Totals(SHARD, EPOCH, FleetQueue())
            for peer in range(10):
                totals.receive_report(report(entries, 1, f"entry-vm-{peer:06d}"), 1.0)
            return totals

        return allocated_bytes(build) / 10

    return [
        measure(
            "report_bytes", "entry", "B", ENTRY_SIZES, lambda n: len(encode(report(n)))
        ),
        measure("report_codec_us", "entry", "us", ENTRY_SIZES, codec_us),
        measure("report_absorb_us", "entry", "us", ENTRY_SIZES, receive_us),
        measure("peer_entry_bytes", "entry and peer", "B", ENTRY_SIZES, held),
    ]
