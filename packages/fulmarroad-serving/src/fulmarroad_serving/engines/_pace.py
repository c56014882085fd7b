"""Notice from the gaps between events that an engine is slow.

Load pattern: an engine slows down for half a second, and its owner sees no first token
in that time. Every router has answers running at some engines, and all answers of an
engine pause together, as each step generates a token for each of them.

Prompts that are read make steps longer as well, so the usual gap of a server is a high
quantile of the time spent in gaps. A gap only counts if this router was on time itself
and the caller took the previous event at once.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Hashable

from attrs import define, field, frozen

from fulmarroad.types import ServerName

SCAN_S = 0.03
"""Time between two looks for answers that pause. Together with the event that is late,
it leaves most of the 0.15 s in which an owner has to know."""

MAX_LATE_S = 0.015
"""Delay of the event loop above which no gap counts: the events may have arrived in
time. A gap beside prompts lasts ten times as long."""

USUAL_QUANTILE = 0.8
"""Fraction of the running time that is spent in gaps up to the usual one. An engine
that is asked for prompts reads them for more than a fifth of the time, and is slow for
less than a fifth."""

USUAL_MEMORY_S = 4.0
"""Running time in which the usual gap adapts."""

MIN_LEARNED_S = 0.5
"""Running time of answers before which no gap counts as long."""

LONG_RATIO = 1.8
"""Multiple of the usual gap from which a gap is long: a step is at most twice as long
beside a prompt, and the quantile includes most of these."""

SILENT_RATIO = 1.25
SILENCE_RATIO = 2.2
"""If all answers of a server are silent for this multiple of the usual silence, and at
least two of them for this multiple of their usual gap, the gaps count as long already.
"""

USUAL_RATIO = 1.4
"""Multiple of the usual gap up to which a gap counts as usual again."""

MAX_GROUP = 8
"""Number of running answers above which silences are learned together."""

REPEAT_S = 0.1
"""Time between two reports of a slow-down, so that a lost one does little harm."""

LONG_LIFE_S = 0.3
"""Time for which a long gap that has ended is evidence."""

MAX_FACTOR = 4.0

MIN_GAP_S = 0.001
"""Shortest gap between two steps of an engine; events at a shorter interval were
delayed together."""

NOT_WAITING = float("inf")

_Answer = Hashable


@define
class UsualGap:
    """Learn a quantile of gaps, each weighted by its length."""

    seconds: float = 0.0
    _learned_s: float = 0.0

    @property
    def known(self) -> bool:
        """Return whether enough was learned to judge a gap."""
        return self._learned_s >= MIN_LEARNED_S

    def note(self, gap_s: float, answers: int = 1) -> None:
        """Learn from a gap of one of a number of answers that run side by side."""
        if not self.seconds:
            self.seconds = gap_s
        weight_s = min(gap_s, MAX_FACTOR * self.seconds) / answers
        memory_s = min(USUAL_MEMORY_S, self._learned_s + MIN_LEARNED_S)
        if gap_s > self.seconds:
            step = weight_s / memory_s * USUAL_QUANTILE
            step = min(step, math.log(gap_s / self.seconds))
        else:
            step = -weight_s / memory_s * (1.0 - USUAL_QUANTILE)
        self.seconds *= math.exp(step)
        self._learned_s += gap_s / answers


@frozen
class PaceFinding:
    """Hold by how much answers of a server pause longer than usual; 1: not any more."""

    factor: float
    answers: int


@define
class _Progress:
    last_at: float = NOT_WAITING  # time of its last event, once the caller took it
    long_in_row: int = 0
    ratio: float = 1.0  # of the last long gap
    long_at: float = float("-inf")


@define
class PaceMonitor:
    """Watch the answers of one server that run through this router."""

    usual: UsualGap = field(factory=UsualGap)
    is_slow: bool = False
    _silences: dict[int, UsualGap] = field(factory=dict)
    _answers: dict[_Answer, _Progress] = field(factory=dict)
    _last_event_at: float = 0.0
    _slow_since: float = 0.0
    _usual_gaps: int = 0  # since the last long one
    _reported_at: float = float("-inf")

    @property
    def running(self) -> int:
        """Return the number of answers that are watched."""
        return len(self._answers)

    def begin(self, answer: _Answer, now: float) -> None:
        """Watch an answer from its first event."""
        self._answers[answer] = _Progress()
        self._last_event_at = now

    def await_next(self, answer: _Answer, since: float) -> None:
        """Begin a gap, once the caller took the last event."""
        row = self._answers.get(answer)
        if row is not None:
            row.last_at = since

    def end(self, answer: _Answer) -> None:
        """Stop watching an answer."""
        self._answers.pop(answer, None)
        if not self._answers:
            self.is_slow = False

    def note_event(self, answer: _Answer, now: float) -> None:
        """Record an event of an answer that is watched, and end its gap."""
        row = self._answers.get(answer)
        if row is None:
            return
        self._learn_silence(now)
        gap_s, since = now - row.last_at, row.last_at
        row.last_at = NOT_WAITING
        if gap_s < MIN_GAP_S:
            return
        usual = self.usual
        if usual.known and gap_s > LONG_RATIO * usual.seconds:
            row.long_in_row += 1
            row.ratio, row.long_at = gap_s / usual.seconds, now
            self._usual_gaps = 0
        else:
            row.long_in_row = 0
            self._note_usual(gap_s, since)
        usual.note(gap_s, len(self._answers))

    def restart_gaps(self, now: float) -> None:
        """Forget the gaps that are under way, as this router was late itself."""
        for row in self._answers.values():
            row.long_in_row, row.long_at = 0, float("-inf")
            if row.last_at < now:
                row.last_at = now
        self._last_event_at = now
        self.is_slow = False

    def look(self, now: float) -> PaceFinding | None:
        """Return what is to be reported now, None if nothing is."""
        found = self._long_gaps(now) or self._silence(now)
        if found is None:
            if self.is_slow and self._usual_gaps >= min(2, len(self._answers)):
                self.is_slow = False
                return PaceFinding(1.0, 0)
            return None
        if not self.is_slow:
            self.is_slow, self._slow_since = True, now
        elif now - self._reported_at < REPEAT_S:
            return None
        self._usual_gaps = 0
        self._reported_at = now
        return found

    def _note_usual(self, gap_s: float, since: float) -> None:
        """Count a usual gap; gaps that began before a slow-down was noticed don't."""
        if gap_s > USUAL_RATIO * self.usual.seconds or since < self._slow_since:
            return
        self._usual_gaps += 1
        if self._usual_gaps >= min(2, len(self._answers)):
            for row in self._answers.values():
                row.long_at = float("-inf")

    def _long_gaps(self, now: float) -> PaceFinding | None:
        """Return the answers with long gaps; two long gaps in a row count as two.

        One answer alone is reported as well: another router may see a second one.
        """
        if not self.usual.known:
            return None
        usual_s = self.usual.seconds
        ratios: list[float] = []
        gaps = 0
        for row in self._answers.values():
            ratio = (now - row.last_at) / usual_s
            waits = ratio > LONG_RATIO
            ended = now - row.long_at < LONG_LIFE_S
            if waits or ended:
                ratios.append(max(ratio if waits else 0.0, row.ratio if ended else 0.0))
                gaps = max(gaps, waits + row.long_in_row)
        if not ratios or (len(ratios) == 1 and len(self._answers) > 1):
            return None  # the other answers go on as usual
        ratios.sort()
        factor = min(ratios[len(ratios) // 2], MAX_FACTOR)
        return PaceFinding(factor, max(len(ratios), min(gaps, 2)))

    def _silence(self, now: float) -> PaceFinding | None:
        """Return a silence of all answers that is longer than any usual one."""
        group = self._silences.get(min(len(self._answers), MAX_GROUP))
        if group is None or not group.known or not self.usual.known:
            return None
        ratio = (now - self._last_event_at) / group.seconds
        if ratio < SILENCE_RATIO:
            return None
        silent_s = SILENT_RATIO * self.usual.seconds
        silent = sum(now - row.last_at > silent_s for row in self._answers.values())
        if silent < 2:
            return None
        return PaceFinding(min(ratio, MAX_FACTOR), silent)

    def _learn_silence(self, now: float) -> None:
        silence_s, self._last_event_at = now - self._last_event_at, now
        if len(self._answers) < 2 or silence_s <= 0:
            return
        group = min(len(self._answers), MAX_GROUP)
        self._silences.setdefault(group, UsualGap()).note(silence_s)


class PaceBook:
    """Watch the running answers of this router, by server."""

    def __init__(self) -> None:
        self._monitors: dict[ServerName, PaceMonitor] = {}
        self._scanned_at = float("-inf")
        self.on_begin: Callable[[], None] = lambda: None
        """Called when an answer begins and none was watched."""

    @property
    def has_answers(self) -> bool:
        """Return whether any answer is watched."""
        return any(row.running for row in self._monitors.values())

    def begin(self, server: ServerName, answer: _Answer, now: float) -> None:
        """Watch an answer from its first event."""
        if not self.has_answers:
            self._scanned_at = now
            self.on_begin()
        monitor = self._monitors.get(server)
        if monitor is None:
            monitor = self._monitors[server] = PaceMonitor()
        monitor.begin(answer, now)

    def note_event(self, server: ServerName, answer: _Answer, now: float) -> None:
        """Record an event; do nothing for an answer that is not watched."""
        monitor = self._monitors.get(server)
        if monitor is not None:
            self._check_lateness(now)
            monitor.note_event(answer, now)

    def await_next(
        self, server: ServerName, answer: _Answer, arrived_at: float, now: float
    ) -> None:
        """Begin a gap after the caller took an event.

        The gap begins when the event arrived if the caller took it at once, else now:
        meanwhile the server's events were not read.
        """
        monitor = self._monitors.get(server)
        if monitor is not None:
            was_slow = now - arrived_at > MAX_LATE_S
            monitor.await_next(answer, now if was_slow else arrived_at)

    def end(self, server: ServerName, answer: _Answer) -> None:
        """Stop watching an answer."""
        monitor = self._monitors.get(server)
        if monitor is not None:
            monitor.end(answer)

    def forget(self, server: ServerName) -> None:
        """Drop what is known of a server that restarted."""
        self._monitors.pop(server, None)

    def scan(self, now: float) -> list[tuple[ServerName, PaceFinding]]:
        """Return what is to be reported; to be called every `SCAN_S`."""
        self._check_lateness(now)
        self._scanned_at = now
        found = []
        for server, monitor in self._monitors.items():
            finding = monitor.look(now) if monitor.running else None
            if finding is not None:
                found.append((server, finding))
        return found

    def _check_lateness(self, now: float) -> None:
        """Restart all gaps if the last scan is overdue, as this router was paused."""
        if now - self._scanned_at > SCAN_S + MAX_LATE_S:
            for monitor in self._monitors.values():
                monitor.restart_gaps(now)
            self._scanned_at = now
