"""Series of releases and losses while routers' views of the store are old."""

import os

import pytest
from fleet_views import ViewFleet
from out_of_step_series import OutOfStepSeries
from paused_processes import run_processes

from fulmarroad_serving.streams import _keeper_table

SEEDS = range(int(os.environ.get("OUT_OF_STEP_SEEDS", "4")))
"""A few in CI; a long run by hand sets the variable to 200 or more."""


class TestSeries:
    @pytest.mark.parametrize("reuses_ids", [False, True])
    @pytest.mark.parametrize("seed", SEEDS)
    def test_no_caller_holds_events_of_two_versions(
        self, seed, reuses_ids, monkeypatch
    ):
        """Guard against streams of two versions, while versions join and leave and
        routers are paused, cut off from each other or from the store, and lost.
        """

        async def test(fleet):
            await OutOfStepSeries(fleet, seed, reuses_ids=reuses_ids).run()
            assert not fleet.mixed()
            assert any(row.whole for row in fleet.callers)

        if seed % 2:
            # As in a large fleet, a few routers keep each record.
            monkeypatch.setattr(_keeper_table, "SMALL_FLEET", 0)
        run_processes(ViewFleet(size=4 + seed % 4, seed=seed, loss=0.02).run, test)
