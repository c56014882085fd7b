"""Tests of calls refused by their workspace's share before placement."""

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

TOKENS_PER_S = 500_000.0
CALL = Demand("c-1", "drafting", "large", 0.5, "part", 6_000, 2_000, 50)


def make_dispatcher(stated=0.0, engines=4):
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


def receive_overload(dispatcher, now, times=40.0):
    """Receive counts of one workspace far above its share and of a small one."""
    counts = {
        "large": WorkspaceCount(times * 4 * TOKENS_PER_S, TOKENS_PER_S),
        "small": WorkspaceCount(40_000.0, 40_000.0),
    }
    dispatcher.shares.receive_counts("router-b", counts, now)


class TestAdmittedFraction:
    def test_admits_all_calls_of_a_workspace_within_its_share(self):
        assert admitted_fraction(1.0) == admitted_fraction(float("inf")) == 1.0

    def test_admits_little_more_than_the_share_of_a_workspace_above_it(self):
        """If too many surplus calls of one workspace are admitted, they use the
        capacity of all others, of whose calls less than half are placed.
        """
        assert admitted_fraction(0.1) == 0.1 / PLACED_FRACTION
        assert 0.3 < PLACED_FRACTION <= 0.9


class TestCapacity:
    def test_capacity_does_not_shrink_to_zero(self):
        """The granted service falls with the admitted demand and is zero after a
        restart of all routers. If the capacity followed it, every call would be refused
        for good.
        """
        engines, granted_units = EngineCapacity(tokens_per_s=TOKENS_PER_S), 0.0
        for _ in range(50):
            granted_units = 0.1 * engines.capacity(granted_units, 4.0)
        assert engines.capacity(granted_units, 4.0) >= 4.0 * TOKENS_PER_S

    def test_lost_engines_reduce_the_capacity_at_once(self):
        before = EngineCapacity(tokens_per_s=TOKENS_PER_S).capacity(0.0, 4.0)
        after = EngineCapacity(tokens_per_s=TOKENS_PER_S / 2).capacity(0.0, 4.0)
        assert after == before / 2

    def test_mostly_cached_prompts_increase_the_capacity(self):
        """If prompts share most of their tokens, engines can serve several times the
        tokens that they read.
        """
        rows = [EngineCapacity(tokens_per_s=TOKENS_PER_S) for _ in range(2)]
        for engines, read in zip(rows, (9_000, 1_000), strict=True):
            for _ in range(300):
                engines.note_sent(read, 10_000.0)
        assert rows[1].capacity(0.0, 4.0) > 5 * rows[0].capacity(0.0, 4.0)


class TestEntitledFraction:
    def test_shares_of_workspaces_are_equal(self):
        book = ShareBook(window_s=4.0)
        for name, asked in (("most", 9_000), ("more", 3_000), ("small", 500)):
            book.note_asked(name, asked, 10.0)
        parts = {
            name: book.entitled_fraction(name, 2_500.0, 10.0)
            for name in ("most", "more", "small")
        }
        assert parts == pytest.approx({"most": 1 / 9, "more": 1 / 3, "small": 2.0})

    def test_a_share_below_two_calls_is_not_rounded_down(self):
        """With many workspaces of few calls each, a share may be less than two calls.
        It must admit some calls of a workspace, not refuse all of them for good.
        """
        book = ShareBook(window_s=4.0)
        for number in range(100):
            book.note_asked(f"w{number}", 40_000.0, 10.0)
        part = book.entitled_fraction("w1", 100 * 15_000.0, 10.0)
        assert part == pytest.approx(15 / 40)

    def test_fraction_exceeds_one_when_the_whole_demand_fits(self):
        book = ShareBook()
        book.note_asked("only", 1_000.0, 10.0)
        assert book.entitled_fraction("only", 1_200.0, 10.0) > 1.0
        assert book.entitled_fraction("another", 1_200.0, 10.0) > 1.0

    def test_computes_the_level_once_for_many_calls(self, monkeypatch):
        """Every call needs its share. Computing it each time among thousands of
        workspaces would take the router longer than the call itself.
        """
        level_calls = []

        def level(asked, capacity):
            level_calls.append(capacity)
            return max_min_level(asked, capacity)

        monkeypatch.setattr(_shares, "max_min_level", level)
        book = ShareBook()
        book.note_asked("large", 4_000.0, 10.0)
        for _ in range(100):
            book.entitled_fraction("large", 1_000.0, 10.0)
        assert level_calls.count(1_000.0) == 1

    def test_stated_capacity_is_a_lower_bound(self):
        book = ShareBook(units_per_s=500.0)
        book.note_asked("large", 4_000.0, 10.0)
        assert book.entitled_fraction("large", 1.0, 10.0) == 0.5


