"""Who is turned away when not everybody can be served: max-min shares by workspace.

Pattern of load: a few workspaces ask several times their usual. First come first served
then hands out capacity in proportion to what is asked, so that small workspaces are
crowded out; operators would notice refusals of workspaces that ask for little. Each
router counts what every workspace asked and got, in tokens read and generated, hears
the same from its peers, and works out the level at which the capacity is used up. A
workspace below the level may wait for its whole objective; one above it is granted
hardly any wait, so that it takes what others leave and nothing of theirs. Nothing is
turned away while engines idle.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping

from attrs import define, field, frozen

from fulmarroad.types import RouterName, WorkspaceName
from fulmarroad_serving._budgets import SlidingSum

SHARE_WINDOW_S = 4.0
"""Time over which shares are evened out, as the deployments state it."""

PEER_FRESH_S = 2.0
"""Age at which a peer's counts are dropped: ten of its reports."""

FULL_USE = 0.9
OVER_USE = 1.1
"""Parts of its share up to which a workspace may wait for its whole objective, and from
which it gets only what stands empty. The level is that of what is handed out now, so
the largest workspaces hover at it, and others go before them. A slope that begins lower
turns away calls within their share beside idle engines."""

REFRESH_S = 0.1
"""Age of the level that calls are judged by; peers' counts are older than that."""

LACKING_PART = 0.6
"""Part of what it asks, or of what the best served one gets, below which a workspace
lacks something. At half of it shares count as unfair; the rest is margin."""

LACKING_ASKED = 0.2
"""Part of what the best served one gets that a workspace has to ask for to count as
lacking: a few calls that came at a bad moment are no reason to turn others away."""

UNDERSERVED_WAIT_FRACTION = 0.6
"""Part that a workspace may wait which lacks something, though it is above its share:
what a workspace may that is just at its share. Those that get the most leave their
places then, but with few engines left there is always a queue, and places would go to
whoever asks at the right moment."""

MIN_WAIT_FRACTION = 0.06
"""Part that even the largest workspace may wait: an engine with less waiting than a
small prompt has room for everybody."""


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


def wait_fraction(use: float) -> float:
    """Return the part of an objective that may be spent waiting, by the share used."""
    return max(MIN_WAIT_FRACTION, min(1.0, (OVER_USE - use) / (OVER_USE - FULL_USE)))


def given_level(totals: Mapping[WorkspaceName, WorkspaceCount], stated: float) -> float:
    """Return the level of shares of what the engines give, or are stated to give.

    With prompts that are mostly cached they give more than is stated; by the stated
    level alone, whoever asks most would get all of the rest. What is handed out can't
    be the only measure: after a restart it is nothing, everybody is above a share of
    nothing, and with everybody refused it stays that way.
    """
    asked = {name: count.asked for name, count in totals.items()}
    given = sum(count.got for count in totals.values())
    return max_min_level(asked, max(given, stated))


def underserved_workspaces(
    totals: Mapping[WorkspaceName, WorkspaceCount],
) -> frozenset[WorkspaceName]:
    """Return the workspaces that get far less than they ask and than others get."""
    most = max((count.got for count in totals.values()), default=0.0)
    return frozenset(
        name
        for name, count in totals.items()
        if count.asked >= LACKING_ASKED * most
        and count.got < LACKING_PART * min(count.asked, most)
    )


def shortage(totals: Mapping[WorkspaceName, WorkspaceCount]) -> float:
    """Return the part of what all workspaces ask that they don't get."""
    asked = sum(count.asked for count in totals.values())
    got = sum(min(count.got, count.asked) for count in totals.values())
    return 1.0 - got / asked if asked else 0.0


@frozen
class ShareStatus:
    """Say what a workspace asked and got in the window, in the whole fleet."""

    asked: float
    got: float
    level: float  # an equal share; infinite where everything fits


@frozen
class ShareUse:
    """Say which part of its share a workspace uses; one is all of it."""

    used_fraction: float = 0.0  # of an equal share of what is handed out now
    among_largest: bool = False  # gets about as much as the best served one
    is_underserved: bool = False  # gets far less than it asks and than others get
    others_underserved: bool = False  # others get far less of what they ask
    shortage: float = 0.0  # part of what all ask that is turned away

    @property
    def yields(self) -> bool:
        """Tell whether the workspace has to leave its place to others.

        Engines' queues go up and down within a tenth of a second. A workspace that asks
        often meets a short one by chance, however little wait it is granted, and would
        keep several times the share of one that asks seldom. It may use what stands
        empty, so nothing is lost while those who lack something ask for other engines.
        """
        return self.among_largest and self.others_underserved

    @property
    def may_spread(self) -> bool:
        """Tell whether engines may read its prompts' shared parts again for it.

        Above a share they may not, or its surplus is read at everybody's cost; but one
        that lacks something would be tied to engines that happen to be busy while
        others stand empty.
        """
        return self.is_underserved or self.used_fraction <= 1.0

    @property
    def wait_fraction(self) -> float:
        """Return the part of an objective that may be spent waiting."""
        part = wait_fraction(self.used_fraction)
        return max(UNDERSERVED_WAIT_FRACTION, part) if self.is_underserved else part


