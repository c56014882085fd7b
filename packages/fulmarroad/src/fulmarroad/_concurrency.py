"""Find how many requests a warm backend server bears at once, from its answers.

Pattern of load: saturation, and a backend server that is slower than its peers. With
a limit set by hand, one that is too high makes every answer of the server slow and one
that is too low leaves capacity idle while work waits; an operator would notice a
first-token time that climbs while tokens a second stay flat, or idle accelerators
beside a queue. The limit therefore rises while it is in full use and answers stay
good, and falls when they don't.
"""

from __future__ import annotations

from attrs import define, field

from fulmarroad._tables import Pool, PoolKind

DECREASE = 0.7
"""Factor on errors and timeouts: halving would leave a server that met one bad caller
half idle, 0.9 would need seven rounds to come down from twice the bearable load."""

SLOW_SHARE = 0.25
"""Share of slow answers in a round that lowers the limit. The service objective is
for 95 in 100, but a round may be as short as four answers, where one is noise."""

MIN_ROUND = 4
"""Answers in the shortest round; fewer would judge a limit by single requests."""


def strain(pool: Pool, first_s: float | None, gap_s: float | None) -> float | None:
    """Return the worse of an answer's times as a multiple of the pool's targets."""
    parts = []
    if first_s is not None:
        parts.append(first_s / pool.first_token_target_s)
    if gap_s is not None and pool.kind is PoolKind.MODEL:
        parts.append(gap_s / pool.gap_target_s)
    return max(parts, default=None)


@define
class ConcurrencyLimit:
    """Hold the limit of one warm backend server and move it by rounds of answers."""

    pool: Pool
    limit: int
    _answers: int = field(default=0, init=False)
    _slow: int = field(default=0, init=False)
    _full: int = field(default=0, init=False)
    _failed: bool = field(default=False, init=False)

    def restart(self, limit: int) -> None:
        """Begin a new round at a limit that was found otherwise."""
        self.limit = max(1, min(limit, self.pool.max_concurrency))
        self._answers = 0
        self._slow = 0
        self._full = 0
        self._failed = False

    def note_failure(self) -> None:
        """Lower the limit at once for an error or a timeout, once in a round."""
        if self._failed:
            return
        self.restart(int(self.limit * DECREASE))
        self._failed = True

    def note_answer(
        self, first_s: float | None, gap_s: float | None, full: bool
    ) -> None:
        """Count one answer; `full` says that the limit was in full use."""
        load = strain(self.pool, first_s, gap_s)
        self._answers += 1
        self._full += full
        self._slow += load is not None and load > 1.0
        if self._answers >= max(MIN_ROUND, self.limit):
            self._end_round()

    def _end_round(self) -> None:
        if self._slow >= SLOW_SHARE * self._answers:
            self.restart(int(self.limit * DECREASE))
        elif 2 * self._full >= self._answers:
            self.restart(self.limit + max(1, self.limit // 8))
        else:
            self.restart(self.limit)
