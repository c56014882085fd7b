"""Test that the fair queue serves backlogged workspaces by weight within its bound."""

from __future__ import annotations

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from fulmarroad.messages import Demand
from fulmarroad.scheduling import FleetQueue
from fulmarroad.types import ShardId

SHARD = ShardId("chat", "dc1", 0)


def demand(name, workspace="a", *, weight=1.0, hint=10.0, waited=0.0, avoid=()):
    return Demand(SHARD, name, workspace, weight, hint, waited, 60.0, avoid=avoid)


def fill(queue, workspace, count, *, now=0.0, **demand_fields):
    for number in range(count):
        queue.add(demand(f"{workspace}{number}", workspace, **demand_fields), "r1", now)


def serve(queue, cost=10.0, now=0.0):
    """Grant the next demand and end it; return its workspace."""
    waiting = queue.pop(now=now)
    queue.finish(queue.begin(waiting), cost)
    return waiting.demand.workspace


class TestOrder:
    def test_flooding_workspace_gets_no_more_than_a_small_one(self):
        queue = FleetQueue()
        fill(queue, "flood", 100)
        fill(queue, "small", 10)
        served = [serve(queue) for _ in range(20)]
        assert served.count("small") == 10

    def test_service_follows_weights(self):
        queue = FleetQueue()
        fill(queue, "a", 100, weight=3.0)
        fill(queue, "b", 100)
        served = [serve(queue) for _ in range(40)]
        assert served.count("a") == pytest.approx(30, abs=1)

    def test_oldest_request_of_a_workspace_is_served_first(self):
        """A demand moved from another shard keeps its original arrival time."""
        queue = FleetQueue()
        queue.add(demand("new"), "r1", 10.0)
        queue.add(demand("moved", waited=5.0), "r2", 10.1)
        assert queue.pop(now=10.2).demand.demand_id == "moved"

    def test_huge_request_delays_others_by_its_own_share_only(self):
        queue = FleetQueue()
        fill(queue, "huge", 2, hint=1000.0)
        fill(queue, "small", 200)
        served = []
        for _ in range(102):
            waiting = queue.pop()
            cost = 1000.0 if waiting.demand.workspace == "huge" else 10.0
            queue.finish(queue.begin(waiting), cost)
            served.append(waiting.demand.workspace)
        assert served.count("huge") == 2
        assert served.index("huge") <= 1

    def test_queued_demand_is_not_queued_again(self):
        queue = FleetQueue()
        assert queue.add(demand("d"), "r1", 0.0)
        assert not queue.add(demand("d"), "r1", 0.1)
        assert len(queue) == 1


class TestReturnFromIdle:
    def test_idle_time_earns_no_credit(self):
        """A workspace returns after a long idle time in which another was served.

        If its counter were not raised, it would have the least one and starve the
        other workspace.
        """
        queue = FleetQueue()
        fill(queue, "idle", 1)
        serve(queue)
        fill(queue, "busy", 300)
        for _ in range(100):
            serve(queue)
        fill(queue, "idle", 100)
        served = [serve(queue) for _ in range(20)]
        assert served.count("busy") == pytest.approx(10, abs=1)

    def test_refund_of_a_lease_from_a_former_era_earns_no_credit(self):
        """A lease with a far too high hint ends after its workspace was idle."""
        queue = FleetQueue()
        fill(queue, "a", 1, hint=5000.0)
        early = queue.begin(queue.pop())
        fill(queue, "b", 300)
        for _ in range(100):
            serve(queue)
        fill(queue, "a", 100)
        queue.finish(early, 10.0)
        served = [serve(queue) for _ in range(20)]
        assert served.count("a") <= 11

    def test_service_without_competition_does_not_count_against_a_workspace(self):
        queue = FleetQueue()
        for number in range(100):
            fill(queue, f"alone{number % 2}", 1)
            serve(queue, cost=100.0)
        fill(queue, "alone0", 20)
        fill(queue, "new", 20)
        served = [serve(queue) for _ in range(20)]
        assert served.count("alone0") >= 9


class TestCharges:
    @pytest.mark.parametrize("hint", [0.0, 1.0, 100.0, float("nan")])
    def test_false_hints_gain_no_service(self, hint):
        """Eight units are free at once and costs are known only at the end.

        If grants charged the hint alone, a workspace that hints at a cost of 0 would
        keep the least counter and get all units.
        """
        queue = FleetQueue()
        fill(queue, "liar", 400, hint=hint)
        fill(queue, "honest", 400, hint=100.0)
        served = {"liar": 0.0, "honest": 0.0}
        running = []
        for _ in range(400):
            while len(running) < 8:
                waiting = queue.pop()
                running.append((waiting.demand.workspace, queue.begin(waiting)))
            workspace, charge = running.pop(0)
            queue.finish(charge, 100.0)
            served[workspace] += 100.0
        assert served["liar"] <= served["honest"] + 8 * 100.0

    def test_low_hints_gain_no_units_in_a_burst(self):
        """Two workspaces send a burst of requests whose costs are known already.

        Only one of them sends correct hints; low hints must not gain units.
        """
        queue = FleetQueue()
        for name in ("liar", "honest"):
            queue.finish(queue.adopt(name, 0.0), 100.0)
        fill(queue, "liar", 20, hint=1.0)
        fill(queue, "honest", 20, hint=100.0)
        granted = []
        for _ in range(8):
            waiting = queue.pop()
            queue.begin(waiting)
            granted.append(waiting.demand.workspace)
        assert granted.count("liar") == 4

    def test_progress_beyond_the_estimate_is_charged_at_once(self):
        queue = FleetQueue()
        fill(queue, "a", 2, hint=10.0)
        charge = queue.begin(queue.pop())
        queue.progress(charge, 8.0)
        queue.progress(charge, 40.0)
        assert queue.account("a").counter == 48.0

    def test_final_cost_replaces_the_charge(self):
        queue = FleetQueue()
        fill(queue, "a", 2, hint=100.0)
        charge = queue.begin(queue.pop())
        queue.progress(charge, 5.0)
        queue.finish(charge, 7.0)
        assert queue.account("a").counter == 7.0
        assert queue.account("a").served == 7.0

    def test_adopted_service_is_charged_but_not_reported_again(self):
        queue = FleetQueue()
        charge = queue.adopt("a", 30.0)
        queue.finish(charge, 50.0)
        assert queue.account("a").counter == 50.0
        assert queue.account("a").served == 20.0


