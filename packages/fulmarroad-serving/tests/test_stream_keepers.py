"""Tests of the records of streams that routers keep for each other."""

import random

import anyio
import pytest
from attrs import evolve
from hypothesis import given, settings
from hypothesis import strategies as st
from owner_bed import CALL, make_dispatcher
from serving_bed import KEY, SHORT, STREAM, make_catalog, run
from stream_fleet import LONG_STREAM, StreamFleet, split_catalog

from fulmarroad.exceptions import MessageError
from fulmarroad.testing import run_virtual
from fulmarroad.types import RefusalReason
from fulmarroad_serving import (
    KeyHolder,
    Placement,
    Refusal,
    Target,
    digest_key,
    position,
)
from fulmarroad_serving._registry import VERSION_MEMORY_S
from fulmarroad_serving._reports import unpack
from fulmarroad_serving._served_call import ServedCall
from fulmarroad_serving._waits import refuse_stream
from fulmarroad_serving.contracts import CallHead
from fulmarroad_serving.streams import _keeper_table
from fulmarroad_serving.streams._keeper_table import SMALL_FLEET, Keeper, KeeperTable
from fulmarroad_serving.streams._keepers import StreamKeepers
from fulmarroad_serving.streams._lookups import MAX_LOOKUPS, _PendingLookup
from fulmarroad_serving.streams._messages import (
    MAX_RECORDS_PER_PACKET,
    KeptStream,
    StreamFinding,
    StreamLookup,
    pack_finding,
    pack_kept,
    pack_lookup,
    read_finding,
    read_kept,
    read_lookup,
)
from fulmarroad_serving.streams._records import (
    KEY_BYTES,
    MAX_LIFE_S,
    MAX_RECORDS,
    StreamOrigin,
    StreamRecord,
    StreamRecords,
    stream_key,
)
from fulmarroad_serving.streams._resumption import (
    RECORD_MARGIN_S,
    RouteServices,
    StreamResumption,
    TakeUp,
    decide_take_up,
    decide_unnamed,
)
from fulmarroad_serving.streams._version_search import Finding
from fulmarroad_serving.streams._views import Confirmation, VersionView

UNCONFIRMED = Confirmation.NONE
REFUSED = TakeUp(refusal=RefusalReason.STREAM_UNCONFIRMED)
V1, V2 = StreamOrigin("drafting", "v1"), StreamOrigin("drafting", "v2")
DRAFTING = frozenset({"drafting"})


def key_of(number):
    return stream_key("coop", STREAM, f"c-{number}")


def fleet_of(size, centres=3):
    return [Keeper(f"r-{n}", f"centre-{n % centres}", 1) for n in range(size)]


def table_of(router, routers):
    table = KeeperTable(router.router, router.data_centre)
    table.set_routers(routers)
    return table


