"""Tests of the choice of a server for a call."""

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
    def test_home_servers_of_parts_are_evenly_distributed(self):
        homes = Counter(choose(n + 1, {}).server for n in range(500))
        assert set(homes) == set(SERVERS)
        assert max(homes.values()) < 2 * min(homes.values())

    def test_losing_a_server_moves_only_its_own_parts(self):
        for n in range(100):
            first, second = home_order(n + 1, SERVERS)[:2]
            rest = [server for server in SERVERS if server != first]
            assert home_order(n + 1, rest)[0] == second

    def test_prefers_a_short_wait_at_home_to_reading_again(self):
        home = home_order(PART, SERVERS)[0]
        assert choose(PART, {home: 0.1}).server == home

    def test_a_popular_part_spreads_to_a_second_server(self):
        """One part gets a fifth of all calls. If they all went to its home server, they
        would queue there while four engines idle.
        """
        home = home_order(PART, SERVERS)[0]
        choice = choose(PART, {home: 0.5}, rate=120_000.0)
        assert choice.server != home
        assert not choice.cached
        assert choice.tokens == 16_700

    def test_second_server_counts_as_cached_after_it_was_sent_the_part(self):
        home, second = home_order(PART, SERVERS)[:2]
        memory = PartMemory()
        memory.note(PART, second, 99.0)
        choice = choose(PART, {home: 0.1}, memory)
        assert (choice.server, choice.cached, choice.tokens) == (second, True, 3_700)

    def test_workspace_above_its_share_stays_at_the_cached_part(self):
        """A workspace far above its share uses one part. If its calls spread over all
        engines, each would make another engine read the part while small workspaces
        wait there.
        """
        home = home_order(PART, SERVERS)[0]
        rows = [candidate(name, 0.9 * (name == home)) for name in SERVERS]
        prompt = Prompt(PART, 13_000, 3_700, 0.4)
        choice = choose_engine(
            prompt, rows, PartMemory(), "fes", 100.0, may_read_again=False
        )
        assert choice.server == home

    def test_prompt_late_everywhere_goes_to_the_earliest_start(self):
        """A prompt is too long to begin on time, and its home is busy for over a second
        longer than the other servers, so waiting there has no benefit. For a wait of up
        to three times the reading time it stays, since reading delays other prompts.
        """
        home = home_order(PART, SERVERS)[0]
        assert choose(PART, {home: 1.1}, rate=40_000.0).server != home
        assert choose(PART, {home: 0.8}, rate=40_000.0).server == home

    def test_parts_stay_on_their_engines_under_overload(self):
        """Every engine has a queue, and the home of a part a slightly longer one. If
        another engine also read the part, its queue would grow, its own prompts would
        move to the next engine, and soon every engine would read every part.
        """
        home = home_order(PART, SERVERS)[0]
        waits = dict.fromkeys(SERVERS, SPREAD_WAIT_S + 0.01) | {home: 0.35}
        assert choose(PART, waits).server == home
        waits = dict.fromkeys(SERVERS, SPREAD_WAIT_S) | {home: 0.35}
        assert choose(PART, waits).server != home

    def test_every_router_spreads_a_part_to_the_same_second_server(self):
        """The home of a popular part has a long queue, and each router sees slightly
        different waits at the others. If each chose the shortest one, every router
        would make a different engine read the part.
        """
        home, second = home_order(PART, SERVERS)[:2]
        for favoured in SERVERS:
            waits = dict.fromkeys(SERVERS, 0.03) | {favoured: 0.01, home: 0.5}
            assert choose(PART, waits).server == second

    def test_a_sent_part_is_reported_to_peers_once(self):
        memory = PartMemory()
        memory.send(PART, "s-1", 0.0)
        memory.send(PART, "s-1", 0.1)
        assert memory.pop_updates(10) == ((PART, "s-1"),)
        assert memory.pop_updates(10) == ()
        memory.send(PART, "s-1", 8.0)
        assert memory.pop_updates(10) == ((PART, "s-1"),)

    def test_new_home_server_does_not_count_as_cached(self):
        assert not choose(PART, {}, age_s=0.5).cached


