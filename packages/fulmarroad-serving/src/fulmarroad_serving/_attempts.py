"""What may still be done with a call after each of its sends.

A call that may not be repeated is lost or doubled by one wrong step here: sent again
after an unknown outcome it may run twice, and refused as "not run" after one it may
have run all the same. One record for each call therefore says what is known, and the
two questions that matter, whether it may be sent and what the caller may be told, are
answered from it alone.
"""

from __future__ import annotations

import enum

from attrs import define, field

from fulmarroad.types import Ran, ServerName


class SendOutcome(enum.StrEnum):
    """Say what is known after a send has failed."""

    NOT_SENT = "not_sent"  # no byte left for the server
    NOT_RUN = "not_run"  # the server said that it did not run the call
    UNKNOWN = "unknown"  # it may have run
    FAILED = "failed"  # it ran and failed


MOST_UNSENT = 3
"""Servers tried that could not be reached: each costs a quarter of a second."""


@define
class CallProgress:
    """Hold what is known of one call."""

    repeatable: bool
    max_attempts: int
    sends: int = 0
    unsent: int = 0
    may_have_run: bool = False
    answer_begun: bool = False
    last_event_id: str = ""
    tried: set[ServerName] = field(factory=set)

    def note_send(self, server: ServerName) -> None:
        """Note that bytes are about to leave for a server."""
        self.sends += 1
        self.tried.add(server)

    def note_outcome(self, outcome: SendOutcome, server: ServerName) -> None:
        """Note how a send ended without a whole answer."""
        if outcome is SendOutcome.NOT_SENT:
            self.unsent += 1
            self.tried.add(server)
        elif outcome is not SendOutcome.NOT_RUN:
            self.may_have_run = True

    def forbid_repeats(self) -> None:
        """Let what was sent be the last, or the next send where there was none."""
        self.max_attempts = min(self.max_attempts, max(1, self.sends))

    @property
    def may_send(self) -> bool:
        """Tell whether the call may be sent (again)."""
        if self.sends >= self.max_attempts or self.unsent >= MOST_UNSENT:
            return False
        if self.may_have_run and not self.repeatable:
            return False
        # A begun answer goes on only where the server can continue after an event.
        return not self.answer_begun or (self.repeatable and bool(self.last_event_id))

    @property
    def is_repeat(self) -> bool:
        """Tell whether the next send counts against the retry budget."""
        return self.sends > 0

    @property
    def ran(self) -> Ran:
        """Return what the caller may be told."""
        return Ran.UNKNOWN if self.may_have_run or self.answer_begun else Ran.NOT_RUN
