"""Tests of learned lengths of answers, and of the slots that they take."""

import random

import pytest
from attrs import evolve
from hypothesis import given, settings
from hypothesis import strategies as st
from serving_bed import PlainCodec, chunk, event, make_catalog, run, stream_head

from fulmarroad_platform.calls import PlatformCodec
from fulmarroad_serving import (
    EngineProfile,
    FeatureMode,
    FeatureSettings,
    Service,
)
from fulmarroad_serving._load import FULL_PENALTY_S, ServerLoad
from fulmarroad_serving.contracts import CatalogFact
from fulmarroad_serving.engines import AnswerLengths, ExpectedLength, OutputLimits
from fulmarroad_serving.engines._answer_lengths import MAX_KINDS, MIN_REJECTING_SAMPLES
from fulmarroad_serving.engines._spreads import MAX_AGE_S, MAX_SAMPLES

KIND = ("drafting", 0.8)
TOKEN_S = 0.01
ON = FeatureSettings({"answer_lengths": FeatureMode.ON})


def learned(hint_error=1.0, count=MIN_REJECTING_SAMPLES, seed=1):
    """Return lengths learned from answers of about 100 tokens."""
    lengths, source = AnswerLengths(), random.Random(seed)
    for _ in range(count):
        tokens = source.randint(80, 125)
        lengths.note_answer(KIND, round(100 * hint_error), tokens, 0.0)
        lengths.note_time("drafting", 11, 10, 100 * TOKEN_S, 0.0)
    return lengths


class TestExpectedLengths:
    @pytest.mark.parametrize("error", [0.1, 1.0, 10.0])
    def test_hints_that_are_wrong_alike_are_corrected(self, error):
        """Guard against slots that seem to be free ten times too early or too late."""
        expected = learned(error).expected(KIND, OutputLimits(round(100 * error)), 0.0)
        assert 75 <= expected.short <= expected.usual <= expected.long <= 130

    def test_one_wrong_hint_stays_within_the_bounds_of_its_kind(self):
        """Guard against one caller whose hints make a full engine look idle."""
        lengths = learned()
        assert lengths.expected(KIND, OutputLimits(hint=1), 0.0).usual >= 80
        assert lengths.expected(KIND, OutputLimits(1_000, 300), 0.0).long == 300

    def test_callers_that_state_no_hint_are_judged_by_their_kind(self):
        expected = learned().expected(KIND, OutputLimits(), 0.0)
        assert 80 <= expected.short <= expected.usual <= expected.long <= 125
        assert AnswerLengths().expected(KIND, OutputLimits(most=500), 0.0) is None

    @given(
        st.lists(
            st.tuples(st.integers(0, 10**9), st.integers(1, 10**6), st.floats(0, 30)),
            max_size=300,
        ),
        st.integers(1, 10**9),
        st.integers(0, 10**6),
    )
    @settings(max_examples=60, deadline=None)
    def test_expectations_stay_in_order_and_bounded(self, answers, hint, most):
        """Guard against series of wrong hints that give a wait without an end."""
        lengths, now = AnswerLengths(), 0.0
        for stated, tokens, pause_s in answers:
            now += pause_s
            lengths.note_answer(KIND, stated, tokens, now)
        expected = lengths.expected(KIND, OutputLimits(hint, most), now)
        assert 0 < expected.short <= expected.usual <= expected.long <= expected.most
        assert not most or expected.most == most
        assert (
            len(lengths._kinds.get(KIND, ()).tokens if answers else ()) <= MAX_SAMPLES
        )

    def test_the_number_of_kinds_is_bounded(self):
        lengths = AnswerLengths()
        for n in range(MAX_KINDS + 5):
            lengths.note_answer(("drafting", float(n)), 1, 1, 0.0)
        assert len(lengths._kinds) == MAX_KINDS


class TestRejections:
    def rejects(self, lengths, hint, left_s=2.0, now=0.0, hash_fraction=0.5001):
        limits = OutputLimits(hint)
        return lengths.cannot_finish(
            KIND, limits, left_s, now, hash_fraction=hash_fraction
        )

    def test_a_call_that_cannot_end_in_time_is_rejected(self):
        lengths = learned()
        assert self.rejects(lengths, 1_000)
        assert not self.rejects(lengths, 200)
        assert not self.rejects(lengths, 0)

    def test_few_or_old_samples_reject_nothing(self):
        """Guard against calls lost to a guess after a start or a change of callers."""
        few = learned(count=MIN_REJECTING_SAMPLES - 1)
        assert not self.rejects(few, 10_000)
        assert not self.rejects(learned(), 10_000, now=MAX_AGE_S + 1)

    def test_hints_that_are_sometimes_ten_times_too_long_reject_nothing(self):
        """Guard against rejections of calls that could be served."""
        lengths = learned()
        lengths.note_answer(KIND, 1_000, 100, 0.0)
        assert not self.rejects(lengths, 1_000)

    def test_some_calls_are_served_as_a_trial(self):
        """Guard against rejections that prevent the samples to correct them."""
        lengths, source = learned(), random.Random(2)
        draws = [source.random() for _ in range(2_000)]
        served = sum(
            not self.rejects(lengths, 10_000, hash_fraction=draw) for draw in draws
        )
        assert 150 < served < 350


