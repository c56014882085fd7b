"""Measure what a serving router costs before it serves: memory, start, one call.

Ratios are of one run on one machine; absolute times are of that machine only.
"""

from __future__ import annotations

import asyncio
import importlib
import json
import time
from pathlib import Path

import fire
import httpcore

from fulmarroad_bench._processor_time import cpu_s

CALLS = 2_000
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
    from attrs import asdict

    from fulmarroad_bench._footprint_decisions import decision_cost

    for servers, workspaces in ((9, 16), (45, 30), (128, 40), (300, 40), (128, 1_600)):
        print(json.dumps(asdict(decision_cost(servers, workspaces))))


def digests() -> None:
    """Print bytes and processor time of a digest of the whole fleet, by fleet size."""
    from attrs import asdict

    from fulmarroad_bench._footprint_decisions import digest_cost

    for routers, servers in ((20, 12), (70, 33), (195, 84), (400, 300)):
        print(json.dumps(asdict(digest_cost(routers, servers, 60))))


def suspects() -> None:
    """Print what requests under which servers ended cost a router."""
    from attrs import asdict

    from fulmarroad_bench._footprint_suspects import suspect_cost

    print(json.dumps(asdict(suspect_cost())))


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
    begun = cpu_s()
    for _ in range(CALLS):
        await client.get("/", 5.0)
    spent = cpu_s() - begun
    client.close()
    server.close()
    return round(spent / CALLS * 1e6, 1)


async def _library() -> float:
    server, port = await _serve()
    async with httpcore.AsyncConnectionPool() as pool:
        begun = cpu_s()
        for _ in range(CALLS):
            await pool.request("GET", f"http://127.0.0.1:{port}/")
        spent = cpu_s() - begun
    server.close()
    return round(spent / CALLS * 1e6, 1)


if __name__ == "__main__":
    fire.Fire(
        {
            "memory": memory,
            "calls": calls,
            "decisions": decisions,
            "digests": digests,
            "suspects": suspects,
        }
    )
