"""Callers of streams, who come back with what they hold.

A caller keeps each event with the service and version of the engine that made it, so
that tests check what callers hold.
"""

import contextlib
import json

import anyio
from attrs import define, field
from serving_bed import KEY

PATIENCE_S = 2.0
"""Time without an event after which a caller gives up a try."""

DEADLINE_S = 8.0


@define(frozen=True)
class HeldEvent:
    """One event as its caller holds it."""

    service: str
    version: str
    number: int


@define(eq=False)
class Try:
    """One try of a caller."""

    router: str
    resumes: str
    status: int = 0
    at: float = 0.0
    got: int = 0  # events of this try
    code: str = ""  # of a refusal
    retry_after_s: float = 0.0
    in_touch: bool = True  # the router had reached the others for a while
    left: bool = False  # its caller gave it up
    answered_at: float = 0.0  # when its head came
    servers: int = 0  # of its stream's version, at its begin


class CallerExchange:
    """The caller's side of one call to a router."""

    def __init__(self, caller, row, attempt_id):
        self.caller, self.row, self.attempt_id = caller, row, attempt_id
        self.left = anyio.Event()
        self.sent = False
        self.heard_at = anyio.current_time()

    async def receive(self):
        if not self.sent:
            self.sent = True
            body = self.caller.body
            return {"type": "http.request", "body": body, "more_body": False}
        await self.left.wait()
        return {"type": "http.disconnect"}

    async def send(self, message):
        row = self.row
        self.heard_at = anyio.current_time()
        if message["type"] == "http.response.start":
            row.status, row.answered_at = message["status"], self.heard_at
            after = dict(message["headers"]).get(b"retry-after", b"0")
            row.retry_after_s = float(after)
        elif row.status != 200:
            row.code = json.loads(message["body"])["error"]["code"]
        else:
            self.caller.hold(message["body"], self.attempt_id, row)
            self.caller.whole = not message.get("more_body", False)

    async def watch(self):
        """Leave when nothing has come for too long."""
        while self.caller.stays(self.heard_at):
            await anyio.sleep(0.1)
        self.row.left = True
        self.left.set()


@define(eq=False)
class StreamCaller:
    """A caller of one stream, who comes back with what it holds."""

    fleet: object
    number: int
    path: str = "/draft/1"
    workspace_key: bytes = KEY
    parts: str = ""
    names_stream: bool = True  # else it tells only the last event that it has
    events: list = field(factory=list)
    tries: list = field(factory=list)
    resumes: str = ""
    whole: bool = False

    async def run(self, router=None, tries=4):
        deadline = anyio.current_time() + DEADLINE_S
        for attempt in range(tries):
            left_s = deadline - anyio.current_time()
            if left_s <= 0.1 or self.whole:
                return
            router = router or await self.fleet.wait_for_router(self.number, attempt)
            pause_s = await self.attempt(router, f"c-{self.number}-{attempt}", left_s)
            router = None
            await anyio.sleep(min(pause_s, left_s / 3))

    async def attempt(self, router, attempt_id, left_s):
        row = Try(router.name, self.resumes, at=anyio.current_time())
        row.in_touch = router.in_touch
        self.tries.append(row)
        if self.events:
            last = self.events[-1]
            row.servers = self.fleet.serving(last.service, last.version)
        headers = [
            (b"host", b"svc.example"),
            (b"x-id", attempt_id.encode()),
            (b"x-key", self.workspace_key),
            (b"x-part", self.parts.encode() or b"part-%d" % (self.number % 7)),
            (b"x-deadline-ms", str(int(left_s * 1000)).encode()),
        ]
        if self.resumes:
            if self.names_stream:
                headers.append((b"resumes", self.resumes.encode()))
            last = self.events[-1].number if self.events else 3
            headers.append((b"last-event-id", str(last).encode()))
        scope = {
            "type": "http",
            "method": "POST",
            "path": self.path,
            "raw_path": self.path.encode(),
            "query_string": b"",
            "headers": headers,
        }
        exchange = CallerExchange(self, row, attempt_id)
        with contextlib.suppress(Exception):
            await self.call(router, scope, exchange)
        return max(row.retry_after_s, 0.02)

    async def call(self, router, scope, exchange):
        """Let a router answer until it has ended or the caller has left."""
        with router.scope():
            async with anyio.create_task_group() as group:
                group.start_soon(exchange.watch)
                try:
                    await router.app(scope, exchange.receive, exchange.send)
                finally:
                    group.cancel_scope.cancel()

    def stays(self, heard_at):
        """Return whether the caller waits on, with its last byte at a time."""
        return anyio.current_time() - heard_at < self.fleet.patience_s

    def hold(self, body, attempt_id, row):
        for text in body.decode().split("\n\n"):
            if "data: " not in text:
                continue
            service, version, number = text.partition("data: ")[2].split()
            self.events.append(HeldEvent(service, version, int(number)))
            self.resumes = self.resumes or attempt_id
            row.got += 1

    @property
    def body(self):
        return b"p"

    @property
    def makers(self):
        """Return the services and versions whose events the caller holds."""
        return {(row.service, row.version) for row in self.events}

    @property
    def in_order(self):
        numbers = [row.number for row in self.events]
        return numbers == list(range(1, len(numbers) + 1))
