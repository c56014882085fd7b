"""Streams at routers that are in step, which confirmations may not hold up."""

import anyio
import fleet_views
import pytest
from fleet_views import STORE, ViewFleet
from paused_processes import run_processes
from stream_callers import DEADLINE_S
from stream_fleet import FIRST_S, LONG_STREAM
from test_stream_series import MIN_TAKEN_UP, Series

from fulmarroad_serving._reports import unpack
from fulmarroad_serving.streams import ListWatch, _keeper_table, is_stream_message
from fulmarroad_serving.streams._messages import LOOKUP_FORMAT, read_lookup
from fulmarroad_serving.streams._records import (
    StreamOrigin,
    StreamRecord,
    stream_key,
)

SEEDS = range(3)
STREAMS = 24
LATE = "router-0"
DECISION_S = 0.05
"""Time in which a router in step places a fresh stream, its packets included."""


async def begin_fleet(fleet, versions=("v1",)):
    for number in range(4):
        fleet.add_engine(f"e-{number}", versions[number % len(versions)])
    await anyio.sleep(0.8)


def take_up(fleet, router, names_stream):
    """Let callers take up streams at a router that nobody remembers."""
    return [
        fleet.begin(
            number,
            router=fleet.routers[router],
            resumes="c-404",
            names_stream=names_stream,
            tries=1,
        )
        for number in range(4)
    ]


def count_lookups(fleet):
    """Return a list that fills with the lookups that routers send."""
    lookups, deliver = [], fleet.deliver

    def note(data, sender, to):
        row = unpack(data)
        if is_stream_message(row) and row[0] == LOOKUP_FORMAT:
            lookups.append(row)
        deliver(data, sender, to)

    fleet.deliver = note
    return lookups


class TestSeriesInStep:
    def test_as_many_streams_go_on_as_with_views_of_one_age(self):
        """Guard against a mend that refuses what could go on where each router reads
        the store for itself.
        """
        tries = []

        async def test(fleet):
            await Series(fleet, fleet.seed).run()
            assert not fleet.mixed()
            tries.extend(row for caller in fleet.callers for row in caller.tries)

        for seed in SEEDS:
            run_processes(ViewFleet(size=8, seed=seed, loss=0.03).run, test)
        tries = [row for row in tries if row.in_touch]
        first = [row for row in tries if not row.resumes]
        taken_up = [row for row in tries if row.resumes and row.servers >= 2]
        began = sum(row.got > 0 for row in first) / len(first)
        went_on = sum(row.status == 200 for row in taken_up)
        assert len(taken_up) >= MIN_TAKEN_UP
        assert went_on / len(taken_up) >= began / 2


@pytest.mark.parametrize("names_stream", [True, False])
class TestBackInStep:
    @pytest.mark.parametrize("for_s", [1.0, 3.0, 6.0])
    def test_a_router_that_was_paused_takes_streams_up(self, names_stream, for_s):
        """Guard against callers refused by a router that has read what it missed."""

        async def test(fleet):
            await begin_fleet(fleet)
            await fleet.pause(LATE, for_s)
            await anyio.sleep(1.0)
            late = take_up(fleet, LATE, names_stream)
            await anyio.sleep(3.0)
            assert all(row.whole for row in late)

        run_processes(ViewFleet(size=4).run, test)

    @pytest.mark.parametrize("one_way", [False, True])
    def test_a_router_that_was_cut_off_takes_streams_up(self, names_stream, one_way):
        """Guard against callers refused by a router that is back for a second."""

        async def test(fleet):
            await begin_fleet(fleet)
            pairs = [*fleet.pairs(LATE), (LATE, STORE), (STORE, LATE)]
            if one_way:
                pairs = [pair for pair in pairs if pair[1] == LATE]
            await fleet.cut_pairs(pairs, 2.5)
            await anyio.sleep(1.0)
            late = take_up(fleet, LATE, names_stream)
            await anyio.sleep(3.0)
            assert all(row.whole for row in late)

        run_processes(ViewFleet(size=4).run, test)

    def test_a_change_of_the_configuration_hides_no_version(self, names_stream):
        """Guard against a gap after each outage in which nothing was hidden."""

        async def test(fleet):
            await begin_fleet(fleet)
            fleet.spawn(fleet.cut_store, LATE, 3.0)
            await anyio.sleep(1.0)
            fleet.set_catalog(routes=fleet.catalog.routes)
            await anyio.sleep(3.0)
            late = take_up(fleet, LATE, names_stream)
            await anyio.sleep(3.0)
            assert all(row.whole for row in late)

        run_processes(ViewFleet(size=4).run, test)


