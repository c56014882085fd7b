"""Tests of the header timeout and the idle timeout of connections."""

import pytest
from attrs import define, field
from uvicorn.server import ServerState

from fulmarroad_router._http_connection import (
    CLOSE_GRACE_S,
    HEADER_TIMEOUT_RESPONSE,
    READ_GRACE_S,
    HttpConnection,
    HttpConnectionConfig,
)

IDLE_TIMEOUT_S = 15
HEADER_TIMEOUT_S = 4.0
REQUEST = b"GET /a/ HTTP/1.1\r\nhost: svc.example\r\n\r\n"


@define
class Timer:
    """Hold a callback scheduled on a `VirtualLoop`."""

    at: float
    call: object
    cancelled: bool = False

    def cancel(self):
        self.cancelled = True


@define
class VirtualLoop:
    """Provide the event loop methods that a connection uses, with a manual clock."""

    now: float = 0.0
    timers: list = field(factory=list)
    started: int = 0

    def call_later(self, delay, call):
        timer = Timer(self.now + delay, call)
        self.timers.append(timer)
        return timer

    def create_task(self, coroutine):
        self.started += 1
        coroutine.close()
        return Task()

    def wait(self, seconds):
        end = self.now + seconds
        while due := [row for row in self.timers if row.at <= end]:
            first = min(due, key=lambda row: row.at)
            self.timers.remove(first)
            self.now = first.at
            if not first.cancelled:
                first.call()
        self.now = end


class Task:
    """Represent a task that never runs."""

    def add_done_callback(self, call):
        """Ignore the callback."""


@define
class Transport:
    """Record what a connection writes and whether it was closed."""

    sent: bytes = b""
    closed: bool = False

    def write(self, data):
        self.sent += data

    def close(self):
        self.closed = True

    def is_closing(self):
        return self.closed

    def get_extra_info(self, name, default=None):
        return default

    def pause_reading(self):
        """Do nothing."""

    def resume_reading(self):
        """Do nothing."""


@pytest.fixture
def loop():
    return VirtualLoop()


@pytest.fixture
def transport():
    return Transport()


@pytest.fixture
def connection(loop, transport):
    async def app(scope, receive, send):
        """Send no response."""

    config = HttpConnectionConfig(
        app,
        header_timeout_s=HEADER_TIMEOUT_S,
        timeout_keep_alive=IDLE_TIMEOUT_S,
        log_config=None,
    )
    connection = HttpConnection(config, ServerState(), {}, _loop=loop)
    connection.connection_made(transport)
    return connection


class TestHeaderTimeout:
    def test_connection_with_incomplete_headers_is_closed(
        self, connection, loop, transport
    ):
        """Guard against connections that stay open for ever after the VM of a caller
        fails in the middle of the headers. A few thousand of them use up all file
        descriptors.
        """
        connection.data_received(REQUEST[:20])
        loop.wait(HEADER_TIMEOUT_S)
        assert not transport.closed
        loop.wait(CLOSE_GRACE_S)
        assert transport.closed
        assert transport.sent == HEADER_TIMEOUT_RESPONSE

    def test_slow_bytes_do_not_extend_the_timeout(self, connection, loop, transport):
        """Guard against callers that send one byte a second for ever. If each byte
        restarted the timeout, such callers could hold all file descriptors of a router.
        """
        for place in range(5):
            connection.data_received(REQUEST[place : place + 1])
            loop.wait(1.0)
        assert transport.closed

    def test_complete_headers_cancel_the_timeout(self, connection, loop, transport):
        connection.data_received(REQUEST[:20])
        loop.wait(HEADER_TIMEOUT_S - 0.1)
        connection.data_received(REQUEST[20:])
        loop.wait(10 * HEADER_TIMEOUT_S)
        assert not transport.closed
        assert loop.started == 1

    def test_slow_body_is_not_timed_out(self, connection, loop, transport):
        head = b"POST /a/ HTTP/1.1\r\nhost: svc\r\ncontent-length: 9\r\n\r\nab"
        connection.data_received(head)
        loop.wait(10 * HEADER_TIMEOUT_S)
        assert not transport.closed

    def test_each_request_has_the_full_timeout(self, connection, loop, transport):
        connection.data_received(REQUEST[:20])
        loop.wait(HEADER_TIMEOUT_S - 0.1)
        connection.data_received(REQUEST[20:])
        connection.cycle.response_complete = True
        connection.data_received(REQUEST[:20])
        loop.wait(HEADER_TIMEOUT_S - 0.1)
        assert not transport.closed
        loop.wait(1.0)
        assert transport.closed

    def test_bytes_received_during_a_pause_are_read_before_the_close(
        self, connection, loop, transport
    ):
        """Guard against a timeout for headers that arrived in time. The VM of the
        router is paused after the first bytes, the rest arrives during the pause, and
        after it the timer fires before the bytes are read.
        """
        connection.data_received(REQUEST[:20])
        loop.wait(HEADER_TIMEOUT_S)
        connection.data_received(REQUEST[20:])
        loop.wait(1.0)
        assert not transport.closed
        assert loop.started == 1

    def test_pending_response_delays_the_close(self, connection, loop, transport):
        """Guard against closing a connection with a response still to be sent. A
        caller pipelines a second request and stops in its headers. It would take a 408
        response for the response to the first request, and a close would lose the
        first response.
        """
        connection.data_received(REQUEST + REQUEST[:20])
        loop.wait(HEADER_TIMEOUT_S + 5 * CLOSE_GRACE_S)
        assert transport.sent == b""
        assert not transport.closed
        connection.cycle.response_complete = True
        loop.wait(2 * CLOSE_GRACE_S)
        assert transport.sent == HEADER_TIMEOUT_RESPONSE
        assert transport.closed

    def test_changed_timeout_applies_to_open_connections(
        self, connection, loop, transport
    ):
        connection.config.header_timeout_s = 1.0
        connection.data_received(REQUEST[:20])
        loop.wait(1.0 + CLOSE_GRACE_S)
        assert transport.closed


class TestIdleConnection:
    def test_connection_without_a_request_is_closed(self, connection, loop, transport):
        """Guard against connections that send nothing, as after a crash of the
        caller. Without a timeout their file descriptors would never be freed.
        """
        loop.wait(IDLE_TIMEOUT_S - 0.1)
        assert not transport.closed
        loop.wait(0.2)
        assert transport.closed

    @pytest.mark.parametrize("first", [b"", REQUEST])
    def test_bytes_that_begin_no_request_do_not_stop_the_timeout(
        self, connection, loop, transport, first
    ):
        """Guard against connections that stay open for ever after line breaks behind a
        body, which some callers send, or after the rest of a refused body.
        """
        if first:
            connection.data_received(first)
            connection.cycle.response_complete = True
            connection.on_response_complete()
        connection.data_received(b"\r\n")
        loop.wait(IDLE_TIMEOUT_S + READ_GRACE_S)
        assert transport.closed

    def test_lost_connection_cancels_all_timers(self, connection, loop, transport):
        connection.data_received(REQUEST[:20])
        connection.connection_lost(ConnectionResetError())
        assert all(timer.cancelled for timer in loop.timers)
