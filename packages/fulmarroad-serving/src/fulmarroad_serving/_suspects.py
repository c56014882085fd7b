"""Detect requests and parts of prompts that crash servers, and stop sending them.

Load pattern: a request crashes each server that starts it, and the caller repeats
it through any router, each time with a new request id; or requests that share a part of
their prompts do, no two of them alike. Each crash breaks dozens of other calls too, so
one crash does not identify the culprit. Crashes of several servers without a single
successful run do, if nothing else explains them (`_culprits`). Each router counts the
crashes that it sees, sends them to its peers and adds those that it receives: the
router that sees the third crash already knows of the first two.
"""

from __future__ import annotations

import enum
import math
from collections import OrderedDict
from collections.abc import Callable, Collection, Iterable

from attrs import frozen

from fulmarroad_serving._culprits import (
    MIN_CRASHES,
    Accused,
    CrashId,
    Culprits,
    find_culprits,
)
from fulmarroad_serving._fingerprints import Fingerprint
from fulmarroad_serving._suspect_records import (
    SUCCESS_WINDOW_S,
    TRIAL_TIMEOUT_S,
    UNKNOWN_CALLER,
    CallerTag,
    SuspectRecord,
)
from fulmarroad_serving._suspect_rows import SuspectRow

RETENTION_S = 86_400.0
"""Time after its last crash at which the record of a request is dropped."""

MAX_SUSPECT_ANSWERING_S = 0.5
"""Time of answering after which a crash is no longer attributed to a request, and from
which its run counts as good.

A request that crashes servers does so when they start it.
"""

MAX_RECORDS = 512
"""Maximum number of suspects kept, about 0.4 MB.

Those with the fewest crashes are dropped first, then the oldest.
"""

MAX_SUCCESSES = 1_024
"""Maximum number of good runs kept: several seconds of one router's calls, each with
its request and some parts."""

CLEARED_RETENTION_S = 5.0
"""Time after its last crash at which the record of a suspect that has run well is
dropped."""

MAX_SENT_CRASHES = 8
"""Maximum number of crashes in a row, the newest; peers add them to those they know."""

MAX_CRASH_TIMES = 256
"""Maximum number of crashes whose times are kept, the newest."""

PACKETS_PER_UPDATE = 6
"""Number of packets in which a change is sent; with fewer, all might be lost."""

REFRESH_INTERVAL_S = 1.0
"""Interval at which unchanged records are sent again, for routers that were cut off."""

MIN_TIME_DIFFERENCE_S = 0.5
"""Time difference up to which two routers' reports count as the same event."""

OnSuspect = Callable[[Fingerprint, int, str], None]
"""Be told of a suspect: its fingerprint, its crashes, and its name if it is a part."""


class SuspectState(enum.IntEnum):
    """State how a request may be run, by the number of servers that it crashed."""

    CLEAR = 0
    SERIALIZED = 1  # one copy at a time in the fleet
    ISOLATED = 2  # on a server without another such request, and not retried
    BARRED = 3  # not sent


@frozen
class Suspicion:
    """Hold how a call may be run, and the suspect for which it is restricted."""

    state: SuspectState
    fingerprint: Fingerprint = b""


NO_SUSPICION = Suspicion(SuspectState.CLEAR)


def _ignore() -> None:
    pass


def _ignore_suspect(fingerprint: Fingerprint, ends: int, part: str) -> None:
    pass


