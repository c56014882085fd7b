"""What a day of the lab brought, and its figures."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

from attrs import frozen

from fulmarroad_bench._lab_engine import LabCall
from fulmarroad_bench._lab_traffic import Sheet


@frozen
class Outcome:
    """Hold how one call ended for its caller."""

    call: LabCall
    ended: str  # on time, late or refused
    at: float


@frozen
class LabDay:
    """Hold what one day brought with one policy."""

    policy: str
    seed: int
    outcomes: tuple[Outcome, ...]
    samples: tuple[tuple[float, int, float], ...]  # time, calls waiting, memory used
    read_tokens: int
    read_again: int


def worth(sheet: Sheet, outcomes: Sequence[Outcome]) -> float:
    """Return the part of all worth that callers got."""
    kinds = {row.name: row for row in sheet.classes}
    got = sum(
        kinds[row.call.kind].worth
        if row.ended == "on time"
        else kinds[row.call.kind].late_worth
        for row in outcomes
        if row.ended != "refused"
    )
    owed = sum(kinds[row.call.kind].worth for row in outcomes)
    return got / owed if owed else 0.0


def summary(sheet: Sheet, day: LabDay) -> dict[str, Any]:
    """Return the figures of a day."""
    ended = [row.ended for row in day.outcomes]
    by_class = {
        kind.name: round(
            worth(sheet, [row for row in day.outcomes if row.call.kind == kind.name]),
            3,
        )
        for kind in sheet.classes
    }
    names = sorted({row.call.workspace for row in day.outcomes})
    by_workspace = {
        name: round(
            worth(sheet, [row for row in day.outcomes if row.call.workspace == name]),
            3,
        )
        for name in names
    }
    return {
        "policy": day.policy,
        "seed": day.seed,
        "calls": len(ended),
        "worth": round(worth(sheet, day.outcomes), 3),
        "on_time": ended.count("on time"),
        "late": ended.count("late"),
        "refused": ended.count("refused"),
        "read_again_part": round(day.read_again / max(1, day.read_tokens), 3),
        "by_class": by_class,
        "by_workspace": by_workspace,
    }
