"""Store reads and replication between peers, in virtual time or on loopback."""

import asyncio
import random
import socket

import anyio
import msgpack
import pytest
from attrs import evolve
from serving_bed import free_port

from fulmarroad.audit import AuditTrail
from fulmarroad.datagrams import PacketSocket
from fulmarroad.exceptions import MessageError
from fulmarroad.testing import run_virtual
from fulmarroad_serving import (
    CallerLimits,
    Catalog,
    Dispatcher,
    FleetBounds,
    Instance,
    ReplicaItem,
    _peers,
)
from fulmarroad_serving._load import PeerLoad
from fulmarroad_serving._peers import FIRST_REPLICA_WAIT_S, Peers
from fulmarroad_serving._pool import ConnectionPool
from fulmarroad_serving._reader import StoreReader
from fulmarroad_serving._registry import Registry
from fulmarroad_serving._replica import ReplicaDelta
from fulmarroad_serving._replica_sync import ReplicaSync, _decode_request, _read_delta
from fulmarroad_serving._reports import (
    PEER_RETENTION_S,
    Member,
    PeerBook,
    PeerReport,
    pack_report,
    unpack_report,
)
from fulmarroad_serving._restarts import SUSPECT_S
from fulmarroad_serving._router_state import RouterState
from fulmarroad_serving._shares import WorkspaceCount
from fulmarroad_serving.contracts import (
    CatalogFact,
    InstanceFact,
    InstanceRemovedFact,
    Listing,
)
from fulmarroad_serving.exceptions import HistoryLostError, StoreError


class FakeStore:
    """In-memory store that can be unreachable or lose its history."""

    def __init__(self):
        self.items = {}
        self.at = 1
        self.offline = False
        self.history_lost = False
        self.listings = 0

    def put(self, key, data=b"x"):
        self.at += 1
        self.items[key] = ReplicaItem(key, self.at, data)

    def remove(self, key):
        self.put(key, None)

    async def list_all(self):
        await self._answer()
        self.listings += 1
        live = tuple(row for row in self.items.values() if row.data is not None)
        return Listing(self.at, live)

    async def watch(self, at, wait_s):
        await self._answer()
        if self.history_lost:
            self.history_lost = False
            raise HistoryLostError("gone")
        with anyio.move_on_after(wait_s):
            while self.at <= at:
                await anyio.sleep(0.02)
        await self._answer()
        changed = tuple(row for row in self.items.values() if row.revision > at)
        return Listing(self.at, changed)

    async def _answer(self):
        await anyio.sleep(0.004)
        if self.offline:
            raise StoreError("away")

    def decode(self, item):
        kind, _, name = item.key.partition("/")
        if kind == "op":
            version = int(item.data)
            return CatalogFact(Catalog(version, limits=CallerLimits()))
        if item.data is None:
            return InstanceRemovedFact(name)
        return InstanceFact(Instance(name, "drafting", "127.0.0.1", 9001, "fes", 8))


def make_beliefs(store, clock):
    dispatcher = Dispatcher("router-a", "fes", FleetBounds(), 1)
    pool = ConnectionPool(clock)
    return dispatcher, RouterState(store, dispatcher, pool, AuditTrail(), clock)


def read(test):
    """Run a test concurrently with a reader of a fake store, in virtual time."""

    async def go():
        store = FakeStore()
        store.put("op/config", b"7")
        store.put("servers/s-1")
        store.put("servers/s-2")
        clock = anyio.current_time
        dispatcher, beliefs = make_beliefs(store, clock)
        reader = StoreReader(store, beliefs, lambda: True, clock, 1)

        def servers():
            beliefs.expire(reader.age_s())
            return sorted(row.instance.id for row in dispatcher.registry.rows())

        async with anyio.create_task_group() as group:
            group.start_soon(reader.run)
            await anyio.sleep(0.5)
            assert servers() == ["s-1", "s-2"]
            await test(store, beliefs, servers)
            group.cancel_scope.cancel()

    run_virtual(go)


