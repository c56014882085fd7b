"""Calls to backend servers: one connection per running request.

Errors distinguish whether any byte of the request was sent. `FailedBeforeSend` is
raised only if none was, since only then may the caller get the answer "not run".
"""

from __future__ import annotations

from collections.abc import AsyncIterator
from types import TracebackType
from typing import Any

import anyio
import httpcore
from attrs import frozen

from fulmarroad.delivery import end_orderly, reset_on_close
from fulmarroad.exceptions import FulmarroadError
from fulmarroad.tables import BackendServer, Pool

Headers = list[tuple[bytes, bytes]]

MAX_CONNECTIONS = 4096
KEEPALIVE_S = 10.0

_CONNECTION = "fulmarroad_connection"
"""Name under which httpcore's answers give access to their `_BackendConnection`."""

_SEND_EVENTS = {"http11.send_request_headers.started"}
"""Trace events of httpcore after which bytes of the request may have been sent."""


class BackendError(FulmarroadError):
    """Report that a call to a backend server failed."""


class FailedBeforeSend(BackendError):
    """Report a failure before any byte of the request was sent."""


class FailedAfterSend(BackendError):
    """Report a failure after the request was, or may have been, sent."""


class TimedOutAfterSend(FailedAfterSend):
    """Report that a backend server sent nothing for too long."""


@frozen
class BackendRequest:
    """Hold a request for a backend server."""

    method: bytes
    target: bytes
    headers: Headers
    body: bytes


class BackendResponse:
    """Hold an answer whose status and headers have arrived."""

    def __init__(self, response: httpcore.Response, idle_timeout_s: float) -> None:
        self._response = response
        self._idle_timeout_s = idle_timeout_s
        self.status: int = response.status
        self.headers: Headers = response.headers

    def header(self, name: bytes) -> bytes:
        """Return the first value of a header, or an empty byte string."""
        for key, value in self.headers:
            if key.lower() == name:
                return value
        return b""

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body; raise `FailedAfterSend` if it is interrupted.

        Raise `TimedOutAfterSend` if the backend server sends nothing for too long.
        """
        try:
            async for chunk in self._response.aiter_stream():
                yield chunk
            self._note_answered()
        except httpcore.TimeoutException as error:
            raise TimedOutAfterSend(
                "The backend server sent no data in time."
            ) from error
        except (httpcore.NetworkError, httpcore.ProtocolError) as error:
            raise FailedAfterSend(
                "The backend server interrupted its answer."
            ) from error

    def _note_answered(self) -> None:
        stream = self._response.extensions["network_stream"]
        stream.get_extra_info(_CONNECTION).note_answered()


class BackendCall:
    """Send one request as an async context manager; leaving it closes the answer.

    Leaving it before the end of the body cancels the work at the backend server, since
    httpcore then closes the connection instead of keeping it alive, and withdraws the
    request if it is still under way.
    """

    def __init__(
        self,
        pool: httpcore.AsyncConnectionPool,
        table: Pool,
        server: BackendServer,
        request: BackendRequest,
    ) -> None:
        self._pool = pool
        self._settings = table
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
            raise TimedOutAfterSend(
                "The backend server sent no answer in time."
            ) from error
        except (httpcore.NetworkError, httpcore.ProtocolError, OSError) as error:
            if not self._sent:
                raise FailedBeforeSend(
                    "The backend server can't be reached."
                ) from error
            raise FailedAfterSend(
                "The connection to the backend server failed before its answer."
            ) from error
        return BackendResponse(self._response, self._settings.idle_timeout_s)

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
        table = self._settings
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
        # httpcore reads the timeout again for the body, so the wait for the first byte
        # and the idle time between chunks can have different limits.
        request.extensions["timeout"]["read"] = table.idle_timeout_s
        return response

    async def _trace(self, event: str, info: dict[str, Any]) -> None:
        if event in _SEND_EVENTS:
            self._sent = True


class BackendClient:
    """Send requests to backend servers."""

    def __init__(self) -> None:
        self._keepalive_pool = _make_connection_pool(keep_alive=True)
        self._single_use_pool = _make_connection_pool(keep_alive=False)

    def call(
        self,
        table: Pool,
        server: BackendServer,
        request: BackendRequest,
        *,
        repeatable: bool,
    ) -> BackendCall:
        """Return a call, which is sent when its context is entered.

        A call that must not be repeated gets a new connection. The server may close a
        kept-alive one just as the call is sent, and that failure can't be distinguished
        from a call that ran.
        """
        pool = self._keepalive_pool if repeatable else self._single_use_pool
        return BackendCall(pool, table, server, request)

    async def close(self) -> None:
        """Close every connection."""
        await self._keepalive_pool.aclose()
        await self._single_use_pool.aclose()


class _BackendConnection(httpcore.AsyncNetworkStream):
    """Reset the connection as it ends, unless its last request was answered."""

    def __init__(self, stream: httpcore.AsyncNetworkStream) -> None:
        self._stream = stream
        self._answered = True
        reset_on_close(stream.get_extra_info("socket"))

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        return await self._stream.read(max_bytes, timeout)

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        self._answered = False
        await self._stream.write(buffer, timeout)

    def note_answered(self) -> None:
        """Record that the last request was answered completely."""
        self._answered = True

    async def aclose(self) -> None:
        if self._answered:
            end_orderly(self._stream.get_extra_info("socket"))
        await self._stream.aclose()

    def get_extra_info(self, info: str) -> Any:
        return self if info == _CONNECTION else self._stream.get_extra_info(info)


class _BackendNetwork(httpcore.AnyIOBackend):
    """Open connections that withdraw requests without an answer as they end."""

    async def connect_tcp(self, *arguments: Any, **options: Any) -> _BackendConnection:
        return _BackendConnection(await super().connect_tcp(*arguments, **options))


def _make_connection_pool(*, keep_alive: bool) -> httpcore.AsyncConnectionPool:
    return httpcore.AsyncConnectionPool(
        max_connections=MAX_CONNECTIONS,
        max_keepalive_connections=MAX_CONNECTIONS if keep_alive else 0,
        keepalive_expiry=KEEPALIVE_S,
        retries=0,
        network_backend=_BackendNetwork(),
    )
