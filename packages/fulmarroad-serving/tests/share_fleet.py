"""A fleet in virtual time whose engines read prompts one after the other.

Engines may be cold, reset calls and be lost. Routers are real down to their
connections. Workspaces differ in how many routers their callers use; what each asks for
and begins is counted second by second, as the fairness of shares is judged by it.
"""

import itertools
import json
import random
from collections import Counter

import anyio
from attrs import define, field
from serving_bed import make_catalog, stream_head
from stream_fleet import (
    LONG_STREAM,
    Engine,
    EngineConnection,
    FleetRouter,
    StreamFleet,
)

from fulmarroad_serving import (
    CallerLimits,
    EngineProfile,
    FleetBounds,
    KeyHolder,
    Service,
    digest_key,
)
from fulmarroad_serving.contracts import InstanceFact

READ_RATE = 60_000.0
EVENTS = 5
EVENT_S = 0.08
REPORT_S = 0.2
"""Time between two exchanges of loads and counts between routers."""

WARMUP_RATE, WARMUP_FACTOR, WARMUP_TOLERANCE = 12.0, 1.5, 5.0
MAX_COLD_ARRIVALS_PER_S = WARMUP_RATE * WARMUP_FACTOR + WARMUP_TOLERANCE
WARMUP_S = 3.0

PARTS = 40
SHARED_TOKENS, OUTPUT_TOKENS = 4_000, 30
OWN_TOKENS = (500, 3_500)
LARGEST_UNITS = SHARED_TOKENS + OWN_TOKENS[1] + 2 * OUTPUT_TOKENS


@define(eq=False)
class BusyEngine(Engine):
    """An engine that reads prompts in order and may be cold or reset calls."""

    cold_until: float = 0.0
    reset_fraction: float = 0.0
    free_at: float = 0.0
    cached: set = field(factory=set)
    arrivals: list = field(factory=list)  # while it was cold
    most_connections: int = 0

    def instance(self, **changes):
        left_s = max(0.0, self.cold_until - anyio.current_time())
        return super().instance(warmup_left_s=left_s, **changes)

    def note_arrival(self):
        now = anyio.current_time()
        if now < self.cold_until:
            self.arrivals.append(now)

    def read(self, part, shared, own):
        """Return the time at which a prompt that arrives now is read."""
        tokens = own + (0 if part in self.cached else shared)
        self.cached.add(part)
        self.free_at = max(self.free_at, anyio.current_time()) + tokens / READ_RATE
        return self.free_at

    @property
    def worst_arrivals_per_s(self):
        rows = self.arrivals
        return max(
            (sum(at <= row < at + 1.0 for row in rows) for at in rows), default=0
        )


class BusyConnection(EngineConnection):
    """A connection whose calls wait to be read, and may be reset."""

    def __init__(self, fleet, engine):
        super().__init__(fleet, engine)
        open_now = len(engine.connections)
        engine.most_connections = max(engine.most_connections, open_now)

    async def stream(self, headers):
        engine, fleet = self.engine, self.fleet
        engine.note_arrival()
        shared, own, _ = (int(number) for number in headers["x-tokens"].split(","))
        is_reset = fleet.source.random() < engine.reset_fraction
        await anyio.sleep_until(engine.read(headers["x-part"], shared, own))
        if is_reset:
            fleet.reset_calls.add(headers["x-id"])
            self.reset()
            return
        fleet.note_begun(headers["x-id"])
        head = stream_head(headers["x-id"])
        self.send(head.removesuffix(b"\r\n") + b"keep-alive: timeout=5\r\n\r\n")
        for number in range(int(headers["last-event-id"] or 0) + 1, EVENTS + 1):
            text = f"id: {number}\ndata: {number}\n\n".encode()
            self.send(b"%x\r\n%s\r\n" % (len(text), text))
            await anyio.sleep(EVENT_S)
        self.send(b"0\r\n\r\n")

    def reset(self):
        if self in self.engine.connections:
            self.engine.connections.remove(self)
            self.protocol.connection_lost(ConnectionResetError("reset"))


class ShareRouter(FleetRouter):
    """A router with the bounds of a deployment."""

    bounds = FleetBounds(
        retry_ratio=0.2,
        retry_burst=60.0,
        warmup_factor=WARMUP_FACTOR,
        warmup_tolerance=WARMUP_TOLERANCE,
    )


