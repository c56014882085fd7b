"""Series of pauses, silent deaths and stuck answers, judged by callers and engines."""

import math
import os
import random

import anyio
import pytest
from serving_bed import PLAIN
from silence_checks import faults
from silence_fleet import PAUSING_STREAM, Reach, SilenceFleet, SilentEngine

from fulmarroad.testing import run_virtual
from fulmarroad_serving import FleetBounds

SEEDS = sorted({*range(int(os.environ.get("SILENCE_SERIES_SEEDS", "3"))), 4, 47})
"""A few in CI; a long run by hand sets the variable to 50 or more."""

SERIES_S = 14.0
SETTLE_S = 12.0
"""Longer than the last call's deadline and the lists of granted calls."""

ROUTERS = 6
ENGINES = 14
MIN_SOUND_ENGINES = 8
PLAIN_SERVERS = 7
MIN_SOUND_PLAIN_SERVERS = 4
STREAMS_PER_S = 24.0
PLAIN_CALLS_PER_S = 6.0
PARTS = 60
"""Number of prompt parts: enough that none is there at most crashes."""

AMPLE_SLOTS = 32
SCARCE_SLOTS = 7
PAUSES_S = (0.3, 2.0)
MIN_GAP_S = 0.6
"""Time for which a server that paused sends without a further pause."""

LEASES_S = (2.0, 6.0)
"""Time after which the entry of a server that ended silently leaves the store."""

CUT_GAP_S = 2.0
"""Time between two cuts. The simulated membership keeps a router that is cut off, so
two cuts that follow each other would last longer than a real one lets them."""

EARLY_LEAVERS = 0.08
SCARCE_RETRIES = FleetBounds(retry_ratio=0.02, retry_window_s=10.0, retry_burst=12.0)


