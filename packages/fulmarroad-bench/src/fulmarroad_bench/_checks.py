"""Hold what callers were told against what the backend servers recorded."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Sequence
from typing import Any

from attrs import frozen

from fulmarroad_bench._load import CallResult

Report = dict[str, Any]


@frozen
class Checks:
    """Count what broke a promise; every number should be 0."""

    wrong_answers: int
    doubled: int
    cut_off: int
    false_not_run: int
    unheard: int  # completed for the caller, but no backend server ran it

    @property
    def held(self) -> bool:
        """Tell whether every promise held."""
        return not any(
            (
                self.wrong_answers,
                self.doubled,
                self.cut_off,
                self.false_not_run,
                self.unheard,
            )
        )


def check(
    results: Sequence[CallResult], engines: Sequence[Report], plains: Sequence[Report]
) -> Checks:
    """Compare every call's outcome with the records of the backend servers."""
    seen = set(record_ids((*engines, *plains)))
    outcomes = Counter(result.outcome for result in results)
    return Checks(
        outcomes["wrong"],
        doubled(plains),
        outcomes["cut_off"],
        sum(r.outcome == "refused" and r.id in seen for r in results),
        sum(r.outcome == "completed" and r.id not in seen for r in results),
    )


def doubled(plains: Iterable[Report]) -> int:
    """Return how many calls reached the plain services more than once.

    No call to them may be repeated, so a second record of an id or of a
    workspace's key is a second letter to a family.
    """
    records = [record for report in plains for record in report["records"]]
    ids = Counter(record["id"] for record in records)
    keys = Counter(
        (record["workspace"], record["key"]) for record in records if record["key"]
    )
    extra = sum(count - 1 for count in ids.values())
    by_key = sum(count - 1 for count in keys.values())
    return max(extra, by_key)


def record_ids(reports: Iterable[Report]) -> Iterable[str]:
    """Return the id of every call that any backend server saw."""
    for report in reports:
        for record in report["records"]:
            yield record["id"]


def starts_in(reports: Iterable[Report], since: float, until: float) -> list[float]:
    """Return when calls began at these servers within a time, sorted."""
    return sorted(
        record["start"]
        for report in reports
        for record in report["records"]
        if since < record["start"] <= until
    )
