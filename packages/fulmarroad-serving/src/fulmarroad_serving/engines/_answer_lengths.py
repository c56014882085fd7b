"""Learn how long answers are, compared with what their callers expect.

Load pattern: engines whose slots are taken by answers of unequal length. A caller's
hint is right at the median and often far off, so an engine whose slots seem to become
free soon may be taken for seconds, and calls that wait for it are late. Calls that
can't end before their deadline take slots for their whole time and are lost all the
same. So the ratio of actual to hinted tokens is learned as a spread for each kind of
call, and each decision uses the end of the spread on which an error costs less.

Only answers that were read from their first event to their end count. Those cut off at
their deadline are missing, so lengths are underestimated for calls with little time,
which makes rejections fewer.
"""

from __future__ import annotations

from collections import OrderedDict

from attrs import define, field, frozen

from fulmarroad_serving.engines._spreads import Spread

MIN_SAMPLES = 8
"""Samples from which a learned spread replaces the initial one: with fewer, its ends
are single answers."""

MIN_REJECTING_SAMPLES = 32
"""Samples without which no call is rejected: a wrong hint of one call in ten is then
among them with a probability of 0.97."""

SHORT_FRACTION = 0.1
LONG_FRACTION = 0.9
"""Fractions of the samples below the shorter and the longer end of the expectation."""

INITIAL_RATIOS = (0.25, 1.0, 4.0)
"""Ratios of actual to hinted tokens before any were learned: hints are right at the
median, and by a factor of four wrong rather often."""

FINISH_MARGIN = 1.25
"""Factor by which the shortest expected time has to exceed what is left of a call. An
engine with fewer answers generates faster than the fast ones measured."""

TRIAL_FRACTION = 0.125
"""Fraction of the calls to be rejected that is served all the same. Otherwise no answer
could show any more that the hints of such calls are too long."""

MIN_TIMED_EVENTS = 4
"""Events from which an answer tells the time per token: in shorter ones, the network's
jitter is as long as the answer."""

MAX_KINDS = 64
"""Maximum number of kinds of calls; the least recently used are dropped first."""

AnswerKind = tuple[str, float]
"""Service and objective in seconds. Workspaces don't matter, so that a kind is learned
from all callers."""


@frozen
class ExpectedLength:
    """Hold the expected number of output tokens of an answer."""

    short: float
    usual: float
    long: float
    most: float  # maximum that the call allows; infinite if not stated


@frozen
class OutputLimits:
    """Hold what a call states about its output, in tokens; 0: not stated."""

    hint: int = 0
    most: int = 0

    def cap(self, tokens: float) -> float:
        """Return a number of tokens that the call's maximum allows."""
        return min(tokens, float(self.most)) if self.most else tokens


@define
class _Kind:
    tokens: Spread = field(factory=Spread)
    ratios: Spread = field(factory=Spread)  # of actual to hinted tokens


@define
class AnswerLengths:
    """Learn the lengths of answers, and the time that their tokens take."""

    _kinds: OrderedDict[AnswerKind, _Kind] = field(factory=OrderedDict)
    _token_s: dict[str, Spread] = field(factory=dict)

    def note_answer(self, kind: AnswerKind, hint: int, tokens: int, now: float) -> None:
        """Record the output tokens of a complete answer."""
        row = self._kinds.get(kind)
        if row is None:
            row = self._kinds[kind] = _Kind()
            if len(self._kinds) > MAX_KINDS:
                self._kinds.popitem(last=False)
        self._kinds.move_to_end(kind)
        row.tokens.note(float(tokens), now)
        if hint:
            row.ratios.note(tokens / hint, now)

    def note_time(
        self, service: str, events: int, step_tokens: int, answered_s: float, now: float
    ) -> None:
        """Record the time from the first to the last event of an answer."""
        if events < MIN_TIMED_EVENTS or answered_s <= 0:
            return
        token_s = answered_s / ((events - 1) * step_tokens)
        self._token_s.setdefault(service, Spread()).note(token_s, now)

    def token_s(self, service: str, now: float) -> float:
        """Return the usual time per generated token, in seconds; 0: not known."""
        spread = self._token_s.get(service)
        if spread is None or spread.count(now) < MIN_SAMPLES:
            return 0.0
        return spread.quantile(0.5)

    def expected(
        self, kind: AnswerKind, limits: OutputLimits, now: float
    ) -> ExpectedLength | None:
        """Return how long an answer will be, or None if nothing tells.

        The learned shorter end of all answers of the kind is a lower bound, and the
        call's maximum an upper bound, whatever the hint says.
        """
        row = self._kinds.get(kind) or _Kind()
        known = row.tokens.count(now) >= MIN_SAMPLES
        if limits.hint:
            learned = row.ratios.count(now) >= MIN_SAMPLES
            ratios = _quantiles(row.ratios) if learned else INITIAL_RATIOS
            short, usual, long = (limits.hint * ratio for ratio in ratios)
        elif known:
            short, usual, long = _quantiles(row.tokens)
        else:
            return None
        least = row.tokens.quantile(SHORT_FRACTION) if known else 1.0
        short, usual, long = (
            limits.cap(max(least, tokens)) for tokens in (short, usual, long)
        )
        return ExpectedLength(short, usual, long, limits.cap(float("inf")))

    def cannot_finish(
        self,
        kind: AnswerKind,
        limits: OutputLimits,
        left_s: float,
        now: float,
        *,
        hash_fraction: float = 0.0,
    ) -> bool:
        """Return whether an answer of the shortest expected length would end too late.

        `left_s` is the time between its first token and its deadline. `hash_fraction`
        decides whether the call is a trial, and is the same for all its attempts.
        """
        row, times = self._kinds.get(kind), self._token_s.get(kind[0])
        if row is None or times is None or not limits.hint:
            return False
        if row.ratios.count(now) < MIN_REJECTING_SAMPLES:
            return False
        if times.count(now) < MIN_REJECTING_SAMPLES:
            return False
        # The smallest ratio of all: a tenth of the answers is below the shorter end.
        shortest = limits.cap(limits.hint * row.ratios.quantile(0.0))
        needed_s = shortest * times.quantile(SHORT_FRACTION)
        if needed_s <= FINISH_MARGIN * max(0.0, left_s):
            return False
        # The first digits decide on the admission of calls above a share.
        return hash_fraction * 4096 % 1.0 >= TRIAL_FRACTION


def _quantiles(spread: Spread) -> tuple[float, float, float]:
    return (
        spread.quantile(SHORT_FRACTION),
        spread.quantile(0.5),
        spread.quantile(LONG_FRACTION),
    )
