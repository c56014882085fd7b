"""Log lines as JSON to standard output, bounded, and never in a request's way.

Whoever logs only appends to a queue. A task of its own formats and writes, without
blocking: a full pipe or a burst of lines drops lines, and the next line that gets
through tells how many. Lines on what the router believes go before those of single
calls: behind thousands of these they would come out many seconds late, or be lost with
the process, and nobody could tell afterwards what it went by.
"""

from __future__ import annotations

import logging
import os
from collections import deque

import anyio
from pythonjsonlogger.json import JsonFormatter

from fulmarroad.events import Event

QUEUE_LINES = 2_000
"""Lines of calls that wait to be written, and as many others: about ten seconds at the
highest rate."""

CALL_EVENTS = range(500, 600)
"""Numbers of the events that tell of one call."""

LINES_PER_S = 200
"""Lines written a second: each call leaves one or two, and a router wrote 81
in its fullest second of a heavy day."""

FLUSH_S = 0.1
STDOUT = 1


class BoundedLog(logging.Handler):
    """Queue records and write them from a task."""

    def __init__(
        self, router: str, descriptor: int = STDOUT, rate: float = LINES_PER_S
    ) -> None:
        super().__init__()
        self.setFormatter(
            JsonFormatter(
                "%(asctime)s %(levelname)s %(name)s %(message)s",
                rename_fields={"asctime": "time", "levelname": "level"},
                static_fields={"router": router},
            )
        )
        self._descriptor = descriptor
        self._rate = rate
        self._calls: deque[logging.LogRecord] = deque()
        self._state_records: deque[logging.LogRecord] = deque()
        self._rest = b""
        self.dropped = 0

    @property
    def waiting(self) -> int:
        """Return how many lines wait to be written."""
        return len(self._calls) + len(self._state_records)

    def emit(self, record: logging.LogRecord) -> None:
        """Queue a record, or count it as dropped."""
        of_call = getattr(record, "event", 0) in CALL_EVENTS
        records = self._calls if of_call else self._state_records
        if len(records) >= QUEUE_LINES:
            self.dropped += 1
            return
        records.append(record)

    async def run(self) -> None:
        """Write until cancelled."""
        os.set_blocking(self._descriptor, False)
        while True:
            await anyio.sleep(FLUSH_S)
            self.write(int(self._rate * FLUSH_S))

    def write(self, lines: int) -> None:
        """Write up to a number of lines, as far as the pipe takes them."""
        if self.dropped and len(self._state_records) < QUEUE_LINES:
            self._state_records.append(self._dropped_record())
            self.dropped = 0
        while (records := self._state_records or self._calls) and not self._rest:
            if lines <= 0:
                break
            lines -= 1
            record = records.popleft()
            self._rest = self.format(record).encode() + b"\n"
            self._push()
        self._push()

    def drain(self) -> None:
        """Write what is left, at the end of the process."""
        self.write(QUEUE_LINES)

    def _push(self) -> None:
        if not self._rest:
            return
        try:
            written = os.write(self._descriptor, self._rest)
        except BlockingIOError:
            return
        except OSError:
            # Nobody reads the log any more, which must not end the process.
            self.dropped += 1
            written = len(self._rest)
        self._rest = self._rest[written:]

    def _dropped_record(self) -> logging.LogRecord:
        kind = Event.LOG_LINES_DROPPED.value
        record = logging.LogRecord(
            "fulmarroad.serving", kind.level, "", 0, kind.text, None, None
        )
        record.event = kind.number
        record.name_of_event = Event.LOG_LINES_DROPPED.name.lower()
        record.lines = self.dropped
        return record


def configure_bounded_log(router: str) -> BoundedLog:
    """Send the project's log records to a bounded log and return it."""
    handler = BoundedLog(router)
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(logging.WARNING)
    logging.getLogger("fulmarroad").setLevel(logging.INFO)
    # An answer broken off on purpose ends in an exception that the HTTP server would
    # log with its trace; the router's own event 505 tells it better.
    logging.getLogger("uvicorn.error").setLevel(logging.CRITICAL)
    return handler
