"""A fleet in virtual time whose engines fall silent, for a while or for good.

Calls are judged from the callers' side, and runs from the engines': what a router cut
off although its engine would have gone on, and what ran at two engines.
"""

import enum
import logging
import math
import random
from collections import Counter

import anyio
from attrs import Factory, define, evolve, field
from serving_bed import PLAIN, SHORT, STREAM, answer, make_catalog, stream_head
from stream_callers import DEADLINE_S, StreamCaller
from stream_fleet import (
    EVENT_S,
    EVENTS,
    FIRST_S,
    Engine,
    EngineConnection,
    FleetRouter,
    StreamFleet,
)

from fulmarroad_serving import FleetBounds
from fulmarroad_serving._dead_peers import PROBE_COUNT, PROBE_IDLE_S, PROBE_INTERVAL_S
from fulmarroad_serving._pool import CONNECT_TIMEOUT_S
from fulmarroad_serving.contracts import InstanceRemovedFact
from fulmarroad_serving.exceptions import ConnectionRefusedByHostError, NotSentError

PATIENCE_S = 3.0
"""Time without a byte after which a caller leaves."""

COME_BACK_S = 0.05
MIN_LEFT_S = 0.1

PAUSE_CYCLE_S = 3.0
"""Time from one pause of an engine to its next."""

CONFIG_CHANGE_S = 1.0
DEADLINE_RESOLUTION_S = 0.002  # calls state whole milliseconds
DEAD_HOST_S = PROBE_IDLE_S + PROBE_INTERVAL_S * PROBE_COUNT
"""Time after which the kernel closes the connections to a host that is gone."""

PAUSING_STREAM = evolve(
    STREAM, timeout_s=DEADLINE_S, objective_s=0.4, pause_objective_s=0.2
)

PAUSING_PLAIN = evolve(PLAIN, timeout_s=2.5, objective_s=0.2)
PLAIN_S = 0.05
"""Time in which a plain server answers."""

DEADLINES_S = {"drafting": DEADLINE_S, "ledger": PAUSING_PLAIN.timeout_s}

END_OF_STREAM = b"0\r\n\r\n"
REFUSALS = frozenset({429, 503})
TIMEOUT_STATUS = 504


class Reach(enum.Enum):
    """Define what happens to new connections to an engine that ended silently."""

    ACCEPTED = enum.auto()  # as by the kernel of a frozen process
    REFUSED = enum.auto()
    UNANSWERED = enum.auto()  # as by a host that is gone


class Outcome(enum.Enum):
    """Define what a caller got."""

    WHOLE = "whole"
    REFUSED = "refused"
    TIMED_OUT = "timed out"
    FAILED = "failed"
    NOTHING = "nothing"  # neither an answer nor a refusal


@define(eq=False)
class EngineRun:
    """Hold one run of a call at an engine."""

    request_id: str
    engine: "SilentEngine"
    at: float
    stuck_after: float = math.inf  # events
    whole: bool = False
    has_slot: bool = False
    ended_at: float = math.inf
    lost_at: float = math.inf  # its engine ended

    @property
    def works_until(self):
        return min(self.ended_at, self.lost_at)

    @property
    def is_sound(self):
        return math.isinf(self.lost_at) and math.isinf(self.stuck_after)


@define(eq=False)
class SilentEngine(Engine):
    """An engine that may send nothing for a while, or until its end."""

    silent_until: float = -math.inf
    begins_at: float = -math.inf  # no answer begins before
    dead: bool = False
    reach: Reach = Reach.ACCEPTED
    connect_s: float = 0.0
    connects: int = 0  # begun by routers
    places: anyio.Semaphore = Factory(
        lambda self: anyio.Semaphore(self.slots), takes_self=True
    )
    runs: list = field(factory=list)
    history: list = field(factory=list)  # of pauses and ends, for messages

    def pause(self, for_s):
        self.note(f"pauses for {for_s:.2f}")
        self.silent_until = max(self.silent_until, anyio.current_time() + for_s)

    def pause_begins(self, for_s):
        """Begin no answer for a while, as in a long prefill; the others go on."""
        self.note(f"begins nothing for {for_s:.2f}")
        self.begins_at = max(self.begins_at, anyio.current_time() + for_s)

    def die_silently(self, reach=Reach.ACCEPTED):
        """End without closing a connection."""
        self.dead, self.silent_until, self.reach = True, math.inf, reach
        self.note(f"ends silently, {reach.name}")
        self.lose_runs()

    def crash(self):
        self.note("ends")
        self.lose_runs()
        super().crash()

    def lose_runs(self):
        now = anyio.current_time()
        for run in self.runs:
            if math.isinf(run.works_until):
                run.lost_at = now
        self.runs.clear()

    def note(self, what):
        self.history.append(f"{anyio.current_time():.2f} {what}")

    def revive(self):
        self.note("starts again")
        self.dead, self.silent_until, self.reach = False, -math.inf, Reach.ACCEPTED

    async def work(self, seconds, *, begun):
        """Work on an answer; what falls due in a pause is done at its end."""
        await anyio.sleep(seconds)
        while (until := self._held_until(begun)) > anyio.current_time():
            await anyio.sleep_until(until)

    def _held_until(self, begun):
        return self.silent_until if begun else max(self.silent_until, self.begins_at)


