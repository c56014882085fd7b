"""Reports of a large fleet, summed up on the way, in virtual time without sockets."""

import contextlib

import pytest
from attrs import evolve
from fleet_bed import CENTRES, TICK_S, FleetBed
from hypothesis import given, settings
from hypothesis import strategies as st

from fulmarroad.exceptions import MessageError
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

    def test_the_age_is_the_average_of_all_routers(self):
        near = sum_reports([(report("a"), 0.0)])
        far = sum_reports([(report(name), 0.1) for name in "bcd"])
        assert merge([(near, 0.0), (far, 0.3)]).age_s == pytest.approx(0.3)

    @given(st.lists(st.integers(0, 50), min_size=1, max_size=12), st.integers(0, 11))
    @settings(derandomize=True, deadline=None)
    def test_a_router_takes_exactly_its_own_report_out(self, loads, place):
        """A router sends most of its calls to one engine. Counted once as its own and
        once in the fleet's sum, they would make that engine look twice as loaded.
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
        others = own.subtract_own(total, f"r{place}")
        rest = sum(loads) - loads[place]
        assert others.loads["s"] == PeerLoad(rest, rest)
        assert others.counts["coop"].asked == rest

    def test_a_report_that_is_not_remembered_stays_in(self):
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
    )

    REPORT = report("a")

    def test_a_digest_is_read_as_it_was_written(self):
        row = unpack(pack_digest(self.DIGEST))
        assert is_digest(row)
        assert read_digest(row) == self.DIGEST

    def test_a_report_is_no_digest(self):
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
    def test_a_field_of_any_kind_is_read_or_told(self, whole, place, value):
        """A packet of another release or sender holds something else in one field. Any
        other error than the one that is told would end the task that reads packets.
        """
        row = unpack(whole)
        read = read_digest if is_digest(row) else read_report
        row[place % len(row)] = value
        with contextlib.suppress(MessageError):
            read(row)

    @pytest.mark.parametrize("place", [3, 4, 5, 6, 7, 8, 9])
    def test_a_digest_without_sums_is_told(self, place):
        row = unpack(pack_digest(self.DIGEST))
        row[place] = "else"
        with pytest.raises(MessageError):
            read_digest(row)

    def test_a_number_without_end_is_told(self):
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
    def test_every_router_knows_the_load_of_all_exactly(self):
        """Sixty routers start at once and know three seeds. Whoever hears of fewer
        calls than there are sends to engines that are full.
        """
        bed = FleetBed(60)
        bed.run(3.0)
        assert set(bed.errors()) == {0}

    def test_loads_reach_everybody_within_the_shortest_objective(self):
        """A router sends twenty calls to an engine. Routers of other data centres that
        hear of them after a third of a second have sent theirs behind them by then, and
        all of those begin late though the engine seemed to stand empty.
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

    def test_packets_grow_with_the_fleet_and_not_with_its_square(self):
        small, large = FleetBed(40), FleetBed(120)
        for bed in (small, large):
            bed.run(3.0)
            bed.packets = 0
            bed.run(3.0)
            assert set(bed.errors()) == {0}
        assert large.packets < 1.5 * 3 * small.packets

    def test_lost_packets_make_news_older_and_not_wrong(self):
        bed = FleetBed(40, loss=0.1)
        bed.run(4.0)
        wrong = 0
        for _ in range(20):
            bed.tick()
            wrong += sum(error != 0 for error in bed.errors())
        assert wrong < 0.01 * 20 * 40

    def test_lost_collectors_are_replaced(self):
        """Both collectors of a data centre lose power together. Its routers would know
        nothing of the fleet, and the fleet nothing of theirs, until others collect.
        """
        bed = FleetBed(40)
        bed.run(3.0)
        names = bed.routers["h0"].view.collectors_of("fes", bed.now)
        for name in names:
            bed.routers[f"h{name[1:]}"].alive = False
        bed.run(3.5)
        assert set(bed.errors()) == {0}

    def test_one_lost_collector_is_hardly_noticed(self):
        bed = FleetBed(40)
        bed.run(3.0)
        name = bed.routers["h0"].view.collectors_of("fes", bed.now)[0]
        lost = bed.routers[f"h{name[1:]}"]
        lost.alive = False
        for _ in range(20):
            bed.tick()
            assert all(-1 <= error <= lost.running for error in bed.errors())

    def test_a_router_that_starts_knows_the_fleet_within_a_second(self):
        bed = FleetBed(40)
        bed.run(3.0)
        bed.start(40)
        bed.run(1.2)
        assert set(bed.errors()) == {0}

    def test_a_seed_that_does_not_collect_names_those_who_do(self):
        """A router starts, and the one seed that it knows collects nothing and is in
        another data centre. Left without an answer, it would believe that it is alone.
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

    def test_a_data_centre_that_is_cut_off_goes_on_alone_and_comes_back(self):
        """A data centre is cut off for six seconds. Counting the others' loads from
        before the cut would leave its engines idle.
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

    def test_nothing_is_counted_twice_as_the_fleet_grows_past_the_limit(self):
        """Routers disagree for a while on whether the fleet is large: some tell all,
        others their collectors. Counted by both ways, loads would look doubled.
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

    def test_counts_of_workspaces_add_up(self):
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

    def test_parts_reach_every_router_and_each_is_told_on_once(self):
        bed = FleetBed(40)
        bed.run(3.0)
        sender = bed.routers["h5"]
        sender.dispatcher.parts.send(77, "s", bed.now)
        bed.run(1.0)
        for router in bed.routers.values():
            assert router.dispatcher.parts.has(77, "s", bed.now)
            assert router.dispatcher.parts.pop_updates(10) == ()


class TestSmallFleet:
    def test_everybody_tells_everybody(self):
        bed = FleetBed(9)
        bed.run(1.5)
        assert set(bed.errors()) == {0}
        view = bed.routers["h4"].view
        assert not view.uses_collectors
        assert view.digests(bed.now) == []
        assert len(view.receivers((), REPORTS_PER_MEMBER_LIST + 1, bed.now)) == 8

    def test_an_older_report_of_a_peer_changes_nothing(self):
        bed = FleetBed(2)
        bed.run(1.0)
        view = bed.routers["h0"].view
        newer = report("r1", sequence=9000, running=7)
        assert view.receive_report(newer, bed.now)
        assert not view.receive_report(evolve(newer, sequence=8999), bed.now)
