"""Decide whom a router turns away that gets more calls than its processor carries.

Pattern of load: the balancer picks a router by its caller, so one large caller fills a
small VM while its neighbours idle. All calls there share the turns of one event loop;
with each call more, every turn takes longer, and soon none of them ends in time and the
router itself learns too late what it must not do any more. Operators would notice
callers without an answer at one VM whose processor is used up, and servers that get
calls after they have left. So calls are turned away as long as the loop runs late: told
at once, their callers come back by another router and are still served on time.
"""

from __future__ import annotations

import random

from attrs import define

from fulmarroad_serving._catalog import CallKind
from fulmarroad_serving._lateness import LoopLateness

LATE_S = 0.01
"""Standing delay that counts as late. A call takes some ten turns to its first token,
so that the delay adds a tenth of a second to it."""

FAR_TOO_LATE_S = 0.02
"""Standing delay at which every stream is turned away."""

SHORT_CALL_LATE_S = 0.025
"""Standing delay that counts as late for calls with one answer: they take a small part
of a stream's work."""

SHORT_CALL_FAR_TOO_LATE_S = 0.03
"""Standing delay at which every call is turned away: one let in now would end after
nearly a second."""

MORE = 0.1
"""Added with each late sample to the part of calls that is turned away."""

LESS = 0.03
"""Taken from that part with each other sample. All or nothing would let calls in by
the bunch, each of which slows down all others of its bunch."""

SATURATED_PART = 0.5
"""Part of streams turned away from which new callers should not come here at all."""

SATURATED_S = 3.0
"""Time for which they should not, from the last sample that said so: a balancer that
asks each second takes two to notice, and the calls that it sent end meanwhile."""

LONGEST_SATURATED_S = 24.0
"""The same for a router that was saturated again each time that callers came back: what
it can't bear goes to VMs that can, instead of to and fro."""

AGAIN_S = 10.0
"""Time after callers came back within which the next saturation counts as the same."""

RETRY_AFTER_S = (0.02, 0.1)
"""Earliest and latest return: another router has room now, and the spread keeps those
that were turned away in one turn from coming back in one."""


@define
class SaturationGuard:
    """Turn calls away while the event loop runs late."""

    lateness: LoopLateness
    _random: random.Random
    _part: float = 0.0  # of streams that are turned away
    _short_part: float = 0.0  # of calls with one answer
    _now: float = 0.0
    _saturated_until: float = float("-inf")
    _pause_s: float = SATURATED_S

    @property
    def saturated(self) -> bool:
        """Tell whether callers should use other routers.

        Those that keep their connection would go on sending here, each of them turned
        away, until none is left for anything else.
        """
        return self._now < self._saturated_until

    def adapt(self, now: float) -> None:
        """Follow the newest sample of the loop's delay."""
        late_s = self.lateness.sustained_s
        self._part = _moved(self._part, late=late_s >= LATE_S)
        self._short_part = _moved(self._short_part, late=late_s >= SHORT_CALL_LATE_S)
        self._now = now
        if self._part >= SATURATED_PART:
            self._saturate(now)

    def _saturate(self, now: float) -> None:
        if not self.saturated:
            again = now - self._saturated_until < AGAIN_S
            longer_s = min(2 * self._pause_s, LONGEST_SATURATED_S)
            self._pause_s = longer_s if again else SATURATED_S
        self._saturated_until = now + self._pause_s

    def should_shed(self, kind: CallKind) -> bool:
        """Tell whether a call of a kind is one too many now."""
        late_s = self.lateness.sustained_s
        if kind is CallKind.STREAM:
            limit_s, part = FAR_TOO_LATE_S, self._part
        else:
            limit_s, part = SHORT_CALL_FAR_TOO_LATE_S, self._short_part
        return late_s >= limit_s or self._random.random() < part

    def retry_after_s(self) -> float:
        """Return the time after which a caller should come back."""
        return self._random.uniform(*RETRY_AFTER_S)


def _moved(part: float, *, late: bool) -> float:
    """Return a part that is turned away after one more sample."""
    return min(1.0, max(0.0, part + (MORE if late else -LESS)))
