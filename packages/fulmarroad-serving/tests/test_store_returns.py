"""A store that is restored from a copy some seconds old and assigns revisions again."""

import logging

import anyio
import msgpack
import pytest
from attrs import evolve
from fleet_bed import FleetBed
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule
from platform_store import FakePlatformStore

from fulmarroad.audit import AuditTrail
from fulmarroad.events import Event
from fulmarroad.exceptions import MessageError
from fulmarroad_platform.store import PlatformStore
from fulmarroad_serving import (
    Catalog,
    Dispatcher,
    FleetBounds,
    Instance,
    ReplicaItem,
    StateReplica,
    era_of,
    position,
    revision_of,
)
from fulmarroad_serving._pool import ConnectionPool
from fulmarroad_serving._reader import BATCH_S, WATCH_S, StoreReader
from fulmarroad_serving._registry import LAPSE_GRACE_S
from fulmarroad_serving._replica import ReplicaDelta
from fulmarroad_serving._replica_sync import (
    _decode_request,
    _encode_delta,
    _encode_request,
    _read_delta,
)
from fulmarroad_serving._reports import (
    member_of,
    pack_member,
    pack_report,
    read_member,
    read_report,
)
from fulmarroad_serving._router_state import RESTORE_GRACE_S, RouterState
from fulmarroad_serving.contracts import CatalogFact, InstanceFact, InstanceRemovedFact

ROUTERS = st.sampled_from("ab")
SERVERS = st.sampled_from(["s1", "s2", "s3"])

CHANGE_BOUND_S = 2.0
"""Time in seconds within which a change must be in force."""


def config(version, *hosts):
    routes = [
        {
            "Name": host,
            "Hostname": host,
            "PathPrefix": "/",
            "RouteType": "idempotent",
            "TimeoutMs": 1000,
            "TargetLatencyMs": 200,
            "ServiceName": "ledger",
        }
        for host in hosts
    ]
    return {"Version": version, "Routes": routes, "Services": [{"Name": "ledger"}]}


def entry(state="healthy", sequence=1, **more):
    return {
        "ServiceName": "ledger",
        "Address": "127.0.0.1:9001",
        "Zone": "fes",
        "Version": "v1",
        "Capacity": 6,
        "LifecycleState": state,
        "WarmupLeftMs": 0,
        "Sequence": sequence,
        "born": 1000,
    } | more


class Router:
    """State of one router that reads from a store."""

    def __init__(self, port):
        clock = anyio.current_time
        store = PlatformStore("127.0.0.1", port)
        self.dispatcher = Dispatcher("router-a", "fes", FleetBounds(), 1)
        pool = ConnectionPool(clock)
        self.beliefs = RouterState(store, self.dispatcher, pool, AuditTrail(), clock)
        self.reader = StoreReader(store, self.beliefs, lambda: True, clock, 1)

    async def catch_up(self, store):
        """Wait until the router has read all changes of the store."""
        newest = position(store.era if store.states_era else 0, store.revision)
        with anyio.fail_after(CHANGE_BOUND_S):
            while self.beliefs.replica.at != newest:
                await anyio.sleep(0.01)

    def usable(self):
        self.beliefs.expire()
        rows = self.dispatcher.registry.usable("ledger")
        return sorted(row.instance.id for row in rows)

    def serves(self, host):
        return self.beliefs.index.route_for(host, "/") is not None


def read(test, **more):
    """Run a test concurrently with a router that reads a fake store."""

    async def go():
        store = FakePlatformStore(**more)
        store.put("op/config", config(7, "a.example"))
        store.put("servers/s-1", entry())
        store.put("servers/s-2", entry())
        await store.start()
        router = Router(store.port)
        try:
            async with anyio.create_task_group() as group:
                group.start_soon(router.reader.run)
                with anyio.fail_after(2):
                    while len(router.usable()) < 2:
                        await anyio.sleep(0.02)
                await test(store, router)
                group.cancel_scope.cancel()
        finally:
            await store.stop()
            await anyio.sleep(0.01)

    anyio.run(go)


