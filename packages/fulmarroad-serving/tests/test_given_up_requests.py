"""Tests with real sockets that requests which were given up are not delivered."""

import signal
import socket
import subprocess
import sys

import anyio
import pytest
from held_path import HeldPath
from serving_bed import Caller, answer, run

from fulmarroad_serving import Instance
from fulmarroad_serving._pool import max_unacked_s
from fulmarroad_serving.contracts import InstanceFact

SETTLE_S = 0.3
"""Time in which a reset has reached the path, or the server what the path delivers."""

SENDER = """
import asyncio, sys
from fulmarroad_serving._connection import BackendConnection

async def main(port):
    loop = asyncio.get_running_loop()
    _, connection = await loop.create_connection(BackendConnection, "127.0.0.1", port)
    request = b"GET /look/1 HTTP/1.1\\r\\nx-id: c-1\\r\\n\\r\\n"
    connection.send(request, lambda status, headers: None)
    print("sent", flush=True)
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
            process = await anyio.open_process(
                [sys.executable, "-c", SENDER, str(path.port), how],
                stderr=subprocess.DEVNULL,
            )
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
