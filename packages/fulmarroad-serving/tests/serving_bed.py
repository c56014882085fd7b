"""Test harness: a router's serving side and scripted backend servers on loopback."""

import asyncio
import contextlib
import random
import socket
import time

import anyio
from attrs import define, evolve, field
from stream_listener import start_listener

from fulmarroad.audit import AuditTrail
from fulmarroad_router.gate import CallGate
from fulmarroad_serving import (
    CallerLimits,
    CallKind,
    Catalog,
    Dispatcher,
    EngineProfile,
    FleetBounds,
    Instance,
    KeyHolder,
    ServedRoute,
    Service,
    Target,
    digest_key,
)
from fulmarroad_serving._call_checks import ConfigurationAge
from fulmarroad_serving._callers import ServingApp
from fulmarroad_serving._forwarding import Forwarder
from fulmarroad_serving._lateness import LoopLateness
from fulmarroad_serving._metrics import Metrics
from fulmarroad_serving._pool import ConnectionPool
from fulmarroad_serving._router_state import RouterState
from fulmarroad_serving._saturation import SaturationGuard
from fulmarroad_serving.contracts import (
    AnswerHead,
    CallHead,
    CatalogFact,
    InstanceFact,
)

KEY = b"key-of-coop"


class PlainCodec:
    """Codec for the plain headers that the tests use."""

    def read_call(self, headers):
        rows = dict(headers)
        number = int(rows.get(b"x-deadline-ms", b"0"))
        tokens = [int(n) for n in rows.get(b"x-tokens", b"0,0,0").split(b",")]
        return CallHead(
            request_id=rows.get(b"x-id", b"").decode(),
            host=rows.get(b"host", b"").decode(),
            key=rows.get(b"x-key", b""),
            deadline_s=number / 1000 if number else None,
            last_event_id=rows.get(b"last-event-id", b"").decode(),
            resumes=rows.get(b"resumes", b"").decode(),
            parts=tuple(filter(None, rows.get(b"x-part", b"").decode().split(","))),
            shared_tokens=tokens[0],
            own_tokens=tokens[1],
            output_tokens=tokens[2],
            forward=tuple(
                row
                for row in headers
                if row[0] in (b"host", b"x-id", b"x-part", b"x-tokens")
            ),
        )

    def server_headers(
        self, head, *, instance, workspace, remaining_s, last_event_id, source=None
    ):
        return [
            (b"x-source", source.id.encode() if source is not None else b""),
            *head.forward,
            (b"x-instance", instance.encode()),
            (b"x-workspace", workspace.encode()),
            (b"x-left-ms", str(int(remaining_s * 1000)).encode()),
            (b"last-event-id", last_event_id.encode()),
        ]

    def read_answer(self, status, headers):
        rows = {name.lower(): value for name, value in headers}
        return AnswerHead(
            status,
            request_id=rows.get(b"x-id", b"").decode(),
            signed=b"x-signed" in rows,
            not_run=b"x-not-run" in rows,
            encoded=b"content-encoding" in rows,
            leaving=rows.get(b"x-leaving") == b"1",
            rest=rows.get(b"retry-after", b"").decode(),
            instance=rows.get(b"x-answered-by", b"").decode(),
            forward=((b"x-signed", rows.get(b"x-signed", b"")),),
        )

    def own_headers(self, head):
        return [(b"x-id", head.request_id.encode())] if head else []


@define
class Arrival:
    """One request as a server received it."""

    server: str
    head: str
    body: bytes
    connection: int

    def header(self, name):
        for line in self.head.split("\r\n")[1:]:
            key, _, value = line.partition(": ")
            if key.lower() == name:
                return value
        return ""


@define
class Caller:
    """What the caller of one call received."""

    status: int = 0
    headers: dict = field(factory=dict)
    body: bytes = b""
    whole: bool = False
    broken: bool = False
    left: anyio.Event = field(factory=anyio.Event)


def answer(status=200, body=b"done", request_id="", extra="", signed=True):
    """Return the bytes of an answer with a content length."""
    mark = "x-signed: s\r\n" if signed else ""
    mark += f"x-id: {request_id}\r\n" if request_id else ""
    head = f"HTTP/1.1 {status} S\r\ncontent-length: {len(body)}\r\n{mark}{extra}\r\n"
    return head.encode() + body


def stream_head(request_id=""):
    """Return the head of a chunked answer."""
    return (
        f"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\nx-signed: s\r\n"
        f"x-id: {request_id}\r\n\r\n"
    ).encode()


def chunk(data):
    """Return one chunk of a body."""
    return b"%x\r\n%s\r\n" % (len(data), data)


def event(number):
    """Return one event of a stream."""
    return b"id: %d\ndata: %d\n\n" % (number, number)


PLAIN = ServedRoute(
    "plain",
    "svc.example",
    "/look/",
    CallKind.IDEMPOTENT,
    (Target("ledger"),),
    timeout_s=1.0,
    objective_s=0.2,
    max_attempts=2,
)
ONCE = evolve(PLAIN, name="once", path_prefix="/post/", kind=CallKind.AT_MOST_ONCE)
STREAM = evolve(
    PLAIN,
    name="stream",
    path_prefix="/draft/",
    kind=CallKind.STREAM,
    targets=(Target("drafting"),),
    resumable=True,
    pause_objective_s=0.1,
    prefix_affinity=True,
)
SHORT = evolve(STREAM, name="short", path_prefix="/sms/", resumable=False)
OPEN = evolve(PLAIN, name="open", path_prefix="/open/", anonymous=True)


