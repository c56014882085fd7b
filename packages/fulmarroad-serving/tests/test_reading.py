"""Reading the store, and news that come by peers, in virtual time or on loopback."""

import random

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
from fulmarroad_serving._replica import ReplicaDelta
from fulmarroad_serving._replica_sync import ReplicaSync, _read_asked, _read_delta
from fulmarroad_serving._reports import (
    REMEMBERED_S,
    Member,
    PeerBook,
    PeerReport,
    pack_report,
    unpack_report,
)
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
    """A store in memory that can be away or lose its history."""

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
        news = tuple(row for row in self.items.values() if row.revision > at)
        return Listing(self.at, news)

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
    """Run a test beside a reader of a fake store, in virtual time."""

    async def go():
        store = FakeStore()
        store.put("op/config", b"7")
        store.put("servers/s-1")
        store.put("servers/s-2")
        clock = anyio.current_time
        dispatcher, beliefs = make_beliefs(store, clock)
        reader = StoreReader(store, beliefs, lambda: True, clock, 1)

        def servers():
            beliefs.expire()
            return sorted(row.instance.id for row in dispatcher.registry.rows())

        async with anyio.create_task_group() as group:
            group.start_soon(reader.run)
            await anyio.sleep(0.5)
            assert servers() == ["s-1", "s-2"]
            await test(store, beliefs, servers)
            group.cancel_scope.cancel()

    run_virtual(go)


