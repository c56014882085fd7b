"""Tests of connections to callers that end while requests are under way."""

import asyncio
import socket
import time

import anyio
import pytest
from caller_sockets import IDLE_TIMEOUT_S, REQUEST, run

from fulmarroad.events import Event
from fulmarroad_router.connection_ends import ClosedBy

GONE_S = 0.45
"""Time within which the work for a caller that left must end."""


def close(caller):
    caller.raw.close()


def reset(caller):
    caller.reset()


async def happen_while_late(happen, seconds):
    """Let something happen while the event loop is held up between poll and timers."""
    loop = asyncio.get_running_loop()
    ours, other = socket.socketpair()

    def hold_up():
        loop.remove_reader(ours)
        happen()
        time.sleep(seconds)

    loop.add_reader(ours, hold_up)
    other.send(b"x")
    await anyio.sleep(0.05)
    ours.close()
    other.close()


class TestCallersThatLeave:
    @pytest.mark.parametrize(
        ("leave", "cause"),
        [(close, ClosedBy.CALLER), (reset, ClosedBy.CALLER_RESET)],
    )
    @pytest.mark.parametrize("path", ["wait", "stream"])
    def test_the_work_ends_and_the_cause_is_known(self, path, leave, cause):
        """Guard against work that goes on for callers that are gone."""

        async def test(bed):
            caller = bed.caller()
            caller.send(path)
            await caller.read_for(0.15)
            leave(caller)
            await anyio.sleep(GONE_S)
            assert bed.app.abandoned == {path: cause}

        run(test, delay_s=3.0 if path == "wait" else 0.1)

    def test_pipelined_requests_without_a_call_are_logged(self, caplog):
        """Guard against requests that end with their connection and leave no trace."""

        async def test(bed):
            caller = bed.caller()
            caller.send("close", "second")
            await caller.read_for(1.0)
            await anyio.sleep(0.1)
            assert bed.app.begun == ["close"]

        with caplog.at_level("INFO", "fulmarroad.router"):
            run(test, delay_s=0.1)
        (line,) = [
            row
            for row in caplog.records
            if row.msg == Event.CALLER_REQUESTS_DROPPED.value.text
        ]
        assert (line.pipelined, line.incomplete) == (1, False)
        assert line.closed_by == ClosedBy.ROUTER

    def test_a_pipelining_caller_that_leaves_ends_the_running_work(self):
        """Guard against the notice of a closed connection that reaches the last
        pipelined request only, which hasn't begun, while the first one runs on.
        """

        async def test(bed):
            caller = bed.caller()
            caller.send("wait", "second")
            await anyio.sleep(0.1)
            close(caller)
            await anyio.sleep(GONE_S)
            assert bed.app.abandoned == {"wait": ClosedBy.CALLER}
            assert bed.app.begun == ["wait"]

        run(test, delay_s=2.0)


class TestHalfClosedCallers:
    @pytest.mark.parametrize("after_s", [0.0, 0.1])
    def test_a_request_is_answered_after_its_caller_ended_sending(self, after_s):
        """Guard against callers and proxies that shut down their sending half behind a
        whole request and get nothing at all.
        """

        async def test(bed):
            caller = bed.caller()
            caller.send("wait")
            await anyio.sleep(after_s)
            caller.end_sending()
            received = await caller.read_for(3.0)
            assert caller.bodies == ["wait"]
            assert b"connection: close" in received

        run(test, delay_s=0.7)

    def test_pipelined_requests_are_answered(self):
        async def test(bed):
            caller = bed.caller()
            caller.send("first", "second")
            caller.end_sending()
            received = await caller.read_for(3.0)
            assert caller.bodies == ["first", "second"]
            assert received.count(b"connection: close") == 1

        run(test, delay_s=0.5)

    def test_a_stream_goes_on_to_its_end(self):
        async def test(bed):
            caller = bed.caller()
            caller.send("stream")
            caller.end_sending()
            received = await caller.read_for(4.0)
            assert received.endswith(b"0\r\n\r\n")
            assert received.count(b"stream") == 30

        run(test, delay_s=0.02)

    @pytest.mark.parametrize("path", ["wait", "stream"])
    def test_work_ends_when_such_a_caller_resets(self, path):
        """Guard against streams that run to their end for a caller that half-closed
        its connection first and left later.
        """

        async def test(bed):
            caller = bed.caller()
            caller.send(path)
            caller.end_sending()
            await caller.read_for(0.6)
            caller.reset()
            await anyio.sleep(GONE_S)
            assert list(bed.app.abandoned) == [path]

        run(test, delay_s=3.0 if path == "wait" else 0.1)

    @pytest.mark.parametrize("leaves", [True, False])
    def test_a_proxy_passes_a_half_close_on(self, leaves):
        """Guard against work that goes on behind a proxy which turns the close of its
        caller into a half-close, and notices only at the second write that it is gone.
        """

        async def test(bed):
            async with anyio.create_task_group() as group:
                caller = await bed.caller_behind_proxy(group)
                caller.send("wait")
                await anyio.sleep(0.1)
                if leaves:
                    close(caller)
                    await anyio.sleep(GONE_S)
                    assert bed.app.abandoned == {"wait": ClosedBy.CALLER}
                else:
                    caller.end_sending()
                    await caller.read_for(2.0)
                    assert caller.bodies == ["wait"]
                group.cancel_scope.cancel()

        run(test, delay_s=0.9)

    def test_an_incomplete_request_ends_at_once(self):
        async def test(bed):
            caller = bed.caller()
            caller.raw.sendall((REQUEST % b"wait")[:-1])
            caller.end_sending()
            await caller.read_for(0.3)
            assert bed.app.abandoned == {"wait": ClosedBy.CALLER}

        run(test)