class TestReader:
    def test_a_change_is_applied_within_its_time_bound(self):
        async def test(store, beliefs, servers):
            store.put("op/config", b"8")
            store.remove("servers/s-1")
            await anyio.sleep(0.4)
            assert beliefs.catalog.version == 8
            assert servers() == ["s-2"]

        read(test)

    def test_a_lost_history_causes_a_new_listing(self):
        """The store drops its history while a server is removed. A router that only
        kept watching would never see the removal and would use the server forever.
        """

        async def test(store, beliefs, servers):
            store.remove("servers/s-1")
            store.history_lost = True
            await anyio.sleep(1.5)
            assert store.listings == 2
            assert servers() == ["s-2"]

        read(test)

    def test_servers_stay_in_use_while_the_store_is_unreachable(self):
        """The store is unreachable for six seconds; its entries expire and one is
        written again a second after its return. Running servers must stay in use
        meanwhile.
        """

        async def test(store, beliefs, servers):
            store.offline = True
            await anyio.sleep(6)
            assert servers() == ["s-1", "s-2"]
            store.remove("servers/s-1")
            store.remove("servers/s-2")
            store.offline = False
            await anyio.sleep(1)
            assert servers() == ["s-1", "s-2"]
            store.put("servers/s-1")
            await anyio.sleep(3)
            assert servers() == ["s-1"]

        read(test)

    def test_servers_stay_in_use_while_nobody_can_see_that_they_are_back(self):
        """Guard against a cut-off data centre without servers: they wrote their entries
        again after an outage of the store, but it reads none any more.
        """

        async def test(store, beliefs, servers):
            store.offline = True
            await anyio.sleep(2)
            store.remove("servers/s-1")
            store.remove("servers/s-2")
            store.offline = False
            await anyio.sleep(1)
            store.offline = True
            for _ in range(50):
                await anyio.sleep(0.1)
                assert servers() == ["s-1", "s-2"]
            store.put("servers/s-1")
            store.offline = False
            await anyio.sleep(1)
            assert servers() == ["s-1"]

        read(test)

    def test_a_lower_catalog_version_is_ignored(self):
        async def test(store, beliefs, servers):
            store.put("op/config", b"6")
            await anyio.sleep(0.5)
            assert beliefs.catalog.version == 7

        read(test)


class TestAge:
    @pytest.mark.parametrize(
        ("seconds", "least_s", "most_s"), [(0.0, 0.0, 1.3), (3.0, 3.0, 4.2)]
    )
    def test_an_answer_is_as_old_as_its_call_if_it_was_held_up(
        self, seconds, least_s, most_s
    ):
        """Guard against 404 for a route that was added while this router stood still:
        the answer that waited in its socket would make its configuration seem new.
        """

        async def test():
            store, clock = FakeStore(), anyio.current_time
            store.put("op/config", b"7")
            _, beliefs = make_beliefs(store, clock)
            reader = StoreReader(store, beliefs, lambda: True, clock, 1)
            async with anyio.create_task_group() as group:
                group.start_soon(reader.run)
                await anyio.sleep(0.5)
                asyncio.get_running_loop()._now += seconds
                await anyio.sleep(0.1)
                assert least_s <= reader.age_s() <= most_s
                await anyio.sleep(1.3)
                assert reader.age_s() <= 1.3
                group.cancel_scope.cancel()

        run_virtual(test)


class Fleet:
    """Routers on separate loopback addresses that share a fake store."""

    def __init__(self, names):
        self.store = FakeStore()
        self.nodes = {}
        port = free_port("127.0.0.2")
        self.ages = dict.fromkeys(names, (1e6, 1e6))
        for number, name in enumerate(names, start=2):
            dispatcher = Dispatcher(name, "fes", FleetBounds(), 1)
            clock = anyio.current_time
            beliefs = RouterState(
                self.store, dispatcher, ConnectionPool(clock), AuditTrail(), clock
            )
            peers = Peers(
                name,
                "fes",
                f"127.0.0.{number}",
                port,
                1,
                dispatcher,
                beliefs,
                lambda name=name: self.ages[name],
                clock,
            )
            peers.seeds = ("127.0.0.2",)
            self.nodes[name] = (dispatcher, beliefs, peers)

    def run(self, test):
        async def go():
            async with anyio.create_task_group() as group:
                for _, _, peers in self.nodes.values():
                    group.start_soon(peers.run)
                    group.start_soon(peers.serve)
                with anyio.fail_after(8):
                    await test()
                group.cancel_scope.cancel()

        anyio.run(go)


