"""Learn for how long servers keep prompt parts.

Load pattern: prompts share long parts, and nobody reports which parts an engine has
evicted. With little memory it keeps them for seconds, with much for minutes. If parts
count as cached for too long, engines seem to idle while their queues grow, and calls
begin late; if for too short, engines read again what they have. Parts without a record
are a case of their own: after a restart of the routers engines have them, after a start
of the engines they don't. The time until the first token tells in each case whether the
part was cached.
"""

from __future__ import annotations

from attrs import define

INITIAL_KEPT_S = 12.0
KEPT_S_BOUNDS = (2.0, 120.0)
"""Range of the time for which parts count as cached."""

KEPT_STEP = 1.03
"""Factor on that time for each part found cached, or not, about at its end."""

INITIAL_HIT_RATE = 0.95
"""Assumed fraction of cached ones among parts without a record: routers restart more
often than all engines do."""

HIT_LEARNING_RATE = 0.05
"""Weight of one first token: a dozen calls change the assumption, but no single burst
that finds queues misjudged."""

LIKELY_RATE = 0.5

NEVER_S = float("inf")
"""Age of a part without a record."""


@define
class PartRetention:
    """Estimate whether a server still has a part."""

    kept_s: float = INITIAL_KEPT_S
    hit_rate: float = INITIAL_HIT_RATE

    def is_kept(self, age_s: float) -> bool:
        """Return whether a server that was sent a part `age_s` ago still has it."""
        return age_s < self.kept_s

    @property
    def unrecorded_kept(self) -> bool:
        """Return whether a part without a record counts as cached at its home."""
        return self.hit_rate >= LIKELY_RATE

    def note(self, age_s: float, *, hit: bool) -> None:
        """Learn from a call whose part was sent to the server `age_s` before."""
        if age_s == NEVER_S:
            self.hit_rate += HIT_LEARNING_RATE * (float(hit) - self.hit_rate)
        elif self.kept_s / 2 < age_s < 2 * self.kept_s:
            low, high = KEPT_S_BOUNDS
            step = KEPT_STEP if hit else 1 / KEPT_STEP
            self.kept_s = min(max(self.kept_s * step, low), high)
