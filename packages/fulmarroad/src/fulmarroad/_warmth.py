"""Judge how warm a backend server is, from the answers seen alone.

Patterns of failure: a server that has just started, one that turns cold without
warning, one that fails, one that flaps. A cold server that is given a warm one's load
falls over, its callers time out, and the retries fell the next one; operators would
notice errors in bursts right after a restart or a data centre's return. What a server
says of itself lags and is not asked for: the budget of a cold server rises only on
good answers at the present budget, and any bad one takes it back.
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
    followed,
    latency_ratio,
)
from fulmarroad._messages import ServerHint
from fulmarroad._tables import Pool
from fulmarroad.types import Outcome, ServerName, Warmth

SMALL_BUDGET = 4
"""Below this a budget grows by one, and no knee is looked for: throughput of one to
three requests says little."""

GROWTH = 1.5
"""Factor of a budget's step. What a round of good answers vouches for is the load that
it ran at; the less is added at once, the sooner slowness is seen before a fall."""

GOOD_PER_UNIT = 2
"""Good answers for each unit that a step adds. A server that bears one request more
for every two answers is never overloaded; three would be safer and a third slower,
and one answer may be a cached or empty one."""

MOST_CARE = 3
"""Doublings of the good answers needed, one for each ramp that failed: a server that
warms up slowly isn't felled at the same budget again and again."""

SLOW_WORTH = 0.25
"""What a slow answer counts while it is no worse than the server's own best. A target
that no server meets makes the ramp four times longer instead of stopping it."""

OWN_BEST_FACTOR = 1.5
"""Multiple of the server's own best above which slowness is put down to our load."""

VERY_SLOW = 2.0
"""Multiple of the target (and of the own best) that ends a ramp at once."""

SLOW_RUN = 3
"""Slow answers in a row that step a budget back, or find a warm server cold. One is a
long prompt, two may be one caller's pair; three in a row between other callers' good
answers are rare unless the server is the cause."""

SUDDEN_FACTOR = 4.0
"""Multiple of a warm server's own recent norm at which a first token is out of line.
Prompts of one pool vary by about this much in length between median and 95 in 100."""

NORM_GAIN = 0.1
"""Gain of the moving norm: about the last ten answers count."""

FAILURE_RUN = 3
"""Failures in a row that take a warm server out; also one in between resets them, so a
single router that can't reach the server doesn't take it from all the others."""

COLD_FAILURE_RUN = 2
"""Failures in a row that take a cold or warming server out: its load is already the
least, so less work can't help it."""

BACKOFF_BASE_S = 1.0
"""First wait before a failing server is probed: a restart of a process takes longer."""

BACKOFF_CAP_S = 60.0
"""Longest wait: what a repaired server idles at most, and one probe a minute is the
most that a dead one costs callers."""

FLAP_HALF_LIFE_S = 300.0
"""Time in which half of the flaps are forgotten, well above the longest wait, so that
a server which fails at each return waits longer each time."""

HINT_MAX_AGE_S = 10.0
"""Age above which the former scheduler's word is no evidence: a server can have been
restarted since."""

HINT_TIE_S = 1.0
"""Hints closer in age than this can't be ordered; the more careful one counts."""


@frozen
class WarmthChange:
    """Say that a backend server changed warmth, and what answer caused it."""

    server: ServerName
    before: Warmth
    after: Warmth
    cause: str


def next_budget(budget: int) -> int:
    """Return the budget after a round of good answers."""
    return budget + 1 if budget < SMALL_BUDGET else int(budget * GROWTH)


def good_answers_needed(budget: int, failed_ramps: int = 0) -> int:
    """Return how many good answers a budget needs before it rises."""
    added = next_budget(budget) - budget
    return GOOD_PER_UNIT * added * 2 ** min(failed_ramps, MOST_CARE)


def ramp_budgets(cold: int, goal: int) -> Iterator[int]:
    """Yield the budgets that a ramp passes before it reaches its goal."""
    budget = cold
    while budget < goal:
        yield budget
        budget = next_budget(budget)


