"""Retry rules: whether a call may be sent again after each attempt.

An error here loses or duplicates a call that must not be repeated. After an unknown
outcome the call may have run: if it is sent again, it may run twice, and if it is
reported as "not run", its caller may repeat it. One record per call therefore
decides both whether the call may be sent again and whether its caller may be told that
it did not run.
"""

from __future__ import annotations

import enum

from attrs import define, field

from fulmarroad.types import Ran, ServerName


class SendOutcome(enum.StrEnum):
    """State what is known about a call after a failed send."""

    NOT_SENT = "not_sent"  # no byte was sent to the server
    NOT_RUN = "not_run"  # the server reported that it did not run the call
    UNKNOWN = "unknown"  # it may have run
    FAILED = "failed"  # it ran and failed
    RESTS = "rests"  # not run; the server refused it and asked for rest


NOT_RUN_OUTCOMES = frozenset({SendOutcome.NOT_RUN, SendOutcome.RESTS})
"""Outcomes by which the server stated that it did not run the call."""


MAX_UNSENT = 3
"""Maximum number of unreachable servers tried; each costs a connection timeout of a
quarter of a second."""


@define
class CallProgress:
    """Track the attempts of one call."""

    repeatable: bool
    max_attempts: int
    sends: int = 0
    unsent: int = 0
    may_have_run: bool = False
    answer_begun: bool = False
    last_event_id: str = ""
    tried: set[ServerName] = field(factory=set)

    def note_send(self, server: ServerName) -> None:
        """Record a send, just before the first byte is written."""
        self.sends += 1
        self.tried.add(server)

    def note_outcome(self, outcome: SendOutcome, server: ServerName) -> None:
        """Record the outcome of a send without a complete answer."""
        if outcome is SendOutcome.NOT_SENT:
            self.unsent += 1
            self.tried.add(server)
        elif outcome not in NOT_RUN_OUTCOMES:
            self.may_have_run = True

    def forbid_repeats(self) -> None:
        """Allow no further sends, or a single one if nothing was sent yet."""
        self.max_attempts = min(self.max_attempts, max(1, self.sends))

    @property
    def may_send(self) -> bool:
        """Return whether the call may be sent, or sent again."""
        if self.sends >= self.max_attempts or self.unsent >= MAX_UNSENT:
            return False
        if self.may_have_run and not self.repeatable:
            return False
        # A partly sent answer can only be resumed after a known event.
        return not self.answer_begun or (self.repeatable and bool(self.last_event_id))

    @property
    def may_move(self) -> bool:
        """Return whether the call may be sent elsewhere although it was not answered.

        That is so for a call that may run twice, and has attempts left.
        """
        return self.repeatable and self.may_send

    @property
    def is_repeat(self) -> bool:
        """Return whether the next send counts against the retry budget."""
        return self.sends > 0

    @property
    def ran(self) -> Ran:
        """Return whether the call ran, as the caller may be told."""
        return Ran.UNKNOWN if self.may_have_run or self.answer_begun else Ran.NOT_RUN
