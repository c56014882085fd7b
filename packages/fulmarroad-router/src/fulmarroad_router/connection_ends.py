"""Why a caller's connection ended, as the HTTP server tells the application."""

from __future__ import annotations

import enum
from collections.abc import Mapping
from typing import Any

from attrs import define

EXTENSION = "fulmarroad.connection_end"
"""Extension of an ASGI scope that holds a `ConnectionEnd` as `end`."""


class ClosedBy(enum.StrEnum):
    """Name who ended a caller's connection, and why."""

    NOBODY = ""
    CALLER = "caller_closed"  # by FIN, which may close the sending half only
    CALLER_RESET = "caller_reset"
    ROUTER = "router"  # broke the answer off, or could not read the request
    HEADER_TIMEOUT = "header_timeout"
    IDLE_TIMEOUT = "idle_timeout"
    DRAIN = "drain"


@define
class ConnectionEnd:
    """Hold the first cause for which a connection ended."""

    cause: ClosedBy = ClosedBy.NOBODY

    def note(self, cause: ClosedBy) -> None:
        """Record a cause; those that follow from it are ignored."""
        self.cause = self.cause or cause


def connection_end(scope: Mapping[str, Any]) -> ConnectionEnd:
    """Return how the connection of an ASGI scope ended; no cause if it is unknown."""
    end = scope.get("extensions", {}).get(EXTENSION, {}).get("end")
    return end if isinstance(end, ConnectionEnd) else ConnectionEnd()
