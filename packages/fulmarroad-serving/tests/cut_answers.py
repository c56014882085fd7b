"""Answers by the state in which each of their bytes leaves their reader."""

import asyncio
import enum

from attrs import define, field, frozen
from serving_bed import event

from fulmarroad_serving import Instance
from fulmarroad_serving._connection import BackendConnection
from fulmarroad_serving.contracts import InstanceFact
from fulmarroad_serving.exceptions import ConnectionRefusedByHostError

EVENTS = (event(1), event(2))
REQUEST_ID = "c-1"
SIGNED = f"x-signed: s\r\nx-id: {REQUEST_ID}\r\n".encode()


class State(enum.Enum):
    """What the reader of an answer waits for."""

    HEAD_BEFORE = "the rest of a head or an answer that isn't the call's"
    HEAD = "the rest of the call's head"
    DATA = "the rest of a body with a length, or of a chunk"
    SIZE = "the rest of a chunk's size"
    TRAILERS = "the rest of the trailers"
    UNTIL_CLOSE = "the end of the connection"
    NOTHING = "nothing more"

    @property
    def has_head(self):
        return self not in (State.HEAD_BEFORE, State.HEAD)


@frozen
class Part:
    """Bytes of an answer, and what is waited for until the last of them has come."""

    data: bytes
    state: State
    body: bytes = b""  # what its data adds to the body


@frozen
class Cut:
    """The bytes of an answer that came before its connection ended."""

    data: bytes
    state: State
    body: bytes
    is_at_border: bool = False  # at most one byte from the end of a part


def head(*lines):
    return b"HTTP/1.1 200 OK\r\n" + SIGNED + b"".join(lines) + b"\r\n"


def early_hints(status=103):
    data = b"HTTP/1.1 %d E\r\nlink: a\r\n\r\n" % status
    return Part(data, State.HEAD_BEFORE)


def late(framing, body):
    data = b"HTTP/1.1 200 OK\r\nx-signed: s\r\nx-id: c-0\r\n%s\r\n%s"
    return Part(data % (framing, body), State.HEAD_BEFORE)


def with_length(*events):
    body = b"".join(events)
    yield Part(head(b"content-length: %d\r\n" % len(body)), State.HEAD)
    yield Part(body, State.DATA, body)


def chunked(*events, trailers=b""):
    yield Part(head(b"transfer-encoding: chunked\r\n"), State.HEAD)
    for data in events:
        yield Part(b"%x;a=b\r\n" % len(data), State.SIZE)
        yield Part(data, State.DATA, data)
        yield Part(b"\r\n", State.SIZE)
    yield Part(b"0\r\n", State.SIZE)
    yield Part(trailers + b"\r\n", State.TRAILERS)


def with_trailers(*events):
    return chunked(*events, trailers=b"x-sum: 1\r\nx-id: c-9\r\n")


def undelimited(*events):
    yield Part(head(), State.HEAD)
    body = b"".join(events)
    yield Part(body, State.UNTIL_CLOSE, body)


FRAMINGS = {
    "length": with_length,
    "chunked": chunked,
    "trailers": with_trailers,
    "undelimited": undelimited,
}

LATE_LENGTH = late(b"content-length: 4\r\n", b"late")
LATE_CHUNKED = late(b"transfer-encoding: chunked\r\n", b"4\r\nlate\r\n0\r\n\r\n")
LATE_UNDELIMITED = late(b"", b"late")

BEFORE = {
    "nothing": (),
    "103": (early_hints(),),
    "102, 103": (early_hints(102), early_hints()),
    "late": (LATE_LENGTH,),
    "late chunked": (LATE_CHUNKED,),
    "103, late": (early_hints(), LATE_LENGTH),
    "late, 103": (LATE_CHUNKED, early_hints()),
}


def cuts(parts):
    """Yield each cut of an answer, up to all of it."""
    data = body = b""
    for part in parts:
        last = len(part.data) - 1
        for end in range(len(part.data)):
            cut_data, cut_body = data + part.data[:end], body + part.body[:end]
            yield Cut(cut_data, part.state, cut_body, end in (0, 1, last))
        data, body = data + part.data, body + part.body
        state = part.state
    ended = State.NOTHING
    if state in (State.UNTIL_CLOSE, State.HEAD_BEFORE):
        ended = state  # the last bytes don't end it
    yield Cut(data, ended, body, is_at_border=True)


class Ending(enum.Enum):
    """How the server's side of a connection ends."""

    CLOSE = "by FIN"
    RESET = "by a reset"
    CRASH = "by the FIN of a process that has ended"

    def end(self, connection):
        """Tell a connection of its end, as asyncio's transport does."""
        if self is Ending.RESET:
            connection.connection_lost(ConnectionResetError("reset"))
        else:
            connection.eof_received()
            connection.connection_lost(None)


@define(eq=False)
class Transport:
    """Transport without a socket; `on_write` is called with each request."""

    on_write: object = lambda data: None
    closing: bool = False
    paused: bool = False
    requests: list = field(factory=list)

    def get_extra_info(self, name):
        return None

    def is_closing(self):
        return self.closing

    def get_write_buffer_size(self):
        return 0

    def pause_reading(self):
        self.paused = True

    def resume_reading(self):
        self.paused = False

    def abort(self):
        self.closing = True

    def write(self, data):
        self.requests.append(data)
        self.on_write(data)


def open_connection(on_closed=lambda mode: None):
    """Return a connection over a transport without a socket."""
    connection = BackendConnection(on_closed)
    connection.connection_made(Transport())
    return connection


class CutServer:
    """A server whose answer is cut, and a sound one beside it, without sockets."""

    def __init__(self, bed, cut, ending, service):
        self.bed, self.cut, self.ending = bed, cut, ending
        self.asked = []  # servers, in order
        self.modes = []  # of closed connections
        self._connections = []
        self._ended = False
        bed.pool._connect = self._connect
        bed.pool._on_closed = self.modes.append
        self._start("cut", service, 1)
        self._start_sound = lambda: self._start("sound", service, 2)

    @property
    def is_reused(self):
        """Return whether a connection with a cut answer is kept for other calls."""
        return any(connection.reusable for connection in self._connections)

    @property
    def charged_crashes(self):
        """Return the number of crashes that count against the call's request."""
        records = self.bed.dispatcher.suspects._records.values()
        return max((record.count() for record in records), default=0)

    def _start(self, name, service, port):
        instance = Instance(name, service, "h", port, "fes", 8, version="v1")
        self.bed.apply_fact(InstanceFact(instance))

    async def _connect(self, instance):
        if instance.id == "cut" and self._ended:
            raise ConnectionRefusedByHostError("refused")
        connection = self.bed.pool.new_connection()
        loop = asyncio.get_running_loop()

        def answer(request):
            self.asked.append(instance.id)
            if instance.id == "cut":
                loop.call_soon(self._answer_cut, connection)
            else:
                loop.call_soon(self._answer, connection, request)

        connection.connection_made(Transport(answer))
        return connection

    def _answer_cut(self, connection):
        self._connections.append(connection)
        self._ended = self.ending is Ending.CRASH
        self._start_sound()
        if self.cut.data:
            connection.data_received(self.cut.data)
        self.ending.end(connection)

    def _answer(self, connection, request):
        _, _, rest = request.partition(b"last-event-id: ")
        after = int(rest.partition(b"\r\n")[0] or 0)
        for part in with_length(*EVENTS[after:]):
            connection.data_received(part.data)
