"""Stand-ins of the platform, servers and clients for the scripts of this review.

They use nothing but the standard library and follow the users' pages. Every address
is a loopback address that only one run of one script uses.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import os
import random
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, TextIO
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parent.parent
FRONTEND_PORT, READINESS_PORT, CONTROL_PORT = 8783, 8780, 8785
STORE_PORT, SERVER_PORT = 8781, 8790
INTERNAL_PORTS = (7400, 7415)
ZONES = ("ma-centre-a", "ma-centre-b", "ma-centre-c")
HOST = "ledger.example"
KEYS = {"tenant-a": "key-of-tenant-a", "tenant-b": "key-of-tenant-b"}
STREAM_PATH, POST_PATH = "/draft/", "/post/"
KV_CAPACITY_TOKENS = 1_026_424
PAGE_ITEMS = 50
HEARTBEAT_S = 1.2
RESTART_DELAY_S = 0.3
READY_TIMEOUT_S = 20.0

RESET_AT_ONCE = struct.pack("ii", 1, 0)

HELD, BROKEN, CANNOT_RUN = 0, 1, 2


class LabError(Exception):
    """Report that a case could not run."""


@dataclass
class Request:
    """Hold one HTTP request as a stand-in read it."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def path(self) -> str:
        """Return the target without its query."""
        return urlsplit(self.target).path

    @property
    def query(self) -> dict[str, str]:
        """Return the first value of each field of the query."""
        rows = parse_qs(urlsplit(self.target).query, keep_blank_values=True)
        return {name: values[0] for name, values in rows.items()}


@dataclass
class Answer:
    """Hold what a client received; status 0: the connection gave no answer."""

    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    complete: bool = False
    closed: bool = False  # by the other side, before its end


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Return the first line and the headers, with names in lower case."""
    raw = await reader.readuntil(b"\r\n\r\n")
    first, *lines = raw.decode("latin-1").split("\r\n")[:-2]
    pairs = (line.partition(":") for line in lines)
    return first, {name.strip().lower(): value.strip() for name, _, value in pairs}


async def read_chunks(
    reader: asyncio.StreamReader, headers: dict[str, str]
) -> AsyncIterator[bytes]:
    """Yield the parts of a body with a length or in chunks; else it is empty."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while size := int((await reader.readline()).split(b";")[0], 16):
            yield await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readuntil(b"\r\n")
    elif length := int(headers.get("content-length", "0")):
        yield await reader.readexactly(length)


async def read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    """Return a whole body."""
    return b"".join([chunk async for chunk in read_chunks(reader, headers)])


async def read_request(reader: asyncio.StreamReader) -> Request:
    """Return the next request of a connection."""
    first, headers = await read_head(reader)
    method, target, _ = first.split(" ", 2)
    return Request(method, target, headers, await read_body(reader, headers))