async def until(condition):
    while not condition():
        await anyio.sleep(0.02)


STEPS = {
    "a report": lambda peers: (peers, "_report"),
    "a packet": lambda peers: (peers, "_receive"),
    "digests": lambda peers: (peers._view, "digests"),
    "lapsed servers": lambda peers: (peers._router_state, "expire"),
    "lapsed streams": lambda peers: (peers.streams, "expire"),
    "known routers": lambda peers: (peers, "_update_routers"),
    "a copy of a peer": lambda peers: (peers._router_state, "apply_delta"),
    "granted calls": lambda peers: (peers.owner_client, "held_lists"),
    "lost routers": lambda peers: (peers.granter, "forget_routers"),
    "held requests": lambda peers: (peers.granter, "decide_held"),
}
"""Steps of the tasks of `Peers`, with the method that each calls."""


class TestFailingSteps:
    @pytest.mark.parametrize("step", STEPS)
    def test_a_step_that_fails_again_and_again_ends_nothing(self, step, monkeypatch):
        """Guard against one input that comes again and ends the processes of all."""
        fleet = Fleet(["a", "b"])
        peers = fleet.nodes["a"][2]
        owner, name = STEPS[step](peers)
        works = getattr(type(owner), name)
        failures = []

        def fail(*arguments, **more):
            if len(failures) < 12:
                failures.append(RecursionError("not today"))
                raise failures[-1]
            return works(*arguments, **more)

        async def test():
            monkeypatch.setattr(type(owner), name, fail)
            informed, learning = fleet.nodes["b"][1], fleet.nodes["a"][1]
            informed.apply_listing(
                [ReplicaItem("op/config", 2, b"7")], 2, 60.0, "store"
            )
            if step == "held requests":
                monkeypatch.setattr(type(peers.granter), "next_due", 0.0)
                peers._owner_exchange._trigger_decisions()
                await until(lambda: len(failures) == 12)
                monkeypatch.undo()
            elif step == "a copy of a peer":
                await until(lambda: failures)
                failures.extend([RecursionError()] * 12)
            else:
                await until(lambda: len(failures) == 12)
            await until(lambda: learning.catalog.version == 7)
            await until(lambda: fleet.nodes["b"][0].routers == ["a", "b"])

        fleet.run(test)


class TestSilentPeers:
    def test_a_peer_that_is_cut_off_is_told_from_one_that_left(self):
        """Guard against versions that are forgotten while a router that is cut off
        still uses their servers, and against ones that are kept for good.
        """
        book = PeerBook("me", "h")
        report = PeerReport("r", 1, 1, "fes", "h-2", False, 0, 0.1, 60.0)
        book.receive_report(report, 10.0)
        assert not book.has_silent(11.0)
        assert book.has_silent(13.0)
        book.receive_report(evolve(report, sequence=2, leaving=True), 14.0)
        assert not book.has_silent(20.0)

    def test_versions_are_kept_while_a_peer_is_silent(self):
        registry = Registry()
        registry.note_version("drafting", "v1", 0.0)
        registry.keep_former_versions(50.0)
        assert registry.versions("drafting", 109.0) == {"v1"}
        assert registry.versions("drafting", 111.0) == set()


