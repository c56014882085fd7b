"""Short slow-downs of engines: noticed from gaps, reported, over in time."""

import pytest
from engine_bed import DEPLOYMENT_A, SERVER, SERVICE, EngineBed
from hypothesis import given, settings
from hypothesis import strategies as st

from fulmarroad.exceptions import MessageError
from fulmarroad_bench._lab_engine import EngineShape
from fulmarroad_serving._load import ServerLoad
from fulmarroad_serving._reports import unpack
from fulmarroad_serving.engines._book import EngineBook
from fulmarroad_serving.engines._pace import (
    MIN_GAP_S,
    SCAN_S,
    PaceBook,
    PaceFinding,
    UsualGap,
)
from fulmarroad_serving.engines._pace_messages import PaceReport, pack_pace, read_pace
from fulmarroad_serving.engines._slow_down import SlowDown

FAST = EngineShape(64, 64)
"""An engine with usual gaps of 40 ms beside prompts."""

SLOW_DOWN = (12.0, 12.6, 2.5)
KNOWN_WITHIN_S = 0.15
OVER_WITHIN_S = 0.6


def slow_bed(shape=FAST, **values):
    bed = EngineBed(
        shape, tokens_per_event=4, answers=20, depth=2, slow_downs=[SLOW_DOWN], **values
    )
    bed.run(14.0)
    return bed


class TestSlowDown:
    @pytest.mark.parametrize("routers", [1, 4, 20])
    @pytest.mark.parametrize("seed", [1, 2, 3])
    def test_owner_knows_in_time_and_forgets_it_soon(self, routers, seed):
        """Its queue would grow by 0.6 s of prompts that begin late."""
        begin, end, _ = SLOW_DOWN
        spans = slow_bed(routers=routers, seed=seed).slow_spans(since=begin)
        assert begin < spans[0][0] <= begin + KNOWN_WITHIN_S
        assert spans[-1][1] <= end + OVER_WITHIN_S

    def test_factor_is_about_that_of_the_engine(self):
        factors = [f for at, f in slow_bed().factors if 12.3 <= at < 12.6]
        assert 1.8 < sum(factors) / len(factors) < 3.2

    def test_long_steps_take_one_usual_gap_to_know(self):
        """An engine with steps of 32 ms has gaps of 160 ms beside prompts."""
        spans = slow_bed(DEPLOYMENT_A, routers=4).slow_spans(since=12.0)
        assert spans[0][0] <= 12.0 + 0.3

    @pytest.mark.parametrize("rate", [2.6, 4.1])
    @pytest.mark.parametrize("routers", [1, 20])
    def test_prompts_alone_are_no_slow_down(self, rate, routers):
        """Gaps are eight times as long beside prompts as without them."""
        bed = EngineBed(
            DEPLOYMENT_A,
            routers=routers,
            answers=60,
            arrivals_per_s=rate,
            output_tokens=150,
        )
        bed.run(60.0)
        assert bed.slow_spans(since=10.0) == []

    def test_lost_reports_delay_it(self):
        spans = slow_bed(routers=4, loss=0.3).slow_spans(since=12.0)
        assert spans[0][0] <= 12.0 + 0.3
        assert spans[-1][1] <= 12.6 + 0.9

    def test_paused_router_makes_no_engine_slow(self):
        """Its events wait in its sockets while its loop doesn't run."""
        bed = EngineBed(FAST, tokens_per_event=4, answers=20)
        bed.paused = [(0, 12.0 + n, 12.0 + n + 0.08) for n in range(5)]
        bed.paused += [(0, 20.0, 20.7)]
        bed.run(22.0)
        assert bed.slow_spans(since=10.0) == []

    def test_restart_forgets_the_slow_down(self):
        bed = EngineBed(FAST, tokens_per_event=4, answers=20, slow_downs=[SLOW_DOWN])
        bed.run(12.3)
        assert bed.factor() > 1.3
        bed.restart()
        assert bed.factor() == pytest.approx(1.0)


def report(factor, answers, number, router="r-1", incarnation=1):
    return PaceReport(router, incarnation, number, SERVER, 1, factor, answers)


