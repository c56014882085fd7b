"""Run the engines of a simulated day and tell the routers what becomes of calls."""

from __future__ import annotations

from collections.abc import Sequence
from functools import partial
from typing import Protocol

from attrs import define, field, frozen

from fulmarroad_bench._lab_engine import (
    EngineShape,
    EngineStop,
    SimulatedCall,
    SimulatedEngine,
    StepResult,
)
from fulmarroad_bench._lab_events import EventQueue
from fulmarroad_bench._lab_slowdowns import SlowdownSchedule
from fulmarroad_serving import SendOutcome

NETWORK_DELAY_S = 0.0015
"""Seconds that a message takes from a router to an engine or back."""

REMOVAL_S = 3.6
"""Seconds after which the entry of a stopped engine is removed: three heartbeats."""

ENGINE_FULL_RETRY_S = 0.5
"""Retry delay after a refusal by a full engine."""


class EngineListener(Protocol):
    """Receive what the engines report, as the routers see it."""

    def begin(self, call: SimulatedCall) -> None:
        """Receive the first token of an answer."""

    def finish(self, call: SimulatedCall) -> None:
        """Receive the last token of an answer."""

    def refused_by_engine(self, call: SimulatedCall, retry_after_s: float) -> None:
        """Receive the refusal of a full engine."""

    def lose(
        self,
        call: SimulatedCall,
        server: str,
        outcome: SendOutcome = SendOutcome.UNKNOWN,
    ) -> None:
        """Learn that an engine stopped before a call began."""

    def end(self, call: SimulatedCall, outcome: SendOutcome | None) -> None:
        """Learn that an answer broke off."""

    def add_server(self, server: str, shape: EngineShape) -> None:
        """Learn that an engine has started."""

    def remove_server(self, server: str) -> None:
        """Learn that an engine's registration expired."""


@frozen
class EngineState:
    """Hold the state of an engine at the time when a call is sent to it."""

    speed: float  # lasting, as a multiple of the stated speed
    slowdown: float  # factor on the time of a step at present
    running: int  # answers
    waiting: int  # prompts that are not completely read


@define
class EngineSide:
    """Hold the engines and run their steps as timed events."""

    events: EventQueue
    listener: EngineListener
    engines: dict[str, SimulatedEngine] = field(factory=dict)
    slowdowns: SlowdownSchedule | None = None
    seconds: float = float("inf")  # of the day, in which reading time is counted
    samples: list[tuple[float, int, float]] = field(factory=list)
    reading_s: float = 0.0
    """Time that all engines spent reading prompts, until the end of the day."""
    _known_parts: set[str] = field(factory=set)
    _stepping: set[str] = field(factory=set)

    def reach(self, call: SimulatedCall, server: str) -> None:
        """Deliver a call to an engine."""
        if call.closed:
            return
        if server not in self.engines:
            self.listener.lose(call, server, SendOutcome.NOT_SENT)
        elif not self.engines[server].admit(call):
            self.listener.refused_by_engine(call, ENGINE_FULL_RETRY_S)
        elif server not in self._stepping:
            self._stepping.add(server)
            self._step(server)

    def cancel(self, call: SimulatedCall, server: str) -> None:
        """Drop a call whose caller has left."""
        engine = self.engines.get(server)
        if engine is not None:
            engine.cancel(call)

    def state(self, server: str) -> EngineState | None:
        """Return the state of an engine, None if it has stopped."""
        engine = self.engines.get(server)
        if engine is None:
            return None
        running = len(engine.running)
        slowdown = self._slowdown(server)
        return EngineState(engine.speed, slowdown, running, engine.calls - running)

    def sample(self) -> None:
        """Record how many calls wait at engines and how full their memory is."""
        rows = self.engines.values()
        waiting = sum(len(row.waiting) for row in rows)
        used = sum(row.memory_used / row.shape.memory_tokens for row in rows)
        self.samples.append((self.events.now, waiting, used / len(rows)))

    def schedule_stops(self, stops: Sequence[EngineStop]) -> None:
        """Let engines stop, and others take their place later."""
        for stop in stops:
            self.events.at(stop.at_s, partial(self._stop, stop))

    def _stop(self, stop: EngineStop) -> None:
        now = self.events.now
        for number in stop.engines:
            server = f"e{number}"
            engine = self.engines.pop(server)
            for call in engine.unbegun_calls():
                lose = partial(self.listener.lose, call, server)
                self.events.at(now + NETWORK_DELAY_S, lose)
            for call in engine.running:
                self.listener.end(call, SendOutcome.UNKNOWN)
            remove = partial(self.listener.remove_server, server)
            self.events.at(now + REMOVAL_S, remove)
            start = partial(self._start, f"{server}-new", engine.shape)
            self.events.at(now + stop.replaced_after_s, start)

    def _start(self, server: str, shape: EngineShape) -> None:
        """Start an engine without any cached part."""
        self.engines[server] = SimulatedEngine(shape)
        self.listener.add_server(server, shape)

    def _step(self, server: str) -> None:
        engine = self.engines.get(server)
        if engine is None or not engine.busy:
            self._stepping.discard(server)
            return
        slowdown = self._slowdown(server)
        result = engine.step(self._known_parts)
        if self.events.now < self.seconds:
            self.reading_s += result.reading_s * slowdown
        self._report(result, self.events.now + result.seconds * slowdown)
        end = self.events.now + result.seconds * slowdown
        self.events.at(end, partial(self._step, server))

    def _report(self, result: StepResult, end: float) -> None:
        for call in result.begun:
            self.events.at(end + NETWORK_DELAY_S, partial(self.listener.begin, call))
        for call in result.done:
            self.events.at(end + NETWORK_DELAY_S, partial(self.listener.finish, call))

    def _slowdown(self, server: str) -> float:
        if self.slowdowns is None:
            return 1.0
        number = int(server.removeprefix("e").partition("-")[0])
        return self.slowdowns.factor(number, self.events.now)
