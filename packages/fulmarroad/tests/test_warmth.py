"""Test that a backend server that is not warm is not overloaded."""

import heapq
import itertools

import pytest
from attrs import define, field

from fulmarroad._warmth import (
    BACKOFF_CAP_S,
    ConcurrencyLimit,
    ServerHealth,
    good_answers_needed,
    ramp_budgets,
    ramp_time,
)
from fulmarroad.messages import ServerHint
from fulmarroad.tables import Pool
from fulmarroad.types import Outcome, Warmth

POOL = Pool("drafting", max_concurrency=16, cold_concurrency=1)


def new_health(pool=POOL):
    return ServerHealth("s1", pool, ConcurrencyLimit(pool, pool.max_concurrency))


def answer(health, now, *, first_s=0.2, outcome=Outcome.COMPLETED, running=None):
    running = health.limit(now) if running is None else running
    return health.observe(outcome, first_s, 0.03, 50.0, running, True, now)


def warm_up(health, now=0.0):
    answers = 0
    while health.warmth is not Warmth.WARM:
        answer(health, now)
        answers += 1
        assert answers < 2000, "server did not become warm"
    return health


def raise_budget(health, limit):
    """Observe good answers until the budget has risen to a limit."""
    for _ in range(100):
        if health.limit(0.0) < limit:
            answer(health, 0.0)
    assert health.limit(0.0) == limit


@define
class ColdServer:
    """Fail all requests when overloaded; each answer raises the capacity."""

    cold_capacity: int = 1
    answers_per_unit: float = 2.0
    batch: int = 16
    served: int = 0
    overloads: int = 0
    running: list = field(factory=list)
    numbers: itertools.count = field(factory=itertools.count)

    def capacity(self):
        return min(
            self.batch, self.cold_capacity + int(self.served / self.answers_per_unit)
        )

    def fill(self, health, now):
        """Start the two-second requests that the budget allows; fail if overloaded."""
        while len(self.running) < health.limit(now):
            heapq.heappush(self.running, (now + 2.0, next(self.numbers)))
        if len(self.running) <= self.capacity():
            return
        self.overloads += 1
        self.served = 0
        while self.running:
            running = len(self.running)
            self.running.pop()
            health.observe(Outcome.FAILED, None, None, 0.0, running, True, now)

    def end_one(self, health):
        """End the request that is due next and return its time."""
        now, _ = heapq.heappop(self.running)
        self.served += 1
        answer(health, now, running=len(self.running) + 1)
        return now


def run_saturated(server, health, until):
    """Use the whole budget all the time; return when the server became warm."""
    now, warm_at = 0.0, None
    while now < until:
        server.fill(health, now)
        now = server.end_one(health) if server.running else now + 0.1
        if health.warmth is Warmth.WARM and warm_at is None:
            warm_at = now
    return warm_at


class TestColdStart:
    @pytest.mark.parametrize("cold", [1, 2, 4])
    def test_cold_server_is_never_overloaded(self, cold):
        # A server with empty caches fails under the load of a warm one: its callers get
        # errors and it has to restart.
        pool = Pool("drafting", max_concurrency=16, cold_concurrency=cold)
        server, health = ColdServer(cold_capacity=cold), new_health(pool)
        warm_at = run_saturated(server, health, 120.0)
        assert server.overloads == 0
        assert warm_at is not None
        assert warm_at <= ramp_time(cold, 16, 2.0)

    def test_slowly_warming_server_is_overloaded_a_few_times_at_most(self):
        # A large model can run one more request only after every ten answers. The ramp
        # doesn't know that at first, but must not overload the server repeatedly.
        server, health = ColdServer(answers_per_unit=10.0), new_health()
        warm_at = run_saturated(server, health, 1200.0)
        assert server.overloads <= 3
        assert warm_at is not None

    def test_answers_below_half_of_the_budget_do_not_count(self):
        health = new_health()
        for _ in range(200):
            answer(health, 0.0, running=1)
            assert health.warmth is not Warmth.WARM
        assert health.limit(0.0) <= 3

    def test_failure_while_warming_resets_to_cold(self):
        health = new_health()
        raise_budget(health, 4)
        [change] = answer(health, 1.0, outcome=Outcome.TIMED_OUT)
        assert (change.before, change.after) == (Warmth.WARMING, Warmth.COLD)
        assert health.limit(1.0) == POOL.cold_concurrency

    def test_very_slow_answer_while_warming_resets_to_cold(self):
        health = new_health()
        raise_budget(health, 4)
        answer(health, 1.0, first_s=20.0)
        assert health.warmth is Warmth.COLD

    def test_unreachable_target_only_delays_the_ramp(self):
        # Operators set a target of half of what the engines can do. If that kept
        # servers cold, each would run one request at a time forever.
        health = new_health()
        for _ in range(1000):
            answer(health, 0.0, first_s=4.0)
        assert health.warmth is Warmth.WARM

    @pytest.mark.parametrize(("cold", "goal"), [(1, 8), (1, 32), (4, 64)])
    def test_ramp_time_covers_each_budget(self, cold, goal):
        budgets = list(ramp_budgets(cold, goal))
        assert budgets[0] == cold
        assert all(b <= max(a + 1, 1.5 * a) for a, b in itertools.pairwise(budgets))
        assert ramp_time(cold, goal, 2.0) <= 2.0 * 2 * len(budgets)
        assert good_answers_needed(8, failed_ramps=1) == 2 * good_answers_needed(8)


