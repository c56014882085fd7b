"""A router believes only the scheduler that it follows, and loses no demand."""

import pytest
from attrs import evolve

from fulmarroad import messages as m
from fulmarroad._following import PROGRESS_S, SILENCE_S, progress_interval
from fulmarroad.coordination import (
    Ask,
    Follower,
    Granted,
    Rejected,
    SendTo,
)
from fulmarroad.tables import BackendServer, DataCentre, Pool, ServiceState, Tables
from fulmarroad.types import (
    Epoch,
    Outcome,
    RefusalReason,
    ShardId,
    Unit,
    Warmth,
)

FES, MARRAKECH = "fes-1", "marrakech-1"
LIVE = {FES: ("a", "b", "c"), MARRAKECH: ("x", "y")}


def make_tables(version=1, fes="in", servers=("s1", "s2")):
    pool = Pool(
        "drafting",
        servers=tuple(
            BackendServer(name, f"127.0.0.1:{9000 + index}", centre)
            for index, (name, centre) in enumerate(
                [*((name, FES) for name in servers), ("far", MARRAKECH)]
            )
        ),
    )
    centres = {
        FES: DataCentre(FES, ServiceState(fes)),
        MARRAKECH: DataCentre(MARRAKECH),
    }
    return Tables(version, {}, {}, {"drafting": pool}, centres)


class Bench:
    """Drive a follower and collect what it sends."""

    def __init__(self):
        self.follower = Follower("a", 1, FES)
        self.sent = []
        self.answers = []
        self.take(self.follower.set_live(LIVE, 0.0))
        self.take(self.follower.set_tables(make_tables(), 0.0))

    @property
    def shard(self):
        return ShardId("drafting", FES, 0)

    @property
    def scheduler(self):
        return self.follower.schedulers[self.shard]

    def take(self, decisions):
        for decision in decisions:
            target = self.sent if isinstance(decision, SendTo) else self.answers
            target.append(decision)

    def last(self, kind):
        return [sent for sent in self.sent if isinstance(sent.message, kind)][-1]

    def welcome(self, now=0.0, term=1):
        epoch = Epoch(self.scheduler, 7, term)
        message = m.Welcome(self.shard, epoch)
        self.take(self.follower.handle(self.scheduler, message, now))
        return epoch

    def submit(self, name="d1", now=0.0, deadline=60.0, **changes):
        ask = Ask(name, "drafting", "coop", 1.0, 100.0, now, deadline)
        self.take(self.follower.submit(evolve(ask, **changes), now))

    def grant(self, epoch, now=0.0, name="d1", echo=0.0, peer=None, server="s1"):
        unit = Unit(server, 0)
        grant = m.Grant(self.shard, epoch, "l1", name, unit, echo, 1.0)
        self.take(self.follower.handle(peer or self.scheduler, grant, now))


@pytest.fixture
def bench():
    return Bench()


class TestAsking:
    def test_hello_goes_to_the_scheduler_of_each_own_shard(self, bench):
        hello = bench.last(m.Hello)
        assert hello.peer == bench.scheduler
        assert hello.message.shard == bench.shard

    def test_valid_grant_becomes_a_lease(self, bench):
        epoch = bench.welcome()
        bench.submit()
        bench.grant(epoch)
        [granted] = bench.answers
        assert isinstance(granted, Granted)
        assert granted.lease.server.name == "s1"

    def test_pool_without_servers_in_service_is_refused_at_once(self, bench):
        bench.submit(pool="ledger")
        [rejected] = bench.answers
        assert rejected.reason is RefusalReason.NO_SERVERS

    def test_overdue_demand_is_withdrawn_and_answered(self, bench):
        bench.welcome()
        bench.submit(deadline=1.0)
        bench.take(bench.follower.tick(1.0))
        assert bench.last(m.Withdraw).message.demand_id == "d1"
        assert isinstance(bench.answers[0], Rejected)

    def test_progress_is_batched(self, bench):
        epoch = bench.welcome()
        bench.submit()
        bench.grant(epoch)
        bench.follower.progress("l1", 3.0)
        bench.follower.progress("l1", 4.0)
        bench.take(bench.follower.tick(0.3))
        bench.take(bench.follower.tick(0.3))
        reports = [s for s in bench.sent if isinstance(s.message, m.Progress)]
        [report] = reports
        assert report.message.leases == (m.ServiceUsed("l1", 7.0),)

    def test_many_running_requests_are_reported_less_often(self):
        assert progress_interval(4) == PROGRESS_S
        assert 108 * 40 / progress_interval(108) == pytest.approx(1500.0)


