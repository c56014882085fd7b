"""Placement prefers cached prefixes and the own data centre while load stays even."""

from collections import Counter

import pytest

from fulmarroad.capacity import FreeUnit
from fulmarroad.messages import Demand, Heartbeat, ServerStatus
from fulmarroad.placement import PrefixMap, ShardView, choose_shard, choose_unit
from fulmarroad.types import Epoch, ShardId, Unit, Warmth

SHARD = ShardId("drafting", "fes-1", 0)


def demand(prefix=(), avoid=(), cost=100.0):
    return Demand(SHARD, "d1", "coop", 1.0, cost, 0.0, 30.0, prefix, True, avoid)


def free_unit(server, running=0, limit=8, warmth=Warmth.WARM):
    return FreeUnit(Unit(server, running), warmth, running, limit)


class TestPrefixMap:
    def test_matches_only_leading_blocks(self):
        prefixes = PrefixMap()
        prefixes.note("s1", (1, 2, 3), 0.0)
        assert prefixes.matched("s1", (1, 2, 9)) == 2
        assert prefixes.matched("s1", (9, 2, 3)) == 0
        assert prefixes.matched("s2", (1,)) == 0

    def test_drops_the_least_recently_used_blocks(self):
        prefixes = PrefixMap(blocks=4)
        prefixes.note("s1", (1, 2), 0.0)
        prefixes.note("s1", (3, 4), 1.0)
        prefixes.note("s1", (1, 2), 2.0)
        prefixes.note("s1", (5, 6), 3.0)
        assert prefixes.matched("s1", (1, 2)) == 2
        assert prefixes.matched("s1", (3, 4)) == 0

    def test_drops_the_end_of_a_prefix_before_its_beginning(self):
        prefixes = PrefixMap(blocks=3)
        prefixes.note("s1", (1, 2, 3, 4), 0.0)
        assert prefixes.matched("s1", (1, 2, 3, 4)) == 3

    def test_answer_corrects_the_cached_blocks(self):
        # The engine dropped a prefix for lack of memory, and its event came late. The
        # answer reports that nothing was cached; the blocks it computed are cached from
        # now on.
        prefixes = PrefixMap(blocks=100)
        prefixes.note("s1", (1, 2, 3), 0.0)
        prefixes.correct("s1", (1, 2, 7), 0, 1.0)
        assert prefixes.matched("s1", (1, 2, 7)) == 3

    def test_forget_drops_all_blocks_of_a_server(self):
        prefixes = PrefixMap()
        prefixes.note("s1", (1,), 0.0)
        prefixes.forget("s1")
        assert prefixes.matched("s1", (1,)) == 0


class TestChooseUnit:
    def test_chooses_the_least_loaded_server(self):
        free = [free_unit("s1", 4), free_unit("s2", 2), free_unit("s3", 3, limit=32)]
        assert choose_unit(demand(), free, PrefixMap()).server == "s3"

    def test_prefers_a_server_with_the_cached_prefix(self):
        prefixes = PrefixMap()
        prefixes.note("s1", (1, 2), 0.0)
        free = [free_unit("s1", 3), free_unit("s2", 3)]
        assert choose_unit(demand((1, 2)), free, prefixes).server == "s1"

    def test_popular_prefix_does_not_fill_one_server(self):
        # Nine in ten requests begin with the same prompt. Without a load bound, all of
        # these would be placed on the server that has it cached while the others idle.
        prefixes = PrefixMap()
        running = Counter()
        for _ in range(24):
            free = [free_unit(name, running[name]) for name in ("s1", "s2", "s3", "s4")]
            unit = choose_unit(demand((1, 2)), free, prefixes)
            prefixes.note(unit.server, (1, 2), 0.0)
            running[unit.server] += 1
        assert max(running.values()) <= 8
        assert min(running.values()) >= 4

    def test_prefers_warm_over_warming_over_cold_servers(self):
        free = [
            free_unit("s1", 0, 1, Warmth.COLD),
            free_unit("s2", 1, 4, Warmth.WARMING),
            free_unit("s3", 5, 8),
        ]
        order = []
        while free:
            unit = choose_unit(demand(), free, PrefixMap())
            order.append(unit.server)
            free = [candidate for candidate in free if candidate.unit != unit]
        assert order == ["s3", "s2", "s1"]

    def test_chooses_a_cold_server_when_no_other_is_free(self):
        assert choose_unit(
            demand(cost=9000.0),
            [free_unit("s1", 0, 1, Warmth.COLD)],
            PrefixMap(),
            mean_cost=100.0,
        ) == Unit("s1", 0)

    def test_long_request_avoids_a_warming_server(self):
        # A long request occupies one of the few units of a warming server for several
        # steps of its ramp, even if its prefix is cached there.
        prefixes = PrefixMap()
        prefixes.note("s1", (1, 2), 0.0)
        free = [free_unit("s1", 0, 4, Warmth.WARMING), free_unit("s2", 1)]
        long = demand((1, 2), cost=900.0)
        short = demand((1, 2), cost=100.0)
        assert choose_unit(long, free, prefixes, mean_cost=100.0).server == "s2"
        assert choose_unit(short, free, prefixes, mean_cost=100.0).server == "s1"

    def test_avoids_the_servers_of_failed_attempts(self):
        free = [free_unit("s1"), free_unit("s2", 7)]
        assert choose_unit(demand(avoid=("s1",)), free, PrefixMap()).server == "s2"
        assert choose_unit(demand(avoid=("s1", "s2")), free, PrefixMap()) is None


