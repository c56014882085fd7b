"""A fleet in virtual time in which parts of prompts crash the engines that answer them.

What engines and callers see is recorded, so that tests judge from outside which
requests reached engines and which sound ones began.
"""

import itertools
import random

import anyio
from attrs import define
from serving_bed import make_catalog, stream_head
from stream_callers import StreamCaller
from stream_fleet import (
    CONTACT_S,
    FIRST_S,
    LONG_STREAM,
    NETWORK_S,
    EngineConnection,
    FleetRouter,
    StreamFleet,
)

from fulmarroad_serving import KeyHolder, digest_key
from fulmarroad_serving._digests import is_digest, pack_digest, read_digest
from fulmarroad_serving._fleet_view import FleetView
from fulmarroad_serving._owner_exchange import is_owner_message
from fulmarroad_serving._reports import PeerReport, pack_report, read_report, unpack
from fulmarroad_serving._server_ends import is_server_end
from fulmarroad_serving.exceptions import ConnectionRefusedByHostError
from fulmarroad_serving.streams._keepers import is_stream_message

REPORT_S = 0.15
CRASH_S = 0.08
"""Time from the begin of an answer to the crash."""

RESTART_S = 3.0
EVENTS = 5
EVENT_S = 0.15
"""Answers of sound requests last for 0.75 s."""

MAX_LATE = 3
"""Number of requests with a crashing part that may reach engines after the fifth crash
and the time in which routers hear of it."""

CRASHES = 5
WORKSPACES = ("coop", "guild", "press", "studio")


@define(frozen=True)
class Arrival:
    """One request as it reached an engine."""

    at: float
    parts: frozenset
    in_touch: bool


@define(frozen=True)
class Framing:
    """How engines frame answers and how connections end with a crashed engine."""

    delimited: bool = True  # with chunks; else the answer ends with its connection
    reset: bool = True  # else the connection is closed in order


class CrashConnection(EngineConnection):
    """Answer a request, or crash the engine if it has a crashing part."""

    router = None

    async def stream(self, headers):
        fleet = self.fleet
        parts = frozenset(headers["x-part"].split(","))
        touch = self.router is None or self.router.in_touch
        fleet.arrivals.append(Arrival(fleet.now, parts, touch))
        await anyio.sleep(FIRST_S)
        crashing = parts & fleet.crashing
        if crashing:
            if fleet.heads_first:
                self.send(self.head(headers))
            await anyio.sleep(CRASH_S)
            fleet.crash_by(crashing, self.engine)
            return
        self.send(self.head(headers))
        for number in range(int(headers["last-event-id"] or 0) + 1, EVENTS + 1):
            data = f"{self.engine.service} {self.engine.version} {number}"
            self.send(self.framed(f"id: {number}\ndata: {data}\n\n".encode()))
            await anyio.sleep(EVENT_S)
        self.finish()

    def head(self, headers):
        if self.fleet.framing.delimited:
            return stream_head(headers["x-id"])
        lines = ("HTTP/1.1 200 OK", "x-signed: s", f"x-id: {headers['x-id']}", "", "")
        return "\r\n".join(lines).encode()

    def framed(self, text):
        if self.fleet.framing.delimited:
            return b"%x\r\n%s\r\n" % (len(text), text)
        return text

    def finish(self):
        if self.fleet.framing.delimited:
            self.send(b"0\r\n\r\n")
        elif self in self.engine.connections:
            self.engine.connections.remove(self)
            self.close_in_order()

    def end(self):
        """Break the connection, as its engine ends."""
        if self.scope is not None:
            self.scope.cancel()
        if self.fleet.framing.reset:
            self.protocol.connection_lost(ConnectionResetError("the engine ended"))
        else:
            self.close_in_order()

    def close_in_order(self):
        self.protocol.eof_received()
        self.protocol.connection_lost(None)


