"""Audit trail of changes to tables, membership, roles, warmth and states."""

from __future__ import annotations

import enum
import time
from collections import deque
from collections.abc import Callable

from attrs import asdict, frozen

TRAIL_LENGTH = 4096
"""Maximum number of records kept in memory. VMs have no disks, so older records are
only in the log stream."""


class Subject(enum.StrEnum):
    """List the kinds of things whose changes are recorded."""

    TABLES = "tables"
    MEMBER = "member"
    ROLE = "role"
    WARMTH = "warmth"
    DATA_CENTRE = "data_centre"
    SERVER = "server"
    PROCESS = "process"


@frozen
class AuditRecord:
    """Describe a change: its subject, old and new values, and who or what caused it."""

    sequence: int
    at: float  # seconds since 1970
    subject: Subject
    name: str
    before: str
    after: str
    cause: str
    version: int = 0

    def as_dict(self) -> dict[str, object]:
        """Return the record as a dictionary, for a log line or the admin port."""
        return asdict(self)


class AuditTrail:
    """Keep the newest records and pass each new one to a sink."""

    def __init__(
        self,
        sink: Callable[[AuditRecord], None] = lambda record: None,
        clock: Callable[[], float] = time.time,
    ) -> None:
        self._sink = sink
        self._clock = clock
        self._records: deque[AuditRecord] = deque(maxlen=TRAIL_LENGTH)
        self._sequence = 0

    def record(
        self,
        subject: Subject,
        name: str,
        *,
        before: str,
        after: str,
        cause: str,
        version: int = 0,
    ) -> AuditRecord:
        """Append a record and return it."""
        self._sequence += 1
        row = AuditRecord(
            self._sequence, self._clock(), subject, name, before, after, cause, version
        )
        self._records.append(row)
        self._sink(row)
        return row

    def since(self, sequence: int) -> list[AuditRecord]:
        """Return the kept records with a sequence number above `sequence`."""
        return [row for row in self._records if row.sequence > sequence]
