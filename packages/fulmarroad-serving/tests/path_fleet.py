"""A fleet in virtual time before servers behind links that are cut and lose packets.

Each connection is modelled at both ends: the router's kernel keeps bytes until they
arrive and sends them again after doubled pauses, also after the socket was closed, and
acts upon the socket options that the router set. Arrivals are judged as they come.
"""

import asyncio
import itertools
import socket
import struct

import anyio
from attrs import define, evolve, field
from serving_bed import KEY, ONCE, PLAIN, SHORT, answer, make_catalog
from stream_callers import DEADLINE_S
from stream_fleet import (
    CENTRES,
    LONG_STREAM,
    NETWORK_S,
    STORE_S,
    EngineConnection,
    FleetRouter,
    StreamFleet,
)

from fulmarroad_serving._pool import CONNECT_TIMEOUT_S
from fulmarroad_serving.exceptions import ConnectionRefusedByHostError, NotSentError

RETRANSMISSION_S = (0.2, 0.5)
"""Range of the first retransmission timeout, which grows with the path's jitter."""

PLAIN_WORK_S = 0.03
DRAIN_TIMEOUT_S = 2.0
"""Time after a router knew that a server leaves in which requests may reach it."""

IN_FLIGHT_S = 3 * NETWORK_S
"""Time for which a packet that has left may still arrive."""

ROUTES = (
    evolve(PLAIN, timeout_s=1.2),
    evolve(ONCE, timeout_s=1.2),
    LONG_STREAM,
    evolve(SHORT, timeout_s=DEADLINE_S),
)


class ModelSocket:
    """Hold the options that a kernel acts upon."""

    def __init__(self):
        self._options = {}

    def setsockopt(self, level, name, value):
        self._options[level, name] = value

    def getsockopt(self, level, name, size, /):
        return bytes(size)

    def fileno(self):
        return -1

    @property
    def resets_on_close(self):
        linger = self._options.get((socket.SOL_SOCKET, socket.SO_LINGER), bytes(8))
        is_on, seconds = struct.unpack("ii", linger)
        return bool(is_on) and seconds == 0

    @property
    def user_timeout_s(self):
        name = (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)
        return self._options.get(name, 0) / 1000 or float("inf")


class Lane:
    """Send items over a link in one direction until they have arrived, in order."""

    def __init__(self, fleet, passes, arrive, limit_s=lambda: float("inf"), end=None):
        self._group, self._passes, self._arrive = fleet.group, passes, arrive
        self._limit_s, self._end = limit_s, end
        self._timeout_s = fleet.source.uniform(*fleet.retransmission_s)
        self.items = []
        self._runs = False

    def put(self, item):
        self.items.append(item)
        if not self._runs:
            self._runs = True
            self._group.start_soon(self._run)

    async def _run(self):
        pause_s = self._timeout_s
        stalled_at = anyio.current_time()
        while self.items:
            if self._passes():
                await anyio.sleep(NETWORK_S)
                if self.items:
                    self._arrive(self.items.pop(0))
                pause_s = self._timeout_s
                stalled_at = anyio.current_time()
                continue
            end_at = stalled_at + self._limit_s()
            await anyio.sleep_until(min(anyio.current_time() + pause_s, end_at))
            pause_s *= 2
            if anyio.current_time() >= end_at:
                self.items.clear()
                self._end()
        self._runs = False


class PathConnection(EngineConnection):
    """One connection over a link: its transport and kernel, and the server's side."""

    def __init__(self, fleet, engine, router):
        self.router = router
        self.socket = ModelSocket()
        self.closing = self.socket_closed = False
        limit_s = self.unacked_limit_s
        self.requests = Lane(fleet, self.passes, self.arrive, limit_s, self.time_out)
        self.answers = Lane(fleet, self.passes, self.deliver)
        super().__init__(fleet, engine)

    def make_protocol(self):
        return self.router.pool.new_connection()

    def passes(self):
        return self.fleet.passes(self.router, self.engine)

    # what the router's side calls

    def get_extra_info(self, name):
        return self.socket if name == "socket" else None

    def is_closing(self):
        return self.closing

    def write(self, data):
        if not self.closing:
            self.requests.put(data)

    def abort(self):
        if not self.closing:
            self.closing = True
            asyncio.get_running_loop().call_soon(self.lose, None)

    # the router's kernel

    def lose(self, error):
        if not self.socket_closed:
            self.closing = True
            self.protocol.connection_lost(error)
            self.close_socket()

    def close_socket(self):
        """Close as the kernel does, also for a process that was killed."""
        if self.socket_closed:
            return
        self.closing = self.socket_closed = True
        if self.socket.resets_on_close:
            self.requests.items.clear()
            if self.passes():
                self.end_at_server()
        else:
            self.requests.put(None)

    def unacked_limit_s(self):
        return float("inf") if self.socket_closed else self.socket.user_timeout_s

    def time_out(self):
        self.closing = self.socket_closed = True
        self.protocol.connection_lost(TimeoutError("not acknowledged"))

    def holds(self, request_id):
        mark = f"x-id: {request_id}\r\n".encode()
        return any(item is not None and mark in item for item in self.requests.items)

    # the server's side

    def arrive(self, item):
        if not self.engine.up:
            self.requests.items.clear()
            self.lose(ConnectionResetError("the server has ended"))
        elif item is None:
            self.end_at_server()
        else:
            head = item.partition(b"\r\n\r\n")[0].decode()
            request_id = head.partition("x-id: ")[2].split("\r\n")[0]
            self.fleet.note_arrival(self, request_id)
            super().write(item)

    def end_at_server(self):
        if self.scope is not None:
            self.scope.cancel()
        if self in self.engine.connections:
            self.engine.connections.remove(self)

    def end(self):
        """Let the server's process end."""
        if self.scope is not None:
            self.scope.cancel()
        self.answers.items.clear()
        if self.passes():
            asyncio.get_running_loop().call_soon(
                self.lose, ConnectionResetError("the server has ended")
            )

    async def stream(self, headers):
        if self.engine.service == "ledger":
            await anyio.sleep(PLAIN_WORK_S)
            self.send(answer(200, b"done", headers["x-id"]))
        else:
            await super().stream(headers)

    def send(self, data):
        if self in self.engine.connections:
            self.answers.put(data)

    def deliver(self, data):
        if self.socket_closed:
            self.answers.items.clear()
            self.end_at_server()
        elif not self.closing:
            self.protocol.data_received(data)


