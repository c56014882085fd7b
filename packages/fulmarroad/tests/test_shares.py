"""Test that two schedulers of a shard never overload a cold server."""

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
        free_unit.unit.index
        for free_unit in book.free(now)
        if free_unit.unit.server == server
    )


class TestLending:
    def test_only_lent_units_are_offered(self):
        book = new_book()
        assert book.free(0.0) == ()
        for vm in VMS:
            book.lend(vm, 2.0, 0.0)
        assert offered(book, "warm", 0.0) == list(range(8))
        assert book.free(2.0) == ()

    def test_sides_of_a_split_share_the_units_of_a_warm_server(self):
        # A switch fails in a data centre and each half elects a scheduler, while both
        # halves still reach every backend server.
        here, there = new_book(), new_book()
        for vm in ("a", "b"):
            here.lend(vm, 2.0, 0.0)
        for vm in ("c", "d"):
            there.lend(vm, 2.0, 0.0)
        mine, others = offered(here, "warm", 0.0), offered(there, "warm", 0.0)
        assert not set(mine) & set(others)
        assert sorted(mine + others) == list(range(8))

    def test_recall_removes_the_share_of_a_router(self):
        book = new_book()
        for vm in VMS:
            book.lend(vm, 2.0, 0.0)
        book.recall("a")
        assert len(offered(book, "warm", 0.0)) < 8

    def test_cold_server_is_offered_only_after_the_quarantine(self):
        book = new_book()
        for vm in VMS:
            book.lend(vm, 100.0, 0.0)
        assert offered(book, "cold", LEND_QUARANTINE_S - 0.1) == []
        assert offered(book, "cold", LEND_QUARANTINE_S) == [0, 1]

    def test_cold_server_is_offered_at_once_after_a_hand_over(self):
        book = new_book(handed_over=True)
        for vm in VMS:
            book.lend(vm, 100.0, 0.0)
        assert offered(book, "cold", 0.0) == [0, 1]

    def test_majority_of_vms_may_use_a_dead_routers_units_of_a_cold_server(self):
        # One of four VMs dies while servers are cold. Otherwise its units would stay
        # idle until the VM list is updated, and a server whose only cold unit is among
        # them would never warm up.
        book = new_book()
        for vm in VMS:
            book.lend(vm, 100.0, 0.0)
        offered(book, "cold", LEND_QUARANTINE_S)
        book.mark_lost("a", 10.0)
        assert offered(book, "cold", 10.0) == [0, 1]

    def test_minority_side_is_offered_no_cold_server(self):
        book = new_book()
        book.lend("a", 1000.0, 0.0)
        assert offered(book, "cold", 500.0) == []

    def test_scheduler_that_misses_vms_waits_for_their_leases(self):
        # The scheduler's VM dies and another VM becomes unreachable. That VM may still
        # run a request on the cold server that the new scheduler doesn't know of.
        book = new_book()
        for vm in ("a", "b", "c"):
            book.lend(vm, 1000.0, 0.0)
        assert offered(book, "cold", LEASE_S) == []
        assert offered(book, "cold", LEASE_S + LEND_QUARANTINE_S) == [0, 1]

    def test_equal_halves_share_the_units_of_a_cold_server(self):
        here, there = new_book(), new_book()
        for vm in VMS:
            book = here if vm in ("a", "b") else there
            book.lend(vm, 1000.0, 0.0)
        late = LEASE_S + LEND_QUARANTINE_S
        assert offered(here, "cold", late) + offered(there, "cold", late) in (
            [0, 1],
            [1, 0],
        )

    def test_changed_vm_list_requires_a_majority_of_both_lists_at_first(self):
        # The new VM list lacks three VMs that are only unreachable. They still use the
        # old list, by which they are the majority.
        book = new_book(vms=("a", "b", "c", "d", "e"))
        for vm in ("a", "b"):
            book.lend(vm, 1000.0, 0.0)
        book.set_vms(("a", "b"), 100.0)
        assert offered(book, "cold", 100.0) == []
        assert offered(book, "cold", 105.0) == [0, 1]

    def test_lapsed_lending_starts_a_new_quarantine(self):
        # The routers were unreachable and may have lent to another scheduler.
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

    def test_unit_of_an_adopted_lease_is_not_free(self):
        book = self.lent_book()
        self.adopt(book, Unit("cold", 0), Unit("cold", 0))
        assert offered(book, "cold", 0.0) == [1]

    def test_nothing_is_granted_until_running_leases_fall_below_the_limit(self):
        # A new scheduler has a lower limit than the one under which requests began.
        book = self.lent_book()
        self.adopt(book, *[Unit("warm", index) for index in range(8, 18)])
        assert offered(book, "warm", 0.0) == []
        for index in range(8, 11):
            book.release(f"l{Unit('warm', index)}", 0.0)
        assert offered(book, "warm", 0.0) == [0]

    def test_leases_of_a_lost_router_hold_their_units_until_their_deadline(self):
        book = self.lent_book()
        self.adopt(book, Unit("warm", 0))
        book.mark_lost("a", 0.0)
        [lease_id] = book.orphans("a")
        assert 0 not in offered(book, "warm", 50.0)
        book.expire(lease_id)
        assert 0 in offered(book, "warm", 50.0) or book.capacity(50.0) < 8


