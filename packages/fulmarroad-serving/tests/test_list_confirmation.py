"""Reads of the store that confirm a router's list of servers."""

import itertools

import anyio
from history_store import HistoryStore
from serving_bed import make_catalog

from fulmarroad.audit import AuditTrail
from fulmarroad.testing import run_virtual
from fulmarroad_serving import Dispatcher, FleetBounds, Instance
from fulmarroad_serving._pool import ConnectionPool
from fulmarroad_serving._registry import LAPSE_GRACE_S
from fulmarroad_serving._router_state import RouterState
from fulmarroad_serving.contracts import CatalogFact
from fulmarroad_serving.exceptions import HistoryLostError, StoreError
from fulmarroad_serving.streams import ListConfirmation
from fulmarroad_serving.streams._confirmation import (
    FLEET_READS_PER_S,
    MIN_INTERVAL_S,
    READ_TIMEOUT_S,
)

ANSWER_S = 0.1
LONG_S = 60.0


class ScriptedStore(HistoryStore):
    """A store that answers after a while with what it held as it was asked."""

    def __init__(self):
        super().__init__()
        self.begun_at = []
        self.answer_s = ANSWER_S
        self.error = None

    async def read_changes(self, at, timeout_s):
        self.begun_at.append(anyio.current_time())
        error, listing = self.error, self.changes_after(at)
        await anyio.sleep(self.answer_s)
        if error is not None:
            raise error
        return listing


class Bed:
    """One router that confirms its list."""

    def __init__(self, fleet_size=4, failure_age_s=LONG_S):
        self.store = ScriptedStore()
        clock = anyio.current_time
        dispatcher = Dispatcher("r", "fes", FleetBounds(), 1)
        self.registry = dispatcher.registry
        self.state = RouterState(
            self.store, dispatcher, ConnectionPool(clock), AuditTrail(), clock
        )
        self.confirmation = ListConfirmation(
            self.store, self.state, lambda: fleet_size, lambda: failure_age_s, clock
        )
        self.store.put("op/config", CatalogFact(make_catalog()))

    async def confirm(self, timeout_s):
        """Confirm the list as of now."""
        return await self.confirmation.confirm(anyio.current_time(), timeout_s)

    def put_server(self, version="v1"):
        name = f"s-{version}"
        self.store.put_server(
            Instance(name, "drafting", "h", 1, "fes", 8, version=version)
        )
        return name

    def list_all(self):
        listing = self.store.listing()
        self.state.apply_listing(listing.items, listing.at, LONG_S, "test")

    def run(self, test, *, has_copy=True):
        async def main():
            if has_copy:
                self.list_all()
            async with anyio.create_task_group() as group:
                group.start_soon(self.confirmation.run)
                await anyio.sleep(1.0)
                await test()
                group.cancel_scope.cancel()

        run_virtual(main)


async def confirm_all(bed, number, timeout_s=1.0):
    """Let calls come at once and return what they learn."""
    results = []

    async def confirm():
        results.append(await bed.confirm(timeout_s))

    async with anyio.create_task_group() as group:
        for _ in range(number):
            group.start_soon(confirm)
    return results


