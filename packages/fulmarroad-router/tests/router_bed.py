"""A router in virtual time, with ASGI callers and scripted backend servers."""

import hashlib
import json
import logging

import anyio
from attrs import define, evolve, field

from fulmarroad.audit import AuditTrail
from fulmarroad.capacity import LEND_QUARANTINE_S
from fulmarroad.coordination import (
    Coordinator,
    Follower,
    Roles,
    SetMembers,
    SetTables,
    SetVms,
)
from fulmarroad.exceptions import TransportError
from fulmarroad.keys import KeyClocks, KeyGroups, KeyIdentity, KeyLimits, KeyStore
from fulmarroad.metrics import NoMetrics
from fulmarroad.tables import (
    BackendServer,
    CostUnit,
    DataCentre,
    Pool,
    PoolKind,
    Route,
    RouteIndex,
    Tables,
    Workspace,
)
from fulmarroad.testing import MemoryNetwork, run_virtual
from fulmarroad.transport import TrafficCount
from fulmarroad_router.admitting import AdmissionController
from fulmarroad_router.app import CallersApp
from fulmarroad_router.backend import FailedAfterSend, FailedBeforeSend
from fulmarroad_router.execution import Execution
from fulmarroad_router.gate import CallGate
from fulmarroad_router.keyed import IdempotentRunner

KEY = "key-of-coop"
CENTRE = "fes-1"


def make_tables(**pool_changes):
    """Return tables with one chat route and two plain routes."""
    workspace = Workspace(
        "coop", key_sha256=(hashlib.sha256(KEY.encode()).hexdigest(),)
    )
    drafting = Pool(
        "drafting",
        can_resume=True,
        cold_concurrency=2,
        servers=(
            BackendServer("engine-a", "127.0.0.1:9001", CENTRE),
            BackendServer("engine-b", "127.0.0.1:9002", CENTRE),
        ),
    )
    ledger = Pool(
        "ledger",
        kind=PoolKind.PLAIN,
        cost=CostUnit.CALLS,
        cold_concurrency=2,
        servers=(BackendServer("ledger-a", "127.0.0.1:9003", CENTRE),),
    )
    routes = (
        Route("drafts", "/v1/chat/completions", "drafting", repeatable=True),
        Route("post", "/reminders", "ledger", methods=("POST",)),
        Route("read", "/reminders", "ledger", methods=("GET",), repeatable=True),
    )
    return Tables(
        1,
        {"coop": workspace},
        {route.name: route for route in routes},
        {"drafting": evolve(drafting, **pool_changes), "ledger": ledger},
        {CENTRE: DataCentre(CENTRE)},
    )


def event(content):
    chunk = {"choices": [{"index": 0, "delta": {"content": content}}]}
    return b"data: " + json.dumps(chunk, separators=(",", ":")).encode() + b"\n\n"


@define
class Script:
    """Hold the behaviour of a backend server for one call."""

    kind: str = "stream"  # stream, plain, refuse, break_before
    tokens: int = 4
    break_after: int | None = None
    status: int = 200
    echo_id: str | None = None


@define
class ScriptedResponse:
    status: int
    headers: list
    parts: list
    broken: bool
    read: list

    def header(self, name):
        return dict(self.headers).get(name, b"")

    async def chunks(self):
        for part in self.parts:
            await anyio.sleep(0.1)
            self.read.append(part)
            yield part
        if self.broken:
            raise FailedAfterSend("The backend server interrupted its answer.")


@define
class ScriptedCall:
    script: Script
    request: object
    read: list

    async def __aenter__(self):
        if self.script.kind == "refuse":
            raise FailedBeforeSend("The backend server can't be reached.")
        await anyio.sleep(0.1)
        if self.script.kind == "break_before":
            raise FailedAfterSend(
                "The connection to the backend server failed before its answer."
            )
        sent = dict(self.request.headers)
        headers = [(b"connection", b"keep-alive")]
        echo = self.script.echo_id or sent[b"x-request-id"].decode()
        headers.append((b"x-request-id", echo.encode()))
        if self.script.kind == "plain":
            headers.append((b"content-type", b"application/json"))
            parts = [b'{"posted":', b"true}"]
            return self.respond(headers, parts)
        headers.append((b"content-type", b"text/event-stream"))
        start = int(sent.get(b"x-resume-from", b"0"))
        stop = self.script.tokens
        broken = self.script.break_after is not None
        if broken:
            stop = start + self.script.break_after
        parts = [event(f"token-{index} ") for index in range(start, stop)]
        if not broken:
            parts.append(b"data: [DONE]\n\n")
        return self.respond(headers, parts, broken)

    def respond(self, headers, parts, broken=False):
        return ScriptedResponse(self.script.status, headers, parts, broken, self.read)

    async def __aexit__(self, *exception):
        return None


@define
class ScriptedBackends:
    """Replace the backend client; each call uses the next script."""

    scripts: list = field(factory=list)
    seen: list = field(factory=list)
    read: list = field(factory=list)

    def call(self, table, server, request, *, repeatable):
        script = self.scripts.pop(0) if self.scripts else Script()
        self.seen.append((server.name, request))
        return ScriptedCall(script, request, self.read)


class EventNumberHandler(logging.Handler):
    """Record the event numbers of log records in order."""

    def __init__(self):
        super().__init__(logging.INFO)
        self.numbers = []

    def emit(self, record):
        number = getattr(record, "event", None)
        if number is not None and number >= 500:
            self.numbers.append(number)


