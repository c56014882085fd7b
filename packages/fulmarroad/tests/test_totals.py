"""Test that service totals are added once, in any order, and gaps close gradually."""

from __future__ import annotations

import pytest

from fulmarroad.messages import Demand, ServiceEntry, ServiceReport, encode
from fulmarroad.scheduling import FleetQueue, Totals, gap_bound, spread_interval
from fulmarroad.types import Epoch, ShardId

HERE = ShardId("chat", "dc1", 0)
THERE = ShardId("chat", "dc2", 0)
MINE = Epoch("r1", 1, 1)
OTHER = Epoch("r2", 1, 1)


def report(sequence, *entries, epoch=OTHER, shard=THERE):
    rows = tuple(ServiceEntry(*entry) for entry in entries)
    return ServiceReport(shard, epoch, sequence, 0, 8, 1, rows)


def backlogged(*names, now=0.0):
    """Return a queue with backlogged workspaces, and its totals."""
    queue = FleetQueue()
    for name in names:
        for number in range(100):
            demand = Demand(HERE, f"{name}{number}", name, 1.0, 10.0, 0.0, 1e5)
            queue.add(demand, "r1", now)
    return queue, Totals(HERE, MINE, queue)


def serve(queue, cost=10.0):
    waiting = queue.pop()
    queue.finish(queue.begin(waiting), cost)
    return waiting.demand.workspace


class TestReceiveReport:
    def test_service_by_other_schedulers_is_added(self):
        queue, totals = backlogged("a", "b")
        totals.receive_report(report(1, ("a", 100.0, 0.0, 5)), 10.0)
        totals.receive_report(report(2, ("a", 150.0, 0.0, 5)), 10.1)
        assert [serve(queue) for _ in range(5)] == ["b"] * 5

    @pytest.mark.parametrize("order", [(2, 3, 3), (3, 2, 3), (2, 2, 3), (3, 2, 2)])
    def test_duplicate_and_reordered_reports_add_nothing(self, order):
        """If duplicate or reordered reports were added again, the workspace would
        appear to be served twice and would starve."""
        queue, totals = backlogged("a", "b")
        totals.receive_report(report(1, ("a", 100.0, 0.0, 5)), 10.0)
        rows = {2: 150.0, 3: 175.0}
        for sequence in order:
            row = report(sequence, ("a", rows[sequence], 0.0, 5))
            totals.receive_report(row, 10.1)
        assert queue.account("a").counter == 75.0

    def test_next_report_includes_the_service_of_a_lost_one(self):
        queue, totals = backlogged("a")
        totals.receive_report(report(1, ("a", 100.0, 0.0, 5)), 10.0)
        totals.receive_report(report(9, ("a", 180.0, 0.0, 5)), 11.0)
        assert queue.account("a").counter == 80.0

    def test_new_epoch_starts_from_its_own_sum(self):
        """A scheduler is replaced by one without state, whose sums start at 0.

        If sums were not kept per epoch, its first report would reduce the counter.
        """
        queue, totals = backlogged("a")
        totals.receive_report(report(7, ("a", 500.0, 0.0, 5)), 10.0)
        fresh = Epoch("r3", 1, 1)
        totals.receive_report(report(1, ("a", 0.0, 0.0, 5), epoch=fresh), 10.1)
        totals.receive_report(report(2, ("a", 20.0, 0.0, 5), epoch=fresh), 10.2)
        assert queue.account("a").counter == 20.0

    def test_unknown_workspace_starts_at_its_reported_lag(self):
        queue, totals = backlogged("a")
        serve(queue, 40.0)
        totals.receive_report(report(1, ("b", 900.0, 25.0, 5)), 10.0)
        assert queue.account("b").counter == 65.0

    def test_new_scheduler_sets_counters_from_the_first_report(self):
        queue, totals = backlogged("a", "b", now=10.0)
        totals.receive_report(report(5, ("a", 9.0, 300.0, 5), ("b", 9.0, 0.0, 5)), 10.2)
        assert [serve(queue) for _ in range(10)] == ["b"] * 10

    def test_workspace_backlogged_elsewhere_keeps_its_counter(self):
        queue, totals = backlogged("a")
        totals.receive_report(report(1, ("b", 0.0, 0.0, 5)), 10.0)
        for _ in range(20):
            serve(queue)
        queue.add(Demand(HERE, "late", "b", 1.0, 10.0, 0.0, 1e5), "r1", 11.0)
        assert serve(queue) == "b"
        assert queue.account("b").counter == 10.0

    def test_entries_of_a_dead_scheduler_expire(self):
        """A scheduler dies while a workspace is backlogged only there.

        If its entry did not expire, its low counter would keep the floor low for all
        workspaces that return from idle.
        """
        queue, totals = backlogged("a")
        totals.receive_report(report(1, ("b", 0.0, 0.0, 5)), 10.0)
        for _ in range(20):
            serve(queue)
        queue.add(Demand(HERE, "late", "b", 1.0, 10.0, 0.0, 1e5), "r1", 20.0)
        assert queue.account("b").counter == queue.account("a").counter

    @pytest.mark.parametrize("wrong", [float("nan"), float("inf"), float("-inf")])
    def test_amounts_that_are_not_finite_are_ignored(self, wrong):
        queue, totals = backlogged("a")
        totals.receive_report(
            report(1, ("a", wrong, 0.0, 5), ("c", 1.0, wrong, 5)), 10.0
        )
        assert queue.account("a").counter == 0.0


