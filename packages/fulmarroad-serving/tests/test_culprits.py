"""Tests of which suspects explain crashes of servers."""

from fulmarroad_serving._culprits import Accused, find_culprits

BAD, POPULAR, OTHER, COMPANION = (b"bad", b"popular", b"other", b"companion")


def accused(name, *crashes, ran_well=False):
    return Accused(name, frozenset(crashes), ran_well)


class TestFindCulprits:
    def test_two_crashes_make_no_culprit(self):
        assert not find_culprits([accused(BAD, 1, 2)]).names

    def test_what_was_at_some_of_its_crashes_is_none(self):
        """Guard against barring each part that was at three crashes."""
        rows = [accused(OTHER, 1, 2, 4), accused(BAD, 1, 2, 3, 4)]
        culprits = find_culprits(rows)
        assert culprits.names == {BAD}
        assert culprits.explained == {1, 2, 3, 4}

    def test_a_popular_part_that_was_at_more_crashes_is_none(self):
        """Guard against barring a whole route.

        All its requests share a part, and no server was left to show that it is good.
        """
        rows = [accused(POPULAR, 0, 1, 2, 3, 4, ran_well=True), accused(BAD, 1, 2, 3)]
        assert find_culprits(rows).names == {BAD}

    def test_two_at_different_crashes_are_both_found(self):
        rows = [accused(BAD, 1, 2, 3), accused(OTHER, 4, 5, 6)]
        culprits = find_culprits(rows)
        assert culprits.names == {BAD, OTHER}
        assert len(culprits.groups) == 2

    def test_those_at_the_same_crashes_form_a_group(self):
        rows = [accused(BAD, 1, 2, 3), accused(COMPANION, 1, 2, 3)]
        culprits = find_culprits(rows)
        assert set(culprits.group_of(BAD)) == {BAD, COMPANION}

    def test_those_that_ran_well_before_are_alike_at_nearly_the_same_crashes(self):
        """Guard against a part that turned bad and hides behind popular ones.

        Where all servers crash at once, these were at as many crashes.
        """
        rows = [
            accused(BAD, 1, 2, 3, 4, 5, ran_well=True),
            accused(POPULAR, 0, 1, 2, 3, 4, 5, ran_well=True),
            accused(OTHER, 1, 2, 3, ran_well=True),
        ]
        culprits = find_culprits(rows)
        assert set(culprits.group_of(BAD)) == {BAD, POPULAR}
        assert OTHER not in culprits

    def test_the_order_of_suspects_makes_no_difference(self):
        """Guard against routers that bar different suspects by the same evidence."""
        rows = [accused(BAD, 1, 2, 3), accused(OTHER, 3, 4, 5, 6)]
        assert find_culprits(rows).names == find_culprits(rows[::-1]).names
