"""Bounded, non-blocking JSON logging to standard output.

Logging only appends a record to a queue. A separate task formats and writes the records
without blocking. If a queue is full because of a full pipe or a burst, records are
dropped, and a later line reports how many. Records about the router's state are written
before those of single calls. Behind thousands of call records they would be written
many seconds late, or lost with the process and with them the reasons for its decisions.
"""

from __future__ import annotations

import logging
import os
from collections import deque

import anyio
from pythonjsonlogger.json import JsonFormatter

from fulmarroad.events import Event

QUEUE_LINES = 2_000
"""Capacity of each queue, one for call records and one for all others: about ten
seconds at the highest rate."""

CALL_EVENTS = range(500, 600)
"""Numbers of the events about single calls."""

LINES_PER_S = 200
"""Maximum lines written per second. Each call logs one or two lines, and a router under
heavy load logged at most 81 lines in one second."""

FLUSH_S = 0.1
STDOUT = 1


class BoundedLog(logging.Handler):
    """Queue log records and write them from a task."""

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
        self._call_records: deque[logging.LogRecord] = deque()
        self._state_records: deque[logging.LogRecord] = deque()
        self._unwritten = b""
        self.dropped = 0

    @property
    def waiting(self) -> int:
        """Return the number of queued lines."""
        return len(self._call_records) + len(self._state_records)

    def emit(self, record: logging.LogRecord) -> None:
        """Queue a record, or count it as dropped."""
        is_call = getattr(record, "event", 0) in CALL_EVENTS
        records = self._call_records if is_call else self._state_records
        if len(records) >= QUEUE_LINES:
            self.dropped += 1
            return
        records.append(record)

    async def run(self) -> None:
        """Write queued records until cancelled."""
        os.set_blocking(self._descriptor, False)
        while True:
            await anyio.sleep(FLUSH_S)
            self.write(int(self._rate * FLUSH_S))

    def write(self, lines: int) -> None:
        """Write up to a number of lines, as far as the pipe accepts them."""
        if self.dropped and len(self._state_records) < QUEUE_LINES:
            self._state_records.append(self._dropped_record())
            self.dropped = 0
        while (
            records := self._state_records or self._call_records
        ) and not self._unwritten:
            if lines <= 0:
                break
            lines -= 1
            record = records.popleft()
            try:
                self._unwritten = self.format(record).encode() + b"\n"
            except Exception:
                # A record that can't be written must not stop the log.
                self.dropped += 1
                continue
            self._write_pending()
        self._write_pending()

    def drain(self) -> None:
        """Write the remaining records at the end of the process."""
        self.write(QUEUE_LINES)

    def _write_pending(self) -> None:
        if not self._unwritten:
            return
        try:
            written = os.write(self._descriptor, self._unwritten)
        except BlockingIOError:
            return
        except OSError:
            # The reader of the log has closed it, which must not stop the process.
            self.dropped += 1
            written = len(self._unwritten)
        self._unwritten = self._unwritten[written:]

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
    # Aborting an answer raises an exception that the HTTP server would log with a
    # traceback. The router already logs event 505 for it.
    logging.getLogger("uvicorn.error").setLevel(logging.CRITICAL)
    return handler
