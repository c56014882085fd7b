"""Detect requests that crash the servers which run them, and stop sending them.

Load pattern: a request crashes each server that starts it, and the caller repeats
it through any router, each time with a new request id. Each crash breaks dozens of
other calls too, so one crash does not identify the request. Crashes of several servers
without a single successful run do. Each router counts the crashes that it sees, sends
them to its peers and adds those that it receives: the router that sees the third crash
already knows of the first two.
"""

from __future__ import annotations

import enum
import math
from collections import OrderedDict
from collections.abc import Callable, Iterable

import xxhash
from attrs import define, field, frozen

from fulmarroad.types import ServerName
from fulmarroad_serving._fingerprints import Fingerprint

BAR_DURATION_S = 600.0
"""Time for which a request is not sent to servers after its third crash.

Then one router tries it once. Each further crash doubles the time.
"""

RETENTION_S = 86_400.0
"""Time after its last crash at which the record of a request is dropped."""

SUCCESS_WINDOW_S = 10.0
"""Time after a successful run in which crashes are not counted against the request.

Copies of a popular request run on every server that crashes, and may run on several
servers that crash at the same time.
"""

TRIAL_TIMEOUT_S = 1.0
"""Time for which a run of a suspect that a peer reported counts as in progress.

A request that crashes servers waits and runs for less time before the crash.
"""

MAX_SUSPECT_ANSWERING_S = 0.5
"""Time of answering after which a crash is no longer attributed to the request.

A request that crashes servers does so when they start it.
"""

MAX_RECORDS = 512
"""Maximum number of suspects kept, about 0.3 MB.

Those with the fewest crashes are dropped first, then the oldest.
"""

MAX_SUCCESSES = 1_024
"""Maximum number of successful requests kept: over a minute of one router's calls."""

MAX_CRASHES_PER_RECORD = 8
"""Maximum number of crashes kept per request, the newest; more make no difference."""

PACKETS_PER_UPDATE = 6
"""Number of packets in which a change is sent; with fewer, all might be lost."""

REFRESH_INTERVAL_S = 1.0
"""Interval at which unchanged records are sent again, for routers that were cut off."""

MIN_TIME_DIFFERENCE_S = 0.5
"""Time difference up to which two routers' reports count as the same event."""

CrashId = int
"""Identifies the crash of one start of a server."""


class SuspectState(enum.IntEnum):
    """State how a request may be run, by the number of servers that it crashed."""

    CLEAR = 0
    SERIALIZED = 1  # one copy at a time in the fleet
    ISOLATED = 2  # on a server without another such request, and not retried
    BARRED = 3  # not sent


@frozen
class SuspectRow:
    """Hold the state of one suspect as sent between routers; ages in seconds."""

    fingerprint: Fingerprint
    ends: tuple[tuple[CrashId, float], ...]
    success_age_s: float | None = None  # since its last successful run
    trial: tuple[CrashId, float] | None = None  # server start that runs it now, and age


@define
class _Record:
    ends: dict[CrashId, float] = field(factory=dict)  # time of each crash
    success_at: float = -math.inf
    trial_started_at: float = -math.inf
    trial_server: CrashId = 0

    @property
    def last_crash_at(self) -> float:
        return max(self.ends.values(), default=-math.inf)

    def count(self) -> int:
        """Return the number of crashes since the window of the last success."""
        return sum(
            1 for at in self.ends.values() if at > self.success_at + SUCCESS_WINDOW_S
        )

    def add_crash(self, end: CrashId, at: float) -> bool:
        """Add a crash and return whether it was unknown."""
        if end in self.ends:
            return False
        self.ends[end] = at
        if len(self.ends) > MAX_CRASHES_PER_RECORD:
            oldest = min(self.ends, key=self.ends.__getitem__)
            del self.ends[oldest]
            if oldest == end:
                return False
        self.trial_started_at = -math.inf
        return True


def crash_id(server: ServerName, started_ms: int) -> CrashId:
    """Return the id of the crash of a server that was started at `started_ms`."""
    return xxhash.xxh3_64_intdigest(f"{server}\0{started_ms}".encode())


def _ignore() -> None:
    pass


def _ignore_barred(fingerprint: Fingerprint, ends: int) -> None:
    pass


