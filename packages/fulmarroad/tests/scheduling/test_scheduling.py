"""Loads and failures through real schedulers, queues and books, in virtual time."""

from __future__ import annotations

import pytest
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
    run_state_machine_as_test,
)

from fulmarroad.scheduling import gap_bound

COST = 60.0


def bound(pool, *, largest=COST, interval_s=0.25, error=0.0, weight=1.0):
    """Return the bound for a pool of the model, whose rate is 100 a unit."""
    units = pool.units * sum(len(rows) for rows in pool.shards.values())
    return gap_bound(
        units=units,
        shards=len(pool.shards),
        rate=units * 100.0,
        interval_s=interval_s,
        delay_s=0.05,
        largest_cost=largest,
        estimate_error=error,
        min_weight=weight,
    )


def flood(pool, workspace, count, cost=COST, **more):
    return [pool.submit(workspace, cost, **more) for _ in range(count)]


def once(pool):
    """Tell whether no request ran twice and no unit carried two."""
    requests = [r for router in pool.routers.values() for r in router.requests.values()]
    return pool.overload == 0 and all(row.starts <= 1 for row in requests)


class TestLoads:
    def test_a_burst_is_served_without_harm_to_the_steady(self, virtual_pool):
        """Three hundred requests of one workspace arrive at once, beside a workspace
        that sends one after the other."""
        pool = virtual_pool(shards=2)
        flood(pool, "burst", 300, at=2.0)
        for number in range(80):
            pool.submit("steady", COST, at=1.0 + 0.1 * number)
        pool.run(10.0)
        assert len(pool.waits("steady")) == 80
        assert pool.waits("steady")[-1] <= 2 * COST / 100

    @pytest.mark.parametrize(("policy", "share"), [("local", 0.25), ("fifo", 0.1)])
    def test_few_heavy_workspaces_crowd_nobody_out(self, virtual_pool, policy, share):
        """One workspace floods every router; two small ones come in through one
        router each. Without the fleet's order they get what is left."""
        gaps = {}
        for name in ("fleet", policy):
            pool = virtual_pool(shards=2, policy=name)
            flood(pool, "large", 1200, at=0.5)
            flood(pool, "small", 200, at=0.5, router="r1", shard=0)
            flood(pool, "other", 200, at=0.5, router="r2", shard=1)
            pool.run(12.0)
            gaps[name] = pool.gap("large", "small")
        assert gaps["fleet"] <= share * gaps[policy]
        assert gaps["fleet"] <= bound(pool)

    def test_a_slow_server_slows_its_own_requests_only(self, virtual_pool):
        """One backend server of four drops to a tenth of its speed. Fairness counts
        service and not requests, so nobody loses by where it was sent."""
        pool = virtual_pool(shards=1, servers=4)
        slow = next(iter(pool.shards.values()))[0].name
        pool.at(1.0, lambda: pool.speed.__setitem__(slow, 10.0))
        flood(pool, "a", 300, at=0.5)
        flood(pool, "b", 300, at=0.5)
        pool.run(12.0)
        assert pool.gap("a", "b") <= bound(pool)
        assert pool.served("a") + pool.served("b") >= 12 * 100 * 11.0 * 0.95

    def test_short_requests_pass_long_ones(self, virtual_pool):
        """One workspace asks for answers of a hundred times the length. It gets its
        share, and the others wait for a free unit, not for its whole line."""
        pool = virtual_pool(shards=1)
        flood(pool, "long", 40, 600.0, at=0.5)
        for number in range(60):
            pool.submit("short", 6.0, at=7.0 + 0.05 * number)
        pool.run(14.0)
        assert len(pool.waits("short")) == 60
        assert pool.waits("short")[57] <= 6.0

    def test_a_huge_request_behind_many_small_ones_is_served(self, virtual_pool):
        pool = virtual_pool(shards=1)
        flood(pool, "small", 600, at=0.5)
        (huge,) = flood(pool, "huge", 1, 2000.0, at=1.0)
        pool.run(4.0)
        assert huge.waited <= 2 * COST / 100

    def test_saturation_leaves_no_unit_idle(self, virtual_pool):
        """All load arrives at one shard of three, twice what the pool can do."""
        pool = virtual_pool(shards=3)
        for number in range(700):
            pool.submit("ab"[number % 2], COST, at=0.5, shard=0)
        pool.run(10.0)
        assert pool.served("a") + pool.served("b") >= 0.95 * 2400 * 9.5
        assert pool.gap("a", "b") <= bound(pool)
        assert once(pool)

    def test_weights_hold_across_shards(self, virtual_pool):
        pool = virtual_pool(shards=2)
        flood(pool, "a", 900, at=0.5, weight=3.0)
        flood(pool, "b", 500, at=0.5)
        pool.run(12.0)
        assert pool.gap("a", "b") <= bound(pool)
        assert pool.served("a") == pytest.approx(pool.served("b"), abs=bound(pool))