@pytest.mark.parametrize("names_stream", [True, False])
class TestConfirmedLate:
    """One router is gone, so that not all of them can answer."""

    def test_a_router_without_the_store_asks_those_that_reach_it(self, names_stream):
        """Guard against callers refused at a router that only its store has left."""

        async def test(fleet):
            await begin_fleet(fleet)
            fleet.kill("router-3")
            fleet.spawn(fleet.cut_store, LATE, 20.0)
            await anyio.sleep(3.0)
            late = take_up(fleet, LATE, names_stream)
            await anyio.sleep(3.0)
            assert all(row.whole for row in late)

        run_processes(ViewFleet(size=4).run, test)

    @pytest.mark.parametrize("answer_s", [0.18, 0.3])
    def test_a_slow_store_confirms_the_list_too(
        self, names_stream, answer_s, monkeypatch
    ):
        """Guard against callers refused by a store that answers within the time for
        late answers, as the read that began first after the call isn't used.
        """
        monkeypatch.setattr(fleet_views, "CALL_DELAY_S", (answer_s, answer_s))

        async def test(fleet):
            await begin_fleet(fleet)
            fleet.kill("router-3")
            await anyio.sleep(3.0)
            late = take_up(fleet, LATE, names_stream)
            await anyio.sleep(3.0)
            assert all(row.whole for row in late)

        run_processes(ViewFleet(size=4).run, test)


class TestFreshStreams:
    @pytest.mark.parametrize("store", ["stable", "down"])
    def test_fresh_streams_wait_for_no_confirmation(self, store):
        """Guard against a fleet whose every stream waits for the store."""

        async def test(fleet):
            await begin_fleet(fleet, ("v1", "v2"))
            if store == "down":
                pairs = [(STORE, name) for name in fleet.names]
                fleet.spawn(fleet.cut_pairs, pairs, 20.0)
                await anyio.sleep(3.0)
            for number in range(STREAMS):
                fleet.begin(number)
            await anyio.sleep(3.0)
            first = [caller.tries[0] for caller in fleet.callers]
            assert all(row.status == 200 for row in first)
            slowest = max(row.answered_at - row.at for row in first)
            assert slowest <= FIRST_S + DECISION_S

        run_processes(ViewFleet(size=4).run, test)

    @pytest.mark.parametrize("keepers", ["all routers", "a few"])
    def test_calm_streams_cost_no_read_of_the_store(self, keepers, monkeypatch):
        """Guard against priced calls for streams that begin, or whose records are
        found, here or at others, after the loss of a router.
        """
        if keepers == "a few":
            monkeypatch.setattr(_keeper_table, "SMALL_FLEET", 0)

        async def test(fleet):
            await begin_fleet(fleet, ("v1", "v2"))
            for number in range(STREAMS):
                fleet.begin(number)
            await anyio.sleep(0.5)
            fleet.kill("router-1")
            await anyio.sleep(6.0)
            assert all(row.whole for row in fleet.callers)
            assert any(len(row.tries) > 1 for row in fleet.callers)
            assert fleet.store_reads == 0

        run_processes(ViewFleet(size=9).run, test)


