"""Tests of single choices for queued and refused calls."""

import pytest

from fulmarroad.types import RefusalReason
from fulmarroad_serving import Demand, FeatureSettings, Refusal
from fulmarroad_serving._routing import (
    Candidate,
    PartMemory,
    Prompt,
    engines_with_time,
)
from fulmarroad_serving._spilling import may_spill

ENGINES = [Candidate(name, "fes", 9.0, 0.0, 1e5, 0.03) for name in "abc"]


class TestHotParts:
    @pytest.mark.parametrize(("calls", "others"), [(1, 0), (600, 3)])
    def test_only_a_part_that_needs_more_engines_is_read_again(self, calls, others):
        """Guard against a hot part that waits for one engine while others idle."""
        memory = PartMemory()
        memory.note(7, "a", 0.0)
        for _ in range(calls):
            memory.note_asked(7, 0.0)
        prompt = Prompt(7, 9_000, 4_000, 0.8)
        rows = engines_with_time(
            prompt, ENGINES, memory, 0.0, longest_wait_s=0.1, shortage=0.9
        )
        assert len(rows) == others


class TestLateCalls:
    @pytest.mark.parametrize("is_late", [True, False])
    def test_a_call_that_is_late_in_any_case_is_not_sent_on(self, is_late):
        """Guard against returns that take the capacity of first attempts."""

        class Spills:
            def may_spill(self, service):
                return True

        refusal = Refusal(RefusalReason.WAIT_TOO_LONG, 0.5, is_late=is_late)
        demand = Demand("c", "drafting", "coop", 0.8)
        assert may_spill(Spills(), demand, refusal) is not is_late


class TestAutomaticFeatures:
    def test_features_without_a_shown_gain_stay_off(self):
        """Guard against parts that a configuration turns on by accident."""
        features = FeatureSettings().resolve(scarce=True)
        assert features.admission_queue
        assert not features.engine_speeds
        assert not features.weighted_parts
        assert not features.spillover
