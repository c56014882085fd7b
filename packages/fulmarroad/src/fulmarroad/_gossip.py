"""Membership task: the UDP socket, packet authentication, ticks and change streams."""

from __future__ import annotations

import hashlib
import hmac
import logging
import time
from collections.abc import Callable, Collection

import anyio
import anyio.abc
from anyio.streams.memory import MemoryObjectReceiveStream
from attrs import frozen

from fulmarroad._codec import decode, encode
from fulmarroad._datagrams import PacketSocket
from fulmarroad._members import MemberChange
from fulmarroad._messages import MembershipMessage
from fulmarroad._packets import Outgoing
from fulmarroad._swim import TICK_S, Swim
from fulmarroad._vmlist import VmEntry
from fulmarroad.audit import AuditTrail, Subject
from fulmarroad.events import Event, emit
from fulmarroad.exceptions import MessageError
from fulmarroad.metrics import Metrics, NoMetrics
from fulmarroad.types import RouterName

logger = logging.getLogger("fulmarroad.membership")

TAG_BYTES = 16
"""Length of a packet's tag in bytes, half of an HMAC-SHA256.

It is too long to guess by sending packets.
"""

REJECTED_LOG_INTERVAL_S = 10.0
"""Minimum time between two log lines on rejected packets, in seconds.

Anyone who reaches the port can send such packets.
"""

CHANGE_BUFFER_SIZE = 1024
"""Capacity of the stream of changes; the full state of the members is in `Swim`."""


@frozen
class HigherVersionReported:
    """Report that another router has a higher table version in force."""

    version: int
    router: RouterName


class PacketSeal:
    """Authenticate packets with the cluster's secret.

    UDP addresses can be forged: without a tag one packet could declare every router
    dead. A replayed packet changes nothing, as updates are merged by incarnation.
    """

    def __init__(self, secret: bytes) -> None:
        self._secret = secret

    def seal(self, message: MembershipMessage) -> bytes:
        """Return the packet of a message."""
        frame = encode(message)
        return self._tag(frame) + frame

    def open(self, packet: bytes) -> MembershipMessage:
        """Return a packet's message; raise `MessageError` for an invalid packet."""
        tag, frame = packet[:TAG_BYTES], packet[TAG_BYTES:]
        if not hmac.compare_digest(tag, self._tag(frame)):
            raise MessageError("The packet's authentication tag is invalid.")
        messages = decode(frame)
        if len(messages) != 1 or not isinstance(messages[0], MembershipMessage):
            raise MessageError("The packet contains no membership message.")
        return messages[0]

    def _tag(self, frame: bytes) -> bytes:
        digest = hmac.digest(self._secret, b"membership" + frame, hashlib.sha256)
        return digest[:TAG_BYTES]


