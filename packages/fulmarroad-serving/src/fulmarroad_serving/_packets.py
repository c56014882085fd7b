"""Send and receive the packets of routers, all that wait in one turn of the loop.

Pattern of load: a router whose processor is used up, so that a turn of its event loop
takes a tenth of a second. A library that hands out one packet a turn gets further
behind with each report that comes; operators would notice a router that decides by
loads and news of many seconds ago although its peers told it in time.
"""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Callable

from fulmarroad.events import Event, emit
from fulmarroad.exceptions import TransportError

logger = logging.getLogger("fulmarroad.serving")

MOST_BYTES = 65_536
"""Longest packet of UDP."""

MOST_A_TURN = 256
"""Packets read in one turn: more than collectors send in a second, and after a flood of
them the loop still comes to its other work."""


class PacketSocket:
    """Own a UDP socket; use it as a context manager in a running loop."""

    def __init__(
        self, host: str, port: int, on_packet: Callable[[bytes, str], None]
    ) -> None:
        self._address = (host, port)
        self._on_packet = on_packet
        self._socket: socket.socket | None = None

    def __enter__(self) -> PacketSocket:
        made = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            made.setblocking(False)
            made.bind(self._address)
        except OSError as error:
            made.close()
            host, port = self._address
            raise TransportError(
                f"UDP port {port} on {host} can't be bound."
            ) from error
        asyncio.get_running_loop().add_reader(made, self._read)
        self._socket = made
        return self

    def __exit__(self, *details: object) -> None:
        if self._socket is not None:
            asyncio.get_running_loop().remove_reader(self._socket)
            self._socket.close()
            self._socket = None

    def send(self, data: bytes, host: str) -> None:
        """Send a packet to the same port of a host; one that can't go is told and lost.

        Peers hear the next report in its place.
        """
        assert self._socket is not None
        try:
            self._socket.sendto(data, (host, self._address[1]))
        except OSError as error:
            emit(logger, Event.REPORT_UNSENT, peer=host, cause=repr(error))

    def _read(self) -> None:
        for _ in range(MOST_A_TURN):
            if self._socket is None:
                return
            try:
                data, (host, _) = self._socket.recvfrom(MOST_BYTES)
            except BlockingIOError:
                return
            except OSError as error:
                emit(logger, Event.REPORT_REJECTED, cause=repr(error))
                return
            self._on_packet(data, host)
