"""Speeds and slow-downs of engines between routers, and where they are off."""

import anyio
import msgpack
import pytest
from attrs import evolve
from fleet_bed import FleetBed
from owner_bed import CALL, OwnerBed, make_dispatcher
from serving_bed import chunk, event, run, stream_head

from fulmarroad_serving import (
    CallerLimits,
    Catalog,
    EngineProfile,
    Instance,
    Placement,
    Service,
    parse_features,
)
from fulmarroad_serving._digests import Digest, ReportSum, pack_digest, read_digest
from fulmarroad_serving._features import FeatureBook
from fulmarroad_serving._metrics import Metrics
from fulmarroad_serving._owner_exchange import OwnerExchange, is_owner_message
from fulmarroad_serving._reports import PeerReport, pack_report, read_report, unpack
from fulmarroad_serving.engines._pace import SCAN_S
from fulmarroad_serving.engines._pace_messages import PaceReport, pack_pace, read_pace

ENGINE = "drafting-0"


def switch_on(*dispatchers):
    for dispatcher in dispatchers:
        dispatcher.settings._features = FeatureBook(parse_features("engine_speeds=on"))


def candidate(dispatcher, server=ENGINE, now=100.0):
    service = dispatcher.settings.catalog.services["drafting"]
    return dispatcher.servers.candidate(
        dispatcher.registry.get(server),
        service,
        now,
        speeds=dispatcher.learns_speeds("drafting"),
    )


class PausingEngine:
    """Router `a` of a bed with three answers at an engine that router `b` owns."""

    def __init__(self, bed):
        self.bed = bed
        self.exchange = OwnerExchange(bed.client, bed.granter, dict, dict, self.clock)
        for answer in range(3):
            bed.a.speeds.pace.begin(ENGINE, answer, bed.now)
            bed.a.speeds.pace.await_next(ENGINE, answer, bed.now, bed.now)

    def clock(self):
        return self.bed.now

    def deliver(self, data):
        row = unpack(data)
        assert is_owner_message(row)
        self.bed.b.speeds.receive_pace(read_pace(row), self.bed.now)

    def pass_s(self, seconds, *, events):
        for number in range(round(seconds / SCAN_S)):
            self.bed.now += SCAN_S
            if events and number % 3 == 2:
                for answer in range(3):
                    self.bed.a.speeds.pace.note_event(ENGINE, answer, self.bed.now)
                    now = self.bed.now
                    self.bed.a.speeds.pace.await_next(ENGINE, answer, now, now)
            for owner, data in self.bed.client.pace_reports():
                assert owner == "b"
                self.deliver(data)


class TestPaceReports:
    def test_owner_follows_a_pause_and_its_end(self, caplog):
        bed = OwnerBed()
        switch_on(bed.a, bed.b)
        changes = []
        bed.b.speeds.on_slow_change = changes.append
        engine = PausingEngine(bed)
        with caplog.at_level("INFO", "fulmarroad.serving"):
            engine.pass_s(3.6, events=True)
            usual = candidate(bed.b, now=bed.now).read_rate
            engine.pass_s(0.24, events=False)
            assert candidate(bed.b, now=bed.now).read_rate < usual / 1.5
            engine.pass_s(0.36, events=True)
            assert candidate(bed.b, now=bed.now).read_rate == pytest.approx(usual)
        lines = [row for row in caplog.records if "engine" in row.message]
        assert len(lines) == 2
        assert [row.ended for row in changes] == [False, True]
        assert {row.state.source for row in changes} == {"a"}

    def test_report_on_an_earlier_run_is_dropped(self):
        """It was under way while the server restarted."""
        bed = OwnerBed()
        switch_on(bed.b)
        usual = candidate(bed.b).read_rate
        started_ms = bed.b.registry.get(ENGINE).instance.started_ms
        late = PaceReport("a", 5, 1, ENGINE, started_ms - 1, 3.0, 4)
        bed.b.speeds.receive_pace(late, 100.0)
        assert candidate(bed.b).read_rate == usual
        bed.b.speeds.receive_pace(evolve(late, started_ms=started_ms), 100.0)
        assert candidate(bed.b).read_rate == pytest.approx(usual / 3)

    def test_report_on_an_unknown_server_is_dropped(self):
        bed = OwnerBed()
        switch_on(bed.b)
        bed.b.speeds.receive_pace(PaceReport("a", 5, 1, "other", 0, 3.0, 4), 100.0)

    def test_exchange_takes_it_for_its_own(self):
        bed = OwnerBed()
        switch_on(bed.a)
        exchange = OwnerExchange(bed.client, bed.granter, dict, dict, lambda: 100.0)
        started_ms = bed.a.registry.get(ENGINE).instance.started_ms
        row = unpack(pack_pace(PaceReport("c", 5, 1, ENGINE, started_ms, 3.0, 4)))
        assert is_owner_message(row)
        usual = candidate(bed.a).read_rate
        exchange.receive(row, "h")
        assert candidate(bed.a).read_rate == pytest.approx(usual / 3)

    def test_slow_downs_are_counted_without_router_names(self):
        bed, metrics = OwnerBed(), Metrics()
        switch_on(bed.b)
        bed.b.speeds.on_slow_change = metrics.note_slow_change
        started_ms = bed.b.registry.get(ENGINE).instance.started_ms
        report = PaceReport("a", 5, 1, ENGINE, started_ms, 3.0, 4)
        bed.b.speeds.receive_pace(report, 100.0)
        bed.b.speeds.tell_slow_changes(101.0)
        text = metrics.text().decode()
        assert 'fulmarroad_engines_slow_total{source="gaps"} 1.0' in text
        assert 'fulmarroad_engines_recovered_total{source="gaps"} 1.0' in text


