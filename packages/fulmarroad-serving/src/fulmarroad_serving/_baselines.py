"""Simple placement strategies, for comparison and as a fallback.

`least_loaded` selects the engine with the shortest wait, whether or not it has the part
cached; `prefix_only` sends each part to its one home server, however busy. Operators
choose a strategy by name; docs/PERFORMANCE.md states the cost of each.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import Protocol

from fulmarroad.exceptions import ConfigurationError
from fulmarroad.types import DataCentreName
from fulmarroad_serving._routing import (
    OTHER_CENTRE_S,
    WARM_CACHE_AGE_S,
    Candidate,
    Choice,
    PartMemory,
    Prompt,
    choose_engine,
    engine_order,
)


class ChooseEngine(Protocol):
    """A placement strategy: a function that chooses the engine for a prompt."""

    def __call__(
        self,
        prompt: Prompt,
        candidates: Sequence[Candidate],
        memory: PartMemory,
        centre: DataCentreName,
        now: float,
        *,
        may_read_again: bool = True,
        shortage: float = 0.0,
    ) -> Choice | None:
        """Return the chosen engine, or None without candidates."""


def least_loaded(
    prompt: Prompt,
    candidates: Sequence[Candidate],
    memory: PartMemory,
    centre: DataCentreName,
    now: float,
    *,
    may_read_again: bool = True,
    shortage: float = 0.0,
) -> Choice | None:
    """Return the engine with the shortest wait, or None without candidates."""
    if not candidates:
        return None
    row = min(candidates, key=lambda row: row.wait_s + _fixed_cost(row, centre))
    return _choice(row, prompt, memory, now, is_home=False)


def prefix_only(
    prompt: Prompt,
    candidates: Sequence[Candidate],
    memory: PartMemory,
    centre: DataCentreName,
    now: float,
    *,
    may_read_again: bool = True,
    shortage: float = 0.0,
) -> Choice | None:
    """Return the home server of the part, or None without candidates."""
    if not candidates:
        return None
    home = engine_order(prompt.part, candidates)[0]
    row = next(row for row in candidates if row.server == home)
    return _choice(row, prompt, memory, now, is_home=True)


def _fixed_cost(row: Candidate, centre: DataCentreName) -> float:
    return row.penalty_s + (OTHER_CENTRE_S if row.data_centre != centre else 0.0)


def _choice(
    row: Candidate,
    prompt: Prompt,
    memory: PartMemory,
    now: float,
    *,
    is_home: bool,
) -> Choice:
    cached = memory.has(prompt.part, row.server, now)
    cached = cached or (is_home and row.age_s > WARM_CACHE_AGE_S)
    tokens = prompt.own_tokens + (0 if cached else prompt.shared_tokens)
    read_s = row.base_s + tokens / row.read_rate
    return Choice(row.server, row.wait_s, read_s, tokens, cached)


DEFAULT_PLACEMENT = "cached"

PLACEMENTS: Mapping[str, ChooseEngine] = {
    DEFAULT_PLACEMENT: choose_engine,
    "least_loaded": least_loaded,
    "prefix_only": prefix_only,
}
"""Placement strategies by their name in the settings."""


def placement_named(name: str) -> ChooseEngine:
    """Return a placement strategy by name.

    Raises `ConfigurationError` if there is none of that name.
    """
    choose = PLACEMENTS.get(name)
    if choose is None:
        raise ConfigurationError(
            f"Unknown placement strategy {name!r}.",
            hint=f"Use one of {', '.join(PLACEMENTS)}.",
        )
    return choose
