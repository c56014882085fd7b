"""Tests of placement and refusal by the dispatcher under overload and failures."""

import pytest
from attrs import evolve

from fulmarroad.types import RefusalReason
from fulmarroad_serving import (
    CallerLimits,
    Catalog,
    Demand,
    Dispatcher,
    EngineProfile,
    FleetBounds,
    Instance,
    Placement,
    Refusal,
    SendOutcome,
    Service,
)
from fulmarroad_serving._budgets import ColdBudget
from fulmarroad_serving._demands import ColdServers
from fulmarroad_serving._owners import OwnedServers

BOUNDS = FleetBounds(warmup_factor=1.5, warmup_tolerance=5.0)
CALL = Demand("c-1", "drafting", "coop", 0.4, "part", 6_000, 2_000, 50)


def make_dispatcher(count=3, **service):
    dispatcher = Dispatcher("router-a", "fes", BOUNDS, 1)
    rows = {
        "drafting": Service("drafting", engine=EngineProfile(32), **service),
        "ledger": Service("ledger"),
    }
    dispatcher.set_catalog(Catalog(1, services=rows, limits=CallerLimits()))
    for n in range(count):
        for name in rows:
            slots = 32 if name == "drafting" else 2
            instance = Instance(
                f"{name}-{n}", name, "127.0.0.1", 9000 + n, "fes", slots
            )
            dispatcher.registry.put(instance, 0.0)
    return dispatcher


def send(dispatcher, demand=CALL, now=100.0):
    dispatcher.note_asked(demand, now)
    placement = dispatcher.place(demand, now)
    if isinstance(placement, Refusal):
        return placement
    return dispatcher.send(demand, placement, now)


class TestSaturation:
    def test_refuses_part_of_a_burst_once_prompts_would_be_late(self):
        """A hundred long prompts arrive at once. If all were accepted, each would begin
        seconds late and every caller would give up.
        """
        dispatcher = make_dispatcher()
        results = [send(dispatcher, evolve(CALL, call_id=f"c-{n}")) for n in range(100)]
        refused = [row for row in results if isinstance(row, Refusal)]
        assert 10 < len(refused) < 95
        for row in refused:
            assert row.reason is RefusalReason.WAIT_TOO_LONG
            assert 0 < row.retry_after_s <= 4.0
        waits = [dispatcher.load(f"drafting-{n}").wait_s(32, 100.0) for n in range(3)]
        assert max(waits) < 2 * CALL.objective_s

    def test_capacity_is_free_again_after_prompts_begin(self):
        dispatcher = make_dispatcher()
        tickets = [send(dispatcher) for _ in range(100)]
        for ticket in tickets:
            if not isinstance(ticket, Refusal):
                dispatcher.begin(ticket, 100.2)
                dispatcher.end(ticket, None, 100.9)
        assert isinstance(dispatcher.place(CALL, 101.0), Placement)
        assert all(dispatcher.load(f"drafting-{n}").running == 0 for n in range(3))

    def test_places_a_prompt_too_long_for_its_objective(self):
        dispatcher = make_dispatcher()
        assert not isinstance(
            send(dispatcher, evolve(CALL, own_tokens=60_000)), Refusal
        )

    def test_plain_service_refuses_calls_that_would_wait_too_long(self):
        dispatcher = make_dispatcher()
        demand = Demand("c", "ledger", "coop", 0.2)
        results = [send(dispatcher, demand) for _ in range(40)]
        placed = [row for row in results if not isinstance(row, Refusal)]
        assert 6 <= len(placed) < 30

    def test_refuses_less_urgent_calls_first(self):
        dispatcher = make_dispatcher(1)
        results = []
        for n in range(60):
            urgent = send(dispatcher, evolve(CALL, call_id=f"u-{n}"))
            late = send(dispatcher, evolve(CALL, call_id=f"l-{n}", rank=3))
            results.append((urgent, late))
        urgent = sum(not isinstance(row, Refusal) for row, _ in results)
        late = sum(not isinstance(row, Refusal) for _, row in results)
        assert urgent > 2 * late


class TestShares:
    def test_failed_calls_do_not_count_as_granted(self):
        """A crashed server mostly loses prompts of the workspace that asks most. If
        they counted, it would be limited as the best served one although it got
        nothing.
        """
        dispatcher = make_dispatcher()
        ticket = send(dispatcher)
        assert dispatcher.shares.own_counts(100.1)["coop"].got == CALL.units
        dispatcher.end(ticket, SendOutcome.UNKNOWN, 100.2)
        assert dispatcher.shares.own_counts(100.3)["coop"].got == 0.0
        served = send(dispatcher)
        dispatcher.begin(served, 100.2)
        dispatcher.end(served, None, 100.3)
        assert dispatcher.shares.own_counts(100.3)["coop"].got == CALL.units