class TestFetching:
    """Tests of engines that fetch parts, mostly at half a million tokens a second."""

    def test_does_not_fetch_for_a_slightly_shorter_wait_under_overload(self):
        """Every engine has a queue, and a fetch takes a fiftieth of a second. A prompt
        that fetches its part to an engine with a slightly shorter queue evicts other
        parts there, which are then fetched back: engines transfer several times the
        tokens that callers send, and read evicted parts again.
        """
        home, second = home_order(PART, SERVERS)[:2]
        waits = dict.fromkeys(SERVERS, 0.36) | {home: 0.45}
        assert choose(PART, waits, fetch_rate=600_000.0).server == home

    def test_fetches_a_part_to_an_engine_with_a_much_shorter_wait(self):
        home, second = home_order(PART, SERVERS)[:2]
        waits = dict.fromkeys(SERVERS, 0.9) | {home: 0.8, second: 0.3}
        assert choose(PART, waits, fetch_rate=600_000.0).server == second

    def test_fetches_a_spreading_part_instead_of_reading_it(self):
        """The home of a popular part has a long queue. The next engine would read
        13,000 tokens that the home has cached, and delay all its prompts by a seventh
        of a second.
        """
        home = home_order(PART, SERVERS)[0]
        choice = choose(PART, {home: 0.5}, rate=120_000.0, fetch_rate=500_000.0)
        assert choice.server != home
        assert (choice.cached, choice.source, choice.tokens) == (False, home, 3_700)
        read = choose(PART, {home: 0.5}, rate=120_000.0)
        assert choice.read_s < 0.6 * read.read_s

    def test_names_a_source_for_a_cached_part_that_may_be_evicted(self):
        """With many long answers running, an engine evicts a part within seconds, but
        routers still consider it cached. Without a source it would be read again.
        """
        home, second = home_order(PART, SERVERS)[:2]
        memory = PartMemory()
        memory.note(PART, second, 95.0)
        choice = choose(PART, {second: 0.1}, memory, fetch_rate=500_000.0)
        assert (choice.server, choice.cached, choice.source) == (home, True, second)

    def test_most_recent_holder_of_a_part_is_its_source(self):
        home, second, third = home_order(PART, SERVERS)[:3]
        memory = PartMemory()
        memory.note(PART, second, 97.0)
        memory.note(PART, third, 98.0)
        waits = {second: 0.1, third: 0.1}
        assert choose(PART, waits, memory, fetch_rate=5e5).source == third

    def test_failing_engine_is_not_a_source(self):
        """An engine has stopped answering. A call at a healthy engine that first
        fetches a part from it would not be answered either.
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

    def test_reads_parts_when_the_link_is_slower_than_reading(self):
        """Engines read a part faster than their link transfers it, so a prompt would
        begin later with a fetch than without.
        """
        home, second = home_order(PART, SERVERS)[:2]
        slow = {"rate": 120_000.0, "fetch_rate": 60_000.0}
        choice = choose(PART, {home: 0.5}, **slow)
        assert (choice.tokens, choice.source) == (16_700, "")
        memory = PartMemory()
        memory.note(PART, second, 99.0)
        assert choose(PART, {second: 0.1}, memory, **slow).source == ""

    def test_names_no_source_without_a_link(self):
        memory = PartMemory()
        memory.note(PART, home_order(PART, SERVERS)[1], 99.0)
        assert choose(PART, {}, memory).source == ""


class TestHealth:
    def test_avoids_a_server_that_fails_many_calls(self):
        """A server that fails some of its calls quickly looks idle. Balancing by load
        alone would send it more calls than the others.
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

    def test_backoff_of_an_unreachable_server_grows_to_its_limit(self):
        health, now, backoffs = ServerHealth(), 0.0, []
        for _ in range(6):
            health.unreachable(now)
            backoffs.append(health.backoff_until - now)
            now = health.backoff_until
        assert backoffs == sorted(backoffs)
        assert backoffs[0] < 0.5
        assert backoffs[-1] == 4.0
        health.record_success(now)
        assert not health.in_backoff(now)