def make_catalog(version=1, **changes):
    """Return a configuration with a route of every kind."""
    services = {
        "ledger": Service("ledger", max_connections=600),
        "drafting": Service("drafting", max_connections=600, engine=EngineProfile(16)),
    }
    holder = KeyHolder("coop", (digest_key(KEY),))
    catalog = Catalog(
        version, (PLAIN, ONCE, STREAM, SHORT, OPEN), services, (holder,), CallerLimits()
    )
    return evolve(catalog, **changes)


class Bed:
    """Serving application with its router state, connections and scripted servers."""

    def __init__(self, bounds=None):
        self.arrivals = []
        self._servers = []
        self._connections = 0
        self.skipped_s = 0.0
        self.list_age_s = 0.0

        def clock():
            return time.monotonic() + self.skipped_s

        self.now = clock
        bounds = bounds or FleetBounds(retry_burst=600.0)
        self.dispatcher = Dispatcher("router-a", "fes", bounds, 1)
        self.pool = ConnectionPool(clock)
        self.beliefs = RouterState(
            None, self.dispatcher, self.pool, AuditTrail(), clock
        )
        self.gate = CallGate()
        self.gate.open()
        codec = PlainCodec()
        self.forwarder = Forwarder(
            self.dispatcher, self.pool, codec, lambda: self.beliefs.catalog, clock
        )
        self.lateness = LoopLateness()
        self.saturation = SaturationGuard(self.lateness, random.Random(1))
        self.app = ServingApp(
            codec,
            self.beliefs,
            self.forwarder,
            self.gate,
            Metrics(),
            self.saturation,
            clock,
            configuration_age=ConfigurationAge(lambda: self.list_age_s, 2.0),
        )
        self.apply_fact(CatalogFact(make_catalog()))

    def apply_fact(self, fact):
        self.beliefs._apply_fact(fact, 1, 60.0, "test")

    async def serve(self, name, script, service="ledger", slots=8, version="v1"):
        """Start a server; `script(arrival, writer)` answers each request."""

        async def connected(reader, writer):
            self._connections += 1
            number = self._connections
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                while True:
                    head = (await reader.readuntil(b"\r\n\r\n")).decode()
                    arrival = Arrival(name, head.rstrip(), b"", number)
                    length = int(arrival.header("content-length") or 0)
                    arrival.body = await reader.readexactly(length)
                    self.arrivals.append(arrival)
                    if await script(arrival, writer) is False:
                        break
                    await writer.drain()

        server = await start_listener(connected)
        self._servers.append(server)
        port = server.port
        instance = Instance(
            name, service, "127.0.0.1", port, "fes", slots, version=version
        )
        self.apply_fact(InstanceFact(instance))
        return port

    async def call(
        self, path="/look/1", request_id="c-1", key=KEY, caller=None, **more
    ):
        """Make one call and return what its caller received."""
        caller = caller or Caller()
        headers = [(b"host", b"svc.example"), (b"x-id", request_id.encode())]
        headers += [(b"x-key", key)] if key else []
        for name, value in more.pop("headers", {}).items():
            headers.append((name.encode(), value.encode()))
        body = more.pop("body", b"")
        if body:
            headers.append((b"content-length", str(len(body)).encode()))
        scope = {
            "type": "http",
            "method": more.pop("method", "GET"),
            "path": path,
            "raw_path": path.encode(),
            "query_string": more.pop("query", b""),
            "headers": headers,
        }
        assert not more
        sent = False

        async def receive():
            nonlocal sent
            if not sent:
                sent = True
                return {"type": "http.request", "body": body, "more_body": False}
            await caller.left.wait()
            return {"type": "http.disconnect"}

        async def send(message):
            if message["type"] == "http.response.start":
                caller.status = message["status"]
                caller.headers = dict(message["headers"])
            else:
                caller.body += message["body"]
                caller.whole = not message.get("more_body", False)

        try:
            await self.app(scope, receive, send)
        except Exception:
            caller.broken = True
        return caller

    async def close(self):
        self.pool.close()
        for server in self._servers:
            await server.aclose()


async def never_reached(arrival, writer):
    """Fail the test: no call may reach this server."""
    raise AssertionError("the call was sent")


async def call_while(bed, happen):
    """Make a call to an engine and let something happen meanwhile."""
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(happen)
        return await bed.call("/draft/1", method="POST", body=b"p")


class CrashingServers:
    """Servers that crash when they receive a given request body."""

    def __init__(self, bed, poison=b"poison", service="drafting"):
        self.bed = bed
        self.poison = poison
        self.service = service
        self.ended = []

    async def start(self, *names):
        for name in names:
            await self._start(name)

    async def _start(self, name):
        async def script(arrival, writer):
            if arrival.body == self.poison:
                self.ended.append(name)
                server.close()
                return False
            if self.service == "drafting":
                writer.write(stream_head(arrival.header("x-id")))
                writer.write(chunk(event(1)) + b"0\r\n\r\n")
            else:
                writer.write(answer(200, b"done", arrival.header("x-id")))
            return None

        await self.bed.serve(name, script, self.service)
        server = self.bed._servers[-1]


def free_port(host):
    """Return a port that is free for TCP and UDP on a host."""
    while True:
        with (
            socket.socket(socket.AF_INET, socket.SOCK_STREAM) as stream,
            socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as datagram,
        ):
            stream.bind((host, 0))
            port = stream.getsockname()[1]
            with contextlib.suppress(OSError):
                datagram.bind((host, port))
                return port


def run(test, *, use_uvloop=False):
    """Run an async test with its own harness."""

    async def run_test():
        bed = Bed()
        try:
            with anyio.fail_after(10):
                await test(bed)
        finally:
            await bed.close()

    anyio.run(run_test, backend_options={"use_uvloop": use_uvloop})
