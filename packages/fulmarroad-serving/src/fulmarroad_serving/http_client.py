"""Single HTTP calls to a service of the platform, over one kept connection."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence

import anyio
from attrs import frozen

from fulmarroad_serving._connection import BackendConnection
from fulmarroad_serving.contracts import AnswerHead, Header
from fulmarroad_serving.exceptions import SendError, StoreError

CONNECT_TIMEOUT_S = 0.4
"""A store answers in milliseconds; the rest covers one lost first packet tried anew."""


@frozen
class Reply:
    """Hold an answer."""

    status: int
    body: bytes
    headers: tuple[Header, ...] = ()  # names as they came

    def header(self, name: bytes) -> bytes:
        """Return a header by its name in lower case, or nothing."""
        rows = (value for key, value in self.headers if key.lower() == name)
        return next(rows, b"")


class HttpClient:
    """Make GET calls one at a time; raise `StoreError` where no answer comes."""

    def __init__(self, host: str, port: int) -> None:
        self._host = host
        self._port = port
        self._connection: BackendConnection | None = None

    async def get(self, target: str, timeout_s: float) -> Reply:
        """Return the answer to a GET.

        A connection whose answer did not come is closed: it would bring the answer of
        this call to the next one, or nothing for ever.
        """
        try:
            with anyio.fail_after(timeout_s):
                return await self._exchange(target, timeout_s)
        except (OSError, TimeoutError, SendError) as error:
            raise StoreError(f"No answer from {self._host}: {error!r}.") from error

    def close(self) -> None:
        """Close the connection."""
        if self._connection is not None:
            self._connection.close()
            self._connection = None

    async def _exchange(self, target: str, timeout_s: float) -> Reply:
        connection = self._connection
        self._connection = None
        if connection is None or not connection.reusable:
            if connection is not None:
                connection.close()
            connection = await self._connect()
        whole = False
        try:
            host = f"{self._host}:{self._port}"
            request = f"GET {target} HTTP/1.1\r\nhost: {host}\r\n\r\n"
            connection.send(request.encode(), _read_head)
            head = await connection.head(timeout_s)
            parts = []
            while (chunk := await connection.body(timeout_s)) is not None:
                parts.append(chunk)
            whole = True
            return Reply(head.status, b"".join(parts), head.forward)
        finally:
            if whole and connection.reusable:
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
