"""A backend server that is not warm gets no more work than it can bear."""

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
        assert answers < 2000, "never became warm"
    return health


def reach(health, limit):
    """Give good answers until the budget has risen to a limit."""
    for _ in range(100):
        if health.limit(0.0) < limit:
            answer(health, 0.0)
    assert health.limit(0.0) == limit


@define
class ColdServer:
    """Fall over when more runs than it bears; each answer makes it bear more."""

    bears_cold: int = 1
    answers_per_unit: float = 2.0
    batch: int = 16
    served: int = 0
    falls: int = 0
    running: list = field(factory=list)
    numbers: itertools.count = field(factory=itertools.count)

    def bears(self):
        return min(
            self.batch, self.bears_cold + int(self.served / self.answers_per_unit)
        )

    def fill(self, health, now):
        """Start whatever the budget allows, each for two seconds; fall if too much."""
        while len(self.running) < health.limit(now):
            heapq.heappush(self.running, (now + 2.0, next(self.numbers)))
        if len(self.running) <= self.bears():
            return
        self.falls += 1
        self.served = 0
        while self.running:
            running = len(self.running)
            self.running.pop()
            health.observe(Outcome.FAILED, None, None, 0.0, running, True, now)

    def end_one(self, health):
        """End the request that is due next; return when."""
        now, _ = heapq.heappop(self.running)
        self.served += 1
        answer(health, now, running=len(self.running) + 1)
        return now


def play(server, health, until):
    """Keep the server as busy as the budget allows; return when it became warm."""
    now, warm_at = 0.0, None
    while now < until:
        server.fill(health, now)
        now = server.end_one(health) if server.running else now + 0.1
        if health.warmth is Warmth.WARM and warm_at is None:
            warm_at = now
    return warm_at


class TestColdStart:
    @pytest.mark.parametrize("cold", [1, 2, 4])
    def test_a_cold_server_is_never_overloaded(self, cold):
        # A server starts with empty caches and falls over under a warm one's load; its
        # callers see errors and the restart begins anew.
        pool = Pool("drafting", max_concurrency=16, cold_concurrency=cold)
        server, health = ColdServer(bears_cold=cold), new_health(pool)
        warm_at = play(server, health, 120.0)
        assert server.falls == 0
        assert warm_at is not None
        assert warm_at <= ramp_time(cold, 16, 2.0)

    def test_a_server_that_warms_up_slowly_is_felled_a_few_times_at_most(self):
        # A large model bears one more request only after each ten answers. The ramp
        # can't know that at first, but it must not fell the server again and again.
        server, health = ColdServer(answers_per_unit=10.0), new_health()
        warm_at = play(server, health, 1200.0)
        assert server.falls <= 3
        assert warm_at is not None

    def test_work_below_the_budget_proves_nothing(self):
        health = new_health()
        for _ in range(200):
            answer(health, 0.0, running=1)
            assert health.warmth is not Warmth.WARM
        assert health.limit(0.0) <= 3

    def test_a_failure_while_warming_drops_back_to_cold(self):
        health = new_health()
        reach(health, 4)
        [change] = answer(health, 1.0, outcome=Outcome.TIMED_OUT)
        assert (change.before, change.after) == (Warmth.WARMING, Warmth.COLD)
        assert health.limit(1.0) == POOL.cold_concurrency

    def test_a_very_slow_answer_while_warming_drops_back_to_cold(self):
        health = new_health()
        reach(health, 4)
        answer(health, 1.0, first_s=20.0)
        assert health.warmth is Warmth.COLD

    def test_a_target_that_no_server_meets_delays_the_ramp_only(self):
        # Operators wrote a target of half of what the engines can do. Servers that
        # were held cold for it would serve one request each for good.
        health = new_health()
        for _ in range(1000):
            answer(health, 0.0, first_s=4.0)
        assert health.warmth is Warmth.WARM

    @pytest.mark.parametrize(("cold", "goal"), [(1, 8), (1, 32), (4, 64)])
    def test_ramp_time_counts_each_budget(self, cold, goal):
        budgets = list(ramp_budgets(cold, goal))
        assert budgets[0] == cold
        assert all(b <= max(a + 1, 1.5 * a) for a, b in itertools.pairwise(budgets))
        assert ramp_time(cold, goal, 2.0) <= 2.0 * 2 * len(budgets)
        assert good_answers_needed(8, failed_ramps=1) == 2 * good_answers_needed(8)


class TestSuddenCold:
    def test_a_warm_server_that_turns_slow_is_cold_at_once(self):
        # An engine restarts behind the same address. The router learns of it only by
        # first tokens that take twenty times as long as they did.
        health = warm_up(new_health())
        for _ in range(20):
            answer(health, 1.0)
        changes = [answer(health, 2.0, first_s=6.0) for _ in range(3)]
        assert [len(found) for found in changes] == [0, 0, 1]
        assert changes[2][0].after is Warmth.COLD
        assert health.limit(2.0) == POOL.cold_concurrency

    def test_a_long_prompt_between_others_changes_nothing(self):
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

    def test_a_dead_server_is_taken_out_and_probed_with_one_unit(self):
        health = warm_up(new_health())
        self.fail(health, 10.0)
        assert health.warmth is Warmth.FAILING
        assert health.limit(10.0) == 0
        assert health.limit(11.0) == 1
        answer(health, 11.5)
        assert health.warmth is Warmth.COLD

    def test_one_router_that_cannot_reach_it_takes_nobody_elses_server(self):
        # The path between one VM and one server breaks. All other routers still reach
        # the server and must not lose it.
        health = warm_up(new_health())
        for _ in range(100):
            answer(health, 1.0)
            answer(health, 1.0, outcome=Outcome.UNREACHABLE, first_s=None)
        assert health.warmth is Warmth.WARM

    def test_a_burst_of_failures_counts_once(self):
        health = warm_up(new_health())
        self.fail(health, 10.0, count=16)
        assert health.limit(11.0) == 1

    def test_a_dead_server_is_probed_less_and_less_often(self):
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

    def test_a_flapping_server_waits_longer_each_time(self):
        # A server crashes whenever it has been warm for a while. Each crash takes its
        # running requests with it, so it must come back more and more slowly.
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

    def test_a_new_scheduler_keeps_a_warm_server_warm(self):
        health = new_health()
        health.adopt(self.hint(Warmth.WARM, 12), 0.0)
        assert (health.warmth, health.limit(0.0)) == (Warmth.WARM, 12)

    def test_a_ramp_goes_on_where_it_was(self):
        # The scheduler's VM is replaced in the middle of a cold ramp. Its successor
        # knows only what the routers last heard, and must not go beyond it.
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
    def test_the_newest_and_then_the_most_careful_hint_counts(self, hints, limit):
        health = new_health()
        for warmth, said, age_s in hints:
            health.adopt(self.hint(warmth, said, age_s), 0.0)
        assert health.limit(0.0) == limit

    def test_answers_outweigh_hints(self):
        health = new_health()
        answer(health, 0.0, outcome=Outcome.FAILED, first_s=None)
        health.adopt(self.hint(Warmth.WARM, 12), 0.0)
        assert health.warmth is Warmth.COLD

    def test_a_server_taken_back_into_service_is_cold(self):
        health = warm_up(new_health())
        health.reset_to_cold("taken into service")
        assert health.limit(0.0) == POOL.cold_concurrency
