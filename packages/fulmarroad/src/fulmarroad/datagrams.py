"""UDP packets between routers."""

from fulmarroad._datagrams import MAX_PACKETS_PER_TURN, PacketSocket

__all__ = ["MAX_PACKETS_PER_TURN", "PacketSocket"]