class TestShards:
    def test_workspaces_at_different_shards_get_the_same(self, virtual_pool):
        """One workspace is alone at its shard, three share the other. Each shard is
        fair by itself, and yet the lone one would get three times as much."""
        pool = virtual_pool(shards=2)
        flood(pool, "alone", 400, 50.0, at=0.5, shard=0)
        for name in ("x", "y", "z"):
            flood(pool, name, 300, 50.0, at=0.5, shard=1)
        pool.run(15.0)
        for name in ("x", "y", "z"):
            assert pool.gap("alone", name) <= bound(pool, largest=50.0) / 2
        assert once(pool)

    def test_a_demand_that_one_shard_cannot_serve_goes_elsewhere(self, virtual_pool):
        pool = virtual_pool(shards=2, servers=1)
        only = next(iter(pool.shards.values()))[0].name
        picky = pool.submit("a", COST, at=0.5, shard=0, avoid=(only,))
        pool.run(3.0)
        assert picky.state == "done"
        assert picky.moves == 1


class TestSchedulerLost:
    def test_its_successor_is_rebuilt_from_the_routers(self, virtual_pool):
        """A scheduler's VM is replaced twice under full load. Callers notice nothing:
        running answers go on, and waiting requests keep their place."""
        pool = virtual_pool(shards=2)
        flood(pool, "a", 150, at=0.5)
        flood(pool, "b", 150, at=0.5)
        shard = next(iter(pool.shards))
        pool.at(2.0, lambda: pool.begin(shard))
        pool.at(4.0, lambda: pool.begin(shard))
        pool.finish(40.0)
        assert len(pool.done) == 300
        assert once(pool)
        assert pool.gap("a", "b") <= bound(pool) + 2 * COST * 16

    def test_one_that_misses_a_router_holds_its_share_back(self, virtual_pool):
        """A scheduler is replaced while one router of three can't reach the new one,
        though its requests go on. Until it is heard its even share of units stays
        unused, so that servers don't carry more than they may."""
        pool = virtual_pool(shards=1, servers=1, units=12)
        shard = next(iter(pool.shards))
        for _ in range(40):
            for name in pool.routers:
                pool.submit(name, 400.0, at=0.5, router=name)
        pool.run(3.0)
        pool.begin(shard)
        pool.lose_link("r1", shard)
        pool.at(3.01, lambda: pool.cancel("r2"))
        pool.run(3.019)
        scheduler = pool.schedulers[shard]
        unheard = [row for row in pool.open if row.router == "r1"]
        running = sum(row.state == "running" for row in unheard)
        assert running >= 3
        assert scheduler.running + running <= 12
        assert not scheduler.settled
        pool.finish(90.0)
        assert scheduler.settled

    def test_first_come_stays_first(self, virtual_pool):
        pool = virtual_pool(shards=1, servers=1, units=1)
        rows = [pool.submit("a", COST, at=0.5 + n / 100) for n in range(10)]
        pool.at(1.5, lambda: pool.begin(next(iter(pool.shards))))
        pool.finish(20.0)
        ends = [row.ended for row in rows]
        assert ends == sorted(ends)

    @pytest.mark.parametrize("seconds", [0.2, 3.0])
    def test_a_paused_one_that_wakes_late_starts_nothing(self, virtual_pool, seconds):
        """A scheduler sleeps and is replaced. It wakes, reads of ended requests and
        grants their units; no router starts any of it. After three seconds not even
        units are lent to it any more."""
        pool = virtual_pool(shards=1)
        shard = next(iter(pool.shards))
        for _ in range(100):
            pool.submit("a", 30.0, at=0.5)
            pool.submit("b", 41.0, at=0.5)
        pool.at(1.0, lambda: pool.pause(shard, seconds))
        pool.at(1.0 + 0.9 * seconds, lambda: pool.begin(shard))
        pool.run(1.01 + seconds)
        assert (pool.late_grants > 0) == (seconds < 1.0)
        pool.finish(40.0)
        assert len(pool.done) == 200
        assert once(pool)

    def test_a_grant_that_a_broken_stream_crossed_is_not_started(self, virtual_pool):
        """A scheduler sleeps. Meanwhile requests end, and then a router's stream
        breaks and comes back. On waking it grants the freed units to that router, and
        reads only then its hello, which ends those leases."""
        pool = virtual_pool(shards=1, servers=1, units=2)
        shard = next(iter(pool.shards))
        flood(pool, "a", 2, 30.0, at=0.5, router="r2")
        flood(pool, "b", 6, 200.0, at=0.55, router="r1")
        pool.at(0.6, lambda: pool.pause(shard, 0.5))
        pool.at(0.9, lambda: pool.lose_link("r1", shard))
        pool.run(1.2)
        assert pool.late_grants == 2
        pool.finish(30.0)
        assert len(pool.done) == 8
        assert once(pool)

    def test_one_that_sleeps_and_is_still_followed_goes_on(self, virtual_pool):
        pool = virtual_pool(shards=1)
        flood(pool, "a", 100, at=0.5)
        pool.at(1.0, lambda: pool.pause(next(iter(pool.shards)), 1.9))
        pool.finish(40.0)
        assert len(pool.done) == 100
        assert once(pool)


