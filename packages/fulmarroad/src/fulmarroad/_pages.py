"""Paged member sync, which runs at start, after a pause and at regular intervals."""

from __future__ import annotations

from fulmarroad._membership_view import MembershipView
from fulmarroad._messages import MembersReply, MembersRequest
from fulmarroad._packets import Outgoing, PacketBuilder
from fulmarroad._piggyback import MAX_UPDATE_BYTES, fit_updates, update_size

SYNC_INTERVAL_S = 30.0
"""Time between two page requests that repair missed gossip, in seconds."""

PAGE_TIMEOUT_S = 1.0
"""Time to wait for a page before another member is asked, in seconds."""


class MemberPageSync:
    """Request the members that other routers know, page by page.

    Gossip carries changes only, so a new router does not learn the existing members
    from it. Probing 370 VMs at one a second would take six minutes, in which its
    callers wait for schedulers that it does not know to be live.
    """

    def __init__(
        self, beliefs: MembershipView, packets: PacketBuilder, now: float
    ) -> None:
        self._view = beliefs
        self._packets = packets
        self._awaited_sequence = 0  # of the last page request
        self._complete = False
        self.restart(now)

    @property
    def complete(self) -> bool:
        """Return whether the last page has been received at least once."""
        return self._complete

    def restart(self, now: float) -> None:
        """Start again from the first page, as the known members may be outdated."""
        self._cursor = ""
        self._due = now
        self._syncing = True
        self._known_count = self._view.count

    def tick(self, now: float) -> list[Outgoing]:
        """Request the next page from a random member if it is due."""
        if now < self._due:
            return []
        self._due = now + (PAGE_TIMEOUT_S if self._syncing else SYNC_INTERVAL_S)
        return [
            row
            for router in self._packets.sample_members(1)
            for row in self._request_page(router)
        ]

    def serve_page(self, request: MembersRequest) -> list[Outgoing]:
        """Answer a page request with members that are not dead.

        A dead state may be outdated: a member that has returned in the meantime would
        only have to refute it.
        """
        table = self._view.table.members
        names = sorted(self._view.others_after(request.after))
        rows = (table[name].update for name in names)
        free_bytes = MAX_UPDATE_BYTES - update_size(self._view.me)
        page = fit_updates(rows, free_bytes)
        return self._packets.send_page(
            request.sender, request.sequence, page, more=len(page) < len(names)
        )

    def receive_page(self, response: MembersReply, now: float) -> list[Outgoing]:
        """Process a page and request the next one until the sync is finished."""
        if response.sequence != self._awaited_sequence:
            return []
        self._cursor = response.last if response.more else ""
        if not response.more:
            self._finish_pass(now)
        if not self._syncing:
            self._due = now + SYNC_INTERVAL_S
            return []
        self._due = now + PAGE_TIMEOUT_S
        return self._request_page(response.sender) if response.more else []

    def _finish_pass(self, now: float) -> None:
        """Repeat the sync if it found new members, as while a whole fleet starts."""
        self._complete = True
        self._syncing = self._view.count > self._known_count
        self._known_count = self._view.count

    def _request_page(self, router: str) -> list[Outgoing]:
        self._awaited_sequence = self._packets.next_sequence()
        return self._packets.request_page(router, self._cursor, self._awaited_sequence)
