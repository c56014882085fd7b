"""Tests of the policies, above all of the baselines that `fleet` is compared with."""

from __future__ import annotations

import pytest

from fulmarroad.exceptions import ConfigurationError
from fulmarroad.messages import Demand
from fulmarroad.scheduling import make_queue
from fulmarroad.types import ShardId

SHARD = ShardId("chat", "dc1", 0)
ROUTERS = ("r1", "r2", "r3")


def add(queue, name, workspace, router="r1", now=0.0):
    queue.add(Demand(SHARD, name, workspace, 1.0, 10.0, 0.0, 60.0), router, now)


def serve_next(queue, count):
    """Serve the next demands; return their workspaces."""
    served = []
    for _ in range(count):
        waiting = queue.pop(lambda row: True, 0.0)
        queue.finish(queue.begin(waiting), 10.0)
        served.append(waiting.demand.workspace)
    return served


class TestMakeQueue:
    def test_the_error_names_an_unknown_policy(self):
        with pytest.raises(ConfigurationError, match="lottery"):
            make_queue("lottery")

    @pytest.mark.parametrize("policy", ["fleet", "fifo", "local"])
    def test_every_policy_serves_removes_and_restores(self, policy):
        queue = make_queue(policy)
        for number in range(4):
            add(queue, f"d{number}", "a", ROUTERS[number % 3], float(number))
        assert queue.remove("d1").demand.demand_id == "d1"
        assert queue.remove("d1") is None
        waiting = queue.pop(lambda row: True, 5.0)
        assert "d0" not in queue
        assert queue.restore(waiting, 5.0)
        assert not queue.restore(waiting, 5.0)
        assert {row.demand.demand_id for row in queue} == {"d0", "d2", "d3"}
        assert queue.get("d2") is not None
        assert len(queue) == 3

    def test_only_the_fleet_policy_reports_totals(self):
        reporting = [
            p for p in ("fleet", "fifo", "local") if make_queue(p).reports_totals
        ]
        assert reporting == ["fleet"]


class TestFifoQueue:
    def test_demands_are_served_in_order_of_arrival(self):
        queue = make_queue("fifo")
        for number in range(10):
            add(queue, f"f{number}", "flood")
        add(queue, "s", "small", now=1.0)
        assert serve_next(queue, 11) == ["flood"] * 10 + ["small"]


class TestLocalQueue:
    def test_a_workspace_gets_a_share_at_each_of_its_routers(self):
        """A large workspace sends through all routers and a small one through one. Each
        router is fair on its own, so the large one gets most of the service."""
        queue = make_queue("local")
        for number in range(60):
            add(queue, f"l{number}", "large", ROUTERS[number % 3])
            add(queue, f"s{number}", "small", "r1")
        served = serve_next(queue, 60)
        assert served.count("small") == pytest.approx(10, abs=1)
