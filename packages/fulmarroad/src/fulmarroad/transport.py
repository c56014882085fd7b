"""The transport between routers."""

from fulmarroad._grpc import (
    Outbox,
    PeerChannel,
    PeerHandler,
    PeerServer,
    TlsFiles,
    TrafficCount,
)

__all__ = [
    "Outbox",
    "PeerChannel",
    "PeerHandler",
    "PeerServer",
    "TlsFiles",
    "TrafficCount",
]
