"""Tell calls that return after a refusal from first attempts.

Load pattern: more calls than the servers can carry, and each caller that was refused
tries again. Its first objective has passed by then, so its answer is late whatever
happens, but it would take the place of a call that can still begin on time. That one is
refused, returns and does the same. The symptom is many late answers and few on time,
although servers are busy all the time. So a call that is late in any case only gets
what first attempts leave free.

The owner of a server gets all calls for its prompt parts, so it recognises a return
whichever router it comes through.
"""

from __future__ import annotations

from collections import OrderedDict

from attrs import define, evolve, field, frozen

from fulmarroad_serving._demands import Demand

REMEMBERED_S = 8.0
"""Time for which a refused call is remembered: the longest deadlines of callers."""

MAX_REMEMBERED = 8_192
"""Maximum number of remembered calls; the oldest are dropped first."""

LATE_WAIT_FRACTION = 0.3
"""Fraction of its objective that a call may wait if it is late in any case. With less,
servers would idle at times although callers wait."""

MIN_LEFT_S = 0.1
"""Remaining objective below which a call counts as late in any case: a server takes
about that long to read its prompt."""


@frozen
class Attempt:
    """Hold what a call may still use of its objective."""

    demand: Demand  # with the objective that is left
    first_at: float  # time of the first attempt
    late_anyway: bool = False
    reserved: bool = False  # returned in its window; only read without the queue


@define
class RefusedCalls:
    """Remember when calls that were refused first came."""

    _first_at: OrderedDict[float, float] = field(factory=OrderedDict)

    def note_refused(self, demand: Demand, first_at: float) -> None:
        """Record a refusal of a call whose first attempt came at `first_at`."""
        self._first_at[demand.hash_fraction] = first_at
        if len(self._first_at) > MAX_REMEMBERED:
            self._first_at.popitem(last=False)

    def attempt(self, demand: Demand, now: float) -> Attempt:
        """Return what a call that comes now may still use of its objective.

        A refusal stands for one return, as callers may send equal requests.
        """
        first_at = self._first_at.pop(demand.hash_fraction, None)
        if first_at is None or now - first_at >= REMEMBERED_S:
            return Attempt(demand, now)
        left_s = demand.objective_s - (now - first_at)
        if left_s >= MIN_LEFT_S:
            return Attempt(evolve(demand, objective_s=left_s), first_at)
        left_s = LATE_WAIT_FRACTION * demand.objective_s
        return Attempt(evolve(demand, objective_s=left_s), first_at, late_anyway=True)
