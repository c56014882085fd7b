"""Compare forms of evidence on which part of prompts crashes servers.

    python -m fulmarroad_bench.crash_evidence --seeds 5

A model of servers and calls in virtual time, in which all routers know the same at
once. Prints, for each form and situation, how many servers the crashing part ended, and
how many sound calls were held back.
"""

from __future__ import annotations

import heapq
import itertools
import json
import random
from collections.abc import Callable
from typing import Protocol

import fire
from attrs import asdict, define, field, frozen

from fulmarroad_serving._suspects import (
    MAX_SUSPECT_ANSWERING_S,
    Suspects,
    SuspectState,
)

SERVERS = 24
SOUND_PER_S = 100.0
CRASHING_PER_S = 2.0
CALM_S = 5.0
TROUBLE_S = 25.0
WAIT_S = 0.1
ANSWER_S = 1.0
CRASH_S = 0.08
"""Time from the begin of an answer to the crash."""

RESTART_S = 3.0
COUNT = 3
COUNT_WINDOW_S = 10.0
WEIGHT = 1.0
"""Sum of the parts of crashes from which a suspect is barred, weighed by company."""

BAD = "bad"

Parts = tuple[str, ...]


class Form(Protocol):
    """Decide from crashes and good runs which calls may be sent."""

    def may_send(self, names: Parts, now: float) -> bool:
        """Return whether a call with these suspects may be sent."""

    def note_crash(self, names: Parts, crash: int, company: int, now: float) -> None:
        """Record a call that a crash broke, one of `company` such calls."""

    def note_good_run(self, names: Parts, started_at: float, now: float) -> None:
        """Record a call that ran well."""


@define
class CountOfThree:
    """Bar what was at three crashes, none of them soon after a good run."""

    whole_requests_only: bool = False
    _crashes: dict[str, dict[int, float]] = field(factory=dict)
    _good_at: dict[str, float] = field(factory=dict)

    def may_send(self, names: Parts, now: float) -> bool:
        """Return whether no suspect of a call has three crashes."""
        return all(len(self._crashes.get(name, ())) < COUNT for name in self._of(names))

    def note_crash(self, names: Parts, crash: int, company: int, now: float) -> None:
        """Count a crash for each suspect of a call."""
        for name in self._of(names):
            if now > self._good_at.get(name, -COUNT_WINDOW_S) + COUNT_WINDOW_S:
                self._crashes.setdefault(name, {})[crash] = now

    def note_good_run(self, names: Parts, started_at: float, now: float) -> None:
        """Clear each suspect of a call."""
        for name in self._of(names):
            self._crashes.pop(name, None)
            self._good_at[name] = now

    def _of(self, names: Parts) -> Parts:
        return names[:1] if self.whole_requests_only else names


@define
class WeighedByCompany:
    """Bar what was at crashes that broke few other calls; a good run clears it."""

    _weights: dict[str, dict[int, float]] = field(factory=dict)

    def may_send(self, names: Parts, now: float) -> bool:
        """Return whether the weights of no suspect of a call add up to the limit."""
        return all(sum(self._weights.get(name, {}).values()) < WEIGHT for name in names)

    def note_crash(self, names: Parts, crash: int, company: int, now: float) -> None:
        """Add a crash for each suspect of a call."""
        for name in names:
            self._weights.setdefault(name, {})[crash] = 1.0 / company

    def note_good_run(self, names: Parts, started_at: float, now: float) -> None:
        """Clear each suspect of a call."""
        for name in names:
            self._weights.pop(name, None)


