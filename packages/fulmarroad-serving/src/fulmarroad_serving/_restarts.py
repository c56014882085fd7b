"""Judge whether a server that broke a connection may have restarted unnoticed.

Load pattern: servers reset one call among hundreds and go on with the others. Taken for
restarted and cold, such a server gets next to no calls from the router that saw the
reset. A router with a large part of all calls sees most resets, closes most servers to
its callers and refuses them while engines idle. But a process that ends takes all of
its connections along: bytes on an older connection show that it still runs.
"""

from __future__ import annotations

from attrs import frozen

SUSPECT_S = 4.0
"""Time in seconds for which a server counts as cold after it broke a connection, and as
one of unknown version after its process seemed to end: about three intervals at which a
server writes its entry (1.2 s), within which the entry shows a restart."""

BUFFERED_S = 0.1
"""Time in seconds for which bytes of a process that has ended may still be read here,
from the buffers of this VM."""


@frozen
class Contact:
    """Hold from when to when one process of a server was heard over a connection.

    Both times are in seconds of the router's clock.
    """

    opened_at: float
    heard_at: float


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
        is_older = contact.opened_at <= self.since - BUFFERED_S
        return is_older and contact.heard_at >= self.broke_at + BUFFERED_S
