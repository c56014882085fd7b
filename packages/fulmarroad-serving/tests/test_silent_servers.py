"""Tests of servers that send nothing, for a while or for good, under their calls."""

from collections.abc import Callable

import anyio
import pytest
from attrs import frozen
from silence_fleet import Outcome, Reach, SilenceFleet, SilentEngine

from fulmarroad.testing import run_virtual

STREAMS_PER_S = 40.0
STREAMS = 360
SETTLE_S = 9.0
"""Longer than the deadline of the last stream."""

ENGINES = 6
DEATH_AFTER_S = 4.0
AMPLE_SLOTS = 64
SCARCE_SLOTS = 16
"""Engines that pause for 1.2 s need nearly all of them."""

ONE_ENGINE_SLOTS = 256


@frozen
class Pauses:
    """Describe engines that pause, and the fraction of streams that must be whole."""

    pause_s: float
    min_whole: float
    engines: int = ENGINES
    slots: int = AMPLE_SLOTS
    pause: Callable = SilentEngine.pause


PAUSES = {
    "none": Pauses(0.0, 0.99),
    "1.2s": Pauses(1.2, 0.99),
    "2.0s": Pauses(2.0, 0.99),
    "first-event": Pauses(1.2, 0.99, pause=SilentEngine.pause_begins),
    "scarce-slots": Pauses(1.2, 0.93, slots=SCARCE_SLOTS),
    "one-engine": Pauses(1.2, 0.93, engines=1, slots=ONE_ENGINE_SLOTS),
}


def play(trouble, engines=ENGINES, slots=AMPLE_SLOTS, seed=1):
    """Send streams beside a trouble and configuration changes; return the fleet."""

    async def test(fleet):
        for number in range(engines):
            fleet.add_engine(f"e-{number}", slots=slots)
        await anyio.sleep(0.4)
        async with anyio.create_task_group() as group:
            group.start_soon(fleet.change_config)
            group.start_soon(trouble, fleet)
            await fleet.send_streams(STREAMS_PER_S, STREAMS)
            await anyio.sleep(SETTLE_S)
            group.cancel_scope.cancel()

    fleet = SilenceFleet(seed=seed)
    run_virtual(fleet.run, test)
    return fleet


STUCK_ONE_IN = 10


class TestPausingEngines:
    @pytest.mark.parametrize("name", PAUSES)
    def test_streams_stay_at_engines_that_pause(self, name):
        """Guard against sound answers that a router cuts off, and so loses."""
        form = PAUSES[name]

        async def pause(fleet):
            if form.pause_s:
                await fleet.pause_engines(form.pause_s, form.pause)

        fleet = play(pause, form.engines, form.slots)
        counts = fleet.count()
        assert counts[Outcome.NOTHING] == 0, (counts, fleet.failures())
        assert (counts.cut, counts.run_twice) == (0, 0), counts
        assert counts.whole_fraction >= form.min_whole, counts


class TestDeadEngines:
    @pytest.mark.parametrize("reach", Reach)
    def test_streams_leave_engines_that_end_without_a_close(self, reach):
        """Guard against calls that wait for dead engines until their callers leave."""

        async def kill_two(fleet):
            await anyio.sleep(DEATH_AFTER_S)
            for name in ("e-0", "e-1"):
                fleet.die_silently(name, reach)

        fleet = play(kill_two)
        counts = fleet.count()
        assert counts[Outcome.NOTHING] <= 3, (counts, fleet.failures())
        assert counts.whole_fraction >= 0.95, counts


class TestStuckAnswers:
    def test_streams_leave_answers_that_are_stuck(self):
        """Guard against calls that wait for an answer which its engine has dropped."""

        async def stick(fleet):
            fleet.stuck_one_in = STUCK_ONE_IN

        counts = play(stick).count()
        assert counts.whole_fraction >= 0.97, counts
