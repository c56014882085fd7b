"""Tell refused callers when to return, and recognise those that do.

Load pattern: a surge beyond capacity, after which each refused caller returns once. At
a random time it meets the same surge, so the stated delay is when its turn is expected.
Its answer is late by then: without the admission queue it may wait all the same, in the
queue it counts as any late call.
"""

from __future__ import annotations

import enum
import math
from collections.abc import Callable

from attrs import define, evolve, field, frozen

from fulmarroad_serving._catalog import ServiceName
from fulmarroad_serving._demands import Demand, Refusal
from fulmarroad_serving._returns import Attempt
from fulmarroad_serving._workspace_outcomes import WorkspaceOutcomes
from fulmarroad_serving.admission._forecast import TurnForecast
from fulmarroad_serving.admission._reservations import Claim, Refused, ReservationBook

HONOURED_FRACTION = 1.0 / 3.0
"""Fraction of its remaining time up to which a caller honours `Retry-After`."""


class RetryOutcome(enum.StrEnum):
    """State what became of a scheduled retry."""

    SCHEDULED = "scheduled"
    CLAIMED = "claimed"
    EARLY = "early"
    MISSED = "missed"


@frozen
class OwnerBacklog:
    """Hold what waits at an owner for the engines of a service."""

    units: float  # of the calls that wait
    tokens_per_s: float  # that its engines read


def _make_outcomes() -> WorkspaceOutcomes:
    return WorkspaceOutcomes(refusals=frozenset(row.value for row in RetryOutcome))


@define
class ScheduledRetries:
    """Schedule the returns of the calls that one owner refuses."""

    outcomes: WorkspaceOutcomes = field(factory=_make_outcomes)
    """Numbers of calls by workspace, until the node logs them."""
    on_outcome: Callable[[RetryOutcome], None] = lambda outcome: None
    _book: ReservationBook = field(factory=ReservationBook)
    _forecasts: dict[ServiceName, TurnForecast] = field(factory=dict)

    def note_begun(self, demand: Demand, now: float) -> None:
        """Record a call that an engine of this owner began to answer."""
        self._forecast(demand.service).note_begun(demand.units, now)

    def claim(self, attempt: Attempt, demand: Demand, now: float) -> Attempt:
        """Return the attempt of a call, with its reservation if it has one."""
        self.drop_missed(now)
        claim, row = self._book.claim(demand.hash_fraction, now)
        if row is None:
            return attempt
        if claim is Claim.EARLY:
            self._note(row.workspace, RetryOutcome.EARLY)
            return attempt
        self._note(row.workspace, RetryOutcome.CLAIMED)
        return evolve(attempt, reserved=True)

    def schedule(
        self,
        demand: Demand,
        refusal: Refusal,
        remaining_s: float,
        backlog: OwnerBacklog,
        now: float,
        *,
        is_return: bool = False,
    ) -> float | None:
        """Return the delay after which a refused call should return, in seconds.

        Return None if its turn comes later than its caller would return, or if it has
        returned already: callers retry once. The moment of one that returned early
        stays the same.
        """
        self.drop_missed(now)
        latest_at = now + HONOURED_FRACTION * remaining_s
        at = self._book.moment_of(demand.hash_fraction)
        if at is not None:
            return at - now if now <= at <= latest_at else None
        if is_return:
            return None
        forecast, speed = self._forecast(demand.service), backlog.tokens_per_s
        rate = forecast.rate(now, speed)
        turn_at = forecast.turn_at(backlog.units, demand.units, speed, now)
        refused = Refused(
            demand.hash_fraction,
            demand.service,
            demand.workspace,
            demand.units,
            max(turn_at, now + refusal.excess_wait_s),
            latest_at,
            rate,
            refusal.use.used_fraction > 1.0,
        )
        at = self._book.reserve(refused, now) if math.isfinite(turn_at) else None
        if at is None:
            return None
        self._note(demand.workspace, RetryOutcome.SCHEDULED)
        return at - now

    def drop_missed(self, now: float) -> None:
        """End the reservations of callers that did not return."""
        for row in self._book.drop_missed(now):
            self._note(row.workspace, RetryOutcome.MISSED)

    def _note(self, workspace: str, outcome: RetryOutcome) -> None:
        self.outcomes.note(workspace, outcome.value)
        self.on_outcome(outcome)

    def _forecast(self, service: ServiceName) -> TurnForecast:
        return self._forecasts.setdefault(service, TurnForecast())