class TestLargePrompts:
    def test_reports_only_large_prompts_to_peers_at_once(self):
        """Six routers share five engines, and each occasionally sends a prompt of
        20,000 tokens among hundreds of small ones. A report for each call would be
        wasteful; without a report for the large one, its engine looks idle to others.
        """
        dispatcher, reports = make_dispatcher(), []
        dispatcher.on_large_prompt = lambda: reports.append(1)
        for n in range(20):
            send(dispatcher, evolve(CALL, own_tokens=600, part=f"p-{n}"))
        assert not reports
        send(dispatcher, evolve(CALL, own_tokens=20_000))
        assert reports == [1]


class TestUnavailableServers:
    def test_refuses_with_a_retry_delay_when_no_server_is_known(self):
        refusal = make_dispatcher(0).place(CALL, 100.0)
        assert refusal.reason is RefusalReason.NO_SERVERS
        assert refusal.retry_after_s > 0

    def test_avoids_a_server_that_never_answers(self):
        """One of three servers never answers. It has the fewest running calls, so every
        call would go there if overdue answers were ignored.
        """
        dispatcher = make_dispatcher()
        for row in dispatcher.registry.rows():
            # With many slots, the number of running calls adds almost no wait.
            dispatcher.registry.put(evolve(row.instance, slots=500), 0.0)
        demand = Demand("c", "ledger", "coop", 0.5)
        dispatcher.load("ledger-0").send("ledger-0", 0, 99.0, 0.05)
        for server in ("ledger-1", "ledger-2"):
            for _ in range(20):
                dispatcher.load(server).send(server, 0, 99.9, 0.05)
        chosen = {dispatcher.place(demand, 100.0).choice.server for _ in range(40)}
        assert chosen == {"ledger-1", "ledger-2"}

    @pytest.mark.parametrize(
        "outcome", [SendOutcome.UNKNOWN, SendOutcome.FAILED, SendOutcome.NOT_RUN]
    )
    def test_a_failing_server_gets_fewer_calls(self, outcome):
        dispatcher = make_dispatcher()
        demand = Demand("c", "ledger", "coop", 0.5)
        counts = {}
        for n in range(90):
            now = 100.0 + n * 0.02
            ticket = send(dispatcher, demand, now)
            server = ticket.charge.server
            counts[server] = counts.get(server, 0) + 1
            failed = server == "ledger-0"
            if not failed:
                dispatcher.begin(ticket, now)
            dispatcher.end(ticket, outcome if failed else None, now)
        assert counts["ledger-0"] < 0.2 * sum(counts.values())

    def test_cold_servers_get_no_more_than_their_limit(self):
        dispatcher = make_dispatcher(warmup_rate=12.0)
        for n in (0, 1):
            dispatcher.registry.mark_cold(f"drafting-{n}", 3.0, 100.0)
        sent = {}
        for n in range(30):
            ticket = send(dispatcher, evolve(CALL, call_id=f"c-{n}", part=f"p-{n}"))
            if not isinstance(ticket, Refusal):
                server = ticket.charge.server
                sent[server] = sent.get(server, 0) + 1
        share = int(0.9 * 23 / 6)
        assert sent.get("drafting-0", 0) <= share
        assert sent.get("drafting-1", 0) <= share
        assert sent["drafting-2"] >= 1

    def test_two_calls_with_the_same_free_share_are_not_both_sent(self):
        """Guard against a cold server that gets a call too many from each router: both
        were placed while the router's share was free, and waited for a connection."""
        dispatcher = make_dispatcher(count=1, warmup_rate=12.0)
        dispatcher.registry.mark_cold("drafting-0", 3.0, 100.0)
        first, second = (dispatcher.place(CALL, 100.0) for _ in range(2))
        assert dispatcher.may_send(CALL, first, 100.0)
        dispatcher.send(CALL, first, 100.0)
        assert not dispatcher.may_send(CALL, second, 100.0)

    def test_an_owner_to_whom_a_server_is_warm_deals_out_no_cold_calls(self):
        """Guard against a server that restarted and gets an owner's part in addition to
        all calls of routers which don't know it yet."""
        dispatcher = make_dispatcher(count=1, warmup_rate=12.0)
        rows = dispatcher.registry.usable("drafting")
        owned = OwnedServers(rows, frozenset({"drafting-0"}))
        asker = ColdServers(closed=("drafting-0",))
        refused = dispatcher.place(CALL, 100.0, owned=owned, asker=asker)
        assert isinstance(refused, Refusal)
        dispatcher.registry.mark_cold("drafting-0", 3.0, 100.0)
        placed = dispatcher.place(CALL, 100.0, owned=owned, asker=asker)
        assert placed.cold_budget is ColdBudget.OWNER
