"""Streams taken up at a router whose view of the servers is old."""

import anyio
import pytest
from stream_fleet import StreamFleet

from fulmarroad.testing import run_virtual
from fulmarroad_serving.contracts import InstanceRemovedFact

STREAMS = 24
LATE = "router-0"
OTHERS = ("router-1", "router-2", "router-3")


class Incident:
    """Let a version join while one router is out of step, and its streams break."""

    def __init__(self, fleet, *, names_stream):
        self.fleet, self.names_stream = fleet, names_stream

    async def join(self, version="v2"):
        """Start engines of another version and let streams begin at the others."""
        for number in range(2):
            self.fleet.add_engine(f"{version}-{number}", version)
        await anyio.sleep(0.6)
        await self.begin_streams()

    async def begin_streams(self):
        for number in range(STREAMS):
            router = self.fleet.routers[OTHERS[number % len(OTHERS)]]
            self.fleet.begin(number, router=router, names_stream=self.names_stream)
        await anyio.sleep(0.5)

    def end_version(self, version="v2"):
        for engine in self.fleet.engines.values():
            if engine.version == version:
                engine.crash()
                self.fleet.publish(InstanceRemovedFact(engine.name), after_s=0.0)

    def end_others(self):
        for name in OTHERS:
            self.fleet.kill(name)


async def begin_fleet(fleet):
    for number in range(4):
        fleet.add_engine(f"v1-{number}", "v1")
    await anyio.sleep(0.5)


def taken_up_late(fleet):
    rows = [row for caller in fleet.callers for row in caller.tries]
    return [row for row in rows if row.resumes and row.router == LATE]


@pytest.mark.parametrize("names_stream", [True, False])
class TestOutOfStep:
    @pytest.mark.parametrize("ends", ["routers", "servers"])
    @pytest.mark.parametrize("reaches_store", [False, True])
    @pytest.mark.parametrize("cut_s", [1.2, 2.2, 6.0])
    def test_no_stream_goes_on_at_the_only_version_known(
        self, names_stream, ends, reaches_store, cut_s
    ):
        """Guard against a text joined from two versions at a router that was cut off
        while the version that began it joined, and takes its own for the only one.
        """

        async def test(fleet):
            await begin_fleet(fleet)
            incident = Incident(fleet, names_stream=names_stream)
            fleet.group.start_soon(fleet.cut, LATE, cut_s)
            fleet.group.start_soon(fleet.cut_store, LATE, cut_s)
            await incident.join()
            if reaches_store:
                fleet.routers[LATE].store_cut = False
            if ends == "routers":
                incident.end_others()
            else:
                incident.end_version()
            await anyio.sleep(9.0)
            assert not fleet.mixed()
            assert taken_up_late(fleet)

        run_virtual(StreamFleet(size=4).run, test)


class TestInStep:
    @pytest.mark.parametrize("store", ["stable", "cut here", "down"])
    @pytest.mark.parametrize("names_stream", [True, False])
    def test_streams_of_a_single_version_go_on(self, names_stream, store):
        """Guard against a mend that refuses what the store, a router that reaches it
        or, while it is down, all routers together can confirm.
        """

        async def test(fleet):
            await begin_fleet(fleet)
            incident = Incident(fleet, names_stream=names_stream)
            cut = {"stable": (), "cut here": (LATE,), "down": tuple(fleet.routers)}
            for name in cut[store]:
                fleet.group.start_soon(fleet.cut_store, name, 20.0)
            await anyio.sleep(0.5)
            await incident.begin_streams()
            fleet.crash("v1-0")
            fleet.crash("v1-1")
            for router in fleet.routers.values():
                router.streams.records = type(router.streams.records)()
            await anyio.sleep(9.0)
            assert all(row.whole for row in fleet.callers)

        run_virtual(StreamFleet(size=4).run, test)

    @pytest.mark.parametrize("names_stream", [True, False])
    def test_a_router_that_is_back_takes_streams_up_at_once(self, names_stream):
        """Guard against callers refused by a router that has read what it missed."""

        async def test(fleet):
            await begin_fleet(fleet)
            fleet.group.start_soon(fleet.cut, LATE, 2.0)
            fleet.group.start_soon(fleet.cut_store, LATE, 2.0)
            await anyio.sleep(2.3)
            late = [
                fleet.begin(
                    number,
                    router=fleet.routers[LATE],
                    resumes="c-404",
                    names_stream=names_stream,
                    tries=1,
                )
                for number in range(4)
            ]
            await anyio.sleep(3.0)
            assert all(row.whole for row in late)

        run_virtual(StreamFleet(size=4).run, test)

    def test_calm_calls_cost_no_read_of_the_store(self):
        """Guard against priced calls for streams that begin, or whose records are
        found.
        """

        async def test(fleet):
            await begin_fleet(fleet)
            for number in range(STREAMS):
                fleet.begin(number)
            await anyio.sleep(0.5)
            fleet.kill("router-1")
            await anyio.sleep(6.0)
            assert all(row.whole for row in fleet.callers)
            assert any(len(row.tries) > 1 for row in fleet.callers)
            assert fleet.store_reads == 0

        run_virtual(StreamFleet(size=4).run, test)

    def test_streams_that_come_together_share_a_read(self):
        """Guard against one read of the store for each stream of a lost router."""

        async def test(fleet):
            await begin_fleet(fleet)
            for number in range(40):
                fleet.begin(number, names_stream=False)
            await anyio.sleep(0.5)
            fleet.kill("router-1")
            await anyio.sleep(6.0)
            assert all(row.whole for row in fleet.callers)
            assert 0 < fleet.store_reads <= 9

        run_virtual(StreamFleet(size=4).run, test)