REPORT = PeerReport("a", 5, 1, "fes", "h", False, 44, 0.2, 60.0)
CLASSES = (("e-1", 1_700_000_000_000, -2), ("e-2", 7, 3))


class ClassFleet(FleetBed):
    """A fleet of which one router owns an engine."""

    owner = "h1"

    def report(self, host):
        rows = (("e-1", 0, 2),) if host == self.owner else ()
        return evolve(super().report(host), speed_classes=rows)


class TestSpeedClassMessages:
    def test_report_carries_classes_in_field_19(self):
        data = pack_report(evolve(REPORT, speed_classes=CLASSES))
        assert msgpack.unpackb(data)[19] == [list(row) for row in CLASSES]
        assert read_report(unpack(data)).speed_classes == CLASSES

    def test_report_of_the_previous_release_has_none(self):
        row = unpack(pack_report(REPORT))
        assert read_report(row[:19]).speed_classes == ()

    def test_digest_carries_classes(self):
        digest = Digest("a", "fes", ReportSum({}, 0.0, {}, {}), speed_classes=CLASSES)
        row = unpack(pack_digest(digest))
        assert read_digest(row) == digest
        assert read_digest(row[:12]).speed_classes == ()

    def test_class_of_an_earlier_run_is_dropped(self):
        dispatcher = make_dispatcher("a")
        switch_on(dispatcher)
        started_ms = dispatcher.registry.get(ENGINE).instance.started_ms
        dispatcher.speeds.receive_classes([(ENGINE, started_ms + 1, 2)], 1.0)
        assert dispatcher.servers.speed_class(ENGINE) == 0
        dispatcher.speeds.receive_classes([(ENGINE, started_ms, 2)], 1.0)
        assert dispatcher.servers.speed_class(ENGINE) == 2
        dispatcher.restarted(ENGINE)
        assert dispatcher.servers.speed_class(ENGINE) == 0

    @pytest.mark.parametrize("size", [4, 45])
    def test_classes_reach_all_routers(self, size):
        """In a large fleet, an owner's report only reaches its collectors."""
        services = {"drafting": Service("drafting", engine=EngineProfile(32))}
        bed = ClassFleet(size)
        for router in bed.routers.values():
            catalog = Catalog(1, services=services, limits=CallerLimits())
            router.dispatcher.set_catalog(catalog)
            switch_on(router.dispatcher)
            instance = Instance("e-1", "drafting", "h", 1, "fes", 32)
            router.dispatcher.registry.put(instance, 0.0)
        bed.run(6.0)
        classes = [
            row.dispatcher.servers.speed_class("e-1")
            for host, row in bed.routers.items()
            if host != ClassFleet.owner
        ]
        assert set(classes) == {2}


