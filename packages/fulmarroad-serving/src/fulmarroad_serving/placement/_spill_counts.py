"""Count the calls that were sent on to a second owner, second by second."""

from __future__ import annotations

import enum
from collections import Counter
from collections.abc import Mapping

from attrs import define, field

from fulmarroad.types import RouterName

REPORT_INTERVAL_S = 1.0

MAX_REPORTED_OWNERS = 16
"""Maximum number of owners in one report, those that were asked most."""


class SpillOutcome(enum.StrEnum):
    """State what became of a call at its second owner."""

    GRANTED = "granted"
    REFUSED = "refused"
    NO_ANSWER = "no_answer"  # in time, or with a place that may be used


@define
class SpillCounts:
    """Count spilled calls by the owner asked until they are reported."""

    _interval_start: float = 0.0
    _counts: dict[RouterName, Counter[SpillOutcome]] = field(factory=dict)

    def note(self, owner: RouterName, outcome: SpillOutcome) -> None:
        """Count a call that was sent on."""
        self._counts.setdefault(owner, Counter())[outcome] += 1

    def pop(self, now: float) -> Mapping[RouterName, Mapping[SpillOutcome, int]]:
        """Return the counts if a report is due, and reset them."""
        if now - self._interval_start < REPORT_INTERVAL_S:
            return {}
        counts, self._counts, self._interval_start = self._counts, {}, now
        return counts


def most_asked(
    counts: Mapping[RouterName, Mapping[SpillOutcome, int]],
) -> dict[RouterName, dict[str, int]]:
    """Return the counts of the owners that were asked most, for the log."""
    totals = {owner: sum(row.values()) for owner, row in counts.items()}
    owners = sorted(totals, key=totals.__getitem__, reverse=True)
    return {
        owner: {outcome.value: n for outcome, n in counts[owner].items()}
        for owner in owners[:MAX_REPORTED_OWNERS]
    }
