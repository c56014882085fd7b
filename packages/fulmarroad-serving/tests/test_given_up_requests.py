"""Tests with real sockets that requests which were given up are not delivered."""

import asyncio
import signal
import socket
import subprocess
import sys

import anyio
import pytest
from held_path import HeldPath
from serving_bed import Caller, PlainCodec, answer, run
from stream_listener import start_listener

from fulmarroad_serving import Instance
from fulmarroad_serving._connection import BackendConnection
from fulmarroad_serving._pool import max_unacked_s
from fulmarroad_serving.contracts import InstanceFact

SETTLE_S = 0.3
"""Time in which a reset has reached the path, or the server what the path delivers."""

SENDER = """
import asyncio, os, sys
from fulmarroad_serving._pool import ConnectionPool

async def main(port):
    loop = asyncio.get_running_loop()
    pool = ConnectionPool(loop.time)
    _, connection = await loop.create_connection(
        pool.new_connection, "127.0.0.1", port
    )
    request = b"GET /look/1 HTTP/1.1\\r\\nx-id: c-1\\r\\n\\r\\n"
    body = bytes(20_000_000 if sys.argv[2] == "freeze" else 0)
    connection.send(request + body, lambda status, headers: None)
    os.write(1, b"sent\\n")
    await asyncio.sleep(0.2 if sys.argv[2] == "exit" else 30)

asyncio.run(main(int(sys.argv[1])))
"""


async def serve_behind_path(bed, name, script, service="ledger"):
    """Start a server that the router reaches through a path; return the path."""
    path = HeldPath(await bed.serve(name, script, service))
    await path.start()
    there = Instance(name, service, "127.0.0.1", path.port, "fes", 8, version="v1")
    bed.apply_fact(InstanceFact(there))
    return path


async def start_sender(port, how):
    """Start a process that sends a request to a port and then ends or stays."""
    command = [sys.executable, "-c", SENDER, str(port), how]
    return await anyio.open_process(command, stderr=subprocess.DEVNULL)


async def answer_at_once(arrival, writer):
    writer.write(answer(200, b"done", arrival.header("x-id")))


def ids_at(bed, server):
    return [row.header("x-id") for row in bed.arrivals if row.server == server]


class TestGivenUpRequests:
    def test_a_request_given_up_at_its_deadline_is_not_delivered(self):
        """Guard against a booking that runs after its caller was told 504."""

        async def test(bed):
            path = await serve_behind_path(bed, "s-1", answer_at_once)
            await bed.call("/post/1", request_id="first", method="POST", body=b"x")
            path.cut()
            headers = {"x-deadline-ms": "300"}
            caller = await bed.call(
                "/post/1", request_id="late", method="POST", body=b"x", headers=headers
            )
            assert caller.status == 504
            assert path.held_bytes or path.resets
            await anyio.sleep(SETTLE_S)
            path.heal()
            await anyio.sleep(SETTLE_S)
            assert ids_at(bed, "s-1") == ["first"]
            await path.close()

        run(test)

    def test_a_request_repeated_elsewhere_does_not_run_at_the_first_server(self):
        """Guard against a second run after the first server's path heals."""

        async def test(bed):
            paths = [
                await serve_behind_path(bed, name, answer_at_once)
                for name in ("s-1", "s-2")
            ]
            for n in range(4):
                await bed.call("/look/1", request_id=f"first-{n}")
            before = len(bed.arrivals)
            paths[0].cut()
            callers = [Caller() for _ in range(6)]
            async with anyio.create_task_group() as tasks:
                for n, caller in enumerate(callers):
                    tasks.start_soon(
                        lambda n=n, caller=caller: bed.call(
                            "/look/1", request_id=f"c-{n}", caller=caller
                        )
                    )
            assert [caller.status for caller in callers] == [200] * 6
            await anyio.sleep(SETTLE_S)
            paths[0].heal()
            await anyio.sleep(SETTLE_S)
            ran = [row.header("x-id") for row in bed.arrivals[before:]]
            assert sorted(ran) == [f"c-{n}" for n in range(6)]
            for path in paths:
                await path.close()

        run(test)

    def test_a_request_whose_caller_left_is_not_delivered(self):
        """Guard against work at a server for a caller who has left."""

        async def test(bed):
            path = await serve_behind_path(bed, "s-1", answer_at_once)
            await bed.call("/post/1", request_id="first", method="POST", body=b"x")
            path.cut()
            caller = Caller()

            async def leave():
                await anyio.sleep(0.2)
                caller.left.set()

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(leave)
                await bed.call(
                    "/post/1", request_id="c-1", method="POST", body=b"x", caller=caller
                )
            await anyio.sleep(SETTLE_S)
            path.heal()
            await anyio.sleep(SETTLE_S)
            assert ids_at(bed, "s-1") == ["first"]
            await path.close()

        run(test)

    @pytest.mark.parametrize("how", ["kill", "exit"])
    def test_a_request_of_a_router_that_ended_is_not_delivered(self, how):
        """Guard against requests that arrive after their router has ended."""

        async def test(bed):
            path = await serve_behind_path(bed, "s-1", answer_at_once)
            path.cut()
            process = await start_sender(path.port, how)
            async with process:
                assert await process.stdout.receive() == b"sent\n"
                while not path.held_bytes:
                    await anyio.sleep(0.01)
                if how == "kill":
                    process.send_signal(signal.SIGKILL)
                await process.wait()
            await anyio.sleep(SETTLE_S)
            path.heal()
            await anyio.sleep(SETTLE_S)
            assert ids_at(bed, "s-1") == []
            await path.close()

        run(test)