def view(index, centre="fes-1", *, wait_s=0.0, running=4, reachable=True, blocks=0):
    shard = ShardId("drafting", centre, index)
    status = ServerStatus("s1", Warmth.WARM, 8, running, 8)
    beat = Heartbeat(shard, Epoch("r", 1, 1), 0.0, (status,), 0, wait_s)
    return ShardView(shard, beat, centre == "fes-1", reachable, blocks)


def choose(views, key="r1", avoid=()):
    return choose_shard(views, avoid=avoid, key=key)


class TestChooseShard:
    def test_prefers_the_own_data_centre_while_it_has_free_units(self):
        views = [view(0), view(0, "rabat-1", running=0)]
        chosen = {choose(views, f"r{n}").data_centre for n in range(100)}
        assert chosen == {"fes-1"}

    @pytest.mark.parametrize("full", [{"running": 8}, {"wait_s": 0.3}])
    def test_chooses_another_data_centre_when_the_own_one_is_full(self, full):
        # Callers are spread unevenly: the servers of one data centre are full while
        # those of another, two milliseconds away, idle.
        views = [view(0, **full), view(0, "rabat-1")]
        assert choose(views).data_centre == "rabat-1"

    def test_chooses_the_shortest_wait_when_all_shards_are_full(self):
        views = [
            view(0, wait_s=2.0, running=8),
            view(0, "rabat-1", wait_s=0.5, running=8),
        ]
        assert choose(views).data_centre == "rabat-1"

    def test_spreads_requests_in_proportion_to_free_units(self):
        # All routers have the same heartbeats. If each chose the emptiest shard, they
        # would fill it before the next heartbeats.
        views = [view(0, running=2), view(1, running=5)]
        counts = Counter(choose(views, f"r{n}").index for n in range(3000))
        assert 0.60 < counts[0] / 3000 < 0.73

    def test_cached_prefix_counts_only_while_the_shard_has_free_units(self):
        views = [view(0), view(1, blocks=3)]
        assert {choose(views, f"r{n}").index for n in range(50)} == {1}
        views = [view(0), view(1, blocks=3, running=8)]
        assert {choose(views, f"r{n}").index for n in range(50)} == {0}

    def test_unreachable_and_avoided_shards_come_last(self):
        views = [view(0, reachable=False), view(1, wait_s=5.0), view(2, wait_s=9.0)]
        assert choose(views).index == 1
        assert choose(views, avoid=[views[1].shard]).index == 2
        assert choose([views[0]]).index == 0
        assert choose([]) is None

    def test_shard_without_a_heartbeat_is_tried(self):
        unknown = ShardView(ShardId("drafting", "fes-1", 7), None, True, True)
        chosen = {choose([view(0), unknown], f"r{n}").index for n in range(50)}
        assert chosen == {0, 7}
