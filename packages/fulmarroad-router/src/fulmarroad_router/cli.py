"""Entry point of the `fulmarroad-router` command."""

from __future__ import annotations

import sys

import anyio
import fire

from fulmarroad.exceptions import FulmarroadError
from fulmarroad_router.logs import configure_logs
from fulmarroad_router.node import Node
from fulmarroad_router.settings import load_settings


def serve(settings: str) -> None:
    """Run a router until it receives a signal or a drain request.

    Args:
        settings: path of the TOML file with the router's settings.
    """
    try:
        loaded = load_settings(settings)
        configure_logs(loaded.log.level.value, loaded.router.name)
        anyio.run(_run, loaded, backend_options={"use_uvloop": True})
    except FulmarroadError as error:
        print(error.format_message(), file=sys.stderr)
        raise SystemExit(error.exit_code) from error
    except ExceptionGroup as group:
        _exit_with_first_error(group)


async def _run(settings: object) -> None:
    await Node(settings).run()  # type: ignore[arg-type]


def _exit_with_first_error(group: ExceptionGroup) -> None:
    """Print the first `FulmarroadError` of a group and exit with its code.

    Raise the group again if it holds none.
    """
    matched, rest = group.split(FulmarroadError)
    if matched is None:
        raise group
    error: BaseException = matched
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    assert isinstance(error, FulmarroadError)
    print(error.format_message(), file=sys.stderr)
    raise SystemExit(error.exit_code) from error


def main() -> None:
    """Run the command line."""
    fire.Fire(serve, name="fulmarroad-router")
