"""An HTTP server on uvloop whose callers are plain sockets, with a scripted app."""

import contextlib
import socket
import struct

import anyio
from attrs import define, field

from fulmarroad_router.connection_ends import connection_end
from fulmarroad_router.http_server import HttpServer

HOST = "127.0.0.1"
IDLE_TIMEOUT_S = 1
REQUEST = b"POST /%s HTTP/1.1\r\nhost: x\r\ncontent-length: 2\r\n\r\nok"


@define
class ScriptedApp:
    """Answer each path after a time, and record which calls began and which ended.

    `/wait` answers after `delay_s`, `/close` says that the connection closes, and
    `/stream` sends a chunk each `delay_s`.
    """

    delay_s: float = 0.3
    begun: list = field(factory=list)
    abandoned: dict = field(factory=dict)  # path -> cause

    async def __call__(self, scope, receive, send):
        path = scope["path"][1:]
        self.begun.append(path)
        while True:
            message = await receive()
            if message["type"] == "http.disconnect":
                self.abandoned[path] = connection_end(scope).cause
                return
            if not message["more_body"]:
                break
        async with anyio.create_task_group() as group:
            group.start_soon(self._watch, path, scope, receive, group)
            await self._answer(path, send)
            group.cancel_scope.cancel()

    async def _watch(self, path, scope, receive, group):
        while (await receive())["type"] != "http.disconnect":
            pass
        self.abandoned[path] = connection_end(scope).cause
        group.cancel_scope.cancel()

    async def _answer(self, path, send):
        headers = [(b"connection", b"close")] if path.startswith("close") else []
        body = path.encode()
        parts = [body] * 30 if path.startswith("stream") else [body]
        await anyio.sleep(self.delay_s)
        if len(parts) == 1:
            headers.append((b"content-length", b"%d" % len(body)))
        start = {"type": "http.response.start", "status": 200, "headers": headers}
        await send(start)
        for part in parts[1:]:
            await anyio.sleep(self.delay_s)
            await send({"type": "http.response.body", "body": part, "more_body": True})
        await send({"type": "http.response.body", "body": body})


class CallerSocket:
    """One connection of a caller."""

    def __init__(self, port):
        self.raw = socket.create_connection((HOST, port))
        self.raw.setblocking(False)
        self.received = b""

    def send(self, *paths):
        self.raw.sendall(b"".join(REQUEST % path.encode() for path in paths))

    def end_sending(self):
        self.raw.shutdown(socket.SHUT_WR)

    def reset(self):
        self.raw.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
        )
        self.raw.close()

    async def read_for(self, seconds):
        """Return all bytes until the router closes the connection, or time is up."""
        with anyio.move_on_after(seconds), contextlib.suppress(ConnectionResetError):
            while True:
                await anyio.wait_readable(self.raw)
                data = self.raw.recv(65_536)
                if not data:
                    break
                self.received += data
        return self.received

    @property
    def bodies(self):
        """Return the bodies of whole answers with a length, in order."""
        found, rest = [], self.received
        while b"\r\n\r\n" in rest:
            head, _, rest = rest.partition(b"\r\n\r\n")
            if head.startswith(b"HTTP/1.1 1"):
                continue
            rows = [line.partition(b": ") for line in head.split(b"\r\n")[1:]]
            length = int({name: value for name, _, value in rows}[b"content-length"])
            if len(rest) >= length:
                found.append(rest[:length].decode())
            rest = rest[length:]
        return found


async def relay(listener, port, group):
    """Relay one connection as a proxy does, with half-closes in both directions."""

    async def pass_on(source, target):
        with contextlib.suppress(anyio.EndOfStream, OSError):
            async for data in source:
                await target.send(data)
        with contextlib.suppress(OSError):
            await target.send_eof()

    async def connected(caller):
        async with caller, await anyio.connect_tcp(HOST, port) as server:
            try:
                async with anyio.create_task_group() as both:
                    both.start_soon(pass_on, caller, server)
                    both.start_soon(pass_on, server, caller)
            except* anyio.BrokenResourceError:
                pass

    group.start_soon(listener.serve, connected)


@define
class Bed:
    """A server with its app."""

    app: ScriptedApp
    server: HttpServer
    port: int

    def caller(self):
        return CallerSocket(self.port)

    async def caller_behind_proxy(self, group):
        listener = await anyio.create_tcp_listener(local_host=HOST)
        await relay(listener, self.port, group)
        return CallerSocket(listener.extra(anyio.abc.SocketAttribute.local_port))


def run(test, **options):
    """Run a test on uvloop, as in production."""

    async def run_test():
        app = ScriptedApp(**options)
        ports = []
        bound = anyio.Event()

        def on_ready(port):
            ports.append(port)
            bound.set()

        server = HttpServer(
            app, HOST, 0, idle_timeout_s=IDLE_TIMEOUT_S, on_ready=on_ready
        )
        async with anyio.create_task_group() as group:
            group.start_soon(server.run)
            await bound.wait()
            await anyio.sleep(0.1)
            with anyio.fail_after(10):
                await test(Bed(app, server, ports[0]))
            group.cancel_scope.cancel()

    anyio.run(run_test, backend_options={"use_uvloop": True})
