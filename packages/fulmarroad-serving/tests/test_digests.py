"""Tests of digests, and of the exchange of reports between simulated routers."""

import contextlib

import pytest
from attrs import evolve
from fleet_bed import CENTRES, TICK_S, FleetBed
from hypothesis import given, settings
from hypothesis import strategies as st

from fulmarroad.exceptions import MessageError
from fulmarroad_serving import Instance
from fulmarroad_serving._digests import (
    Digest,
    OwnReports,
    ReportSum,
    is_digest,
    member_id,
    merge,
    pack_digest,
    read_digest,
    sum_reports,
)
from fulmarroad_serving._fleet_view import MAX_DIRECT_PEERS, REPORTS_PER_MEMBER_LIST
from fulmarroad_serving._load import PeerLoad
from fulmarroad_serving._reports import (
    Member,
    PeerBook,
    PeerReport,
    pack_report,
    read_report,
    unpack,
)
from fulmarroad_serving._shares import WorkspaceCount


def report(router, sequence=1, running=1, waiting=100, asked=10.0):
    return PeerReport(
        router,
        5,
        sequence,
        "fes",
        "127.0.0.2",
        False,
        44,
        0.25,
        60.0,
        {"s": PeerLoad(running, waiting)},
        {"coop": WorkspaceCount(asked, asked / 2)},
    )


class TestSums:
    def test_loads_and_counts_add_up(self):
        total = sum_reports([(report("a"), 0.0), (report("b", running=3), 0.2)])
        assert total.loads == {"s": PeerLoad(4, 200)}
        assert total.counts == {"coop": WorkspaceCount(20.0, 10.0)}
        assert total.age_s == pytest.approx(0.1)

    def test_age_of_a_sum_is_the_average_over_all_routers(self):
        near = sum_reports([(report("a"), 0.0)])
        far = sum_reports([(report(name), 0.1) for name in "bcd"])
        assert merge([(near, 0.0), (far, 0.3)]).age_s == pytest.approx(0.3)

    @given(st.lists(st.integers(0, 50), min_size=1, max_size=12), st.integers(0, 11))
    @settings(derandomize=True, deadline=None)
    def test_a_router_subtracts_exactly_its_own_report(self, loads, place):
        """Guard against counting a router's own calls twice.

        A router sends most of its calls to one engine. Counted as its own and again in
        the sum of the fleet, they would make the engine seem to have twice the load.
        """
        place %= len(loads)
        reports = [
            report(f"r{n}", sequence=n + 1, running=load, waiting=load, asked=load)
            for n, load in enumerate(loads)
        ]
        own = OwnReports()
        own.note(report(f"r{place}", sequence=99, running=1000))
        own.note(reports[place])
        total = sum_reports([(row, 0.0) for row in reports])
        sum_of_others = own.subtract_own(total, f"r{place}")
        expected = sum(loads) - loads[place]
        assert sum_of_others.loads["s"] == PeerLoad(expected, expected)
        assert sum_of_others.counts["coop"].asked == expected

    def test_an_own_report_no_longer_kept_is_not_subtracted(self):
        total = sum_reports([(report("a"), 0.0)])
        assert OwnReports().subtract_own(total, "a") == total


