"""Tests of servers that send nothing, for a while or for good, under their calls."""

from collections.abc import Callable

import anyio
import pytest
import silence_fleet
from attrs import evolve, frozen
from serving_bed import SHORT, make_catalog
from silence_fleet import (
    PATIENCE_S,
    PAUSING_STREAM,
    Outcome,
    Reach,
    SilenceFleet,
    SilentEngine,
)

from fulmarroad.testing import run_virtual
from fulmarroad_serving._exchange import READ_GRACE_S
from fulmarroad_serving._silence import MAX_PAUSE_S
from fulmarroad_serving.contracts import InstanceFact

STREAMS_PER_S = 40.0
STREAMS = 360
SETTLE_S = 9.0
"""Longer than the deadline of the last stream."""

ENGINES = 6
DEATH_AFTER_S = 4.0
REFUSES_AFTER_S = 0.9
"""Later than the first look at a silent server."""

AMPLE_SLOTS = 64
SCARCE_SLOTS = 16
"""Engines that pause for 1.2 s need nearly all of them."""

ONE_ENGINE_SLOTS = 256


@frozen
class Pauses:
    """Describe engines that pause, and the fraction of streams that must be whole."""

    pause_s: float
    min_whole: float
    engines: int = ENGINES
    slots: int = AMPLE_SLOTS
    pause: Callable = SilentEngine.pause


PAUSES = {
    "none": Pauses(0.0, 0.99),
    "1.2s": Pauses(1.2, 0.99),
    "2.0s": Pauses(2.0, 0.99),
    "first-event": Pauses(1.2, 0.99, pause=SilentEngine.pause_begins),
    "scarce-slots": Pauses(1.2, 0.93, slots=SCARCE_SLOTS),
    "one-engine": Pauses(1.2, 0.93, engines=1, slots=ONE_ENGINE_SLOTS),
}


def play(trouble, engines=ENGINES, slots=AMPLE_SLOTS, seed=1):
    """Send streams beside a trouble and configuration changes; return the fleet."""

    async def test(fleet):
        for number in range(engines):
            fleet.add_engine(f"e-{number}", slots=slots)
        await anyio.sleep(0.4)
        async with anyio.create_task_group() as group:
            group.start_soon(fleet.change_config)
            group.start_soon(trouble, fleet)
            await fleet.send_streams(STREAMS_PER_S, STREAMS)
            await anyio.sleep(SETTLE_S)
            group.cancel_scope.cancel()

    fleet = SilenceFleet(seed=seed)
    run_virtual(fleet.run, test)
    return fleet


STUCK_ONE_IN = 10


class TestPausingEngines:
    @pytest.mark.parametrize("name", PAUSES)
    def test_streams_stay_at_engines_that_pause(self, name):
        """Guard against sound answers that a router cuts off, and so loses."""
        form = PAUSES[name]

        async def pause(fleet):
            if form.pause_s:
                await fleet.pause_engines(form.pause_s, form.pause)

        fleet = play(pause, form.engines, form.slots)
        counts = fleet.count()
        assert counts[Outcome.NOTHING] == 0, (counts, fleet.failures())
        assert (counts.cut, counts.run_twice) == (0, 0), counts
        assert counts.whole_fraction >= form.min_whole, counts


class TestReadGrace:
    def test_an_event_that_came_as_the_call_would_leave_keeps_it(self):
        """Guard against calls that leave since the router's event loop was held up, and
        looked at its timers before it read what their server had sent.
        """

        async def test(fleet):
            for name in ("e-0", "e-1"):
                fleet.add_engine(name)
            await anyio.sleep(0.4)
            caller = fleet.begin(0, tries=1)
            while len(caller.events) < 3:
                await anyio.sleep(0.001)
            until = anyio.current_time() + MAX_PAUSE_S + READ_GRACE_S / 2
            for engine in fleet.engines.values():
                if engine.running:
                    engine.silent_until = until
            await anyio.sleep(SETTLE_S)

        fleet = SilenceFleet()
        run_virtual(fleet.run, test)
        counts = fleet.count()
        assert (counts.whole_fraction, counts.run_twice) == (1.0, 0)


class TestLongObjectives:
    @pytest.mark.parametrize(
        ("objective_s", "first_s", "timeout_s"),
        [(3.0, 2.6, 12.0), (2.0, 2.2, 6.0), (1.0, 2.3, 4.0), (1.5, 1.4, 4.0)],
    )
    def test_streams_wait_for_first_events_that_come_in_time(
        self, monkeypatch, objective_s, first_s, timeout_s
    ):
        """Guard against streams that leave a sound engine whose first events take long,
        as their objective allows.
        """
        monkeypatch.setattr(silence_fleet, "FIRST_S", first_s)
        route = evolve(PAUSING_STREAM, objective_s=objective_s, timeout_s=timeout_s)

        async def test(fleet):
            for number in range(3):
                fleet.add_engine(f"e-{number}")
            await anyio.sleep(0.4)
            for number in range(8):
                fleet.begin(number, tries=1)
                await anyio.sleep(0.3)
            await anyio.sleep(SETTLE_S)

        fleet = SilenceFleet()
        fleet.patience_s = SETTLE_S
        fleet.catalog = make_catalog(routes=(route, SHORT))
        run_virtual(fleet.run, test)
        counts = fleet.count()
        assert (counts.whole_fraction, counts.run_twice) == (1.0, 0), counts


