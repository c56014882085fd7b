"""Streams taken up where a decision by absence is older, or narrower, than it looks."""

import json

import anyio
import pytest
from attrs import evolve
from history_store import HistoryStore
from owner_bed import make_dispatcher
from serving_bed import SHORT, make_catalog
from stream_fleet import LONG_STREAM, StreamFleet, split_catalog

from fulmarroad.testing import run_virtual
from fulmarroad_platform.store import PlatformStore
from fulmarroad_serving import Instance, Target, era_of, revision_of
from fulmarroad_serving._reader import StoreReader
from fulmarroad_serving.contracts import CatalogFact, InstanceRemovedFact
from fulmarroad_serving.http_client import Reply
from fulmarroad_serving.streams import ListWatch, StoreHistory
from fulmarroad_serving.streams._resumption import RouteServices

STREAMS = 24
LATE = "router-0"


class SplitFleet(StreamFleet):
    """A fleet in which some routers don't reach others, or have never met them."""

    def __init__(self, *args):
        super().__init__(*args)
        self.apart = frozenset()
        self.strangers = {}
        self.only = ""  # router at which callers come back

    def pick(self, client, attempt):
        return self.routers.get(self.only) or super().pick(client, attempt)

    def separated(self, name, other):
        return (name in self.apart) != (other in self.apart)

    def deliver(self, data, sender, to):
        if not self.separated(sender, to):
            super().deliver(data, sender, to)

    def keepers(self, router, believed):
        unseen = self.strangers.get(router.name, ())
        return [
            row
            for row in super().keepers(router, believed)
            if row.router not in unseen and not self.separated(router.name, row.router)
        ]

    def separate(self, names):
        """Cut routers off from the others and from the store."""
        self.apart = frozenset(names)
        for name in names:
            self.routers[name].store_cut = True


async def begin_fleet(fleet):
    for number in range(4):
        fleet.add_engine(f"v1-{number}", "v1")
    await anyio.sleep(0.5)


async def join_and_lose(fleet, routers, names_stream):
    """Let streams begin at a new version, and lose all routers that know of it."""
    for number in range(2):
        fleet.add_engine(f"v2-{number}", "v2")
    await anyio.sleep(0.6)
    for number in range(STREAMS):
        router = fleet.routers[routers[number % len(routers)]]
        fleet.begin(number, router=router, names_stream=names_stream)
    await anyio.sleep(0.5)
    for name in routers:
        fleet.kill(name)


def taken_up_late(fleet):
    rows = [row for caller in fleet.callers for row in caller.tries]
    return [row for row in rows if row.resumes]


class TestWaitingTakeUps:
    @pytest.mark.parametrize("joins_after_s", [0.03, 0.05])
    @pytest.mark.parametrize("names_stream", [True, False])
    def test_a_stream_that_waits_goes_on_at_no_version_that_joins_meanwhile(
        self, names_stream, joins_after_s
    ):
        """Guard against a text joined from two versions: only one served when the
        call came, and another one joins while the call waits for room.
        """

        async def test(fleet):
            for number in range(2):
                fleet.add_engine(f"v1-{number}", "v1", slots=8)
            await anyio.sleep(0.5)
            for number in range(16):
                fleet.begin(number, names_stream=names_stream)
            await anyio.sleep(0.3)
            for number in range(16, STREAMS):
                fleet.begin(number, names_stream=names_stream)
            await anyio.sleep(0.1)
            fleet.kill("router-1")
            await anyio.sleep(joins_after_s)
            fleet.add_engine("v2-0", "v2")
            fleet.add_engine("v2-1", "v2")
            await anyio.sleep(9.0)
            assert not fleet.mixed()
            assert taken_up_late(fleet)

        run_virtual(StreamFleet(size=4).run, test)


