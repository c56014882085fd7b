"""Packets between routers, over UDP."""

from fulmarroad._datagrams import MOST_A_TURN, PacketSocket

__all__ = ["MOST_A_TURN", "PacketSocket"]
