"""The store comes back from a copy some seconds old and counts its revisions anew."""

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
    _asked_bytes,
    _delta_bytes,
    _read_asked,
    _read_delta,
)
from fulmarroad_serving._reports import (
    member_of,
    pack_member,
    pack_report,
    read_member,
    read_report,
)
from fulmarroad_serving._router_state import REWRITE_S, RouterState
from fulmarroad_serving.contracts import CatalogFact, InstanceFact, InstanceRemovedFact

ROUTERS = st.sampled_from("ab")
SERVERS = st.sampled_from(["s1", "s2", "s3"])

CONFIG_S = 2.0
"""Time within which a change must be in force."""


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
        "Capacity": 6,
        "LifecycleState": state,
        "WarmupLeftMs": 0,
        "Sequence": sequence,
        "born": 1000,
    } | more


class Router:
    """One router's beliefs, read from a store."""

    def __init__(self, port):
        clock = anyio.current_time
        store = PlatformStore("127.0.0.1", port)
        self.dispatcher = Dispatcher("router-a", "fes", FleetBounds(), 1)
        pool = ConnectionPool(clock)
        self.beliefs = RouterState(store, self.dispatcher, pool, AuditTrail(), clock)
        self.reader = StoreReader(store, self.beliefs, lambda: True, clock, 1)

    async def catch_up(self, store):
        """Wait until all that the store says is known."""
        newest = position(store.era if store.states_era else 0, store.revision)
        with anyio.fail_after(CONFIG_S):
            while self.beliefs.replica.at != newest:
                await anyio.sleep(0.01)

    def usable(self):
        self.beliefs.expire()
        rows = self.dispatcher.registry.usable("ledger")
        return sorted(row.instance.id for row in rows)

    def serves(self, host):
        return self.beliefs.index.route_for(host, "/") is not None


def read(test, **more):
    """Run a test beside a router that reads a stand-in store."""

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


class TestLines:
    def test_a_listing_that_changes_nothing_shows(self, caplog):
        """A copy that is ahead of the store throws listings away; no line said so."""
        caplog.set_level(logging.INFO, "fulmarroad.serving")

        async def test(store, router):
            kept = store.save_copy()
            store.put("op/config", config(8, "a.example"))
            await router.catch_up(store)
            store.restore_copy(kept)
            await router.catch_up(store)

        read(test)
        number = Event.STORE_LISTED.value.number
        rows = [row for row in caplog.records if getattr(row, "event", 0) == number]
        assert rows[0].era == 1
        assert rows[0].changed == 3
        assert rows[1].era == 2
        assert rows[1].at < rows[0].at + 1


