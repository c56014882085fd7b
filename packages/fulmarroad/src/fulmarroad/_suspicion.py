"""Timers that turn suspects into dead members, and detection of pauses."""

from __future__ import annotations

import math

from fulmarroad.types import RouterName

SUSPICION_TIMEOUT_S = 1.0
"""Time that a suspect has to refute in a fleet of up to ten members, in seconds.

The suspect is notified four times within it, so one or two lost packets don't make it
dead. Together with the probe's 0.6 s, a dead member is detected about two seconds after
its last answer. The time grows with the logarithm of the member count, as the suspicion
and the refutation then take more hops.
"""

REPORTED_SUSPICION_FACTOR = 2.0
"""Factor on the timeout of a suspicion that another router reported.

The router that raised the suspicion keeps probing the suspect; the others receive a
refutation through gossip only. With the same timeout for all and a tenth of the packets
lost, one of nine running members was declared dead within two minutes.
"""

REMINDER_INTERVAL_S = 0.3
"""Interval at which the router that raised a suspicion probes the suspect again."""

MAX_TICK_GAP_S = 0.6
"""Gap between two ticks above which this process counts as paused, in seconds.

Ticks come every 0.1 s and a probe waits 0.6 s for answers. After a longer gap an
unanswered probe proves nothing, as the answer may still be in the socket's buffer.
"""

RECOVERY_S = 2.0
"""How long after a pause this router suspects no member: two probe periods."""


class SuspicionTimers:
    """Run a timer for each suspect, and expire none right after a pause.

    A pause is a time in which this process did not run. Without this rule a process
    that was stopped for ten seconds would find all timers expired when it resumes and
    report all other members as dead. Each of them would have to refute while its shards
    are reassigned. The symptom is a burst of member changes that one router causes.
    """

    def __init__(self, now: float) -> None:
        self._deadlines: dict[RouterName, float] = {}
        self._own_suspicions: dict[RouterName, float] = {}  # next reminder of each
        self._last_tick = now
        self._recovery_end = now

    def recovering_from_pause(self, now: float) -> bool:
        """Return whether this process has just resumed from a pause."""
        return now < self._recovery_end

    def detect_pause(self, now: float, members: int) -> bool:
        """Record a tick; return whether it ends a pause, which restarts all timers."""
        gap = now - self._last_tick
        self._last_tick = now
        if gap <= MAX_TICK_GAP_S:
            return False
        self._recovery_end = now + RECOVERY_S
        for router in self._deadlines:
            self._deadlines[router] = (
                now + REPORTED_SUSPICION_FACTOR * suspicion_timeout_s(members)
            )
        return True

    def record_reported_suspicion(
        self, router: RouterName, members: int, now: float
    ) -> None:
        """Start the timer of a suspicion that another router reported."""
        end = now + REPORTED_SUSPICION_FACTOR * suspicion_timeout_s(members)
        self._deadlines.setdefault(router, end)

    def record_own_suspicion(
        self, router: RouterName, members: int, now: float
    ) -> None:
        """Start the timer and the reminders of a suspicion that this router raised."""
        if router in self._own_suspicions:
            return
        self._own_suspicions[router] = now
        end = now + suspicion_timeout_s(members)
        self._deadlines[router] = min(end, self._deadlines.get(router, end))

    def clear(self, router: RouterName) -> None:
        """Stop the timer of a member that refuted or is dead."""
        self._deadlines.pop(router, None)
        self._own_suspicions.pop(router, None)

    def expired_suspects(self, now: float) -> list[RouterName]:
        """Return the suspects that did not refute in time."""
        if self.recovering_from_pause(now):
            return []
        return [router for router, end in self._deadlines.items() if now >= end]

    def reminders(self, now: float) -> list[RouterName]:
        """Return the suspects that are due to be probed again."""
        due = [router for router, at in self._own_suspicions.items() if now >= at]
        for router in due:
            self._own_suspicions[router] = now + REMINDER_INTERVAL_S
        return due


def suspicion_timeout_s(members: int) -> float:
    """Return the time to refute a suspicion in seconds, by the number of members."""
    return SUSPICION_TIMEOUT_S * max(1.0, math.log10(max(members, 1)))
