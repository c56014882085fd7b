"""Tests of the moments at which refused callers are told to return."""

import logging
import math
import random
from collections import Counter
from heapq import heappop, heappush

import anyio
import pytest
from attrs import evolve
from hypothesis import given, settings
from hypothesis import strategies as st
from owner_bed import CALL, OwnerBed

from fulmarroad.types import RefusalReason
from fulmarroad_serving import (
    Catalog,
    FeatureMode,
    FeatureSettings,
    Placement,
    Refusal,
)
from fulmarroad_serving._metrics import Metrics
from fulmarroad_serving._outcome_log import OutcomeLog
from fulmarroad_serving._returns import Attempt
from fulmarroad_serving._shares import ShareUse
from fulmarroad_serving._workspace_outcomes import WorkspaceOutcomes
from fulmarroad_serving.admission import (
    Claim,
    OwnerBacklog,
    ReservationBook,
    ScheduledRetries,
    TurnForecast,
)
from fulmarroad_serving.admission._reservations import (
    CAPACITY_FRACTION,
    EARLY_S,
    LATE_S,
    MAX_RESERVATIONS,
    Refused,
)

RATE = 30_000.0
FULL = Refusal(RefusalReason.WAIT_TOO_LONG, 0.5)
ABOVE = evolve(FULL, use=ShareUse(used_fraction=1.5))
BACKLOG = OwnerBacklog(0.0, RATE)


def refused(key, workspace="coop", now=0.0, units=1_000.0, **more):
    return Refused(key, "drafting", workspace, units, now, now + 3.0, RATE, **more)


def call(key, workspace="coop"):
    return evolve(CALL, hash_fraction=key, workspace=workspace)


class TestForecast:
    def test_the_turn_follows_from_what_waits_and_what_begins(self):
        forecast = TurnForecast()
        assert forecast.turn_at(9_000, 1_000, 0.0, 5.0) == math.inf
        for n in range(100):
            forecast.note_begun(1_000.0, n / 10)
        assert forecast.rate(10.0, 0.0) == pytest.approx(10_000, rel=0.1)
        assert forecast.turn_at(9_000, 1_000, 0.0, 10.0) == pytest.approx(11, rel=0.02)
        assert forecast.rate(40.0, 2_000.0) == 2_000.0


class TestBook:
    def test_returns_are_spread_over_a_third_of_the_capacity(self):
        """Guard against returns that are a surge of their own."""
        book = ReservationBook()
        moments = [book.reserve(refused(float(n), f"w{n}"), 0.0) for n in range(40)]
        given_out = [at for at in moments if at is not None]
        gaps = [b - a for a, b in zip(given_out, given_out[1:], strict=False)]
        assert min(gaps) == pytest.approx(1_000 / (CAPACITY_FRACTION * RATE))
        assert max(given_out) <= 3.0
        assert len(given_out) == pytest.approx(30, abs=1)

    @pytest.mark.parametrize(
        ("offset_s", "claim"),
        [
            (-EARLY_S - 0.01, Claim.EARLY),
            (-EARLY_S + 0.01, Claim.IN_WINDOW),
            (LATE_S - 0.01, Claim.IN_WINDOW),
            (LATE_S + 0.01, Claim.NONE),
        ],
    )
    def test_a_return_counts_in_its_window_once(self, offset_s, claim):
        """Guard against first places for callers that return again and again."""
        book = ReservationBook()
        at = book.reserve(evolve(refused(1.0), turn_at=1.0), 0.0)
        assert book.claim(1.0, at + offset_s)[0] is claim
        if claim is Claim.IN_WINDOW:
            assert book.claim(1.0, at + offset_s)[0] is Claim.NONE
            assert len(book) == 0

    def test_a_caller_that_never_returns_leaves_nothing_behind(self):
        """Guard against capacity that stays reserved for nobody."""
        book = ReservationBook()
        at = book.reserve(refused(1.0), 0.0)
        assert not book.drop_missed(at + LATE_S)
        assert [row.key for row in book.drop_missed(at + LATE_S + 0.01)] == [1.0]
        assert len(book) == 0
        assert not book._units

    def test_reservations_are_bounded(self):
        book = ReservationBook()
        for n in range(MAX_RESERVATIONS + 10):
            book.reserve(refused(float(n), f"w{n}", units=0.1), 0.0)
        assert len(book) == MAX_RESERVATIONS

    def test_workspaces_beyond_their_share_give_way(self):
        """Guard against a surge of one workspace that takes all moments."""
        book = ReservationBook()
        greedy = [
            book.reserve(refused(float(n), "greedy", beyond_share=True), 0.0)
            for n in range(20)
        ]
        at = book.reserve(refused(100.0, "modest"), 0.0)
        assert at == greedy[0] == EARLY_S
        assert book.moment_of(0.0) is None
        assert book.moment_of(100.0) == at
        behind = book.reserve(refused(101.0, "greedy", beyond_share=True), 0.0)
        assert behind > max(greedy)

    @given(
        st.lists(
            st.tuples(
                st.integers(0, 40),
                st.integers(0, 4),
                st.integers(1, 20_000),
                st.booleans(),
                st.floats(0, 0.5),
                st.booleans(),
            ),
            max_size=120,
        )
    )
    @settings(max_examples=80, deadline=None)
    def test_any_series_of_refusals_and_returns_keeps_the_bounds(self, steps):
        """Guard against slots that overlap and counts that drift."""
        book, now = ReservationBook(), 0.0
        for key, workspace, units, beyond, pause_s, returns in steps:
            now += pause_s
            book.drop_missed(now)
            if returns:
                book.claim(float(key), now)
            row = refused(float(key), f"w{workspace}", now, units, beyond_share=beyond)
            at = book.reserve(row, now)
            assert at is None or now + EARLY_S <= at <= row.latest_at
            rows = sorted(book._rows.values(), key=lambda row: row.at)
            for one, other in zip(rows, rows[1:], strict=False):
                assert one.at + one.slot_s <= other.at + 1e-9
            sums = Counter()
            for row in rows:
                sums[row.workspace] += row.units
            assert dict(book._units) == sums


