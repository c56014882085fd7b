"""Tests of max-min shares by workspace."""

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
    def test_small_demand_is_granted_in_full(self):
        assert max_min_level({"small": 10, "large": 500, "larger": 900}, 310) == 150

    def test_level_is_infinite_when_the_whole_demand_fits(self):
        assert max_min_level({"a": 10, "b": 20}, 30) == float("inf")

    @settings(derandomize=True, deadline=None)
    @given(st.lists(st.floats(1, 1e6), min_size=1, max_size=20), st.floats(1, 1e6))
    def test_shares_use_exactly_the_capacity(self, asked, capacity):
        level = max_min_level(dict(enumerate(asked)), capacity)
        granted = sum(min(value, level) for value in asked)
        assert granted == pytest.approx(min(capacity, sum(asked)))


class TestOverload:
    def test_workspace_above_its_share_may_wait_less_than_others(self):
        """One workspace asks for eight times its usual demand through every router.
        First come first served would give it most of the capacity and refuse calls of
        the small workspaces.
        """
        book, now = ShareBook(), 10.0
        for workspace, units in (("flood", 8_000), ("small", 400), ("other", 900)):
            book.note_asked(workspace, units, now)
        book.note_got("flood", 4_000, now)
        book.note_got("small", 300, now)
        large = book.use_of("flood", 100, now).wait_fraction
        small = book.use_of("small", 100, now).wait_fraction
        assert large < 0.6 < small

    def test_shares_do_not_shrink_to_nothing_after_a_restart(self):
        """All routers restart at once under load. Hardly anything was granted yet, so
        each workspace would be far above its share of that, every call would be
        refused, and the granted service would stay close to zero.
        """
        book, now = ShareBook(units_per_s=1_000.0), 10.0
        for workspace in ("a", "b", "c"):
            book.note_asked(workspace, 6_000, now)
            book.note_got(workspace, 100, now)
        for workspace in ("a", "b", "c"):
            assert book.use_of(workspace, 100, now).wait_fraction == 1.0

    def test_largest_workspace_yields_to_an_underserved_one(self):
        """Engines' queues grow and shrink quickly. A workspace with ten times as many
        calls as another finds ten times as many short queues, and gets most of the
        capacity although its calls may wait less.
        """
        book, now = ShareBook(), 10.0
        for workspace, asked, got in (("often", 9_000, 1_800), ("seldom", 1_500, 600)):
            book.note_asked(workspace, asked, now)
            book.note_got(workspace, got, now)
        assert book.use_of("often", 100, now).idle_engines_only
        assert not book.use_of("seldom", 100, now).idle_engines_only

    def test_underserved_workspace_may_spread_to_any_engine(self):
        """A workspace above its share is restricted to engines that have its parts
        cached. Its large prompts would be refused there, while the best served
        workspace finds idle engines.
        """
        book, now = ShareBook(), 10.0
        for workspace, asked, got in (("often", 9_000, 1_800), ("seldom", 1_500, 600)):
            book.note_asked(workspace, asked, now)
            book.note_got(workspace, got, now)
        seldom = book.use_of("seldom", 700, now)
        assert seldom.used_fraction > 1.0
        assert seldom.may_spread
        assert not book.use_of("often", 100, now).may_spread

    def test_underserved_workspace_above_its_share_may_wait(self):
        """Two of five engines are left. One workspace asks for eight times its usual
        demand and sometimes finds a short queue by chance. A second one asks for
        slightly more than its share, is refused wherever there is a queue, and gets
        less than half of what the first one gets.
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
        assert book.use_of("often", 10_000, now).idle_engines_only

    def test_no_workspace_yields_while_others_get_their_demand(self):
        book, now = ShareBook(), 10.0
        for workspace, asked, got in (("often", 9_000, 1_800), ("seldom", 600, 500)):
            book.note_asked(workspace, asked, now)
            book.note_got(workspace, got, now)
        assert not book.use_of("often", 100, now).idle_engines_only

    def test_better_served_of_two_large_workspaces_may_wait_less(self):
        """Two workspaces ask for several times the engines' capacity, one for twice as
        much as the other. Unless shares follow the granted service, that one gets most.
        """
        book, now = ShareBook(), 10.0
        for workspace, asked, got in (("most", 9_000, 2_400), ("more", 4_500, 400)):
            book.note_asked(workspace, asked, now)
            book.note_got(workspace, got, now)
        assert book.use_of("most", 100, now).wait_fraction < 0.1
        assert book.use_of("more", 100, now).wait_fraction > 0.9

    def test_surplus_may_wait_less_than_demand_within_a_share(self):
        """The engines provide more than the stated capacity. A workspace that asks for
        far more than its share would use the surplus, and the others would queue behind
        its calls.
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

    def test_share_is_not_limited_to_the_stated_capacity(self):
        """The engines provide five times the stated capacity, since most of each prompt
        is cached. A workspace of medium size was far above an equal share of the stated
        capacity and was refused while engines idled.
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

    def test_workspace_may_wait_in_full_while_the_demand_fits(self):
        book = ShareBook()
        book.note_asked("one", 3_000, 0.0)
        book.note_got("one", 3_000, 0.0)
        assert book.use_of("one", 1_000, 0.0).wait_fraction == 1.0

    def test_even_the_largest_workspace_may_wait_a_little(self):
        assert wait_fraction(100.0) == MIN_WAIT_FRACTION > 0
