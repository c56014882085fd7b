"""Estimates of engines of unequal speed under load, without a network."""

import math
import random
from statistics import mean

import pytest
from engine_bed import DEPLOYMENT_A, DEPLOYMENT_B, SERVER, SERVICE, EngineBed

from fulmarroad_serving._load import (
    READ_RATE,
    READ_RATE_BOUNDS,
    Charge,
    PeerLoad,
    ServerLoad,
)
from fulmarroad_serving.engines._book import EngineBook
from fulmarroad_serving.engines._speed import EngineSpeed, ServiceSpeed

SHAPES = {"A": DEPLOYMENT_A, "B": DEPLOYMENT_B}
LEARNING_S = 5

MAX_MEAN_ERROR = 0.15
MAX_STEPS_OFF = 2.5
"""Bounds after five seconds: of the mean error as a fraction of the time to the first
token, and of 95 of 100 errors in full steps."""


def full_step_s(shape, speed):
    return (shape.step_s + shape.chunk_tokens / shape.read_per_s) / speed


def settled(bed):
    return [row for row in bed.done if row.charge.sent_at > LEARNING_S]


def mean_error(bed):
    return mean(abs(row.error) for row in settled(bed))


def feed(speed, token_s, count=9, tokens=8_000, since=0.0):
    """Let an engine begin queued prompts one after the other; return the time."""
    now = since
    begin(speed, 1, now)
    for _ in range(count):
        now += tokens * token_s
        begin(speed, tokens, now)
    return now


def begin(speed, tokens, now, **changes):
    row = {"sent_at": -1.0, "tokens": tokens, "ahead_tokens": 0.0, "answers": 0.0}
    return speed.note_begun(**(row | changes), now=now)


def make_book(rates, now=0.0):
    """Return a book in which the owners of engines have reported their rates."""
    book = EngineBook()
    for number, rate in enumerate(rates):
        book.note_reported_rate(SERVICE, f"e-{number}", rate, now + number)
    return book


def learn(book, server, rate, since=10.0, count=60):
    load, now = ServerLoad(), since
    for number in range(count):
        tokens = 8_000 if number else 1
        now += tokens / rate
        charge = Charge(server, tokens, 0.0, since - 1.0)
        book.note_begun(SERVICE, charge, load, now, as_assumed=True)
    return now


class TestEstimates:
    @pytest.mark.parametrize("answers", [(2, 2), (30, 30), (60, 60), (2, 60)])
    @pytest.mark.parametrize("speed", [0.7, 1.0, 1.7])
    @pytest.mark.parametrize("shape", SHAPES)
    def test_error_stays_within_a_few_steps(self, shape, speed, answers):
        """An estimate that is off by a prompt fills slow engines in a surge."""
        bed = EngineBed(SHAPES[shape], speed, seed=2)
        bed.vary(20, answers)
        step_s = full_step_s(SHAPES[shape], speed)
        off = sorted(abs(row.expected_s - row.actual_s) for row in settled(bed))
        assert mean_error(bed) < MAX_MEAN_ERROR
        assert off[int(0.95 * len(off))] < MAX_STEPS_OFF * step_s

    @pytest.mark.parametrize("speed", [0.7, 1.7])
    def test_error_is_less_than_without_the_model(self, speed):
        """The rate that is learned for a long queue is wrong for a short one."""
        with_model = EngineBed(DEPLOYMENT_A, speed)
        without = EngineBed(DEPLOYMENT_A, speed, book=None)
        for bed in (with_model, without):
            bed.vary(20, (2, 60))
        assert mean_error(with_model) < mean_error(without) / 2

    def test_wrong_guesses_of_what_was_cached_change_little(self):
        """One prompt in ten has 13,300 tokens more to read than was assumed."""
        bed = EngineBed(DEPLOYMENT_A, 1.0, wrong_guesses=0.1, seed=4)
        bed.vary(20, (30, 30), depths=(3, 3))
        rate = bed.book.read_rate(SERVICE, SERVER)
        exact = 1.0 / (1.0 / 37_900 + 0.00463 / 1_024)
        assert 0.7 * exact < rate < 1.1 * exact


