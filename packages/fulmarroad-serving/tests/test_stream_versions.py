"""Tests that a stream goes on only at the software version that began it."""

import random

import anyio
import pytest
from attrs import evolve
from owner_bed import CALL, OwnerBed, make_dispatcher
from stream_fleet import StreamFleet, split_catalog

from fulmarroad.testing import run_virtual
from fulmarroad.types import RefusalReason
from fulmarroad_serving import Placement, Refusal
from fulmarroad_serving._owner_messages import (
    PlacementRequest,
    pack_request,
    read_request,
)
from fulmarroad_serving._owners import OwnerTable
from fulmarroad_serving._registry import UNKNOWN_VERSION, WriterVersion
from fulmarroad_serving._reports import unpack
from fulmarroad_serving._restarts import SUSPECT_S, Contact


def run_fleet(test, **more):
    """Run a test with a fleet of routers in virtual time."""
    run_virtual(StreamFleet(**more).run, test)


async def begin_at_two_versions(fleet):
    """Let 24 streams begin at four engines, two of each version."""
    for name, version in (("a", "v1"), ("b", "v1"), ("c", "v2"), ("d", "v2")):
        fleet.add_engine(name, version)
    await anyio.sleep(0.3)
    for number in range(24):
        fleet.begin(number)
    await anyio.sleep(0.6)


async def check_streams(fleet, whole):
    """Wait for the end of all streams and check what their callers hold.

    At least `whole` of them have their whole stream.
    """
    await anyio.sleep(9.0)
    assert not fleet.mixed()
    assert sum(row.whole for row in fleet.callers) >= whole


class TestTwoVersions:
    def test_a_stream_goes_on_at_its_version_after_its_server_ended(self):
        """Guard against an answer that holds events of two software versions, as its
        server ended midway and the next one runs another version.
        """

        async def test(fleet):
            await begin_at_two_versions(fleet)
            fleet.crash("a")
            await check_streams(fleet, whole=20)

        run_fleet(test)

    def test_a_stream_taken_up_at_another_router_goes_on_at_its_version(self):
        """Guard against a caller that holds events of two software versions, as its
        router ended and the next one knows nothing of the stream.
        """

        async def test(fleet):
            await begin_at_two_versions(fleet)
            fleet.crash("a")
            fleet.kill("router-0")
            fleet.kill("router-1")
            await check_streams(fleet, whole=20)

        run_fleet(test)

    @pytest.mark.parametrize("weights_change", [False, True])
    def test_a_stream_goes_on_at_the_service_that_began_it(self, weights_change):
        """Guard against a stream of a split route that another service goes on with:
        a caller's next try has another id, by which the service was chosen.
        """

        async def test(fleet):
            fleet.set_catalog(**split_catalog())
            for name, service in (("a", "drafting"), ("b", "drafting-b")):
                fleet.add_engine(name, service=service)
            await anyio.sleep(0.3)
            for number in range(12):
                fleet.begin(number)
            await anyio.sleep(0.6)
            if weights_change:
                fleet.set_catalog(**split_catalog(weights=(1.0, 99.0)))
            fleet.kill("router-0")
            fleet.kill("router-1")
            await check_streams(fleet, whole=10)

        run_fleet(test)


BEGUN = evolve(CALL, version="v2")
"""A call whose stream began at version v2."""


def set_versions(dispatcher, *versions, now=0.0):
    """Give each engine of a dispatcher a version, with a start of its own."""
    for number, version in enumerate(versions):
        row = dispatcher.registry.get(f"drafting-{number}")
        instance = evolve(row.instance, version=version, started_ms=1)
        dispatcher.registry.put(instance, now)


