"""Tests of connections to callers that end while requests are under way."""

import anyio
import pytest
from caller_sockets import run

from fulmarroad.events import Event
from fulmarroad_router.connection_ends import ClosedBy

GONE_S = 0.45
"""Time within which the work for a caller that left must end."""


def close(caller):
    caller.raw.close()


def reset(caller):
    caller.reset()


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