def ramp_time(cold: int, goal: int, answer_s: float, failed_ramps: int = 0) -> float:
    """Return the seconds from cold to warm, given enough work and good answers.

    At budget b the requests that already ran when it rose (the former budget) end
    first and don't count, then `good_answers_needed(b)` end, b at a time:
    the sum over the budgets of ceil((former + needed) / b), times an answer's time.
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
    """Hold the warmth of one backend server and the budget that it allows."""

    server: ServerName
    pool: Pool
    concurrency: ConcurrencyLimit
    warmth: Warmth = Warmth.COLD
    _budget: int = field(default=1, init=False)
    _former: int = field(default=1, init=False)  # the budget proven last
    _times: AnswerTimes = field(init=False)
    _round: Round = field(factory=Round, init=False)
    _former_throughput: float | None = field(default=None, init=False)
    _good: float = field(default=0.0, init=False)
    _slow: bool = field(default=False, init=False)
    _slow_run: int = field(default=0, init=False)
    _failure_run: int = field(default=0, init=False)
    _best: float = field(default=math.inf, init=False)  # least strain seen lately
    _norm: float | None = field(default=None, init=False)
    _failed_ramps: int = field(default=0, init=False)
    _flaps: float = field(default=0.0, init=False)
    _flapped_at: float = field(default=0.0, init=False)
    _probe_at: float = field(default=0.0, init=False)
    _seen: bool = field(default=False, init=False)
    _hinted_at: float = field(default=-math.inf, init=False)

    def __attrs_post_init__(self) -> None:
        self._times = AnswerTimes(self.pool)
        self._budget = self.pool.cold_concurrency
        self._former = self._budget

    @property
    def is_warm(self) -> bool:
        """Tell whether the cold start is over."""
        return self.warmth is Warmth.WARM

    @property
    def informed(self) -> bool:
        """Tell whether an answer was seen or a hint adopted since the last chill."""
        return self._seen or self._hinted_at > -math.inf

    @property
    def slow(self) -> bool:
        """Tell whether the last measured answer was slower than the pool's targets."""
        return self._slow

    def set_pool(self, pool: Pool) -> None:
        """Take the pool's row of a new table."""
        self.pool = pool
        self.concurrency.pool = pool
        self._times.pool = pool

    def limit(self, now: float) -> int:
        """Return the units that the server may be given now."""
        if self.warmth is Warmth.WARM:
            return min(self.concurrency.limit, self.pool.max_concurrency)
        if self.warmth is Warmth.FAILING:
            return 1 if now >= self._probe_at else 0
        return min(self._budget, self.pool.max_concurrency)

    def next_change(self, now: float) -> float:
        """Return when the limit changes by time alone."""
        if self.warmth is Warmth.FAILING and now < self._probe_at:
            return self._probe_at
        return math.inf

    def reset_to_cold(self, cause: str) -> tuple[WarmthChange, ...]:
        """Begin the ramp anew, for the server returned or what it was is unknown."""
        self._seen = False
        self._hinted_at = -math.inf
        return self._turn(Warmth.COLD, cause)

    def adopt(self, hint: ServerHint, now: float) -> tuple[WarmthChange, ...]:
        """Take over what the former scheduler said, never more, unless answers spoke.

        A stale hint leaves the server cold. Of two hints the newer counts, and the
        more careful one where they can't be told apart by age.
        """
        if self._seen or hint.age_s > HINT_MAX_AGE_S:
            return ()
        said_at = now - hint.age_s
        if said_at < self._hinted_at - HINT_TIE_S:
            return ()
        if said_at < self._hinted_at + HINT_TIE_S and hint.limit >= self.limit(now):
            return ()
        self._hinted_at = max(said_at, self._hinted_at)
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
        unproven: int | None = None,
    ) -> tuple[WarmthChange, ...]:
        """Judge the server by one answer; `running` counts what ran, with it.

        `unproven` counts those among them that were not judged yet, all by default.
        """
        if outcome in (Outcome.FAILED, Outcome.TIMED_OUT, Outcome.UNREACHABLE):
            return self._on_failure(outcome, running, now)
        load = latency_ratio(self.pool, first_s, gap_s)
        if outcome is Outcome.DECLINED or load is None:
            return self._on_unmeasured(outcome, now)
        self._seen = True
        self._failure_run = 0
        self._slow = load > 1.0
        seconds = self._times.seconds(first_s, gap_s, service)
        if self.warmth is Warmth.FAILING:
            return self._on_probe_answer(now)
        if self.warmth is Warmth.WARM:
            return self._on_warm_answer(load, seconds, running, full, now)
        began_before = running if unproven is None else unproven
        return self._on_ramp_answer(load, seconds, running, began_before)

    def _on_unmeasured(self, outcome: Outcome, now: float) -> tuple[WarmthChange, ...]:
        if outcome is Outcome.COMPLETED and self.warmth is Warmth.FAILING:
            return self._on_probe_answer(now)
        return ()

    def _on_failure(
        self, outcome: Outcome, running: int, now: float
    ) -> tuple[WarmthChange, ...]:
        self._seen = True
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
            return self._turn(Warmth.FAILING, f"{outcome} {self._failure_run} in a row")
        if self.warmth is Warmth.WARMING:
            return self._turn(Warmth.COLD, f"{outcome} while warming")
        self._good = 0.0
        return ()

    def _on_probe_answer(self, now: float) -> tuple[WarmthChange, ...]:
        if now < self._probe_at:
            return ()  # a request from before the server was taken out
        return self._turn(Warmth.COLD, "probe answered")

    def _on_ramp_answer(
        self, load: float, seconds: float | None, running: int, began_before: int
    ) -> tuple[WarmthChange, ...]:
        best = self._best
        self._note_best(load)
        if load <= 1.0:
            self._slow_run = 0
            return self._count(1.0, seconds, running, began_before)
        if load <= OWN_BEST_FACTOR * best and best < math.inf:
            self._slow_run = 0
            return self._count(SLOW_WORTH, seconds, running, began_before)
        self._good = 0.0
        self._slow_run += 1
        if self.warmth is Warmth.COLD:
            return ()
        if load > VERY_SLOW * max(1.0, best):
            return self._turn(Warmth.COLD, "very slow answer while warming")
        if self._slow_run >= SLOW_RUN:
            return self._settle("slow answers: limit found", self._former, running)
        return ()

    def _note_best(self, load: float) -> None:
        # The best fades, as the first answers may come from before a turn to cold.
        if load <= self._best:
            self._best = load
        else:
            self._best += NORM_GAIN * (load - self._best)

    def _count(
        self, worth: float, seconds: float | None, running: int, began_before: int
    ) -> tuple[WarmthChange, ...]:
        if 2 * running < self._budget:
            return ()  # says nothing of the budget, for less than half of it was used
        counted = self._round.answers
        self._round.note(running, seconds, slow=worth < 1.0, full=True)
        if self._round.answers > counted:
            self._good += worth
        if self._good < good_answers_needed(self._budget, self._failed_ramps):
            return ()
        return self._end_budget(running, began_before)

    def _end_budget(self, running: int, began_before: int) -> tuple[WarmthChange, ...]:
        done = self._round.throughput
        gain = followed(self._former, self._former_throughput, self._budget, done)
        if self._budget > SMALL_BUDGET and gain < MIN_GAIN:
            return self._settle("no gain: limit found", self._former, running)
        self._former = self._budget
        self._former_throughput = done
        self._budget = next_budget(self._budget)
        self._good = 0.0
        self._round = Round(began_before)
        if self._budget >= self.concurrency.limit:
            return self._settle("ramp done", self.concurrency.limit, running)
        if self.warmth is Warmth.WARMING:
            return ()
        self.warmth = Warmth.WARMING
        cause = "good answers while cold"
        return (WarmthChange(self.server, Warmth.COLD, Warmth.WARMING, cause),)

    def _on_warm_answer(
        self,
        load: float,
        seconds: float | None,
        running: int,
        full: bool,
        now: float,
    ) -> tuple[WarmthChange, ...]:
        norm = self._norm
        if norm is not None and load > max(1.0, SUDDEN_FACTOR * norm):
            self._slow_run += 1
            if self._slow_run >= SLOW_RUN:
                self._note_flap(now)
                return self._turn(Warmth.COLD, "suddenly slow")
            return ()
        self._slow_run = 0
        self._norm = load if norm is None else norm + NORM_GAIN * (load - norm)
        self.concurrency.note_answer(running, seconds, load > 1.0, full)
        return ()

    def _adopt(self, hint: ServerHint, now: float) -> tuple[WarmthChange, ...]:
        cause = "hint of the former scheduler"
        limit = max(1, min(hint.limit, self.pool.max_concurrency))
        if hint.warmth is Warmth.WARM:
            return self._settle(cause, limit, 0)
        if hint.warmth is Warmth.FAILING:
            self._probe_at = now + BACKOFF_BASE_S
            return self._turn(Warmth.FAILING, cause)
        change = self._turn(hint.warmth, cause)
        self._budget = limit
        self._former = min(limit, self.pool.cold_concurrency)
        return change

    def _settle(self, cause: str, limit: int, running: int) -> tuple[WarmthChange, ...]:
        self.concurrency.restart(limit, running)
        return self._turn(Warmth.WARM, cause)

    def _turn(self, after: Warmth, cause: str) -> tuple[WarmthChange, ...]:
        before = self.warmth
        self.warmth = after
        if after is Warmth.WARM:
            self._failed_ramps = 0
        elif before is Warmth.WARMING:
            self._failed_ramps += 1
        self._budget = self.pool.cold_concurrency
        self._former = self._budget
        self._good = 0.0
        self._round = Round()
        self._former_throughput = None
        self._slow_run = 0
        self._failure_run = 0
        self._norm = None
        if after is not Warmth.WARM:
            self._best = math.inf
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
