"""Judge whether a server that broke a connection may have restarted unnoticed.

Load pattern: servers reset one call among hundreds and go on with the others. Taken for
restarted and cold, such a server gets next to no calls from the router that saw the
reset. A router with a large part of all calls sees most resets, closes most servers to
its callers and refuses them while engines idle. But a process that ends takes all of
its connections along: bytes on an older connection show that it still runs.

For the same reason a new connection doesn't show which process answers on it: a server
may start again under its id, and its entry is of the process before until the new one
has written its own.
"""

from __future__ import annotations

from attrs import define, frozen

SUSPECT_S = 4.0
"""Time in seconds for which a server counts as cold after it broke a connection, and as
one of unknown version after its process seemed to end: about three intervals at which a
server writes its entry (1.2 s), within which the entry shows a restart."""

ENTRY_DELAY_S = 2.0
"""Time in seconds after its start within which a server's entry is written (1.2 s) and
read."""

BUFFERED_S = 0.1
"""Time in seconds for which bytes of a process that has ended may still be read here,
from the buffers of this VM."""

NEVER = float("-inf")


@frozen
class Contact:
    """Hold from when to when one process of a server was heard over a connection.

    Both times are in seconds of the router's clock.
    """

    opened_at: float
    heard_at: float

    def overlaps(self, other: Contact) -> bool:
        """Return whether both are of one process: a server has one at a time."""
        since = max(self.opened_at, other.opened_at)
        return since + BUFFERED_S <= min(self.heard_at, other.heard_at)

    def spans(self, since: float, until: float) -> bool:
        """Return whether the process was heard before and after a time."""
        is_older = self.opened_at <= since - BUFFERED_S
        return is_older and self.heard_at >= until + BUFFERED_S

    def joined(self, other: Contact) -> Contact:
        """Return the contact with a process that was heard over two connections."""
        return Contact(
            min(self.opened_at, other.opened_at), max(self.heard_at, other.heard_at)
        )


@define
class ServerProcess:
    """Tell which connections lead to the process that wrote a server's entry."""

    listed_at: float = NEVER  # when its entry was first read
    listed_after: float = NEVER  # the list was known to lack it by then
    _heard: Contact | None = None
    _seemed_to_end: Contact | None = None  # from the first to the last such moment

    @classmethod
    def of_outdated_entry(cls, now: float) -> ServerProcess:
        """Return the process of an entry older than one that was read before.

        A store restored from an older copy shows it, until the server writes its own.
        """
        process = cls(now + SUSPECT_S)
        process.note_end(now, now)
        return process

    def note(self, contact: Contact, current_at: float) -> None:
        """Record that a process was heard; `current_at` is as in `wrote`."""
        if not self.wrote(contact, current_at):
            return
        self._heard = contact if self._heard is None else self._heard.joined(contact)
        end = self._seemed_to_end
        if end is not None and self._outlived(end):
            self._seemed_to_end = None

    def note_end(self, at: float, now: float) -> bool:
        """Record that it seemed to end at a time; return whether that is new."""
        end = Contact(at, at)
        if self._outlived(end):
            return False
        is_new = not self.has_ended(now)
        if is_new or self._seemed_to_end is None:
            self._seemed_to_end = end
        else:
            self._seemed_to_end = self._seemed_to_end.joined(end)
        return is_new

    def wrote(self, contact: Contact, current_at: float) -> bool:
        """Return whether the process of a contact surely wrote the entry.

        `current_at` is the time up to which no other entry of the server was written. A
        server has one process at a time, so its connections at one time lead to one;
        and a process whose start no later entry has shown in time wrote the last one.
        """
        if self._heard is not None and self._heard.overlaps(contact):
            return True
        is_older = contact.opened_at < self.listed_at
        if is_older and contact.heard_at < self.listed_at + BUFFERED_S:
            return False  # it may have ended before the entry was written
        delay_s = ENTRY_DELAY_S if self._seemed_to_end is None else SUSPECT_S
        ran_at_write = contact.opened_at <= self.listed_after
        return ran_at_write or contact.opened_at + delay_s <= current_at

    def has_ended(self, now: float) -> bool:
        """Return whether it seemed to end, so recently that no entry may show it."""
        end = self._seemed_to_end
        return end is not None and now < end.heard_at + SUSPECT_S

    def may_be_replaced(self, contact: Contact) -> bool:
        """Return whether a contact began after the process seemed to end."""
        end = self._seemed_to_end
        return end is not None and contact.opened_at >= end.opened_at - BUFFERED_S

    def _outlived(self, end: Contact) -> bool:
        heard = self._heard
        return heard is not None and heard.spans(end.opened_at, end.heard_at)


@frozen
class RestartSuspicion:
    """Hold a time in which a server may have restarted."""

    since: float  # the last sign of life of the connection that broke
    broke_at: float

    def extended(self, contact: Contact, now: float) -> RestartSuspicion:
        """Return the suspicion after another connection broke."""
        return RestartSuspicion(min(self.since, contact.heard_at), now)

    def is_on(self, now: float) -> bool:
        """Return whether the server's entry may not show a restart yet."""
        return now < self.broke_at + SUSPECT_S

    def is_refuted_by(self, contact: Contact) -> bool:
        """Return whether a process was heard before and after any restart."""
        return contact.spans(self.since, self.broke_at)
