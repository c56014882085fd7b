"""Options of commands that run forms with seeds."""

from __future__ import annotations

from collections.abc import Collection, Sequence
from pathlib import Path

from fulmarroad.exceptions import FulmarroadError


class OptionError(FulmarroadError):
    """Report an invalid option."""


def chosen_forms(form: str | Sequence[str], known: Collection[str]) -> list[str]:
    """Return the chosen forms, or all; raise `OptionError` for an unknown one."""
    # The command line turns names separated by commas into a tuple.
    names = list(form) if isinstance(form, list | tuple) else str(form).split(",")
    names = names if form else list(known)
    for name in names:
        if name not in known:
            raise OptionError(f"Unknown form {name!r}. Use one of {', '.join(known)}.")
    return names


def chosen_seeds(seeds: int, first_seed: int) -> range:
    """Return the seeds to run; raise `OptionError` if there are none."""
    if not isinstance(seeds, int) or not isinstance(first_seed, int) or seeds < 1:
        raise OptionError(
            f"Seeds are whole numbers, at least one: not {seeds!r}, {first_seed!r}."
        )
    return range(first_seed, first_seed + seeds)


def log_directory(logs: str, form: str, seed: int) -> Path | None:
    """Return the directory for the logs of one run, without logs of an earlier one."""
    if not logs:
        return None
    directory = Path(logs).resolve() / f"{form}-{seed}"
    directory.mkdir(parents=True, exist_ok=True)
    for log in directory.glob("*.log"):
        log.unlink()
    return directory
