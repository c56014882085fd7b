"""Hold what the queue knows of one waiting call, and of the calls of a workspace.

Load pattern: a workspace sends long prompts among many short ones, or short prompts
with long answers. In the order of the latest start alone, calls that arrive later can
go first again and again. So an entry that waited for half of its time is tried before
the others of its workspace.
"""

from __future__ import annotations

import enum
from collections.abc import Iterator
from heapq import heappop, heappush
from typing import Any

from attrs import define, field

from fulmarroad.types import RouterName, WorkspaceName

EntryKey = tuple[RouterName, int, int]
"""Router, its incarnation and the number of its request."""

PROTECTED_FRACTION = 0.5
"""Fraction of its waiting time after which an entry goes first in its workspace."""


class Urgency(enum.IntEnum):
    """Divide entries into groups, of which one is tried before the next."""

    CONTINUES = 0  # its caller has a part of the answer
    ON_TIME = 1
    LATE = 2  # whatever happens; it only gets what would otherwise idle


@define(eq=False)
class QueueEntry:
    """Hold a call that waits for a place."""

    key: EntryKey
    workspace: WorkspaceName
    units: float
    tokens: int  # of its prompt, to be read
    size: int  # bytes of memory, about
    since: float
    latest_start: float  # at which it can still begin on time
    until: float  # end of its wait
    urgency: Urgency = Urgency.ON_TIME
    part: str = ""  # the shared part of its prompt
    request: Any = None
    """What the owner needs to place the call."""
    tries: int = 0
    waits: bool = field(default=False, init=False)  # is part of the queue
    paused: bool = field(default=False, init=False)  # was tried a moment ago
    number: int = field(default=0, init=False)  # in the order of arrival

    @property
    def protected_at(self) -> float:
        """Return the time from which it goes first in its workspace."""
        return self.since + PROTECTED_FRACTION * (self.until - self.since)


@define
class EntryHeap:
    """Order entries by a time, without those that were dropped or are paused."""

    _rows: list[tuple[float, int, QueueEntry]] = field(factory=list)
    _numbers: set[int] = field(factory=set)

    def add(self, at: float, entry: QueueEntry) -> None:
        """Add an entry, if it isn't included already."""
        if entry.number not in self._numbers:
            self._numbers.add(entry.number)
            heappush(self._rows, (at, entry.number, entry))

    def first(self) -> QueueEntry | None:
        """Return the first entry and forget dropped and paused ones before it."""
        while self._rows:
            entry = self._rows[0][2]
            if entry.waits and not entry.paused:
                return entry
            heappop(self._rows)
            self._numbers.discard(entry.number)
        return None


@define(eq=False)
class EntryGroup:
    """Hold the waiting entries of a workspace that are equally urgent."""

    workspace: WorkspaceName
    urgency: Urgency
    entries: dict[EntryKey, QueueEntry] = field(factory=dict)
    units: float = 0.0
    tokens: int = 0
    step: int = 0  # of the use of its workspace's share
    version: int = 0  # increases when its place in the order of groups changes
    _by_start: EntryHeap = field(factory=EntryHeap)
    _by_protection: EntryHeap = field(factory=EntryHeap)

    def __iter__(self) -> Iterator[QueueEntry]:
        return iter(self.entries.values())

    def count(self, entry: QueueEntry) -> None:
        """Add an entry, without a place in the order."""
        self.entries[entry.key] = entry
        self.units += entry.units
        self.tokens += entry.tokens

    def arrange(self, entry: QueueEntry) -> None:
        """Give an entry its place in the order."""
        self._by_start.add(entry.latest_start, entry)
        self._by_protection.add(entry.protected_at, entry)

    def remove(self, entry: QueueEntry) -> None:
        """Remove an entry."""
        del self.entries[entry.key]
        self.units -= entry.units
        self.tokens -= entry.tokens

    def head(self, now: float) -> QueueEntry | None:
        """Return the entry to try first; None if all are paused."""
        protected = self._by_protection.first()
        if protected is not None and protected.protected_at <= now:
            return protected
        return self._by_start.first()

    def soonest(self) -> QueueEntry | None:
        """Return the entry with the earliest latest start that isn't paused."""
        return self._by_start.first()
