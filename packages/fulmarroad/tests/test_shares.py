"""Two schedulers of one shard never put more on a cold server than it bears."""

import pytest
from attrs import define
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from fulmarroad.capacity import (
    LEND_QUARANTINE_S,
    LENDING_TERM_S,
    START_WINDOW_S,
    TAKE_UP_DELAY_S,
    ServerBook,
)
from fulmarroad.messages import RunningLease, ServerHint
from fulmarroad.tables import BackendServer, Pool
from fulmarroad.types import Outcome, Unit, Warmth

VMS = ("a", "b", "c", "d")
COLD = BackendServer("cold", "127.0.0.1:1", "fes-1")
WARM = BackendServer("warm", "127.0.0.1:2", "fes-1")
SERVERS = (COLD, WARM)
POOL = Pool("drafting", max_concurrency=8, cold_concurrency=2, servers=SERVERS)
LEASE_S = 60.0
SIDES = (0, 1)


def new_book(now=0.0, vms=VMS, **kwargs):
    book = ServerBook(POOL, SERVERS, now=now, longest_lease_s=LEASE_S, **kwargs)
    book.set_vms(vms, now)
    book.adopt_hint(ServerHint("warm", 8, Warmth.WARM, 0.1), now)
    return book


def offered(book, server, now):
    return sorted(
        offer.unit.index for offer in book.free(now) if offer.unit.server == server
    )


class TestLending:
    def test_only_lent_units_are_offered(self):
        book = new_book()
        assert book.free(0.0) == ()
        for vm in VMS:
            book.lend(vm, 2.0, 0.0)
        assert offered(book, "warm", 0.0) == list(range(8))
        assert book.free(2.0) == ()

    def test_the_sides_of_a_split_share_the_units_of_a_warm_server(self):
        # A switch fails inside a data centre. Each half elects a scheduler, and both
        # still reach every backend server.
        here, there = new_book(), new_book()
        for vm in ("a", "b"):
            here.lend(vm, 2.0, 0.0)
        for vm in ("c", "d"):
            there.lend(vm, 2.0, 0.0)
        mine, others = offered(here, "warm", 0.0), offered(there, "warm", 0.0)
        assert not set(mine) & set(others)
        assert sorted(mine + others) == list(range(8))

    def test_a_router_that_leaves_takes_its_share_along(self):
        book = new_book()
        for vm in VMS:
            book.lend(vm, 2.0, 0.0)
        book.recall("a")
        assert len(offered(book, "warm", 0.0)) < 8

    def test_a_cold_server_waits_until_former_grants_have_lapsed(self):
        book = new_book()
        for vm in VMS:
            book.lend(vm, 100.0, 0.0)
        assert offered(book, "cold", LEND_QUARANTINE_S - 0.1) == []
        assert offered(book, "cold", LEND_QUARANTINE_S) == [0, 1]

    def test_after_a_hand_over_a_cold_server_need_not_wait(self):
        book = new_book(handed_over=True)
        for vm in VMS:
            book.lend(vm, 100.0, 0.0)
        assert offered(book, "cold", 0.0) == [0, 1]

    def test_most_of_the_vms_serve_a_cold_server_without_a_dead_one(self):
        # One of four VMs dies while servers are cold. Its units would stay idle until
        # the VM list catches up, and with one unit a cold server would never warm up.
        book = new_book()
        for vm in VMS:
            book.lend(vm, 100.0, 0.0)
        offered(book, "cold", LEND_QUARANTINE_S)
        book.mark_lost("a", 10.0)
        assert offered(book, "cold", 10.0) == [0, 1]

    def test_the_smaller_side_leaves_cold_servers_alone(self):
        book = new_book()
        book.lend("a", 1000.0, 0.0)
        assert offered(book, "cold", 500.0) == []

    def test_a_scheduler_that_misses_vms_waits_for_leases_out_of_sight(self):
        # The scheduler's VM dies, and one more is cut off. That one may still run a
        # request on the cold server's unit, which nobody here knows of.
        book = new_book()
        for vm in ("a", "b", "c"):
            book.lend(vm, 1000.0, 0.0)
        assert offered(book, "cold", LEASE_S) == []
        assert offered(book, "cold", LEASE_S + LEND_QUARANTINE_S) == [0, 1]

    def test_two_halves_share_the_units_of_a_cold_server(self):
        here, there = new_book(), new_book()
        for vm in VMS:
            book = here if vm in ("a", "b") else there
            book.lend(vm, 1000.0, 0.0)
        late = LEASE_S + LEND_QUARANTINE_S
        assert offered(here, "cold", late) + offered(there, "cold", late) in (
            [0, 1],
            [1, 0],
        )

    def test_a_changed_vm_list_needs_most_of_both_lists_for_a_while(self):
        # The VM list drops three VMs that are in truth cut off and still serve by the
        # old list: for them most of the VMs are on their own side.
        book = new_book(vms=("a", "b", "c", "d", "e"))
        for vm in ("a", "b"):
            book.lend(vm, 1000.0, 0.0)
        book.set_vms(("a", "b"), 100.0)
        assert offered(book, "cold", 100.0) == []
        assert offered(book, "cold", 105.0) == [0, 1]

    def test_a_lending_that_lapsed_begins_anew(self):
        # A router was cut off for a while and may have lent to the other side.
        book = new_book()
        for vm in VMS:
            book.lend(vm, 2.0, 0.0)
        for vm in VMS:
            book.lend(vm, 102.0, 100.0)
        assert offered(book, "cold", 100.0) == []
        for vm in VMS:
            book.lend(vm, 100.0 + 2 * LEND_QUARANTINE_S, 101.5)
        assert offered(book, "cold", 100.0 + LEND_QUARANTINE_S) == [0, 1]