class TestCut:
    def sides(self, pool):
        return lambda source, target: source.data_centre != target.data_centre

    def test_the_gap_closes_after_a_cut_and_nobody_starves(self, virtual_pool):
        """Two data centres lose each other for ten seconds. `both` is served on each
        side, `left` on one, so `both` is far ahead when they hear each other again.
        It must not be shut out until `left` has caught up."""
        pool = virtual_pool(shards=2, centres=("dc1", "dc2"))
        flood(pool, "both", 700, at=0.5)
        flood(pool, "left", 700, at=0.5, shard=0)
        pool.run(2.0)
        pool.cut = self.sides(pool)
        pool.run(12.0)
        ahead = pool.served("both") - pool.served("left")
        assert ahead > 3000.0
        pool.cut = lambda source, target: False
        pool.run(14.0)
        start = {name: pool.served(name) for name in ("both", "left")}
        pool.run(18.0)
        gained = {name: pool.served(name) - start[name] for name in start}
        assert gained["both"] >= 0.25 * 1600 * 4.0
        assert gained["left"] >= 1.2 * gained["both"]

    def test_a_data_centre_leaves_during_a_cut(self, virtual_pool):
        """Operators take a data centre out while it can't be heard. Its schedulers
        have nobody to hand demands to until the cut heals; then they do, and no
        request is lost or run twice."""
        pool = virtual_pool(shards=2, centres=("dc1", "dc2"))
        flood(pool, "a", 200, at=0.5)
        pool.run(1.0)
        pool.cut = self.sides(pool)
        leaving = list(pool.shards)[1]
        pool.run(5.0)
        pool.take_out(leaving)
        pool.run(8.0)
        assert pool.running_at(leaving) == 0
        left = pool.schedulers[leaving].waiting
        pool.cut = lambda source, target: False
        pool.run(11.0)
        assert left > 0
        assert pool.schedulers[leaving].waiting == 0
        pool.finish(60.0)
        assert len(pool.done) == 200
        assert once(pool)


