"""Streams that are taken up after all routers, or nearly all, were lost at once."""

import os
import random

import anyio
import pytest
from attrs import evolve
from stream_callers import DEADLINE_S
from stream_fleet import LONG_STREAM, StreamFleet

from fulmarroad.testing import run_virtual
from fulmarroad_serving.contracts import InstanceRemovedFact
from fulmarroad_serving.streams import ListWatch
from fulmarroad_serving.streams._resumption import RECORD_MARGIN_S

STREAMS = 24
LIFE_S = DEADLINE_S + RECORD_MARGIN_S
SEEDS = range(int(os.environ.get("LOST_FLEET_SEEDS", "12")))
"""A few in CI; a long run by hand sets the variable to 50 or more."""


async def restart(fleet, names, down_s=0.3):
    """Kill routers at once and start them again."""
    for name in names:
        fleet.kill(name)
    await anyio.sleep(down_s)
    for name in names:
        fleet.start_router(name)


async def begin(fleet, names_stream, versions):
    """Let streams begin at two engines of each version."""
    for version in versions:
        for number in range(2):
            fleet.add_engine(f"{version}-{number}", version)
    await anyio.sleep(0.3)
    for number in range(STREAMS):
        fleet.begin(number, names_stream=names_stream)
    await anyio.sleep(0.5)


def remove(fleet, version):
    """Let the engines of a version leave, and their entries go at once."""
    for engine in fleet.engines.values():
        if engine.version == version:
            engine.crash()
            fleet.publish(InstanceRemovedFact(engine.name), after_s=0.0)


def taken_up(fleet):
    return [row for caller in fleet.callers for row in caller.tries[1:]]


@pytest.mark.parametrize("names_stream", [True, False])
class TestAllLost:
    def test_no_stream_goes_on_at_a_version_that_replaced_its_own(self, names_stream):
        """Guard against a text joined from two versions: the servers that began it
        have left just before all routers were lost, so that nobody knows of them.
        """

        async def test(fleet):
            await begin(fleet, names_stream, ["v1"])
            fleet.add_engine("new-0", "v2")
            remove(fleet, "v1")
            await restart(fleet, list(fleet.routers))
            await anyio.sleep(LIFE_S)
            assert not fleet.mixed()
            assert len(taken_up(fleet)) >= STREAMS

        run_virtual(StreamFleet().run, test)

    def test_no_stream_goes_on_at_the_version_that_is_left(self, names_stream):
        """Guard against a text joined from two versions that both had served, of
        which one has left just before all routers were lost.
        """

        async def test(fleet):
            await begin(fleet, names_stream, ["v1", "v2"])
            remove(fleet, "v1")
            await restart(fleet, list(fleet.routers))
            await anyio.sleep(LIFE_S)
            assert not fleet.mixed()

        run_virtual(StreamFleet().run, test)

    def test_the_streams_are_refused_at_once_and_later_ones_go_on(self, names_stream):
        """Guard against callers that wait for what can't be known, and against a fleet
        that refuses for longer than a stream of before can live.
        """

        async def test(fleet):
            await begin(fleet, names_stream, ["v1"])
            await restart(fleet, list(fleet.routers))
            await anyio.sleep(LIFE_S)
            refused = [row for row in taken_up(fleet) if row.code]
            assert {row.code for row in refused} == {"stream_unknown"}
            assert {row.status for row in refused} == {503}
            assert len({row.router for row in refused}) == len(fleet.routers)
            late = [
                fleet.begin(100 + number, resumes="c-404", names_stream=names_stream)
                for number in range(4)
            ]
            await anyio.sleep(3.0)
            assert all(row.whole for row in late)

        run_virtual(StreamFleet().run, test)


