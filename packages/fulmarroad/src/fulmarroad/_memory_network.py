"""In-memory streams between routers that tests can delay, hold and cut."""

from __future__ import annotations

import itertools
from collections.abc import Callable
from typing import Any

import anyio
from attrs import define, field

from fulmarroad._codec import decode
from fulmarroad._grpc import CONNECT_TIMEOUT_S, Outbox, PeerHandler, TrafficCount
from fulmarroad._peer_client import PeerAddress
from fulmarroad.exceptions import TransportError
from fulmarroad.types import RouterName

DELAY_S = 0.001
"""Default delay of connections and frames, in seconds."""


@define(eq=False)
class _OpenStream:
    """Hold the endpoints of an open stream and the scope that cancels it."""

    ends: frozenset[RouterName]
    scope: anyio.CancelScope


@define(eq=False)
class MemoryNetwork:
    """Connect the routers of one process by streams that carry encoded frames.

    `cut` breaks the streams between two routers and prevents new ones. `hold` delays
    the frames from and to a router until `release`, like a frozen process. `drop`
    removes a router from the network, like a failed VM.
    """

    delay_s: float = DELAY_S
    _handlers: dict[RouterName, PeerHandler] = field(factory=dict)
    _cuts: set[frozenset[RouterName]] = field(factory=set)
    _held: dict[RouterName, anyio.Event] = field(factory=dict)
    _streams: dict[int, _OpenStream] = field(factory=dict)
    _ids: itertools.count[int] = field(factory=itertools.count)

    def join(self, router: RouterName, handler: PeerHandler) -> None:
        """Make a router reachable through its handler."""
        self._handlers[router] = handler

    def drop(self, router: RouterName) -> None:
        """Remove a router and break its streams."""
        self._handlers.pop(router, None)
        self._break_streams(lambda ends: router in ends)

    def cut(self, one: RouterName, other: RouterName) -> None:
        """Break the streams between two routers and prevent new ones."""
        pair = frozenset((one, other))
        self._cuts.add(pair)
        self._break_streams(lambda ends: ends == pair)

    def heal(self) -> None:
        """Remove every cut."""
        self._cuts.clear()

    def hold(self, router: RouterName) -> None:
        """Delay the frames from and to a router until `release`."""
        self._held.setdefault(router, anyio.Event())

    def release(self, router: RouterName) -> None:
        """Deliver a router's held frames in their order."""
        self._held.pop(router).set()

    def dial(self, me: RouterName) -> Callable[[RouterName, PeerAddress], MemoryStream]:
        """Return the function that opens a router's streams to its peers."""
        return lambda peer, address: MemoryStream(self, me, peer)

    def _break_streams(self, affected: Callable[[frozenset[RouterName]], bool]) -> None:
        for stream in list(self._streams.values()):
            if affected(stream.ends):
                stream.scope.cancel()

    async def _connect(self, me: RouterName, peer: RouterName) -> PeerHandler:
        await anyio.sleep(self.delay_s)
        if frozenset((me, peer)) in self._cuts:
            await anyio.sleep(CONNECT_TIMEOUT_S)
            raise TransportError(f"Router {peer} can't be reached.")
        handler = self._handlers.get(peer)
        if handler is None or me not in self._handlers:
            raise TransportError(f"Router {peer} refused the connection.")
        return handler

    async def _delay_frame(self, me: RouterName, peer: RouterName) -> None:
        await anyio.sleep(self.delay_s)
        for router in (me, peer):
            while router in self._held:
                await self._held[router].wait()


class MemoryStream:
    """Stream from one router to a peer."""

    def __init__(self, network: MemoryNetwork, me: RouterName, peer: RouterName):
        self._network = network
        self._me = me
        self._peer = peer

    async def attach(
        self,
        outbox: Outbox,
        on_message: Callable[[Any], None],
        on_connected: Callable[[], None],
    ) -> None:
        """Exchange messages until the stream ends; raise `TransportError` then."""
        network = self._network
        handler = await network._connect(self._me, self._peer)
        answers = Outbox(TrafficCount())
        handle = handler.on_attached(self._me, answers.put)
        on_connected()
        number = next(network._ids)
        try:
            async with anyio.create_task_group() as group:
                ends = frozenset((self._me, self._peer))
                network._streams[number] = _OpenStream(ends, group.cancel_scope)

                def deliver_to_peer(message: Any) -> None:
                    handler.on_message(self._me, message)

                group.start_soon(
                    self._forward_frames, outbox, deliver_to_peer, group.cancel_scope
                )
                group.start_soon(
                    self._forward_frames, answers, on_message, group.cancel_scope
                )
        finally:
            del network._streams[number]
            handler.on_detached(self._me, handle)
        raise TransportError(f"The stream to router {self._peer} ended.")

    async def close(self) -> None:
        """Do nothing; an in-memory stream holds no connection."""

    async def _forward_frames(
        self,
        outbox: Outbox,
        deliver: Callable[[Any], None],
        scope: anyio.CancelScope,
    ) -> None:
        async for frame in outbox.frames():
            await self._network._delay_frame(self._me, self._peer)
            for message in decode(frame):
                deliver(message)
        scope.cancel()
