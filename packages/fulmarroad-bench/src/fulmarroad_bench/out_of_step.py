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
import itertools
import json
import sys
from collections.abc import Iterable, Sequence
from pathlib import Path

import fire

from fulmarroad.exceptions import FulmarroadError
from fulmarroad_bench._form_options import (
    OptionError,
    chosen_forms,
    chosen_seeds,
    log_directory,
)
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
    try:
        names = chosen_forms(form, FORMS)
        numbers = chosen_seeds(seeds, first_seed)
        checkout, wait_s = checkout_of(tree), settle_seconds(settle)
        plans = [
            (
                name,
                RunPlan(
                    FORMS[name],
                    seed,
                    WorldPlan(checkout, loopback_network(number), wait_s),
                    log_directory(logs, name, seed),
                ),
            )
            for number, (name, seed) in enumerate(itertools.product(names, numbers))
        ]
        two_versions = _run_all(plans)
    except FulmarroadError as error:
        print(error.format_message(), file=sys.stderr)
        is_usage = isinstance(error, OptionError)
        sys.exit(EXIT_USAGE if is_usage else EXIT_NOT_RUN)
    if two_versions:
        sys.exit(EXIT_TWO_VERSIONS)


def settle_seconds(settle: float) -> float:
    """Return the time to settle; raise `OptionError` if it is none."""
    if not isinstance(settle, int | float) or not 0 <= settle <= MAX_SETTLE_S:
        raise OptionError(
            f"The time to settle is 0 to {MAX_SETTLE_S} seconds: not {settle!r}."
        )
    return settle


def checkout_of(tree: str) -> Path:
    """Return the checkout to run; raise `OptionError` if it has no router."""
    checkout = Path(str(tree)).resolve() if tree else default_tree()
    if not (checkout / "deploy" / "router.py").is_file():
        raise OptionError(f"{checkout} is no checkout: it has no deploy/router.py.")
    return checkout


def _run_all(runs: Iterable[tuple[str, RunPlan]]) -> int:
    """Run plans by the names of their forms; return the texts of two versions."""
    two_versions = 0
    for name, plan in runs:
        line = run_main(functools.partial(run_form, plan))
        print(json.dumps({"form": name, "seed": plan.seed, **line}), flush=True)
        two_versions += line["two_versions"]
    return two_versions


if __name__ == "__main__":
    fire.Fire(main)
