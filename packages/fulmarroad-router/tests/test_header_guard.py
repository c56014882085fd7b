"""The time that a caller has for the headers of a request."""

import pytest
from attrs import define, field
from uvicorn.server import ServerState

from fulmarroad_router._header_guard import (
    CLOSE_GRACE_S,
    HEADER_TIMEOUT_RESPONSE,
    HeaderGuard,
    HeaderGuardConfig,
)

IDLE_S = 15
HEADERS_S = 4.0
REQUEST = b"GET /a/ HTTP/1.1\r\nhost: svc.example\r\n\r\n"


@define
class Timer:
    """A call at a time of the clock below."""

    at: float
    call: object
    cancelled: bool = False

    def cancel(self):
        self.cancelled = True


@define
class VirtualLoop:
    """The part of an event loop that a connection uses, with a clock set by hand."""

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
    """A task that is never run."""

    def add_done_callback(self, call):
        """Call nothing."""


@define
class Transport:
    """What a connection wrote, and whether it is closed."""

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
        """Go on reading."""

    def resume_reading(self):
        """Go on reading."""


@pytest.fixture
def loop():
    return VirtualLoop()


@pytest.fixture
def transport():
    return Transport()


@pytest.fixture
def connection(loop, transport):
    async def app(scope, receive, send):
        """Answer nothing."""

    config = HeaderGuardConfig(
        app,
        header_timeout_s=HEADERS_S,
        timeout_keep_alive=IDLE_S,
        log_config=None,
    )
    guard = HeaderGuard(config, ServerState(), {}, _loop=loop)
    guard.connection_made(transport)
    return guard


class TestHeaders:
    def test_headers_that_never_end_are_given_up(self, connection, loop, transport):
        """A caller's VM is lost in the middle of a request. Its connection would stay
        open for good, and a few thousand of them leave no descriptor for others.
        """
        connection.data_received(REQUEST[:20])
        loop.wait(HEADERS_S)
        assert not transport.closed
        loop.wait(CLOSE_GRACE_S)
        assert transport.closed
        assert transport.sent == HEADER_TIMEOUT_RESPONSE

    def test_a_few_bytes_now_and_then_gain_no_time(self, connection, loop, transport):
        """A caller sends one byte a second for ever. If each of them started the time
        anew, such callers would hold every descriptor of a router.
        """
        for place in range(5):
            connection.data_received(REQUEST[place : place + 1])
            loop.wait(1.0)
        assert transport.closed

    def test_whole_headers_stop_the_time(self, connection, loop, transport):
        connection.data_received(REQUEST[:20])
        loop.wait(HEADERS_S - 0.1)
        connection.data_received(REQUEST[20:])
        loop.wait(10 * HEADERS_S)
        assert not transport.closed
        assert loop.started == 1

    def test_a_long_body_has_its_own_time(self, connection, loop, transport):
        head = b"POST /a/ HTTP/1.1\r\nhost: svc\r\ncontent-length: 9\r\n\r\nab"
        connection.data_received(head)
        loop.wait(10 * HEADERS_S)
        assert not transport.closed

    def test_each_request_has_the_whole_time(self, connection, loop, transport):
        connection.data_received(REQUEST[:20])
        loop.wait(HEADERS_S - 0.1)
        connection.data_received(REQUEST[20:])
        connection.cycle.response_complete = True
        connection.data_received(REQUEST[:20])
        loop.wait(HEADERS_S - 0.1)
        assert not transport.closed
        loop.wait(1.0)
        assert transport.closed

    def test_bytes_that_came_during_a_pause_are_read_first(
        self, connection, loop, transport
    ):
        """The VM is paused after the first bytes, the rest arrives meanwhile, and as it
        wakes the timer runs first. The caller would be turned away though it was quick.
        """
        connection.data_received(REQUEST[:20])
        loop.wait(HEADERS_S)
        connection.data_received(REQUEST[20:])
        loop.wait(1.0)
        assert not transport.closed
        assert loop.started == 1

    def test_an_answer_on_its_way_is_not_cut_off(self, connection, loop, transport):
        """A caller sends the next request before the first is answered, and stops in
        its headers. A refusal now would be read as the answer to the first one, and a
        close would lose that answer.
        """
        connection.data_received(REQUEST + REQUEST[:20])
        loop.wait(HEADERS_S + 5 * CLOSE_GRACE_S)
        assert transport.sent == b""
        assert not transport.closed
        connection.cycle.response_complete = True
        loop.wait(2 * CLOSE_GRACE_S)
        assert transport.sent == HEADER_TIMEOUT_RESPONSE
        assert transport.closed

    def test_the_limit_of_a_newer_configuration_holds(
        self, connection, loop, transport
    ):
        connection.config.header_timeout_s = 1.0
        connection.data_received(REQUEST[:20])
        loop.wait(1.0 + CLOSE_GRACE_S)
        assert transport.closed


class TestFirstByte:
    def test_a_connection_without_a_request_is_closed(
        self, connection, loop, transport
    ):
        """A caller connects and sends nothing, as after a crash. Without a limit its
        descriptor is held for good.
        """
        loop.wait(IDLE_S - 0.1)
        assert not transport.closed
        loop.wait(0.2)
        assert transport.closed

    def test_a_lost_connection_leaves_no_timer(self, connection, loop, transport):
        connection.data_received(REQUEST[:20])
        connection.connection_lost(ConnectionResetError())
        assert all(timer.cancelled for timer in loop.timers)