class TestSlots:
    """A full engine, as the owner of its queue sees it."""

    def full_engine(self, lengths, slots=8, known=True):
        load = ServerLoad(token_s=TOKEN_S if known else 0.0)
        for tokens in lengths:
            charge = load.send("s", 0, 0.0)
            expected = ExpectedLength(tokens / 2, tokens, 2 * tokens, 1_000)
            load.expect_end(charge, expected)
            load.begin(charge, 0.0)
        return load

    def test_an_engine_whose_answers_end_soon_has_the_shorter_wait(self):
        """Guard against calls that wait behind long answers while slots become free."""
        soon, late = self.full_engine([20] * 8), self.full_engine([400] * 8)
        assert soon.wait_s(8, 0.1) == pytest.approx(0.1)
        assert late.wait_s(8, 0.1) == pytest.approx(3.9)

    def test_calls_in_the_queue_need_a_free_slot_each(self):
        load = self.full_engine([10, 20, 30, 40])
        assert load.wait_s(3, 0.0) == pytest.approx(0.2)

    def test_an_overdue_answer_is_taken_for_a_longer_one(self):
        """Guard against a hint ten times too short that makes an engine look free."""
        load = self.full_engine([20] * 8)
        assert load.wait_s(8, 0.3) == pytest.approx(0.1)
        assert load.wait_s(8, 0.5) == pytest.approx(9.5)
        assert load.wait_s(8, 20.0) == FULL_PENALTY_S

    def test_without_knowledge_the_wait_is_the_fixed_one(self):
        load = self.full_engine([20] * 8, known=False)
        assert load.wait_s(8, 0.1) == FULL_PENALTY_S

    def test_ended_calls_leave_nothing_behind(self):
        load = ServerLoad(token_s=TOKEN_S)
        charge = load.send("s", 0, 0.0)
        load.expect_end(charge, ExpectedLength(1, 2, 3, 4))
        load.end(charge)
        assert not load._slots._answers


class HintCodec(PlainCodec):
    def read_call(self, headers):
        return evolve(super().read_call(headers), length_hint=10_000)


class TestCalls:
    """Calls through the forwarder, with a server that sends events of ten tokens."""

    def check(self, test, settings=ON):
        async def started(bed):
            bed.dispatcher.settings._features._settings = settings
            profile = EngineProfile(16, step_tokens=10)
            services = make_catalog().services | {
                "drafting": Service("drafting", 600, engine=profile)
            }
            bed.apply_fact(CatalogFact(make_catalog(2, services=services)))

            async def script(arrival, writer):
                writer.write(stream_head(arrival.header("x-id")))
                for n in range(int(arrival.header("last-event-id") or 0) + 1, 13):
                    writer.write(chunk(event(n)))
                writer.write(b"0\r\n\r\n")

            await bed.serve("s-1", script, "drafting", slots=16)
            await test(bed)

        run(started)

    async def draft(self, bed, body=b"p", **headers):
        return await bed.call("/draft/1", method="POST", body=body, headers=headers)

    def test_an_answer_teaches_its_length(self):
        async def test(bed):
            await self.draft(bed)
            assert (await self.draft(bed, **{"last-event-id": "3"})).whole
            rows = bed.dispatcher.answers.lengths._kinds["drafting", 0.2]
            assert rows.tokens._sorted == [120.0]  # not the part of an answer

        self.check(test)

    def test_switched_off_nothing_is_learned_or_rejected(self):
        async def test(bed):
            assert (await self.draft(bed)).status == 200
            assert not bed.dispatcher.answers.lengths._kinds
            assert bed.dispatcher.load("s-1").token_s == 0.0

        self.check(test, FeatureSettings())

    def test_a_call_that_cannot_finish_is_refused_unsent(self):
        """Guard against slots taken by answers that are cut off at their deadline."""

        async def test(bed):
            lengths = bed.dispatcher.answers.lengths
            for _ in range(MIN_REJECTING_SAMPLES):
                lengths.note_answer(("drafting", 0.2), 10, 10, bed.now())
                lengths.note_time("drafting", 11, 10, 1.0, bed.now())
            bed.app._codec = HintCodec()
            caller = await self.draft(bed, b"long")
            assert (caller.status, bed.arrivals) == (503, [])
            assert b"cannot_finish" in caller.body

        self.check(test)


class TestHeader:
    @pytest.mark.parametrize(
        ("value", "hint"),
        [(b"120", 120), (b" 7 ", 7), (b"-3", 0), (b"1e3", 0), (b"9" * 30, 0)],
    )
    def test_a_hint_is_read_and_forwarded(self, value, hint):
        headers = [(b"host", b"h"), (b"length-hint", value)]
        head = PlatformCodec().read_call(headers)
        assert head.length_hint == hint
        assert (b"length-hint", value) in head.forward
