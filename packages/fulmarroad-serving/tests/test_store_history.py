"""What the store tells about the servers of before a router's start."""

import os

import anyio
import pytest
from attrs import evolve
from history_store import HEARTBEAT_S, SERVICE, History, HistoryStore
from serving_bed import SHORT, make_catalog
from stream_callers import DEADLINE_S
from stream_fleet import LONG_STREAM, StreamFleet
from test_node import KeylessCodec, settings

from fulmarroad.testing import run_virtual
from fulmarroad_serving import Instance, Registry
from fulmarroad_serving.bounded_log import BoundedLog
from fulmarroad_serving.contracts import (
    CatalogFact,
    InstanceFact,
    InstanceRemovedFact,
)
from fulmarroad_serving.node import ServingNode
from fulmarroad_serving.streams._list_watch import ListWatch
from fulmarroad_serving.streams._resumption import RECORD_MARGIN_S
from fulmarroad_serving.streams._store_history import StoreHistory

LIFE_S = DEADLINE_S + RECORD_MARGIN_S
NOW_MS = 1_000_000_000
CATALOG = make_catalog(routes=(evolve(LONG_STREAM, resumable=True), SHORT))
SEEDS = int(os.environ.get("STORE_HISTORY_SEEDS", "300"))
"""A few in CI; a long run by hand sets the variable to thousands."""


def server(name, version="v1", age_s=100.0, **more):
    values = {"beats": 1, "started_ms": NOW_MS - int(1000 * age_s)} | more
    return Instance(name, SERVICE, "h", 1, "fes", 8, version=version, **values)


def look_back(store, unix_s=NOW_MS / 1000, catalog=CATALOG, times=1, left=None):
    """Return for how long a router that has just started knows the servers.

    The versions of runs that ended are added to `left`.
    """
    left = set() if left is None else left
    watch, registry = ListWatch(), Registry()

    async def go():
        now = anyio.current_time()
        for item in store.listing().items:
            if isinstance(item.data, InstanceFact):
                registry.put(item.data.instance, now)
        history = StoreHistory(
            store,
            registry,
            watch,
            HEARTBEAT_S,
            anyio.current_time,
            lambda: unix_s,
        )
        history.on_departures = lambda seconds, rows: left.update(
            row.version for row in rows
        )
        for _ in range(times):
            await history.look_back(store.listing(), catalog)
        now = anyio.current_time()
        return watch.seconds(now), registry.versions(SERVICE, now)

    return run_virtual(go)


def listed_versions(store):
    facts = [item.data for item in store.listing().items]
    return {row.instance.version for row in facts if isinstance(row, InstanceFact)}


def long_served():
    """Return a store whose servers run for long and whose beginning is forgotten."""
    store = HistoryStore(revision=500)
    store.put("op/config", object())
    for number in range(3):
        store.put_server(server(f"s-{number}"))
    store.discard()
    return store


def config_changed(store):
    for _ in range(2):
        store.put("op/config", object())


def config_changed_and_forgotten(store):
    config_changed(store)
    store.discard()


def old_version_gone(store):
    store.put_server(server("old", "v0", age_s=90.0))
    store.remove_server("old")


def unknown_version_gone(store):
    store.remove_server("old")


def gone_and_forgotten(store):
    store.remove_server("old")
    store.discard()


def started_again(store):
    store.put_server(server("s-0", age_s=1.0))


def started_lately(store):
    store.put_server(server("s-9", age_s=1.0))


def written_late(store):
    """Let a server that was silent for long register after the old version went."""
    gone_and_forgotten(store)
    store.put_server(server("s-0"))
    store.discard()


def listed_only(**more):
    copy = HistoryStore(revision=500)
    for number in range(3):
        copy.put_server(server(f"s-{number}", **more))
    copy.discard()
    return copy


def barely_old(store):
    """Let entries be older than streams by less than clocks may differ."""
    return listed_only(age_s=20.0)


def maybe_silent(store):
    """Let entries be old only if no heartbeat was late."""
    return listed_only(age_s=40.0, beats=10)


def clock_behind(store):
    """Let a server that has started lately have written before the old ones."""
    copy = HistoryStore(revision=500)
    for name, age_s in (("s-0", 1.0), ("s-1", 100.0), ("s-2", 100.0), ("s-3", 100.0)):
        copy.put_server(server(name, age_s=age_s))
    copy.discard()
    return copy


def restored(store):
    copy = HistoryStore(era=2, revision=500)
    for number in range(3):
        copy.put_server(server(f"s-{number}"))
    return copy


def no_heartbeats(store):
    return listed_only(beats=None)


def all_leaving(store):
    return listed_only(draining=True)


def young_fleet(store):
    copy = HistoryStore()
    copy.put("op/config", object())
    for number in range(3):
        copy.put_server(server(f"s-{number}", age_s=2.0, beats=0))
    return copy


def young_fleet_forgotten(store):
    copy = young_fleet(store)
    copy.remove_server("old")
    copy.discard()
    return copy


