"""Build membership packets: addresses, piggybacked news, the own table version."""

from __future__ import annotations

import random

from attrs import frozen

from fulmarroad._membership_view import MembershipView
from fulmarroad._messages import (
    Ack,
    MembersGiven,
    MembershipMessage,
    MembersWanted,
    MemberUpdate,
    Ping,
    PingRequest,
)
from fulmarroad._versions import VersionTracker
from fulmarroad.types import RouterName


@frozen
class Outgoing:
    """Hold a message and where it goes."""

    router: RouterName
    host: str
    port: int
    message: MembershipMessage


class PacketBuilder:
    """Address messages; one to a router without a known address is left out."""

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
        """Return a number that no other packet of this life carries."""
        self._sequence += 1
        return self._sequence

    def some(self, count: int, without: RouterName = "") -> list[RouterName]:
        """Return some random members that are not dead."""
        rows = sorted(self._view.others() - {without})
        return self._rng.sample(rows, min(count, len(rows)))

    def push(self, count: int) -> list[Outgoing]:
        """Ping some random members at once, for the sake of what rides along."""
        return [row for router in self.some(count) for row in self.ping(router)]

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
        return self._to(router, ping)

    def request(
        self, helper: RouterName, target: RouterName, sequence: int
    ) -> list[Outgoing]:
        """Ask a helper to probe a target."""
        request = PingRequest(
            sequence,
            self._view.me.router,
            target,
            self._version_tracker.own,
            self._view.updates_for(helper),
        )
        return self._to(helper, request)

    def ack(
        self, router: RouterName, sequence: int, target: RouterName, incarnation: int
    ) -> list[Outgoing]:
        """Answer a probe, for oneself or for the target of a ping request."""
        ack = Ack(
            sequence,
            self._view.me.router,
            target,
            incarnation,
            self._version_tracker.own,
            self._view.updates_for(router),
        )
        return self._to(router, ack)

    def request_page(
        self, router: RouterName, after: RouterName, sequence: int
    ) -> list[Outgoing]:
        """Ask for a page of members."""
        wanted = MembersWanted(
            sequence,
            self._view.me.router,
            self._version_tracker.own,
            after,
            self._view.updates_for(router),
        )
        return self._to(router, wanted)

    def send_page(
        self,
        router: RouterName,
        sequence: int,
        page: tuple[MemberUpdate, ...],
        *,
        more: bool,
    ) -> list[Outgoing]:
        """Give a page of members."""
        given = MembersGiven(
            sequence,
            self._view.me.router,
            self._version_tracker.own,
            (self._view.me, *page),
            last=page[-1].router if page else "",
            more=more,
        )
        return self._to(router, given)

    def _to(self, router: RouterName, message: MembershipMessage) -> list[Outgoing]:
        address = self._view.address(router)
        if address is None:
            return []
        return [Outgoing(router, *address, message)]
