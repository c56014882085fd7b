"""Keep the calls that wait at an owner of servers in the order of their turns.

Load pattern: in a surge, more calls wait for engines than these can begin on time. If
waiting calls search for a place again and again, the workspace with most calls finds
most places, and a call that could have waited takes the place of one that couldn't. So
the workspace that uses least of its share is first, and within it the call whose latest
moment for a start on time comes first. The queue is bounded: beyond its bounds a wait
would end in a refusal anyway, and the caller could have gone elsewhere.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Callable
from heapq import heapify, heappop, heappush
from itertools import count
from typing import Protocol

from attrs import define, field

from fulmarroad.types import WorkspaceName
from fulmarroad_serving._shares import ShareStatus
from fulmarroad_serving.admission._entries import (
    EntryGroup,
    EntryKey,
    QueueEntry,
    Urgency,
)

MAX_ENTRIES = 512
MAX_BYTES = 1024 * 1024
MAX_WAIT_S = 4.0
"""Bounds of the queue. An owner's few engines begin less than two hundred calls a
second, so longer queues can't be worked off within any objective; the time is the
window over which shares are balanced."""

USE_STEP = 0.05
"""Step in which the used fractions of shares are compared. Peers' counts are up to a
fifth of a second old, a twentieth of the window; closer differences aren't known."""


class WorkspaceShares(Protocol):
    """Tell how much of its share each workspace uses in the whole fleet."""

    def summed_at(self, now: float) -> float:
        """Return the time of the newest sums."""

    def share_status(self, workspace: WorkspaceName, now: float) -> ShareStatus:
        """Return a workspace's demand, granted service and equal share."""


_GroupKey = tuple[WorkspaceName, Urgency]
_Turn = tuple[int, int, float, int, int, EntryGroup]
"""Urgency, step of use, latest start, number, version of its group, and the group."""