class TestAnyOrder:
    """Reports are lost, doubled and reordered, links break, schedulers are replaced
    or sleep, in any order: no request runs twice or is lost, no unit carries two."""

    def test_nothing_is_doubled_or_lost(self, virtual_pool):
        class Faults(RuleBasedStateMachine):
            @initialize(seed=st.integers(0, 1000))
            def build(self, seed):
                self.pool = virtual_pool(shards=2, seed=seed)
                self.pool.loss = 0.3
                self.pool.duplicates = 0.3
                self.pool.jitter = 0.4
                self.sent = 0

            @rule(
                name=st.sampled_from("abc"),
                count=st.integers(1, 30),
                shard=st.integers(0, 1),
                cost=st.sampled_from([5.0, 30.0, 90.0]),
            )
            def arrive(self, name, count, shard, cost):
                self.sent += count
                flood(self.pool, name, count, cost, shard=shard)

            @rule(seconds=st.sampled_from([0.003, 0.05, 0.4, 1.5]))
            def wait(self, seconds):
                self.pool.run(self.pool.now + seconds)

            @rule(shard=st.integers(0, 1))
            def replace(self, shard):
                self.wait(0.03)  # links that broke are back: every router is heard
                self.pool.begin(list(self.pool.shards)[shard])
                self.wait(0.03)

            @rule(shard=st.integers(0, 1), seconds=st.sampled_from([0.3, 2.5]))
            def pause(self, shard, seconds):
                self.pool.pause(list(self.pool.shards)[shard], seconds)

            @rule(shard=st.integers(0, 1), router=st.sampled_from(["r1", "r2"]))
            def break_link(self, shard, router):
                self.pool.lose_link(router, list(self.pool.shards)[shard])

            @invariant()
            def nothing_runs_twice(self):
                if hasattr(self, "pool"):
                    assert once(self.pool)

            def teardown(self):
                if hasattr(self, "pool"):
                    self.pool.finish(self.pool.now + 200.0)
                    assert len(self.pool.done) == self.sent
                    assert once(self.pool)
                    self.pool.run(self.pool.now + 2.0)
                    held = [row.running for row in self.pool.schedulers.values()]
                    assert held == [0, 0]

        run_state_machine_as_test(
            Faults,
            settings=settings(
                derandomize=True,
                deadline=None,
                max_examples=30,
                stateful_step_count=25,
                phases=[Phase.generate],  # shrinking whole pools takes minutes
            ),
        )

    @pytest.mark.parametrize("seed", range(4))
    def test_the_gap_stays_below_its_bound(self, virtual_pool, seed):
        """Half of the reports are lost and the rest come late, twice or crossed, so
        that what is told is seen about every second report."""
        pool = virtual_pool(shards=3, seed=seed)
        pool.loss = 0.5
        pool.duplicates = 0.5
        pool.jitter = 0.3
        for name in "abcd":
            count = pool.random.randrange(300, 600)
            for _ in range(count):
                cost = pool.random.choice([10.0, 30.0, 90.0])
                shard = pool.random.choice([0, 0, 1, 2])
                pool.submit(name, cost, at=0.5, shard=shard)
        pool.run(8.0)
        limit = bound(pool, largest=90.0, interval_s=0.6)
        for one, other in ("ab", "ac", "ad", "bc", "bd", "cd"):
            assert pool.gap(one, other) <= limit
