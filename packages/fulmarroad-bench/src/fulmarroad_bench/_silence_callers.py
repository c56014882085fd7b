"""Callers that send streams and record how each ended."""

from __future__ import annotations

import random
import time
from enum import Enum

import anyio
import httptools
from attrs import define, field, frozen

from fulmarroad_bench._silence_engine import EVENTS, whole_answer
from fulmarroad_platform.standin import request_bytes

PATIENCE_S = 3.0
"""Seconds without a byte after which a caller leaves."""

DEADLINE_S = 8.0
RATE_PER_S = 40.0
PATH = "/draft/stream"
WORKSPACES = {"large": "key-large", "middle": "key-middle", "small": "key-small"}
SHARED_PARTS = 48
SHARED_TOKENS = 300
OWN_TOKENS = 100
RECEIVE_BYTES = 65_536
BODY = b'{"prompt": "' + 200 * b"a" + b'"}'


class End(Enum):
    """State how a stream ended for its caller."""

    WHOLE = "whole"
    WRONG = "wrong"  # as if whole, with other events than the answer has
    STATUS = "status"  # another status than 200
    CUT = "cut"  # closed after the answer began
    CLOSED = "closed"  # closed without a byte
    LEFT = "left"  # the caller left after `PATIENCE_S` without a byte
    DEADLINE = "deadline"  # not whole at the caller's deadline


NOTHING_ENDS = frozenset({End.CUT, End.CLOSED, End.LEFT, End.DEADLINE})
"""Ends with neither a whole answer nor a status that says what became of the call."""


@frozen
class PlannedStream:
    """Hold when a stream is sent and to which router."""

    id: str
    at_s: float
    router: int
    workspace: str
    shared_part: int


def plan_streams(seed: int, seconds: float, routers: int) -> list[PlannedStream]:
    """Return the streams of a run, with random times."""
    rng = random.Random(seed)
    streams: list[PlannedStream] = []
    at_s = rng.expovariate(RATE_PER_S)
    while at_s < seconds:
        streams.append(
            PlannedStream(
                f"{seed:x}-{len(streams):06x}",
                at_s,
                rng.randrange(routers),
                rng.choice(list(WORKSPACES)),
                rng.randrange(SHARED_PARTS),
            )
        )
        at_s += rng.expovariate(RATE_PER_S)
    return streams


@define(eq=False)
class ReceivedStream:
    """Collect what a caller received of one stream."""

    id: str
    end: End = End.CLOSED
    status: int = 0
    body: bytearray = field(factory=bytearray)
    complete: bool = False
    ended_at: float = 0.0

    def on_body(self, data: bytes) -> None:
        """Append a part of the body."""
        self.body += data

    def on_message_complete(self) -> None:
        """Mark the answer as complete."""
        self.complete = True

    def conclude(self) -> End:
        """Return the end of an answer whose connection gives no more bytes."""
        if self.complete and self.status != 200:
            return End.STATUS
        if self.complete:
            return End.WHOLE if self.body == whole_answer(self.id) else End.WRONG
        return End.CUT if self.status else End.CLOSED


async def call_stream(stream: PlannedStream, host: str, port: int) -> ReceivedStream:
    """Send one stream and return what came; don't try again."""
    received = ReceivedStream(stream.id)
    with anyio.move_on_after(DEADLINE_S) as deadline:
        try:
            received.end = await _exchange(stream, host, port, received)
        except (OSError, anyio.BrokenResourceError, anyio.EndOfStream):
            received.end = received.conclude()
        except httptools.HttpParserError:
            received.end = End.CUT
    if deadline.cancelled_caught:
        received.end = End.DEADLINE
    received.ended_at = time.monotonic()
    return received


async def _exchange(
    stream: PlannedStream, host: str, port: int, received: ReceivedStream
) -> End:
    parser = httptools.HttpResponseParser(received)
    async with await anyio.connect_tcp(host, port) as connection:
        await connection.send(_request(stream))
        while not received.complete:
            with anyio.move_on_after(PATIENCE_S) as patience:
                data = await connection.receive(RECEIVE_BYTES)
            if patience.cancelled_caught:
                return End.LEFT
            parser.feed_data(data)
            received.status = parser.get_status_code()
    return received.conclude()


def _request(stream: PlannedStream) -> bytes:
    shared = f"{0xA000 + stream.shared_part:x}:{SHARED_TOKENS}"
    return request_bytes(
        stream.id,
        PATH,
        WORKSPACES[stream.workspace],
        DEADLINE_S,
        (SHARED_TOKENS + OWN_TOKENS, EVENTS),
        f"{shared},{stream.id.replace('-', '')}:{OWN_TOKENS}",
        BODY,
    )