class TestRequestsUnderWay:
    @pytest.mark.parametrize(
        ("drain_timeout_s", "expected_s"),
        [(2.0, 1.5), (3.0, 2.5), (10.0, 3.0), (0.6, 0.5)],
    )
    def test_the_time_without_acknowledgement_ends_before_the_drain_timeout(
        self, drain_timeout_s, expected_s
    ):
        assert max_unacked_s(drain_timeout_s) == expected_s

    def test_a_request_of_a_frozen_router_is_withdrawn(self):
        """Guard against a frozen router whose kernel goes on delivering a request.

        The server has no room for the whole request and makes it only later.
        """

        async def read_to_the_end(connection):
            loop = asyncio.get_running_loop()
            while await loop.sock_recv(connection, 65536):
                pass

        async def read_late(listener, process):
            connection, _ = await asyncio.get_running_loop().sock_accept(listener)
            process.send_signal(signal.SIGSTOP)
            await anyio.sleep(2.5)
            with connection, pytest.raises(ConnectionResetError):
                await read_to_the_end(connection)

        async def test():
            with socket.socket() as listener:
                listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
                listener.bind(("127.0.0.1", 0))
                listener.listen()
                listener.setblocking(False)
                port = listener.getsockname()[1]
                process = await start_sender(port, "freeze")
                async with process:
                    try:
                        assert await process.stdout.receive() == b"sent\n"
                        with anyio.fail_after(8):
                            await read_late(listener, process)
                    finally:
                        process.kill()

        anyio.run(test)

    def test_the_kernel_drops_requests_that_stay_unacknowledged(self):
        """Guard against requests to leaving servers that only their deadline ends."""

        async def test(bed):
            path = await serve_behind_path(bed, "s-1", answer_at_once)
            server = bed.dispatcher.registry.get("s-1").instance
            connection = await bed.pool.acquire(server, 10, 1)
            option = (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)
            assert connection._socket.getsockopt(*option) == 1500
            bed.pool.release("s-1", connection)
            await path.close()

        run(test)


class TestAnsweredRequests:
    def test_a_long_request_that_was_answered_early_is_withdrawn(self):
        """Guard against a server that takes half a body for a whole one.

        It answers before it has read the body and reads on later.
        """
        ends = []

        async def connected(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(answer(413, b"too long"))
            await asyncio.sleep(SETTLE_S)
            try:
                while await reader.read(65536):
                    pass
                ends.append("orderly")
            except ConnectionResetError:
                ends.append("reset")

        async def test():
            server = await start_listener(connected)
            loop = asyncio.get_running_loop()
            opened = loop.create_connection(BackendConnection, "127.0.0.1", server.port)
            _, connection = await opened
            head = b"POST / HTTP/1.1\r\ncontent-length: 20000000\r\n\r\n"
            connection.send(head + bytes(20_000_000), PlainCodec().read_answer)
            assert (await connection.head(1.0)).status == 413
            assert await connection.body(1.0) == b"too long"
            assert await connection.body(1.0) is None
            assert not connection.reusable
            connection.close()
            with anyio.fail_after(5):
                while not ends:
                    await anyio.sleep(0.02)
            await server.aclose()
            assert ends == ["reset"]

        anyio.run(test)

    def test_an_answered_connection_ends_by_fin(self):
        """Guard against resets that a server counts as failures of its callers.

        A reset that gets lost also leaves the connection open at the server until its
        idle timeout, while a FIN is sent again.
        """

        async def test(bed):
            path = await serve_behind_path(bed, "s-1", answer_at_once)
            await bed.call("/post/1", method="POST", body=b"x")
            bed.pool.close()
            await anyio.sleep(SETTLE_S)
            assert (path.orderly_ends, path.resets) == (1, 0)
            await path.close()

        run(test)