class TestReturns:
    def test_what_is_written_after_the_return_is_in_force_in_time(self):
        """The store counts its revisions anew from an older one. What is written then
        has numbers that were seen before: a route that was added was answered 404, and
        a server that had said it leaves still got calls.
        """

        async def test(store, router):
            kept = store.save_copy()
            for n in range(6):
                store.put("op/config", config(8 + n, "a.example"))
            await anyio.sleep(0.4)
            store.restore_copy(kept)
            await anyio.sleep(0.4)
            store.put("op/config", config(20, "a.example", "b.example"))
            store.put("servers/s-1", entry("draining", 2))
            await anyio.sleep(CONFIG_S)
            assert router.serves("b.example")
            assert router.usable() == ["s-2"]

        read(test)

    def test_numbers_given_out_again_do_not_hide_what_was_written(self):
        """While nobody reads, the store counts past the number that a router has seen.
        A watch from there is answered, and lacks what was written below it.
        """

        async def test(store, router):
            kept = store.save_copy()
            store.put("op/config", config(8, "a.example"))
            await router.catch_up(store)
            store.restore_copy(kept)
            store.put("servers/s-1", entry("draining", 2))
            for n in range(9):
                store.put("op/other", n)
            await router.catch_up(store)
            assert router.usable() == ["s-2"]

        read(test)

    def test_two_returns_in_a_row(self):
        async def test(store, router):
            kept = store.save_copy()
            for version in (20, 30):
                store.put("op/config", config(version - 1, "a.example"))
                await router.catch_up(store)
                store.restore_copy(kept)
                store.put("op/config", config(version, f"v{version}.example"))
            await router.catch_up(store)
            assert router.serves("v30.example")

        read(test)

    def test_the_version_does_not_go_back_with_the_store(self):
        """A key was revoked; the copy from which the store comes back still has it."""

        async def test(store, router):
            kept = store.save_copy()
            store.put("op/config", config(8, "b.example"))
            await router.catch_up(store)
            store.restore_copy(kept)
            await router.catch_up(store)
            assert router.beliefs.catalog.version == 8
            assert router.serves("b.example")

        read(test)

    def test_a_server_that_said_it_leaves_stays_unused(self):
        """The copy shows the server as it was before its word, or before its end."""

        async def test(store, router):
            kept = store.save_copy()
            store.put("servers/s-1", entry("draining", 2))
            store.remove("servers/s-2")
            store.put("servers/s-3", entry())
            await router.catch_up(store)
            assert router.usable() == ["s-3"]
            store.restore_copy(kept)
            store.put("servers/s-3", entry(sequence=2))
            await router.catch_up(store)
            assert router.usable() == ["s-3"]

        read(test)

    def test_a_server_that_the_copy_lacks_is_kept_until_it_writes_again(self):
        async def test(store, router):
            kept = store.save_copy()
            store.put("servers/s-3", entry())
            await router.catch_up(store)
            store.restore_copy(kept)
            await router.catch_up(store)
            assert router.usable() == ["s-1", "s-2", "s-3"]
            await anyio.sleep(LAPSE_GRACE_S + 0.1)
            assert router.usable() == ["s-1", "s-2"]

        read(test)

    def test_a_data_centre_that_was_to_get_nothing_stays_so(self):
        """Its evacuation was acknowledged and is not in the copy."""

        async def test(store, router):
            kept = store.save_copy()
            store.put("op/evacuate/fes", {})
            await router.catch_up(store)
            assert router.usable() == []
            store.restore_copy(kept)
            await router.catch_up(store)
            assert router.usable() == []
            store.put("op/evacuate/fes", {})
            store.remove("op/evacuate/fes")
            await router.catch_up(store)
            assert router.usable() == []

        read(test)

    def test_a_store_that_refuses_each_watch_is_not_listed_without_a_pause(self):
        """Each call to the store is paid for, and its calls are limited."""

        async def test(store, router):
            store.refuses_watches = True
            await anyio.sleep(WATCH_S + 0.3)
            before = store.listings
            await anyio.sleep(1.0)
            assert store.listings - before <= 1 / BATCH_S + 1

        read(test)

    def test_a_store_that_states_no_era_is_read_as_before(self):
        async def test(store, router):
            store.put("op/config", config(8, "b.example"))
            await anyio.sleep(CONFIG_S)
            assert router.serves("b.example")
            assert era_of(router.beliefs.replica.at) == 0

        read(test, states_era=False)


