"""Delivery of requests over TCP, and how their connections end."""

from fulmarroad._delivery import (
    CloseMode,
    ConnectedSocket,
    Delivery,
    RequestState,
    end_orderly,
    reset_on_close,
    unacknowledged_bytes,
)

__all__ = [
    "CloseMode",
    "ConnectedSocket",
    "Delivery",
    "RequestState",
    "end_orderly",
    "reset_on_close",
    "unacknowledged_bytes",
]
