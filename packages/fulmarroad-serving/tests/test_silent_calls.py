"""Tests of what a call needs to leave a silent server, and of the log line of it."""

import math

import anyio
import pytest
from silence_checks import left_behind
from silence_fleet import PATIENCE_S, Outcome, SilenceFleet
from stream_fleet import FIRST_S, STORE_S

from fulmarroad.events import Event
from fulmarroad.testing import run_virtual
from fulmarroad_serving import FleetBounds
from fulmarroad_serving._silence import AVOIDED_S, MAX_PAUSE_S, MIN_WAIT_S, SILENT_S

FIRST_EVENTS = 3
CONNECT_S = 0.2
"""Time to connect to the next engine, in which the first engine or a caller acts."""

LATE_PAUSE_S = MAX_PAUSE_S + 0.1
"""A pause that ends while calls connect to the next engine."""

LONG_PAUSE_S = MAX_PAUSE_S + 0.4
"""A pause that ends after the time to leave, and before callers leave."""

PAUSE_S = 1.6
NEW_CALLS = 8
"""More than there are at the silent engine, so that by load some would go there."""

GIVE_BACK_S = CONNECT_S + 0.2
SLOTS = 64
LATER_CALLS = 8
LATER_CALL_S = 0.2
SETTLE_S = 12.0
"""Longer than the deadlines and the lists of granted calls."""

RETRIES = FleetBounds(retry_ratio=0.2, retry_window_s=60.0, retry_burst=54.0)
NO_RETRIES = FleetBounds(retry_ratio=0.0, retry_burst=0.0)


class StreamsAtOneEngine:
    """Streams at one engine, to which a second one is added.

    One comes over each router, or a single one over the named router.
    """

    def __init__(self, trouble, bounds=RETRIES, router=""):
        self.trouble, self.router = trouble, router
        self.fleet = SilenceFleet()
        self.fleet.bounds = bounds
        if router:
            self.fleet.pick = lambda client, attempt: self.fleet.routers[router]
        run_virtual(self.fleet.run, self.run)

    async def run(self, fleet):
        self.first = fleet.add_engine("e-0", slots=SLOTS)
        await anyio.sleep(0.4)
        for number in range(1 if self.router else len(fleet.routers)):
            fleet.begin(number, tries=1)
        while min(len(row.events) for row in fleet.callers) < FIRST_EVENTS:
            await anyio.sleep(0.01)
        self.next = fleet.add_engine("e-1", slots=SLOTS, connect_s=CONNECT_S)
        await self.trouble(self)
        await anyio.sleep(SETTLE_S)
        self.retries = sum(map(retries_of, fleet.routers.values()))
        self.left_behind = list(left_behind(fleet))

    async def wait_for_connects(self):
        """Wait until each router connects to the next engine."""
        with anyio.fail_after(PATIENCE_S):
            while self.next.connects < len(self.fleet.routers):
                await anyio.sleep(0.01)

    async def wait_for_give_back(self):
        """Wait until what was not used must be back at its owner."""
        await anyio.sleep(GIVE_BACK_S)
        assert not self.grants_at_next

    def begin_calls(self):
        for _ in range(NEW_CALLS):
            self.fleet.begin(len(self.fleet.callers), tries=1)

    @property
    def grants_at_next(self):
        """Return the places at the next engine that its owner has granted."""
        return [
            granted
            for router in self.fleet.routers.values()
            for granted in router.granter._granted.values()
            if granted.ticket.charge.server == self.next.name
        ]

    @property
    def sent_to_first(self):
        return self.sent_to(self.first)

    @property
    def sent_to_next(self):
        return self.sent_to(self.next)

    def sent_to(self, engine):
        runs = sum(self.fleet.runs.values(), [])
        return sum(run.engine is engine for run in runs)


def retries_of(router):
    """Return how many retries a router took from its budget."""
    budget = router.dispatcher._retries.of("drafting")
    return budget._retries.total(anyio.current_time())


class TestEngineThatGoesOn:
    def test_calls_stay_and_give_back_what_they_got_at_the_next_engine(self):
        """Guard against sound answers that are cut off while the next connection is
        opened, and against places, connections and retries that are lost with it.
        """

        async def pause(streams):
            streams.first.pause(LATE_PAUSE_S)
            await streams.wait_for_connects()
            await streams.wait_for_give_back()

        streams = StreamsAtOneEngine(pause)
        assert streams.fleet.count().whole_fraction == 1.0
        assert (streams.sent_to_next, streams.retries) == (0, 0)
        assert not streams.left_behind


