"""Restart failed tasks, and fail the process when restarts do not help."""

from __future__ import annotations

import contextlib
import logging
import random
from collections.abc import Awaitable, Callable, Iterator
from typing import Any

import anyio
from attrs import define, field, frozen

from fulmarroad.events import Event, emit, error_fields
from fulmarroad.exceptions import SupervisionError

logger = logging.getLogger("fulmarroad.supervision")

RESTART_DELAY_S = 0.05
MAX_RESTART_DELAY_S = 2.0

MAX_RESTARTS = 10
"""Failures within `RESTART_WINDOW_S` above which the whole tree fails.

Otherwise a task that fails on every start would be restarted for ever while the process
looks healthy. When the process fails, the platform replaces the VM.
"""
RESTART_WINDOW_S = 30.0


@contextlib.contextmanager
def continue_on_error(step: str, **fields: Any) -> Iterator[None]:
    """Log an unexpected error of one step of a task, and go on behind the step.

    An input that fails whenever it comes would otherwise use up the restarts of its
    task and end the process; one that reaches all routers would end all of them.
    """
    try:
        yield
    except Exception as error:
        logger.debug("step failed", exc_info=error)
        emit(logger, Event.STEP_FAILED, step=step, **fields, **error_fields(error))


@frozen
class ChildSpec:
    """Describe one supervised task."""

    name: str
    run: Callable[[], Awaitable[None]]
    restart: bool = True


@define
class _Child:
    spec: ChildSpec
    failures: list[float] = field(factory=list)


class Supervisor:
    """Run children in one task group, and restart those that fail.

    A child that returns is not restarted. `SupervisionError` is raised, and the other
    children are cancelled, if a child fails more than `MAX_RESTARTS` times in
    `RESTART_WINDOW_S`, or once if its `restart` is false.
    """

    def __init__(self, name: str, children: list[ChildSpec], *, seed: int = 0) -> None:
        self._name = name
        self._children = [_Child(spec) for spec in children]
        self._random = random.Random(seed)

    async def run(self) -> None:
        """Run until every child has returned, or a child may not be restarted again."""
        async with anyio.create_task_group() as group:
            for child in self._children:
                group.start_soon(self._run_child, child, name=child.spec.name)

    async def _run_child(self, child: _Child) -> None:
        while True:
            try:
                await child.spec.run()
                return
            except Exception as error:
                await self._handle_failure(child, error)

    async def _handle_failure(self, child: _Child, error: Exception) -> None:
        now = anyio.current_time()
        child.failures = [at for at in child.failures if now - at < RESTART_WINDOW_S]
        child.failures.append(now)
        count = len(child.failures)
        fields = {
            "supervisor": self._name,
            "task": child.spec.name,
            **error_fields(error),
        }
        if not child.spec.restart or count > MAX_RESTARTS:
            emit(logger, Event.TASK_GIVEN_UP, **fields)
            raise SupervisionError(
                f"Task {child.spec.name} failed {count} times.",
                hint="The causes of the failures are logged as events 110 and 111.",
            ) from error
        logger.debug("task failed", exc_info=error)
        emit(logger, Event.TASK_FAILED, **fields, failures=count)
        await anyio.sleep(self._restart_delay(count))

    def _restart_delay(self, count: int) -> float:
        ceiling = min(MAX_RESTART_DELAY_S, RESTART_DELAY_S * 2**count)
        return self._random.uniform(RESTART_DELAY_S, ceiling)
