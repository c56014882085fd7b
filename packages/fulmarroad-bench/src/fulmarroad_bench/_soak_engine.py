"""Stand-in for a model server whose events name its software version."""

from __future__ import annotations

import time
from collections.abc import Mapping
from contextlib import suppress
from typing import Any

import anyio
from anyio.abc import SocketStream, TaskGroup
from anyio.streams.buffered import BufferedByteReceiveStream
from attrs import define, field

from fulmarroad_platform.standin import (
    BUSY_STATUS,
    MISDIRECTED_STATUS,
    PARTS_PATH,
    REPORT_PATH,
    StreamRequest,
    engine_list,
    engine_report,
    heartbeat,
    json_answer,
    read_request,
    refusal_head,
    server_entry,
    stream_head,
)

EVENTS = 30
EVENT_INTERVAL_S = 0.06
FIRST_EVENT_S = 0.06
"""Seconds from the request to the first event."""

SLOTS = 40
CAPACITY_TOKENS = 1_000_000
MAX_HEAD_BYTES = 16 * 1024
LAST_CHUNK = b"0\r\n\r\n"

_CLOSED = (
    OSError,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    anyio.EndOfStream,
    anyio.IncompleteRead,
)


@define(eq=False)
class VersionedEngine:
    """Serve streams of numbered events."""

    name: str
    host: str
    port: int
    version: str
    started_ms: int = field(factory=lambda: round(time.time() * 1000))
    running: int = 0
    _beats: int = 0
    _parts: dict[str, int] = field(factory=dict)
    _life: anyio.CancelScope = field(factory=anyio.CancelScope)

    @property
    def ended(self) -> bool:
        """Return whether the server has ended."""
        return self._life.cancel_called

    def entry(self) -> dict[str, Any]:
        """Return the server's entry, with one more heartbeat each time."""
        self._beats += 1
        entry = server_entry(self.host, self.port, SLOTS, self.version)
        return heartbeat(entry, self.started_ms, self._beats)

    async def serve(self, group: TaskGroup) -> None:
        """Listen and answer until the server ends or the task group is cancelled."""
        listener = await anyio.create_tcp_listener(
            local_host=self.host, local_port=self.port
        )

        async def accept() -> None:
            with self._life:
                async with listener:
                    await listener.serve(self._serve_connection)

        group.start_soon(accept)

    def end(self) -> None:
        """Close all connections and refuse new ones, as a process that crashed."""
        self._life.cancel()

    async def _serve_connection(self, stream: SocketStream) -> None:
        reader = BufferedByteReceiveStream(stream)
        with suppress(*_CLOSED):
            async with stream:
                while True:
                    head = await reader.receive_until(b"\r\n\r\n", MAX_HEAD_BYTES)
                    request = read_request(head)
                    if request.body_bytes:
                        await reader.receive_exactly(request.body_bytes)
                    await self._answer(stream, request)

    async def _answer(self, stream: SocketStream, request: StreamRequest) -> None:
        about = self._about(request.path)
        if about is not None:
            await stream.send(json_answer(about))
        elif request.instance != self.name:
            await stream.send(refusal_head(request.id, MISDIRECTED_STATUS))
        elif self.running >= SLOTS:
            await stream.send(refusal_head(request.id, BUSY_STATUS))
        else:
            await self._run(stream, request)

    def _about(self, path: str) -> Mapping[str, Any] | None:
        """Return what the server says of itself at a path, None at other paths."""
        if path == PARTS_PATH:
            return engine_list(self._parts)
        if path == REPORT_PATH:
            return engine_report(self.started_ms, CAPACITY_TOKENS)
        return None

    async def _run(self, stream: SocketStream, request: StreamRequest) -> None:
        self.running += 1
        try:
            await anyio.sleep(FIRST_EVENT_S)
            pending = stream_head(request.id)
            for number in range(request.last_event + 1, EVENTS + 1):
                self._parts[request.own_part] = request.own_part_tokens + number
                await stream.send(pending + event_chunk(number, self.version))
                pending = b""
                await anyio.sleep(EVENT_INTERVAL_S)
            await stream.send(pending + LAST_CHUNK)
        finally:
            self.running -= 1


def event_chunk(number: int, version: str) -> bytes:
    """Return one event as a chunk of the body."""
    event = f"id: {number}\ndata: {version}\n\n".encode()
    return b"%x\r\n%s\r\n" % (len(event), event)


def read_events(body: bytes) -> list[tuple[int, str]]:
    """Return the numbers and versions of the complete events of a body."""
    events = []
    for block in body.split(b"\n\n")[:-1]:
        number, version = block.decode().split("\n")
        events.append(
            (int(number.removeprefix("id: ")), version.removeprefix("data: "))
        )
    return events