class TestLogLines:
    def test_each_listing_is_logged_with_its_era(self, caplog):
        """A copy that is ahead of the store discards listings; the log used to show no
        sign of it.
        """
        caplog.set_level(logging.INFO, "fulmarroad.serving")

        async def test(store, router):
            backup = store.save_copy()
            store.put("op/config", config(8, "a.example"))
            await router.catch_up(store)
            store.restore_copy(backup)
            await router.catch_up(store)

        read(test)
        number = Event.STORE_LISTED.value.number
        rows = [row for row in caplog.records if getattr(row, "event", 0) == number]
        assert rows[0].era == 1
        assert rows[0].changed == 3
        assert rows[1].era == 2
        assert rows[1].at < rows[0].at + 1


class TestRestoredStore:
    def test_writes_after_a_restore_are_in_force_in_time(self):
        """A restored store assigns revisions that routers have seen before to new
        writes. Routers that ignored these writes answered 404 for an added route and
        sent calls to a draining server.
        """

        async def test(store, router):
            backup = store.save_copy()
            for n in range(6):
                store.put("op/config", config(8 + n, "a.example"))
            await anyio.sleep(0.4)
            store.restore_copy(backup)
            await anyio.sleep(0.4)
            store.put("op/config", config(20, "a.example", "b.example"))
            store.put("servers/s-1", entry("draining", 2))
            await anyio.sleep(CHANGE_BOUND_S)
            assert router.serves("b.example")
            assert router.usable() == ["s-2"]

        read(test)

    def test_reassigned_revisions_do_not_hide_writes(self):
        """While no router reads, a restored store passes the last revision that a
        router has seen. A watch from that revision succeeds but misses the writes below
        it.
        """

        async def test(store, router):
            backup = store.save_copy()
            store.put("op/config", config(8, "a.example"))
            await router.catch_up(store)
            store.restore_copy(backup)
            store.put("servers/s-1", entry("draining", 2))
            for n in range(9):
                store.put("op/other", n)
            await router.catch_up(store)
            assert router.usable() == ["s-2"]

        read(test)

    def test_two_restores_in_a_row(self):
        async def test(store, router):
            backup = store.save_copy()
            for version in (20, 30):
                store.put("op/config", config(version - 1, "a.example"))
                await router.catch_up(store)
                store.restore_copy(backup)
                store.put("op/config", config(version, f"v{version}.example"))
            await router.catch_up(store)
            assert router.serves("v30.example")

        read(test)

    def test_a_restore_does_not_lower_the_catalog_version(self):
        """A key was revoked, but the copy from which the store is restored still
        contains it.
        """

        async def test(store, router):
            backup = store.save_copy()
            store.put("op/config", config(8, "b.example"))
            await router.catch_up(store)
            store.restore_copy(backup)
            await router.catch_up(store)
            assert router.beliefs.catalog.version == 8
            assert router.serves("b.example")

        read(test)

    def test_a_drained_or_removed_server_stays_unused_after_a_restore(self):
        """The copy shows one server before it started draining and one before its
        removal.
        """

        async def test(store, router):
            backup = store.save_copy()
            store.put("servers/s-1", entry("draining", 2))
            store.remove("servers/s-2")
            store.put("servers/s-3", entry())
            await router.catch_up(store)
            assert router.usable() == ["s-3"]
            store.restore_copy(backup)
            store.put("servers/s-3", entry(sequence=2))
            await router.catch_up(store)
            assert router.usable() == ["s-3"]

        read(test)

    def test_a_server_missing_from_the_copy_is_kept_for_the_grace_period(self):
        async def test(store, router):
            backup = store.save_copy()
            store.put("servers/s-3", entry())
            await router.catch_up(store)
            store.restore_copy(backup)
            await router.catch_up(store)
            assert router.usable() == ["s-1", "s-2", "s-3"]
            await anyio.sleep(LAPSE_GRACE_S + 0.1)
            assert router.usable() == ["s-1", "s-2"]

        read(test)

    def test_an_excluded_data_centre_stays_excluded_after_a_restore(self):
        """Its exclusion was acknowledged but is missing from the copy."""

        async def test(store, router):
            backup = store.save_copy()
            store.put("op/evacuate/fes", {})
            await router.catch_up(store)
            assert router.usable() == []
            store.restore_copy(backup)
            await router.catch_up(store)
            assert router.usable() == []
            store.put("op/evacuate/fes", {})
            store.remove("op/evacuate/fes")
            await router.catch_up(store)
            assert router.usable() == []

        read(test)

    def test_a_store_that_refuses_every_watch_is_listed_with_pauses(self):
        """Calls to the store are limited, and each of them has a cost."""

        async def test(store, router):
            store.refuses_watches = True
            await anyio.sleep(WATCH_S + 0.3)
            before = store.listings
            await anyio.sleep(1.0)
            assert store.listings - before <= 1 / BATCH_S + 1

        read(test)

    def test_a_store_that_states_no_era_is_read_as_era_zero(self):
        async def test(store, router):
            store.put("op/config", config(8, "b.example"))
            await anyio.sleep(CHANGE_BOUND_S)
            assert router.serves("b.example")
            assert era_of(router.beliefs.replica.at) == 0

        read(test, states_era=False)


