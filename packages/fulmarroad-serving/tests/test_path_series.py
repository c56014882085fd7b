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
        await self.lose_router(self.fleet.restart)

    async def end_router(self):
        await self.lose_router(self.end_and_start_again)

    async def end_and_start_again(self, name):
        await self.fleet.end(name)
        self.fleet.start_router(name)

    async def lose_router(self, how):
        """Let a router go, unless it is one of the last two."""
        up = [r for r in self.fleet.routers.values() if r.alive and not r.leaving]
        if len(up) > 2:
            self.fleet.group.start_soon(how, self.random.choice(up).name)


class TestLeavingServers:
    @pytest.mark.parametrize("timeout_s", [0.2, 0.3, 0.4, 0.75])
    def test_a_request_under_way_is_withdrawn_before_the_drain_timeout(self, timeout_s):
        """Guard against requests that reach a server long after it said it leaves.

        Their calls go on, and the server left just after they were written.
        """
        fleet = PathFleet(random.Random(1))
        fleet.retransmission_s = (timeout_s, timeout_s)

        async def test(fleet):
            engine = fleet.add_engine("e-0")
            await anyio.sleep(0.4)
            await fleet.call("/sms/1")
            for centre in CENTRES:
                fleet.cut_link(centre, CENTRES[engine.port % len(CENTRES)], 2.3)
            for _ in range(4):
                fleet.group.start_soon(fleet.call, "/sms/1")
            fleet.drain("e-0")
            await anyio.sleep(10.0)

        run_virtual(fleet.run, test)
        assert fleet.calls == 5
        assert fleet.arrivals.at_left_servers == []


class TestSeries:
    @pytest.mark.parametrize("seed", SEEDS)
    def test_nothing_of_a_call_arrives_after_its_end(self, seed):
        """Guard against requests that outlive their call in a path that was cut."""
        series = Series(seed)
        run_virtual(series.fleet.run, series.run)
        fleet = series.fleet
        assert fleet.arrivals.after_their_end == []
        assert fleet.arrivals.while_held_elsewhere == []
        assert fleet.arrivals.at_left_servers == []
        assert fleet.answered >= MIN_ANSWERED_FRACTION * fleet.calls