class TestKeeperTable:
    @pytest.mark.parametrize("size", [7, 30, 195])
    def test_any_router_asks_those_that_were_told(self, size):
        """Guard against streams that are refused as the router that gets them asks
        others than those that keep their records.
        """
        routers = fleet_of(size)
        source = random.Random(size)
        for number in range(100):
            begun_at, taken_up_at = source.sample(routers, 2)
            told = table_of(begun_at, routers).told(key_of(number))
            asked = table_of(taken_up_at, routers).asked(key_of(number))
            known = {row.router for row in told} & set(asked)
            local = [row for row in told if row.data_centre == begun_at.data_centre]
            assert known or taken_up_at in told
            if size <= SMALL_FLEET:
                assert len(told) == size - 1
            else:
                assert len(local) >= 2
                assert len(told) == 4

    def test_routers_that_were_not_heard_lately_are_asked_but_not_told(self):
        """Guard against records that go to routers which are lost already."""
        routers = fleet_of(40)
        lost = {f"r-{number}" for number in range(12)}
        seen = [evolve(row, heard_lately=row.router not in lost) for row in routers]
        for number in range(100):
            told = table_of(seen[20], seen).told(key_of(number))
            assert len(told) == 4
            assert not {row.router for row in told} & lost
            asked = table_of(seen[30], routers).asked(key_of(number))
            assert {row.router for row in told} & {*asked, "r-30"}

    @pytest.mark.parametrize("size", [9, 60])
    def test_the_loss_of_a_third_of_the_routers_leaves_most_records(self, size):
        """Guard against records that are lost together with the router that had the
        streams.
        """
        routers = fleet_of(size)
        source = random.Random(size)
        found = 0
        for number in range(300):
            lost = source.sample(routers, size // 3)
            left = [row for row in routers if row not in lost]
            told = set(table_of(lost[0], routers).told(key_of(number)))
            asker = source.choice(left)
            asked = set(table_of(asker, routers).asked(key_of(number)))
            holders = {row.router for row in told if row in left}
            found += bool(holders & (asked | {asker.router}))
        assert found >= 0.9 * 300

    def test_a_data_centre_that_is_cut_off_knows_its_own_streams(self):
        routers = fleet_of(12)
        own = [row for row in routers if row.data_centre == "centre-0"]
        for number in range(100):
            told = set(table_of(own[0], routers).told(key_of(number)))
            asked = table_of(own[1], own).asked(key_of(number))
            assert {row.router for row in told} & {*asked, own[1].router}


class TestRecords:
    def test_a_record_is_found_until_its_time_is_over(self):
        records = StreamRecords()
        records.keep(StreamRecord(key_of(1), V1, 10.0))
        assert records.find(key_of(1), 9.9) == V1
        assert records.find(key_of(1), 10.0) is None
        assert records.current(10.0) == []
        assert len(records) == 0

    def test_the_oldest_records_go_first(self):
        records = StreamRecords()
        for number in range(MAX_RECORDS + 3):
            records.keep(StreamRecord(key_of(number), V1, 10.0))
        assert (len(records), records.dropped) == (MAX_RECORDS, 3)
        assert records.find(key_of(2), 1.0) is None
        assert records.find(key_of(3), 1.0) == V1

    def test_a_key_belongs_to_one_workspace_and_route(self):
        """Guard against a caller who learns of, or goes on with, another workspace's
        stream by naming its call.
        """
        other_route = evolve(STREAM, path_prefix="/other/")
        keys = {
            stream_key("coop", STREAM, "c-1"),
            stream_key("rival", STREAM, "c-1"),
            stream_key("coop", other_route, "c-1"),
            stream_key("coo", STREAM, "pc-1"),
        }
        assert len(keys) == 4


class TestMessages:
    def test_messages_are_read_as_they_were_sent(self):
        kept = [KeptStream(key_of(1), V1, 4.5), KeptStream(key_of(2), V2, 0.0)]
        assert read_kept(unpack(pack_kept(kept))) == kept
        lookup = StreamLookup("r-1", 7, key_of(1), ("drafting", "other"))
        assert read_lookup(unpack(pack_lookup(lookup))) == lookup
        for origin in (V1, None):
            view = VersionView(frozenset({V1, V2}), 8.3, position(2, 7), position(3, 9))
            met = ("r-3", "r-4") if origin else None
            finding = StreamFinding("r-2", 7, key_of(1), origin, view, met)
            assert read_finding(unpack(pack_finding(finding))) == finding
            confirmed = evolve(view, confirmation=Confirmation.STORE)
            row = unpack(pack_finding(evolve(finding, view=confirmed)))
            assert read_finding(row).view.confirmation is Confirmation.PEER

    def test_a_router_never_tells_a_longer_watch_than_it_had(self):
        """Guard against a version that left just before the watch began."""
        view = VersionView(frozenset({V1}), watched_s=8.97)
        row = unpack(pack_finding(StreamFinding("r", 1, key_of(1), None, view)))
        assert read_finding(row).view.watched_s == pytest.approx(8.9)

    def test_an_answer_of_the_previous_release_confirms_nothing(self):
        """Guard against a take-up by the word of a router that can't say for which
        changes of the store it holds, while releases of routers overlap.
        """
        view = VersionView(frozenset({V1}), 60.0, 1, 9, Confirmation.STORE)
        row = unpack(pack_finding(StreamFinding("r", 1, key_of(1), None, view)))
        assert read_finding(row[:7]).view == VersionView(frozenset({V1}))

    def test_a_packet_fits_into_one_datagram(self):
        origin = StreamOrigin("s" * 12, "2026.12.03-rc1")
        kept = [
            KeptStream(key_of(n), origin, 8.0) for n in range(MAX_RECORDS_PER_PACKET)
        ]
        assert len(pack_kept(kept)) < 1_400

    @settings(derandomize=True, deadline=None, max_examples=200)
    @given(
        st.integers(6, 8),
        st.lists(
            st.one_of(
                st.none(),
                st.integers(),
                st.text(max_size=300),
                st.binary(max_size=20),
                st.lists(st.lists(st.one_of(st.text(), st.floats()), max_size=4)),
            ),
            max_size=5,
        ),
    )
    def test_messages_that_are_not_valid_are_rejected(self, number, fields):
        reader = {6: read_kept, 7: read_lookup, 8: read_finding}[number]
        try:
            reader([number, *fields])
        except MessageError:
            pass

    def test_keys_of_another_length_and_endless_lives_are_rejected(self):
        for row in (
            [b"k" * (KEY_BYTES + 1), "s", "v", 1.0],
            [key_of(1), "s", "v", 1e9],
        ):
            with pytest.raises(MessageError):
                read_kept([6, [row]])


class TestLookups:
    def test_an_answer_to_a_lookup_of_an_earlier_start_does_not_count(self):
        """Guard against a stream bound to the version of another one: a router that
        froze answers late, and the router that asked has started again since.
        """
        pending = _PendingLookup(key_of(1), {"r-2"})
        pending.note(StreamFinding("r-2", 1, key_of(2), V1))
        assert pending.origin is None
        pending.note(StreamFinding("r-2", 1, key_of(1), V2))
        assert pending.origin == V2

    def test_a_caller_cannot_start_any_number_of_lookups(self):
        async def test(fleet):
            streams = fleet.routers["router-0"].streams
            streams.lookups._pending.update(dict.fromkeys(range(-MAX_LOOKUPS, 0)))
            answers = await streams.ask(key_of(1), ["drafting"])
            assert (answers.origin, answers.asked) == (None, 0)

        run_two_versions(test)


class TestDecision:
    def decide(self, origin, versions, services=DRAFTING, recent=None, **more):
        watched_s = more.get("watched_s", 9.0)
        finding = Finding(
            origin,
            frozenset(versions),
            watched_s=watched_s,
            confirmation=more.get("confirmation", Confirmation.STORE),
        )
        recent = services if recent is None else recent
        return decide_take_up(finding, services, recent, life_s=9.0)

    def test_a_known_stream_goes_on_where_it_began(self):
        assert self.decide(V1, {V1, V2}) == TakeUp(V1)
        assert self.decide(V1, {V1, V2}, confirmation=UNCONFIRMED) == TakeUp(V1)

    def test_a_stream_of_a_service_that_left_its_route_is_refused(self):
        """Guard against calls to a service that the configuration has taken away."""
        decided = self.decide(V1, {V1}, frozenset({"other"}))
        assert decided.refusal is RefusalReason.STREAM_ORIGIN_GONE

    def test_an_unknown_stream_goes_on_while_a_single_version_serves(self):
        assert self.decide(None, {V1}) == TakeUp(V1)

    @pytest.mark.parametrize(
        ("versions", "services", "more"),
        [
            ({V1, V2}, DRAFTING, {}),
            ({V1}, DRAFTING, {"watched_s": 8.9}),
            ({V1}, frozenset({"drafting", "other"}), {}),
        ],
    )
    def test_an_unknown_stream_is_refused_otherwise(self, versions, services, more):
        """Guard against a guess: by a list of servers that may be old, by a list that
        nobody has watched for long enough, between versions, or between the services
        of a split route.
        """
        decided = self.decide(None, versions, services, **more)
        assert decided.refusal is RefusalReason.STREAM_UNKNOWN

    def test_a_list_that_nobody_confirms_tells_nothing_by_what_it_lacks(self):
        """Guard against a stream that goes on at the only version of an old list; its
        caller may find a router in step at once.
        """
        decided = self.decide(None, {V1}, confirmation=UNCONFIRMED)
        assert decided.refusal is RefusalReason.STREAM_UNCONFIRMED
        refusal = refuse_stream(decided.refusal, random.Random(1))
        assert refusal.retry_after_s < 1.0

    def test_a_service_that_left_the_route_lately_may_have_begun_the_stream(self):
        recent = frozenset({"drafting", "former"})
        decided = self.decide(None, {V1}, DRAFTING, recent)
        assert decided.refusal is RefusalReason.STREAM_UNKNOWN

    def test_the_services_that_a_route_left_count_for_a_while(self):
        routes = RouteServices()
        before = evolve(STREAM, targets=(Target("drafting"), Target("other")))
        after = evolve(STREAM, targets=(Target("drafting"), Target("other", 0.0)))
        for route, now in ((before, 10.0), (after, 20.0)):
            routes.note_catalog(make_catalog(routes=(route,)), now)
        assert routes.recent(after, 21.0) == {"drafting", "other"}
        assert routes.recent(after, 20.0 + MAX_LIFE_S) == DRAFTING

    def test_a_stream_that_is_not_named_goes_on_in_the_single_version_only(self):
        """Guard against a stream that waits for a place unbound, while servers of
        another version join.
        """
        other = StreamOrigin("other", "v1")
        for versions in ({V1}, {V1, other}):
            finding = Finding(
                None,
                frozenset(versions),
                watched_s=9.0,
                confirmation=Confirmation.STORE,
            )
            for service in ("drafting", "other"):
                origin = StreamOrigin(service, "v1")
                assert decide_unnamed(finding, service, 9.0) == TakeUp(origin)
            unconfirmed = evolve(finding, confirmation=UNCONFIRMED)
            assert decide_unnamed(unconfirmed, "drafting", 9.0) == REFUSED
            decided = decide_unnamed(finding, "drafting", 9.5)
            assert decided.refusal is RefusalReason.STREAM_UNKNOWN

    @pytest.mark.parametrize(
        "versions", [{V1, V2}, {V1, StreamOrigin("other", "v7")}, set()]
    )
    def test_a_stream_that_is_not_named_is_refused_between_versions(self, versions):
        """Guard against a text joined from two versions, also of two services."""
        finding = Finding(
            None,
            frozenset(versions),
            watched_s=9.0,
            confirmation=Confirmation.STORE,
        )
        decided = decide_unnamed(finding, "drafting", 9.0)
        assert decided.refusal is RefusalReason.STREAM_UNKNOWN


class TestVersions:
    def test_a_version_without_servers_counts_for_a_while(self):
        """Guard against a stream that goes on at the last version left, just after the
        last server of its own version went.
        """
        registry = make_dispatcher("a", engines=2).registry
        for number, version in enumerate(("v1", "v2")):
            row = registry.get(f"drafting-{number}")
            registry.put(evolve(row.instance, version=version, started_ms=1), 50.0)
        registry.remove("drafting-0", 60.0)
        assert registry.versions("drafting", 61.0) >= {"v1", "v2"}
        assert registry.versions("drafting", 60.0 + VERSION_MEMORY_S) == {"v2"}


class TestAdmission:
    @pytest.mark.parametrize(("other", "answer"), [("v1", Placement), ("v2", Refusal)])
    def test_a_begun_stream_waits_longer_for_the_few_servers_of_its_version(
        self, other, answer
    ):
        """Guard against streams refused half-way because the few servers of their
        version are busy, and against streams that go before first attempts while all
        servers are of their version.
        """
        dispatcher = make_dispatcher("a", engines=2)
        for number, version in enumerate(("v2", other)):
            row = dispatcher.registry.get(f"drafting-{number}")
            instance = evolve(row.instance, version=version, started_ms=1)
            dispatcher.registry.put(instance, 0.0)
            name = instance.id
            dispatcher.load(name).send(name, 34_000, 10.0)
        new = dispatcher.place(CALL, 10.0)
        assert new.reason is RefusalReason.WAIT_TOO_LONG
        assert isinstance(dispatcher.place(evolve(CALL, version="v2"), 10.0), answer)

    def test_a_begun_stream_is_shed_last(self):
        """Guard against a router past its limit that sheds a stream of which the
        caller has read a part, and lets a new one in.
        """

        async def test(bed):
            head = CallHead("c-2", "svc.example", resumes="c-1")
            deadline = bed.now() + 5.0
            call = ServedCall(
                head, "POST", b"/draft/1", b"p", STREAM, "drafting", "coop", deadline
            )
            await bed.serve("s-1", None, "drafting")
            for workspace in ("coop", "other"):
                bed.dispatcher.shares.note_asked(workspace, 9e6, bed.now())
                bed.dispatcher.shares.note_got(workspace, 4e6, bed.now())
            assert bed.forwarder.used_share(call) > 0
            assert bed.forwarder.used_share(evolve(call, version="v1")) == 0

        run(test)

    def test_a_stream_without_a_server_of_its_version_is_refused_at_once(self):
        dispatcher = make_dispatcher("a", engines=1)
        refusal = dispatcher.place(evolve(CALL, version="v9"), 10.0)
        assert refusal.reason is RefusalReason.STREAM_ORIGIN_GONE
        assert refusal.retry_after_s >= 2.0


def run_two_versions(test, **more):
    """Run a test with two engines each of two versions."""

    async def run(fleet):
        for number, version in enumerate(("v1", "v1", "v2", "v2")):
            fleet.add_engine(f"e-{number}", version)
        await anyio.sleep(0.3)
        await test(fleet)

    run_virtual(StreamFleet(**more).run, run)


class TestTakingUp:
    def test_a_stream_taken_up_twice_is_known_by_its_first_call(self):
        """Guard against a stream that is lost at its second take-up: callers always
        name the call that brought the first event.
        """

        async def test(fleet):
            caller = fleet.begin(1)
            for _ in range(2):
                await anyio.sleep(0.5)
                fleet.kill(caller.tries[-1].router)
            await anyio.sleep(4.0)
            assert [row.resumes for row in caller.tries] == ["", "c-1-0", "c-1-0"]
            assert caller.whole
            assert not fleet.mixed()

        run_two_versions(test, size=6)

    def test_the_first_call_names_a_stream_that_was_taken_up(self):
        """Guard against a second router that remembers a stream by its own call, which
        no caller ever names.
        """
        kept = []
        keepers = StreamKeepers("a", "fes", lambda service: (), dict, lambda: 10.0)
        keepers.note_begun = lambda key, origin, life_s: kept.append((key, life_s))
        resumption = StreamResumption(keepers, lambda: 0.0, lambda: 10.0)
        for head in (CallHead("c-1", "h"), CallHead("c-2", "h", resumes="c-1")):
            call = ServedCall(head, "POST", b"/", b"", STREAM, "drafting", "coop", 14.0)
            resumption.note_begun(call, "v1", 10.0)
        assert kept == [(key_of(1), 4.0 + RECORD_MARGIN_S)] * 2

    def test_a_router_that_ends_in_good_order_hands_its_records_over(self, monkeypatch):
        """Guard against records that are lost one by one as routers are replaced."""
        monkeypatch.setattr(_keeper_table, "SMALL_FLEET", 0)

        async def test(fleet):
            for number in range(40):
                fleet.routers["router-0"].streams.note_begun(key_of(number), V1, 20.0)
            await anyio.sleep(0.1)
            fleet.kill("router-0")
            await anyio.sleep(2.5)
            for name in ("router-1", "router-2", "router-3", "router-4"):
                await fleet.end(name)
            assert await self.found(fleet, "router-5") == 40

        run_two_versions(test, size=6)

    def test_keepers_that_start_again_are_told_anew(self):
        """Guard against records that are lost one by one as routers crash, while the
        router that has the streams runs on.
        """

        async def test(fleet):
            for number in range(40):
                fleet.routers["router-0"].streams.note_begun(key_of(number), V1, 20.0)
            await anyio.sleep(0.1)
            for name in ("router-1", "router-2", "router-3", "router-4", "router-5"):
                await fleet.restart(name)
                await anyio.sleep(0.5)
            fleet.kill("router-0")
            assert await self.found(fleet, "router-5") == 40

        run_two_versions(test, size=6)

    async def found(self, fleet, router):
        """Return how many of forty streams a router can find."""
        search = fleet.routers[router].search
        found = [
            await search.find_named(key_of(n), ["drafting"], 9.0) for n in range(40)
        ]
        return sum(row.origin == V1 for row in found)

    @pytest.mark.parametrize("resumes", ["c-1-0", "c-7-0", "c-404", "x" * 64])
    def test_the_stream_of_another_workspace_is_not_found(self, resumes):
        """Guard against a caller who takes up what is not its own, or names a call
        that never was: several versions serve, so that it is refused.
        """

        async def test(fleet):
            rival = b"key-of-rival"
            holders = (
                KeyHolder("coop", (digest_key(KEY),)),
                KeyHolder("rival", (digest_key(rival),)),
            )
            routes = (LONG_STREAM, SHORT)
            fleet.set_catalog(routes=routes, holders=holders)
            await anyio.sleep(0.3)
            fleet.begin(1)
            await anyio.sleep(0.5)
            caller = fleet.begin(7, workspace_key=rival, resumes=resumes, tries=1)
            await anyio.sleep(2.0)
            assert [row.code for row in caller.tries] == ["stream_unknown"]
            assert caller.tries[0].retry_after_s >= 2.0
            assert fleet.callers[0].whole

        run_two_versions(test)

    @pytest.mark.parametrize("names_stream", [True, False])
    def test_a_stream_goes_on_without_a_record_while_one_version_has_served(
        self, names_stream
    ):
        """Guard against a mend that refuses what could go on: no router knows the
        stream, but one of them has watched for as long as a stream can be old.
        """

        async def test(fleet):
            for name in ("a", "b"):
                fleet.add_engine(name)
            await anyio.sleep(0.3)
            callers = [
                fleet.begin(number, names_stream=names_stream) for number in range(12)
            ]
            await anyio.sleep(0.5)
            for name in list(fleet.routers)[1:]:
                fleet.kill(name)
                fleet.start_router(name)
            fleet.routers["router-0"].streams.records = StreamRecords()
            await anyio.sleep(4.0)
            assert all(row.whole for row in callers)
            assert not fleet.mixed()

        run_virtual(StreamFleet().run, test)

    def test_a_service_that_left_the_route_gets_no_stream_back(self):
        async def test(fleet):
            fleet.set_catalog(**split_catalog())
            for name, service in (("a", "drafting"), ("b", "drafting-b")):
                fleet.add_engine(name, service=service)
            await anyio.sleep(0.3)
            callers = [fleet.begin(number) for number in range(12)]
            await anyio.sleep(0.5)
            route = evolve(LONG_STREAM, targets=(Target("drafting"),))
            fleet.set_catalog(**(split_catalog() | {"routes": (route,)}))
            await anyio.sleep(0.3)
            for name in list(fleet.routers)[:3]:
                fleet.kill(name)
            await anyio.sleep(6.0)
            assert not fleet.mixed()
            codes = {row.code for caller in callers for row in caller.tries}
            assert codes - {""} <= {"stream_origin_gone", "stream_unknown"}
            assert "stream_origin_gone" in codes

        run_virtual(StreamFleet().run, test)
