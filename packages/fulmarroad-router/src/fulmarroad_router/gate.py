"""Whether this router takes calls: not ready, open, draining, closed."""

from __future__ import annotations

import enum

import anyio

from fulmarroad.types import RefusalReason


class GateState(enum.StrEnum):
    """Say how far the router is in its life."""

    STARTING = "starting"
    OPEN = "open"
    DRAINING = "draining"
    CLOSED = "closed"


class CallGate:
    """Count calls in flight and refuse new ones outside of service.

    While draining, calls are still served: the platform's balancer needs a moment to
    see that the router is unready, and callers who come in that moment must not be
    refused for it. Only a closed gate refuses.
    """

    def __init__(self) -> None:
        self._state = GateState.STARTING
        self._in_flight = 0
        self._idle = anyio.Event()

    @property
    def state(self) -> GateState:
        """Return how far the router is in its life."""
        return self._state

    @property
    def in_flight(self) -> int:
        """Return how many calls run or wait."""
        return self._in_flight

    @property
    def ready(self) -> bool:
        """Tell whether the balancer may send calls."""
        return self._state is GateState.OPEN

    def refusal(self) -> RefusalReason | None:
        """Return why no call is taken, or nothing."""
        if self._state is GateState.STARTING:
            return RefusalReason.NOT_READY
        if self._state is GateState.CLOSED:
            return RefusalReason.SHUTTING_DOWN
        return None

    def enter(self) -> None:
        """Count a call in."""
        self._in_flight += 1

    def leave(self) -> None:
        """Count a call out."""
        self._in_flight -= 1
        if self._in_flight == 0:
            self._idle.set()

    def open(self) -> None:
        """Take calls."""
        if self._state is GateState.STARTING:
            self._state = GateState.OPEN

    def drain(self) -> None:
        """Become unready and go on serving."""
        if self._state is not GateState.CLOSED:
            self._state = GateState.DRAINING

    def close(self) -> None:
        """Refuse new calls."""
        self._state = GateState.CLOSED

    async def wait_idle(self) -> None:
        """Return once no call is in flight."""
        while self._in_flight:
            self._idle = anyio.Event()
            await self._idle.wait()
