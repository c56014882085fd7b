"""HTTP on one connection: timeouts, and closes that lose no whole request.

uvicorn limits how long a connection may idle between two requests, but waits without a
limit for the first byte of a new connection and for the rest of incomplete headers. A
caller that stops there, after a crash or on purpose, holds a file descriptor. A router
that runs out of descriptors accepts no new connections although it is otherwise idle.

uvicorn also closes connections on which a whole request has arrived: at FIN, at the
idle timeout, at a stop, and if the bytes behind the request are unreadable.
"""

from __future__ import annotations

import asyncio
import logging
from asyncio import TimerHandle
from typing import Any

import uvicorn
from uvicorn.protocols.http.httptools_impl import (
    HttpToolsProtocol,
    RequestResponseCycle,
)

from fulmarroad.events import Event, emit
from fulmarroad_router._half_close import HalfClosedCaller, can_probe
from fulmarroad_router._undelimited import UndelimitedApp
from fulmarroad_router.connection_ends import EXTENSION, ClosedBy, ConnectionEnd

logger = logging.getLogger("fulmarroad.router")

HEADER_TIMEOUT_S = 10.0
"""Default time limit for the headers of one request. Headers fit in one packet, so the
limit allows for several retransmissions on a lossy network."""

CLOSE_GRACE_S = 0.1
"""Time between the header timeout and the close. After a pause of the process the timer
fires before the bytes that arrived during the pause are read."""

READ_GRACE_S = 0.05
"""Time in which bytes that have arrived are read before an idle connection is closed.
One iteration of the event loop suffices."""

HEADER_TIMEOUT_RESPONSE = (
    b"HTTP/1.1 408 Request Timeout\r\ncontent-length: 0\r\nconnection: close\r\n\r\n"
)


class HttpConnectionConfig(uvicorn.Config):
    """Extend uvicorn's configuration with the header timeout."""

    def __init__(self, app: Any, *, header_timeout_s: float, **named: Any) -> None:
        super().__init__(app, http=HttpConnection, **named)
        self.header_timeout_s = header_timeout_s


