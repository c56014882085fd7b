"""Pool of reusable connections to backend servers."""

from __future__ import annotations

import asyncio
import errno
import functools
from collections.abc import Callable

import anyio
from attrs import define, field

from fulmarroad.delivery import CloseMode
from fulmarroad.types import ServerName
from fulmarroad_serving._budgets import connection_share
from fulmarroad_serving._connection import BackendConnection
from fulmarroad_serving._dead_peers import MAX_UNACKED_S
from fulmarroad_serving._demands import FleetBounds
from fulmarroad_serving._registry import Instance
from fulmarroad_serving._restarts import Contact
from fulmarroad_serving._silence import ServerActivity
from fulmarroad_serving.exceptions import (
    ConnectionLimitError,
    ConnectionRefusedByHostError,
    NotSentError,
)

CONNECT_TIMEOUT_S = 0.25
"""Limit on opening a connection within a region, which takes a few milliseconds. The
kernel resends a lost first packet only after a second, so a new attempt is faster."""

OUT_OF_DESCRIPTORS = (errno.EMFILE, errno.ENFILE)
"""Errors that say nothing about the server to which a connection was to be opened."""

IDLE_TIMEOUT_FRACTION = 0.6
"""Fraction of the server's idle timeout for which an idle connection is kept. A request
sent while the server closes the connection can't be told from one that ran."""

DEFAULT_IDLE_S = 3.0
"""Time for which an idle connection is kept if the server states no timeout."""

LEARNING_S = 0.5
"""Time in which every router in touch learns that a server leaves."""

MIN_UNACKED_S = 0.5
"""Shortest time without acknowledgement; a lost packet is sent again sooner."""


@define
class _ServerPool:
    idle: list[BackendConnection] = field(factory=list)
    open: int = 0
    share: int = 1  # connections that this router may open and keep