@define
class Explained:
    """Bar the fewest suspects that explain the crashes, as routers do."""

    _suspects: Suspects = field(factory=Suspects)

    def may_send(self, names: Parts, now: float) -> bool:
        """Return whether no suspect of a call is barred, or held back by a trial."""
        self._suspects.pop_updates(0, now)
        keys = [name.encode() for name in names]
        state = self._suspects.suspicion_of(keys, 1, now).state
        if state is SuspectState.BARRED:
            return False
        return not any(
            self._suspects.suspect_state(key, now) is not SuspectState.CLEAR
            and self._suspects.is_running(key, now)
            for key in keys
        )

    def note_crash(self, names: Parts, crash: int, company: int, now: float) -> None:
        """Count a crash for each suspect of a call."""
        for name in names:
            self._suspects.note_crash(name.encode(), crash, now, caller=1)

    def note_good_run(self, names: Parts, started_at: float, now: float) -> None:
        """Clear each suspect of a call."""
        for name in names:
            self._suspects.note_success(name.encode(), now, started_at)


FORMS: dict[str, Callable[[], Form]] = {
    "whole requests": lambda: CountOfThree(whole_requests_only=True),
    "count of three": CountOfThree,
    "weighed by company": WeighedByCompany,
    "explained": Explained,
}


@frozen
class Situation:
    """Describe what happens beside the sound calls."""

    place: int = 1  # of the crashing part
    per_s: float = CRASHING_PER_S
    companion: bool = False  # another part comes with each crashing one
    turns_bad: bool = False  # sound calls had it before
    uptime_s: float = 600.0  # mean time until a server crashes by itself
    at_once: int = 1  # servers that crash together then


SITUATIONS = {
    "part in the middle": Situation(),
    "part first": Situation(place=0),
    "beside a companion": Situation(companion=True),
    "turns bad": Situation(turns_bad=True),
    "servers end each 2 s": Situation(uptime_s=48.0),
    "no crashing part, servers end each 0.4 s": Situation(per_s=0.0, uptime_s=9.6),
    "no crashing part, three end at once": Situation(
        per_s=0.0, uptime_s=60.0, at_once=3
    ),
}


@define(eq=False)
class _Call:
    names: Parts
    crashing: bool
    tries: int = 0
    sent_at: float = 0.0
    good: bool = False


@define
class Outcome:
    """Count what became of servers and calls."""

    crashes: int = 0  # by the part
    sound_held_back: int = 0
    sound_sent: int = 0
    parts_held_back: set[str] = field(factory=set)


