"""What it costs that an engine reads a shared part again."""

from fulmarroad_serving._engine_time import SCARCE, SPREAD_WAIT_S, reading_price
from fulmarroad_serving._shares import WorkspaceCount, shortage


class TestReadingPrice:
    def test_an_engine_that_stands_by_reads_for_anybody(self):
        assert reading_price(0.0, 0.0).spread_wait_s == SPREAD_WAIT_S

    def test_nobody_reads_again_while_much_is_turned_away(self):
        """A third of all calls is turned away. An engine that seems to stand empty, by
        news of a moment ago, is about to get calls whose parts it has.
        """
        price = reading_price(0.33, 1.0)
        assert price.spread_wait_s < 0.0
        assert price.weight > 3 * reading_price(0.0, 1.0).weight

    def test_a_part_that_many_ask_for_pays_its_reading_back(self):
        assert reading_price(0.33, 8.0).spread_wait_s > 0.5 * SPREAD_WAIT_S

    def test_the_price_rises_with_the_shortage(self):
        prices = [reading_price(step * SCARCE / 5, 1.0) for step in range(8)]
        weights = [row.weight for row in prices]
        waits = [row.spread_wait_s for row in prices]
        assert weights == sorted(set(weights))
        assert waits == sorted(waits, reverse=True)


class TestShortage:
    def test_it_is_the_part_that_nobody_got(self):
        counts = {"a": WorkspaceCount(900.0, 300.0), "b": WorkspaceCount(100.0, 100.0)}
        assert shortage(counts) == 0.6

    def test_more_than_was_asked_hides_nothing(self):
        """Calls that were asked for before the window are counted as got inside it."""
        counts = {"a": WorkspaceCount(900.0, 300.0), "b": WorkspaceCount(0.0, 600.0)}
        assert shortage(counts) == 1 - 300 / 900

    def test_nothing_asked_is_no_shortage(self):
        assert shortage({}) == 0.0