class TestPeers:
    def test_a_peer_that_was_cut_off_brings_nothing_of_the_old_history_back(self):
        behind, ahead = StateReplica(), StateReplica()
        behind.replace([ReplicaItem("a", position(1, 50), b"old")], position(1, 60))
        ahead.replace([ReplicaItem("a", position(2, 7), b"new")], position(2, 8))
        assert ahead.apply_delta(behind.since(0)) == ()
        fresh = behind.apply_delta(ahead.since(behind.at))
        assert fresh == (ReplicaItem("a", position(2, 7), b"new"),)
        assert behind.at == position(2, 8)

    def test_a_copy_is_handed_on_with_its_era(self):
        items = (
            ReplicaItem("a", position(1, 50), b"x"),
            ReplicaItem("b", position(2, 7)),
        )
        delta = ReplicaDelta(position(2, 8), True, items)
        assert _read_delta(_delta_bytes(delta), era=9) == delta
        assert _read_asked(_asked_bytes(position(2, 8)), era=9) == position(2, 8)

    def test_routers_of_the_version_before_are_heard_in_the_era_known_here(self):
        """They state revisions alone. Taken for the first era, what they read from the
        store would never be pulled while a fleet is renewed.
        """
        old = msgpack.packb([8, False, [["a", 7, b"x"]]])
        assert _read_delta(old, era=3).items == (
            ReplicaItem("a", position(3, 7), b"x"),
        )
        assert _read_asked(msgpack.packb([8]), era=3) == position(3, 8)
        report = FleetBed(1).report("h0")
        row = msgpack.unpackb(pack_report(evolve(report, news_at=position(2, 44))))
        assert read_report(row, era=3).news_at == position(2, 44)
        assert read_report(row[:14], era=3).news_at == position(3, 44)
        member = pack_member(member_of(evolve(report, news_at=position(2, 44)), 0.1))
        assert read_member(member, era=3).news_at == position(2, 44)
        assert read_member(member[:10], era=3).news_at == position(3, 44)

    @pytest.mark.parametrize(("era", "revision"), [(-1, 4), (1, -1), (1, 1 << 60)])
    def test_a_position_out_of_range_is_told(self, era, revision):
        with pytest.raises(ValueError):
            position(era, revision)
        with pytest.raises(MessageError):
            _read_delta(msgpack.packb([revision, False, [], era]))


class TestDoubts:
    def make(self):
        """Return beliefs that were told of a server's leaving before a return."""
        now = [100.0]
        dispatcher = Dispatcher("a", "fes", FleetBounds())
        pool = ConnectionPool(lambda: now[0])
        beliefs = RouterState(Decoder(), dispatcher, pool, AuditTrail(), lambda: now[0])
        row = ReplicaItem("server/s1", position(1, 4), {"born": 7, "draining": False})
        beliefs.apply_listing([row], position(1, 5), 60.0, "store")
        gone = ReplicaItem("server/s1", position(1, 6), None)
        beliefs.apply_changes([gone], position(1, 6), 60.0, "store")
        return beliefs, dispatcher.registry, now

    def restore_copy(self, beliefs):
        row = ReplicaItem("server/s1", position(2, 4), {"born": 7, "draining": False})
        beliefs.apply_listing([row], position(2, 5), 60.0, "store")

    def test_an_entry_that_still_stands_after_a_while_is_believed(self):
        """The server's entry was removed by mistake and is right in the copy. Doubted
        for good, the server would never get a call again.
        """
        beliefs, registry, now = self.make()
        self.restore_copy(beliefs)
        now[0] += REWRITE_S - 0.1
        beliefs.expire()
        assert not registry.usable("drafting")
        now[0] += 0.2
        beliefs.expire()
        assert registry.usable("drafting")

    def test_an_entry_that_goes_meanwhile_is_not(self):
        beliefs, registry, now = self.make()
        self.restore_copy(beliefs)
        gone = ReplicaItem("server/s1", position(2, 9), None)
        beliefs.apply_changes([gone], position(2, 9), 60.0, "store")
        now[0] += 2 * REWRITE_S
        beliefs.expire()
        assert not registry.usable("drafting")

    def test_a_start_before_the_one_known_is_not_used(self):
        """A server left, started anew and is shown as before both: the calls would name
        a start that is over.
        """
        beliefs, registry, _ = self.make()
        row = ReplicaItem("server/s1", position(1, 8), {"born": 9, "draining": False})
        beliefs.apply_changes([row], position(1, 8), 60.0, "store")
        self.restore_copy(beliefs)
        assert [row.instance.started_ms for row in registry.usable("drafting")] == [9]

    def test_a_start_before_the_one_that_left_is_not_used(self):
        beliefs, registry, _ = self.make()
        for revision, data in ((8, {"born": 9, "draining": False}), (9, None)):
            row = ReplicaItem("server/s1", position(1, revision), data)
            beliefs.apply_changes([row], position(1, revision), 60.0, "store")
        self.restore_copy(beliefs)
        assert not registry.usable("drafting")

    def test_a_server_that_starts_anew_is_not_doubted(self):
        beliefs, registry, now = self.make()
        row = ReplicaItem("server/s1", position(2, 4), {"born": 8, "draining": False})
        beliefs.apply_listing([row], position(2, 5), 60.0, "store")
        assert registry.usable("drafting")


