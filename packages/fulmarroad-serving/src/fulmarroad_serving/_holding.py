"""Decide how long a call that finds no place is held, and how often it looks again.

Pattern of load: engines that are busy, but whose queues come and go within a tenth of a
second. A call that is turned away at a bad moment comes back after a third of a second
or more and is late whatever happens, though an engine was free soon after; operators
would notice refusals beside engines that idle. So a call is held while it may still
begin on time, and refused as soon as it can't. Calls of workspaces that use less of
their share look more often and so find a place first, and nobody looks before the
queue can have moved: at a router with hundreds of held calls the looks would else take
more of its processor than the calls that it serves.
"""

from __future__ import annotations

from attrs import define

from fulmarroad.types import RefusalReason
from fulmarroad_serving._demands import Refusal

HELD_FRACTION = 0.5
"""Part of the objective that a call may be held, with the time of its reading. The rest
is margin: held longer, a call goes where an estimate that is off makes it late."""

POLL_INTERVAL_S = 0.01
"""Time between two looks of a call whose workspace uses nothing of its share; twice as
long at its share, three times above. About one step of an engine."""

LONGEST_LOOK_S = 0.04
"""Time after which a call looks again however long the queue was: a call that ends, or
news of another engine, makes room at any moment."""

QUEUE_PART = 0.15
"""Part of the time until a queue would be short enough after which its call looks
again: other engines come free sooner."""

LOOKS_PER_S = 400.0
"""Looks of all held calls of a router in a second: at some 0.1 ms each they take 4% of
a core."""

PLACING_S = 0.02
"""Time that is kept free for sending, beside the reading: two steps of an engine."""


@define
class HeldCalls:
    """Count the calls that a router holds and pace their looks."""

    count: int = 0

    def next_poll_s(
        self, refusal: Refusal, objective_s: float, held_s: float
    ) -> float | None:
        """Return the time until a call looks again, or nothing if it is to be refused.

        `objective_s` is the whole objective, `held_s` what has passed of it.
        """
        if refusal.reason is not RefusalReason.WAIT_TOO_LONG:
            return None
        if held_s + refusal.read_s + PLACING_S >= HELD_FRACTION * objective_s:
            return None
        pace = POLL_INTERVAL_S * (1.0 + min(2.0, refusal.use.used_fraction))
        queue_s = min(QUEUE_PART * refusal.excess_wait_s, LONGEST_LOOK_S)
        return max(pace, queue_s, self.count / LOOKS_PER_S)
