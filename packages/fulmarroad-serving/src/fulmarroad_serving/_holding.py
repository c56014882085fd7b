"""Decide how long a call without a free engine is held, and how often it polls for one.

Load pattern: engines are busy, but their queues grow and shrink within a tenth of a
second. A caller retries a refused call after a third of a second or more, so the call
is late in any case, although an engine became free soon after the refusal. The symptom
is refusals while engines idle. So a call is held while it can still begin on time, and
refused as soon as it can't. Calls of workspaces that use less of their share poll more
often and so are placed first. No call polls before the queue can have changed: at a
router with hundreds of held calls, polling would otherwise use more CPU time than the
calls that it serves.
"""

from __future__ import annotations

from attrs import define

from fulmarroad.types import RefusalReason
from fulmarroad_serving._demands import Refusal

HELD_FRACTION = 0.5
"""Fraction of the objective for holding a call and reading its prompt together. The
rest is margin for wrong estimates, which would make a call held for longer late."""

POLL_INTERVAL_S = 0.01
"""Poll interval of a call whose workspace uses none of its share; twice as long at a
fully used share, and three times at twice the share or more. About one engine step."""

MAX_POLL_INTERVAL_S = 0.04
"""Upper bound of the poll interval for long queues: a call that ends, or another
engine that is added, can free capacity at any time."""

QUEUE_FRACTION = 0.15
"""Fraction of the time until the queue would be short enough after which a call polls:
other engines become free sooner."""

MAX_POLLS_PER_S = 400.0
"""Maximum polls a second for all held calls of a router: at about 0.1 ms each they use
4% of a core."""

SEND_MARGIN_S = 0.02
"""Time reserved for sending, in addition to the reading: two engine steps."""


@define
class HeldCalls:
    """Count the calls that a router holds and schedule their polls."""

    count: int = 0

    def next_poll_s(
        self, refusal: Refusal, objective_s: float, held_s: float
    ) -> float | None:
        """Return the time until a call polls again, or None if it must be refused.

        `objective_s` is the whole objective, `held_s` the elapsed part of it.
        """
        if refusal.reason is not RefusalReason.WAIT_TOO_LONG:
            return None
        if held_s + refusal.read_s + SEND_MARGIN_S >= HELD_FRACTION * objective_s:
            return None
        share_interval_s = POLL_INTERVAL_S * (1.0 + min(2.0, refusal.use.used_fraction))
        queue_interval_s = min(
            QUEUE_FRACTION * refusal.excess_wait_s, MAX_POLL_INTERVAL_S
        )
        return max(share_interval_s, queue_interval_s, self.count / MAX_POLLS_PER_S)

    @staticmethod
    def is_futile(refusal: Refusal, objective_s: float, held_s: float) -> bool:
        """Return whether a queue won't be short enough while its call is held."""
        left_s = HELD_FRACTION * objective_s - held_s - refusal.read_s - SEND_MARGIN_S
        return refusal.excess_wait_s > left_s
