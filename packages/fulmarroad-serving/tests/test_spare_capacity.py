"""Tests of the rooms of owners, and of the choice of a second owner by them."""

import random
from collections import Counter

from hypothesis import given, settings
from hypothesis import strategies as st
from spill_fleet import REFUSING, SPILLING, SpillFleet, numbered, simulate

from fulmarroad_serving import Demand
from fulmarroad_serving._owner_messages import PlacementRequest, ReplyKind
from fulmarroad_serving.placement import (
    BEGIN_WITHIN_S,
    SpareCapacity,
    SpillCounts,
    SpillOutcome,
    engine_room,
    most_asked,
)
from fulmarroad_serving.placement._spillover import IN_FLIGHT_S, ROOM_MAX_AGE_S

CALL = Demand("c", "drafting", "coop", 0.6, "hot", 6_000, 2_000, 50)
NAMES = [f"o{n}" for n in range(14)]


class TestRoom:
    def test_room_is_what_an_engine_begins_soon(self):
        assert engine_room(0.0, 40_000.0, is_full=False) == 6_000
        assert engine_room(0.1, 40_000.0, is_full=False) == 2_000
        assert engine_room(BEGIN_WITHIN_S, 40_000.0, is_full=False) == 0
        assert engine_room(0.0, 40_000.0, is_full=True) == 0

    def test_an_owner_states_the_room_of_its_engines(self):
        fleet = SpillFleet()
        before = fleet.room("o0")
        fleet.fill("o0")
        assert before > 0 == fleet.room("o0")
        assert fleet.room("o1") > 0

    def test_no_room_is_stated_where_the_feature_is_off(self):
        assert SpillFleet(features=REFUSING).room("o0") == 0


class TestSpareCapacity:
    def test_an_old_room_does_not_count(self):
        """Guard against calls for an owner whose reports are lost."""
        rooms = SpareCapacity()
        rooms.note("o1", 9_000, 100.0)
        assert rooms.room("o1", 100.0 + ROOM_MAX_AGE_S) == 0
        assert rooms.rows(100.0 + ROOM_MAX_AGE_S) == []

    def test_a_late_report_does_not_replace_a_newer_one(self):
        """Guard against a report that was delayed on its way through a collector."""
        rooms = SpareCapacity()
        rooms.note("o1", 9_000, 100.0)
        rooms.note("o1", 50_000, 99.9)
        assert rooms.room("o1", 100.1) == 9_000

    def test_calls_sent_since_a_report_reduce_the_room(self):
        rooms = SpareCapacity()
        rooms.note("o1", 9_000, 100.0)
        rooms.note_sent("o1", 8_000, 100.05)
        assert rooms.room("o1", 100.1) == 1_000
        rooms.note("o1", 9_000, 100.05 + IN_FLIGHT_S / 2)
        assert rooms.room("o1", 100.1) == 1_000
        rooms.note("o1", 4_000, 100.1)
        assert rooms.room("o1", 100.1) == 4_000

    def test_only_an_owner_with_enough_room_is_chosen(self):
        rooms = SpareCapacity()
        rooms.note("o1", 9_000, 100.0)
        rooms.note("o2", 3_000, 100.0)
        source = random.Random(1)
        assert rooms.choose(NAMES, 5_000, source, 100.1) == "o1"
        assert rooms.choose(NAMES, 9_001, source, 100.1) is None
        assert rooms.choose(["o2"], 5_000, source, 100.1) is None

    @given(
        st.lists(
            st.tuples(
                st.sampled_from(["room", "sent", "pass"]),
                st.sampled_from(["o1", "o2", "o3"]),
                st.integers(-5_000, 80_000),
                st.floats(0.0, 0.7),
            ),
            max_size=60,
        )
    )
    @settings(max_examples=200, deadline=None)
    def test_no_series_makes_more_room_than_was_reported(self, series):
        """Guard against rooms that are lost, late, negative or in a wrong order, after
        which a router would count on capacity that no owner stated.
        """
        rooms, now, newest = SpareCapacity(), 100.0, {}
        for kind, owner, tokens, seconds in series:
            if kind == "room":
                rooms.note(owner, tokens, now - seconds)
                if now - seconds >= newest.get(owner, (0, 0.0))[1]:
                    newest[owner] = (max(0, tokens), now - seconds)
            elif kind == "sent":
                rooms.note_sent(owner, abs(tokens), now)
            else:
                now += seconds
            for name in ("o1", "o2", "o3"):
                stated, at = newest.get(name, (0, 0.0))
                limit = stated if now - at < ROOM_MAX_AGE_S else 0
                assert 0 <= rooms.room(name, now) <= limit
            chosen = rooms.choose(["o1", "o2"], 1_000, random.Random(1), now)
            assert chosen is None or rooms.room(chosen, now) >= 1_000


