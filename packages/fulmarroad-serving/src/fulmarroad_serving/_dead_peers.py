"""Detection of peers that no longer respond, by the kernel."""

from __future__ import annotations

import socket

MAX_UNACKED_S = 3.0
"""Time without acknowledgement after which the kernel drops a connection, and with it
the request. A path that drops all packets would otherwise block a call until its
deadline."""

PROBE_IDLE_S = 2
PROBE_INTERVAL_S = 1
PROBE_COUNT = 2
"""Keep-alive probes of the kernel: idle time before them, interval, tries."""


def enable_dead_peer_detection(raw: socket.socket, max_unacked_s: float) -> None:
    """Make the kernel close a connection whose peer no longer responds.

    A network path can fail without a reset, which would otherwise go unnoticed until a
    call's deadline.
    """
    tcp = socket.IPPROTO_TCP
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    raw.setsockopt(tcp, socket.TCP_KEEPIDLE, PROBE_IDLE_S)
    raw.setsockopt(tcp, socket.TCP_KEEPINTVL, PROBE_INTERVAL_S)
    raw.setsockopt(tcp, socket.TCP_KEEPCNT, PROBE_COUNT)
    raw.setsockopt(tcp, socket.TCP_USER_TIMEOUT, round(1000 * max_unacked_s))
