"""The book of units grants what is lent, and no more than the limit."""

import pytest

from fulmarroad.capacity import CapacityError, ServerBook
from fulmarroad.tables import BackendServer, Pool
from fulmarroad.types import Outcome, Warmth

VMS = ("a", "b", "c")
SERVERS = tuple(BackendServer(f"s{n}", f"127.0.0.1:{n}", "fes-1") for n in (1, 2))
POOL = Pool("drafting", max_concurrency=8, cold_concurrency=1, servers=SERVERS)


def new_book(**kwargs):
    book = ServerBook(POOL, SERVERS, now=0.0, **kwargs)
    book.set_vms(VMS, 0.0)
    for vm in VMS:
        book.lend(vm, 1000.0, 0.0)
    return book


def serve(book, now, *, first_s=0.1, gap_s=0.02, outcome=Outcome.COMPLETED):
    """Run one round: every free unit takes a request, then all of them end."""
    taken = []
    for offer in book.free(now):
        lease = f"{offer.unit}@{now}"
        book.take(offer.unit, lease, "a", now)
        taken.append((lease, offer.unit.server))
    for lease, server in taken:
        book.observe(server, outcome, first_s, gap_s, 10.0, now)
        book.release(lease, now)
    return len(taken)


class TestServerBook:
    def test_cold_servers_offer_their_cold_budget(self):
        book = new_book()
        assert len(book.free(3.0)) == len(SERVERS) * POOL.cold_concurrency

    def test_a_taken_unit_is_not_free(self):
        book = new_book()
        unit = book.free(3.0)[0].unit
        book.take(unit, "l1", "a", 3.0)
        assert unit not in [offer.unit for offer in book.free(3.0)]
        with pytest.raises(CapacityError):
            book.take(unit, "l2", "a", 3.0)
        book.release("l1", 3.0)
        assert unit in [offer.unit for offer in book.free(3.0)]

    def test_good_answers_warm_a_server_to_its_full_limit(self):
        book = new_book()
        for step in range(40):
            serve(book, 3.0 + step)
        assert {row.warmth for row in book.status(50.0)} == {Warmth.WARM}
        assert book.capacity(50.0) == len(SERVERS) * POOL.max_concurrency