class TestSurge:
    def test_returns_fit_the_capacity_and_no_workspace_is_left_out(self):
        """A surge of twice the capacity, in which one workspace asks ten times as much
        as each of the five others. Returns must fit a third of the capacity, and each
        workspace must get moments.
        """
        retries, source = ScheduledRetries(), random.Random(3)
        returns, claimed, scheduled, asked = [], [], Counter(), Counter()
        names = ["greedy"] * 10 + [f"w{n}" for n in range(5)]
        now = begun_at = 0.0
        while now < 10.0:
            now += source.expovariate(2.0 * RATE / CALL.units)
            while begun_at < now:
                retries.note_begun(CALL, begun_at)
                begun_at += CALL.units / RATE
            while returns and returns[0][0] <= now:
                at, key = heappop(returns)
                if retries.claim(Attempt(call(key), 0.0), call(key), at).reserved:
                    claimed.append(at)
            demand = call(source.random(), source.choice(names))
            wait_s = retries.schedule(demand, FULL, 9.0, BACKLOG, now)
            asked[demand.workspace] += 1
            if wait_s is not None:
                scheduled[demand.workspace] += 1
                heappush(returns, (now + wait_s, demand.hash_fraction))
        assert len(claimed) >= 5
        for second in range(1, 10):
            units = sum(CALL.units for at in claimed if second <= at < second + 1)
            assert units <= 1.1 * CAPACITY_FRACTION * RATE + CALL.units
        parts = {name: scheduled[name] / asked[name] for name in asked}
        assert min(parts.values()) == parts["greedy"] > 0
        assert len(retries._book) <= MAX_RESERVATIONS

    def test_no_moment_beyond_a_third_of_the_remaining_time(self):
        """Guard against a Retry-After that its caller doesn't honour."""
        retries = ScheduledRetries()
        long = OwnerBacklog(2.0 * RATE, RATE)
        assert retries.schedule(call(1.0), FULL, 5.0, long, 0.0) is None
        assert 2.0 < retries.schedule(call(1.0), FULL, 9.0, long, 0.0) <= 3.0
        assert retries.schedule(call(2.0), FULL, 0.0, BACKLOG, 0.0) is None

    def test_an_early_return_keeps_its_moment_and_no_other_is_given(self):
        """Guard against a caller that returns all the time and takes more moments."""
        retries = ScheduledRetries()
        demand, attempt = call(1.0), Attempt(call(1.0), 0.0, late_anyway=True)
        backlog = OwnerBacklog(RATE, RATE)
        wait_s = retries.schedule(demand, FULL, 9.0, backlog, 0.0)
        assert retries.claim(attempt, demand, 0.1) == attempt
        again_s = retries.schedule(demand, FULL, 8.9, backlog, 0.1, is_return=True)
        assert again_s + 0.1 == pytest.approx(wait_s)
        assert retries.claim(attempt, demand, wait_s).reserved
        args = (demand, FULL, 7.0, backlog, wait_s)
        assert retries.schedule(*args, is_return=True) is None
        ends = retries.outcomes.pop_refusals(2.0)[0].ends
        assert ends == {"scheduled": 1, "early": 1, "claimed": 1}


