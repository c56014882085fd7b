"""Calls turned away by their workspace's share, before any engine is looked at."""

import random
from collections import Counter

import pytest
from attrs import evolve
from serving_bed import run

from fulmarroad.types import RefusalReason
from fulmarroad_serving import (
    CallerLimits,
    Catalog,
    Demand,
    Dispatcher,
    EngineProfile,
    FleetBounds,
    Instance,
    Refusal,
    Service,
    _shares,
)
from fulmarroad_serving._early_rejection import (
    PLACED_FRACTION,
    EngineCapacity,
    admitted_fraction,
)
from fulmarroad_serving._fingerprints import fingerprint_of, hash_fraction_of
from fulmarroad_serving._shares import ShareBook, WorkspaceCount, max_min_level

RATE = 500_000.0
CALL = Demand("c-1", "drafting", "large", 0.5, "part", 6_000, 2_000, 50)


def make(stated=0.0, engines=4):
    dispatcher = Dispatcher("router-a", "fes", FleetBounds(), 1)
    rows = {
        "drafting": Service("drafting", engine=EngineProfile(32)),
        "ledger": Service("ledger"),
    }
    limits = CallerLimits(units_per_s=stated)
    dispatcher.set_catalog(Catalog(1, services=rows, limits=limits))
    for n in range(engines):
        instance = Instance(f"e-{n}", "drafting", "127.0.0.1", 9000 + n, "fes", 32)
        dispatcher.registry.put(instance, 0.0)
    return dispatcher


def flood(dispatcher, now, times=40.0):
    """Let peers tell of a workspace that asks for a multiple, and of a small one."""
    counts = {
        "large": WorkspaceCount(times * 4 * RATE, RATE),
        "small": WorkspaceCount(40_000.0, 40_000.0),
    }
    dispatcher.shares.receive_counts("router-b", counts, now)


class TestLetIn:
    def test_a_workspace_within_its_share_is_let_in_whole(self):
        assert admitted_fraction(1.0) == admitted_fraction(float("inf")) == 1.0

    def test_one_above_it_is_let_in_for_little_more_than_its_share(self):
        """Surplus of one workspace takes the places of all others, who then find one
        for less than half of their calls.
        """
        assert admitted_fraction(0.1) == 0.1 / PLACED_FRACTION
        assert 0.3 < PLACED_FRACTION <= 0.9


class TestCapacity:
    def test_it_does_not_wind_down_to_nothing(self):
        """What is handed out falls with what is let in, and is nothing after a restart
        of all: everybody would be turned away for ever.
        """
        engines, granted_units = EngineCapacity(tokens_per_s=RATE), 0.0
        for _ in range(50):
            granted_units = 0.1 * engines.capacity(granted_units, 4.0)
        assert engines.capacity(granted_units, 4.0) >= 4.0 * RATE

    def test_lost_engines_take_their_part_at_once(self):
        before = EngineCapacity(tokens_per_s=RATE).capacity(0.0, 4.0)
        after = EngineCapacity(tokens_per_s=RATE / 2).capacity(0.0, 4.0)
        assert after == before / 2

    def test_prompts_that_are_mostly_cached_leave_room_for_more(self):
        """Engines give several times what they read where prompts share most of it."""
        rows = [EngineCapacity(tokens_per_s=RATE) for _ in range(2)]
        for engines, read in zip(rows, (9_000, 1_000), strict=True):
            for _ in range(300):
                engines.note_sent(read, 10_000.0)
        assert rows[1].capacity(0.0, 4.0) > 5 * rows[0].capacity(0.0, 4.0)


class TestShares:
    def test_each_workspace_has_an_equal_share(self):
        book = ShareBook(window_s=4.0)
        for name, asked in (("most", 9_000), ("more", 3_000), ("small", 500)):
            book.note_asked(name, asked, 10.0)
        parts = {
            name: book.entitled_fraction(name, 2_500.0, 10.0)
            for name in ("most", "more", "small")
        }
        assert parts == pytest.approx({"most": 1 / 9, "more": 1 / 3, "small": 2.0})

    def test_a_share_of_a_call_and_a_half_is_not_nothing(self):
        """Many workspaces of few calls each: a share smaller than two calls lets some
        of them through, not none for ever.
        """
        book = ShareBook(window_s=4.0)
        for number in range(100):
            book.note_asked(f"w{number}", 40_000.0, 10.0)
        part = book.entitled_fraction("w1", 100 * 15_000.0, 10.0)
        assert part == pytest.approx(15 / 40)

    def test_everybody_has_more_than_it_asks_where_everything_fits(self):
        book = ShareBook()
        book.note_asked("only", 1_000.0, 10.0)
        assert book.entitled_fraction("only", 1_200.0, 10.0) > 1.0
        assert book.entitled_fraction("another", 1_200.0, 10.0) > 1.0

    def test_thousands_of_workspaces_are_sorted_once_for_many_calls(self, monkeypatch):
        """Every call asks for its share. Worked out anew each time, among thousands of
        workspaces, it takes the router longer than the call itself.
        """
        sorted_times = []

        def level(asked, capacity):
            sorted_times.append(capacity)
            return max_min_level(asked, capacity)

        monkeypatch.setattr(_shares, "max_min_level", level)
        book = ShareBook()
        book.note_asked("large", 4_000.0, 10.0)
        for _ in range(100):
            book.entitled_fraction("large", 1_000.0, 10.0)
        assert sorted_times.count(1_000.0) == 1

    def test_what_operators_state_is_the_least(self):
        book = ShareBook(units_per_s=500.0)
        book.note_asked("large", 4_000.0, 10.0)
        assert book.entitled_fraction("large", 1.0, 10.0) == 0.5


