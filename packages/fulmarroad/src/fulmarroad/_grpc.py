"""gRPC between routers: one stream per pair and direction, and single requests."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import AsyncIterator, Callable
from typing import Any, Protocol

import anyio
import grpc
import grpc.aio
from attrs import define, frozen

from fulmarroad._codec import MAX_MESSAGE_BYTES, decode, decode_one, encode
from fulmarroad._messages import Heartbeat, Lend, Progress, ServiceReport, Started
from fulmarroad.events import Event, emit
from fulmarroad.exceptions import MessageError, TransportError
from fulmarroad.types import RouterName

logger = logging.getLogger("fulmarroad.transport")

SERVICE = "fulmarroad.Peer"
ATTACH = "Attach"
ASK = "Ask"
SENDER_KEY = "fulmarroad-router"

CONNECT_TIMEOUT_S = 1.0
"""Time after which connecting to a peer fails; peers are a few milliseconds apart."""

MAX_QUEUED_MESSAGES = 4096
"""Messages queued for one peer; its stream is closed above this number.

Without a bound, a frozen peer would fill this router's memory. When its stream is
closed, the peer sends a new `Hello` with its whole state.
"""

MAX_BATCH_DELAY_S = 0.1
"""Longest delay of a message for which no caller waits.

It is short compared with the term of a lending (2 s) and the time in which a grant may
be started (1 s).
"""

_DELAYABLE = (Heartbeat, Lend, Progress, ServiceReport, Started)

FRAME_OVERHEAD_BYTES = 5 + 9 + 40
"""Bytes of gRPC prefix, HTTP/2 frame header, and IP and TCP headers of each frame."""

_OPTIONS = [
    ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
    ("grpc.max_send_message_length", MAX_MESSAGE_BYTES),
    ("grpc.enable_retries", 0),
    ("grpc.http2.max_pings_without_data", 0),
    ("grpc.so_reuseport", 0),
    ("grpc.use_local_subchannel_pool", 1),
]


@frozen
class TlsFiles:
    """Hold the PEM texts for mutual TLS between routers."""

    certificate: bytes
    key: bytes
    authority: bytes


@define
class TrafficCount:
    """Count bytes of control traffic, to measure the cost of coordination."""

    sent: int = 0
    received: int = 0

    def count_sent(self, size: int) -> None:
        """Add a sent frame of `size` bytes, with its overhead."""
        self.sent += size + FRAME_OVERHEAD_BYTES

    def count_received(self, size: int) -> None:
        """Add a received frame of `size` bytes, with its overhead."""
        self.received += size + FRAME_OVERHEAD_BYTES


class PeerHandler(Protocol):
    """Handle streams and requests of peers; every method must return at once."""

    def on_attached(self, peer: RouterName, send: Callable[[Any], None]) -> int:
        """Register a peer's stream, to which `send` writes, and return a handle."""

    def on_message(self, peer: RouterName, message: Any) -> None:
        """Handle a message from a peer's stream."""

    def on_detached(self, peer: RouterName, handle: int) -> None:
        """Handle the end of the stream to which `handle` belongs."""

    async def on_request(self, peer: RouterName, message: Any) -> Any:
        """Answer a single request."""


class PeerStream(Protocol):
    """Exchange messages with one peer; `PeerChannel` implements it over gRPC."""

    async def attach(
        self,
        outbox: Outbox,
        on_message: Callable[[Any], None],
        on_connected: Callable[[], None],
    ) -> None:
        """Exchange messages until the stream ends; raise `TransportError` then."""

    async def close(self) -> None:
        """Close the connection."""