class TestConfirmation:
    def test_a_read_that_began_before_the_call_confirms_nothing(self):
        """Guard against a version that joined while a read was on its way, whose
        answer lacks it.
        """
        bed = Bed()

        async def test():
            async with anyio.create_task_group() as group:
                group.start_soon(bed.confirm, 1.0)
                await anyio.sleep(ANSWER_S / 2)
                name = bed.put_server("v2")
                assert await bed.confirm(1.0)
                assert bed.registry.get(name) is not None
            assert len(bed.store.begun_at) == 2

        bed.run(test)

    def test_an_answer_that_comes_late_is_no_newer_than_its_question(self):
        """Guard against a list taken for complete as of the time of the answer."""
        bed = Bed()

        async def test():
            assert await bed.confirm(1.0)
            answered_at = anyio.current_time()
            name = bed.put_server("v2")
            assert await bed.confirm(1.0)
            assert bed.registry.get(name) is not None
            assert anyio.current_time() - answered_at >= ANSWER_S

        bed.run(test)

    def test_calls_that_come_during_a_read_share_the_next_one(self):
        """Guard against one read of the store for each stream of a lost router."""
        bed = Bed()

        async def test():
            async with anyio.create_task_group() as group:
                group.start_soon(bed.confirm, 1.0)
                await anyio.sleep(ANSWER_S / 2)
                assert await confirm_all(bed, 40) == [True] * 40
            assert len(bed.store.begun_at) == 2

        bed.run(test)

    def test_reads_of_the_whole_fleet_are_bounded(self):
        """Guard against a store that refuses the readers of changes, as all routers of
        a large fleet confirm their lists.
        """
        for size in (1, 100):
            bed = Bed(fleet_size=size)
            bed.store.answer_s = 0.0

            async def test(bed=bed):
                for _ in range(20):
                    # Calls at one moment share a read.
                    await anyio.sleep(0.001)
                    assert await bed.confirm(2.0)

            bed.run(test)
            begun_at = bed.store.begun_at
            least_s = max(MIN_INTERVAL_S, size / FLEET_READS_PER_S)
            pauses = [after - at for at, after in itertools.pairwise(begun_at)]
            assert min(pauses) >= least_s - 1e-9
            assert max(pauses) <= least_s + MIN_INTERVAL_S

    def test_a_router_without_a_copy_asks_nothing(self):
        """Guard against changes without what was there before taken for a list."""
        bed = Bed()

        async def test():
            assert not await bed.confirm(0.5)
            assert not bed.store.begun_at

        bed.run(test, has_copy=False)


class TestFailures:
    def test_a_store_that_fails_confirms_nothing_and_holds_up_nobody(self):
        """Guard against callers who wait for the whole time as the store refuses."""
        for error in (StoreError("no"), HistoryLostError("gone")):
            bed = Bed()
            bed.store.answer_s, bed.store.error = 0.001, error

            async def test(bed=bed):
                begun_at = anyio.current_time()
                assert await confirm_all(bed, 3, 5.0) == [False] * 3
                assert anyio.current_time() - begun_at < READ_TIMEOUT_S
                bed.store.error = None
                assert await bed.confirm(1.0)

            bed.run(test)

    def test_a_silent_store_confirms_nothing_in_the_time_of_the_call(self):
        bed = Bed()
        bed.store.answer_s = LONG_S

        async def test():
            begun_at = anyio.current_time()
            assert not await bed.confirm(0.1)
            assert anyio.current_time() - begun_at <= 0.1 + 1e-9
            assert not await bed.confirm(2.0)
            bed.store.answer_s = ANSWER_S
            assert await bed.confirm(1.0)

        bed.run(test)

    def test_entries_that_lapsed_in_an_outage_stay_for_a_while(self):
        """Guard against a router without servers after an outage of the store, which
        this read or any router has noticed.
        """
        for own_failure, reported_s in ((True, LONG_S), (False, 0.1)):
            bed = Bed(failure_age_s=reported_s)
            name = bed.put_server()

            async def test(bed=bed, name=name, own_failure=own_failure):
                if own_failure:
                    bed.store.error = StoreError("no")
                    assert not await bed.confirm(1.0)
                    bed.store.error = None
                bed.store.remove_server(name)
                assert await bed.confirm(1.0)
                assert bed.registry.get(name) is not None
                await anyio.sleep(LAPSE_GRACE_S)
                bed.state.expire()
                assert bed.registry.get(name) is None

            bed.run(test)

    def test_an_entry_that_is_removed_while_all_is_well_goes_at_once(self):
        """Guard against calls to a server whose removal a confirmation has read."""
        bed = Bed()
        name = bed.put_server()

        async def test():
            bed.store.remove_server(name)
            assert await bed.confirm(1.0)
            assert bed.registry.get(name) is None

        bed.run(test)
