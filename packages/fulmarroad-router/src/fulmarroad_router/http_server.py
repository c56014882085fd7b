"""HTTP server that runs an ASGI application with uvicorn in a supervised task."""

from __future__ import annotations

import contextlib
import math
import socket
from collections.abc import Callable, Iterator
from typing import TYPE_CHECKING, Any

import anyio
import uvicorn

from fulmarroad.exceptions import TransportError
from fulmarroad_router._http_connection import (
    HEADER_TIMEOUT_S,
    READ_GRACE_S,
    HttpConnectionConfig,
)

if TYPE_CHECKING:
    from fulmarroad_router.settings import TlsSettings

BACKLOG = 1024

DEFAULT_ACCEPTS_PER_TURN = 16
"""Connections accepted per event loop iteration on a port for callers, by default."""

IDLE_TIMEOUT_S = 5.0
"""Default time after which an idle connection is closed."""

STOP_S = 2 * READ_GRACE_S
"""Time in which a stopped server has closed its idle connections."""


class _Server(uvicorn.Server):
    """Run uvicorn without its signal handlers and its periodic timer."""

    config: HttpConnectionConfig

    def __init__(self, config: HttpConnectionConfig) -> None:
        super().__init__(config)
        self._stopped = anyio.Event()

    async def main_loop(self) -> None:
        """Wait until the server is stopped.

        uvicorn's own loop wakes ten times a second to update a date header, which is
        not sent here. Several servers in one process would multiply that cost.
        """
        await self.on_tick(0)
        await self._stopped.wait()

    def stop(self) -> None:
        """Make `main_loop` return."""
        self.should_exit = True
        self._stopped.set()

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Capture no signals; the process handles them itself."""
        yield


class HttpServer:
    """Serve an ASGI application on one listening socket."""

    def __init__(
        self,
        app: Any,
        host: str,
        port: int,
        *,
        max_connections: int | None = None,
        tls: TlsSettings | None = None,
        idle_timeout_s: float = IDLE_TIMEOUT_S,
        header_timeout_s: float = HEADER_TIMEOUT_S,
        accepts_per_turn: int = DEFAULT_ACCEPTS_PER_TURN,
        on_ready: Callable[[int], None] = lambda port: None,
    ) -> None:
        self._app = app
        self._host = host
        self._port = port
        self._on_ready = on_ready
        self._server: _Server | None = None
        self._max_connections = max_connections
        self._tls = tls
        self._idle_timeout_s = idle_timeout_s
        self._header_timeout_s = header_timeout_s
        self._accepts_per_turn = accepts_per_turn

    async def run(self) -> None:
        """Serve until cancelled or stopped.

        Raise `TransportError` if the port can't be bound.
        """
        config = HttpConnectionConfig(
            self._app,
            loop="none",
            header_timeout_s=self._header_timeout_s,
            ws="none",
            lifespan="off",
            log_config=None,
            access_log=False,
            server_header=False,
            date_header=False,
            proxy_headers=False,
            backlog=BACKLOG,
            limit_concurrency=self._max_connections,
            timeout_graceful_shutdown=None,
            timeout_keep_alive=math.ceil(self._idle_timeout_s),
            ssl_certfile=self._tls.certificate if self._tls else None,
            ssl_keyfile=self._tls.key if self._tls else None,
        )
        listener = self._bind()
        self._server = _Server(config)
        self._on_ready(listener.getsockname()[1])
        listeners = _duplicate_listener(listener, self._accepts_per_turn)
        try:
            await self._server.serve(sockets=listeners)
        finally:
            for sock in listeners:
                sock.close()

    async def stop(self) -> None:
        """Close the listener, read requests that have arrived, and let them finish."""
        if self._server is not None:
            self._server.stop()
        await anyio.sleep(STOP_S)

    def set_timeouts(self, idle_s: float, header_s: float) -> None:
        """Set the timeouts.

        The idle timeout applies to new connections only, the header timeout to all.
        """
        self._idle_timeout_s = idle_s
        self._header_timeout_s = header_s
        if self._server is not None:
            self._server.config.timeout_keep_alive = math.ceil(idle_s)
            self._server.config.header_timeout_s = header_s

    def _bind(self) -> socket.socket:
        family = socket.AF_INET6 if ":" in self._host else socket.AF_INET
        listener = socket.socket(family, socket.SOCK_STREAM)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            listener.bind((self._host, self._port))
        except OSError as error:
            listener.close()
            raise TransportError(
                f"Port {self._port} on {self._host} can't be bound.",
                hint="Is another router running with the same settings?",
            ) from error
        return listener


def _duplicate_listener(listener: socket.socket, count: int) -> list[socket.socket]:
    """Return `count` sockets: the listener and duplicates that share its accept queue.

    The event loop accepts one connection per iteration from each listener. On a busy
    VM, where an iteration takes long, callers would wait in the accept queue until they
    time out, and the router's load limits don't count them. Operators would see callers
    without a connection while the router reports few calls. With duplicates an
    iteration accepts `count` connections.
    """
    return [listener, *(listener.dup() for _ in range(count - 1))]
