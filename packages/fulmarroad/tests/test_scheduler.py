"""Tests of the scheduler by single messages, with the real book and queue."""

from __future__ import annotations

import pytest

from fulmarroad._leases import FRESH_S
from fulmarroad._scheduler import HEARTBEAT_S
from fulmarroad.capacity import START_WINDOW_S, ServerBook
from fulmarroad.messages import (
    Demand,
    Finished,
    Goodbye,
    Grant,
    Heartbeat,
    Hello,
    Lend,
    Move,
    Refuse,
    RunningLease,
    ServerHint,
    ServiceReport,
    Started,
    StepDown,
    Welcome,
    Withdraw,
)
from fulmarroad.ownership import unit_owner
from fulmarroad.scheduling import Scheduler, grant_valid, make_queue
from fulmarroad.tables import BackendServer, Pool
from fulmarroad.types import Epoch, Outcome, RefusalReason, ShardId, Unit, Warmth

SHARD = ShardId("chat", "dc1", 0)
ELSEWHERE = ShardId("chat", "dc2", 0)
EPOCH = Epoch("r1", 1, 1)
ROUTERS = ("r1", "r2")
SERVERS = (BackendServer("s1", "127.0.0.1:1", "dc1"),)


def demand(name, workspace="a", *, left=60.0, avoid=()):
    return Demand(SHARD, name, workspace, 1.0, 10.0, 0.0, left, avoid=avoid)


def hello(router, clock=0.0, *, incarnation=1, demands=(), leases=(), units=2):
    hints = (ServerHint("s1", units, Warmth.WARM, 0.0),)
    return Hello(SHARD, router, incarnation, "dc1", clock, demands, leases, hints)


def new_scheduler(units=2, live=ROUTERS, now=0.0, policy="fleet"):
    pool = Pool("chat", max_concurrency=units, cold_concurrency=units)
    book = ServerBook(pool, SERVERS, now=now, handed_over=True)
    book.set_vms(ROUTERS, now)
    queue = make_queue(policy)
    return Scheduler(SHARD, EPOCH, book, queue, live=live, now=now)


def ready(units=2, **options):
    """Return a scheduler that all routers follow and lend their units to at time 0."""
    scheduler = new_scheduler(units, **options)
    for router in ROUTERS:
        scheduler.handle(router, hello(router, units=units), 0.0)
    for router in ROUTERS:
        lend(scheduler, router, 0.0)
    return scheduler


def lend(scheduler, router, at, *, now=None, epoch=EPOCH):
    message = Lend(SHARD, epoch, at, at)
    return scheduler.handle(router, message, at if now is None else now)


def messages_of(sends, kind):
    return [send.message for send in sends if isinstance(send.message, kind)]


def ask(scheduler, name, workspace="a", router="r1", now=0.1, **options):
    return messages_of(
        scheduler.handle(router, demand(name, workspace, **options), now), Grant
    )


def finished(lease_id, outcome=Outcome.COMPLETED, service=10.0):
    return Finished(SHARD, lease_id, outcome, service, 0.1, 0.02, 1.0)