class SilentConnection(EngineConnection):
    """A connection whose calls wait for a slot, pause, or get stuck."""

    def __init__(self, fleet, engine):
        self.run = None
        super().__init__(fleet, engine)

    async def stream(self, headers):
        self.run = self.fleet.note_run(headers["x-id"], self.engine)
        try:
            async with self.engine.places:
                self.run.has_slot = True
                if self.engine.service == "ledger":
                    await self.answer_plain(headers)
                else:
                    await self.generate(headers)
        finally:
            self.run.ended_at = anyio.current_time()

    async def answer_plain(self, headers):
        await self.engine.work(PLAIN_S, begun=False)
        if math.isfinite(self.run.stuck_after):
            await anyio.sleep_forever()
        self.run.whole = True
        self.send(answer(request_id=headers["x-id"]))

    async def generate(self, headers):
        engine, run = self.engine, self.run
        first = int(headers["last-event-id"] or 0) + 1
        await engine.work(FIRST_S, begun=False)
        for sent, number in enumerate(range(first, EVENTS + 1)):
            if sent >= run.stuck_after:
                await anyio.sleep_forever()
            if not sent:
                self.send(stream_head(headers["x-id"]))
            data = f"{engine.service} {engine.version} {number}"
            text = f"id: {number}\ndata: {data}\n\n".encode()
            self.send(b"%x\r\n%s\r\n" % (len(text), text))
            await engine.work(EVENT_S, begun=True)
        run.whole = True
        if first > EVENTS:
            self.send(stream_head(headers["x-id"]))
        self.send(END_OF_STREAM)

    def abort(self):
        if self in self.engine.connections and self.run is not None:
            self.fleet.note_abort(self.run)
        super().abort()

    def lose(self):
        """Let the router's kernel close the connection to a host that is gone."""
        if self in self.engine.connections:
            self.engine.connections.remove(self)
            self.protocol.connection_lost(TimeoutError("not acknowledged"))


class SilenceRouter(FleetRouter):
    """A router with the retry budget of a small deployment."""

    @property
    def bounds(self):
        return self.fleet.bounds

    async def connect(self, instance):
        engine = self.fleet.at_port(instance.port)
        if engine is not None:
            engine.connects += 1
        if engine is not None and engine.connect_s:
            await anyio.sleep(engine.connect_s)
        if engine is not None and engine.reach is Reach.UNANSWERED:
            await anyio.sleep(CONNECT_TIMEOUT_S)
            raise NotSentError("no answer to the first packet")
        if engine is not None and engine.reach is Reach.REFUSED:
            raise ConnectionRefusedByHostError("refused")
        return await super().connect(instance)


@define(eq=False)
class SilenceCaller(StreamCaller):
    """A caller who comes back only after its router was killed."""

    leaves_after_s: float = math.inf
    left_early: bool = False
    lost_router: bool = False

    @property
    def service(self):
        return "ledger" if self.path.startswith(PLAIN.path_prefix) else "drafting"

    @property
    def body(self):
        # Equal ones would be suspects of every crash.
        return b"p-%d" % self.number

    @property
    def deadline(self):
        return self.tries[0].at + DEADLINES_S[self.service]

    async def run(self, router=None, tries=4):
        left_s = DEADLINES_S[self.service]
        for attempt in range(tries):
            router = self.fleet.pick(self.number, attempt)
            await self.attempt(router, f"c-{self.number}-{attempt}", left_s)
            if router.alive or self.whole or self.tries[-1].status not in (0, 200):
                return
            self.lost_router = True
            await anyio.sleep(COME_BACK_S)
            left_s = self.deadline - anyio.current_time()
            if left_s <= MIN_LEFT_S:
                return

    def stays(self, heard_at):
        leaves_at = self.tries[0].at + self.leaves_after_s
        self.left_early = anyio.current_time() >= leaves_at
        return not self.left_early and super().stays(heard_at)


class FailureLog(logging.Handler):
    """Keep what routers log about each failed request."""

    def __init__(self):
        super().__init__(logging.WARNING)
        self.lines = {}

    def emit(self, record):
        request_id = getattr(record, "request_id", "")
        names = ("server", "outcome", "cause", "sends", "event_id", "next_place")
        facts = {name: getattr(record, name, "") for name in names}
        line = f"{record.name_of_event} {facts}"
        self.lines.setdefault(request_id, []).append(line)


@define
class CallCounts:
    """Count what callers got and how their calls ran."""

    outcomes: Counter = field(factory=Counter)
    cut: int = 0  # runs that a router ended although engine and caller were there
    run_twice: int = 0  # calls that ran at two engines

    def __getitem__(self, outcome):
        return self.outcomes[outcome]

    @property
    def whole_fraction(self):
        return self[Outcome.WHOLE] / max(1, self.outcomes.total())


