"""Event loop that simulates a slow processor in virtual time."""

import anyio

from fulmarroad.testing import VirtualTimeLoop

STEP_S = 0.0002
"""Virtual time in seconds that each callback of the loop takes."""


class SlowLoop(VirtualTimeLoop):
    """Advance the clock by a fixed time for each callback."""

    def call_soon(self, callback, *args, context=None):
        def run_slowly(*arguments):
            self._now += STEP_S
            callback(*arguments)

        return super().call_soon(run_slowly, *args, context=context)


def run_slowly(test):
    """Run an async test on a simulated slow processor."""
    anyio.run(test, backend_options={"loop_factory": SlowLoop})


async def take_turns(turns):
    """Yield to the loop for a number of iterations."""
    for _ in range(turns):
        await anyio.sleep(0)
