"""Load shedding for a router that gets more calls than its processor can handle.

The balancer picks the router by caller, so one large caller can overload a small VM
while other VMs are idle. All calls share one event loop, and each further call makes
every iteration longer. Calls then miss their deadlines, and the router receives updates
too late. Operators would see unanswered callers at one VM whose processor is fully
used, and calls to servers that were already removed. The router therefore refuses calls
while the loop runs late, so that callers can retry at another router in time.

It refuses those first whose workspaces got most of their share. Otherwise a workspace
that fills the router takes a small one's calls along, whose callers may know no other
router with capacity; the small one then gets far less than its share.
"""

from __future__ import annotations

import random
from collections import deque

from attrs import define, field

from fulmarroad_serving._catalog import CallKind
from fulmarroad_serving._lateness import LoopLateness

LATE_S = 0.01
"""Sustained loop delay from which a growing fraction of streams is shed. A call needs
about ten loop iterations to its first token, so this adds a tenth of a second."""

FAR_TOO_LATE_S = 0.02
"""Sustained loop delay from which most streams are shed at once."""

FAR_TOO_LATE_FRACTION = 0.8
"""Fraction of streams that is shed from that delay on. The rest are those of workspaces
that got least of their share, and too few to keep the loop late by themselves; if they
aren't, the fraction goes on rising."""

RECENT_STREAMS = 64
"""Number of streams among which the router looks for those to shed first: about as many
as a small VM gets in half a second."""

SHORT_CALL_LATE_S = 0.025
"""Sustained loop delay from which a growing fraction of calls with a single answer is
shed. Such a call takes a small fraction of a stream's work."""

SHORT_CALL_FAR_TOO_LATE_S = 0.03
"""Sustained loop delay from which every call is shed: one admitted now would take
nearly a second."""

SHED_INCREASE = 0.1
"""Added to the shed fraction with each late sample."""

SHED_DECREASE = 0.03
"""Subtracted from the shed fraction with each other sample. Shedding all or nothing
would admit calls in bursts that slow each other down."""

SATURATED_FRACTION = 0.5
"""Shed fraction of streams from which callers should not use this router at all."""

SATURATED_S = 3.0
"""Time for which the router stays saturated after the last sample with that
fraction. A balancer that polls each second needs two to notice, and the calls already
sent end meanwhile."""

MAX_SATURATED_S = 24.0
"""Maximum time for which a router stays saturated if each return of its callers
saturates it again. The excess load then stays on larger VMs instead of moving back and
forth."""

REPEAT_WINDOW_S = 10.0
"""Time after the end of a saturation within which the next one counts as a repeat."""

RETRY_AFTER_S = (0.02, 0.1)
"""Shortest and longest retry delay. Another router has capacity now, and the spread
keeps callers refused in one loop iteration from retrying at the same time."""


@define
class SaturationGuard:
    """Shed calls while the event loop runs late."""

    lateness: LoopLateness
    _random: random.Random
    _stream_fraction: float = 0.0  # of streams that are shed
    _short_call_fraction: float = 0.0  # of calls with a single answer that are shed
    _sampled_at: float = 0.0
    _recent_uses: deque[float] = field(
        factory=lambda: deque(maxlen=RECENT_STREAMS), init=False
    )
    """Used fractions of the shares of the workspaces that sent the last streams."""
    _saturated_until: float = float("-inf")
    _saturated_for_s: float = SATURATED_S

    @property
    def saturated(self) -> bool:
        """Return whether callers should use other routers.

        Callers that keep their connections would go on sending calls here that are all
        shed, until no connection is left for anything else.
        """
        return self._sampled_at < self._saturated_until

    @property
    def stream_fraction(self) -> float:
        """Return the fraction of streams that is shed."""
        return self._stream_fraction

    @property
    def short_call_fraction(self) -> float:
        """Return the fraction of calls with a single answer that is shed."""
        return self._short_call_fraction

    def adapt(self, now: float) -> None:
        """Adjust the shed fractions to the newest sample of the loop's delay."""
        late_s = self.lateness.sustained_s
        self._stream_fraction = _adjusted(self._stream_fraction, late=late_s >= LATE_S)
        self._short_call_fraction = _adjusted(
            self._short_call_fraction, late=late_s >= SHORT_CALL_LATE_S
        )
        self._sampled_at = now
        if self._stream_fraction >= SATURATED_FRACTION:
            self._saturate(now)

    def _saturate(self, now: float) -> None:
        if not self.saturated:
            repeated = now - self._saturated_until < REPEAT_WINDOW_S
            longer_s = min(2 * self._saturated_for_s, MAX_SATURATED_S)
            self._saturated_for_s = longer_s if repeated else SATURATED_S
        self._saturated_until = now + self._saturated_for_s

    def should_shed(self, kind: CallKind, used_share: float) -> bool:
        """Return whether to shed a call of this kind now.

        `used_share` is the fraction of its share that the workspace uses.
        """
        late_s = self.lateness.sustained_s
        if kind is CallKind.STREAM:
            self._recent_uses.append(used_share)
        if late_s >= SHORT_CALL_FAR_TOO_LATE_S:
            return True
        if kind is not CallKind.STREAM:
            return self._random.random() < self._short_call_fraction
        fraction = self._stream_fraction
        if late_s >= FAR_TOO_LATE_S:
            fraction = max(fraction, FAR_TOO_LATE_FRACTION)
        return self._random.random() < self._shed_chance(used_share, fraction)

    def _shed_chance(self, used_share: float, fraction: float) -> float:
        """Return the chance that a stream is among the given fraction to be shed.

        That fraction are the streams whose workspaces used most of their share.
        """
        above = sum(use > used_share for use in self._recent_uses)
        equal = sum(use == used_share for use in self._recent_uses)
        return (fraction * len(self._recent_uses) - above) / equal

    def retry_after_s(self) -> float:
        """Return the seconds after which a shed caller should retry."""
        return self._random.uniform(*RETRY_AFTER_S)


def _adjusted(part: float, *, late: bool) -> float:
    """Return a shed fraction adjusted for one more sample."""
    return min(1.0, max(0.0, part + (SHED_INCREASE if late else -SHED_DECREASE)))