class TestPackets:
    MEMBER = Member("a", 5, 9, "fes", "127.0.0.2", False, 44, 0.25, 60.0, 0.1)
    DIGEST = Digest(
        "a",
        "fes",
        ReportSum(
            {member_id("a"): 9},
            0.125,
            {"s": PeerLoad(2, 900)},
            {"coop": WorkspaceCount(10.0, 5.0)},
        ),
        (MEMBER,),
        ((17, "s"),),
        leaving_servers=(("s", 7),),
    )

    REPORT = report("a")

    def test_a_digest_survives_encoding_and_decoding(self):
        row = unpack(pack_digest(self.DIGEST))
        assert is_digest(row)
        assert read_digest(row) == self.DIGEST

    def test_a_report_is_not_recognised_as_a_digest(self):
        assert not is_digest(unpack(pack_report(report("a"))))
        assert not is_digest([])
        assert not is_digest(None)

    @pytest.mark.parametrize("whole", [pack_digest(DIGEST), pack_report(REPORT)])
    @given(
        place=st.integers(1, 14),
        value=st.recursive(
            st.none() | st.integers() | st.text() | st.floats(),
            lambda rows: st.lists(rows, max_size=10),
        ),
    )
    @settings(derandomize=True, deadline=None, max_examples=300)
    def test_any_field_value_is_decoded_or_rejected(self, whole, place, value):
        """Guard against unexpected errors while decoding.

        A packet of another release or sender has an unexpected value in one field. Any
        error other than `MessageError` would end the task that reads packets.
        """
        row = unpack(whole)
        read = read_digest if is_digest(row) else read_report
        row[place % len(row)] = value
        with contextlib.suppress(MessageError):
            read(row)

    @pytest.mark.parametrize("place", [3, 4, 5, 6, 7, 8, 9])
    def test_a_digest_without_valid_sums_is_rejected(self, place):
        row = unpack(pack_digest(self.DIGEST))
        row[place] = "else"
        with pytest.raises(MessageError):
            read_digest(row)

    def test_an_infinite_number_is_rejected(self):
        digest, whole = (
            unpack(pack_digest(self.DIGEST)),
            unpack(pack_report(report("a"))),
        )
        digest[5] = [["s", float("inf"), 1]]
        whole[7] = float("inf")
        for read, row in ((read_digest, digest), (read_report, whole)):
            with pytest.raises(MessageError):
                read(row)