class Suspects:
    """Hold the requests and parts that were on servers as they crashed."""

    def __init__(self) -> None:
        self._records: dict[Fingerprint, SuspectRecord] = {}
        self._known_culprits = Culprits()
        self._stale_since: float | None = None  # when a change mattered for culprits
        self._undecided: dict[Fingerprint, float] = {}  # when all their crashes count
        self._crash_times: OrderedDict[CrashId, float] = OrderedDict()
        self._successes: OrderedDict[Fingerprint, float] = OrderedDict()
        self._running: dict[Fingerprint, int] = {}
        self._pending_updates: dict[Fingerprint, int] = {}
        self._refreshed_at = -math.inf
        self.on_change: Callable[[], None] = _ignore
        """Called when an update should be sent to peers at once."""
        self.on_barred: OnSuspect = _ignore_suspect
        """Called with a suspect that becomes barred."""
        self.on_cleared: OnSuspect = _ignore_suspect
        """Called with an isolated or barred suspect that a good run cleared."""

    def suspect_state(self, fingerprint: Fingerprint, now: float) -> SuspectState:
        """Return how a request may be run, or requests with a part."""
        record = self._records.get(fingerprint)
        if record is None:
            return SuspectState.CLEAR
        if fingerprint not in self._culprits:
            ends = self.ends(fingerprint, now)
            return SuspectState(min(ends, SuspectState.ISOLATED))
        return (
            SuspectState.BARRED
            if now < record.barred_until()
            else SuspectState.ISOLATED
        )

    def suspicion_of(
        self, fingerprints: Collection[Fingerprint], caller: CallerTag, now: float
    ) -> Suspicion:
        """Return how a call with all these suspects may be run."""
        strictest = NO_SUSPICION
        for name in fingerprints:
            state = self.suspect_state(name, now)
            if state is SuspectState.BARRED and self._tells(name, fingerprints, caller):
                state = SuspectState.ISOLATED
            if state > strictest.state:
                strictest = Suspicion(state, name)
        return strictest

    def _tells(
        self,
        culprit: Fingerprint,
        fingerprints: Collection[Fingerprint],
        caller: CallerTag,
    ) -> bool:
        """Return whether a run of a call tells if a culprit is one.

        It does if the call has no other suspect that explains the same crashes, or if
        so far only one other caller's requests crashed servers.
        """
        group = self._culprits.group_of(culprit)
        if len(group) > 1 and sum(name in fingerprints for name in group) == 1:
            return True
        return self._records[culprit].only_caller() not in (UNKNOWN_CALLER, caller)

    def ends(self, fingerprint: Fingerprint, now: float = math.inf) -> int:
        """Return the number of crashes that count against a suspect."""
        record = self._records.get(fingerprint)
        if record is None:
            return 0
        counted = record.counted(now)
        if fingerprint in self._culprits:
            return len(counted)
        return len(counted - self._culprits.explained)

    def barred(self, now: float) -> dict[Fingerprint, int]:
        """Return the barred suspects, each with its number of crashes."""
        return {
            name: self.ends(name)
            for name in self._culprits.names
            if self.suspect_state(name, now) is SuspectState.BARRED
        }

    def barred_parts(self, now: float) -> dict[str, int]:
        """Return the barred parts whose names are known here, with their crashes."""
        named = {
            self._records[name].part_name: ends
            for name, ends in self.barred(now).items()
        }
        named.pop("", None)
        return named

    def note_part_name(self, fingerprint: Fingerprint, part: str) -> None:
        """Record the name of a suspect that is a part of prompts."""
        record = self._records.get(fingerprint)
        if record is not None and part:
            record.part_name = part

    def is_running(self, fingerprint: Fingerprint, now: float) -> bool:
        """Return whether a copy of a suspect is known to run, here or elsewhere."""
        if self._running.get(fingerprint):
            return True
        record = self._records.get(fingerprint)
        return record is not None and now - record.trial_started_at < TRIAL_TIMEOUT_S

    def trial_servers(self, now: float) -> set[CrashId]:
        """Return the servers that run a request with two crashes or more.

        Other such requests are not sent to them.
        """
        return {
            record.trial_server
            for record in self._records.values()
            if now - record.trial_started_at < TRIAL_TIMEOUT_S
            and record.count() >= SuspectState.ISOLATED
        }

    def begin(self, fingerprint: Fingerprint, server: CrashId, now: float) -> None:
        """Record that a request is about to be sent; report it to peers if suspect."""
        self._running[fingerprint] = self._running.get(fingerprint, 0) + 1
        if self.ends(fingerprint, now):
            record = self._records[fingerprint]
            record.trial_started_at, record.trial_server = now, server
            self._schedule_update(fingerprint)

    def end(self, fingerprint: Fingerprint) -> None:
        """Record that a request that was sent has finished."""
        left = self._running.pop(fingerprint) - 1
        if left:
            self._running[fingerprint] = left
        elif record := self._records.get(fingerprint):
            record.trial_started_at = -math.inf

    def note_success(
        self, fingerprint: Fingerprint, now: float, started_at: float | None = None
    ) -> None:
        """Record a good run, which clears earlier crashes of the suspect.

        `started_at` is the time at which its answer began, `now` by default.
        """
        at = now if started_at is None else started_at
        self._successes[fingerprint] = max(
            at, self._successes.pop(fingerprint, -math.inf)
        )
        if len(self._successes) > MAX_SUCCESSES:
            self._successes.popitem(last=False)
        record = self._records.get(fingerprint)
        if record is None or at <= record.success_at:
            return
        before = record.count()
        record.success_at = at
        if record.count() == before:
            return
        record.trial_started_at = -math.inf
        self._note_cleared(fingerprint, before)
        self._update_culprits(fingerprint, now)
        self._schedule_update(fingerprint)

    def note_crash(
        self,
        fingerprint: Fingerprint,
        end: CrashId,
        now: float,
        *,
        answered_s: float = 0.0,
        caller: CallerTag = UNKNOWN_CALLER,
        part: str = "",
    ) -> None:
        """Record that a server crashed while it ran a request, or one with a part.

        `answered_s` is the time since the start of its answer, in seconds; `part` is
        the name of a part.
        """
        if answered_s >= MAX_SUSPECT_ANSWERING_S:
            return
        record = self._record(fingerprint, now)
        record.part_name = part
        if record.add_crash(end, now, caller):
            self._note_crash_time(end, now)
            self._update_culprits(fingerprint, now)
            self._schedule_update(fingerprint)

    # exchange with peers

    def pop_updates(self, most: int, now: float) -> tuple[SuspectRow, ...]:
        """Return the rows for the next packet, `most` at most."""
        self._decide(now)
        if now - self._refreshed_at >= REFRESH_INTERVAL_S:
            self._refreshed_at = now
            self._drop_expired(now)
            for name in self._records:
                if self.ends(name) >= SuspectState.ISOLATED:
                    self._pending_updates.setdefault(name, 1)
        if not self._pending_updates:
            return ()
        chosen = sorted(self._pending_updates, key=self._update_order)[:most]
        for name in chosen:
            self._pending_updates[name] -= 1
            if not self._pending_updates[name]:
                del self._pending_updates[name]
        return tuple(self._row(name, now) for name in chosen)

    def merge_rows(
        self, rows: Iterable[SuspectRow], now: float, *, relay: bool = False
    ) -> None:
        """Merge rows from a peer; with `relay`, forward those that bring changes."""
        for row in rows:
            if not self._merge(row, now):
                continue
            self._update_culprits(row.fingerprint, now)
            if relay or self._refutes(row, now):
                self._schedule_update(row.fingerprint)

    def _merge(self, row: SuspectRow, now: float) -> bool:
        """Merge a row of a peer and return whether it brings changes."""
        record = self._record(row.fingerprint, now)
        before = record.counted(now)
        if row.success_age_s is not None:
            record.success_at = max(record.success_at, now - row.success_age_s)
        callers = row.callers
        if len(callers) != len(row.ends):
            callers = (UNKNOWN_CALLER,) * len(row.ends)
        is_new = False
        for (end, age_s), caller in zip(row.ends, callers, strict=True):
            if record.add_crash(end, now - age_s, caller):
                self._note_crash_time(end, now - age_s)
                is_new = True
        if row.trial is not None:
            server, age_s = row.trial
            if now - age_s > record.trial_started_at + MIN_TIME_DIFFERENCE_S:
                record.trial_started_at, record.trial_server = now - age_s, server
                is_new = True
        self._note_cleared(row.fingerprint, len(before))
        return is_new or record.counted(now) != before

    def _note_cleared(self, fingerprint: Fingerprint, before: int) -> None:
        record = self._records[fingerprint]
        if before >= SuspectState.ISOLATED and not record.count():
            self.on_cleared(fingerprint, before, record.part_name)

    def _refutes(self, row: SuspectRow, now: float) -> bool:
        """Return whether a good run here clears a suspect that peers hold back."""
        record = self._records[row.fingerprint]
        sent_success_at = -math.inf
        if row.success_age_s is not None:
            sent_success_at = now - row.success_age_s
        return (
            len(row.ends) >= SuspectState.ISOLATED
            and record.success_at > sent_success_at + MIN_TIME_DIFFERENCE_S
            and not record.count()
        )

    def _record(self, fingerprint: Fingerprint, now: float) -> SuspectRecord:
        record = self._records.get(fingerprint)
        if record is None:
            if len(self._records) >= MAX_RECORDS:
                self._drop_least_certain()
            success_at = self._successes.get(fingerprint, -math.inf)
            record = self._records[fingerprint] = SuspectRecord(success_at=success_at)
        return record

    def _note_crash_time(self, end: CrashId, at: float) -> None:
        self._crash_times.setdefault(end, at)
        if len(self._crash_times) > MAX_CRASH_TIMES:
            self._crash_times.popitem(last=False)

    def _update_culprits(self, changed: Fingerprint, now: float) -> None:
        """Have the culprits found again if a change of one record may matter."""
        record = self._records[changed]
        if record.count(now) != record.count():
            self._undecided[changed] = record.last_crash_at + SUCCESS_WINDOW_S
        if record.count(now) >= MIN_CRASHES or changed in self._known_culprits:
            self._stale_since = now

    @property
    def _culprits(self) -> Culprits:
        """Return the culprits; each crash changes many records, so find them late."""
        if self._stale_since is not None:
            now, self._stale_since = self._stale_since, None
            self._find_culprits(now)
        return self._known_culprits

    def _find_culprits(self, now: float) -> None:
        before = self._known_culprits.names
        accused = [
            Accused(name, crashes, row.ran_well)
            for name, row in self._records.items()
            if len(row.ends) >= MIN_CRASHES
            and len(crashes := row.counted(now)) >= MIN_CRASHES
        ]
        self._known_culprits = find_culprits(accused, self._crash_times)
        for name in self._known_culprits.names - before:
            record = self._records[name]
            record.barred_at = now
            self.on_barred(name, self.ends(name), record.part_name)

    def _decide(self, now: float) -> None:
        """Let crashes count after which no good run has begun for a while."""
        due = [name for name, at in self._undecided.items() if at <= now]
        for name in due:
            del self._undecided[name]
            self._update_culprits(name, now)

    def _schedule_update(self, fingerprint: Fingerprint) -> None:
        self._pending_updates[fingerprint] = PACKETS_PER_UPDATE
        self.on_change()

    def _update_order(self, fingerprint: Fingerprint) -> tuple[int, int]:
        """Return the sort key of an update: least often sent, then most crashes."""
        return -self._pending_updates[fingerprint], -self.ends(fingerprint)

    def _retention_order(self, fingerprint: Fingerprint) -> tuple[int, float]:
        return self.ends(fingerprint), self._records[fingerprint].last_crash_at

    def _row(self, fingerprint: Fingerprint, now: float) -> SuspectRow:
        record = self._records[fingerprint]
        newest = sorted(record.ends, key=record.ends.__getitem__)[-MAX_SENT_CRASHES:]
        ends = tuple((end, now - record.ends[end]) for end in newest)
        success_age_s = (
            now - record.success_at if record.success_at > -math.inf else None
        )
        trial = None
        if now - record.trial_started_at < TRIAL_TIMEOUT_S:
            trial = (record.trial_server, now - record.trial_started_at)
        callers = tuple(record.callers[end] for end in newest)
        return SuspectRow(fingerprint, ends, success_age_s, trial, callers)

    def _drop_expired(self, now: float) -> None:
        for name, record in list(self._records.items()):
            kept_s = RETENTION_S if record.count() else CLEARED_RETENTION_S
            if now - max(record.last_crash_at, record.trial_started_at) >= kept_s:
                self._drop(name)

    def _drop_least_certain(self) -> None:
        """Drop a quarter of the records at once, as each crash adds a hundred."""
        by_certainty = sorted(self._records, key=self._retention_order)
        for name in by_certainty[: MAX_RECORDS // 4]:
            self._drop(name)

    def _drop(self, fingerprint: Fingerprint) -> None:
        del self._records[fingerprint]
        self._pending_updates.pop(fingerprint, None)
        self._undecided.pop(fingerprint, None)
        self._known_culprits.forget(fingerprint)
