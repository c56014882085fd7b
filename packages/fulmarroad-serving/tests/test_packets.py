"""The UDP socket of routers, on loopback."""

import socket

import anyio
import pytest
from serving_bed import free_port

from fulmarroad.exceptions import TransportError
from fulmarroad_serving._packets import MOST_A_TURN, PacketSocket

HOST = "127.0.0.4"


def send(port, packets):
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        for packet in packets:
            sender.sendto(packet, (HOST, port))


class Flood:
    """A socket in which a packet always waits."""

    def recvfrom(self, size):
        return b"x", (HOST, 1)


class TestPacketSocket:
    def test_packets_come_whole_with_the_host_that_sent_them(self):
        got = []

        async def test():
            port = free_port(HOST)
            with PacketSocket(HOST, port, lambda *row: got.append(row)) as packets:
                packets.send(b"own", HOST)
                send(port, [b"", b"x" * 9_000])
                with anyio.fail_after(2.0):
                    while len(got) < 3:
                        await anyio.sleep(0.01)

        anyio.run(test)
        assert [data for data, _ in got] == [b"own", b"", b"x" * 9_000]
        assert got[0][1] == HOST

    def test_a_flood_leaves_the_loop_its_time(self):
        """Anyone who reaches the port can send packets as fast as they like. Read until
        none waits, they would keep the router from its callers for as long.
        """
        got = []

        async def test():
            port = free_port(HOST)
            with PacketSocket(HOST, port, lambda *row: got.append(row)) as packets:
                own = packets._socket
                packets._socket = Flood()
                packets._read()
                packets._socket = own

        anyio.run(test)
        assert len(got) == MOST_A_TURN

    def test_a_port_in_use_is_told(self):
        async def test():
            port = free_port(HOST)
            first = PacketSocket(HOST, port, lambda *row: None)
            with (
                first,
                pytest.raises(TransportError, match=str(port)),
                PacketSocket(HOST, port, lambda *row: None),
            ):
                pass

        anyio.run(test)

    def test_a_packet_that_cannot_go_is_told_and_ends_nothing(self, caplog):
        async def test():
            with PacketSocket(HOST, free_port(HOST), lambda *row: None) as packets:
                packets.send(b"x" * 70_000, HOST)

        with caplog.at_level("INFO", "fulmarroad.serving"):
            anyio.run(test)
        assert [row.name_of_event for row in caplog.records] == ["report_unsent"]
