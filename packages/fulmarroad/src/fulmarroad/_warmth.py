"""Warmth of a backend server, derived from its answers alone.

This covers servers that have just started, that become cold without warning, that
fail, and that flap. A cold server under the load of a warm one becomes overloaded, its
callers time out, and their retries overload the next server; operators would see
bursts of errors right after a restart or the return of a data centre. Servers are not
asked for their own state, which lags. The budget of a cold server, the number of
requests it may run, rises only on good answers at the present budget, and bad ones
reset it.
"""

from __future__ import annotations

import math
from collections.abc import Iterator

from attrs import define, field, frozen

from fulmarroad._concurrency import (
    MIN_GAIN,
    AnswerTimes,
    ConcurrencyLimit,
    Round,
    latency_ratio,
    relative_gain,
)
from fulmarroad._messages import ServerHint
from fulmarroad._tables import Pool
from fulmarroad.types import Outcome, ServerName, Warmth

SMALL_BUDGET = 4
"""Budget below which a step adds one request; throughput ends a ramp only above it.

The throughput of one to three requests is too noisy to determine the limit.
"""

BUDGET_GROWTH = 1.5
"""Factor by which a budget grows in one step.

A round of good answers proves only the load under which it ran. The smaller the step,
the more likely slow answers are seen before the server becomes overloaded.
"""

GOOD_PER_UNIT = 2
"""Good answers required for each unit that a step adds.

A server that can run one more request after every two answers is never overloaded.
Three would be safer and a third slower; a single one may be a cached or empty answer.
"""

MAX_RAMP_DOUBLINGS = 3
"""Maximum number of times that the required good answers are doubled.

They are doubled for each failed ramp, so that a server that warms up slowly is not
overloaded at the same budget again and again.
"""

SLOW_ANSWER_WEIGHT = 0.25
"""Weight of a slow answer that is close to the server's own best.

With it a target that no server meets makes the ramp four times longer instead of
stopping it.
"""

OWN_BEST_FACTOR = 1.5
"""Multiple of the server's own best above which slowness is attributed to the load."""

VERY_SLOW_FACTOR = 2.0
"""Multiple of the target, or of a higher own best, above which a ramp ends at once."""

SLOW_RUN = 3
"""Slow answers in a row that end a ramp, or make a warm server cold.

The ramp ends at the last budget that had good answers.

One may be due to a long prompt, two to a pair of requests of one caller. Three in a
row are rare among the answers of several callers unless the server is the cause.
"""

SUDDEN_FACTOR = 4.0
"""Multiple of a warm server's mean latency ratio above which an answer is an outlier.

The 95th percentile of prompt lengths in a pool is about this multiple of the median.
"""

MEAN_RATIO_GAIN = 0.1
"""Weight of the newest answer in the mean latency ratio: about the last ten count."""

FAILURE_RUN = 3
"""Failures in a row that take a warm server out of service.

A single good answer resets the count, so that one router that can't reach the server
doesn't take it out of service for all others.
"""

COLD_FAILURE_RUN = 2
"""Failures in a row that take a cold or warming server out of service.

Its load is already the least possible, so reducing it further can't help.
"""

BACKOFF_BASE_S = 1.0
"""Seconds before the first probe of a failing server; a restart takes longer."""

BACKOFF_CAP_S = 60.0
"""Maximum wait between probes, in seconds.

It is the longest time that a repaired server stays idle. A dead server costs callers
at most one failed probe a minute.
"""

FLAP_HALF_LIFE_S = 300.0
"""Half-life of the flap count in seconds.

It is well above the longest wait, so that a server that fails at each return waits
longer each time.
"""

HINT_MAX_AGE_S = 10.0
"""Age in seconds above which a former scheduler's hint is ignored.

The server may have restarted since.
"""

HINT_TIE_S = 1.0
"""Difference in age, in seconds, below which hints are not ordered by age.

Of two such hints the one with the lower limit counts.
"""


@frozen
class WarmthChange:
    """Describe a change of a backend server's warmth and its cause."""

    server: ServerName
    before: Warmth
    after: Warmth
    cause: str


def next_budget(budget: int) -> int:
    """Return the budget after a round of good answers."""
    return budget + 1 if budget < SMALL_BUDGET else int(budget * BUDGET_GROWTH)


