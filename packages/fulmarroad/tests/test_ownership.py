"""Owners are agreed on without a message, balanced, and move little."""

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
    def test_bounds_the_load_of_each_router(self, count, routers):
        assigned = assign(SHARDS[:count], ROUTERS[:routers])
        assert set(assigned) == set(SHARDS[:count])
        limit = ownership.shard_limit(count, routers)
        assert limit < 1.25 * count / routers + 1
        assert max(Counter(assigned.values()).values()) <= limit

    def test_agrees_whatever_the_order_of_the_lists(self):
        assert assign(SHARDS, ROUTERS) == assign(SHARDS[::-1], ROUTERS[::-1])

    @pytest.mark.parametrize(("shards", "routers"), [(19, 31), (225, 31), (6, 3)])
    def test_moves_few_shards_when_a_vm_goes(self, shards, routers):
        # A VM is replaced. Each shard that moves has to be rebuilt by another
        # scheduler, and its callers wait while it settles.
        names = ROUTERS[:routers]
        before = assign(SHARDS[:shards], names)
        moved = 0
        for gone in names:
            after = assign(SHARDS[:shards], [name for name in names if name != gone])
            moved += sum(before[shard] != after[shard] for shard in before)
        # Every shard has to move once over all losses; a third more may follow it.
        assert shards <= moved <= 2 * shards

    def test_leaves_out_a_data_centre_without_routers(self):
        # All VMs of a data centre are gone. Routers elsewhere own none of its units.
        shards = [SHARDS[0], ShardId("drafting", "fes-2", 0)]
        live = {"fes-1": ROUTERS, "fes-2": ()}
        assert set(ownership.assign_shards(shards, live)) == {SHARDS[0]}

    def test_followers_of_a_lost_scheduler_meet_at_the_next(self):
        assigned = assign(SHARDS, ROUTERS)
        for shard in SHARDS[:20]:
            first, *others = ownership.follow_order(shard, assigned, ROUTERS)
            assert first == assigned[shard]
            hashed = ownership.candidates(shard, ROUTERS)
            assert others == [router for router in hashed if router != first]
            assert ownership.owner_of(shard, ROUTERS) == hashed[0]


class TestUnitOwner:
    UNITS = [Unit(f"s{server}", index) for server in range(60) for index in range(8)]

    def test_gives_each_vm_about_its_share(self):
        owners = Counter(ownership.unit_owner(unit, ROUTERS[:9]) for unit in self.UNITS)
        share = len(self.UNITS) / 9
        assert len(owners) == 9
        assert max(owners.values()) < 1.4 * share
        assert min(owners.values()) > 0.6 * share

    def test_lists_that_differ_by_one_vm_disagree_on_its_units_alone(self):
        # The VM list lags at one router. Units that two routers both lent could be
        # granted twice in a split.
        for unit in self.UNITS:
            whole = ownership.unit_owner(unit, ROUTERS[:9])
            lagging = ownership.unit_owner(unit, ROUTERS[:8])
            assert whole in (lagging, ROUTERS[8])

    def test_refuses_an_empty_list(self):
        with pytest.raises(ValueError, match="no owner"):
            ownership.unit_owner(self.UNITS[0], ())


class TestGroups:
    def test_key_groups_spread_and_overlap_in_two_after_one_change(self):
        members = Counter()
        for index in range(300):
            group = ownership.key_group("coop", f"k{index}", ROUTERS[:9])
            smaller = ownership.key_group("coop", f"k{index}", ROUTERS[:8])
            assert len(set(group)) == 3
            assert len(set(group) & set(smaller)) >= 2
            members.update(group)
        assert max(members.values()) < 1.5 * 100
        assert min(members.values()) > 0.5 * 100

    def test_key_group_of_a_small_data_centre_is_all_of_it(self):
        assert set(ownership.key_group("coop", "k", ROUTERS[:2])) == set(ROUTERS[:2])

    def test_keys_of_two_workspaces_never_run_together(self):
        groups = {ownership.key_group(f"coop{n}", "k", ROUTERS) for n in range(9)}
        assert len(groups) > 5

    def test_a_watcher_stays_when_another_vm_goes(self):
        chosen = ownership.watchers(ROUTERS, 2)
        rest = [name for name in ROUTERS if name != chosen[1]]
        assert len(chosen) == 2
        assert ownership.watchers(rest, 2)[0] == chosen[0]
