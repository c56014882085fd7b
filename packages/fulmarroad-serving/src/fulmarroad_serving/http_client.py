"""HTTP client for a platform service, over one persistent connection."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence

import anyio
from attrs import frozen

from fulmarroad_serving._connection import BackendConnection
from fulmarroad_serving.contracts import AnswerHead, Header
from fulmarroad_serving.exceptions import (
    ReplyTooLargeError,
    SendError,
    StoreError,
)

CONNECT_TIMEOUT_S = 0.4
"""Limit on opening a connection. A store answers in milliseconds; the rest allows for a
lost first packet and a new attempt."""

MAX_PAGE_BYTES = 4 * 1024 * 1024
"""Size in bytes that no page of the store's listing reaches."""

MAX_REPLY_BYTES = 16 * 1024 * 1024
"""Largest body of a reply: several times a page of the store, and a tenth of the memory
of a small VM."""


@frozen
class Reply:
    """Hold the status, body and headers of an answer."""

    status: int
    body: bytes
    headers: tuple[Header, ...] = ()  # names in their original case

    def header(self, name: bytes) -> bytes:
        """Return the value of a header by its lower-case name, or empty bytes."""
        rows = (value for key, value in self.headers if key.lower() == name)
        return next(rows, b"")


class HttpClient:
    """Make GET requests one at a time; raise `StoreError` if one fails."""

    def __init__(self, host: str, port: int) -> None:
        self._host = host
        self._port = port
        self._connection: BackendConnection | None = None
        self._received_bytes = 0  # of the body of the newest reply

    async def get(self, target: str, timeout_s: float) -> Reply:
        """Return the answer to a GET.

        A connection without a complete answer is closed. Otherwise the next request
        could get this answer, or wait for one that never comes.
        """
        # A cancel scope would end the call before an answer is read that came while the
        # process stood still.
        deadline = asyncio.get_running_loop().time() + timeout_s
        try:
            return await self._exchange(target, deadline)
        except (OSError, TimeoutError, SendError) as error:
            # A reply that can't be read in time isn't read at the next try either.
            is_large = self._received_bytes > MAX_PAGE_BYTES
            kind = ReplyTooLargeError if is_large else StoreError
            raise kind(f"No answer from {self._host}: {error!r}.") from error

    def close(self) -> None:
        """Close the connection."""
        if self._connection is not None:
            self._connection.close()
            self._connection = None

    async def _exchange(self, target: str, deadline: float) -> Reply:
        clock = asyncio.get_running_loop().time
        connection = self._connection
        self._connection = None
        self._received_bytes = 0
        if connection is None or not connection.reusable:
            if connection is not None:
                connection.close()
            with anyio.fail_after(deadline - clock()):
                connection = await self._connect()
        complete = False
        try:
            host = f"{self._host}:{self._port}"
            request = f"GET {target} HTTP/1.1\r\nhost: {host}\r\n\r\n"
            connection.send(request.encode(), _read_head)
            head = await connection.head(deadline - clock())
            parts = []
            while (chunk := await connection.body(deadline - clock())) is not None:
                parts.append(chunk)
                self._received_bytes += len(chunk)
                if self._received_bytes > MAX_REPLY_BYTES:
                    raise ReplyTooLargeError(
                        f"The reply of {self._host} has more than {MAX_REPLY_BYTES} "
                        "bytes; check that the address is that of the store."
                    )
            complete = True
            return Reply(head.status, b"".join(parts), head.forward)
        finally:
            if complete and connection.reusable:
                self._connection = connection
            else:
                connection.close()

    async def _connect(self) -> BackendConnection:
        loop = asyncio.get_running_loop()
        with anyio.fail_after(CONNECT_TIMEOUT_S):
            _, connection = await loop.create_connection(
                BackendConnection, self._host, self._port
            )
        return connection


def _read_head(status: int, headers: Sequence[Header]) -> AnswerHead:
    return AnswerHead(status, forward=tuple(headers))
