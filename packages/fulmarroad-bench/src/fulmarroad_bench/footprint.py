"""Measure the base cost of a serving router: imports, one call, shared state.

Ratios come from one run on one machine; absolute times hold for that machine only.
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
    """Return this process's resident memory, in KB."""
    status = Path("/proc/self/status").read_text()
    line = next(row for row in status.splitlines() if row.startswith("VmRSS"))
    return int(line.split()[1])


def memory() -> None:
    """Print resident memory and processor time of each import that a router needs."""
    rows = [("interpreter with this bench", resident_kb(), 0.0)]
    for name in MODULES:
        started = time.process_time()
        importlib.import_module(name)
        rows.append((name, resident_kb(), time.process_time() - started))
    for name, size, seconds in rows:
        print(json.dumps({"after": name, "kb": size, "cpu_s": round(seconds, 4)}))


def calls() -> None:
    """Print the processor time of a call with the router's client and with httpcore."""
    own = asyncio.run(_router_client_us())
    library = asyncio.run(_httpcore_us())
    row = {"own_us": own, "httpcore_us": library, "ratio": round(library / own, 2)}
    print(json.dumps(row))


def decisions() -> None:
    """Print the cost of a placement and the size of a report, by fleet size."""
    from attrs import asdict

    from fulmarroad_bench._footprint_decisions import decision_cost

    for servers, workspaces in ((9, 16), (45, 30), (128, 40), (300, 40), (128, 1_600)):
        print(json.dumps(asdict(decision_cost(servers, workspaces))))


def digests() -> None:
    """Print size and processor time of a digest of the whole fleet, by fleet size."""
    from attrs import asdict

    from fulmarroad_bench._footprint_decisions import digest_cost

    for routers, servers in ((20, 12), (70, 33), (195, 84), (400, 300)):
        print(json.dumps(asdict(digest_cost(routers, servers, 60))))


def grants() -> None:
    """Print the cost of a call that the owner of a server places."""
    from attrs import asdict

    from fulmarroad_bench._footprint_grants import grant_cost

    print(json.dumps(asdict(grant_cost())))


def suspects() -> None:
    """Print the cost of tracking requests suspected of crashing servers."""
    from attrs import asdict

    from fulmarroad_bench._footprint_suspects import suspect_cost

    print(json.dumps(asdict(suspect_cost())))


async def _serve() -> tuple[asyncio.Server, int]:
    async def connected(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while await reader.readuntil(b"\r\n\r\n"):
            writer.write(ANSWER)

    server = await asyncio.start_server(_close_on_disconnect(connected), "127.0.0.1", 0)
    return server, server.sockets[0].getsockname()[1]


def _close_on_disconnect(handler):  # type: ignore[no-untyped-def]
    async def run(reader, writer):  # type: ignore[no-untyped-def]
        try:
            await handler(reader, writer)
        except (asyncio.IncompleteReadError, asyncio.CancelledError):
            writer.close()

    return run


async def _router_client_us() -> float:
    from fulmarroad_serving.http_client import HttpClient

    server, port = await _serve()
    client = HttpClient("127.0.0.1", port)
    started = cpu_s()
    for _ in range(CALLS):
        await client.get("/", 5.0)
    spent = cpu_s() - started
    client.close()
    server.close()
    return round(spent / CALLS * 1e6, 1)


async def _httpcore_us() -> float:
    server, port = await _serve()
    async with httpcore.AsyncConnectionPool() as pool:
        started = cpu_s()
        for _ in range(CALLS):
            await pool.request("GET", f"http://127.0.0.1:{port}/")
        spent = cpu_s() - started
    server.close()
    return round(spent / CALLS * 1e6, 1)


if __name__ == "__main__":
    fire.Fire(
        {
            "memory": memory,
            "calls": calls,
            "grants": grants,
            "decisions": decisions,
            "digests": digests,
            "suspects": suspects,
        }
    )
