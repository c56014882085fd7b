"""Delivery of a request: what the kernel knows of it when its connection closes.

The kernel keeps bytes that the peer has not acknowledged, and goes on sending them
after the connection was closed. A request that was given up could therefore still
arrive. Only a complete answer shows that nothing of a request is under way: a kernel's
acknowledgement may be that of a proxy. So every connection is reset as it ends, that of
a killed process too, unless its last request was answered.
"""

from __future__ import annotations

import enum
import fcntl
import socket
import struct
import termios
from typing import Protocol

from attrs import frozen

TCP_INFO_BYTES = 104
"""Size of the part of `TCP_INFO` that every supported kernel has."""

TCP_INFO_RTO_OFFSET = 8
"""Offset of the retransmission timeout, which is never 0 for a connected socket."""

NO_LINGER = struct.pack("ii", 0, 0)
RESET_AT_ONCE = struct.pack("ii", 1, 0)


class CloseMode(enum.StrEnum):
    """State how a connection ends."""

    ORDERLY = "orderly"  # by FIN, behind all bytes that the kernel still holds
    RESET = "reset"  # at once; bytes that were not delivered are dropped


class Delivery(enum.StrEnum):
    """State whether a request that has no complete answer reached the peer's kernel."""

    ACKNOWLEDGED = "acknowledged"
    UNACKNOWLEDGED = "unacknowledged"
    UNKNOWN = "unknown"  # the kernel does not say


class ConnectedSocket(Protocol):
    """Declare the socket calls that are used here, which asyncio's wrapper has too."""

    def fileno(self) -> int:
        """Return the file descriptor."""

    def getsockopt(self, level: int, name: int, size: int, /) -> bytes:
        """Return the value of a socket option."""

    def setsockopt(self, level: int, name: int, value: bytes, /) -> None:
        """Set a socket option."""


@frozen
class RequestState:
    """Hold what is known of a request at the end of its exchange."""

    answered: bool
    written_s: float
    """Seconds since the request was written."""
    unacked_bytes: int | None
    """Bytes that the peer's kernel has not acknowledged; `None` if unknown."""
    close_mode: CloseMode
    """How its connection ends, unless it was answered."""

    @property
    def delivery(self) -> Delivery:
        """Return whether the request reached the peer's kernel."""
        if self.answered:
            return Delivery.ACKNOWLEDGED
        if self.unacked_bytes is None:
            return Delivery.UNKNOWN
        if self.unacked_bytes > 0:
            return Delivery.UNACKNOWLEDGED
        return Delivery.ACKNOWLEDGED


def reset_on_close(raw: ConnectedSocket) -> None:
    """Make the kernel reset a connection when its socket or its process ends."""
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_ONCE)


def end_orderly(raw: ConnectedSocket) -> None:
    """Let a connection end by FIN, which the kernel sends until it is acknowledged.

    A reset is sent once. If it gets lost, the peer keeps the connection open.
    """
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)


def unacknowledged_bytes(raw: ConnectedSocket) -> int | None:
    """Return the bytes that the peer has not acknowledged, or `None` if unknown.

    Some network stacks answer the query with zeros, which `TCP_INFO` shows, or answer
    it for a closed socket.
    """
    descriptor = raw.fileno()
    if descriptor < 0:
        return None
    try:
        info = raw.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
        if struct.unpack_from("I", info, TCP_INFO_RTO_OFFSET)[0] == 0:
            return None
        queued = fcntl.ioctl(descriptor, termios.TIOCOUTQ, b"\0\0\0\0")
    except (OSError, struct.error):
        return None
    return int(struct.unpack("i", queued)[0])
