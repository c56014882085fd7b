"""Placement and refusal put together, under the loads that they answer."""

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

BOUNDS = FleetBounds(warmup_factor=1.5, warmup_tolerance=5.0)
CALL = Demand("c-1", "drafting", "coop", 0.4, "part", 6_000, 2_000, 50)


def make(count=3, **service):
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
    def test_a_burst_is_refused_once_prompts_would_come_late(self):
        """A hundred long prompts come within a moment. Taken all, every one of them
        would begin seconds late and callers would give up on all.
        """
        dispatcher = make()
        results = [send(dispatcher, evolve(CALL, call_id=f"c-{n}")) for n in range(100)]
        refused = [row for row in results if isinstance(row, Refusal)]
        assert 10 < len(refused) < 95
        for row in refused:
            assert row.reason is RefusalReason.WAIT_TOO_LONG
            assert 0 < row.retry_after_s <= 4.0
        waits = [dispatcher.load(f"drafting-{n}").wait_s(32, 100.0) for n in range(3)]
        assert max(waits) < 2 * CALL.objective_s

    def test_places_are_free_again_as_prompts_begin(self):
        dispatcher = make()
        tickets = [send(dispatcher) for _ in range(100)]
        for ticket in tickets:
            if not isinstance(ticket, Refusal):
                dispatcher.begin(ticket, 100.2)
                dispatcher.end(ticket, None, 100.9)
        assert isinstance(dispatcher.place(CALL, 101.0), Placement)
        assert all(dispatcher.load(f"drafting-{n}").running == 0 for n in range(3))

    def test_a_prompt_too_long_to_be_on_time_is_not_refused_for_ever(self):
        dispatcher = make()
        assert not isinstance(
            send(dispatcher, evolve(CALL, own_tokens=60_000)), Refusal
        )

    def test_a_plain_service_with_few_slots_refuses_what_would_wait(self):
        dispatcher = make()
        demand = Demand("c", "ledger", "coop", 0.2)
        results = [send(dispatcher, demand) for _ in range(40)]
        taken = [row for row in results if not isinstance(row, Refusal)]
        assert 6 <= len(taken) < 30

    def test_the_less_urgent_are_turned_away_first(self):
        dispatcher = make(1)
        results = []
        for n in range(60):
            urgent = send(dispatcher, evolve(CALL, call_id=f"u-{n}"))
            late = send(dispatcher, evolve(CALL, call_id=f"l-{n}", rank=3))
            results.append((urgent, late))
        urgent = sum(not isinstance(row, Refusal) for row, _ in results)
        late = sum(not isinstance(row, Refusal) for _, row in results)
        assert urgent > 2 * late


class TestShares:
    def test_calls_that_servers_lost_are_not_counted_as_got(self):
        """Servers crash under the prompts of the workspace that asks most. If those
        count, it is held back as the best served one although it got nothing.
        """
        dispatcher = make()
        ticket = send(dispatcher)
        assert dispatcher.shares.own_counts(100.1)["coop"].got == CALL.units
        dispatcher.end(ticket, SendOutcome.UNKNOWN, 100.2)
        assert dispatcher.shares.own_counts(100.3)["coop"].got == 0.0
        served = send(dispatcher)
        dispatcher.begin(served, 100.2)
        dispatcher.end(served, None, 100.3)
        assert dispatcher.shares.own_counts(100.3)["coop"].got == CALL.units


class TestLongAmongShort:
    def test_peers_hear_of_a_large_prompt_and_not_of_each_small_one(self):
        """Six routers share five engines. Each sends a prompt of 20,000 tokens now and
        then among hundreds of small ones; a report for each call would be noise, none
        leaves the engine looking idle to the others.
        """
        dispatcher, told = make(), []
        dispatcher.on_large_prompt = lambda: told.append(1)
        for n in range(20):
            send(dispatcher, evolve(CALL, own_tokens=600, part=f"p-{n}"))
        assert not told
        send(dispatcher, evolve(CALL, own_tokens=20_000))
        assert told == [1]


class TestServersOut:
    def test_without_any_the_refusal_is_at_once_and_says_when_to_come_back(self):
        refusal = make(0).place(CALL, 100.0)
        assert refusal.reason is RefusalReason.NO_SERVERS
        assert refusal.retry_after_s > 0

    def test_a_server_that_swallows_a_call_is_passed_over(self):
        """One of three servers answers nothing. It has the least running of all, and
        without looking at what is overdue every call would go there.
        """
        dispatcher = make()
        for row in dispatcher.registry.rows():
            # With many slots a growing number of calls alone tells nothing.
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
    def test_a_server_that_fails_its_calls_gets_fewer(self, outcome):
        dispatcher = make()
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

    def test_a_cold_server_gets_its_share_and_the_rest_goes_elsewhere(self):
        dispatcher = make(warmup_rate=12.0)
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
