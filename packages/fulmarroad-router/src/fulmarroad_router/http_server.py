"""Run an ASGI application with uvicorn inside a supervised task."""

from __future__ import annotations

import contextlib
import math
import socket
from collections.abc import Callable, Iterator
from typing import TYPE_CHECKING, Any

import anyio
import uvicorn

from fulmarroad.exceptions import TransportError
from fulmarroad_router._header_guard import HEADER_TIMEOUT_S, HeaderGuardConfig

if TYPE_CHECKING:
    from fulmarroad_router.settings import TlsSettings

BACKLOG = 1024

ACCEPTED_A_TURN = 16
"""Connections accepted in one turn of the event loop, where a server is for callers."""

IDLE_TIMEOUT_S = 5.0
"""Time after which an idle connection of a caller is closed."""


class _Server(uvicorn.Server):
    """Leave signals to the daemon's own supervisor."""

    config: HeaderGuardConfig

    def __init__(self, config: HeaderGuardConfig) -> None:
        super().__init__(config)
        self._stopped = anyio.Event()

    async def main_loop(self) -> None:
        """Wait for the stop.

        The library's own loop wakes ten times a second to keep a date header that is
        not sent here; with several servers in one process that adds up.
        """
        await self.on_tick(0)
        await self._stopped.wait()

    def stop(self) -> None:
        """End `main_loop`."""
        self.should_exit = True
        self._stopped.set()

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Capture none."""
        yield


class HttpServer:
    """Own one listening socket and serve an application on it."""

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
        accepts_per_turn: int = ACCEPTED_A_TURN,
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
        """Serve until cancelled or stopped."""
        config = HeaderGuardConfig(
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
        handles = _handles(listener, self._accepts_per_turn)
        try:
            await self._server.serve(sockets=handles)
        finally:
            for handle in handles:
                handle.close()

    async def stop(self) -> None:
        """Close the listener and let running requests end."""
        if self._server is not None:
            self._server.stop()
        await anyio.lowlevel.checkpoint()

    def set_timeouts(self, idle_s: float, header_s: float) -> None:
        """Bound the idle time of new connections, and the headers of all requests."""
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


def _handles(listener: socket.socket, count: int) -> list[socket.socket]:
    """Return a listener with copies that share its queue, as many as counted.

    The event loop accepts one connection a turn from each listener. On a busy VM, where
    a turn takes long, callers would wait in the queue until they leave, unseen by all
    that bounds the router's work; operators would notice callers who get no connection
    at a router that counts few calls. With copies a turn accepts many.
    """
    return [listener, *(listener.dup() for _ in range(count - 1))]
