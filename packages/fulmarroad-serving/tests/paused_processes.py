"""Processes that stand still and go on, in one event loop in virtual time.

What a process does runs in a context of its own, which its tasks and timers inherit.
While it is paused, the loop holds back every step of its tasks and every timer of it,
and what comes from outside waits by source, as in the buffers of its sockets. As it
goes on, all of that is due at once: each source keeps its order, and between sources
the order is drawn.

Not simulated: buffers that overflow, a pause in the middle of a synchronous step, and
the time that a resumed process needs to work off what waits.
"""

import asyncio
import contextvars
from collections import deque

import anyio
from anyio.lowlevel import checkpoint

from fulmarroad.testing import VirtualTimeLoop

PROCESS = contextvars.ContextVar("process", default=None)
STEPS = "steps"
"""Source of the steps of tasks and timers that were due during a pause."""


class Process:
    """Run the steps of one simulated process, or hold them while it is paused."""

    def __init__(self, owner):
        self.owner = owner
        self.is_paused = False
        self.waiting = {}
        self.context = contextvars.copy_context()
        self.context.run(PROCESS.set, self)

    def run(self, function, *args):
        """Call a function as this process, whose tasks and timers belong to it."""
        return self.context.copy().run(function, *args)

    def deliver(self, source, function, *args):
        """Call a function as this process, after what came from the same source."""
        if self.is_paused or source in self.waiting:
            self.hold(source, lambda: self.run(function, *args))
        else:
            self.run(function, *args)

    def hold(self, source, step):
        self.waiting.setdefault(source, deque()).append(step)

    def pause(self):
        self.is_paused = True

    async def resume(self, draw):
        """Work off what waits, in a random order between the sources."""
        self.is_paused = False
        while self.waiting and not self.is_paused:
            source = draw.choice(sorted(self.waiting))
            self._schedule_next(source)
            if draw.random() < 0.5:
                await checkpoint()

    def discard(self):
        """Let the tasks end that wait, as the process is killed."""
        self.is_paused = False
        for source in list(self.waiting):
            while source == STEPS and source in self.waiting:
                self._schedule_next(source)
            self.waiting.pop(source, None)

    def _schedule_next(self, source):
        step = self.waiting[source].popleft()
        if not self.waiting[source]:
            del self.waiting[source]
        # A step of a task can't run inside the step of another one.
        context = contextvars.Context()
        asyncio.get_running_loop().call_soon(step, context=context)


class _Step:
    """Run a callback of a process, unless that is paused."""

    def __init__(self, process, callback, args, context):
        self.process, self.callback, self.args = process, callback, args
        self.context = context
        self.handle = None

    def __call__(self):
        if self.process.is_paused:
            self.process.hold(STEPS, self.run_late)
        else:
            self.callback(*self.args)

    def run_late(self):
        if not self.handle.cancelled():
            self.context.run(self.callback, *self.args)


class ProcessLoop(VirtualTimeLoop):
    """Hold the callbacks of paused processes."""

    def call_soon(self, callback, *args, context=None):
        return self._schedule(super().call_soon, callback, args, context)

    def call_at(self, when, callback, *args, context=None):
        def schedule(step, *args, context):
            return super(ProcessLoop, self).call_at(when, step, *args, context=context)

        return self._schedule(schedule, callback, args, context)

    def _schedule(self, schedule, callback, args, context):
        context = context if context is not None else contextvars.copy_context()
        process = context.get(PROCESS)
        if process is None:
            return schedule(callback, *args, context=context)
        step = _Step(process, callback, args, context)
        step.handle = schedule(step, context=context)
        return step.handle


def run_processes(function, *args):
    """Run an async function in virtual time, with processes that can be paused."""
    options = {"loop_factory": ProcessLoop}
    return anyio.run(function, *args, backend_options=options)
