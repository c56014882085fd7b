"""A model engine in virtual time: chunked reading, batched answers, cached parts."""

from __future__ import annotations

from collections import OrderedDict, deque

from attrs import define, field, frozen


@frozen
class EngineShape:
    """Hold what an engine can do; defaults are those of one deployment's sheet."""

    slots: int = 128
    queue: int = 32  # calls that wait beyond the slots; more are turned away
    memory_tokens: int = 1_026_424
    step_s: float = 0.00355  # of a batch without prompts
    answer_s: float = 0.00002  # more for each running answer; chosen, not measured
    read_per_s: float = 157_000.0  # prompt tokens
    chunk_tokens: int = 1024  # of prompts in one step; chosen, not measured


@define(eq=False)
class SimulatedCall:
    """Follow one call through the model."""

    number: int
    kind: str
    workspace: str
    part: str
    shared_tokens: int
    own_tokens: int
    output_tokens: int
    arrived: float  # of the caller's first try
    retries: int = 0
    unread: int = 0  # prompt tokens that the engine has yet to read
    left: int = 0  # answer tokens that it has yet to make


@frozen
class StepResult:
    """Tell what one step brought."""

    seconds: float
    begun: tuple[SimulatedCall, ...]  # whose first token came
    done: tuple[SimulatedCall, ...]


@define(eq=False)
class SimulatedEngine:
    """Run calls in steps; whoever drives it keeps the time."""

    shape: EngineShape = field(factory=EngineShape)
    speed: float = 1.0
    waiting: deque[SimulatedCall] = field(factory=deque)
    running: list[SimulatedCall] = field(factory=list)
    read_tokens: int = 0
    reread_tokens: int = 0  # of shared parts that it or another engine had read before
    _cache: OrderedDict[str, int] = field(factory=OrderedDict)
    _reading: SimulatedCall | None = None

    @property
    def busy(self) -> bool:
        """Tell whether there is anything to do."""
        return bool(self.waiting or self.running or self._reading)

    @property
    def calls(self) -> int:
        """Return how many calls run or wait."""
        return len(self.waiting) + len(self.running) + (self._reading is not None)

    @property
    def memory_used(self) -> int:
        """Return the tokens held by running calls and cached parts."""
        held = sum(row.own_tokens + row.output_tokens for row in self.running)
        return held + sum(self._cache.values())

    def admit(self, call: SimulatedCall) -> bool:
        """Take a call, or turn it away as full."""
        if self.calls >= self.shape.slots + self.shape.queue:
            return False
        self.waiting.append(call)
        return True

    def step(self, known: set[str]) -> StepResult:
        """Run one step; `known` are the parts that any engine has read."""
        shape = self.shape
        budget = shape.chunk_tokens
        begun = []
        for row in self.running:
            row.left -= 1
        done = tuple(row for row in self.running if row.left <= 0)
        self.running = [row for row in self.running if row.left > 0]
        while budget > 0 and (call := self._next(known)) is not None:
            read = min(budget, call.unread)
            call.unread -= read
            budget -= read
            if call.unread == 0:
                self._reading = None
                self.running.append(call)
                begun.append(call)
        read = shape.chunk_tokens - budget
        self.read_tokens += read
        seconds = shape.step_s + read / shape.read_per_s
        seconds += shape.answer_s * len(self.running)
        return StepResult(seconds / self.speed, tuple(begun), done)

    def _next(self, known: set[str]) -> SimulatedCall | None:
        if self._reading is None and self.waiting:
            if len(self.running) >= self.shape.slots:
                return None
            self._reading = self.waiting.popleft()
            self._begin(self._reading, known)
        return self._reading

    def _begin(self, call: SimulatedCall, known: set[str]) -> None:
        call.left = call.output_tokens
        call.unread = max(1, call.own_tokens)
        if not call.part:
            return
        if call.part not in self._cache:
            call.unread += call.shared_tokens
            self.reread_tokens += call.shared_tokens if call.part in known else 0
            known.add(call.part)
            self._cache[call.part] = call.shared_tokens
        self._cache.move_to_end(call.part)
        while len(self._cache) > 1 and self.memory_used > self.shape.memory_tokens:
            self._cache.popitem(last=False)
