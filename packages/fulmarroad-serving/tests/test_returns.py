"""Tests of calls that return after a refusal."""

from attrs import evolve

from fulmarroad_serving import Demand
from fulmarroad_serving._returns import (
    LATE_WAIT_FRACTION,
    MAX_REMEMBERED,
    REMEMBERED_S,
    RefusedCalls,
)

CALL = Demand("c-1", "drafting", "coop", 0.6, "part", 6_000, 2_000, 50, 0.25)


class TestRefusedCalls:
    def test_a_first_attempt_has_its_whole_objective(self):
        attempt = RefusedCalls().attempt(CALL, 10.0)
        assert attempt.demand == CALL
        assert not attempt.late_anyway

    def test_a_return_has_what_is_left_of_its_objective(self):
        refused = RefusedCalls()
        refused.note_refused(CALL, 10.0)
        attempt = refused.attempt(evolve(CALL, call_id="c-2"), 10.35)
        assert round(attempt.demand.objective_s, 6) == 0.25
        assert not attempt.late_anyway

    def test_a_return_that_is_late_anyway_may_hardly_wait(self):
        """A caller returns after its objective. Queued like a first attempt, its call
        makes one late that could begin on time.
        """
        refused = RefusedCalls()
        refused.note_refused(CALL, 10.0)
        attempt = refused.attempt(CALL, 10.7)
        assert attempt.late_anyway
        assert attempt.demand.objective_s == LATE_WAIT_FRACTION * CALL.objective_s

    def test_a_second_return_counts_from_the_first_attempt(self):
        refused = RefusedCalls()
        refused.note_refused(CALL, 10.0)
        attempt = refused.attempt(CALL, 10.3)
        refused.note_refused(CALL, attempt.first_at)
        assert refused.attempt(CALL, 10.6).late_anyway

    def test_an_equal_call_of_another_caller_is_no_return(self):
        """Two callers look the same thing up. One refusal must not make both of their
        next calls yield.
        """
        refused = RefusedCalls()
        refused.note_refused(CALL, 10.0)
        assert refused.attempt(CALL, 10.7).late_anyway
        assert not refused.attempt(CALL, 10.8).late_anyway

    def test_refusals_are_forgotten(self):
        refused = RefusedCalls()
        refused.note_refused(CALL, 10.0)
        assert not refused.attempt(CALL, 10.0 + REMEMBERED_S).late_anyway
        for number in range(MAX_REMEMBERED + 5):
            refused.note_refused(evolve(CALL, hash_fraction=float(number)), 20.0)
        assert len(refused._first_at) == MAX_REMEMBERED
