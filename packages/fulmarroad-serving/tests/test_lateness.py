"""How late the event loop runs, measured in virtual time."""

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

    def test_a_single_stop_does_not_count_as_standing(self):
        """The processor is taken away for the rest of each tenth of a second, as on
        shared VMs. A router that took this for overload would turn callers away while
        half of its processor idles.
        """
        lateness = LoopLateness()
        for _ in range(20):
            lateness.note(0.06)
            lateness.note(0.0)
        assert lateness.sustained_s == 0.0
        assert lateness.worst_s == 0.06

    def test_a_delay_that_stays_counts_by_its_least_part(self):
        lateness = LoopLateness()
        for number in range(SUSTAINED_SAMPLES):
            assert lateness.sustained_s == 0.0
            lateness.note(0.1 + 0.01 * number)
        assert lateness.sustained_s == 0.1
