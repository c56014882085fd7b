"""Leave out owners of servers that don't answer.

Load pattern: an owner crashes, or its data centre is cut off, while scores of routers
ask it for places. Each request would wait for its time-out, and then for that of the
next router of the same data centre.
"""

from __future__ import annotations

from collections import Counter
from itertools import count

from attrs import define, field

from fulmarroad.types import DataCentreName, RouterName
from fulmarroad_serving._owners import Routers

SILENCE_S = 1.0
"""Time for which an owner that did not answer is left out. The membership notices a
lost router in two seconds, and a lost packet is no reason to avoid one for longer."""

MAX_SILENT_PER_CENTRE = 1
"""Silent routers of one data centre above which all of its routers are left out, if
none of them answered since: the data centre is cut off, and each of them would be tried
in turn."""


@define
class SilentOwners:
    """Remember which owners did not answer, for a time."""

    _until: dict[RouterName, float] = field(factory=dict)
    _steps: count[int] = field(factory=lambda: count(1))
    _silent_since: dict[RouterName, int] = field(factory=dict)
    """The step at which each owner fell silent."""
    _answered_at: dict[RouterName, int] = field(factory=dict)
    """The step of each owner's last answer."""

    def note(self, owner: RouterName, now: float) -> bool:
        """Record that an owner did not answer; return whether that is news."""
        is_news = owner not in self._until
        self._until[owner] = now + SILENCE_S
        if is_news:
            self._silent_since[owner] = next(self._steps)
        return is_news

    def forget(self, owner: RouterName) -> None:
        """Record that an owner answered."""
        self._until.pop(owner, None)
        self._answered_at[owner] = next(self._steps)

    def left_out(self, routers: Routers, now: float) -> frozenset[RouterName]:
        """Return those of the routers that should not be asked now."""
        if not self._until:
            return frozenset()
        for name, until in list(self._until.items()):
            if now >= until:
                del self._until[name]
        cut = self._cut_centres(routers)
        left_out = {name for name, at in routers.items() if at in cut}
        return frozenset(left_out | self._until.keys())

    def _cut_centres(self, routers: Routers) -> set[DataCentreName]:
        """Return the data centres of which no router seems to answer."""
        silent = Counter(routers.get(name, "") for name in self._until)
        return {
            centre
            for centre, number in silent.items()
            if number > MAX_SILENT_PER_CENTRE
            and self._silent_since_answer(centre, routers) > MAX_SILENT_PER_CENTRE
        }

    def _silent_since_answer(self, centre: DataCentreName, routers: Routers) -> int:
        """Count the routers that fell silent after the last answer of their centre."""
        answers = (
            step
            for name, step in self._answered_at.items()
            if routers.get(name) == centre
        )
        answered_at = max(answers, default=0)
        return sum(
            routers.get(name, "") == centre and self._silent_since[name] > answered_at
            for name in self._until
        )
