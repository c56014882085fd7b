"""Measure the real code of placements, reports and digests, by fleet size."""

from __future__ import annotations

import random
from collections.abc import Callable

from attrs import frozen

from fulmarroad_bench._processor_time import cpu_s
from fulmarroad_serving import (
    CallerLimits,
    Catalog,
    Demand,
    Dispatcher,
    EngineProfile,
    FleetBounds,
    Instance,
    Placement,
    Service,
)
from fulmarroad_serving._digests import Digest, pack_digest, read_digest, sum_reports
from fulmarroad_serving._fleet_view import FleetView
from fulmarroad_serving._load import PeerLoad
from fulmarroad_serving._reports import (
    PeerReport,
    member_of,
    pack_report,
    unpack,
    unpack_report,
)
from fulmarroad_serving._shares import WorkspaceCount

DECISIONS = 2_000
DIGESTS = 300
SLOTS = 128
CENTRES = 5
SERVERS_OF_A_ROUTER = 12
"""Number of servers at which a router has running calls."""

WORKSPACES_OF_A_ROUTER = 8


@frozen
class DecisionCost:
    """Hold the cost of one router's placements and reports at a fleet size."""

    servers: int
    workspaces: int
    place_us: float
    report_bytes: int
    pack_and_unpack_us: float


@frozen
class DigestCost:
    """Hold the cost of a digest of the whole fleet to the router that receives it."""

    routers: int
    servers: int
    workspaces: int
    digest_bytes: int
    read_us: float
    take_us: float


def decision_cost(servers: int, workspaces: int) -> DecisionCost:
    """Measure placements and the report of a router, by servers and workspaces."""
    dispatcher = _dispatcher("router-000", servers)
    demands = [
        Demand(
            f"c-{n}", "drafting", f"work{n:04d}", 0.4, f"part-{n}", 9_000, 3_000, 100
        )
        for n in range(workspaces)
    ]
    now = 100.0
    for demand in demands:
        dispatcher.note_asked(demand, now)
        placed = dispatcher.place(demand, now)
        if isinstance(placed, Placement):
            dispatcher.send(demand, placed, now)
    started = cpu_s()
    for n in range(DECISIONS):
        now += 0.005
        dispatcher.place(demands[n % workspaces], now)
    place_us = (cpu_s() - started) / DECISIONS * 1e6
    report = _own_report(dispatcher, now)
    codec_us = _mean_us(lambda: unpack_report(pack_report(report)), DECISIONS)
    size = len(pack_report(report))
    return DecisionCost(servers, workspaces, round(place_us, 1), size, codec_us)


def digest_cost(routers: int, servers: int, workspaces: int) -> DigestCost:
    """Measure a digest of the whole fleet at a router that isn't the collector."""
    reports = [
        _peer_report(number, servers, workspaces, random.Random(number))
        for number in range(routers)
    ]
    digest = Digest("collector", "", sum_reports((row, 0.1) for row in reports))
    data = pack_digest(digest)
    receiver = reports[0].router
    dispatcher = _dispatcher(receiver, servers)
    view = FleetView(receiver, "centre-0", "10.0.0.1", dispatcher, random.Random(1))
    for row in reports:
        view.book.merge_member(member_of(row, 0.0), 0.0)
    return DigestCost(
        routers,
        servers,
        workspaces,
        len(data),
        _mean_us(lambda: read_digest(unpack(data)), DIGESTS),
        _mean_us(lambda: view.receive_digest(digest, 0.1), DIGESTS),
    )


def _dispatcher(router: str, servers: int) -> Dispatcher:
    dispatcher = Dispatcher(router, "centre-1", FleetBounds(), 1)
    service = Service("drafting", engine=EngineProfile(SLOTS))
    limits = CallerLimits(units_per_s=1e6)
    catalog = Catalog(1, services={"drafting": service}, limits=limits)
    dispatcher.set_catalog(catalog)
    for n in range(servers):
        row = Instance(_server(n), "drafting", "10.0.0.1", n + 1, "centre-1", SLOTS)
        dispatcher.registry.put(row, 0.0)
    return dispatcher


def _server(number: int) -> str:
    return f"i-{number:08x}"


def _own_report(dispatcher: Dispatcher, now: float) -> PeerReport:
    counts = dispatcher.shares.own_counts(now)
    return PeerReport(
        "router-000",
        1,
        1,
        "centre-1",
        "10.0.0.1",
        False,
        9,
        0.1,
        9.0,
        dispatcher.own_load(),
        dict(list(counts.items())[:40]),
        (),
        dispatcher.parts.pop_updates(40),
    )


def _peer_report(
    number: int, servers: int, workspaces: int, source: random.Random
) -> PeerReport:
    at = source.sample(range(servers), min(servers, SERVERS_OF_A_ROUTER))
    active = source.sample(range(workspaces), min(workspaces, WORKSPACES_OF_A_ROUTER))
    return PeerReport(
        f"router-{number:03d}",
        1,
        1,
        f"centre-{number % CENTRES}",
        f"10.0.{number // 250}.{number % 250}",
        False,
        9,
        0.1,
        9.0,
        {_server(n): PeerLoad(2, 3_000) for n in at},
        {f"work{n:04d}": WorkspaceCount(1e5, 9e4) for n in active},
    )


def _mean_us(act: Callable[[], object], times: int) -> float:
    started = cpu_s()
    for _ in range(times):
        act()
    return round((cpu_s() - started) / times * 1e6, 1)
