"""Account for calls: asked for, sent, begun, ended."""

from __future__ import annotations

from collections.abc import Callable

from attrs import define, evolve

from fulmarroad.types import RouterName
from fulmarroad_serving._admission_control import AdmissionControl
from fulmarroad_serving._answer_estimates import AnswerEstimates
from fulmarroad_serving._attempts import SendOutcome
from fulmarroad_serving._budgets import ColdBudget
from fulmarroad_serving._demands import Demand, Grant, Placement, Ticket
from fulmarroad_serving._load import Charge, ServerLoad, SharedPart
from fulmarroad_serving._retries import RetryBook
from fulmarroad_serving._routing import Choice, PartMemory, part_id
from fulmarroad_serving._servers import ServerBook, ServerView
from fulmarroad_serving._service_settings import ServiceSettings
from fulmarroad_serving._shares import NO_USE, ShareBook
from fulmarroad_serving._workspace_outcomes import PlacementOutcomes
from fulmarroad_serving.engines._speeds import EngineSpeeds

LARGE_PROMPT_TOKENS = 3_000
"""Uncached prompt tokens from which a prompt is reported to peers at once: it occupies
an engine for longer than workspaces above their share may wait."""

MIN_TELLING_TOKENS = 4_000
"""Size of a shared part from which the time to the first token tells whether it was
cached: smaller ones are read in the time that the estimate is off."""


