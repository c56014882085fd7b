"""Tests of the assignment of servers to the routers that place calls there."""

import random
from collections import Counter

import pytest
from attrs import evolve

from fulmarroad_serving import Instance
from fulmarroad_serving._owners import SERVERS_PER_OWNER, OwnerTable, assign_owners
from fulmarroad_serving._registry import Registered
from fulmarroad_serving._routing import part_id

CENTRES = ("fes", "rabat", "taza")


def make_routers(count):
    return {f"r{n}": CENTRES[n % 3] for n in range(count)}


def make_servers(count):
    return {f"e{n}": CENTRES[n % 3] for n in range(count)}


def make_rows(count):
    rows = []
    for name, centre in make_servers(count).items():
        instance = Instance(name, "drafting", "10.0.0.1", 1, centre, 32)
        rows.append(Registered(instance, 0.0))
    return tuple(rows)


class TestAssignment:
    def test_every_router_computes_the_same_owners(self):
        routers, servers = make_routers(67), make_servers(30)
        backwards = dict(reversed(routers.items()))
        assert assign_owners("drafting", servers, routers) == assign_owners(
            "drafting", dict(reversed(servers.items())), backwards
        )

    def test_an_owner_has_no_more_servers_than_it_can_serve(self):
        for count in (5, 9, 30, 84, 1_800):
            owners = assign_owners("drafting", make_servers(count), make_routers(370))
            assert len(owners) == count
            assert max(Counter(owners.values()).values()) <= SERVERS_PER_OWNER

    def test_a_data_centre_owns_its_servers(self):
        """A data centre is cut off. If its servers had owners elsewhere, its routers
        would have to place calls there by old reports.
        """
        routers = make_routers(67)
        owners = assign_owners("drafting", make_servers(30), routers)
        assert all(
            routers[owners[name]] == centre for name, centre in make_servers(30).items()
        )

    def test_few_servers_have_one_owner(self):
        """With an owner for each data centre, the three servers of a plain service
        would be three queues, one full while another is empty.
        """
        owners = assign_owners("ledger", make_servers(3), make_routers(7))
        assert len(set(owners.values())) == 1

    def test_a_data_centre_without_routers_gets_owners_elsewhere(self):
        routers = {name: at for name, at in make_routers(60).items() if at != "fes"}
        assert len(assign_owners("drafting", make_servers(30), routers)) == 30

    def test_a_lost_owner_leaves_those_of_other_data_centres(self):
        routers, servers = make_routers(67), make_servers(30)
        before = assign_owners("drafting", servers, routers)
        lost = before["e0"]
        rest = {name: at for name, at in routers.items() if name != lost}
        after = assign_owners("drafting", servers, rest)
        assert lost not in after.values()
        elsewhere = [name for name, at in servers.items() if at != routers[lost]]
        assert all(after[name] == before[name] for name in elsewhere)

    def test_a_new_owner_gets_the_same_group_of_servers(self):
        """A router restarts, and its servers get another owner. Divided anew, they
        would be asked for prompt parts that they don't have cached.
        """
        routers, servers = make_routers(67), make_servers(30)
        before = assign_owners("drafting", servers, routers)
        lost = before["e0"]
        rest = {name: at for name, at in routers.items() if name != lost}
        after = assign_owners("drafting", servers, rest)

        def groups(owners):
            names = set(owners.values())
            return {
                frozenset(row for row in owners if owners[row] == name)
                for name in names
            }

        assert groups(before) == groups(after)

    def test_nobody_owns_servers_without_routers(self):
        assert assign_owners("drafting", make_servers(3), {}) == {}


