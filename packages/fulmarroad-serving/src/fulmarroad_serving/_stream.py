"""Split a stream of server-sent events into complete events with their ids."""

from __future__ import annotations

from attrs import frozen

from fulmarroad_serving.exceptions import BrokenAnswerError

MAX_EVENT_BYTES = 256 * 1024
"""Largest incomplete event; beyond this the server is considered faulty."""

SEPARATORS = (b"\n\n", b"\r\n\r\n")
"""Ends of an event."""


@frozen
class StreamEvents:
    """Hold the bytes of complete events and the id of the last one."""

    raw: bytes
    last_id: str

    @property
    def count(self) -> int:
        """Return the number of events."""
        return self.raw.count(b"\n\n") or self.raw.count(b"\r\n\r\n")


class EventSplitter:
    """Split a stream into complete events and buffer an incomplete one.

    A server may fail in the middle of an event. If that part were forwarded, it would
    be joined with the first event of the server that resumes the stream.
    """

    def __init__(self) -> None:
        self._incomplete = bytearray()

    @property
    def pending(self) -> bytes:
        """Return the bytes after the last complete event."""
        return bytes(self._incomplete)

    def feed(self, chunk: bytes) -> StreamEvents | None:
        """Return the events that a chunk completes, or `None`."""
        # A separator may begin in the bytes that came before.
        searched = max(0, len(self._incomplete) - len(SEPARATORS[-1]))
        self._incomplete += chunk
        data = self._incomplete
        end = max(_end_after(data, separator, searched) for separator in SEPARATORS)
        if end <= 0:
            if len(data) > MAX_EVENT_BYTES:
                raise BrokenAnswerError("An event is too long.")
            return None
        raw = bytes(data[:end])
        del data[:end]
        return StreamEvents(raw, _last_id(raw))


def _end_after(data: bytearray, separator: bytes, start: int) -> int:
    at = data.rfind(separator, start)
    return at + len(separator) if at >= 0 else -1


def _last_id(raw: bytes) -> str:
    for line in reversed(raw.splitlines()):
        if line.startswith(b"id:"):
            return line[3:].strip().decode("latin-1")
    return ""
