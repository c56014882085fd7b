"""The state that decides whether this router accepts calls."""

from __future__ import annotations

import enum

import anyio

from fulmarroad.types import RefusalReason


class GateState(enum.StrEnum):
    """Name the stages of a router's lifecycle, from start to shutdown."""

    STARTING = "starting"
    OPEN = "open"
    DRAINING = "draining"
    CLOSED = "closed"


class CallGate:
    """Count calls in flight and refuse new ones before opening and after closing.

    Calls are still accepted while draining: the platform's load balancer detects only
    after a delay that the router is not ready, and calls that it routes here until then
    must not be refused.
    """

    def __init__(self) -> None:
        self._state = GateState.STARTING
        self._in_flight = 0
        self._idle = anyio.Event()

    @property
    def state(self) -> GateState:
        """Return the current stage of the router's lifecycle."""
        return self._state

    @property
    def in_flight(self) -> int:
        """Return how many calls run or wait."""
        return self._in_flight

    @property
    def ready(self) -> bool:
        """Return whether the load balancer may send calls."""
        return self._state is GateState.OPEN

    def refusal(self) -> RefusalReason | None:
        """Return why calls are refused, or `None` if they are accepted."""
        if self._state is GateState.STARTING:
            return RefusalReason.NOT_READY
        if self._state is GateState.CLOSED:
            return RefusalReason.SHUTTING_DOWN
        return None

    def enter(self) -> None:
        """Increment the number of calls in flight."""
        self._in_flight += 1

    def leave(self) -> None:
        """Decrement the number of calls in flight."""
        self._in_flight -= 1
        if self._in_flight == 0:
            self._idle.set()

    def open(self) -> None:
        """Accept calls and become ready, if the router is starting."""
        if self._state is GateState.STARTING:
            self._state = GateState.OPEN

    def drain(self) -> None:
        """Report not ready, but still accept calls."""
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
