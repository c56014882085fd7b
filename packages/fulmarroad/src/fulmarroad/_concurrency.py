"""Find how many requests a warm backend server bears at once, from its answers.

Pattern of load: saturation, and a backend server that is slower than its peers. With
a limit set by hand, one that is too high makes every answer of the server slow and one
that is too low leaves capacity idle while work waits; an operator would notice tokens
a second that fall while more requests run, or idle accelerators beside a queue.

An engine's answers come as fast as ever until its batch is full; past it each further
request slows all the others, and some engines lose throughput as a whole. So the limit
is moved by trials: what n requests took at one limit is compared with what they took
at the other, by Little's law. A higher limit is kept only where throughput rose, a
lower one where it hardly fell. Comparing a server with itself alone keeps a slow server
at its own best: lowering its limit would not make its answers faster.
"""

from __future__ import annotations

from attrs import define, field

from fulmarroad._tables import Pool, PoolKind

MIN_GAIN = 0.4
"""Part of a limit's rise that throughput must follow. Below the knee it follows
wholly, past it not at all; near the middle noise of either sign errs least. A little
below it, as a limit too low idles capacity and one too high only delays."""

MAX_LOSS = 0.25
"""Part of a limit's fall that throughput may follow for the lower one to be kept. Less
than `MIN_GAIN`, so that noise ends above the knee rather than below it."""

FUTILE = 0.7
"""Part of a limit's fall that throughput may follow when answers are slow. Above it
the answers became hardly faster: the server is slow by itself and keeps its best."""

PROBE_PART = 8
"""A probe moves the limit by one in so many. Smaller steps drown in noise, larger ones
step over the knee and cost more while they last."""

CLIMB_PART = 4
"""After a step that paid off the next one is larger, as is a fall for slow answers:
from a quarter of the knee to it takes seven rounds."""

FULL_PART = 8
"""A limit counts as in full use while one unit in so many is free: answers that end
together are seen before what follows them has begun."""

DECREASE = 0.7
"""Factor on errors and timeouts: halving would leave a server that met one bad caller
half idle, 0.9 would need seven rounds to come down from twice the bearable load."""

SLOW_SHARE = 0.25
"""Share of slow answers in a round that lowers the limit. The service objective is
for 95 in 100, but a round may be as short as eight answers, where one is noise."""

MIN_ROUND = 8
"""Answers in the shortest round; fewer would judge a limit by single requests."""

HOLD_ROUNDS = 16
"""Rounds between a failed trial and the next one. A failed trial costs about a seventh
of two rounds' work: less than 2% of sixteen."""

MOST_HOLD_ROUNDS = 64
"""Hold after several failed trials; at two seconds an answer two minutes, in which a
server that became faster again is found."""

CHANGED = 1.25
"""Factor by which throughput at one limit must change for a hold to end at once: the
server is another one now. More than any failed trial's noise."""

TOKENS_GAIN = 0.05
"""Gain of the mean length of answers: about the last twenty count."""


def latency_ratio(
    pool: Pool, first_s: float | None, gap_s: float | None
) -> float | None:
    """Return the worse of an answer's times as a multiple of the pool's targets."""
    parts = []
    if first_s is not None:
        parts.append(first_s / pool.first_token_target_s)
    if gap_s is not None and pool.kind is PoolKind.MODEL:
        parts.append(gap_s / pool.gap_target_s)
    return max(parts, default=None)


def is_fully_used(running: int, usable: int) -> bool:
    """Tell whether a server ran about all that it might."""
    return running >= usable - usable // FULL_PART


@define
class AnswerTimes:
    """Turn an answer's times into the seconds that one token of it took.

    Answers differ in length by far more than a trial changes their speed. The time
    to the first token counts too, spread over an answer of mean length: some engines
    queue past their batch, so that gaps stay short and first tokens come late.
    """

    pool: Pool
    _tokens: float | None = field(default=None, init=False)

    def seconds(
        self, first_s: float | None, gap_s: float | None, service: float
    ) -> float | None:
        """Return the seconds for a token, or of a plain answer, if they were seen."""
        if self.pool.kind is PoolKind.PLAIN:
            return first_s
        if self._tokens is None:
            self._tokens = service
        self._tokens += TOKENS_GAIN * (service - self._tokens)
        if gap_s is None:
            return None
        return gap_s + (first_s or 0.0) / max(1.0, self._tokens)


@define
class Round:
    """Collect answers at one limit, without the `skip` that began before it."""

    skip: int = 0
    answers: int = 0
    slow: int = 0
    full: int = 0
    _running: float = 0.0
    _seconds: float = 0.0

    @property
    def throughput(self) -> float | None:
        """Return the tokens or plain answers a second that the server gave, if seen."""
        return self._running / self._seconds if self._seconds > 0 else None

    @property
    def was_full(self) -> bool:
        """Tell whether the limit was in full use for at least half of the round."""
        return 2 * self.full >= self.answers

    @property
    def was_slow(self) -> bool:
        """Tell whether too many answers missed the pool's targets."""
        return self.slow >= SLOW_SHARE * self.answers

    def note(self, running: int, seconds: float | None, slow: bool, full: bool) -> None:
        """Add an answer; `running` counts what ran, with it."""
        if self.skip > 0:
            self.skip -= 1
            return
        self.answers += 1
        self.slow += slow
        self.full += full
        if seconds is not None and full:  # else `running` says little of its life
            self._running += max(1, running)
            self._seconds += seconds


