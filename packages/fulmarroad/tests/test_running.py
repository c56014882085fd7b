"""Tests of the running leases and of the reports of the service that they used."""

import pytest
from attrs import evolve

from fulmarroad._following import Ask, Lease
from fulmarroad._running import RunningLeases
from fulmarroad.types import ShardId

HERE, THERE = ShardId("drafting", "fes", 0), ShardId("drafting", "rabat", 0)


@pytest.fixture
def leases():
    ask = Ask("d-1", "drafting", "coop", 1.0, 10.0, 0.0, 60.0)
    lease = Lease("l-1", HERE, None, None, ask, 1.0)
    leases = RunningLeases()
    leases.add(lease)
    leases.add(evolve(lease, lease_id="l-2"))
    leases.add(evolve(lease, lease_id="l-3", shard=THERE))
    return leases


class TestReports:
    def test_service_is_reported_once_and_by_shard(self, leases):
        leases.add_service("l-1", 5.0, None, None)
        leases.add_service("l-1", 7.0, 0.2, 0.05)
        leases.add_service("l-3", 1.0, None, None)
        rows = {row.shard: row.leases for row in leases.report(10.0)}
        assert [(u.lease_id, u.service, u.first_s) for u in rows[HERE]] == [
            ("l-1", 12.0, 0.2)
        ]
        assert [u.lease_id for u in rows[THERE]] == ["l-3"]
        assert leases.report(100.0) == []

    def test_reports_are_sent_at_the_report_interval(self, leases):
        leases.add_service("l-1", 5.0, None, None)
        assert leases.report(10.0)
        leases.add_service("l-1", 5.0, None, None)
        assert leases.report(10.01) == []
        assert leases.report(100.0)

    def test_service_after_the_end_of_a_lease_is_ignored(self, leases):
        leases.end("l-1")
        leases.add_service("l-1", 5.0, None, None)
        assert leases.report(10.0) == []
        assert leases.shard_of("l-1") is None
        assert len(leases) == 2

    def test_a_snapshot_contains_all_service_so_far(self, leases):
        """A new scheduler has no state of its predecessor. Service that is missing from
        the snapshot it gets would never be charged to the workspace.
        """
        leases.add_service("l-1", 5.0, None, None)
        leases.report(10.0)
        leases.add_service("l-1", 2.0, None, None)
        charged = {row.lease_id: row.charged for row in leases.snapshot(HERE, 11.0)}
        assert charged == {"l-1": 7.0, "l-2": 0.0}
        assert leases.report(100.0) == []
