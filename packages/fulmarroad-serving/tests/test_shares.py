"""Max-min shares by workspace."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from fulmarroad_serving._shares import (
    MIN_WAIT_FRACTION,
    UNDERSERVED_WAIT_FRACTION,
    ShareBook,
    WorkspaceCount,
    max_min_level,
    wait_fraction,
)


class TestLevel:
    def test_who_asks_for_little_keeps_it(self):
        assert max_min_level({"small": 10, "large": 500, "larger": 900}, 310) == 150

    def test_there_is_no_level_where_everything_fits(self):
        assert max_min_level({"a": 10, "b": 20}, 30) == float("inf")

    @settings(derandomize=True, deadline=None)
    @given(st.lists(st.floats(1, 1e6), min_size=1, max_size=20), st.floats(1, 1e6))
    def test_shares_use_up_the_capacity_and_no_more(self, asked, capacity):
        level = max_min_level(dict(enumerate(asked)), capacity)
        given_out = sum(min(value, level) for value in asked)
        assert given_out == pytest.approx(min(capacity, sum(asked)))


class TestFlood:
    def test_a_workspace_that_floods_is_turned_away_before_the_others(self):
        """One workspace asks eight times its usual through every router. First come
        first served would give it most of the capacity and refuse the small ones.
        """
        book, now = ShareBook(), 10.0
        for workspace, units in (("flood", 8_000), ("small", 400), ("other", 900)):
            book.note_asked(workspace, units, now)
        book.note_got("flood", 4_000, now)
        book.note_got("small", 300, now)
        flood = book.use_of("flood", 100, now).wait_fraction
        small = book.use_of("small", 100, now).wait_fraction
        assert flood < 0.6 < small

    def test_shares_do_not_shrink_to_nothing_after_a_restart(self):
        """All routers restart at once under load. Nothing was handed out yet, so each
        workspace is far above an equal share of nothing, everybody is refused, and
        nothing is handed out again.
        """
        book, now = ShareBook(units_per_s=1_000.0), 10.0
        for workspace in ("a", "b", "c"):
            book.note_asked(workspace, 6_000, now)
            book.note_got(workspace, 100, now)
        for workspace in ("a", "b", "c"):
            assert book.use_of(workspace, 100, now).wait_fraction == 1.0

    def test_who_asks_often_leaves_its_place_to_who_lacks_something(self):
        """Engines' queues swing. A workspace that asks ten times as often as another
        meets ten times as many short ones, and gets most although it is granted less.
        """
        book, now = ShareBook(), 10.0
        for workspace, asked, got in (("often", 9_000, 1_800), ("seldom", 1_500, 600)):
            book.note_asked(workspace, asked, now)
            book.note_got(workspace, got, now)
        assert book.use_of("often", 100, now).yields
        assert not book.use_of("seldom", 100, now).yields

    def test_who_lacks_something_may_go_to_any_engine(self):
        """A workspace above its share is tied to engines that have its parts. With
        a large prompt it would be refused there while the best served one finds others
        empty.
        """
        book, now = ShareBook(), 10.0
        for workspace, asked, got in (("often", 9_000, 1_800), ("seldom", 1_500, 600)):
            book.note_asked(workspace, asked, now)
            book.note_got(workspace, got, now)
        seldom = book.use_of("seldom", 700, now)
        assert seldom.used_fraction > 1.0
        assert seldom.may_spread
        assert not book.use_of("often", 100, now).may_spread

    def test_who_lacks_something_may_wait_though_it_is_above_its_share(self):
        """Two of five engines are left. One workspace asks eight times its usual and
        meets a short queue by chance now and then. A second one asks for somewhat more
        than its share, is refused wherever there is a queue, and gets less than half of
        what the first one gets.
        """
        book, now = ShareBook(units_per_s=455_000.0), 10.0
        rows = {"often": (4_900, 800), "seldom": (1_100, 300)}
        rows |= {f"small-{number}": (250, 140) for number in range(5)}
        for workspace, (asked, got) in rows.items():
            book.note_asked(workspace, 1_000.0 * asked, now)
            book.note_got(workspace, 1_000.0 * got, now)
        seldom = book.use_of("seldom", 10_000, now)
        assert seldom.used_fraction > 1.0
        assert seldom.wait_fraction == UNDERSERVED_WAIT_FRACTION
        assert book.use_of("often", 10_000, now).yields

    def test_nobody_leaves_its_place_while_others_have_what_they_ask(self):
        book, now = ShareBook(), 10.0
        for workspace, asked, got in (("often", 9_000, 1_800), ("seldom", 600, 500)):
            book.note_asked(workspace, asked, now)
            book.note_got(workspace, got, now)
        assert not book.use_of("often", 100, now).yields

    def test_two_that_flood_get_the_same(self):
        """Two workspaces ask for several times what the engines give. One asks twice as
        much as the other; without shares of what is really given it gets most.
        """
        book, now = ShareBook(), 10.0
        for workspace, asked, got in (("most", 9_000, 2_400), ("more", 4_500, 400)):
            book.note_asked(workspace, asked, now)
            book.note_got(workspace, got, now)
        assert book.use_of("most", 100, now).wait_fraction < 0.1
        assert book.use_of("more", 100, now).wait_fraction > 0.9

    def test_surplus_waits_less_than_what_is_within_a_share(self):
        """The engines give more than operators promise. A workspace that asks for far
        more than its share takes the surplus, and others wait behind it.
        """
        book, now = ShareBook(units_per_s=500.0), 10.0
        for workspace, asked, got in (("large", 3_000, 1_700), ("small", 600, 300)):
            book.note_asked(workspace, asked, now)
            book.note_got(workspace, got, now)
        large, small = (book.use_of(name, 10, now) for name in ("large", "small"))
        assert not large.may_spread
        assert small.may_spread
        assert large.wait_fraction == MIN_WAIT_FRACTION
        assert small.wait_fraction == 1.0

    def test_a_workspace_within_its_share_is_not_held_to_the_stated_capacity(self):
        """The engines give five times what operators state, since most of each prompt
        is cached. A workspace of middle size is far above an equal share of what is
        stated, and it was refused beside engines that stood idle.
        """
        book, now = ShareBook(units_per_s=500.0), 10.0
        for workspace, asked, got in (
            ("large", 20_000, 7_000),
            ("middle", 3_000, 2_500),
        ):
            book.note_asked(workspace, asked, now)
            book.note_got(workspace, got, now)
        middle = book.use_of("middle", 300, now)
        assert middle.may_spread
        assert middle.wait_fraction == 1.0

    def test_counts_of_other_routers_are_added(self):
        book, now = ShareBook(), 10.0
        book.note_asked("flood", 3_000, now)
        book.note_asked("other", 2_000, now)
        book.note_got("other", 2_000, now)
        book.receive_counts("router-b", {"flood": WorkspaceCount(3_000, 2_500)}, now)
        assert book.use_of("flood", 0, now).used_fraction == pytest.approx(1.0)
        assert book.use_of("flood", 0, now + 60).used_fraction == 0.0

    def test_nobody_is_limited_while_everything_fits(self):
        book = ShareBook()
        book.note_asked("one", 3_000, 0.0)
        book.note_got("one", 3_000, 0.0)
        assert book.use_of("one", 1_000, 0.0).wait_fraction == 1.0

    def test_even_the_largest_may_use_an_idle_engine(self):
        assert wait_fraction(100.0) == MIN_WAIT_FRACTION > 0