class FullBed(OwnerBed):
    """Two routers; the owner's engines are full until `free` is called."""

    def __init__(self, mode=FeatureMode.ON):
        super().__init__()
        self.b.settings._features._settings = FeatureSettings(
            {"scheduled_retries": mode}
        )
        self.tickets = []

    async def ask(self, key=0.5, *, may_wait=False):
        return await self.client.request(
            "b", call(key), (), may_wait=may_wait, remaining_s=9.0
        )

    async def fill(self):
        while isinstance(placed := await self.ask(), Placement):
            self.tickets.append(self.a.send(CALL, placed, self.now))
        return placed

    def free(self):
        for ticket in self.tickets:
            self.a.end(ticket, None, self.now)
        self.flush()


class TestOwner:
    def check(self, test, mode=FeatureMode.ON):
        async def started():
            await test(FullBed(mode))

        anyio.run(started)

    def test_a_call_that_returns_as_told_may_wait_though_it_is_late(self):
        async def test(bed):
            refusal = await bed.fill()
            assert EARLY_S <= refusal.retry_after_s <= 3.0
            bed.now += refusal.retry_after_s + 0.5  # its first objective has passed
            request = bed.client.new_request("b", call(0.5), (), may_wait=True)
            for _ in range(2):
                bed.granter.receive_request(request, bed.now)
            once, twice = [
                row[2] for row in sorted(bed.granter._due, key=lambda row: row[1])
            ]
            assert once.attempt.reserved
            assert once.may_wait
            assert once.attempt.late_anyway
            assert not twice.attempt.reserved

        self.check(test)

    def test_a_lost_reservation_makes_an_ordinary_call(self):
        """Guard against a failure when another router has become the owner."""

        async def test(bed):
            refusal = await bed.fill()
            bed.free()
            bed.now += refusal.retry_after_s
            bed.granter.retries = ScheduledRetries()
            assert isinstance(await bed.ask(), Placement)

        self.check(test)

    def test_other_refusals_and_unknown_times_reserve_nothing(self):
        """Guard against reservations for callers that can't use them: routers of the
        previous release don't say how much time is left.
        """

        async def test(bed):
            await bed.fill()
            before = len(bed.granter.retries._book)
            await bed.place(call(0.7), may_wait=False)
            assert len(bed.granter.retries._book) == before

        self.check(test)

    def test_switched_off_nothing_is_reserved(self):
        async def test(bed):
            refusal = await bed.fill()
            assert 0.3 <= refusal.retry_after_s <= 4.0
            assert len(bed.granter.retries._book) == 0

        self.check(test, FeatureMode.OFF)


class TestLog:
    def test_outcomes_are_logged_by_workspace(self, caplog):
        caplog.set_level(logging.INFO)
        bed, seen = OwnerBed(), []
        retries = ScheduledRetries(on_outcome=seen.append)
        log = OutcomeLog(
            bed.b,
            None,
            WorkspaceOutcomes(),
            bed.client,
            lambda: Catalog(1),
            Metrics(),
            retries,
        )
        log.log(1.0)
        retries.schedule(call(1.0), FULL, 9.0, BACKLOG, 1.0)
        log.log(5.0)
        line = next(row for row in caplog.records if "returns" in row.message)
        assert line.scheduled == line.missed == 1
        assert seen == ["scheduled", "missed"]
