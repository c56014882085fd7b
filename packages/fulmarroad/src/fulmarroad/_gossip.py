"""The membership's task: one UDP socket, authentication, ticks and changes."""

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
"""Bytes of the HMAC-SHA256 kept: half of it, too many to guess by sending packets."""

REJECTED_LOG_S = 10.0
"""Least time between two log lines on rejected packets, which anyone can send."""

CHANGES_KEPT = 1024
"""Changes that wait for their reader; it finds the members themselves in `Swim`."""


@frozen
class HigherVersionReported:
    """Say that another router has a higher table version in force."""

    version: int
    router: RouterName


class PacketSeal:
    """Authenticate packets with the cluster's secret.

    UDP addresses can be forged: without a tag one packet could declare every router
    dead. An old packet that somebody sends again says nothing new, as news are merged
    by incarnation.
    """

    def __init__(self, secret: bytes) -> None:
        self._secret = secret

    def seal(self, message: MembershipMessage) -> bytes:
        """Return the packet of a message."""
        frame = encode(message)
        return self._tag(frame) + frame

    def open(self, packet: bytes) -> MembershipMessage:
        """Return a packet's message; raise `MessageError` if it is not ours."""
        tag, frame = packet[:TAG_BYTES], packet[TAG_BYTES:]
        if not hmac.compare_digest(tag, self._tag(frame)):
            raise MessageError("A packet does not carry the cluster's tag.")
        messages = decode(frame)
        if len(messages) != 1 or not isinstance(messages[0], MembershipMessage):
            raise MessageError("A packet holds no membership message.")
        return messages[0]

    def _tag(self, frame: bytes) -> bytes:
        digest = hmac.digest(self._secret, b"membership" + frame, hashlib.sha256)
        return digest[:TAG_BYTES]


class Gossip:
    """Own the socket and the state machine; others call in and read two streams.

    `cut` is for experiments that split the fleet: packets from and to the routers for
    which it is true are dropped.
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
        self._version_told = 0
        self._send_change, self._changes = anyio.create_memory_object_stream[
            MemberChange
        ](CHANGES_KEPT)
        self._send_version, self._versions = anyio.create_memory_object_stream[
            HigherVersionReported
        ](1)

    @property
    def swim(self) -> Swim:
        """Return the state machine, to be read and not called into."""
        return self._swim

    @property
    def changes(self) -> MemoryObjectReceiveStream[MemberChange]:
        """Return the stream of changes; when it is full the newest are left out."""
        return self._changes

    @property
    def versions(self) -> MemoryObjectReceiveStream[HigherVersionReported]:
        """Return the stream of higher table versions heard; it holds one."""
        return self._versions

    async def run(
        self,
        host: str,
        port: int,
        *,
        task_status: anyio.abc.TaskStatus[int] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        """Receive and tick until cancelled; start with the port that was bound."""
        with PacketSocket(host, port, self._on_packet, self._on_failure) as packets:
            self._socket = packets
            task_status.started(packets.port)
            try:
                while True:
                    self._act(self._swim.tick(self._clock()))
                    await anyio.sleep(TICK_S)
            finally:
                self._socket = None

    async def hint(self, vms: Collection[VmEntry]) -> None:
        """Pass a new VM list on."""
        self._act(self._swim.hint(vms, self._clock()))

    async def announce_version(self, version: int) -> None:
        """Tell others of the table version that is now in force here."""
        self._act(self._swim.announce_version(version, self._clock()))

    async def probe_now(self, router: RouterName) -> None:
        """Probe a router at once, as when a link to it broke."""
        self._act(self._swim.probe_now(router, self._clock()))

    async def leave(self) -> None:
        """Tell others that this router goes."""
        self._act(self._swim.leave(self._clock()))

    def _on_packet(self, packet: bytes, host: str) -> None:
        self._metrics.incr("membership.received_bytes", len(packet))
        try:
            message = self._seal.open(packet)
        except MessageError as error:
            self._reject(error)
            return
        if not self._cut(message.sender):
            self._act(self._swim.handle(message, self._clock()))

    def _on_failure(self, error: OSError) -> None:
        self._reject(MessageError(f"A packet can't be read: {error!r}."))

    def _reject(self, error: MessageError) -> None:
        self._rejected += 1
        now = self._clock()
        if now - self._rejected_logged < REJECTED_LOG_S:
            return
        self._rejected_logged = now
        emit(logger, Event.GOSSIP_REJECTED, cause=error.message, packets=self._rejected)
        self._rejected = 0

    def _act(self, out: list[Outgoing]) -> None:
        """Tell what changed, then send what the state machine asks for."""
        for change in self._swim.changes():
            self._tell(change)
        self._tell_version()
        for row in out:
            if not self._cut(row.router):
                self._send(row)

    def _send(self, row: Outgoing) -> None:
        packet = self._seal.seal(row.message)
        self._metrics.incr("membership.sent_bytes", len(packet))
        if self._socket is None:
            return
        try:
            self._socket.send(packet, row.host, row.port)
        except (OSError, OverflowError):
            # As good as a lost packet: the probe that it carried goes unanswered.
            self._metrics.incr("membership.send_failed")

    def _tell(self, change: MemberChange) -> None:
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
            pass  # the reader has a thousand to read and looks at `Swim` then

    def _tell_version(self) -> None:
        version, router = self._swim.highest_reported_version()
        if version <= max(self._version_told, self._swim.table_version):
            return
        try:
            self._send_version.send_nowait(HigherVersionReported(version, router))
            self._version_told = version
        except anyio.WouldBlock:
            pass  # told again with the next packet, once the reader took the last one