class TestReader:
    def test_a_change_is_known_well_within_its_bound(self):
        async def test(store, beliefs, servers):
            store.put("op/config", b"8")
            store.remove("servers/s-1")
            await anyio.sleep(0.4)
            assert beliefs.catalog.version == 8
            assert servers() == ["s-2"]

        read(test)

    def test_a_lost_history_is_read_anew(self):
        """The store drops its history while a server leaves. The changes asked for are
        gone, and a router that only went on watching would use the server for ever.
        """

        async def test(store, beliefs, servers):
            store.remove("servers/s-1")
            store.history_lost = True
            await anyio.sleep(1.5)
            assert store.listings == 2
            assert servers() == ["s-2"]

        read(test)

    def test_servers_stay_in_use_while_the_store_is_away(self):
        """The store is away for six seconds, its entries lapse and are written again a
        second after its return. Callers must not notice.
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

    def test_a_lower_version_changes_nothing(self):
        async def test(store, beliefs, servers):
            store.put("op/config", b"6")
            await anyio.sleep(0.5)
            assert beliefs.catalog.version == 7

        read(test)


class Fleet:
    """Peers on loopback addresses of their own, without a store unless given one."""

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

    def test_a_router_that_the_store_turns_away_learns_from_a_peer(self):
        """The store refuses one router while a key is withdrawn and a server leaves. It
        would go on serving the key and sending to the server.
        """
        fleet = Fleet(["a", "b"])

        async def test():
            _, told, _ = fleet.nodes["a"]
            dispatcher, learns, _ = fleet.nodes["b"]
            items = [
                ReplicaItem("op/config", 2, b"7"),
                ReplicaItem("servers/s", 3, b"x"),
            ]
            told.apply_listing(items, 3, 60.0, "store")
            await until(lambda: learns.catalog.version == 7)
            change = [
                ReplicaItem("op/config", 4, b"9"),
                ReplicaItem("servers/s", 5, None),
            ]
            fleet.ages["a"] = (0.1, 60.0)
            told.apply_changes(change, 5, 60.0, "store")
            await until(lambda: learns.catalog.version == 9)
            await until(lambda: not dispatcher.registry.rows())

        for _, beliefs, peers in fleet.nodes.values():
            beliefs.on_change = peers.trigger_report
        fleet.run(test)

    def test_a_peer_that_falls_silent_is_told_once(self, caplog):
        """A router is lost. Operators look for one line that says so; a name that was
        only heard of, of a router that never spoke, must not send them looking.
        """
        fleet = Fleet(["a", "b"])
        _, _, peers = fleet.nodes["b"]
        stale = evolve(TestReports.KNOWN, router="c", age_s=5.0)
        peers.book.receive_report(evolve(TestReports.REPORT, known=(stale,)), 10.0)
        with caplog.at_level("INFO", logger="fulmarroad.serving"):
            heard = peers._tell_changes(set(), 10.1)
            heard = peers._tell_changes(heard, 10.2)
            heard = peers._tell_changes(heard, 13.0)
            peers._tell_changes(heard, 13.3)
        told = [(row.name_of_event, row.peer) for row in caplog.records]
        assert told == [("peer_heard", "a"), ("peer_silent", "a")]

    def test_loads_and_counts_are_told(self):
        fleet = Fleet(["a", "b"])

        async def test():
            sender, _, _ = fleet.nodes["a"]
            hears, _, _ = fleet.nodes["b"]
            now = anyio.current_time()
            sender.load("s").send("s", 9_000, now)
            sender.shares.note_asked("coop", 500.0, now)
            await until(lambda: hears.load("s").total_running(anyio.current_time()))
            await until(lambda: hears.shares._peers["a"][1]["coop"].asked == 500.0)

        fleet.run(test)

    def test_a_large_prompt_is_told_before_the_next_report_is_due(self, monkeypatch):
        """One router sends a prompt that keeps an engine busy for a fifth of a second.
        Until its next report the others take the engine for idle, and what they send
        there begins late.
        """
        fleet = Fleet(["a", "b"])

        async def test():
            sender, _, peers = fleet.nodes["a"]
            hears, _, _ = fleet.nodes["b"]
            await until(
                lambda: all(len(r[0].routers) == 2 for r in fleet.nodes.values())
            )
            monkeypatch.setattr(_peers, "REPORT_S", 1_000.0)
            await anyio.sleep(2 * 0.15)
            now = anyio.current_time()
            sender.load("s").send("s", 20_000, now)
            peers.trigger_load_report()
            await until(lambda: hears.load("s").total_running(anyio.current_time()))

        fleet.run(test)

    def test_one_router_of_a_data_centre_reads_and_others_if_it_falls_silent(self):
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
        """Two hundred routers start at once. Each lists the whole store, which counts
        every call of all of them, though three copies would do for all.
        """
        fleet = Fleet(["a", "b"])
        (_, _, seed), (_, learns, other) = fleet.nodes.values()

        async def test():
            await anyio.sleep(0.05)
            assert seed.reads_store()
            assert not other.reads_store()
            items = [ReplicaItem("op/config", 2, b"7")]
            fleet.nodes["a"][1].apply_listing(items, 2, 60.0, "store")
            await until(lambda: learns.replica.known)

        fleet.run(test)

    def test_a_router_without_peers_soon_reads_for_itself(self):
        """The seeds that a router was given are gone for good."""
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

    def test_a_router_that_starts_is_soon_known(self):
        """All routers were killed and start again. Until they know each other each of
        them decides by its own calls alone, and the engines fill up.
        """
        fleet = Fleet(["a", "b", "c"])

        async def test():
            begun = anyio.current_time()
            await until(
                lambda: all(len(r[0].routers) == 3 for r in fleet.nodes.values())
            )
            assert anyio.current_time() - begun < 1.0

        fleet.run(test)

    def test_a_report_that_cannot_go_is_told_and_ends_nothing(self, caplog):
        """A report is longer than a packet may be. The task that sends reports must not
        end with it: peers would take this router for lost.
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