@pytest.mark.parametrize("names_stream", [True, False])
class TestSomeLost:
    def test_one_survivor_is_enough_for_one_version(self, names_stream):
        """Guard against the loss of streams that one router could still answer for."""

        async def test(fleet):
            await begin(fleet, names_stream, ["v1"])
            await restart(fleet, list(fleet.routers)[1:])
            await anyio.sleep(LIFE_S)
            assert all(row.whole for row in fleet.callers)

        run_virtual(StreamFleet().run, test)

    def test_a_rolling_restart_of_all_routers_loses_no_stream(self, names_stream):
        """Guard against a fleet that forgets, router by router, what it has seen."""

        async def test(fleet):
            fleet.add_engine("v1-0", "v1")
            fleet.add_engine("v1-1", "v1")
            for number, name in enumerate(list(fleet.routers)):
                await anyio.sleep(LIFE_S)
                fleet.begin(number, names_stream=names_stream)
                await anyio.sleep(0.4)
                await restart(fleet, [name])
            await anyio.sleep(4.0)
            assert all(row.whole for row in fleet.callers)

        run_virtual(StreamFleet().run, test)

    def test_a_survivor_that_was_cut_off_knows_no_more_than_the_others(
        self, names_stream
    ):
        """Guard against a router that has missed a version and answers for the time."""

        async def test(fleet):
            await begin(fleet, names_stream, ["v1"])
            survivor = fleet.routers["router-0"]
            fleet.group.start_soon(fleet.cut_store, "router-0", 0.5)
            await anyio.sleep(0.1)
            fleet.add_engine("v2-0", "v2")
            fleet.publish(InstanceRemovedFact("v2-0"), after_s=0.0)
            await anyio.sleep(0.1)
            fleet.store.discard()
            await anyio.sleep(0.4)
            assert survivor.streams.watch.seconds(anyio.current_time()) < 0.2

        run_virtual(StreamFleet().run, test)


class TestListWatch:
    def test_an_outage_without_a_hidden_change_leaves_no_gap(self):
        """Guard against streams that are refused after each outage of the store, whose
        changes are all read once it is back.
        """
        watch = ListWatch()
        watch.note_copy(7, 10.0, hides_changes=True)
        watch.note_copy(9, 20.5, hides_changes=False)
        assert (watch.seconds(21.0), watch.since_at) == (11.0, 7)

    def test_a_copy_that_may_hide_a_change_leaves_a_gap_however_short(self):
        """Guard against a version that came and went between two copies."""
        watch = ListWatch()
        watch.note_copy(7, 10.0, hides_changes=True)
        watch.note_copy(9, 10.1, hides_changes=True)
        assert (watch.seconds(11.1), watch.since_at) == (1.0, 9)

    def test_what_is_known_from_elsewhere_only_extends_it(self):
        watch = ListWatch()
        watch.extend(9.0, 3, 10.0)
        watch.extend(2.0, 8, 11.0)
        assert (watch.seconds(11.0), watch.since_at) == (10.0, 3)


class Series:
    """Draw releases and losses of routers while callers begin streams."""

    def __init__(self, fleet, seed):
        self.fleet = fleet
        self.random = random.Random(seed)
        self.version = 1

    async def run(self):
        draw = self.random
        for number in range(3):
            self.fleet.add_engine(f"e-{number}", "v1")
        await anyio.sleep(0.3)
        async with anyio.create_task_group() as group:
            group.start_soon(self.begin_streams)
            for _ in range(5):
                await anyio.sleep(draw.uniform(0.2, 2.5))
                await draw.choice((self.release, self.lose, self.release_and_lose))()
        await anyio.sleep(LIFE_S)

    async def begin_streams(self):
        for number in range(60):
            names_stream = self.random.random() < 0.7
            self.fleet.begin(number, names_stream=names_stream)
            await anyio.sleep(self.random.expovariate(6.0))

    async def release(self):
        """Start engines of the next version; those of before leave soon after."""
        former = f"v{self.version}"
        self.version += 1
        for number in range(3):
            name = f"e-{self.version}-{number}"
            self.fleet.add_engine(name, f"v{self.version}")
        await anyio.sleep(self.random.choice((0.0, 0.3, 2.0)))
        remove(self.fleet, former)

    async def lose(self):
        names = list(self.fleet.routers)
        survivors = self.random.choice((0, 0, 0, 1, 2))
        await restart(self.fleet, names[survivors:], self.random.uniform(0.1, 2.0))

    async def release_and_lose(self):
        await self.release()
        await self.lose()


class TestSeries:
    @pytest.mark.parametrize("seed", SEEDS)
    def test_no_caller_holds_events_of_two_versions(self, seed):
        """Guard against losses of many routers beside releases, in any order."""

        async def test(fleet):
            fleet.set_catalog(routes=(evolve(LONG_STREAM, max_attempts=2),))
            await Series(fleet, seed).run()
            assert not fleet.mixed()
            assert any(row.whole for row in fleet.callers)

        run_virtual(StreamFleet(seed=seed).run, test)
