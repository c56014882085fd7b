"""Measure what a serving router costs before it serves: memory, start, one call.

Ratios are of one run on one machine; absolute times are of that machine only.
"""

from __future__ import annotations

import asyncio
import importlib
import json
import resource
import time
from pathlib import Path

import fire
import httpcore

CALLS = 2_000
DECISIONS = 2_000
ANSWER = b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\ndone"

MODULES = (
    "attrs",
    "anyio",
    "uvloop",
    "httptools",
    "msgpack",
    "xxhash",
    "prometheus_client",
    "uvicorn",
    "fulmarroad_serving.node",
)


def resident_kb() -> int:
    """Return this process's resident memory."""
    status = Path("/proc/self/status").read_text()
    line = next(row for row in status.splitlines() if row.startswith("VmRSS"))
    return int(line.split()[1])


def memory() -> None:
    """Print the resident memory after each import of a router, and the time of it."""
    rows = [("interpreter with this bench", resident_kb(), 0.0)]
    for name in MODULES:
        begun = time.process_time()
        importlib.import_module(name)
        rows.append((name, resident_kb(), time.process_time() - begun))
    for name, size, seconds in rows:
        print(json.dumps({"after": name, "kb": size, "cpu_s": round(seconds, 4)}))


def calls() -> None:
    """Print the processor time of a call by the router's connection and by httpcore."""
    own = asyncio.run(_own())
    library = asyncio.run(_library())
    row = {"own_us": own, "httpcore_us": library, "ratio": round(library / own, 2)}
    print(json.dumps(row))


def decisions() -> None:
    """Print bytes and processor time of a report and of a placement, by fleet size."""
    for servers, workspaces in ((9, 16), (45, 30), (128, 40), (128, 1_600)):
        print(json.dumps(_decision_row(servers, workspaces)))


def _decision_row(servers: int, workspaces: int) -> dict[str, float]:
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
    from fulmarroad_serving._reports import PeerReport, pack_report, unpack_report

    dispatcher = Dispatcher("router-000", "centre-1", FleetBounds(), 1)
    service = Service("drafting", engine=EngineProfile(128))
    limits = CallerLimits(units_per_s=1e6)
    catalog = Catalog(1, services={"drafting": service}, limits=limits)
    dispatcher.set_catalog(catalog)
    for n in range(servers):
        instance = Instance(
            f"i-{n:08x}", "drafting", "10.0.0.1", n + 1, "centre-1", 128
        )
        dispatcher.registry.put(instance, 0.0)
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
    begun = _cpu()
    for n in range(DECISIONS):
        now += 0.005
        dispatcher.place(demands[n % workspaces], now)
    place_us = (_cpu() - begun) / DECISIONS * 1e6
    counts = dispatcher.shares.own_counts(now)
    parts = dispatcher.parts.news(40)
    report = PeerReport(
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
        parts,
    )
    data = pack_report(report)
    begun = _cpu()
    for _ in range(DECISIONS):
        unpack_report(pack_report(report))
    codec_us = (_cpu() - begun) / DECISIONS * 1e6
    return {
        "servers": servers,
        "workspaces": workspaces,
        "place_us": round(place_us, 1),
        "report_bytes": len(data),
        "pack_and_unpack_us": round(codec_us, 1),
    }


async def _serve() -> tuple[asyncio.Server, int]:
    async def connected(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while await reader.readuntil(b"\r\n\r\n"):
            writer.write(ANSWER)

    server = await asyncio.start_server(_quiet(connected), "127.0.0.1", 0)
    return server, server.sockets[0].getsockname()[1]


def _quiet(handler):  # type: ignore[no-untyped-def]
    async def run(reader, writer):  # type: ignore[no-untyped-def]
        try:
            await handler(reader, writer)
        except (asyncio.IncompleteReadError, asyncio.CancelledError):
            writer.close()

    return run


async def _own() -> float:
    from fulmarroad_serving.http_client import HttpClient

    server, port = await _serve()
    client = HttpClient("127.0.0.1", port)
    begun = _cpu()
    for _ in range(CALLS):
        await client.get("/", 5.0)
    spent = _cpu() - begun
    client.close()
    server.close()
    return round(spent / CALLS * 1e6, 1)


async def _library() -> float:
    server, port = await _serve()
    async with httpcore.AsyncConnectionPool() as pool:
        begun = _cpu()
        for _ in range(CALLS):
            await pool.request("GET", f"http://127.0.0.1:{port}/")
        spent = _cpu() - begun
    server.close()
    return round(spent / CALLS * 1e6, 1)


def _cpu() -> float:
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return usage.ru_utime + usage.ru_stime


if __name__ == "__main__":
    fire.Fire({"memory": memory, "calls": calls, "decisions": decisions})
