"""Tests of calls that are sent on to a second owner, and of failures on the way."""

import pytest
from attrs import evolve
from hypothesis import given, settings
from hypothesis import strategies as st
from serving_bed import answer, chunk, event, stream_head
from serving_bed import run as run_bed
from spill_fleet import REFUSING, ScriptedRun, SpillFleet, numbered, run

from fulmarroad.events import Event
from fulmarroad.types import RefusalReason
from fulmarroad_serving import Catalog, Demand, Placement, Refusal, parse_features
from fulmarroad_serving._attempts import SendOutcome
from fulmarroad_serving._features import FeatureBook
from fulmarroad_serving._metrics import Metrics
from fulmarroad_serving._outcome_log import OutcomeLog
from fulmarroad_serving._owners import OwnedServers
from fulmarroad_serving._spilling import Spiller
from fulmarroad_serving._workspace_outcomes import WorkspaceOutcomes
from fulmarroad_serving.admission import ScheduledRetries
from fulmarroad_serving.placement import SpillCounts, SpillOutcome
from fulmarroad_serving.placement._spillover import ROOM_MAX_AGE_S

CALL = Demand("c", "drafting", "coop", 0.6, "hot", 6_000, 2_000, 50)


def filled_fleet(**options):
    """Return a fleet whose first owner for the call is full, and that owner."""
    fleet = SpillFleet(**options)
    first = fleet.client.owner_for(CALL)
    fleet.fill(first)
    fleet.report_rooms()
    return fleet, first


def counted(fleet):
    """Return how often each outcome was counted."""
    counts = fleet.client.spilled.pop(1e6).values()
    return {key: row[key] for row in counts for key in row}


def scripted(fleet, demand=CALL):
    return ScriptedRun(demand, fleet.now, fleet.now + 4.0)


class TestSpill:
    def test_a_refused_call_gets_a_place_at_another_owner(self):
        async def test():
            fleet, first = filled_fleet()
            placed = await fleet.place(CALL)
            assert isinstance(placed, Placement)
            assert placed.grant.owner != first
            assert fleet.asked == [first, placed.grant.owner]
            assert fleet.running() == 1
            assert counted(fleet) == {SpillOutcome.GRANTED: 1}

        run(test)

    def test_nothing_is_sent_on_where_the_feature_is_off(self):
        async def test():
            fleet, first = filled_fleet(features=REFUSING)
            assert isinstance(await fleet.place(CALL, may_wait=False), Refusal)
            assert fleet.asked == [first]

        run(test)

    def test_the_second_owner_gets_the_rest_of_the_objective(self):
        """Guard against answers that are late by what the first owner took."""

        async def test():
            fleet, _ = filled_fleet()
            await fleet.place(CALL, held_s=0.2)
            assert fleet.objectives == [0.6, pytest.approx(0.4)]

        run(test)

    def test_a_call_that_would_be_late_is_not_sent_on(self):
        async def test():
            fleet, first = filled_fleet()
            assert isinstance(await fleet.place(CALL, held_s=0.45), Refusal)
            assert fleet.asked == [first]

        run(test)

    def test_a_stream_that_has_begun_is_not_sent_on(self):
        """Guard against a stream that goes on at a server of another version."""

        async def test():
            fleet, _ = filled_fleet()
            begun = evolve(CALL, version="v1")
            refusal = Refusal(RefusalReason.WAIT_TOO_LONG, 0.5)
            spiller, asked = fleet.spiller, len(fleet.asked)
            state = scripted(fleet, begun)
            assert await spiller.spill(state, refusal, ()) is None
            assert len(fleet.asked) == asked

        run(test)

    @pytest.mark.parametrize(
        "reason", [RefusalReason.ABOVE_SHARE, RefusalReason.NO_SERVERS]
    )
    def test_only_a_lack_of_capacity_is_sent_on(self, reason):
        async def test():
            fleet, _ = filled_fleet()
            refusal = Refusal(reason, 0.5)
            assert await fleet.spiller.spill(scripted(fleet), refusal, ()) is None
            assert fleet.asked == []

        run(test)

    def test_a_call_is_sent_on_once(self):
        """Guard against calls that wander from owner to owner under overload."""

        async def test():
            fleet, _ = filled_fleet()
            state = scripted(fleet)
            refusal = Refusal(RefusalReason.WAIT_TOO_LONG, 0.5)
            assert await fleet.spiller.spill(state, refusal, ()) is not None
            assert await fleet.spiller.spill(state, refusal, ()) is None
            assert len(fleet.asked) == 1

        run(test)


