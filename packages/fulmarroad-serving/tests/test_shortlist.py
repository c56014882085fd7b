"""Tests of the shortlist of servers considered for a call."""

import random
from collections import Counter

import pytest
from attrs import evolve

from fulmarroad_serving import (
    Catalog,
    Demand,
    Dispatcher,
    EngineProfile,
    FleetBounds,
    Instance,
    Placement,
    Service,
)
from fulmarroad_serving._load import PeerLoad
from fulmarroad_serving._registry import Registered
from fulmarroad_serving._routing import choose_engine, home_order, part_id
from fulmarroad_serving._shortlist import HOME_CANDIDATES, MAX_CANDIDATES, Shortlist

NOW = 100.0
CALL = Demand("c-1", "drafting", "coop", 0.4, "part", 6_000, 2_000, 50)


def make_servers(count):
    return tuple(
        Registered(Instance(f"e-{n:03d}", "drafting", "127.0.0.1", 1, "fes", 32), 0.0)
        for n in range(count)
    )


def server_names(rows):
    return [row.instance.id for row in rows]


def pick(servers, part=77, holders=None, seed=1):
    return server_names(
        Shortlist(random.Random(seed)).pick(part, servers, holders or {})
    )


class TestShortlist:
    def test_considers_every_server_of_a_small_service(self):
        servers = make_servers(MAX_CANDIDATES)
        assert pick(servers) == server_names(servers)

    def test_every_router_considers_the_same_first_servers_of_a_part(self):
        servers = make_servers(80)
        first = set(home_order(77, server_names(servers))[:HOME_CANDIDATES])
        assert all(first <= set(pick(servers, seed=seed)) for seed in range(10))

    def test_considers_the_most_recent_holders_of_a_part(self):
        servers = make_servers(80)
        holders = {f"e-{n:03d}": float(n) for n in range(20)}
        assert {"e-019", "e-018", "e-017"} <= set(pick(servers, holders=holders))

    def test_ignores_holders_that_were_removed(self):
        assert "gone" not in pick(make_servers(80), holders={"gone": 9.0})

    def test_considers_every_server_at_times(self):
        """An idle engine is not among the first in any part's order. Without random
        candidates, calls of a popular part would be refused while it idles.
        """
        shortlist = Shortlist(random.Random(1))
        servers = make_servers(80)
        seen = {
            name
            for _ in range(200)
            for name in server_names(shortlist.pick(7, servers, {}))
        }
        assert seen == set(server_names(servers))

    def test_a_new_server_enters_the_order_of_a_part(self):
        """A cached order from before the change would keep new engines idle."""
        shortlist = Shortlist(random.Random(1))
        servers = make_servers(80)
        home = home_order(77, server_names(servers))[0]
        before = tuple(row for row in servers if row.instance.id != home)
        shortlist.pick(77, before, {})
        assert home in server_names(shortlist.pick(77, servers, {}))

    def test_prompts_without_a_part_spread_over_all_servers(self):
        picked = Counter(
            name for seed in range(200) for name in pick(make_servers(80), 0, seed=seed)
        )
        assert len(picked) == 80


class CandidateCounter:
    """Wrap `choose_engine` and record the largest number of candidates."""

    def __init__(self):
        self.most = 0

    def __call__(self, prompt, candidates, *rest, **more):
        self.most = max(self.most, len(candidates))
        return choose_engine(prompt, candidates, *rest, **more)


def make_dispatcher(engines, router="router-a", choose=choose_engine):
    dispatcher = Dispatcher(router, "fes", FleetBounds(), hash(router) & 0xFFFF, choose)
    service = Service("drafting", engine=EngineProfile(32))
    dispatcher.set_catalog(Catalog(1, services={"drafting": service}))
    for row in make_servers(engines):
        dispatcher.registry.put(row.instance, 0.0)
    return dispatcher


class TestManyEngines:
    @pytest.mark.parametrize("engines", [30, 78, 300])
    def test_number_of_candidates_does_not_grow_with_the_fleet(self, engines):
        """A fleet grows from thirty engines to three hundred. A router that estimates
        the wait at all of them for each call, and for each poll of a held call, uses
        the whole CPU of a small VM for placement.
        """
        counter = CandidateCounter()
        dispatcher = make_dispatcher(engines, choose=counter)
        for n in range(50):
            call = evolve(CALL, call_id=f"c-{n}", part=f"part-{n % 7}")
            placement = dispatcher.place(call, NOW)
            assert isinstance(placement, Placement)
            dispatcher.send(call, placement, NOW)
        assert counter.most <= MAX_CANDIDATES

    def test_routers_do_not_all_send_to_the_same_idle_engine(self):
        """Of eighty engines all but one have a queue. Two hundred routers get the same
        load report, and each has a prompt to place. If all sent it to the idle engine,
        that engine would have the longest queue and all those prompts would be late.
        """
        routers = 200
        idle_engine = "e-007"
        sent = Counter()
        for n in range(routers):
            dispatcher = make_dispatcher(80, f"router-{n}")
            loads = {f"e-{k:03d}": PeerLoad(30, 60_000) for k in range(80)}
            loads[idle_engine] = PeerLoad(1, 0)
            dispatcher.receive_load("*", loads, NOW)
            placement = dispatcher.place(evolve(CALL, part=f"part-{n}"), NOW)
            if isinstance(placement, Placement):
                sent[placement.choice.server] += 1
        assert 0 < sent[idle_engine] <= routers / 4

    def test_considers_other_servers_when_the_shortlist_is_unavailable(self):
        """All engines on a call's shortlist are in backoff because their data centre
        was lost. The call would be refused for lack of servers although another data
        centre has some.
        """
        dispatcher = make_dispatcher(80)
        paused = set(
            home_order(part_id(CALL.part), server_names(make_servers(80)))[:79]
        )
        for server in paused:
            dispatcher.health(server).unreachable(NOW)
        placement = dispatcher.place(CALL, NOW)
        assert isinstance(placement, Placement)
        assert placement.choice.server not in paused
