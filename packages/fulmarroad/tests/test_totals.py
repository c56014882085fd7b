"""Service totals add up once, in any order, and close a gap at a bounded rate."""

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
    """Return a queue in which workspaces have waited for long, and its totals."""
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


class TestAbsorb:
    def test_service_elsewhere_counts_here(self):
        queue, totals = backlogged("a", "b")
        totals.receive_report(report(1, ("a", 100.0, 0.0, 5)), 10.0)
        totals.receive_report(report(2, ("a", 150.0, 0.0, 5)), 10.1)
        assert [serve(queue) for _ in range(5)] == ["b"] * 5

    @pytest.mark.parametrize("order", [(2, 3, 3), (3, 2, 3), (2, 2, 3), (3, 2, 2)])
    def test_reports_twice_or_out_of_order_add_nothing(self, order):
        """A network that doubles and reorders reports must not let a workspace
        look served twice, or it would be shut out."""
        queue, totals = backlogged("a", "b")
        totals.receive_report(report(1, ("a", 100.0, 0.0, 5)), 10.0)
        rows = {2: 150.0, 3: 175.0}
        for sequence in order:
            row = report(sequence, ("a", rows[sequence], 0.0, 5))
            totals.receive_report(row, 10.1)
        assert queue.account("a").counter == 75.0

    def test_a_lost_report_is_made_up_for_by_the_next(self):
        queue, totals = backlogged("a")
        totals.receive_report(report(1, ("a", 100.0, 0.0, 5)), 10.0)
        totals.receive_report(report(9, ("a", 180.0, 0.0, 5)), 11.0)
        assert queue.account("a").counter == 80.0

    def test_a_new_epoch_starts_from_its_own_sum(self):
        """A scheduler is replaced by one with no memory, whose sum starts at 0. By
        name alone its first report would look like service taken back."""
        queue, totals = backlogged("a")
        totals.receive_report(report(7, ("a", 500.0, 0.0, 5)), 10.0)
        fresh = Epoch("r3", 1, 1)
        totals.receive_report(report(1, ("a", 0.0, 0.0, 5), epoch=fresh), 10.1)
        totals.receive_report(report(2, ("a", 20.0, 0.0, 5), epoch=fresh), 10.2)
        assert queue.account("a").counter == 20.0

    def test_an_unknown_workspace_begins_at_its_lag(self):
        queue, totals = backlogged("a")
        serve(queue, 40.0)
        totals.receive_report(report(1, ("b", 900.0, 25.0, 5)), 10.0)
        assert queue.account("b").counter == 65.0

    def test_a_new_scheduler_takes_counters_from_the_first_report(self):
        queue, totals = backlogged("a", "b", now=10.0)
        totals.receive_report(report(5, ("a", 9.0, 300.0, 5), ("b", 9.0, 0.0, 5)), 10.2)
        assert [serve(queue) for _ in range(10)] == ["b"] * 10

    def test_a_workspace_backlogged_elsewhere_is_not_lifted_here(self):
        queue, totals = backlogged("a")
        totals.receive_report(report(1, ("b", 0.0, 0.0, 5)), 10.0)
        for _ in range(20):
            serve(queue)
        queue.add(Demand(HERE, "late", "b", 1.0, 10.0, 0.0, 1e5), "r1", 11.0)
        assert serve(queue) == "b"
        assert queue.account("b").counter == 10.0

    def test_a_dead_schedulers_entries_age_out(self):
        """A scheduler dies while a workspace waits only there. Kept for ever, its low
        counter would hold the floor down for everybody who returns."""
        queue, totals = backlogged("a")
        totals.receive_report(report(1, ("b", 0.0, 0.0, 5)), 10.0)
        for _ in range(20):
            serve(queue)
        queue.add(Demand(HERE, "late", "b", 1.0, 10.0, 0.0, 1e5), "r1", 20.0)
        assert queue.account("b").counter == queue.account("a").counter

    @pytest.mark.parametrize("wrong", [float("nan"), float("inf"), float("-inf")])
    def test_amounts_that_are_no_numbers_are_ignored(self, wrong):
        queue, totals = backlogged("a")
        totals.receive_report(
            report(1, ("a", wrong, 0.0, 5), ("c", 1.0, wrong, 5)), 10.0
        )
        assert queue.account("a").counter == 0.0


class TestAfterACut:
    """Two data centres lose each other for a minute and go on serving.

    What was served beyond the cut becomes known at once. Counted at once, a
    workspace that was served there would get nothing here for as long.
    """

    @pytest.fixture
    def rejoined(self):
        queue, totals = backlogged("served", "b")
        totals.receive_report(report(1, ("served", 0.0, 0.0, 5)), 10.0)
        totals.receive_report(report(2, ("served", 3000.0, 0.0, 5)), 70.0)
        return queue

    def test_nobody_is_starved(self, rejoined):
        served = [serve(rejoined) for _ in range(30)]
        assert served.count("served") >= 9

    def test_the_gap_closes_meanwhile(self, rejoined):
        served = [serve(rejoined) for _ in range(60)]
        assert served.count("b") >= 1.8 * served.count("served")

    def test_service_after_the_cut_counts_at_once(self, rejoined):
        before = rejoined.account("served").counter
        Totals(HERE, MINE, rejoined)
        assert before == 0.0
        assert rejoined.account("served").owed == 3000.0


class TestEntries:
    def test_only_backlogged_workspaces_are_told(self):
        queue, totals = backlogged("a")
        queue.adopt("idle", 50.0)
        assert [row.workspace for row in totals.entries(1.0)] == ["a"]

    def test_service_to_one_that_waits_elsewhere_is_told(self):
        queue, totals = backlogged()
        totals.receive_report(report(1, ("a", 0.0, 0.0, 5)), 10.0)
        queue.add(Demand(HERE, "d", "a", 1.0, 10.0, 0.0, 60.0), "r1", 10.0)
        serve(queue)
        (row,) = totals.entries(10.1)
        assert (row.workspace, row.served, row.waiting) == ("a", 10.0, 0)
        assert totals.pending_entries(10.2) == 0

    def test_what_is_left_out_comes_next(self):
        queue, totals = backlogged(*(f"w{number}" for number in range(100)))
        told = {row.workspace for row in totals.entries(1.0)}
        told |= {row.workspace for row in totals.entries(1.1)}
        assert len(told) == 100


class TestSpread:
    @pytest.mark.parametrize(("peers", "entries"), [(1, 1), (2, 16), (15, 64)])
    def test_reports_keep_within_the_control_budget(self, peers, entries):
        rows = [(f"workspace-{n:06d}", 123456.789, 98.7, 12) for n in range(entries)]
        size = len(encode(report(123456, *rows)))
        assert peers * size / spread_interval(peers, entries) <= 2500.0

    def test_no_faster_than_the_least_interval(self):
        assert spread_interval(0, 0) == 0.1


class TestGapBound:
    KNOWN = {
        "units": 8,
        "rate": 800.0,
        "interval_s": 0.1,
        "delay_s": 0.002,
        "largest_cost": 50.0,
        "estimate_error": 10.0,
    }

    def test_a_single_shard_has_no_part_for_reports(self):
        assert gap_bound(shards=1, **self.KNOWN) == 2 * 50 + 2 * 8 * (50 + 10)

    def test_it_grows_with_the_spread_interval(self):
        slow = gap_bound(shards=2, **{**self.KNOWN, "interval_s": 1.0})
        assert slow - gap_bound(shards=2, **self.KNOWN) == pytest.approx(4 * 800 * 0.9)