class TestEarlyRefusal:
    def test_an_owner_with_a_long_queue_refuses_at_once(self):
        """Guard against a refusal that comes too late for another owner."""

        async def test():
            fleet, first = filled_fleet()
            await fleet.client.request(first, CALL, (), may_wait=True)
            assert fleet.members[first].granter.held.count == 0

        run(test)

    def test_an_owner_holds_a_call_while_no_other_one_has_room(self):
        """Guard against refusals of calls that would have got a place by waiting."""

        async def test():
            fleet = SpillFleet()
            for name in fleet.members:
                fleet.fill(name)
            fleet.report_rooms()
            await fleet.client.request(
                fleet.client.owner_for(CALL), CALL, (), may_wait=True, remaining_s=0.01
            )
            held = [row.granter.held.count for row in fleet.members.values()]
            assert sum(held) == 1

        run(test)


class TestFailures:
    def test_a_lost_room_is_not_relied_on(self):
        """Guard against calls for owners whose reports no longer arrive."""

        async def test():
            fleet, first = filled_fleet()
            fleet.now += ROOM_MAX_AGE_S
            assert isinstance(await fleet.place(CALL, may_wait=False), Refusal)
            assert fleet.asked == [first]

        run(test)

    def test_a_wrong_room_costs_one_request(self):
        """Guard against calls that go to a full owner for as long as its report counts:
        its refusal states the room that it has.
        """

        async def test():
            fleet, first = filled_fleet(owners=2, engines=10)
            (second,) = set(fleet.members) - {first}
            fleet.fill(second)
            for number in range(3):
                placed = await fleet.place(numbered(CALL, number), may_wait=False)
                assert isinstance(placed, Refusal)
            assert fleet.asked.count(second) == 1
            assert counted(fleet) == {SpillOutcome.REFUSED: 1}

        run(test)

    def test_a_silent_second_owner_leaves_the_first_refusal(self):
        """Guard against a call without an answer, or one that is tried further."""

        async def test():
            fleet, first = filled_fleet()
            fleet.cut = set(fleet.members) - {first}
            placed = await fleet.place(CALL, may_wait=False)
            assert isinstance(placed, Refusal)
            assert placed.owner == first
            assert counted(fleet) == {SpillOutcome.NO_ANSWER: 1}

        run(test)

    def test_a_late_grant_of_the_second_owner_is_returned(self):
        """Guard against places that stay taken because the reply came too late."""

        async def test():
            fleet, first = filled_fleet()
            fleet.replies_lost = set(fleet.members) - {first}
            assert isinstance(await fleet.place(CALL, may_wait=False), Refusal)
            assert fleet.running() == 1
            for reply in fleet.late:
                fleet.client.receive_reply(reply)
            fleet.flush()
            assert fleet.running() == 0

        run(test)

    def test_an_owner_that_is_gone_is_not_asked(self):
        """Guard against calls for a router that left, whose report still counts."""

        async def test():
            fleet, first = filled_fleet(owners=3)
            left = next(name for name in fleet.members if name != first)
            routers = {name: "fes" for name in fleet.members if name != left}
            fleet.client._owners.set_routers(routers)
            for number in range(4):
                await fleet.place(numbered(CALL, number), may_wait=False)
            assert left not in fleet.asked

        run(test)


class TestLog:
    def test_spilled_calls_are_logged_and_counted_each_second(self, caplog):
        """Guard against calls sent on that neither the log nor the metrics show."""
        client, metrics = SpillFleet().client, Metrics()
        client.spilled.note("o1", SpillOutcome.GRANTED)
        client.spilled.note("o1", SpillOutcome.GRANTED)
        log = OutcomeLog(
            client._dispatcher,
            None,
            WorkspaceOutcomes(),
            client,
            lambda: Catalog(1),
            metrics,
            ScheduledRetries(),
        )
        with caplog.at_level("INFO"):
            log.log(100.0)
            log.log(101.0)
        events = [row.event for row in caplog.records if hasattr(row, "event")]
        assert events.count(Event.CALLS_SPILLED.value.number) == 1
        assert (
            b'fulmarroad_calls_spilled_total{outcome="granted"} 2.0' in metrics.text()
        )


