"""Estimate when the answers of a router's calls end, and learn from their ends.

Load pattern: see `engines._answer_lengths`.
"""

from __future__ import annotations

from attrs import define, field

from fulmarroad_serving._catalog import Service
from fulmarroad_serving._demands import Demand, Ticket
from fulmarroad_serving._load import ServerLoad
from fulmarroad_serving.engines import AnswerLengths


@define
class AnswerEstimates:
    """Apply the learned lengths of answers to calls and servers."""

    lengths: AnswerLengths = field(factory=AnswerLengths)

    def expect_end(self, ticket: Ticket, load: ServerLoad, now: float) -> None:
        """Record at a server's load when the answer to a call is expected to end."""
        demand = ticket.demand
        load.token_s = self.lengths.token_s(demand.service, now)
        length = self.lengths.expected(demand.answer_kind, demand.output_limits, now)
        if length is not None:
            load.expect_end(ticket.charge, length, ticket.begun_at)

    def note_end(self, ticket: Ticket, service: Service, now: float) -> None:
        """Learn from an answer that was read from its first event to its end."""
        step_tokens = service.engine.step_tokens if service.engine is not None else 0
        if not (ticket.complete and ticket.events and step_tokens):
            return
        demand, events = ticket.demand, ticket.events
        self.lengths.note_answer(
            demand.answer_kind, demand.length_hint, events * step_tokens, now
        )
        answered_s = ticket.answered_s(now)
        self.lengths.note_time(demand.service, events, step_tokens, answered_s, now)

    def cannot_finish(self, demand: Demand, remaining_s: float, now: float) -> bool:
        """Return whether a call's answer can't end within `remaining_s`."""
        return self.lengths.cannot_finish(
            demand.answer_kind,
            demand.output_limits,
            remaining_s,
            now,
            hash_fraction=demand.hash_fraction,
        )