class ConnectionPool:
    """Manage the connections to all backend servers."""

    def __init__(
        self,
        clock: Callable[[], float],
        on_closed: Callable[[CloseMode], None] = lambda mode: None,
        drain_timeout_s: float = FleetBounds().drain_timeout_s,
    ) -> None:
        self._clock = clock
        self._on_closed = on_closed
        self._max_unacked_s = max_unacked_s(drain_timeout_s)
        self._server_pools: dict[ServerName, _ServerPool] = {}
        self.on_lost_idle: Callable[[Instance, Contact], None] = lambda run, last: None
        """Called when a server ends an idle connection before its idle timeout."""
        self.activity_of: Callable[[ServerName], ServerActivity] = lambda server: (
            ServerActivity()
        )
        """Return the record that the connections to a server share."""
        self.opened = 0

    async def acquire(
        self,
        instance: Instance,
        max_connections: int,
        routers: int,
        *,
        beyond_share: bool = False,
    ) -> BackendConnection:
        """Return an idle or new connection; raise `NotSentError` if there is none.

        With `beyond_share` it may be opened beyond this router's share; it is closed
        after the call then.
        """
        pool = self._server_pools.setdefault(instance.id, _ServerPool())
        while pool.idle:
            connection = pool.idle.pop()
            if connection.reusable and not self._stale(connection):
                # The record is a new one after the server's entry lapsed.
                connection.activity = self.activity_of(instance.id)
                return connection
            self._drop(pool, connection)
        pool.share = connection_share(max_connections, routers)
        if pool.open >= pool.share and not beyond_share:
            raise ConnectionLimitError(
                "All connections that this router may open to the server are in use."
            )
        pool.open += 1
        try:
            return await self._open(instance)
        except BaseException:
            pool.open -= 1
            raise

    def is_full(self, server: ServerName, max_connections: int, routers: int) -> bool:
        """Return whether all connections that this router may open are in use."""
        pool = self._server_pools.get(server)
        if pool is None or pool.idle:
            return False
        return pool.open >= connection_share(max_connections, routers)

    def new_connection(self) -> BackendConnection:
        """Return a connection that is not open yet, with the settings of this pool."""
        return BackendConnection(self._on_closed, self._max_unacked_s, self._clock)

    async def refuses(self, instance: Instance) -> bool:
        """Return whether a server refuses connections.

        A successful connection goes to the pool.
        """
        pool = self._server_pools.setdefault(instance.id, _ServerPool())
        pool.open += 1
        try:
            connection = await self._open(instance)
        except ConnectionRefusedByHostError:
            pool.open -= 1
            self.forget(instance.id)
            return True
        except NotSentError:
            pool.open -= 1
            return False
        except BaseException:
            pool.open -= 1
            raise
        self.release(instance.id, connection)
        return False

    def release(self, server: ServerName, connection: BackendConnection) -> None:
        """Return a connection to the pool, or close it if it can't be reused."""
        pool = self._server_pools.get(server)
        if pool is None:
            connection.close()
        elif connection.reusable and pool.open <= pool.share:
            connection.idle_since = self._clock()
            pool.idle.append(connection)
        else:
            self._drop(pool, connection)

    def discard(self, server: ServerName, connection: BackendConnection) -> None:
        """Close a connection even if it could be reused."""
        pool = self._server_pools.get(server)
        if pool is None:
            connection.close()
        else:
            self._drop(pool, connection)

    def forget(self, server: ServerName) -> None:
        """Close the idle connections to a removed server."""
        pool = self._server_pools.get(server)
        if pool is None:
            return
        while pool.idle:
            self._drop(pool, pool.idle.pop())
        if not pool.open:
            del self._server_pools[server]

    def prune(self) -> None:
        """Close idle connections that are stale or no longer reusable."""
        for pool in self._server_pools.values():
            for connection in list(pool.idle):
                if not connection.reusable or self._stale(connection):
                    pool.idle.remove(connection)
                    self._drop(pool, connection)

    def close(self) -> None:
        """Close every idle connection."""
        for server in list(self._server_pools):
            self.forget(server)

    def _note_lost_idle(
        self, instance: Instance, connection: BackendConnection
    ) -> None:
        # Without a stated timeout the server may have waited long enough.
        if connection.keep_alive_s is not None and not self._stale(connection):
            self.on_lost_idle(instance, connection.contact)

    def _stale(self, connection: BackendConnection) -> bool:
        idle_timeout_s = connection.keep_alive_s
        max_idle_s = (
            DEFAULT_IDLE_S
            if idle_timeout_s is None
            else IDLE_TIMEOUT_FRACTION * idle_timeout_s
        )
        return self._clock() - connection.idle_since >= max_idle_s

    def _drop(self, pool: _ServerPool, connection: BackendConnection) -> None:
        pool.open -= 1
        connection.close()

    async def _open(self, instance: Instance) -> BackendConnection:
        connection = await self._connect(instance)
        connection.activity = self.activity_of(instance.id)
        connection.on_lost_idle = functools.partial(self._note_lost_idle, instance)
        return connection

    async def _connect(self, instance: Instance) -> BackendConnection:
        loop = asyncio.get_running_loop()
        try:
            with anyio.fail_after(CONNECT_TIMEOUT_S):
                _, connection = await loop.create_connection(
                    self.new_connection, instance.host, instance.port
                )
        except (OSError, TimeoutError, ValueError) as error:
            # Addresses that can't be encoded raise `UnicodeError`, a `ValueError`.
            if isinstance(error, OSError) and error.errno in OUT_OF_DESCRIPTORS:
                raise ConnectionLimitError(
                    "This router has no file descriptor left for a connection."
                ) from error
            refused = isinstance(error, ConnectionRefusedError)
            kind = ConnectionRefusedByHostError if refused else NotSentError
            raise kind(
                f"{instance.host}:{instance.port} can't be reached: {error!r}."
            ) from error
        self.opened += 1
        return connection


def max_unacked_s(drain_timeout_s: float) -> float:
    """Return the seconds for which a request may wait for its acknowledgement.

    The server may leave just after a request was written. Not acknowledged by the drain
    timeout, it could only arrive too late.
    """
    return min(MAX_UNACKED_S, max(MIN_UNACKED_S, drain_timeout_s - LEARNING_S))
