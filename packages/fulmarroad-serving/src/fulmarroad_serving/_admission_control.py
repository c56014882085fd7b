"""Refuse calls before a server is chosen, by share and by the length of answers."""

from __future__ import annotations

import random

from attrs import define, field

from fulmarroad.types import RefusalReason
from fulmarroad_serving._answer_estimates import AnswerEstimates
from fulmarroad_serving._catalog import ServiceName
from fulmarroad_serving._demands import Demand, Refusal
from fulmarroad_serving._early_rejection import EngineCapacity, admitted_fraction
from fulmarroad_serving._servers import ServerBook
from fulmarroad_serving._service_settings import ServiceSettings
from fulmarroad_serving._shares import NO_USE, ShareBook, ShareUse
from fulmarroad_serving._waits import (
    refuse_above_share,
    refuse_queued,
    refuse_unfinishable,
)


@define
class AdmissionControl:
    """Compare workspaces' calls with their shares of the engines' capacity."""

    _settings: ServiceSettings
    _servers: ServerBook
    _shares: ShareBook
    _answers: AnswerEstimates
    _random: random.Random
    _capacities: dict[ServiceName, EngineCapacity] = field(factory=dict)

    def use_of(self, demand: Demand, now: float) -> ShareUse:
        """Return the share use of a call's workspace, for calls to engines."""
        if not self._settings.has_engines(demand.service):
            return NO_USE
        return self._shares.use_of(demand.workspace, demand.units, now)

    def reject_early(self, demand: Demand, now: float) -> Refusal | None:
        """Refuse a call without trying a server if its workspace exceeds its share.

        Return None for a call that may be placed. A stream that has begun was let in
        before.
        """
        service = demand.service
        if demand.version or not self._settings.has_engines(service):
            return None
        engines = self._capacity(service)
        if engines.is_outdated(now):
            speeds = self._settings.learns_speeds(service)
            speed = self._servers.tokens_per_s(service, self._random, speeds=speeds)
            engines.note_speed(speed, now)
        if not engines.tokens_per_s:
            return None  # no engine at all; `place` refuses with that reason
        shares = self._shares
        units = engines.capacity(shares.granted_units(now), shares.window_s)
        part = admitted_fraction(shares.entitled_fraction(demand.workspace, units, now))
        if demand.hash_fraction <= part:
            return None
        use = shares.use_of(demand.workspace, demand.units, now)
        return refuse_above_share(part, use, shares.window_s, self._random)

    def reject_unfinishable(
        self, demand: Demand, remaining_s: float, now: float
    ) -> Refusal | None:
        """Refuse a call whose answer can't end within `remaining_s`, its time left.

        A stream that has begun isn't refused, as a part of it was delivered.
        """
        if demand.version or not self._settings.features(demand.service).answer_lengths:
            return None
        if not self._answers.cannot_finish(demand, remaining_s, now):
            return None
        return refuse_unfinishable(self._random)

    def refuse_queued(
        self, demand: Demand, reason: RefusalReason, now: float
    ) -> Refusal:
        """Refuse a call that doesn't wait for a place, or no longer."""
        use, window_s = self.use_of(demand, now), self._shares.window_s
        return refuse_queued(reason, use, window_s, self._random)

    def note_sent(self, demand: Demand, read_tokens: int) -> None:
        """Learn the engines' capacity from a call that is sent."""
        self._capacity(demand.service).note_sent(read_tokens, demand.units)

    def _capacity(self, service: ServiceName) -> EngineCapacity:
        capacity = self._capacities.get(service)
        if capacity is None:
            capacity = self._capacities[service] = EngineCapacity()
        return capacity
