"""Check the scheduler's state machine through its messages."""

from __future__ import annotations

import pytest

from fulmarroad.messages import (
    Demand,
    Finished,
    Grant,
    Heartbeat,
    Hello,
    Lend,
    Refuse,
    Started,
)
from fulmarroad.scheduling import Scheduler, grant_valid, make_queue
from fulmarroad.types import Epoch, Outcome, ShardId, Unit

SHARD = ShardId("chat", "dc1", 0)
EPOCH = Epoch("r1", 1, 1)


class FakeUnit:
    def __init__(self, unit):
        self.unit = unit


class FakeBook:
    """Hold units of one server, each owned by one router in turn."""

    def __init__(self, units, routers):
        self.owner = {
            Unit(f"s{index % 2}", index): routers[index % len(routers)]
            for index in range(units)
        }
        self.until = {}
        self.taken = {}

    def set_servers(self, pool, servers, taking, now):
        self.taking = taking
        return ()

    def lend(self, router, until, now):
        self.until[router] = until

    def recall(self, router):
        self.until.pop(router, None)

    def mark_lost(self, router, now):
        self.until.pop(router, None)

    def adopt_hint(self, hint, now):
        return ()

    def adopt_lease(self, lease, router, now):
        self.taken[lease.lease_id] = lease.unit

    def free(self, now):
        used = set(self.taken.values())
        return [
            FakeUnit(unit)
            for unit, router in self.owner.items()
            if unit not in used and self.until.get(router, -1) > now
        ]

    def take(self, unit, lease_id, router, now):
        assert unit not in self.taken.values()
        self.taken[lease_id] = unit

    def release(self, lease_id, now):
        del self.taken[lease_id]

    def observe(self, server, outcome, first_s, gap_s, service, now):
        return ()

    def status(self, now):
        return ()

    def capacity(self, now):
        return len(self.owner)


def demand(number, workspace="a", *, hint=1.0, waited=0.0, left=60.0, avoid=()):
    return Demand(SHARD, f"d{number}", workspace, 1.0, hint, waited, left, avoid=avoid)


def ready(units=2, routers=("r1", "r2"), now=0.0):
    book = FakeBook(units, routers)
    scheduler = Scheduler(
        SHARD, EPOCH, book, make_queue("fleet"), live=routers, now=now
    )
    for router in routers:
        scheduler.handle(router, Hello(SHARD, router, 1, "dc1", now), now)
    for router in routers:
        scheduler.handle(router, Lend(SHARD, EPOCH, now, now), now)
    return scheduler, book


def grants(sends):
    return [send.message for send in sends if isinstance(send.message, Grant)]


class TestGrants:
    def test_a_free_unit_is_granted_at_once(self):
        scheduler, _ = ready()
        (grant,) = grants(scheduler.handle("r1", demand(1), 0.1))
        assert grant.demand_id == "d1"
        assert grant_valid(grant, EPOCH, 0.5)

    def test_a_unit_that_frees_goes_to_the_next_in_line(self):
        scheduler, _ = ready(units=1)
        (first,) = grants(scheduler.handle("r1", demand(1), 0.1))
        assert not grants(scheduler.handle("r2", demand(2, "b"), 0.2))
        scheduler.handle("r1", Started(SHARD, first.lease_id), 0.2)
        done = Finished(SHARD, first.lease_id, Outcome.COMPLETED, 5.0)
        (second,) = grants(scheduler.handle("r1", done, 0.3))
        assert second.demand_id == "d2"

    def test_a_demand_that_cannot_be_met_is_refused_at_once(self):
        scheduler, _ = ready()
        (send,) = scheduler.handle("r1", demand(1, left=0.0), 0.1)
        assert isinstance(send.message, Refuse)

    def test_followers_hear_heartbeats(self):
        scheduler, _ = ready()
        beats = [s for s in scheduler.tick(0.5) if isinstance(s.message, Heartbeat)]
        assert {send.router for send in beats} == {"r1", "r2"}


class TestGrantValid:
    @pytest.mark.parametrize(
        ("following", "clock"), [(None, 0.0), (Epoch("r2", 1, 1), 0.0), (EPOCH, 1.0)]
    )
    def test_a_late_or_foreign_grant_is_refused(self, following, clock):
        grant = Grant(SHARD, EPOCH, "l", "d", Unit("s", 0), 0.0, 1.0)
        assert not grant_valid(grant, following, clock)