class TestGranting:
    def test_a_free_unit_is_granted_at_once(self):
        (grant,) = ask(ready(), "d1")
        assert grant.demand_id == "d1"
        assert grant_valid(grant, EPOCH, 0.5)

    def test_a_released_unit_is_granted_to_the_next_demand(self):
        scheduler = ready(units=1)
        (first,) = ask(scheduler, "d1")
        assert ask(scheduler, "d2", "b", "r2") == []
        (second,) = messages_of(
            scheduler.handle("r1", finished(first.lease_id), 0.3), Grant
        )
        assert second.demand_id == "d2"

    def test_a_withdrawn_demand_is_not_granted(self):
        scheduler = ready(units=1)
        (first,) = ask(scheduler, "d1")
        ask(scheduler, "d2")
        scheduler.handle("r1", Withdraw(SHARD, "d2"), 0.2)
        assert not messages_of(
            scheduler.handle("r1", finished(first.lease_id), 0.3), Grant
        )

    def test_another_router_cannot_withdraw_a_demand(self):
        scheduler = ready(units=1)
        ask(scheduler, "d1")
        ask(scheduler, "d2")
        scheduler.handle("r2", Withdraw(SHARD, "d2"), 0.2)
        assert scheduler.waiting == 1

    def test_a_demand_that_runs_is_not_granted_again(self):
        """After a stream breaks, a router may send the same demand twice."""
        scheduler = ready()
        assert len(ask(scheduler, "d1")) == 1
        assert ask(scheduler, "d1") == []

    def test_a_demand_is_not_granted_a_server_that_it_avoids(self):
        scheduler = ready()
        assert ask(scheduler, "d1", avoid=("s1",)) == []
        assert len(ask(scheduler, "d2")) == 1

    def test_messages_for_unknown_leases_are_ignored(self):
        scheduler = ready()
        (grant,) = ask(scheduler, "d1")
        scheduler.handle("r1", finished(grant.lease_id), 0.2)
        for message in (
            finished(grant.lease_id),
            finished("never"),
            Started(SHARD, "x"),
        ):
            assert scheduler.handle("r1", message, 0.3) == []
        assert scheduler.running == 0

    def test_only_the_router_that_holds_a_lease_can_end_it(self):
        scheduler = ready()
        (grant,) = ask(scheduler, "d1")
        scheduler.handle("r2", finished(grant.lease_id), 0.2)
        assert scheduler.running == 1


class TestLending:
    def test_nothing_is_granted_without_a_lending(self):
        scheduler = new_scheduler()
        scheduler.handle("r1", hello("r1"), 0.0)
        scheduler.handle("r2", hello("r2"), 0.0)
        assert ask(scheduler, "d1") == []

    def test_a_lending_expires_by_the_schedulers_clock(self):
        """Routers that stop answering may follow another scheduler, which grants their
        units too. Their units must not be granted after the lending term."""
        scheduler = ready()
        scheduler.handle("r1", hello("r1", 2.5), 2.5)
        assert ask(scheduler, "d1", now=2.5) == []

    def test_an_answer_older_than_the_lending_term_lends_nothing(self):
        """A scheduler pauses for ten seconds and then reads old answers from its
        receive buffer. If they renewed lendings, it would grant units that its
        successor grants too."""
        scheduler = ready()
        lend(scheduler, "r1", 0.5, now=10.5)
        lend(scheduler, "r2", 0.5, now=10.5)
        assert ask(scheduler, "d1", now=10.5) == []

    def test_only_routers_with_a_new_answer_lend_units_after_a_pause(self):
        """After a pause one router has sent a new answer, and an old answer of the
        other one is still in the buffer. Only the units of the first may be granted."""
        granted = []
        for late in (0.5, 10.5):
            scheduler = ready(units=8)
            scheduler.handle("r2", hello("r2", 10.4, units=8), 10.4)
            lend(scheduler, "r1", late, now=10.5)
            lend(scheduler, "r2", 10.5)
            asked = [ask(scheduler, f"d{n}", router="r2", now=10.5) for n in range(9)]
            granted.append(sum(len(row) for row in asked))
        assert 0 < granted[0] < granted[1] == 8

    def test_an_answer_to_an_earlier_epoch_lends_nothing(self):
        scheduler = new_scheduler()
        scheduler.handle("r1", hello("r1"), 0.0)
        scheduler.handle("r2", hello("r2"), 0.0)
        for router in ROUTERS:
            lend(scheduler, router, 0.0, epoch=Epoch("r1", 1, 0))
        assert ask(scheduler, "d1") == []

    def test_only_routers_with_a_recent_answer_get_grants(self):
        """Grants to a paused router would each hold a unit for seconds and then be
        declined as too late to start."""
        scheduler = ready(units=4)
        now = FRESH_S + 0.1
        lend(scheduler, "r2", now)
        assert ask(scheduler, "d1", router="r1", now=now) == []
        assert len(ask(scheduler, "d2", router="r2", now=now)) == 1