class TestCopies:
    def test_a_peer_that_cannot_be_reached_does_not_keep_the_news_back(self):
        """Two data centres can't reach each other and a third one reaches both, so that
        a router hears of a newer copy over there and can't get it. Others nearby know
        nearly as much; without asking them it would go on sending to servers that have
        left for as long as the cut lasts.
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

            copies._ask = ask
            async with anyio.create_task_group() as group:
                group.start_soon(copies.pull_changes)
                while beliefs.catalog.version < 8:
                    assert clock() < 1.5
                    copies.request_pull()
                    await anyio.sleep(0.15)
                group.cancel_scope.cancel()

        run_virtual(test)

    @pytest.mark.parametrize("row", [[], {}, 7, [float("inf")], ["x"], None])
    def test_a_question_of_another_format_is_told(self, row):
        """A peer of another release asks in another way. Any other error than the one
        that is told would end the task that gives copies to all peers.
        """
        with pytest.raises(MessageError):
            _read_asked(msgpack.packb(row))

    @pytest.mark.parametrize("data", [b"", b"\xc1", b"\x93\x01"])
    def test_bytes_of_no_format_are_told(self, data):
        for read in (_read_asked, _read_delta):
            with pytest.raises(MessageError):
                read(data)

    def test_a_revision_without_end_is_told(self):
        with pytest.raises(MessageError):
            _read_delta(msgpack.packb([float("inf"), True, []]))


class TestPeerBook:
    def test_a_peer_is_alive_for_two_seconds_after_its_report(self):
        book = PeerBook("z", "127.0.0.9")
        book.receive_report(TestReports.REPORT, 10.0)
        assert book.known_routers(10.0) == ["a", "b", "z"]
        assert [row.router for row in book.alive(11.0)] == ["a", "b"]
        assert book.alive(12.5) == []

    def test_hearsay_of_a_lost_router_does_not_keep_it_alive(self):
        """A router is gone, and the others go on naming it to each other. Each time the
        age of its last report goes along, or it would seem alive for ever.
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

    def test_hearsay_does_not_replace_a_routers_own_newer_word(self):
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

    def test_a_router_whose_time_of_day_was_set_back_is_heard_after_its_restart(self):
        """The time of day of a VM is set back by seconds and its router starts again.
        The new start looks older than the one before: peers would ignore its reports,
        and send to engines that it has filled, until they had forgotten the former.
        """
        book = PeerBook("z", "127.0.0.9")
        book.receive_report(TestReports.REPORT, 10.0)
        again = evolve(TestReports.REPORT, incarnation=2, sequence=1)
        assert not book.receive_report(again, 10.4)
        assert book.receive_report(evolve(again, sequence=5), 11.1)
        assert book.alive(11.2)[0].incarnation == 2
        assert book.receive_report(evolve(again, sequence=6), 11.3)

    def test_a_router_that_stood_still_believes_nothing_it_heard_before(self):
        """A VM is frozen for five seconds. Going by loads and readers of before, it
        would fill engines that are busy now and take nobody's news.
        """
        fleet = Fleet(["a", "b"])
        dispatcher, _, peers = fleet.nodes["b"]
        clock = [10.0]
        peers._clock = lambda: clock[0]
        peers._take(pack_report(TestReports.REPORT))
        assert [peer.router for peer in peers.book.alive(clock[0])] == ["a"]
        assert dispatcher.load("s").total_running(clock[0]) == 2
        clock[0] += 5.0
        assert peers.book.alive(clock[0]) == []
        assert peers.reads_store()
        assert dispatcher.load("s").total_running(clock[0]) == 0
        assert dispatcher.routers == ["a", "b"]

    def test_a_router_that_is_gone_for_long_no_longer_counts(self):
        book = PeerBook("z", "127.0.0.9")
        book.receive_report(TestReports.REPORT, 10.0)
        assert "a" not in book.known_routers(10.0 + REMEMBERED_S)


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
    )

    def test_a_report_is_read_as_it_was_written(self):
        assert unpack_report(pack_report(self.REPORT)) == self.REPORT

    @pytest.mark.parametrize("data", [b"", b"\x01", b"\x91\x63", b"{}", b"\x91\x01"])
    def test_other_bytes_are_no_report(self, data):
        with pytest.raises(MessageError):
            unpack_report(data)

    def test_every_cut_report_is_none(self):
        whole = pack_report(self.REPORT)
        for end in range(len(whole)):
            with pytest.raises(MessageError):
                unpack_report(whole[:end])