class PathRouter(FleetRouter):
    """A router whose connections go over links."""

    def __init__(self, *arguments):
        self.connections = []
        super().__init__(*arguments)

    async def connect(self, instance):
        engine = self.fleet.at_port(instance.port)
        if not self.fleet.passes(self, engine):
            await anyio.sleep(CONNECT_TIMEOUT_S)
            raise NotSentError("no answer to the first packet")
        await anyio.sleep(NETWORK_S)
        if engine is None:
            raise ConnectionRefusedByHostError("refused")
        connection = PathConnection(self.fleet, engine, self)
        self.connections.append(connection)
        return connection.protocol

    def kill(self):
        for connection in self.connections:
            connection.close_socket()
        super().kill()


@define
class Cut:
    """A link between two data centres that passes nothing until a time."""

    ends: frozenset
    until: float


@define
class Arrivals:
    """Count what reached servers, and what must not have."""

    total: int = 0
    after_their_end: list = field(factory=list)
    at_left_servers: list = field(factory=list)
    while_held_elsewhere: list = field(factory=list)


class PathFleet(StreamFleet):
    """Routers, links that are cut, and servers of two services."""

    router_type = PathRouter
    retransmission_s = RETRANSMISSION_S

    def __init__(self, source, **more):
        super().__init__(**more)
        self.source = source
        self.catalog = make_catalog(routes=ROUTES)
        self.cuts = []
        self.lost_fraction = 0.0
        self.arrivals = Arrivals()
        self.calls = 0
        self.answered = 0
        self.given_up_in_the_path = 0
        self.drained_at = {}
        self._ended_at = {}
        self._ids = itertools.count(1)

    # links

    def cut_link(self, first, second, for_s):
        until = anyio.current_time() + for_s
        self.cuts.append(Cut(frozenset((first, second)), until))

    def passes(self, router, engine):
        if engine is None:
            return True
        now = anyio.current_time()
        centre = CENTRES[engine.port % len(CENTRES)]
        ends = frozenset((router.centre, centre))
        if any(row.ends == ends and now < row.until for row in self.cuts):
            return False
        return self.source.random() >= self.lost_fraction

    # servers

    def drain(self, name):
        self.drained_at[name] = anyio.current_time()
        super().drain(name)

    def note_arrival(self, connection, request_id):
        now = anyio.current_time()
        found, name = self.arrivals, connection.engine.name
        found.total += 1
        row = (round(now, 3), request_id, connection.router.name, name)
        if now > self._ended_at.get(request_id, now) + IN_FLIGHT_S:
            found.after_their_end.append(row)
        known_at = self.drained_at.get(name, now) + STORE_S
        if now > known_at + DRAIN_TIMEOUT_S:
            found.at_left_servers.append(row)
        for router in self.routers.values():
            for other in router.connections:
                if other is not connection and other.holds(request_id):
                    found.while_held_elsewhere.append(row)

    # callers

    async def call(self, path, leaves_after_s=None):
        request_id = f"c-{next(self._ids)}"
        router = self.pick(self.calls, 0)
        self.calls += 1
        headers = [(b"host", b"svc.example"), (b"x-id", request_id.encode())]
        headers += [(b"x-key", KEY), (b"x-part", b"part-%d" % (self.calls % 7))]
        scope = {
            "type": "http",
            "method": "POST",
            "path": path,
            "raw_path": path.encode(),
            "query_string": b"",
            "headers": headers,
        }
        messages = [{"type": "http.request", "body": b"p", "more_body": False}]
        status = 0

        async def receive():
            if messages:
                return messages.pop()
            await anyio.sleep(
                float("inf") if leaves_after_s is None else leaves_after_s
            )
            return {"type": "http.disconnect"}

        async def send(message):
            nonlocal status
            if message["type"] == "http.response.start":
                status = message["status"]

        with router.scope():
            try:
                await router.app(scope, receive, send)
            except Exception:
                status = 0  # the answer broke off
            finally:
                self._ended_at[request_id] = anyio.current_time()
                held = any(row.holds(request_id) for row in router.connections)
                self.given_up_in_the_path += held
        self.answered += status == 200