@pytest.mark.parametrize("names_stream", [True, False])
class TestSplitFleet:
    @pytest.mark.parametrize("size", [20, 30, 40])
    def test_a_few_routers_that_are_cut_off_are_not_all_routers(
        self, names_stream, size
    ):
        """Guard against a text joined from two versions in a large fleet: routers
        that are cut off forget most others, and take themselves for all.
        """

        async def test(fleet):
            await begin_fleet(fleet)
            fleet.separate([LATE, "router-1"])
            await anyio.sleep(0.6)
            others = [name for name in fleet.routers if name not in fleet.apart]
            await join_and_lose(fleet, others, names_stream)
            await anyio.sleep(9.0)
            assert not fleet.mixed()
            assert taken_up_late(fleet)

        run_virtual(SplitFleet(size).run, test)

    def test_routers_that_started_cut_off_are_not_all_routers(self, names_stream):
        """Guard against a text joined from two versions: two routers that started
        while they were cut off have met only each other.
        """

        async def test(fleet):
            await begin_fleet(fleet)
            fleet.separate([LATE, "router-1"])
            for name in fleet.apart:
                await fleet.restart(name, after_s=0.1)
            fleet.separate([LATE, "router-1"])
            await anyio.sleep(10.0)
            await join_and_lose(fleet, ["router-2", "router-3"], names_stream)
            await anyio.sleep(9.0)
            assert not fleet.mixed()
            assert taken_up_late(fleet)

        run_virtual(SplitFleet(4).run, test)

    def test_routers_too_many_to_name_are_not_none(self, names_stream):
        """Guard against a text joined from two versions: the routers that are asked
        know of one more, and leave it out as they know too many to name them.
        """

        async def test(fleet):
            fleet.strangers[LATE] = {"router-17"}
            await fleet.restart(LATE)
            await begin_fleet(fleet)
            fleet.strangers[LATE] = {"router-17"}
            fleet.group.start_soon(fleet.cut, "router-17", 60.0)
            for name, router in fleet.routers.items():
                router.store_cut = name != "router-17"
            for number in range(4):
                fleet.publish(InstanceRemovedFact(f"v1-{number}"), after_s=0.0)
            await anyio.sleep(10.0)
            fleet.only = LATE
            await join_and_lose(fleet, ["router-17"], names_stream)
            await anyio.sleep(9.0)
            assert not fleet.mixed()
            assert taken_up_late(fleet)

        run_virtual(SplitFleet(18).run, test)

    def test_a_version_that_a_router_used_while_cut_off_is_not_forgotten(
        self, names_stream
    ):
        """Guard against a text joined from two versions: a router that is cut off
        with its servers begins streams long after the store removed these.
        """

        async def test(fleet):
            await begin_fleet(fleet)
            fleet.separate([LATE])
            for number in range(4):
                fleet.add_engine(f"v2-{number}", "v2")
                fleet.publish(InstanceRemovedFact(f"v1-{number}"), after_s=0.0)
            await anyio.sleep(66.0)
            for number in range(STREAMS):
                late = fleet.routers[LATE]
                fleet.begin(number, router=late, names_stream=names_stream)
            await anyio.sleep(0.5)
            fleet.kill(LATE)
            await anyio.sleep(9.0)
            assert not fleet.mixed()
            assert taken_up_late(fleet)

        run_virtual(SplitFleet(4).run, test)


class TestRoutes:
    @pytest.mark.parametrize("confirmed_by", ["peer", "routers"])
    def test_an_old_configuration_is_not_confirmed_with_the_list(self, confirmed_by):
        """Guard against a text joined from two services: others confirm the servers
        of those services to which the route led before this router was cut off.
        """

        async def test(fleet):
            await begin_fleet(fleet)
            fleet.group.start_soon(fleet.cut, LATE, 2.0)
            fleet.group.start_soon(fleet.cut_store, LATE, 6.0)
            await anyio.sleep(0.1)
            fleet.set_catalog(**split_catalog((0.0, 100.0)))
            for number in range(2):
                fleet.add_engine(f"b-{number}", "v2", "drafting-b")
            await anyio.sleep(1.2)
            for number in range(STREAMS):
                router = fleet.routers[f"router-{1 + number % 3}"]
                fleet.begin(number, router=router)
            await anyio.sleep(0.72)
            for router in fleet.routers.values():
                router.streams.records = type(router.streams.records)()
            if confirmed_by == "routers":
                for router in fleet.routers.values():
                    router.store_cut = True
            for name in ("b-0", "b-1"):
                fleet.engines[name].crash()
                fleet.publish(InstanceRemovedFact(name), after_s=0.0)
            fleet.only = LATE
            await anyio.sleep(0.15)
            # It has a peer's copy from now on.
            fleet.routers[LATE].store_cut = False
            fleet.routers[LATE].read_store()
            await anyio.sleep(6.0)
            assert not fleet.mixed()

        run_virtual(SplitFleet(4).run, test)

    def test_the_services_of_a_route_that_comes_back_count_for_a_while(self):
        """Guard against a text joined from two services: a route is removed, and is
        added again with another service while callers can still take streams up.
        """
        services = split_catalog()["services"]
        before, after = (
            evolve(LONG_STREAM, targets=(Target(name, 1.0),)) for name in services
        )
        routes = RouteServices()
        routes.note_catalog(make_catalog(1, routes=(before,), services=services), 0.0)
        routes.note_catalog(make_catalog(2, routes=(), services=services), 2.0)
        routes.note_catalog(make_catalog(3, routes=(after,), services=services), 4.0)
        assert routes.recent(after, 5.0) == {"drafting", "drafting-b"}

    def test_the_services_of_a_shorter_prefix_count_for_a_while(self):
        """Guard against a text joined from two services: a route with a longer
        prefix takes over the callers of streams that began on another route.
        """
        services = split_catalog()["services"]
        before, after = (
            evolve(LONG_STREAM, targets=(Target(name, 1.0),)) for name in services
        )
        after = evolve(after, path_prefix=f"{before.path_prefix}1/")
        routes = RouteServices()
        routes.note_catalog(make_catalog(1, routes=(before,), services=services), 0.0)
        both = make_catalog(2, routes=(before, after), services=services)
        routes.note_catalog(both, 2.0)
        assert routes.recent(after, 5.0) == {"drafting", "drafting-b"}