class Gossip:
    """Run the membership state machine over a UDP socket.

    Member changes and higher table versions are published on two streams. `cut`
    simulates network partitions: packets from and to routers for which it returns true
    are dropped.
    """

    def __init__(
        self,
        swim: Swim,
        secret: bytes,
        *,
        trail: AuditTrail,
        metrics: Metrics | None = None,
        clock: Callable[[], float] = time.monotonic,
        cut: Callable[[RouterName], bool] = lambda router: False,
    ) -> None:
        self._swim = swim
        self._seal = PacketSeal(secret)
        self._trail = trail
        self._metrics = metrics or NoMetrics()
        self._clock = clock
        self._cut = cut
        self._socket: PacketSocket | None = None
        self._rejected = 0
        self._rejected_logged = float("-inf")
        self._version_published = 0
        self._send_change, self._changes = anyio.create_memory_object_stream[
            MemberChange
        ](CHANGE_BUFFER_SIZE)
        self._send_version, self._versions = anyio.create_memory_object_stream[
            HigherVersionReported
        ](1)

    @property
    def swim(self) -> Swim:
        """Return the state machine, for reading only."""
        return self._swim

    @property
    def changes(self) -> MemoryObjectReceiveStream[MemberChange]:
        """Return the stream of changes; it drops new ones while it is full."""
        return self._changes

    @property
    def versions(self) -> MemoryObjectReceiveStream[HigherVersionReported]:
        """Return the stream of higher table versions of other routers; it holds one."""
        return self._versions

    async def run(
        self,
        host: str,
        port: int,
        *,
        task_status: anyio.abc.TaskStatus[int] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        """Receive packets and tick until cancelled; report the bound port at start."""
        with PacketSocket(host, port, self._on_packet, self._on_failure) as packets:
            self._socket = packets
            task_status.started(packets.port)
            try:
                while True:
                    self._publish_and_send(self._swim.tick(self._clock()))
                    await anyio.sleep(TICK_S)
            finally:
                self._socket = None

    async def hint(self, vms: Collection[VmEntry]) -> None:
        """Pass a new VM list to the state machine."""
        self._publish_and_send(self._swim.hint(vms, self._clock()))

    async def announce_version(self, version: int) -> None:
        """Announce the table version that is now in force here to other routers."""
        self._publish_and_send(self._swim.announce_version(version, self._clock()))

    async def probe_now(self, router: RouterName) -> None:
        """Probe a router at once, for example after its link broke."""
        self._publish_and_send(self._swim.probe_now(router, self._clock()))

    async def leave(self) -> None:
        """Announce to other routers that this one is leaving."""
        self._publish_and_send(self._swim.leave(self._clock()))

    def _on_packet(self, packet: bytes, host: str) -> None:
        self._metrics.incr("membership.received_bytes", len(packet))
        try:
            message = self._seal.open(packet)
        except MessageError as error:
            self._reject(error)
            return
        if not self._cut(message.sender):
            self._publish_and_send(self._swim.handle(message, self._clock()))

    def _on_failure(self, error: OSError) -> None:
        self._reject(MessageError(f"Reading from the UDP socket failed: {error!r}."))

    def _reject(self, error: MessageError) -> None:
        self._rejected += 1
        now = self._clock()
        if now - self._rejected_logged < REJECTED_LOG_INTERVAL_S:
            return
        self._rejected_logged = now
        emit(logger, Event.GOSSIP_REJECTED, cause=error.message, packets=self._rejected)
        self._rejected = 0

    def _publish_and_send(self, out: list[Outgoing]) -> None:
        """Publish changes, then send the packets that the state machine returned."""
        for change in self._swim.changes():
            self._publish_change(change)
        self._publish_version()
        for outgoing in out:
            if not self._cut(outgoing.router):
                self._send(outgoing)

    def _send(self, outgoing: Outgoing) -> None:
        packet = self._seal.seal(outgoing.message)
        self._metrics.incr("membership.sent_bytes", len(packet))
        if self._socket is None:
            return
        try:
            self._socket.send(packet, outgoing.host, outgoing.port)
        except (OSError, OverflowError):
            # Treated like a lost packet: its probe stays unanswered.
            self._metrics.incr("membership.send_failed")

    def _publish_change(self, change: MemberChange) -> None:
        before = change.before.value if change.before else "unknown"
        refuted = change.router == self._swim.me.router and change.cause == "refuted"
        event = Event.MEMBER_REFUTED if refuted else Event.MEMBER_CHANGED
        emit(
            logger,
            event,
            router=change.router,
            data_centre=change.data_centre,
            before=before,
            after=change.after.value,
            incarnation=change.incarnation,
            cause=change.cause,
        )
        self._trail.record(
            Subject.MEMBER,
            change.router,
            before=before,
            after=change.after.value,
            cause=change.cause,
        )
        try:
            self._send_change.send_nowait(change)
        except anyio.WouldBlock:
            pass  # a reader that is this far behind takes the members from `Swim`

    def _publish_version(self) -> None:
        version, router = self._swim.highest_reported_version()
        if version <= max(self._version_published, self._swim.table_version):
            return
        try:
            self._send_version.send_nowait(HigherVersionReported(version, router))
            self._version_published = version
        except anyio.WouldBlock:
            pass  # retried after the next packet, once the reader received the last one
