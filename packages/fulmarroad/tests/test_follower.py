"""A follower accepts grants only from its current scheduler and loses no demand."""

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
    """Call a follower, and collect the messages and answers it returns."""

    def __init__(self):
        self.follower = Follower("a", 1, FES)
        self.sent = []
        self.answers = []
        self.collect(self.follower.set_live(LIVE, 0.0))
        self.collect(self.follower.set_tables(make_tables(), 0.0))

    @property
    def shard(self):
        return ShardId("drafting", FES, 0)

    @property
    def scheduler(self):
        return self.follower.schedulers[self.shard]

    def collect(self, decisions):
        for decision in decisions:
            target = self.sent if isinstance(decision, SendTo) else self.answers
            target.append(decision)

    def last_sent(self, kind):
        return [sent for sent in self.sent if isinstance(sent.message, kind)][-1]

    def welcome(self, now=0.0, term=1):
        epoch = Epoch(self.scheduler, 7, term)
        message = m.Welcome(self.shard, epoch)
        self.collect(self.follower.handle(self.scheduler, message, now))
        return epoch

    def submit(self, name="d1", now=0.0, deadline=60.0, **changes):
        ask = Ask(name, "drafting", "coop", 1.0, 100.0, now, deadline)
        self.collect(self.follower.submit(evolve(ask, **changes), now))

    def grant(self, epoch, now=0.0, name="d1", echo=0.0, peer=None, server="s1"):
        unit = Unit(server, 0)
        grant = m.Grant(self.shard, epoch, "l1", name, unit, echo, 1.0)
        self.collect(self.follower.handle(peer or self.scheduler, grant, now))


@pytest.fixture
def bench():
    return Bench()


class TestRequests:
    def test_hello_is_sent_to_the_scheduler_of_each_local_shard(self, bench):
        hello = bench.last_sent(m.Hello)
        assert hello.peer == bench.scheduler
        assert hello.message.shard == bench.shard

    def test_valid_grant_becomes_a_lease(self, bench):
        epoch = bench.welcome()
        bench.submit()
        bench.grant(epoch)
        [granted] = bench.answers
        assert isinstance(granted, Granted)
        assert granted.lease.server.name == "s1"

    def test_request_for_a_pool_without_servers_is_rejected_at_once(self, bench):
        bench.submit(pool="ledger")
        [rejected] = bench.answers
        assert rejected.reason is RefusalReason.NO_SERVERS

    def test_overdue_demand_is_withdrawn_and_rejected(self, bench):
        bench.welcome()
        bench.submit(deadline=1.0)
        bench.collect(bench.follower.tick(1.0))
        assert bench.last_sent(m.Withdraw).message.demand_id == "d1"
        assert isinstance(bench.answers[0], Rejected)

    def test_progress_is_sent_in_batches(self, bench):
        epoch = bench.welcome()
        bench.submit()
        bench.grant(epoch)
        bench.follower.progress("l1", 3.0)
        bench.follower.progress("l1", 4.0)
        bench.collect(bench.follower.tick(0.3))
        bench.collect(bench.follower.tick(0.3))
        reports = [s for s in bench.sent if isinstance(s.message, m.Progress)]
        [report] = reports
        assert report.message.leases == (m.ServiceUsed("l1", 7.0),)

    def test_many_running_requests_are_reported_less_often(self):
        assert progress_interval(4) == PROGRESS_S
        assert 108 * 40 / progress_interval(108) == pytest.approx(1500.0)


class TestGrantValidation:
    @pytest.mark.parametrize(
        ("change", "now"),
        [
            ({"term": 0}, 0.0),
            ({"incarnation": 6}, 0.0),
            ({}, 1.0),
        ],
        ids=["older term", "older incarnation", "start-by time passed"],
    )
    def test_outdated_grant_is_declined(self, bench, change, now):
        # A frozen scheduler is replaced, resumes and sends grants for units that its
        # successor has granted meanwhile. Accepting them would overload the server.
        epoch = bench.welcome()
        bench.submit()
        bench.grant(evolve(epoch, **change), now=now)
        assert bench.answers == []
        assert bench.last_sent(m.Finished).message.outcome is Outcome.DECLINED

    def test_grant_of_a_router_that_is_not_followed_is_declined(self, bench):
        epoch = bench.welcome()
        bench.submit()
        other = next(name for name in LIVE[FES] if name != bench.scheduler)
        bench.grant(epoch, peer=other)
        assert bench.answers == []
        assert bench.last_sent(m.Finished).peer == other

    def test_demand_is_submitted_again_after_a_late_grant_of_the_current_epoch(
        self, bench
    ):
        # A scheduler drops a demand when it grants it. If the router declined the late
        # grant without a new demand, the caller would wait until its deadline.
        epoch = bench.welcome()
        bench.submit()
        bench.sent.clear()
        bench.grant(epoch, now=1.5)
        assert bench.last_sent(m.Demand).message.demand_id == "d1"

    def test_grant_for_a_server_out_of_service_is_declined(self, bench):
        # New tables take the data centre out of service while a grant is in transit.
        # Without this check the data centre would still get new work.
        epoch = bench.welcome()
        bench.submit()
        bench.collect(bench.follower.set_tables(make_tables(2, fes="out"), 0.1))
        bench.grant(epoch, now=0.1)
        assert bench.answers == []
        assert bench.last_sent(m.Finished).message.outcome is Outcome.DECLINED

    def test_duplicate_grant_yields_one_lease(self, bench):
        epoch = bench.welcome()
        bench.submit()
        bench.grant(epoch)
        bench.grant(epoch)
        assert len(bench.answers) == 1