class TestUnstartedLeases:
    def test_a_declined_grant_frees_its_unit_and_costs_nothing(self):
        scheduler = ready(units=1)
        (grant,) = ask(scheduler, "d1")
        scheduler.handle("r1", finished(grant.lease_id, Outcome.DECLINED), 0.2)
        assert scheduler.running == 0
        assert len(ask(scheduler, "d2")) == 1

    def test_an_unstarted_lease_is_reclaimed_only_after_its_start_window(self):
        scheduler = ready(units=1)
        (grant,) = ask(scheduler, "d1")
        assert not messages_of(lend(scheduler, "r1", START_WINDOW_S - 0.1), Grant)
        assert scheduler.running == 1
        (again,) = messages_of(lend(scheduler, "r1", START_WINDOW_S), Grant)
        assert again.demand_id == "d1"
        assert again.lease_id != grant.lease_id

    def test_a_started_lease_is_not_reclaimed(self):
        scheduler = ready(units=1)
        (grant,) = ask(scheduler, "d1")
        scheduler.handle("r1", Started(SHARD, grant.lease_id), 0.2)
        lend(scheduler, "r1", START_WINDOW_S + 0.5)
        assert scheduler.running == 1


class TestRouterLost:
    def test_its_running_requests_keep_their_units_until_their_deadline(self):
        """A stream can break while the router continues with its running request."""
        scheduler = ready(units=1)
        (grant,) = ask(scheduler, "d1", left=5.0)
        scheduler.handle("r1", Started(SHARD, grant.lease_id), 0.1)
        scheduler.link_lost("r1", 0.2)
        lend(scheduler, "r2", 5.0)
        scheduler.tick(5.0)
        assert scheduler.running == 1
        scheduler.tick(6.2)
        assert scheduler.running == 0

    def test_its_waiting_demands_are_dropped(self):
        scheduler = ready(units=1)
        ask(scheduler, "d1", router="r2")
        ask(scheduler, "d2", router="r1")
        scheduler.link_lost("r1", 0.2)
        assert scheduler.waiting == 0

    def test_leases_missing_from_the_next_hello_are_ended(self):
        scheduler = ready()
        (one,) = ask(scheduler, "d1")
        (two,) = ask(scheduler, "d2")
        scheduler.link_lost("r1", 0.2)
        row = RunningLease(one.lease_id, "d1", "a", one.unit, 0.1, 60.0, 3.0)
        assert scheduler.running == 2
        scheduler.handle("r1", hello("r1", 0.3, leases=(row,)), 0.3)
        assert scheduler.running == 1
        scheduler.handle("r1", finished(two.lease_id), 0.4)
        assert scheduler.running == 1
        scheduler.handle("r1", finished(one.lease_id), 0.4)
        assert scheduler.running == 0

    def test_a_stale_hello_ends_no_lease(self):
        scheduler = ready()
        ask(scheduler, "d1")
        scheduler.handle("r1", hello("r1", 0.0), 0.3)
        scheduler.handle("r1", hello("r1", 9.0, incarnation=0), 0.3)
        assert scheduler.running == 1

    def test_goodbye_recalls_its_units(self):
        scheduler = ready(units=4)
        for router in ROUTERS:
            scheduler.handle(router, Goodbye(SHARD, router), 0.1)
        scheduler.handle("r1", hello("r1", 0.2), 0.2)
        assert ask(scheduler, "d1", now=0.2) == []


