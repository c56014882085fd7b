"""The book of units grants what is lent, and no more than a server bears."""

import pytest
from attrs import evolve

from fulmarroad.capacity import LEND_QUARANTINE_S, CapacityError, ServerBook
from fulmarroad.messages import RunningLease, ServerHint
from fulmarroad.tables import BackendServer, Pool
from fulmarroad.types import Outcome, Unit, Warmth

VMS = ("a", "b", "c")
SERVERS = tuple(BackendServer(f"s{n}", f"127.0.0.1:{n}", "fes-1") for n in (1, 2))
NAMES = [server.name for server in SERVERS]
POOL = Pool("drafting", max_concurrency=8, cold_concurrency=1, servers=SERVERS)
START = LEND_QUARANTINE_S


def new_book(now=0.0, **kwargs):
    book = ServerBook(POOL, SERVERS, now=now, **kwargs)
    book.set_vms(VMS, now)
    for vm in VMS:
        book.lend(vm, now + 10_000.0, now)
    return book


def serve(book, now, *, first_s=0.1, outcome=Outcome.COMPLETED, only=None):
    """Run one round: every free unit takes a request, then all of them end."""
    taken = []
    for offer in book.free(now):
        if only in (None, offer.unit.server):
            lease = f"{offer.unit}@{now}"
            book.take(offer.unit, lease, "a", now)
            taken.append((lease, offer.unit.server))
    changes = []
    for lease, server in taken:
        changes += book.observe(server, outcome, first_s, 0.02, 10.0, now)
        book.release(lease, now)
    return changes


def warm_up(book, now=START, rounds=60):
    for step in range(rounds):
        serve(book, now + step / 10)
    return now + rounds / 10


def warmths(book, now):
    return {row.server: row.warmth for row in book.status(now)}


def free_of(book, server, now):
    return [offer.unit for offer in book.free(now) if offer.unit.server == server]


class TestUnits:
    def test_cold_servers_offer_their_cold_budget(self):
        book = new_book()
        assert len(book.free(START)) == len(SERVERS) * POOL.cold_concurrency

    def test_a_taken_unit_is_not_free(self):
        book = new_book()
        unit = book.free(START)[0].unit
        book.take(unit, "l1", "a", START)
        assert unit not in [offer.unit for offer in book.free(START)]
        with pytest.raises(CapacityError):
            book.take(unit, "l2", "a", START)
        book.release("l1", START)
        assert unit in [offer.unit for offer in book.free(START)]

    def test_a_lease_that_is_not_known_changes_nothing(self):
        book = new_book()
        before = book.free(START)
        book.release("never", START)
        assert book.free(START) == before

    def test_good_answers_warm_a_server_to_its_full_limit(self):
        book = new_book()
        now = warm_up(book)
        assert set(warmths(book, now).values()) == {Warmth.WARM}
        assert book.capacity(now) == len(SERVERS) * POOL.max_concurrency
        row = book.status(now)[0]
        assert (row.limit, row.running, row.usable) == (8, 0, 8)

    def test_one_server_that_fails_leaves_the_other_alone(self):
        # One of two servers dies under load. Its requests fail, the other goes on.
        book = new_book()
        now = warm_up(book)
        changes = serve(book, now, only="s1", outcome=Outcome.FAILED)
        assert [(one.server, one.after) for one in changes] == [("s1", Warmth.FAILING)]
        assert free_of(book, "s1", now) == []
        assert len(free_of(book, "s2", now)) == 8
        assert len(free_of(book, "s1", now + 1.0)) == 1


class TestTables:
    def test_a_server_taken_out_gets_no_new_work_at_once(self):
        # Operators take a server out while it runs requests: those end, no other
        # begins, and its book goes on.
        book = new_book()
        now = warm_up(book)
        book.take(Unit("s1", 0), "l1", "a", now)
        book.set_servers(POOL, SERVERS, ["s2"], now)
        assert free_of(book, "s1", now) == []
        assert book.status(now)[0].running == 1
        with pytest.raises(CapacityError):
            book.take(Unit("s1", 1), "l2", "a", now)
        book.release("l1", now)
        assert book.status(now)[0].running == 0

    def test_a_server_that_returns_is_cold(self):
        # A data centre returns after a power cut. Its servers were warm when it left.
        book = new_book()
        now = warm_up(book)
        book.set_servers(POOL, SERVERS, [], now)
        changes = book.set_servers(POOL, SERVERS, NAMES, now + 60)
        assert [change.after for change in changes] == [Warmth.COLD] * 2
        assert len(book.free(now + 60)) == len(SERVERS) * POOL.cold_concurrency

    def test_a_change_of_another_row_cools_nothing(self):
        book = new_book()
        now = warm_up(book)
        pool = evolve(POOL, max_concurrency=4)
        assert book.set_servers(pool, SERVERS, NAMES, now) == ()
        assert len(book.free(now)) == 2 * 4

    def test_a_server_gone_from_the_table_is_forgotten(self):
        book = new_book()
        now = warm_up(book)
        book.take(Unit("s1", 0), "l1", "a", now)
        book.set_servers(POOL, SERVERS[1:], ["s2"], now)
        book.release("l1", now)
        assert [row.server for row in book.status(now)] == ["s2"]
        assert book.observe("s1", Outcome.COMPLETED, 0.1, 0.1, 1.0, now) == ()