class TestCosts:
    def test_streams_of_either_of_two_versions_cost_no_read(self):
        """Guard against priced calls, and callers who wait for them, where two versions
        serve and no read can make it one.
        """

        async def test(fleet):
            await begin_fleet(fleet, ("v1", "v2"))
            late = take_up(fleet, LATE, names_stream=False)
            await anyio.sleep(1.0)
            assert {row.tries[0].code for row in late} == {"stream_unknown"}
            assert (
                max(row.tries[0].answered_at - row.tries[0].at for row in late) < 0.01
            )
            assert fleet.store_reads == 0

        run_processes(ViewFleet(size=4).run, test)

    def test_a_router_that_knows_all_asks_no_other(self):
        """Guard against ten packets for each stream that its caller doesn't name."""

        async def test(fleet):
            await begin_fleet(fleet)
            lookups = count_lookups(fleet)
            late = take_up(fleet, LATE, names_stream=False)
            await anyio.sleep(3.0)
            assert all(row.whole for row in late)
            assert not lookups

        run_processes(ViewFleet(size=4).run, test)

    def test_a_router_that_reaches_the_store_has_no_other_read_it(self):
        """Guard against reads at two more routers for a stream that is refused, as no
        router has watched for long enough.
        """

        async def test(fleet):
            await begin_fleet(fleet)
            for router in fleet.routers.values():
                router.streams.watch = ListWatch(anyio.current_time() - 1.0, 1)
            lookups = count_lookups(fleet)
            late = take_up(fleet, LATE, names_stream=True)
            await anyio.sleep(1.0)
            assert {row.tries[0].code for row in late} == {"stream_unknown"}
            assert lookups
            assert not any(read_lookup(row).confirms for row in lookups)

        run_processes(ViewFleet(size=4).run, test)


class TestRecordsThatComeLate:
    def test_a_record_that_comes_during_the_search_decides(self):
        """Guard against a stream refused by what was known before others were asked:
        a router that was paused has the packets with the records still to read.
        """

        async def test(fleet):
            await begin_fleet(fleet, ("v1", "v2"))
            router = fleet.routers[LATE]
            caller = take_up(fleet, LATE, names_stream=True)[0]
            await anyio.sleep(0.001)
            key = stream_key("coop", LONG_STREAM, "c-404")
            origin = StreamOrigin("drafting", "v2")
            until = anyio.current_time() + DEADLINE_S
            router.streams.records.keep(StreamRecord(key, origin, until))
            await anyio.sleep(3.0)
            assert caller.whole
            assert caller.makers == {("drafting", "v2")}

        run_processes(ViewFleet(size=4).run, test)


class TestPauses:
    def test_a_paused_router_does_nothing_until_it_goes_on(self):
        """Guard against a simulated pause in which timers run or packets leave, so
        that its router would never be out of step.
        """

        async def test(fleet):
            await begin_fleet(fleet)
            router = fleet.routers[LATE]
            sent = []
            deliver = fleet.deliver
            fleet.deliver = lambda data, sender, to: (
                sent.append((anyio.current_time(), sender)) or deliver(data, sender, to)
            )
            begun_at, at = anyio.current_time(), router.state.replica.at
            fleet.spawn(fleet.pause, LATE, 3.0)
            await anyio.sleep(0.1)
            callers = [fleet.begin(n, router=router) for n in range(4)]
            fleet.add_engine("e-late", "v2")
            await anyio.sleep(2.8)
            assert router.state.replica.at == at
            assert LATE not in {name for now, name in sent if now > begun_at}
            await anyio.sleep(1.0)
            assert router.state.replica.at > at
            assert LATE in {name for _, name in sent}
            await anyio.sleep(8.0)
            assert all(row.whole for row in callers)

        run_processes(ViewFleet(size=4).run, test)

    def test_what_waits_comes_in_order_from_each_source(self):
        """Guard against bytes of one connection that change places in a pause."""

        async def test(fleet):
            await begin_fleet(fleet)
            callers = [fleet.begin(n, router=fleet.routers[LATE]) for n in range(8)]
            await anyio.sleep(0.3)
            await fleet.pause(LATE, 1.0)
            await anyio.sleep(3.0)
            assert all(row.whole and row.in_order for row in callers)
            assert all(len(row.tries) == 1 for row in callers)

        run_processes(ViewFleet(size=4).run, test)