class HttpConnection(HttpToolsProtocol):
    """Handle HTTP on one connection, and record why it ends."""

    config: HttpConnectionConfig

    def __init__(self, *args: Any, **named: Any) -> None:
        super().__init__(*args, **named)
        self._headers_started = False
        self._header_timer: TimerHandle | None = None
        self._half_closed: HalfClosedCaller | None = None
        self._draining = False
        self._unreadable = False
        self._end = ConnectionEnd()
        self._running: RequestResponseCycle | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
        """Apply the idle timeout also before the first request of a connection."""
        super().connection_made(transport)
        self._start_idle_timer()

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the timers, and log requests that get no answer."""
        # A caller's own close was noted at its FIN.
        self._end.note(ClosedBy.ROUTER if exc is None else ClosedBy.CALLER_RESET)
        self._cancel_header_timer()
        self._unset_keepalive_if_required()
        self._log_unanswered()
        if (running := self._unanswered_cycle()) is not None:
            # uvicorn tells only the last one of pipelined requests.
            running.disconnected = True
            running.message_event.set()
        super().connection_lost(exc)

    def eof_received(self) -> bool:  # type: ignore[override]
        """Keep the connection open if the caller may still wait for an answer."""
        if self._half_closed is not None:
            return True
        running = self._unanswered_cycle()
        if running is None or not self._may_be_half_closed(running):
            self._end.note(ClosedBy.CALLER)
            return False
        self.cycle.keep_alive = False
        self._half_closed = HalfClosedCaller(
            self.transport,
            self.loop,
            has_begun=lambda: running.response_started,
            on_left=self._abort_left,
        )
        return True

    def shutdown(self) -> None:
        """Close the connection after the answers to all requests that have arrived."""
        self._draining = True
        if self._unanswered_cycle() is None:
            self.loop.call_later(READ_GRACE_S, self._close_drained)
        else:
            super().shutdown()

    def timeout_keep_alive_handler(self) -> None:
        """Close an idle connection unless its next request has already arrived."""
        self.timeout_keep_alive_task = self.loop.call_later(
            READ_GRACE_S, self._close_idle
        )

    def send_400_response(self, msg: str) -> None:
        """Refuse an unreadable request, behind the answer to the one before it.

        The caller would take an earlier refusal for the answer that it waits for.
        """
        running = self._unanswered_cycle()
        if running is None or (running is self.cycle and running.more_body):
            self._end.note(ClosedBy.ROUTER)
            if running is not None and running.response_started:
                self.transport.close()
            else:
                super().send_400_response(msg)
            return
        self._unreadable = True
        if self.pipeline and self.cycle.more_body:
            self.pipeline.popleft()
        last = self.pipeline[0][0] if self.pipeline else running
        last.keep_alive = False

    def data_received(self, data: bytes) -> None:
        """Start the header timer if headers have started but are incomplete."""
        if self._unreadable:
            return
        super().data_received(data)
        if self._headers_started and self._header_timer is None:
            self._header_timer = self.loop.call_later(
                self.config.header_timeout_s, self._schedule_close
            )
        elif self._is_idle():
            # uvicorn stops the timer at any byte, also if it begins no request.
            self._start_idle_timer()

    def on_message_begin(self) -> None:
        """Record that headers have started."""
        self._headers_started = True
        super().on_message_begin()
        self.scope["extensions"] = {EXTENSION: {"end": self._end}}

    def on_headers_complete(self) -> None:
        """Cancel the header timer."""
        self._headers_started = False
        self._cancel_header_timer()
        super().on_headers_complete()
        if self._draining:
            self.cycle.keep_alive = False

    def _start_asgi_task(self, cycle: RequestResponseCycle, app: Any) -> None:
        """Record which of several pipelined requests is running."""
        self._running = cycle
        if cycle.scope["http_version"] == "1.0":
            app = UndelimitedApp(app, cycle)
        super()._start_asgi_task(cycle, app)

    def _unanswered_cycle(self) -> RequestResponseCycle | None:
        """Return the request that is running, if its answer is incomplete."""
        if self._running is None or self._running.response_complete:
            return None
        return self._running

    def _is_idle(self) -> bool:
        return (
            not self._headers_started
            and self._unanswered_cycle() is None
            and self.timeout_keep_alive_task is None
            and not self.transport.is_closing()
        )

    def _start_idle_timer(self) -> None:
        self.timeout_keep_alive_task = self.loop.call_later(
            self.timeout_keep_alive, self.timeout_keep_alive_handler
        )

    def _may_be_half_closed(self, running: RequestResponseCycle) -> bool:
        """Return whether whole requests wait for answers that haven't begun."""
        return (
            not running.response_started
            and not self.cycle.more_body
            and not self._headers_started
            and self.scope["http_version"] == "1.1"
            and can_probe(self.transport)
        )

    def _abort_left(self) -> None:
        self._end.note(ClosedBy.CALLER)
        self.transport.abort()

    def _cancel_header_timer(self) -> None:
        if self._header_timer is not None:
            self._header_timer.cancel()
            self._header_timer = None

    def _close_idle(self) -> None:
        self._end.note(ClosedBy.IDLE_TIMEOUT)
        super().timeout_keep_alive_handler()

    def _close_drained(self) -> None:
        if self._unanswered_cycle() is None and not self.transport.is_closing():
            self._end.note(ClosedBy.DRAIN)
            self.transport.close()

    def _log_unanswered(self) -> None:
        """Log requests for which no call was begun; calls log their own end."""
        if not self.pipeline and not self._headers_started:
            return
        emit(
            logger,
            Event.CALLER_REQUESTS_DROPPED,
            caller=self.client[0] if self.client else "",
            pipelined=len(self.pipeline),
            incomplete=self._headers_started,
            closed_by=self._end.cause.value,
        )

    def _schedule_close(self) -> None:
        self._header_timer = self.loop.call_later(
            CLOSE_GRACE_S, self._close_unless_responding
        )

    def _close_unless_responding(self) -> None:
        if self.transport.is_closing():
            return
        if self._unanswered_cycle() is not None:
            # Closing now would truncate the response to the previous request.
            self._schedule_close()
            return
        emit(
            logger,
            Event.CALLER_HEADERS_LATE,
            caller=self.client[0] if self.client else "",
            seconds=self.config.header_timeout_s,
        )
        self._end.note(ClosedBy.HEADER_TIMEOUT)
        self.transport.write(HEADER_TIMEOUT_RESPONSE)
        self.transport.close()
