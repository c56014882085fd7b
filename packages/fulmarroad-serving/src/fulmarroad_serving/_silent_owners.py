"""Leave out owners of servers that don't answer.

Load pattern: an owner crashes, or its data centre is cut off, while scores of routers
ask it for places. Each request would wait for its time-out, and then for that of the
next router of the same data centre.
"""

from __future__ import annotations

from collections import Counter

from attrs import define, field

from fulmarroad.types import RouterName
from fulmarroad_serving._owners import Routers

SILENCE_S = 1.0
"""Time for which an owner that did not answer is left out. The membership notices a
lost router in two seconds, and a lost packet is no reason to avoid one for longer."""

MAX_SILENT_PER_CENTRE = 1
"""Silent routers of one data centre above which all of its routers are left out: the
data centre is cut off, and each of them would be tried in turn."""


@define
class SilentOwners:
    """Remember which owners did not answer, for a time."""

    _until: dict[RouterName, float] = field(factory=dict)

    def note(self, owner: RouterName, now: float) -> bool:
        """Record that an owner did not answer; return whether that is news."""
        is_news = owner not in self._until
        self._until[owner] = now + SILENCE_S
        return is_news

    def forget(self, owner: RouterName) -> None:
        """Record that an owner answered."""
        self._until.pop(owner, None)

    def left_out(self, routers: Routers, now: float) -> frozenset[RouterName]:
        """Return those of the routers that should not be asked now."""
        if not self._until:
            return frozenset()
        for name, until in list(self._until.items()):
            if now >= until:
                del self._until[name]
        silent = Counter(routers.get(name, "") for name in self._until)
        cut = {at for at, number in silent.items() if number > MAX_SILENT_PER_CENTRE}
        left_out = {name for name, at in routers.items() if at in cut}
        return frozenset(left_out | self._until.keys())