class TestTakeover:
    def test_running_leases_are_adopted(self):
        scheduler = new_scheduler(units=1)
        row = RunningLease("old.1", "d0", "a", Unit("s1", 0), 1.0, 60.0, 5.0)
        scheduler.handle("r1", hello("r1", units=1, leases=(row,)), 0.0)
        scheduler.handle("r2", hello("r2", units=1, demands=(demand("d1"),)), 0.0)
        for router in ROUTERS:
            assert not messages_of(lend(scheduler, router, 0.0), Grant)
        (grant,) = messages_of(scheduler.handle("r1", finished("old.1"), 0.2), Grant)
        assert grant.demand_id == "d1"

    def test_the_share_of_a_router_without_a_hello_stays_free(self):
        """A new scheduler has a hello from one router of two. It knows the leases that
        this router holds on the other one's units. It does not know the leases of the
        other router, which may be on units that are lent here, so it must leave that
        router's even share free."""
        units = [Unit("s1", index) for index in range(8)]
        lent = [unit for unit in units if unit_owner(unit, ROUTERS) == "r1"]
        others = [unit for unit in units if unit not in lent]
        rows = tuple(
            RunningLease(f"old.{unit.index}", f"o{unit.index}", "a", unit, 1, 60, 5)
            for unit in others
        )
        scheduler = new_scheduler(units=8)
        scheduler.handle("r1", hello("r1", units=8, leases=rows), 0.0)
        lend(scheduler, "r1", 0.0)
        early = sum(len(ask(scheduler, f"d{n}", now=0.1)) for n in range(8))
        assert early == len(lent) - len(others)
        assert not messages_of(scheduler.tick(0.6), Grant)
        scheduler.handle("r2", hello("r2", 0.7, units=8), 0.7)
        lend(scheduler, "r1", 0.7)
        assert len(messages_of(lend(scheduler, "r2", 0.7), Grant)) == len(others) > 0

    def test_a_hello_is_answered_by_a_welcome_and_a_heartbeat(self):
        scheduler = new_scheduler()
        welcome, heartbeat = [
            s.message for s in scheduler.handle("r1", hello("r1"), 0.0)
        ]
        assert welcome == Welcome(SHARD, EPOCH)
        assert isinstance(heartbeat, Heartbeat)
        assert not heartbeat.settled

    def test_it_is_settled_after_a_hello_from_every_live_router(self):
        assert ready().settled

    def test_after_stepping_down_nothing_is_granted(self):
        scheduler = ready(units=1)
        (grant,) = ask(scheduler, "d1")
        ask(scheduler, "d2")
        assert len(messages_of(scheduler.step_down(0.2), StepDown)) == 2
        assert scheduler.handle("r1", finished(grant.lease_id), 0.3) == []
        assert scheduler.tick(0.5) == []
        assert scheduler.report(9.0) is None


class TestDeadlines:
    @pytest.mark.parametrize("left", [0.0, -1.0, float("nan")])
    def test_a_demand_past_its_deadline_is_refused_at_once(self, left):
        scheduler = ready()
        (refusal,) = messages_of(
            scheduler.handle("r1", demand("d", left=left), 0.1), Refuse
        )
        assert refusal.reason is RefusalReason.DEADLINE_PASSED

    def test_a_demand_that_cannot_meet_its_deadline_is_refused_early(self):
        """Requests take one second. A demand with half a second left would take a unit
        for an answer that comes after its deadline."""
        scheduler = ready(units=1)
        for number in range(20):
            (grant,) = ask(scheduler, f"d{number}")
            scheduler.handle("r1", finished(grant.lease_id), 0.1)
        ask(scheduler, "long", left=60.0)
        ask(scheduler, "waits", left=2.0)
        assert not messages_of(scheduler.tick(1.5), Refuse)
        (refusal,) = messages_of(scheduler.tick(1.7), Refuse)
        assert refusal.demand_id == "waits"


class TestHeartbeat:
    def test_every_follower_gets_one_heartbeat_each_interval(self):
        scheduler = ready()
        assert len(messages_of(scheduler.tick(HEARTBEAT_S), Heartbeat)) == 2
        assert not messages_of(scheduler.tick(2 * HEARTBEAT_S - 0.1), Heartbeat)
        assert len(messages_of(scheduler.tick(2 * HEARTBEAT_S), Heartbeat)) == 2

    def test_the_reported_wait_is_that_of_a_new_workspace(self):
        """A demand of a new workspace is served within one round of the queue, however
        many demands another workspace has queued. If heartbeats gave the wait of that
        backlog, routers would refuse the new demand."""
        scheduler = ready(units=1)
        (grant,) = ask(scheduler, "d")
        scheduler.handle("r1", finished(grant.lease_id), 0.1)
        for number in range(100):
            ask(scheduler, f"f{number}", "flood")
        heartbeat = messages_of(scheduler.tick(HEARTBEAT_S), Heartbeat)[0]
        assert heartbeat.waiting == 99
        assert heartbeat.wait_s == pytest.approx(1.0)


