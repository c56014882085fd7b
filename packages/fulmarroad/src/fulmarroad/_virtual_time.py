"""Event loop whose clock jumps to the next timer, for tests without real waits."""

from __future__ import annotations

import asyncio
import heapq
from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

import anyio

T = TypeVar("T")


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Advance the clock to the next timer only when no callback is ready to run.

    A test of a timeout then takes no real time and is deterministic on every machine.
    The loop does not support sockets and threads, which depend on real time.
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
        """Remove cancelled timers, which would advance the clock too far."""
        timers = self._scheduled  # type: ignore[attr-defined]
        while timers and timers[0].cancelled():
            self._timer_cancelled_count -= 1  # type: ignore[attr-defined]
            handle = heapq.heappop(timers)
            handle._scheduled = False


def run_virtual(function: Callable[..., Awaitable[T]], *arguments: Any) -> T:
    """Run an async function in virtual time and return its result."""
    options = {"loop_factory": VirtualTimeLoop}
    return anyio.run(function, *arguments, backend_options=options)
