"""One connection to a backend server, one call at a time.

httpcore hides three things that decide here whether an answer may be used: a second
answer that arrives late is read as the next one, bytes behind an answer stay in its
parser, and an answer that ends before the request is sent leaves a connection that
looks reusable. So the exchange is written on asyncio's transport, with httptools as
the parser; docs/PLATFORM.md has the trial.
"""

from __future__ import annotations

import asyncio
import socket
from collections import deque
from collections.abc import Callable, Sequence
from typing import cast

import httptools
from attrs import frozen

from fulmarroad_serving.contracts import AnswerHead, Header
from fulmarroad_serving.exceptions import (
    BrokenAnswerError,
    ConnectionBrokenError,
    SilentServerError,
)

PAUSE_READING_BYTES = 256 * 1024
"""Unread bytes of an answer above which the server has to wait for the caller."""

USER_TIMEOUT_MS = 3_000
"""Time without acknowledgement after which the kernel gives a connection up; a path
that swallows packets would otherwise hold a call until its deadline."""

FIRST_FINAL_STATUS = 200

PROBE_IDLE_S = 2
PROBE_INTERVAL_S = 1
PROBE_COUNT = 2


ReadHead = Callable[[int, Sequence[Header]], AnswerHead | None]
"""Decode the head of an answer; nothing for one that belongs to another call."""


@frozen
class _Body:
    data: bytes


@frozen
class _End:
    pass


@frozen
class _Broken:
    cause: str


@frozen
class _Lost(_Broken):
    """The connection ended before the answer did."""


_Part = AnswerHead | _Body | _End | _Broken


