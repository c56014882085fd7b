"""Tests of streams at servers whose process may not be the one of their entry."""

import anyio
import pytest
from owner_bed import make_dispatcher
from stream_fleet import (
    EVENT_S,
    EVENTS,
    FIRST_S,
    EngineConnection,
    StreamFleet,
    stream_head,
)

from fulmarroad.ownership import watchers
from fulmarroad.testing import run_virtual
from fulmarroad_serving import Instance
from fulmarroad_serving._registry import UNKNOWN_VERSION, Registry
from fulmarroad_serving._reports import unpack
from fulmarroad_serving._restarts import Contact
from fulmarroad_serving._server_ends import SMALL_FLEET, ServerEnds

OLD = Instance("s", "drafting", "h", 1, "fes", 8, started_ms=1, version="v1")
NEW = Instance("s", "drafting", "h", 1, "fes", 8, started_ms=2, version="v2")


class TestLateEntries:
    @pytest.mark.parametrize(
        ("instance", "contact"),
        [(NEW, Contact(21.0, 31.3)), (OLD, Contact(31.1, 31.3))],
        ids=["a connection from before", "a new connection"],
    )
    def test_an_entry_of_an_earlier_start_tells_no_version(self, instance, contact):
        """Guard against a stream bound to the version in a restored store's entry, as
        the server has not written its own again.
        """
        registry = Registry()
        registry.put(OLD, 1.0)
        registry.note_current(20.0)
        registry.put(NEW, 20.2)
        registry.note_current(30.9)
        registry.put(OLD, 31.0)
        writer = registry.writer_version(instance, contact)
        assert writer.version == UNKNOWN_VERSION

    @pytest.mark.parametrize("current_at", [19.0, 30.1])
    def test_an_entry_from_before_an_outage_of_the_store_tells_no_version(
        self, current_at
    ):
        """Guard against a stream bound to the version before, as a server started again
        while it could not write its entry, and the store has just returned.
        """
        registry = Registry()
        registry.put(OLD, 1.0)
        registry.note_current(19.0)
        registry.note_ended(OLD, 20.0)
        registry.note_current(current_at)
        writer = registry.writer_version(OLD, Contact(20.5, 30.2))
        assert writer.version == UNKNOWN_VERSION


class TestRelays:
    @pytest.mark.parametrize("unaware", [1, 30])
    def test_routers_that_noticed_nothing_learn_of_an_end_that_many_noticed(
        self, unaware
    ):
        """Guard against an end that nobody relays, as the relays noticed it too."""
        names = [f"r-{number}" for number in range(2 * SMALL_FLEET + 8)]
        hosts = {name: name for name in names}

        async def run():
            ends = {}
            registries = {}

            def sender(name):
                return lambda data, host: ends[host].receive(unpack(data), name)

            async with anyio.create_task_group() as group:
                for name in names:
                    registry = make_dispatcher(name, engines=1).registry
                    registries[name] = registry
                    ends[name] = ServerEnds(
                        name, registry, lambda: hosts, anyio.current_time
                    )
                    group.start_soon(ends[name].run, sender(name))
                await anyio.sleep(0.01)
                order = watchers(names, len(names), "ends\0drafting-0")
                now = anyio.current_time()
                for name in order[: len(names) - unaware]:
                    instance = registries[name].get("drafting-0").instance
                    registries[name].note_ended(instance, now)
                await anyio.sleep(1.0)
                group.cancel_scope.cancel()
            return [
                name
                for name, registry in registries.items()
                if not registry.get("drafting-0").process.has_ended(1.0)
            ]

        assert run_virtual(run) == []


class ReportedConnection(EngineConnection):
    """Let all routers learn of the earlier process's end as a request arrives."""

    async def stream(self, headers):
        if self.engine.version == "v1":
            await super().stream(headers)
            return
        now = anyio.current_time()
        for router in self.fleet.routers.values():
            registry = router.dispatcher.registry
            started_ms = registry.get(self.engine.name).instance.started_ms
            registry.note_end(self.engine.name, started_ms, now, now)
        if self.fleet.new_version_has_events:
            await super().stream(headers)
            return
        await anyio.sleep(FIRST_S)
        self.send(stream_head(headers["x-id"]))
        self.send(b"0\r\n\r\n")


class ReportedFleet(StreamFleet):
    connection_type = ReportedConnection
    new_version_has_events = True