class Owner:
    """An owner that gets reports on one engine."""

    def __init__(self):
        self.book, self.load = EngineBook(), ServerLoad()

    def receive(self, factor, answers, number, now, **values):
        row = report(factor, answers, number, **values)
        self.book.receive_pace(SERVICE, row, now)

    def factor(self, now):
        estimate = self.book.estimate(SERVICE, SERVER, self.load, now)
        return estimate.token_s * self.load.read_rate


class TestReports:
    def test_one_answer_is_not_enough(self):
        """A packet to one router may have been lost."""
        owner = Owner()
        owner.receive(2.5, 1, 1, 1.0)
        assert owner.factor(1.0) == 1.0

    def test_answers_of_two_routers_are(self):
        owner = Owner()
        owner.receive(2.5, 1, 1, 1.0)
        owner.receive(2.5, 1, 1, 1.05, router="r-2")
        assert owner.factor(1.1) == pytest.approx(2.5)

    def test_weak_evidence_needs_more_answers(self):
        owner = Owner()
        owner.receive(1.4, 3, 1, 1.0)
        assert owner.factor(1.0) == 1.0
        owner.receive(1.4, 4, 2, 1.1)
        assert owner.factor(1.1) == pytest.approx(1.4)

    def test_it_expires_without_further_reports(self):
        """The router that reported it may be gone."""
        owner = Owner()
        owner.receive(2.5, 2, 1, 1.0)
        assert owner.factor(1.59) == pytest.approx(2.5)
        assert owner.factor(1.61) == 1.0

    def test_late_report_does_not_begin_it_again(self):
        """A report may be overtaken by that of the recovery."""
        owner = Owner()
        owner.receive(2.5, 2, 1, 1.0)
        owner.receive(1.0, 0, 3, 1.2)
        owner.receive(2.5, 2, 2, 1.21)
        assert owner.factor(1.22) == 1.0

    def test_restarted_router_is_heard(self):
        owner = Owner()
        owner.receive(2.5, 2, 900, 1.0)
        owner.receive(2.5, 2, 1, 2.0, incarnation=2)
        assert owner.factor(2.0) == pytest.approx(2.5)

    def test_router_that_is_always_wrong_is_not_followed_for_long(self):
        owner, wrong = Owner(), []
        for number in range(200):
            owner.receive(4.0, 9, number + 1, number * 0.1)
            wrong.append(owner.factor(number * 0.1) > 1.0)
        assert sum(wrong) * 0.1 < 3.2

    def test_first_token_at_usual_speed_ends_it(self):
        slow = SlowDown()
        slow.note("r-1", 2.5, 4, 1.0)
        slow.note_usual_first_token(0.9, 1.1)  # read before it began
        assert slow.state(1.1).is_slow
        slow.note_usual_first_token(1.05, 1.2)
        assert not slow.state(1.2).is_slow

    def test_late_first_tokens_are_evidence(self):
        slow = SlowDown()
        slow.note_late_first_token(2.5, 1.0)
        assert not slow.state(1.0).is_slow
        assert slow.state(1.0, overdue=2.2).is_slow
        slow.note_late_first_token(2.5, 1.1)
        assert slow.state(1.1).source == "first_tokens"

    @pytest.mark.parametrize("at", range(1, 8))
    @pytest.mark.parametrize("value", [None, "x", -1, float("inf"), float("nan"), []])
    def test_invalid_packets_are_rejected(self, at, value):
        row = unpack(pack_pace(report(2.5, 2, 7)))
        row[at] = value
        try:
            read = read_pace(row)
        except MessageError:
            return
        assert 0 <= read.factor < 101

    def test_packet_is_small(self):
        data = pack_pace(report(2.54, 2, 7))
        assert len(data) < 60
        assert read_pace(unpack(data)) == report(2.5, 2, 7)


