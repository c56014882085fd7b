"""HTTP/1.1 connection to a backend server that carries one call at a time.

httpcore is not used because it hides three faults that make an answer or a connection
unusable: it reads a late second answer as the next call's, it keeps bytes that follow
an answer in its parser, and it reuses a connection whose answer ended before the
request was sent completely. This module therefore uses asyncio's transport with
httptools as the parser; docs/PLATFORM.md describes the trial.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable, Sequence
from typing import cast

import httptools

from fulmarroad.delivery import (
    CloseMode,
    RequestState,
    end_orderly,
    reset_on_close,
    unacknowledged_bytes,
)
from fulmarroad_serving._answer_parts import (
    AnswerParts,
    Body,
    Broken,
    ConnectionClosed,
    EndOfAnswer,
    answer_error,
)
from fulmarroad_serving._dead_peers import MAX_UNACKED_S, enable_dead_peer_detection
from fulmarroad_serving._restarts import Contact
from fulmarroad_serving._silence import ServerActivity
from fulmarroad_serving.contracts import AnswerHead, Header
from fulmarroad_serving.exceptions import SilentServerError

PAUSE_READING_BYTES = 256 * 1024
"""Unread bytes of an answer above which reading pauses until the caller catches up."""

MAX_HEAD_BYTES = 32 * 1024
"""Largest head of an answer: twice the usual limit. A faulty server may send header
lines without end, which the parser would keep in memory."""

FRAMING_BYTES_PER_BODY_BYTE = 8
"""Bytes of chunk sizes, chunk extensions and trailers that each byte of a body allows
beyond `MAX_HEAD_BYTES`. A chunk of one byte needs five."""

PARSED_BYTES = 16 * 1024
"""Bytes that are parsed before the limits are looked at again."""

MAX_HEADS_BEFORE = 8
"""Heads that may come before a call's own: 1xx heads, and late answers to the call
before."""

MAX_LATE_S = 1.0
"""Time after a call's deadline at which a body that still goes on is given up. A caller
that stays would otherwise keep a body without an end going."""

FIRST_FINAL_STATUS = 200

ReadHead = Callable[[int, Sequence[Header]], AnswerHead | None]
"""Decode the head of an answer; return `None` if it belongs to another call."""


def _loop_time() -> float:
    return asyncio.get_running_loop().time()


class BackendConnection(asyncio.Protocol):
    """Send calls over one connection and read their answers."""

    def __init__(
        self,
        on_closed: Callable[[CloseMode], None] = lambda mode: None,
        max_unacked_s: float = MAX_UNACKED_S,
        clock: Callable[[], float] = _loop_time,
    ) -> None:
        self._on_closed = on_closed
        self._clock = clock
        self._opened_at = self._heard_at = float("-inf")
        self._max_unacked_s = max_unacked_s
        self._transport: asyncio.Transport | None = None
        self._socket: socket.socket | None = None
        self._parts = AnswerParts()
        self._parser = httptools.HttpResponseParser(self)
        self._headers: list[Header] = []
        self._read_head: ReadHead = lambda status, headers: None
        self._awaiting_answer = False  # a call waits for its answer
        self._answered = True  # the last request has its complete answer
        self._written_at = 0.0
        self._unacked_bytes: int | None = None  # as last seen
        self._until_close = False  # the call's own body has neither length nor chunks
        self._skipping = False  # this answer belongs to another call
        self._heads_before = 0  # the answer to the last request
        self._has_framing = False
        self._ended_by_close = False
        self._unread_bytes = 0
        self._framing_allowance = MAX_HEAD_BYTES  # bytes that may come before a body
        self._unusable = False
        self._will_close = False
        self._interim = False  # a 1xx head, which precedes the final one
        self.keep_alive_s: float | None = None
        self.idle_since = 0.0
        self.calls = 0
        self.activity = ServerActivity()
        """What is heard of the server over all connections to it."""
        self.on_lost_idle: Callable[[BackendConnection], None] = lambda lost: None
        """Called when the server ends the connection while no call uses it."""

    # asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and set the options of its socket."""
        self._transport = cast(asyncio.Transport, transport)
        self._opened_at = self._heard_at = self._clock()
        self._socket = transport.get_extra_info("socket")
        if self._socket is not None:
            enable_dead_peer_detection(self._socket, self._max_unacked_s)
            reset_on_close(self._socket)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; without a call, mark the connection unusable."""
        self._heard_at = self._clock()
        self.activity.note_heard(self._heard_at)
        if not self._awaiting_answer:
            self._mark_unusable()
            return
        for start in range(0, len(data), PARSED_BYTES):
            self._parse(data[start : start + PARSED_BYTES])
            if self._unusable:
                break

    def eof_received(self) -> bool:
        """Handle the end of the stream, which ends a body without a length."""
        if self._awaiting_answer and self._until_close:
            self._ended_by_close = True
            self._finish()
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Fail the pending call; the transport closes its socket next."""
        is_in_use = self._awaiting_answer or self._parts
        if not (self._parts.closed or is_in_use or self._will_close or self._unusable):
            self.on_lost_idle(self)
        self._parts.closed = True
        self._parts.cancel_timer()
        self._on_closed(self.close_mode)
        if self._socket is not None:
            self._prepare_close(self._socket)
        if self._awaiting_answer:
            cause = repr(error) if error else "closed by the server"
            self._parts.add(ConnectionClosed(cause))
        self._parts.wake()

    # httptools callbacks

    def on_message_begin(self) -> None:
        """Start an answer; an unexpected one makes the connection unusable."""
        self._headers = []
        if not self._awaiting_answer:
            self._unusable = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header."""
        self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Queue the head of the answer."""
        if not self._awaiting_answer:
            return
        lengths = [v for n, v in self._headers if n.lower() == b"content-length"]
        chunked = any(n.lower() == b"transfer-encoding" for n, _ in self._headers)
        self._has_framing = bool(lengths) or chunked
        self._note_connection_headers()
        status = self._parser.get_status_code()
        self._interim = status < FIRST_FINAL_STATUS
        if self._interim:
            self._note_head_before()
            return
        self._framing_allowance = MAX_HEAD_BYTES
        head = self._read_head(status, self._headers)
        self._skipping = head is None
        if head is None:
            self._will_close = True
            self._note_head_before()
        else:
            self._until_close = not self._has_framing
            self._parts.add(head)

    def on_body(self, body: bytes) -> None:
        """Queue a part of the body."""
        allowance = self._framing_allowance + len(body) * (
            1 + FRAMING_BYTES_PER_BODY_BYTE
        )
        self._framing_allowance = min(MAX_HEAD_BYTES, allowance)
        if not self._awaiting_answer or self._skipping:
            return
        self._unread_bytes += len(body)
        self._parts.add(Body(body))
        if self._unread_bytes > PAUSE_READING_BYTES and self._transport:
            self._transport.pause_reading()

    def on_message_complete(self) -> None:
        """Finish the answer."""
        if self._interim:
            return
        if self._skipping:
            self._skipping = False
        elif self._awaiting_answer:
            self._finish()

    # calls

    @property
    def reusable(self) -> bool:
        """Return whether another call may use this connection.

        If a request is not sent completely, the server would read the next request as
        its rest. After unexpected bytes, the next call could get a wrong answer.
        """
        if self._transport is None or self._parts.closed or self._unusable:
            return False
        if self._awaiting_answer or self._will_close or self._parts:
            return False
        return not self._transport.is_closing() and self._unsent_bytes == 0

    @property
    def contact(self) -> Contact:
        """Return when one process of the server was heard over this connection."""
        return Contact(self._opened_at, self._heard_at)

    @property
    def has_unread_part(self) -> bool:
        """Return whether a part of an answer came that was not read yet."""
        return bool(self._parts)

    @property
    def ended_by_close(self) -> bool:
        """Return whether nothing but the close of the connection ended the answer.

        The kernel closes the connections of a crashed process in the same way.
        """
        return self._ended_by_close

    @property
    def close_mode(self) -> CloseMode:
        """Return how the connection ends if it is closed now."""
        return CloseMode.ORDERLY if self._answered else CloseMode.RESET

    def request_state(self) -> RequestState:
        """Return what is known of the last request and its delivery."""
        written_s = asyncio.get_running_loop().time() - self._written_at
        if not self._answered and self._socket is not None:
            self._unacked_bytes = unacknowledged_bytes(self._socket)
        return RequestState(
            self._answered, written_s, self._unacked_bytes, self.close_mode
        )

    def send(self, request: bytes, read_head: ReadHead) -> None:
        """Write a complete request; the transport sends it as the server accepts it."""
        assert self._transport is not None
        self.calls += 1
        self._read_head = read_head
        self._awaiting_answer = True
        self._answered = False
        self._unacked_bytes = None
        self._framing_allowance = MAX_HEAD_BYTES
        self._heads_before = 0
        self._written_at = asyncio.get_running_loop().time()
        self._transport.write(request)

    async def head(self, timeout_s: float) -> AnswerHead:
        """Return the head of the answer."""
        part = await self._parts.next(timeout_s)
        if isinstance(part, AnswerHead):
            return part
        raise answer_error(part)

    async def body(self, timeout_s: float) -> bytes | None:
        """Return the next part of the body, or `None` at its end.

        A timeout below 0 says for how long the deadline has passed. Parts that came
        are returned all the same, but a body without an end is given up.
        """
        if timeout_s < -MAX_LATE_S:
            raise SilentServerError("The answer did not end in time.")
        part = await self._parts.next(timeout_s)
        if isinstance(part, Body):
            self._unread_bytes -= len(part.data)
            self._resume_reading()
            return part.data
        if isinstance(part, EndOfAnswer):
            return None
        raise answer_error(part)

    def close(self) -> None:
        """Close immediately; a request without an answer is withdrawn by a reset."""
        self._parts.closed = True
        if self._transport is not None:
            self._transport.abort()

    def _finish(self) -> None:
        self._awaiting_answer = False
        self._parts.cancel_timer()
        # A server may answer a long request before it has read it.
        self._answered = self._unsent_bytes == 0
        if not self._has_framing or not self._parser.should_keep_alive():
            self._will_close = True
        self._parts.add(EndOfAnswer())

    def _prepare_close(self, raw: socket.socket) -> None:
        if self._answered:
            end_orderly(raw)
        else:
            self._unacked_bytes = unacknowledged_bytes(raw)
        self._socket = None  # the kernel may give its descriptor to another one

    @property
    def _unsent_bytes(self) -> int:
        return self._transport.get_write_buffer_size() if self._transport else 0

    def _resume_reading(self) -> None:
        if self._unusable or self._transport is None or self._transport.is_closing():
            return
        if self._unread_bytes <= PAUSE_READING_BYTES // 2:
            self._transport.resume_reading()

    def _note_head_before(self) -> None:
        self._heads_before += 1
        if self._heads_before > MAX_HEADS_BEFORE:
            self._break_answer("too many heads came before its own")

    def _parse(self, data: bytes) -> None:
        self._framing_allowance -= len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            self._break_answer(f"invalid HTTP: {error}")
        if self._framing_allowance < 0:
            self._break_answer("its framing is too long")

    def _break_answer(self, cause: str) -> None:
        if self._awaiting_answer:
            self._parts.add(Broken(cause))
        self._mark_unusable()

    def _mark_unusable(self) -> None:
        self._unusable = True
        self._awaiting_answer = False
        if self._transport is None or self._transport.is_closing():
            return
        if self._parts:
            self._transport.pause_reading()  # until the call has read its answer
        else:
            self._transport.abort()

    def _note_connection_headers(self) -> None:
        for name, value in self._headers:
            lowered = name.lower()
            if lowered == b"connection" and b"close" in value.lower():
                self._will_close = True
            elif lowered == b"keep-alive":
                self.keep_alive_s = _keep_alive_timeout(value)


def _keep_alive_timeout(value: bytes) -> float | None:
    for item in value.split(b","):
        name, _, number = item.strip().partition(b"=")
        if name.lower() == b"timeout" and number.strip().isdigit():
            return float(number)
    return None
