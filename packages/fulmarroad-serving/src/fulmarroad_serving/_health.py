"""Track the health of a backend server by the outcome of this router's own calls.

Load pattern: a server fails some of its calls, or never answers them, while it looks
idle. Balancing by load alone sends it more and more calls; the symptom is a rising
error rate while other servers have capacity. Failures raise a penalty that placement
adds to the server's estimate, and a server that can't be reached gets no calls for an
exponentially growing backoff.
"""

from __future__ import annotations

from attrs import define

FAILURE_WEIGHT = 0.25
"""Weight of one outcome in the moving average: a server that fails half of its calls is
detected after three outcomes."""

MIN_FAILURE_WEIGHT = 0.04
"""Weight of one outcome if many come in a second: at a router that places all calls of
a server, two failures in a row are chance, and it would get no calls for seconds."""

RECENT_HALF_LIFE_S = 1.0
"""Half-life of the number of outcomes by which their weight is chosen."""

PENALTY_S = 1.5
"""Time added to the estimate per unit of failure rate above `TOLERATED_RATE`: more than
any objective, so that a server that fails all calls is only used as a last resort."""

TOLERATED_RATE = 0.3
"""Failure rate without a penalty: some services normally fail part of their calls."""

MIN_BACKOFF_S = 0.25
MAX_BACKOFF_S = 4.0
"""Bounds of the backoff after a failed connection, doubled each time. A lost packet
costs a quarter of a second, and a lost server costs one attempt in four seconds."""

RATE_HALF_LIFE_S = 6.0
"""Half-life of a failure rate without calls, so that a server is tried again."""


@define
class ServerHealth:
    """Track the failure rate and the connection backoff of one server."""

    rate: float = 0.0
    updated_at: float = 0.0
    backoff_until: float = 0.0
    _backoff_s: float = 0.0
    _recent: float = 0.0  # outcomes, decaying

    def record_success(self, now: float) -> None:
        """Record a successful answer."""
        self._update_rate(0.0, now)
        self._backoff_s = 0.0
        self.backoff_until = 0.0

    def record_failure(self, now: float) -> None:
        """Record a call that the server failed, cut off or didn't answer."""
        self._update_rate(1.0, now)

    def unreachable(self, now: float) -> bool:
        """Record a failed connection attempt; return whether a backoff begins."""
        if now < self.backoff_until:
            return False
        self._backoff_s = min(MAX_BACKOFF_S, 2 * self._backoff_s or MIN_BACKOFF_S)
        self.backoff_until = now + self._backoff_s
        return True

    def in_backoff(self, now: float) -> bool:
        """Return whether the server gets no calls for now."""
        return now < self.backoff_until

    def penalty_s(self, now: float) -> float:
        """Return the time that placement adds to the server's estimate."""
        return PENALTY_S * max(0.0, self._decayed_rate(now) - TOLERATED_RATE)

    def _decayed_rate(self, now: float) -> float:
        return self.rate * 0.5 ** (max(0.0, now - self.updated_at) / RATE_HALF_LIFE_S)

    def _update_rate(self, outcome: float, now: float) -> None:
        rate = self._decayed_rate(now)
        elapsed_s = max(0.0, now - self.updated_at)
        self._recent = 1.0 + self._recent * 0.5 ** (elapsed_s / RECENT_HALF_LIFE_S)
        weight = min(FAILURE_WEIGHT, max(MIN_FAILURE_WEIGHT, 1.0 / self._recent))
        self.rate = rate + weight * (outcome - rate)
        self.updated_at = now
