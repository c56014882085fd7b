"""Errors of the operators' command line, each with its exit code."""

from __future__ import annotations

from fulmarroad.exceptions import FulmarroadError

EXIT_OK = 0
EXIT_DIFFERS = 1
EXIT_INVALID = 2
EXIT_ROUTER_ERROR = 3


class UsageError(FulmarroadError):
    """Reject a command line that can't be carried out."""

    exit_code = EXIT_INVALID


class RouterError(FulmarroadError):
    """Report that a router gave no answer, or refused."""

    exit_code = EXIT_ROUTER_ERROR
