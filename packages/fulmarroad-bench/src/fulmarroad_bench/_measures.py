"""Compute the measures of a run from the records of callers and backend servers.

docs/MEASURES.md has the definitions and units.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import Any

import numpy as np
from attrs import frozen

from fulmarroad_bench._checks import check, starts_in
from fulmarroad_bench._gap import Gap, ServiceEvent, fairness_gap
from fulmarroad_bench._intervals import (
    Interval,
    intersected,
    merged,
    total,
    trim_starts,
    where_true,
)
from fulmarroad_bench._load import CallResult

IDLE_TOLERANCE_S = 0.05
"""Seconds that a slot may stay free while a request waits before it counts as idle.

A grant takes a message in each direction between routers and a new connection; a
shorter wait is that delay, a longer one means that work was left unassigned."""
PROMPT_COST = 0.25
"""Service units of one prompt token, as in the pools table."""

Report = dict[str, Any]


@frozen
class Run:
    """Hold the observations of one run; times are monotonic seconds."""

    start: float
    end: float
    results: Sequence[CallResult]
    engines: Sequence[Report]
    plains: Sequence[Report]
    weights: Mapping[str, float]
    centre_of: Mapping[str, str]  # by engine or plain service
    removed_centre: str = ""
    removed_at: float = 0.0
    restored_at: float = 0.0

    @property
    def window(self) -> list[Interval]:
        """Return the measured period."""
        return [(self.start, self.end)]

    def out_intervals(self, server: str) -> list[Interval]:
        """Return when the server's data centre was out of service."""
        if not self.removed_centre or self.centre_of.get(server) != self.removed_centre:
            return []
        return [(self.removed_at, self.restored_at or self.end)]


def service_events(run: Run) -> list[ServiceEvent]:
    """Return the weighted service that model engines gave, as recorded."""
    events = []
    for report in run.engines:
        records = report["records"]
        begun: set[int] = set()
        for at, index, tokens in report["service"]:
            record = records[index]
            workspace = record["workspace"]
            service = float(tokens)
            if index not in begun:
                begun.add(index)
                service += PROMPT_COST * record["prompt_tokens"]
            events.append(ServiceEvent(at, workspace, service / run.weights[workspace]))
    return events


def first_starts(reports: Sequence[Report]) -> dict[str, float]:
    """Return when each request first ran on a backend server."""
    starts: dict[str, float] = {}
    for report in reports:
        for record in report["records"]:
            if record["state"] == "refused":
                continue
            known = starts.get(record["id"], record["start"])
            starts[record["id"]] = min(known, record["start"])
    return starts


def waiting_intervals(run: Run) -> list[tuple[str, Interval]]:
    """Return each model request's workspace and time from sending to start.

    The wait of a request that never started lasts until its call ended.
    """
    starts = first_starts(run.engines)
    return [
        (result.workspace, (result.sent_at, starts.get(result.id, result.end_at)))
        for result in run.results
        if result.kind == "chat"
    ]


def backlogged(run: Run) -> dict[str, list[Interval]]:
    """Return when each workspace had model requests waiting in the measured period."""
    by_workspace: dict[str, list[Interval]] = {name: [] for name in run.weights}
    for workspace, interval in waiting_intervals(run):
        by_workspace[workspace].append(interval)
    return {
        name: intersected(merged(intervals), run.window)
        for name, intervals in by_workspace.items()
    }


def gap_of(run: Run) -> Gap:
    """Return the fairness gap of a run."""
    return fairness_gap(service_events(run), backlogged(run))


def utilisation(run: Run) -> float:
    """Return the share of the engines' full throughput that was used.

    Engines of a removed data centre are left out.
    """
    work = capacity = 0.0
    for report in run.engines:
        samples = [s for s in report["samples"] if run.start <= s[0] <= run.end]
        if len(samples) < 2 or _was_removed(run, report):
            continue
        work += samples[-1][3] - samples[0][3]
        capacity += samples[-1][4] - samples[0][4]
    return work / capacity if capacity else 0.0


def _was_removed(run: Run, report: Report) -> bool:
    return bool(run.out_intervals(report["name"]))


def free_intervals(report: Report, end: float) -> list[Interval]:
    """Return when an engine could have run one more request at full speed."""
    changes = [(sample[0], 0, sample[2]) for sample in report["samples"]]
    for record in report["records"]:
        if record["state"] != "refused":
            changes.append((record["start"], 1, -1))
            changes.append((record["end"] or end, -1, -1))
    running = slots = 0
    steps = []
    for at, change, new_slots in sorted(changes):
        running += change
        slots = new_slots if new_slots >= 0 else slots
        steps.append((at, running < slots))
    return where_true(steps, end)


