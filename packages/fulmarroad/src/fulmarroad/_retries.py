"""Decide whether a request that failed at one backend server is tried at another.

Pattern of load: an outage. When servers fail, every caller's request turns into
several, and the retries hold down what is left of the pool; operators would notice
requests at the servers that grow to a multiple of the callers' while fewer succeed.
Retries are therefore paid from a budget that requests fill: in the long run at most
`RETRY_RATIO` of them, so the load is at most 1.1 times the callers' plus a constant.

Hedging (a second attempt beside a slow first one) is not built: it doubles work just
when servers are slow, and no measurement has shown a gain; see docs/DESIGN.md.
"""

from __future__ import annotations

import enum

from attrs import define, frozen

from fulmarroad.types import PoolName

RETRY_RATIO = 0.1
"""Retries that one request pays for: enough for the loss of a tenth of the servers,
where each request that met one is tried once more."""

RETRY_RATE = 0.1
"""Retries a second beyond the ratio, so a pool with a call a minute may retry as well;
370 routers together add 37 a second to 3,100 requests, about one in a hundred."""

RETRY_BURST = 10.0
"""Most retries saved up: one server's running requests when it dies, seen from one of
several routers, and no more."""

MOST_ATTEMPTS = 3
"""Attempts of one request: after two servers the third failure is the request's own
or the pool's."""


class RetryDecision(enum.StrEnum):
    """Say whether a failed request is tried again, and if not, why."""

    RETRY = "retry"
    NOT_REPEATABLE = "not_repeatable"
    NO_TIME = "no_time"
    TOO_MANY = "too_many"
    BUDGET_SPENT = "budget_spent"


@frozen
class Attempt:
    """Describe a failed attempt.

    `sent` says that a byte of the request may have left for the server, `answered`
    that a byte of an answer reached the caller; `number` counts from one;
    `remaining_s` is the time to the request's deadline and `expected_s` what another
    attempt is thought to take.
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
    filled_at: float


class RetryBudget:
    """Hold one token bucket for each pool."""

    def __init__(self) -> None:
        self._buckets: dict[PoolName, _Bucket] = {}

    def note_request(self, pool: PoolName, now: float) -> None:
        """Add what one request of a caller pays for."""
        bucket = self._filled(pool, now)
        bucket.tokens = min(RETRY_BURST, bucket.tokens + RETRY_RATIO)

    def may_retry(self, pool: PoolName, now: float) -> bool:
        """Take one retry from a pool's budget; tell whether there was one."""
        bucket = self._filled(pool, now)
        if bucket.tokens < 1.0:
            return False
        bucket.tokens -= 1.0
        return True

    def decide(self, pool: PoolName, attempt: Attempt, now: float) -> RetryDecision:
        """Decide on one failed attempt; only `RETRY` takes from the budget.

        Whatever is not `RETRY` is to be answered to the caller at once.
        """
        if attempt.answered or (attempt.sent and not attempt.repeatable):
            return RetryDecision.NOT_REPEATABLE
        if attempt.number >= MOST_ATTEMPTS:
            return RetryDecision.TOO_MANY
        if attempt.remaining_s <= attempt.expected_s:
            return RetryDecision.NO_TIME
        if not self.may_retry(pool, now):
            return RetryDecision.BUDGET_SPENT
        return RetryDecision.RETRY

    def _filled(self, pool: PoolName, now: float) -> _Bucket:
        bucket = self._buckets.setdefault(pool, _Bucket(RETRY_BURST, now))
        gained = RETRY_RATE * max(0.0, now - bucket.filled_at)
        bucket.tokens = min(RETRY_BURST, bucket.tokens + gained)
        bucket.filled_at = max(bucket.filled_at, now)
        return bucket
