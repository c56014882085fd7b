"""Entry point of the `fulmarroadctl` command."""

from __future__ import annotations

import json
import sys
from collections.abc import Sequence

import fire
import fire.parser

from fulmarroad.exceptions import ConfigurationError, FulmarroadError
from fulmarroad_ctl.commands import Commands
from fulmarroad_ctl.exceptions import EXIT_INVALID, EXIT_OK

OVERVIEW = """\
fulmarroadctl: manage a fleet of fulmarroad routers.

Commands:
  check    check settings and tables in files, without a router
  diff     show what new tables would change
  status   show a router's state: members, schedulers, servers and their warmth
  beliefs  compare the fleet state that serving routers report
  explain  show where a call of a route would be routed now, and why
  audit    follow the changes that a router records
  drain    start a router's graceful shutdown

Which router:
  --settings FILE                     the router's own settings, or
  --admin URL --token_file FILE       its admin port and the file with its token, or
  FULMARROAD_ADMIN, FULMARROAD_ADMIN_TOKEN in the environment

Every command takes --json. `fulmarroadctl COMMAND --help` lists its arguments.

Examples:
  fulmarroadctl check --settings router.toml --routes routes.toml --pools pools.toml
  fulmarroadctl diff --settings router.toml --routes routes.toml --pools pools.toml
  fulmarroadctl explain chat --workspace atlas --settings router.toml
  fulmarroadctl audit --settings router.toml --json

Exit codes: 0 done, 1 a difference or a refused call, 2 invalid files or arguments,
3 the router did not answer or returned an error.
"""

_HELP = ("--help", "-h", "help")


def main(arguments: Sequence[str] | None = None) -> None:
    """Run one command and exit with its exit code."""
    command = list(sys.argv[1:] if arguments is None else arguments)
    if not command or command[0] in _HELP:
        print(OVERVIEW, end="")
        raise SystemExit(EXIT_OK if command else EXIT_INVALID)
    try:
        quoted = [_quote_argument(argument) for argument in command]
        fire.Fire(Commands(), command=quoted, name="fulmarroadctl")
    except KeyboardInterrupt:
        raise SystemExit(EXIT_OK) from None
    except FulmarroadError as error:
        _print_error(error, as_json="--json" in command)
        raise SystemExit(error.exit_code) from None


def _quote_argument(argument: str) -> str:
    """Quote an argument so that fire passes it on unchanged.

    Without quotes fire parses a route named 1e3 as a number and `a,b` as a tuple.
    """
    flag, equals, value = argument.partition("=")
    if argument.startswith("-") and not equals:
        return argument
    if argument.startswith("-"):
        return f"{flag}={_quote_value(value)}"
    return _quote_value(argument)


def _quote_value(value: str) -> str:
    parsed = fire.parser.DefaultParseValue(value)
    return value if isinstance(parsed, (str, bool)) else repr(value)


def _print_error(error: FulmarroadError, *, as_json: bool) -> None:
    if not as_json:
        print(f"error: {error.format_message()}", file=sys.stderr)
        return
    problems = error.problems if isinstance(error, ConfigurationError) else ()
    document = {"error": error.message, "hint": error.hint, "problems": list(problems)}
    print(json.dumps(document))