class TestCrossingCloses:
    def test_a_request_at_the_idle_timeout_is_answered(self):
        """Guard against a close of an idle connection whose next request has arrived.

        The event loop is late, the timer fires before the request is read, and the
        caller gets a reset for a whole request.
        """

        async def test(bed):
            caller = bed.caller()
            caller.send("first")
            await caller.read_for(IDLE_TIMEOUT_S - 0.1)
            assert caller.bodies == ["first"]
            await happen_while_late(lambda: caller.send("second"), 0.3)
            await caller.read_for(0.3)
            assert caller.bodies == ["first", "second"]

        run(test, delay_s=0.02)

    def test_a_request_at_the_end_of_a_drain_is_answered(self):
        """Guard against requests that arrive on an idle connection as the server
        stops, and that are reset without a word.
        """

        async def test(bed):
            caller = bed.caller()
            caller.send("first")
            await caller.read_for(0.2)
            asyncio.get_running_loop().call_soon(caller.send, "second")
            await bed.server.stop()
            received = await caller.read_for(1.0)
            assert caller.bodies == ["first", "second"]
            assert received.count(b"connection: close") == 1

        run(test, delay_s=0.02)

    def test_a_drain_closes_idle_connections_soon(self):
        async def test(bed):
            caller = bed.caller()
            caller.send("first")
            await caller.read_for(0.2)
            await bed.server.stop()
            begun = time.monotonic()
            await caller.read_for(1.0)
            assert time.monotonic() - begun < 0.5

        run(test, delay_s=0.02)

    def test_pipelined_requests_are_answered_during_a_drain(self):
        async def test(bed):
            caller = bed.caller()
            caller.send("first", "second")
            await anyio.sleep(0.05)
            await bed.server.stop()
            received = await caller.read_for(2.0)
            assert caller.bodies == ["first", "second"]
            assert received.count(b"connection: close") == 1

        run(test, delay_s=0.2)

    def test_a_request_behind_an_answer_that_says_close_is_not_run(self):
        """Guard against running a request whose answer can't be given any more."""

        async def test(bed):
            caller = bed.caller()
            caller.send("close", "second")
            await caller.read_for(1.0)
            assert caller.bodies == ["close"]
            assert bed.app.begun == ["close"]

        run(test, delay_s=0.1)

    def test_an_unreadable_request_leaves_the_answer_before_it_whole(self):
        """Guard against the refusal of an unreadable request that its caller takes for
        the answer to the request before it.
        """

        async def test(bed):
            caller = bed.caller()
            caller.send("wait")
            await anyio.sleep(0.1)
            caller.raw.sendall(b"\0\1\2 no request\r\n\r\n")
            await caller.read_for(1.0)
            assert caller.bodies == ["wait"]

        run(test, delay_s=0.3)

    def test_an_unreadable_request_within_a_stream_leaves_it_whole(self):
        async def test(bed):
            caller = bed.caller()
            caller.send("stream")
            await anyio.sleep(0.1)
            caller.raw.sendall(b"\0\1\2 no request\r\n\r\n")
            received = await caller.read_for(3.0)
            assert received.count(b"HTTP/1.1") == 1
            assert received.endswith(b"0\r\n\r\n")

        run(test, delay_s=0.02)
