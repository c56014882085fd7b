"""Load and failure tests of a simulated pool, with real schedulers in virtual time."""

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


def fairness_bound(pool, *, largest=COST, interval_s=0.25, error=0.0, weight=1.0):
    """Return the bound on the service gap of a simulated pool, at rate 100 per unit."""
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


def submit_many(pool, workspace, count, cost=COST, **options):
    return [pool.submit(workspace, cost, **options) for _ in range(count)]


def ran_at_most_once(pool):
    """Return whether no request ran twice and no unit ran two requests at a time."""
    requests = [
        request
        for router in pool.routers.values()
        for request in router.requests.values()
    ]
    return pool.unit_conflicts == 0 and all(row.starts <= 1 for row in requests)


class TestLoads:
    def test_a_burst_does_not_delay_a_steady_workspace(self, virtual_pool):
        """Three hundred requests of one workspace arrive at once. They must not delay
        another workspace that sends single requests at a steady rate."""
        pool = virtual_pool(shards=2)
        submit_many(pool, "burst", 300, at=2.0)
        for number in range(80):
            pool.submit("steady", COST, at=1.0 + 0.1 * number)
        pool.run(10.0)
        assert len(pool.wait_times("steady")) == 80
        assert pool.wait_times("steady")[-1] <= 2 * COST / 100

    @pytest.mark.parametrize(("policy", "share"), [("local", 0.25), ("fifo", 0.1)])
    def test_a_heavy_workspace_does_not_reduce_the_share_of_small_ones(
        self, virtual_pool, policy, share
    ):
        """One workspace floods every router, and two small ones send through one router
        each. Under the baseline policies the large one gets much more service."""
        gaps = {}
        for name in ("fleet", policy):
            pool = virtual_pool(shards=2, policy=name)
            submit_many(pool, "large", 1200, at=0.5)
            submit_many(pool, "small", 200, at=0.5, router="r1", shard=0)
            submit_many(pool, "other", 200, at=0.5, router="r2", shard=1)
            pool.run(12.0)
            gaps[name] = pool.gap("large", "small")
        assert gaps["fleet"] <= share * gaps[policy]
        assert gaps["fleet"] <= fairness_bound(pool)

    def test_a_slow_server_does_not_affect_fairness(self, virtual_pool):
        """One backend server of four slows to a tenth of its speed. Fairness counts
        service rather than requests, so a workspace whose requests run on that server
        still gets its share."""
        pool = virtual_pool(shards=1, servers=4)
        slow = next(iter(pool.shards.values()))[0].name
        pool.at(1.0, lambda: pool.speed.__setitem__(slow, 10.0))
        submit_many(pool, "a", 300, at=0.5)
        submit_many(pool, "b", 300, at=0.5)
        pool.run(12.0)
        assert pool.gap("a", "b") <= fairness_bound(pool)
        assert pool.served("a") + pool.served("b") >= 12 * 100 * 11.0 * 0.95

    def test_short_requests_do_not_wait_for_a_backlog_of_long_ones(self, virtual_pool):
        """The answers of one workspace are a hundred times as long as those of another.
        The short requests wait for a free unit, not for its whole backlog."""
        pool = virtual_pool(shards=1)
        submit_many(pool, "long", 40, 600.0, at=0.5)
        for number in range(60):
            pool.submit("short", 6.0, at=7.0 + 0.05 * number)
        pool.run(14.0)
        assert len(pool.wait_times("short")) == 60
        assert pool.wait_times("short")[57] <= 6.0

    def test_a_huge_request_behind_many_small_ones_is_served(self, virtual_pool):
        pool = virtual_pool(shards=1)
        submit_many(pool, "small", 600, at=0.5)
        (huge,) = submit_many(pool, "huge", 1, 2000.0, at=1.0)
        pool.run(4.0)
        assert huge.waited <= 2 * COST / 100

    def test_saturation_leaves_no_unit_idle(self, virtual_pool):
        """All load, twice the capacity of the pool, arrives at one shard of three. Its
        demands must move so that the units of the other shards are used."""
        pool = virtual_pool(shards=3)
        for number in range(700):
            pool.submit("ab"[number % 2], COST, at=0.5, shard=0)
        pool.run(10.0)
        assert pool.served("a") + pool.served("b") >= 0.95 * 2400 * 9.5
        assert pool.gap("a", "b") <= fairness_bound(pool)
        assert ran_at_most_once(pool)

    def test_service_is_proportional_to_weight_across_shards(self, virtual_pool):
        pool = virtual_pool(shards=2)
        submit_many(pool, "a", 900, at=0.5, weight=3.0)
        submit_many(pool, "b", 500, at=0.5)
        pool.run(12.0)
        assert pool.gap("a", "b") <= fairness_bound(pool)
        assert pool.served("a") == pytest.approx(
            pool.served("b"), abs=fairness_bound(pool)
        )