class TestRestartDuringRamp:
    def test_a_new_scheduler_continues_the_ramp_and_counts_what_runs(self):
        # The scheduler's VM is replaced while a server warms up. Its successor hears
        # of the budget and of the running requests from the routers; starting from
        # the full limit, or from an empty book, would overload the server.
        former = new_book()
        now = START
        while warmths(former, now)["s1"] is not Warmth.WARMING:
            serve(former, now)
            now += 0.1
            assert now < START + 60, "never began to warm up"
        [row, _] = former.status(now)
        leases = [
            RunningLease(f"l{unit.index}", "d", "w", unit, 1.0, 50.0, 5.0)
            for unit in free_of(former, "s1", now)
        ]
        successor = new_book(now, longest_lease_s=60.0)
        hint = ServerHint("s1", row.limit, row.warmth, 0.5)
        successor.adopt_hint(hint, now)
        for lease in leases:
            successor.adopt_lease(lease, "a", now)
        later = now + LEND_QUARANTINE_S
        assert len(leases) == row.limit
        assert free_of(successor, "s1", later) == []
        successor.release("l0", later)
        assert len(free_of(successor, "s1", later)) == 1
        assert len(free_of(successor, "s2", later)) == POOL.cold_concurrency


class TestInformed:
    def test_a_book_knows_servers_by_answers_or_hints(self):
        book = new_book()
        book.observe("s1", Outcome.COMPLETED, 0.1, 0.02, 10.0, START)
        assert [row.informed for row in book.status(START)] == [True, False]
        book.adopt_hint(ServerHint("s2", 4, Warmth.WARM, 0.5), START)
        assert [row.informed for row in book.status(START)] == [True, True]


class TestEarlyJudgement:
    """A ramp goes on answers that still run, each counted once."""

    def run_two(self, book):
        """Judge two running answers of one server, the budget's need at the start."""
        for number in range(2):
            unit = next(o.unit for o in book.free(START) if o.unit.server == "s1")
            book.take(unit, f"l{number}", "a", START)
            book.observe_early(f"l{number}", 0.1, 0.02, 16.0, START)
            if number == 0:
                book.observe("s1", Outcome.COMPLETED, 0.1, 0.02, 99.0, START, "l0")
                book.release("l0", START)

    def limit(self, book):
        [row] = [row for row in book.status(START) if row.server == "s1"]
        return row.limit

    def test_budget_rises_while_the_answer_runs(self):
        # Letters take ten seconds and more. If only whole answers counted, a data
        # centre that returns would stand half idle for minutes.
        book = new_book()
        self.run_two(book)
        assert self.limit(book) == 2

    def test_whole_answer_is_not_counted_again(self):
        book = new_book()
        self.run_two(book)
        for _ in range(4):
            book.observe("s1", Outcome.COMPLETED, 0.1, 0.02, 99.0, START, "l1")
        assert self.limit(book) == 2

    def test_answer_is_judged_once(self):
        book = new_book()
        unit = next(o.unit for o in book.free(START) if o.unit.server == "s1")
        book.take(unit, "l0", "a", START)
        for _ in range(5):
            book.observe_early("l0", 0.1, 0.02, 16.0, START)
        assert self.limit(book) == 1

    def test_failure_after_an_early_judgement_still_counts(self):
        # The server falls over in the middle of answers that began well.
        book = new_book()
        self.run_two(book)
        book.observe("s1", Outcome.FAILED, None, None, 0.0, START, "l1")
        assert self.limit(book) == 1

    def test_unknown_lease_is_ignored(self):
        assert new_book().observe_early("gone", 0.1, 0.02, 16.0, START) == ()