def good_answers_needed(budget: int, failed_ramps: int = 0) -> int:
    """Return how many good answers a budget needs before it rises."""
    added = next_budget(budget) - budget
    return GOOD_PER_UNIT * added * 2 ** min(failed_ramps, MAX_RAMP_DOUBLINGS)


def ramp_budgets(cold: int, goal: int) -> Iterator[int]:
    """Yield the budgets of a ramp that are below its goal."""
    budget = cold
    while budget < goal:
        yield budget
        budget = next_budget(budget)


def ramp_time(cold: int, goal: int, answer_s: float, failed_ramps: int = 0) -> float:
    """Return the seconds from cold to warm, given enough work and good answers.

    At budget b the requests that already ran when the budget rose, as many as the
    former budget, end first and don't count. Then `good_answers_needed(b)` requests
    end, b at a time. The result is the sum over the budgets of
    ceil((former + needed) / b), times the time of one answer.
    """
    rounds = 0
    former = 0
    for budget in ramp_budgets(cold, goal):
        needed = good_answers_needed(budget, failed_ramps)
        rounds += math.ceil((former + needed) / budget)
        former = budget
    return rounds * answer_s


@define
class ServerHealth:
    """Hold the warmth of one backend server and the number of requests it may run."""

    server: ServerName
    pool: Pool
    concurrency: ConcurrencyLimit
    warmth: Warmth = Warmth.COLD
    _budget: int = field(default=1, init=False)
    _proven_budget: int = field(default=1, init=False)  # last budget with good answers
    _times: AnswerTimes = field(init=False)
    _round: Round = field(factory=Round, init=False)
    _proven_throughput: float | None = field(default=None, init=False)
    _good_answers: float = field(default=0.0, init=False)
    _slow: bool = field(default=False, init=False)
    _slow_run: int = field(default=0, init=False)
    _failure_run: int = field(default=0, init=False)
    _best_ratio: float = field(default=math.inf, init=False)  # least recent ratio
    _mean_ratio: float | None = field(default=None, init=False)
    _failed_ramps: int = field(default=0, init=False)
    _flaps: float = field(default=0.0, init=False)
    _flapped_at: float = field(default=0.0, init=False)
    _probe_at: float = field(default=0.0, init=False)
    _outcome_seen: bool = field(default=False, init=False)
    _hint_time: float = field(default=-math.inf, init=False)

    def __attrs_post_init__(self) -> None:
        self._times = AnswerTimes(self.pool)
        self._budget = self.pool.cold_concurrency
        self._proven_budget = self._budget

    @property
    def is_warm(self) -> bool:
        """Return whether the cold start is over."""
        return self.warmth is Warmth.WARM

    @property
    def informed(self) -> bool:
        """Return whether an answer or a hint was used since the last reset to cold."""
        return self._outcome_seen or self._hint_time > -math.inf

    @property
    def slow(self) -> bool:
        """Return whether the last measured answer missed the pool's targets."""
        return self._slow

    def set_pool(self, pool: Pool) -> None:
        """Apply the pool settings of a new table."""
        self.pool = pool
        self.concurrency.pool = pool
        self._times.pool = pool

    def limit(self, now: float) -> int:
        """Return how many requests the server may run now."""
        if self.warmth is Warmth.WARM:
            return min(self.concurrency.limit, self.pool.max_concurrency)
        if self.warmth is Warmth.FAILING:
            return 1 if now >= self._probe_at else 0
        return min(self._budget, self.pool.max_concurrency)

    def next_change(self, now: float) -> float:
        """Return the time at which the limit next changes without an event."""
        if self.warmth is Warmth.FAILING and now < self._probe_at:
            return self._probe_at
        return math.inf

    def reset_to_cold(self, cause: str) -> tuple[WarmthChange, ...]:
        """Restart the ramp after the server returned or when its state is unknown."""
        self._outcome_seen = False
        self._hint_time = -math.inf
        return self._change_warmth(Warmth.COLD, cause)

    def adopt(self, hint: ServerHint, now: float) -> tuple[WarmthChange, ...]:
        """Adopt a hint of the former scheduler unless answers have been seen.

        A stale hint leaves the server cold. Of two hints the newer counts, or the one
        with the lower limit if their ages are within `HINT_TIE_S`.
        """
        if self._outcome_seen or hint.age_s > HINT_MAX_AGE_S:
            return ()
        hint_time = now - hint.age_s
        if hint_time < self._hint_time - HINT_TIE_S:
            return ()
        if hint_time < self._hint_time + HINT_TIE_S and hint.limit >= self.limit(now):
            return ()
        self._hint_time = max(hint_time, self._hint_time)
        return self._adopt(hint, now)

    def observe(
        self,
        outcome: Outcome,
        first_s: float | None,
        gap_s: float | None,
        service: float,
        running: int,
        full: bool,
        now: float,
        unobserved: int | None = None,
    ) -> tuple[WarmthChange, ...]:
        """Update the warmth and the limit from one answer.

        `running` is the number of requests that ran, including this one, and
        `unobserved` how many of them were not counted before (default: all).
        """
        if outcome in (Outcome.FAILED, Outcome.TIMED_OUT, Outcome.UNREACHABLE):
            return self._on_failure(outcome, running, now)
        ratio = latency_ratio(self.pool, first_s, gap_s)
        if outcome is Outcome.DECLINED or ratio is None:
            return self._on_unmeasured(outcome, now)
        self._outcome_seen = True
        self._failure_run = 0
        self._slow = ratio > 1.0
        seconds = self._times.seconds(first_s, gap_s, service)
        if self.warmth is Warmth.FAILING:
            return self._on_probe_answer(now)
        if self.warmth is Warmth.WARM:
            return self._on_warm_answer(ratio, seconds, running, full, now)
        running_before = running if unobserved is None else unobserved
        return self._on_ramp_answer(ratio, seconds, running, running_before)

    def _on_unmeasured(self, outcome: Outcome, now: float) -> tuple[WarmthChange, ...]:
        if outcome is Outcome.COMPLETED and self.warmth is Warmth.FAILING:
            return self._on_probe_answer(now)
        return ()

    def _on_failure(
        self, outcome: Outcome, running: int, now: float
    ) -> tuple[WarmthChange, ...]:
        self._outcome_seen = True
        if self.warmth is Warmth.FAILING:
            if now >= self._probe_at:
                self._back_off(now)
            return ()
        self._failure_run += 1
        if self.warmth is Warmth.WARM:
            self.concurrency.note_failure(running)
            allowed = FAILURE_RUN
        else:
            allowed = COLD_FAILURE_RUN
        if self._failure_run >= allowed:
            self._back_off(now)
            return self._change_warmth(
                Warmth.FAILING, f"{outcome} {self._failure_run} in a row"
            )
        if self.warmth is Warmth.WARMING:
            return self._change_warmth(Warmth.COLD, f"{outcome} while warming")
        self._good_answers = 0.0
        return ()

    def _on_probe_answer(self, now: float) -> tuple[WarmthChange, ...]:
        if now < self._probe_at:
            return ()  # began before the server was taken out of service
        return self._change_warmth(Warmth.COLD, "probe answered")

    def _on_ramp_answer(
        self, ratio: float, seconds: float | None, running: int, running_before: int
    ) -> tuple[WarmthChange, ...]:
        best = self._best_ratio
        self._update_best_ratio(ratio)
        if ratio <= 1.0:
            self._slow_run = 0
            return self._count_answer(1.0, seconds, running, running_before)
        if ratio <= OWN_BEST_FACTOR * best and best < math.inf:
            self._slow_run = 0
            return self._count_answer(
                SLOW_ANSWER_WEIGHT, seconds, running, running_before
            )
        self._good_answers = 0.0
        self._slow_run += 1
        if self.warmth is Warmth.COLD:
            return ()
        if ratio > VERY_SLOW_FACTOR * max(1.0, best):
            return self._change_warmth(Warmth.COLD, "very slow answer while warming")
        if self._slow_run >= SLOW_RUN:
            return self._become_warm(
                "slow answers: limit found", self._proven_budget, running
            )
        return ()

    def _update_best_ratio(self, ratio: float) -> None:
        # The best decays, because the first answers may belong to requests that began
        # before the server became cold.
        if ratio <= self._best_ratio:
            self._best_ratio = ratio
        else:
            self._best_ratio += MEAN_RATIO_GAIN * (ratio - self._best_ratio)

    def _count_answer(
        self, worth: float, seconds: float | None, running: int, running_before: int
    ) -> tuple[WarmthChange, ...]:
        if 2 * running < self._budget:
            return ()  # less than half in use: no evidence for the budget
        counted = self._round.answers
        self._round.note(running, seconds, slow=worth < 1.0, full=True)
        if self._round.answers > counted:
            self._good_answers += worth
        if self._good_answers < good_answers_needed(self._budget, self._failed_ramps):
            return ()
        return self._raise_budget(running, running_before)

    def _raise_budget(
        self, running: int, running_before: int
    ) -> tuple[WarmthChange, ...]:
        throughput = self._round.throughput
        gain = relative_gain(
            self._proven_budget, self._proven_throughput, self._budget, throughput
        )
        if self._budget > SMALL_BUDGET and gain < MIN_GAIN:
            return self._become_warm(
                "no gain: limit found", self._proven_budget, running
            )
        self._proven_budget = self._budget
        self._proven_throughput = throughput
        self._budget = next_budget(self._budget)
        self._good_answers = 0.0
        self._round = Round(running_before)
        if self._budget >= self.concurrency.limit:
            return self._become_warm("ramp done", self.concurrency.limit, running)
        if self.warmth is Warmth.WARMING:
            return ()
        self.warmth = Warmth.WARMING
        cause = "good answers while cold"
        return (WarmthChange(self.server, Warmth.COLD, Warmth.WARMING, cause),)

    def _on_warm_answer(
        self,
        ratio: float,
        seconds: float | None,
        running: int,
        full: bool,
        now: float,
    ) -> tuple[WarmthChange, ...]:
        mean_ratio = self._mean_ratio
        if mean_ratio is not None and ratio > max(1.0, SUDDEN_FACTOR * mean_ratio):
            self._slow_run += 1
            if self._slow_run >= SLOW_RUN:
                self._note_flap(now)
                return self._change_warmth(Warmth.COLD, "suddenly slow")
            return ()
        self._slow_run = 0
        self._mean_ratio = (
            ratio
            if mean_ratio is None
            else mean_ratio + MEAN_RATIO_GAIN * (ratio - mean_ratio)
        )
        self.concurrency.note_answer(running, seconds, ratio > 1.0, full)
        return ()

    def _adopt(self, hint: ServerHint, now: float) -> tuple[WarmthChange, ...]:
        cause = "hint of the former scheduler"
        limit = max(1, min(hint.limit, self.pool.max_concurrency))
        if hint.warmth is Warmth.WARM:
            return self._become_warm(cause, limit, 0)
        if hint.warmth is Warmth.FAILING:
            self._probe_at = now + BACKOFF_BASE_S
            return self._change_warmth(Warmth.FAILING, cause)
        change = self._change_warmth(hint.warmth, cause)
        self._budget = limit
        self._proven_budget = min(limit, self.pool.cold_concurrency)
        return change

    def _become_warm(
        self, cause: str, limit: int, running: int
    ) -> tuple[WarmthChange, ...]:
        self.concurrency.restart(limit, running)
        return self._change_warmth(Warmth.WARM, cause)

    def _change_warmth(self, after: Warmth, cause: str) -> tuple[WarmthChange, ...]:
        before = self.warmth
        self.warmth = after
        if after is Warmth.WARM:
            self._failed_ramps = 0
        elif before is Warmth.WARMING:
            self._failed_ramps += 1
        self._budget = self.pool.cold_concurrency
        self._proven_budget = self._budget
        self._good_answers = 0.0
        self._round = Round()
        self._proven_throughput = None
        self._slow_run = 0
        self._failure_run = 0
        self._mean_ratio = None
        if after is not Warmth.WARM:
            self._best_ratio = math.inf
        if before is after:
            return ()
        return (WarmthChange(self.server, before, after, cause),)

    def _back_off(self, now: float) -> None:
        self._note_flap(now)
        wait = BACKOFF_BASE_S * 2 ** (self._flaps - 1)
        self._probe_at = now + min(BACKOFF_CAP_S, wait)

    def _note_flap(self, now: float) -> None:
        age = now - self._flapped_at
        self._flaps = 1 + self._flaps * 0.5 ** (age / FLAP_HALF_LIFE_S)
        self._flaps = min(self._flaps, 64.0)
        self._flapped_at = now
