"""What answers a caller, whichever server protocol carries it."""

from __future__ import annotations

from typing import Protocol

from fulmarroad_router.backend import Headers


class Responder(Protocol):
    """Send an answer to the caller; sending blocks while the caller reads slowly."""

    @property
    def begun(self) -> bool:
        """Return whether the status and headers have been sent."""

    async def begin(self, status: int, headers: Headers) -> None:
        """Send the status and headers."""

    async def send(self, chunk: bytes) -> None:
        """Send one chunk of the body."""

    async def finish(self) -> None:
        """Send the end of a complete answer."""
