"""Answers are measured so that they tell how a server does."""

import pytest

from fulmarroad.tables import Pool, PoolKind
from fulmarroad.types import Outcome
from fulmarroad_router.execution import _outcome_of
from fulmarroad_router.metering import Meter


class Clock:
    now = 0.0

    def __call__(self):
        return self.now


@pytest.fixture
def clock():
    return Clock()


class TestMeter:
    def test_stream(self, clock):
        meter = Meter(clock)
        for clock.now in (0.4, 0.5, 0.6):
            meter.record_chunk(1)
        assert meter.first_s == pytest.approx(0.4)
        assert meter.gap_s == pytest.approx(0.1)
        assert meter.tokens == 3

    def test_answer_in_one_piece_has_no_first_token(self, clock):
        # A caller asks for an answer that isn't streamed. Its first byte comes after
        # the last token; taken for a first token it looked so slow that a server
        # which warmed up was set back to cold by each such answer.
        meter = Meter(clock, non_streaming=True)
        clock.now = 5.0
        meter.record_chunk(0)
        meter.record_usage({"prompt_tokens": 10, "completion_tokens": 100})
        assert meter.first_s is None
        assert meter.gap_s == pytest.approx(0.05)

    def test_engines_count_replaces_the_estimate(self, clock):
        meter = Meter(clock)
        meter.record_chunk(1)
        meter.record_usage({"prompt_tokens": 7, "completion_tokens": 3})
        meter.record_chunk(1)
        assert (meter.prompt_tokens, meter.tokens) == (7, 3)

    @pytest.mark.parametrize(
        "usage",
        [{"prompt_tokens": -1}, {"completion_tokens": "9"}, {"prompt_tokens": True}],
    )
    def test_nonsense_of_an_engine_is_ignored(self, clock, usage):
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
    def test_failing_engine_does_not_pass_for_a_fast_one(self, kind, status, outcome):
        assert _outcome_of(Pool("p", kind=kind), status) is outcome