class TestMoves:
    def report_free_units(self, scheduler, now, free=2):
        row = ServiceReport(ELSEWHERE, Epoch("x", 1, 1), int(now * 1000), free, 8, 0)
        return scheduler.receive_report(row, now)

    def test_waiting_demands_move_to_free_units(self):
        scheduler = ready(units=1)
        for number in range(5):
            ask(scheduler, f"d{number}")
        moves = messages_of(self.report_free_units(scheduler, 0.2), Move)
        assert [move.demand_id for move in moves] == ["d1", "d2"]
        assert {move.target for move in moves} == {ELSEWHERE}
        assert scheduler.waiting == 2

    def test_a_new_demand_moves_at_the_next_tick_while_the_report_is_recent(self):
        scheduler = ready(units=1)
        self.report_free_units(scheduler, 0.1)
        ask(scheduler, "d1")
        ask(scheduler, "d2")
        assert len(messages_of(scheduler.tick(0.2), Move)) == 1

    def test_a_shard_out_of_service_moves_all_its_demands(self):
        scheduler = ready(units=1)
        for number in range(9):
            ask(scheduler, f"d{number}")
        self.report_free_units(scheduler, 0.2, free=0)
        pool = Pool("chat", max_concurrency=1, cold_concurrency=1)
        moves = messages_of(scheduler.set_tables(pool, SERVERS, (), 0.3), Move)
        assert len(moves) == 8
        assert scheduler.waiting == 0

    @pytest.mark.parametrize("policy", ["fifo", "local"])
    def test_baselines_send_no_reports_and_move_no_demands(self, policy):
        scheduler = ready(units=1, policy=policy)
        ask(scheduler, "d1")
        ask(scheduler, "d2")
        assert self.report_free_units(scheduler, 0.2) == []
        assert scheduler.report(5.0) is None


class TestReports:
    def test_an_idle_scheduler_reports_free_units_if_demands_wait_elsewhere(self):
        scheduler = ready()
        scheduler.report(0.0)
        assert scheduler.report(0.3) is None
        row = ServiceReport(ELSEWHERE, Epoch("x", 1, 1), 1, 0, 8, 4)
        scheduler.receive_report(row, 0.3)
        assert scheduler.report(0.4).free == 2

    def test_reports_have_increasing_sequence_numbers(self):
        scheduler = ready()
        assert [scheduler.report(t).sequence for t in (0.0, 2.0, 4.0)] == [1, 2, 3]


class TestGrantValid:
    GRANT = Grant(SHARD, EPOCH, "l", "d", Unit("s1", 0), 5.0, 1.0)

    def test_a_grant_from_before_the_last_hello_is_refused(self):
        """A stream breaks and is reopened. The hello does not list a grant that is
        still in transit, so the scheduler grants its unit to another demand."""
        assert grant_valid(self.GRANT, EPOCH, 5.5, 5.0)
        assert not grant_valid(self.GRANT, EPOCH, 5.5, 5.4)

    def test_a_recent_grant_of_the_followed_scheduler_is_valid(self):
        assert grant_valid(self.GRANT, EPOCH, 5.9)

    @pytest.mark.parametrize(
        ("following", "clock"),
        [(None, 5.0), (Epoch("r2", 1, 1), 5.0), (Epoch("r1", 1, 2), 5.0), (EPOCH, 6.0)],
    )
    def test_a_late_grant_or_one_from_another_scheduler_is_refused(
        self, following, clock
    ):
        """A scheduler replaced during a pause still grants units when it resumes."""
        assert not grant_valid(self.GRANT, following, clock)
