"""Tests of answers that break off, as callers see them on their connections."""

import contextlib

import anyio
import pytest
from attrs import define
from serving_bed import KEY, chunk, event, run, stream_head

from fulmarroad_router.http_server import HttpServer

HOST = "127.0.0.1"
EVENTS = [event(1), event(2), event(3)]
LARGE = [b"%06d\n" % number * 10_000 for number in range(6)]
SMALL = [b"one", b"two"]

BODIES = {"/sms/1": EVENTS, "/look/1": LARGE, "/open/1": SMALL}
"""Parts of the body by path: a stream, an answer too large to buffer, a small one."""


@define
class Received:
    """What a caller got on its connection."""

    head: bytes
    body: bytes
    whole: bool

    @property
    def status(self):
        return int(self.head.split()[1])

    def header(self, name):
        for line in self.head.lower().split(b"\r\n")[1:]:
            key, _, value = line.partition(b": ")
            if key == name:
                return value
        return b""


def unchunk(data):
    """Return the body of chunks, and whether their end has come."""
    body = b""
    while True:
        size, mark, rest = data.partition(b"\r\n")
        if not mark or len(rest) < int(size, 16) + 2:
            return body + rest, False
        if int(size, 16) == 0:
            return body, True
        body += rest[: int(size, 16)]
        data = rest[int(size, 16) + 2 :]


def read_answer(data, version, reset):
    """Return an answer as a caller of a version of HTTP reads it."""
    head, _, body = data.partition(b"\r\n\r\n")
    received = Received(head, body, not reset)
    if length := received.header(b"content-length"):
        received.whole = len(body) == int(length)
    elif version == "1.1":
        assert received.header(b"transfer-encoding") == b"chunked"
        received.body, received.whole = unchunk(body)
    return received


async def call(port, path, version):
    """Make a call on a connection of its own, and read until it ends."""
    request = (
        f"GET {path} HTTP/{version}\r\nhost: svc.example\r\nx-id: c-1\r\n"
        f"x-key: {KEY.decode()}\r\nconnection: close\r\n\r\n"
    )
    data, reset = b"", False
    async with await anyio.connect_tcp(HOST, port) as stream:
        await stream.send(request.encode())
        try:
            with contextlib.suppress(anyio.EndOfStream):
                while True:
                    data += await stream.receive()
        except anyio.BrokenResourceError:
            reset = True
    return read_answer(data, version, reset)


async def serve_callers(bed, group):
    """Serve the harness's application as a router does; return the port."""
    ports = []
    server = HttpServer(bed.app, HOST, 0, on_ready=ports.append)
    group.start_soon(server.run)
    while not ports:
        await anyio.sleep(0.01)
    await anyio.sleep(0.1)
    return ports[0]


def check(test, parts, *, cut):
    """Run a test of callers whose server sends parts and maybe stops before the end."""

    async def script(arrival, writer):
        writer.write(stream_head(arrival.header("x-id")))
        for data in parts:
            writer.write(chunk(data))
            await writer.drain()
            await anyio.sleep(0.01)  # the caller has read what came
        if not cut:
            writer.write(b"0\r\n\r\n")
        await writer.drain()
        return False

    async def serve(bed):
        for service in ("ledger", "drafting"):
            await bed.serve(f"s-{service}", script, service)
        async with anyio.create_task_group() as group:
            await test(await serve_callers(bed, group))
            group.cancel_scope.cancel()

    run(serve, use_uvloop=True)


@pytest.mark.parametrize("version", ["1.1", "1.0"])
@pytest.mark.parametrize("path", BODIES)
class TestCallersOfBothVersions:
    def test_an_answer_that_breaks_off_is_not_read_as_whole(self, path, version):
        """Guard against a part of an answer whose end looks like that of a whole."""

        async def test(port):
            received = await call(port, path, version)
            if received.status == 200:
                assert not received.whole
                assert b"".join(BODIES[path]).startswith(received.body)
            else:
                assert (received.status, received.whole) == (502, True)

        check(test, BODIES[path], cut=True)

    def test_a_whole_answer_is_read_as_sent(self, path, version):
        """Guard against chunk sizes in the bodies of callers that know no chunks."""

        async def test(port):
            received = await call(port, path, version)
            assert (received.status, received.whole) == (200, True)
            assert received.body == b"".join(BODIES[path])
            assert version == "1.1" or not received.header(b"transfer-encoding")

        check(test, BODIES[path], cut=False)