def response(status: int, headers: dict[str, str], body: bytes) -> bytes:
    """Return the bytes of a response with a length."""
    lines = [f"HTTP/1.1 {status} X"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


CONNECTION_ERRORS = (OSError, EOFError, ValueError, asyncio.LimitOverrunError)
Handler = Callable[[Request, asyncio.StreamWriter], Awaitable[None]]


async def serve(
    host: str,
    port: int,
    handle: Handler,
    writers: set[asyncio.StreamWriter] | None = None,
) -> asyncio.Server:
    """Serve kept connections, one request at a time on each.

    `writers` collects those of the open connections.
    """
    opened = set() if writers is None else writers

    async def connected(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        opened.add(writer)
        with contextlib.suppress(*CONNECTION_ERRORS, asyncio.CancelledError):
            while True:
                await handle(await read_request(reader), writer)
                await writer.drain()
        opened.discard(writer)
        writer.close()

    return await asyncio.start_server(connected, host, port)


@dataclass
class Item:
    """Hold one item of the store; `data` is None once it was deleted."""

    revision: int
    data: bytes | None


class Store:
    """Stand-in for the platform's store; it keeps the whole history."""

    def __init__(self) -> None:
        self._items: dict[str, Item] = {}
        self._revision = 1
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None

    async def start(self, host: str) -> None:
        """Listen at the store's port."""
        self._server = await serve(host, STORE_PORT, self._handle)

    def put(self, key: str, data: bytes | None) -> None:
        """Write an item, or delete it."""
        self._revision += 1
        self._items[key] = Item(self._revision, data)
        self._changed.set()
        self._changed = asyncio.Event()

    def put_json(self, key: str, value: Any) -> None:
        """Write an item whose bytes are JSON."""
        self.put(key, json.dumps(value).encode())

    async def _handle(self, request: Request, writer: asyncio.StreamWriter) -> None:
        query = request.query
        if request.path == "/api/kv-range":
            reply = self._range(query["PathPrefix"], query.get("After", ""))
        elif request.path == "/api/kv-watch":
            reply = await self._watch(query)
        else:
            writer.write(response(404, {}, b"{}"))
            return
        body = json.dumps(reply).encode()
        writer.write(response(200, {"Content-Type": "application/json"}, body))

    def _range(self, prefix: str, after: str) -> dict[str, Any]:
        keys = sorted(
            key
            for key, item in self._items.items()
            if item.data is not None and key.startswith(prefix) and key > after
        )
        rows = [self._row(key) for key in keys[:PAGE_ITEMS]]
        return {
            "Entries": rows,
            "Truncated": len(keys) > PAGE_ITEMS,
            "At": self._revision,
        }

    async def _watch(self, query: dict[str, str]) -> dict[str, Any]:
        after, prefix = int(query["After"]), query["PathPrefix"]
        ends_at = time.monotonic() + int(query["WaitTimeMs"]) / 1000
        while True:
            keys = [
                key
                for key, item in self._items.items()
                if item.revision > after and key.startswith(prefix)
            ]
            left_s = ends_at - time.monotonic()
            if keys or left_s <= 0:
                keys.sort(key=lambda key: self._items[key].revision)
                rows = [self._row(key) for key in keys]
                return {"events": rows, "At": self._revision}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left_s)

    def _row(self, key: str) -> dict[str, Any]:
        item = self._items[key]
        if item.data is None:
            return {"Key": key, "Revision": item.revision, "Deleted": True}
        return {
            "Key": key,
            "Data": base64.b64encode(item.data).decode(),
            "Revision": item.revision,
            "Created": item.revision,
            "LeaseId": 0,
        }


@dataclass
class PlainServer:
    """Stand-in for a server of an application; it records what it runs."""

    name: str
    host: str
    zone: str
    work_s: float
    record: Callable[..., None]
    service: str = "ledger-app"
    slots: int = 6
    draining: bool = False
    runs: list[str] = field(default_factory=list)
    running: int = 0
    born: int = field(default_factory=lambda: int(time.time() * 1000))
    version: str = "v1"  # of its software
    keep_alive_s: int = 15
    server: asyncio.Server | None = None
    _open: set[asyncio.StreamWriter] = field(default_factory=set)

    async def start(self) -> None:
        """Listen for requests."""
        self.server = await serve(self.host, SERVER_PORT, self._handle, self._open)

    def crash(self) -> None:
        """Stop listening and reset all connections."""
        assert self.server is not None
        self.server.close()
        for writer in self._open:
            raw = writer.get_extra_info("socket")
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_ONCE)
            writer.transport.abort()
        self.record("crash", server=self.name)

    async def start_again(self, version: str) -> None:
        """Start under the same id, which holds and knows nothing of before."""
        self.version, self.born = version, int(time.time() * 1000)
        await self.start()
        self.record("start_again", server=self.name, version=version)

    def entry(self) -> dict[str, Any]:
        """Return the entry that the server writes into the store."""
        return {
            "ServiceName": self.service,
            "Address": f"{self.host}:{SERVER_PORT}",
            "Zone": self.zone,
            "Version": self.version,
            "Capacity": self.slots,
            "LifecycleState": "draining" if self.draining else "healthy",
            "WarmupLeftMs": 0,
            "Sequence": 1,
            "born": self.born,
        }

    def refusal(self, request: Request) -> int:
        """Return the status with which a request is refused, 0 if it is accepted."""
        if request.headers.get("expect-instance", self.name) != self.name:
            return 421
        return 503 if self.running >= 4 * self.slots else 0

    async def run(
        self, request: Request, own: dict[str, str], writer: asyncio.StreamWriter
    ) -> None:
        """Run an accepted request and answer it."""
        await asyncio.sleep(self.work_s)
        body = f"{self.name} ran {own['Attempt-Id']}\n".encode() * 20
        writer.write(response(200, own | {"Server-Signature": "s1"}, body))

    async def _handle(self, request: Request, writer: asyncio.StreamWriter) -> None:
        request_id = request.headers.get("attempt-id", "")
        own = {"Attempt-Id": request_id, "Keep-Alive": f"timeout={self.keep_alive_s}"}
        status = self.refusal(request)
        if status:
            own["Instance-Id"] = self.name
            self.record("refused", id=request_id, server=self.name, status=status)
            writer.write(response(status, own | {"Not-Executed": "1"}, b""))
            return
        self.running += 1
        self.runs.append(request_id)
        self.record("run", id=request_id, server=self.name)
        try:
            await self.run(request, own, writer)
        finally:
            self.running -= 1


