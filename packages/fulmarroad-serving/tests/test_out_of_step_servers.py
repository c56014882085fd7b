"""Servers that start again under their ids while a router's view of them is old."""

import anyio
import pytest
from fleet_views import STORE, ViewFleet
from paused_processes import run_processes

LATE = "router-0"
OTHERS = ("router-1", "router-2", "router-3")
REPLACED = "e-2"
"""The server in the data centre of the late router, which prefers it."""

STREAMS = 16
OUT_OF_STEP_S = 2.0
"""Time for which the router has read nothing as its streams begin."""


async def begin_fleet(fleet):
    """Let all routers but the late one connect to every server of one version."""
    for number in range(4):
        fleet.add_engine(f"e-{number}", "v1")
    await anyio.sleep(0.8)
    for number in range(STREAMS):
        router = fleet.routers[OTHERS[number % len(OTHERS)]]
        fleet.begin(100 + number, router=router)
    await anyio.sleep(2.0)


async def start_again(fleet, version):
    fleet.crash(REPLACED)
    await anyio.sleep(0.25)
    fleet.start_again(REPLACED, version)


@pytest.mark.parametrize("kind", ["cut off", "paused"])
class TestServersThatStartAgain:
    def test_no_stream_is_bound_by_an_entry_that_may_be_old(self, kind):
        """Guard against a text joined from two versions at a router that missed how
        servers started again as another version: it binds the streams that begin there
        by their former entries, and lets them go on at servers of that version.
        """

        async def test(fleet):
            await begin_fleet(fleet)
            pairs = [*fleet.pairs(LATE), (LATE, STORE), (STORE, LATE)]
            fleet.spawn(fleet.cut_pairs, pairs, 20.0)
            if kind == "paused":
                fleet.spawn(fleet.pause, LATE, OUT_OF_STEP_S)
            await anyio.sleep(0.1)
            await start_again(fleet, "v2")
            await anyio.sleep(OUT_OF_STEP_S)
            for number in range(STREAMS):
                fleet.begin(number, router=fleet.routers[LATE])
            await anyio.sleep(0.5)
            begun = {row.version for caller in fleet.callers for row in caller.events}
            assert "v2" in begun
            fleet.crash(REPLACED)
            await anyio.sleep(9.0)
            assert not fleet.mixed()

        run_processes(ViewFleet(size=4).run, test)