class Model:
    """Run calls on servers that crash, under one form of evidence."""

    def __init__(self, form: Form, situation: Situation, seed: int) -> None:
        self.outcome = Outcome()
        self._form = form
        self._situation = situation
        self._random = random.Random(seed)
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count(1)
        self._running: dict[int, dict[_Call, None]] = {n: {} for n in range(SERVERS)}
        self._down: set[int] = set()
        self._bad = False
        self.now = 0.0

    def run(self) -> Outcome:
        """Run the calm and the trouble, and return what was counted."""
        self._repeat(SOUND_PER_S, self._send_sound)
        if self._situation.per_s:
            self._at(CALM_S, self._begin_trouble)
        self._repeat(SERVERS / self._situation.uptime_s, self._end_servers, CALM_S)
        while self._events:
            self.now, _, step = heapq.heappop(self._events)
            if self.now > CALM_S + TROUBLE_S:
                break
            step()
        return self.outcome

    def _at(self, at: float, step: Callable[[], None]) -> None:
        heapq.heappush(self._events, (at, next(self._numbers), step))

    def _repeat(
        self, per_s: float, step: Callable[[], None], start: float = 0.0
    ) -> None:
        def again() -> None:
            step()
            self._at(self.now + self._random.expovariate(per_s), again)

        self._at(start + self._random.expovariate(per_s), again)

    def _begin_trouble(self) -> None:
        self._bad = True
        self._repeat(self._situation.per_s, self._send_crashing, self.now)

    def _sound_parts(self) -> list[str]:
        middle = min(19, int(self._random.expovariate(0.25)))
        parts = [
            f"first-{self._random.randrange(3)}",
            f"middle-{middle}",
            f"last-{self._random.randrange(180)}",
        ]
        if self._situation.turns_bad and self._random.random() < 0.02:
            parts[self._situation.place] = BAD
        if self._situation.companion and self._random.random() < 0.02:
            parts[2] = "companion"
        return parts

    def _send_sound(self) -> None:
        parts = self._sound_parts()
        crashing = self._bad and BAD in parts
        self._send(_Call((f"r{next(self._numbers)}", *parts), crashing))

    def _send_crashing(self) -> None:
        parts = self._sound_parts()
        parts[self._situation.place] = BAD
        if self._situation.companion:
            parts[2] = "companion"
        self._send(_Call((f"r{next(self._numbers)}", *parts), crashing=True))

    def _send(self, call: _Call) -> None:
        up = [n for n in self._running if n not in self._down]
        if not up:
            return
        if not self._form.may_send(call.names, self.now):
            if not call.crashing:
                self.outcome.sound_held_back += 1
                self.outcome.parts_held_back |= set(call.names[1:])
            return
        call.tries += 1
        self.outcome.sound_sent += not call.crashing
        server = self._random.choice(up)
        call.sent_at = self.now
        self._running[server][call] = None
        tries = call.tries
        begun_at = self.now + WAIT_S * self._random.uniform(0.5, 2.0)
        if call.crashing:
            self._at(begun_at + CRASH_S, lambda: self._crash_by(server, call, tries))
        else:
            good_at = begun_at + MAX_SUSPECT_ANSWERING_S
            self._at(good_at, lambda: self._note_good(server, call, tries, begun_at))
            self._at(begun_at + ANSWER_S, lambda: self._end(server, call, tries))

    def _is_running(self, server: int, call: _Call, tries: int) -> bool:
        return call in self._running[server] and call.tries == tries

    def _note_good(self, server: int, call: _Call, tries: int, begun_at: float) -> None:
        if self._is_running(server, call, tries):
            call.good = True
            self._form.note_good_run(call.names, begun_at, self.now)

    def _end(self, server: int, call: _Call, tries: int) -> None:
        if self._is_running(server, call, tries):
            del self._running[server][call]

    def _crash_by(self, server: int, call: _Call, tries: int) -> None:
        if self._is_running(server, call, tries):
            self.outcome.crashes += 1
            self._crash(server)

    def _end_servers(self) -> None:
        up = [n for n in self._running if n not in self._down]
        for server in self._random.sample(up, min(self._situation.at_once, len(up))):
            self._crash(server)

    def _crash(self, server: int) -> None:
        lost, self._running[server] = self._running[server], {}
        self._down.add(server)
        self._at(self.now + RESTART_S, lambda: self._down.discard(server))
        crash = next(self._numbers)
        accused = [call for call in lost if not call.good]
        for call in accused:
            self._form.note_crash(call.names, crash, len(accused), self.now)
        for call in lost:
            call.good = False
            if call.tries < 2:
                self._send(call)


@frozen
class Row:
    """Hold the means of some runs."""

    situation: str
    form: str
    crashes: float
    sound_held_back_per_1000: float
    parts_held_back: float


def compare(situation: str, form: str, seeds: int) -> Row:
    """Run one form in one situation several times."""
    outcomes = [
        Model(FORMS[form](), SITUATIONS[situation], seed).run() for seed in range(seeds)
    ]
    held = sum(row.sound_held_back for row in outcomes)
    asked = held + sum(row.sound_sent for row in outcomes)
    return Row(
        situation,
        form,
        sum(row.crashes for row in outcomes) / seeds,
        round(1000 * held / max(1, asked), 2),
        sum(len(row.parts_held_back) for row in outcomes) / seeds,
    )


def main(seeds: int = 5) -> None:
    """Print a line for each form in each situation."""
    for situation in SITUATIONS:
        for form in FORMS:
            print(json.dumps(asdict(compare(situation, form, seeds))))


if __name__ == "__main__":
    fire.Fire(main)
