"""Cut a stream of server-sent events into whole events with their ids."""

from __future__ import annotations

from attrs import frozen

from fulmarroad_serving.exceptions import BrokenAnswerError

MAX_EVENT_BYTES = 1024 * 1024
"""An event above this has no end; its server is broken."""


@frozen
class StreamEvents:
    """Hold whole events as they came, with the id of the last one."""

    raw: bytes
    last_id: str


class WholeEvents:
    """Hold back the part of an event that has not ended yet.

    A server may stop in the middle of an event. Handed on, that half would be joined
    with the next server's first event.
    """

    def __init__(self) -> None:
        self._rest = b""

    @property
    def pending(self) -> bytes:
        """Return the bytes after the last whole event."""
        return self._rest

    def feed(self, chunk: bytes) -> StreamEvents | None:
        """Return the whole events that a chunk completes, if any."""
        data = self._rest + chunk
        end = max(_end_after(data, b"\n\n"), _end_after(data, b"\r\n\r\n"))
        if end <= 0:
            if len(data) > MAX_EVENT_BYTES:
                raise BrokenAnswerError("An event has no end within 1 MiB.")
            self._rest = data
            return None
        self._rest = data[end:]
        raw = data[:end]
        return StreamEvents(raw, _last_id(raw))


def _end_after(data: bytes, separator: bytes) -> int:
    at = data.rfind(separator)
    return at + len(separator) if at >= 0 else -1


def _last_id(raw: bytes) -> str:
    for line in reversed(raw.splitlines()):
        if line.startswith(b"id:"):
            return line[3:].strip().decode("latin-1")
    return ""
