"""Test the engine's batch model in virtual time."""

from __future__ import annotations

import pytest

from fulmarroad_bench._engine_model import BatchModel, EngineProfile, EngineRefusedError

STEP_S = 0.01


def run(model: BatchModel, seconds: float) -> int:
    """Advance in steps and return the number of tokens generated."""
    tokens = 0
    end = model.now + seconds
    while model.now < end - STEP_S / 2:
        tokens += sum(step.tokens for step in model.advance(model.now + STEP_S))
    return tokens


def warm_model(**changes: float) -> BatchModel:
    """Return an engine that has been warm from the beginning."""
    return BatchModel(EngineProfile(warm_tokens=0, **changes))  # type: ignore[arg-type]


class TestBatch:
    @pytest.mark.parametrize("running", [1, 4, 8])
    def test_each_job_runs_at_full_speed_up_to_the_batch_size(self, running):
        model = warm_model()
        for _ in range(running):
            model.admit(10_000, 0, ())
        assert run(model, 2.0) == pytest.approx(running * 80, abs=running)

    def test_total_throughput_falls_beyond_the_batch_size(self):
        model = warm_model()
        for _ in range(16):
            model.admit(10_000, 0, ())
        assert run(model, 2.0) < 8 * 80 * 0.7

    def test_a_job_is_done_after_its_last_token(self):
        model = warm_model()
        job = model.admit(5, 0, ())
        assert run(model, 1.0) == 5
        assert job.done

    def test_work_is_proportional_to_slots_in_use(self):
        model = warm_model()
        for _ in range(4):
            model.admit(10_000, 0, ())
        run(model, 2.0)
        assert model.work / model.capacity == pytest.approx(0.5)


class TestPrefixCache:
    def test_a_cached_prefix_shortens_the_prefill(self):
        model = warm_model()
        first = model.admit(1, 64, (1, 2, 3, 4))
        second = model.admit(1, 64, (1, 2, 3, 9))
        assert first.cached_tokens == 0
        assert second.cached_tokens == 48
        assert second.prefill_s < first.prefill_s / 3

    def test_the_cache_is_bounded_and_logs_removed_blocks(self):
        model = warm_model(cache_blocks=2)
        model.admit(1, 32, (1, 2))
        model.admit(1, 16, (3,))
        assert model.cache.matched((1,)) == 0
        assert [event.kind for event in model.cache_log][-1] == "removed"


class TestColdStart:
    def test_speed_and_slots_rise_with_tokens_served(self):
        model = BatchModel()
        model.admit(10_000, 0, ())
        slow = run(model, 2.0)
        while model.warmth < 1.0:
            run(model, 1.0)
        assert slow < 60 < run(model, 2.0)
        assert model.slots == model.profile.batch

    def test_too_many_jobs_crash_a_cold_engine(self):
        # A router that sends a full load to a cold engine crashes it: all its answers
        # break off, and it refuses requests until it has restarted.
        model = BatchModel()
        for _ in range(2):
            model.admit(100, 0, ())
        assert not model.overloaded_cold()
        model.admit(100, 0, ())
        assert model.overloaded_cold()
        assert len(model.crash()) == 3
        with pytest.raises(EngineRefusedError):
            model.admit(100, 0, ())
        run(model, model.profile.recovery_s + 0.1)
        assert model.admit(100, 0, ()).cached_tokens == 0


class TestControlState:
    def test_a_hung_engine_generates_nothing_and_keeps_its_jobs(self):
        model = warm_model()
        model.admit(100, 0, ())
        model.hung = True
        assert run(model, 1.0) == 0
        assert model.running == 1

    def test_an_engine_that_is_down_has_no_capacity(self):
        model = warm_model()
        model.down = True
        run(model, 1.0)
        assert model.capacity == 0.0

    def test_a_slow_engine_generates_tokens_at_reduced_speed(self):
        model = warm_model()
        model.admit(10_000, 0, ())
        model.slow = 4.0
        assert run(model, 2.0) == pytest.approx(20, abs=1)
