"""Series of crashing parts, crashes and losses of routers, judged from outside."""

import os
import random

import anyio
import pytest
from crash_fleet import MAX_LATE, CrashFleet

from fulmarroad.testing import run_virtual

SEEDS = sorted({*range(int(os.environ.get("CRASH_SERIES_SEEDS", "4"))), 57, 79})
"""A few in CI; a long run by hand sets the variable to 50 or more."""

CALM_S = 4.0
TROUBLE_S = 14.0
SOUND_PER_S = 30.0
MIN_JUDGED = 20
"""Number of sound requests from which the fraction that begins is judged."""


class Series:
    """Draw which parts crash engines, and what else happens to the fleet."""

    def __init__(self, fleet, seed):
        self.fleet = fleet
        self.random = random.Random(seed)
        self.parts = ["bad-1", "bad-2"][: 1 + seed % 2]
        self.places = [self.random.randrange(3) for _ in self.parts]
        self.has_companion = self.random.random() < 0.3
        self.turns_bad = self.random.random() < 0.2
        self.shares_caller = self.random.random() < 0.5

    def sound_parts(self, source):
        middle = min(19, int(source.expovariate(0.25)))
        parts = [
            f"first-{source.randrange(2)}",
            f"middle-{middle}",
            f"last-{source.randrange(60)}",
        ]
        if self.has_companion and source.random() < 0.05:
            parts[1] = "companion"
        if self.turns_bad and source.random() < 0.05:
            parts[self.places[0]] = self.parts[0]
        return tuple(parts)

    def crashing_parts(self, part, place):
        def parts(source):
            names = list(self.sound_parts(source))
            names[place] = part
            if self.has_companion:
                names.insert(1, "companion")
            return tuple(names)

        return parts

    async def run(self):
        fleet = self.fleet
        await fleet.prepare()
        async with anyio.create_task_group() as group:
            group.start_soon(
                fleet.send_sound, SOUND_PER_S, CALM_S + TROUBLE_S, self.sound_parts
            )
            await anyio.sleep(CALM_S)
            fleet.crashing = frozenset(self.parts)
            for part, place in zip(self.parts, self.places, strict=True):
                group.start_soon(
                    fleet.send_crashing,
                    self.random.choice((1.0, 3.0, 6.0)),
                    TROUBLE_S,
                    self.crashing_parts(part, place),
                    "guild" if self.shares_caller else None,
                )
            group.start_soon(self.make_trouble)

    async def make_trouble(self):
        troubles = (self.crash_engines, self.kill_router, self.cut_router)
        end_at = self.fleet.now + TROUBLE_S
        while self.fleet.now < end_at:
            await anyio.sleep(self.random.uniform(0.5, 2.5))
            await self.random.choice(troubles)()

    async def crash_engines(self):
        up = [row for row in self.fleet.engines.values() if row.up]
        for engine in self.random.sample(up, min(2, max(0, len(up) - 4))):
            self.fleet.crash_and_replace(engine)

    async def kill_router(self):
        up = [row.name for row in self.fleet.routers.values() if row.alive]
        if len(up) > 4:
            name = self.random.choice(up)
            self.fleet.group.start_soon(self.fleet.restart, name, 1.0)

    async def cut_router(self):
        name = self.random.choice(sorted(self.fleet.routers))
        self.fleet.group.start_soon(self.fleet.cut, name, 2.0)


class TestSeries:
    @pytest.mark.parametrize("seed", SEEDS)
    def test_crashing_parts_stop_and_sound_requests_go_on(self, seed):
        """Guard against parts that go on crashing engines, and against a mend that
        bars what sound requests need, while engines and routers are lost too.
        """

        async def test(fleet):
            series = Series(fleet, seed)
            await series.run()
            until = CALM_S + TROUBLE_S
            for part in series.parts:
                assert len(fleet.late(part)) <= MAX_LATE
                since = fleet.judged_from(part)
                rows = [row for row in fleet.sound if since <= row.at < until]
                if len(rows) >= MIN_JUDGED and fleet.crashes.get(part):
                    assert fleet.begun_fraction(since, until) >= 0.5

        run_virtual(CrashFleet(size=8, seed=seed, loss=0.03).run, test)
