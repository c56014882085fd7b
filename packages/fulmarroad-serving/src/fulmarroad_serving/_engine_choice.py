"""Choose the engine of a call among those that accept it."""

from __future__ import annotations

from collections.abc import Sequence

from attrs import frozen

from fulmarroad.types import DataCentreName
from fulmarroad_serving._baselines import ChooseEngine
from fulmarroad_serving._demands import Demand
from fulmarroad_serving._routing import (
    Candidate,
    Choice,
    PartMemory,
    engines_with_time,
)
from fulmarroad_serving._shares import ShareUse
from fulmarroad_serving.admission import StartBound


@frozen
class EngineChooser:
    """Choose engines by a placement strategy and by what they have cached."""

    _strategy: ChooseEngine
    _parts: PartMemory
    _centre: DataCentreName

    def choose(
        self,
        demand: Demand,
        candidates: Sequence[Candidate],
        use: ShareUse,
        now: float,
        bound: StartBound | None,
    ) -> Choice | None:
        """Return the choice for a call, or for a queued call, which has a bound.

        An engine with time replaces the usual choice of a queued call if that is busy.
        """
        choice = self._choose_usual(demand, candidates, use, now)
        if choice is None or bound is None or choice.wait_s <= bound.wait_s:
            return choice
        if not use.may_spread:
            return choice
        rows = engines_with_time(
            demand.prompt,
            candidates,
            self._parts,
            now,
            longest_wait_s=bound.wait_s,
            shortage=use.shortage,
        )
        return (self._choose_usual(demand, rows, use, now) if rows else None) or choice

    def _choose_usual(
        self, demand: Demand, candidates: Sequence[Candidate], use: ShareUse, now: float
    ) -> Choice | None:
        return self._strategy(
            demand.prompt,
            candidates,
            self._parts,
            self._centre,
            now,
            may_read_again=use.may_spread,
            shortage=use.shortage,
        )
