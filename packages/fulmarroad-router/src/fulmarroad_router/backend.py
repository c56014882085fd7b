"""Calls to backend servers: one connection per running request.

The one question that matters after a failure is whether any byte of the request was
sent. `FailedBeforeSend` is raised only where none was, since a caller may be told "not
run" only then.
"""

from __future__ import annotations

from collections.abc import AsyncIterator
from types import TracebackType
from typing import Any

import anyio
import httpcore
from attrs import frozen

from fulmarroad.exceptions import FulmarroadError
from fulmarroad.tables import BackendServer, Pool

Headers = list[tuple[bytes, bytes]]

MAX_CONNECTIONS = 4096
KEEPALIVE_S = 10.0

_SENDING = {"http11.send_request_headers.started"}
"""The first event of httpcore after which bytes may be on the wire."""


class BackendError(FulmarroadError):
    """Report a call to a backend server that failed."""


class FailedBeforeSend(BackendError):
    """Report that no byte of the request reached the backend server."""


class FailedAfterSend(BackendError):
    """Report a failure after the request was, or may have been, sent."""


class TimedOutAfterSend(FailedAfterSend):
    """Report a backend server that was silent for too long."""


@frozen
class BackendRequest:
    """Hold what goes to the backend server."""

    method: bytes
    target: bytes
    headers: Headers
    body: bytes


class BackendResponse:
    """Hold an answer whose head has arrived."""

    def __init__(self, response: httpcore.Response, idle_timeout_s: float) -> None:
        self._response = response
        self._idle_timeout_s = idle_timeout_s
        self.status: int = response.status
        self.headers: Headers = response.headers

    def header(self, name: bytes) -> bytes:
        """Return a header's value, or nothing."""
        for key, value in self.headers:
            if key.lower() == name:
                return value
        return b""

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body; raise `FailedAfterSend` where it breaks off."""
        try:
            async for chunk in self._response.aiter_stream():
                yield chunk
        except httpcore.TimeoutException as error:
            raise TimedOutAfterSend("The backend server fell silent.") from error
        except (httpcore.NetworkError, httpcore.ProtocolError) as error:
            raise FailedAfterSend("The backend server broke its answer off.") from error


class BackendCall:
    """Open one call as an async context; leaving it closes the connection.

    Leaving before the body's end cancels the work at the backend server, since
    httpcore then closes the connection and does not keep it.
    """

    def __init__(
        self,
        pool: httpcore.AsyncConnectionPool,
        table: Pool,
        server: BackendServer,
        request: BackendRequest,
    ) -> None:
        self._pool = pool
        self._table = table
        self._server = server
        self._request = request
        self._response: httpcore.Response | None = None
        self._sent = False

    async def __aenter__(self) -> BackendResponse:
        try:
            self._response = await self._open()
        except httpcore.TimeoutException as error:
            if not self._sent:
                raise FailedBeforeSend(
                    "The backend server can't be reached."
                ) from error
            raise TimedOutAfterSend("The backend server gave no answer.") from error
        except (httpcore.NetworkError, httpcore.ProtocolError, OSError) as error:
            if not self._sent:
                raise FailedBeforeSend(
                    "The backend server can't be reached."
                ) from error
            raise FailedAfterSend(
                "The backend server broke off before its answer."
            ) from error
        return BackendResponse(self._response, self._table.idle_timeout_s)

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        if self._response is not None:
            with anyio.CancelScope(shield=True):
                await self._response.aclose()

    async def _open(self) -> httpcore.Response:
        table = self._table
        request = httpcore.Request(
            method=self._request.method,
            url=f"http://{self._server.address}".encode() + self._request.target,
            headers=self._request.headers,
            content=self._request.body,
            extensions={
                "timeout": {
                    "connect": table.connect_timeout_s,
                    "read": table.first_byte_timeout_s,
                    "write": table.idle_timeout_s,
                    "pool": table.connect_timeout_s,
                },
                "trace": self._trace,
            },
        )
        response = await self._pool.handle_async_request(request)
        # httpcore reads the timeout anew for the body, so that a long first byte
        # and a short idle time can be told apart.
        request.extensions["timeout"]["read"] = table.idle_timeout_s
        return response

    async def _trace(self, event: str, info: dict[str, Any]) -> None:
        if event in _SENDING:
            self._sent = True


class BackendClient:
    """Open calls to backend servers."""

    def __init__(self) -> None:
        self._kept = _connection_pool(keep=True)
        self._fresh = _connection_pool(keep=False)

    def call(
        self,
        table: Pool,
        server: BackendServer,
        request: BackendRequest,
        *,
        repeatable: bool,
    ) -> BackendCall:
        """Return a call to be entered.

        A call that may not be repeated gets a fresh connection: a kept one may be
        closed by the server in the moment it is used, which can't be told from a
        call that ran.
        """
        pool = self._kept if repeatable else self._fresh
        return BackendCall(pool, table, server, request)

    async def close(self) -> None:
        """Close every connection."""
        await self._kept.aclose()
        await self._fresh.aclose()


def _connection_pool(*, keep: bool) -> httpcore.AsyncConnectionPool:
    return httpcore.AsyncConnectionPool(
        max_connections=MAX_CONNECTIONS,
        max_keepalive_connections=MAX_CONNECTIONS if keep else 0,
        keepalive_expiry=KEEPALIVE_S,
        retries=0,
        network_backend=httpcore.AnyIOBackend(),
    )
