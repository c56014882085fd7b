"""Which server a call goes to."""

import random
from collections import Counter

from fulmarroad_serving._engine_time import SPREAD_WAIT_S
from fulmarroad_serving._health import ServerHealth
from fulmarroad_serving._routing import (
    Candidate,
    PartMemory,
    Prompt,
    choose_engine,
    choose_plain,
    home_order,
    part_id,
)

PART = part_id("5c1e,91bd")
SERVERS = [f"s-{n}" for n in range(5)]


def candidate(
    server, wait_s=0.0, *, rate=90_000.0, penalty_s=0.0, age_s=60.0, fetch_rate=0.0
):
    return Candidate(server, "fes", age_s, wait_s, rate, 0.035, penalty_s, fetch_rate)


def choose(part, waits, memory=None, **changes):
    rows = [candidate(server, waits.get(server, 0.0), **changes) for server in SERVERS]
    memory = memory or PartMemory()
    prompt = Prompt(part, 13_000, 3_700, 0.4)
    return choose_engine(prompt, rows, memory, "fes", 100.0)


class TestSharedParts:
    def test_routers_agree_on_the_home_of_a_part(self):
        homes = Counter(choose(n + 1, {}).server for n in range(500))
        assert set(homes) == set(SERVERS)
        assert max(homes.values()) < 2 * min(homes.values())

    def test_a_lost_server_moves_only_its_own_parts(self):
        for n in range(100):
            first, second = home_order(n + 1, SERVERS)[:2]
            rest = [server for server in SERVERS if server != first]
            assert home_order(n + 1, rest)[0] == second

    def test_a_short_wait_at_home_is_cheaper_than_reading_again(self):
        home = home_order(PART, SERVERS)[0]
        assert choose(PART, {home: 0.1}).server == home

    def test_a_popular_part_spreads_to_a_second_server(self):
        """One part gets a fifth of all calls. Kept at its home, every one of them would
        wait behind the others while four engines idle.
        """
        home = home_order(PART, SERVERS)[0]
        away = choose(PART, {home: 0.5}, rate=120_000.0)
        assert away.server != home
        assert not away.cached
        assert away.tokens == 16_700

    def test_the_second_server_is_counted_on_once_it_was_sent_the_part(self):
        home, second = home_order(PART, SERVERS)[:2]
        memory = PartMemory()
        memory.note(PART, second, 99.0)
        choice = choose(PART, {home: 0.1}, memory)
        assert (choice.server, choice.cached, choice.tokens) == (second, True, 3_700)

    def test_a_workspace_above_its_share_stays_where_its_part_is(self):
        """A flooding workspace uses one part. Spread over all engines, each call would
        make another engine read the part while small workspaces wait there.
        """
        home = home_order(PART, SERVERS)[0]
        rows = [candidate(name, 0.9 * (name == home)) for name in SERVERS]
        prompt = Prompt(PART, 13_000, 3_700, 0.4)
        choice = choose_engine(
            prompt, rows, PartMemory(), "fes", 100.0, may_read_again=False
        )
        assert choice.server == home

    def test_a_prompt_late_everywhere_goes_where_it_begins_soonest(self):
        """A prompt is too long to come on time. Its home is busy for over a second more
        than the others; waiting there would help nobody. Up to three times of what the
        reading takes it stays, since that time would be taken from other prompts.
        """
        home = home_order(PART, SERVERS)[0]
        assert choose(PART, {home: 1.1}, rate=40_000.0).server != home
        assert choose(PART, {home: 0.8}, rate=40_000.0).server == home

    def test_in_overload_parts_stay_where_they_are(self):
        """Every engine is behind, a part's home somewhat more. If another one read the
        part as well, it would fall behind further, its own prompts would move on to the
        next, and soon every engine would read every part.
        """
        home = home_order(PART, SERVERS)[0]
        waits = dict.fromkeys(SERVERS, SPREAD_WAIT_S + 0.01) | {home: 0.35}
        assert choose(PART, waits).server == home
        waits = dict.fromkeys(SERVERS, SPREAD_WAIT_S) | {home: 0.35}
        assert choose(PART, waits).server != home

    def test_a_part_spreads_to_the_same_second_server_from_every_router(self):
        """A popular part's home is behind. Each router sees slightly different waits at
        the others; by the shortest, every one would make another engine read the part.
        """
        home, second = home_order(PART, SERVERS)[:2]
        for favoured in SERVERS:
            waits = dict.fromkeys(SERVERS, 0.03) | {favoured: 0.01, home: 0.5}
            assert choose(PART, waits).server == second

    def test_routers_tell_each_other_what_they_sent_once(self):
        memory = PartMemory()
        memory.send(PART, "s-1", 0.0)
        memory.send(PART, "s-1", 0.1)
        assert memory.pop_updates(10) == ((PART, "s-1"),)
        assert memory.pop_updates(10) == ()
        memory.send(PART, "s-1", 8.0)
        assert memory.pop_updates(10) == ((PART, "s-1"),)

    def test_a_new_server_does_not_have_its_parts_yet(self):
        assert not choose(PART, {}, age_s=0.5).cached


