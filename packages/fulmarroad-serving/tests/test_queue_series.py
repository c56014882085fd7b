"""Series of troubles in a fleet whose owners queue calls, and a surge without them.

Load pattern: many workspaces ask for more than the engines read. Routers and owners
end, restart or are cut off, packets are lost and come twice, engines slow down and
crash, and callers leave while their calls wait.
"""

import functools
import os
import random

import anyio
import pytest
from queue_fleet import QueueFleet
from share_fleet import Workspace

from fulmarroad.testing import run_virtual

SEEDS = range(int(os.environ.get("QUEUE_SERIES_SEEDS", "3")))
"""A few in CI; a long run by hand sets the variable to 50 or more."""

SERIES_S = 6.0
ENGINES = 8
ROUTERS = 6
LEFT_GRACE_S = 0.5
"""Time after a caller left in which its call may still reach a server."""

WORKSPACES = (
    Workspace("largest", 36.0, ROUTERS),
    Workspace("large", 18.0, ROUTERS),
    Workspace("medium", 9.0, ROUTERS),
    Workspace("small", 4.0, ROUTERS),
)


class Series:
    """Draw what happens to routers, engines and packets while callers make calls."""

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.fleet = QueueFleet(WORKSPACES, ROUTERS, seed)
        self.fleet.loss = self.random.choice((0.0, 0.02, 0.1))
        self.fleet.duplicates = self.random.choice((0.0, 0.1))
        self.fleet.leaving_fraction = 0.2

    def play(self):
        trouble = lambda fleet: self.make_trouble()  # noqa: E731
        run_virtual(functools.partial(self.fleet.run_for, SERIES_S, ENGINES, trouble))
        return self.fleet

    async def make_trouble(self):
        troubles = (
            self.restart_router,
            self.cut_router,
            self.end_router,
            self.slow_engines,
            self.crash_engine,
        )
        end_at = anyio.current_time() + SERIES_S
        while anyio.current_time() < end_at:
            await anyio.sleep(self.random.uniform(0.2, 1.0))
            self.fleet.group.start_soon(self.random.choice(troubles))

    def pick_router(self):
        alive = sorted(name for name, row in self.fleet.routers.items() if row.alive)
        return self.random.choice(alive) if len(alive) > 3 else None

    async def restart_router(self):
        if (name := self.pick_router()) is not None:
            await self.fleet.restart(name, self.random.uniform(0.1, 1.0))

    async def end_router(self):
        if (name := self.pick_router()) is not None:
            self.fleet.kill(name)

    async def cut_router(self):
        if (name := self.pick_router()) is not None:
            await self.fleet.cut(name, self.random.uniform(0.2, 2.0))

    async def slow_engines(self):
        names = self.random.sample(sorted(self.fleet.engines), 2)
        for name in names:
            self.fleet.engines[name].speed = 0.4
        await anyio.sleep(0.6)
        for name in names:
            self.fleet.engines[name].speed = 1.0

    async def crash_engine(self):
        up = sorted(name for name, row in self.fleet.engines.items() if row.up)
        if len(up) > ENGINES // 2:
            self.fleet.crash(self.random.choice(up))


class TestSeries:
    @pytest.mark.parametrize("seed", SEEDS)
    def test_queued_calls_run_once_in_order_and_only_for_callers(self, seed):
        """Guard against calls that run twice or for nobody, against places that are
        given out of turn, and against those of lost callers that are held for good.
        """
        fleet = Series(seed).play()
        calls = fleet.calls.values()
        assert any(row.runs for row in calls)
        assert max(len(row.runs) for row in calls) <= 1
        assert not [row for row in calls if row.status == 503 and row.runs]
        assert not [
            row for row in calls for at in row.runs if at > row.left_at + LEFT_GRACE_S
        ]
        assert not fleet.faults
        for router in fleet.routers.values():
            loads = router.dispatcher.own_load().values() if router.alive else ()
            assert not sum(row.running for row in loads)
            assert not (router.alive and len(router.queue))


SURGE_S, SLOW_S = 5.0, 0.6

FAIR_FRACTION = 0.5
"""Fraction of what it asks, or of what the best served workspace gets if that is less,
that a workspace is promised."""

LATE_PER_SLOW_DOWN = 3
"""Calls that an engine has when it slows down: the one that it reads, and those that
wait for it within the bound. They can't be moved; all later ones are on time."""


def surge(seed, **changes):
    fleet = QueueFleet(SURGE, ROUTERS, seed, **changes)

    async def slow_down(fleet):
        source = random.Random(seed)
        while True:
            row = source.choice(sorted(fleet.engines))
            fleet.engines[row].speed = 0.4
            await anyio.sleep(SLOW_S)
            fleet.engines[row].speed = 1.0

    run_virtual(functools.partial(fleet.run_for, SURGE_S, ENGINES, slow_down))
    return fleet


SURGE = tuple(
    Workspace(f"w-{number}", rate, ROUTERS)
    for number, rate in enumerate((40.0, 20.0, *[2.0] * 8))
)


class TestSurge:
    @pytest.mark.parametrize("seed", SEEDS)
    def test_a_surge_of_many_workspaces_leaves_small_ones_their_calls(self, seed):
        """Guard against places that go to whoever has most calls, and against calls
        that are sent although they begin late."""
        fleet = surge(seed)
        asked, begun = fleet.asked_units(), fleet.begun_units()
        best = max(begun.values())
        for name in (f"w-{n}" for n in range(2, 10)):
            assert begun[name] >= FAIR_FRACTION * min(asked[name], best)
        late = [
            row
            for row in fleet.first_attempts()
            if row.runs and not row.on_time and row.begun_at < float("inf")
        ]
        assert len(late) <= LATE_PER_SLOW_DOWN * SURGE_S / SLOW_S
        assert not fleet.faults
