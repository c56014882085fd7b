"""Count how the calls of each workspace end at one router, second by second.

Pattern of load: thousands of refusals at the one router that a large caller uses. The
lines of single calls are dropped there first, and nobody could tell afterwards which
workspace was turned away, for which cause and against which share. So their numbers
are told in few lines, which go ahead of those.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping

from attrs import define, field, frozen

from fulmarroad.types import RefusalReason, WorkspaceName

ON_TIME = "on_time"
LATE = "late"

BY_LOAD = frozenset(
    {
        RefusalReason.ABOVE_SHARE.value,
        RefusalReason.ROUTER_BUSY.value,
        RefusalReason.WAIT_TOO_LONG.value,
    }
)
"""Outcomes by which a workspace got less than it asked for."""

REPORT_INTERVAL_S = 1.0
MAX_REPORTED = 4
"""Workspaces told at a time, those that were turned away most often."""


@frozen
class TurnedAway:
    """Say how a workspace's calls ended within a time in which some were refused."""

    workspace: WorkspaceName
    ends: Mapping[str, int]  # calls by outcome


@define
class WorkspaceOutcomes:
    """Count calls until they are told."""

    _since: float = 0.0
    _ends: dict[WorkspaceName, Counter[str]] = field(factory=dict)

    def note(self, workspace: WorkspaceName, outcome: str) -> None:
        """Count a call that ended."""
        self._ends.setdefault(workspace, Counter())[outcome] += 1

    def pop_refusals(self, now: float) -> list[TurnedAway]:
        """Return whom to tell of now, if anybody, and begin to count anew."""
        if now - self._since < REPORT_INTERVAL_S:
            return []
        ends, self._ends, self._since = self._ends, {}, now
        refused = {name: _refused(counts) for name, counts in ends.items()}
        names = sorted(filter(refused.__getitem__, refused), key=refused.__getitem__)
        return [
            TurnedAway(name, dict(ends[name])) for name in names[::-1][:MAX_REPORTED]
        ]


def _refused(counts: Mapping[str, int]) -> int:
    return sum(counts.get(outcome, 0) for outcome in BY_LOAD)
