"""The few servers that a call looks at, where a service has many."""

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


def registered(count):
    return tuple(
        Registered(Instance(f"e-{n:03d}", "drafting", "127.0.0.1", 1, "fes", 32), 0.0)
        for n in range(count)
    )


def names(rows):
    return [row.instance.id for row in rows]


def pick(servers, part=77, holders=None, seed=1):
    return names(Shortlist(random.Random(seed)).pick(part, servers, holders or {}))


class TestShortlist:
    def test_a_small_service_is_looked_at_whole(self):
        servers = registered(MAX_CANDIDATES)
        assert pick(servers) == names(servers)

    def test_the_front_of_the_part_s_order_is_the_same_at_every_router(self):
        servers = registered(80)
        front = set(home_order(77, names(servers))[:HOME_CANDIDATES])
        assert all(front <= set(pick(servers, seed=seed)) for seed in range(10))

    def test_servers_that_were_sent_the_part_last_are_looked_at(self):
        servers = registered(80)
        holders = {f"e-{n:03d}": float(n) for n in range(20)}
        assert {"e-019", "e-018", "e-017"} <= set(pick(servers, holders=holders))

    def test_a_server_that_is_gone_is_not(self):
        assert "gone" not in pick(registered(80), holders={"gone": 9.0})

    def test_no_server_stays_unseen(self):
        """An engine stands idle, but is early in no part's order. Calls of one popular
        part would be turned away beside it.
        """
        shortlist = Shortlist(random.Random(1))
        servers = registered(80)
        seen = {
            name for _ in range(200) for name in names(shortlist.pick(7, servers, {}))
        }
        assert seen == set(names(servers))

    def test_a_server_that_has_just_come_takes_its_place_in_the_order(self):
        """An order that is remembered from before would keep new engines idle."""
        shortlist = Shortlist(random.Random(1))
        servers = registered(80)
        home = home_order(77, names(servers))[0]
        before = tuple(row for row in servers if row.instance.id != home)
        shortlist.pick(77, before, {})
        assert home in names(shortlist.pick(77, servers, {}))

    def test_prompts_without_a_part_are_spread(self):
        picked = Counter(
            name for seed in range(200) for name in pick(registered(80), 0, seed=seed)
        )
        assert len(picked) == 80


class Looked:
    """Choose as always, and count the engines that were looked at."""

    def __init__(self):
        self.most = 0

    def __call__(self, prompt, candidates, *rest, **more):
        self.most = max(self.most, len(candidates))
        return choose_engine(prompt, candidates, *rest, **more)


def make(engines, router="router-a", choose=choose_engine):
    dispatcher = Dispatcher(router, "fes", FleetBounds(), hash(router) & 0xFFFF, choose)
    service = Service("drafting", engine=EngineProfile(32))
    dispatcher.set_catalog(Catalog(1, services={"drafting": service}))
    for row in registered(engines):
        dispatcher.registry.put(row.instance, 0.0)
    return dispatcher


class TestManyEngines:
    @pytest.mark.parametrize("engines", [30, 78, 300])
    def test_a_call_looks_at_as_many_engines_however_many_there_are(self, engines):
        """A fleet grows from thirty engines to three hundred. A router that works out
        the wait at each of them for each call, and again each time that a held call
        looks, uses up a small VM's processor for placing alone.
        """
        looked = Looked()
        dispatcher = make(engines, choose=looked)
        for n in range(50):
            call = evolve(CALL, call_id=f"c-{n}", part=f"part-{n % 7}")
            placement = dispatcher.place(call, NOW)
            assert isinstance(placement, Placement)
            dispatcher.send(call, placement, NOW)
        assert looked.most <= MAX_CANDIDATES

    def test_routers_do_not_all_send_to_the_engine_that_has_just_come_free(self):
        """Eighty engines are behind, one is not. Two hundred routers hear so in the
        same news, and each has a prompt to place: sent there by all of them it is
        further behind than any other, and every one of those prompts comes late.
        """
        routers = 200
        free = "e-007"
        sent = Counter()
        for n in range(routers):
            dispatcher = make(80, f"router-{n}")
            loads = {f"e-{k:03d}": PeerLoad(30, 60_000) for k in range(80)}
            loads[free] = PeerLoad(1, 0)
            dispatcher.receive_load("*", loads, NOW)
            placement = dispatcher.place(evolve(CALL, part=f"part-{n}"), NOW)
            if isinstance(placement, Placement):
                sent[placement.choice.server] += 1
        assert 0 < sent[free] <= routers / 4

    def test_engines_that_take_nothing_are_passed_over(self):
        """All engines that a call looks at are paused: their data centre was lost. The
        call would be told that there is no server while another data centre has some.
        """
        dispatcher = make(80)
        front = set(home_order(part_id(CALL.part), names(registered(80)))[:79])
        for server in front:
            dispatcher.health(server).unreachable(NOW)
        placement = dispatcher.place(CALL, NOW)
        assert isinstance(placement, Placement)
        assert placement.choice.server not in front
