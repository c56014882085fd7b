"""Tests of the measured latency, token counts and outcome of a try."""

import pytest

from fulmarroad.tables import Pool, PoolKind
from fulmarroad.types import Outcome
from fulmarroad_router.answer_statuses import outcome_of
from fulmarroad_router.metering import Meter


class Clock:
    now = 0.0

    def __call__(self):
        return self.now


@pytest.fixture
def clock():
    return Clock()


class TestMeter:
    def test_measures_a_streamed_answer(self, clock):
        meter = Meter(clock)
        for clock.now in (0.4, 0.5, 0.6):
            meter.record_chunk(1)
        assert meter.first_s == pytest.approx(0.4)
        assert meter.gap_s == pytest.approx(0.1)
        assert meter.tokens == 3

    def test_non_streaming_answer_has_no_time_to_first_token(self, clock):
        # The first byte of an answer that isn't streamed arrives after the last token.
        # Counted as the first token, it was so late that each such answer set a server
        # that was warming up back to cold.
        meter = Meter(clock, non_streaming=True)
        clock.now = 5.0
        meter.record_chunk(0)
        meter.record_usage({"prompt_tokens": 10, "completion_tokens": 100})
        assert meter.first_s is None
        assert meter.gap_s == pytest.approx(0.05)

    def test_token_count_of_the_engine_replaces_the_estimate(self, clock):
        meter = Meter(clock)
        meter.record_chunk(1)
        meter.record_usage({"prompt_tokens": 7, "completion_tokens": 3})
        meter.record_chunk(1)
        assert (meter.prompt_tokens, meter.tokens) == (7, 3)

    @pytest.mark.parametrize(
        "usage",
        [{"prompt_tokens": -1}, {"completion_tokens": "9"}, {"prompt_tokens": True}],
    )
    def test_invalid_usage_is_ignored(self, clock, usage):
        meter = Meter(clock, prompt_tokens=5.0)
        meter.record_usage(usage)
        assert (meter.prompt_tokens, meter.tokens) == (5.0, 0)


class TestOutcome:
    @pytest.mark.parametrize(
        ("kind", "status", "outcome"),
        [
            (PoolKind.MODEL, 200, Outcome.COMPLETED),
            (PoolKind.MODEL, 400, Outcome.COMPLETED),
            (PoolKind.MODEL, 500, Outcome.FAILED),
            (PoolKind.PLAIN, 500, Outcome.COMPLETED),
            (PoolKind.PLAIN, 503, Outcome.FAILED),
            (PoolKind.PLAIN, 504, Outcome.FAILED),
        ],
    )
    def test_status_is_mapped_to_an_outcome_by_pool_kind(self, kind, status, outcome):
        assert outcome_of(Pool("p", kind=kind), status) is outcome
