"""Ask for all members page by page: at the start, after a pause, now and then."""

from __future__ import annotations

from fulmarroad._membership_view import MembershipView
from fulmarroad._messages import MembersGiven, MembersWanted
from fulmarroad._packets import Outgoing, PacketBuilder
from fulmarroad._piggyback import UPDATE_BYTES, fitting, update_size

SYNC_S = 30.0
"""Time between two pages that are asked for to mend what gossip missed, in seconds."""

RETRY_S = 1.0
"""Wait for a page before another member is asked, in seconds."""


class MemberPageSync:
    """Walk through the members that others know.

    News reach a new router only as they happen, and probing 370 VMs one a second
    would take six minutes, in which its callers wait for schedulers that are not live.
    """

    def __init__(
        self, beliefs: MembershipView, packets: PacketBuilder, now: float
    ) -> None:
        self._view = beliefs
        self._packets = packets
        self._asked = 0  # sequence number of the page that is awaited
        self._complete = False
        self.begin(now)

    @property
    def complete(self) -> bool:
        """Tell whether a walk has ever reached the end."""
        return self._complete

    def begin(self, now: float) -> None:
        """Walk from the start, as what is known may be old."""
        self._cursor = ""
        self._due = now
        self._walking = True
        self._known = self._view.count

    def tick(self, now: float) -> list[Outgoing]:
        """Ask for the next page if it is due."""
        if now < self._due:
            return []
        self._due = now + (RETRY_S if self._walking else SYNC_S)
        return [row for router in self._packets.some(1) for row in self._want(router)]

    def serve_page(self, wanted: MembersWanted) -> list[Outgoing]:
        """Give the members that are not dead.

        A death that is no news any more would only cost its subject a refutation, if
        it came back meanwhile.
        """
        table = self._view.table.members
        names = sorted(self._view.others_after(wanted.after))
        rows = (table[name].update for name in names)
        room = UPDATE_BYTES - update_size(self._view.me)
        page = fitting(rows, room)
        return self._packets.send_page(
            wanted.sender, wanted.sequence, page, more=len(page) < len(names)
        )

    def receive_page(self, given: MembersGiven, now: float) -> list[Outgoing]:
        """Go on to the next page while the walk lasts."""
        if given.sequence != self._asked:
            return []
        self._cursor = given.last if given.more else ""
        if not given.more:
            self._end_walk(now)
        if not self._walking:
            self._due = now + SYNC_S
            return []
        self._due = now + RETRY_S
        return self._want(given.sender) if given.more else []

    def _end_walk(self, now: float) -> None:
        """Walk again while that finds new members, as when a whole fleet starts."""
        self._complete = True
        self._walking = self._view.count > self._known
        self._known = self._view.count

    def _want(self, router: str) -> list[Outgoing]:
        self._asked = self._packets.next_sequence()
        return self._packets.request_page(router, self._cursor, self._asked)
