"""Show which calls were refused, late or failed, from the logs of serving routers.

    python -m fulmarroad_bench.losses LOG...            # tables
    python -m fulmarroad_bench.losses LOG... --json     # the same as one JSON object

Routers log one line at the end of each call, with the figures that its placement was
based on. This program groups those lines by route, workspace, prompt size and time, and
gives a cause for each call that was not answered on time. Text before a line's JSON is
ignored. A caller's retry after a refusal counts as another call, because routers can't
distinguish retries from first attempts.
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

END_EVENTS = frozenset(
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

TIME_ROW_S = 2.0
"""Length of a time row in seconds; short enough to show a fault of a few seconds."""


@define
class Group:
    """Count the calls of one group by outcome."""

    ends: Counter[str] = field(factory=Counter)
    waits_s: list[float] = field(factory=list)  # expected, of calls refused

    @property
    def asked(self) -> int:
        """Return the number of calls in the group."""
        return sum(self.ends.values())

    def summary(self) -> dict[str, Any]:
        """Return the number of calls by outcome and the median wait in seconds."""
        wait_s = statistics.median(self.waits_s) if self.waits_s else None
        return {
            "asked": self.asked,
            **dict(self.ends.most_common()),
            "median_wait_at_refusal_s": wait_s,
        }


def read_lines(lines: Iterable[str]) -> Iterator[Mapping[str, Any]]:
    """Yield the final log line of each call whose route is known."""
    for line in lines:
        start = line.find("{")
        if start < 0:
            continue
        try:
            row = json.loads(line[start:])
        except ValueError:
            continue  # a line of another program, or a truncated one
        if (
            isinstance(row, dict)
            and row.get("event") in END_EVENTS
            and row.get("route")
        ):
            yield row


def outcome_of(row: Mapping[str, Any]) -> str:
    """Return the outcome of a call, with the cause if it was not answered on time."""
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


def prompt_size_label(row: Mapping[str, Any]) -> str:
    """Return the largest power of two up to a prompt's size in tokens, as a label."""
    tokens = int(row.get("shared_tokens", 0)) + int(row.get("own_tokens", 0))
    return f"{1 << (tokens.bit_length() - 1):>7}" if tokens else "plain"


def group_calls(
    rows: Iterable[Mapping[str, Any]],
) -> dict[str, dict[str, Group]]:
    """Return the groups of calls by grouping (`route`, …) and then by its value."""
    groups: dict[str, dict[str, Group]] = {
        name: {} for name in ("route", "workspace", "size", "second")
    }
    for row in rows:
        arrived = _seconds_of_day(row.get("time", "")) - row["seconds"]
        keys = {
            "route": row["route"],
            "workspace": row["workspace"] or "(none)",
            "size": prompt_size_label(row),
            "second": f"{arrived // TIME_ROW_S * TIME_ROW_S:8.0f}",
        }
        end = outcome_of(row)
        for name, key in keys.items():
            group = groups[name].setdefault(key, Group())
            group.ends[end] += 1
            if row["outcome"] == RefusalReason.WAIT_TOO_LONG:
                group.waits_s.append(row["wait_s"])
    return groups


def _seconds_of_day(time: str) -> float:
    """Return the seconds since midnight of a time `YYYY-MM-DD HH:MM:SS,mmm`."""
    try:
        hours, minutes, seconds = time.split(" ")[1].replace(",", ".").split(":")
        return 3600 * int(hours) + 60 * int(minutes) + float(seconds)
    except (IndexError, ValueError):
        return 0.0


def table(name: str, groups: Mapping[str, Group]) -> str:
    """Return one grouping as a text table, most frequent outcomes first."""
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
    """Print the calls of router logs, grouped and by outcome.

    Args:
        paths: log files.
        json: print one JSON object instead of tables.

    """
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