class TestPlaces:
    """Tests of each place that picks, grants or sends."""

    def test_only_servers_of_the_version_are_chosen(self):
        dispatcher = make_dispatcher("a")
        set_versions(dispatcher, "v1", "v2", "v1")
        placed = [dispatcher.place(BEGUN, 10.0) for _ in range(20)]
        assert {row.choice.server for row in placed} == {"drafting-1"}

    def test_a_full_server_of_the_version_is_no_reason_for_another_version(self):
        dispatcher = make_dispatcher("a")
        set_versions(dispatcher, "v1", "v2", "v1")
        dispatcher.load("drafting-1").send("drafting-1", 900_000, 10.0)
        refusal = dispatcher.place(BEGUN, 10.0)
        assert refusal.reason is RefusalReason.WAIT_TOO_LONG

    def test_a_leaving_server_of_the_version_gets_no_call(self):
        dispatcher = make_dispatcher("a")
        set_versions(dispatcher, "v1", "v2", "v1")
        dispatcher.note_leaving("drafting-1", 1, "answer")
        assert isinstance(dispatcher.place(BEGUN, 10.0), Refusal)

    def test_all_servers_of_a_large_service_are_looked_at(self):
        """Guard against a refusal because none of a call's shortlist has the version
        that began its stream.
        """
        dispatcher = make_dispatcher("a", engines=60)
        set_versions(dispatcher, *["v1"] * 59, "v2")
        for _ in range(20):
            assert dispatcher.place(BEGUN, 10.0).choice.server == "drafting-59"

    def test_a_server_that_ended_is_not_trusted_until_it_registers_again(self):
        """Guard against a server that starts again under its id with another version,
        while its entry still names the one before.
        """
        dispatcher = make_dispatcher("a", engines=1)
        set_versions(dispatcher, "v2")
        (row,) = dispatcher.registry.usable("drafting")
        dispatcher.registry.note_ended(row.instance, 20.0)
        assert isinstance(dispatcher.place(BEGUN, 20.1), Refusal)
        assert isinstance(dispatcher.place(CALL, 20.1), Placement)
        # Written before the server ended, and read after it.
        dispatcher.registry.put(evolve(row.instance, slots=9), 20.1)
        assert isinstance(dispatcher.place(BEGUN, 20.1), Refusal)
        again = evolve(row.instance, started_ms=2)
        dispatcher.registry.put(again, 20.1)
        assert isinstance(dispatcher.place(BEGUN, 20.1), Placement)

    def test_a_server_that_only_seemed_to_end_serves_streams_again(self):
        """Guard against servers to which no stream goes back after a cut link refused
        connections to them: their entries never tell of another start.
        """
        dispatcher = make_dispatcher("a", engines=1)
        set_versions(dispatcher, "v2")
        (row,) = dispatcher.registry.usable("drafting")
        dispatcher.registry.note_ended(row.instance, 20.0)
        assert isinstance(dispatcher.place(BEGUN, 20.0 + SUSPECT_S), Placement)
        now = 20.0 + SUSPECT_S
        dispatcher.registry.note_current(now)
        contact = Contact(20.0, now)
        writer = dispatcher.registry.writer_version(row.instance, contact)
        assert writer == WriterVersion("v2", is_proven=True)

    def test_a_run_that_was_replaced_meanwhile_is_of_no_known_version(self):
        """Guard against a stream bound to the version of a run that ended before the
        call reached its server, which had started again.
        """
        dispatcher = make_dispatcher("a", engines=1)
        set_versions(dispatcher, "v2")
        (row,) = dispatcher.registry.usable("drafting")
        before = row.instance
        dispatcher.registry.put(evolve(before, version="v3", started_ms=2), 20.0)
        contact = Contact(19.9, 20.05)
        writer = dispatcher.registry.writer_version(before, contact)
        assert writer.version == UNKNOWN_VERSION

    def test_a_stream_begun_at_a_server_of_unknown_version_goes_on_nowhere(self):
        dispatcher = make_dispatcher("a")
        set_versions(dispatcher, "v2", "v2", UNKNOWN_VERSION)
        instance = dispatcher.registry.get("drafting-0").instance
        dispatcher.registry.note_ended(instance, 20.0)
        contact = Contact(20.0, 20.2)
        writer = dispatcher.registry.writer_version(instance, contact)
        demand = evolve(CALL, version=writer.version)
        assert isinstance(dispatcher.place(demand, 20.2), Refusal)

    def test_an_owner_that_has_a_server_of_the_version_is_asked(self):
        """Guard against a stream that is refused as its part's owner has no server of
        its version, while another owner has one.
        """
        dispatcher = make_dispatcher("a", engines=40)
        set_versions(dispatcher, *["v1"] * 39, "v2")
        owners = OwnerTable(dispatcher.registry.usable, me="b")
        owners.set_routers({f"r-{number}": "fes" for number in range(8)})
        table = owners.owners("drafting")
        holder = table.by_server["drafting-39"]
        for part in (0, *range(1, 30)):
            assert table.order(part, random.Random(1), "v2") == (holder,)

    def test_a_router_asks_an_owner_that_has_a_server_of_the_version(self):
        bed = OwnerBed()
        set_versions(bed.a, "v1", "v2", "v1")
        bed.client._owners.set_routers({"b": "fes", "c": "fes"})
        owners = bed.client._owners.owners("drafting")
        owners.by_server.update({"drafting-0": "b", "drafting-1": "c"})
        for number in range(20):
            demand = evolve(BEGUN, part=f"part-{number}")
            assert bed.client.owner_for(demand) == "c"

    def test_the_order_of_owners_follows_a_release(self):
        dispatcher = make_dispatcher("a", engines=1)
        set_versions(dispatcher, "v1")
        owners = OwnerTable(dispatcher.registry.usable, me="b")
        owners.set_routers({"b": "fes"})
        assert owners.owners("drafting").order(7, random.Random(1), "v2") == ()
        row = dispatcher.registry.get("drafting-0")
        dispatcher.registry.put(evolve(row.instance, version="v2", started_ms=2), 1.0)
        assert owners.owners("drafting").order(7, random.Random(1), "v2") == ("b",)

    def test_owners_grant_only_servers_of_the_version(self):
        async def test():
            bed = OwnerBed()
            for dispatcher in (bed.a, bed.b):
                set_versions(dispatcher, "v1", "v2", "v1")
            for number in range(20):
                demand = evolve(BEGUN, part=f"part-{number}")
                placement = await bed.place(demand)
                assert placement.choice.server == "drafting-1"
                bed.client.abandon(placement.grant)
                bed.flush()

        anyio.run(test)

    def test_a_grant_of_an_owner_that_knows_no_versions_is_given_back(self):
        """Guard against an owner of the previous release, or one whose entries are
        older, that grants a server of another version.
        """

        async def test():
            bed = OwnerBed()
            set_versions(bed.a, "v1", "v1", "v1")
            set_versions(bed.b, "v2", "v2", "v2")
            assert await bed.place(BEGUN) is None
            bed.flush()
            assert bed.running() == 0

        anyio.run(test)

    def test_a_call_is_not_sent_to_a_server_that_changed_its_version(self):
        """Guard against a stream that goes on at another version, as its server
        started again while the call waited for a connection.
        """
        dispatcher = make_dispatcher("a")
        set_versions(dispatcher, "v1", "v2", "v1")
        instance = dispatcher.place(BEGUN, 10.0).registered.instance
        assert dispatcher.servers.may_send(instance, "v2", 10.0)
        dispatcher.registry.put(evolve(instance, version="v3"), 10.0)
        assert not dispatcher.servers.may_send(instance, "v2", 10.0)

    def test_requests_of_the_previous_release_have_no_version(self):
        request = PlacementRequest("a", 1, 7, BEGUN)
        row = unpack(pack_request(request))
        assert read_request(row).demand.version == "v2"
        assert read_request(row[:18]).demand.version == ""