class TestBelief:
    @pytest.mark.parametrize(
        ("change", "now"),
        [
            ({"term": 0}, 0.0),
            ({"incarnation": 6}, 0.0),
            ({}, 1.0),
        ],
        ids=["older term", "older incarnation", "start-by time passed"],
    )
    def test_grant_of_a_scheduler_that_woke_late_is_declined(self, bench, change, now):
        # A scheduler froze, others took over, and it wakes with grants for units that
        # its successor granted meanwhile. A caller would see an overloaded server.
        epoch = bench.welcome()
        bench.submit()
        bench.grant(evolve(epoch, **change), now=now)
        assert bench.answers == []
        assert bench.last(m.Finished).message.outcome is Outcome.DECLINED

    def test_grant_of_another_router_is_declined(self, bench):
        epoch = bench.welcome()
        bench.submit()
        other = next(name for name in LIVE[FES] if name != bench.scheduler)
        bench.grant(epoch, peer=other)
        assert bench.answers == []
        assert bench.last(m.Finished).peer == other

    def test_late_grant_under_the_current_epoch_asks_again(self, bench):
        # The scheduler has forgotten a demand that it granted. If the router did not
        # ask again, its caller would wait until the deadline for nothing.
        epoch = bench.welcome()
        bench.submit()
        bench.sent.clear()
        bench.grant(epoch, now=1.5)
        assert bench.last(m.Demand).message.demand_id == "d1"

    def test_grant_for_a_server_taken_out_is_declined(self, bench):
        # A grant crosses a table that takes its data centre out of service. Without
        # this check the data centre would get new work after it was taken out.
        epoch = bench.welcome()
        bench.submit()
        bench.take(bench.follower.set_tables(make_tables(2, fes="out"), 0.1))
        bench.grant(epoch, now=0.1)
        assert bench.answers == []
        assert bench.last(m.Finished).message.outcome is Outcome.DECLINED

    def test_grant_that_comes_twice_runs_once(self, bench):
        epoch = bench.welcome()
        bench.submit()
        bench.grant(epoch)
        bench.grant(epoch)
        assert len(bench.answers) == 1


class TestLostScheduler:
    def test_next_scheduler_hears_of_waiting_and_running_requests(self, bench):
        # The scheduler's VM dies. Its memory was the only place where the shard's
        # queue stood; callers must neither wait for ever nor run twice.
        epoch = bench.welcome()
        bench.submit("d1")
        bench.grant(epoch)
        bench.submit("d2", now=1.0)
        former = bench.scheduler
        bench.take(bench.follower.link_lost(former, 3.0))
        hello = bench.last(m.Hello)
        assert hello.peer == bench.scheduler != former
        assert [demand.demand_id for demand in hello.message.demands] == ["d2"]
        assert hello.message.demands[0].waited_s == 2.0
        assert [lease.lease_id for lease in hello.message.leases] == ["l1"]

    def test_silent_scheduler_is_passed_over(self, bench):
        # A frozen process keeps its connections open, so nothing breaks.
        bench.welcome()
        former = bench.scheduler
        bench.take(bench.follower.tick(SILENCE_S - 0.1))
        assert bench.scheduler == former
        bench.take(bench.follower.tick(SILENCE_S + 0.1))
        assert bench.scheduler != former

    def test_former_scheduler_is_asked_again_after_a_while(self, bench):
        former = bench.scheduler
        bench.take(bench.follower.link_lost(former, 0.0))
        assert bench.scheduler != former
        bench.welcome(2.0)
        bench.take(bench.follower.tick(3.1))
        assert bench.scheduler == former

    def test_last_router_schedules_for_itself(self, bench):
        for peer in ("b", "c"):
            bench.take(bench.follower.link_lost(peer, 0.0))
        assert bench.scheduler == "a"