class TestStreams:
    @pytest.mark.parametrize("has_events", [True, False])
    def test_a_stream_doesn_t_end_at_a_process_of_another_version(self, has_events):
        """Guard against the end of a shorter stream, of another version, that is taken
        for the end of the caller's.
        """

        async def test(fleet):
            fleet.new_version_has_events = has_events
            fleet.add_engine("e-0", "v1")
            await anyio.sleep(0.4)
            caller = fleet.begin(0)
            await anyio.sleep(FIRST_S + 5.5 * EVENT_S)
            fleet.add_engine("e-1", "v1")
            await anyio.sleep(0.4)
            fleet.crash("e-1")
            fleet.start_again("e-1", "v2", 1.0)
            await anyio.sleep(0.05)
            fleet.crash("e-0")
            await anyio.sleep(8.0)
            assert not fleet.mixed()
            assert not caller.whole or len(caller.events) == EVENTS

        run_virtual(ReportedFleet(size=4).run, test)

    @pytest.mark.parametrize("names_stream", [True, False])
    def test_a_stream_doesn_t_go_on_at_a_new_process_of_its_server(self, names_stream):
        """Guard against two versions in a stream whose caller tells only the last event
        that it has, as the entries name only the version before.
        """

        async def test(fleet):
            for number in range(2):
                fleet.add_engine(f"e-{number}", "v1")
            await anyio.sleep(0.4)
            for number in range(20):
                fleet.begin(number, names_stream=names_stream)
            await anyio.sleep(FIRST_S + 5.5 * EVENT_S)
            for router in fleet.routers.values():
                router.streams.watch._since = -100.0
            for number in range(2):
                fleet.crash(f"e-{number}")
                fleet.start_again(f"e-{number}", "v2", 1.0)
            await anyio.sleep(9.0)
            assert not fleet.mixed()

        run_virtual(StreamFleet(size=4).run, test)

    def test_a_refused_connection_shows_that_a_process_ended(self):
        """Guard against streams of two versions at a server that ended while no router
        had a connection open, so that only refused ones showed it.
        """

        async def test(fleet):
            fleet.add_engine("e-0", "v1")
            fleet.add_engine("e-1", "v1")
            await anyio.sleep(3.0)
            fleet.crash("e-0")
            for number in range(24):
                fleet.begin(number)
                await anyio.sleep(0.0125)
            fleet.start_again("e-0", "v2", 1.0)
            for number in range(24, 60):
                fleet.begin(number)
                await anyio.sleep(0.01)
            await anyio.sleep(0.2)
            fleet.crash("e-0")
            fleet.start_again("e-0", "v2", 1.0)
            await anyio.sleep(9.0)
            assert not fleet.mixed()

        run_virtual(StreamFleet(size=4).run, test)


class UndelimitedConnection(EngineConnection):
    """Answer without a length or chunks; the close of a crash looks like an end."""

    async def stream(self, headers):
        await anyio.sleep(FIRST_S)
        head = f"HTTP/1.1 200 OK\r\nx-signed: s\r\nx-id: {headers['x-id']}\r\n\r\n"
        self.send(head.encode())
        for number in range(int(headers["last-event-id"] or 0) + 1, EVENTS + 1):
            data = f"{self.engine.service} {self.engine.version} {number}"
            self.send(f"id: {number}\ndata: {data}\n\n".encode())
            await anyio.sleep(EVENT_S)
        self.engine.connections.remove(self)
        self.close()

    def end(self):
        if self.scope is not None:
            self.scope.cancel()
        self.close()

    def close(self):
        self.protocol.eof_received()
        self.protocol.connection_lost(None)


class UndelimitedFleet(StreamFleet):
    connection_type = UndelimitedConnection


class TestUndelimitedStreams:
    @pytest.mark.parametrize("down_s", [0.0, 0.3])
    def test_a_cut_stream_is_not_shown_as_complete(self, down_s):
        """Guard against half a stream that its caller takes for a whole one, as its
        server has started again by the time that a connection to it is tried.
        """

        async def test(fleet):
            for number in range(3):
                fleet.add_engine(f"e-{number}", "v1")
            await anyio.sleep(0.4)
            for number in range(20):
                fleet.begin(number)
            await anyio.sleep(FIRST_S + 5.5 * EVENT_S)
            fleet.crash("e-0")
            await anyio.sleep(down_s)
            fleet.start_again("e-0", "v1", 1.0)
            await anyio.sleep(9.0)
            cut = [
                row for row in fleet.callers if row.whole and len(row.events) < EVENTS
            ]
            assert not cut

        run_virtual(UndelimitedFleet(size=4).run, test)
