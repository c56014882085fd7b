"""Run scenarios, policies and seeds one after the other and tabulate the results."""

from __future__ import annotations

import json
import sys
from collections.abc import Sequence
from pathlib import Path
from typing import Any

import fire

from fulmarroad.exceptions import FulmarroadError
from fulmarroad_bench._standin_host import as_tuple
from fulmarroad_bench.runner import RESULTS, run_file

SCENARIOS = Path("bench/scenarios")
COLUMNS = (
    ("scenario", 28),
    ("policy", 6),
    ("routers", 7),
    ("seed", 4),
    ("completed", 9),
    ("refused_not_run", 15),
    ("unknown", 7),
    ("failed", 6),
    ("broken", 6),
    ("fairness_gap", 12),
    ("fairness_gap_bound", 18),
    ("utilisation", 11),
    ("idle_while_waiting_s", 20),
    ("cold_overload", 13),
    ("control_bytes_per_node_s", 24),
    ("control_cpu_share", 17),
    ("ttft_p95_ms", 11),
    ("p95_ms", 8),
)
VIOLATION_FIELDS = (
    "wrong_answers",
    "doubled",
    "cut_off",
    "false_not_run",
    "unheard",
    "config_reverts",
    "unfinished",
    "bad_exits",
)
"""Fields that must be 0 in a correct run; the table shows their sum."""


def find_scenarios(patterns: Sequence[str]) -> list[Path]:
    """Return the scenario files that match any pattern, sorted."""
    found = {path for pattern in patterns for path in SCENARIOS.glob(f"{pattern}.toml")}
    return sorted(found)


def row_of(line: dict[str, Any]) -> str:
    """Return one run as a row of the table."""
    shown = {**line, "broken": sum(line[key] for key in VIOLATION_FIELDS)}
    return "  ".join(f"{shown[key]!s:>{width}}" for key, width in COLUMNS)


def header() -> str:
    """Return the header row of the table."""
    return "  ".join(f"{key:>{width}}" for key, width in COLUMNS)


def main(
    scenarios: str = "*",
    policies: str = "fleet",
    seeds: str = "1",
    routers: str = "0",
    out: str = "rounds.jsonl",
) -> None:
    """Run every combination and append the measures to a file under bench/results.

    Args:
        scenarios: scenario names with wildcards, comma-separated.
        policies: fleet, local or fifo, comma-separated.
        seeds: seeds, comma-separated.
        routers: numbers of routers, comma-separated; 0 takes the scenario's.
        out: name of the JSON Lines file.

    """
    RESULTS.mkdir(parents=True, exist_ok=True)
    print(header(), flush=True)
    for path in find_scenarios(as_tuple(scenarios)):
        for policy in as_tuple(policies):
            for count in as_tuple(routers):
                for seed in as_tuple(seeds):
                    _run(path, int(seed), policy, int(count), RESULTS / out)


def _run(path: Path, seed: int, policy: str, routers: int, out: Path) -> None:
    """Run one combination; report a failed run without stopping the rest."""
    try:
        line = run_file(path, seed, policy, routers)
    except FulmarroadError as error:
        print(f"{path.stem} {policy} {seed}: {error.format_message()}", file=sys.stderr)
        return
    print(row_of(line), flush=True)
    with out.open("a") as lines:
        lines.write(json.dumps(line) + "\n")


if __name__ == "__main__":
    fire.Fire(main)
