"""Tests of the cost of reading a shared part again."""

from fulmarroad_serving._engine_time import SHORTAGE_LIMIT, SPREAD_WAIT_S, reading_price
from fulmarroad_serving._shares import WorkspaceCount, shortage


class TestReadingPrice:
    def test_allows_spreading_without_shortage(self):
        assert reading_price(0.0, 0.0).spread_wait_s == SPREAD_WAIT_S

    def test_forbids_spreading_while_many_calls_are_refused(self):
        """A third of all calls is refused. An engine that seems idle by a slightly
        outdated report is about to get calls whose parts it has cached.
        """
        price = reading_price(0.33, 1.0)
        assert price.spread_wait_s < 0.0
        assert price.weight > 3 * reading_price(0.0, 1.0).weight

    def test_allows_spreading_of_a_popular_part_under_shortage(self):
        assert reading_price(0.33, 8.0).spread_wait_s > 0.5 * SPREAD_WAIT_S

    def test_price_rises_with_the_shortage(self):
        prices = [reading_price(step * SHORTAGE_LIMIT / 5, 1.0) for step in range(8)]
        weights = [row.weight for row in prices]
        waits = [row.spread_wait_s for row in prices]
        assert weights == sorted(set(weights))
        assert waits == sorted(waits, reverse=True)


class TestShortage:
    def test_shortage_is_the_fraction_of_demand_not_granted(self):
        counts = {"a": WorkspaceCount(900.0, 300.0), "b": WorkspaceCount(100.0, 100.0)}
        assert shortage(counts) == 0.6

    def test_surplus_of_one_workspace_does_not_reduce_the_shortage(self):
        """Calls that arrived before the window can be granted within it, so a workspace
        may get more than it asked for in the window.
        """
        counts = {"a": WorkspaceCount(900.0, 300.0), "b": WorkspaceCount(0.0, 600.0)}
        assert shortage(counts) == 1 - 300 / 900

    def test_no_demand_means_no_shortage(self):
        assert shortage({}) == 0.0
