"""Membership task on loopback, with real sockets and without fixed waits."""

import logging
import socket
import time

import anyio
import pytest

from fulmarroad import messages
from fulmarroad.audit import AuditTrail, Subject
from fulmarroad.events import Event
from fulmarroad.exceptions import MessageError
from fulmarroad.membership import Gossip, PacketSeal, Swim, VmEntry
from fulmarroad.types import MemberState

SECRET = b"a secret of the cluster"
TEST_TIMEOUT_S = 20.0
HOST = "127.0.0.1"


class Node:
    """Hold a router's membership task for a given port."""

    def __init__(self, name, port, secret=SECRET, cut=lambda router: False):
        self.name = name
        self.port = port
        self.trail = AuditTrail()
        me = messages.MemberUpdate(name, 1, MemberState.ALIVE, "fes-1", HOST, 1, port)
        swim = Swim(me, seed=1, now=time.monotonic())
        self.gossip = Gossip(swim, secret, trail=self.trail, cut=cut)

    async def wait_for(self, router, state):
        async for change in self.gossip.changes:
            if (change.router, change.after) == (router, state):
                return
        pytest.fail("the stream of changes ended")


async def free_ports(count):
    probes = [await anyio.create_udp_socket(local_host=HOST) for _ in range(count)]
    ports = [row.extra(anyio.abc.SocketAttribute.local_port) for row in probes]
    for probe in probes:
        await probe.aclose()
    return ports


async def start(group, *nodes):
    """Start all nodes; return the cancel scope of the last one."""
    entries = [VmEntry(node.name, "fes-1", HOST, 1, node.port) for node in nodes]
    scopes = [anyio.CancelScope() for _ in nodes]

    async def run_in(node, scope, *, task_status):
        with scope:
            await node.gossip.run(HOST, node.port, task_status=task_status)

    for node, scope in zip(nodes, scopes, strict=True):
        await group.start(run_in, node, scope)
        await node.gossip.hint(entries)
    return scopes[-1]


def run(test):
    async def bounded():
        with anyio.fail_after(TEST_TIMEOUT_S):
            await test()

    anyio.run(bounded)


class TestGossip:
    def test_routers_join_leave_and_fail(self):
        # Three routers start. One is drained, another stops without announcing it.
        async def test():
            ports = await free_ports(3)
            nodes = [Node(f"r{i}", port) for i, port in enumerate(ports)]
            async with anyio.create_task_group() as group:
                lost = await start(group, *nodes)
                for node in nodes[:2]:
                    await node.wait_for("r2", MemberState.ALIVE)
                await nodes[1].gossip.leave()
                await nodes[0].wait_for("r1", MemberState.LEAVING)
                lost.cancel()
                await nodes[0].wait_for("r2", MemberState.DEAD)
                group.cancel_scope.cancel()
            rows = [row for row in nodes[0].trail.since(0) if row.name == "r2"]
            assert [row.after for row in rows][-2:] == ["suspect", "dead"]
            assert {row.subject for row in rows} == {Subject.MEMBER}

        run(test)

    def test_table_version_is_announced_to_other_routers(self):
        async def test():
            nodes = [Node(f"r{i}", p) for i, p in enumerate(await free_ports(2))]
            async with anyio.create_task_group() as group:
                await start(group, *nodes)
                await nodes[0].wait_for("r1", MemberState.ALIVE)
                await nodes[0].gossip.announce_version(7)
                reported = await nodes[1].gossip.versions.receive()
                assert (reported.version, reported.router) == (7, "r0")
                group.cancel_scope.cancel()

        run(test)

    def test_cut_routers_declare_each_other_dead(self):
        # `cut` simulates a partition. UDP packets that still pass would invalidate the
        # simulation.
        async def test():
            cut = set()
            nodes = [
                Node(f"r{i}", port, cut=cut.__contains__)
                for i, port in enumerate(await free_ports(2))
            ]
            async with anyio.create_task_group() as group:
                await start(group, *nodes)
                await nodes[0].wait_for("r1", MemberState.ALIVE)
                await nodes[1].wait_for("r0", MemberState.ALIVE)
                cut |= {"r0", "r1"}
                await nodes[0].wait_for("r1", MemberState.DEAD)
                await nodes[1].wait_for("r0", MemberState.DEAD)
                cut.clear()
                await nodes[0].wait_for("r1", MemberState.ALIVE)
                group.cancel_scope.cancel()

        run(test)

    def test_invalid_packets_are_ignored_and_logged_once(self, caplog):
        # Anyone who reaches the port can send packets at any rate, with forged senders.
        async def test():
            [port] = await free_ports(1)
            node = Node("r0", port)
            unknown = messages.MemberUpdate(
                "r9", 1, MemberState.ALIVE, "fes-1", HOST, 1, port
            )
            ping = messages.Ping(1, "r9", 1, 0, (unknown,), "r0")
            forged = PacketSeal(b"another secret").seal(ping)
            async with anyio.create_task_group() as group:
                await start(group, node)
                sender = await anyio.create_udp_socket(local_host=HOST)
                for packet in [b"", b"x", forged, forged, forged]:
                    await sender.sendto(packet, HOST, port)
                await sender.sendto(PacketSeal(SECRET).seal(ping), HOST, port)
                await node.wait_for("r9", MemberState.ALIVE)
                await sender.aclose()
                group.cancel_scope.cancel()

        with caplog.at_level(logging.WARNING, "fulmarroad.membership"):
            run(test)
        numbers = [record.event for record in caplog.records]
        assert numbers.count(Event.GOSSIP_REJECTED.value.number) == 1


class PacketCountMetrics:
    """Metrics that count received packets."""

    def __init__(self):
        self.packets = 0

    def incr(self, name, count=1):
        self.packets += name == "membership.received_bytes"


class TestBusyLoop:
    def test_queued_packets_are_read_in_few_loop_iterations(self):
        """On a saturated processor, one iteration of the event loop takes a tenth of a
        second. If it reads one packet only, probes queue up and are answered too late:
        other routers declare this one dead although it serves its callers.
        """
        waiting = 40

        async def test():
            [port] = await free_ports(1)
            node = Node("r0", port)
            node.gossip._metrics = metrics = PacketCountMetrics()
            async with anyio.create_task_group() as group:
                await start(group, node)
                with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
                    for _ in range(waiting):
                        sender.sendto(b"x", (HOST, port))
                iterations = 0
                while metrics.packets < waiting:
                    assert iterations < 10 * waiting
                    iterations += 1
                    await anyio.sleep(0)
                group.cancel_scope.cancel()
            assert iterations < waiting / 3

        run(test)


class TestPacketSeal:
    PING = messages.Ping(1, "r9", 1, 0, (), "r0")

    def test_open_returns_the_sealed_message(self):
        seal = PacketSeal(SECRET)
        assert seal.open(seal.seal(self.PING)) == self.PING

    @pytest.mark.parametrize("place", [0, 15, 16, -1])
    def test_rejects_a_changed_byte(self, place):
        packet = bytearray(PacketSeal(SECRET).seal(self.PING))
        packet[place] ^= 1
        with pytest.raises(MessageError, match="tag"):
            PacketSeal(SECRET).open(bytes(packet))

    def test_rejects_messages_of_other_kinds(self):
        seal = PacketSeal(SECRET)
        with pytest.raises(MessageError, match="no membership"):
            seal.open(seal.seal(messages.TablesRequest(1)))