@define
class CallAccounts:
    """Record the calls of a router, and learn about servers from how they end."""

    _me: RouterName
    _settings: ServiceSettings
    _servers: ServerBook
    _parts: PartMemory
    _shares: ShareBook
    _retries: RetryBook
    _admission: AdmissionControl
    _answers: AnswerEstimates
    _speeds: EngineSpeeds
    _placements: PlacementOutcomes
    _on_large_prompt: Callable[[], None]
    _on_progress: Callable[[Ticket], None]

    def note_asked(self, demand: Demand, now: float) -> None:
        """Count an incoming call."""
        self._shares.note_asked(demand.workspace, demand.units, now)
        if demand.part:
            self._parts.note_asked(part_id(demand.part), now)
        self._retries.of(demand.service).note_request(now)

    def send(
        self,
        demand: Demand,
        placement: Placement,
        now: float,
        *,
        for_peer: bool = False,
    ) -> Ticket:
        """Record a call that is about to be sent, by another router if `for_peer`."""
        if placement.grant is not None:
            return self._send_granted(demand, placement, placement.grant, now)
        server = placement.choice.server
        view = self._servers.view(server)
        choice = placement.choice
        expected_s = choice.wait_s + choice.read_s
        ahead = self._speeds.unread_tokens(demand.service, server, now)
        charge = view.load.send(server, choice.tokens, now, expected_s, choice.wait_s)
        charge = evolve(charge, part=self._shared_part(demand, choice, now))
        if ahead is not None:
            charge = evolve(charge, ahead_tokens=ahead)
        self._note_cold_call(demand, placement, now, for_peer=for_peer)
        if choice.tokens >= LARGE_PROMPT_TOKENS:
            self._on_large_prompt()
        if placement.use is not NO_USE:  # only set for engine services
            self._admission.note_sent(demand, choice.tokens)
        if demand.part:
            self._parts.send(part_id(demand.part), server, now)
        self._shares.note_got(demand.workspace, demand.units, now)
        source = placement.source
        ticket = Ticket(demand, charge, source.instance if source is not None else None)
        if self._settings.features(demand.service).answer_lengths:
            self._answers.expect_end(ticket, view.load, now)
        return ticket

    def _send_granted(
        self, demand: Demand, placement: Placement, grant: Grant, now: float
    ) -> Ticket:
        """Record a call whose place another router granted, and counts."""
        choice = placement.choice
        grant.closed = True
        self._note_cold_call(demand, placement, now, for_peer=False)
        if grant.owner != self._me:  # as the owner, it counted the call already
            if placement.use is not NO_USE:
                self._admission.note_sent(demand, choice.tokens)
            if demand.part:
                self._parts.note(part_id(demand.part), choice.server, now)
        expected_s = choice.wait_s + choice.read_s
        charge = Charge(
            choice.server, choice.tokens, 0.0, now, expected_s, wait_s=choice.wait_s
        )
        source = placement.source.instance if placement.source is not None else None
        ticket = Ticket(demand, charge, source, grant=grant)
        self._on_progress(ticket)
        return ticket

    def _note_cold_call(
        self, demand: Demand, placement: Placement, now: float, *, for_peer: bool
    ) -> None:
        """Count a call to a cold server, unless another router counts it."""
        budget = placement.cold_budget
        if budget is ColdBudget.SHARE and (
            for_peer or not placement.registered.cold(now)
        ):
            return
        service = self._settings.service(demand.service)
        self._servers.note_cold_call(placement.choice.server, service, budget, now)

    def adopt(self, ticket: Ticket, now: float) -> None:
        """Count a granted call here from now on, as its owner is gone."""
        view = self._servers.view(ticket.charge.server)
        if self._settings.learns_speeds(ticket.demand.service):
            # The owner knew the queue; this router only knows the expected wait.
            ahead = ticket.charge.wait_s * view.load.read_rate
            ticket.charge = evolve(ticket.charge, ahead_tokens=ahead)
        ticket.charge = view.load.adopt(ticket.charge, begun=ticket.begun)
        ticket.grant = None
        if self._settings.features(ticket.demand.service).answer_lengths:
            self._answers.expect_end(ticket, view.load, now)

    def begin(self, ticket: Ticket, now: float) -> None:
        """Record the first part of an answer."""
        if ticket.begun:
            return
        ticket.begun_at = now
        if ticket.grant is None:
            charge = ticket.charge
            load = self._servers.view(charge.server).load
            as_assumed = self._part_was_as_assumed(charge, load, now)
            if self._settings.learns_speeds(ticket.demand.service):
                load.begin(charge, now, learn=False)
                self._speeds.note_begun(ticket, load, now, as_assumed=as_assumed)
            else:
                load.begin(charge, now, learn=as_assumed)
        else:
            self._on_progress(ticket)

    def end(self, ticket: Ticket, outcome: SendOutcome | None, now: float) -> None:
        """Record the end of a call.

        `outcome` is None if the call was answered or its caller disconnected.
        """
        view = self._servers.view(ticket.charge.server)
        self._speeds.pace.end(ticket.charge.server, id(ticket))
        if ticket.grant is not None:
            ticket.outcome, ticket.ended = outcome, True
            self._on_progress(ticket)
            if ticket.grant.owner == self._me:
                return  # as the owner, it learned from the end just now
        else:
            self.release(ticket, now)
            if outcome is not None and not ticket.begun:
                self._placements.note_lost(ticket.demand.workspace, ticket.demand.units)
        if outcome is None:
            self._learn_from_answer(ticket, view, now)
        elif outcome is not SendOutcome.RESTS:
            # Without a penalty, a server that refuses calls looks idle and gets most.
            view.health.record_failure(now)

    def release(self, ticket: Ticket, now: float) -> None:
        """Stop counting a call, without learning from its end."""
        self._servers.view(ticket.charge.server).load.end(ticket.charge)
        if not ticket.begun:
            demand, sent_at = ticket.demand, ticket.charge.sent_at
            self._shares.refund(demand.workspace, demand.units, sent_at, now)

    def _learn_from_answer(self, ticket: Ticket, view: ServerView, now: float) -> None:
        service = ticket.demand.service
        if ticket.complete and self._settings.features(service).answer_lengths:
            self._answers.note_end(ticket, self._settings.service(service), now)
        if ticket.begun:
            view.health.record_success(now)
            # With its wait, a queue would seem to slow the server down further.
            duration_s = now - ticket.charge.sent_at - ticket.charge.wait_s
            view.learn_duration(duration_s)

    def _shared_part(
        self, demand: Demand, choice: Choice, now: float
    ) -> SharedPart | None:
        if not demand.part or choice.source:  # a part that is fetched tells nothing
            return None
        age_s = now - self._parts.sent_at(part_id(demand.part), choice.server)
        return SharedPart(demand.shared_tokens, age_s, choice.cached)

    def _part_was_as_assumed(
        self, charge: Charge, load: ServerLoad, now: float
    ) -> bool:
        """Learn whether the shared part was cached; return whether as assumed."""
        part = charge.part
        if part is None or part.tokens < MIN_TELLING_TOKENS:
            return True
        part_s = part.tokens / load.read_rate
        cached_s = charge.expected_s - (0.0 if part.cached else part_s)
        hit = now - charge.sent_at < cached_s + part_s / 2
        self._parts.retention.note(part.age_s, hit=hit)
        return hit == part.cached