class TestPeers:
    def test_a_partitioned_peer_does_not_bring_back_the_old_history(self):
        behind, ahead = StateReplica(), StateReplica()
        behind.replace([ReplicaItem("a", position(1, 50), b"old")], position(1, 60))
        ahead.replace([ReplicaItem("a", position(2, 7), b"new")], position(2, 8))
        assert ahead.apply_delta(behind.since(0)) == ()
        changed = behind.apply_delta(ahead.since(behind.at))
        assert changed == (ReplicaItem("a", position(2, 7), b"new"),)
        assert behind.at == position(2, 8)

    def test_a_delta_carries_the_era(self):
        items = (
            ReplicaItem("a", position(1, 50), b"x"),
            ReplicaItem("b", position(2, 7)),
        )
        delta = ReplicaDelta(position(2, 8), True, items)
        assert _read_delta(_encode_delta(delta), era=9) == delta
        assert _decode_request(_encode_request(position(2, 8)), era=9) == position(2, 8)

    def test_messages_of_the_previous_release_use_the_receivers_era(self):
        """Routers of the previous release state revisions without an era. Read as the
        first era, their changes would never be pulled during a rolling upgrade.
        """
        old = msgpack.packb([8, False, [["a", 7, b"x"]]])
        assert _read_delta(old, era=3).items == (
            ReplicaItem("a", position(3, 7), b"x"),
        )
        assert _decode_request(msgpack.packb([8]), era=3) == position(3, 8)
        report = FleetBed(1).report("h0")
        row = msgpack.unpackb(pack_report(evolve(report, news_at=position(2, 44))))
        assert read_report(row, era=3).news_at == position(2, 44)
        assert read_report(row[:14], era=3).news_at == position(3, 44)
        member = pack_member(member_of(evolve(report, news_at=position(2, 44)), 0.1))
        assert read_member(member, era=3).news_at == position(2, 44)
        assert read_member(member[:10], era=3).news_at == position(3, 44)

    @pytest.mark.parametrize(("era", "revision"), [(-1, 4), (1, -1), (1, 1 << 60)])
    def test_a_position_out_of_range_raises_an_error(self, era, revision):
        with pytest.raises(ValueError):
            position(era, revision)
        with pytest.raises(MessageError):
            _read_delta(msgpack.packb([revision, False, [], era]))


