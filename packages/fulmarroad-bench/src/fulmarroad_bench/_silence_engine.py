"""Stand-in for an engine that falls silent, ends or leaves answers stuck."""

from __future__ import annotations

import math
import random
import socket
import time

import anyio
from anyio.abc import SocketAttribute, SocketStream, TaskGroup
from anyio.streams.buffered import BufferedByteReceiveStream
from anyio.streams.stapled import MultiListener
from attrs import define, field

from fulmarroad_bench._silence_forms import Form
from fulmarroad_platform.standin import (
    BUSY_STATUS,
    MISDIRECTED_STATUS,
    StreamRequest,
    read_request,
    refusal_head,
    stream_head,
)

EVENTS = 24
EVENT_INTERVAL_S = 0.06
FIRST_EVENT_S = 0.08
"""Seconds from the request to the first event."""

MAX_HEAD_BYTES = 16 * 1024
LAST_CHUNK = b"0\r\n\r\n"

_CLOSED = (
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    anyio.EndOfStream,
    anyio.IncompleteRead,
)


@define(eq=False)
class Run:
    """Record one run of a request at an engine."""

    request_id: str
    stuck_after: int = EVENTS  # events before the answer stops for good
    whole: bool = False
    closed_at: float | None = None  # the router closed the connection before the end
    engine_lives: bool = True

    @property
    def sound(self) -> bool:
        """Return whether the answer goes on after any silence."""
        return self.engine_lives and self.stuck_after >= EVENTS


@define(eq=False)
class SilentEngine:
    """Serve streams, and send nothing at all during a silence."""

    name: str
    host: str
    port: int
    form: Form
    random: random.Random
    runs: list[Run] = field(factory=list)
    running: int = 0
    _silent_until: float = 0.0
    _accepting: anyio.CancelScope = field(factory=anyio.CancelScope)
    _listener: MultiListener[SocketStream] | None = None
    _fillers: list[socket.socket] = field(factory=list)

    async def serve(self, group: TaskGroup) -> None:
        """Listen and answer until the task group is cancelled."""
        listener = await anyio.create_tcp_listener(
            local_host=self.host, local_port=self.port
        )
        self._listener = listener

        async def accept() -> None:
            # An engine that died goes on listening but accepts nothing.
            with self._accepting:
                await listener.serve(self._serve_connection, group)

        group.start_soon(accept)

    def fall_silent(self, seconds: float) -> None:
        """Send nothing for a time, and go on afterwards where it was."""
        self._silent_until = time.monotonic() + seconds

    def hang(self) -> None:
        """Send nothing any more, as a stopped process whose host accepts."""
        self._silent_until = math.inf
        for run in self.runs:
            run.engine_lives = run.closed_at is not None

    def die(self) -> None:
        """Send nothing any more, and leave new connections without an answer."""
        self.hang()
        self._accepting.cancel()
        self._fill_backlog()

    def _fill_backlog(self) -> None:
        """Make the kernel drop new connections, which then hang."""
        assert self._listener is not None
        self._listener.extra(SocketAttribute.raw_socket).listen(0)
        for _ in range(2):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex((self.host, self.port))
            self._fillers.append(filler)

    async def close(self) -> None:
        """Close the sockets that listen or fill the backlog."""
        for filler in self._fillers:
            filler.close()
        if self._listener is not None:
            await self._listener.aclose()

    async def _serve_connection(self, stream: SocketStream) -> None:
        reader = BufferedByteReceiveStream(stream)
        try:
            async with stream:
                while True:
                    head = await reader.receive_until(b"\r\n\r\n", MAX_HEAD_BYTES)
                    request = read_request(head)
                    if request.body_bytes:
                        await reader.receive_exactly(request.body_bytes)
                    if not await self._answer(stream, reader, request):
                        return
        except _CLOSED:
            return

    async def _answer(
        self,
        stream: SocketStream,
        reader: BufferedByteReceiveStream,
        request: StreamRequest,
    ) -> bool:
        """Answer one request; return whether the connection may be used again."""
        if request.instance != self.name or self.running >= self._slots:
            await self._wait_out_silence(begun=False)
            other = request.instance != self.name
            status = MISDIRECTED_STATUS if other else BUSY_STATUS
            await stream.send(refusal_head(request.id, status))
            return True
        run = Run(request.id, self._choose_end(EVENTS - request.last_event))
        run.engine_lives = self._silent_until != math.inf
        self.runs.append(run)
        self.running += 1
        try:
            async with anyio.create_task_group() as group:
                group.start_soon(self._watch_close, reader, run, group.cancel_scope)
                with anyio.move_on_after(request.deadline_s):
                    await self._send_events(stream, request, run)
                group.cancel_scope.cancel()
        finally:
            self.running -= 1
        return run.whole

    @property
    def _slots(self) -> int:
        return self.form.slots_per_engine

    def _choose_end(self, events: int) -> int:
        """Return how many of an answer's events are sent before it stops for good."""
        if self.random.random() < self.form.stuck:
            return self.random.randrange(max(1, events))
        return EVENTS

    async def _watch_close(
        self, reader: BufferedByteReceiveStream, run: Run, scope: anyio.CancelScope
    ) -> None:
        try:
            await reader.receive()
        except _CLOSED:
            if not run.whole:
                run.closed_at = time.monotonic()
        scope.cancel()

    async def _send_events(
        self, stream: SocketStream, request: StreamRequest, run: Run
    ) -> None:
        await anyio.sleep(FIRST_EVENT_S)
        pending = stream_head(request.id)
        numbers = range(request.last_event + 1, EVENTS + 1)
        try:
            for sent, number in enumerate(numbers):
                if sent >= run.stuck_after:
                    await anyio.sleep_forever()
                await self._wait_out_silence(begun=sent > 0)
                await stream.send(pending + event_chunk(request.id, number))
                pending = b""
                await anyio.sleep(EVENT_INTERVAL_S)
            await self._wait_out_silence(begun=not pending)
            run.whole = True
            await stream.send(pending + LAST_CHUNK)
        except _CLOSED:
            run.whole = False
            run.closed_at = time.monotonic()

    async def _wait_out_silence(self, begun: bool) -> None:
        if begun and self.form.only_before_first:
            return
        while (left := self._silent_until - time.monotonic()) > 0:
            await (anyio.sleep_forever() if left == math.inf else anyio.sleep(left))


def event_bytes(request_id: str, number: int) -> bytes:
    """Return one event of a request's answer."""
    return f"id: {number}\ndata: {request_id}-{number}\n\n".encode()


def event_chunk(request_id: str, number: int) -> bytes:
    """Return one event as a chunk of the body."""
    event = event_bytes(request_id, number)
    return b"%x\r\n%s\r\n" % (len(event), event)


def whole_answer(request_id: str) -> bytes:
    """Return the body of a request's whole answer."""
    return b"".join(event_bytes(request_id, n) for n in range(1, EVENTS + 1))
