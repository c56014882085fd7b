"""Check the outcomes that callers saw against the records of backend servers."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Sequence
from typing import Any

from attrs import frozen

from fulmarroad_bench._load import CallResult

Report = dict[str, Any]


@frozen
class Checks:
    """Count violations of the delivery guarantees; every number should be 0."""

    wrong_answers: int
    doubled: int
    cut_off: int
    false_not_run: int
    unheard: int  # completed for the caller but in no backend server's records

    @property
    def held(self) -> bool:
        """Return whether there is no violation."""
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

    No call to them may be repeated: a second record of a call id, or of the same
    idempotency key of a workspace, means that a letter was posted twice.
    """
    records = [record for report in plains for record in report["records"]]
    ids = Counter(record["id"] for record in records)
    keys = Counter(
        (record["workspace"], record["key"]) for record in records if record["key"]
    )
    repeated_ids = sum(count - 1 for count in ids.values())
    repeated_keys = sum(count - 1 for count in keys.values())
    return max(repeated_ids, repeated_keys)


def record_ids(reports: Iterable[Report]) -> Iterable[str]:
    """Yield the id of every call in the backend servers' records."""
    for report in reports:
        for record in report["records"]:
            yield record["id"]


def starts_in(reports: Iterable[Report], since: float, until: float) -> list[float]:
    """Return the sorted start times of calls after `since` and up to `until`."""
    return sorted(
        record["start"]
        for report in reports
        for record in report["records"]
        if since < record["start"] <= until
    )
