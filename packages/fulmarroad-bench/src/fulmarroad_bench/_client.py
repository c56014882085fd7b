"""Minimal HTTP client: one connection per call, with the times of each call."""

from __future__ import annotations

import time
from collections.abc import Iterable

import anyio
import httptools
from attrs import define, field, frozen

RECEIVE_BYTES = 65536
CONNECT_S = 2.0
"""Timeout of a connection attempt in seconds; after it the attempt has failed."""


@frozen
class Request:
    """Hold the parts of one HTTP request."""

    method: str
    path: str
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""

    def encode(self, host: str) -> bytes:
        """Return the request as sent to `host`."""
        lines = [f"{self.method} {self.path} HTTP/1.1", f"host: {host}"]
        lines += [f"{key}: {value}" for key, value in self.headers]
        lines += [f"content-length: {len(self.body)}", "connection: close"]
        return ("\r\n".join(lines) + "\r\n\r\n").encode() + self.body


@define(eq=False)
class Answer:
    """Collect one answer; times are monotonic seconds."""

    sent_at: float = 0.0
    connected: bool = False
    status: int = 0
    headers: dict[str, str] = field(factory=dict)
    body: bytearray = field(factory=bytearray)
    first_at: float = 0.0  # first byte of the body
    chunks: int = 0
    end_at: float = 0.0
    complete: bool = False
    timed_out: bool = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header."""
        self.headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_body(self, data: bytes) -> None:
        """Append a chunk of the body."""
        if not self.first_at:
            self.first_at = time.monotonic()
        self.chunks += 1
        self.body += data

    def on_message_complete(self) -> None:
        """Mark the answer as complete."""
        self.complete = True


async def call(
    address: str,
    request: Request,
    *,
    timeout_s: float = 60.0,
    disconnect_after_chunks: int | None = None,
    answer: Answer | None = None,
) -> Answer:
    """Send one request and return the answer, complete or not.

    With `disconnect_after_chunks` the caller closes the connection after that many
    chunks of the body. `answer`, if given, is filled in and returned.
    """
    answer = Answer() if answer is None else answer
    answer.sent_at = time.monotonic()
    with anyio.move_on_after(timeout_s) as scope:
        try:
            await _exchange(address, request, answer, disconnect_after_chunks)
        except (OSError, anyio.EndOfStream, anyio.BrokenResourceError):
            pass
        except httptools.HttpParserError:
            answer.complete = False
    answer.timed_out = scope.cancelled_caught
    answer.end_at = time.monotonic()
    return answer


async def call_any(
    addresses: Iterable[str], request: Request, **options: float | None
) -> Answer:
    """Send a request to the first address that accepts a connection.

    Return its answer, or an empty one if no address accepts.
    """
    answer = Answer(sent_at=time.monotonic(), end_at=time.monotonic())
    sent_at = answer.sent_at
    for address in addresses:
        answer = await call(address, request, **options)  # type: ignore[arg-type]
        if answer.connected:
            break
    answer.sent_at = sent_at
    return answer


async def _exchange(
    address: str, request: Request, answer: Answer, disconnect_after_chunks: int | None
) -> None:
    host, _, port = address.rpartition(":")
    with anyio.fail_after(CONNECT_S):
        stream = await anyio.connect_tcp(host, int(port))
    answer.connected = True
    parser = httptools.HttpResponseParser(answer)
    async with stream:
        await stream.send(request.encode(address))
        while not answer.complete:
            parser.feed_data(await stream.receive(RECEIVE_BYTES))
            answer.status = parser.get_status_code()
            if (
                disconnect_after_chunks is not None
                and answer.chunks >= disconnect_after_chunks
            ):
                return
