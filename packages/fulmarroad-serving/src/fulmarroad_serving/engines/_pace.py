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

MIN_LEARNED_S = 3.0
"""Running time of answers before which no gap counts as long."""

LONG_RATIO = 1.8
"""Multiple of the usual gap from which a gap is long: a step is at most twice as long
beside a prompt, and the quantile includes most of these."""

USUAL_RATIO = 1.25
"""Multiple of the usual gap up to which a gap is usual. Gaps between the two multiples
are weak evidence, of which an owner needs more."""

REPEAT_S = 0.1
"""Time between two reports of a slow-down, so that a lost one does little harm."""

MAX_FACTOR = 4.0

MIN_GAP_S = 0.001
"""Shortest gap between two steps of an engine; events at a shorter interval were
delayed together."""

NOT_WAITING = float("inf")
NEVER = float("-inf")

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
        weight_s, was_known = gap_s / answers, self.known
        self._learned_s += weight_s
        if not was_known:
            self.seconds = max(self.seconds, gap_s)
            return
        most = math.log(gap_s / self.seconds)
        if gap_s > self.seconds:
            step = min(gap_s, LONG_RATIO * self.seconds) / answers * USUAL_QUANTILE
            step = min(step / USUAL_MEMORY_S, most)
        else:
            # Gaps without prompts are short and many: beside those with prompts, they
            # count by their length once more.
            weight_s *= gap_s / self.seconds
            step = max(-weight_s * (1.0 - USUAL_QUANTILE) / USUAL_MEMORY_S, most)
        self.seconds *= math.exp(step)


@frozen
class PaceFinding:
    """Hold by how much answers of a server pause longer than usual; 1: not any more."""

    factor: float
    answers: int

    @property
    def is_weak(self) -> bool:
        """Return whether the gaps are only somewhat longer than usual."""
        return self.factor < LONG_RATIO


@define
class _Progress:
    last_at: float = NOT_WAITING  # time of its last event, once the caller took it
    longer: int = 0  # gaps in a row
    ratio: float = 0.0  # of the longest of them to the usual gap


@define
class PaceMonitor:
    """Watch the answers of one server that run through this router."""

    usual: UsualGap = field(factory=UsualGap)
    _answers: dict[_Answer, _Progress] = field(factory=dict)
    _reported: PaceFinding | None = None  # last, while the server seems to be slow
    _reported_at: float = NEVER
    _slow_since: float = NEVER
    _usual_gaps: int = 0  # since a longer one

    @property
    def running(self) -> int:
        """Return the number of answers that are watched."""
        return len(self._answers)

    def begin(self, answer: _Answer) -> None:
        """Watch an answer from its first event."""
        self._answers[answer] = _Progress()

    def await_next(self, answer: _Answer, since: float) -> None:
        """Begin a gap, once the caller took the last event."""
        row = self._answers.get(answer)
        if row is not None:
            row.last_at = since

    def end(self, answer: _Answer) -> None:
        """Stop watching an answer."""
        self._answers.pop(answer, None)
        if not self._answers:
            self._reported = None

    def note_event(self, answer: _Answer, now: float) -> None:
        """Record an event of an answer that is watched, and end its gap."""
        row = self._answers.get(answer)
        if row is None:
            return
        gap_s, since = now - row.last_at, row.last_at
        row.last_at = NOT_WAITING
        if gap_s < MIN_GAP_S:
            return
        if self.usual.known and gap_s > USUAL_RATIO * self.usual.seconds:
            row.longer += 1
            row.ratio = max(row.ratio, gap_s / self.usual.seconds)
            self._usual_gaps = 0
        elif since >= self._slow_since:
            self._note_usual()
        self.usual.note(gap_s, len(self._answers))

    def restart_gaps(self, now: float) -> None:
        """Forget the gaps that are under way, as this router was late itself."""
        for row in self._answers.values():
            row.longer, row.ratio = 0, 0.0
            if row.last_at < now:
                row.last_at = now
        self._reported = None

    def look(self, now: float) -> PaceFinding | None:
        """Return what is to be reported now, None if nothing is."""
        found, last = self._longer_gaps(now), self._reported
        if found is None:
            self._reported = None
            is_over = last is not None and self._usual_gaps > 0
            return PaceFinding(1.0, 0) if is_over else None
        if last is None:
            self._slow_since = now
        elif now - self._reported_at < REPEAT_S and (
            found.is_weak or (not last.is_weak and last.answers > 1)
        ):
            return None
        self._reported, self._reported_at = found, now
        return found

    def _note_usual(self) -> None:
        """Count a usual gap that began after a slow-down was noticed.

        Two of them end it, as gaps may end together after a pause of the network.
        """
        self._usual_gaps += 1
        if self._usual_gaps >= min(2, len(self._answers)):
            for row in self._answers.values():
                row.longer, row.ratio = 0, 0.0

    def _longer_gaps(self, now: float) -> PaceFinding | None:
        """Return the answers whose gaps are longer than usual.

        Two gaps in a row count as two answers. One answer alone is reported if no
        other one runs here: another router may see a second one.
        """
        if not self.usual.known:
            return None
        ratios: list[float] = []
        gaps = 0
        for row in self._answers.values():
            waits = (now - row.last_at) / self.usual.seconds
            longer = row.longer + (waits > USUAL_RATIO)
            if longer:
                ratios.append(max(row.ratio, waits))
                gaps = max(gaps, longer)
        if not ratios or (len(ratios) == 1 and len(self._answers) > 1):
            return None
        return _summary(ratios, extra=1 if len(ratios) == 1 and gaps > 1 else 0)


def _summary(ratios: list[float], extra: int) -> PaceFinding:
    """Return the finding from the answers with long gaps if two are, else from all."""
    long = [ratio for ratio in ratios if ratio > LONG_RATIO]
    rows = sorted(long if len(long) + extra > 1 else ratios)
    factor = min(rows[len(rows) // 2], MAX_FACTOR)
    return PaceFinding(factor, len(rows) + extra)


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
        monitor.begin(answer)

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
