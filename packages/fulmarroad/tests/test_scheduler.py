"""The scheduler's state machine, message by message, with the real book and queue."""

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


def ready(units=2, **more):
    """Return a scheduler that every router follows and lends to at time 0."""
    scheduler = new_scheduler(units, **more)
    for router in ROUTERS:
        scheduler.handle(router, hello(router, units=units), 0.0)
    for router in ROUTERS:
        lend(scheduler, router, 0.0)
    return scheduler


def lend(scheduler, router, at, *, now=None, epoch=EPOCH):
    message = Lend(SHARD, epoch, at, at)
    return scheduler.handle(router, message, at if now is None else now)


def found(sends, kind):
    return [send.message for send in sends if isinstance(send.message, kind)]


def ask(scheduler, name, workspace="a", router="r1", now=0.1, **more):
    return found(scheduler.handle(router, demand(name, workspace, **more), now), Grant)


def done(lease_id, outcome=Outcome.COMPLETED, service=10.0):
    return Finished(SHARD, lease_id, outcome, service, 0.1, 0.02, 1.0)


class TestGranting:
    def test_a_free_unit_is_granted_at_once(self):
        (grant,) = ask(ready(), "d1")
        assert grant.demand_id == "d1"
        assert grant_valid(grant, EPOCH, 0.5)

    def test_a_unit_that_frees_goes_to_the_next_in_line(self):
        scheduler = ready(units=1)
        (first,) = ask(scheduler, "d1")
        assert ask(scheduler, "d2", "b", "r2") == []
        (second,) = found(scheduler.handle("r1", done(first.lease_id), 0.3), Grant)
        assert second.demand_id == "d2"

    def test_a_withdrawn_demand_is_not_granted(self):
        scheduler = ready(units=1)
        (first,) = ask(scheduler, "d1")
        ask(scheduler, "d2")
        scheduler.handle("r1", Withdraw(SHARD, "d2"), 0.2)
        assert not found(scheduler.handle("r1", done(first.lease_id), 0.3), Grant)

    def test_another_router_cannot_withdraw_it(self):
        scheduler = ready(units=1)
        ask(scheduler, "d1")
        ask(scheduler, "d2")
        scheduler.handle("r2", Withdraw(SHARD, "d2"), 0.2)
        assert scheduler.waiting == 1

    def test_a_demand_that_runs_is_not_granted_again(self):
        """A stream that breaks and comes back may bring a demand twice."""
        scheduler = ready()
        assert len(ask(scheduler, "d1")) == 1
        assert ask(scheduler, "d1") == []

    def test_a_demand_keeps_off_servers_that_failed_it(self):
        scheduler = ready()
        assert ask(scheduler, "d1", avoid=("s1",)) == []
        assert len(ask(scheduler, "d2")) == 1

    def test_messages_for_unknown_leases_are_ignored(self):
        scheduler = ready()
        (grant,) = ask(scheduler, "d1")
        scheduler.handle("r1", done(grant.lease_id), 0.2)
        for message in (done(grant.lease_id), done("never"), Started(SHARD, "x")):
            assert scheduler.handle("r1", message, 0.3) == []
        assert scheduler.running == 0

    def test_a_lease_is_ended_by_its_own_router_only(self):
        scheduler = ready()
        (grant,) = ask(scheduler, "d1")
        scheduler.handle("r2", done(grant.lease_id), 0.2)
        assert scheduler.running == 1


class TestLending:
    def test_nothing_is_granted_without_a_lending(self):
        scheduler = new_scheduler()
        scheduler.handle("r1", hello("r1"), 0.0)
        scheduler.handle("r2", hello("r2"), 0.0)
        assert ask(scheduler, "d1") == []

    def test_a_lending_ends_by_the_schedulers_own_clock(self):
        """Routers fall silent. They may have turned to another scheduler, so their
        units must not be granted for longer than they said."""
        scheduler = ready()
        scheduler.handle("r1", hello("r1", 2.5), 2.5)
        assert ask(scheduler, "d1", now=2.5) == []

    def test_an_answer_read_late_lends_nothing(self):
        """A scheduler pauses for ten seconds and then reads what lay in its buffer.
        Taken as fresh it would grant units that its successor grants as well."""
        scheduler = ready()
        lend(scheduler, "r1", 0.5, now=10.5)
        lend(scheduler, "r2", 0.5, now=10.5)
        assert ask(scheduler, "d1", now=10.5) == []

    def test_an_answer_read_late_lends_none_of_its_units(self):
        """After the pause one router answers anew, the other one's old answer is
        still in the buffer: only the units of the first may be granted."""
        granted = []
        for late in (0.5, 10.5):
            scheduler = ready(units=8)
            scheduler.handle("r2", hello("r2", 10.4, units=8), 10.4)
            lend(scheduler, "r1", late, now=10.5)
            lend(scheduler, "r2", 10.5)
            asked = [ask(scheduler, f"d{n}", router="r2", now=10.5) for n in range(9)]
            granted.append(sum(len(row) for row in asked))
        assert 0 < granted[0] < granted[1] == 8

    def test_an_answer_to_a_former_epoch_lends_nothing(self):
        scheduler = new_scheduler()
        scheduler.handle("r1", hello("r1"), 0.0)
        scheduler.handle("r2", hello("r2"), 0.0)
        for router in ROUTERS:
            lend(scheduler, router, 0.0, epoch=Epoch("r1", 1, 0))
        assert ask(scheduler, "d1") == []

    def test_a_silent_router_gets_no_grant_but_others_do(self):
        """A router pauses. Its share of grants would each hold a unit for seconds
        and then be found too late to start."""
        scheduler = ready(units=4)
        now = FRESH_S + 0.1
        lend(scheduler, "r2", now)
        assert ask(scheduler, "d1", router="r1", now=now) == []
        assert len(ask(scheduler, "d2", router="r2", now=now)) == 1


