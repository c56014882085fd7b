"""Hold the speed model and the slow-down of each engine.

Load pattern: a service has engines of unequal speed, and each is owned by another
router. A new owner that started at one speed for all would fill slow engines during a
surge. So owners report the class of each engine's speed among those of its service,
which hardly ever changes, and a new owner starts from it.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from typing import Any

from attrs import define, field, frozen

from fulmarroad.types import ServerName
from fulmarroad_serving._catalog import ServiceName
from fulmarroad_serving._load import READ_RATE_BOUNDS, Charge, ServerLoad
from fulmarroad_serving.decoding import read_int
from fulmarroad_serving.engines._pace import LONG_RATIO, USUAL_RATIO
from fulmarroad_serving.engines._pace_messages import PaceReport
from fulmarroad_serving.engines._slow_down import USUAL, SlowDown, SlowState
from fulmarroad_serving.engines._speed import EngineSpeed, ServiceSpeed

MAX_CLASS = 3
"""Largest class: 2.8 times the median speed."""

CLASS_HYSTERESIS = 0.75
"""Distance from the present class, in classes, at which it changes. Parts move when it
does, so noise at a boundary must not change it."""

MIN_MEDIAN_ENGINES = 3
"""Number of engines with a known speed from which their median says anything."""

MEDIAN_INTERVAL_S = 0.5
"""Time between two computations of a service's median speed, which hardly changes."""

REPORTED_AFTER_S = 1.0
"""Time after the last sample of this router from which another owner's class counts:
two owners may exist for a moment."""

NEVER = float("-inf")

SpeedClass = tuple[ServerName, int, int]
"""A server, the Unix time of its start in milliseconds, and the class of its speed."""


@frozen
class ReadEstimate:
    """Hold how soon an engine reads a prompt, and how fast."""

    wait_s: float
    token_s: float  # seconds per prompt token
    base_s: float


@frozen
class SlowChange:
    """Tell that a server became slow or is no longer."""

    server: ServerName
    state: SlowState  # the last one, if it is no longer slow
    ended: bool


@define
class _Engine:
    speed: EngineSpeed
    slow: SlowDown = field(factory=SlowDown)
    last: SlowState = USUAL  # as told
    own_class: int | None = None
    sampled_at: float = NEVER
    reported_at: float = NEVER
    newest: dict[str, tuple[int, int]] = field(factory=dict)
    """Incarnation and number of each router's newest report."""


@define
class _Service:
    speed: ServiceSpeed = field(factory=ServiceSpeed)
    engines: dict[ServerName, _Engine] = field(factory=dict)
    updated_at: float = NEVER


