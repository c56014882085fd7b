"""The UDP socket of routers, on loopback."""

import socket

import anyio
import pytest

from fulmarroad.datagrams import MAX_PACKETS_PER_TURN, PacketSocket
from fulmarroad.exceptions import TransportError

HOST = "127.0.0.4"


def open_socket(on_packet=lambda *row: None, on_failure=lambda error: None, port=0):
    return PacketSocket(HOST, port, on_packet, on_failure)


def send(port, packets):
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        for packet in packets:
            sender.sendto(packet, (HOST, port))


class Flood:
    """A socket in which a packet always waits."""

    def recvfrom(self, size):
        return b"x", (HOST, 1)


class Unreachable:
    """A socket that has an error in place of a packet."""

    def recvfrom(self, size):
        raise OSError("unreachable")


class TestPacketSocket:
    def test_packets_come_whole_with_the_host_that_sent_them(self):
        got = []

        async def test():
            with open_socket(lambda *row: got.append(row)) as packets:
                packets.send(b"own", HOST, packets.port)
                send(packets.port, [b"", b"x" * 9_000])
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
            with open_socket(lambda *row: got.append(row)) as packets:
                own = packets._socket
                packets._socket = Flood()
                packets._read()
                packets._socket = own

        anyio.run(test)
        assert len(got) == MAX_PACKETS_PER_TURN

    def test_a_port_in_use_is_told(self):
        async def test():
            with open_socket() as first:
                port = first.port
                with (
                    pytest.raises(TransportError, match=str(port)),
                    open_socket(port=port),
                ):
                    pass

        anyio.run(test)

    def test_a_packet_that_cannot_go_is_told_to_its_sender(self):
        async def test():
            with open_socket() as packets, pytest.raises(OSError):
                packets.send(b"x" * 70_000, HOST, packets.port)

        anyio.run(test)

    def test_a_failed_read_is_told_and_ends_nothing(self):
        """An earlier packet's host is gone, and the kernel says so in place of the next
        packet. A router that stops reading then hears of no peer any more.
        """
        failures = []

        async def test():
            with open_socket(on_failure=failures.append) as packets:
                own = packets._socket
                packets._socket = Unreachable()
                packets._read()
                packets._socket = own

        anyio.run(test)
        assert [str(row) for row in failures] == ["unreachable"]