NO_USE = ShareUse()


@define
class ShareBook:
    """Count what workspaces ask and get in the whole fleet."""

    units_per_s: float = 0.0  # the capacity that operators state; 0: none
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
    """Levels by capacity, for as long as the totals stand: each call asks for one."""
    _given_level: float = float("inf")
    _most: float = 0.0
    _shortage: float = 0.0
    _underserved: frozenset[WorkspaceName] = frozenset()

    def note_asked(self, workspace: WorkspaceName, units: float, now: float) -> None:
        """Count a call that came in."""
        self._window(self._asked, workspace).add(units, now)

    def note_got(self, workspace: WorkspaceName, units: float, now: float) -> None:
        """Count a call that is sent to a server."""
        self._window(self._got, workspace).add(units, now)

    def refund(
        self, workspace: WorkspaceName, units: float, sent_at: float, now: float
    ) -> None:
        """Uncount a call that ended without an answer.

        Servers crash with the prompts of whoever asks most. Counted as got, those
        would keep that workspace from others' engines as well, and it has nothing.
        """
        if now - sent_at < self.window_s:
            self._window(self._got, workspace).add(-units, now)

    def receive_counts(
        self,
        router: RouterName,
        counts: Mapping[WorkspaceName, WorkspaceCount],
        now: float,
    ) -> None:
        """Take a peer's counts in."""
        self._peers[router] = (now, counts)

    def forget(self, routers: Collection[RouterName]) -> None:
        """Drop peers' counts."""
        for router in routers:
            self._peers.pop(router, None)

    def own_counts(self, now: float) -> dict[WorkspaceName, WorkspaceCount]:
        """Return this router's counts, for its peers."""
        counts = {}
        for workspace, asked in list(self._asked.items()):
            total = asked.total(now)
            got = self._got.get(workspace)
            count = WorkspaceCount(total, max(0.0, got.total(now)) if got else 0.0)
            if count.asked or count.got:
                counts[workspace] = count
            else:
                del self._asked[workspace]
                self._got.pop(workspace, None)
        return counts

    def use_of(self, workspace: WorkspaceName, units: float, now: float) -> ShareUse:
        """Return what a workspace would use of its shares with a call more."""
        self._refresh(now)
        count = self._totals.get(workspace)
        used = (count.got if count else 0.0) + units
        is_underserved = workspace in self._underserved
        return ShareUse(
            _part_of(used, self._given_level),
            among_largest=used > LACKING_PART * self._most and not is_underserved,
            is_underserved=is_underserved,
            others_underserved=bool(self._underserved - {workspace}),
            shortage=self._shortage,
        )

    def granted_units(self, now: float) -> float:
        """Return the units that all workspaces got in the window."""
        self._refresh(now)
        return self._granted_units

    def entitled_fraction(
        self, workspace: WorkspaceName, units: float, now: float
    ) -> float:
        """Return a workspace's equal share as a part of what it asks, at times above 1.

        `units` are given in the window; what operators state is the least of it.
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
        """Return what a workspace asked and got, against an equal share."""
        self._refresh(now)
        count = self._totals.get(workspace, WorkspaceCount(0.0, 0.0))
        return ShareStatus(count.asked, count.got, self._given_level)

    def _refresh(self, now: float) -> None:
        if now - self._summed_at >= REFRESH_S:
            self._sum(now)

    def _sum(self, now: float) -> None:
        totals = self.own_counts(now)
        for router, (at, counts) in list(self._peers.items()):
            if now - at >= PEER_FRESH_S:
                del self._peers[router]
                continue
            for name, theirs in counts.items():
                mine = totals.get(name, WorkspaceCount(0.0, 0.0))
                totals[name] = WorkspaceCount(
                    mine.asked + theirs.asked, mine.got + theirs.got
                )
        self._summed_at = now
        self._totals = totals
        self._granted_units = sum(count.got for count in totals.values())
        self._levels.clear()
        self._asked_totals = {name: count.asked for name, count in totals.items()}
        capacity = self.units_per_s * self.window_s
        self._given_level = given_level(totals, capacity)
        self._most = max((count.got for count in totals.values()), default=0.0)
        self._underserved = underserved_workspaces(totals)
        self._shortage = shortage(totals)

    def _window(
        self, windows: dict[WorkspaceName, SlidingSum], workspace: WorkspaceName
    ) -> SlidingSum:
        window = windows.get(workspace)
        if window is None:
            window = windows[workspace] = SlidingSum(self.window_s)
        return window


def _part_of(used: float, level: float) -> float:
    return 0.0 if level == float("inf") or level <= 0 else used / level
