"""Know requests that end the servers which run them, and keep them off the others.

Pattern of load: a request crashes each server that begins it and comes again at any
router, each time under a new id. Dozens of other calls go down with it, so one end
proves nothing against any of them. What proves it is ends of different servers without
a single run that ended well. Each router counts them for itself and tells peers, whose
ends it adds: one that sees the third knows of the first two.
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

BAR_S = 600.0
"""Time for which a request is kept off servers after its third end; then one router
tries it once. Each further end doubles it."""

KEPT_S = 86_400.0
"""Time after its last end at which a request is forgotten."""

GOOD_S = 10.0
"""Time after a good run in which ends don't count: a body that many send at once is at
every server that ends, and copies of it may be at several that end together."""

TRIAL_S = 1.0
"""Time for which a run of a suspect is believed to go on elsewhere: it waits and runs
for less before it ends a server."""

ANSWERING_S = 0.5
"""Time for which a request was being answered, from which on an end of its server isn't
laid to it: one that ends servers does so as they begin it."""

MAX_RECORDS = 512
"""Suspects kept, about 0.3 MB; the least certain and oldest go first."""

MOST_GOOD = 1_024
"""Requests remembered that ended well: over a minute of one router's calls."""

MOST_ENDS = 8
"""Ends kept of one request, the newest; more change nothing."""

TELLINGS = 6
"""Packets in which a change is told: fewer may all be lost."""

RETELL_S = 1.0
"""Time between two tellings of what hasn't changed, for routers that were cut off."""

LEAST_NEWER_S = 0.5
"""Difference in time below which two routers' words are the same news."""

CrashId = int
"""Stands for one start of a server that ended."""


class SuspectState(enum.IntEnum):
    """Say what may be done with a request, by the servers that ended under it."""

    CLEAR = 0
    SERIALIZED = 1  # one copy at a time over the fleet
    ISOLATED = 2  # at a server without another such, and not repeated by the router
    BARRED = 3  # not sent


@frozen
class SuspectRow:
    """Hold what routers tell each other of one request; ages in seconds."""

    fingerprint: Fingerprint
    ends: tuple[tuple[CrashId, float], ...]
    success_age_s: float | None = None  # since a run of it ended well
    trial: tuple[CrashId, float] | None = None  # start of a server that runs it now


@define
class _Record:
    ends: dict[CrashId, float] = field(factory=dict)  # when each server ended
    good_at: float = -math.inf
    trial_at: float = -math.inf
    trial_at_server: CrashId = 0

    @property
    def last_at(self) -> float:
        return max(self.ends.values(), default=-math.inf)

    def count(self) -> int:
        """Return the servers that ended under it without a good run about then."""
        return sum(1 for at in self.ends.values() if at > self.good_at + GOOD_S)

    def add(self, end: CrashId, at: float) -> bool:
        """Take an end in; tell whether it is news."""
        if end in self.ends:
            return False
        self.ends[end] = at
        if len(self.ends) > MOST_ENDS:
            oldest = min(self.ends, key=self.ends.__getitem__)
            del self.ends[oldest]
            if oldest == end:
                return False
        self.trial_at = -math.inf
        return True


def crash_id(server: ServerName, started_ms: int) -> CrashId:
    """Return what stands for the end of one start of a server."""
    return xxhash.xxh3_64_intdigest(f"{server}\0{started_ms}".encode())


def _ignore() -> None:
    pass


def _ignore_barred(fingerprint: Fingerprint, ends: int) -> None:
    pass


