"""Moves between shards are limited, shared among sources, and do not oscillate."""

from __future__ import annotations

import pytest

from fulmarroad.messages import Demand, ServiceEntry, ServiceReport
from fulmarroad.scheduling import FleetQueue, Rebalancer
from fulmarroad.types import Epoch, ShardId

HERE = ShardId("chat", "dc1", 0)
NEAR = ShardId("chat", "dc1", 1)
FAR = ShardId("chat", "dc2", 0)


def report(shard, *, free=0, capacity=8, waiting=0, names=()):
    rows = tuple(ServiceEntry(name, 0.0, 0.0, 3) for name in names)
    epoch = Epoch(f"r-{shard}", 1, 1)
    return ServiceReport(shard, epoch, 1, free, capacity, waiting, rows)


def queue_of(**counts):
    queue = FleetQueue()
    for name, count in counts.items():
        for number in range(count):
            demand = Demand(HERE, f"{name}{number}", name, 1.0, 10.0, 0.0, 60.0)
            queue.add(demand, "r1", 0.0)
    return queue


def plan(rebalancer, queue, now=1.0, *, mean_s=0.0):
    return rebalancer.plan(queue, units=8, mean_s=mean_s, now=now)


class TestFreeUnits:
    def test_no_more_demands_move_than_units_are_free(self):
        rebalancer = Rebalancer(HERE)
        rebalancer.record_report(report(NEAR, free=3), 0.0, 1.0)
        assert len(plan(rebalancer, queue_of(a=20))) == 3

    def test_moves_use_up_the_quota_of_a_report(self):
        """Guard against using one report for several plans, which would send a whole
        queue to the same shard before its next report."""
        rebalancer = Rebalancer(HERE)
        rebalancer.record_report(report(NEAR, free=3), 0.0, 1.0)
        queue = queue_of(a=20)
        plan(rebalancer, queue)
        assert plan(rebalancer, queue, 1.1) == []

    def test_sources_share_the_free_units_of_a_target(self):
        rebalancer = Rebalancer(HERE)
        rebalancer.record_report(report(FAR, waiting=50, names=("a",)), 0.0, 1.0)
        rebalancer.record_report(report(NEAR, free=8), 0.0, 1.0)
        assert len(plan(rebalancer, queue_of(a=20))) == 4

    def test_workspaces_are_moved_round_robin(self):
        rebalancer = Rebalancer(HERE)
        rebalancer.record_report(report(NEAR, free=4), 0.0, 1.0)
        moved = plan(rebalancer, queue_of(flood=100, small=5))
        assert sum(move.demand_id.startswith("small") for move in moved) == 2

    def test_old_reports_are_ignored(self):
        rebalancer = Rebalancer(HERE)
        rebalancer.record_report(report(NEAR, free=3), 0.0, 1.0)
        assert plan(rebalancer, queue_of(a=20), 4.0) == []

    def test_local_data_centre_is_preferred(self):
        rebalancer = Rebalancer(HERE)
        rebalancer.record_report(report(FAR, free=1), 0.0, 1.0)
        rebalancer.record_report(report(NEAR, free=1), 0.0, 1.0)
        moved = plan(rebalancer, queue_of(a=1))
        assert [move.target for move in moved] == [NEAR]

    def test_demand_stays_after_the_maximum_number_of_moves(self):
        queue = FleetQueue()
        demand = Demand(HERE, "d", "a", 1.0, 10.0, 0.0, 60.0, moves=3)
        queue.add(demand, "r1", 0.0)
        rebalancer = Rebalancer(HERE)
        rebalancer.record_report(report(NEAR, free=3), 0.0, 1.0)
        assert plan(rebalancer, queue) == []

    def test_short_requests_are_moved_before_units_are_free(self):
        """Guard against idle units: requests of 50 ms end several times between two
        reports, so a shard that gets only as many as it has free units would idle."""
        rebalancer = Rebalancer(HERE)
        rebalancer.record_report(report(NEAR, free=0), 0.05, 1.0)
        assert len(plan(rebalancer, queue_of(a=200), mean_s=0.05)) == 48

    def test_demands_that_this_shard_serves_soon_stay(self):
        rebalancer = Rebalancer(HERE)
        rebalancer.record_report(report(NEAR, free=0), 0.05, 1.0)
        assert plan(rebalancer, queue_of(a=40), mean_s=0.05) == []


class TestFairness:
    def served(self, queue, name, amount):
        queue.add_remote(queue.account(name), amount)

    def test_lagging_workspace_moves_to_a_shard_that_serves_others(self):
        queue = queue_of(small=10)
        queue._mean_cost = 10.0
        self.served(queue, "large", 100.0)
        rebalancer = Rebalancer(HERE)
        rebalancer.record_report(report(NEAR, waiting=9, names=("large",)), 0.0, 1.0)
        assert len(plan(rebalancer, queue)) == 4

    @pytest.mark.parametrize("ahead", [0.0, 15.0, -100.0])
    def test_difference_below_the_threshold_moves_nothing(self, ahead):
        queue = queue_of(small=10)
        queue._mean_cost = 10.0
        self.served(queue, "large", ahead)
        rebalancer = Rebalancer(HERE)
        rebalancer.record_report(report(NEAR, waiting=9, names=("large",)), 0.0, 1.0)
        assert plan(rebalancer, queue) == []

    def test_workspace_does_not_move_to_a_shard_where_it_already_waits(self):
        queue = queue_of(small=10)
        self.served(queue, "large", 100.0)
        rebalancer = Rebalancer(HERE)
        rebalancer.record_report(
            report(NEAR, waiting=9, names=("large", "small")), 0.0, 1.0
        )
        assert plan(rebalancer, queue) == []


class TestDrain:
    def test_shard_out_of_service_moves_every_demand(self):
        rebalancer = Rebalancer(HERE)
        rebalancer.record_report(report(NEAR, waiting=40), 0.0, 1.0)
        rebalancer.record_report(report(FAR), 0.0, 1.0)
        moved = rebalancer.drain(queue_of(a=20, b=3), 1.1)
        assert len(moved) == 23
        assert {move.target for move in moved} == {NEAR, FAR}

    def test_no_demand_moves_to_a_shard_without_capacity(self):
        rebalancer = Rebalancer(HERE)
        rebalancer.record_report(report(NEAR, capacity=0), 0.0, 1.0)
        assert rebalancer.drain(queue_of(a=20), 1.1) == []
