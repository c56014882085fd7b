"""Tests of calls to backend servers over real sockets and a path that can be cut."""

import asyncio
import contextlib

import anyio
import pytest
from endless_server import endless_server, resident_bytes
from held_path import HeldPath
from stream_listener import start_listener

from fulmarroad.tables import BackendServer, Pool
from fulmarroad_router.backend import (
    BackendClient,
    BackendRequest,
    FailedAfterSend,
    TimedOutAfterSend,
)

SETTLE_S = 0.3
"""Time in which a reset has reached the path, or the server what the path delivers."""

PAUSE_S = 2.0

CALLS_WITHOUT_END = 20
MAX_GROWTH_BYTES = 16 * 1024 * 1024

POOL = Pool("ledger", first_byte_timeout_s=0.3, idle_timeout_s=0.3)


class Ledger:
    """A server that keeps the ids of the requests that reach it."""

    def __init__(self):
        self.ids = []

    async def connected(self, reader, writer):
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                self.ids.append(head.partition(b"x-id: ")[2].split(b"\r\n")[0].decode())
                writer.write(b"HTTP/1.1 200 S\r\ncontent-length: 4\r\n\r\ndone")
                await writer.drain()


@contextlib.asynccontextmanager
async def ledger_behind_path():
    ledger = Ledger()
    listener = await start_listener(ledger.connected)
    path = HeldPath(listener.port)
    await path.start()
    client = BackendClient()
    try:
        with anyio.fail_after(10):
            yield ledger, path, client
    finally:
        await client.close()
        await path.close()
        await listener.aclose()


async def post(client, port, request_id, *, repeatable=True, pool=POOL):
    server = BackendServer("ledger-a", f"127.0.0.1:{port}", "fes")
    headers = [(b"host", b"ledger"), (b"x-id", request_id.encode())]
    request = BackendRequest(b"POST", b"/reminders", headers, b"")
    async with client.call(pool, server, request, repeatable=repeatable) as response:
        return b"".join([chunk async for chunk in response.chunks()])


class TestGivenUpRequests:
    @pytest.mark.parametrize("repeatable", [True, False])
    def test_a_request_given_up_at_its_timeout_is_not_delivered(self, repeatable):
        """Guard against a call that runs after its caller was told that it failed."""

        async def test():
            async with ledger_behind_path() as (ledger, path, client):
                await post(client, path.port, "first", repeatable=repeatable)
                path.cut()
                with pytest.raises(TimedOutAfterSend):
                    await post(client, path.port, "late", repeatable=repeatable)
                await anyio.sleep(SETTLE_S)
                path.heal()
                await anyio.sleep(SETTLE_S)
                assert ledger.ids == ["first"]

        anyio.run(test)

    def test_a_request_whose_caller_left_is_not_delivered(self):
        """Guard against work at a server for a caller who has left."""

        async def test():
            async with ledger_behind_path() as (ledger, path, client):
                await post(client, path.port, "first")
                path.cut()
                with anyio.move_on_after(0.15):
                    await post(client, path.port, "left")
                await anyio.sleep(SETTLE_S)
                path.heal()
                await anyio.sleep(SETTLE_S)
                assert ledger.ids == ["first"]

        anyio.run(test)


class TestAnsweredRequests:
    @pytest.mark.parametrize("repeatable", [True, False])
    def test_an_answered_connection_ends_by_fin(self, repeatable):
        """Guard against resets that a server counts as failures of its callers."""

        async def test():
            async with ledger_behind_path() as (_, path, client):
                assert (
                    await post(client, path.port, "c-1", repeatable=repeatable)
                    == b"done"
                )
                await client.close()
                await anyio.sleep(SETTLE_S)
                assert (path.orderly_ends, path.resets) == (1, 0)

        anyio.run(test)


class TestPauses:
    @pytest.mark.parametrize("before", ["its first byte", "the rest of its answer"])
    def test_a_server_that_pauses_keeps_its_call(self, before):
        """Guard against default time-outs that take a pause for the server's end."""

        async def answer(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            for part in (b"HTTP/1.1 200 S\r\ncontent-length: 4\r\n\r\ndo", b"ne"):
                if (part == b"ne") == (before == "the rest of its answer"):
                    await asyncio.sleep(PAUSE_S)
                writer.write(part)

        async def test():
            listener = await start_listener(answer)
            client = BackendClient()
            try:
                answered = await post(client, listener.port, "r-1", pool=Pool("ledger"))
                assert answered == b"done"
            finally:
                await client.close()
                await listener.aclose()

        anyio.run(test)


class TestEndlessAnswers:
    @pytest.mark.parametrize(
        "form", ["header-lines", "one-header-line", "chunk-extension", "trailers"]
    )
    def test_an_answer_whose_framing_does_not_end_is_given_up(self, form):
        """Guard against a faulty server that uses up its routers' memory."""

        async def test(port):
            client = BackendClient()
            before = resident_bytes()
            try:
                with anyio.fail_after(30):
                    for number in range(CALLS_WITHOUT_END):
                        with pytest.raises(FailedAfterSend):
                            await post(client, port, f"r-{number}")
            finally:
                await client.close()
            assert resident_bytes() - before < MAX_GROWTH_BYTES

        with endless_server(form) as port:
            anyio.run(test, port)
