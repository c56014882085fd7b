"""Concurrency limit of a warm backend server, derived from its answers.

It handles saturation and backend servers that are slower than their peers. A fixed
limit that is too high makes all answers of the server slow, and one that is too low
leaves capacity idle while requests wait; operators would see throughput fall while more
requests run, or idle accelerators next to a queue.

The speed of an engine's answers is constant until its batch is full. Beyond it each
further request slows down all others, and some engines lose total throughput. So the
limit is adjusted by trials, which compare the throughput at two limits by Little's
law. A higher limit is kept only if throughput rose, a lower one if it hardly fell. A
server is compared only with itself, so a slow server keeps its own best limit:
lowering the limit would not make its answers faster.
"""

from __future__ import annotations

from attrs import define, field

from fulmarroad._tables import Pool, PoolKind

MIN_GAIN = 0.4
"""Minimum relative gain in throughput at which a higher limit is kept.

The gain is 1 below the knee, where the batch is full, and 0 above it, so a threshold
near the middle is least sensitive to noise. It is a little lower, because a limit that
is too low leaves capacity idle and one that is too high only adds delay.
"""

MAX_LOSS = 0.25
"""Relative loss of throughput below which a lower limit is kept.

It is less than `MIN_GAIN`, so that noise leaves the limit above the knee rather than
below it.
"""

MAX_SLOW_LOSS = 0.7
"""Relative loss of throughput below which a lower limit is kept when answers are slow.

At a greater loss the answers hardly became faster: the server is slow at any limit and
keeps its best one.
"""

TRIAL_DIVISOR = 8
"""Divisor of the limit that gives the step of a first trial.

The effect of smaller steps is lost in noise. Larger ones step over the knee and cost
more while they last.
"""

CLIMB_DIVISOR = 4
"""Divisor of the limit for the larger step after a success or because of slow answers.

With it the limit rises from a quarter of the knee to the knee in seven rounds.
"""

FULL_USE_DIVISOR = 8
"""Divisor of the usable units that gives how many may be free in full use.

Answers that end together are seen before the next requests begin.
"""

FAILURE_FACTOR = 0.7
"""Factor applied to the limit on errors and timeouts.

0.5 would leave a server half idle because of one bad caller. 0.9 would need seven
rounds to come down from twice the load that the server can bear.
"""

SLOW_SHARE = 0.25
"""Share of slow answers in a round that makes the round slow.

The service objective is for 95 in 100 answers, but a round may have only eight, of
which one slow answer is noise.
"""

MIN_ROUND = 8
"""Minimum answers in a round; with fewer, single requests would determine a limit."""

HOLD_ROUNDS = 16
"""Rounds between a failed trial and the next one.

A failed trial costs about a seventh of the work of two rounds, less than 2% of the
work of sixteen.
"""

MAX_HOLD_ROUNDS = 64
"""Maximum number of rounds between trials, reached after several failed ones.

At two seconds per answer these are two minutes, after which a server that became
faster is detected.
"""

CHANGE_FACTOR = 1.25
"""Factor of change in throughput at one limit that ends a hold at once.

Such a change means that the server itself has changed. The factor is above the noise
of any failed trial.
"""

MEAN_TOKENS_GAIN = 0.05
"""Weight of the newest answer in the mean length: about the last twenty count."""


def latency_ratio(
    pool: Pool, first_s: float | None, gap_s: float | None
) -> float | None:
    """Return the larger ratio of an answer's times to the pool's targets, if known."""
    parts = []
    if first_s is not None:
        parts.append(first_s / pool.first_token_target_s)
    if gap_s is not None and pool.kind is PoolKind.MODEL:
        parts.append(gap_s / pool.gap_target_s)
    return max(parts, default=None)


def is_fully_used(running: int, usable: int) -> bool:
    """Return whether about all usable units of a server were in use."""
    return running >= usable - usable // FULL_USE_DIVISOR


@define
class AnswerTimes:
    """Convert the times of an answer into seconds per token.

    The length of answers varies by far more than a trial changes their speed. The
    time to the first token is included, divided by the mean answer length: some
    engines queue requests beyond their batch, so that the gaps between tokens stay
    short and only the first tokens are late.
    """

    pool: Pool
    _tokens: float | None = field(default=None, init=False)

    def seconds(
        self, first_s: float | None, gap_s: float | None, service: float
    ) -> float | None:
        """Return the seconds per token, or per answer of a plain pool, if known."""
        if self.pool.kind is PoolKind.PLAIN:
            return first_s
        if self._tokens is None:
            self._tokens = service
        self._tokens += MEAN_TOKENS_GAIN * (service - self._tokens)
        if gap_s is None:
            return None
        return gap_s + (first_s or 0.0) / max(1.0, self._tokens)


@define
class Round:
    """Collect answers at one limit without the first `skip`, which began before it."""

    skip: int = 0
    answers: int = 0
    slow: int = 0
    full: int = 0
    _running: float = 0.0
    _seconds: float = 0.0

    @property
    def throughput(self) -> float | None:
        """Return the tokens, or plain answers, per second of the server, if known."""
        return self._running / self._seconds if self._seconds > 0 else None

    @property
    def was_full(self) -> bool:
        """Return whether the limit was in full use for at least half of the answers."""
        return 2 * self.full >= self.answers

    @property
    def was_slow(self) -> bool:
        """Return whether too many answers missed the pool's targets."""
        return self.slow >= SLOW_SHARE * self.answers

    def note(self, running: int, seconds: float | None, slow: bool, full: bool) -> None:
        """Add an answer; `running` is the number of requests including this one."""
        if self.skip > 0:
            self.skip -= 1
            return
        self.answers += 1
        self.slow += slow
        self.full += full
        if seconds is not None and full:  # else `running` may have varied
            self._running += max(1, running)
            self._seconds += seconds


