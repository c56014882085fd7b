"""Tests that a version is taken from the process that answers, not from an entry."""

import random

import anyio
import pytest
from owner_bed import make_dispatcher
from stream_fleet import StreamFleet

from fulmarroad.exceptions import MessageError
from fulmarroad.testing import run_virtual
from fulmarroad_serving import Instance
from fulmarroad_serving._reader import BATCH_S, WATCH_S
from fulmarroad_serving._registry import Registry
from fulmarroad_serving._reports import unpack
from fulmarroad_serving._restarts import (
    BUFFERED_S,
    ENTRY_DELAY_S,
    SUSPECT_S,
    Contact,
    ServerProcess,
)
from fulmarroad_serving._server_ends import (
    MAX_NAME_CHARS,
    RELAYS,
    REPEAT_AFTER_S,
    SMALL_FLEET,
    ServerEnd,
    ServerEnds,
    pack_end,
    read_end,
)

LISTED_AT = 10.0
LISTED_AFTER = 9.6


class TestProof:
    @pytest.mark.parametrize(
        ("contact", "current_at", "wrote"),
        [
            (Contact(9.5, 10.2), 10.1, True),
            (Contact(9.5, 10.05), 10.1, False),
            (Contact(9.8, 10.2), 10.1, False),
            (Contact(9.8, 10.05), 20.0, False),
            (Contact(10.3, 12.1), 12.2, False),
            (Contact(10.3, 12.1), 10.3 + ENTRY_DELAY_S, True),
        ],
        ids=[
            "ran before the entry was written, and after it",
            "may have ended before the entry was written",
            "may have started after the entry was written",
            "ended about when the entry was read",
            "a later start may not show yet",
            "a later start would show",
        ],
    )
    def test_what_a_connection_proves(self, contact, current_at, wrote):
        """Guard against a version taken from the entry of another process."""
        process = ServerProcess(LISTED_AT, LISTED_AFTER)
        assert process.wrote(contact, current_at) is wrote

    @pytest.mark.parametrize(
        ("contact", "wrote"),
        [(Contact(12.8, 13.1), True), (Contact(13.0, 13.2), False)],
    )
    def test_a_connection_beside_a_proven_one_is_of_its_process(self, contact, wrote):
        process = ServerProcess(LISTED_AT, LISTED_AFTER)
        process.note(Contact(9.5, 13.0), 13.0)
        assert process.wrote(contact, 13.0) is wrote

    @pytest.mark.parametrize("heard_at", [11.05, 11.3])
    def test_only_an_older_connection_shows_that_a_process_did_not_end(self, heard_at):
        """Guard against streams that go on nowhere as a cut link refused connections,
        and against a restart that bytes from a buffer hide.
        """
        process = ServerProcess(LISTED_AT, LISTED_AFTER)
        process.note(Contact(9.5, 10.5), 10.5)
        assert process.note_end(11.0, 11.0)
        process.note(Contact(9.5, heard_at), 11.3)
        assert process.has_ended(11.4) is (heard_at < 11.0 + BUFFERED_S)

    @pytest.mark.parametrize("seed", range(40))
    def test_proof_is_never_wrong(self, seed):
        """Guard against a proof that takes one process of a server for another, as it
        crashes and starts again in quick succession.
        """
        server = ServerLife(random.Random(seed))
        for _ in range(200):
            server.live()
        assert server.wrong == 0
        assert server.proven > 20


class ServerLife:
    """Simulate starts, entries, connections and reads of one server."""

    def __init__(self, source):
        self.random = source
        self.now = self.started_at = self.written_at = 0.0
        self.run = self.stored = self.listed = 0
        self.read_at = self.read_after = 0.0
        self.process = ServerProcess(0.0)
        self.connections = []  # run, opened at, heard at
        self.entry_at = 0.0
        self.proven = self.wrong = 0

    def live(self):
        self.now += self.random.uniform(0.01, 0.3)
        self.write()
        if self.random.random() < 0.04:
            self.run += 1
            self.started_at = self.now
            self.entry_at = self.now + self.random.choice((0.0, 0.4, 1.2))
            self.process.note_end(self.now, self.now)
        if self.random.random() < 0.5:
            self.connections.append([self.run, self.now, self.now])
        self.read()
        self.hear()

    def write(self):
        if self.entry_at <= self.now and self.stored != self.run:
            self.stored, self.written_at = self.run, max(self.entry_at, self.started_at)

    def read(self):
        """Read the entry as it was a moment ago."""
        at = self.now - self.random.uniform(0.01, 0.5)
        if self.stored != self.listed and self.written_at <= at:
            self.listed = self.stored
            self.process = ServerProcess(self.now, self.read_after)
        self.read_after = max(self.read_after, at)

    def hear(self):
        for row in self.random.sample(self.connections, min(3, len(self.connections))):
            if row[0] == self.run:
                row[2] = self.now
            contact = Contact(row[1], row[2])
            self.process.note(contact, self.read_after)
            if self.process.wrote(contact, self.read_after):
                self.proven += 1
                self.wrong += row[0] != self.listed


