"""Divide scarce capacity between workspaces by max-min fair shares.

Load pattern: a few workspaces ask for several times their usual demand. First come
first served divides capacity in proportion to demand and crowds out small workspaces;
the symptom is refusals of workspaces that ask for little. Each router counts the demand
and the granted service of every workspace, in tokens read and generated, receives the
same counts from its peers, and computes the share level at which the capacity is used
up. A workspace below the level may wait for its whole objective; one above it may
hardly wait, so it only uses capacity that others leave free. Nothing is refused while
engines idle.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping

from attrs import define, field, frozen

from fulmarroad.types import RouterName, WorkspaceName
from fulmarroad_serving._budgets import SlidingSum

SHARE_WINDOW_S = 4.0
"""Default window over which shares are balanced, as specified for deployments."""

PEER_FRESH_S = 2.0
"""Age at which a peer's counts expire: ten report intervals."""

FULL_WAIT_USE = 0.9
MIN_WAIT_USE = 1.1
"""Used fractions of a share up to which a workspace may wait for its whole objective,
and from which it only gets idle engines. The level follows the service granted now, so
the largest workspaces stay close to it and others are served first. A lower value for
the start of the slope refuses calls within their share while engines idle."""

REFRESH_S = 0.1
"""Interval at which totals and levels are recomputed; peers' counts are older than
that."""

UNDERSERVED_FRACTION = 0.6
"""Fraction of its demand, or of what the best served workspace gets if that is less,
below which a workspace is underserved. Shares count as unfair below a fraction of a
half; the rest is margin."""

MIN_UNDERSERVED_DEMAND = 0.2
"""Minimum demand of an underserved workspace, as a fraction of what the best served one
gets: a few calls refused by chance are no reason to refuse others."""

UNDERSERVED_WAIT_FRACTION = 0.6
"""Minimum wait fraction of an underserved workspace that is above its share; about that
of one exactly at its share. The largest workspaces then use only idle engines, but with
few engines left there is always a queue, and without this wait the placement of calls
would depend on chance."""

MIN_WAIT_FRACTION = 0.06
"""Minimum wait fraction, even of the largest workspace: an engine whose queue is
shorter than a small prompt has capacity for everyone."""


@frozen
class WorkspaceCount:
    """Hold the demand and granted service of a workspace in the window, in units."""

    asked: float
    got: float


def max_min_level(asked: Mapping[WorkspaceName, float], capacity: float) -> float:
    """Return the largest share level at which all shares fit into the capacity.

    A workspace that asks for less than the level gets all it asks for. The level is
    infinite if the whole demand fits.
    """
    left = capacity
    rest = sorted(value for value in asked.values() if value > 0)
    for index, value in enumerate(rest):
        level = left / (len(rest) - index)
        if value > level:
            return level
        left -= value
    return float("inf")


def wait_fraction(use: float) -> float:
    """Return the fraction of an objective that a call may wait, by the share used."""
    return max(
        MIN_WAIT_FRACTION,
        min(1.0, (MIN_WAIT_USE - use) / (MIN_WAIT_USE - FULL_WAIT_USE)),
    )


def share_level(totals: Mapping[WorkspaceName, WorkspaceCount], stated: float) -> float:
    """Return the share level for the granted or the stated capacity, the larger one.

    With prompts that are mostly cached, engines provide more than the stated capacity;
    with that alone, the workspace that asks most would get the whole surplus. The
    granted service alone isn't enough either: after a restart it is zero, every
    workspace exceeds a share of zero, and all calls would be refused for good.
    """
    asked = {name: count.asked for name, count in totals.items()}
    granted = sum(count.got for count in totals.values())
    return max_min_level(asked, max(granted, stated))


def underserved_workspaces(
    totals: Mapping[WorkspaceName, WorkspaceCount],
) -> frozenset[WorkspaceName]:
    """Return the workspaces that get far less than they ask for and than others get."""
    most = max((count.got for count in totals.values()), default=0.0)
    return frozenset(
        name
        for name, count in totals.items()
        if count.asked >= MIN_UNDERSERVED_DEMAND * most
        and count.got < UNDERSERVED_FRACTION * min(count.asked, most)
    )