class TestPeers:
    def test_routers_find_each_other_by_one_seed(self):
        fleet = Fleet(["a", "b", "c"])

        async def test():
            await until(
                lambda: all(
                    row[0].routers == ["a", "b", "c"] for row in fleet.nodes.values()
                )
            )

        fleet.run(test)

    def test_a_router_refused_by_the_store_gets_changes_from_a_peer(self):
        """The store refuses one router while a key is revoked and a server is removed.
        Without the peer's changes the router would accept the key and use the server.
        """
        fleet = Fleet(["a", "b"])

        async def test():
            _, informed_state, _ = fleet.nodes["a"]
            dispatcher, reading_state, _ = fleet.nodes["b"]
            items = [
                ReplicaItem("op/config", 2, b"7"),
                ReplicaItem("servers/s", 3, b"x"),
            ]
            informed_state.apply_listing(items, 3, 60.0, "store")
            await until(lambda: reading_state.catalog.version == 7)
            change = [
                ReplicaItem("op/config", 4, b"9"),
                ReplicaItem("servers/s", 5, None),
            ]
            fleet.ages["a"] = (0.1, 60.0)
            informed_state.apply_changes(change, 5, 60.0, "store")
            await until(lambda: reading_state.catalog.version == 9)
            await until(lambda: not dispatcher.registry.rows())

        for _, beliefs, peers in fleet.nodes.values():
            beliefs.on_change = peers.trigger_report
        fleet.run(test)

    def test_a_router_learns_from_a_peer_that_a_server_ended(self):
        """Guard against a router that trusts an entry although a peer saw the end."""
        fleet = Fleet(["a", "b"])

        async def test():
            registries = [row[0].registry for row in fleet.nodes.values()]
            for _, beliefs, _ in fleet.nodes.values():
                items = [ReplicaItem("servers/s", 2, b"x")]
                beliefs.apply_listing(items, 2, 60.0, "store")
            await until(lambda: fleet.nodes["a"][0].routers == ["a", "b"])
            now = anyio.current_time()
            registries[0].note_ended(registries[0].get("s").instance, now)
            await until(lambda: registries[1].get("s").process.has_ended(now))

        fleet.run(test)

    def test_a_list_is_as_old_as_the_last_answer_of_the_store(self):
        """Guard against a start that no entry shows as the store doesn't answer."""
        fleet = Fleet(["a"])
        fleet.ages["a"] = (50.0, 60.0)

        async def test():
            registry = fleet.nodes["a"][0].registry
            await until(lambda: registry._current_at > float("-inf"))
            assert anyio.current_time() - registry._current_at >= 50.0

        fleet.run(test)

    @pytest.mark.parametrize("seconds", [0.7, 1.2])
    def test_a_list_read_after_standing_still_proves_nothing_at_once(self, seconds):
        """Guard against a stream bound to the version of a server's entry, though
        another process answers: what waited in the sockets of a router that stood
        still seems to be new.
        """
        fleet = Fleet(["a"])
        fleet.ages["a"] = (0.0, 60.0)

        dispatcher, _, peers = fleet.nodes["a"]
        registry = dispatcher.registry

        async def test():
            async with anyio.create_task_group() as group:
                group.start_soon(peers._expire_periodically)
                await anyio.sleep(5.01)
                current_at = registry._current_at
                assert current_at >= 4.75
                asyncio.get_running_loop()._now += seconds
                await anyio.sleep(1.0)
                assert registry._current_at == current_at
                await anyio.sleep(SUSPECT_S)
                assert anyio.current_time() - registry._current_at < 0.5
                group.cancel_scope.cancel()

        run_virtual(test)

    def test_a_silent_peer_is_logged_once(self, caplog):
        """When a router fails, its peers log a single line for operators. A router that
        is known only from other peers' reports and never sent one itself must not be
        logged.
        """
        fleet = Fleet(["a", "b"])
        _, _, peers = fleet.nodes["b"]
        stale = evolve(TestReports.KNOWN, router="c", age_s=5.0)
        peers.book.receive_report(evolve(TestReports.REPORT, known=(stale,)), 10.0)
        with caplog.at_level("INFO", logger="fulmarroad.serving"):
            heard = peers._log_changes(set(), 10.1)
            heard = peers._log_changes(heard, 10.2)
            heard = peers._log_changes(heard, 13.0)
            peers._log_changes(heard, 13.3)
        events = [(row.name_of_event, row.peer) for row in caplog.records]
        assert events == [("peer_heard", "a"), ("peer_silent", "a")]

    def test_loads_and_workspace_counts_are_reported(self):
        fleet = Fleet(["a", "b"])

        async def test():
            sender, _, _ = fleet.nodes["a"]
            receiver, _, _ = fleet.nodes["b"]
            now = anyio.current_time()
            sender.load("s").send("s", 9_000, now)
            sender.shares.note_asked("coop", 500.0, now)
            await until(lambda: receiver.load("s").total_running(anyio.current_time()))
            await until(lambda: receiver.shares._peers["a"][1]["coop"].asked == 500.0)

        fleet.run(test)

    def test_a_large_prompt_is_reported_before_the_next_report_is_due(
        self, monkeypatch
    ):
        """A large prompt keeps an engine busy for a fifth of a second. Until the next
        report the other routers treat the engine as idle, and calls that they send
        there start late.
        """
        fleet = Fleet(["a", "b"])

        async def test():
            sender, _, peers = fleet.nodes["a"]
            receiver, _, _ = fleet.nodes["b"]
            await until(
                lambda: all(len(r[0].routers) == 2 for r in fleet.nodes.values())
            )
            monkeypatch.setattr(_peers, "REPORT_S", 1_000.0)
            await anyio.sleep(2 * 0.15)
            now = anyio.current_time()
            sender.load("s").send("s", 20_000, now)
            peers.trigger_load_report()
            await until(lambda: receiver.load("s").total_running(anyio.current_time()))

        fleet.run(test)

    def test_one_router_per_data_centre_reads_and_all_do_without_answers(self):
        fleet = Fleet(["a", "b"])

        async def test():
            await until(
                lambda: all(len(r[0].routers) == 2 for r in fleet.nodes.values())
            )
            fleet.ages["a"] = fleet.ages["b"] = (0.1, 60.0)
            await anyio.sleep(0.5)
            reading = [row[2].reads_store() for row in fleet.nodes.values()]
            assert sum(reading) == 1
            fleet.ages["a"] = fleet.ages["b"] = (5.0, 0.0)
            await until(lambda: all(r[2].reads_store() for r in fleet.nodes.values()))

        fleet.run(test)

    def test_a_router_that_starts_asks_its_peers_before_the_store(self):
        """Two hundred routers start at once. If each listed the whole store, it would
        count the calls of all of them although three listings are enough.
        """
        fleet = Fleet(["a", "b"])
        (_, _, seed), (_, reading_state, other) = fleet.nodes.values()

        async def test():
            await anyio.sleep(0.05)
            assert seed.reads_store()
            assert not other.reads_store()
            items = [ReplicaItem("op/config", 2, b"7")]
            fleet.nodes["a"][1].apply_listing(items, 2, 60.0, "store")
            await until(lambda: reading_state.replica.known)

        fleet.run(test)

    def test_a_router_without_peers_reads_the_store_soon(self):
        """None of the seeds in a router's settings exists any more."""
        fleet = Fleet(["a", "b"])
        _, (_, _, other) = fleet.nodes.values()
        other.seeds = ("127.0.0.99",)
        fleet.nodes.pop("a")

        async def test():
            await anyio.sleep(0.05)
            assert not other.reads_store()
            begun = anyio.current_time()
            await until(other.reads_store)
            assert anyio.current_time() - begun < 2 * FIRST_REPLICA_WAIT_S

        fleet.run(test)

    def test_a_starting_router_is_discovered_soon(self):
        """All routers are killed and restart. Until they discover each other, each sees
        only its own calls and together they overload the engines.
        """
        fleet = Fleet(["a", "b", "c"])

        async def test():
            begun = anyio.current_time()
            await until(
                lambda: all(len(r[0].routers) == 3 for r in fleet.nodes.values())
            )
            assert anyio.current_time() - begun < 1.0

        fleet.run(test)

    def test_a_report_that_cannot_be_sent_is_logged_and_raises_nothing(self, caplog):
        """A report exceeds the maximum size of a packet. The error must not end the
        task that sends reports, or peers would consider this router failed.
        """
        [(_, _, peers)] = Fleet(["a"]).nodes.values()

        failures = []

        async def test():
            with PacketSocket(
                "127.0.0.4", 0, lambda *row: None, failures.append
            ) as packets:
                peers._send(packets, b"x" * 70_000, ["127.0.0.4"])

        with caplog.at_level("INFO", "fulmarroad.serving"):
            anyio.run(test)
        assert [row.name_of_event for row in caplog.records] == ["report_unsent"]