class Outbox:
    """Queue messages for one stream and send queued ones together in one frame.

    A frame costs 54 bytes of headers, as much as a small message. A message for which
    no caller waits is delayed by up to `MAX_BATCH_DELAY_S`, so that others can share
    its frame. A message for which a caller waits is sent at once, in one frame with all
    queued messages, which keeps the order.
    """

    def __init__(self, traffic: TrafficCount) -> None:
        self._traffic = traffic
        self._queue: list[Any] = []
        self._wake = anyio.Event()
        self._urgent = False
        self._closed = False

    @property
    def closed(self) -> bool:
        """Return whether the stream accepts no more messages."""
        return self._closed

    def put(self, message: Any) -> None:
        """Queue a message; close the stream if the queue overflows."""
        if self._closed:
            return
        self._queue.append(message)
        self._urgent = self._urgent or not isinstance(message, _DELAYABLE)
        if len(self._queue) > MAX_QUEUED_MESSAGES:
            self._closed = True
            self._queue.clear()
        if self._urgent or self._closed or len(self._queue) == 1:
            self._wake.set()

    def close(self) -> None:
        """Send the queued messages, then end the stream."""
        self._closed = True
        self._wake.set()

    async def frames(self) -> AsyncIterator[bytes]:
        """Yield frames until closed."""
        while True:
            while self._queue:
                await self._wait_for_batch()
                batch, self._queue = self._queue, []
                self._urgent = False
                frame = encode(*batch)
                self._traffic.count_sent(len(frame))
                yield frame
            if self._closed:
                return
            self._wake = anyio.Event()
            if not self._queue:
                await self._wake.wait()

    async def _wait_for_batch(self) -> None:
        """Wait for more messages while none is urgent."""
        if self._urgent or self._closed:
            return
        self._wake = anyio.Event()
        with anyio.move_on_after(MAX_BATCH_DELAY_S):
            await self._wake.wait()


class PeerServer:
    """Listen for streams and requests of other routers."""

    def __init__(
        self,
        handler: PeerHandler,
        traffic: TrafficCount,
        *,
        host: str,
        port: int,
        tls: TlsFiles | None = None,
        cut: Callable[[RouterName], bool] = lambda peer: False,
    ) -> None:
        self._handler = handler
        self._traffic = traffic
        self._address = f"{host}:{port}"
        self._tls = tls
        self._cut = cut
        self.port = port

    async def run(self, ready: Callable[[], None] = lambda: None) -> None:
        """Serve until cancelled."""
        server = grpc.aio.server(options=_OPTIONS)
        handlers = {
            ATTACH: grpc.stream_stream_rpc_method_handler(self._attach),
            ASK: grpc.unary_unary_rpc_method_handler(self._ask),
        }
        server.add_generic_rpc_handlers(
            (grpc.method_handlers_generic_handler(SERVICE, handlers),)
        )
        try:
            self.port = self._bind(server)
        except RuntimeError as error:
            raise TransportError(
                f"The peer port {self._address} can't be bound.",
                hint="Is another router running with the same settings?",
            ) from error
        await server.start()
        ready()
        try:
            await anyio.sleep_forever()
        finally:
            with anyio.CancelScope(shield=True):
                await server.stop(grace=0.2)

    def _bind(self, server: grpc.aio.Server) -> int:
        if self._tls is None:
            return server.add_insecure_port(self._address)
        credentials = grpc.ssl_server_credentials(
            [(self._tls.key, self._tls.certificate)],
            root_certificates=self._tls.authority,
            require_client_auth=True,
        )
        return server.add_secure_port(self._address, credentials)

    async def _attach(
        self, requests: AsyncIterator[bytes], context: grpc.aio.ServicerContext
    ) -> AsyncIterator[bytes]:
        peer = await self._require_peer_name(context)
        outbox = Outbox(self._traffic)
        handle = self._handler.on_attached(peer, outbox.put)
        reader = asyncio.ensure_future(self._read(peer, requests, outbox))
        try:
            async for frame in outbox.frames():
                yield frame
        finally:
            reader.cancel()
            self._handler.on_detached(peer, handle)

    async def _read(
        self, peer: RouterName, requests: AsyncIterator[bytes], outbox: Outbox
    ) -> None:
        try:
            async for frame in requests:
                if self._cut(peer):
                    break
                self._traffic.count_received(len(frame))
                for message in decode(frame):
                    self._handler.on_message(peer, message)
        except MessageError as error:
            emit(logger, Event.PEER_REJECTED, peer=peer, cause=str(error))
        finally:
            outbox.close()

    async def _ask(self, request: bytes, context: grpc.aio.ServicerContext) -> bytes:
        peer = await self._require_peer_name(context)
        self._traffic.count_received(len(request))
        try:
            (message,) = decode(request)
        except (MessageError, ValueError) as error:
            emit(logger, Event.PEER_REJECTED, peer=peer, cause=str(error))
            await context.abort(grpc.StatusCode.INVALID_ARGUMENT, str(error))
        answer = encode(await self._handler.on_request(peer, message))
        self._traffic.count_sent(len(answer))
        return answer

    async def _require_peer_name(self, context: grpc.aio.ServicerContext) -> RouterName:
        metadata = dict(context.invocation_metadata() or ())
        peer = str(metadata.get(SENDER_KEY, ""))
        if not peer:
            await context.abort(grpc.StatusCode.UNAUTHENTICATED, "no router name")
        if self._cut(peer):
            await context.abort(grpc.StatusCode.UNAVAILABLE, "cut by bench settings")
        return peer


