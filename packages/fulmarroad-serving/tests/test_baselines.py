"""Simple ways to place prompts, chosen by a setting."""

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


class TestNames:
    def test_an_unknown_name_says_which_there_are(self):
        with pytest.raises(ConfigurationError) as caught:
            placement_named("best")
        assert all(name in caught.value.hint for name in PLACEMENTS)

    @pytest.mark.parametrize("name", PLACEMENTS)
    def test_each_says_that_there_is_no_server(self, name):
        choose = placement_named(name)
        assert choose(PROMPT, [], PartMemory(), "fes", 10.0) is None


class TestLeastLoaded:
    def test_the_least_busy_engine_is_taken_wherever_the_part_is(self):
        memory = PartMemory()
        memory.note(PART, "s-1", 9.0)
        choice = place("least_loaded", {"s-1": 0.01, "s-3": 0.01}, memory=memory)
        assert (choice.server, choice.cached) == ("s-2", False)
        assert choice.tokens == 10_000

    def test_what_happens_to_be_cached_there_is_counted(self):
        memory = PartMemory()
        memory.note(PART, "s-2", 9.0)
        choice = place("least_loaded", {"s-1": 0.01, "s-3": 0.01}, memory=memory)
        assert (choice.cached, choice.tokens) == (True, 1_000)


class TestPrefixOnly:
    def test_the_home_is_taken_however_busy_it_is(self):
        home = home_order(PART, SERVERS)[0]
        choice = place("prefix_only", {home: 3.0})
        assert (choice.server, choice.wait_s, choice.cached) == (home, 3.0, True)

    def test_a_home_that_has_just_started_reads_the_part(self):
        assert not place("prefix_only", {}, age_s=0.5).cached