class TestUnconfirmedFacts:
    def make(self):
        """Return a router state that contains a server's removal before the restore."""
        now = [100.0]
        dispatcher = Dispatcher("a", "fes", FleetBounds())
        pool = ConnectionPool(lambda: now[0])
        beliefs = RouterState(Decoder(), dispatcher, pool, AuditTrail(), lambda: now[0])
        row = ReplicaItem("server/s1", position(1, 4), {"born": 7, "draining": False})
        beliefs.apply_listing([row], position(1, 5), 60.0, "store")
        removal = ReplicaItem("server/s1", position(1, 6), None)
        beliefs.apply_changes([removal], position(1, 6), 60.0, "store")
        return beliefs, dispatcher.registry, now

    def restore_copy(self, beliefs):
        row = ReplicaItem("server/s1", position(2, 4), {"born": 7, "draining": False})
        beliefs.apply_listing([row], position(2, 5), 60.0, "store")

    def test_a_restored_entry_is_used_if_it_is_not_removed_again(self):
        """A server's entry was removed by mistake and the copy has it. Ignored forever,
        the entry would leave a running server without calls.
        """
        beliefs, registry, now = self.make()
        self.restore_copy(beliefs)
        now[0] += RESTORE_GRACE_S - 0.1
        beliefs.expire()
        assert not registry.usable("drafting")
        now[0] += 0.2
        beliefs.expire()
        assert registry.usable("drafting")

    def test_a_restored_entry_that_is_removed_again_is_not_used(self):
        beliefs, registry, now = self.make()
        self.restore_copy(beliefs)
        removal = ReplicaItem("server/s1", position(2, 9), None)
        beliefs.apply_changes([removal], position(2, 9), 60.0, "store")
        now[0] += 2 * RESTORE_GRACE_S
        beliefs.expire()
        assert not registry.usable("drafting")

    def test_a_run_older_than_the_known_one_is_not_used(self):
        """A server stopped and restarted, and the copy shows its earlier run. Calls
        would name a run that has ended.
        """
        beliefs, registry, _ = self.make()
        row = ReplicaItem("server/s1", position(1, 8), {"born": 9, "draining": False})
        beliefs.apply_changes([row], position(1, 8), 60.0, "store")
        self.restore_copy(beliefs)
        assert [row.instance.started_ms for row in registry.usable("drafting")] == [9]

    def test_a_run_older_than_the_removed_one_is_not_used(self):
        beliefs, registry, _ = self.make()
        for revision, data in ((8, {"born": 9, "draining": False}), (9, None)):
            row = ReplicaItem("server/s1", position(1, revision), data)
            beliefs.apply_changes([row], position(1, revision), 60.0, "store")
        self.restore_copy(beliefs)
        assert not registry.usable("drafting")

    def test_a_restarted_server_is_used_at_once(self):
        beliefs, registry, now = self.make()
        row = ReplicaItem("server/s1", position(2, 4), {"born": 8, "draining": False})
        beliefs.apply_listing([row], position(2, 5), 60.0, "store")
        assert registry.usable("drafting")


