"""Owners are computed alike everywhere, balanced, and stable when VMs change."""

from collections import Counter

import pytest

from fulmarroad import ownership
from fulmarroad.types import ShardId, Unit

ROUTERS = tuple(f"10.0.0.{index}" for index in range(31))
SHARDS = [ShardId("drafting", "fes-1", index) for index in range(225)]


def assign(shards, routers):
    return ownership.assign_shards(shards, {"fes-1": routers})


class TestAssignShards:
    @pytest.mark.parametrize("count", [1, 5, 19, 225])
    @pytest.mark.parametrize("routers", [1, 3, 9, 31])
    def test_limits_the_shards_of_each_router(self, count, routers):
        assigned = assign(SHARDS[:count], ROUTERS[:routers])
        assert set(assigned) == set(SHARDS[:count])
        limit = ownership.shard_limit(count, routers)
        assert limit < 1.25 * count / routers + 1
        assert max(Counter(assigned.values()).values()) <= limit

    def test_does_not_depend_on_the_order_of_the_lists(self):
        assert assign(SHARDS, ROUTERS) == assign(SHARDS[::-1], ROUTERS[::-1])

    @pytest.mark.parametrize(("shards", "routers"), [(19, 31), (225, 31), (6, 3)])
    def test_moves_few_shards_when_a_vm_is_removed(self, shards, routers):
        # A VM is replaced. Each shard that moves has to be rebuilt by another
        # scheduler, and its callers wait until that scheduler has settled.
        names = ROUTERS[:routers]
        before = assign(SHARDS[:shards], names)
        moved = 0
        for removed in names:
            after = assign(SHARDS[:shards], [name for name in names if name != removed])
            moved += sum(before[shard] != after[shard] for shard in before)
        # Each shard has to move once, when its own VM is removed. The load limit may
        # displace a third more.
        assert shards <= moved <= 2 * shards

    def test_leaves_out_a_data_centre_without_routers(self):
        # A data centre without live routers gets no scheduler, since routers of other
        # data centres own none of its units.
        shards = [SHARDS[0], ShardId("drafting", "fes-2", 0)]
        live = {"fes-1": ROUTERS, "fes-2": ()}
        assert set(ownership.assign_shards(shards, live)) == {SHARDS[0]}

    def test_follow_order_is_the_scheduler_then_the_hash_order(self):
        assigned = assign(SHARDS, ROUTERS)
        for shard in SHARDS[:20]:
            first, *others = ownership.follow_order(shard, assigned, ROUTERS)
            assert first == assigned[shard]
            hash_order = ownership.candidates(shard, ROUTERS)
            assert others == [router for router in hash_order if router != first]
            assert ownership.owner_of(shard, ROUTERS) == hash_order[0]


class TestUnitOwner:
    UNITS = [Unit(f"s{server}", index) for server in range(60) for index in range(8)]

    def test_assigns_each_vm_about_its_share(self):
        owners = Counter(ownership.unit_owner(unit, ROUTERS[:9]) for unit in self.UNITS)
        share = len(self.UNITS) / 9
        assert len(owners) == 9
        assert max(owners.values()) < 1.4 * share
        assert min(owners.values()) > 0.6 * share

    def test_lists_that_differ_by_one_vm_disagree_only_on_its_units(self):
        # One router has an outdated VM list. During a network partition, units that two
        # routers both consider their own could be granted twice.
        for unit in self.UNITS:
            owner = ownership.unit_owner(unit, ROUTERS[:9])
            owner_in_outdated_list = ownership.unit_owner(unit, ROUTERS[:8])
            assert owner in (owner_in_outdated_list, ROUTERS[8])

    def test_rejects_an_empty_list(self):
        with pytest.raises(ValueError, match="no owner"):
            ownership.unit_owner(self.UNITS[0], ())


class TestKeyGroupsAndWatchers:
    def test_key_groups_are_balanced_and_keep_two_members_after_one_change(self):
        members = Counter()
        for index in range(300):
            group = ownership.key_group("coop", f"k{index}", ROUTERS[:9])
            smaller = ownership.key_group("coop", f"k{index}", ROUTERS[:8])
            assert len(set(group)) == 3
            assert len(set(group) & set(smaller)) >= 2
            members.update(group)
        assert max(members.values()) < 1.5 * 100
        assert min(members.values()) > 0.5 * 100

    def test_key_group_of_a_small_data_centre_contains_all_its_vms(self):
        assert set(ownership.key_group("coop", "k", ROUTERS[:2])) == set(ROUTERS[:2])

    def test_key_group_depends_on_the_workspace(self):
        groups = {ownership.key_group(f"coop{n}", "k", ROUTERS) for n in range(9)}
        assert len(groups) > 5

    def test_watcher_stays_when_another_vm_is_removed(self):
        chosen = ownership.watchers(ROUTERS, 2)
        rest = [name for name in ROUTERS if name != chosen[1]]
        assert len(chosen) == 2
        assert ownership.watchers(rest, 2)[0] == chosen[0]
