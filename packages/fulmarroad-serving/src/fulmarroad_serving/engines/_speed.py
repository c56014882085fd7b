"""Model how fast each engine reads prompts, and learn it from first tokens.

Load pattern: engines of one service read prompts at unequal speeds, and surges change
the length of their queues within a second. An estimate that starts at one speed for
all engines fills the slow ones and leaves the fast ones idle. One that takes the whole
time to a first token for reading learns another speed for each queue length, and is
wrong whenever the length changes.

An engine reads prompts in chunks, one in each step, and a step also generates a token
for each running answer. So the time to read a prompt is proportional to its tokens, and
each running answer adds a fraction that is the same for engines of the same kind. The
time between two first tokens of queued prompts measures this without the queue itself,
the network and the rest of the step that was under way.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Iterable
from statistics import median

from attrs import define, field, frozen

from fulmarroad_serving._load import BASE_S, READ_RATE, READ_RATE_BOUNDS

SAMPLE_TOKENS = 6_000
"""Minimum number of prompt tokens in one sample: several chunks, as a first token only
arrives at the end of a step."""

MIN_SINGLE_TOKENS = 3_000
"""Minimum number of tokens of a prompt that did not queue to tell anything of the
speed: its time contains the network and the rest of a step as well."""

SINGLE_SAMPLE_TOKENS = 12_000
"""Minimum number of tokens of such a prompt for a sample, once there are samples from
queued prompts: the rest of a step is a tenth of its time."""

QUEUED_MARGIN_S = 0.01
"""Time before the first token of its predecessor at which a prompt has to be sent to be
in the queue by then: a round trip and an iteration of two event loops."""

KEPT_SAMPLES = 9
"""Number of samples that determine the speed. With the middle half of them, two wrong
guesses of what was cached or a short slow-down have no effect, and a lasting change is
learned after about five samples."""

MIN_READING_S = 0.001
"""Shortest reading time, if a first token comes sooner than the network allows."""

MAX_SKIPPED = 4
"""Number of wrong guesses of what was cached in a row after which the speed is taken to
be wrong instead."""

MIN_ESTABLISHED_SAMPLES = 3
"""Number of samples from which an engine's own speed is reported to others: one of them
may be an outlier."""

ANSWER_FRACTION = 0.001
"""Initial fraction of the reading time that each running answer adds."""

MAX_ANSWER_FRACTION = 0.01
"""Largest such fraction: a hundred running answers would double the reading time."""

ANSWER_PRIOR = 12_000.0
"""Weight of the initial fraction, as a sum of squared deviations of the number of
running answers: twenty samples that deviate by 25."""

ANSWER_DECAY = 0.995
"""Factor on the weight of earlier samples per sample of any engine of the service."""

MAX_SAMPLE_RATIO = 4.0
"""Maximum ratio between a sample and the estimate; a larger one results from a wrong
guess of what was cached, or from a paused router."""

BASE_LEARNING_RATE = 0.1
MAX_BASE_STEP_S = 0.05
BASE_BOUNDS_S = (0.005, 0.08)
"""Weight and limits of one first token in the time that does not depend on the prompt:
up to one full step and a network round trip."""

MAX_BASE_READING_S = 0.2
"""Longest reading from which that time is learned: in a longer one, an error of the
speed has a larger effect."""

_MIN_TOKEN_S = 1.0 / READ_RATE_BOUNDS[1]
_MAX_TOKEN_S = 1.0 / READ_RATE_BOUNDS[0]


@define
class ServiceSpeed:
    """Hold what the engines of a service have in common."""

    token_s: float = 1.0 / READ_RATE
    """Median seconds per prompt token without running answers."""
    known_engines: int = 0  # of which the median is taken
    answer_fraction: float = ANSWER_FRACTION
    _squares: float = 0.0
    _products: float = 0.0

    def update_median(self, paces: Iterable[float]) -> None:
        """Set the median from the paces of the known engines."""
        known = list(paces)
        self.known_engines = len(known)
        if known:
            self.token_s = median(known)

    def note_deviation(self, answers: float, log_ratio: float) -> None:
        """Learn from a deviation of the running answers, and of the time, from usual.

        `log_ratio` is the logarithm of the ratio of the times.
        """
        self._squares = ANSWER_DECAY * self._squares + answers * answers
        self._products = ANSWER_DECAY * self._products + answers * log_ratio
        fraction = self._products + ANSWER_PRIOR * ANSWER_FRACTION
        fraction /= self._squares + ANSWER_PRIOR
        self.answer_fraction = min(max(fraction, 0.0), MAX_ANSWER_FRACTION)


@define
class _Stretch:
    """Sum up first tokens of prompts that were read one after the other."""

    tokens: int = 0
    seconds: float = 0.0
    answer_seconds: float = 0.0

    @property
    def token_s(self) -> float:
        return max(self.seconds, MIN_READING_S) / self.tokens

    @property
    def answers(self) -> float:
        return self.answer_seconds / max(self.seconds, MIN_READING_S)

    def add(self, tokens: int, seconds: float, answers: float) -> None:
        self.tokens += tokens
        self.seconds += seconds
        self.answer_seconds += answers * seconds


@frozen
class Reading:
    """Hold how long prompts took to read, as a multiple of the expected time."""

    ratio: float
    since: float


@define
class EngineSpeed:
    """Estimate and learn the reading speed of one engine."""

    service: ServiceSpeed
    base_s: float = BASE_S
    reported_class: int | None = None  # by the engine's owner
    reported_token_s: float | None = None  # by the engine's owner
    lasting_token_s: float = field(init=False)
    """Seconds per prompt token without running answers, apart from slow-downs."""
    _samples: deque[float] = field(factory=lambda: deque(maxlen=KEPT_SAMPLES))
    """Logarithms of seconds per token without running answers."""
    _mean_answers: float | None = None
    _last_begun_at: float = float("-inf")
    _stretch: _Stretch = field(factory=_Stretch)
    _recent: _Stretch = field(factory=_Stretch)
    _skipped: int = 0  # first tokens in a row
    _queued_samples: int = 0

    def __attrs_post_init__(self) -> None:
        self.refresh()

    @property
    def established(self) -> bool:
        """Return whether the speed was learned from this engine's first tokens."""
        return len(self._samples) >= MIN_ESTABLISHED_SAMPLES

    @property
    def known_token_s(self) -> float | None:
        """Return the lasting seconds per token if known for this engine, else None."""
        return self.lasting_token_s if self._samples else self.reported_token_s

    def token_s(self, answers: float) -> float:
        """Return the seconds per prompt token beside a number of running answers."""
        return self.lasting_token_s * self._answer_factor(answers)

    def refresh(self) -> None:
        """Compute the lasting speed again, after a sample or a change of the prior."""
        prior = self._prior_token_s()
        if not self._samples:
            self.lasting_token_s = prior or self.service.token_s
            return
        rows = sorted([*self._samples, *([math.log(prior)] if prior else [])])
        trimmed = len(rows) // 4
        middle = rows[trimmed : len(rows) - trimmed]
        self.lasting_token_s = math.exp(sum(middle) / len(middle))

    def note_begun(
        self,
        *,
        sent_at: float,
        tokens: int,
        ahead_tokens: float,
        answers: float,
        now: float,
        as_assumed: bool = True,
        is_slow: bool = False,
        alone: bool = True,
    ) -> Reading | None:
        """Learn from a first token and return how long the reading took.

        `as_assumed` is false if the shared part was cached and seemed not to be, or the
        reverse. `is_slow` is true during a slow-down, which is not learned. Without
        `alone`, prompts of other routers are read between those of this one. Return
        None if the first token tells nothing of the reading speed.
        """
        previous, self._last_begun_at = self._last_begun_at, now
        if not self._may_learn(as_assumed=as_assumed):
            self._stretch, self._recent = _Stretch(), _Stretch()
            return None
        if not alone or sent_at > previous - QUEUED_MARGIN_S:
            self._stretch, self._recent = _Stretch(), _Stretch()
            total = ahead_tokens + tokens
            single = self._note_single(sent_at, total, answers, now, is_slow=is_slow)
            return single if alone else None
        total_s = (ahead_tokens + tokens) * self.token_s(answers)
        if not is_slow and total_s < MAX_BASE_READING_S:
            self._learn_base(now - sent_at - total_s)
        for stretch in (self._stretch, self._recent):
            stretch.add(tokens, now - previous, answers)
        if self._stretch.tokens >= SAMPLE_TOKENS:
            row, self._stretch = self._stretch, _Stretch()
            if not is_slow:
                self._queued_samples += 1
                self._add_sample(row.token_s, row.answers)
        return self._recent_reading(now)

    def read_tokens(
        self, sent_at: float, tokens: int, rate: float, now: float
    ) -> float:
        """Return how much of the oldest prompt without a first token was read.

        `rate` is in tokens a second.
        """
        seconds = now - max(sent_at, self._last_begun_at)
        return min(max(0.0, seconds) * rate, float(tokens))

    def overdue(self, sent_at: float, tokens: int, answers: float, now: float) -> float:
        """Return for how long the oldest prompt was read, as a multiple of expected.

        Return 0 for a prompt that is too short to tell.
        """
        if tokens < MIN_SINGLE_TOKENS:
            return 0.0
        expected_s = self.base_s + tokens * self.token_s(answers)
        return (now - max(sent_at, self._last_begun_at)) / expected_s

    def _may_learn(self, *, as_assumed: bool) -> bool:
        """Return whether to learn from a first token.

        A speed that is wrong makes every guess of what was cached look wrong.
        """
        self._skipped = 0 if as_assumed else self._skipped + 1
        return as_assumed or not self.established or self._skipped > MAX_SKIPPED

    def _note_single(
        self,
        sent_at: float,
        tokens: float,
        answers: float,
        now: float,
        *,
        is_slow: bool,
    ) -> Reading | None:
        """Learn from a prompt that did not queue behind another one."""
        expected_s = tokens * self.token_s(answers)
        if tokens < MIN_SINGLE_TOKENS:
            if not is_slow:
                self._learn_base(now - sent_at - expected_s)
            return None
        reading_s = max(now - sent_at - self.base_s, MIN_READING_S)
        is_precise = tokens >= SINGLE_SAMPLE_TOKENS
        if not is_slow and (is_precise or self._queued_samples < KEPT_SAMPLES):
            self._add_sample(reading_s / tokens, answers)
        return Reading(reading_s / expected_s, sent_at)

    def _recent_reading(self, now: float) -> Reading | None:
        if self._recent.tokens < MIN_SINGLE_TOKENS:
            return None
        row, self._recent = self._recent, _Stretch()
        return Reading(row.token_s / self.token_s(row.answers), now - row.seconds)

    def _prior_token_s(self) -> float | None:
        """Return what the engine's owner reported, if it did."""
        known = self.reported_token_s
        if self.reported_class is None or not self.service.known_engines:
            return known
        by_class = self.service.token_s * 2.0 ** (-self.reported_class / 2)
        if known is None or abs(math.log2(known / by_class)) > 0.5:
            return by_class
        return known

    def _answer_factor(self, answers: float) -> float:
        return 1.0 + self.service.answer_fraction * answers

    def _learn_base(self, rest_s: float) -> None:
        step = min(max(rest_s - self.base_s, -MAX_BASE_STEP_S), MAX_BASE_STEP_S)
        low, high = BASE_BOUNDS_S
        self.base_s = min(max(self.base_s + BASE_LEARNING_RATE * step, low), high)

    def _add_sample(self, token_s: float, answers: float) -> None:
        factor = self._answer_factor(answers)
        pace = token_s / factor
        if self.known_token_s is not None:
            bound = MAX_SAMPLE_RATIO * self.lasting_token_s
            pace = min(max(pace, bound / MAX_SAMPLE_RATIO**2), bound)
        pace = min(max(pace, _MIN_TOKEN_S), _MAX_TOKEN_S)
        if self.established:
            self._learn_answers(answers, math.log(pace * factor / self.lasting_token_s))
        self._samples.append(math.log(pace))
        self.refresh()

    def _learn_answers(self, answers: float, log_ratio: float) -> None:
        """Learn how running answers slow the reading, apart from the engine's speed."""
        if self._mean_answers is None:
            self._mean_answers = answers
        deviation = answers - self._mean_answers
        self._mean_answers += deviation / KEPT_SAMPLES
        usual = math.log(self._answer_factor(self._mean_answers))
        if abs(log_ratio - usual) < math.log(2.0):
            self.service.note_deviation(deviation, log_ratio - usual)
