"""Who is turned away when not everybody can be served: max-min shares by workspace.

Pattern of load: a few workspaces ask several times their usual. First come first served
then hands out capacity in proportion to what is asked, so that small workspaces are
crowded out; operators would notice refusals of workspaces that ask for little. Each
router counts what every workspace asked and got, in tokens read and generated, hears
the same from its peers, and works out the level at which the capacity is used up. A
workspace below the level may wait almost up to its objective; the further it is above,
the less wait it is granted, until only idle engines take it. Nothing is turned away
while engines idle.
"""

from __future__ import annotations

from collections.abc import Mapping

from attrs import define, field, frozen

from fulmarroad.types import RouterName, WorkspaceName
from fulmarroad_serving._budgets import SlidingSum

SHARE_WINDOW_S = 4.0
"""Time over which shares are evened out, as the deployments state it."""

PEER_FRESH_S = 2.0
"""Age at which a peer's counts are dropped: ten of its reports."""

FULL_WAIT = 1.0
"""Part of an objective that a workspace far below its share may wait."""

WAIT_SLOPE = 0.45
"""Wait that is lost for each whole share used: at its share a workspace may still wait
for 0.7 of the objective, so that half of the shares are not left to chance."""

REFRESH_S = 0.1
"""Age of the level that calls are judged by; peers' counts are older than that."""

LEAST_WAIT = 0.2
"""Part that even the largest workspace may wait: an engine with less waiting than this
has room for everybody."""


@frozen
class WorkspaceCount:
    """Hold what a workspace asked and got in the window, in units of service."""

    asked: float
    got: float


def max_min_level(asked: Mapping[WorkspaceName, float], capacity: float) -> float:
    """Return the largest share at which all shares fit into the capacity.

    A workspace that asks for less than the level keeps what it asks. The level is
    infinite where everything fits.
    """
    left = capacity
    rest = sorted(value for value in asked.values() if value > 0)
    for index, value in enumerate(rest):
        level = left / (len(rest) - index)
        if value > level:
            return level
        left -= value
    return float("inf")


def wait_part(use: float) -> float:
    """Return the part of an objective that may be spent waiting, by the share used."""
    return max(LEAST_WAIT, min(FULL_WAIT, FULL_WAIT + 0.15 - WAIT_SLOPE * use))


@define
class ShareBook:
    """Count what workspaces ask and get in the whole fleet."""

    units_per_s: float = 0.0  # capacity to share; 0: what is handed out now
    window_s: float = SHARE_WINDOW_S
    _asked: dict[WorkspaceName, SlidingSum] = field(factory=dict)
    _got: dict[WorkspaceName, SlidingSum] = field(factory=dict)
    _peers: dict[RouterName, tuple[float, Mapping[WorkspaceName, WorkspaceCount]]] = (
        field(factory=dict)
    )
    _summed_at: float = float("-inf")
    _totals: dict[WorkspaceName, WorkspaceCount] = field(factory=dict)
    _level: float = float("inf")

    def note_asked(self, workspace: WorkspaceName, units: float, now: float) -> None:
        """Count a call that came in."""
        self._window(self._asked, workspace).add(units, now)

    def note_got(self, workspace: WorkspaceName, units: float, now: float) -> None:
        """Count a call that is sent to a server."""
        self._window(self._got, workspace).add(units, now)

    def hear(
        self,
        router: RouterName,
        counts: Mapping[WorkspaceName, WorkspaceCount],
        now: float,
    ) -> None:
        """Take a peer's counts in."""
        self._peers[router] = (now, counts)

    def own_counts(self, now: float) -> dict[WorkspaceName, WorkspaceCount]:
        """Return this router's counts, for its peers."""
        counts = {}
        for workspace, asked in list(self._asked.items()):
            total = asked.total(now)
            got = self._got.get(workspace)
            count = WorkspaceCount(total, got.total(now) if got else 0.0)
            if count.asked or count.got:
                counts[workspace] = count
            else:
                del self._asked[workspace]
                self._got.pop(workspace, None)
        return counts

    def use_of(self, workspace: WorkspaceName, units: float, now: float) -> float:
        """Return the part of its share that a workspace would have used with a call.

        One is its whole share; 0 where everything that is asked fits.
        """
        if now - self._summed_at >= REFRESH_S:
            self._sum(now)
        if self._level == float("inf") or self._level <= 0:
            return 0.0
        count = self._totals.get(workspace)
        return ((count.got if count else 0.0) + units) / self._level

    def _sum(self, now: float) -> None:
        totals = self.own_counts(now)
        for at, counts in self._peers.values():
            if now - at >= PEER_FRESH_S:
                continue
            for name, theirs in counts.items():
                mine = totals.get(name, WorkspaceCount(0.0, 0.0))
                totals[name] = WorkspaceCount(
                    mine.asked + theirs.asked, mine.got + theirs.got
                )
        capacity = self.units_per_s * self.window_s
        if not capacity:
            capacity = sum(count.got for count in totals.values())
        asked = {name: count.asked for name, count in totals.items()}
        self._summed_at = now
        self._totals = totals
        self._level = max_min_level(asked, capacity)

    def _window(
        self, windows: dict[WorkspaceName, SlidingSum], workspace: WorkspaceName
    ) -> SlidingSum:
        window = windows.get(workspace)
        if window is None:
            window = windows[workspace] = SlidingSum(self.window_s)
        return window
