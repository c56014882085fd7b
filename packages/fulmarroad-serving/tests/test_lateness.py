"""Measurement of event loop delays, in virtual time."""

import anyio

from fulmarroad.testing import run_virtual
from fulmarroad_serving._lateness import SUSTAINED_SAMPLES, LoopLateness


class TestLoopLateness:
    def test_an_idle_loop_is_not_late(self):
        lateness = LoopLateness()

        async def test():
            with anyio.move_on_after(5.0):
                await lateness.run(anyio.current_time, lambda now: None)

        run_virtual(test)
        assert lateness.sustained_s < 1e-6
        assert lateness.worst_s < 1e-6

    def test_alternating_late_samples_are_not_a_sustained_delay(self):
        """A VM with a processor quota is paused for the rest of each tenth of a second.
        A router that treated this as overload would refuse calls while half of its
        processor is idle.
        """
        lateness = LoopLateness()
        for _ in range(20):
            lateness.note(0.06)
            lateness.note(0.0)
        assert lateness.sustained_s == 0.0
        assert lateness.worst_s == 0.06

    def test_a_sustained_delay_is_the_shortest_of_its_samples(self):
        lateness = LoopLateness()
        for number in range(SUSTAINED_SAMPLES):
            assert lateness.sustained_s == 0.0
            lateness.note(0.1 + 0.01 * number)
        assert lateness.sustained_s == 0.1
