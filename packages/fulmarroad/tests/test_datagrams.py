"""UDP socket of routers, on loopback."""

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


class FloodedSocket:
    """A socket that always has a packet to read."""

    def recvfrom(self, size):
        return b"x", (HOST, 1)


class FailingSocket:
    """A socket whose reads fail."""

    def recvfrom(self, size):
        raise OSError("unreachable")


class TestPacketSocket:
    def test_a_send_while_the_socket_is_closed_fails_like_a_lost_network(self):
        """Guard against calls that fail while the task of the socket restarts."""

        async def test():
            packets = open_socket()
            with pytest.raises(OSError, match="closed"):
                packets.send(b"early", HOST, 1)
            with packets:
                pass
            with pytest.raises(OSError, match="closed"):
                packets.send(b"late", HOST, 1)

        anyio.run(test)

    def test_packets_arrive_unchanged_with_the_sender_host(self):
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

    def test_reads_a_limited_number_of_packets_per_iteration(self):
        """Anyone who reaches the port can send packets at any rate. If each iteration
        emptied the socket, the router could not serve its callers during a flood.
        """
        got = []

        async def test():
            with open_socket(lambda *row: got.append(row)) as packets:
                real_socket = packets._socket
                packets._socket = FloodedSocket()
                packets._read()
                packets._socket = real_socket

        anyio.run(test)
        assert len(got) == MAX_PACKETS_PER_TURN

    def test_binding_a_port_in_use_raises_transport_error(self):
        async def test():
            with open_socket() as first:
                port = first.port
                with (
                    pytest.raises(TransportError, match=str(port)),
                    open_socket(port=port),
                ):
                    pass

        anyio.run(test)

    def test_sending_an_oversized_packet_raises_os_error(self):
        async def test():
            with open_socket() as packets, pytest.raises(OSError):
                packets.send(b"x" * 70_000, HOST, packets.port)

        anyio.run(test)

    def test_failed_read_is_reported_and_reading_continues(self):
        """If the host of an earlier packet is unreachable, the kernel reports it as an
        error of the next read. Without further reads the router receives no packets.
        """
        failures = []

        async def test():
            with open_socket(on_failure=failures.append) as packets:
                real_socket = packets._socket
                packets._socket = FailingSocket()
                packets._read()
                packets._socket = real_socket

        anyio.run(test)
        assert [str(row) for row in failures] == ["unreachable"]
