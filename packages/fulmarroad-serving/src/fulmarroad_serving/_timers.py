"""Wait for events for a limited time, at the cost of one timer."""

from __future__ import annotations

import asyncio

import anyio

TIMER_RESOLUTION_S = 0.001
"""Time by which an event loop may run a timer early. A timer that is set again for less
than that runs over and over until its time has come."""


async def wait_at_most(event: anyio.Event, timeout_s: float) -> None:
    """Wait until an event is set, and set it after a time.

    A cancel scope would look at its deadline over and over if its timer ran early.
    """
    loop = asyncio.get_running_loop()
    timer = loop.call_later(max(timeout_s, TIMER_RESOLUTION_S), event.set)
    try:
        await event.wait()
    finally:
        timer.cancel()
