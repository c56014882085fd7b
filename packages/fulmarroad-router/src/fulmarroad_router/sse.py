"""Cut a stream of server-sent events into events and read what they say."""

from __future__ import annotations

import json
from typing import Any

from attrs import frozen

from fulmarroad.exceptions import FulmarroadError

MAX_EVENT_BYTES = 1024 * 1024
"""An event above this is refused; an engine that sends no separator is broken."""

DONE = b"[DONE]"


class EventTooLarge(FulmarroadError):
    """Report a stream that holds no end of event within the limit."""


@frozen
class StreamEvent:
    """Hold one event with its separator, as it goes to the caller."""

    raw: bytes
    data: bytes

    @property
    def done(self) -> bool:
        """Tell whether the event ends the stream."""
        return self.data == DONE

    @property
    def tokens(self) -> int:
        """Return how many tokens the event carries: one, or none."""
        return int(b'"content":' in self.data and b'"content":""' not in self.data)


class EventSplitter:
    """Collect bytes and give back the whole events among them."""

    def __init__(self) -> None:
        self._buffer = b""

    @property
    def pending(self) -> int:
        """Return the bytes of an event that has not ended yet."""
        return len(self._buffer)

    def feed(self, chunk: bytes) -> list[StreamEvent]:
        """Return the events that a chunk completes; raise `EventTooLarge`."""
        buffer = (self._buffer + chunk).replace(b"\r\n", b"\n")
        *blocks, self._buffer = buffer.split(b"\n\n")
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise EventTooLarge("The engine sent an event above 1 MiB.")
        return [_event(block) for block in blocks if block.strip()]


def parse_usage(data: bytes) -> dict[str, Any] | None:
    """Return the usage that an answer or event carries, if it does."""
    if b'"usage"' not in data:
        return None
    try:
        usage = json.loads(data).get("usage")
    except (ValueError, AttributeError):
        return None
    return usage if isinstance(usage, dict) else None


def _event(block: bytes) -> StreamEvent:
    lines = block.split(b"\n")
    data = [line[5:].lstrip() for line in lines if line.startswith(b"data:")]
    return StreamEvent(block + b"\n\n", b"\n".join(data))