class TestSituations:
    @pytest.mark.parametrize(
        ("change", "is_known", "versions", "reads"),
        [
            (None, True, {"v1"}, 0),
            (config_changed, True, {"v1"}, 1),
            (config_changed_and_forgotten, False, {"v1"}, 1),
            (old_version_gone, True, {"v0", "v1"}, 1),
            (unknown_version_gone, False, {"v1"}, 1),
            (gone_and_forgotten, False, {"v1"}, 1),
            (started_again, False, {"v1"}, 0),
            (started_lately, False, {"v1"}, 0),
            (written_late, False, {"v1"}, 1),
            (barely_old, False, {"v1"}, 1),
            (maybe_silent, False, {"v1"}, 1),
            (clock_behind, False, {"v1"}, 1),
            (restored, False, {"v1"}, 0),
            (no_heartbeats, False, {"v1"}, 1),
            (all_leaving, False, {"v1"}, 1),
            (young_fleet, True, {"v1"}, 0),
            (young_fleet_forgotten, False, {"v1"}, 1),
        ],
    )
    def test_only_what_is_proved_counts(self, change, is_known, versions, reads):
        """Guard against streams that are joined from two versions, or all refused,
        after a loss of all routers.
        """
        store = long_served()
        if change is not None:
            store = change(store) or store
        watched_s, known = look_back(store)
        assert (watched_s >= LIFE_S) == is_known
        assert known == versions
        assert store.reads == reads

    def test_a_version_that_the_history_shows_counts(self):
        """Guard against a version that has left just before and is forgotten."""
        store = HistoryStore()
        store.put_server(server("old", "v0", age_s=2.0))
        store.put_server(server("new", "v1", age_s=1.0))
        store.remove_server("old")
        left = set()
        watched_s, known = look_back(store, left=left)
        assert watched_s >= LIFE_S
        assert (known, left) == ({"v0", "v1"}, {"v0"})

    def test_a_failing_store_is_not_read_again_at_once(self):
        """Guard against a store that forgets all history and is read in a loop."""
        store = long_served()
        gone_and_forgotten(store)
        look_back(store, times=5)
        assert store.reads == 1

    def test_nothing_is_read_where_no_stream_may_be_resumed(self):
        store = long_served()
        config_changed(store)
        look_back(store, catalog=make_catalog(routes=(SHORT,)))
        assert store.reads == 0


class TestRandomHistories:
    def test_no_version_that_served_is_ever_left_out(self):
        """Guard against a version that the evidence denies: callers would get events
        of two versions.
        """
        known = 0
        for seed in range(SEEDS):
            history = History(seed)
            history.run()
            skew_s = history.random.uniform(-5.0, 5.0)
            unix_s = 1_000_000 + history.now + skew_s
            left = set()
            watched_s, versions = look_back(history.store, unix_s, left=left)
            if watched_s >= LIFE_S:
                known += 1
                recent = history.recent(LIFE_S)
                assert recent <= versions, f"seed {seed}"
                assert recent - listed_versions(history.store) <= left, f"seed {seed}"
            assert history.store.reads <= 1
        assert known > SEEDS / 20


class TestNode:
    def test_a_router_that_lists_the_store_looks_back_once(self, caplog):
        """Guard against a fleet that knows nothing of before though the store does."""

        async def test():
            store = long_served()
            store.put("op/config", CatalogFact(CATALOG))
            log = BoundedLog("router-a", 1)
            node = ServingNode(settings(), KeylessCodec(), store, log, tuple)
            with caplog.at_level("INFO", "fulmarroad.serving"):
                await node._reader._read()
            watch = node._peers.streams.watch
            assert watch.seconds(node._clock()) >= LIFE_S

        anyio.run(test)
        rows = [vars(row) for row in caplog.records]
        looks = [row for row in rows if row["name_of_event"] == "store_looked_back"]
        assert [(row["evidence"], row["cause"]) for row in looks] == [
            ("heartbeats", "")
        ]


class StoredFleet(StreamFleet):
    """A fleet whose starting routers look back in the store."""

    def start_router(self, name):
        router = super().start_router(name)
        history = StoreHistory(
            self.store,
            router.dispatcher.registry,
            router.streams.watch,
            HEARTBEAT_S,
            anyio.current_time,
        )
        self.group.start_soon(history.look_back, self.store.listing(), CATALOG)
        return router

    async def lose_all(self):
        for name in self.routers:
            self.kill(name)
        await anyio.sleep(0.3)
        for name in list(self.routers):
            self.start_router(name)
        await anyio.sleep(LIFE_S)


@pytest.mark.parametrize("names_stream", [True, False])
class TestFleet:
    @pytest.mark.parametrize("is_replaced", [False, True])
    @pytest.mark.parametrize("is_forgotten", [False, True])
    def test_all_routers_are_lost(self, names_stream, is_replaced, is_forgotten):
        """Guard against the loss of all streams together with all routers, and against
        events of a version that replaced their own.
        """

        async def test(fleet):
            for number in range(2):
                fleet.add_engine(f"v1-{number}", "v1")
            await anyio.sleep(0.3)
            for number in range(24):
                fleet.begin(number, names_stream=names_stream)
            await anyio.sleep(0.5)
            if is_replaced:
                fleet.add_engine("v2-0", "v2")
                for number in range(2):
                    fleet.engines[f"v1-{number}"].crash()
                    fleet.publish(InstanceRemovedFact(f"v1-{number}"), after_s=0.0)
            if is_forgotten:
                fleet.store.discard()
            await fleet.lose_all()
            assert not fleet.mixed()
            assert any(len(row.tries) > 1 for row in fleet.callers)
            if not is_replaced:
                assert all(row.whole for row in fleet.callers)

        run_virtual(StoredFleet().run, test)
