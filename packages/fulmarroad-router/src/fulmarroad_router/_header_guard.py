"""Close connections of callers that never finish sending a request's headers.

uvicorn limits how long a connection may idle between two requests, but waits for ever
for the first byte of a new connection and for the rest of headers that have begun.
Callers that stop there, by a lost peer or on purpose, each keep a descriptor; operators
would notice a router that runs out of them and takes no new connections while it is
idle otherwise.
"""

from __future__ import annotations

import asyncio
import logging
from asyncio import TimerHandle
from typing import Any

import uvicorn
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from fulmarroad.events import Event, emit

logger = logging.getLogger("fulmarroad.router")

HEADER_TIMEOUT_S = 10.0
"""Time for the headers of one request where operators state none: they fit one packet,
so this covers several lost ones on a bad line."""

CLOSE_GRACE_S = 0.1
"""Time between the limit and the close. After a pause of the process the timer runs
before the bytes that came meanwhile are read."""

HEADER_TIMEOUT_RESPONSE = (
    b"HTTP/1.1 408 Request Timeout\r\ncontent-length: 0\r\nconnection: close\r\n\r\n"
)


class HeaderGuardConfig(uvicorn.Config):
    """Hold uvicorn's configuration and the time limit of headers."""

    def __init__(self, app: Any, *, header_timeout_s: float, **named: Any) -> None:
        super().__init__(app, http=HeaderGuard, **named)
        self.header_timeout_s = header_timeout_s


class HeaderGuard(HttpToolsProtocol):
    """Speak HTTP on one connection and bound the time of a request's headers."""

    config: HeaderGuardConfig

    def __init__(self, *args: Any, **named: Any) -> None:
        super().__init__(*args, **named)
        self._headers_begun = False
        self._guard: TimerHandle | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
        """Let a new connection idle as long as one between two requests."""
        super().connection_made(transport)
        self.timeout_keep_alive_task = self.loop.call_later(
            self.timeout_keep_alive, self.timeout_keep_alive_handler
        )

    def connection_lost(self, exc: Exception | None) -> None:
        """Stop the timers."""
        self._stop_guard()
        self._unset_keepalive_if_required()
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Start the timer if headers have begun and are not whole yet."""
        super().data_received(data)
        if self._headers_begun and self._guard is None:
            self._guard = self.loop.call_later(
                self.config.header_timeout_s, self._look_again
            )

    def on_message_begin(self) -> None:
        """Note that headers have begun."""
        self._headers_begun = True
        super().on_message_begin()

    def on_headers_complete(self) -> None:
        """Stop the timer."""
        self._headers_begun = False
        self._stop_guard()
        super().on_headers_complete()

    def _stop_guard(self) -> None:
        if self._guard is not None:
            self._guard.cancel()
            self._guard = None

    def _look_again(self) -> None:
        self._guard = self.loop.call_later(CLOSE_GRACE_S, self._give_up)

    def _give_up(self) -> None:
        if self.transport.is_closing():
            return
        if self.cycle is not None and not self.cycle.response_complete:
            # Closing now would cut off the answer to the request before this one.
            self._look_again()
            return
        emit(
            logger,
            Event.CALLER_HEADERS_LATE,
            caller=self.client[0] if self.client else "",
            seconds=self.config.header_timeout_s,
        )
        self.transport.write(HEADER_TIMEOUT_RESPONSE)
        self.transport.close()
