"""Accepting callers' connections, on the event loop that production uses."""

import asyncio
import contextlib
import socket

import anyio

from fulmarroad_router.http_server import HttpServer

HOST = "127.0.0.1"
WAITING = 60


async def greet(scope, receive, send):
    headers = [(b"content-length", b"0")]
    await send({"type": "http.response.start", "status": 204, "headers": headers})
    await send({"type": "http.response.body", "body": b""})


async def listen(group):
    """Start a server; return its port."""
    port = 0
    bound = anyio.Event()

    def note(number):
        nonlocal port
        port = number
        bound.set()

    group.start_soon(HttpServer(greet, HOST, 0, on_ready=note).run)
    await bound.wait()
    await anyio.sleep(0.2)
    return port


def ask(port):
    """Open a connection and send a request without waiting for its answer."""
    caller = socket.create_connection((HOST, port))
    caller.setblocking(False)
    caller.send(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n")
    return caller


def has_answer(caller):
    with contextlib.suppress(BlockingIOError):
        return bool(caller.recv(1, socket.MSG_PEEK))
    return False


class CountingLoop(asyncio.SelectorEventLoop):
    """Count the timers that are set."""

    timers = 0

    def call_at(self, *args, **named):
        self.timers += 1
        return super().call_at(*args, **named)


class TestIdle:
    def test_an_idle_server_does_not_wake(self):
        """A router has four servers, a fleet hundreds of routers. Servers that wake ten
        times a second for nothing take a part of each small VM's processor, for good.
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
    def test_callers_that_wait_are_accepted_in_few_turns(self):
        """A burst of callers comes to a router whose loop takes a tenth of a second for
        a turn. Accepted one a turn, they wait for seconds in the system's queue, where
        the router neither sees nor counts them, until they leave or it overflows. In
        the record a call reached such a router 13 s after it was sent; the loop's own
        accepting took 62 turns for these 60 callers.
        """
        turns = 0

        async def test():
            nonlocal turns
            async with anyio.create_task_group() as group:
                port = await listen(group)
                callers = [ask(port) for _ in range(WAITING)]
                while not all(has_answer(caller) for caller in callers):
                    assert turns < 10 * WAITING
                    turns += 1
                    await anyio.sleep(0)
                for caller in callers:
                    caller.close()
                group.cancel_scope.cancel()

        anyio.run(test, backend_options={"use_uvloop": True})
        assert turns < WAITING / 3
