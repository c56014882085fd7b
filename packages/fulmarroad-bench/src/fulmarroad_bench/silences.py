"""Run routers before engines that fall silent, end or leave answers stuck.

    python -m fulmarroad_bench.silences                      # every form once
    python -m fulmarroad_bench.silences --form short,long --seeds 2
    python -m fulmarroad_bench.silences --form calm --tree PATH   # another checkout

Four routers run as processes on loopback; engines, callers and the store run in this
process. `docs/MEASURES.md` defines the fields of each line of output.
"""

from __future__ import annotations

import functools
import json
from collections.abc import Sequence
from pathlib import Path

import fire

from fulmarroad_bench._form_options import OptionError, chosen_forms, log_directory
from fulmarroad_bench._platform_routers import default_tree, loopback_network
from fulmarroad_bench._processes import run_main
from fulmarroad_bench._silence_forms import FORMS
from fulmarroad_bench._silence_run import RunPlan, run_load

USUAL_RETRY_BURST = 50


def main(
    form: str | Sequence[str] = "",
    seeds: int = 1,
    first_seed: int = 1,
    tree: str = "",
    logs: str = "",
    retry_burst: int = USUAL_RETRY_BURST,
) -> None:
    """Run the load and print one JSON line for each form and seed.

    Args:
        form: Name of a form, or several separated by commas; empty for all.
        seeds: Number of runs of each form, each with another seed.
        first_seed: Seed of the first run.
        tree: Checkout whose routers are run; empty for this one.
        logs: Directory for the routers' logs; they are removed without it.
        retry_burst: Retries that the fleet may send beyond its fraction of requests.

    """
    checkout = Path(tree).resolve() if tree else default_tree()
    numbers = range(first_seed, first_seed + seeds)
    runs = [(name, seed) for name in form_names(form) for seed in numbers]
    for number, (name, seed) in enumerate(runs):
        plan = RunPlan(
            FORMS[name],
            seed,
            checkout,
            retry_burst,
            loopback_network(number),
            log_directory(logs, name, seed),
        )
        line = run_main(functools.partial(run_load, plan))
        print(json.dumps({"form": name, "seed": seed, **line}), flush=True)


def form_names(form: str | Sequence[str]) -> list[str]:
    """Return the chosen forms, or all; exit with a message for an unknown one."""
    try:
        return chosen_forms(form, FORMS)
    except OptionError as error:
        raise SystemExit(error.message) from error


if __name__ == "__main__":
    fire.Fire(main)