class TestReplicaSync:
    def test_an_unreachable_peer_does_not_delay_changes(self):
        """Two data centres can't reach each other but both reach a third, so a router
        learns of a newer copy in the other one and can't fetch it. Unless it asks
        nearby peers with a slightly older copy, it sends calls to removed servers as
        long as the partition lasts.
        """

        async def test():
            clock = anyio.current_time
            _, beliefs = make_beliefs(FakeStore(), clock)
            before = ReplicaItem("op/config", 2, b"7")
            beliefs.apply_listing([before], 2, 60.0, "store")
            book = PeerBook("z", "127.0.0.9")
            report = evolve(TestReports.REPORT, known=())
            for name, host, news_at in (("far", "127.0.0.2", 9), ("near", "n", 8)):
                book.receive_report(
                    evolve(report, router=name, host=host, news_at=news_at), 0.0
                )
            copies = ReplicaSync("h", 1, beliefs, book, random.Random(1), clock)

            async def ask(host):
                if host != "n":
                    await anyio.sleep_forever()
                return ReplicaDelta(8, False, (ReplicaItem("op/config", 8, b"8"),))

            copies._request_delta = ask
            async with anyio.create_task_group() as group:
                group.start_soon(copies.pull_changes)
                while beliefs.catalog.version < 8:
                    assert clock() < 1.5
                    copies.request_pull()
                    await anyio.sleep(0.15)
                group.cancel_scope.cancel()

        run_virtual(test)

    @pytest.mark.parametrize("row", [[], {}, 7, [float("inf")], ["x"], None])
    def test_a_request_of_another_format_raises_message_error(self, row):
        """A peer of another release sends a request of another format. Any error other
        than `MessageError` would end the task that serves copies to all peers.
        """
        with pytest.raises(MessageError):
            _decode_request(msgpack.packb(row))

    @pytest.mark.parametrize("data", [b"", b"\xc1", b"\x93\x01"])
    def test_malformed_bytes_raise_message_error(self, data):
        for read in (_decode_request, _read_delta):
            with pytest.raises(MessageError):
                read(data)

    def test_an_infinite_revision_raises_message_error(self):
        with pytest.raises(MessageError):
            _read_delta(msgpack.packb([float("inf"), True, []]))