class TestEnds:
    """Tests of routers that tell each other of the ends of servers."""

    def run_routers(self, count):
        """Return what each router tells whom, as one of them sees a server end."""
        names = [f"r-{number}" for number in range(count)]
        told = []

        async def run():
            rows = {}
            hosts = {other: other for other in names}
            for name in names:
                dispatcher = make_dispatcher(name, engines=1)
                ends = ServerEnds(
                    name, dispatcher.registry, lambda: hosts, anyio.current_time
                )
                rows[name] = (dispatcher.registry, ends)

            def sender(name):
                def send(data, host):
                    told.append((name, host))
                    rows[host][1].receive(unpack(data), name)

                return send

            async with anyio.create_task_group() as group:
                for name, (_, ends) in rows.items():
                    group.start_soon(ends.run, sender(name))
                registry = rows["r-0"][0]
                registry.note_ended(registry.get("drafting-0").instance, 0.0)
                await anyio.sleep(1.0)
                group.cancel_scope.cancel()
            return [
                registry.get("drafting-0").process.has_ended(1.0)
                for registry, _ in rows.values()
            ]

        return run_virtual(run), told

    @pytest.mark.parametrize("count", [1, 4, SMALL_FLEET + 1, 60])
    def test_all_routers_learn_of_an_end(self, count):
        """Guard against a router that trusts an entry although others saw the end."""
        ended, _ = self.run_routers(count)
        assert all(ended)

    def test_a_large_fleet_is_told_by_a_few_routers(self):
        _, told = self.run_routers(60)
        assert len({sender for sender, _ in told}) <= RELAYS + 1
        assert len(told) <= 2 * RELAYS + RELAYS * 60

    @pytest.mark.parametrize(
        "end",
        [
            ServerEnd("s" * (MAX_NAME_CHARS + 1), 1, 0.0),
            ServerEnd("s", 1, -1.0),
            ServerEnd("s", 1, float("nan")),
            ServerEnd(7, 1, 0.0),
        ],
    )
    def test_an_invalid_message_is_refused(self, end):
        with pytest.raises(MessageError):
            read_end(unpack(pack_end(end)))


class TestRestartedServers:
    @pytest.mark.parametrize("down_s", [0.0, 0.02, 0.3])
    @pytest.mark.parametrize("entry_after_s", [0.0, 0.4, 1.0])
    @pytest.mark.parametrize("up_s", [0.6])
    def test_streams_of_a_server_that_starts_again_twice_hold_one_version(
        self, down_s, entry_after_s, up_s
    ):
        """Guard against streams that begin at a new process and are bound to the
        version of the one before, whose entry is still the newest that is known.
        """

        async def upgrade(fleet, name):
            for _ in range(2):
                fleet.crash(name)
                await anyio.sleep(down_s)
                fleet.start_again(name, "v2", entry_after_s)
                await anyio.sleep(up_s)

        async def test(fleet):
            for number in range(6):
                fleet.add_engine(f"e-{number}", "v1")
            await anyio.sleep(0.5)
            for number in range(240):
                fleet.begin(number)
                await anyio.sleep(0.025)
                if number % 60 == 20:
                    fleet.group.start_soon(upgrade, fleet, f"e-{number // 60}")
            await anyio.sleep(9.0)
            assert not fleet.mixed()
            assert sum(row.whole for row in fleet.callers) >= 200

        run_virtual(StreamFleet(size=7).run, test)


def test_an_end_counts_until_the_entry_would_show_a_start():
    process = ServerProcess(LISTED_AT)
    process.note_end(11.0, 11.0)
    assert process.has_ended(11.0 + SUSPECT_S - 0.1)
    assert not process.has_ended(11.0 + SUSPECT_S)


