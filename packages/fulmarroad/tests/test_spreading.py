"""Tests that reports between schedulers stay within their byte budget."""

from __future__ import annotations

import pytest

from fulmarroad._pool_reporter import PoolReporter
from fulmarroad._service_times import ServiceTimeEstimator
from fulmarroad._totals import BURST_BYTES, CONTROL_BYTES_S
from fulmarroad.capacity import ServerBook
from fulmarroad.messages import Demand, encode
from fulmarroad.scheduling import FleetQueue
from fulmarroad.tables import BackendServer, Pool
from fulmarroad.types import Epoch, ShardId

SHARD = ShardId("chat", "dc1", 0)


def new_reporter(workspaces, peers):
    queue = FleetQueue()
    for number in range(workspaces):
        name = f"workspace-{number:06d}"
        queue.add(Demand(SHARD, f"d{number}", name, 1.0, 9.0, 0.0, 60.0), "r1", 0.0)
    servers = (BackendServer("s1", "127.0.0.1:1", "dc1"),)
    book = ServerBook(Pool("chat"), servers, now=0.0)
    part = PoolReporter(
        SHARD, Epoch("r1", 1, 1), book, queue, ServiceTimeEstimator(), 0.0
    )
    part.set_peers(peers)
    return part


def reports(part, seconds):
    rows = (part.report(tick * 0.05) for tick in range(int(seconds / 0.05)))
    return [row for row in rows if row is not None]


class TestBudget:
    @pytest.mark.parametrize(("workspaces", "peers"), [(16, 2), (120, 15), (2000, 15)])
    def test_bytes_sent_stay_within_the_budget(self, workspaces, peers):
        """In a pool of 16 schedulers with all workspaces backlogged, full reports at a
        fixed interval would use the whole network budget of a VM."""
        sent = reports(new_reporter(workspaces, peers), 60.0)
        size = peers * sum(len(encode(row)) for row in sent)
        assert size <= CONTROL_BYTES_S * 60.0 + BURST_BYTES

    def test_every_workspace_is_reported_in_turn(self):
        sent = reports(new_reporter(40, 15), 60.0)
        reported = {entry.workspace for row in sent for entry in row.entries}
        assert len(reported) == 40

    def test_free_units_are_reported_even_without_budget_for_entries(self):
        sent = reports(new_reporter(2000, 200), 20.0)
        assert len(sent) >= 9