class TestOwners:
    def test_learned_speed_reaches_routers_and_survives_the_owner(self):
        """A new owner would start at 60,000 tokens/s for an engine of 25,000."""
        bed = OwnerBed()
        switch_on(bed.a, bed.b)
        owned = bed.granter._owners.owned("drafting")
        demand = evolve(CALL, part="", shared_tokens=0, own_tokens=12_000)
        for _ in range(40):
            placed = bed.b.place(demand, bed.now, owned=owned)
            if not isinstance(placed, Placement):
                placed = bed.b.place(evolve(demand, objective_s=9.0), bed.now)
            ticket = bed.b.send(demand, placed, bed.now)
            bed.now += 0.035 + 12_000 / 25_000
            bed.b.begin(ticket, bed.now)
            bed.b.end(ticket, None, bed.now)
        granted = anyio.run(bed.place, evolve(demand, objective_s=9.0))
        assert isinstance(granted, Placement)
        engine = granted.choice.server
        assert bed.b.load(engine).read_rate == pytest.approx(25_000, rel=0.1)
        rate = bed.a.servers.engines.read_rate("drafting", engine)
        assert rate == pytest.approx(25_000, rel=0.1)

    def test_adopted_calls_are_counted_with_the_wait_that_was_expected(self):
        """Without it, a queue before an adopted call would look like a slow engine."""
        bed = OwnerBed()
        switch_on(bed.a, bed.b)
        for number in range(4):
            demand = evolve(CALL, call_id=f"c-{number}", objective_s=9.0)
            placed = anyio.run(bed.place, demand)
            ticket = bed.a.send(demand, placed, bed.now)
        wait_s = ticket.charge.wait_s
        bed.client.adopt_from_lost({})
        rate = bed.a.load(ticket.charge.server).read_rate
        assert ticket.charge.ahead_tokens == pytest.approx(wait_s * rate)


class TestSwitchedOff:
    def test_estimates_are_those_without_the_model(self):
        """Deployments without scarce engines are served as before."""
        dispatcher = make_dispatcher("a")
        started_ms = dispatcher.registry.get(ENGINE).instance.started_ms
        report = PaceReport("b", 5, 1, ENGINE, started_ms, 3.0, 4)
        dispatcher.speeds.receive_pace(report, 100.0)
        dispatcher.speeds.receive_classes([(ENGINE, started_ms, 3)], 100.0)
        placed = dispatcher.place(CALL, 100.0)
        assert isinstance(placed, Placement)
        ticket = dispatcher.send(CALL, placed, 100.0)
        dispatcher.begin(ticket, 100.4)
        dispatcher.speeds.watch_answer(ticket, 100.4)
        server = ticket.charge.server
        row, load = candidate(dispatcher, server, 100.5), dispatcher.load(server)
        assert row.wait_s == load.wait_s(32, 100.5)
        assert (row.read_rate, row.base_s) == (load.read_rate, load.base_s)
        assert dispatcher.servers.speed_class(server) == 0
        assert not dispatcher.speeds.pace.has_answers

    def test_plain_services_have_no_model(self):
        dispatcher = make_dispatcher("a")
        switch_on(dispatcher)
        assert not dispatcher.learns_speeds("ledger")
        assert dispatcher.learns_speeds("drafting")


class TestStreams:
    @pytest.mark.parametrize("on", [True, False])
    def test_answer_is_watched_from_its_first_event_to_its_end(self, on):
        async def test(bed):
            if on:
                switch_on(bed.dispatcher)
            seen, ready = [], anyio.Event()

            async def script(arrival, writer):
                writer.write(stream_head(arrival.header("x-id")) + chunk(event(1)))
                await writer.drain()
                with anyio.move_on_after(0.2):
                    await ready.wait()
                seen.append(bed.dispatcher.speeds.pace.has_answers)
                writer.write(chunk(event(2)) + b"0\r\n\r\n")

            await bed.serve("s-1", script, "drafting")
            caller = await bed.call("/draft/1", method="POST", body=b"p")
            assert caller.whole
            assert seen == [on]
            assert not bed.dispatcher.speeds.pace.has_answers

        run(test)