def idle_while_waiting(run: Run) -> list[Interval]:
    """Return when a slot was free and a request waited, beyond `IDLE_TOLERANCE_S`."""
    free: list[Interval] = []
    for report in run.engines:
        free_here = free_intervals(report, run.end)
        removed = run.out_intervals(report["name"])
        free_here = intersected(free_here, _outside(removed, run.start, run.end))
        free += trim_starts(free_here, IDLE_TOLERANCE_S)
    waits = [interval for _, interval in waiting_intervals(run)]
    waiting = merged(trim_starts(waits, IDLE_TOLERANCE_S))
    return intersected(intersected(merged(free), waiting), run.window)


def _outside(removed: Sequence[Interval], start: float, end: float) -> list[Interval]:
    """Return the time from start to end outside of sorted, disjoint intervals."""
    kept, at = [], start
    for left, back in removed:
        kept.append((at, left))
        at = back
    return merged([*kept, (at, end)])


def percentile_ms(seconds: Sequence[float], share: float) -> float:
    """Return a percentile in milliseconds; 0 without values."""
    if not seconds:
        return 0.0
    return round(float(np.percentile(np.array(seconds), share)) * 1000, 1)


def measures(run: Run) -> dict[str, Any]:
    """Return the measures computed from callers and backend servers alone."""
    seen = [r for r in run.results if run.start <= r.sent_at <= run.end]
    checks = check(run.results, run.engines, run.plains)
    outcomes = [result.outcome for result in run.results]
    gap = gap_of(run)
    return {
        "requests": len(run.results),
        "completed": outcomes.count("completed"),
        "refused_not_run": outcomes.count("refused"),
        "unknown": outcomes.count("unknown"),
        "failed": outcomes.count("failed"),
        "left": outcomes.count("left"),
        "unreachable": outcomes.count("unreachable"),
        "wrong_answers": checks.wrong_answers,
        "doubled": checks.doubled,
        "cut_off": checks.cut_off,
        "false_not_run": checks.false_not_run,
        "unheard": checks.unheard,
        "fairness_gap": round(gap.value, 1),
        "fairness_gap_between": [gap.more_served, gap.less_served],
        "utilisation": round(utilisation(run), 4),
        "idle_while_waiting_s": round(total(idle_while_waiting(run)), 3),
        "cold_overload": sum(report["overloads"] for report in run.engines),
        **latencies(seen),
        **shift_measures(run),
    }


def latencies(results: Sequence[CallResult]) -> dict[str, float]:
    """Return the latencies of completed model calls, as the callers measured them."""
    done = [r for r in results if r.outcome == "completed" and r.kind == "chat"]
    first = [r.first_at - r.sent_at for r in done]
    whole = [r.end_at - r.sent_at for r in done]
    return {
        "ttft_p95_ms": percentile_ms(first, 95),
        "p50_ms": percentile_ms(whole, 50),
        "p95_ms": percentile_ms(whole, 95),
        "p99_ms": percentile_ms(whole, 99),
    }


def shift_measures(run: Run) -> dict[str, float | None]:
    """Return the measures of calls sent while a data centre was out of service."""
    if not run.removed_centre:
        fields = ("served_while_leaving_share", "last_work_after_leave_s")
        return dict.fromkeys((*fields, "p95_steady_ms", "p95_shift_ms"))
    back = run.restored_at or run.end
    during = [r for r in run.results if run.removed_at <= r.sent_at < back]
    before = [r for r in run.results if run.start <= r.sent_at < run.removed_at]
    counted = [r for r in during if r.outcome != "left"]
    done = sum(r.outcome == "completed" for r in counted)
    removed_reports = [
        report
        for report in (*run.engines, *run.plains)
        if run.centre_of.get(report["name"]) == run.removed_centre
    ]
    starts = starts_in(removed_reports, run.removed_at, back)
    return {
        "served_while_leaving_share": round(done / len(counted), 4) if counted else 1.0,
        "last_work_after_leave_s": round(starts[-1] - run.removed_at, 3)
        if starts
        else 0.0,
        "p95_steady_ms": latencies(before)["p95_ms"],
        "p95_shift_ms": latencies(during)["p95_ms"],
    }