class TestAdoptedLeases:
    def adopt(self, book, *units):
        for unit in units:
            row = RunningLease(f"l{unit}", f"d{unit}", "w", unit, 1.0, 50.0, 5.0)
            book.adopt_lease(row, "a", 0.0)

    def lent_book(self):
        book = new_book(handed_over=True)
        for vm in VMS:
            book.lend(vm, 100.0, 0.0)
        return book

    def test_a_unit_that_runs_already_is_not_free(self):
        book = self.lent_book()
        self.adopt(book, Unit("cold", 0), Unit("cold", 0))
        assert offered(book, "cold", 0.0) == [1]

    def test_a_limit_below_what_runs_grants_nothing_until_it_drains(self):
        # A new scheduler knows a lower limit than the one under which requests began.
        book = self.lent_book()
        self.adopt(book, *[Unit("warm", index) for index in range(8, 18)])
        assert offered(book, "warm", 0.0) == []
        for index in range(8, 11):
            book.release(f"l{Unit('warm', index)}", 0.0)
        assert offered(book, "warm", 0.0) == [0]

    def test_leases_of_a_lost_router_stay_charged_until_their_deadline(self):
        book = self.lent_book()
        self.adopt(book, Unit("warm", 0))
        book.mark_lost("a", 0.0)
        [lease_id] = book.orphans("a")
        assert 0 not in offered(book, "warm", 50.0)
        book.expire(lease_id)
        assert 0 in offered(book, "warm", 50.0) or book.capacity(50.0) < 8


class TestLostShares:
    def lose(self, lost=("a",)):
        book = new_book()
        for vm in VMS:
            if vm not in lost:
                book.lend(vm, 1000.0, 0.0)
        for vm in lost:
            book.mark_lost(vm, 0.0)
        return book

    def serve(self, book, now, *, first_s=0.2, outcome=Outcome.COMPLETED):
        """Fill the warm server and end it all; return how much it was."""
        units = [offer.unit for offer in book.free(now) if offer.unit.server == "warm"]
        for unit in units:
            book.take(unit, f"{unit}@{now}", "b", now)
        for unit in units:
            book.observe("warm", outcome, first_s, 0.03, 50.0, now)
            book.release(f"{unit}@{now}", now)
        return len(units)

    def test_lost_shares_are_taken_up_one_by_one(self):
        # VMs die and the VM list doesn't say so for minutes. Their share of every
        # server would idle while work waits.
        book = self.lose(lost=("a", "b"))
        counts = [self.serve(book, float(second)) for second in range(40)]
        first = counts[0]
        assert set(counts[: int(TAKE_UP_DELAY_S)]) == {first}
        assert max(b - a for a, b in zip(counts, counts[1:], strict=False)) == 1
        assert counts[-1] == 8 > first

    def test_slow_answers_give_them_back(self):
        # The lost routers are not dead but cut off, and use their share themselves.
        book = self.lose(lost=("a", "b"))
        for second in range(30):
            before = self.serve(book, float(second))
        for second in range(30, 33):
            after = self.serve(book, float(second), first_s=2.5)
        assert after < before

    def test_a_router_that_is_seen_again_has_its_share_back_at_once(self):
        book = self.lose()
        few = len(offered(book, "warm", 0.0))
        for second in range(30):
            self.serve(book, float(second))
        assert len(offered(book, "warm", 30.0)) == 8
        book.mark_seen("a")
        assert len(offered(book, "warm", 30.0)) == few

    def test_a_cold_server_gains_nothing_on_the_smaller_side(self):
        book = self.lose(lost=("a", "b", "c"))
        assert offered(book, "cold", 500.0) == []


@define
class Lease:
    unit: Unit
    router: str
    side: int
    deadline: float
    start_by: float
    started: bool = False


