"""UDP socket that reads all waiting packets in one iteration of the event loop.

On a router with a saturated processor, one iteration of the event loop takes a tenth of
a second. A library that delivers one packet per iteration falls further behind with
each packet. The symptom is a router whose decisions use loads and member updates that
are many seconds old, although its peers sent newer ones in time.
"""

from __future__ import annotations

import asyncio
import errno
import socket
from collections.abc import Callable

from fulmarroad.exceptions import TransportError

MAX_DATAGRAM_BYTES = 65_536
"""Receive buffer size in bytes; no UDP packet is larger."""

MAX_PACKETS_PER_TURN = 256
"""Maximum number of packets read in one iteration of the event loop.

It is more than collectors send in a second, and during a flood of packets the loop
still runs its other tasks.
"""


class PacketSocket:
    """Bind a UDP socket and read it in the running event loop; a context manager.

    `on_packet` gets each packet and its sender's host. `on_failure` gets the errors of
    reads, after which reading continues.
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
        sock = socket.socket(family, socket.SOCK_DGRAM)
        try:
            sock.setblocking(False)
            sock.bind(self._address)
        except OSError as error:
            sock.close()
            raise TransportError(
                f"UDP port {port} on {host} can't be bound."
            ) from error
        asyncio.get_running_loop().add_reader(sock, self._read)
        self._socket = sock
        return self

    def __exit__(self, *details: object) -> None:
        if self._socket is not None:
            asyncio.get_running_loop().remove_reader(self._socket)
            self._socket.close()
            self._socket = None

    def send(self, data: bytes, host: str, port: int) -> None:
        """Send a packet; raise `OSError` or `OverflowError` if that fails.

        A socket that is closed, as its task restarts, fails like a lost network.
        """
        if self._socket is None:
            raise OSError(errno.ENOTCONN, "The UDP socket is closed.")
        self._socket.sendto(data, (host, port))

    def _read(self) -> None:
        for _ in range(MAX_PACKETS_PER_TURN):
            if self._socket is None:
                return
            try:
                data, address = self._socket.recvfrom(MAX_DATAGRAM_BYTES)
            except BlockingIOError:
                return
            except OSError as error:
                self._on_failure(error)
                return
            self._on_packet(data, address[0])
