"""Failed tasks are restarted; a task that keeps failing ends the process."""

import json
import logging

import anyio
import pytest

from fulmarroad.exceptions import SupervisionError
from fulmarroad.supervision import ChildSpec, Supervisor


@pytest.fixture
def anyio_backend():
    return "asyncio"


@pytest.fixture
def no_restart_delay(monkeypatch):
    monkeypatch.setattr(Supervisor, "_restart_delay", lambda self, count: 0.0)


@pytest.mark.anyio
@pytest.mark.usefixtures("no_restart_delay")
class TestSupervisor:
    async def test_restarts_a_failed_task(self):
        runs = []

        async def flaky():
            runs.append(1)
            if len(runs) < 3:
                raise ValueError("first tries")

        await Supervisor("test", [ChildSpec("flaky", flaky)]).run()
        assert len(runs) == 3

    async def test_cancels_the_siblings_after_too_many_failures(self):
        # Otherwise a task that fails on every start would be restarted for ever in a
        # process that looks healthy, while callers get no answers.
        cancelled = []

        async def broken():
            raise ValueError("always")

        async def sibling():
            try:
                await anyio.sleep_forever()
            finally:
                cancelled.append(True)

        children = [ChildSpec("broken", broken), ChildSpec("sibling", sibling)]
        with pytest.raises(ExceptionGroup) as failure:
            await Supervisor("test", children).run()
        assert failure.group_contains(SupervisionError)
        assert cancelled == [True]

    async def test_task_without_restart_fails_at_once(self):
        runs = []

        async def broken():
            runs.append(1)
            raise ValueError("once")

        with pytest.raises(ExceptionGroup):
            await Supervisor("test", [ChildSpec("b", broken, restart=False)]).run()
        assert runs == [1]

    async def test_the_log_line_of_a_failed_task_says_where_it_failed(self, caplog):
        """Guard against a cause that can't be told from others of the same type."""
        caplog.set_level(logging.INFO)
        runs = []

        def decode_entry():
            json.loads("9" * 5000)

        async def broken():
            runs.append(1)
            if len(runs) == 1:
                async with anyio.create_task_group():
                    decode_entry()

        await Supervisor("test", [ChildSpec("broken", broken)]).run()
        record = next(row for row in caplog.records if row.event == 110)
        assert record.cause.startswith("ValueError")
        assert len(record.cause) < 400
        assert record.where.endswith("decode_entry")
