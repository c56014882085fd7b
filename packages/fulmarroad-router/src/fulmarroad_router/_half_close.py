"""Tell callers that have closed only their sending half from those that have left.

Both send the same FIN. The kernel of a caller that has left answers further bytes with
a reset, but before an answer begins there is nothing to send. So interim responses are
sent, which HTTP/1.1 callers ignore.
"""

from __future__ import annotations

import asyncio
import select
from collections.abc import Callable

from fulmarroad.delivery import ConnectedSocket, unacknowledged_bytes

INTERIM_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"

INTERIM_RESPONSE_TIMES_S = (0.0, 0.1, 0.2, 0.3)
"""Times after FIN at which interim responses are sent. A proxy on the path takes up to
three until it notices that its own caller has left. Some HTTP clients accept five."""

CONFIRM_S = 0.4
"""Time after FIN at which all interim responses must have been acknowledged. Otherwise
the path is cut, and a reset would not arrive either."""

CHECK_INTERVAL_S = 0.02
LATER_CHECK_INTERVAL_S = 0.1
"""Times between two looks for a reset: until `CONFIRM_S`, and after it."""


class HalfClosedCaller:
    """Watch a caller that has sent FIN before its answer began.

    `has_begun` returns whether the answer has begun. `on_left` is called once if the
    caller has left.
    """

    def __init__(
        self,
        transport: asyncio.Transport,
        loop: asyncio.AbstractEventLoop,
        has_begun: Callable[[], bool],
        on_left: Callable[[], None],
    ) -> None:
        self._transport = transport
        self._loop = loop
        self._has_begun = has_begun
        self._on_left = on_left
        self._since = loop.time()
        self._to_send = list(INTERIM_RESPONSE_TIMES_S)
        self._confirmed = False
        self._check()

    def _check(self) -> None:
        if self._transport.is_closing():
            return
        elapsed_s = self._loop.time() - self._since
        if self._has_left(elapsed_s):
            self._on_left()
            return
        if self._to_send and elapsed_s >= self._to_send[0] and not self._has_begun():
            del self._to_send[0]
            self._transport.write(INTERIM_RESPONSE)
        is_early = elapsed_s <= CONFIRM_S
        interval_s = CHECK_INTERVAL_S if is_early else LATER_CHECK_INTERVAL_S
        self._loop.call_later(interval_s, self._check)

    def _has_left(self, elapsed_s: float) -> bool:
        raw = self._transport.get_extra_info("socket")
        if _is_reset(raw):
            return True
        if self._confirmed or elapsed_s < CONFIRM_S or self._has_begun():
            return False
        self._confirmed = not unacknowledged_bytes(raw)
        return not self._confirmed


def can_probe(transport: asyncio.Transport) -> bool:
    """Return whether a caller that has sent FIN can be told from one that has left.

    TLS has no half-closed connections, and some network stacks don't tell what was
    acknowledged.
    """
    raw = transport.get_extra_info("socket")
    if raw is None or transport.get_extra_info("sslcontext") is not None:
        return False
    return unacknowledged_bytes(raw) is not None


def _is_reset(raw: ConnectedSocket) -> bool:
    poll = select.poll()
    poll.register(raw.fileno(), 0)  # errors and hang-ups are always reported
    return bool(poll.poll(0))
