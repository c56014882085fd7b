"""Carry what routers send each other on loopback, and cut some of them off.

A router sends to its peers at its own peer port. So each router gets a port of its own,
and a relay listens at every peer's host with the sender's port. It passes packets and
connections on to the peer's own port, with the sender's host as their source.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from contextlib import suppress

import anyio
from anyio.abc import SocketStream, TaskGroup, UDPSocket
from attrs import define, field

RECEIVE_BYTES = 65_536
RETRY_S = 0.02
"""Seconds between two looks at a cut for bytes that wait for its end."""

_CLOSED = (
    OSError,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    anyio.EndOfStream,
)

Pair = tuple[int, int]
"""Numbers of a sender and a receiver."""


@define(eq=False)
class PeerNetwork:
    """Relay packets and connections between routers."""

    hosts: Sequence[str]
    ports: Sequence[int]  # peer port of each router
    _packets: dict[Pair, UDPSocket] = field(factory=dict)
    _isolated: frozenset[int] = frozenset()

    async def serve(self, group: TaskGroup) -> None:
        """Listen and relay until the task group is cancelled."""
        numbers = range(len(self.hosts))
        pairs = [(a, b) for a in numbers for b in numbers if a != b]
        for pair in pairs:
            await self._listen(pair, group)
        for pair in pairs:
            group.start_soon(self._relay_packets, pair)

    def isolate(self, routers: Iterable[int]) -> None:
        """Cut some routers off from all others, but not from each other."""
        self._isolated = frozenset(routers)

    def rejoin(self) -> None:
        """End the cut; bytes of connections that were held back pass now."""
        self._isolated = frozenset()

    def _is_cut(self, pair: Pair) -> bool:
        return len(self._isolated.intersection(pair)) == 1

    async def _listen(self, pair: Pair, group: TaskGroup) -> None:
        sender, receiver = pair
        host, port = self.hosts[receiver], self.ports[sender]
        self._packets[pair] = await anyio.create_udp_socket(
            local_host=host, local_port=port
        )
        listener = await anyio.create_tcp_listener(local_host=host, local_port=port)

        async def relay(stream: SocketStream) -> None:
            await self._relay_connection(stream, pair)

        group.start_soon(listener.serve, relay)

    async def _relay_packets(self, pair: Pair) -> None:
        sender, receiver = pair
        # It has the sender's host, and the port at which the receiver knows peers.
        output = self._packets[receiver, sender]
        async with self._packets[pair] as packets:
            async for data, _ in packets:
                if not self._is_cut(pair):
                    with suppress(OSError):
                        await output.sendto(
                            data, self.hosts[receiver], self.ports[receiver]
                        )

    async def _relay_connection(self, stream: SocketStream, pair: Pair) -> None:
        sender, receiver = pair
        async with stream:
            await self._wait_whole(pair)
            with suppress(*_CLOSED):
                async with (
                    await anyio.connect_tcp(
                        self.hosts[receiver],
                        self.ports[receiver],
                        local_host=self.hosts[sender],
                    ) as onward,
                    anyio.create_task_group() as group,
                ):
                    group.start_soon(self._pump, stream, onward, pair)
                    group.start_soon(self._pump, onward, stream, pair)

    async def _pump(
        self, source: SocketStream, target: SocketStream, pair: Pair
    ) -> None:
        with suppress(*_CLOSED):
            while True:
                data = await source.receive(RECEIVE_BYTES)
                await self._wait_whole(pair)
                await target.send(data)
        # uvloop raises RuntimeError if the other direction has closed the socket.
        with suppress(RuntimeError, *_CLOSED):
            await target.send_eof()

    async def _wait_whole(self, pair: Pair) -> None:
        while self._is_cut(pair):
            await anyio.sleep(RETRY_S)
