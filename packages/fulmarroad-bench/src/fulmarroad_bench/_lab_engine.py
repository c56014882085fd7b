"""Simulate an engine in virtual time: chunked prefill, batched decode, prefix cache.

Prompts begin with a shared part, which the cache holds; to read a prompt is to prefill.
"""

from __future__ import annotations

from collections import OrderedDict, deque

from attrs import define, field, frozen


@frozen
class EngineShape:
    """Describe an engine's capacity; defaults are from one deployment's data sheet."""

    slots: int = 128
    queue: int = 32  # calls that may wait beyond the slots; more are refused
    memory_tokens: int = 1_026_424
    step_s: float = 0.00355  # seconds per step of a batch without prompts
    answer_s: float = 0.00002  # more seconds per step for each running answer
    read_per_s: float = 157_000.0  # prompt tokens per second
    chunk_tokens: int = 1024  # maximum prompt tokens read in one step


@frozen
class EngineStop:
    """Describe engines that stop at the same time, each replaced by a new one."""

    at_s: float
    engines: tuple[int, ...]
    replaced_after_s: float


@define(eq=False)
class SimulatedCall:
    """Hold the progress of one call in the simulation."""

    number: int
    kind: str
    workspace: str
    part: str
    shared_tokens: int
    own_tokens: int
    output_tokens: int
    arrived: float  # time of the first attempt, in seconds
    retries: int = 0
    unread_tokens: int = 0  # prompt tokens still to be read
    left: int = 0  # answer tokens still to be generated
    max_output_tokens: int = 0  # as the caller states it; 0: the actual number
    length_hint: int = 0  # the caller's estimate of output tokens; 0: none
    centre: int = 0  # index of the caller's data centre
    deadline_s: float = float("inf")  # after the first attempt
    begun_at: float | None = None
    closed: bool = False  # it has an outcome

    def remaining_s(self, now: float) -> float:
        """Return the time until the deadline."""
        return self.arrived + self.deadline_s - now


@frozen
class StepResult:
    """Hold the result of one step."""

    seconds: float
    reading_s: float  # part of it in which prompts are read
    begun: tuple[SimulatedCall, ...]  # calls whose first token was generated
    done: tuple[SimulatedCall, ...]  # calls whose last token was generated


@define(eq=False)
class SimulatedEngine:
    """Run calls in steps; the caller of `step` keeps the time."""

    shape: EngineShape = field(factory=EngineShape)
    speed: float = 1.0
    waiting: deque[SimulatedCall] = field(factory=deque)
    running: list[SimulatedCall] = field(factory=list)
    read_tokens: int = 0
    reread_tokens: int = 0  # of shared parts that any engine had read before
    _cache: OrderedDict[str, int] = field(factory=OrderedDict)
    _reading: SimulatedCall | None = None

    @property
    def busy(self) -> bool:
        """Return whether any call runs or waits."""
        return bool(self.waiting or self.running or self._reading)

    @property
    def calls(self) -> int:
        """Return the number of calls that run or wait."""
        return len(self.waiting) + len(self.running) + (self._reading is not None)

    @property
    def memory_used(self) -> int:
        """Return the tokens in memory, of running calls and cached parts."""
        held = sum(row.own_tokens + row.output_tokens for row in self.running)
        return held + sum(self._cache.values())

    def unbegun_calls(self) -> list[SimulatedCall]:
        """Return the calls whose first token was not generated."""
        reading = [self._reading] if self._reading is not None else []
        return reading + list(self.waiting)

    def admit(self, call: SimulatedCall) -> bool:
        """Queue a call; return False if the engine is full."""
        if self.calls >= self.shape.slots + self.shape.queue:
            return False
        self.waiting.append(call)
        return True

    def cancel(self, call: SimulatedCall) -> None:
        """Drop a call in any state; do nothing if it isn't here."""
        if call is self._reading:
            self._reading = None
        elif call in self.running:
            self.running.remove(call)
        elif call in self.waiting:
            self.waiting.remove(call)

    def step(self, known: set[str]) -> StepResult:
        """Run one step; `known`, the parts read by any engine, gains those read now."""
        shape = self.shape
        budget = shape.chunk_tokens
        begun = []
        for row in self.running:
            row.left -= 1
        done = tuple(row for row in self.running if row.left <= 0)
        self.running = [row for row in self.running if row.left > 0]
        while budget > 0 and (call := self._next_to_read(known)) is not None:
            read = min(budget, call.unread_tokens)
            call.unread_tokens -= read
            budget -= read
            if call.unread_tokens == 0:
                self._reading = None
                self.running.append(call)
                begun.append(call)
        read = shape.chunk_tokens - budget
        self.read_tokens += read
        reading_s = read / shape.read_per_s
        seconds = shape.step_s + reading_s + shape.answer_s * len(self.running)
        speed = self.speed
        return StepResult(seconds / speed, reading_s / speed, tuple(begun), done)

    def _next_to_read(self, known: set[str]) -> SimulatedCall | None:
        if self._reading is None and self.waiting:
            if len(self.running) >= self.shape.slots:
                return None
            self._reading = self.waiting.popleft()
            self._start_reading(self._reading, known)
        return self._reading

    def _start_reading(self, call: SimulatedCall, known: set[str]) -> None:
        call.left = call.output_tokens
        call.unread_tokens = max(1, call.own_tokens)
        if not call.part:
            return
        if call.part not in self._cache:
            call.unread_tokens += call.shared_tokens
            self.reread_tokens += call.shared_tokens if call.part in known else 0
            known.add(call.part)
            self._cache[call.part] = call.shared_tokens
        self._cache.move_to_end(call.part)
        while len(self._cache) > 1 and self.memory_used > self.shape.memory_tokens:
            self._cache.popitem(last=False)
