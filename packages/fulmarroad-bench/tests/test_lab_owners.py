"""Test that simulated routers use owners' queues and spillover as served ones do."""

import pytest
from attrs import evolve

from fulmarroad_bench._lab_engine import EngineShape, SimulatedCall
from fulmarroad_bench._lab_messages import MessageSide
from fulmarroad_bench._lab_simulation import Fleet, simulate_fleet
from fulmarroad_bench._lab_traffic import CallClass, Workload
from fulmarroad_serving import parse_features
from fulmarroad_serving._granting import Granter
from fulmarroad_serving._queueing import QueuedRequests
from fulmarroad_serving.placement import SpareCapacity, SpillCounts, SpillOutcome

KIND = CallClass("letter", 1.0, 0, 4_000, 400, 0.5, 1.0, 0.1, deadline_s=3.0)
NO_FEATURES = "admission_queue=off,spillover=off"
QUEUE = "admission_queue=on,spillover=off"
SPILLOVER = "admission_queue=on,spillover=on"


def simulate(features, calls=12, routers=2, kind=KIND, own_tokens=4_000):
    """Simulate calls of one prompt part that arrive 10 ms apart."""
    workload = Workload((kind,), 1, seconds=1.0)
    fleet = Fleet(
        routers,
        8,
        EngineShape(slots=2, queue=2),
        1e6,
        owners=True,
        features=parse_features(features),
    )
    rows = [
        SimulatedCall(
            number,
            kind.name,
            "w00",
            "part",
            4_000,
            own_tokens,
            400,
            0.2 + 0.01 * number,
            deadline_s=kind.deadline_s,
        )
        for number in range(calls)
    ]
    return simulate_fleet(workload, fleet, rows, 1)


@pytest.fixture
def record(monkeypatch):
    """Return a function that records the arguments of each call of a method."""

    def record(owner, name):
        rows, method = [], getattr(owner, name)

        def recorded(self, *args):
            rows.append(args)
            return method(self, *args)

        monkeypatch.setattr(owner, name, recorded)
        return rows

    return record


class TestOwnCalls:
    def test_own_calls_go_through_the_queue_with_their_remaining_time(self, record):
        """Guard against own calls that pass those of other routers in the queue."""
        requests = record(Granter, "receive_request")
        day = simulate(QUEUE, routers=1)
        assert len(requests) >= len(day.outcomes) == 12
        assert {request.router for request, _ in requests} == {"r0"}
        assert all(0.0 < request.remaining_s <= 3.0 for request, _ in requests)

    def test_own_calls_are_placed_directly_without_a_queue(self, record):
        """Guard against a change of deployments whose features are off."""
        requests = record(Granter, "receive_request")
        simulate(NO_FEATURES, routers=1)
        assert requests == []

    def test_a_queued_call_is_decided_on_when_a_place_becomes_free(self, record):
        """Guard against calls that wait in a queue which nobody looks at again."""
        scans = record(QueuedRequests, "decide")
        day = simulate(QUEUE, routers=1)
        assert len(scans) > 12
        assert len(day.outcomes) == 12


class TestCutCalls:
    def test_a_call_that_is_cut_while_it_waits_is_withdrawn(self, record):
        """Guard against places for callers that have left."""
        dropped = record(QueuedRequests, "drop")
        simulate(QUEUE, calls=60, kind=evolve(KIND, deadline_s=0.3), own_tokens=8_000)
        assert dropped


class TestSpillover:
    def test_a_refused_call_goes_to_the_other_owner(self, record):
        """Guard against refusals while the engines of another owner are idle."""
        spilled = record(SpillCounts, "note")
        day = simulate(SPILLOVER, calls=150, own_tokens=8_000)
        assert spilled[0][1] is SpillOutcome.GRANTED
        assert len(day.outcomes) == 150

    def test_no_call_goes_to_another_owner_without_spillover(self, record):
        spilled = record(SpillCounts, "note")
        simulate(QUEUE, calls=60)
        assert spilled == []

    def test_a_call_goes_to_a_second_owner_once_for_each_attempt(self, record):
        """Guard against calls that pass from owner to owner while all are busy."""
        sent = record(SpareCapacity, "note_sent")
        asked = record(MessageSide, "send_request")
        day = simulate(SPILLOVER, calls=150, own_tokens=8_000)
        attempts = 150 + sum(row.call.retries for row in day.outcomes)
        assert len(asked) <= attempts + len(sent)
        assert 0 < len(sent) <= attempts

    def test_reports_carry_the_room_of_owners(self, record):
        """Guard against calls that find no second owner before its first reply."""
        rooms = record(SpareCapacity, "note")
        simulate(SPILLOVER, calls=0)
        assert {owner for owner, room, _ in rooms if room > 0} == {"r0", "r1"}