@define(frozen=True)
class Workspace:
    """Describe a workspace's calls and the routers that its callers use."""

    name: str
    calls_per_s: float
    routers: int  # the first ones; the balancer uses them in turn

    @property
    def key(self):
        return f"key-of-{self.name}".encode()


@define(eq=False)
class ShareCall:
    """Hold a call and what became of it."""

    workspace: str
    units: int
    at: float
    status: int = 0
    refused: bool = False  # at least one attempt
    begun_at: float | None = None
    attempts: list = field(factory=list)


class ShareFleet(StreamFleet):
    """Routers, engines and workspaces that share them."""

    router_type = ShareRouter
    connection_type = BusyConnection

    def __init__(self, workspaces, routers=12, seed=1, max_connections=900):
        super().__init__(routers, seed)
        self.source = random.Random(seed)
        self.workspaces = workspaces
        self.reset_calls = set()
        self.calls = {}
        self._call_numbers = itertools.count(1)
        profile = EngineProfile(64)
        service = Service(
            "drafting",
            max_connections=max_connections,
            engine=profile,
            warmup_rate=WARMUP_RATE,
        )
        holders = [KeyHolder(row.name, (digest_key(row.key),)) for row in workspaces]
        self.catalog = make_catalog(
            routes=(LONG_STREAM,),
            services={"drafting": service},
            holders=tuple(holders),
            limits=CallerLimits(),
        )

    async def run_for(self, seconds, engines, trouble):
        """Let callers make calls for a while; return once all have ended."""

        async def test(fleet):
            for number in range(engines):
                self.add_engine(f"e-{number}")
            self.group.start_soon(self.exchange_reports)
            await anyio.sleep(0.5)
            self.began_at = anyio.current_time()
            async with anyio.create_task_group() as callers:
                self.callers_group = callers
                for row in self.workspaces:
                    callers.start_soon(self.make_calls, row, seconds)
                self.group.start_soon(trouble, self)

        await self.run(test)

    # engines

    def add_engine(self, name, **more):
        port = len(self.engines) + 1
        engine = BusyEngine(name, "drafting", "v1", port, slots=64, **more)
        self.engines[name] = engine
        engine.started_at = anyio.current_time()
        self.publish_entry(engine)
        return engine

    def publish_entry(self, engine):
        self.publish(InstanceFact(engine.instance()))

    def start_again_cold(self, name, entry_after_s, warmup_s=WARMUP_S):
        """Let an engine end and start again, cold, under its id; its entry is late."""
        engine = self.engines[name]
        engine.crash()
        engine.cached.clear()
        engine.up, engine.free_at = True, 0.0
        engine.started_ms += 1
        engine.cold_until = anyio.current_time() + warmup_s

        async def write_entry():
            await anyio.sleep(entry_after_s)
            self.publish_entry(engine)

        self.group.start_soon(write_entry)

    # routers

    async def exchange_reports(self):
        while True:
            now = anyio.current_time()
            rows = {
                name: (
                    row.dispatcher.own_load(),
                    row.dispatcher.shares.own_counts(now),
                    row.dispatcher.parts.pop_updates(40),
                )
                for name, row in self.routers.items()
                if row.alive
            }
            for name, (loads, counts, parts) in rows.items():
                for other, router in self.routers.items():
                    if other != name and router.alive and not router.cut:
                        router.dispatcher.receive_load(name, loads, now)
                        router.dispatcher.shares.receive_counts(name, counts, now)
                        for part, server in parts:
                            router.dispatcher.parts.note(part, server, now)
            await anyio.sleep(REPORT_S)

    def requests(self):
        """Return what became of all requests for places, by workspace."""
        counts = {}
        for router in self.routers.values():
            for name, row in router.client.requests._counts.items():
                counts.setdefault(name, Counter()).update(row)
        return counts

    # callers

    async def make_calls(self, workspace, seconds):
        source = random.Random(f"{self.seed} {workspace.name}")
        end_at = anyio.current_time() + seconds
        while True:
            await anyio.sleep(source.expovariate(workspace.calls_per_s))
            if anyio.current_time() >= end_at:
                return
            own = source.randint(*OWN_TOKENS)
            part = f"p{source.randrange(PARTS)}"
            self.callers_group.start_soon(self.call, workspace, part, own)

    async def call(self, workspace, part, own):
        units = SHARED_TOKENS + own + 2 * OUTPUT_TOKENS
        number = next(self._call_numbers)
        row = ShareCall(workspace.name, units, anyio.current_time())
        for attempt in range(2):
            call_id = f"c-{number}-{attempt}"
            self.calls[call_id] = row
            row.attempts.append(call_id)
            names = [f"router-{n}" for n in range(workspace.routers)]
            router = self.routers[names[(number + attempt) % len(names)]]
            tokens = f"{SHARED_TOKENS},{own},{OUTPUT_TOKENS}".encode()
            headers = [
                (b"host", b"svc.example"),
                (b"x-id", call_id.encode()),
                (b"x-key", workspace.key),
                (b"x-part", part.encode()),
                (b"x-tokens", tokens),
                (b"x-deadline-ms", b"5000"),
            ]
            row.status, retry_after_s = await self.attempt(router, headers)
            if row.status == 200:
                return
            row.refused = True
            await anyio.sleep(max(0.05, min(1.6, retry_after_s)))

    async def attempt(self, router, headers, body=b"p"):
        status, retry_after_s = 0, 0.0
        scope = {
            "type": "http",
            "method": "POST",
            "path": "/draft/1",
            "raw_path": b"/draft/1",
            "query_string": b"",
            "headers": headers,
        }
        messages = [{"type": "http.request", "body": body, "more_body": False}]

        async def receive():
            if messages:
                return messages.pop()
            await anyio.sleep_forever()
            return None

        async def send(message):
            nonlocal status, retry_after_s
            if message["type"] == "http.response.start":
                status = message["status"]
                after = dict(message["headers"]).get(b"retry-after", b"0")
                retry_after_s = float(after)

        with router.scope():
            try:
                await router.app(scope, receive, send)
            except Exception:
                status = 0  # the answer broke off
        return status, retry_after_s

    def note_begun(self, call_id):
        row = self.calls[call_id]
        if row.begun_at is None:
            row.begun_at = anyio.current_time()

    # judgement

    def distinct_calls(self):
        return {id(row): row for row in self.calls.values()}.values()

    def answered_fraction(self, workspace, after_s):
        """Return the fraction of calls with an answer, of those that weren't reset."""
        rows = [
            row
            for row in self.distinct_calls()
            if row.workspace == workspace
            and row.at - self.began_at >= after_s
            and not self.reset_calls.intersection(row.attempts)
        ]
        return sum(row.status == 200 for row in rows) / len(rows)

    def given_back_fraction(self, workspace):
        """Return the fraction of granted places that their router didn't use."""
        counts = self.requests()[workspace]
        given_back = sum(n for name, n in counts.items() if "given_back" in name)
        return given_back / (given_back + counts["sent"])

    @property
    def most_connections(self):
        """Return the highest number of connections that an engine had at once."""
        return max(row.most_connections for row in self.engines.values())

    def shortfall(self, workspace, first_s, last_s, seconds=6):
        """Return by how much a workspace's calls fall below the rule, in units.

        In any six seconds it may expect half of what it asked for or the best served
        one got, whichever is less, second by second, less three of the largest calls.
        """
        asked, got = Counter(), Counter()
        for row in self.distinct_calls():
            asked[row.workspace, int(row.at - self.began_at)] += row.units
            if row.begun_at is not None:
                got[row.workspace, int(row.begun_at - self.began_at)] += row.units
        names = [row.name for row in self.workspaces]
        worst = 0.0
        for start in range(first_s, last_s - seconds + 1):
            window = range(start, start + seconds)
            best = max(names, key=lambda name: sum(got[name, at] for at in window))
            due = sum(min(asked[workspace, at], got[best, at]) for at in window)
            mine = sum(got[workspace, at] for at in window)
            worst = max(worst, due / 2 - 3 * LARGEST_UNITS - mine)
        return worst


def describe(fleet):
    """Return the figures of a run, for a failed check."""
    return json.dumps({name: dict(row) for name, row in fleet.requests().items()})
