"""Reports between schedulers keep within their budget, whatever the pool's size."""

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


def spreading(workspaces, peers):
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
    def test_bytes_a_second_stay_within_it(self, workspaces, peers):
        """A pool grows to 16 schedulers and its workspaces are all backlogged. Whole
        reports at a fixed interval would take the whole network budget of a VM."""
        sent = reports(spreading(workspaces, peers), 60.0)
        size = peers * sum(len(encode(row)) for row in sent)
        assert size <= CONTROL_BYTES_S * 60.0 + BURST_BYTES

    def test_every_workspace_has_its_turn(self):
        sent = reports(spreading(40, 15), 60.0)
        told = {entry.workspace for row in sent for entry in row.entries}
        assert len(told) == 40

    def test_free_units_are_told_even_if_nothing_can_be_paid_for(self):
        sent = reports(spreading(2000, 200), 20.0)
        assert len(sent) >= 9
