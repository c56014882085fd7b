"""Key records of a group member: bounded, and never evicted before they expire."""

from __future__ import annotations

import enum
from collections import Counter, OrderedDict
from collections.abc import Iterator

from attrs import define, evolve, field, frozen

from fulmarroad._messages import KeyRecorded
from fulmarroad.types import WorkspaceName

MAX_BODY_BYTES = 64 * 1024
"""Longest answer, with its headers, that is stored for a repeat.

Receipts and booking records are far smaller. For a longer answer only the status is
stored, so that it can't be replayed in full.
"""

MAX_TOTAL_BODY_BYTES = 4 * 1024 * 1024
"""Total bytes of stored answers, an eighth of a router's memory for control data."""

BODIES_WORKSPACE_DIVISOR = 8
"""Divisor of the total that limits one workspace, so that others can store theirs."""

EVEN_SHARE_THRESHOLD = 0.75
"""Fraction of its capacity from which the store limits workspaces to an even share.

Otherwise one workspace that sends a new key with each call would fill the store, and
keyed calls of the others would be refused for the whole retention time.
"""

KeyName = tuple[WorkspaceName, str]


class KeyState(enum.StrEnum):
    """List the states of a key's record; later ones take precedence.

    `UNABLE` occurs only in replies: the member neither votes nor stores a record.
    """

    ABSENT = "absent"
    FENCED = "fenced"
    STARTED = "started"
    UNKNOWN = "unknown"
    FINISHED = "finished"
    UNABLE = "unable"


STATE_PRECEDENCE = {
    KeyState.ABSENT: 0,
    KeyState.FENCED: 1,
    KeyState.STARTED: 2,
    KeyState.UNKNOWN: 3,
    KeyState.FINISHED: 4,
}


@frozen
class KeyLimits:
    """Limit what a group member stores, and for how long in seconds."""

    retention_s: float = 3600.0
    max_per_workspace: int = 2048
    max_total: int = 16384
    bodies_bytes: int = MAX_TOTAL_BODY_BYTES


@define
class Record:
    """Hold one key's record.

    `fence` and `attempt` together are the fence of a fenced record, or the attempt of a
    started one. `copied` marks a record that came from another member and does not
    count as this member's vote.
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
        """Return the size of the stored answer in bytes."""
        return answer_size(self.headers, self.body)

    def to_reply(self, reason: str = "") -> KeyRecorded:
        """Return the record as a reply message."""
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
    """Hold the records of all workspaces, the least recently changed first."""

    limits: KeyLimits
    _records: OrderedDict[KeyName, Record] = field(factory=OrderedDict, init=False)
    _record_counts: Counter[WorkspaceName] = field(factory=Counter, init=False)
    _answer_bytes: Counter[WorkspaceName] = field(factory=Counter, init=False)
    _total_answer_bytes: int = field(default=0, init=False)

    def __len__(self) -> int:
        return len(self._records)

    def get(self, name: KeyName) -> Record | None:
        """Return a key's record, if there is one."""
        return self._records.get(name)

    def has_capacity(self, workspace: WorkspaceName) -> bool:
        """Return whether a workspace may have one more record."""
        held = self._record_counts[workspace]
        if len(self._records) >= self.limits.max_total:
            return False
        if held >= self.limits.max_per_workspace:
            return False
        if len(self._records) < EVEN_SHARE_THRESHOLD * self.limits.max_total:
            return True
        # The extra share is reserved for the next new workspace.
        return held < self.limits.max_total / (len(self._record_counts) + 1)

    def put(self, name: KeyName, record: Record, now: float) -> Record:
        """Set and return a key's record; leave out an answer that does not fit."""
        self.drop(name)
        if not self._has_capacity_for_answer(name[0], record):
            record = evolve(record, headers=(), body=b"", body_kept=False)
        record.changed = now
        self._records[name] = record
        self._record_counts[name[0]] += 1
        self._answer_bytes[name[0]] += record.size
        self._total_answer_bytes += record.size
        return record

    def drop(self, name: KeyName) -> None:
        """Delete a key's record."""
        record = self._records.pop(name, None)
        if record is None:
            return
        self._total_answer_bytes -= record.size
        for counter, amount in (
            (self._record_counts, 1),
            (self._answer_bytes, record.size),
        ):
            counter[name[0]] -= amount
        if self._record_counts[name[0]] <= 0:
            del self._record_counts[name[0]], self._answer_bytes[name[0]]

    def expire(self, now: float) -> None:
        """Delete the records whose retention time has passed."""
        while self._records:
            name, record = next(iter(self._records.items()))
            if now - record.changed < self.limits.retention_s:
                return
            self.drop(name)

    def items(self) -> Iterator[tuple[KeyName, Record]]:
        """Yield all records."""
        yield from self._records.items()

    def _has_capacity_for_answer(
        self, workspace: WorkspaceName, record: Record
    ) -> bool:
        size, capacity = record.size, self.limits.bodies_bytes
        share = capacity / BODIES_WORKSPACE_DIVISOR
        return (
            size <= MAX_BODY_BYTES
            and self._total_answer_bytes + size <= capacity
            and self._answer_bytes[workspace] + size <= share
        )


def answer_size(headers: tuple[tuple[str, str], ...], body: bytes) -> int:
    """Return the size of an answer's headers and body in bytes."""
    return len(body) + sum(len(name) + len(value) for name, value in headers)
