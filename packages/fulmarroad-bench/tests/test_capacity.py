"""Line fits, measured sizes and the sums of the capacity bench."""

from __future__ import annotations

import json

import pytest
from attrs import evolve

from fulmarroad.messages import decode, encode
from fulmarroad.scheduling import gap_bound, spread_interval
from fulmarroad_bench import _capacity_control as control
from fulmarroad_bench import capacity
from fulmarroad_bench._capacity_size import TARGET_FLEET
from fulmarroad_bench._capacity_state import build_keys, build_store, run_probes
from fulmarroad_bench._capacity_sums import CostTerm
from fulmarroad_bench._slopes import allocated_bytes, fit


class TestFit:
    def test_recovers_slope_and_intercept(self):
        slope = fit("x", "thing", "B", (1, 2, 4), (13.0, 16.0, 22.0))
        assert (slope.each, slope.fixed) == (pytest.approx(3), pytest.approx(10))
        assert slope.misfit == pytest.approx(0, abs=1e-9)

    def test_misfit_is_the_largest_relative_distance(self):
        slope = fit("x", "thing", "B", (0, 1, 2), (0.0, 9.0, 0.0))
        assert slope.misfit == pytest.approx(6 / 9)

    @pytest.mark.parametrize("sizes", [(1, 2), (1, 2, 2), (1, 2, 3, 4)])
    def test_rejects_fewer_than_three_sizes_or_unequal_lengths(self, sizes):
        with pytest.raises(ValueError, match="three sizes"):
            fit("x", "thing", "B", sizes, (1.0, 2.0, 3.0))


class TestAllocatedBytes:
    def test_counts_retained_and_not_temporary_memory(self):
        def build():
            bytearray(500_000)
            return bytearray(100_000)

        assert 100_000 <= allocated_bytes(build) < 101_000


class TestMeasurements:
    def test_report_bytes_match_the_encoded_length(self):
        slopes = {slope.name: slope for slope in control.report_slopes()}
        slope = slopes["report_bytes"]
        sizes = [len(encode(control.report(n))) for n in slope.sizes]
        assert list(slope.values) == sizes
        assert slope.misfit < 0.01

    def test_messages_of_a_request_survive_encoding(self):
        for message in control.request_messages(blocks=16):
            assert decode(encode(message)) == (message,)

    def test_more_workspaces_take_more_memory(self):
        few, many = (allocated_bytes(lambda n=n: build_store(n)) for n in (50, 150))
        assert many > few + 100 * 100

    def test_all_keys_are_recorded(self):
        assert len(build_keys(20)) == 20

    def test_a_fleet_without_changes_sends_a_ping_and_an_answer_each_period(self):
        packets, size, _ = run_probes(12)
        assert 12 * 3 * 1.8 <= packets <= 12 * 3 * 2.3
        assert 100 < size / packets < 1200


class TestFleetSize:
    def test_derived_sizes_of_the_target_fleet(self):
        assert TARGET_FLEET.tokens_of_request == pytest.approx(206.45, abs=0.01)
        assert TARGET_FLEET.running == pytest.approx(40_765, abs=1)
        assert TARGET_FLEET.shards_of_pool == 24
        assert TARGET_FLEET.backlogged_of_pool == 115


class TestOutputLine:
    def test_bounds_match_the_library_functions(self):
        limits = capacity.bounds(evolve(TARGET_FLEET, models=1, centres=1, servers=8))
        interval = spread_interval(0, 1600)
        assert limits["spread_interval_s"] == interval
        assert limits["gap_bound_tokens"] == gap_bound(
            units=40_765,
            shards=1,
            rate=640_000.0,
            interval_s=interval,
            delay_s=TARGET_FLEET.delay_s,
            largest_cost=TARGET_FLEET.largest_cost,
            estimate_error=TARGET_FLEET.estimate_error,
        )

    def test_output_contains_every_slope(self):
        slopes = [fit("x", "thing", "B", (1, 2, 4), (13.0, 16.0, 22.0))]
        limits = capacity.bounds(TARGET_FLEET)
        line = json.loads(json.dumps(capacity.line(slopes, limits, [])))
        assert set(line) == {"slopes", "size", "bounds", "totals", "limits"}
        assert line["slopes"]["x"]["each"] == pytest.approx(3)
        assert "x" in capacity.table(slopes, limits)


class TestTotals:
    def test_only_a_total_above_its_limit_is_marked_passed(self):
        rows = [
            CostTerm("a", "sent", "x", "7,000 x 1", 7000.0),
            CostTerm("a", "bytes", "y", "32e6 x 1", 32e6),
            CostTerm("b", "bytes", "z", "1 x 1", 1.0),
        ]
        *_, sent, received, cpu, held = capacity.format_cost_terms(rows).splitlines()
        assert sent.endswith("within")
        assert received.endswith("within")
        assert cpu.endswith("within")
        assert held.endswith("PASSED")
