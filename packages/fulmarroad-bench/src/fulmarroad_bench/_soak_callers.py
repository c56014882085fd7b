"""Callers that begin a stream at one router and take it up at another."""

from __future__ import annotations

import random
import time

import anyio
import httptools
from attrs import define, field, frozen

from fulmarroad_bench._soak_engine import EVENTS, read_events
from fulmarroad_platform.standin import request_bytes

DEADLINE_S = 6.0
PATIENCE_S = 2.0
"""Seconds without a byte after which a caller leaves."""

PATH = "/draft/stream"
WORKSPACES = {"large": "key-large", "small": "key-small"}
PROMPT_TOKENS = 120
RECEIVE_BYTES = 65_536
BODY = b'{"prompt": "a"}'


@frozen
class Address:
    """Name where a router listens for callers."""

    host: str
    port: int


@define(eq=False)
class Answer:
    """Collect what a router answered to one call."""

    status: int = 0
    complete: bool = False
    seconds: float = 0.0
    _body: bytearray = field(factory=bytearray)

    def on_body(self, data: bytes) -> None:
        """Append a part of the body."""
        self._body += data

    def on_message_complete(self) -> None:
        """Mark the answer as complete."""
        self.complete = True

    @property
    def events(self) -> list[tuple[int, str]]:
        """Return the numbers and versions of the events."""
        return read_events(bytes(self._body)) if self.status == 200 else []


@define(eq=False)
class Stream:
    """Hold one stream and the answers that brought its parts."""

    id: str
    named: bool  # its caller says which stream it takes up
    workspace: str
    begun: Answer = field(factory=Answer)
    taken_up: Answer | None = None

    @property
    def last_event(self) -> int:
        """Return the number of the last event of the first answer, 0 for none."""
        return self.begun.events[-1][0] if self.begun.events else 0

    @property
    def versions(self) -> list[str]:
        """Return the versions of all events, in their order."""
        answers = [self.begun] + ([self.taken_up] if self.taken_up else [])
        return [version for answer in answers for _, version in answer.events]

    @property
    def whole(self) -> bool:
        """Return whether the caller got each event once."""
        answers = [self.begun] + ([self.taken_up] if self.taken_up else [])
        numbers = [number for answer in answers for number, _ in answer.events]
        return answers[-1].complete and numbers == list(range(1, EVENTS + 1))


def plan_streams(rng: random.Random, count: int, prefix: str) -> list[Stream]:
    """Return streams of which every second one is named when it is taken up."""
    return [
        Stream(
            f"{prefix}{rng.getrandbits(40):010x}{number:04x}",
            named=number % 2 == 0,
            workspace=rng.choice(list(WORKSPACES)),
        )
        for number in range(count)
    ]


async def begin(stream: Stream, at: Address) -> None:
    """Send a stream's first call and collect the answer until it ends."""
    stream.begun = await _exchange(at, _request(stream, stream.id))


async def take_up(stream: Stream, at: Address) -> None:
    """Ask for the rest of a stream that broke; do nothing for others."""
    if not stream.last_event or stream.begun.complete:
        return
    request = _request(
        stream,
        f"{stream.id}a",
        stream.last_event,
        resumes=stream.id if stream.named else "",
    )
    stream.taken_up = await _exchange(at, request)


async def _exchange(at: Address, request: bytes) -> Answer:
    answer = Answer()
    began = time.monotonic()
    try:
        with anyio.move_on_after(DEADLINE_S):
            await _receive(at, request, answer)
    except (OSError, anyio.BrokenResourceError, anyio.EndOfStream):
        pass  # what came before the break is the answer
    answer.seconds = time.monotonic() - began
    return answer


async def _receive(at: Address, request: bytes, answer: Answer) -> None:
    parser = httptools.HttpResponseParser(answer)
    async with await anyio.connect_tcp(at.host, at.port) as connection:
        await connection.send(request)
        while not answer.complete:
            with anyio.move_on_after(PATIENCE_S) as patience:
                data = await connection.receive(RECEIVE_BYTES)
            if patience.cancelled_caught:
                return
            parser.feed_data(data)
            answer.status = parser.get_status_code()


def _request(
    stream: Stream, request_id: str, last_event: int = 0, resumes: str = ""
) -> bytes:
    return request_bytes(
        request_id,
        PATH,
        WORKSPACES[stream.workspace],
        DEADLINE_S,
        (PROMPT_TOKENS, EVENTS),
        f"{stream.id}:{PROMPT_TOKENS}",
        BODY,
        last_event,
        resumes,
    )
