"""Build membership packets with addresses, piggybacked updates and table version."""

from __future__ import annotations

import random

from attrs import frozen

from fulmarroad._membership_view import MembershipView
from fulmarroad._messages import (
    Ack,
    MembershipMessage,
    MembersReply,
    MembersRequest,
    MemberUpdate,
    Ping,
    PingRequest,
)
from fulmarroad._versions import VersionTracker
from fulmarroad.types import RouterName


@frozen
class Outgoing:
    """Hold a message and its destination."""

    router: RouterName
    host: str
    port: int
    message: MembershipMessage


class PacketBuilder:
    """Build and address messages; drop those to a router without a known address."""

    def __init__(
        self,
        beliefs: MembershipView,
        version_tracker: VersionTracker,
        rng: random.Random,
    ) -> None:
        self._view = beliefs
        self._version_tracker = version_tracker
        self._rng = rng
        self._sequence = 0

    def next_sequence(self) -> int:
        """Return a sequence number that is unique for this run of the process."""
        self._sequence += 1
        return self._sequence

    def sample_members(self, count: int, exclude: RouterName = "") -> list[RouterName]:
        """Return up to `count` random members that are not dead."""
        rows = sorted(self._view.others() - {exclude})
        return self._rng.sample(rows, min(count, len(rows)))

    def push(self, count: int) -> list[Outgoing]:
        """Ping some random members to deliver the piggybacked updates at once."""
        return [
            row for router in self.sample_members(count) for row in self.ping(router)
        ]

    def ping(self, router: RouterName, sequence: int = 0) -> list[Outgoing]:
        """Probe a router."""
        me = self._view.me
        ping = Ping(
            sequence or self.next_sequence(),
            me.router,
            me.incarnation,
            self._version_tracker.own,
            self._view.updates_for(router),
            router,
        )
        return self._outgoing(router, ping)

    def request(
        self, relay: RouterName, target: RouterName, sequence: int
    ) -> list[Outgoing]:
        """Ask another member to probe a target."""
        request = PingRequest(
            sequence,
            self._view.me.router,
            target,
            self._version_tracker.own,
            self._view.updates_for(relay),
        )
        return self._outgoing(relay, request)

    def ack(
        self, router: RouterName, sequence: int, target: RouterName, incarnation: int
    ) -> list[Outgoing]:
        """Answer a probe, or relay the answer of the target of a ping request."""
        ack = Ack(
            sequence,
            self._view.me.router,
            target,
            incarnation,
            self._version_tracker.own,
            self._view.updates_for(router),
        )
        return self._outgoing(router, ack)

    def request_page(
        self, router: RouterName, after: RouterName, sequence: int
    ) -> list[Outgoing]:
        """Request a page of members."""
        page_request = MembersRequest(
            sequence,
            self._view.me.router,
            self._version_tracker.own,
            after,
            self._view.updates_for(router),
        )
        return self._outgoing(router, page_request)

    def send_page(
        self,
        router: RouterName,
        sequence: int,
        page: tuple[MemberUpdate, ...],
        *,
        more: bool,
    ) -> list[Outgoing]:
        """Send a page of members."""
        response = MembersReply(
            sequence,
            self._view.me.router,
            self._version_tracker.own,
            (self._view.me, *page),
            last=page[-1].router if page else "",
            more=more,
        )
        return self._outgoing(router, response)

    def _outgoing(
        self, router: RouterName, message: MembershipMessage
    ) -> list[Outgoing]:
        address = self._view.address(router)
        if address is None:
            return []
        return [Outgoing(router, *address, message)]
