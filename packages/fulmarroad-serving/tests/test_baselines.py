"""Tests of the placement strategies that a setting selects."""

import pytest

from fulmarroad.exceptions import ConfigurationError
from fulmarroad_serving import PLACEMENTS, placement_named
from fulmarroad_serving._routing import Candidate, PartMemory, Prompt, home_order

PART = 17
PROMPT = Prompt(PART, 9_000, 1_000, 0.4)
SERVERS = ("s-1", "s-2", "s-3")


def place(name, waits, *, memory=None, age_s=60.0):
    rows = [
        Candidate(server, "fes", age_s, waits.get(server, 0.0), 90_000.0, 0.035)
        for server in SERVERS
    ]
    memory = memory or PartMemory()
    return placement_named(name)(PROMPT, rows, memory, "fes", 10.0)


class TestPlacementNames:
    def test_unknown_name_raises_an_error_that_lists_the_names(self):
        with pytest.raises(ConfigurationError) as raised:
            placement_named("best")
        assert all(name in raised.value.hint for name in PLACEMENTS)

    @pytest.mark.parametrize("name", PLACEMENTS)
    def test_each_strategy_returns_none_without_candidates(self, name):
        choose = placement_named(name)
        assert choose(PROMPT, [], PartMemory(), "fes", 10.0) is None


class TestLeastLoaded:
    def test_chooses_the_shortest_wait_even_where_the_part_is_not_cached(self):
        memory = PartMemory()
        memory.note(PART, "s-1", 9.0)
        choice = place("least_loaded", {"s-1": 0.01, "s-3": 0.01}, memory=memory)
        assert (choice.server, choice.cached) == ("s-2", False)
        assert choice.tokens == 10_000

    def test_counts_a_part_that_is_cached_at_the_chosen_engine(self):
        memory = PartMemory()
        memory.note(PART, "s-2", 9.0)
        choice = place("least_loaded", {"s-1": 0.01, "s-3": 0.01}, memory=memory)
        assert (choice.cached, choice.tokens) == (True, 1_000)


class TestPrefixOnly:
    def test_chooses_the_home_server_however_busy(self):
        home = home_order(PART, SERVERS)[0]
        choice = place("prefix_only", {home: 3.0})
        assert (choice.server, choice.wait_s, choice.cached) == (home, 3.0, True)

    def test_a_new_home_server_does_not_count_as_cached(self):
        assert not place("prefix_only", {}, age_s=0.5).cached