class Split(RuleBasedStateMachine):
    """Routers change sides, leases start late, schedulers forget, time passes.

    Both schedulers reach the servers; what the routers really run is counted.
    """

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.books = [new_book(), new_book()]
        self.follows = dict.fromkeys(VMS, 0)
        self.leases = {}
        self.number = 0
        self.moved_at = 0.0
        self._pass(4.0)

    def _pass(self, seconds):
        end = self.now + seconds
        self._renew()
        while self.now < end:
            self.now = min(end, self.now + 1.0)
            self._renew()

    def _renew(self):
        for vm, side in self.follows.items():
            if side is not None:
                self.books[side].lend(vm, self.now + LENDING_TERM_S, self.now)

    def _hello(self, vm, side):
        for lease_id, lease in self.leases.items():
            if lease.router == vm and lease.started:
                left = lease.deadline - self.now
                row = RunningLease(lease_id, lease_id, "w", lease.unit, 0.0, left, 0.0)
                self.books[side].adopt_lease(row, vm, self.now)

    def _drop(self, lease_id):
        lease = self.leases.pop(lease_id)
        side = self.follows[lease.router]
        if side is not None:
            self.books[side].release(lease_id, self.now)
        return lease

    @rule(seconds=st.sampled_from([0.5, 1.5, 4.0, 64.0]))
    def wait(self, seconds):
        """Let time pass; routers renew their lendings as heartbeats come."""
        self._pass(seconds)
        for lease_id, lease in list(self.leases.items()):
            if lease.deadline <= self.now:
                for book in self.books:
                    book.expire(lease_id)
                del self.leases[lease_id]

    @rule(
        sides=st.tuples(*[st.sampled_from([0, 0, 1, 1, None])] * len(VMS)),
        seconds=st.sampled_from([0.0, 0.0, 1.0, 64.0]),
    )
    def split(self, sides, seconds):
        """Cut the routers into two sides and some that reach neither scheduler."""
        for vm, side in zip(VMS, sides, strict=True):
            if side != self.follows[vm]:
                self._move(vm, side)
        self.wait(seconds)

    def _move(self, vm, side):
        for lease_id, lease in list(self.leases.items()):
            if lease.router == vm and not lease.started:
                del self.leases[lease_id]  # granted by one that it follows no more
        self.follows[vm] = side
        self.moved_at = self.now
        if side is not None:
            self.books[side].lend(vm, self.now + LENDING_TERM_S, self.now)
            self._hello(vm, side)

    @rule(side=st.sampled_from(SIDES))
    def lose(self, side):
        """Let a side believe that all who do not follow it are dead."""
        for vm, followed in self.follows.items():
            if followed != side:
                self.books[side].mark_lost(vm, self.now)

    @rule(side=st.sampled_from(SIDES))
    def restart(self, side):
        """Replace a scheduler by one without memory."""
        self.books[side] = new_book(self.now)
        self.moved_at = self.now
        for lease_id, lease in list(self.leases.items()):
            if lease.side == side and not lease.started:
                del self.leases[lease_id]
        for vm, followed in self.follows.items():
            if followed == side:
                self.books[side].lend(vm, self.now + LENDING_TERM_S, self.now)
                self._hello(vm, side)

    @rule(pick=st.integers(0, 3), late=st.sampled_from([False, False, True]))
    def grant(self, pick, late):
        """Grant on both sides all that is free, to be started now or late."""
        for side in SIDES:
            followers = [vm for vm in VMS if self.follows[vm] == side]
            if followers:
                self._grant(side, followers[pick % len(followers)], late)

    def _grant(self, side, vm, late):
        for offer in self.books[side].free(self.now):
            self.number += 1
            lease_id = f"l{self.number}"
            self.books[side].take(offer.unit, lease_id, vm, self.now)
            self.leases[lease_id] = Lease(
                offer.unit,
                vm,
                side,
                self.now + LEASE_S,
                self.now + START_WINDOW_S,
                started=not late,
            )

    @precondition(lambda self: self.leases)
    @rule(pick=st.integers(0, 1000))
    def start(self, pick):
        """Start a lease late; its router declines it after the start window."""
        waiting = [key for key, lease in self.leases.items() if not lease.started]
        for lease_id in waiting[pick % max(1, len(waiting)) :]:
            if self.now < self.leases[lease_id].start_by:
                self.leases[lease_id].started = True
            else:
                self._drop(lease_id)

    @precondition(lambda self: self.leases)
    @rule(pick=st.integers(0, 1000))
    def finish(self, pick):
        """End a running lease; only the scheduler followed now hears of it."""
        running = [key for key, lease in self.leases.items() if lease.started]
        if running:
            self._drop(running[pick % len(running)])

    def _running(self, server):
        return [
            lease.unit
            for lease in self.leases.values()
            if lease.started and lease.unit.server == server
        ]

    @invariant()
    def the_cold_server_bears_it(self):
        assert len(self._running("cold")) <= POOL.cold_concurrency

    @invariant()
    def the_warm_server_bears_it_once_nobody_moves(self):
        if self.now > self.moved_at + LEASE_S + LEND_QUARANTINE_S:
            units = self._running("warm")
            assert len(set(units)) == len(units) <= 8


Split.TestCase.settings = settings(
    derandomize=True, deadline=None, max_examples=150, stateful_step_count=30
)
TestSplit = Split.TestCase


@pytest.mark.parametrize("routers", [1, 2, 3, 5])
def test_every_unit_has_one_owner(routers):
    vms = [f"vm-{n}" for n in range(routers)]
    books = [new_book(vms=vms) for _ in vms]
    for book, vm in zip(books, vms, strict=True):
        book.lend(vm, 10.0, 0.0)
    units = [index for book in books for index in offered(book, "warm", 0.0)]
    assert sorted(units) == list(range(8))