class PeerChannel:
    """Own the connection to one peer."""

    def __init__(
        self,
        me: RouterName,
        peer: RouterName,
        host: str,
        port: int,
        traffic: TrafficCount,
        *,
        tls: TlsFiles | None = None,
        cut: Callable[[RouterName], bool] = lambda peer: False,
    ) -> None:
        self._peer = peer
        self._traffic = traffic
        self._cut = cut
        self._metadata = ((SENDER_KEY, me),)
        address = f"{host}:{port}"
        options = [*_OPTIONS, ("grpc.initial_reconnect_backoff_ms", 200)]
        if tls is None:
            self._channel = grpc.aio.insecure_channel(address, options=options)
        else:
            credentials = grpc.ssl_channel_credentials(
                tls.authority, tls.key, tls.certificate
            )
            self._channel = grpc.aio.secure_channel(address, credentials, options)
        self._attach = self._channel.stream_stream(f"/{SERVICE}/{ATTACH}")
        self._ask = self._channel.unary_unary(f"/{SERVICE}/{ASK}")

    async def ask(self, message: Any, cls: type, timeout_s: float) -> Any:
        """Return the peer's reply; raise `TransportError` if none arrives in time."""
        self._raise_if_cut()
        request = encode(message)
        self._traffic.count_sent(len(request))
        try:
            answer = await self._ask(
                request, timeout=timeout_s, metadata=self._metadata
            )
        except grpc.aio.AioRpcError as error:
            raise TransportError(
                f"The request to router {self._peer} failed: {error.code().name}."
            ) from error
        self._traffic.count_received(len(answer))
        try:
            return decode_one(answer, cls)
        except MessageError as error:
            raise TransportError(
                f"Router {self._peer} sent an invalid reply."
            ) from error

    async def attach(
        self,
        outbox: Outbox,
        on_message: Callable[[Any], None],
        on_connected: Callable[[], None],
    ) -> None:
        """Exchange messages until the stream ends; raise `TransportError` then."""
        self._raise_if_cut()
        try:
            with anyio.fail_after(CONNECT_TIMEOUT_S):
                await self._channel.channel_ready()
            call = self._attach(outbox.frames(), metadata=self._metadata)
            on_connected()
            async for frame in call:
                self._raise_if_cut()
                self._traffic.count_received(len(frame))
                for message in decode(frame):
                    on_message(message)
        except TimeoutError as error:
            raise TransportError(f"Router {self._peer} can't be reached.") from error
        except grpc.aio.AioRpcError as error:
            raise TransportError(
                f"The stream to router {self._peer} failed: {error.code().name}."
            ) from error
        except MessageError as error:
            emit(logger, Event.PEER_REJECTED, peer=self._peer, cause=str(error))
            raise TransportError(
                f"Router {self._peer} sent an invalid message."
            ) from error
        raise TransportError(f"Router {self._peer} ended the stream.")

    async def close(self) -> None:
        """Close the connection."""
        await self._channel.close()

    def _raise_if_cut(self) -> None:
        if self._cut(self._peer):
            raise TransportError(
                f"The connection to {self._peer} is cut by bench settings."
            )