class BackendConnection(asyncio.Protocol):
    """Send calls over one connection and read their answers."""

    def __init__(self) -> None:
        self._transport: asyncio.Transport | None = None
        self._parts: deque[_Part] = deque()
        self._waiter: asyncio.Future[None] | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._headers: list[Header] = []
        self._read_head: ReadHead = lambda status, headers: None
        self._expects = False  # an answer is due
        self._in_answer = False
        self._skipping = False  # an answer to an earlier call
        self._framed = False
        self._unread = 0
        self._spoiled = False
        self._closed = False
        self._closing_announced = False
        self._interim = False  # a head that only announces another
        self.keep_alive_s: float | None = None
        self.idle_since = 0.0
        self.calls = 0

    # asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport and set the limits on silence."""
        self._transport = cast(asyncio.Transport, transport)
        set_silence_limits(transport.get_extra_info("socket"))

    def data_received(self, data: bytes) -> None:
        """Parse what came; bytes that nobody waits for spoil the connection."""
        if not self._expects:
            self._spoil()
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            if self._expects:
                self._add(_Broken(f"no HTTP: {error}"))
            self._spoil()

    def eof_received(self) -> bool:
        """Take the end of the stream; it ends an answer without a length."""
        if self._in_answer and not self._framed:
            self._finish()
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Break the call that runs."""
        self._closed = True
        if self._expects:
            cause = repr(error) if error else "closed by the server"
            self._add(_Lost(cause))
        self._wake()

    # httptools callbacks

    def on_message_begin(self) -> None:
        """Begin an answer; one too many spoils the connection."""
        self._headers = []
        if not self._expects:
            self._spoiled = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header."""
        self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Hand the head on."""
        if not self._expects:
            return
        self._in_answer = True
        lengths = [v for n, v in self._headers if n.lower() == b"content-length"]
        chunked = any(n.lower() == b"transfer-encoding" for n, _ in self._headers)
        self._framed = bool(lengths) or chunked
        self._note_connection_headers()
        status = self._parser.get_status_code()
        self._interim = status < FIRST_FINAL_STATUS
        if self._interim:
            return
        head = self._read_head(status, self._headers)
        self._skipping = head is None
        if head is None:
            self._closing_announced = True
        else:
            self._add(head)

    def on_body(self, body: bytes) -> None:
        """Hand a part of the body on."""
        if not self._expects or self._skipping:
            return
        self._unread += len(body)
        self._add(_Body(body))
        if self._unread > PAUSE_READING_BYTES and self._transport:
            self._transport.pause_reading()

    def on_message_complete(self) -> None:
        """End the answer."""
        if self._interim:
            return
        if self._skipping:
            self._skipping = False
            self._in_answer = False
        elif self._expects:
            self._finish()

    # calls

    @property
    def reusable(self) -> bool:
        """Tell whether another call may go over this connection.

        One whose request is not all sent would get the rest of it in the place of the
        next request, and one with unexpected bytes would answer the wrong call.
        """
        if self._transport is None or self._closed or self._spoiled:
            return False
        if self._expects or self._closing_announced or self._parts:
            return False
        return (
            not self._transport.is_closing()
            and self._transport.get_write_buffer_size() == 0
        )

    def send(self, request: bytes, read_head: ReadHead) -> None:
        """Write a whole request; the transport sends what the server's window takes."""
        assert self._transport is not None
        self.calls += 1
        self._read_head = read_head
        self._expects = True
        self._transport.write(request)

    async def head(self, timeout_s: float) -> AnswerHead:
        """Return the head of the answer."""
        part = await self._next(timeout_s)
        if isinstance(part, AnswerHead):
            return part
        raise _broken(part)

    async def body(self, timeout_s: float) -> bytes | None:
        """Return the next part of the body, or nothing at its end."""
        part = await self._next(timeout_s)
        if isinstance(part, _Body):
            self._unread -= len(part.data)
            if self._unread <= PAUSE_READING_BYTES // 2 and self._transport:
                self._transport.resume_reading()
            return part.data
        if isinstance(part, _End):
            return None
        raise _broken(part)

    def close(self) -> None:
        """Close at once, which cancels the call at the server."""
        self._closed = True
        if self._transport is not None:
            self._transport.abort()

    async def _next(self, timeout_s: float) -> _Part:
        if not self._parts:
            await self._wait(timeout_s)
        return self._parts.popleft()

    async def _wait(self, timeout_s: float) -> None:
        if self._closed:
            raise ConnectionBrokenError("The connection is closed.")
        loop = asyncio.get_running_loop()
        self._waiter = loop.create_future()
        timer = loop.call_later(max(0.0, timeout_s), self._wake)
        try:
            await self._waiter
        finally:
            self._waiter = None
            timer.cancel()
        if not self._parts:
            if self._closed:
                raise ConnectionBrokenError("The connection is closed.")
            raise SilentServerError(f"No byte came for {timeout_s:.2f} s.")

    def _add(self, part: _Part) -> None:
        self._parts.append(part)
        self._wake()

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def _finish(self) -> None:
        self._in_answer = False
        self._expects = False
        if not self._framed or not self._parser.should_keep_alive():
            self._closing_announced = True
        self._add(_End())

    def _spoil(self) -> None:
        self._spoiled = True
        self._expects = False
        if self._transport is not None and not self._parts:
            self._transport.abort()

    def _note_connection_headers(self) -> None:
        for name, value in self._headers:
            lowered = name.lower()
            if lowered == b"connection" and b"close" in value.lower():
                self._closing_announced = True
            elif lowered == b"keep-alive":
                self.keep_alive_s = _keep_alive(value)


def _broken(part: _Part) -> BrokenAnswerError:
    cause = part.cause if isinstance(part, _Broken) else "it is out of order"
    kind = ConnectionBrokenError if isinstance(part, _Lost) else BrokenAnswerError
    return kind(f"The answer broke off: {cause}.")


def set_silence_limits(raw: socket.socket | None) -> None:
    """Make the kernel give up a connection whose other end is silent.

    A path can go silent for good without a reset; nobody would notice until a deadline.
    """
    if raw is None:
        return
    tcp = socket.IPPROTO_TCP
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    raw.setsockopt(tcp, socket.TCP_KEEPIDLE, PROBE_IDLE_S)
    raw.setsockopt(tcp, socket.TCP_KEEPINTVL, PROBE_INTERVAL_S)
    raw.setsockopt(tcp, socket.TCP_KEEPCNT, PROBE_COUNT)
    raw.setsockopt(tcp, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)


def _keep_alive(value: bytes) -> float | None:
    for item in value.split(b","):
        name, _, number = item.strip().partition(b"=")
        if name.lower() == b"timeout" and number.strip().isdigit():
            return float(number)
    return None
