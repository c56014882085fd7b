"""Tests of learning for how long servers keep prompt parts."""

import random

import pytest
from attrs import evolve
from owner_bed import make_dispatcher

from fulmarroad_serving import Demand, Placement
from fulmarroad_serving._retention import KEPT_S_BOUNDS, NEVER_S, PartRetention

LETTER = Demand("c-1", "drafting", "coop", 0.6, "part", 13_300, 3_700, 50)
READ_RATE = 70_000.0


def learn(retention, kept_s, calls, seed=1):
    """Report calls to parts of random ages on engines that keep parts for `kept_s`."""
    source = random.Random(seed)
    for _ in range(calls):
        age_s = source.expovariate(1 / 8.0)
        hit = age_s < kept_s
        if source.random() < 0.05:  # a queue was misjudged
            hit = not hit
        retention.note(age_s, hit=hit)


class TestRetention:
    @pytest.mark.parametrize("kept_s", [5.0, 12.0, 30.0])
    def test_learns_for_how_long_engines_keep_parts(self, kept_s):
        retention = PartRetention()
        learn(retention, kept_s, 4_000)
        assert 0.7 * kept_s < retention.kept_s < 1.5 * kept_s

    def test_stays_within_its_bounds(self):
        for hit in (False, True):
            retention = PartRetention()
            for _ in range(500):
                retention.note(retention.kept_s, hit=hit)
            assert retention.kept_s in KEPT_S_BOUNDS

    def test_parts_without_a_record_are_learned_by_themselves(self):
        retention = PartRetention()
        assert retention.unrecorded_kept
        for _ in range(20):
            retention.note(NEVER_S, hit=False)
        assert not retention.unrecorded_kept
        assert retention.kept_s == PartRetention().kept_s
        for _ in range(20):
            retention.note(NEVER_S, hit=True)
        assert retention.unrecorded_kept


class TestColdStart:
    def send_letters(self, dispatcher, count, first_s):
        """Place letters with parts that nobody asked for, one at a time."""
        tokens = []
        for number in range(count):
            now = 100.0 + number
            demand = evolve(LETTER, part=f"part-{number}")
            placement = dispatcher.place(demand, now)
            assert isinstance(placement, Placement)
            tokens.append(placement.choice.tokens)
            ticket = dispatcher.send(demand, placement, now)
            dispatcher.begin(ticket, now + first_s)
            dispatcher.end(ticket, None, now + first_s + 0.1)
        return tokens

    def test_an_engine_that_has_just_started_has_no_parts(self):
        """All engines start with a deployment, and each part is read once. Counted as
        cached, a letter seemed to take a quarter of its time, engines got four times
        what they could read, and first tokens came late for seconds.
        """
        dispatcher = make_dispatcher("a")
        whole = LETTER.shared_tokens + LETTER.own_tokens
        tokens = self.send_letters(dispatcher, 20, 0.04 + whole / READ_RATE)
        assert tokens[-1] == whole

    def test_engines_keep_their_parts_while_routers_restart(self):
        """All routers restart and remember nothing, but the engines have their parts.
        Counted as missing, calls would be refused beside engines with room.
        """
        dispatcher = make_dispatcher("a")
        first_s = 0.04 + LETTER.own_tokens / READ_RATE
        tokens = self.send_letters(dispatcher, 20, first_s)
        assert tokens[-1] == LETTER.own_tokens
