"""Count the outcomes of each workspace's calls or placements, second by second.

Load pattern: thousands of refusals at the one router that a large caller uses. The
log drops the lines of single calls first, so they could not show which workspace was
refused, for which reason and against which share. The counts need few lines, and the
log keeps these in preference to the lines of calls.

A router counts how the calls of its own callers ended, in calls, and what it decided on
calls to be placed, of its own and for other routers, in units of service.
"""

from __future__ import annotations

import enum
from collections import Counter
from collections.abc import Collection, Mapping

from attrs import define, field, frozen

from fulmarroad.types import RefusalReason, WorkspaceName
from fulmarroad_serving._obstacles import Obstacle

ON_TIME = "on_time"
LATE = "late"

LOAD_REFUSALS = frozenset(
    {
        RefusalReason.ABOVE_SHARE.value,
        RefusalReason.QUEUE_FULL.value,
        RefusalReason.ROUTER_BUSY.value,
        RefusalReason.WAIT_TOO_LONG.value,
    }
)
"""Refusals through which a workspace gets less capacity than it requested."""


class PlacementOutcome(enum.StrEnum):
    """State what became of a call that was to be placed."""

    PLACED = "placed"
    REFUSED = "refused"
    RETURN_PLACED = "return_placed"
    RETURN_REFUSED = "return_refused"
    GIVEN_BACK = "given_back"  # placed here, but not sent by its router
    LOST = "lost"  # ended unanswered at its server, before its first part


PLACEMENT_REFUSALS = frozenset(
    {
        PlacementOutcome.REFUSED,
        PlacementOutcome.RETURN_REFUSED,
        PlacementOutcome.GIVEN_BACK,
        PlacementOutcome.LOST,
    }
)


class RequestOutcome(enum.StrEnum):
    """State what became of a request for a place, at the router that sent it.

    A place that this router may not use counts as given back, with the `Obstacle`.
    """

    SENT = "sent"
    REFUSED = "refused"
    NO_REPLY = "no_reply"
    NOT_OWNER = "not_owner"  # or the owner lacks a server for the call
    UNUSED = "unused"  # granted, but the call could not be sent


def given_back(obstacle: Obstacle) -> str:
    """Return the outcome of a place that this router may not use."""
    return f"given_back_{obstacle}"


UNMET_REQUESTS = frozenset(
    {
        *(row.value for row in RequestOutcome if row is not RequestOutcome.SENT),
        *map(given_back, Obstacle),
    }
)

REPORT_INTERVAL_S = 1.0
MAX_REPORTED = 4
"""Maximum number of workspaces in one report, those with the most refusals."""


@frozen
class RefusedWorkspace:
    """Hold the outcomes of a workspace's calls in an interval with refusals."""

    workspace: WorkspaceName
    ends: Mapping[str, int]  # calls or units of service by outcome


@define
class WorkspaceOutcomes:
    """Count calls by workspace and outcome until they are reported."""

    _refusals: Collection[str] = field(default=LOAD_REFUSALS, kw_only=True)
    _interval_start: float = 0.0
    _counts: dict[WorkspaceName, Counter[str]] = field(factory=dict)

    def note(self, workspace: WorkspaceName, outcome: str, amount: int = 1) -> None:
        """Count a call, or an amount of units of service."""
        self._counts.setdefault(workspace, Counter())[outcome] += amount

    def pop_refusals(self, now: float) -> list[RefusedWorkspace]:
        """Return the workspaces to report if a report is due, and reset the counts."""
        if now - self._interval_start < REPORT_INTERVAL_S:
            return []
        ends, self._counts, self._interval_start = self._counts, {}, now
        refused = {name: self._refused(counts) for name, counts in ends.items()}
        names = sorted(filter(refused.__getitem__, refused), key=refused.__getitem__)
        return [
            RefusedWorkspace(name, dict(ends[name]))
            for name in names[::-1][:MAX_REPORTED]
        ]

    def _refused(self, counts: Mapping[str, int]) -> int:
        return sum(counts.get(outcome, 0) for outcome in self._refusals)


class PlacementOutcomes(WorkspaceOutcomes):
    """Count the decisions on placements, in units of service."""

    def __init__(self) -> None:
        super().__init__(refusals=PLACEMENT_REFUSALS)

    def note_decision(
        self,
        workspace: WorkspaceName,
        units: float,
        *,
        placed: bool,
        is_return: bool = False,
    ) -> None:
        """Count the final decision on a call."""
        if placed:
            first, later = PlacementOutcome.PLACED, PlacementOutcome.RETURN_PLACED
        else:
            first, later = PlacementOutcome.REFUSED, PlacementOutcome.RETURN_REFUSED
        self.note(workspace, later if is_return else first, round(units))

    def note_given_back(self, workspace: WorkspaceName, units: float) -> None:
        """Count a place of another router's call that was not used."""
        self.note(workspace, PlacementOutcome.GIVEN_BACK, round(units))

    def note_lost(self, workspace: WorkspaceName, units: float) -> None:
        """Count a call that ended unanswered at its server before its first part."""
        self.note(workspace, PlacementOutcome.LOST, round(units))