@dataclass
class Engine(PlainServer):
    """Stand-in for a model server; it answers with a stream of events."""

    service: str = "redaction-llm"
    slots: int = 128
    weights: int = 1
    events: int = 10
    event_interval_s: float = 0.02

    def refusal(self, request: Request) -> int:
        """Return the status with which a request is refused, 0 if it is accepted."""
        pinned = request.headers.get("expect-version", str(self.weights))
        if pinned != str(self.weights):
            return 421
        usage = request.headers.get("token-usage", "0,0").split(",")
        if sum(int(tokens) for tokens in usage) > KV_CAPACITY_TOKENS:
            return 503
        return super().refusal(request)

    async def run(
        self, request: Request, own: dict[str, str], writer: asyncio.StreamWriter
    ) -> None:
        """Answer with a stream of events after the prompt was read."""
        head = own | {
            "Server-Signature": "s1",
            "Weight-Versions": str(self.weights),
            "Content-Type": "text/event-stream",
            "Transfer-Encoding": "chunked",
        }
        lines = ["HTTP/1.1 200 OK", *(f"{name}: {row}" for name, row in head.items())]
        await asyncio.sleep(self.work_s)
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        first = int(request.headers.get("last-event-id", "0")) + 1
        for number in range(first, self.events + 1):
            text = f"{own['Attempt-Id']}-{number} {self.version}"
            event = f"id: {number}\ndata: {text}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(self.event_interval_s)
        writer.write(b"0\r\n\r\n")


class Router:
    """One router process, started again after it ended, as by the platform."""

    def __init__(self, lab: Lab, name: str, host: str, zone: str) -> None:
        self.name, self.host, self.zone = name, host, zone
        self.ends: list[tuple[float, int]] = []
        self.in_rotation = False
        self._lab = lab
        self._process: asyncio.subprocess.Process | None = None
        self._down_until = 0.0
        self._expected = False
        self._misses = 0

    @property
    def pid(self) -> int:
        """Return the id of the running process."""
        if self._process is None or self._process.returncode is not None:
            raise LabError(f"{self.name} does not run.")
        return self._process.pid

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        os.kill(self.pid, number)

    def peak_mb(self) -> int:
        """Return the largest resident memory that the process had, in MB."""
        for line in Path(f"/proc/{self.pid}/status").read_text().splitlines():
            if line.startswith("VmHWM:"):
                return int(line.split()[1]) // 1024
        return 0

    def kill(self, down_s: float) -> None:
        """Kill the process; it is started again after `down_s`."""
        self._expected = True
        self._down_until = time.monotonic() + down_s
        self.signal(signal.SIGKILL)

    async def run(self) -> None:
        """Start the process and start it again whenever it ends, until cancelled."""
        lab = self._lab
        settings = lab.directory / f"{self.name}.toml"
        settings.write_text(lab.settings_text(self))
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        environment["FULMARROAD_BOOT"] = str(settings)
        with (lab.directory / f"{self.name}.log").open("ab") as log:
            while True:
                self._expected = False
                self._process = await asyncio.create_subprocess_exec(
                    "python3",
                    "deploy/router.py",
                    "7410",
                    cwd=ROOT,
                    env=environment,
                    stdout=log,
                    stderr=log,
                )
                lab.record("start", router=self.name)
                try:
                    code = await self._process.wait()
                except asyncio.CancelledError:
                    await self._end()
                    raise
                if not self._expected:
                    self.ends.append((lab.now, code))
                lab.record("end", router=self.name, code=code, by_lab=self._expected)
                pause_s = max(RESTART_DELAY_S, self._down_until - time.monotonic())
                await asyncio.sleep(pause_s)

    async def _end(self) -> None:
        process = self._process
        if process is not None and process.returncode is None:
            for number in (signal.SIGCONT, signal.SIGKILL):
                with contextlib.suppress(ProcessLookupError):
                    process.send_signal(number)
            await process.wait()

    async def poll_readiness(self) -> None:
        """Poll each second, as the balancer does; two misses take it out."""
        while True:
            answer = await call(
                self.host, READINESS_PORT, "GET", "/api/readyz", {}, b"", 1.0
            )
            self._misses = 0 if answer.status == 200 else self._misses + 1
            if answer.status == 200:
                self.in_rotation = True
            elif self._misses >= 2:
                self.in_rotation = False
            await asyncio.sleep(1.0)


