"""Parts of an answer on their way from a connection to the call that reads them."""

from __future__ import annotations

import asyncio
from collections import deque

from attrs import frozen

from fulmarroad_serving._timers import TIMER_RESOLUTION_S, read_if_held_up
from fulmarroad_serving.contracts import AnswerHead
from fulmarroad_serving.exceptions import (
    BrokenAnswerError,
    ConnectionBrokenError,
    SilentServerError,
)


@frozen
class Body:
    """Hold a piece of an answer's body."""

    data: bytes


@frozen
class EndOfAnswer:
    """Mark the end of a complete answer."""


@frozen
class Broken:
    """Report an answer that can't be read further."""

    cause: str


@frozen
class ConnectionClosed(Broken):
    """Report a connection that closed before the end of the answer."""


Part = AnswerHead | Body | EndOfAnswer | Broken


class AnswerParts:
    """Hold the parts of an answer until its call reads them."""

    def __init__(self) -> None:
        self._parts: deque[Part] = deque()
        self._waiter: asyncio.Future[None] | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._wake_at = 0.0  # of the waiter
        self.closed = False  # the connection that they come from

    def __len__(self) -> int:
        return len(self._parts)

    async def next(self, timeout_s: float) -> Part:
        """Return the next part, waiting for it.

        Raise `SilentServerError` after a timeout, and `ConnectionBrokenError` if no
        part can come any more.
        """
        if not self._parts:
            await self._wait(timeout_s)
        return self._parts.popleft()

    def cancel_timer(self) -> None:
        """Forget the timeout of the last wait."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def add(self, part: Part) -> None:
        """Add the next part and wake its reader."""
        self._parts.append(part)
        self.wake()

    def wake(self) -> None:
        """Make a waiting reader look again."""
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    async def _wait(self, timeout_s: float) -> None:
        if self.closed:
            raise ConnectionBrokenError("The connection is closed.")
        loop = asyncio.get_running_loop()
        self._waiter = loop.create_future()
        self._set_timer(loop, loop.time() + max(0.0, timeout_s))
        try:
            await self._waiter
        finally:
            self._waiter = None
        if not self._parts and not self.closed:
            await read_if_held_up(self._wake_at)
        if not self._parts:
            if self.closed:
                raise ConnectionBrokenError("The connection is closed.")
            raise SilentServerError(f"No byte came for {timeout_s:.2f} s.")

    def _set_timer(self, loop: asyncio.AbstractEventLoop, wake_at: float) -> None:
        """Wake the waiter at a time.

        A timer that is set already serves the next waits too, if it is not too late for
        them: parts of a stream come faster than timers need to be exact.
        """
        self._wake_at = wake_at
        if self._timer is not None:
            if self._timer.when() <= wake_at:
                return
            self._timer.cancel()
        self._timer = loop.call_at(wake_at, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        if self._waiter is None or self._waiter.done():
            return
        loop = asyncio.get_running_loop()
        if loop.time() >= self._wake_at - TIMER_RESOLUTION_S:
            self.wake()
        else:
            self._timer = loop.call_at(self._wake_at, self._on_timer)


def answer_error(part: Part) -> BrokenAnswerError:
    """Return the error of a call that got a part in place of the one it needs."""
    cause = part.cause if isinstance(part, Broken) else "its parts came out of order"
    kind = (
        ConnectionBrokenError
        if isinstance(part, ConnectionClosed)
        else BrokenAnswerError
    )
    return kind(f"The answer broke off: {cause}.")