class TestFetching:
    """Engines linked at half a million tokens a second."""

    def test_copies_do_not_push_each_other_out_in_overload(self):
        """Every engine is behind, and a fetch takes a fiftieth of a second. Each prompt
        that fetches its part to an engine a little less behind takes the memory of
        others' parts there, which are then fetched back: engines move several times
        what callers send, and read again what was pushed out.
        """
        home, second = home_order(PART, SERVERS)[:2]
        waits = dict.fromkeys(SERVERS, 0.36) | {home: 0.45}
        assert choose(PART, waits, fetch_rate=600_000.0).server == home

    def test_a_part_is_fetched_to_an_engine_that_is_far_less_behind(self):
        home, second = home_order(PART, SERVERS)[:2]
        waits = dict.fromkeys(SERVERS, 0.9) | {home: 0.8, second: 0.3}
        assert choose(PART, waits, fetch_rate=600_000.0).server == second

    def test_a_part_that_spreads_is_fetched_and_not_read_again(self):
        """A popular part's home is behind. The next engine would read 13,000 tokens
        that its neighbour keeps, and everybody there would wait a seventh of a second.
        """
        home = home_order(PART, SERVERS)[0]
        away = choose(PART, {home: 0.5}, rate=120_000.0, fetch_rate=500_000.0)
        assert away.server != home
        assert (away.cached, away.source, away.tokens) == (False, home, 3_700)
        read = choose(PART, {home: 0.5}, rate=120_000.0)
        assert away.read_s < 0.6 * read.read_s

    def test_a_part_that_an_engine_may_have_dropped_has_a_second_source(self):
        """Many long answers run, and an engine drops a part within seconds. Routers
        still take it for cached; without a source it is read anew.
        """
        home, second = home_order(PART, SERVERS)[:2]
        memory = PartMemory()
        memory.note(PART, second, 95.0)
        choice = choose(PART, {second: 0.1}, memory, fetch_rate=500_000.0)
        assert (choice.server, choice.cached, choice.source) == (home, True, second)

    def test_the_engine_that_was_sent_the_part_last_is_the_source(self):
        home, second, third = home_order(PART, SERVERS)[:3]
        memory = PartMemory()
        memory.note(PART, second, 97.0)
        memory.note(PART, third, 98.0)
        waits = {second: 0.1, third: 0.1}
        assert choose(PART, waits, memory, fetch_rate=5e5).source == third

    def test_an_engine_in_doubt_is_no_source(self):
        """An engine has stopped answering. A call that first fetches from it waits for
        it as well, at an engine that is sound.
        """
        home = home_order(PART, SERVERS)[0]
        rows = [
            candidate(name, penalty_s=1.0 * (name == home), fetch_rate=5e5)
            for name in SERVERS
        ]
        prompt = Prompt(PART, 13_000, 3_700, 0.4)
        choice = choose_engine(prompt, rows, PartMemory(), "fes", 100.0)
        assert choice.server != home
        assert choice.source == ""

    def test_over_a_slow_link_parts_are_read(self):
        """Engines read faster than their link carries a part. One that fetched would
        begin a prompt later than one that reads it.
        """
        home, second = home_order(PART, SERVERS)[:2]
        slow = {"rate": 120_000.0, "fetch_rate": 60_000.0}
        away = choose(PART, {home: 0.5}, **slow)
        assert (away.tokens, away.source) == (16_700, "")
        memory = PartMemory()
        memory.note(PART, second, 99.0)
        assert choose(PART, {second: 0.1}, memory, **slow).source == ""

    def test_engines_without_a_link_name_no_source(self):
        memory = PartMemory()
        memory.note(PART, home_order(PART, SERVERS)[1], 99.0)
        assert choose(PART, {}, memory).source == ""


class TestTrust:
    def test_a_server_that_fails_half_gets_less(self):
        """A server fails part of its calls quickly and so looks idle. Balancing by load
        alone would send it more than the others.
        """
        health = ServerHealth()
        for outcome in (
            health.record_failure,
            health.record_success,
            health.record_failure,
            health.record_failure,
        ):
            outcome(1.0)
        rows = [
            candidate("s-0", penalty_s=health.penalty_s(1.0)),
            candidate("s-1", 0.05),
        ]
        picked = choose_plain(rows, "fes", random.Random(1))
        assert picked.server == "s-1"

    def test_a_server_that_cannot_be_reached_is_passed_over_for_a_growing_pause(self):
        health, now, pauses = ServerHealth(), 0.0, []
        for _ in range(6):
            health.unreachable(now)
            pauses.append(health.backoff_until - now)
            now = health.backoff_until
        assert pauses == sorted(pauses)
        assert pauses[0] < 0.5
        assert pauses[-1] == 4.0
        health.record_success(now)
        assert not health.in_backoff(now)
