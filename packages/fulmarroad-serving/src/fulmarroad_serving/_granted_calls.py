"""Tell owners of servers what became of the places that they granted.

Notes report progress at once. Lists of all granted calls replace notes that were lost:
an owner drops what no list names.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Mapping

from attrs import define, field

from fulmarroad.types import RouterName
from fulmarroad_serving._attempts import SendOutcome
from fulmarroad_serving._demands import Ticket
from fulmarroad_serving._owner_messages import (
    ProgressNote,
    ProgressReport,
    pack_progress,
)
from fulmarroad_serving._workspace_outcomes import RequestOutcome, WorkspaceOutcomes

EMPTY_LISTS = 6
"""Lists without a call that an owner gets after the last one. If all of them are lost,
for three seconds, the membership has noticed it and the owner drops what it counted."""


@define
class GrantedCalls:
    """Keep the calls of this router that owners granted, and what to report on them."""

    _me: RouterName
    _incarnation: int
    _requests: WorkspaceOutcomes
    _report: Callable[[RouterName], None]
    """Called when there is unreported progress for an owner."""
    _tickets: dict[RouterName, dict[int, Ticket]] = field(factory=dict)
    _notes: dict[RouterName, list[ProgressNote]] = field(factory=dict)
    _cancelled: dict[RouterName, list[int]] = field(factory=dict)
    _empty_lists: Counter[RouterName] = field(factory=Counter)

    def begin_lists(self, owner: RouterName) -> dict[int, Ticket]:
        """Return the calls that lists to an owner name, and send some lists anew.

        They replace notes that are lost: an owner drops what no list names.
        """
        self._empty_lists.pop(owner, None)
        return self._tickets.setdefault(owner, {})

    def note(self, ticket: Ticket) -> None:
        """Record that a granted call was sent, began or ended."""
        grant = ticket.grant
        assert grant is not None
        tickets = self.begin_lists(grant.owner)
        if ticket.ended:
            tickets.pop(grant.number, None)
        else:
            if grant.number not in tickets:
                workspace = ticket.demand.workspace
                self._requests.note(workspace, RequestOutcome.SENT)
            tickets[grant.number] = ticket
        if ticket.begun or ticket.ended:
            note = ProgressNote(
                grant.number, ticket.begun, ticket.ended, ticket.outcome
            )
            self._add_note(grant.owner, note)

    def give_back(
        self, owner: RouterName, number: int, outcome: SendOutcome | None = None
    ) -> None:
        """Return a place that was not used."""
        note = ProgressNote(number, False, True, outcome, unused=True)
        self._add_note(owner, note)

    def cancel(self, owner: RouterName, number: int) -> None:
        """Let an owner drop an undecided request."""
        self._cancelled.setdefault(owner, []).append(number)
        self._report(owner)

    def pop_notes(self) -> list[tuple[RouterName, bytes]]:
        """Remove and return the packets with unreported progress, by owner."""
        reports = [(owner, self.pop_report(owner)) for owner in self._reported()]
        return [(owner, pack_progress(report)) for owner, report in reports]

    def pop_report(self, owner: RouterName) -> ProgressReport:
        """Remove and return the unreported progress for an owner."""
        notes = tuple(self._notes.pop(owner, ()))
        cancelled = tuple(self._cancelled.pop(owner, ()))
        return ProgressReport(self._me, self._incarnation, notes, cancelled=cancelled)

    def held_lists(self) -> list[tuple[RouterName, bytes]]:
        """Return the packets that list all granted calls, by owner."""
        packets = []
        for owner, tickets in list(self._tickets.items()):
            if owner == self._me:
                continue  # nothing is lost on the way
            held = tuple(tickets)
            report = ProgressReport(self._me, self._incarnation, held=held)
            packets.append((owner, pack_progress(report)))
            if tickets:
                self._empty_lists.pop(owner, None)
                continue
            self._empty_lists[owner] += 1
            if self._empty_lists[owner] >= EMPTY_LISTS:
                del self._tickets[owner], self._empty_lists[owner]
        return packets

    def lost(self, alive: Mapping[RouterName, int]) -> dict[RouterName, list[int]]:
        """Return the calls of owners that are gone or have restarted.

        `alive` maps each live router to its incarnation.
        """
        lost = {}
        for owner, tickets in self._tickets.items():
            if owner == self._me:
                continue
            numbers = [
                number
                for number, ticket in tickets.items()
                if ticket.grant is None or ticket.grant.incarnation != alive.get(owner)
            ]
            if numbers:
                lost[owner] = numbers
        return lost

    def pop(self, owner: RouterName, number: int) -> Ticket:
        """Remove and return a call."""
        return self._tickets[owner].pop(number)

    def _reported(self) -> list[RouterName]:
        """Return the owners for which there is unreported progress."""
        return list(dict.fromkeys([*self._notes, *self._cancelled]))

    def _add_note(self, owner: RouterName, note: ProgressNote) -> None:
        self._notes.setdefault(owner, []).append(note)
        self._report(owner)