class TestShards:
    def test_workspaces_at_different_shards_get_equal_service(self, virtual_pool):
        """One workspace is alone at a shard, and three share the other shard. If each
        shard were fair only on its own, the first would get three times as much."""
        pool = virtual_pool(shards=2)
        submit_many(pool, "alone", 400, 50.0, at=0.5, shard=0)
        for name in ("x", "y", "z"):
            submit_many(pool, name, 300, 50.0, at=0.5, shard=1)
        pool.run(15.0)
        for name in ("x", "y", "z"):
            assert pool.gap("alone", name) <= fairness_bound(pool, largest=50.0) / 2
        assert ran_at_most_once(pool)

    def test_a_demand_that_one_shard_cannot_serve_moves_to_another(self, virtual_pool):
        pool = virtual_pool(shards=2, servers=1)
        server = next(iter(pool.shards.values()))[0].name
        request = pool.submit("a", COST, at=0.5, shard=0, avoid=(server,))
        pool.run(3.0)
        assert request.state == "done"
        assert request.moves == 1


class TestSchedulerLost:
    def test_its_successor_rebuilds_its_state_from_the_routers(self, virtual_pool):
        """A scheduler's VM is replaced twice under full load. Running answers must
        continue and waiting requests keep their place in the queue."""
        pool = virtual_pool(shards=2)
        submit_many(pool, "a", 150, at=0.5)
        submit_many(pool, "b", 150, at=0.5)
        shard = next(iter(pool.shards))
        pool.at(2.0, lambda: pool.start_scheduler(shard))
        pool.at(4.0, lambda: pool.start_scheduler(shard))
        pool.finish(40.0)
        assert len(pool.done) == 300
        assert ran_at_most_once(pool)
        assert pool.gap("a", "b") <= fairness_bound(pool) + 2 * COST * 16

    def test_a_new_scheduler_leaves_the_share_of_a_missing_router_free(
        self, virtual_pool
    ):
        """A scheduler is replaced while one router of three cannot reach the new one
        and its requests continue. Until its hello arrives, its even share of the units
        must stay free, or servers would run more requests than their limit."""
        pool = virtual_pool(shards=1, servers=1, units=12)
        shard = next(iter(pool.shards))
        for _ in range(40):
            for name in pool.routers:
                pool.submit(name, 400.0, at=0.5, router=name)
        pool.run(3.0)
        pool.start_scheduler(shard)
        pool.break_link("r1", shard)
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

    def test_demands_keep_their_order_when_a_scheduler_is_replaced(self, virtual_pool):
        pool = virtual_pool(shards=1, servers=1, units=1)
        rows = [pool.submit("a", COST, at=0.5 + n / 100) for n in range(10)]
        pool.at(1.5, lambda: pool.start_scheduler(next(iter(pool.shards))))
        pool.finish(20.0)
        ends = [row.ended for row in rows]
        assert ends == sorted(ends)

    @pytest.mark.parametrize("seconds", [0.2, 3.0])
    def test_grants_of_a_scheduler_replaced_during_a_pause_are_not_started(
        self, virtual_pool, seconds
    ):
        """A scheduler is replaced during a pause. When it resumes it reads that some
        requests ended and grants their units; no router may start those grants. After
        three seconds all lendings to it have expired, so it grants nothing."""
        pool = virtual_pool(shards=1)
        shard = next(iter(pool.shards))
        for _ in range(100):
            pool.submit("a", 30.0, at=0.5)
            pool.submit("b", 41.0, at=0.5)
        pool.at(1.0, lambda: pool.pause(shard, seconds))
        pool.at(1.0 + 0.9 * seconds, lambda: pool.start_scheduler(shard))
        pool.run(1.01 + seconds)
        assert (pool.late_grants > 0) == (seconds < 1.0)
        pool.finish(40.0)
        assert len(pool.done) == 200
        assert ran_at_most_once(pool)

    def test_a_grant_sent_before_the_hello_of_a_reopened_stream_is_not_started(
        self, virtual_pool
    ):
        """During a scheduler's pause requests end, and then a router's stream breaks
        and is reopened. When the scheduler resumes, it grants the released units to
        that router and only then reads the router's hello, which ends those leases."""
        pool = virtual_pool(shards=1, servers=1, units=2)
        shard = next(iter(pool.shards))
        submit_many(pool, "a", 2, 30.0, at=0.5, router="r2")
        submit_many(pool, "b", 6, 200.0, at=0.55, router="r1")
        pool.at(0.6, lambda: pool.pause(shard, 0.5))
        pool.at(0.9, lambda: pool.break_link("r1", shard))
        pool.run(1.2)
        assert pool.late_grants == 2
        pool.finish(30.0)
        assert len(pool.done) == 8
        assert ran_at_most_once(pool)

    def test_a_paused_scheduler_that_is_still_followed_continues(self, virtual_pool):
        pool = virtual_pool(shards=1)
        submit_many(pool, "a", 100, at=0.5)
        pool.at(1.0, lambda: pool.pause(next(iter(pool.shards)), 1.9))
        pool.finish(40.0)
        assert len(pool.done) == 100
        assert ran_at_most_once(pool)


