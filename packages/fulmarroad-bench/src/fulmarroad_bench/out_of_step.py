"""Break streams while one router is out of step, and take them up there.

    python -m fulmarroad_bench.out_of_step                      # every form once
    python -m fulmarroad_bench.out_of_step --form cut_1_killed --seeds 2
    python -m fulmarroad_bench.out_of_step --form one_version --tree PATH

Four routers run as processes on loopback; servers, callers, the store and what lies
between the routers run in this process. The exit code is 1 if a caller got a text of
two versions, 2 for invalid options, 3 if a run could not be completed.
`docs/MEASURES.md` defines the output.
"""

from __future__ import annotations

import functools
import json
import sys
from collections.abc import Sequence
from pathlib import Path
from typing import NoReturn

import fire

from fulmarroad.exceptions import FulmarroadError
from fulmarroad_bench._platform_routers import default_tree, loopback_network
from fulmarroad_bench._processes import run_main
from fulmarroad_bench._soak_forms import FORMS
from fulmarroad_bench._soak_run import RunPlan, run_form
from fulmarroad_bench._soak_world import USUAL_SETTLE_S, WorldPlan

EXIT_TWO_VERSIONS, EXIT_USAGE, EXIT_NOT_RUN = 1, 2, 3

MAX_SETTLE_S = 600


def main(
    form: str | Sequence[str] = "",
    seeds: int = 1,
    first_seed: int = 1,
    tree: str = "",
    logs: str = "",
    settle: float = USUAL_SETTLE_S,
) -> None:
    """Run forms and print one JSON line for each form and seed.

    Args:
        form: Name of a form, or several separated by commas; empty for all.
        seeds: Number of runs of each form, each with another seed.
        first_seed: Seed of the first run.
        tree: Checkout whose routers are run; empty for this one.
        logs: Directory for the routers' logs; they are removed without it.
        settle: Seconds from the routers' readiness to the first event.

    """
    names = form_names(form)
    numbers = seed_numbers(seeds, first_seed)
    checkout, wait_s = checkout_of(tree), settle_seconds(settle)
    two_versions = 0
    runs = [(name, seed) for name in names for seed in numbers]
    for number, (name, seed) in enumerate(runs):
        world = WorldPlan(checkout, loopback_network(number), wait_s)
        plan = RunPlan(FORMS[name], seed, world, _log_directory(logs, name, seed))
        try:
            line = run_main(functools.partial(run_form, plan))
        except FulmarroadError as error:
            _exit(error.message, EXIT_NOT_RUN)
        print(json.dumps({"form": name, "seed": seed, **line}), flush=True)
        two_versions += line["two_versions"]
    if two_versions:
        sys.exit(EXIT_TWO_VERSIONS)


def form_names(form: str | Sequence[str]) -> list[str]:
    """Return the chosen forms, or all; exit with a message for an unknown one."""
    # The command line turns names separated by commas into a tuple.
    names = str(form).split(",") if not isinstance(form, list | tuple) else list(form)
    names = names if form else list(FORMS)
    for name in names:
        if name not in FORMS:
            _exit(f"Unknown form {name!r}. Use one of {', '.join(FORMS)}.")
    return names


def seed_numbers(seeds: int, first_seed: int) -> range:
    """Return the seeds to run; exit with a message if there are none."""
    if not isinstance(seeds, int) or not isinstance(first_seed, int) or seeds < 1:
        _exit(f"Seeds are whole numbers, at least one: not {seeds!r}, {first_seed!r}.")
    return range(first_seed, first_seed + seeds)


def settle_seconds(settle: float) -> float:
    """Return the time to settle; exit with a message if it is none."""
    if not isinstance(settle, int | float) or not 0 <= settle <= MAX_SETTLE_S:
        _exit(f"The time to settle is 0 to {MAX_SETTLE_S} seconds: not {settle!r}.")
    return settle


def checkout_of(tree: str) -> Path:
    """Return the checkout to run; exit with a message if it has no router."""
    checkout = Path(str(tree)).resolve() if tree else default_tree()
    if not (checkout / "deploy" / "router.py").is_file():
        _exit(f"{checkout} is no checkout: it has no deploy/router.py.")
    return checkout


def _exit(message: str, code: int = EXIT_USAGE) -> NoReturn:
    print(message, file=sys.stderr)
    sys.exit(code)


def _log_directory(logs: str, form: str, seed: int) -> Path | None:
    if not logs:
        return None
    directory = Path(logs).resolve() / f"{form}-{seed}"
    directory.mkdir(parents=True, exist_ok=True)
    return directory


if __name__ == "__main__":
    fire.Fire(main)