class Suspects:
    """Hold the requests under which servers ended, as far as this router knows."""

    def __init__(self) -> None:
        self._records: dict[Fingerprint, _Record] = {}
        self._good: OrderedDict[Fingerprint, float] = OrderedDict()
        self._running: dict[Fingerprint, int] = {}
        self._untold: dict[Fingerprint, int] = {}
        self._retold_at = -math.inf
        self.on_change: Callable[[], None] = _ignore
        """Called when peers should hear of something at once."""
        self.on_barred: Callable[[Fingerprint, int], None] = _ignore_barred
        """Called when a request is barred here, with the ends known."""

    def suspect_state(self, fingerprint: Fingerprint, now: float) -> SuspectState:
        """Return what may be done with a request."""
        record = self._records.get(fingerprint)
        if record is None:
            return SuspectState.CLEAR
        ends = record.count()
        if ends < SuspectState.BARRED:
            return SuspectState(ends)
        bar_s = BAR_S * 2 ** (ends - SuspectState.BARRED)
        return (
            SuspectState.BARRED
            if now - record.last_at < bar_s
            else SuspectState.ISOLATED
        )

    def ends(self, fingerprint: Fingerprint) -> int:
        """Return how many servers ended under a request, as far as known."""
        record = self._records.get(fingerprint)
        return record.count() if record is not None else 0

    def barred(self, now: float) -> dict[Fingerprint, int]:
        """Return the requests that are barred, each with its ends."""
        return {
            name: record.count()
            for name, record in self._records.items()
            if self.suspect_state(name, now) is SuspectState.BARRED
        }

    def tried(self, fingerprint: Fingerprint, now: float) -> bool:
        """Tell whether a copy of a suspect runs here, or elsewhere as far as known."""
        if self._running.get(fingerprint):
            return True
        record = self._records.get(fingerprint)
        return record is not None and now - record.trial_at < TRIAL_S

    def trial_servers(self, now: float) -> set[CrashId]:
        """Return the servers that run what others with two ends are kept away from."""
        return {
            record.trial_at_server
            for record in self._records.values()
            if now - record.trial_at < TRIAL_S
            and record.count() >= SuspectState.ISOLATED
        }

    def begin(self, fingerprint: Fingerprint, server: CrashId, now: float) -> None:
        """Note that a request is about to be sent; peers hear of a suspect."""
        self._running[fingerprint] = self._running.get(fingerprint, 0) + 1
        record = self._records.get(fingerprint)
        if record is not None and record.count():
            record.trial_at, record.trial_at_server = now, server
            self._tell(fingerprint)

    def end(self, fingerprint: Fingerprint) -> None:
        """Note that a request that was sent is over."""
        left = self._running.pop(fingerprint) - 1
        if left:
            self._running[fingerprint] = left
        elif record := self._records.get(fingerprint):
            record.trial_at = -math.inf

    def note_success(self, fingerprint: Fingerprint, now: float) -> None:
        """Note a run that ended well: it lets the request off."""
        self._good[fingerprint] = now
        self._good.move_to_end(fingerprint)
        if len(self._good) > MOST_GOOD:
            self._good.popitem(last=False)
        record = self._records.get(fingerprint)
        if record is None:
            return
        stale = now - record.good_at > GOOD_S / 2
        record.good_at = now
        record.trial_at = -math.inf
        if stale:
            self._tell(fingerprint)

    def note_crash(
        self,
        fingerprint: Fingerprint,
        end: CrashId,
        now: float,
        *,
        answered_s: float = 0.0,
    ) -> None:
        """Note that a server ended that had answered a request for some seconds."""
        if answered_s >= ANSWERING_S:
            return
        record = self._record(fingerprint, now)
        before = record.count()
        if record.add(end, now):
            self._note_barred(fingerprint, record, before)
            self._tell(fingerprint)

    # what peers hear, and say

    def pop_updates(self, most: int, now: float) -> tuple[SuspectRow, ...]:
        """Return what the next packet tells, at most so many rows."""
        if now - self._retold_at >= RETELL_S:
            self._retold_at = now
            self._forget(now)
            for name, record in self._records.items():
                if record.count() >= SuspectState.ISOLATED:
                    self._untold.setdefault(name, 1)
        if not self._untold:
            return ()
        chosen = sorted(self._untold, key=self._urgency)[:most]
        for name in chosen:
            self._untold[name] -= 1
            if not self._untold[name]:
                del self._untold[name]
        return tuple(self._row(name, now) for name in chosen)

    def merge_rows(
        self, rows: Iterable[SuspectRow], now: float, *, relay: bool = False
    ) -> None:
        """Take in what a peer tells, to be told on by whom others hear it from."""
        for row in rows:
            record = self._record(row.fingerprint, now)
            before = record.count()
            is_news = False
            if row.success_age_s is not None:
                good_at = now - row.success_age_s
                is_news = good_at > record.good_at + LEAST_NEWER_S
                record.good_at = max(record.good_at, good_at)
            for end, age_s in row.ends:
                is_news = record.add(end, now - age_s) or is_news
            if row.trial is not None:
                server, age_s = row.trial
                if now - age_s > record.trial_at + LEAST_NEWER_S:
                    record.trial_at, record.trial_at_server = now - age_s, server
                    is_news = True
            if is_news:
                self._note_barred(row.fingerprint, record, before)
            if is_news and relay:
                self._tell(row.fingerprint)

    def _record(self, fingerprint: Fingerprint, now: float) -> _Record:
        record = self._records.get(fingerprint)
        if record is None:
            if len(self._records) >= MAX_RECORDS:
                self._drop_uncertain()
            good_at = self._good.get(fingerprint, -math.inf)
            record = self._records[fingerprint] = _Record(good_at=good_at)
        return record

    def _note_barred(
        self, fingerprint: Fingerprint, record: _Record, before: int
    ) -> None:
        after = record.count()
        if before < SuspectState.BARRED <= after:
            self.on_barred(fingerprint, after)

    def _tell(self, fingerprint: Fingerprint) -> None:
        self._untold[fingerprint] = TELLINGS
        self.on_change()

    def _urgency(self, fingerprint: Fingerprint) -> tuple[int, int]:
        """Order what is untold: told least often first, then the most certain."""
        count = self._records[fingerprint].count()
        return -self._untold[fingerprint], -count

    def _certainty(self, fingerprint: Fingerprint) -> tuple[int, float]:
        record = self._records[fingerprint]
        return record.count(), record.last_at

    def _row(self, fingerprint: Fingerprint, now: float) -> SuspectRow:
        record = self._records[fingerprint]
        ends = tuple((end, now - at) for end, at in record.ends.items())
        good = now - record.good_at if record.good_at > -math.inf else None
        trial = None
        if now - record.trial_at < TRIAL_S:
            trial = (record.trial_at_server, now - record.trial_at)
        return SuspectRow(fingerprint, ends, good, trial)

    def _forget(self, now: float) -> None:
        for name, record in list(self._records.items()):
            if now - max(record.last_at, record.trial_at) >= KEPT_S:
                self._drop(name)

    def _drop_uncertain(self) -> None:
        """Make room for many at once: an end of a server brings a hundred."""
        least = sorted(self._records, key=self._certainty)
        for name in least[: MAX_RECORDS // 4]:
            self._drop(name)

    def _drop(self, fingerprint: Fingerprint) -> None:
        del self._records[fingerprint]
        self._untold.pop(fingerprint, None)