def shortage(totals: Mapping[WorkspaceName, WorkspaceCount]) -> float:
    """Return the fraction of the total demand that isn't granted."""
    asked = sum(count.asked for count in totals.values())
    got = sum(min(count.got, count.asked) for count in totals.values())
    return 1.0 - got / asked if asked else 0.0


@frozen
class ShareStatus:
    """Hold a workspace's demand and granted service in the window, fleet-wide."""

    asked: float
    got: float
    level: float  # an equal share; infinite if the whole demand fits


@frozen
class ShareUse:
    """Hold how much of its share a workspace uses, and how it compares to others."""

    used_fraction: float = 0.0  # of an equal share of the capacity; 1: all of it
    among_largest: bool = False  # gets about as much as the best served one
    is_underserved: bool = False  # gets far less than it asks for and than others get
    others_underserved: bool = False  # some other workspace is underserved
    shortage: float = 0.0  # refused fraction of the total demand

    @property
    def idle_engines_only(self) -> bool:
        """Return whether the workspace may only use idle engines.

        Engines' queues grow and shrink within a tenth of a second. A workspace with
        many calls finds a short queue by chance, however little it may wait, and would
        keep several times the share of one with few calls. It may still use idle
        engines, so no capacity is wasted while underserved workspaces use others.
        """
        return self.among_largest and self.others_underserved

    @property
    def may_spread(self) -> bool:
        """Return whether more engines may read the shared parts of its prompts again.

        Above its share they may not, because its surplus would use engine time of all
        others; but an underserved workspace would be restricted to engines that happen
        to be busy while others idle.
        """
        return self.is_underserved or self.used_fraction <= 1.0

    @property
    def wait_fraction(self) -> float:
        """Return the fraction of an objective that a call may wait."""
        part = wait_fraction(self.used_fraction)
        return max(UNDERSERVED_WAIT_FRACTION, part) if self.is_underserved else part


NO_USE = ShareUse()