class TestHints:
    def beat(self, bench, epoch, warmth, *, settled, informed=True):
        row = m.ServerStatus("s1", warmth, 8, 0, 8, informed)
        beat = m.Heartbeat(bench.shard, epoch, 0.0, (row,), settled=settled)
        bench.take(bench.follower.handle(bench.scheduler, beat, 0.1))

    def test_scheduler_that_has_just_begun_leaves_no_hints(self, bench):
        # Routers are replaced one after the other, and roles move with each. A new
        # scheduler calls every server cold before it has heard from its followers;
        # as a hint to the next one that made warm servers cold and idle.
        epoch = bench.welcome()
        self.beat(bench, epoch, Warmth.WARM, settled=True)
        self.beat(bench, epoch, Warmth.COLD, settled=False)
        bench.take(bench.follower.link_lost(bench.scheduler, 0.2))
        [hint] = bench.last(m.Hello).message.hints
        assert hint.warmth is Warmth.WARM

    def test_scheduler_that_knows_nothing_of_a_server_leaves_no_hint(self, bench):
        # For a moment two routers hold the role, and few follow the second one. It
        # settles by time alone without having heard of any server.
        epoch = bench.welcome()
        self.beat(bench, epoch, Warmth.WARM, settled=True)
        self.beat(bench, epoch, Warmth.COLD, settled=True, informed=False)
        bench.take(bench.follower.link_lost(bench.scheduler, 0.2))
        [hint] = bench.last(m.Hello).message.hints
        assert hint.warmth is Warmth.WARM

    def test_next_scheduler_hears_that_the_role_was_handed_over(self, bench):
        epoch = bench.welcome()
        assert not bench.last(m.Hello).message.handed_over
        step = m.StepDown(bench.shard, epoch)
        bench.take(bench.follower.handle(bench.scheduler, step, 0.2))
        assert bench.last(m.Hello).message.handed_over


class TestMoves:
    def test_demand_moves_to_the_named_shard(self, bench):
        epoch = bench.welcome()
        bench.submit()
        target = ShardId("drafting", MARRAKECH, 0)
        move = m.Move(bench.shard, epoch, "d1", target)
        bench.take(bench.follower.handle(bench.scheduler, move, 0.5))
        hello = bench.last(m.Hello)
        assert hello.message.shard == target
        assert hello.message.demands[0].moves == 1

    def test_moved_demand_is_not_granted_by_the_former_shard(self, bench):
        # Withdrawn first, then asked elsewhere: never two grants for one request.
        epoch = bench.welcome()
        bench.submit()
        move = m.Move(bench.shard, epoch, "d1", ShardId("drafting", MARRAKECH, 0))
        bench.take(bench.follower.handle(bench.scheduler, move, 0.5))
        bench.grant(epoch, now=0.6)
        assert bench.answers == []

    def test_data_centre_taken_out_hands_its_demands_on(self, bench):
        bench.welcome()
        bench.submit()
        bench.take(bench.follower.set_tables(make_tables(2, fes="out"), 0.1))
        assert bench.last(m.Withdraw).message.shard == bench.shard
        hello = bench.last(m.Hello)
        assert hello.message.shard.data_centre == MARRAKECH
        assert [demand.demand_id for demand in hello.message.demands] == ["d1"]

    def test_foreign_shard_is_let_go_when_unused(self, bench):
        epoch = bench.welcome()
        bench.submit()
        target = ShardId("drafting", MARRAKECH, 0)
        move = m.Move(bench.shard, epoch, "d1", target)
        bench.take(bench.follower.handle(bench.scheduler, move, 0.5))
        bench.take(bench.follower.withdraw("d1", 0.6))
        bench.take(bench.follower.tick(40.0))
        assert target not in bench.follower.follows
