"""Test that a server book grants only lent units and overloads no server."""

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
    def test_cold_servers_have_their_cold_budget_free(self):
        book = new_book()
        assert len(book.free(START)) == len(SERVERS) * POOL.cold_concurrency

    def test_taken_unit_is_not_free(self):
        book = new_book()
        unit = book.free(START)[0].unit
        book.take(unit, "l1", "a", START)
        assert unit not in [offer.unit for offer in book.free(START)]
        with pytest.raises(CapacityError):
            book.take(unit, "l2", "a", START)
        book.release("l1", START)
        assert unit in [offer.unit for offer in book.free(START)]

    def test_release_of_an_unknown_lease_changes_nothing(self):
        book = new_book()
        before = book.free(START)
        book.release("never", START)
        assert book.free(START) == before

    def test_good_answers_raise_a_server_to_its_full_limit(self):
        book = new_book()
        now = warm_up(book)
        assert set(warmths(book, now).values()) == {Warmth.WARM}
        assert book.capacity(now) == len(SERVERS) * POOL.max_concurrency
        row = book.status(now)[0]
        assert (row.limit, row.running, row.usable) == (8, 0, 8)

    def test_failing_server_does_not_affect_the_other(self):
        # One of two servers dies under load and its requests fail.
        book = new_book()
        now = warm_up(book)
        changes = serve(book, now, only="s1", outcome=Outcome.FAILED)
        assert [(one.server, one.after) for one in changes] == [("s1", Warmth.FAILING)]
        assert free_of(book, "s1", now) == []
        assert len(free_of(book, "s2", now)) == 8
        assert len(free_of(book, "s1", now + 1.0)) == 1


class TestTableChanges:
    def test_server_taken_out_of_service_gets_no_new_work(self):
        # Operators take a server out of service while it runs requests. These end
        # normally and stay recorded until then, but no new ones begin.
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

    def test_returning_server_is_cold(self):
        # A data centre returns after a power cut before which its servers were warm.
        book = new_book()
        now = warm_up(book)
        book.set_servers(POOL, SERVERS, [], now)
        changes = book.set_servers(POOL, SERVERS, NAMES, now + 60)
        assert [change.after for change in changes] == [Warmth.COLD] * 2
        assert len(book.free(now + 60)) == len(SERVERS) * POOL.cold_concurrency

    def test_change_of_pool_settings_keeps_servers_warm(self):
        book = new_book()
        now = warm_up(book)
        pool = evolve(POOL, max_concurrency=4)
        assert book.set_servers(pool, SERVERS, NAMES, now) == ()
        assert len(book.free(now)) == 2 * 4

    def test_server_removed_from_the_table_is_dropped(self):
        book = new_book()
        now = warm_up(book)
        book.take(Unit("s1", 0), "l1", "a", now)
        book.set_servers(POOL, SERVERS[1:], ["s2"], now)
        book.release("l1", now)
        assert [row.server for row in book.status(now)] == ["s2"]
        assert book.observe("s1", Outcome.COMPLETED, 0.1, 0.1, 1.0, now) == ()


class TestRestartDuringRamp:
    def test_new_scheduler_continues_the_ramp_and_counts_running_leases(self):
        # The scheduler's VM is replaced while a server warms up. Its successor gets
        # the budget and the running requests from the routers. Starting with the full
        # limit or without the running requests would overload the server.
        former = new_book()
        now = START
        while warmths(former, now)["s1"] is not Warmth.WARMING:
            serve(former, now)
            now += 0.1
            assert now < START + 60, "server did not begin to warm up"
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
    def test_answers_and_hints_make_a_server_informed(self):
        book = new_book()
        book.observe("s1", Outcome.COMPLETED, 0.1, 0.02, 10.0, START)
        assert [row.informed for row in book.status(START)] == [True, False]
        book.adopt_hint(ServerHint("s2", 4, Warmth.WARM, 0.5), START)
        assert [row.informed for row in book.status(START)] == [True, True]


class TestEarlyJudgement:
    """Test that running answers advance a ramp, each counted once."""

    def observe_two_answers(self, book):
        """Observe two running answers of a server, enough to raise its first budget."""
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
        # Long answers take ten seconds or more. If only whole answers counted, a
        # returning data centre would be half idle for minutes.
        book = new_book()
        self.observe_two_answers(book)
        assert self.limit(book) == 2

    def test_whole_answer_is_not_counted_again(self):
        book = new_book()
        self.observe_two_answers(book)
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
        # The server becomes overloaded in the middle of answers that began well.
        book = new_book()
        self.observe_two_answers(book)
        book.observe("s1", Outcome.FAILED, None, None, 0.0, START, "l1")
        assert self.limit(book) == 1

    def test_unknown_lease_is_ignored(self):
        assert new_book().observe_early("gone", 0.1, 0.02, 16.0, START) == ()