class TestSigns:
    """Tests of what a sign of an end tells, and for how long."""

    def test_a_late_word_of_an_end_that_a_process_outlived_is_ignored(self):
        process = ServerProcess(LISTED_AT, LISTED_AFTER)
        process.note(Contact(9.5, 13.0), 13.0)
        assert not process.note_end(11.0, 13.0)

    def test_two_signs_count_from_the_first_to_the_last(self):
        """Guard against trust in a process that started between two ends."""
        process = ServerProcess(LISTED_AT, LISTED_AFTER)
        process.note_end(11.0, 11.0)
        process.note_end(12.0, 12.0)
        assert process.may_be_replaced(Contact(11.5, 12.5))
        assert process.has_ended(12.0 + SUSPECT_S - 0.1)

    @pytest.mark.parametrize(
        ("opened_at", "replaced"), [(10.85, False), (10.95, True), (11.0, True)]
    )
    def test_a_connection_from_about_an_end_may_lead_to_the_next(
        self, opened_at, replaced
    ):
        process = ServerProcess(LISTED_AT, LISTED_AFTER)
        process.note_end(11.0, 11.0)
        assert process.may_be_replaced(Contact(opened_at, 11.5)) is replaced

    @pytest.mark.parametrize(
        ("delay_s", "wrote"), [(ENTRY_DELAY_S, False), (SUSPECT_S, True)]
    )
    def test_after_a_sign_a_later_start_has_longer_to_show(self, delay_s, wrote):
        process = ServerProcess(LISTED_AT, LISTED_AFTER)
        process.note_end(11.0, 11.0)
        assert process.wrote(Contact(11.2, 16.0), 11.2 + delay_s) is wrote

    @pytest.mark.parametrize(("age_s", "ended"), [(0.0, True), (SUSPECT_S, False)])
    def test_a_message_counts_from_the_end_and_not_from_its_arrival(self, age_s, ended):
        registry = make_dispatcher("a", engines=1).registry
        ends = ServerEnds("a", registry, dict, lambda: 20.0)
        ends.receive(unpack(pack_end(ServerEnd("drafting-0", 0, age_s))), "b")
        assert registry.get("drafting-0").process.has_ended(20.1) is ended

    def test_a_lost_message_is_told_again_with_the_time_since_the_end(self):
        """Guard against a router that trusts an entry as one packet was lost."""
        rows = []

        async def run():
            registry = make_dispatcher("a", engines=1).registry
            hosts = {"a": "a", "b": "b"}
            ends = ServerEnds("a", registry, lambda: hosts, anyio.current_time)
            async with anyio.create_task_group() as group:
                group.start_soon(
                    ends.run, lambda data, host: rows.append(read_end(unpack(data)))
                )
                registry.note_ended(registry.get("drafting-0").instance, 0.0)
                await anyio.sleep(1.0)
                group.cancel_scope.cancel()

        run_virtual(run)
        assert [row.age_s for row in rows] == [0.0, REPEAT_AFTER_S]


def read_without_gap(registry, until):
    for at in range(10, until + 1):
        registry.note_current(float(at))


class TestEntries:
    """Tests of what the registry knows of the process behind an entry."""

    RUN = Instance("s", "drafting", "h", 1, "fes", 8, started_ms=2, version="v1")

    def make_registry(self):
        registry = Registry()
        registry.note_current(9.6)
        registry.put(self.RUN, 10.0)
        return registry

    @pytest.mark.parametrize(("opened_at", "proven"), [(9.5, True), (9.8, False)])
    def test_an_entry_may_be_as_young_as_the_list_before_it(self, opened_at, proven):
        """Guard against a connection to a process that started after the entry's end,
        just before the entry was read.
        """
        writer = self.make_registry().writer_version(self.RUN, Contact(opened_at, 10.3))
        assert writer.is_proven is proven

    def test_a_list_does_not_become_older(self):
        registry = self.make_registry()
        read_without_gap(registry, 30)
        registry.note_current(10.0)
        assert registry.writer_version(self.RUN, Contact(20.0, 25.0)).is_proven

    def test_a_calm_store_with_one_reader_proves_an_entry(self):
        """Guard against streams that can't go on, as no connection to a server that
        broke one is ever trusted again: the list of a lone reader never settles.
        """
        registry = self.make_registry()
        registry.note_ended(self.RUN, 10.0)
        for count in range(15):
            registry.note_current(10.0 + count * (WATCH_S + BATCH_S + 0.05))
        writer = registry.writer_version(self.RUN, Contact(15.0, 26.0))
        assert writer.is_proven

    def test_a_dropped_entry_shows_no_later_start(self):
        registry = self.make_registry()
        read_without_gap(registry, 30)
        registry.remove("s", 12.0)
        assert not registry.writer_version(self.RUN, Contact(20.0, 25.0)).is_proven

    def test_the_end_of_another_start_tells_nothing(self):
        registry = self.make_registry()
        assert not registry.note_end("s", 1, 11.0, 11.0)
        assert not registry.get("s").process.has_ended(11.1)


def test_a_lost_idle_connection_is_a_sign_of_an_end():
    """Guard against trust in an entry of a server that ended without calls."""

    async def test(fleet):
        fleet.add_engine("e-0", "v1")
        await anyio.sleep(0.4)
        router = next(iter(fleet.routers.values()))
        row = router.dispatcher.registry.get("e-0")
        now = anyio.current_time()
        router.pool.on_lost_idle(row.instance, Contact(now - 0.2, now - 0.1))
        assert row.process.has_ended(now)

    run_virtual(StreamFleet(size=4).run, test)


@pytest.mark.parametrize("lost", ["server", "routers"])
def test_a_stream_is_bound_again_as_the_entry_of_its_process_is_read(lost):
    """Guard against streams that go on at the version before, as they began at a new
    process while nobody had seen the end of the one before.
    """

    async def test(fleet):
        fleet.add_engine("e-0", "v1")
        fleet.add_engine("e-1", "v1")
        await anyio.sleep(3.0)
        fleet.crash("e-0")
        fleet.start_again("e-0", "v2", 0.3)
        for number in range(40):
            fleet.begin(number)
        await anyio.sleep(0.8)
        if lost == "server":
            fleet.crash("e-0")
        else:
            for name in sorted(fleet.routers)[:3]:
                fleet.kill(name)
        await anyio.sleep(9.0)
        assert not fleet.mixed()
        assert {row.makers.pop()[1] for row in fleet.callers if row.makers} == {
            "v1",
            "v2",
        }

    run_virtual(StreamFleet(size=4).run, test)
