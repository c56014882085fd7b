"""Exchange copies of the store with the other routers over TCP."""

from __future__ import annotations

import logging
import random
from collections.abc import Callable
from typing import Any

import anyio
import msgpack
from anyio.abc import SocketStream

from fulmarroad.events import MAX_CAUSE_CHARS, Event, emit
from fulmarroad.exceptions import MessageError, TransportError
from fulmarroad.supervision import continue_on_error
from fulmarroad.types import RouterName
from fulmarroad_serving._positions import Position, era_of, position, revision_of
from fulmarroad_serving._replica import ReplicaDelta, ReplicaItem
from fulmarroad_serving._reports import PeerBook, PeerReport
from fulmarroad_serving._router_state import RouterState
from fulmarroad_serving.decoding import DECODE_ERRORS, read_int

logger = logging.getLogger("fulmarroad.serving")

SECOND_PULL_DELAY_S = 0.6
"""Time after which a second peer is asked, if one still has a newer copy."""

PULL_TIMEOUT_S = 2.4
"""Timeout of a pull.

A pull takes the same number of event loop iterations on a router whose loop is late,
and so more time. With a shorter timeout it would be cancelled and restarted without
ever finishing, and operators would see the router use servers that were removed long
before.
"""

MAX_PULL_BYTES = 8 * 1024 * 1024


class ReplicaSync:
    """Serve this router's copy of the store to peers, and pull changes from theirs."""

    def __init__(
        self,
        host: str,
        port: int,
        beliefs: RouterState,
        book: PeerBook,
        source: random.Random,
        clock: Callable[[], float],
    ) -> None:
        self._host = host
        self._port = port
        self._router_state = beliefs
        self._book = book
        self._random = source
        self._clock = clock
        self._pull_requested = anyio.Event()
        self._pulling_from: set[RouterName] = set()

    @property
    def _era(self) -> int:
        """Return the known era of the store, for messages that state none."""
        return era_of(self._router_state.replica.at)

    def request_pull(self) -> None:
        """Request a pull, as a peer has a newer copy."""
        self._pull_requested.set()

    async def serve(self) -> None:
        """Serve this router's copy to peers until cancelled."""
        listener = await anyio.create_tcp_listener(
            local_host=self._host, local_port=self._port, reuse_port=False
        )
        async with listener:
            await listener.serve(self._serve_peer)

    async def pull_changes(self) -> None:
        """Pull whenever a peer has a newer copy, until cancelled."""
        async with anyio.create_task_group() as group:
            while True:
                await self._pull_requested.wait()
                self._pull_requested = anyio.Event()
                peer = self._choose_newest_peer()
                if peer is None:
                    continue
                ended = anyio.Event()
                group.start_soon(self._pull, peer, ended)
                with anyio.move_on_after(SECOND_PULL_DELAY_S):
                    await ended.wait()

    async def _pull(self, peer: PeerReport, ended: anyio.Event) -> None:
        self._pulling_from.add(peer.router)
        try:
            with continue_on_error("copy of a peer", peer=peer.router):
                await self._pull_from(peer)
        finally:
            self._pulling_from.discard(peer.router)
            ended.set()

    async def _pull_from(self, peer: PeerReport) -> None:
        try:
            with anyio.fail_after(PULL_TIMEOUT_S):
                delta = await self._request_delta(peer.host)
        except (
            OSError,
            TimeoutError,
            MessageError,
            anyio.EndOfStream,
            anyio.BrokenResourceError,
        ) as error:
            emit(
                logger,
                Event.REPLICA_PULL_FAILED,
                peer=peer.router,
                cause=repr(error),
            )
            return
        self._router_state.apply_delta(delta, peer.store_failure_age_s, peer.router)

    def _choose_newest_peer(self) -> PeerReport | None:
        ahead = [
            peer
            for peer in self._book.alive(self._clock())
            if peer.news_at > self._router_state.replica.at
            and peer.router not in self._pulling_from
        ]
        if not ahead:
            return None
        newest = max(peer.news_at for peer in ahead)
        return self._random.choice([row for row in ahead if row.news_at == newest])

    async def _request_delta(self, host: str) -> ReplicaDelta:
        async with await anyio.connect_tcp(host, self._port) as stream:
            await stream.send(_encode_request(self._router_state.replica.at))
            await stream.send_eof()
            return _read_delta(await _read_all(stream), self._era)

    async def _serve_peer(self, stream: SocketStream) -> None:
        async with stream:
            with continue_on_error("copy for a peer"):
                await self._give_copy(stream)

    async def _give_copy(self, stream: SocketStream) -> None:
        try:
            with anyio.fail_after(PULL_TIMEOUT_S):
                asked = _decode_request(await _read_all(stream), self._era)
                delta = self._router_state.replica.since(asked)
                await stream.send(_encode_delta(delta))
                await stream.send_eof()
        except (
            OSError,
            TimeoutError,
            MessageError,
            TransportError,
            anyio.BrokenResourceError,
        ) as error:
            emit(logger, Event.REPLICA_GIVE_FAILED, cause=repr(error))


async def _read_all(stream: SocketStream) -> bytes:
    data = bytearray()
    while True:
        try:
            data += await stream.receive()
        except anyio.EndOfStream:
            return bytes(data)
        except anyio.BrokenResourceError as error:
            raise MessageError("The peer closed the connection early.") from error
        if len(data) > MAX_PULL_BYTES:
            raise MessageError("The peer sent more data than the limit for a copy.")


def _encode_request(at: Position) -> bytes:
    return bytes(msgpack.packb([revision_of(at), era_of(at)]))


def _decode_request(data: bytes, era: int = 0) -> Position:
    try:
        row: list[Any] = msgpack.unpackb(data)
        return position(read_int(row[1]) if len(row) > 1 else era, read_int(row[0]))
    except DECODE_ERRORS as error:
        raise MessageError("The request of the peer cannot be decoded.") from error


def _encode_delta(delta: ReplicaDelta) -> bytes:
    items = [
        [item.key, revision_of(item.revision), item.data, era_of(item.revision)]
        for item in delta.items
    ]
    return bytes(
        msgpack.packb(
            [revision_of(delta.at), delta.is_snapshot, items, era_of(delta.at)]
        )
    )


def _read_delta(data: bytes, era: int = 0) -> ReplicaDelta:
    try:
        row: list[Any] = msgpack.unpackb(data)
        era = read_int(row[3]) if len(row) > 3 else era
        items = tuple(
            item
            for item in (_read_item(raw, era) for raw in row[2])
            if item is not None
        )
        return ReplicaDelta(position(era, read_int(row[0])), bool(row[1]), items)
    except DECODE_ERRORS as error:
        raise MessageError("The copy sent by the peer cannot be decoded.") from error


def _read_item(row: Any, era: int) -> ReplicaItem | None:
    """Return an item of a copy, or None, with a log line, if it can't be read."""
    try:
        key, revision, data, *item_era = row
        at = position(read_int(item_era[0]) if item_era else era, read_int(revision))
        if not isinstance(key, str) or not isinstance(data, bytes | None):
            raise ValueError("An item has a key or data of another type.")
    except DECODE_ERRORS as error:
        emit(
            logger,
            Event.STORE_ITEM_UNUSABLE,
            key="",
            cause=repr(error)[:MAX_CAUSE_CHARS],
            source="peer",
        )
        return None
    return ReplicaItem(key, at, data)