class TestWarmServerBecomesCold:
    def test_suddenly_slow_warm_server_becomes_cold(self):
        # An engine restarts behind the same address. The only sign of it is that first
        # tokens take more than twenty times as long as before.
        health = warm_up(new_health())
        for _ in range(20):
            answer(health, 1.0)
        changes = [answer(health, 2.0, first_s=6.0) for _ in range(3)]
        assert [len(found) for found in changes] == [0, 0, 1]
        assert changes[2][0].after is Warmth.COLD
        assert health.limit(2.0) == POOL.cold_concurrency

    def test_two_slow_answers_in_a_row_change_nothing(self):
        health = warm_up(new_health())
        for _ in range(50):
            answer(health, 1.0)
            answer(health, 1.0, first_s=6.0)
            answer(health, 1.0, first_s=6.0)
        assert health.warmth is Warmth.WARM


class TestFailing:
    def fail(self, health, now, count=3):
        for _ in range(count):
            answer(health, now, outcome=Outcome.UNREACHABLE, first_s=None)

    def test_dead_server_is_taken_out_and_probed_with_one_request(self):
        health = warm_up(new_health())
        self.fail(health, 10.0)
        assert health.warmth is Warmth.FAILING
        assert health.limit(10.0) == 0
        assert health.limit(11.0) == 1
        answer(health, 11.5)
        assert health.warmth is Warmth.COLD

    def test_one_router_without_connection_does_not_take_a_server_out(self):
        # The connection between one VM and the server breaks. The server must stay in
        # service for all other routers, which still reach it.
        health = warm_up(new_health())
        for _ in range(100):
            answer(health, 1.0)
            answer(health, 1.0, outcome=Outcome.UNREACHABLE, first_s=None)
        assert health.warmth is Warmth.WARM

    def test_burst_of_failures_counts_once(self):
        health = warm_up(new_health())
        self.fail(health, 10.0, count=16)
        assert health.limit(11.0) == 1

    def test_dead_server_is_probed_less_and_less_often(self):
        health = warm_up(new_health())
        self.fail(health, 0.0)
        now, probes = 0.0, []
        while now < 3600.0:
            now += 0.5
            if health.limit(now):
                probes.append(now)
                self.fail(health, now, count=1)
        gaps = [b - a for a, b in itertools.pairwise(probes)]
        assert max(gaps) <= BACKOFF_CAP_S + 0.5
        assert gaps == sorted(gaps)
        assert len(probes) <= 5 + 3600 / BACKOFF_CAP_S * 1.2

    def test_flapping_server_waits_longer_each_time(self):
        # A server crashes whenever it has been warm for a while. Each crash fails its
        # running requests, so each return must take longer than the last.
        health = new_health()
        now, waits = 0.0, []
        for _ in range(8):
            warm_up(health, now)
            self.fail(health, now)
            failed_at = now
            while not health.limit(now):
                now += 0.25
            waits.append(now - failed_at)
            answer(health, now)
        assert waits == sorted(waits)
        assert waits[0] <= 1.0
        assert waits[-1] > 8.0


class TestHints:
    def hint(self, warmth, limit, age_s=0.5):
        return ServerHint("s1", limit, warmth, age_s)

    def test_new_scheduler_keeps_a_warm_server_warm(self):
        health = new_health()
        health.adopt(self.hint(Warmth.WARM, 12), 0.0)
        assert (health.warmth, health.limit(0.0)) == (Warmth.WARM, 12)

    def test_ramp_continues_at_the_hinted_budget(self):
        # The scheduler's VM is replaced in the middle of a ramp. Its successor knows
        # only the budget last sent to the routers and must not exceed it.
        health = new_health()
        health.adopt(self.hint(Warmth.WARMING, 4), 0.0)
        assert health.limit(0.0) == 4
        answer(health, 1.0)
        assert health.limit(1.0) == 4

    @pytest.mark.parametrize(
        ("hints", "limit"),
        [
            ([(Warmth.WARM, 12, 11.0)], 1),
            ([(Warmth.WARM, 12, 5.0), (Warmth.COLD, 1, 1.0)], 1),
            ([(Warmth.COLD, 1, 1.0), (Warmth.WARM, 12, 5.0)], 1),
            ([(Warmth.WARM, 12, 1.0), (Warmth.WARMING, 4, 1.5)], 4),
            ([(Warmth.WARMING, 4, 1.5), (Warmth.WARM, 12, 1.0)], 4),
            ([(Warmth.COLD, 1, 9.0), (Warmth.WARM, 12, 1.0)], 12),
            ([(Warmth.FAILING, 0, 1.0)], 0),
            ([(Warmth.WARM, 99, 1.0)], 16),
        ],
    )
    def test_newest_hint_counts_or_the_lower_limit_of_equally_old_ones(
        self, hints, limit
    ):
        health = new_health()
        for warmth, hinted, age_s in hints:
            health.adopt(self.hint(warmth, hinted, age_s), 0.0)
        assert health.limit(0.0) == limit

    def test_hint_is_ignored_after_an_answer(self):
        health = new_health()
        answer(health, 0.0, outcome=Outcome.FAILED, first_s=None)
        health.adopt(self.hint(Warmth.WARM, 12), 0.0)
        assert health.warmth is Warmth.COLD

    def test_server_taken_back_into_service_is_cold(self):
        health = warm_up(new_health())
        health.reset_to_cold("taken into service")
        assert health.limit(0.0) == POOL.cold_concurrency
