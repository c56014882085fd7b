"""A fleet in virtual time whose few engines are scarce, and callers that leave."""

import random
from collections import Counter

import anyio
from attrs import define, evolve, field
from serving_bed import stream_head
from share_fleet import (
    EVENT_S,
    EVENTS,
    OUTPUT_TOKENS,
    SHARED_TOKENS,
    BusyConnection,
    BusyEngine,
    ShareFleet,
    ShareRouter,
)
from stream_fleet import LONG_STREAM

from fulmarroad_serving import FeatureMode, FeatureSettings
from fulmarroad_serving._features import FeatureBook

READ_RATE = 24_000.0
"""Prompt tokens a second: an engine begins a few prompts within an objective."""

OBJECTIVE_S = 1.0
MAX_ENTRIES = 40
OWN_TOKENS = (500, 6_000)
PARTS = 12
SETTLE_S = 4.0
"""Time after which routers have dropped what lost routers left."""

UNKNOWN = 0
"""Status of a call whose answer broke off or whose caller left."""


@define
class QueuedCall:
    """Hold an attempt of a call and what became of it."""

    workspace: str
    units: int
    at: float
    is_first: bool
    status: int = UNKNOWN
    left_at: float = float("inf")
    runs: list = field(factory=list)  # times at which an engine got it
    begun_at: float = float("inf")

    @property
    def on_time(self):
        return self.is_first and self.begun_at - self.at <= OBJECTIVE_S


@define(eq=False)
class SlowEngine(BusyEngine):
    """An engine that reads slowly, and at times far more slowly."""

    speed: float = 1.0

    def read(self, part, shared, own):
        tokens = own + (0 if part in self.cached else shared)
        self.cached.add(part)
        start = max(self.free_at, anyio.current_time())
        self.free_at = start + tokens / (READ_RATE * self.speed)
        return self.free_at


class SlowConnection(BusyConnection):
    """A connection that records when the engine gets a call and begins it."""

    async def stream(self, headers):
        call = self.fleet.calls[headers["x-id"]]
        call.runs.append(anyio.current_time())
        shared, own, _ = (int(number) for number in headers["x-tokens"].split(","))
        await anyio.sleep_until(self.engine.read(headers["x-part"], shared, own))
        call.begun_at = anyio.current_time()
        head = stream_head(headers["x-id"])
        self.send(head.removesuffix(b"\r\n") + b"keep-alive: timeout=5\r\n\r\n")
        for number in range(1, EVENTS + 1):
            text = f"id: {number}\ndata: {number}\n\n".encode()
            self.send(b"%x\r\n%s\r\n" % (len(text), text))
            await anyio.sleep(EVENT_S)
        self.send(b"0\r\n\r\n")


class QueueRouter(ShareRouter):
    """A router that checks the order and the bounds of its queue with each grant."""

    def __init__(self, fleet, name, centre, incarnation):
        super().__init__(fleet, name, centre, incarnation)
        mode = FeatureMode.ON if fleet.has_queue else FeatureMode.OFF
        settings = FeatureSettings({"admission_queue": mode})
        self.dispatcher.settings._features = FeatureBook(settings)
        self.dispatcher.load = self._slow_load(self.dispatcher.load)
        self.granter = self.exchange._granter
        self.queue = self.granter.queued.queue
        self.queue.max_entries = MAX_ENTRIES
        self.granter.queued._owner = CheckedOwner(self)

    def _slow_load(self, load):
        """Start from the engines' rate as stated, as operators do."""
        known = set()

        def started(server):
            row = load(server)
            if server not in known:
                known.add(server)
                row.read_rate = READ_RATE
            return row

        return started