class TestLargeFleet:
    def test_every_router_knows_the_exact_load_of_all_others(self):
        """Guard against routers that know only part of the load.

        Sixty routers start at once with three seeds. A router that misses some of the
        calls would send to engines that are full.
        """
        bed = FleetBed(60)
        bed.run(3.0)
        assert set(bed.errors()) == {0}

    def test_loads_reach_everybody_within_the_shortest_objective(self):
        """Guard against loads that arrive too late.

        A router sends twenty calls to an engine. If routers of other data centres
        learned of them only after a third of a second, they would have sent calls to
        the seemingly idle engine by then, and these would start late.
        """
        bed = FleetBed(60)
        bed.run(3.0)
        sender = bed.routers["h7"]
        for _ in range(20):
            sender.dispatcher.load("s").send("s", 100, bed.now)
        sender.running += 20
        ticks = 0
        while set(bed.errors()) != {0}:
            bed.tick()
            ticks += 1
        assert ticks * TICK_S < 0.3

    def test_packets_grow_linearly_with_the_fleet(self):
        small, large = FleetBed(40), FleetBed(120)
        for bed in (small, large):
            bed.run(3.0)
            bed.packets = 0
            bed.run(3.0)
            assert set(bed.errors()) == {0}
        assert large.packets < 1.5 * 3 * small.packets

    def test_routers_without_servers_need_half_of_the_digests(self):
        """Owners decide with fresh loads, and the other routers of a large fleet spend
        less on news that they hardly use, but no part is left out.
        """
        fleet = FleetBed(60)
        fleet.run(3.0)
        before = fleet.packets
        fleet.run(1.5)
        all_decide = fleet.packets - before
        for router in fleet.routers.values():
            router.view.owners = lambda: frozenset({"r0", "r1", "r2"})
        fleet.run(1.5)
        before = fleet.packets
        fleet.run(1.5)
        assert fleet.packets - before < 0.8 * all_decide
        sender = fleet.routers["h9"].dispatcher.parts
        for part in range(1, 30):
            sender.send(part, "s", fleet.now)
            fleet.run(0.075)
        fleet.run(0.6)
        for router in fleet.routers.values():
            parts = router.dispatcher.parts
            assert all(parts.has(part, "s", fleet.now) for part in range(1, 30))

    def test_lost_packets_rarely_make_known_loads_wrong(self):
        bed = FleetBed(40, loss=0.1)
        bed.run(4.0)
        wrong = 0
        for _ in range(20):
            bed.tick()
            wrong += sum(error != 0 for error in bed.errors())
        assert wrong < 0.01 * 20 * 40

    def test_lost_collectors_are_replaced(self):
        """Guard against a data centre without collectors.

        Both collectors lose power together. Until other routers take over, the data
        centre has no loads of the fleet, and the fleet none of the data centre.
        """
        bed = FleetBed(40)
        bed.run(3.0)
        names = bed.routers["h0"].view.collectors_of("fes", bed.now)
        for name in names:
            bed.routers[f"h{name[1:]}"].alive = False
        bed.run(3.5)
        assert set(bed.errors()) == {0}

    def test_the_loss_of_one_collector_affects_only_its_own_load(self):
        bed = FleetBed(40)
        bed.run(3.0)
        name = bed.routers["h0"].view.collectors_of("fes", bed.now)[0]
        lost = bed.routers[f"h{name[1:]}"]
        lost.alive = False
        for _ in range(20):
            bed.tick()
            assert all(-1 <= error <= lost.running for error in bed.errors())

    def test_a_starting_router_knows_all_loads_within_about_a_second(self):
        bed = FleetBed(40)
        bed.run(3.0)
        bed.start(40)
        bed.run(1.2)
        assert set(bed.errors()) == {0}

    def test_a_seed_that_is_no_collector_names_the_collectors(self):
        """Guard against a starting router that never finds the fleet.

        Its only seed is in another data centre and not a collector. Without an answer
        from the seed, the router would act as if it were the only one.
        """
        bed = FleetBed(40)
        bed.run(3.0)
        view = bed.routers["h0"].view
        bed.seeds = tuple(
            f"h{number}"
            for number in range(40)
            if CENTRES[number % 3] == "rabat"
            and f"r{number}" not in view.collectors_of("rabat", bed.now)
        )[:1]
        bed.start(42)
        assert bed.routers["h42"].centre == "fes"
        bed.run(1.2)
        assert set(bed.errors()) == {0}

    @pytest.mark.parametrize("loss", [0.0, 0.05])
    @pytest.mark.parametrize("size", [17, 24, 60])
    def test_every_router_joins_a_data_centre_without_a_seed(self, size, loss):
        """Guard against routers that nobody knows: alone, they place calls without
        shares and owners, and their workspaces get more than others.

        All routers start at once. The seeds hear of some before the fleet is large, and
        report to collectors from then on.
        """
        bed = FleetBed(size, loss, centres=(*CENTRES, "agadir"))
        bed.run(8.0)
        known = [len(row.view.book.alive(bed.now)) for row in bed.routers.values()]
        assert min(known) >= (size - 1 if not loss else 0.9 * size)

    def test_a_router_that_was_cut_off_from_all_joins_again(self):
        """Guard against a router that stays alone after its VM was out of reach."""
        bed = FleetBed(60, centres=(*CENTRES, "agadir"))
        bed.run(3.0)
        router = bed.routers["h7"]
        router.view.book = PeerBook("r7", "h7")
        bed.run(3.0)
        assert len(router.view.book.alive(bed.now)) == 59

    def test_a_data_centre_cut_off_uses_its_own_loads_and_then_merges_again(self):
        """Guard against outdated loads while a data centre is cut off.

        It is cut off for six seconds. If its routers still counted the loads of the
        others from before the cut, its engines would stay idle.
        """
        bed = FleetBed(40)
        bed.run(3.0)
        bed.cut = "taza"
        bed.run(6.0)
        inside = [row for row in bed.routers.values() if row.centre == "taza"]
        true = sum(row.running for row in inside)
        assert {r.dispatcher.load("s").total_running(bed.now) for r in inside} == {true}
        bed.cut = ""
        bed.run(3.0)
        assert set(bed.errors()) == {0}

    def test_no_load_is_counted_twice_as_the_fleet_grows_past_the_limit(self):
        """Guard against loads that are counted both from reports and from digests.

        While the fleet grows past the limit, some routers still report to all others
        and some only to their collectors. Loads that arrive both ways would seem twice
        as high.
        """
        bed = FleetBed(MAX_DIRECT_PEERS - 1)
        bed.run(3.0)
        assert set(bed.errors()) == {0}
        for number in range(MAX_DIRECT_PEERS - 1, MAX_DIRECT_PEERS + 8):
            bed.start(number)
            for _ in range(3):
                bed.tick()
                assert max(bed.errors()) <= 0
        bed.run(3.0)
        assert set(bed.errors()) == {0}

    def test_counts_of_workspaces_add_up_over_the_fleet(self):
        bed = FleetBed(40)
        bed.run(3.0)
        now = bed.now
        for router in bed.routers.values():
            shares = router.dispatcher.shares
            own = shares.own_counts(now)["coop"].asked
            theirs = sum(
                counts["coop"].asked
                for at, counts in shares._peers.values()
                if "coop" in counts
            )
            true = sum(
                row.dispatcher.shares.own_counts(now)["coop"].asked
                for row in bed.routers.values()
            )
            assert own + theirs == pytest.approx(true, rel=0.15)

    def test_parts_reach_every_router_and_are_not_forwarded_again(self):
        bed = FleetBed(40)
        bed.run(3.0)
        sender = bed.routers["h5"]
        sender.dispatcher.parts.send(77, "s", bed.now)
        bed.run(1.0)
        for router in bed.routers.values():
            assert router.dispatcher.parts.has(77, "s", bed.now)
            assert router.dispatcher.parts.pop_updates(10) == ()


