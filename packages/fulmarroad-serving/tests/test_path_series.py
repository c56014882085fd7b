"""Series of cut links, lost packets, leaving servers and ended routers."""

import os
import random

import anyio
import pytest
from path_fleet import PathFleet
from stream_fleet import CENTRES

from fulmarroad.testing import run_virtual

SEEDS = range(int(os.environ.get("PATH_SERIES_SEEDS", "4")))
"""A few in CI; a long run by hand sets the variable to 50 or more."""

SERIES_S = 12.0
CALLS_PER_S = 40.0
SERVERS = 6
PATHS = ("/look/1", "/post/1", "/draft/1", "/sms/1")
MIN_ANSWERED_FRACTION = 0.25


class Series:
    """Draw what happens to a fleet while callers make calls."""

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.fleet = PathFleet(self.random, seed=seed)

    async def run(self, fleet):
        for number in range(SERVERS):
            fleet.add_engine(f"e-{number}")
            fleet.add_engine(f"l-{number}", service="ledger")
        await anyio.sleep(0.4)
        async with anyio.create_task_group() as group:
            group.start_soon(self.make_calls)
            group.start_soon(self.make_trouble)
        # Longer than any cut and the retransmissions that follow it.
        await anyio.sleep(16.0)

    async def make_calls(self):
        for _ in range(int(SERIES_S * CALLS_PER_S)):
            leaves = self.random.random() < 0.2
            leaves_after_s = self.random.uniform(0.05, 2.0) if leaves else None
            path = self.random.choice(PATHS)
            self.fleet.group.start_soon(self.fleet.call, path, leaves_after_s)
            await anyio.sleep(self.random.expovariate(CALLS_PER_S))

    async def make_trouble(self):
        troubles = (
            self.cut_link,
            self.cut_link,
            self.cut_data_centre,
            self.lose_packets,
            self.drain,
            self.crash,
            self.kill_router,
            self.end_router,
        )
        end_at = anyio.current_time() + SERIES_S
        while anyio.current_time() < end_at:
            await anyio.sleep(self.random.uniform(0.2, 1.0))
            await self.random.choice(troubles)()

    async def cut_link(self):
        ends = [self.random.choice(CENTRES) for _ in range(2)]
        self.fleet.cut_link(*ends, self.random.uniform(0.1, 8.0))

    async def cut_data_centre(self):
        """Cut a data centre off just before one of its servers leaves."""
        centre = self.random.choice(CENTRES)
        for_s = self.random.uniform(0.5, 6.0)
        for other in CENTRES:
            if other != centre:
                self.fleet.cut_link(centre, other, for_s)
        await anyio.sleep(self.random.uniform(0.0, 1.0))
        await self.drain()

    async def lose_packets(self):
        self.fleet.lost_fraction = self.random.uniform(0.0, 0.3)
        await anyio.sleep(self.random.uniform(0.5, 2.0))
        self.fleet.lost_fraction = 0.0

    async def drain(self):
        """Let a server leave; another one of its service comes."""
        staying = [row for row in self.fleet.engines.values() if not row.leaving]
        engine = self.random.choice([row for row in staying if row.up])
        self.fleet.add_engine(f"n-{len(self.fleet.engines)}", service=engine.service)
        self.fleet.drain(engine.name)

    async def crash(self):
        engine = self.random.choice([r for r in self.fleet.engines.values() if r.up])
        self.fleet.add_engine(f"n-{len(self.fleet.engines)}", service=engine.service)
        self.fleet.crash(engine.name)

    async def kill_router(self):
        router = self.random.choice(self.up_routers())
        self.fleet.group.start_soon(self.fleet.restart, router.name)

    async def end_router(self):
        router = self.random.choice(self.up_routers())
        if len(self.up_routers()) > 2:
            self.fleet.group.start_soon(self.fleet.end, router.name)

    def up_routers(self):
        return [r for r in self.fleet.routers.values() if r.alive and not r.leaving]


class TestSeries:
    @pytest.mark.parametrize("seed", SEEDS)
    def test_nothing_of_a_call_arrives_after_its_end(self, seed):
        """Guard against requests that outlive their call in a path that was cut."""
        series = Series(seed)
        run_virtual(series.fleet.run, series.run)
        fleet = series.fleet
        assert fleet.arrivals.after_their_end == []
        assert fleet.arrivals.while_held_elsewhere == []
        assert fleet.answered >= MIN_ANSWERED_FRACTION * fleet.calls