class TestTable:
    @pytest.mark.parametrize("part", ["", "part-1"])
    def test_a_router_that_knows_no_router_names_no_owner(self, part):
        """Guard against answers of 500 just after a start, to calls that are bound to
        a software version.
        """
        instances = [evolve(row.instance, version="v1") for row in make_rows(6)]
        rows = tuple(Registered(row, 0.0) for row in instances)
        owners = OwnerTable(lambda service: rows).owners("drafting")
        assert owners.order(part_id(part), random.Random(1), "v1") == ()

    def make(self, rows):
        table = OwnerTable(lambda service: rows[0])
        table.set_routers(make_routers(67))
        return table

    def test_all_calls_for_a_part_go_to_the_same_owner(self):
        rows = [make_rows(30)]
        tables = [self.make(rows) for _ in range(2)]
        orders = [
            table.owners("drafting").order(part_id("p"), random.Random(seed))
            for seed, table in enumerate(tables)
        ]
        assert orders[0] == orders[1]
        assert len(orders[0]) == len(set(orders[0])) > 1

    def test_calls_without_a_part_go_to_all_owners(self):
        owners = self.make([make_rows(30)]).owners("drafting")
        source = random.Random(1)
        first = {owners.order(0, source)[0] for _ in range(200)}
        assert first == set(owners.by_server.values())

    def test_owned_servers_follow_the_registry(self):
        rows = [make_rows(30)]
        table = self.make(rows)
        owner = table.owners("drafting").by_server["e0"]
        rows[0] = make_rows(27)
        owners = table.owners("drafting")
        owned = [
            row
            for name in set(owners.by_server.values())
            for row in owners.servers_of(name)
        ]
        assert {id(row) for row in owned} == {id(row) for row in rows[0]}
        assert owner in table.routers

    def test_left_out_routers_own_nothing(self):
        table = self.make([make_rows(30)])
        owner = table.owners("drafting").by_server["e0"]
        without = table.owners("drafting", frozenset({owner}))
        assert owner not in without.by_server.values()
        assert table.owners("drafting").by_server["e0"] == owner


class TestHeldServers:
    """Tests of which servers' limits an owner deals out."""

    def table(self, routers, known, me="r-0", centres=("fes",)):
        rows = tuple(
            Registered(
                Instance(f"s{n}", "drafting", "h", n, centres[n % len(centres)], 8), 0.0
            )
            for n in range(10)
        )
        table = OwnerTable(lambda service: rows, me=me)
        table.set_routers(routers, known)
        return table

    def test_an_owner_that_sees_most_routers_holds_its_servers(self):
        routers = {f"r-{n}": "fes" for n in range(2)}
        owned = self.table(routers, {"fes": 3}).owned("drafting")
        assert {row.instance.id for row in owned.rows} == owned.held
        assert owned.held

    def test_an_owner_that_sees_half_of_the_routers_holds_none(self):
        """Guard against two owners of a server on the sides of a split fleet."""
        routers = {f"r-{n}": "fes" for n in range(2)}
        owned = self.table(routers, {"fes": 4}).owned("drafting")
        assert owned.rows
        assert not owned.held

    def test_a_data_centre_that_is_cut_off_holds_its_own_servers_alone(self):
        """Guard against routers elsewhere that deal out the calls of servers whose own
        data centre goes on without them."""
        known = {"fes": 2, "rabat": 2}
        inside = {"r-0": "fes", "r-1": "fes"}
        outside = {"r-2": "rabat", "r-3": "rabat"}
        centres = ("fes", "rabat")
        held = {
            name: self.table(routers, known, name, centres).owned("drafting").held
            for routers in (inside, outside)
            for name in routers
        }
        assert held["r-0"] | held["r-1"] == {f"s{n}" for n in range(0, 10, 2)}
        assert held["r-2"] | held["r-3"] == {f"s{n}" for n in range(1, 10, 2)}

    def test_a_router_that_stands_in_for_a_silent_owner_holds_none_of_its_servers(self):
        """Guard against a second owner while the first one is only slow to answer."""
        routers = {f"r-{n}": "fes" for n in range(2)}
        table = self.table(routers, None)
        owned = table.owned("drafting", frozenset({"r-1"}))
        assert len(owned.rows) == 10
        assert owned.held == table.owned("drafting").held
