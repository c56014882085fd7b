"""Run routers of the users' platform as processes, from any checkout."""

from __future__ import annotations

import os
import signal
import sys
from pathlib import Path

import anyio

from fulmarroad_bench._processes import Child, ProcessError, Processes
from fulmarroad_platform.standin import SETTINGS_PATH_VARIABLE

METRICS_PORT = 7410
PASSED_VARIABLES = ("PATH", "HOME", "LANG", "FULMARROAD_FEATURES")


def default_tree() -> Path:
    """Return the checkout that this module is part of."""
    return Path(__file__).parents[4]


def loopback_network(number: int) -> str:
    """Return the first numbers of addresses that only one run of one process uses."""
    return f"127.{1 + os.getpid() % 250}.{1 + number % 250}"


async def start_platform_router(
    starter: Processes, tree: Path, name: str, settings: str
) -> Child:
    """Start a router of a checkout as the deploy file does."""
    path = starter.directory / f"{name}.toml"
    path.write_text(settings)
    # PYTHONPATH is not passed on: it may name another checkout.
    environment = {
        name: os.environ[name] for name in PASSED_VARIABLES if name in os.environ
    }
    environment["PYTHONDONTWRITEBYTECODE"] = "1"
    environment[SETTINGS_PATH_VARIABLE] = str(path)
    return await starter.start_program(
        name,
        [sys.executable, "deploy/router.py", str(METRICS_PORT)],
        directory=tree,
        environment=environment,
    )


async def fail_on_termination() -> None:
    """Raise `ProcessError` on SIGTERM, so that the routers are stopped too."""
    with anyio.open_signal_receiver(signal.SIGTERM) as signals:
        async for _ in signals:
            raise ProcessError("The run was terminated.")