class TestUnstarted:
    def test_a_declined_grant_frees_its_unit_and_costs_nothing(self):
        scheduler = ready(units=1)
        (grant,) = ask(scheduler, "d1")
        scheduler.handle("r1", done(grant.lease_id, Outcome.DECLINED), 0.2)
        assert scheduler.running == 0
        assert len(ask(scheduler, "d2")) == 1

    def test_it_is_reclaimed_only_when_it_can_no_longer_start(self):
        scheduler = ready(units=1)
        (grant,) = ask(scheduler, "d1")
        assert not found(lend(scheduler, "r1", START_WINDOW_S - 0.1), Grant)
        assert scheduler.running == 1
        (again,) = found(lend(scheduler, "r1", START_WINDOW_S), Grant)
        assert again.demand_id == "d1"
        assert again.lease_id != grant.lease_id

    def test_a_started_one_is_not_reclaimed(self):
        scheduler = ready(units=1)
        (grant,) = ask(scheduler, "d1")
        scheduler.handle("r1", Started(SHARD, grant.lease_id), 0.2)
        lend(scheduler, "r1", START_WINDOW_S + 0.5)
        assert scheduler.running == 1


class TestRouterLost:
    def test_its_running_requests_keep_their_units_until_their_deadline(self):
        """A stream breaks while its router goes on with the request."""
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

    def test_its_next_hello_tells_which_leases_go_on(self):
        scheduler = ready()
        (one,) = ask(scheduler, "d1")
        (two,) = ask(scheduler, "d2")
        scheduler.link_lost("r1", 0.2)
        row = RunningLease(one.lease_id, "d1", "a", one.unit, 0.1, 60.0, 3.0)
        assert scheduler.running == 2
        scheduler.handle("r1", hello("r1", 0.3, leases=(row,)), 0.3)
        assert scheduler.running == 1
        scheduler.handle("r1", done(two.lease_id), 0.4)
        assert scheduler.running == 1
        scheduler.handle("r1", done(one.lease_id), 0.4)
        assert scheduler.running == 0

    def test_a_late_hello_ends_nothing(self):
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
            assert not found(lend(scheduler, router, 0.0), Grant)
        (grant,) = found(scheduler.handle("r1", done("old.1"), 0.2), Grant)
        assert grant.demand_id == "d1"

    def test_until_all_routers_are_heard_their_share_is_held_back(self):
        """A new scheduler hears one router of two. What that one runs on the other
        one's units is known; what the other one runs, perhaps on units that are lent
        here, is not, and counts as its even share."""
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
        assert not found(scheduler.tick(0.6), Grant)
        scheduler.handle("r2", hello("r2", 0.7, units=8), 0.7)
        lend(scheduler, "r1", 0.7)
        assert len(found(lend(scheduler, "r2", 0.7), Grant)) == len(others) > 0

    def test_it_answers_a_hello_with_its_epoch_and_how_it_stands(self):
        scheduler = new_scheduler()
        welcome, beat = [s.message for s in scheduler.handle("r1", hello("r1"), 0.0)]
        assert welcome == Welcome(SHARD, EPOCH)
        assert isinstance(beat, Heartbeat)
        assert not beat.settled

    def test_it_is_settled_once_every_live_router_was_heard(self):
        assert ready().settled

    def test_after_stepping_down_nothing_is_granted(self):
        scheduler = ready(units=1)
        (grant,) = ask(scheduler, "d1")
        ask(scheduler, "d2")
        assert len(found(scheduler.step_down(0.2), StepDown)) == 2
        assert scheduler.handle("r1", done(grant.lease_id), 0.3) == []
        assert scheduler.tick(0.5) == []
        assert scheduler.report(9.0) is None


