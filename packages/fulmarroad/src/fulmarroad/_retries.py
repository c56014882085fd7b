"""Retry budget: whether a request that failed at one backend server is tried again.

Load pattern: an outage. When servers fail, each caller's request becomes several, and
the retries overload the rest of the pool; the servers then get a multiple of the
callers' requests while fewer succeed. Retries are therefore taken from a budget that
requests fill: in the long run at most `RETRY_RATIO` retries per request, so the load is
at most 1.1 times the callers' plus a constant.

Hedging (a second attempt in parallel with a slow first one) is not implemented: it
doubles the work just when servers are slow, and no measurement has shown a gain; see
docs/DESIGN.md.
"""

from __future__ import annotations

import enum

from attrs import define, frozen

from fulmarroad.types import PoolName

RETRY_RATIO = 0.1
"""Retries that each request adds to the budget: enough for the loss of a tenth of the
servers, where each request sent to one of them is retried once."""

RETRY_RATE = 0.1
"""Retries per second added regardless of requests, so that a pool with one call a
minute may retry too. All 370 routers together add 37 a second to 3,100 requests, about
one in a hundred."""

RETRY_BURST = 10.0
"""Maximum number of saved retries: the requests that run at one server when it fails,
as seen from one of several routers."""

MAX_ATTEMPTS = 3
"""Maximum number of attempts per request: after failures at two servers, the cause of a
third failure is the request itself or the pool."""


class RetryDecision(enum.StrEnum):
    """Describe whether a failed request is retried, and if not, why."""

    RETRY = "retry"
    NOT_REPEATABLE = "not_repeatable"
    NO_TIME = "no_time"
    TOO_MANY = "too_many"
    BUDGET_SPENT = "budget_spent"


@frozen
class Attempt:
    """Describe a failed attempt.

    `sent` says whether a byte of the request may have been sent to the server,
    `answered` whether a byte of an answer reached the caller. `number` counts attempts
    from one. `remaining_s` is the time to the request's deadline, and `expected_s` the
    estimated duration of another attempt.
    """

    repeatable: bool
    sent: bool
    answered: bool
    number: int
    remaining_s: float
    expected_s: float = 0.0


@define
class _Bucket:
    tokens: float
    refilled_at: float


class RetryBudget:
    """Limit retries with one token bucket per pool."""

    def __init__(self) -> None:
        self._buckets: dict[PoolName, _Bucket] = {}

    def note_request(self, pool: PoolName, now: float) -> None:
        """Add the retries that one request of a caller is worth, `RETRY_RATIO`."""
        bucket = self._refill(pool, now)
        bucket.tokens = min(RETRY_BURST, bucket.tokens + RETRY_RATIO)

    def take_retry(self, pool: PoolName, now: float) -> bool:
        """Take one retry from a pool's budget; return whether there was one."""
        bucket = self._refill(pool, now)
        if bucket.tokens < 1.0:
            return False
        bucket.tokens -= 1.0
        return True

    def decide(self, pool: PoolName, attempt: Attempt, now: float) -> RetryDecision:
        """Decide whether to retry a failed attempt.

        Only `RETRY` reduces the budget. After any other decision the caller must be
        answered at once.
        """
        if attempt.answered or (attempt.sent and not attempt.repeatable):
            return RetryDecision.NOT_REPEATABLE
        if attempt.number >= MAX_ATTEMPTS:
            return RetryDecision.TOO_MANY
        if attempt.remaining_s <= attempt.expected_s:
            return RetryDecision.NO_TIME
        if not self.take_retry(pool, now):
            return RetryDecision.BUDGET_SPENT
        return RetryDecision.RETRY

    def _refill(self, pool: PoolName, now: float) -> _Bucket:
        bucket = self._buckets.setdefault(pool, _Bucket(RETRY_BURST, now))
        refilled = RETRY_RATE * max(0.0, now - bucket.refilled_at)
        bucket.tokens = min(RETRY_BURST, bucket.tokens + refilled)
        bucket.refilled_at = max(bucket.refilled_at, now)
        return bucket