class TestPartition:
    def sides(self, pool):
        return lambda source, target: source.data_centre != target.data_centre

    def test_the_gap_closes_after_a_partition_without_starvation(self, virtual_pool):
        """Two data centres are partitioned for ten seconds. `both` is served on each
        side and `left` on one, so `both` is far ahead when the partition heals. It must
        still get service while `left` catches up."""
        pool = virtual_pool(shards=2, centres=("dc1", "dc2"))
        submit_many(pool, "both", 700, at=0.5)
        submit_many(pool, "left", 700, at=0.5, shard=0)
        pool.run(2.0)
        pool.cut = self.sides(pool)
        pool.run(12.0)
        ahead = pool.served("both") - pool.served("left")
        assert ahead > 3000.0
        pool.cut = lambda source, target: False
        pool.run(14.0)
        start = {name: pool.served(name) for name in ("both", "left")}
        pool.run(18.0)
        served_after = {name: pool.served(name) - start[name] for name in start}
        assert served_after["both"] >= 0.25 * 1600 * 4.0
        assert served_after["left"] >= 1.2 * served_after["both"]

    def test_a_data_centre_can_be_taken_out_of_service_during_a_partition(
        self, virtual_pool
    ):
        """A data centre is taken out of service while it is partitioned from the other.
        Its schedulers cannot move their demands until the partition heals. Then they
        must move them, and no request may be lost or run twice."""
        pool = virtual_pool(shards=2, centres=("dc1", "dc2"))
        submit_many(pool, "a", 200, at=0.5)
        pool.run(1.0)
        pool.cut = self.sides(pool)
        leaving = list(pool.shards)[1]
        pool.run(5.0)
        pool.take_out_of_service(leaving)
        pool.run(8.0)
        assert pool.running_at(leaving) == 0
        left = pool.schedulers[leaving].waiting
        pool.cut = lambda source, target: False
        pool.run(11.0)
        assert left > 0
        assert pool.schedulers[leaving].waiting == 0
        pool.finish(60.0)
        assert len(pool.done) == 200
        assert ran_at_most_once(pool)


class TestRandomFaults:
    """Reports are lost, duplicated and reordered, streams break, and schedulers are
    replaced or paused, in any order. No request may be lost or run twice, and no unit
    may run two requests at a time."""

    def test_every_request_runs_exactly_once_under_random_faults(self, virtual_pool):
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
                submit_many(self.pool, name, count, cost, shard=shard)

            @rule(seconds=st.sampled_from([0.003, 0.05, 0.4, 1.5]))
            def wait(self, seconds):
                self.pool.run(self.pool.now + seconds)

            @rule(shard=st.integers(0, 1))
            def replace(self, shard):
                # Broken links are open again and all hellos have arrived.
                self.wait(0.03)
                self.pool.start_scheduler(list(self.pool.shards)[shard])
                self.wait(0.03)

            @rule(shard=st.integers(0, 1), seconds=st.sampled_from([0.3, 2.5]))
            def pause(self, shard, seconds):
                self.pool.pause(list(self.pool.shards)[shard], seconds)

            @rule(shard=st.integers(0, 1), router=st.sampled_from(["r1", "r2"]))
            def break_link(self, shard, router):
                self.pool.break_link(router, list(self.pool.shards)[shard])

            @invariant()
            def nothing_runs_twice(self):
                if hasattr(self, "pool"):
                    assert ran_at_most_once(self.pool)

            def teardown(self):
                if hasattr(self, "pool"):
                    self.pool.finish(self.pool.now + 200.0)
                    assert len(self.pool.done) == self.sent
                    assert ran_at_most_once(self.pool)
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
                phases=[Phase.generate],  # shrinking a failing example takes minutes
            ),
        )

    @pytest.mark.parametrize("seed", range(4))
    def test_the_gap_stays_below_its_bound(self, virtual_pool, seed):
        """Half of the reports are lost and the rest arrive late, duplicated or out of
        order, so only about every second report brings newer totals."""
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
        limit = fairness_bound(pool, largest=90.0, interval_s=0.6)
        for one, other in ("ab", "ac", "ad", "bc", "bd", "cd"):
            assert pool.gap(one, other) <= limit
