"""A model engine under load, its owner's estimates and routers that see its events."""

import random

from attrs import define, evolve, field

from fulmarroad.types import RouterName
from fulmarroad_bench._lab_engine import EngineShape, SimulatedCall, SimulatedEngine
from fulmarroad_serving._load import ServerLoad
from fulmarroad_serving.engines._book import EngineBook
from fulmarroad_serving.engines._pace import SCAN_S, PaceBook
from fulmarroad_serving.engines._pace_messages import PaceReport

SERVICE, SERVER = "drafting", "e-1"

DEPLOYMENT_A = EngineShape(64, 64, 419_155, 0.00463, 0.00002, 37_900.0, 1_024)
DEPLOYMENT_B = EngineShape(64, 64, 579_174, 0.00561, 0.00002, 54_600.0, 2_048)
OWN_TOKENS = (3_720, 2_890, 1_110, 17_020)
ENDLESS = 10**9

TRANSIT_S = 0.002


@define(eq=False)
class Sent:
    """Hold what was expected of a call, and what came of it."""

    charge: object
    tokens: int
    expected_s: float
    actual_s: float = 0.0
    begun_at: float = 0.0
    seen_tokens: int = 0
    router: int = 0

    @property
    def error(self):
        return (self.expected_s - self.actual_s) / self.actual_s


