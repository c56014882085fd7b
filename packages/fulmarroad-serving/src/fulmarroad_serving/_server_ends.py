"""Tell all routers that the process of a backend server seems to have ended.

Load pattern: a server crashes and starts again under its id within a fraction of a
second, with other software. Its entry names the software before until the next
heartbeat, a second later. Routers that had no call at the server notice nothing, and
would take what it writes now for the version before.
"""

from __future__ import annotations

import logging
import math
from collections.abc import Callable, Iterable, Mapping
from typing import Any

import anyio
import msgpack
from attrs import frozen

from fulmarroad.events import Event, emit
from fulmarroad.exceptions import MessageError
from fulmarroad.ownership import watchers
from fulmarroad.types import RouterName, ServerName
from fulmarroad_serving._registry import Instance, Registry
from fulmarroad_serving._restarts import SUSPECT_S
from fulmarroad_serving.decoding import DECODE_ERRORS, read_float, read_int

logger = logging.getLogger("fulmarroad.serving")

ENDS_FORMAT = 10
"""First field of the packets; the other packets have other values there."""

MAX_NAME_CHARS = 200
"""Maximum length of a server's name in a message."""

SMALL_FLEET = 16
"""Number of other routers up to which each router that notices an end tells all."""

RELAYS = 4
"""Number of routers that are told in a larger fleet, and tell all others once."""

REPEAT_AFTER_S = 0.05
"""Time after which an end is told again, as packets are lost."""

MAX_AGE_S = 60.0

Send = Callable[[bytes, str], None]
"""Send a packet to a host."""


@frozen
class ServerEnd:
    """Tell that a run of a server seems to have ended some seconds ago."""

    server: ServerName
    started_ms: int
    age_s: float
    relays: bool = False  # the receiver tells all other routers


def pack_end(end: ServerEnd) -> bytes:
    """Encode the end of a server as a packet."""
    row = [ENDS_FORMAT, end.server, end.started_ms, round(end.age_s, 3), end.relays]
    return bytes(msgpack.packb(row))


def read_end(row: Any) -> ServerEnd:
    """Decode the end of a server; raise `MessageError` if it is not valid."""
    try:
        server, age_s = row[1], read_float(row[3])
        if not isinstance(server, str) or len(server) > MAX_NAME_CHARS:
            raise ValueError("The name is not a text of a usual length.")
        if not math.isfinite(age_s) or not 0 <= age_s <= MAX_AGE_S:
            raise ValueError(f"The age of {age_s} s is out of range.")
        return ServerEnd(server, read_int(row[2]), age_s, bool(row[4]))
    except DECODE_ERRORS as error:
        raise MessageError("The end of a server is not valid.") from error


def is_server_end(row: object) -> bool:
    """Return whether an unpacked packet tells the end of a server."""
    return isinstance(row, list) and bool(row) and row[0] == ENDS_FORMAT


class ServerEnds:
    """Tell and receive the ends of servers."""

    def __init__(
        self,
        me: RouterName,
        registry: Registry,
        hosts: Callable[[], Mapping[RouterName, str]],
        clock: Callable[[], float],
    ) -> None:
        self._me = me
        self._registry = registry
        self._hosts = hosts
        self._clock = clock
        self._ended: list[tuple[Instance, float]] = []
        self._relayed: dict[tuple[ServerName, int], float] = {}
        self._due = anyio.Event()
        self._send: Send = lambda data, host: None
        registry.on_ended = self._note_ended

    async def run(self, send: Send) -> None:
        """Tell other routers of the ends noticed here, until cancelled."""
        self._send = send
        while True:
            await self._due.wait()
            self._due, ended, self._ended = anyio.Event(), self._ended, []
            self._tell(ended)
            await anyio.sleep(REPEAT_AFTER_S)
            self._tell(ended)

    def receive(self, row: Any, host: str) -> None:
        """Apply a message; raise `MessageError` if it is not valid."""
        end, now = read_end(row), self._clock()
        at = now - end.age_s
        is_new = self._registry.note_end(end.server, end.started_ms, at, now)
        if end.relays and self._is_due(end, now):
            told = ServerEnd(end.server, end.started_ms, end.age_s)
            self._send_to(told, self._others())
        if not is_new:
            return
        emit(
            logger,
            Event.SERVER_END_TOLD,
            server=end.server,
            server_start=end.started_ms,
            age_s=round(end.age_s, 3),
            source=host,
        )

    def _is_due(self, end: ServerEnd, now: float) -> bool:
        """Return whether a relay tells an end, which it may have noticed itself."""
        self._relayed = {
            run: at for run, at in self._relayed.items() if now - at < SUSPECT_S
        }
        run = (end.server, end.started_ms)
        if run in self._relayed:
            return False
        self._relayed[run] = now
        return True

    def _note_ended(self, instance: Instance) -> None:
        self._ended.append((instance, self._clock()))
        self._due.set()

    def _tell(self, ended: Iterable[tuple[Instance, float]]) -> None:
        now, others = self._clock(), self._others()
        relays = len(others) > SMALL_FLEET
        for instance, at in ended:
            end = ServerEnd(instance.id, instance.started_ms, now - at, relays)
            to = watchers(others, RELAYS, f"ends\0{end.server}") if relays else others
            self._send_to(end, to)

    def _others(self) -> list[RouterName]:
        return [router for router in self._hosts() if router != self._me]

    def _send_to(self, end: ServerEnd, routers: Iterable[RouterName]) -> None:
        hosts, data = self._hosts(), pack_end(end)
        for router in routers:
            if router in hosts:
                self._send(data, hosts[router])