class Router:
    """Run calls through the real application, execution and coordinator."""

    def __init__(self, scripts, tables):
        self.tables = tables
        self.backends = ScriptedBackends(list(scripts))
        self.gate = CallGate()
        self.key_vms = {CENTRE: ("router-a",)}
        follower = Follower("router-a", 1, CENTRE)
        self.coordinator = Coordinator(
            "router-a",
            follower,
            Roles("router-a", 1, "fleet", AuditTrail(), self._takes_work),
            TrafficCount(),
            AuditTrail(),
            dial=MemoryNetwork().dial("router-a"),
            clock=anyio.current_time,
        )
        self.admission_controller = AdmissionController(
            self.coordinator, lambda: self.tables, anyio.current_time
        )
        execution = Execution(
            self.coordinator,
            self.backends,
            self.admission_controller,
            anyio.current_time,
            "router-a/1",
        )
        self.runner = IdempotentRunner(execution, self._keys())
        self.app = CallersApp(
            lambda: _Lookup(self.tables) if self.tables else None,
            self.runner,
            self.gate,
            NoMetrics(),
            anyio.current_time,
            1024,
        )

    def _keys(self):
        """Return key groups over `key_vms`; every other router is unreachable."""
        return KeyGroups(
            KeyIdentity("router-a", 1, CENTRE),
            KeyStore("router-a", CENTRE, KeyLimits(), now=0.0, first_fleet=True),
            self._ask,
            lambda: self.key_vms,
            KeyClocks(anyio.current_time, lambda: int(anyio.current_time() * 1000)),
        )

    async def _ask(self, router, message):
        raise TransportError(f"Router {router} can't be reached.")

    def _takes_work(self, server, now):
        return self.tables.server_takes_work(server)

    async def run(self):
        self.coordinator.send_command(SetVms({CENTRE: ("router-a",)}))
        self.coordinator.send_command(SetMembers({CENTRE: ("router-a",)}, {}))
        self.set_tables(self.tables)
        self.gate.open()
        async with anyio.create_task_group() as group:
            group.start_soon(self.admission_controller.run)
            await self.coordinator.run()

    def set_tables(self, tables):
        self.tables = tables
        if tables is not None:
            self.coordinator.send_command(SetTables(tables))

    async def call(
        self, method="POST", path="/v1/chat/completions", body=None, **options
    ):
        """Return the transcript of one caller's call."""
        call = _AsgiCall(method, path, body, options)
        try:
            await self.app(call.scope, call.receive, call.send)
        except Exception as error:
            call.lines.append(f"!! connection closed: {type(error).__name__}")
        return call.lines


class _Lookup(RouteIndex):
    def __init__(self, tables):
        super().__init__(tables)
        self.tables = tables


class _AsgiCall:
    def __init__(self, method, path, body, options):
        if body is None:
            body = {"model": "m", "messages": [{"role": "user"}], "stream": True}
        raw = body if isinstance(body, bytes) else json.dumps(body).encode()
        headers = {
            "authorization": f"Bearer {options.pop('key', KEY)}",
            "x-request-id": "request-1",
            "content-length": str(len(raw)),
            **options.pop("headers", {}),
        }
        self.leaves_after_s = options.pop("leaves_after_s", None)
        self.reads_each_s = options.pop("reads_each_s", 0.0)
        assert not options
        self.scope = {
            "type": "http",
            "method": method,
            "path": path,
            "raw_path": path.encode(),
            "query_string": b"",
            "headers": [(k.encode(), v.encode()) for k, v in headers.items()],
        }
        self.lines = []
        self._events = [{"type": "http.request", "body": raw, "more_body": False}]

    async def receive(self):
        if self._events:
            return self._events.pop()
        if self.leaves_after_s is None:
            await anyio.sleep_forever()
        await anyio.sleep(self.leaves_after_s)
        return {"type": "http.disconnect"}

    async def send(self, message):
        await anyio.sleep(self.reads_each_s)
        if message["type"] == "http.response.start":
            self.lines.append(f"<- {message['status']}")
            for name, value in sorted(message["headers"]):
                self.lines.append(f"<- {name.decode()}: {value.decode()}")
            return
        if message.get("body"):
            text = message["body"].decode().rstrip("\n")
            self.lines.append(f"<= {text}")
        if not message.get("more_body", False):
            self.lines.append("<- end of answer")


def run_session(scenario, scripts=(), tables=None):
    """Run a scenario on one router and return a transcript.

    The transcript holds the answers, the requests to backend servers, the remaining
    calls and the event numbers.
    """
    log = EventNumberHandler()
    logger = logging.getLogger("fulmarroad.router")
    logger.addHandler(log)
    logger.setLevel(logging.INFO)

    async def main():
        router = Router(scripts, tables or make_tables())
        async with anyio.create_task_group() as group:
            group.start_soon(router.run)
            # A new scheduler grants no unit of a cold server before this time.
            await anyio.sleep(LEND_QUARANTINE_S + 0.5)
            lines = await scenario(router)
            await anyio.sleep(0.1)
            waiting = router.coordinator.follower.waiting
            running = router.coordinator.follower.running
            group.cancel_scope.cancel()
        for server, request in router.backends.seen:
            lines.append(f"backend {server} {request.method.decode()}")
            for name, value in sorted(request.headers):
                lines.append(f"backend   {name.decode()}: {value.decode()}")
        lines.append(f"left over: waiting {waiting}, running {running}")
        lines.append(f"events: {log.numbers}")
        return "\n".join(lines)

    try:
        return run_virtual(main)
    finally:
        logger.removeHandler(log)