class TestPeerBook:
    def test_a_peer_is_alive_for_two_seconds_after_its_report(self):
        book = PeerBook("z", "127.0.0.9")
        book.receive_report(TestReports.REPORT, 10.0)
        assert book.known_routers(10.0) == ["a", "b", "z"]
        assert [row.router for row in book.alive(11.0)] == ["a", "b"]
        assert book.alive(12.5) == []

    def test_forwarded_entries_do_not_keep_a_failed_router_alive(self):
        """A router has failed and the others keep forwarding its entry to each other.
        Each entry carries the age of the last report; without it the router would seem
        alive forever.
        """
        book, other = PeerBook("z", "127.0.0.9"), PeerBook("y", "127.0.0.8")
        book.receive_report(TestReports.REPORT, 10.0)
        for step in range(1, 30):
            now = 10.0 + step / 10
            for member in book.members(now):
                other.merge_member(member, now)
            for member in other.members(now):
                book.merge_member(member, now)
        assert book.alive(12.9) == other.alive(12.9) == []

    def test_a_forwarded_entry_does_not_replace_a_newer_report(self):
        book = PeerBook("z", "127.0.0.9")
        book.receive_report(TestReports.REPORT, 10.0)
        old = evolve(TestReports.KNOWN, router="a", sequence=3, host="127.0.0.77")
        book.merge_member(old, 10.1)
        assert book.hosts()["a"] == "127.0.0.2"

    def test_an_older_report_changes_nothing(self):
        book = PeerBook("z", "127.0.0.9")
        assert book.receive_report(TestReports.REPORT, 10.0)
        assert not book.receive_report(evolve(TestReports.REPORT, sequence=8), 11.0)
        assert book.receive_report(
            evolve(TestReports.REPORT, incarnation=6, sequence=1), 11.0
        )

    def test_a_router_restarted_with_an_earlier_wall_clock_is_accepted(self):
        """A VM's wall clock is set back by seconds and its router restarts, so the new
        incarnation is lower than the previous one. Peers would ignore its reports and
        send calls to engines that it has filled until they forget the previous run.
        """
        book = PeerBook("z", "127.0.0.9")
        book.receive_report(TestReports.REPORT, 10.0)
        again = evolve(TestReports.REPORT, incarnation=2, sequence=1)
        assert not book.receive_report(again, 10.4)
        assert book.receive_report(evolve(again, sequence=5), 11.1)
        assert book.alive(11.2)[0].incarnation == 2
        assert book.receive_report(evolve(again, sequence=6), 11.3)

    def test_a_router_discards_old_reports_after_a_freeze(self):
        """A VM is frozen for five seconds. With the loads and readers known before, its
        router would send calls to engines that are busy now and wait for a reader that
        may be gone.
        """
        fleet = Fleet(["a", "b"])
        dispatcher, _, peers = fleet.nodes["b"]
        clock = [10.0]
        peers._clock = lambda: clock[0]
        peers._receive(pack_report(TestReports.REPORT), "127.0.0.1")
        assert [peer.router for peer in peers.book.alive(clock[0])] == ["a"]
        assert dispatcher.load("s").total_running(clock[0]) == 2
        clock[0] += 5.0
        assert peers.book.alive(clock[0]) == []
        assert peers.reads_store()
        assert dispatcher.load("s").total_running(clock[0]) == 0
        assert dispatcher.routers == ["a", "b"]

    def test_a_router_without_reports_is_forgotten_in_the_end(self):
        book = PeerBook("z", "127.0.0.9")
        book.receive_report(TestReports.REPORT, 10.0)
        assert "a" not in book.known_routers(10.0 + PEER_RETENTION_S)