class AnyRestore(RuleBasedStateMachine):
    """Restore the store from older copies and write the lost changes again.

    Routers list, watch, or pull from each other. None may go back to an older version
    or use a server that it saw draining or removed. In the end all match the store.
    """

    def __init__(self):
        super().__init__()
        self.now = 100.0
        self.era, self.revision, self.version = 1, 1, 0
        self.items, self.log, self.backup = {}, [], []
        self.lost_writes = {}
        self.starts = 0
        self.left = {name: set() for name in "ab"}
        self.seen = dict.fromkeys("ab", 0)
        self.routers = {}
        for name in "ab":
            dispatcher = Dispatcher(name, "fes", FleetBounds())
            pool = ConnectionPool(lambda: self.now)
            beliefs = RouterState(
                Decoder(), dispatcher, pool, AuditTrail(), lambda: self.now
            )
            self.routers[name] = (beliefs, dispatcher.registry)

    def write(self, key, value):
        self.revision += 1
        self.lost_writes.pop(key, None)
        item = ReplicaItem(key, position(self.era, self.revision), value)
        self.items[key] = item
        self.log.append(item)

    @rule()
    def operators_write_a_version(self):
        self.version += 1
        self.write("config", {"version": self.version})

    @rule(server=SERVERS)
    def a_server_starts(self, server):
        self.starts += 1
        self.write(f"server/{server}", {"born": self.starts, "draining": False})

    @rule(server=SERVERS)
    def a_server_starts_draining(self, server):
        known = self.items.get(f"server/{server}")
        if known is not None and known.data is not None:
            self.write(f"server/{server}", known.data | {"draining": True})

    @rule(server=SERVERS)
    def a_server_is_removed(self, server):
        known = self.items.get(f"server/{server}")
        if known is not None and known.data is not None:
            self.write(f"server/{server}", None)

    @rule()
    def the_store_is_backed_up(self):
        self.backup = [(self.revision, dict(self.items))]

    @precondition(lambda self: self.backup)
    @rule()
    def the_store_is_restored(self):
        newest = {key: item.data for key, item in self.items.items()} | self.lost_writes
        self.revision, items = self.backup[0]
        self.era += 1
        self.items = {
            key: ReplicaItem(
                key, position(self.era, revision_of(item.revision)), item.data
            )
            for key, item in items.items()
        }
        self.backup = []
        self.log = []
        self.since = self.revision
        self.lost_writes = {
            key: value
            for key, value in newest.items()
            if key not in items or items[key].data != value
        }

    @precondition(lambda self: self.lost_writes)
    @rule()
    def lost_changes_are_written_again(self):
        for key, value in list(self.lost_writes.items()):
            self.write(key, value)

    @rule(router=ROUTERS)
    def a_router_lists(self, router):
        beliefs, _ = self.routers[router]
        live = [item for item in self.items.values() if item.data is not None]
        beliefs.apply_listing(live, position(self.era, self.revision), 60.0, "store")
        self.record_left_runs()

    @rule(router=ROUTERS)
    def a_router_watches(self, router):
        beliefs, _ = self.routers[router]
        known = beliefs.replica.at
        if known and era_of(known) == self.era:
            new_items = [item for item in self.log if item.revision > known]
            beliefs.apply_changes(
                new_items, position(self.era, self.revision), 60.0, "store"
            )
            self.record_left_runs()

    @rule(router=ROUTERS, other=ROUTERS)
    def a_router_pulls_from_another(self, router, other):
        beliefs, theirs = self.routers[router][0], self.routers[other][0]
        if router != other:
            beliefs.apply_delta(theirs.replica.since(beliefs.replica.at), 60.0, other)
            self.record_left_runs()

    @rule(seconds=st.floats(0.1, 3.0))
    def time_passes(self, seconds):
        if not self.lost_writes:
            self.now += seconds
            for beliefs, _ in self.routers.values():
                beliefs.expire()

    @rule()
    def all_routers_converge(self):
        self.lost_changes_are_written_again()
        for name in self.routers:
            self.a_router_lists(name)
        self.now += RESTORE_GRACE_S + LAPSE_GRACE_S
        for beliefs, registry in self.routers.values():
            beliefs.expire()
            config = self.items.get("config")
            assert beliefs.catalog.version == (config.data["version"] if config else 0)
            live = {
                key.removeprefix("server/"): item.data["born"]
                for key, item in self.items.items()
                if key.startswith("server/") and item.data is not None
            }
            rows = registry.rows()
            assert {r.instance.id: r.instance.started_ms for r in rows} == live

    def record_left_runs(self):
        """Record the runs that each router has seen draining or removed."""
        for name, (beliefs, registry) in self.routers.items():
            for item in beliefs.replica.since(0).items:
                if item.key.startswith("server/") and item.data["draining"]:
                    server = item.key.removeprefix("server/")
                    self.left[name].add((server, item.data["born"]))
            for server, started in registry._removed_servers.items():
                self.left[name].add((server, started))

    @invariant()
    def versions_never_go_back(self):
        for name, (beliefs, _) in self.routers.items():
            assert beliefs.catalog.version >= self.seen[name]
            self.seen[name] = beliefs.catalog.version

    @invariant()
    def runs_that_left_are_not_used(self):
        for name, (_, registry) in self.routers.items():
            used = {
                (row.instance.id, row.instance.started_ms)
                for row in registry.usable("drafting")
            }
            assert not used & self.left[name]


class Decoder:
    """Decode items as the state machine writes them."""

    def decode(self, item):
        kind, _, name = item.key.partition("/")
        if kind == "config":
            return CatalogFact(Catalog(item.data["version"])) if item.data else None
        if item.data is None:
            return InstanceRemovedFact(name)
        return InstanceFact(
            Instance(
                name,
                "drafting",
                "127.0.0.1",
                9000,
                "fes",
                8,
                draining=item.data["draining"],
                started_ms=item.data["born"],
            )
        )


TestAnyRestore = AnyRestore.TestCase
TestAnyRestore.settings = settings(
    derandomize=True, deadline=None, max_examples=300, stateful_step_count=50
)