class TestDraw:
    def test_an_attempt_with_a_new_id_has_the_same_number(self):
        """A caller that tries often must not get more chances by it."""
        again = [fingerprint_of("coop", "h", "POST", b"/x", b"body") for _ in range(2)]
        assert hash_fraction_of(again[0]) == hash_fraction_of(again[1])

    def test_requests_are_spread_evenly(self):
        draws = [
            hash_fraction_of(fingerprint_of("coop", "h", "POST", b"/x", b"%d" % number))
            for number in range(4_000)
        ]
        tenths = Counter(int(10 * draw) for draw in draws)
        assert sorted(tenths) == list(range(10))
        assert min(tenths.values()) > 300


class TestDispatcher:
    def test_surplus_is_turned_away_without_a_look(self):
        """A workspace asks for forty times what engines give, and every refusal was
        preceded by a search for a place.
        """
        dispatcher = make()
        flood(dispatcher, 10.0)
        source = random.Random(1)
        calls = [evolve(CALL, hash_fraction=source.random()) for _ in range(400)]
        refused = [dispatcher.reject_early(call, 10.2) for call in calls]
        turned_away = [row for row in refused if row is not None]
        assert len(turned_away) > 300
        for row in turned_away:
            assert isinstance(row, Refusal)
            assert row.reason is RefusalReason.ABOVE_SHARE
            assert 0 < row.retry_after_s <= 4.0

    def test_a_small_workspace_is_let_in_beside_it(self):
        dispatcher = make()
        flood(dispatcher, 10.0)
        small = evolve(CALL, workspace="small", hash_fraction=0.999)
        assert dispatcher.reject_early(small, 10.2) is None

    def test_routers_that_learned_other_speeds_decide_alike(self):
        """Each router sees engines by its own calls. Where one let in a twentieth of
        what others did, a workspace whose calls all came to it got next to nothing.
        """
        source = random.Random(2)
        calls = [evolve(CALL, hash_fraction=source.random()) for _ in range(300)]
        decided = []
        for speed in (0.4, 1.6):
            dispatcher = make()
            for n in range(4):
                dispatcher.load(f"e-{n}").read_rate *= speed
            counts = {
                "large": WorkspaceCount(40e6, 4e6),
                "other": WorkspaceCount(40e6, 4e6),
            }
            dispatcher.shares.receive_counts("router-b", counts, 10.0)
            decided.append([dispatcher.reject_early(r, 10.2) is None for r in calls])
        assert decided[0] == decided[1]
        assert 0.1 < sum(decided[0]) / len(calls) < 0.4

    def test_nobody_is_turned_away_where_most_of_what_is_asked_is_given(self):
        dispatcher = make()
        counts = {"large": WorkspaceCount(15e6, 9e6), "small": WorkspaceCount(1e6, 9e5)}
        dispatcher.shares.receive_counts("router-b", counts, 10.0)
        assert dispatcher.reject_early(evolve(CALL, hash_fraction=1.0), 10.2) is None

    def test_a_burst_that_is_over_is_forgotten_with_the_window(self):
        """Engines idle a moment after a burst, and its calls still count as asked."""
        dispatcher = make()
        dispatcher.shares.note_asked("large", 80e6, 10.0)
        dispatcher.shares.note_got("large", 1e6, 10.0)
        late = evolve(CALL, hash_fraction=0.99)
        assert dispatcher.reject_early(late, 10.2) is not None
        dispatcher.note_asked(late, 15.0)
        assert dispatcher.reject_early(late, 15.0) is None

    def test_without_an_engine_it_is_the_placement_that_says_so(self):
        """Nothing can be given, so all would be above a share of nothing; callers have
        to hear that there is no server.
        """
        dispatcher = make(engines=0)
        dispatcher.note_asked(CALL, 10.0)
        assert dispatcher.reject_early(evolve(CALL, hash_fraction=1.0), 10.0) is None
        refusal = dispatcher.place(CALL, 10.0)
        assert refusal.reason is RefusalReason.NO_SERVERS

    def test_calls_to_plain_services_have_no_share(self):
        dispatcher = make()
        flood(dispatcher, 10.0)
        plain = Demand("c-2", "ledger", "large", 0.2, hash_fraction=1.0)
        assert dispatcher.reject_early(plain, 10.0) is None


class TestCallers:
    def test_a_caller_above_its_share_is_told_at_once(self):
        """Held and looked for first, it heard a quarter of a second later that it has
        to come back, and its router had no time for others.
        """

        async def test(bed):
            async def script(arrival, writer):
                raise AssertionError("the call was sent")

            await bed.serve("s-1", script, "drafting")
            bed.dispatcher.load("s-1").send("s-1", 60_000, bed.now())
            counts = {"coop": WorkspaceCount(1e12, 1e5)}
            bed.dispatcher.shares.receive_counts("router-b", counts, bed.now())
            begun = bed.now()
            caller = await bed.call("/draft/1", method="POST", body=b"p")
            assert caller.status == 503
            assert b"above_share" in caller.body
            assert float(caller.headers[b"retry-after"]) > 0
            assert bed.now() - begun < 0.1

        run(test)
