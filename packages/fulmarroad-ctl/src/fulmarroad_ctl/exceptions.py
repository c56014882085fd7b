"""Errors and exit codes of the command line."""

from __future__ import annotations

from fulmarroad.exceptions import FulmarroadError

EXIT_OK = 0
EXIT_DIFFERS = 1
EXIT_INVALID = 2
EXIT_ROUTER_ERROR = 3


class UsageError(FulmarroadError):
    """Report arguments or files that a command can't use."""

    exit_code = EXIT_INVALID


class RouterError(FulmarroadError):
    """Report that a router did not answer or returned an error."""

    exit_code = EXIT_ROUTER_ERROR
