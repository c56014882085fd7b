"""Series of resets, lost, cold and restarted engines, and routers that are cut off.

Workspaces differ in how many routers their callers use. Each is judged by the rule on
shares, and engines by the limit of their calls while they are cold.
"""

import functools
import os
import random

import anyio
import pytest
from share_fleet import (
    MAX_COLD_ARRIVALS_PER_S,
    WARMUP_S,
    ShareFleet,
    Workspace,
    describe,
)

from fulmarroad.testing import run_virtual

SEEDS = range(int(os.environ.get("SHARE_SERIES_SEEDS", "3")))
"""A few in CI; a long run by hand sets the variable to 50 or more."""

SERIES_S = 11.0
FIRST_JUDGED_S, LAST_JUDGED_S = 2, 11
ENGINES = 10
MIN_UP = 6
MAX_CONNECTIONS = (60, 120, 900)

WORKSPACES = (
    Workspace("one", 120.0, 1),
    Workspace("two", 60.0, 2),
    Workspace("all", 200.0, 12),
    Workspace("small", 15.0, 3),
)
"""They ask for more than the engines do, so that shares decide. Their callers use the
first routers; those that are cut off are others."""

CUT_ROUTERS = range(3, 12)
DOWN_S = (0.2, 1.0)


class Series:
    """Draw what happens to engines and routers while callers make calls."""

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.fleet = ShareFleet(
            WORKSPACES, seed=seed, max_connections=self.random.choice(MAX_CONNECTIONS)
        )

    def play(self):
        trouble = lambda fleet: self.make_trouble()  # noqa: E731
        run = functools.partial(self.fleet.run_for, SERIES_S, ENGINES, trouble)
        run_virtual(run)
        return self.fleet

    async def make_trouble(self):
        troubles = (
            self.reset_calls,
            self.reset_calls,
            self.lose_engines,
            self.restart_engines,
            self.restart_engines,
            self.cut_router,
        )
        end_at = anyio.current_time() + SERIES_S
        while anyio.current_time() < end_at:
            await anyio.sleep(self.random.uniform(0.3, 1.5))
            self.fleet.group.start_soon(self.random.choice(troubles))

    def pick_engines(self):
        """Return some engines, of which enough others stay."""
        up = sorted(name for name, row in self.fleet.engines.items() if row.up)
        most = min(3, len(up) - MIN_UP)
        return self.random.sample(up, self.random.randint(1, most)) if most > 0 else []

    async def reset_calls(self):
        """Let some engines reset calls for a while, and go on with the others."""
        fraction = self.random.uniform(0.02, 0.3)
        engines = [row for row in self.fleet.engines.values() if row.up]
        engines = self.random.sample(engines, len(engines) // 2)
        for engine in engines:
            engine.reset_fraction = fraction
        await anyio.sleep(self.random.uniform(0.5, 4.0))
        for engine in engines:
            engine.reset_fraction = 0.0

    async def lose_engines(self):
        """Let engines end; cold ones with other ids take their place later."""
        names = self.pick_engines()
        for name in names:
            self.fleet.crash(name)
        await anyio.sleep(self.random.uniform(1.0, 4.0))
        for name in names:
            cold_until = anyio.current_time() + WARMUP_S
            self.fleet.add_engine(f"{name}-new", cold_until=cold_until)

    async def restart_engines(self):
        """Let engines end and start again cold under their ids."""
        names = self.pick_engines()
        for name in names:
            self.fleet.engines[name].crash()
        await anyio.sleep(self.random.uniform(*DOWN_S))
        for name in names:
            self.fleet.start_again_cold(name, self.random.uniform(0.0, 1.0))

    async def cut_router(self):
        name = f"router-{self.random.choice(CUT_ROUTERS)}"
        await self.fleet.cut(name, self.random.uniform(0.2, 3.0))


class TestSeries:
    @pytest.mark.parametrize("seed", SEEDS)
    def test_workspaces_get_their_share_wherever_their_callers_connect(self, seed):
        """Guard against shares that hang on the number of routers a workspace uses.

        Each budget of the fleet that is dealt out by router, and each belief of a
        single router, gives a workspace at one router less than others.
        """
        fleet = Series(seed).play()
        lacking = {
            row.name: fleet.shortfall(row.name, FIRST_JUDGED_S, LAST_JUDGED_S)
            for row in WORKSPACES
        }
        assert not any(lacking.values()), (lacking, describe(fleet))
        worst = max(row.worst_arrivals_per_s for row in fleet.engines.values())
        assert worst <= MAX_COLD_ARRIVALS_PER_S