class Series:
    """Draw what happens to a fleet while callers send streams and plain calls."""

    def __init__(self, fleet, seed):
        self.fleet = fleet
        self.random = random.Random(seed)
        self.slots = SCARCE_SLOTS if seed % 3 == 2 else AMPLE_SLOTS
        self.names = 0
        self.next_cut_at = 0.0

    async def run(self):
        for _ in range(ENGINES):
            self.add_server("drafting")
        for _ in range(PLAIN_SERVERS):
            self.add_server("ledger")
        await anyio.sleep(0.4)
        async with anyio.create_task_group() as group:
            group.start_soon(self.fleet.change_config)
            async with anyio.create_task_group() as calls:
                calls.start_soon(self.begin_calls, PAUSING_STREAM, STREAMS_PER_S)
                calls.start_soon(self.begin_calls, PLAIN, PLAIN_CALLS_PER_S)
                calls.start_soon(self.make_trouble)
            group.cancel_scope.cancel()
        self.fleet.stuck_one_in = 0
        await anyio.sleep(SETTLE_S)

    async def begin_calls(self, route, per_s):
        for _ in range(int(SERIES_S * per_s)):
            is_early = self.random.random() < EARLY_LEAVERS
            leaves_after_s = self.random.uniform(0.1, 4.0) if is_early else math.inf
            number = len(self.fleet.callers)
            path = f"{route.path_prefix}1"
            self.fleet.begin(
                number,
                path=path,
                parts=f"part-{number % PARTS}",
                leaves_after_s=leaves_after_s,
            )
            await anyio.sleep(self.random.expovariate(per_s))

    async def make_trouble(self):
        troubles = (
            self.pause_one,
            self.pause_several,
            self.pause_begins,
            self.die_silently,
            self.crash,
            self.replace_server,
            self.stick_answers,
            self.cut_router,
            self.kill_router,
        )
        end_at = anyio.current_time() + SERIES_S
        while anyio.current_time() < end_at:
            await anyio.sleep(self.random.uniform(0.1, 0.8))
            await self.random.choice(troubles)()

    # servers

    def add_server(self, service):
        self.names += 1
        name = f"{service}-{self.names}"
        return self.fleet.add_engine(name, service=service, slots=self.slots)

    def running(self, service=None):
        """Return the servers that take calls."""
        return [
            row
            for row in self.fleet.engines.values()
            if row.up and not row.dead and not row.leaving
            if service in (None, row.service)
        ]

    def may_end(self):
        """Return the servers that may end while enough others run."""
        return [
            row
            for service, count in (
                ("drafting", MIN_SOUND_ENGINES),
                ("ledger", MIN_SOUND_PLAIN_SERVERS),
            )
            if len(rows := self.running(service)) > count
            for row in rows
        ]

    def ready_to_pause(self):
        """Return the servers whose last pause is over."""
        now = anyio.current_time()
        return [
            row
            for row in self.running()
            if max(row.silent_until, row.begins_at) + MIN_GAP_S < now
        ]

    async def pause_one(self, pause=SilentEngine.pause, count=1):
        ready = self.ready_to_pause()
        for engine in self.random.sample(ready, min(count, len(ready))):
            pause(engine, self.random.uniform(*PAUSES_S))

    async def pause_several(self):
        await self.pause_one(count=self.random.randint(2, 5))

    async def pause_begins(self):
        await self.pause_one(SilentEngine.pause_begins, self.random.randint(1, 4))

    async def die_silently(self):
        if rows := self.may_end():
            engine = self.random.choice(rows)
            self.fleet.die_silently(engine.name, self.random.choice(list(Reach)))
            lease_s = self.random.uniform(*LEASES_S)
            after_s = self.random.uniform(1.0, 7.0)
            self.fleet.group.start_soon(self.expire, engine, lease_s)
            self.fleet.group.start_soon(self.start_again, engine, after_s)

    async def crash(self):
        if rows := self.may_end():
            engine = self.random.choice(rows)
            self.fleet.crash(engine.name)
            after_s = self.random.uniform(0.25, 3.0)
            self.fleet.group.start_soon(self.start_again, engine, after_s)

    async def expire(self, engine, after_s):
        run = engine.started_ms
        await anyio.sleep(after_s)
        if engine.started_ms == run:
            self.fleet.remove_entry(engine.name)

    async def start_again(self, engine, after_s):
        await anyio.sleep(after_s)
        engine.crash()
        await anyio.sleep(0.2)
        self.fleet.start_again(engine.name, engine.version)

    async def replace_server(self):
        """Add a server, then let another one leave by plan."""
        engine = self.random.choice(self.running())
        self.add_server(engine.service)
        await anyio.sleep(0.3)
        self.fleet.drain(engine.name)

    async def stick_answers(self):
        self.fleet.stuck_one_in = self.random.choice((8, 15, 30))
        await anyio.sleep(self.random.uniform(0.5, 1.5))
        self.fleet.stuck_one_in = 0

    # routers

    async def cut_router(self):
        now = anyio.current_time()
        if now < self.next_cut_at:
            return
        for_s = self.random.uniform(0.3, 2.0)
        self.next_cut_at = now + for_s + CUT_GAP_S
        name = self.random.choice(sorted(self.fleet.routers))
        self.fleet.group.start_soon(self.fleet.cut, name, for_s)

    async def kill_router(self):
        up = [row.name for row in self.fleet.routers.values() if row.alive]
        if len(up) >= ROUTERS - 1:
            name = self.random.choice(up)
            self.fleet.group.start_soon(self.fleet.restart, name, 1.0)


class TestSeries:
    @pytest.mark.parametrize("seed", SEEDS)
    def test_calls_are_settled_and_sound_answers_are_left_alone(self, seed):
        """Guard against lost, cut, doubled or excess calls and kept places, while
        servers pause or end in silence, answers get stuck and routers are lost.
        """

        async def test(fleet):
            await Series(fleet, seed).run()
            found = faults(fleet)
            assert not found, "\n".join(found)

        fleet = SilenceFleet(size=ROUTERS, seed=seed)
        if seed % 4 == 3:
            fleet.bounds = SCARCE_RETRIES
        fleet.has_ample_places = seed % 3 != 2 and seed % 4 != 3
        run_virtual(fleet.run, test)