class TestHopeless:
    @pytest.mark.parametrize("left", [0.0, -1.0, float("nan")])
    def test_a_deadline_that_passed_is_refused_at_once(self, left):
        scheduler = ready()
        (refusal,) = found(scheduler.handle("r1", demand("d", left=left), 0.1), Refuse)
        assert refusal.reason is RefusalReason.DEADLINE_PASSED

    def test_one_that_waited_too_long_is_refused_before_its_deadline(self):
        """Requests take a second. A demand with half a second left would take a
        unit for an answer that comes too late."""
        scheduler = ready(units=1)
        for number in range(20):
            (grant,) = ask(scheduler, f"d{number}")
            scheduler.handle("r1", done(grant.lease_id), 0.1)
        ask(scheduler, "long", left=60.0)
        ask(scheduler, "waits", left=2.0)
        assert not found(scheduler.tick(1.5), Refuse)
        (refusal,) = found(scheduler.tick(1.7), Refuse)
        assert refusal.demand_id == "waits"


class TestHeartbeat:
    def test_every_follower_hears_one_each_interval(self):
        scheduler = ready()
        assert len(found(scheduler.tick(HEARTBEAT_S), Heartbeat)) == 2
        assert not found(scheduler.tick(2 * HEARTBEAT_S - 0.1), Heartbeat)
        assert len(found(scheduler.tick(2 * HEARTBEAT_S), Heartbeat)) == 2

    def test_the_wait_told_is_that_of_a_new_workspace(self):
        """One workspace floods. A small one is served within a round of the queue,
        so it must not be told, and refused for, the wait of the flood."""
        scheduler = ready(units=1)
        (grant,) = ask(scheduler, "d")
        scheduler.handle("r1", done(grant.lease_id), 0.1)
        for number in range(100):
            ask(scheduler, f"f{number}", "flood")
        beat = found(scheduler.tick(HEARTBEAT_S), Heartbeat)[0]
        assert beat.waiting == 99
        assert beat.wait_s == pytest.approx(1.0)


class TestMoves:
    def note_free(self, scheduler, now, free=2):
        row = ServiceReport(ELSEWHERE, Epoch("x", 1, 1), int(now * 1000), free, 8, 0)
        return scheduler.receive_report(row, now)

    def test_waiting_demands_move_to_free_units(self):
        scheduler = ready(units=1)
        for number in range(5):
            ask(scheduler, f"d{number}")
        moves = found(self.note_free(scheduler, 0.2), Move)
        assert [move.demand_id for move in moves] == ["d1", "d2"]
        assert {move.target for move in moves} == {ELSEWHERE}
        assert scheduler.waiting == 2

    def test_a_new_demand_moves_at_once_while_the_report_is_fresh(self):
        scheduler = ready(units=1)
        self.note_free(scheduler, 0.1)
        ask(scheduler, "d1")
        ask(scheduler, "d2")
        assert len(found(scheduler.tick(0.2), Move)) == 1

    def test_a_shard_taken_out_hands_every_demand_on(self):
        scheduler = ready(units=1)
        for number in range(9):
            ask(scheduler, f"d{number}")
        self.note_free(scheduler, 0.2, free=0)
        pool = Pool("chat", max_concurrency=1, cold_concurrency=1)
        moves = found(scheduler.set_tables(pool, SERVERS, (), 0.3), Move)
        assert len(moves) == 8
        assert scheduler.waiting == 0

    @pytest.mark.parametrize("policy", ["fifo", "local"])
    def test_baselines_neither_tell_nor_move(self, policy):
        scheduler = ready(units=1, policy=policy)
        ask(scheduler, "d1")
        ask(scheduler, "d2")
        assert self.note_free(scheduler, 0.2) == []
        assert scheduler.report(5.0) is None


class TestReports:
    def test_an_idle_scheduler_tells_its_free_units_when_others_wait(self):
        scheduler = ready()
        scheduler.report(0.0)
        assert scheduler.report(0.3) is None
        row = ServiceReport(ELSEWHERE, Epoch("x", 1, 1), 1, 0, 8, 4)
        scheduler.receive_report(row, 0.3)
        assert scheduler.report(0.4).free == 2

    def test_reports_are_numbered(self):
        scheduler = ready()
        assert [scheduler.report(t).sequence for t in (0.0, 2.0, 4.0)] == [1, 2, 3]


class TestGrantValid:
    GRANT = Grant(SHARD, EPOCH, "l", "d", Unit("s1", 0), 5.0, 1.0)

    def test_from_before_the_last_hello_it_is_refused(self):
        """A stream breaks and comes back. The hello doesn't mention a grant that is
        still under way, so the scheduler gives its unit to somebody else."""
        assert grant_valid(self.GRANT, EPOCH, 5.5, 5.0)
        assert not grant_valid(self.GRANT, EPOCH, 5.5, 5.4)

    def test_in_time_and_from_the_scheduler_followed(self):
        assert grant_valid(self.GRANT, EPOCH, 5.9)

    @pytest.mark.parametrize(
        ("following", "clock"),
        [(None, 5.0), (Epoch("r2", 1, 1), 5.0), (Epoch("r1", 1, 2), 5.0), (EPOCH, 6.0)],
    )
    def test_late_or_from_another_scheduler_it_is_refused(self, following, clock):
        """A scheduler sleeps, is replaced, wakes and grants what it believes free."""
        assert not grant_valid(self.GRANT, following, clock)