class TestLostScheduler:
    def test_next_scheduler_receives_waiting_and_running_requests(self, bench):
        # The scheduler's VM fails, and the shard's queue was only in its memory. If
        # the followers did not resend their state, requests would wait for ever or run
        # twice.
        epoch = bench.welcome()
        bench.submit("d1")
        bench.grant(epoch)
        bench.submit("d2", now=1.0)
        former_scheduler = bench.scheduler
        bench.collect(bench.follower.link_lost(former_scheduler, 3.0))
        hello = bench.last_sent(m.Hello)
        assert hello.peer == bench.scheduler != former_scheduler
        assert [demand.demand_id for demand in hello.message.demands] == ["d2"]
        assert hello.message.demands[0].waited_s == 2.0
        assert [lease.lease_id for lease in hello.message.leases] == ["l1"]

    def test_silent_scheduler_is_replaced(self, bench):
        # A frozen process keeps its connections open, so no stream breaks.
        bench.welcome()
        former_scheduler = bench.scheduler
        bench.collect(bench.follower.tick(SILENCE_S - 0.1))
        assert bench.scheduler == former_scheduler
        bench.collect(bench.follower.tick(SILENCE_S + 0.1))
        assert bench.scheduler != former_scheduler

    def test_former_scheduler_is_used_again_after_the_timeout(self, bench):
        former_scheduler = bench.scheduler
        bench.collect(bench.follower.link_lost(former_scheduler, 0.0))
        assert bench.scheduler != former_scheduler
        bench.welcome(2.0)
        bench.collect(bench.follower.tick(3.1))
        assert bench.scheduler == former_scheduler

    def test_last_reachable_router_becomes_its_own_scheduler(self, bench):
        for peer in ("b", "c"):
            bench.collect(bench.follower.link_lost(peer, 0.0))
        assert bench.scheduler == "a"


class TestHandover:
    def receive_heartbeat(self, bench, epoch, warmth, *, settled, informed=True):
        status = m.ServerStatus("s1", warmth, 8, 0, 8, informed)
        heartbeat = m.Heartbeat(bench.shard, epoch, 0.0, (status,), settled=settled)
        bench.collect(bench.follower.handle(bench.scheduler, heartbeat, 0.1))

    def test_heartbeat_of_an_unsettled_scheduler_leaves_no_hints(self, bench):
        # In a rolling restart the roles move with each router. A new scheduler reports
        # every server as cold until its followers have sent their state. Passed on as a
        # hint, that made the next scheduler treat warm servers as cold and leave them
        # idle.
        epoch = bench.welcome()
        self.receive_heartbeat(bench, epoch, Warmth.WARM, settled=True)
        self.receive_heartbeat(bench, epoch, Warmth.COLD, settled=False)
        bench.collect(bench.follower.link_lost(bench.scheduler, 0.2))
        [hint] = bench.last_sent(m.Hello).message.hints
        assert hint.warmth is Warmth.WARM

    def test_status_of_an_uninformed_scheduler_leaves_no_hint(self, bench):
        # Two routers briefly hold the role, and few routers follow the second one. It
        # settles after its time limit without information about any server.
        epoch = bench.welcome()
        self.receive_heartbeat(bench, epoch, Warmth.WARM, settled=True)
        self.receive_heartbeat(bench, epoch, Warmth.COLD, settled=True, informed=False)
        bench.collect(bench.follower.link_lost(bench.scheduler, 0.2))
        [hint] = bench.last_sent(m.Hello).message.hints
        assert hint.warmth is Warmth.WARM

    def test_hello_after_a_step_down_reports_the_handover(self, bench):
        epoch = bench.welcome()
        assert not bench.last_sent(m.Hello).message.handed_over
        step_down = m.StepDown(bench.shard, epoch)
        bench.collect(bench.follower.handle(bench.scheduler, step_down, 0.2))
        assert bench.last_sent(m.Hello).message.handed_over


class TestMoves:
    def test_demand_moves_to_the_target_shard(self, bench):
        epoch = bench.welcome()
        bench.submit()
        target = ShardId("drafting", MARRAKECH, 0)
        move = m.Move(bench.shard, epoch, "d1", target)
        bench.collect(bench.follower.handle(bench.scheduler, move, 0.5))
        hello = bench.last_sent(m.Hello)
        assert hello.message.shard == target
        assert hello.message.demands[0].moves == 1

    def test_former_shard_cannot_grant_a_moved_demand(self, bench):
        # The demand is withdrawn before it is submitted to the other shard, so that one
        # request never has two grants.
        epoch = bench.welcome()
        bench.submit()
        move = m.Move(bench.shard, epoch, "d1", ShardId("drafting", MARRAKECH, 0))
        bench.collect(bench.follower.handle(bench.scheduler, move, 0.5))
        bench.grant(epoch, now=0.6)
        assert bench.answers == []

    def test_demands_move_away_from_a_data_centre_out_of_service(self, bench):
        bench.welcome()
        bench.submit()
        bench.collect(bench.follower.set_tables(make_tables(2, fes="out"), 0.1))
        assert bench.last_sent(m.Withdraw).message.shard == bench.shard
        hello = bench.last_sent(m.Hello)
        assert hello.message.shard.data_centre == MARRAKECH
        assert [demand.demand_id for demand in hello.message.demands] == ["d1"]

    def test_unused_remote_shard_is_unfollowed(self, bench):
        epoch = bench.welcome()
        bench.submit()
        target = ShardId("drafting", MARRAKECH, 0)
        move = m.Move(bench.shard, epoch, "d1", target)
        bench.collect(bench.follower.handle(bench.scheduler, move, 0.5))
        bench.collect(bench.follower.withdraw("d1", 0.6))
        bench.collect(bench.follower.tick(40.0))
        assert target not in bench.follower.follows