@define
class EngineBed:
    """Run one engine with queued prompts and running answers in virtual time.

    `book` is None for the estimates of routers without the model.
    """

    shape: EngineShape = DEPLOYMENT_A
    speed: float = 1.0
    routers: int = 1
    tokens_per_event: int = 5
    seed: int = 1
    book: EngineBook | None = field(factory=EngineBook)
    load: ServerLoad = field(factory=ServerLoad)
    server: str = SERVER
    now: float = 0.0
    answers: int = 5
    depth: int = 2
    arrivals_per_s: float = 0.0  # at random times; 0: `depth` prompts always wait
    output_tokens: int = ENDLESS
    sizes: tuple[int, ...] = OWN_TOKENS
    slow_downs: list[tuple[float, float, float]] = field(factory=list)
    """Begin, end and factor of each slow-down."""
    paused: list[tuple[int, float, float]] = field(factory=list)
    """Router, begin and end of each pause of its event loop."""
    wrong_guesses: float = 0.0  # fraction of prompts that turn out to be uncached
    loss: float = 0.0  # fraction of lost reports
    done: list[Sent] = field(factory=list)
    factors: list[tuple[float, float]] = field(factory=list)
    """Time and factor on the estimate, at each look."""
    reports: list[PaceReport] = field(factory=list)
    _engine: SimulatedEngine = field(init=False)
    _random: random.Random = field(init=False)
    _sent: dict[int, Sent] = field(factory=dict)
    _paces: list[PaceBook] = field(init=False)
    _number: int = 0
    _scanned_at: float = 0.0
    _next_at: float = 0.0

    def __attrs_post_init__(self):
        self._engine = SimulatedEngine(self.shape, self.speed)
        self._random = random.Random(self.seed)
        self._paces = [PaceBook() for _ in range(self.routers)]

    def run(self, seconds):
        """Run for a time, with `depth` prompts in the queue and `answers` running."""
        until = self.now + seconds
        while self.now < until:
            self._fill_queue()
            self._end_answers()
            self._step()

    def vary(self, seconds, answers, depths=(1, 8)):
        """Change the length of the queue and the running answers each second."""
        for _ in range(seconds):
            self.answers = self._random.randint(*answers)
            self.depth = self._random.randint(*depths)
            self.run(1.0)

    def factor(self):
        estimate = self.book.estimate(SERVICE, self.server, self.load, self.now)
        return estimate.token_s * self.load.read_rate

    def slow_spans(self, since=0.0):
        """Return the times during which the estimate had a factor."""
        spans, begun = [], None
        for at, factor in self.factors:
            if factor > 1.05 and begun is None:
                begun = at
            elif factor <= 1.05 and begun is not None:
                spans.append((begun, at))
                begun = None
        if begun is not None:
            spans.append((begun, self.now))
        return [span for span in spans if span[0] >= since]

    def restart(self):
        """Replace the engine by a new run that has none of its calls."""
        for row in self._sent.values():
            self.load.end(row.charge)
            self._paces[row.router].end(self.server, row.charge.number)
        self._sent.clear()
        self._engine = SimulatedEngine(self.shape, self.speed)
        self.book.forget(self.server)
        self.load = ServerLoad()
        for pace in self._paces:
            pace.forget(self.server)

    def _fill_queue(self):
        if self.arrivals_per_s:
            while self._next_at <= self.now:
                self._next_at += self._random.expovariate(self.arrivals_per_s)
                self.send(self._random.choice(self.sizes))
            return
        while len(self._engine.unbegun_calls()) < self.depth:
            self.send(self._random.choice(self.sizes))

    def send(self, tokens):
        self._number += 1
        wrong = self._random.random() < self.wrong_guesses
        read = tokens + (13_300 if wrong else 0)
        call = SimulatedCall(self._number, "k", "w", "", 0, read, ENDLESS, self.now)
        if not self._engine.admit(call):
            return
        expected_s, ahead = self._expect(tokens)
        charge = self.load.send(self.server, tokens, self.now, expected_s)
        if ahead is not None:
            charge = evolve(charge, ahead_tokens=ahead)
        router = self._number % self.routers
        self._sent[call.number] = Sent(charge, tokens, expected_s, router=router)

    def _expect(self, tokens):
        if self.book is None:
            wait_s = self.load.wait_s(0, self.now)
            return wait_s + self.load.read_s(tokens), None
        book, row = self.book, (SERVICE, self.server, self.load, self.now)
        ahead = book.unread_tokens(*row)
        estimate = book.estimate(*row)
        read_s = estimate.base_s + tokens * estimate.token_s
        return estimate.wait_s + read_s, ahead

    def _end_answers(self):
        while len(self._engine.running) > self.answers:
            index = self._random.randrange(len(self._engine.running))
            call = self._engine.running.pop(index)
            self._end(call)

    def _end(self, call):
        row = self._sent.pop(call.number)
        self.load.end(row.charge)
        self._paces[row.router].end(self.server, row.charge.number)

    def _step(self):
        slow = max(
            (f for begin, end, f in self.slow_downs if begin <= self.now < end),
            default=1.0,
        )
        self._engine.speed = self.speed / slow
        running = list(self._engine.running)
        result = self._engine.step(set())
        self._pass(result.seconds)
        for call in running:
            self._note_token(self._sent[call.number])
        for call in result.done:
            self._end(call)
        for call in result.begun:
            self._note_begun(self._sent[call.number])

    def _pass(self, seconds):
        """Let time pass, with the looks of the routers that are due in it."""
        until = self.now + seconds
        while self._scanned_at + SCAN_S <= until:
            self._scanned_at += SCAN_S
            self.now = self._scanned_at
            for number in range(self.routers):
                if not self._is_paused(number):
                    self._scan(number)
            if self.book is not None:
                self.factors.append((self.now, self.factor()))
        self.now = until

    def _is_paused(self, number):
        return any(
            router == number and begin <= self.now < end
            for router, begin, end in self.paused
        )

    def _scan(self, number):
        for server, finding in self._paces[number].scan(self.now):
            self._number += 1
            report = PaceReport(
                RouterName(f"r-{number}"),
                1,
                self._number,
                server,
                1,
                finding.factor,
                finding.answers,
            )
            self.reports.append(report)
            if self.book is not None and self._random.random() >= self.loss:
                self.book.receive_pace(SERVICE, report, self.now + TRANSIT_S)

    def _note_token(self, row):
        row.seen_tokens += 1
        if row.seen_tokens % self.tokens_per_event or self._is_paused(row.router):
            return
        pace, number = self._paces[row.router], row.charge.number
        pace.note_event(self.server, number, self.now)
        pace.await_next(self.server, number, self.now, self.now)

    def _note_begun(self, row):
        row.actual_s, row.begun_at = self.now - row.charge.sent_at, self.now
        self.done.append(row)
        self._paces[row.router].begin(self.server, row.charge.number, self.now)
        self._paces[row.router].await_next(
            self.server, row.charge.number, self.now, self.now
        )
        if self.book is None:
            self.load.begin(row.charge, self.now)
            return
        self.load.begin(row.charge, self.now, learn=False)
        self.book.note_begun(SERVICE, row.charge, self.load, self.now, as_assumed=True)
