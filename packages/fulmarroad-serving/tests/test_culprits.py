"""Tests of which suspects explain crashes of servers."""

from fulmarroad_serving._culprits import CERTAIN_CRASHES, Accused
from fulmarroad_serving._culprits import find_culprits as find_culprits_at

BAD, POPULAR, OTHER, COMPANION = (b"bad", b"popular", b"other", b"companion")


def accused(name, *crashes, ran_well=False):
    return Accused(name, frozenset(crashes), ran_well)


def find_culprits(rows, others=()):
    """Find the culprits; `others` are crashes at which none of the rows was."""
    crashes = {end for row in rows for end in row.crashes}.union(others)
    return find_culprits_at(rows, {end: float(end) for end in crashes})


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
        assert culprits.group_of(BAD) == (BAD,)

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

    def test_of_two_that_explain_as_many_the_one_that_did_so_first_is_found(self):
        """Guard against a sound request that replaces the one it ran beside.

        It was at two of its crashes, and at one more that had another cause.
        """
        rows = [accused(OTHER, 1, 2, 4), accused(b"z", 1, 2, 3)]
        assert find_culprits(rows).names == {b"z"}

    def test_the_order_of_suspects_makes_no_difference(self):
        """Guard against routers that bar different suspects by the same evidence."""
        rows = [accused(BAD, 1, 2, 3), accused(OTHER, 3, 4, 5, 6)]
        assert find_culprits(rows).names == find_culprits(rows[::-1]).names

    def test_three_of_many_crashes_are_chance(self):
        """Guard against barring sound parts while servers crash for other reasons."""
        rows = [accused(OTHER, 1, 5, 9)]
        assert find_culprits(rows).names == {OTHER}
        assert not find_culprits(rows, others=range(1, 10)).names

    def test_many_crashes_are_none(self):
        """Guard against two bad parts that hide behind each other's crashes."""
        rows = [accused(BAD, *range(0, 10 * CERTAIN_CRASHES, 10))]
        assert find_culprits(rows, others=range(100)).names == {BAD}

    def test_crashes_that_another_one_explains_are_not_counted(self):
        rows = [accused(BAD, *range(0, 20, 2)), accused(OTHER, 1, 7, 13)]
        assert find_culprits(rows).names == {BAD, OTHER}