class TestRetryBudget:
    def test_calls_stay_if_no_retry_is_left(self):
        """Guard against calls that give up a paused engine without a retry left."""

        async def pause(streams):
            streams.first.pause(LONG_PAUSE_S)

        streams = StreamsAtOneEngine(pause, NO_RETRIES)
        assert streams.fleet.count().whole_fraction == 1.0
        assert streams.next.connects == 0
        assert not streams.left_behind

    def test_each_call_that_leaves_takes_a_retry(self):
        """Guard against more retries than the budget of the fleet has."""

        async def die(streams):
            streams.first.die_silently()

        streams = StreamsAtOneEngine(die)
        routers = len(streams.fleet.routers)
        assert streams.fleet.count().whole_fraction == 1.0
        assert (streams.sent_to_next, streams.retries) == (routers, routers)


class TestCallerThatLeaves:
    def test_nothing_is_kept_of_a_call_that_looks_for_the_next_engine(self):
        """Guard against places and connections that stay in use for no call."""

        async def die_and_leave(streams):
            streams.first.die_silently()
            await streams.wait_for_connects()
            for caller in streams.fleet.callers:
                caller.leaves_after_s = 0.0
            await streams.wait_for_give_back()

        streams = StreamsAtOneEngine(die_and_leave)
        assert streams.fleet.count()[Outcome.NOTHING] == len(streams.fleet.routers)
        assert (streams.sent_to_next, streams.retries) == (0, 0)
        assert not streams.left_behind


async def pause_first(streams):
    streams.first.pause(PAUSE_S)
    await anyio.sleep(2 * SILENT_S)


async def leave_dead_first(streams):
    streams.first.die_silently()
    await anyio.sleep(MAX_PAUSE_S + AVOIDED_S / 2)
    assert streams.sent_to_next == 1  # too few failures for a penalty


ROUTERS = [f"router-{number}" for number in range(4)]
"""One of them is the owner of the engines."""


class TestNewCalls:
    @pytest.mark.parametrize("router", ROUTERS)
    @pytest.mark.parametrize("trouble", [pause_first, leave_dead_first])
    def test_calls_avoid_a_silent_engine(self, trouble, router):
        """Guard against calls that wait at an engine which is silent, or which a
        call has left as silent, beside one that answers.
        """

        async def begin_beside(streams):
            await trouble(streams)
            streams.begin_calls()

        streams = StreamsAtOneEngine(begin_beside, router=router)
        assert streams.fleet.count().whole_fraction == 1.0
        assert streams.sent_to_first == 1


class TestNextEngineSilent:
    @pytest.mark.parametrize("router", ROUTERS)
    def test_calls_stay_if_all_engines_are_silent(self, router):
        """Guard against calls that leave a paused engine for another one."""

        async def pause_both(streams):
            await anyio.sleep(STORE_S)
            streams.begin_calls()
            await anyio.sleep(CONNECT_S + 3 * FIRST_S)
            assert streams.next.running
            streams.first.pause(LONG_PAUSE_S)
            streams.next.pause(LONG_PAUSE_S)

        counts = StreamsAtOneEngine(pause_both, router=router).fleet.count()
        assert (counts.whole_fraction, counts.run_twice) == (1.0, 0)


async def fall_silent(streams):
    streams.first.die_silently()


async def stop_one_answer(streams):
    """Stop the first answer, while the engine answers later calls of its router."""
    fleet = streams.fleet
    fleet.runs["c-0-0"][0].stuck_after = FIRST_EVENTS
    for _ in range(LATER_CALLS):
        for _ in fleet.routers:
            fleet.begin(len(fleet.callers), tries=1)
        await anyio.sleep(LATER_CALL_S)


class TestLogLine:
    @pytest.mark.parametrize(
        ("trouble", "server_silent_s"),
        [
            (fall_silent, (MAX_PAUSE_S, math.inf)),
            (stop_one_answer, (0.0, SILENT_S)),
        ],
    )
    def test_tells_a_stopped_answer_from_a_silent_server(
        self, trouble, server_silent_s, caplog
    ):
        """Guard against logs by which a lost answer looks like a lost server."""
        StreamsAtOneEngine(trouble)
        number = Event.SEND_FAILED.value.number
        [record] = [
            row
            for row in caplog.records
            if row.event == number and row.request_id == "c-0-0"
        ]
        at_least, below = server_silent_s
        assert at_least <= record.server_silent_s < below
        assert record.silent_s >= MIN_WAIT_S
        assert (record.other_calls > 0) == (trouble is stop_one_answer)
