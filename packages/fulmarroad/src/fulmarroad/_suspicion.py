"""When a suspected member counts as dead, and when this router must doubt itself."""

from __future__ import annotations

import math

from fulmarroad.types import RouterName

SUSPICION_S = 1.0
"""How long a suspected member of up to ten may refute, in seconds.

It is told of the suspicion four times within it, so that a lost packet or two doesn't
kill it, while with the probe's 0.6 s a dead one is known about two seconds after its
last answer. It grows with the logarithm of the members, as the news and the refutation
then take more hops.
"""

HEARSAY_FACTOR = 2.0
"""How much longer a suspect may refute at those who only heard of the suspicion.

The one that raised it probes the suspect all the time; to others a refutation comes by
gossip alone. With the same time for all, a tenth of the packets lost made one of nine
members that ran dead within two minutes.
"""

REMIND_S = 0.3
"""How often the member that raised a suspicion probes the suspect again."""

PAUSE_S = 0.6
"""A gap between two ticks above this means that this process did not run.

Ticks come every 0.1 s and answers are awaited for 0.6 s: after a longer gap an
unanswered probe says nothing, as the answer may still wait in the socket.
"""

DOUBT_S = 2.0
"""How long after a pause this router accuses nobody: two probe periods."""


class SuspicionClock:
    """Run a timer for each suspect, and stop judging after an own pause.

    What goes wrong without the doubt: a process that was stopped for ten seconds finds
    every timer run out when it wakes, spreads that all others are dead, and each
    of them has to refute while its shards are taken away. One would notice a burst of
    member changes, all caused by one router.
    """

    def __init__(self, now: float) -> None:
        self._deadlines: dict[RouterName, float] = {}
        self._accused: dict[RouterName, float] = {}  # by this router: next reminder
        self._ticked = now
        self._doubt_until = now

    def recovering_from_pause(self, now: float) -> bool:
        """Tell whether this router has just woken from a pause."""
        return now < self._doubt_until

    def detect_pause(self, now: float, members: int) -> bool:
        """Note a tick; tell whether it ends a pause, and if so grant all a new term."""
        gap = now - self._ticked
        self._ticked = now
        if gap <= PAUSE_S:
            return False
        self._doubt_until = now + DOUBT_S
        for router in self._deadlines:
            self._deadlines[router] = now + HEARSAY_FACTOR * suspicion_s(members)
        return True

    def record_reported_suspicion(
        self, router: RouterName, members: int, now: float
    ) -> None:
        """Give a suspect its time to refute what others say."""
        end = now + HEARSAY_FACTOR * suspicion_s(members)
        self._deadlines.setdefault(router, end)

    def record_own_suspicion(
        self, router: RouterName, members: int, now: float
    ) -> None:
        """Give a suspect its time to refute what this router found itself."""
        if router in self._accused:
            return
        self._accused[router] = now
        end = now + suspicion_s(members)
        self._deadlines[router] = min(end, self._deadlines.get(router, end))

    def clear(self, router: RouterName) -> None:
        """Stop the timer of a member that refuted, or that is dead."""
        self._deadlines.pop(router, None)
        self._accused.pop(router, None)

    def expired_suspects(self, now: float) -> list[RouterName]:
        """Return the suspects that did not refute in time."""
        if self.recovering_from_pause(now):
            return []
        return [router for router, end in self._deadlines.items() if now >= end]

    def reminders(self, now: float) -> list[RouterName]:
        """Return the suspects to be probed again now."""
        due = [router for router, at in self._accused.items() if now >= at]
        for router in due:
            self._accused[router] = now + REMIND_S
        return due


def suspicion_s(members: int) -> float:
    """Return how long a suspect may refute among so many members, in seconds."""
    return SUSPICION_S * max(1.0, math.log10(max(members, 1)))