def relative_gain(
    low: int, low_throughput: float | None, high: int, high_throughput: float | None
) -> float:
    """Return the relative rise of throughput divided by that of the limit.

    1 means that throughput rose in proportion to the limit, 0 that it didn't rise. 1
    is also returned if a throughput is unknown, so that only the pool's targets count.
    """
    if not low_throughput or not high_throughput or high <= low:
        return 1.0
    return (high_throughput / low_throughput - 1) / (high / low - 1)


@define
class _Trial:
    limit: int  # limit to restore on failure
    throughput: float | None
    part: int
    for_slowness: bool


@define
class ConcurrencyLimit:
    """Hold the concurrency limit of a warm backend server and adjust it by trials."""

    pool: Pool
    limit: int
    _round: Round = field(factory=Round, init=False)
    _trial: _Trial | None = field(default=None, init=False)
    _hold: int = field(default=0, init=False)
    _next_hold: int = field(default=HOLD_ROUNDS, init=False)
    _down_next: bool = field(default=False, init=False)
    _slow_rounds: int = field(default=0, init=False)
    _slow_at_any_limit: bool = field(default=False, init=False)
    _hold_throughput: float | None = field(default=None, init=False)

    def restart(self, limit: int, running: int, *, hold: bool = False) -> None:
        """Restart at a given limit; with `hold` delay the first trial.

        Running requests began under another limit, so their answers don't count.
        """
        self._trial = None
        self._next_hold = HOLD_ROUNDS
        self._hold = HOLD_ROUNDS if hold else 0
        self._hold_throughput = None
        self._set_limit(limit, running)

    def note_failure(self, running: int) -> None:
        """Lower the limit for an error or timeout, once for all running requests."""
        if self._round.skip > 0:
            return
        self.restart(int(self.limit * FAILURE_FACTOR), running, hold=True)

    def note_answer(
        self, running: int, seconds: float | None, slow: bool, full: bool
    ) -> None:
        """Add one answer; `full` means that the limit was in full use."""
        self._round.note(running, seconds, slow, full)
        if self._round.answers >= max(MIN_ROUND, self.limit):
            self._end_round(running)

    def _end_round(self, running: int) -> None:
        finished = self._round
        trial, self._trial = self._trial, None
        self._slow_rounds = self._slow_rounds + 1 if finished.was_slow else 0
        if trial is not None:
            self._end_trial(trial, finished, running)
        elif not finished.was_full:
            self._set_limit(self.limit, 0)
        elif self._is_on_hold(finished):
            self._hold -= 1
            self._set_limit(self.limit, 0)
        else:
            self._start_trial(finished, running)

    def _is_on_hold(self, finished: Round) -> bool:
        if self._hold == 0 or self._too_slow():
            return False
        return not self._has_changed(finished)

    def _too_slow(self) -> bool:
        # The first slow round may have begun fast, so it can't serve as a comparison.
        return self._slow_rounds >= 2 and not self._slow_at_any_limit

    def _has_changed(self, finished: Round) -> bool:
        expected, seen = self._hold_throughput, finished.throughput
        if expected is None or seen is None:
            self._hold_throughput = seen
            return False
        slower, faster = (
            seen * CHANGE_FACTOR < expected,
            seen > expected * CHANGE_FACTOR,
        )
        if not (slower or faster):
            return False
        self._next_hold = HOLD_ROUNDS
        self._down_next = slower
        return True

    def _start_trial(
        self, finished: Round, running: int, part: int = TRIAL_DIVISOR
    ) -> None:
        if self._down_next:
            self._slow_at_any_limit = False  # test a lower limit again
        too_slow = self._too_slow()
        if too_slow:
            part = CLIMB_DIVISOR
        self._trial = _Trial(self.limit, finished.throughput, part, too_slow)
        step = max(1, self.limit // part)
        down = too_slow or self._down_next
        self._set_limit(self.limit - step if down else self.limit + step, running)
        if self.limit == self._trial.limit:
            self._down_next = not down
            self._restore_limit(self._trial.limit, running)

    def _end_trial(self, trial: _Trial, finished: Round, running: int) -> None:
        if not finished.was_full or not self._is_better(trial, finished):
            self._reject_trial(trial, running)
            return
        self._next_hold = HOLD_ROUNDS
        self._down_next = self.limit < trial.limit
        self._start_trial(finished, running, CLIMB_DIVISOR)

    def _reject_trial(self, trial: _Trial, running: int) -> None:
        self._slow_at_any_limit = self._slow_at_any_limit or trial.for_slowness
        self._down_next = self.limit > trial.limit
        climbed = trial.part == CLIMB_DIVISOR and not trial.for_slowness
        if climbed and trial.limit > CLIMB_DIVISOR:
            self._set_limit(trial.limit, running)  # a smaller step may still pay off
        else:
            self._restore_limit(trial.limit, running)

    def _is_better(self, trial: _Trial, finished: Round) -> bool:
        before, after = trial.throughput, finished.throughput
        if self.limit > trial.limit:
            gain = relative_gain(trial.limit, before, self.limit, after)
            return gain >= MIN_GAIN and not self._too_slow()
        loss = relative_gain(self.limit, after, trial.limit, before)
        return loss < (MAX_SLOW_LOSS if trial.for_slowness else MAX_LOSS)

    def _restore_limit(self, limit: int, running: int) -> None:
        self._trial = None
        self._hold = self._next_hold
        self._next_hold = min(2 * self._next_hold, MAX_HOLD_ROUNDS)
        self._hold_throughput = None
        self._set_limit(limit, running)

    def _set_limit(self, limit: int, skip: int) -> None:
        self.limit = max(1, min(limit, self.pool.max_concurrency))
        self._round = Round(skip)
