"""Send and receive the packets of routers, all that wait in one turn of the loop.

Pattern of load: a router whose processor is used up, so that a turn of its event loop
takes a tenth of a second. A library that hands out one packet a turn gets further
behind with each packet that comes; operators would notice a router that decides by
loads and news of many seconds ago although its peers told it in time.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

from fulmarroad.exceptions import TransportError

MOST_BYTES = 65_536
"""Longest packet of UDP."""

MAX_PACKETS_PER_TURN = 256
"""Packets read in one turn: more than collectors send in a second, and after a flood of
them the loop still comes to its other work."""


class PacketSocket:
    """Own a UDP socket; use it as a context manager in a running loop.

    `on_failure` gets what reading raises; the socket goes on.
    """

    def __init__(
        self,
        host: str,
        port: int,
        on_packet: Callable[[bytes, str], None],
        on_failure: Callable[[OSError], None],
    ) -> None:
        self._address = (host, port)
        self._on_packet = on_packet
        self._on_failure = on_failure
        self._socket: socket.socket | None = None

    @property
    def port(self) -> int:
        """Return the port that was bound."""
        assert self._socket is not None
        return int(self._socket.getsockname()[1])

    def __enter__(self) -> PacketSocket:
        host, port = self._address
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        made = socket.socket(family, socket.SOCK_DGRAM)
        try:
            made.setblocking(False)
            made.bind(self._address)
        except OSError as error:
            made.close()
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

    def send(self, data: bytes, host: str, port: int) -> None:
        """Send a packet; raise `OSError` or `OverflowError` for one that can't go."""
        assert self._socket is not None
        self._socket.sendto(data, (host, port))

    def _read(self) -> None:
        for _ in range(MAX_PACKETS_PER_TURN):
            if self._socket is None:
                return
            try:
                data, address = self._socket.recvfrom(MOST_BYTES)
            except BlockingIOError:
                return
            except OSError as error:
                self._on_failure(error)
                return
            self._on_packet(data, address[0])