class TestAfterPartition:
    """Two data centres are partitioned for a minute and both keep serving.

    The service on the other side is then reported all at once. If it were added at
    once, the workspace served there would get no service here for as long.
    """

    @pytest.fixture
    def rejoined(self):
        queue, totals = backlogged("served", "b")
        totals.receive_report(report(1, ("served", 0.0, 0.0, 5)), 10.0)
        totals.receive_report(report(2, ("served", 3000.0, 0.0, 5)), 70.0)
        return queue

    def test_no_workspace_starves(self, rejoined):
        served = [serve(rejoined) for _ in range(30)]
        assert served.count("served") >= 9

    def test_gap_closes_gradually(self, rejoined):
        served = [serve(rejoined) for _ in range(60)]
        assert served.count("b") >= 1.8 * served.count("served")

    def test_late_service_becomes_debt(self, rejoined):
        before = rejoined.account("served").counter
        Totals(HERE, MINE, rejoined)
        assert before == 0.0
        assert rejoined.account("served").debt == 3000.0


class TestEntries:
    def test_only_backlogged_workspaces_are_reported(self):
        queue, totals = backlogged("a")
        queue.adopt("idle", 50.0)
        assert [row.workspace for row in totals.entries(1.0)] == ["a"]

    def test_service_to_a_workspace_backlogged_elsewhere_is_reported(self):
        queue, totals = backlogged()
        totals.receive_report(report(1, ("a", 0.0, 0.0, 5)), 10.0)
        queue.add(Demand(HERE, "d", "a", 1.0, 10.0, 0.0, 60.0), "r1", 10.0)
        serve(queue)
        (row,) = totals.entries(10.1)
        assert (row.workspace, row.served, row.waiting) == ("a", 10.0, 0)
        assert totals.pending_entries(10.2) == 0

    def test_next_report_contains_the_workspaces_left_out(self):
        queue, totals = backlogged(*(f"w{number}" for number in range(100)))
        sent = {row.workspace for row in totals.entries(1.0)}
        sent |= {row.workspace for row in totals.entries(1.1)}
        assert len(sent) == 100


class TestSpreadInterval:
    @pytest.mark.parametrize(("peers", "entries"), [(1, 1), (2, 16), (15, 64)])
    def test_reports_keep_within_the_control_budget(self, peers, entries):
        rows = [(f"workspace-{n:06d}", 123456.789, 98.7, 12) for n in range(entries)]
        size = len(encode(report(123456, *rows)))
        assert peers * size / spread_interval(peers, entries) <= 2500.0

    def test_interval_is_not_below_the_minimum(self):
        assert spread_interval(0, 0) == 0.1


class TestGapBound:
    PARAMETERS = {
        "units": 8,
        "rate": 800.0,
        "interval_s": 0.1,
        "delay_s": 0.002,
        "largest_cost": 50.0,
        "estimate_error": 10.0,
    }

    def test_bound_of_a_single_shard_has_no_terms_for_reports(self):
        assert gap_bound(shards=1, **self.PARAMETERS) == 2 * 50 + 2 * 8 * (50 + 10)

    def test_bound_grows_with_the_spread_interval(self):
        slow = gap_bound(shards=2, **{**self.PARAMETERS, "interval_s": 1.0})
        assert slow - gap_bound(shards=2, **self.PARAMETERS) == pytest.approx(
            4 * 800 * 0.9
        )
