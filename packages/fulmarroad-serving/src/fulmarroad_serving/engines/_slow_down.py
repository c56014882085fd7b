"""Decide at a server's owner whether the server is slow for the moment.

Load pattern: an engine takes several times its usual time for half a second, for
example while a neighbour uses its memory bus. Its queue is estimated by its lasting
speed, so it keeps getting calls that begin late, and by the time its first tokens show
it, it has recovered. Gaps between the events of running answers show it at once, as
each step generates a token for all of them.

Each source is evidence of some answers: a router that sees gaps, first tokens that come
late, and the oldest prompt without a first token. A slow-down needs two answers in
total, and it ends with the first proof of usual speed or without further evidence.
"""

from __future__ import annotations

from statistics import median

from attrs import define, evolve, field, frozen

from fulmarroad_serving.engines._pace import LONG_RATIO

MIN_ANSWERS = 2.0
"""Number of answers that a slow-down needs: one may be a wrong guess of what was cached
or a delay in the network."""

WEAK_ANSWER = 0.5
"""Weight of an answer whose gaps are longer than usual, but less than `LONG_RATIO`
times: the load of an engine varies as well."""

EVIDENCE_LIFE_S = 0.6
"""Time after which evidence that is not repeated expires."""

MAX_SLOW_DOWN_S = 3.0
"""Longest slow-down: the lasting speed is learned by then, and a source that reports
one for longer is wrong."""

CONTRADICTED_S = 0.3
"""Time after a first token at usual speed for which reported gaps don't count: reports
from before it may still be under way, and prompts make gaps longer as well."""

FACTOR_BOUNDS = (1.0, 4.0)
"""Range of factors: a longer pause is no slow-down but a stop, which makes calls
overdue."""

FIRST_TOKENS = "first_tokens"
OVERDUE = "overdue"
"""Sources of evidence besides routers."""


@frozen
class Evidence:
    """Hold by how much answers of a server took longer than usual."""

    factor: float
    answers: int
    at: float

    @property
    def weight(self) -> float:
        """Return the number of answers, of which weak ones count less."""
        return self.answers * (1.0 if self.factor >= LONG_RATIO else WEAK_ANSWER)


@frozen
class SlowState:
    """Hold the factor on a server's estimates, and which source told of it first."""

    factor: float = 1.0
    source: str = ""

    @property
    def is_slow(self) -> bool:
        """Return whether the server is slow."""
        return self.factor > 1.0


USUAL = SlowState()


@define
class SlowDown:
    """Combine the evidence about one server."""

    _evidence: dict[str, Evidence] = field(factory=dict)
    _since: float = float("-inf")
    _contradicted_at: float = float("-inf")

    def note(self, source: str, factor: float, answers: int, now: float) -> None:
        """Record the newest evidence of a source, in place of its last one.

        A factor of 1 or less withdraws it.
        """
        if source != FIRST_TOKENS and now - self._contradicted_at < CONTRADICTED_S:
            return
        self._drop_expired(now)
        if factor <= FACTOR_BOUNDS[0] or answers < 1:
            self._withdraw(source, now)
            return
        if not self._evidence:
            self._since = now
        factor = min(factor, FACTOR_BOUNDS[1])
        self._evidence[source] = Evidence(factor, answers, now)

    def note_late_first_token(self, factor: float, now: float) -> None:
        """Record a first token that took a multiple of the expected time."""
        self._drop_expired(now)
        known = self._evidence.get(FIRST_TOKENS)
        answers = 1 + (known.answers if known is not None else 0)
        self.note(FIRST_TOKENS, factor, answers, now)

    def note_usual_first_token(self, reading_since: float, now: float) -> None:
        """End the slow-down if a prompt was read at usual speed after it began."""
        if self._evidence and reading_since >= self._since:
            self._evidence.clear()
            self._contradicted_at = now

    def state(self, now: float, overdue: float = 0.0) -> SlowState:
        """Return the factor in force.

        `overdue` is the time of the oldest unread prompt as a multiple of the expected
        one; it is evidence of one answer.
        """
        self._drop_expired(now)
        rows = dict(self._evidence)
        if overdue > FACTOR_BOUNDS[0]:
            rows[OVERDUE] = Evidence(min(overdue, FACTOR_BOUNDS[1]), 1, now)
        if sum(row.weight for row in rows.values()) < MIN_ANSWERS:
            return USUAL
        if self._evidence and now - self._since > MAX_SLOW_DOWN_S:
            return USUAL
        factor = median(row.factor for row in rows.values())
        return SlowState(factor, min(rows, key=lambda name: rows[name].at))

    def _withdraw(self, source: str, now: float) -> None:
        """Drop a source's evidence; others have to repeat theirs soon.

        A router whose answers go on as usual proves more than one that waits for its
        next event.
        """
        if self._evidence.pop(source, None) is None:
            return
        soon = now - EVIDENCE_LIFE_S + CONTRADICTED_S
        self._evidence = {
            name: evolve(row, at=min(row.at, soon))
            for name, row in self._evidence.items()
        }

    def _drop_expired(self, now: float) -> None:
        if any(now - row.at > EVIDENCE_LIFE_S for row in self._evidence.values()):
            self._evidence = {
                name: row
                for name, row in self._evidence.items()
                if now - row.at <= EVIDENCE_LIFE_S
            }