class AnyReturn(RuleBasedStateMachine):
    """The store comes back older at any time, and what it lost is written again.

    Routers list, watch, or hear from each other. None goes back to an older version,
    nor uses a server again that it was told has left; in the end all believe the store.
    """

    def __init__(self):
        super().__init__()
        self.now = 100.0
        self.era, self.revision, self.version = 1, 1, 0
        self.items, self.log, self.kept = {}, [], []
        self.lost = {}
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
        self.lost.pop(key, None)
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
    def a_server_says_that_it_leaves(self, server):
        known = self.items.get(f"server/{server}")
        if known is not None and known.data is not None:
            self.write(f"server/{server}", known.data | {"draining": True})

    @rule(server=SERVERS)
    def a_server_is_removed(self, server):
        known = self.items.get(f"server/{server}")
        if known is not None and known.data is not None:
            self.write(f"server/{server}", None)

    @rule()
    def the_store_keeps_a_copy(self):
        self.kept = [(self.revision, dict(self.items))]

    @precondition(lambda self: self.kept)
    @rule()
    def the_store_comes_back_older(self):
        newest = {key: item.data for key, item in self.items.items()} | self.lost
        self.revision, items = self.kept[0]
        self.era += 1
        self.items = {
            key: ReplicaItem(
                key, position(self.era, revision_of(item.revision)), item.data
            )
            for key, item in items.items()
        }
        self.kept = []
        self.log = []
        self.since = self.revision
        self.lost = {
            key: value
            for key, value in newest.items()
            if key not in items or items[key].data != value
        }

    @precondition(lambda self: self.lost)
    @rule()
    def what_was_lost_is_written_again(self):
        for key, value in list(self.lost.items()):
            self.write(key, value)

    @rule(router=ROUTERS)
    def a_router_lists(self, router):
        beliefs, _ = self.routers[router]
        live = [item for item in self.items.values() if item.data is not None]
        beliefs.apply_listing(live, position(self.era, self.revision), 60.0, "store")
        self.note_left()

    @rule(router=ROUTERS)
    def a_router_watches(self, router):
        beliefs, _ = self.routers[router]
        known = beliefs.replica.at
        if known and era_of(known) == self.era:
            news = [item for item in self.log if item.revision > known]
            beliefs.apply_changes(
                news, position(self.era, self.revision), 60.0, "store"
            )
            self.note_left()

    @rule(router=ROUTERS, other=ROUTERS)
    def a_router_hears_from_another(self, router, other):
        beliefs, theirs = self.routers[router][0], self.routers[other][0]
        if router != other:
            beliefs.apply_delta(theirs.replica.since(beliefs.replica.at), 60.0, other)
            self.note_left()

    @rule(seconds=st.floats(0.1, 3.0))
    def time_goes_by(self, seconds):
        if not self.lost:
            self.now += seconds
            for beliefs, _ in self.routers.values():
                beliefs.expire()

    @rule()
    def all_settles(self):
        self.what_was_lost_is_written_again()
        for name in self.routers:
            self.a_router_lists(name)
        self.now += REWRITE_S + LAPSE_GRACE_S
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

    def note_left(self):
        """Note what each router has been told to have left."""
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
    def what_has_left_is_not_used(self):
        for name, (_, registry) in self.routers.items():
            used = {
                (row.instance.id, row.instance.started_ms)
                for row in registry.usable("drafting")
            }
            assert not used & self.left[name]


class Decoder:
    """Read items as the machine writes them."""

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


TestAnyReturn = AnyReturn.TestCase
TestAnyReturn.settings = settings(
    derandomize=True, deadline=None, max_examples=300, stateful_step_count=50
)
