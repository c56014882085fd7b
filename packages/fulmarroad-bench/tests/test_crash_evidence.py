"""Tests of the model that compares forms of evidence on crashing parts."""

import pytest

from fulmarroad_bench.crash_evidence import compare


class TestForms:
    def test_counting_whole_requests_never_stops(self):
        assert compare("part in the middle", "whole requests", 1).crashes > 20

    @pytest.mark.parametrize("situation", ["part in the middle", "part first"])
    def test_the_form_of_the_routers_stops_within_five_crashes(self, situation):
        row = compare(situation, "explained", 1)
        assert row.crashes <= 5
        assert row.sound_held_back_per_1000 < 5

    def test_it_holds_little_back_while_servers_end_by_themselves(self):
        """Guard against barring sound parts as servers crash for other reasons."""
        row = compare("no crashing part, servers end each 0.4 s", "explained", 1)
        assert row.sound_held_back_per_1000 < 5

    def test_a_part_that_turns_bad_needs_more_where_good_runs_excuse_crashes(self):
        plain = compare("turns bad", "count of three", 1)
        explained = compare("turns bad", "explained", 1)
        assert explained.crashes < plain.crashes / 2