SERVER = Instance("s-1", "drafting", "10.0.0.1", 1, "fes", 8, started_ms=5)


def knows_leaving(router):
    row = router.dispatcher.registry.get("s-1")
    return row.instance.draining


class TestLeavingServers:
    @pytest.mark.parametrize(
        ("size", "loss"), [(7, 0.0), (7, 0.1), (60, 0.0), (60, 0.1)]
    )
    def test_every_router_hears_in_time_that_a_server_leaves(self, size, loss):
        """Guard against calls to a leaving server by routers that got no answer of it,
        while the store is down. Servers stay for two seconds and more.
        """
        bed = FleetBed(size, loss=loss)
        for router in bed.routers.values():
            router.dispatcher.registry.put(SERVER, bed.now)
        bed.run(6.0)
        first = bed.routers[f"h{size - 1}"]
        first.dispatcher.note_leaving("s-1", 5, "answer")
        bed.run(1.2)
        assert all(map(knows_leaving, bed.routers.values()))

    def test_it_is_told_no_longer_once_the_entry_says_so(self):
        bed = FleetBed(7)
        for router in bed.routers.values():
            router.dispatcher.registry.put(SERVER, bed.now)
        bed.routers["h0"].dispatcher.note_leaving("s-1", 5, "answer")
        bed.run(1.0)
        for router in bed.routers.values():
            router.dispatcher.registry.put(evolve(SERVER, draining=True), bed.now)
        for router in bed.routers.values():
            report = router.view.complete_report(bed.report(router.host), bed.now)
            assert not report.leaving_servers

    def test_a_router_that_learns_of_the_server_later_hears_it_too(self):
        bed = FleetBed(7)
        bed.routers["h0"].dispatcher.registry.put(SERVER, bed.now)
        bed.routers["h0"].dispatcher.note_leaving("s-1", 5, "answer")
        bed.run(1.0)
        last = bed.routers["h6"]
        last.dispatcher.registry.put(SERVER, bed.now)
        bed.run(0.5)
        assert knows_leaving(last)


class TestSmallFleet:
    def test_every_router_reports_to_all_others(self):
        bed = FleetBed(9)
        bed.run(1.5)
        assert set(bed.errors()) == {0}
        view = bed.routers["h4"].view
        assert not view.uses_collectors
        assert view.digests(bed.now) == []
        assert len(view.receivers((), REPORTS_PER_MEMBER_LIST + 1, bed.now)) == 8

    def test_an_older_report_of_a_peer_is_ignored(self):
        bed = FleetBed(2)
        bed.run(1.0)
        view = bed.routers["h0"].view
        newer = report("r1", sequence=9000, running=7)
        assert view.receive_report(newer, bed.now)
        assert not view.receive_report(evolve(newer, sequence=8999), bed.now)
