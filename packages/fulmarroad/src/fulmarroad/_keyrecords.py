"""A group member's records of keys: bounded, and never dropped before their time."""

from __future__ import annotations

import enum
from collections import Counter, OrderedDict
from collections.abc import Iterator

from attrs import define, evolve, field, frozen

from fulmarroad._messages import KeyRecorded
from fulmarroad.types import WorkspaceName

MAX_BODY_BYTES = 64 * 1024
"""Longest answer that is kept for a repeat, with its headers.

Receipts and booking records are far smaller; a longer one is known to have finished,
with its status, but can't be given again.
"""

BODIES_BYTES = 4 * 1024 * 1024
"""Bytes of answers kept in all, an eighth of a router's memory for control."""

BODIES_WORKSPACE_SHARE = 8
"""One workspace may take this part of them at most, so that others keep theirs."""

CROWDED = 0.75
"""From this part of its room on, the store holds each workspace to an even share.

One workspace that sends a new key with each call would else take all of it, and keyed
calls of the others would be refused for as long as keys are kept.
"""

KeyName = tuple[WorkspaceName, str]


class KeyState(enum.StrEnum):
    """Say what a record knows of its key; later ones outweigh earlier ones."""

    ABSENT = "absent"
    FENCED = "fenced"
    STARTED = "started"
    UNKNOWN = "unknown"
    FINISHED = "finished"
    UNABLE = "unable"


WEIGHT = {
    KeyState.ABSENT: 0,
    KeyState.FENCED: 1,
    KeyState.STARTED: 2,
    KeyState.UNKNOWN: 3,
    KeyState.FINISHED: 4,
}


@frozen
class KeyLimits:
    """Bound what a group member keeps, and for how long in seconds."""

    retention_s: float = 3600.0
    max_per_workspace: int = 2048
    max_total: int = 16384
    bodies_bytes: int = BODIES_BYTES


@define
class Record:
    """Hold one key's record.

    `fence` and `attempt` together are the fence of a fenced record, or the attempt of a
    started one. `copied` marks what came from another member and is no own vote.
    """

    state: KeyState
    attempt: str
    fence: int
    fingerprint: str = ""
    status: int = 0
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    body_kept: bool = True
    changed: float = 0.0
    copied: bool = False

    @property
    def size(self) -> int:
        """Return the bytes of the answer that it keeps."""
        return answer_size(self.headers, self.body)

    def to_reply(self, reason: str = "") -> KeyRecorded:
        """Return the record as a reply."""
        return KeyRecorded(
            self.state.value,
            self.attempt,
            self.fence,
            self.status,
            self.headers,
            self.body,
            self.fingerprint,
            reason or ("" if self.body_kept else "body_not_kept"),
        )


@define
class KeyRecords:
    """Hold the records of all workspaces, the least lately changed first."""

    limits: KeyLimits
    _rows: OrderedDict[KeyName, Record] = field(factory=OrderedDict, init=False)
    _count: Counter[WorkspaceName] = field(factory=Counter, init=False)
    _bytes: Counter[WorkspaceName] = field(factory=Counter, init=False)
    _total_bytes: int = field(default=0, init=False)

    def __len__(self) -> int:
        return len(self._rows)

    def get(self, name: KeyName) -> Record | None:
        """Return a key's record."""
        return self._rows.get(name)

    def has_capacity(self, workspace: WorkspaceName) -> bool:
        """Tell whether a workspace may have one more record."""
        held = self._count[workspace]
        if len(self._rows) >= self.limits.max_total:
            return False
        if held >= self.limits.max_per_workspace:
            return False
        if len(self._rows) < CROWDED * self.limits.max_total:
            return True
        # One share more than there are workspaces waits for the next one that comes.
        return held < self.limits.max_total / (len(self._count) + 1)

    def put(self, name: KeyName, record: Record, now: float) -> Record:
        """Set and return a key's record; an answer without room is left out of it."""
        self.drop(name)
        if not self._has_room_for_answer(name[0], record):
            record = evolve(record, headers=(), body=b"", body_kept=False)
        record.changed = now
        self._rows[name] = record
        self._count[name[0]] += 1
        self._bytes[name[0]] += record.size
        self._total_bytes += record.size
        return record

    def drop(self, name: KeyName) -> None:
        """Forget a key."""
        record = self._rows.pop(name, None)
        if record is None:
            return
        self._total_bytes -= record.size
        for counter, amount in ((self._count, 1), (self._bytes, record.size)):
            counter[name[0]] -= amount
        if self._count[name[0]] <= 0:
            del self._count[name[0]], self._bytes[name[0]]

    def expire(self, now: float) -> None:
        """Forget the keys whose time has passed."""
        while self._rows:
            name, record = next(iter(self._rows.items()))
            if now - record.changed < self.limits.retention_s:
                return
            self.drop(name)

    def items(self) -> Iterator[tuple[KeyName, Record]]:
        """Yield all records."""
        yield from self._rows.items()

    def _has_room_for_answer(self, workspace: WorkspaceName, record: Record) -> bool:
        size, room = record.size, self.limits.bodies_bytes
        share = room / BODIES_WORKSPACE_SHARE
        return (
            size <= MAX_BODY_BYTES
            and self._total_bytes + size <= room
            and self._bytes[workspace] + size <= share
        )


def answer_size(headers: tuple[tuple[str, str], ...], body: bytes) -> int:
    """Return the bytes of an answer's headers and body."""
    return len(body) + sum(len(name) + len(value) for name, value in headers)
