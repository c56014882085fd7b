"""Connections to backend servers, kept for the next call."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable

import anyio
from attrs import define, field

from fulmarroad.types import ServerName
from fulmarroad_serving._budgets import assumed_routers
from fulmarroad_serving._connection import BackendConnection
from fulmarroad_serving._registry import Instance
from fulmarroad_serving.exceptions import (
    ConnectionLimitError,
    ConnectionRefusedByHostError,
    NotSentError,
)

CONNECT_TIMEOUT_S = 0.25
"""Time for one connection within a region: a few milliseconds, or a lost first packet,
which the kernel sends again only after a second. Trying anew is sooner."""

KEEP_PART = 0.6
"""Part of the server's own idle timeout for which a connection is kept: a request that
crosses the server's close can't be told from one that ran."""

DEFAULT_KEEP_S = 3.0
"""Time a connection is kept where the server states no timeout."""


@define
class _Kept:
    idle: list[BackendConnection] = field(factory=list)
    open: int = 0


class ConnectionPool:
    """Own the connections to all backend servers."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._kept: dict[ServerName, _Kept] = {}
        self.opened = 0

    async def acquire(
        self, instance: Instance, max_connections: int, routers: int
    ) -> BackendConnection:
        """Return an idle connection or a new one; raise `NotSentError`."""
        kept = self._kept.setdefault(instance.id, _Kept())
        while kept.idle:
            connection = kept.idle.pop()
            if connection.reusable and not self._stale(connection):
                return connection
            self._drop(kept, connection)
        share = max(1, math.floor(max_connections / assumed_routers(routers)))
        if kept.open >= share:
            raise ConnectionLimitError(
                "Every connection that this router may hold to the server is in use."
            )
        kept.open += 1
        try:
            return await self._connect(instance)
        except BaseException:
            kept.open -= 1
            raise

    async def refuses(self, instance: Instance) -> bool:
        """Tell whether a server's host refuses connections; keep one that it takes."""
        kept = self._kept.setdefault(instance.id, _Kept())
        kept.open += 1
        try:
            connection = await self._connect(instance)
        except ConnectionRefusedByHostError:
            kept.open -= 1
            self.forget(instance.id)
            return True
        except NotSentError:
            kept.open -= 1
            return False
        except BaseException:
            kept.open -= 1
            raise
        self.release(instance.id, connection)
        return False

    def release(self, server: ServerName, connection: BackendConnection) -> None:
        """Keep a connection for the next call, or close it."""
        kept = self._kept.get(server)
        if kept is None:
            connection.close()
        elif connection.reusable:
            connection.idle_since = self._clock()
            kept.idle.append(connection)
        else:
            self._drop(kept, connection)

    def discard(self, server: ServerName, connection: BackendConnection) -> None:
        """Close a connection, whatever its state."""
        kept = self._kept.get(server)
        if kept is None:
            connection.close()
        else:
            self._drop(kept, connection)

    def forget(self, server: ServerName) -> None:
        """Close what is kept to a server that is gone."""
        kept = self._kept.get(server)
        if kept is None:
            return
        while kept.idle:
            self._drop(kept, kept.idle.pop())
        if not kept.open:
            del self._kept[server]

    def prune(self) -> None:
        """Close the idle connections that no call would get."""
        for kept in self._kept.values():
            for connection in list(kept.idle):
                if not connection.reusable or self._stale(connection):
                    kept.idle.remove(connection)
                    self._drop(kept, connection)

    def close(self) -> None:
        """Close every idle connection."""
        for server in list(self._kept):
            self.forget(server)

    def _stale(self, connection: BackendConnection) -> bool:
        stated = connection.keep_alive_s
        keep_s = DEFAULT_KEEP_S if stated is None else KEEP_PART * stated
        return self._clock() - connection.idle_since >= keep_s

    def _drop(self, kept: _Kept, connection: BackendConnection) -> None:
        kept.open -= 1
        connection.close()

    async def _connect(self, instance: Instance) -> BackendConnection:
        loop = asyncio.get_running_loop()
        try:
            with anyio.fail_after(CONNECT_TIMEOUT_S):
                _, connection = await loop.create_connection(
                    BackendConnection, instance.host, instance.port
                )
        except (OSError, TimeoutError) as error:
            refused = isinstance(error, ConnectionRefusedError)
            kind = ConnectionRefusedByHostError if refused else NotSentError
            raise kind(
                f"{instance.host}:{instance.port} can't be reached: {error!r}."
            ) from error
        self.opened += 1
        return connection
