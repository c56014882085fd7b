"""Split a stream of server-sent events and parse the events' data."""

from __future__ import annotations

import json
from typing import Any

from attrs import frozen

from fulmarroad.exceptions import FulmarroadError

MAX_EVENT_BYTES = 1024 * 1024
"""Maximum size of an event: a faulty engine may never send a separator."""

DONE = b"[DONE]"


class EventTooLarge(FulmarroadError):
    """Report an event that does not end within `MAX_EVENT_BYTES`."""


@frozen
class StreamEvent:
    """Hold one event: `raw` as sent to the caller, with separator, and its `data`."""

    raw: bytes
    data: bytes

    @property
    def done(self) -> bool:
        """Return whether the event ends the stream."""
        return self.data == DONE

    @property
    def tokens(self) -> int:
        """Return how many tokens the event counts as: one if it has content, else 0."""
        return int(b'"content":' in self.data and b'"content":""' not in self.data)


class EventSplitter:
    """Buffer chunks of a stream and split them into complete events."""

    def __init__(self) -> None:
        self._buffer = b""

    @property
    def pending(self) -> int:
        """Return how many bytes of an incomplete event are buffered."""
        return len(self._buffer)

    def feed(self, chunk: bytes) -> list[StreamEvent]:
        """Add a chunk and return the events that it completes.

        Raise `EventTooLarge` if the incomplete event exceeds `MAX_EVENT_BYTES`.
        """
        buffer = (self._buffer + chunk).replace(b"\r\n", b"\n")
        *blocks, self._buffer = buffer.split(b"\n\n")
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise EventTooLarge("The engine sent an event larger than 1 MiB.")
        return [_parse_event(block) for block in blocks if block.strip()]


def parse_usage(data: bytes) -> dict[str, Any] | None:
    """Return the `usage` object of an answer or event, or `None`."""
    if b'"usage"' not in data:
        return None
    try:
        usage = json.loads(data).get("usage")
    except (ValueError, AttributeError, RecursionError):
        return None
    return usage if isinstance(usage, dict) else None


def _parse_event(block: bytes) -> StreamEvent:
    lines = block.split(b"\n")
    data = [line[5:].lstrip() for line in lines if line.startswith(b"data:")]
    return StreamEvent(block + b"\n\n", b"\n".join(data))
