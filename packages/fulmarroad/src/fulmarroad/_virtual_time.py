"""An event loop whose clock jumps to the next timer, for tests that must not wait."""

from __future__ import annotations

import asyncio
import heapq
from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

import anyio

T = TypeVar("T")


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Run callbacks in order and move the clock on only when nothing else is due.

    A test of a timeout then takes no time and ends the same way on every machine.
    It serves code without sockets and threads, which live by another clock.
    """

    def __init__(self) -> None:
        super().__init__()
        self._now = 0.0

    def time(self) -> float:
        """Return the virtual time, in seconds."""
        return self._now

    def _run_once(self) -> None:
        self._drop_cancelled()
        if not self._ready and self._scheduled:  # type: ignore[attr-defined]
            due = self._scheduled[0].when()  # type: ignore[attr-defined]
            self._now = max(self._now, due)
        super()._run_once()  # type: ignore[misc]

    def _drop_cancelled(self) -> None:
        """Forget cancelled timers first, which would move the clock too far."""
        timers = self._scheduled  # type: ignore[attr-defined]
        while timers and timers[0].cancelled():
            self._timer_cancelled_count -= 1  # type: ignore[attr-defined]
            handle = heapq.heappop(timers)
            handle._scheduled = False


def run_virtual(function: Callable[..., Awaitable[T]], *arguments: Any) -> T:
    """Run an async function to its end in virtual time and return its result."""
    options = {"loop_factory": VirtualTimeLoop}
    return anyio.run(function, *arguments, backend_options=options)
