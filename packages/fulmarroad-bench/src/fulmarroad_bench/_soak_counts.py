"""Figures of streams that were taken up, from what their callers received."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Sequence
from pathlib import Path
from typing import Any

from fulmarroad.events import Event
from fulmarroad_bench._soak_callers import Answer, Stream
from fulmarroad_bench.losses import read_lines


def count_streams(streams: Sequence[Stream], fresh: Sequence[Stream]) -> dict[str, Any]:
    """Return the figures of one run."""
    taken_up = [row for row in streams if row.taken_up is not None]
    kinds = {
        "named": [row for row in taken_up if row.named],
        "unnamed": [row for row in taken_up if not row.named],
    }
    return {
        "streams": len(streams),
        "not_begun": _statuses(row.begun for row in streams if not row.last_event),
        "taken_up": len(taken_up),
        **{name: _count_kind(rows) for name, rows in kinds.items()},
        "two_versions": sum(holds_two_versions(row) for row in (*streams, *fresh)),
        "fresh": len(fresh),
        "fresh_served": sum(row.begun.complete and row.whole for row in fresh),
        "slowest_refusal_s": round(max(_refusal_seconds(taken_up), default=0.0), 3),
    }


def count_reasons(logs: Iterable[Path]) -> dict[str, int]:
    """Count the refusals in routers' logs by their reasons, most frequent first."""
    lines = (
        line for log in logs for line in log.read_text(errors="replace").splitlines()
    )
    reasons = Counter(
        row["outcome"]
        for row in read_lines(lines)
        if row["event"] == Event.REQUEST_REFUSED.value.number
    )
    return dict(reasons.most_common())


def holds_two_versions(stream: Stream) -> bool:
    """Return whether a caller got a text of two versions."""
    return len(set(stream.versions)) > 1


def _count_kind(taken_up: Sequence[Stream]) -> dict[str, Any]:
    answers = [row.taken_up for row in taken_up if row.taken_up is not None]
    begun_on = Counter(row.versions[0] for row in taken_up)
    return {
        "taken_up": len(taken_up),
        "begun_on": dict(sorted(begun_on.items())),
        "went_on": sum(row.whole for row in taken_up),
        "two_versions": sum(holds_two_versions(row) for row in taken_up),
        "refused": _statuses(row for row in answers if row.status != 200),
    }


def _statuses(answers: Iterable[Answer]) -> dict[str, int]:
    """Count answers by status; 0 is none at all."""
    counts = Counter(row.status for row in answers)
    return {str(status): counts[status] for status in sorted(counts)}


def _refusal_seconds(taken_up: Sequence[Stream]) -> list[float]:
    answers = [row.taken_up for row in taken_up if row.taken_up is not None]
    return [row.seconds for row in answers if row.status != 200]