class TestSeries:
    @given(
        st.lists(
            st.tuples(
                st.sampled_from(["call", "fill", "report", "pass", "cut", "late"]),
                st.integers(0, 2),
            ),
            max_size=12,
        )
    )
    @settings(max_examples=40, deadline=None)
    def test_no_series_of_failures_takes_two_places(self, series):
        """Guard against a call that two owners count, or that more than two are asked
        for, after any series of full, silent and slow owners.
        """

        async def test():
            fleet, sent = SpillFleet(), []
            names = sorted(fleet.members)
            for number, (event_name, which) in enumerate(series):
                name = names[which]
                if event_name == "fill":
                    fleet.fill(name, 0.7)
                elif event_name == "report":
                    fleet.report_rooms()
                elif event_name == "pass":
                    fleet.now += 0.2
                elif event_name == "cut":
                    fleet.cut ^= {name}
                elif event_name == "late":
                    fleet.replies_lost ^= {name}
                else:
                    demand, before = numbered(CALL, number), len(fleet.asked)
                    placed = await fleet.place(demand, may_wait=False)
                    assert len(fleet.asked) - before <= 2
                    if isinstance(placed, Placement):
                        sent.append(fleet.a.send(demand, placed, fleet.now))
            fleet.cut.clear()
            for reply in fleet.late:
                fleet.client.receive_reply(reply)
            fleet.flush()
            assert fleet.running() == len(sent)
            for ticket in sent:
                fleet.a.end(ticket, SendOutcome.FAILED, fleet.now)
            fleet.flush()
            assert fleet.running() == 0

        run(test)


TOKENS = {"x-tokens": "100,100,10"}


def spill_with(bed, client):
    """Let a router send refused calls on as a client decides; return the client."""
    bed.dispatcher.settings._features = FeatureBook(parse_features("spillover=on"))
    bed.forwarder.placer.owner_client = client
    bed.forwarder.placer.spiller = Spiller(client, bed.dispatcher, bed.now)
    return client


class TwoOwners:
    """Client of a router whose first owner refuses and whose second one grants."""

    me = "router-a"

    def __init__(self, bed):
        self.bed = bed
        self.asked = []
        self.objectives = []
        self.spilled = SpillCounts()

    def owner_for(self, demand):
        return "o1"

    def spare_owner(self, demand, refused_by):
        return "o2"

    def read_s(self, demand, owner):
        return 0.01

    def abandon(self, grant, outcome=None, obstacle=None):
        pass

    async def request(self, owner, demand, avoid, *, may_wait, remaining_s):
        self.asked.append(owner)
        self.objectives.append(demand.objective_s)
        if owner == "o1":
            return Refusal(RefusalReason.WAIT_TOO_LONG, 0.5, owner="o1")
        return self.bed.dispatcher.place(demand, self.bed.now(), avoid={"s-1", *avoid})


class OwnFirst(TwoOwners):
    """Client of a router that owns the call's first servers itself."""

    def owner_for(self, demand):
        return self.me

    def own_servers(self, demand):
        return OwnedServers((self.bed.dispatcher.registry.get("s-1"),))


async def stream(arrival, writer):
    writer.write(stream_head(arrival.header("x-id")))
    writer.write(chunk(event(1)) + b"0\r\n\r\n")


class TestForwarder:
    def test_an_own_queue_that_is_too_long_is_left_early(self):
        """Guard against a call that waits for its router's own engines until no time is
        left for those of another owner.
        """

        async def test(bed):
            await bed.serve("s-1", stream, "drafting")
            await bed.serve("s-2", stream, "drafting")
            load = bed.dispatcher.load("s-1")
            load.send("s-1", int(3 * load.read_rate), bed.now())
            client = spill_with(bed, OwnFirst(bed))
            bed.dispatcher.rooms.note("o2", 1_000_000, bed.now())
            caller = await bed.call("/draft/1", method="POST", headers=TOKENS)
            assert caller.status == 200
            assert client.asked == ["o2"]
            assert client.objectives[0] > 0.15
            assert [row.server for row in bed.arrivals] == ["s-2"]

        run_bed(test)

    def test_a_spilled_call_takes_no_retry_of_the_budget(self):
        """Guard against a retry budget that is used up by calls which were not sent."""

        async def test(bed):
            await bed.serve("s-2", stream, "drafting")
            client = spill_with(bed, TwoOwners(bed))
            bed.dispatcher.take_retry = None  # fails a call that takes a retry
            caller = await bed.call("/draft/1", method="POST", headers=TOKENS)
            assert caller.status == 200
            assert client.asked == ["o1", "o2"]
            assert len(bed.arrivals) == 1

        run_bed(test)

    def test_a_call_for_a_plain_service_is_not_sent_on(self):
        """Guard against second requests for services whose room nobody states."""

        async def test(bed):
            async def script(arrival, writer):
                writer.write(answer(200, b"done", arrival.header("x-id")))

            await bed.serve("s-1", script)
            client = spill_with(bed, TwoOwners(bed))
            assert (await bed.call()).status != 200
            assert client.asked == ["o1"]

        run_bed(test)
