"""Single requests to peers, over a bounded set of open connections."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Mapping
from typing import Any

import anyio
from attrs import frozen

from fulmarroad._grpc import PeerChannel, TlsFiles, TrafficCount
from fulmarroad.exceptions import TransportError
from fulmarroad.types import RouterName

MAX_OPEN_CHANNELS = 16
"""Open connections for requests; the least recently used one is closed above this.

A router sends requests only to its key groups, and to a few peers for tables, so that
the number needn't grow with the fleet.
"""


@frozen
class PeerAddress:
    """Hold the host and port on which a peer listens."""

    host: str
    port: int


class PeerClient:
    """Send single requests to peers and own the connections for them."""

    def __init__(
        self,
        me: RouterName,
        addresses: Callable[[], Mapping[RouterName, PeerAddress]],
        traffic: TrafficCount,
        *,
        tls: TlsFiles | None = None,
        cut: Callable[[RouterName], bool] = lambda peer: False,
    ) -> None:
        self._me = me
        self._addresses = addresses
        self._traffic = traffic
        self._tls = tls
        self._cut = cut
        self._channels: OrderedDict[tuple[RouterName, PeerAddress], PeerChannel] = (
            OrderedDict()
        )

    async def ask(
        self, peer: RouterName, message: Any, cls: type, timeout_s: float
    ) -> Any:
        """Return a peer's reply; raise `TransportError` if none arrives in time."""
        address = self._addresses().get(peer)
        if address is None:
            raise TransportError(f"The address of router {peer} is unknown.")
        channel = await self._channel(peer, address)
        return await channel.ask(message, cls, timeout_s)

    async def close(self) -> None:
        """Close every connection."""
        while self._channels:
            _, channel = self._channels.popitem()
            with anyio.CancelScope(shield=True):
                await channel.close()

    async def _channel(self, peer: RouterName, address: PeerAddress) -> PeerChannel:
        key = (peer, address)
        channel = self._channels.get(key)
        if channel is None:
            channel = PeerChannel(
                self._me,
                peer,
                address.host,
                address.port,
                self._traffic,
                tls=self._tls,
                cut=self._cut,
            )
            self._channels[key] = channel
        self._channels.move_to_end(key)
        if len(self._channels) > MAX_OPEN_CHANNELS:
            _, least_recent = self._channels.popitem(last=False)
            await least_recent.close()
        return channel
