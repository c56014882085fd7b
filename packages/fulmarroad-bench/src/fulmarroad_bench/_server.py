"""Small ASGI helpers, and a server that a stand-in can stop and start again."""

from __future__ import annotations

import json
import logging
import signal
import socket
from collections.abc import AsyncIterator, Awaitable, Callable, Iterator, MutableMapping
from contextlib import asynccontextmanager, contextmanager
from typing import Any

import anyio
import uvicorn
from attrs import frozen

Scope = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[MutableMapping[str, Any]]]
Send = Callable[[MutableMapping[str, Any]], Awaitable[None]]
App = Callable[[Scope, Receive, Send], Awaitable[None]]

POLL_S = 0.01
"""Seconds between checks of a server that is starting or stopping."""


class AbortConnectionError(Exception):
    """Abort the connection in the middle of an answer, as a crash would."""


class CallerDisconnectedError(Exception):
    """Report that the caller closed the connection before sending its whole body."""


@frozen
class Call:
    """Hold one request as an app sees it."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes

    def json(self) -> Any:
        """Return the parsed JSON body, or an empty object if it is empty or invalid."""
        try:
            return json.loads(self.body) if self.body else {}
        except ValueError:
            return {}


async def read_call(scope: Scope, receive: Receive) -> Call:
    """Read a whole request."""
    chunks = []
    more = True
    while more:
        message = await receive()
        if message["type"] == "http.disconnect":
            raise CallerDisconnectedError
        chunks.append(message.get("body", b""))
        more = message.get("more_body", False)
    headers = {key.decode("latin-1"): value for key, value in scope["headers"]}
    return Call(
        scope["method"],
        scope["path"],
        _parse_query(scope.get("query_string", b"")),
        {key: value.decode("latin-1") for key, value in headers.items()},
        b"".join(chunks),
    )


def _parse_query(raw: bytes) -> dict[str, str]:
    pairs = (item.split("=", 1) for item in raw.decode().split("&") if "=" in item)
    return {pair[0]: pair[1] for pair in pairs}


async def wait_for_disconnect(receive: Receive) -> None:
    """Wait until the caller has closed the connection."""
    while (await receive())["type"] != "http.disconnect":
        pass


async def respond(
    send: Send,
    status: int,
    body: bytes = b"",
    headers: tuple[tuple[str, str], ...] = (),
    content_type: str = "application/json",
) -> None:
    """Send one whole response."""
    fields = [("content-type", content_type), ("content-length", str(len(body)))]
    await send(start_message(status, (*fields, *headers)))
    await send({"type": "http.response.body", "body": body})


async def respond_json(send: Send, status: int, value: Any) -> None:
    """Send one whole JSON response."""
    await respond(send, status, json.dumps(value).encode())


def start_message(
    status: int, headers: tuple[tuple[str, str], ...]
) -> MutableMapping[str, Any]:
    """Return the ASGI message that starts a response."""
    pairs = [(key.encode(), value.encode("latin-1")) for key, value in headers]
    return {"type": "http.response.start", "status": status, "headers": pairs}


class _QuietServer(uvicorn.Server):
    """Run without signal handlers: the process runs several servers and has its own."""

    @contextmanager
    def capture_signals(self) -> Iterator[None]:
        yield


class Listener:
    """Serve one app on one loopback port; it can be closed and bound again."""

    def __init__(self, app: App, port: int = 0, host: str = "127.0.0.1") -> None:
        self._app = app
        self._host = host
        self._server: _QuietServer | None = None
        self._socket: socket.socket | None = None
        self.port = port

    @property
    def address(self) -> str:
        """Return host and port."""
        return f"{self._host}:{self.port}"

    @property
    def up(self) -> bool:
        """Return whether the server is running or starting."""
        return self._server is not None

    @property
    def bound(self) -> bool:
        """Return whether the port is open but not served yet."""
        return self._socket is not None and self._server is None

    def bind(self) -> None:
        """Open the port, so that its number is known before `serve` runs."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((self._host, self.port))
        sock.listen(1024)
        self.port = sock.getsockname()[1]
        self._socket = sock

    async def serve(self) -> None:
        """Serve until closed."""
        if self._socket is None:
            self.bind()
        assert self._socket is not None
        config = uvicorn.Config(
            self._app,
            log_level=logging.CRITICAL,
            access_log=False,
            interface="asgi3",
            lifespan="off",
            http="httptools",
            ws="none",
            timeout_keep_alive=120,
        )
        self._server = _QuietServer(config)
        try:
            await self._server.serve(sockets=[self._socket])
        finally:
            self._server = None
            self._close_socket()

    def drop(self) -> None:
        """Close the port and abort every connection, as a crash would."""
        server = self._server
        if server is None:
            return
        server.force_exit = True
        server.should_exit = True
        for listening in server.servers:
            listening.close()
        self._close_socket()
        for connection in list(server.server_state.connections):
            connection.transport.abort()

    def close(self) -> None:
        """Ask the server to stop without waiting for open connections."""
        if self._server is not None:
            self._server.force_exit = True
            self._server.should_exit = True

    async def wait_up(self) -> None:
        """Wait until the server accepts connections."""
        while self._server is None or not self._server.started:
            await anyio.sleep(POLL_S)

    async def wait_down(self) -> None:
        """Wait until the server has stopped."""
        while self._server is not None:
            await anyio.sleep(POLL_S)

    def _close_socket(self) -> None:
        if self._socket is not None:
            self._socket.close()
            self._socket = None


@asynccontextmanager
async def serving(*listeners: Listener) -> AsyncIterator[None]:
    """Serve apps in this process for as long as the block runs."""
    async with anyio.create_task_group() as group:
        for listener in listeners:
            group.start_soon(listener.serve)
        for listener in listeners:
            await listener.wait_up()
        try:
            yield
        finally:
            for listener in listeners:
                listener.close()
            group.cancel_scope.cancel()


async def wait_for_signal() -> None:
    """Wait for SIGTERM or SIGINT."""
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            return


def run(main: Callable[[], Awaitable[None]]) -> None:
    """Run a stand-in's main task on uvloop."""
    anyio.run(main, backend_options={"use_uvloop": True})
