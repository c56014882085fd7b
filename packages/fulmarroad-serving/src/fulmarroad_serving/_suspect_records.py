"""Record the crashes of one suspect: a request, or a part of prompts."""

from __future__ import annotations

import math

import xxhash
from attrs import define, field

from fulmarroad.types import ServerName, WorkspaceName
from fulmarroad_serving._culprits import CrashId

BAR_DURATION_S = 600.0
"""Time for which a suspect is not sent to servers after its third crash.

Then one router tries it once. Each further crash doubles the time.
"""

RETRIAL_S = 2.0
"""The same for a suspect that ran well before: servers may have crashed for another
reason, while too few were left for a good run."""

RETRIAL_FACTOR = 3.0
"""Factor by which each further crash of such a suspect prolongs that time."""

SUCCESS_WINDOW_S = 1.5
"""Time for which a crash does not count yet that came so soon after a good run began.

Requests with a popular part run on every server that crashes, also on several that
crash at the same time. Whether a later run is good is known half a second after its
start, and at the other routers a few packets later.
"""

TRIAL_TIMEOUT_S = 1.0
"""Time for which a run of a suspect that a peer reported counts as in progress.

A request that crashes servers waits and runs for less time before the crash.
"""

MAX_CRASHES_PER_RECORD = 16
"""Maximum number of crashes kept per suspect, the newest: more than a fleet's servers
that crash within the time in which good runs would become known."""

UNKNOWN_CALLER = 0
"""Tag of a caller that a router of the previous release did not tell."""

CallerTag = int
"""Identifies the workspace of a caller in records, in 16 bits."""


@define
class SuspectRecord:
    """Hold the crashes of one suspect, its last good run and its last trial."""

    ends: dict[CrashId, float] = field(factory=dict)  # time of each crash
    callers: dict[CrashId, CallerTag] = field(factory=dict)
    success_at: float = -math.inf  # start of the last good run
    trial_started_at: float = -math.inf
    trial_server: CrashId = 0
    barred_at: float = math.inf
    part_name: str = ""  # of a part, if a call with it came here

    @property
    def last_crash_at(self) -> float:
        """Return the time of the last crash."""
        return max(self.ends.values(), default=-math.inf)

    @property
    def ran_well(self) -> bool:
        """Return whether a good run is known."""
        return self.success_at > -math.inf

    def counted(self, now: float = math.inf) -> frozenset[CrashId]:
        """Return the crashes since the last good run began, as far as they count."""
        since = self.success_at + SUCCESS_WINDOW_S
        return frozenset(
            end
            for end, at in self.ends.items()
            if at > self.success_at and (at > since or now >= at + SUCCESS_WINDOW_S)
        )

    def count(self, now: float = math.inf) -> int:
        """Return the number of crashes that count."""
        return len(self.counted(now))

    def barred_until(self) -> float:
        """Return the time until which a culprit is barred."""
        trials = sum(at > self.barred_at + TRIAL_TIMEOUT_S for at in self.ends.values())
        duration_s = (
            RETRIAL_S * RETRIAL_FACTOR**trials
            if self.ran_well
            else BAR_DURATION_S * 2**trials
        )
        return max(self.last_crash_at, self.barred_at) + duration_s

    def only_caller(self) -> CallerTag:
        """Return the caller of all counted crashes, or unknown if they differ."""
        tags = {self.callers.get(end, UNKNOWN_CALLER) for end in self.counted()}
        return tags.pop() if len(tags) == 1 else UNKNOWN_CALLER

    def add_crash(
        self, end: CrashId, at: float, caller: CallerTag = UNKNOWN_CALLER
    ) -> bool:
        """Add a crash and return whether it was unknown."""
        if end in self.ends:
            return False
        self.ends[end] = at
        self.callers[end] = caller
        if len(self.ends) > MAX_CRASHES_PER_RECORD:
            oldest = min(self.ends, key=self.ends.__getitem__)
            del self.ends[oldest], self.callers[oldest]
            if oldest == end:
                return False
        self.trial_started_at = -math.inf
        return True


def crash_id(server: ServerName, started_ms: int) -> CrashId:
    """Return the id of the crash of a server that was started at `started_ms`."""
    return xxhash.xxh3_64_intdigest(f"{server}\0{started_ms}".encode())


def caller_tag(workspace: WorkspaceName) -> CallerTag:
    """Return the tag of a caller; two share one in 65,000 cases."""
    return xxhash.xxh3_64_intdigest(workspace.encode()) & 0xFFFF or 1
