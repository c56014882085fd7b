"""Simulate fleets under hard load with the routers' optional features on or off.

    python -m fulmarroad_bench.hard_load --form uneven_servers --seeds 2
    python -m fulmarroad_bench.hard_load --features "spillover=off,engine_speeds=on"
    python -m fulmarroad_bench.hard_load --ablation     # each feature off in turn
    python -m fulmarroad_bench.hard_load --estimates    # errors of expected times

Forms are `beyond_capacity` and `uneven_servers`. Each line of output is a JSON object
for one day.
"""

from __future__ import annotations

import json
import time
from collections.abc import Mapping, Sequence
from statistics import fmean
from typing import Any

import fire
from attrs import evolve, fields

from fulmarroad_bench._lab_day import SimulatedDay, summary
from fulmarroad_bench._lab_estimates import estimate_summary
from fulmarroad_bench._lab_forms import FORMS, Form
from fulmarroad_bench._lab_simulation import simulate_fleet
from fulmarroad_bench._lab_traffic import arrivals
from fulmarroad_serving import Features, parse_features

COLUMNS = (
    "worth",
    "least_worth",
    "on_time",
    "late",
    "refused",
    "failed",
    "reading_fraction",
    "read_again",
    "placements",
)
"""Figures of a day that the table of an ablation shows, as means over the seeds."""


def simulate_form(
    form: Form, seed: int, features: str = "", seconds: float = 0.0
) -> SimulatedDay:
    """Simulate one day of a form; `seconds` overrides its length if it isn't 0.

    `features` holds `name=mode` pairs separated by commas. Raises `ConfigurationError`
    for an unknown one.
    """
    workload = evolve(form.workload, seconds=seconds or form.workload.seconds)
    fleet = evolve(form.fleet, features=parse_features(features))
    return simulate_fleet(workload, fleet, arrivals(workload, seed), seed)


def figures(form: Form, day: SimulatedDay) -> dict[str, Any]:
    """Return the figures of a day."""
    row = summary(form.workload, day)
    return {
        "form": form.name,
        "seed": day.seed,
        "calls": row["calls"],
        "worth": row["worth"],
        "least_worth": min(row["by_workspace"].values()),
        "on_time": row["on_time"],
        "late": row["late"],
        "refused": row["refused"],
        "failed": row["failed"],
        "reading_fraction": round(day.reading_fraction, 3),
        "read_again": day.reread_tokens,
        "placements": day.placements,
        "by_class": row["by_class"],
    }


def ablations() -> dict[str, str]:
    """Return the settings of features to compare, by name."""
    names = [row.name for row in fields(Features)]
    all_off = ",".join(f"{name}=off" for name in names)
    return {
        "as configured": "",
        **{f"without {name}": f"{name}=off" for name in names},
        "without any": all_off,
    }


def table(rows: Mapping[str, Sequence[Mapping[str, Any]]]) -> str:
    """Return a table of mean figures, one line for each setting of the features."""
    head = f"{'features':<28}" + "".join(f"{name:>17}" for name in COLUMNS)
    lines = [head]
    for name, days in rows.items():
        means = (fmean(day[column] for day in days) for column in COLUMNS)
        cells = (f"{mean:.3f}" if mean < 10 else f"{mean:.0f}" for mean in means)
        lines.append(f"{name:<28}" + "".join(f"{cell:>17}" for cell in cells))
    return "\n".join(lines)


def main(
    form: str = "uneven_servers",
    seeds: int = 1,
    features: str = "",
    seconds: float = 0.0,
    ablation: bool = False,
    estimates: bool = False,
) -> None:
    """Simulate days of a form and print their figures.

    Args:
        form: Name of the form.
        seeds: Number of days, each with another seed.
        features: Modes of the routers' features, as in `FULMARROAD_FEATURES`.
        seconds: Length of a day; 0 for the form's own.
        ablation: Compare the days with each feature switched off in turn.
        estimates: Also print the error of the expected time to the first token.
    """
    chosen = FORMS.get(form)
    if chosen is None:
        raise SystemExit(f"Unknown form {form!r}. Use one of {', '.join(FORMS)}.")
    settings = ablations() if ablation else {"": features}
    rows: dict[str, list[dict[str, Any]]] = {}
    for name, text in settings.items():
        for seed in range(1, seeds + 1):
            started = time.process_time()
            day = simulate_form(chosen, seed, text, seconds)
            row = figures(chosen, day) | {"features": text}
            row["processor_s"] = round(time.process_time() - started, 1)
            rows.setdefault(name, []).append(row)
            print(json.dumps(row), flush=True)
            if estimates:
                print(json.dumps(estimate_summary(day.estimates)), flush=True)
    if ablation:
        print(table(rows))


if __name__ == "__main__":
    fire.Fire(main)