@define
class AdmissionQueue:
    """Order waiting calls within bounds."""

    _shares: WorkspaceShares
    max_entries: int = MAX_ENTRIES
    max_bytes: int = MAX_BYTES
    max_wait_s: float = MAX_WAIT_S
    size: int = field(default=0, init=False)  # in bytes
    _entries: dict[EntryKey, QueueEntry] = field(factory=dict, init=False)
    _groups: dict[_GroupKey, EntryGroup] = field(factory=dict, init=False)
    _turns: list[_Turn] = field(factory=list, init=False)
    _ends: list[tuple[float, int, QueueEntry]] = field(factory=list, init=False)
    _paused: list[tuple[float, int, QueueEntry]] = field(factory=list, init=False)
    _granted_units: dict[WorkspaceName, float] = field(factory=dict, init=False)
    """Units granted since the newest sums of the shares."""
    _summed_at: float = field(default=-math.inf, init=False)
    _numbers: count[int] = field(factory=count, init=False)

    def __len__(self) -> int:
        return len(self._entries)

    def __contains__(self, key: EntryKey) -> bool:
        return key in self._entries

    @property
    def waiting(self) -> dict[WorkspaceName, int]:
        """Return the number of waiting calls of each workspace."""
        return dict(Counter(entry.workspace for entry in self._entries.values()))

    @property
    def units(self) -> float:
        """Return the units of all waiting calls."""
        return sum(group.units for group in self._groups.values())

    @property
    def next_end(self) -> float | None:
        """Return when the next wait ends; None if nothing waits."""
        while self._ends and not self._ends[0][2].waits:
            heappop(self._ends)
        return self._ends[0][0] if self._ends else None

    def longest_wait_s(self, now: float) -> float:
        """Return for how long the oldest entry has waited."""
        # Entries are held in the order of arrival.
        oldest = next(iter(self._entries.values()), None)
        return now - oldest.since if oldest is not None else 0.0

    def push(self, entry: QueueEntry, now: float) -> list[QueueEntry]:
        """Add an entry and return those dropped for it, which may include itself."""
        self._refresh(now)
        entry.until = min(entry.since + self.max_wait_s, entry.until)
        entry.waits, entry.number = True, next(self._numbers)
        self._entries[entry.key] = entry
        self.size += entry.size
        group = self._group(entry)
        group.count(entry)
        group.arrange(entry)
        heappush(self._ends, (entry.until, entry.number, entry))
        self._arrange(group)
        dropped = []
        while len(self._entries) > self.max_entries or self.size > self.max_bytes:
            last = self._last()
            self._drop(last)
            dropped.append(last)
        return dropped

    def remove(self, key: EntryKey) -> QueueEntry | None:
        """Remove an entry and return it; None if it doesn't wait."""
        entry = self._entries.get(key)
        if entry is not None:
            self._drop(entry)
        return entry

    def remove_if(self, is_lost: Callable[[EntryKey], bool]) -> list[QueueEntry]:
        """Remove and return the entries whose keys are lost."""
        lost = [entry for key, entry in self._entries.items() if is_lost(key)]
        for entry in lost:
            self._drop(entry)
        return lost

    def pop_ended(self, now: float) -> list[QueueEntry]:
        """Remove and return the entries whose wait ended."""
        ended = []
        while (end := self.next_end) is not None and end <= now:
            entry = heappop(self._ends)[2]
            self._drop(entry)
            ended.append(entry)
        return ended

    def first(self, now: float) -> QueueEntry | None:
        """Return the entry whose turn it is; None if all are paused."""
        self._refresh(now)
        self._resume(now)
        while self._turns:
            *_, version, group = self._turns[0]
            if version == group.version and group.entries:
                soonest = group.soonest()
                if soonest and self._turn(group, soonest) <= self._turns[0]:
                    return group.head(now)
                heappop(self._turns)
                self._arrange(group)
            else:
                heappop(self._turns)
        return None

    def pause(self, entry: QueueEntry, until: float) -> None:
        """Skip an entry that found no place, until a time or the next `resume_all`."""
        entry.paused = True
        heappush(self._paused, (until, entry.number, entry))
        self._arrange(self._group(entry))

    def resume_all(self) -> None:
        """End all pauses."""
        while self._paused:
            self._end_pause()

    def grant(self, entry: QueueEntry, now: float) -> None:
        """Remove an entry that got a place and count it for its workspace."""
        self._drop(entry)
        self.note_granted(entry.workspace, entry.units, now)

    def note_granted(self, workspace: WorkspaceName, units: float, now: float) -> None:
        """Count a call that got a place, until the next sums of the shares have it."""
        self._refresh(now)
        granted = self._granted_units
        granted[workspace] = granted.get(workspace, 0.0) + units
        for urgency in Urgency:
            group = self._groups.get((workspace, urgency))
            if group is not None:
                group.step = self._step(workspace, urgency, now)
                self._arrange(group)

    def units_ahead(
        self, workspace: WorkspaceName, latest_start: float, now: float
    ) -> float:
        """Return the units of the entries before a call that would begin on time."""
        return self._ahead(workspace, latest_start, now)[0]

    def tokens_ahead(
        self, workspace: WorkspaceName, latest_start: float, now: float
    ) -> float:
        """Return the prompt tokens of the entries before a call, see `units_ahead`."""
        return self._ahead(workspace, latest_start, now)[1]

    def _ahead(
        self, workspace: WorkspaceName, latest_start: float, now: float
    ) -> tuple[float, float]:
        self._refresh(now)
        turn = (int(Urgency.ON_TIME), self._step(workspace, Urgency.ON_TIME, now))
        units = tokens = 0.0
        for group in self._groups.values():
            other = (int(group.urgency), group.step)
            if other < turn:
                units += group.units
                tokens += group.tokens
            elif other == turn:
                sooner = [row for row in group if row.latest_start <= latest_start]
                units += sum(row.units for row in sooner)
                tokens += sum(row.tokens for row in sooner)
        return units, tokens

    def _drop(self, entry: QueueEntry) -> None:
        entry.waits = False
        del self._entries[entry.key]
        self.size -= entry.size
        group = self._group(entry)
        group.remove(entry)
        if not group.entries:
            del self._groups[entry.workspace, entry.urgency]
        self._trim()

    def _trim(self) -> None:
        """Remove the remains of dropped entries if they are most of a heap."""
        limit = 2 * len(self._entries) + 64
        if len(self._ends) > limit:
            self._ends = [row for row in self._ends if row[2].waits]
            heapify(self._ends)
        if len(self._paused) > limit:
            self._paused = [row for row in self._paused if row[2].waits]
            heapify(self._paused)

    def _last(self) -> QueueEntry:
        """Return the last entry in the order."""
        group = max(self._groups.values(), key=lambda row: (row.urgency, row.step))
        last = (group.urgency, group.step)
        return max(
            (
                entry
                for row in self._groups.values()
                if (row.urgency, row.step) == last
                for entry in row
            ),
            key=lambda entry: (entry.latest_start, entry.number),
        )

    def _group(self, entry: QueueEntry) -> EntryGroup:
        key = (entry.workspace, entry.urgency)
        group = self._groups.get(key)
        if group is None:
            group = self._groups[key] = EntryGroup(entry.workspace, entry.urgency)
            group.step = self._step(entry.workspace, entry.urgency, self._summed_at)
        return group

    def _arrange(self, group: EntryGroup) -> None:
        """Give a group its place in the order of groups."""
        group.version += 1
        soonest = group.soonest()
        if soonest is not None:
            heappush(self._turns, self._turn(group, soonest))
        if len(self._turns) > 4 * len(self._groups) + 64:
            rows = [row for row in self._turns if row[4] == row[5].version]
            self._turns = [row for row in rows if row[5].entries]
            heapify(self._turns)

    def _turn(self, group: EntryGroup, soonest: QueueEntry) -> _Turn:
        return (
            int(group.urgency),
            group.step,
            soonest.latest_start,
            soonest.number,
            group.version,
            group,
        )

    def _refresh(self, now: float) -> None:
        """Arrange all groups anew if the shares were summed again."""
        summed_at = self._shares.summed_at(now)
        if summed_at == self._summed_at:
            return
        self._summed_at = summed_at
        self._granted_units.clear()
        self._turns.clear()
        for group in self._groups.values():
            group.step = self._step(group.workspace, group.urgency, now)
            self._arrange(group)

    def _step(self, workspace: WorkspaceName, urgency: Urgency, now: float) -> int:
        if urgency is Urgency.CONTINUES:
            return 0  # its answer has begun, so its share doesn't matter
        status = self._shares.share_status(workspace, now)
        if not 0 < status.level < math.inf:
            return 0
        got = status.got + self._granted_units.get(workspace, 0.0)
        return math.floor(got / status.level / USE_STEP)

    def _resume(self, now: float) -> None:
        while self._paused and self._paused[0][0] <= now:
            self._end_pause()

    def _end_pause(self) -> None:
        entry = heappop(self._paused)[2]
        if not entry.waits:
            return
        entry.paused = False
        group = self._group(entry)
        group.arrange(entry)
        self._arrange(group)
