"""The limit of a warm server settles where its throughput is, whatever its engine."""

import random

import pytest
from attrs import define, field

from fulmarroad._concurrency import ConcurrencyLimit, Round, followed, is_fully_used
from fulmarroad._warmth import ServerHealth
from fulmarroad.tables import Pool, PoolKind
from fulmarroad.types import Outcome, Warmth

POOL = Pool("drafting", max_concurrency=32, cold_concurrency=1)
STEP_S = 0.05


@define(eq=False)
class Job:
    tokens: float
    began: float
    first: float | None = None
    done: float = 0.0


@define
class Engine:
    """Give each running request its part of the batch; `kind` says what is past it."""

    kind: str
    batch: int = 8
    rate: float = 40.0  # tokens a second of one request within the batch
    slow: float = 1.0
    jobs: list[Job] = field(factory=list)
    given: float = 0.0

    def best(self):
        """Return the most tokens a second that it can give."""
        return self.batch * self.rate / self.slow

    def rates(self):
        running = len(self.jobs)
        if self.kind == "queues":
            return [self.rate] * min(running, self.batch) + [0.0] * running
        over = max(0, running - self.batch)
        share = min(1.0, self.batch / max(1, running))
        if self.kind == "loses":
            share /= 1 + 0.08 * over
        if self.kind == "always shares":
            share = self.batch / max(1, running)
        return [self.rate * share] * running

    def advance(self, now):
        """Run one step and return the jobs that ended."""
        for job, rate in zip(self.jobs, self.rates(), strict=False):
            tokens = rate * STEP_S / self.slow
            if tokens and job.first is None:
                job.first = now
            job.done += tokens
            self.given += tokens
        ended = [job for job in self.jobs if job.done >= job.tokens]
        self.jobs = [job for job in self.jobs if job.done < job.tokens]
        return ended


def saturate(health, engine, begin, end, seed=1):
    """Keep the server's limit in full use; return the part of its best that it gave."""
    lengths = random.Random(seed)
    given = engine.given
    now = begin
    while now < end:
        while len(engine.jobs) < health.limit(now):
            engine.jobs.append(Job(lengths.lognormvariate(4.0, 0.5), now))
        now += STEP_S
        for job in engine.advance(now):
            gap = (now - job.first) / max(1.0, job.tokens)
            running = len(engine.jobs) + 1
            full = is_fully_used(running, health.limit(now))
            health.observe(
                Outcome.COMPLETED,
                job.first - job.began,
                gap,
                job.tokens,
                running,
                full,
                now,
            )
    return (engine.given - given) / engine.best() / (end - begin)


def new_health(pool=POOL):
    return ServerHealth("s1", pool, ConcurrencyLimit(pool, pool.max_concurrency))


class TestSaturation:
    @pytest.mark.parametrize("kind", ["loses", "shares", "queues", "always shares"])
    @pytest.mark.parametrize("batch", [4, 8, 24])
    def test_the_limit_is_found_and_capacity_used(self, kind, batch):
        # Work waits all the time. A limit below the batch idles the engine, one far
        # above it makes some engines lose throughput and all of them slow.
        health = new_health()
        engine = Engine(kind, batch)
        saturate(health, engine, 0.0, 120.0)
        assert health.warmth is Warmth.WARM
        used = saturate(health, engine, 120.0, 600.0)
        assert used >= 0.95
        assert health.limit(600.0) <= 1.6 * batch

    def test_a_slow_server_keeps_its_own_best(self):
        # One server of a pool is ten times as slow as its peers, for good, so that it
        # misses every target. Taking its limit away for that would idle it as well.
        health = new_health()
        engine = Engine("shares", 8)
        saturate(health, engine, 0.0, 120.0)
        engine.slow = 10.0
        saturate(health, engine, 120.0, 900.0)
        assert saturate(health, engine, 900.0, 3000.0) >= 0.95

    def test_a_server_that_lost_its_batch_gets_a_lower_limit(self):
        # An engine was restarted with a smaller batch while its limit stayed: answers
        # crawl although nothing fails.
        health = new_health()
        engine = Engine("loses", 24)
        saturate(health, engine, 0.0, 200.0)
        engine.batch = 4
        saturate(health, engine, 200.0, 900.0)
        assert health.limit(900.0) <= 8


class TestPlainService:
    @pytest.mark.parametrize("workers", [2, 8])
    def test_the_limit_follows_latency_alone(self, workers):
        pool = Pool("ledger", kind=PoolKind.PLAIN, max_concurrency=64)
        limit = ConcurrencyLimit(pool, 1)
        for _ in range(4000):
            seconds = 0.01 * max(1.0, limit.limit / workers)
            limit.note_answer(limit.limit, seconds, slow=False, full=True)
        assert workers <= limit.limit <= 1.3 * workers + 1


class TestConcurrencyLimit:
    def test_failures_of_one_round_lower_it_once(self):
        # A network fault ends everything that a server runs at the same moment.
        limit = ConcurrencyLimit(POOL, 20)
        for running in range(20, 0, -1):
            limit.note_failure(running)
        assert limit.limit == 14

    def test_idle_servers_keep_their_limit(self):
        limit = ConcurrencyLimit(POOL, 8)
        for _ in range(500):
            limit.note_answer(1, 1.0, slow=False, full=False)
        assert limit.limit == 8

    @pytest.mark.parametrize(
        ("low", "high", "expected"),
        [(8.0, 10.0, 1.0), (8.0, 8.0, 0.0), (8.0, 9.0, 0.5), (None, 9.0, 1.0)],
    )
    def test_followed_compares_with_proportion(self, low, high, expected):
        assert followed(8, low, 10, high) == pytest.approx(expected)

    def test_answers_from_before_a_move_do_not_count(self):
        collected = Round(skip=2)
        for _ in range(3):
            collected.note(4, 1.0, slow=True, full=True)
        assert collected.answers == 1
