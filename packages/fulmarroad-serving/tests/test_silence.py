"""Which servers send nothing although calls wait for them."""

import math

import pytest
from attrs import evolve

from fulmarroad_serving._silence import (
    AVOIDED_S,
    MAX_PAUSE_S,
    MIN_WAIT_S,
    SILENT_S,
    SKIPPED_FRACTION,
    ServerActivity,
    SilentCall,
    leave_at,
)

BEGIN = 100.0


def activity_of(*calls, heard_at=BEGIN, pause_objective_s=0.2):
    """Return the record of a server; `calls` are the times from which bytes are due."""
    activity = ServerActivity()
    for number, due_at in enumerate(calls):
        activity.expect(number, due_at, pause_objective_s)
    activity.note_heard(heard_at)
    return activity


class TestServerActivity:
    @pytest.mark.parametrize(
        ("calls", "after_s", "silent"),
        [
            ([], 60.0, False),  # nobody waits
            ([BEGIN], SILENT_S - 0.01, False),
            ([BEGIN], SILENT_S + 0.01, True),
            ([BEGIN + 2.0], 2.0, False),  # in its queue, as estimated
            ([BEGIN + 2.0], 2.0 + SILENT_S + 0.01, True),
            ([BEGIN + 2.0, BEGIN], SILENT_S + 0.01, True),
        ],
    )
    def test_is_silent_while_it_owes_bytes(self, calls, after_s, silent):
        assert activity_of(*calls).is_silent(BEGIN + after_s) is silent

    def test_a_byte_to_any_call_ends_the_silence(self):
        activity = activity_of(BEGIN, BEGIN)
        activity.note_heard(BEGIN + 1.2)
        assert not activity.is_silent(BEGIN + 1.3)
        assert activity.resumed_at == BEGIN + 1.2

    def test_streams_with_long_pauses_are_waited_for_longer(self):
        assert not activity_of(BEGIN, pause_objective_s=1.0).is_silent(BEGIN + 2.4)

    def test_a_stream_that_began_early_owes_its_next_event(self):
        """Guard against streams that leave at a pause, as their first event was
        expected later than it came and nothing seemed to be due.
        """
        activity = activity_of(BEGIN + 5.0)
        activity.note_begun(0, BEGIN - 1.0, BEGIN)
        assert activity.is_silent(BEGIN + SILENT_S + 0.01)

    def test_a_stream_with_long_pauses_counts_only_while_it_waits(self):
        activity = activity_of(BEGIN, pause_objective_s=2.0)
        activity.expect(1, BEGIN, 0.2)
        assert not activity.is_silent(BEGIN + SILENT_S + 0.01)
        activity.settle(0)
        assert activity.is_silent(BEGIN + SILENT_S + 0.01)

    def test_a_server_is_not_silent_after_the_last_call_ended(self):
        activity = activity_of(BEGIN)
        activity.settle(0)
        assert not activity.is_silent(BEGIN + 9.0)

    def test_a_server_that_calls_gave_up_is_avoided_for_a_while(self):
        """Guard against a dead server that gets new calls as soon as it is left."""
        activity = activity_of(BEGIN)
        left_at = BEGIN + MAX_PAUSE_S
        activity.note_given_up(left_at)
        activity.settle(0)
        assert activity.is_silent(left_at + AVOIDED_S - 0.1)
        assert not activity.is_silent(left_at + AVOIDED_S)
        activity.note_heard(left_at + 0.1)
        assert not activity.is_silent(left_at + 0.2)


STREAM = SilentCall(
    sent_at=BEGIN - 1.0,
    last_byte_at=BEGIN,
    begun=True,
    deadline=BEGIN + 8.0,
    objective_s=0.4,
    pause_objective_s=0.2,
)
SKIPPED_S = SKIPPED_FRACTION * STREAM.patience_s
NOW = BEGIN + MAX_PAUSE_S - 0.1


class TestLeaveAt:
    @pytest.mark.parametrize(
        ("heard_at", "changes", "after_s"),
        [
            # Silent to all calls: it may have paused.
            (BEGIN, {}, MAX_PAUSE_S),
            (BEGIN, {"begun": False}, MAX_PAUSE_S),
            (BEGIN, {"objective_s": 2.0}, MAX_PAUSE_S),
            # Bytes aren't due yet.
            (BEGIN, {"begun": False, "objective_s": 1.5}, 1.5 * 2.5 - 1.0),
            (BEGIN, {"begun": False, "expected_s": 4.0}, 3.0),
            (BEGIN, {"pause_objective_s": 0.8}, 4 * 0.8),
            (BEGIN, {"deadline": BEGIN + 3.0, "objective_s": 2.0}, math.inf),
            # It answers others, and stopped this answer.
            (NOW, {}, NOW - BEGIN + SKIPPED_S),
            # It answers others after a pause, and this call waits in its queue.
            (NOW, {"begun": False}, NOW - BEGIN + MAX_PAUSE_S),
            # The last moment at which another server can still answer.
            (BEGIN, {"deadline": BEGIN + 2.0}, 2.0 - 2 * 0.4),
            (BEGIN, {"deadline": BEGIN + 2.0, "pause_objective_s": 0.0}, 2.0 - 0.4),
            # Too late to be answered elsewhere.
            (BEGIN, {"deadline": BEGIN + 0.8 + MIN_WAIT_S - 0.01}, math.inf),
        ],
    )
    def test_bounds(self, heard_at, changes, after_s):
        activity = activity_of(BEGIN, heard_at=BEGIN)
        activity.note_heard(heard_at)
        found = leave_at(evolve(STREAM, **changes), activity, NOW)
        assert found == pytest.approx(BEGIN + after_s)

    @pytest.mark.parametrize(
        ("begun", "later_call_begun", "after_s"),
        [
            (True, False, SKIPPED_S),
            (False, True, SKIPPED_S),
            (False, False, MAX_PAUSE_S),
        ],
    )
    def test_a_skipped_call_leaves_sooner(self, begun, later_call_begun, after_s):
        """Guard against calls that wait out a pause of a server that goes on."""
        activity = activity_of(BEGIN, heard_at=BEGIN)
        for step in range(1, 10):
            activity.note_heard(BEGIN + step * SILENT_S / 2)
        if later_call_begun:
            activity.note_begun(1, BEGIN, BEGIN)
        found = leave_at(
            evolve(STREAM, begun=begun), activity, BEGIN + 9 * SILENT_S / 2
        )
        assert found == pytest.approx(BEGIN + after_s)

    def test_a_plain_server_skips_no_call(self):
        """Guard against calls that are slow beside short ones and run twice."""
        activity = activity_of(BEGIN, heard_at=NOW)
        activity.note_begun(1, BEGIN, BEGIN)
        plain = evolve(STREAM, begun=False, pause_objective_s=0.0)
        assert leave_at(plain, activity, NOW) >= BEGIN + MAX_PAUSE_S