class EngineBook:
    """Estimate the reading speed of each engine."""

    def __init__(self) -> None:
        self._services: dict[ServiceName, _Service] = {}
        self._engines: dict[ServerName, _Engine] = {}
        self._slow: set[ServerName] = set()  # as told

    def estimate(
        self, service: ServiceName, server: ServerName, load: ServerLoad, now: float
    ) -> ReadEstimate:
        """Return how soon and how fast an engine would read another prompt.

        The wait doesn't include that for a free slot. The rate in `load` follows the
        model, as its sum of the peers' loads depends on it.
        """
        engine = self._engine(service, server)
        speed, answers = engine.speed, load.answering(now)
        token_s = speed.token_s(answers)
        load.read_rate, load.base_s = 1.0 / token_s, speed.base_s
        token_s *= self._state(engine, load, answers, now).factor
        return ReadEstimate(
            self._unread(speed, load, token_s, now) * token_s, token_s, speed.base_s
        )

    def unread_tokens(
        self, service: ServiceName, server: ServerName, load: ServerLoad, now: float
    ) -> float:
        """Return the tokens that an engine has to read before another prompt."""
        speed = self._engine(service, server).speed
        return self._unread(speed, load, speed.token_s(load.answering(now)), now)

    def read_rate(self, service: ServiceName, server: ServerName) -> float:
        """Return the lasting speed of an engine in tokens a second."""
        return 1.0 / self._engine(service, server).speed.lasting_token_s

    def note_begun(
        self,
        service: ServiceName,
        charge: Charge,
        load: ServerLoad,
        now: float,
        *,
        as_assumed: bool,
    ) -> None:
        """Learn from a first token of an engine that this router owns."""
        engine = self._engine(service, charge.server)
        answers = load.answering(now)
        reading = engine.speed.note_begun(
            sent_at=charge.sent_at,
            tokens=charge.tokens,
            ahead_tokens=charge.ahead_tokens,
            answers=answers,
            now=now,
            as_assumed=as_assumed,
            is_slow=engine.slow.state(now).is_slow,
            alone=load.total_running(now) == load.running,
        )
        if reading is None:
            return
        engine.sampled_at = now
        if engine.speed.established and reading.ratio >= LONG_RATIO:
            engine.slow.note_late_first_token(reading.ratio, now)
        elif reading.ratio <= USUAL_RATIO:
            engine.slow.note_usual_first_token(reading.since, now)
        load.read_rate, load.base_s = (
            1.0 / engine.speed.token_s(answers),
            engine.speed.base_s,
        )
        self._update(service, now)

    def receive_pace(
        self, service: ServiceName, report: PaceReport, now: float
    ) -> None:
        """Apply a router's report on the gaps of an engine's answers."""
        engine = self._engine(service, report.server)
        number = (report.incarnation, report.number)
        if number <= engine.newest.get(report.router, (0, 0)):
            return  # overtaken by a newer one
        engine.newest[report.router] = number
        engine.slow.note(report.router, report.factor, report.answers, now)

    def note_reported_rate(
        self, service: ServiceName, server: ServerName, rate: float, now: float
    ) -> None:
        """Store the speed that an engine's owner learned, in tokens a second."""
        engine = self._engine(service, server)
        low, high = READ_RATE_BOUNDS
        engine.speed.reported_token_s = 1.0 / min(max(low, rate), high)
        engine.speed.refresh()
        self._update(service, now)

    def note_reported_class(
        self, service: ServiceName, server: ServerName, number: int, now: float
    ) -> None:
        """Store the class that an engine's owner reported."""
        engine = self._engine(service, server)
        engine.reported_at = now
        number = min(max(number, -MAX_CLASS), MAX_CLASS)
        if engine.speed.reported_class != number:
            engine.speed.reported_class = number
            engine.speed.refresh()

    def speed_class(self, server: ServerName) -> int | None:
        """Return the class of an engine's lasting speed; None if it isn't known."""
        engine = self._engines.get(server)
        if engine is None:
            return None
        is_reported = engine.reported_at > engine.sampled_at + REPORTED_AFTER_S
        if engine.own_class is None or is_reported:
            return engine.speed.reported_class
        return engine.own_class

    def poll(
        self, server: ServerName, load: ServerLoad, now: float
    ) -> SlowChange | None:
        """Return whether a server became slow or usual since the last call."""
        engine = self._engines.get(server)
        if engine is None:
            return None
        state = self._state(engine, load, load.answering(now), now)
        if state.is_slow == engine.last.is_slow:
            return None
        last, engine.last = engine.last, state
        if state.is_slow:
            self._slow.add(server)
            return SlowChange(server, state, ended=False)
        self._slow.discard(server)
        return SlowChange(server, last, ended=True)

    def slow_servers(self) -> list[ServerName]:
        """Return the servers that were last told to be slow."""
        return sorted(self._slow)

    def forget(self, server: ServerName) -> None:
        """Drop what is known of an engine that restarted or is gone."""
        self._slow.discard(server)
        if self._engines.pop(server, None) is not None:
            for service in self._services.values():
                service.engines.pop(server, None)

    def _engine(self, service: ServiceName, server: ServerName) -> _Engine:
        engine = self._engines.get(server)
        if engine is None:
            group = self._services.setdefault(service, _Service())
            engine = self._engines[server] = _Engine(EngineSpeed(group.speed))
            group.engines[server] = engine
        return engine

    @staticmethod
    def _unread(
        speed: EngineSpeed, load: ServerLoad, token_s: float, now: float
    ) -> float:
        waiting, oldest = load.total_waiting(now), load.oldest
        if oldest is None:
            return waiting
        read = speed.read_tokens(oldest.sent_at, oldest.tokens, 1.0 / token_s, now)
        return max(0.0, waiting - read)

    @staticmethod
    def _state(
        engine: _Engine, load: ServerLoad, answers: float, now: float
    ) -> SlowState:
        oldest, overdue = load.oldest, 0.0
        if oldest is not None and engine.speed.established:
            overdue = engine.speed.overdue(oldest.sent_at, oldest.tokens, answers, now)
        return engine.slow.state(now, overdue if overdue >= LONG_RATIO else 0.0)

    def _update(self, service: ServiceName, now: float) -> None:
        """Compute the median speed and the classes, unless that was done lately."""
        group = self._services[service]
        if now - group.updated_at < MEDIAN_INTERVAL_S:
            return
        group.updated_at = now
        known = {
            name: pace
            for name, row in group.engines.items()
            if (pace := row.speed.known_token_s) is not None
        }
        group.speed.update_median(known.values())
        for row in group.engines.values():
            row.speed.refresh()
        self._update_classes(group, known)

    @staticmethod
    def _update_classes(group: _Service, known: Mapping[ServerName, float]) -> None:
        if len(known) < MIN_MEDIAN_ENGINES:
            return
        for row in group.engines.values():
            if not row.speed.established:
                continue
            exact = 2 * math.log2(group.speed.token_s / row.speed.lasting_token_s)
            present = row.own_class
            if present is None:
                present = row.speed.reported_class
            if present is None or abs(exact - present) > CLASS_HYSTERESIS:
                present = min(max(round(exact), -MAX_CLASS), MAX_CLASS)
            row.own_class = present


def read_speed_classes(rows: list[Any]) -> tuple[SpeedClass, ...]:
    """Decode classes of servers' speeds from rows.

    Raises `ValueError` or `TypeError` for rows that are not valid.
    """
    return tuple(
        (str(name), read_int(at), read_int(number)) for name, at, number in rows
    )