def followed(
    low: int, low_throughput: float | None, high: int, high_throughput: float | None
) -> float:
    """Return how far throughput follows from a lower limit to a higher one.

    1 is in proportion, 0 not at all; 1 too where it was not seen, so that the pool's
    targets alone decide.
    """
    if not low_throughput or not high_throughput or high <= low:
        return 1.0
    return (high_throughput / low_throughput - 1) / (high / low - 1)


@define
class _Trial:
    limit: int  # to go back to
    throughput: float | None
    part: int
    for_slowness: bool


@define
class ConcurrencyLimit:
    """Hold the limit of one warm backend server and move it by trials."""

    pool: Pool
    limit: int
    _round: Round = field(factory=Round, init=False)
    _trial: _Trial | None = field(default=None, init=False)
    _hold: int = field(default=0, init=False)
    _next_hold: int = field(default=HOLD_ROUNDS, init=False)
    _down_next: bool = field(default=False, init=False)
    _slow_rounds: int = field(default=0, init=False)
    _slow_by_itself: bool = field(default=False, init=False)
    _usual: float | None = field(default=None, init=False)  # throughput on hold

    def restart(self, limit: int, running: int, *, hold: bool = False) -> None:
        """Begin anew at a limit found otherwise; with `hold` don't try at once.

        What runs now began under another limit and won't count.
        """
        self._trial = None
        self._next_hold = HOLD_ROUNDS
        self._hold = HOLD_ROUNDS if hold else 0
        self._usual = None
        self._set(limit, running)

    def note_failure(self, running: int) -> None:
        """Lower the limit for an error or a timeout, once for what runs now."""
        if self._round.skip > 0:
            return
        self.restart(int(self.limit * DECREASE), running, hold=True)

    def note_answer(
        self, running: int, seconds: float | None, slow: bool, full: bool
    ) -> None:
        """Count one answer; `full` says that the limit was in full use."""
        self._round.note(running, seconds, slow, full)
        if self._round.answers >= max(MIN_ROUND, self.limit):
            self._end_round(running)

    def _end_round(self, running: int) -> None:
        done = self._round
        trial, self._trial = self._trial, None
        self._slow_rounds = self._slow_rounds + 1 if done.was_slow else 0
        if trial is not None:
            self._judge(trial, done, running)
        elif not done.was_full:
            self._set(self.limit, 0)
        elif self._must_wait(done):
            self._hold -= 1
            self._set(self.limit, 0)
        else:
            self._try(done, running)

    def _must_wait(self, done: Round) -> bool:
        if self._hold == 0 or self._too_slow():
            return False
        return not self._has_changed(done)

    def _too_slow(self) -> bool:
        # The first slow round may have begun fast: nothing can be compared with it.
        return self._slow_rounds >= 2 and not self._slow_by_itself

    def _has_changed(self, done: Round) -> bool:
        usual, seen = self._usual, done.throughput
        if usual is None or seen is None:
            self._usual = seen
            return False
        slower, faster = seen * CHANGED < usual, seen > usual * CHANGED
        if not (slower or faster):
            return False
        self._next_hold = HOLD_ROUNDS
        self._down_next = slower
        return True

    def _try(self, done: Round, running: int, part: int = PROBE_PART) -> None:
        if self._down_next:
            self._slow_by_itself = False  # see again whether a lower limit helps
        too_slow = self._too_slow()
        if too_slow:
            part = CLIMB_PART
        self._trial = _Trial(self.limit, done.throughput, part, too_slow)
        step = max(1, self.limit // part)
        down = too_slow or self._down_next
        self._set(self.limit - step if down else self.limit + step, running)
        if self.limit == self._trial.limit:
            self._down_next = not down
            self._go_back(self._trial.limit, running)

    def _judge(self, trial: _Trial, done: Round, running: int) -> None:
        if not done.was_full or not self._is_better(trial, done):
            self._fail(trial, running)
            return
        self._next_hold = HOLD_ROUNDS
        self._down_next = self.limit < trial.limit
        self._try(done, running, CLIMB_PART)

    def _fail(self, trial: _Trial, running: int) -> None:
        self._slow_by_itself = self._slow_by_itself or trial.for_slowness
        self._down_next = self.limit > trial.limit
        climbed = trial.part == CLIMB_PART and not trial.for_slowness
        if climbed and trial.limit > CLIMB_PART:
            self._set(trial.limit, running)  # a smaller step may still pay off
        else:
            self._go_back(trial.limit, running)

    def _is_better(self, trial: _Trial, done: Round) -> bool:
        before, after = trial.throughput, done.throughput
        if self.limit > trial.limit:
            gain = followed(trial.limit, before, self.limit, after)
            return gain >= MIN_GAIN and not self._too_slow()
        loss = followed(self.limit, after, trial.limit, before)
        return loss < (FUTILE if trial.for_slowness else MAX_LOSS)

    def _go_back(self, limit: int, running: int) -> None:
        self._trial = None
        self._hold = self._next_hold
        self._next_hold = min(2 * self._next_hold, MOST_HOLD_ROUNDS)
        self._usual = None
        self._set(limit, running)

    def _set(self, limit: int, skip: int) -> None:
        self.limit = max(1, min(limit, self.pool.max_concurrency))
        self._round = Round(skip)
