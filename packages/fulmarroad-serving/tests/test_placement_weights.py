"""Tests of the order of servers for parts by the weights of their speed classes."""

import random
from collections import Counter

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from owner_bed import CALL, make_dispatcher

from fulmarroad_serving import parse_features
from fulmarroad_serving._features import FeatureBook
from fulmarroad_serving._owners import OwnerTable
from fulmarroad_serving._shortlist import HOME_CANDIDATES
from fulmarroad_serving.placement import (
    NO_CLASSES,
    ClassSnapshot,
    first_servers,
    hash_weight,
    home_order,
)
from fulmarroad_serving.placement._weights import CLASS_REFRESH_S, MAX_CLASS

SERVERS = [f"e{n}" for n in range(70)]
UNEVEN = {name: 2 if n % 3 == 2 else -1 for n, name in enumerate(SERVERS)}
PARTS = 20_000


def first_of(classes, parts=PARTS):
    """Return the first server of each part."""
    return [first_servers(n + 1, SERVERS, 1, classes)[0] for n in range(parts)]


def shares_of(classes):
    weights = {name: 2 ** (classes.get(name, 0) / 2) for name in SERVERS}
    total = sum(weights.values())
    return {name: weight / total for name, weight in weights.items()}


class TestOrder:
    @given(st.integers(0, 2**32 - 1), st.integers(-MAX_CLASS, MAX_CLASS))
    @settings(max_examples=200, deadline=None)
    def test_equal_classes_keep_the_order_of_the_hashes(self, part, speed_class):
        """Guard against parts that move when the feature is switched on."""
        expected = sorted(SERVERS, key=lambda name: hash_weight(part, name))[::-1]
        classes = dict.fromkeys(SERVERS, speed_class) if speed_class else NO_CLASSES
        assert home_order(part, SERVERS, classes) == expected
        assert first_servers(part, SERVERS, 6, classes) == expected[:6]

    def test_the_first_servers_are_the_start_of_the_order(self):
        for part in range(1, 200):
            order = home_order(part, SERVERS, UNEVEN)
            assert first_servers(part, SERVERS, 12, UNEVEN) == order[:12]


class TestLoad:
    @pytest.mark.parametrize("classes", [NO_CLASSES, UNEVEN])
    def test_parts_by_engine_follow_the_weights(self, classes):
        """Guard against slow engines that are the home of as many parts as fast ones.

        The bound is five standard deviations of a binomial distribution.
        """
        counts = Counter(first_of(classes))
        for name, share in shares_of(classes).items():
            deviation = (PARTS * share * (1 - share)) ** 0.5
            assert abs(counts[name] - PARTS * share) < 5 * deviation

    @pytest.mark.parametrize("step", [-1, 1])
    def test_one_step_of_a_class_moves_few_parts(self, step):
        """Guard against many parts that are read again when one engine's class changes.

        Parts only move to or from that engine, as many as its share changes by.
        """
        changed = {**UNEVEN, "e7": UNEVEN["e7"] + step}
        before, after = first_of(UNEVEN), first_of(changed)
        moved = [pair for pair in zip(before, after, strict=True) if pair[0] != pair[1]]
        assert all("e7" in pair for pair in moved)
        share = abs(shares_of(changed)["e7"] - shares_of(UNEVEN)["e7"])
        assert len(moved) <= PARTS * share + 5 * (PARTS * share) ** 0.5

    def test_routers_that_disagree_differ_in_few_parts(self):
        """Guard against a part that is read at many engines while reports are late: two
        routers that know another class of one engine have at most two homes for it.
        """
        late = {**UNEVEN, "e7": UNEVEN["e7"] - 1, "e8": UNEVEN["e8"] - 1}
        pairs = zip(first_of(UNEVEN), first_of(late), strict=True)
        differing = sum(here != there for here, there in pairs)
        shares, others = shares_of(UNEVEN), shares_of(late)
        moved = sum(abs(shares[name] - others[name]) for name in ("e7", "e8"))
        assert differing <= PARTS * moved * 1.3
        for part in range(1, 500):
            homes = home_order(part, SERVERS, late)[:HOME_CANDIDATES]
            assert home_order(part, SERVERS, UNEVEN)[0] in homes


def make_weighted(classes, engines=70):
    dispatcher = make_dispatcher("a", engines)
    dispatcher.settings._features = FeatureBook(parse_features("weighted_parts=on"))
    dispatcher.servers.speed_class = lambda name: classes.get(name, 0)
    return dispatcher


class TestSnapshot:
    def test_cached_orders_follow_a_change_of_classes(self):
        """Guard against parts that stay with an engine that became slow."""
        classes = {}
        dispatcher = make_weighted(classes)
        table = OwnerTable(dispatcher.registry.usable, me="a")
        table.set_routers({f"r{n}": "fes" for n in range(20)})
        source = random.Random(1)
        shortlist = dispatcher._chooser._shortlists.of("drafting", "")
        usable = dispatcher.registry.usable("drafting")

        def orders(now):
            current = dispatcher.speed_classes("drafting", now)
            owners = table.owners("drafting")
            homes = [
                shortlist.pick(part, usable, {}, current)[0].instance.id
                for part in range(1, 400)
            ]
            ranked = [owners.order(part, source, "", current) for part in range(1, 400)]
            return homes, ranked

        before = orders(100.0)
        assert orders(100.1) == before
        classes.update({f"drafting-{n}": -3 for n in range(35)})
        assert orders(100.1) == before
        homes, ranked = orders(100.1 + CLASS_REFRESH_S)
        assert ranked != before[1]
        slow = Counter(name in classes for name in homes)
        assert slow[True] < slow[False] / 2

    def test_unchanged_classes_are_the_same_object(self):
        """Guard against caches that are cleared with each reading of the classes."""
        rows = make_dispatcher("a", 5).registry.usable("drafting")
        snapshot = ClassSnapshot(lambda name: 9 if name == "drafting-1" else 0)
        first = snapshot.current(rows, 1.0)
        assert first == {"drafting-1": MAX_CLASS}
        assert snapshot.current(rows, 2.0) is first

    def test_classes_have_no_effect_where_the_feature_is_off(self):
        dispatcher = make_dispatcher("a", 40)
        dispatcher.servers.speed_class = lambda name: 3
        assert dispatcher.speed_classes("drafting", 100.0) is NO_CLASSES

    def test_a_call_goes_to_the_first_engine_by_weight(self):
        classes = {f"drafting-{n}": -3 for n in range(0, 70, 2)}
        dispatcher = make_weighted(classes)
        names = [row.instance.id for row in dispatcher.registry.usable("drafting")]
        for number in range(50):
            demand = type(CALL)("c", "drafting", "coop", 0.6, f"p{number}", 6_000, 500)
            home = home_order(demand.prompt.part, names, classes)[0]
            assert dispatcher.place(demand, 100.0).choice.server == home
