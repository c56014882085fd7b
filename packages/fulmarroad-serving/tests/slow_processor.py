"""An event loop on a processor that takes its time, in virtual time."""

import anyio

from fulmarroad.testing import VirtualTimeLoop

STEP_S = 0.0002
"""Time that the processor takes for one callback of the loop."""


class SlowLoop(VirtualTimeLoop):
    """Move the clock on by a fixed time for each callback that runs."""

    def call_soon(self, callback, *args, context=None):
        def run_slowly(*arguments):
            self._now += STEP_S
            callback(*arguments)

        return super().call_soon(run_slowly, *args, context=context)


def run_slowly(test):
    """Run an async test on a slow processor."""
    anyio.run(test, backend_options={"loop_factory": SlowLoop})


async def take_turns(turns):
    """Do work that takes some turns of the loop."""
    for _ in range(turns):
        await anyio.sleep(0)