class Connection:
    """Hold a client's connection, which carries one request after the other."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._reader, self._writer = reader, writer

    @classmethod
    async def open(cls, host: str, port: int) -> Connection:
        """Connect within the second that clients allow."""
        async with asyncio.timeout(1.0):
            return cls(*await asyncio.open_connection(host, port))

    def close(self) -> None:
        """Close the connection."""
        self._writer.close()

    async def exchange(
        self,
        method: str,
        target: str,
        headers: dict[str, str],
        body: bytes,
        timeout_s: float,
    ) -> Answer:
        """Send one request and return what came."""
        answer = Answer()
        lines = [f"{method} {target} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        if body:
            lines.append(f"Content-Length: {len(body)}")
        try:
            async with asyncio.timeout(timeout_s):
                self._writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
                first, answer.headers = await read_head(self._reader)
                answer.status = int(first.split(" ")[1])
                async for chunk in read_chunks(self._reader, answer.headers):
                    answer.body += chunk
                answer.complete = True
        except TimeoutError:
            pass
        except CONNECTION_ERRORS:
            answer.closed = True
        return answer


async def call(
    host: str,
    port: int,
    method: str,
    target: str,
    headers: dict[str, str],
    body: bytes,
    timeout_s: float,
) -> Answer:
    """Send one request on a new connection and return what came."""
    try:
        connection = await Connection.open(host, port)
    except (TimeoutError, *CONNECTION_ERRORS):
        return Answer()
    try:
        return await connection.exchange(method, target, headers, body, timeout_s)
    finally:
        connection.close()


@dataclass
class Sent:
    """Hold a request of a client and its answer."""

    id: str
    sent_at: float
    router: str
    tenant: str
    answer: Answer

    @property
    def served(self) -> bool:
        """Return whether it got the whole answer of a server."""
        answer = self.answer
        signed = "server-signature" in answer.headers
        return answer.status == 200 and answer.complete and signed


class Lab:
    """Own the processes, stand-ins, temporary files and the record of one run."""

    def __init__(self, folder: Path) -> None:
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.directory = Path(tempfile.mkdtemp(prefix="review-"))
        self.random = random.Random(int(os.environ.get("SEED", "1")))
        self.store = Store()
        self.servers: list[PlainServer] = []
        self.routers: list[Router] = []
        self.sent: list[Sent] = []
        self.version = 1
        self.engine_options: dict[str, Any] = {}
        self.shared_parts = 1  # of which the prompts begin with one each
        self._record: TextIO = (folder / "record.txt").open("w")
        self._started = time.monotonic()
        self._network = self._free_network()
        self._tasks: set[asyncio.Task[None]] = set()
        self._numbers = 0

    @property
    def now(self) -> float:
        """Return the seconds since the start of the run."""
        return time.monotonic() - self._started

    def record(self, event: str, **values: Any) -> None:
        """Write one line of the record."""
        fields = " ".join(f"{name}={value}" for name, value in values.items())
        self._record.write(f"{self.now:8.3f} {event} {fields}\n")

    def host(self, number: int) -> str:
        """Return an address of this run."""
        return f"{self._network}.{number}"

    def _free_network(self) -> str:
        """Return the first three numbers of addresses at which nothing listens."""
        for number in range(200):
            network = f"127.{20 + os.getpid() % 200}.{1 + number}"
            with socket.socket() as probe:
                probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                with contextlib.suppress(OSError):
                    probe.bind((f"{network}.1", STORE_PORT))
                    return network
        raise LabError("No free loopback network was found.")

    def start(self, work: Awaitable[None]) -> None:
        """Run something until the end of the run."""

        async def run() -> None:
            await work

        task = asyncio.create_task(run())
        self._tasks.add(task)

    async def stop(self) -> None:
        """End the processes and stand-ins."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._record.close()
        kept = os.environ.get("KEEP_LOGS")
        if kept:
            shutil.copytree(self.directory, kept, dirs_exist_ok=True)
        shutil.rmtree(self.directory, ignore_errors=True)

    def settings_text(self, router: Router) -> str:
        """Return the settings file of a router, as the page shows it."""
        seeds = [f"{self.host(number)}:{CONTROL_PORT}" for number in (11, 12, 13)]
        zones = "\n".join(f'{zone} = "ma-centre"' for zone in ZONES)
        host = router.host
        return f"""\
NodeName = "{router.name}"
Role = "router"
MachineClass = "edge"
ServingRoles = ["edge","control_plane"]
IpAddress = "{host}"
Zone = "{router.zone}"
Region = "ma-centre"
InternalPortRange = [{INTERNAL_PORTS[0]},{INTERNAL_PORTS[1]}]
SeedNodes = {json.dumps(seeds)}
Bootstrap = true
CountsAsLoss = false
DiscoverySource = "platform"
EntryType = "virtual_ip"
HeartbeatIntervalMs = 1200
[Zones]
{zones}
[ListenAddresses]
Frontend = "{host}:{FRONTEND_PORT}"
Readiness = "{host}:{READINESS_PORT}"
ControlPlane = "{host}:{CONTROL_PORT}"
[Limits]
MemoryLimitMb = 300
MaxOpenFiles = 4100
[FaultTolerance]
MachineFailures = 1
Zones = 1
RegionFailures = 0
[ContractParams]
SeedStalenessS = 3
AddressReuseS = 2
ContactWindowMs = 3000
AckTimeoutMs = 4000
SyncTimeoutS = 4
DrainTimeoutMs = 2000
GracePeriodS = 8
LossSlackMs = 200
ConfigApplyMs = 2000
RollbackSlackMs = 250
OuterMs = 5000
StrictRevocation = false
RevocationMs = 5000
RetryBudgetRatio = 0.2
RetryWindowS = 10
RetryBurst = 54
WarmupFactor = 1.5
WarmupTolerance = 5
EvacuationMs = 5000
RecoveryTimeS = 12
DeliveryBoundMs = 120
RetryAfterS = 9.1
QuotaPeriodS = 4
[Platform]
Address = "{self.host(1)}:{STORE_PORT}"
form = "read"
WritesPerS = 400
ReadsPerS = 2000
RetentionS = 20
MaxValueBytes = 1048576
MinExpiryMs = 1000
"""

    def config(self) -> dict[str, Any]:
        """Return a configuration with a route to each service."""
        stream = {
            "Name": "dossier-letter",
            "Hostname": HOST,
            "PathPrefix": STREAM_PATH,
            "RouteType": "streaming",
            "ServiceName": "redaction-llm",
            "TimeoutMs": 8000,
            "TargetLatencyMs": 400,
            "MaxAttempts": 2,
            "PriorityClass": 1,
            "Anonymous": False,
            "SessionAffinity": True,
            "StreamResume": True,
            "ItlTargetMs": 200,
        }
        post = {
            "Name": "post-reminder",
            "Hostname": HOST,
            "PathPrefix": POST_PATH,
            "RouteType": "non_idempotent",
            "ServiceName": "ledger-app",
            "TimeoutMs": 2500,
            "TargetLatencyMs": 200,
            "MaxAttempts": 2,
            "PriorityClass": 2,
            "Anonymous": False,
        }
        return {
            "Version": self.version,
            "Routes": [stream, post],
            "Services": [
                {
                    "Name": "redaction-llm",
                    "HealthPath": "/healthz",
                    "MaxConnections": 620,
                    "Protocol": "h1",
                    "TlsEnabled": False,
                    "WarmupS": 3.0,
                    "WarmupPerS": 19.0,
                    "InferenceEngine": {
                        "Capacity": 128,
                        "KvCapacityTokens": KV_CAPACITY_TOKENS,
                        "KvTokenBytes": 18432,
                        "BandwidthMbps": 88000.0,
                        "StepSize": 5,
                    },
                },
                {
                    "Name": "ledger-app",
                    "HealthPath": "/healthz",
                    "MaxConnections": 100,
                    "Protocol": "h1",
                    "TlsEnabled": False,
                },
            ],
            "Tenants": [
                {"Name": name, "ApiKeys": [key], "PriorityClass": 1}
                for name, key in KEYS.items()
            ],
            "Limits": {
                "MaxHeaderBytes": 16384,
                "MaxBodyBytes": 4194304,
                "HeaderTimeoutMs": 4000,
                "IdleTimeoutMs": 15000,
                "ThroughputPerS": 720000,
            },
        }

    async def start_platform(self, servers: int = 3, engines: int = 0) -> None:
        """Start the store with a configuration, and servers with their entries."""
        await self.store.start(self.host(1))
        self.store.put_json("op/config", self.config())
        for number in range(servers + engines):
            name = f"i-{self.random.randrange(1 << 32):08x}"
            host, zone = self.host(101 + number), ZONES[number % len(ZONES)]
            server = (
                PlainServer(name, host, zone, 0.045, self.record)
                if number < servers
                else Engine(name, host, zone, 0.06, self.record, **self.engine_options)
            )
            await server.start()
            self.servers.append(server)
            self.store.put_json(f"servers/{server.name}", server.entry())

    async def start_routers(self, count: int) -> None:
        """Start routers, and return once all are ready and found each other."""
        for number in range(count):
            zone = ZONES[number % len(ZONES)]
            router = Router(
                self, f"edge-{zone}-{number + 1}", self.host(11 + number), zone
            )
            self.routers.append(router)
            self.start(router.run())
            self.start(router.poll_readiness())
        ends_at = time.monotonic() + READY_TIMEOUT_S
        while not all(router.in_rotation for router in self.routers):
            if time.monotonic() > ends_at:
                raise LabError("The routers did not become ready.")
            await asyncio.sleep(0.1)
        await asyncio.sleep(3.0)

    def new_id(self) -> str:
        """Return an id for a client's attempt."""
        self._numbers += 1
        return f"{self.random.randrange(1 << 44):011x}{self._numbers:05x}"

    async def send(
        self,
        router: Router,
        path: str = POST_PATH,
        tenant: str = "",
        connection: Connection | None = None,
        **headers: str,
    ) -> Sent:
        """Send one request to a router as a client, and record it.

        Without a connection it opens a new one. `headers` are added; underscores in
        their names stand for hyphens.
        """
        tenant = tenant or self.random.choice(list(KEYS))
        sent = Sent(self.new_id(), self.now, router.name, tenant, Answer())
        rows = self._headers(sent, is_stream=path == STREAM_PATH)
        rows |= {name.replace("_", "-"): row for name, row in headers.items()}
        body = b'{"text": "' + 200 * b"a" + b'"}'
        self.record("sent", id=sent.id, router=router.name, tenant=tenant, path=path)
        what = ("POST", f"{path}{sent.id}", rows, body, 8.5)
        if connection is None:
            sent.answer = await call(router.host, FRONTEND_PORT, *what)
        else:
            sent.answer = await connection.exchange(*what)
        self.sent.append(sent)
        answer = sent.answer
        self.record(
            "answered", id=sent.id, status=answer.status, complete=answer.complete
        )
        return sent

    def _headers(self, sent: Sent, *, is_stream: bool) -> dict[str, str]:
        rows = {
            "Host": HOST,
            "Attempt-Id": sent.id,
            "Deadline-Ms": "8000" if is_stream else "2500",
            "Authorization": f"Token {KEYS[sent.tenant]}",
        }
        if is_stream:
            rows["Model-Id"] = "m"
            rows["Token-Usage"] = "1460,80"
            part = 0x5C1E07A2 + self._numbers % self.shared_parts
            rows["Prefix-Hash"] = f"{part:x}:350,{self._numbers:x}:1110"
        return rows

    async def keep_sending(self, pause_s: float, path: str, tenant: str) -> None:
        """Send one request after the other on kept connections, until cancelled."""
        while True:
            router = self.pick_router()
            try:
                connection = await Connection.open(router.host, FRONTEND_PORT)
            except (TimeoutError, *CONNECTION_ERRORS):
                await asyncio.sleep(0.1)
                continue
            is_open = True
            while is_open:
                sent = await self.send(router, path, tenant, connection)
                asks_close = sent.answer.headers.get("connection") == "close"
                is_open = sent.answer.complete and not asks_close
                await asyncio.sleep(self.random.expovariate(1 / pause_s))
            connection.close()

    def cut(self, tenant: str) -> int:
        """Return how many answers to a tenant's requests began and were cut off."""
        rows = (row for row in self.sent if row.tenant == tenant and row.answer.closed)
        return sum(row.answer.status == 200 for row in rows)

    def pick_router(self) -> Router:
        """Return one of the routers in rotation, or of all if none is."""
        ready = [row for row in self.routers if row.in_rotation]
        return self.random.choice(ready or self.routers)

    async def send_load(
        self, rate_per_s: float, seconds: float, path: str = POST_PATH, tenant: str = ""
    ) -> None:
        """Send requests at random times to the routers that are in rotation."""
        ends_at = self.now + seconds
        at = self.now
        async with asyncio.TaskGroup() as group:
            while (at := at + self.random.expovariate(rate_per_s)) < ends_at:
                await asyncio.sleep(max(0.0, at - self.now))
                group.create_task(self.send(self.pick_router(), path, tenant))

    def share_served(
        self, begin: float, end: float, tenant: str = ""
    ) -> tuple[int, int]:
        """Return how many of the requests sent in a time were served, and all."""
        rows = [
            row
            for row in self.sent
            if begin <= row.sent_at < end and tenant in ("", row.tenant)
        ]
        return sum(row.served for row in rows), len(rows)

    def set_weights(self, version: int) -> None:
        """Load another version of the model's weights into all model servers."""
        for server in self.servers:
            if isinstance(server, Engine):
                server.weights = version

    async def recovers(
        self,
        rate_per_s: float,
        down_s: float,
        recovery_s: float,
        after_s: float,
        path: str = POST_PATH,
        tenant: str = "",
    ) -> int:
        """Kill all routers, and judge what is served after `RecoveryTimeS`."""
        for router in self.routers:
            router.kill(down_s)
        self.record("kill_all")
        await asyncio.sleep(down_s)
        back_at = self.now
        await self.send_load(rate_per_s, recovery_s + after_s, path, tenant)
        served, sent = self.share_served(back_at + recovery_s, self.now)
        ends = [len(router.ends) for router in self.routers]
        print(
            f"later than {recovery_s:.0f} s after the return: {served} of {sent} "
            f"served; processes that ended by themselves: {ends}"
        )
        self.record("result", served=served, sent=sent, ends=ends)
        return BROKEN if served < sent / 4 else HELD


def run_case(case: Callable[[Lab], Awaitable[int]], folder: Path) -> None:
    """Run a case and exit with its result."""

    async def main() -> int:
        lab = Lab(folder)
        task = asyncio.current_task()
        assert task is not None
        loop = asyncio.get_running_loop()
        # The routers must not outlive a script that is ended.
        loop.add_signal_handler(signal.SIGTERM, task.cancel)
        try:
            return await case(lab)
        except LabError as error:
            lab.record("cannot_run", cause=error)
            print(f"The case could not run: {error}")
            return CANNOT_RUN
        finally:
            await lab.stop()

    sys.exit(asyncio.run(main()))