class TestEligible:
    def test_skipped_demand_is_served_first_once_it_is_eligible(self):
        """A demand's turn comes while only a server that it avoids is free.

        Another demand of its workspace is served instead. If the queue did not record
        the skipped demand, its turn and a suitable server would have to coincide.
        """
        queue = FleetQueue()
        queue.add(demand("picky", "a", avoid=("s1",)), "r1", 0.0)
        queue.add(demand("other", "a"), "r1", 1.0)
        fill(queue, "b", 5)
        taken = queue.pop(lambda row: not row.demand.avoid)
        assert taken.demand.demand_id == "other"
        queue.finish(queue.begin(taken), 500.0)
        assert queue.pop().demand.demand_id == "picky"

    def test_ineligible_demand_does_not_block_others(self):
        queue = FleetQueue()
        queue.add(demand("picky", "a", avoid=("s1",)), "r1", 0.0)
        queue.add(demand("other", "a"), "r1", 1.0)
        taken = queue.pop(lambda row: not row.demand.avoid)
        assert taken.demand.demand_id == "other"


class TestMemory:
    def test_idle_workspaces_are_forgotten(self):
        queue = FleetQueue()
        for number in range(100):
            fill(queue, f"w{number}", 1)
            serve(queue)
        fill(queue, "last", 1)
        serve(queue)
        queue.forget_idle(100.0)
        assert len(queue._accounts) <= 2


class GapMachine(RuleBasedStateMachine):
    """Run arrivals, grants, reports and ends in any order.

    While two workspaces stay backlogged, the difference between their charged service
    must stay within a band as wide as two costs plus the estimate errors of the leases
    that run at once.
    """

    LARGEST = 100.0
    UNITS = 3

    def __init__(self):
        super().__init__()
        self.queue = FleetQueue()
        self.count = 0
        self.running = []
        self.finished_service = dict.fromkeys("abc", 0.0)
        self.band = {}

    @rule(workspace=st.sampled_from("abc"), count=st.integers(1, 6))
    def arrive(self, workspace, count):
        for _ in range(count):
            self.count += 1
            hint = float(self.count * 37 % 100)
            row = demand(f"d{self.count}", workspace, hint=hint)
            assert self.queue.add(row, "r1", float(self.count))

    @precondition(lambda self: len(self.queue) and len(self.running) < self.UNITS)
    @rule(cost=st.sampled_from([1.0, 10.0, 100.0]))
    def grant(self, cost):
        waiting = self.queue.pop(now=float(self.count))
        self.running.append([self.queue.begin(waiting), cost, 0.0])

    @precondition(lambda self: self.running)
    @rule(index=st.integers(0, 2), part=st.floats(0.0, 1.0))
    def report(self, index, part):
        row = self.running[index % len(self.running)]
        service = part * (row[1] - row[2])
        self.queue.progress(row[0], service)
        row[2] += service

    @precondition(lambda self: self.running)
    @rule(index=st.integers(0, 2))
    def end(self, index):
        charge, cost, _ = self.running.pop(index % len(self.running))
        self.queue.finish(charge, cost)
        self.finished_service[charge.workspace] += cost

    @invariant()
    def gap_is_bounded(self):
        waiting = {row.name for row in self.queue.backlogged()}
        for pair in ("ab", "ac", "bc"):
            if not set(pair) <= waiting:
                self.band.pop(pair, None)
                continue
            gap = self._charged(pair[0]) - self._charged(pair[1])
            low, high = self.band.get(pair, (gap, gap))
            low, high = min(low, gap), max(high, gap)
            self.band[pair] = low, high
            bound = 2 * self.LARGEST + 2 * self.UNITS * self.LARGEST
            assert high - low <= bound, pair

    @invariant()
    def counters_of_backlogged_workspaces_stay_close(self):
        levels = [row.counter for row in self.queue.backlogged()]
        bound = self.LARGEST + self.UNITS * self.LARGEST
        assert not levels or max(levels) - min(levels) <= bound

    def _charged(self, workspace):
        running = [r[0].amount for r in self.running if r[0].workspace == workspace]
        return self.finished_service[workspace] + sum(running)


GapMachine.TestCase.settings = settings(
    derandomize=True, deadline=None, max_examples=60, stateful_step_count=60
)
TestGapBound = GapMachine.TestCase
