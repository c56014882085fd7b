"""Tests of idle wake-ups and of accepting connections on uvloop, as in production."""

import asyncio
import contextlib
import socket

import anyio

from fulmarroad_router.http_server import HttpServer

HOST = "127.0.0.1"
CALLERS = 60


async def respond(scope, receive, send):
    headers = [(b"content-length", b"0")]
    await send({"type": "http.response.start", "status": 204, "headers": headers})
    await send({"type": "http.response.body", "body": b""})


async def listen(group):
    """Start a server and return its port."""
    port = 0
    bound = anyio.Event()

    def record_port(number):
        nonlocal port
        port = number
        bound.set()

    group.start_soon(HttpServer(respond, HOST, 0, on_ready=record_port).run)
    await bound.wait()
    await anyio.sleep(0.2)
    return port


def send_request(port):
    """Open a connection and send a request without waiting for the response."""
    caller = socket.create_connection((HOST, port))
    caller.setblocking(False)
    caller.send(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n")
    return caller


def has_response(caller):
    with contextlib.suppress(BlockingIOError):
        return bool(caller.recv(1, socket.MSG_PEEK))
    return False


class CountingLoop(asyncio.SelectorEventLoop):
    """Count the timers that are scheduled."""

    timers = 0

    def call_at(self, *args, **named):
        self.timers += 1
        return super().call_at(*args, **named)


class TestIdleServer:
    def test_idle_server_sets_no_periodic_timers(self):
        """Guard against idle servers that wake ten times a second. A router runs four
        servers and a fleet has hundreds of routers, so the wake-ups would constantly
        use processor time on each small VM.
        """

        async def test():
            async with anyio.create_task_group() as group:
                await listen(group)
                loop = asyncio.get_running_loop()
                before = loop.timers
                await anyio.sleep(0.5)
                assert loop.timers - before <= 2
                group.cancel_scope.cancel()

        anyio.run(test, backend_options={"loop_factory": CountingLoop})


class TestAccepting:
    def test_waiting_callers_are_accepted_in_few_iterations(self):
        """Guard against connections that wait in the accept queue of a busy router.

        If an event loop iteration takes a tenth of a second and accepts one connection,
        a burst of callers waits for seconds in the kernel's queue. The router doesn't
        count them there, and they time out or the queue overflows. In one run a call
        reached the router 13 s after it was sent. With one connection per iteration,
        these 60 callers take 62 iterations.
        """
        iterations = 0

        async def test():
            nonlocal iterations
            async with anyio.create_task_group() as group:
                port = await listen(group)
                callers = [send_request(port) for _ in range(CALLERS)]
                while not all(has_response(caller) for caller in callers):
                    assert iterations < 10 * CALLERS
                    iterations += 1
                    await anyio.sleep(0)
                for caller in callers:
                    caller.close()
                group.cancel_scope.cancel()

        anyio.run(test, backend_options={"use_uvloop": True})
        assert iterations < CALLERS / 3