class SilenceFleet(StreamFleet):
    """Routers, engines that fall silent, and a configuration that keeps changing."""

    router_type = SilenceRouter
    engine_type = SilentEngine
    connection_type = SilentConnection
    caller_type = SilenceCaller
    patience_s = PATIENCE_S
    bounds = FleetBounds(retry_ratio=0.2, retry_window_s=10.0, retry_burst=54.0)

    def __init__(self, size=4, seed=1, loss=0.0):
        super().__init__(size, seed, loss)
        self.random = random.Random(seed)
        self.catalog = make_catalog(routes=(PAUSING_STREAM, PAUSING_PLAIN, SHORT))
        self.has_ample_places = True  # and retries
        self.stuck_one_in = 0  # runs; 0: none gets stuck
        self.runs = {}  # by request
        self.cut_runs = []
        self.log = FailureLog()

    async def run(self, test):
        logger = logging.getLogger("fulmarroad.serving")
        logger.addHandler(self.log)
        try:
            await super().run(test)
        finally:
            logger.removeHandler(self.log)

    # engines

    def die_silently(self, name, reach=Reach.ACCEPTED):
        engine = self.engines[name]
        engine.die_silently(reach)
        connections = list(engine.connections)

        async def lose_connections():
            await anyio.sleep(DEAD_HOST_S)
            for connection in connections:
                connection.lose()

        if reach is Reach.UNANSWERED:
            self.group.start_soon(lose_connections)

    async def pause_engines(self, for_s, pause=SilentEngine.pause):
        """Let one engine after another pause, each once in a cycle."""
        while True:
            for engine in [row for row in self.engines.values() if row.up]:
                pause(engine, for_s)
                await anyio.sleep(PAUSE_CYCLE_S / len(self.engines))

    def note_run(self, request_id, engine):
        run = EngineRun(request_id, engine, anyio.current_time())
        if engine.dead:
            run.lost_at = run.at
        engine.runs.append(run)
        self.runs.setdefault(request_id, []).append(run)
        run_count = sum(map(len, self.runs.values()))
        if self.stuck_one_in and run_count % self.stuck_one_in == 0:
            run.stuck_after = self.random.randrange(EVENTS)
        return run

    def note_abort(self, run):
        """Note a router's close of a connection, unless its run or call was over."""
        if run.whole or run.engine.dead or run.stuck_after < math.inf:
            return
        caller, attempt = self.call_of(run.request_id)
        is_due = anyio.current_time() < caller.deadline - DEADLINE_RESOLUTION_S
        if self.routers[attempt.router].alive and is_due and not attempt.left:
            self.cut_runs.append(run)

    def remove_entry(self, name):
        self.publish(InstanceRemovedFact(name))

    def start_again(self, name, version):
        self.engines[name].revive()
        super().start_again(name, version)

    # configuration

    async def change_config(self):
        """Change weights, timeouts and other routes at intervals."""
        while True:
            await anyio.sleep(CONFIG_CHANGE_S)
            targets = (
                evolve(PAUSING_STREAM.targets[0], weight=self.random.uniform(1, 9)),
            )
            stream = evolve(
                PAUSING_STREAM,
                targets=targets,
                timeout_s=DEADLINE_S + self.random.uniform(0.0, 4.0),
            )
            others = [
                evolve(SHORT, name=f"other-{number}", path_prefix=f"/other-{number}/")
                for number in self.random.sample(range(20), 8)
            ]
            self.set_catalog(routes=(stream, PAUSING_PLAIN, SHORT, *others))

    # callers

    async def send_streams(self, per_s, count):
        """Begin streams whose callers try once."""
        for number in range(len(self.callers), len(self.callers) + count):
            self.begin(number, tries=1)
            await anyio.sleep(self.random.expovariate(per_s))

    def call_of(self, request_id):
        """Return the caller of a request and its try."""
        _, number, attempt = request_id.split("-")
        caller = self.callers[int(number)]
        return caller, caller.tries[int(attempt)]

    # judgement

    def count(self):
        twice = sum(
            len({run.engine.name for run in runs}) > 1 for runs in self.runs.values()
        )
        outcomes = Counter(map(outcome_of, self.callers))
        return CallCounts(outcomes, len(self.cut_runs), twice)

    def failures(self):
        """Return what routers logged about the calls that brought nothing."""
        return {
            caller.number: self.log.lines.get(f"c-{caller.number}-0", ["caller left"])
            for caller in self.callers
            if outcome_of(caller) is Outcome.NOTHING
        }


def outcome_of(caller):
    """Return what a caller got by its last try."""
    status = caller.tries[-1].status
    if caller.whole:
        return Outcome.WHOLE if status == 200 else Outcome.FAILED
    if status in REFUSALS:
        return Outcome.REFUSED
    if status == TIMEOUT_STATUS:
        return Outcome.TIMED_OUT
    return Outcome.NOTHING if status in (0, 200) else Outcome.FAILED