class TestReturnedEntries:
    def test_a_server_whose_entry_lapsed_counts_as_heard_again(self):
        """Guard against a sound server that gets no calls, as the connections kept from
        before its entry lapsed tell nobody that it sends.
        """

        async def test(fleet):
            engine = fleet.add_engine("e-0", started_ms=1)
            await anyio.sleep(0.4)
            fleet.begin(0, tries=1)
            await anyio.sleep(0.5)
            fleet.remove_entry("e-0")
            await anyio.sleep(1.4)
            for router in fleet.routers.values():
                router.dispatcher.expire(anyio.current_time())
            fleet.publish(InstanceFact(engine.instance()))
            await anyio.sleep(0.3)
            fleet.begin(len(fleet.routers), tries=1)
            await anyio.sleep(0.9)
            now = anyio.current_time()
            for router in fleet.routers.values():
                assert not router.dispatcher.servers.is_silent("e-0", now)

        run_virtual(SilenceFleet().run, test)


class TestSearches:
    @pytest.mark.parametrize("others", [1, 3])
    def test_a_search_that_fails_does_not_end_the_next_ones(self, others):
        """Guard against calls that stay at a dead server for good, since the other
        servers accepted no connection for a moment.
        """

        async def test(fleet):
            for number in range(others + 1):
                fleet.add_engine(f"e-{number}")
            await anyio.sleep(0.4)
            caller = fleet.begin(0, tries=1)
            while len(caller.events) < 3:
                await anyio.sleep(0.001)
            for engine in fleet.engines.values():
                if engine.running:
                    engine.die_silently(Reach.ACCEPTED)
                else:
                    engine.reach = Reach.UNANSWERED
            await anyio.sleep(MAX_PAUSE_S + 1.0)
            for engine in fleet.engines.values():
                if not engine.dead:
                    engine.reach = Reach.ACCEPTED
            await anyio.sleep(SETTLE_S)

        fleet = SilenceFleet()
        fleet.patience_s = SETTLE_S
        run_virtual(fleet.run, test)
        counts = fleet.count()
        assert counts.whole_fraction == 1.0, (counts, fleet.failures())


class TestEndedEngines:
    def test_calls_leave_a_paused_engine_once_it_refuses_connections(self):
        """Guard against calls that wait for an engine that accepted a connection in its
        pause and has ended since.
        """

        async def test(fleet):
            for name in ("e-0", "e-1"):
                fleet.add_engine(name)
            await anyio.sleep(0.4)
            caller = fleet.begin(0, tries=1)
            while len(caller.events) < 3:
                await anyio.sleep(0.001)
            paused_at = anyio.current_time()
            engine = next(row for row in fleet.engines.values() if row.running)
            engine.pause(PATIENCE_S)
            await anyio.sleep(REFUSES_AFTER_S)
            engine.die_silently(Reach.REFUSED)
            while len(caller.events) == 3:
                await anyio.sleep(0.01)
            resumed_s = anyio.current_time() - paused_at
            assert resumed_s < MAX_PAUSE_S - 0.3

        run_virtual(SilenceFleet().run, test)


class TestDeadEngines:
    @pytest.mark.parametrize("reach", Reach)
    def test_streams_leave_engines_that_end_without_a_close(self, reach):
        """Guard against calls that wait for dead engines until their callers leave."""

        async def kill_two(fleet):
            await anyio.sleep(DEATH_AFTER_S)
            for name in ("e-0", "e-1"):
                fleet.die_silently(name, reach)

        fleet = play(kill_two)
        counts = fleet.count()
        assert counts[Outcome.NOTHING] <= 3, (counts, fleet.failures())
        assert counts.whole_fraction >= 0.95, counts


PLAIN_SERVERS = 4
PLAIN_CALLS_PER_S = 12.0
PLAIN_CALLS = 120
PLAIN_PAUSE_S = 1.0
CONNECT_S = 0.05
PLAIN_PATH = "/look/1"


class TestPlainServers:
    def test_servers_get_calls_again_after_a_pause(self):
        """Guard against sound servers that are refused for good after a pause, as the
        pause counts as the usual duration of their calls.
        """

        async def test(fleet):
            for number in range(PLAIN_SERVERS):
                fleet.add_engine(f"l-{number}", service="ledger", slots=AMPLE_SLOTS)
            await anyio.sleep(0.4)
            for number in range(PLAIN_CALLS):
                if number == PLAIN_CALLS_PER_S:
                    for engine in fleet.engines.values():
                        engine.pause(PLAIN_PAUSE_S)
                fleet.begin(number, path=PLAIN_PATH)
                await anyio.sleep(1 / PLAIN_CALLS_PER_S)
            await anyio.sleep(SETTLE_S)

        fleet = SilenceFleet()
        run_virtual(fleet.run, test)
        counts = fleet.count()
        assert counts.whole_fraction == 1.0, counts

    def test_calls_leave_silent_servers_while_another_can_answer(self):
        """Guard against calls that look for another server only after the last moment
        at which it can answer them.
        """

        async def test(fleet):
            for name in ("l-0", "l-1"):
                fleet.add_engine(
                    name, service="ledger", slots=AMPLE_SLOTS, connect_s=CONNECT_S
                )
            await anyio.sleep(0.4)
            fleet.die_silently("l-0")
            for number in range(len(fleet.routers)):
                fleet.begin(number, path=PLAIN_PATH)
            await anyio.sleep(SETTLE_S)

        fleet = SilenceFleet()
        run_virtual(fleet.run, test)
        counts = fleet.count()
        assert counts.whole_fraction == 1.0, (counts, fleet.failures())


class TestStuckAnswers:
    def test_streams_leave_answers_that_are_stuck(self):
        """Guard against calls that wait for an answer which its engine has dropped."""

        async def stick(fleet):
            fleet.stuck_one_in = STUCK_ONE_IN

        counts = play(stick).count()
        assert counts.whole_fraction >= 0.97, counts
