"""Transport of messages between routers."""

from fulmarroad._grpc import (
    Outbox,
    PeerChannel,
    PeerHandler,
    PeerServer,
    PeerStream,
    TlsFiles,
    TrafficCount,
)

__all__ = [
    "Outbox",
    "PeerChannel",
    "PeerHandler",
    "PeerServer",
    "PeerStream",
    "TlsFiles",
    "TrafficCount",
]