class TestManyRouters:
    def test_routers_with_the_same_report_spread_their_calls(self):
        """Guard against refused calls of sixty routers that all go to the owner with
        most room in the report that all of them heard.
        """
        asked = Counter()
        for number in range(60):
            rooms = SpareCapacity()
            for order, name in enumerate(NAMES):
                rooms.note(name, 30_000 + 100 * order, 100.0)
            source = random.Random(number)
            asked[rooms.choose(NAMES, 8_000, source, 100.1)] += 1
        assert len(asked) >= 10
        assert max(asked.values()) <= 15

    def test_one_router_does_not_send_more_than_the_room(self):
        rooms = SpareCapacity()
        rooms.note("o1", 30_000, 100.0)
        source = random.Random(1)
        sent = 0
        while rooms.choose(NAMES, 8_000, source, 100.1) is not None:
            rooms.note_sent("o1", 8_000, 100.1)
            sent += 1
        assert sent == 3

    def test_sixty_routers_do_not_overfill_one_owner(self):
        """Guard against late answers: sixty routers heard that one owner has room, and
        each sends it a call. It decides by its own state.
        """
        fleet = SpillFleet()
        granter = fleet.members["o0"].granter
        replies = []
        for number in range(60):
            demand = numbered(CALL, number, part=f"p{number}", objective_s=0.4)
            request = PlacementRequest(f"r{number}", 1, number, demand, may_wait=False)
            replies.append(granter.receive_request(request, fleet.now).reply)
        granted = [row for row in replies if row.kind is ReplyKind.GRANTED]
        assert 5 <= len(granted) < 60
        assert all(row.wait_s + row.read_s <= 0.4 for row in granted)
        assert replies[-1].room == 0


def day_with_hot_part():
    """Return calls of 5 s; in the first 3 s a quarter of them are for one part."""
    source = random.Random(7)
    calls = []
    for number in range(2_100):
        at = 100.0 + number / 420.0
        hot = source.random() < (0.25 if at < 103.0 else 0.04)
        part = "hot" if hot else f"p{source.randrange(40)}"
        workspace = f"w{source.randrange(20)}"
        calls.append((at, numbered(CALL, number, part=part, workspace=workspace)))
    return calls


class TestHotPart:
    def test_a_hot_part_gets_more_engines_and_gives_them_back(self):
        """Guard against refusals at the owner of a part with a quarter of all calls,
        while engines of other owners have capacity.
        """
        calls = day_with_hot_part()
        alone = simulate(SpillFleet(4, 20, REFUSING), calls, "hot")
        fleet = SpillFleet(4, 20, SPILLING)
        spilled = simulate(fleet, calls, "hot")
        assert spilled.refused < alone.refused / 2
        owned = len(fleet.members["o0"].owners.owned("drafting").rows)
        during = spilled.engines_between(101.0, 103.0)
        after = spilled.engines_between(104.0, 105.0)
        assert len(during) > owned >= len(after)


class TestCounts:
    def test_counts_are_told_each_second_by_owner(self):
        counts = SpillCounts()
        counts.note("o1", SpillOutcome.GRANTED)
        counts.note("o1", SpillOutcome.REFUSED)
        counts.note("o2", SpillOutcome.NO_ANSWER)
        rows = counts.pop(100.0)
        assert most_asked(rows) == {
            "o1": {"granted": 1, "refused": 1},
            "o2": {"no_answer": 1},
        }
        counts.note("o1", SpillOutcome.GRANTED)
        assert counts.pop(100.5) == {}
        assert counts.pop(101.0) == {"o1": {SpillOutcome.GRANTED: 1}}
