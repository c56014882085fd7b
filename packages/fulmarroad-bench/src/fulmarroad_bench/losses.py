"""Say where calls were lost, from the log lines of serving routers.

    python -m fulmarroad_bench.losses LOG...            # tables
    python -m fulmarroad_bench.losses LOG... --json     # the same as one JSON object

Each call ends with one line, which holds what the decision went by. This groups those
lines by route, workspace, prompt size and second, and names a cause for each call that
was not answered on time. What stands before a line's JSON is ignored. A caller who
comes back after a refusal counts again: routers can't tell returns from first tries.
"""

from __future__ import annotations

import json
import statistics
from collections import Counter
from collections.abc import Iterable, Iterator, Mapping
from pathlib import Path
from typing import Any

import fire
from attrs import define, field

from fulmarroad.events import Event
from fulmarroad.types import RefusalReason

ENDS = frozenset(
    event.value.number
    for event in (
        Event.REQUEST_DONE,
        Event.REQUEST_REFUSED,
        Event.REQUEST_UNKNOWN,
        Event.CALLER_LEFT,
        Event.STREAM_BROKEN,
    )
)

ON_TIME = "on_time"
RETRIED = "late_tried_again"
EXPECTED_LATE = "late_as_expected"
MISJUDGED = "late_misjudged"
ABOVE_SHARE = "refused_above_share"
NO_PLACE = "refused_no_place"

SECONDS_EACH = 2.0
"""Width of the rows by time: short enough to tell a fault of a few seconds."""


@define
class Group:
    """Count how the calls of one group ended."""

    ends: Counter[str] = field(factory=Counter)
    waits_s: list[float] = field(factory=list)  # expected when they were refused

    @property
    def asked(self) -> int:
        """Return all calls of the group."""
        return sum(self.ends.values())

    def summary(self) -> dict[str, Any]:
        """Return the figures of the group; the wait is in seconds."""
        wait_s = statistics.median(self.waits_s) if self.waits_s else None
        return {
            "asked": self.asked,
            **dict(self.ends.most_common()),
            "median_wait_at_refusal_s": wait_s,
        }


def read_lines(lines: Iterable[str]) -> Iterator[Mapping[str, Any]]:
    """Yield the last line of each call that named a route."""
    for line in lines:
        start = line.find("{")
        if start < 0:
            continue
        try:
            row = json.loads(line[start:])
        except ValueError:
            continue  # a line of another program, or one that was cut
        if isinstance(row, dict) and row.get("event") in ENDS and row.get("route"):
            yield row


def outcome_of(row: Mapping[str, Any]) -> str:
    """Return how a call ended, with the cause where it was not on time."""
    outcome, objective_s = row["outcome"], row["objective_s"]
    if outcome == RefusalReason.ABOVE_SHARE:
        return ABOVE_SHARE
    if outcome == RefusalReason.WAIT_TOO_LONG:
        return ABOVE_SHARE if row["share_used"] > 1.0 else NO_PLACE
    if outcome != "served":
        return str(outcome)
    if row["first_s"] <= objective_s:
        return ON_TIME
    if row["sends"] > 1:
        return RETRIED
    expected_s = row.get("held_s", 0.0) + row["expected_s"]
    return EXPECTED_LATE if expected_s > objective_s else MISJUDGED


def size_of(row: Mapping[str, Any]) -> str:
    """Return the power of two below the size of a call's prompt, as a label."""
    tokens = int(row.get("shared_tokens", 0)) + int(row.get("own_tokens", 0))
    return f"{1 << (tokens.bit_length() - 1):>7}" if tokens else "plain"


def group_calls(
    rows: Iterable[Mapping[str, Any]],
) -> dict[str, dict[str, Group]]:
    """Return the groups of calls, by what they are grouped by and its value."""
    groups: dict[str, dict[str, Group]] = {
        name: {} for name in ("route", "workspace", "size", "second")
    }
    for row in rows:
        arrived = _seconds(row.get("time", "")) - row["seconds"]
        keys = {
            "route": row["route"],
            "workspace": row["workspace"] or "(none)",
            "size": size_of(row),
            "second": f"{arrived // SECONDS_EACH * SECONDS_EACH:8.0f}",
        }
        end = outcome_of(row)
        for name, key in keys.items():
            group = groups[name].setdefault(key, Group())
            group.ends[end] += 1
            if row["outcome"] == RefusalReason.WAIT_TOO_LONG:
                group.waits_s.append(row["wait_s"])
    return groups


def _seconds(time: str) -> float:
    """Return the second of the day of a line's time, `YYYY-MM-DD HH:MM:SS,mmm`."""
    try:
        hours, minutes, seconds = time.split(" ")[1].replace(",", ".").split(":")
        return 3600 * int(hours) + 60 * int(minutes) + float(seconds)
    except (IndexError, ValueError):
        return 0.0


def table(name: str, groups: Mapping[str, Group]) -> str:
    """Return one grouping as text, the ends in the order of their number."""
    total: Counter[str] = Counter()
    for group in groups.values():
        total.update(group.ends)
    ends = [end for end, _ in total.most_common()]
    width = max([len(name), *(len(key) for key in groups)])
    lines = [f"{name:{width}} {'asked':>7} " + " ".join(f"{end:>12}" for end in ends)]
    for key in sorted(groups):
        group = groups[key]
        cells = " ".join(f"{group.ends[end]:>{max(12, len(end))}}" for end in ends)
        lines.append(f"{key:{width}} {group.asked:>7} {cells}")
    return "\n".join(lines)


def main(*paths: str, json: bool = False) -> None:
    """Print where the calls of some logs were lost."""
    if not paths:
        raise SystemExit("Name one log file or more.")
    texts = (Path(path).read_text(errors="replace").splitlines() for path in paths)
    groups = group_calls(read_lines(line for text in texts for line in text))
    if json:
        print(_as_json(groups))
        return
    print("\n\n".join(table(name, rows) for name, rows in groups.items()))


def _as_json(groups: Mapping[str, Mapping[str, Group]]) -> str:
    return json.dumps(
        {
            name: {key.strip(): row.summary() for key, row in rows.items()}
            for name, rows in groups.items()
        }
    )


if __name__ == "__main__":
    fire.Fire(main)
