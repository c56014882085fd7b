"""Count the outcomes of each workspace's calls at one router, second by second.

Load pattern: thousands of refusals at the one router that a large caller uses. The
log drops the lines of single calls first, so they could not show which workspace was
refused, for which reason and against which share. The counts need few lines, and the
log keeps these in preference to the lines of calls.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping

from attrs import define, field, frozen

from fulmarroad.types import RefusalReason, WorkspaceName

ON_TIME = "on_time"
LATE = "late"

LOAD_REFUSALS = frozenset(
    {
        RefusalReason.ABOVE_SHARE.value,
        RefusalReason.ROUTER_BUSY.value,
        RefusalReason.WAIT_TOO_LONG.value,
    }
)
"""Refusals through which a workspace gets less capacity than it requested."""

REPORT_INTERVAL_S = 1.0
MAX_REPORTED = 4
"""Maximum number of workspaces in one report, those with the most refusals."""


@frozen
class RefusedWorkspace:
    """Hold the outcomes of a workspace's calls in an interval with refusals."""

    workspace: WorkspaceName
    ends: Mapping[str, int]  # calls by outcome


@define
class WorkspaceOutcomes:
    """Count calls by workspace and outcome until they are reported."""

    _interval_start: float = 0.0
    _counts: dict[WorkspaceName, Counter[str]] = field(factory=dict)

    def note(self, workspace: WorkspaceName, outcome: str) -> None:
        """Count a finished call."""
        self._counts.setdefault(workspace, Counter())[outcome] += 1

    def pop_refusals(self, now: float) -> list[RefusedWorkspace]:
        """Return the workspaces to report if a report is due, and reset the counts."""
        if now - self._interval_start < REPORT_INTERVAL_S:
            return []
        ends, self._counts, self._interval_start = self._counts, {}, now
        refused = {name: _count_refusals(counts) for name, counts in ends.items()}
        names = sorted(filter(refused.__getitem__, refused), key=refused.__getitem__)
        return [
            RefusedWorkspace(name, dict(ends[name]))
            for name in names[::-1][:MAX_REPORTED]
        ]


def _count_refusals(counts: Mapping[str, int]) -> int:
    return sum(counts.get(outcome, 0) for outcome in LOAD_REFUSALS)