@define
class ShareBook:
    """Count the demand and granted service of workspaces in the whole fleet."""

    units_per_s: float = 0.0  # the capacity stated by operators; 0: none
    window_s: float = SHARE_WINDOW_S
    _asked: dict[WorkspaceName, SlidingSum] = field(factory=dict)
    _got: dict[WorkspaceName, SlidingSum] = field(factory=dict)
    _peers: dict[RouterName, tuple[float, Mapping[WorkspaceName, WorkspaceCount]]] = (
        field(factory=dict)
    )
    _summed_at: float = float("-inf")
    _totals: dict[WorkspaceName, WorkspaceCount] = field(factory=dict)
    _asked_totals: dict[WorkspaceName, float] = field(factory=dict)
    _granted_units: float = 0.0
    _levels: dict[float, float] = field(factory=dict)
    """Cached levels by capacity until the totals change: each call needs one."""
    _share_level: float = float("inf")
    _largest_got: float = 0.0
    _shortage: float = 0.0
    _underserved: frozenset[WorkspaceName] = frozenset()

    def note_asked(self, workspace: WorkspaceName, units: float, now: float) -> None:
        """Count an incoming call."""
        self._window(self._asked, workspace).add(units, now)

    def note_got(self, workspace: WorkspaceName, units: float, now: float) -> None:
        """Count a call that is sent to a server."""
        self._window(self._got, workspace).add(units, now)

    def refund(
        self, workspace: WorkspaceName, units: float, sent_at: float, now: float
    ) -> None:
        """Subtract a call that ended without an answer from the granted service.

        A crashed server mostly loses prompts of the workspace that asks most. If they
        counted as granted, that workspace would also be kept off the other engines,
        although it got nothing.
        """
        if now - sent_at < self.window_s:
            self._window(self._got, workspace).add(-units, now)

    def receive_counts(
        self,
        router: RouterName,
        counts: Mapping[WorkspaceName, WorkspaceCount],
        now: float,
    ) -> None:
        """Store a peer's counts."""
        self._peers[router] = (now, counts)

    def forget(self, routers: Collection[RouterName]) -> None:
        """Drop peers' counts."""
        for router in routers:
            self._peers.pop(router, None)

    def own_counts(self, now: float) -> dict[WorkspaceName, WorkspaceCount]:
        """Return this router's counts, for its peers."""
        counts = {}
        # A router may place calls of a workspace whose callers all use other routers.
        for workspace in {**self._asked, **self._got}:
            asked, got = self._asked.get(workspace), self._got.get(workspace)
            count = WorkspaceCount(
                asked.total(now) if asked else 0.0,
                max(0.0, got.total(now)) if got else 0.0,
            )
            if count.asked or count.got:
                counts[workspace] = count
            else:
                self._asked.pop(workspace, None)
                self._got.pop(workspace, None)
        return counts

    def use_of(self, workspace: WorkspaceName, units: float, now: float) -> ShareUse:
        """Return the share use of a workspace including one more call of `units`."""
        self._refresh(now)
        count = self._totals.get(workspace)
        used = (count.got if count else 0.0) + units
        is_underserved = workspace in self._underserved
        return ShareUse(
            _used_fraction(used, self._share_level),
            among_largest=used > UNDERSERVED_FRACTION * self._largest_got
            and not is_underserved,
            is_underserved=is_underserved,
            others_underserved=bool(self._underserved - {workspace}),
            shortage=self._shortage,
        )

    def summed_at(self, now: float) -> float:
        """Return the time of the newest sums over the fleet."""
        self._refresh(now)
        return self._summed_at

    def granted_units(self, now: float) -> float:
        """Return the units granted to all workspaces in the window."""
        self._refresh(now)
        return self._granted_units

    def entitled_fraction(
        self, workspace: WorkspaceName, units: float, now: float
    ) -> float:
        """Return a workspace's equal share as a fraction of its demand; may exceed 1.

        `units` is the capacity in the window; the stated capacity is its lower bound.
        """
        self._refresh(now)
        count = self._totals.get(workspace)
        if count is None or not count.asked:
            return float("inf")
        capacity = max(units, self.units_per_s * self.window_s)
        level = self._levels.get(capacity)
        if level is None:
            level = self._levels[capacity] = max_min_level(self._asked_totals, capacity)
        return level / count.asked

    def share_status(self, workspace: WorkspaceName, now: float) -> ShareStatus:
        """Return the demand and granted service of a workspace, and the level."""
        self._refresh(now)
        count = self._totals.get(workspace, WorkspaceCount(0.0, 0.0))
        return ShareStatus(count.asked, count.got, self._share_level)

    def _refresh(self, now: float) -> None:
        if now - self._summed_at >= REFRESH_S:
            self._sum(now)

    def _sum(self, now: float) -> None:
        totals = self.own_counts(now)
        for router, (at, counts) in list(self._peers.items()):
            if now - at >= PEER_FRESH_S:
                del self._peers[router]
                continue
            for name, peer_count in counts.items():
                own = totals.get(name, WorkspaceCount(0.0, 0.0))
                totals[name] = WorkspaceCount(
                    own.asked + peer_count.asked, own.got + peer_count.got
                )
        self._summed_at = now
        self._totals = totals
        self._granted_units = sum(count.got for count in totals.values())
        self._levels.clear()
        self._asked_totals = {name: count.asked for name, count in totals.items()}
        capacity = self.units_per_s * self.window_s
        self._share_level = share_level(totals, capacity)
        self._largest_got = max((count.got for count in totals.values()), default=0.0)
        self._underserved = underserved_workspaces(totals)
        self._shortage = shortage(totals)

    def _window(
        self, windows: dict[WorkspaceName, SlidingSum], workspace: WorkspaceName
    ) -> SlidingSum:
        window = windows.get(workspace)
        if window is None:
            window = windows[workspace] = SlidingSum(self.window_s)
        return window


def _used_fraction(used: float, level: float) -> float:
    return 0.0 if level == float("inf") or level <= 0 else used / level