class CheckedOwner:
    """The granter of a router, which records each grant out of order."""

    def __init__(self, router):
        self.granter, self.queue = router.granter, router.queue
        self.faults = router.fleet.faults

    def __getattr__(self, name):
        return getattr(self.granter, name)

    def grant(self, held, placed, now):
        key = (held.request.router, held.request.incarnation, held.request.number)
        rows = self.queue._entries
        if key in rows:
            turn = self._turn(rows[key])
            for row in rows.values():
                if not row.paused and self._turn(row) < turn:
                    self.faults.append(f"{key} before {row.key}")
        elif rows:
            self.faults.append(f"{key} past the queue")
        if len(rows) > MAX_ENTRIES:
            self.faults.append("too many entries")
        return self.granter.grant(held, placed, now)

    def _turn(self, row):
        return (row.urgency, self.queue._step(row.workspace, row.urgency, 0.0))


class QueueFleet(ShareFleet):
    """Routers with queues, slow engines, and callers that may leave while they wait."""

    router_type = QueueRouter
    connection_type = SlowConnection

    def __init__(self, workspaces, routers=6, seed=1, *, has_queue=True):
        super().__init__(workspaces, routers, seed)
        self.has_queue = has_queue
        self.leaving_fraction = 0.0
        self.duplicates = 0.0
        self.faults = []
        route = evolve(LONG_STREAM, objective_s=OBJECTIVE_S, resumable=False)
        self.catalog = evolve(self.catalog, routes=(route,))

    async def run(self, test):
        async def test_and_settle(fleet):
            await test(fleet)
            await anyio.sleep(SETTLE_S)

        await super().run(test_and_settle)

    def add_engine(self, name, **more):
        port = len(self.engines) + 1
        engine = SlowEngine(name, "drafting", "v1", port, slots=64, **more)
        self.engines[name] = engine
        engine.started_at = anyio.current_time()
        self.publish_entry(engine)
        return engine

    def deliver(self, data, sender, to):
        super().deliver(data, sender, to)
        if self.duplicates and self.source.random() < self.duplicates:
            super().deliver(data, sender, to)

    async def make_calls(self, workspace, seconds):
        source = random.Random(f"{self.seed} {workspace.name}")
        end_at = anyio.current_time() + seconds
        while True:
            await anyio.sleep(source.expovariate(workspace.calls_per_s))
            if anyio.current_time() >= end_at:
                return
            part, own = f"p{source.randrange(PARTS)}", source.randint(*OWN_TOKENS)
            leaves = source.random() < self.leaving_fraction
            patience_s = source.uniform(0.02, 1.2) if leaves else float("inf")
            self.callers_group.start_soon(self.call, workspace, part, own, patience_s)

    async def call(self, workspace, part, own, patience_s=float("inf")):
        units = SHARED_TOKENS + own + 2 * OUTPUT_TOKENS
        number = next(self._call_numbers)
        for attempt in range(2):
            call_id = f"c-{number}-{attempt}"
            now = anyio.current_time()
            row = QueuedCall(workspace.name, units, now, attempt == 0)
            self.calls[call_id] = row
            alive = [r for r in self.routers.values() if r.alive]
            router = alive[(number + attempt) % len(alive)]
            tokens = f"{SHARED_TOKENS},{own},{OUTPUT_TOKENS}".encode()
            headers = [
                (b"host", b"svc.example"),
                (b"x-id", call_id.encode()),
                (b"x-key", workspace.key),
                (b"x-part", part.encode()),
                (b"x-tokens", tokens),
                (b"x-deadline-ms", b"5000"),
            ]
            with anyio.move_on_after(patience_s) as scope:
                row.status, retry_after_s = await self.attempt(
                    router, headers, str(number).encode()
                )
            if scope.cancelled_caught:
                row.left_at = now + patience_s
                return
            if row.status != 503:
                return
            await anyio.sleep(max(0.05, min(1.6, retry_after_s)))

    def first_attempts(self, workspace=None):
        rows = [row for row in self.calls.values() if row.is_first]
        return [row for row in rows if workspace in (None, row.workspace)]

    def asked_units(self):
        """Return the units of first attempts by workspace."""
        asked = Counter()
        for row in self.first_attempts():
            asked[row.workspace] += row.units
        return asked

    def begun_units(self):
        """Return the units of calls that began, on time or late, by workspace."""
        begun = Counter()
        for row in self.calls.values():
            begun[row.workspace] += row.units * (row.begun_at < float("inf"))
        return begun