class CrashRouter(FleetRouter):
    """A router that also exchanges reports with the others."""

    def __init__(self, fleet, name, centre, incarnation):
        super().__init__(fleet, name, centre, incarnation)
        source = random.Random(incarnation)
        self.view = FleetView(name, centre, name, self.dispatcher, source)
        self.view.owners = self.owners.all_owners
        self.sequence = 0
        self.report_due = anyio.Event()
        self.dispatcher.suspects.on_change = lambda: self.report_due.set()

    async def connect(self, instance):
        await anyio.sleep(NETWORK_S)
        engine = self.fleet.at_port(instance.port)
        if engine is None:
            raise ConnectionRefusedByHostError("refused")
        connection = CrashConnection(self.fleet, engine)
        connection.router = self
        return connection.protocol

    async def run(self):
        with self.scope():
            async with anyio.create_task_group() as group:
                group.start_soon(super().run)
                group.start_soon(self.send_reports)

    async def send_reports(self):
        while True:
            self.report_due = anyio.Event()
            self.sequence += 1
            now = self.fleet.now
            report = self.view.complete_report(self.report(now), now)
            for host in self.view.receivers(self.fleet.seeds, self.sequence, now):
                self.send(pack_report(report), host)
            for digest, hosts in self.view.digests(now):
                for host in hosts:
                    self.send(pack_digest(digest), host)
            await anyio.sleep(0.02)
            with anyio.move_on_after(REPORT_S):
                await self.report_due.wait()

    def report(self, now):
        dispatcher = self.dispatcher
        return PeerReport(
            self.name,
            self.incarnation,
            self.sequence,
            self.centre,
            self.name,
            False,
            0,
            0.1,
            60.0,
            dispatcher.own_load(),
            dispatcher.shares.own_counts(now),
        )

    def receive(self, data, host):
        row = unpack(data)
        if is_owner_message(row) or is_stream_message(row) or is_server_end(row):
            super().receive(data, host)
        elif is_digest(row):
            self.view.receive_digest(read_digest(row), self.fleet.now)
        else:
            self.view.receive_report(read_report(row), self.fleet.now)


@define(eq=False)
class Sent:
    """One sound request and what became of its first attempt."""

    at: float
    parts: tuple
    in_touch: bool
    caller: StreamCaller

    @property
    def begun(self):
        return self.caller.tries[0].got > 0


class CrashFleet(StreamFleet):
    """A fleet with callers of sound requests and of requests that crash engines."""

    router_type = CrashRouter
    connection_type = CrashConnection
    seeds = ("router-0", "router-1", "router-2")

    def __init__(self, size=6, engines=12, seed=1, loss=0.0):
        super().__init__(size, seed, loss)
        holders = [KeyHolder(name, (digest_key(name.encode()),)) for name in WORKSPACES]
        self.catalog = make_catalog(routes=(LONG_STREAM,), holders=tuple(holders))
        self.engine_count = engines
        self.random = random.Random(seed)
        self.crashing = frozenset()
        self.crashes = {}  # by part: times
        self.arrivals = []
        self.sound = []
        self.framing = Framing()
        self.heads_first = True
        self._callers = itertools.count(1)

    @property
    def now(self):
        return anyio.current_time()

    async def prepare(self):
        """Start the engines and let callers and routers settle."""
        for number in range(self.engine_count):
            self.add_engine(f"e-{number}")
        await anyio.sleep(0.4)

    # engines

    def crash_by(self, parts, engine):
        for part in parts:
            self.crashes.setdefault(part, []).append(self.now)
        self.crash_and_replace(engine)

    def crash_and_replace(self, engine):
        """Crash an engine and start another one in its place after some seconds."""
        if not engine.up:
            return
        self.crash(engine.name)

        async def replace():
            await anyio.sleep(RESTART_S)
            self.add_engine(f"e-{len(self.engines)}")

        self.group.start_soon(replace)

    # callers

    async def send_sound(self, per_s, for_s, parts_of, workspace=None):
        """Send sound requests whose parts `parts_of(random)` names."""
        end_at = self.now + for_s
        while self.now < end_at:
            await anyio.sleep(self.random.expovariate(per_s))
            parts = parts_of(self.random)
            caller = self._begin(parts, workspace)
            self.sound.append(
                Sent(self.now, parts, self.routers_of(caller).in_touch, caller)
            )

    async def send_crashing(self, per_s, for_s, parts_of, workspace=None):
        """Send requests with a crashing part, no two alike."""
        end_at = self.now + for_s
        while self.now < end_at:
            await anyio.sleep(self.random.expovariate(per_s))
            self._begin(parts_of(self.random), workspace)

    def routers_of(self, caller):
        return self.pick(caller.number, 0)

    def _begin(self, parts, workspace):
        number = next(self._callers)
        name = workspace or self.random.choice(WORKSPACES)
        more = {"path": f"/draft/{number}", "tries": 2}
        return self.begin(
            number, parts=",".join(parts), workspace_key=name.encode(), **more
        )

    # judgement

    def late(self, part):
        """Return the arrivals with a part at which every router has known of it."""
        at = self.crashes.get(part, [])
        if len(at) < CRASHES:
            return []
        known_at = at[CRASHES - 1] + CONTACT_S
        return [
            row
            for row in self.arrivals
            if part in row.parts and row.in_touch and row.at > known_at
        ]

    def judged_from(self, part):
        """Return the time from which sound requests must begin as in the calm."""
        at = self.crashes.get(part, [])
        return (at[min(len(at), CRASHES) - 1] if at else 0.0) + 2 * CONTACT_S

    def begun_fraction(self, since, until, has=lambda row: True):
        """Return the fraction of sound first attempts that began."""
        rows = [
            row
            for row in self.sound
            if since <= row.at < until and row.in_touch and has(row)
        ]
        return sum(row.begun for row in rows) / len(rows) if rows else 1.0