class TestHashFraction:
    def test_repeated_attempts_have_the_same_hash_fraction(self):
        """A caller must not increase its chance of admission by retrying."""
        again = [fingerprint_of("coop", "h", "POST", b"/x", b"body") for _ in range(2)]
        assert hash_fraction_of(again[0]) == hash_fraction_of(again[1])

    def test_hash_fractions_are_evenly_distributed(self):
        fractions = [
            hash_fraction_of(fingerprint_of("coop", "h", "POST", b"/x", b"%d" % number))
            for number in range(4_000)
        ]
        tenths = Counter(int(10 * fraction) for fraction in fractions)
        assert sorted(tenths) == list(range(10))
        assert min(tenths.values()) > 300


class TestDispatcher:
    def test_refuses_surplus_calls_early(self):
        """A workspace asks for forty times the engines' capacity. Searching for an
        engine before each refusal would use up the router's CPU time.
        """
        dispatcher = make_dispatcher()
        receive_overload(dispatcher, 10.0)
        source = random.Random(1)
        calls = [evolve(CALL, hash_fraction=source.random()) for _ in range(400)]
        refused = [dispatcher.reject_early(call, 10.2) for call in calls]
        refusals = [row for row in refused if row is not None]
        assert len(refusals) > 300
        for row in refusals:
            assert isinstance(row, Refusal)
            assert row.reason is RefusalReason.ABOVE_SHARE
            assert 0 < row.retry_after_s <= 4.0

    def test_admits_a_small_workspace_during_overload_by_another(self):
        dispatcher = make_dispatcher()
        receive_overload(dispatcher, 10.0)
        small = evolve(CALL, workspace="small", hash_fraction=0.999)
        assert dispatcher.reject_early(small, 10.2) is None

    def test_a_stream_that_has_begun_is_not_refused_early(self):
        """Guard against streams that stop half-way for a share that let them begin."""
        dispatcher = make_dispatcher()
        receive_overload(dispatcher, 10.0)
        begun = evolve(CALL, hash_fraction=0.999, version="v1")
        assert dispatcher.reject_early(begun, 10.2) is None

    def test_routers_with_different_learned_speeds_decide_alike(self):
        """Each router learns engine speeds from its own calls. When one router admitted
        a twentieth of what the others did, a workspace whose calls all went to that
        router got almost nothing.
        """
        source = random.Random(2)
        calls = [evolve(CALL, hash_fraction=source.random()) for _ in range(300)]
        decided = []
        for speed in (0.4, 1.6):
            dispatcher = make_dispatcher()
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

    def test_refuses_no_call_while_most_of_the_demand_is_granted(self):
        dispatcher = make_dispatcher()
        counts = {"large": WorkspaceCount(15e6, 9e6), "small": WorkspaceCount(1e6, 9e5)}
        dispatcher.shares.receive_counts("router-b", counts, 10.0)
        assert dispatcher.reject_early(evolve(CALL, hash_fraction=1.0), 10.2) is None

    def test_a_past_burst_does_not_count_after_the_window(self):
        """Engines are idle soon after a burst, while its calls still count as demand.
        After the window they must not cause refusals.
        """
        dispatcher = make_dispatcher()
        dispatcher.shares.note_asked("large", 80e6, 10.0)
        dispatcher.shares.note_got("large", 1e6, 10.0)
        late = evolve(CALL, hash_fraction=0.99)
        assert dispatcher.reject_early(late, 10.2) is not None
        dispatcher.note_asked(late, 15.0)
        assert dispatcher.reject_early(late, 15.0) is None

    def test_refuses_for_lack_of_servers_when_there_is_no_engine(self):
        """Without an engine the capacity is zero and every call exceeds its share, but
        the refusal has to state that there is no server.
        """
        dispatcher = make_dispatcher(engines=0)
        dispatcher.note_asked(CALL, 10.0)
        assert dispatcher.reject_early(evolve(CALL, hash_fraction=1.0), 10.0) is None
        refusal = dispatcher.place(CALL, 10.0)
        assert refusal.reason is RefusalReason.NO_SERVERS

    def test_does_not_refuse_calls_to_plain_services_early(self):
        dispatcher = make_dispatcher()
        receive_overload(dispatcher, 10.0)
        plain = Demand("c-2", "ledger", "large", 0.2, hash_fraction=1.0)
        assert dispatcher.reject_early(plain, 10.0) is None


class TestCallers:
    def test_refuses_a_caller_above_its_share_at_once(self):
        """When such a call was held and tried first, its refusal came a quarter of a
        second later, and the router had no time for other calls.
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