class TestLostShares:
    def book_with_lost_routers(self, lost=("a",)):
        book = new_book()
        for vm in VMS:
            if vm not in lost:
                book.lend(vm, 1000.0, 0.0)
        for vm in lost:
            book.mark_lost(vm, 0.0)
        return book

    def serve(self, book, now, *, first_s=0.2, outcome=Outcome.COMPLETED):
        """Fill the warm server, end all its requests and return their number."""
        units = [
            free_unit.unit
            for free_unit in book.free(now)
            if free_unit.unit.server == "warm"
        ]
        for unit in units:
            book.take(unit, f"{unit}@{now}", "b", now)
        for unit in units:
            book.observe("warm", outcome, first_s, 0.03, 50.0, now)
            book.release(f"{unit}@{now}", now)
        return len(units)

    def test_units_of_lost_routers_are_taken_up_one_by_one(self):
        # VMs die but stay on the VM list for minutes. Otherwise their share of every
        # server would stay idle while requests wait.
        book = self.book_with_lost_routers(lost=("a", "b"))
        counts = [self.serve(book, float(second)) for second in range(40)]
        first = counts[0]
        assert set(counts[: int(TAKE_UP_DELAY_S)]) == {first}
        assert max(b - a for a, b in zip(counts, counts[1:], strict=False)) == 1
        assert counts[-1] == 8 > first

    def test_slow_answers_reduce_the_units_taken_up(self):
        # The lost routers are only unreachable and still use their share themselves.
        book = self.book_with_lost_routers(lost=("a", "b"))
        for second in range(30):
            before = self.serve(book, float(second))
        for second in range(30, 33):
            after = self.serve(book, float(second), first_s=2.5)
        assert after < before

    def test_returning_router_gets_its_share_back_at_once(self):
        book = self.book_with_lost_routers()
        few = len(offered(book, "warm", 0.0))
        for second in range(30):
            self.serve(book, float(second))
        assert len(offered(book, "warm", 30.0)) == 8
        book.mark_seen("a")
        assert len(offered(book, "warm", 30.0)) == few

    def test_minority_side_takes_up_no_units_of_a_cold_server(self):
        book = self.book_with_lost_routers(lost=("a", "b", "c"))
        assert offered(book, "cold", 500.0) == []


@define
class Lease:
    unit: Unit
    router: str
    side: int
    deadline: float
    start_by: float
    started: bool = False


class SplitMachine(RuleBasedStateMachine):
    """Move routers between sides, start leases late and restart schedulers.

    Both schedulers reach the servers. The invariants count the requests that the
    routers actually run.
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
        """Let time pass while routers renew their lendings with each heartbeat."""
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
        """Split the routers into two sides and some that reach neither scheduler."""
        for vm, side in zip(VMS, sides, strict=True):
            if side != self.follows[vm]:
                self._move(vm, side)
        self.wait(seconds)

    def _move(self, vm, side):
        for lease_id, lease in list(self.leases.items()):
            if lease.router == vm and not lease.started:
                del self.leases[lease_id]  # its scheduler is no longer followed
        self.follows[vm] = side
        self.moved_at = self.now
        if side is not None:
            self.books[side].lend(vm, self.now + LENDING_TERM_S, self.now)
            self._hello(vm, side)

    @rule(side=st.sampled_from(SIDES))
    def lose(self, side):
        """Mark all routers that don't follow a side's scheduler as lost there."""
        for vm, followed in self.follows.items():
            if followed != side:
                self.books[side].mark_lost(vm, self.now)

    @rule(side=st.sampled_from(SIDES))
    def restart(self, side):
        """Replace a scheduler by one without state."""
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
        """Grant all free units on both sides, to be started now or late."""
        for side in SIDES:
            followers = [vm for vm in VMS if self.follows[vm] == side]
            if followers:
                self._grant(side, followers[pick % len(followers)], late)

    def _grant(self, side, vm, late):
        for free_unit in self.books[side].free(self.now):
            self.number += 1
            lease_id = f"l{self.number}"
            self.books[side].take(free_unit.unit, lease_id, vm, self.now)
            self.leases[lease_id] = Lease(
                free_unit.unit,
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
        """End a running lease and release it at the scheduler followed now only."""
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
    def cold_server_is_never_overloaded(self):
        assert len(self._running("cold")) <= POOL.cold_concurrency

    @invariant()
    def warm_server_is_not_overloaded_after_the_last_move(self):
        if self.now > self.moved_at + LEASE_S + LEND_QUARANTINE_S:
            units = self._running("warm")
            assert len(set(units)) == len(units) <= 8


SplitMachine.TestCase.settings = settings(
    derandomize=True, deadline=None, max_examples=150, stateful_step_count=30
)
TestSplit = SplitMachine.TestCase


@pytest.mark.parametrize("routers", [1, 2, 3, 5])
def test_every_unit_has_one_owner(routers):
    vms = [f"vm-{n}" for n in range(routers)]
    books = [new_book(vms=vms) for _ in vms]
    for book, vm in zip(books, vms, strict=True):
        book.lend(vm, 10.0, 0.0)
    units = [index for book in books for index in offered(book, "warm", 0.0)]
    assert sorted(units) == list(range(8))