class Suspects:
    """Hold the known requests that ran on servers as they crashed."""

    def __init__(self) -> None:
        self._records: dict[Fingerprint, _Record] = {}
        self._successes: OrderedDict[Fingerprint, float] = OrderedDict()
        self._running: dict[Fingerprint, int] = {}
        self._pending_updates: dict[Fingerprint, int] = {}
        self._refreshed_at = -math.inf
        self.on_change: Callable[[], None] = _ignore
        """Called when an update should be sent to peers at once."""
        self.on_barred: Callable[[Fingerprint, int], None] = _ignore_barred
        """Called with a request that becomes barred and its number of crashes."""

    def suspect_state(self, fingerprint: Fingerprint, now: float) -> SuspectState:
        """Return how a request may be run."""
        record = self._records.get(fingerprint)
        if record is None:
            return SuspectState.CLEAR
        ends = record.count()
        if ends < SuspectState.BARRED:
            return SuspectState(ends)
        duration_s = BAR_DURATION_S * 2 ** (ends - SuspectState.BARRED)
        return (
            SuspectState.BARRED
            if now - record.last_crash_at < duration_s
            else SuspectState.ISOLATED
        )

    def ends(self, fingerprint: Fingerprint) -> int:
        """Return the known number of servers that crashed while running a request."""
        record = self._records.get(fingerprint)
        return record.count() if record is not None else 0

    def barred(self, now: float) -> dict[Fingerprint, int]:
        """Return the barred requests, each with its number of crashes."""
        return {
            name: record.count()
            for name, record in self._records.items()
            if self.suspect_state(name, now) is SuspectState.BARRED
        }

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
        record = self._records.get(fingerprint)
        if record is not None and record.count():
            record.trial_started_at, record.trial_server = now, server
            self._schedule_update(fingerprint)

    def end(self, fingerprint: Fingerprint) -> None:
        """Record that a request that was sent has finished."""
        left = self._running.pop(fingerprint) - 1
        if left:
            self._running[fingerprint] = left
        elif record := self._records.get(fingerprint):
            record.trial_started_at = -math.inf

    def note_success(self, fingerprint: Fingerprint, now: float) -> None:
        """Record a successful run, which clears earlier crashes of the request."""
        self._successes[fingerprint] = now
        self._successes.move_to_end(fingerprint)
        if len(self._successes) > MAX_SUCCESSES:
            self._successes.popitem(last=False)
        record = self._records.get(fingerprint)
        if record is None:
            return
        stale = now - record.success_at > SUCCESS_WINDOW_S / 2
        record.success_at = now
        record.trial_started_at = -math.inf
        if stale:
            self._schedule_update(fingerprint)

    def note_crash(
        self,
        fingerprint: Fingerprint,
        end: CrashId,
        now: float,
        *,
        answered_s: float = 0.0,
    ) -> None:
        """Record that a server crashed while it ran a request.

        `answered_s` is the time since the start of its answer, in seconds.
        """
        if answered_s >= MAX_SUSPECT_ANSWERING_S:
            return
        record = self._record(fingerprint, now)
        before = record.count()
        if record.add_crash(end, now):
            self._note_barred(fingerprint, record, before)
            self._schedule_update(fingerprint)

    # exchange with peers

    def pop_updates(self, most: int, now: float) -> tuple[SuspectRow, ...]:
        """Return the rows for the next packet, `most` at most."""
        if now - self._refreshed_at >= REFRESH_INTERVAL_S:
            self._refreshed_at = now
            self._drop_expired(now)
            for name, record in self._records.items():
                if record.count() >= SuspectState.ISOLATED:
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
            record = self._record(row.fingerprint, now)
            before = record.count()
            is_new = False
            if row.success_age_s is not None:
                success_at = now - row.success_age_s
                is_new = success_at > record.success_at + MIN_TIME_DIFFERENCE_S
                record.success_at = max(record.success_at, success_at)
            for end, age_s in row.ends:
                is_new = record.add_crash(end, now - age_s) or is_new
            if row.trial is not None:
                server, age_s = row.trial
                if now - age_s > record.trial_started_at + MIN_TIME_DIFFERENCE_S:
                    record.trial_started_at, record.trial_server = now - age_s, server
                    is_new = True
            if is_new:
                self._note_barred(row.fingerprint, record, before)
            if is_new and relay:
                self._schedule_update(row.fingerprint)

    def _record(self, fingerprint: Fingerprint, now: float) -> _Record:
        record = self._records.get(fingerprint)
        if record is None:
            if len(self._records) >= MAX_RECORDS:
                self._drop_least_certain()
            success_at = self._successes.get(fingerprint, -math.inf)
            record = self._records[fingerprint] = _Record(success_at=success_at)
        return record

    def _note_barred(
        self, fingerprint: Fingerprint, record: _Record, before: int
    ) -> None:
        after = record.count()
        if before < SuspectState.BARRED <= after:
            self.on_barred(fingerprint, after)

    def _schedule_update(self, fingerprint: Fingerprint) -> None:
        self._pending_updates[fingerprint] = PACKETS_PER_UPDATE
        self.on_change()

    def _update_order(self, fingerprint: Fingerprint) -> tuple[int, int]:
        """Return the sort key of an update: least often sent, then most crashes."""
        count = self._records[fingerprint].count()
        return -self._pending_updates[fingerprint], -count

    def _retention_order(self, fingerprint: Fingerprint) -> tuple[int, float]:
        record = self._records[fingerprint]
        return record.count(), record.last_crash_at

    def _row(self, fingerprint: Fingerprint, now: float) -> SuspectRow:
        record = self._records[fingerprint]
        ends = tuple((end, now - at) for end, at in record.ends.items())
        success_age_s = (
            now - record.success_at if record.success_at > -math.inf else None
        )
        trial = None
        if now - record.trial_started_at < TRIAL_TIMEOUT_S:
            trial = (record.trial_server, now - record.trial_started_at)
        return SuspectRow(fingerprint, ends, success_age_s, trial)

    def _drop_expired(self, now: float) -> None:
        for name, record in list(self._records.items()):
            if now - max(record.last_crash_at, record.trial_started_at) >= RETENTION_S:
                self._drop(name)

    def _drop_least_certain(self) -> None:
        """Drop a quarter of the records at once, as each crash adds a hundred."""
        by_certainty = sorted(self._records, key=self._retention_order)
        for name in by_certainty[: MAX_RECORDS // 4]:
            self._drop(name)

    def _drop(self, fingerprint: Fingerprint) -> None:
        del self._records[fingerprint]
        self._pending_updates.pop(fingerprint, None)