class TestPages:
    def test_a_listing_in_pages_shows_no_change_by_what_left_later(self):
        """Guard against a version that came and went unseen: the servers that left
        while later pages were read count as if they had left before the first one.
        """

        async def test(fleet):
            router = fleet.routers[LATE]
            for number in range(2):
                fleet.add_engine(f"v1-{number}", "v1")
            await anyio.sleep(0.5)
            at = router.state.replica.at
            config = router.state.replica._items["op/config"]
            rows = {"Key": "op/config", "Revision": revision_of(config.revision)}
            first = {
                # A server of `v2` came and went with two revisions.
                "At": revision_of(at) + 2,
                "Truncated": True,
                "Entries": [rows | {"Data": ""}],
            }
            last = {"At": revision_of(at) + 4, "Truncated": False, "Entries": []}
            pages = iter((first, last))

            async def get(target, timeout_s):
                page = next(pages, None)
                if page is None:
                    await anyio.sleep_forever()
                era = b"%d" % era_of(at)
                headers = ((b"store-era", era),)
                return Reply(200, json.dumps(page).encode(), headers)

            store = PlatformStore("127.0.0.1", 1)
            store._client.get = get
            reader = StoreReader(
                store, router.state, lambda: True, anyio.current_time, 1
            )
            with anyio.move_on_after(1.0):
                await reader.run()
            assert router.state.replica.at >= at + 2
            assert router.streams.watch.seconds(anyio.current_time()) <= 1.0

        run_virtual(StreamFleet(size=1).run, test)


class TestHistory:
    def test_a_gap_that_shows_while_the_history_is_read_stays(self):
        """Guard against a version that came and went unseen: a peer's copy without
        it comes while a router that has just started reads the store's history.
        """
        watch = ListWatch()

        class BusyStore(HistoryStore):
            async def watch(self, at, wait_s):
                watch.note_copy(listing.at + 3, 1.5, hides_changes=True)
                return self.changes_after(at)

        async def test():
            history = StoreHistory(store, registry, watch, 1.2, lambda: 2.0)
            await history.look_back(listing, catalog)

        store, catalog = BusyStore(), make_catalog(routes=(LONG_STREAM, SHORT))
        registry = make_dispatcher("router-0").registry
        server = Instance("v1-0", "drafting", "h", 1, "fes", 8, version="v1")
        store.put("op/config", CatalogFact(catalog))
        store.put_server(server)
        store.put_server(evolve(server, draining=True))
        listing = store.listing()
        watch.note_copy(listing.at, 1.0, hides_changes=True)
        anyio.run(test)
        assert watch.seconds(2.0) <= 0.5


class SlowStoreFleet(StreamFleet):
    """A fleet whose store answers late."""

    answer_s = 0.0

    async def slow(self, router, read, at, timeout_s):
        with anyio.fail_after(timeout_s):
            await anyio.sleep(self.answer_s)
            return await read(at, timeout_s)

    def start_router(self, name):
        router = super().start_router(name)
        read = router.confirmation._store.read_changes
        router.confirmation._store.read_changes = lambda at, timeout_s: self.slow(
            router, read, at, timeout_s
        )
        return router


@pytest.mark.parametrize("names_stream", [True, False])
class TestCosts:
    @pytest.mark.parametrize("answer_s", [0.25, 0.35, 0.45])
    def test_a_slow_store_confirms_the_list(self, names_stream, answer_s):
        """Guard against callers refused by all routers while the store is slow: it
        answers within the time that the search allows, but none of its reads counts.
        """

        async def test(fleet):
            await begin_fleet(fleet)
            fleet.kill("router-1")  # so that not all routers answer
            await anyio.sleep(0.5)
            fleet.answer_s = answer_s
            late = [
                fleet.begin(
                    number,
                    router=fleet.routers[LATE],
                    resumes="c-404",
                    names_stream=names_stream,
                    tries=1,
                )
                for number in range(4)
            ]
            await anyio.sleep(4.0)
            assert all(row.whole for row in late)

        run_virtual(SlowStoreFleet(size=4).run, test)

    def test_a_stream_is_not_held_past_its_deadline(self, names_stream):
        """Guard against a caller who is answered by a router that is cut off long
        after the time that it wanted to wait.
        """

        async def test(fleet):
            await begin_fleet(fleet)
            fleet.group.start_soon(fleet.cut, LATE, 20.0)
            fleet.group.start_soon(fleet.cut_store, LATE, 20.0)
            await anyio.sleep(1.0)
            caller = fleet.caller_type(fleet, 1, names_stream=names_stream)
            caller.resumes = "c-404"
            await caller.attempt(fleet.routers[LATE], "c-1-0", 0.3)
            row = caller.tries[0]
            assert row.status == 503
            assert row.answered_at - row.at <= 0.3 + 0.25

        run_virtual(StreamFleet(size=4).run, test)