class Watched:
    """A router with some answers of one engine, in steps of a scan."""

    def __init__(self, answers):
        self.pace, self.now, self.found = PaceBook(), 0.0, []
        for answer in range(answers):
            self.pace.begin(SERVER, answer, 0.0)
            self.pace.await_next(SERVER, answer, 0.0, 0.0)
        self.answers = range(answers)

    def pass_s(self, seconds):
        for _ in range(round(seconds / SCAN_S)):
            self.now += SCAN_S
            self.found += [row for _, row in self.pace.scan(self.now)]

    def event(self, *answers, taken_s=0.0):
        for answer in answers:
            self.pace.note_event(SERVER, answer, self.now)
            self.pace.await_next(SERVER, answer, self.now, self.now + taken_s)

    def usual(self, count=40):
        for _ in range(count):
            self.pass_s(0.09)
            self.event(*self.answers)


class TestPaceMonitor:
    def test_pause_of_one_answer_among_others_is_not_reported(self):
        """Only its connection may have stalled."""
        router = Watched(3)
        router.usual()
        for _ in range(6):
            router.pass_s(0.09)
            router.event(1, 2)
        assert router.found == []

    def test_pause_of_all_answers_is_reported_and_so_is_its_end(self):
        router = Watched(3)
        router.usual()
        router.pass_s(0.24)
        assert router.found[-1].answers == 3
        assert router.found[-1].factor > 1.8
        router.event(0, 1, 2)
        router.usual(3)
        assert router.found[-1] == PaceFinding(1.0, 0)

    def test_two_pauses_in_a_row_of_a_lone_answer_count_as_two(self):
        router = Watched(1)
        router.usual()
        router.pass_s(0.24)
        assert router.found[-1].answers == 1
        router.event(0)
        router.pass_s(0.24)
        assert router.found[-1].answers == 2

    def test_caller_that_reads_slowly_is_no_pause(self):
        """Meanwhile the server's events are not read."""
        router = Watched(2)
        router.usual()
        for answer in (0, 1):
            router.pace.note_event(SERVER, answer, router.now)
        router.pass_s(0.6)
        for answer in (0, 1):
            router.pace.await_next(SERVER, answer, router.now - 0.6, router.now)
        router.usual(2)
        assert router.found == []

    def test_late_scan_restarts_the_gaps(self):
        router = Watched(2)
        router.usual()
        router.now += 0.5  # neither events nor scans
        router.event(0, 1)
        router.usual(2)
        assert router.found == []

    @settings(deadline=None)
    @given(st.lists(st.floats(MIN_GAP_S, 1e4), max_size=30), st.integers(1, 9))
    def test_any_gaps_give_a_usual_gap_among_them(self, gaps, answers):
        """Guard against a first gap of seconds, which ended the call with an error."""
        usual = UsualGap()
        for gap_s in gaps:
            usual.note(gap_s, answers)
            assert min(gaps) * 0.999 < usual.seconds < max(gaps) * 1.001

    def test_nothing_is_reported_before_gaps_are_known(self):
        router = Watched(2)
        router.usual(3)
        router.pass_s(0.6)
        assert router.found == []


SERIES = st.lists(
    st.tuples(
        st.floats(0.3, 2.0),  # until the next one
        st.sampled_from(["slow", "pause", "wrong"]),
        st.floats(0.1, 0.8),
    ),
    min_size=1,
    max_size=4,
)


class TestSeries:
    @settings(max_examples=25, deadline=None)
    @given(SERIES, st.integers(1, 4), st.floats(0.0, 0.4), st.integers(0, 99))
    def test_no_engine_is_avoided_for_longer_than_its_trouble(
        self, series, routers, loss, seed
    ):
        """Slow-downs, paused routers and wrong reports follow each other."""
        bed = EngineBed(
            FAST,
            routers=routers,
            loss=loss,
            seed=seed,
            tokens_per_event=4,
            answers=12,
        )
        bed.run(8.0)
        for until_next, kind, seconds in series:
            begin, end = bed.now, bed.now + seconds
            if kind == "slow":
                bed.slow_downs.append((begin, end, 2.5))
            elif kind == "pause":
                bed.paused.append((0, begin, end))
            else:
                row = PaceReport("r-9", 1, round(bed.now * 1e3), SERVER, 1, 4.0, 9)
                bed.book.receive_pace(SERVICE, row, bed.now)
            bed.run(seconds)
            quiet_at = bed.now + 1.0
            bed.run(max(until_next, 1.2))
            late = [f for at, f in bed.factors if at >= quiet_at]
            assert max(late) == pytest.approx(1.0)
