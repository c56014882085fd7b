"""Wait for events for a limited time, at the cost of one timer.

Load pattern: the process stands still, as its VM is paused. When it runs again, timers
that became due meanwhile run before its sockets are read, and silence that nobody kept
would be concluded from them: of servers, of owners, of peers.
"""

from __future__ import annotations

import asyncio

import anyio

TIMER_RESOLUTION_S = 0.001
"""Time by which an event loop may run a timer early. A timer that is set again for less
than that runs over and over until its time has come."""

HELD_UP_S = 0.25
"""Delay of a timer above which the process stood still; under load it is a tenth."""

READ_GRACE_S = 0.01
"""Time in which the event loop reads what has arrived."""


async def read_if_held_up(due: float) -> bool:
    """Let the event loop read what came if it stood still, and return whether it did.

    `due` is the time of the loop's clock at which this was to run.
    """
    stood_still = asyncio.get_running_loop().time() > due + HELD_UP_S
    if stood_still:
        await anyio.sleep(READ_GRACE_S)
    return stood_still


async def sleep_and_read(seconds: float) -> bool:
    """Sleep, read what came if the process stood still, and return whether it did."""
    due = asyncio.get_running_loop().time() + seconds
    await anyio.sleep(seconds)
    return await read_if_held_up(due)


async def wait_at_most(event: anyio.Event, timeout_s: float) -> None:
    """Wait until an event is set, and set it after a time.

    A cancel scope would look at its deadline over and over if its timer ran early.
    """
    loop = asyncio.get_running_loop()
    due = loop.time() + max(timeout_s, TIMER_RESOLUTION_S)
    timer = loop.call_at(due, event.set)
    try:
        await event.wait()
    finally:
        timer.cancel()
    await read_if_held_up(due)