class TestReports:
    KNOWN = Member("b", 4, 8, "fes", "127.0.0.3", False, 40, 0.5, 60.0, 0.25)
    REPORT = PeerReport(
        "a",
        5,
        9,
        "fes",
        "127.0.0.2",
        False,
        44,
        0.25,
        60.0,
        {"s": PeerLoad(2, 900)},
        {"coop": WorkspaceCount(10.0, 5.0)},
        (KNOWN,),
        ((17, "s"),),
        leaving_servers=(("s", 7),),
    )

    def test_a_report_is_unchanged_by_packing_and_unpacking(self):
        assert unpack_report(pack_report(self.REPORT)) == self.REPORT

    @pytest.mark.parametrize("data", [b"", b"\x01", b"\x91\x63", b"{}", b"\x91\x01"])
    def test_malformed_reports_are_rejected(self, data):
        with pytest.raises(MessageError):
            unpack_report(data)

    def test_every_truncated_report_is_rejected(self):
        whole = pack_report(self.REPORT)
        for end in range(len(whole)):
            with pytest.raises(MessageError):
                unpack_report(whole[:end])


class UnboundPackets(PacketSocket):
    """A socket that sends nothing to hosts that can be reached."""

    def __init__(self, sock):
        self._socket = sock
        self.hosts = []

    def send(self, data, host, port):
        if host != "127.0.0.9":
            super().send(data, host, port)
        self.hosts.append(host)


class TestOddHosts:
    def test_a_host_that_is_no_address_leaves_the_others(self):
        """Guard against a seed after which no peer hears of this router."""
        _, _, peers = Fleet(["a"]).nodes["a"]
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            packets = UnboundPackets(sock)
            peers._send(packets, b"x", ("127.0.0.1\0", "127.0.0.9"))
        assert packets.hosts == ["127.0.0.9"]