class TestLearning:
    def test_first_samples_replace_the_default(self):
        speed = EngineSpeed(ServiceSpeed())
        feed(speed, 1 / 23_000, count=3)
        assert 1 / speed.lasting_token_s == pytest.approx(23_000)

    @pytest.mark.parametrize("factor", [0.2, 5.0])
    def test_one_outlier_changes_nothing(self, factor):
        """A prompt that was cached, or evicted, is no change of speed."""
        speed = EngineSpeed(ServiceSpeed())
        now = feed(speed, 1 / 30_000)
        begin(speed, 8_000, now + factor * 8_000 / 30_000)
        assert 1 / speed.lasting_token_s == pytest.approx(30_000, rel=0.01)

    def test_lasting_change_is_learned(self):
        speed = EngineSpeed(ServiceSpeed())
        now = feed(speed, 1 / 60_000)
        feed(speed, 1 / 25_000, count=7, since=now)
        assert 1 / speed.lasting_token_s == pytest.approx(25_000, rel=0.05)

    def test_wrong_guesses_in_a_row_are_a_change_of_speed(self):
        """With a wrong speed, every part looks evicted and nothing would be learned."""
        speed = EngineSpeed(ServiceSpeed())
        now = feed(speed, 1 / 60_000)
        for _ in range(20):
            now += 8_000 / 20_000
            begin(speed, 8_000, now, as_assumed=False)
        assert 1 / speed.lasting_token_s == pytest.approx(20_000, rel=0.05)

    def test_slow_down_is_not_learned(self):
        speed = EngineSpeed(ServiceSpeed())
        now = feed(speed, 1 / 30_000)
        for _ in range(9):
            now += 8_000 / 12_000
            begin(speed, 8_000, now, is_slow=True)
        assert 1 / speed.lasting_token_s == pytest.approx(30_000)

    def test_prompts_of_other_routers_do_not_make_an_engine_slow(self):
        """A router without the engine's owner sees only its own first tokens."""
        book, load, now = EngineBook(), ServerLoad(), 10.0
        for _ in range(30):
            load.receive_load("peer", PeerLoad(4, 24_000), now)
            ahead = book.unread_tokens(SERVICE, SERVER, load, now)
            charge = Charge(SERVER, 8_000, ahead, now)
            now += 0.035 + 32_000 / 30_000
            book.note_begun(SERVICE, charge, load, now, as_assumed=True)
        assert book.read_rate(SERVICE, SERVER) == pytest.approx(30_000, rel=0.1)

    def test_running_answers_are_learned_for_all_engines_of_a_service(self):
        """A new engine would otherwise have to see few and many answers itself."""
        service, source = ServiceSpeed(), random.Random(3)
        speed, now = EngineSpeed(service), 0.0
        for _ in range(300):
            answers = source.choice([0.0, 60.0])
            now += 8_000 * (1 + 0.004 * answers) / 30_000
            begin(speed, 8_000, now, answers=answers)
        fresh = EngineSpeed(service)
        ratio = fresh.token_s(60.0) / fresh.token_s(0.0)
        assert ratio == pytest.approx(1.24, abs=0.08)


class TestClasses:
    RATES = (38_000.0, 38_000.0, 54_000.0, 54_000.0, 54_000.0, 92_000.0)

    @pytest.mark.parametrize(("rate", "number"), [(38e3, -1), (54e3, 0), (92e3, 2)])
    def test_class_counts_half_octaves_from_the_median(self, rate, number):
        book = make_book(self.RATES)
        learn(book, "mine", rate)
        assert book.speed_class("mine") == number

    def test_noise_at_a_boundary_changes_no_class(self):
        """Parts would move each time."""
        book, now, seen = make_book(self.RATES), 10.0, set()
        for number in range(12):
            rate = 54_000 * 2 ** (0.25 + (0.03 if number % 2 else -0.03))
            now = learn(book, "mine", rate, since=now + 1.0)
            seen.add(book.speed_class("mine"))
        assert len(seen) == 1

    def test_class_stays_within_bounds(self):
        book = make_book(self.RATES)
        learn(book, "mine", 390_000.0)
        book.note_reported_class(SERVICE, "other", -99, 1.0)
        assert book.speed_class("mine") == 3
        assert book.speed_class("other") == -3

    def test_nothing_is_known_of_a_lone_engine(self):
        book = EngineBook()
        learn(book, "mine", 30_000.0)
        assert book.speed_class("mine") is None

    def test_new_owner_starts_from_the_reported_class(self):
        """It would send the first prompts as if to an engine of 60,000 tokens/s."""
        book = make_book(self.RATES)
        book.note_reported_class(SERVICE, "taken", -2, 10.0)
        assert book.read_rate(SERVICE, "taken") == pytest.approx(27_000)
        assert book.speed_class("taken") == -2

    def test_report_of_a_later_owner_replaces_the_own_class(self):
        book = make_book(self.RATES)
        now = learn(book, "mine", 54_000.0)
        book.note_reported_class(SERVICE, "mine", 2, now + 0.5)
        assert book.speed_class("mine") == 0  # two owners for a moment
        book.note_reported_class(SERVICE, "mine", 2, now + 2.0)
        assert book.speed_class("mine") == 2

    def test_restart_forgets_the_engine(self):
        """The new run may be on another machine."""
        book = make_book(self.RATES)
        learn(book, "mine", 92_000.0)
        book.forget("mine")
        assert book.speed_class("mine") is None
        rate = book.read_rate(SERVICE, "mine")
        assert rate == pytest.approx(54_000, rel=0.1)

    @pytest.mark.parametrize("rate", [-1.0, 1e-300, math.inf, math.nan])
    def test_rate_from_a_faulty_owner_stays_within_bounds(self, rate):
        book = make_book(self.RATES)
        book.note_reported_rate(SERVICE, "bad", rate, 99.0)
        book.note_reported_class(SERVICE, "bad", 1, 99.0)
        low, high = READ_RATE_BOUNDS
        assert low <= book.read_rate(SERVICE, "bad") <= high

    def test_engine_of_an_unknown_service_starts_at_the_default(self):
        assert math.isclose(EngineBook().read_rate("other", "e-9"), READ_RATE)
