"""How much a router trusts a backend server, from the calls that it sent itself.

Pattern of load: a server that fails or swallows part of its calls while it looks idle.
Balancing by load alone sends it ever more; operators would notice errors that rise
while other servers have room. Failures raise a penalty that placement adds to the
server's estimate, and a server that can't be reached gets nothing for a growing pause.
"""

from __future__ import annotations

from attrs import define

FAILURE_WEIGHT = 0.25
"""Weight of one outcome in the mean: a server that fails half shows after three."""

PENALTY_S = 1.5
"""Estimate added at a failure rate of one: more than any objective, so that a server
which fails all is used only where nothing else is."""

TOLERATED_RATE = 0.3
"""Failure rate without a penalty: some services fail part of their calls by nature."""

FIRST_PAUSE_S = 0.25
LONGEST_PAUSE_S = 4.0
"""Pause after a server could not be reached, doubled each time. A lost packet costs a
quarter of a second, a server that is gone one try in four seconds."""

FORGET_S = 6.0
"""Time in which a failure rate halves without calls, so a server gets its chance."""


@define
class ServerHealth:
    """Hold what one router's calls told of one server."""

    rate: float = 0.0
    updated_at: float = 0.0
    backoff_until: float = 0.0
    _backoff_s: float = 0.0

    def record_success(self, now: float) -> None:
        """Note a good answer."""
        self._move(0.0, now)
        self._backoff_s = 0.0
        self.backoff_until = 0.0

    def record_failure(self, now: float) -> None:
        """Note a call that the server failed, cut off or left without an answer."""
        self._move(1.0, now)

    def unreachable(self, now: float) -> None:
        """Note that no connection could be made."""
        if now < self.backoff_until:
            return
        self._backoff_s = min(LONGEST_PAUSE_S, 2 * self._backoff_s or FIRST_PAUSE_S)
        self.backoff_until = now + self._backoff_s

    def in_backoff(self, now: float) -> bool:
        """Tell whether the server gets nothing for now."""
        return now < self.backoff_until

    def penalty_s(self, now: float) -> float:
        """Return what placement adds to the server's estimate."""
        return PENALTY_S * max(0.0, self._now(now) - TOLERATED_RATE)

    def _now(self, now: float) -> float:
        return self.rate * 0.5 ** (max(0.0, now - self.updated_at) / FORGET_S)

    def _move(self, outcome: float, now: float) -> None:
        rate = self._now(now)
        self.rate = rate + FAILURE_WEIGHT * (outcome - rate)
        self.updated_at = now
