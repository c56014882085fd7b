"""Test that the limit of a warm server settles at the best throughput of its engine."""

import random

import pytest
from attrs import define, field

from fulmarroad._concurrency import (
    ConcurrencyLimit,
    Round,
    is_fully_used,
    relative_gain,
)
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
    """Simulate an engine; `kind` selects its behaviour beyond a full batch."""

    kind: str
    batch: int = 8
    rate: float = 40.0  # tokens per second of one request within the batch
    slow: float = 1.0
    jobs: list[Job] = field(factory=list)
    produced: float = 0.0

    def best(self):
        """Return the highest throughput in tokens per second."""
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
        """Simulate one step and return the jobs that ended."""
        for job, rate in zip(self.jobs, self.rates(), strict=False):
            tokens = rate * STEP_S / self.slow
            if tokens and job.first is None:
                job.first = now
            job.done += tokens
            self.produced += tokens
        ended = [job for job in self.jobs if job.done >= job.tokens]
        self.jobs = [job for job in self.jobs if job.done < job.tokens]
        return ended


def saturate(health, engine, begin, end, seed=1):
    """Keep the limit in full use; return the throughput as a share of the best."""
    lengths = random.Random(seed)
    produced_before = engine.produced
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
    return (engine.produced - produced_before) / engine.best() / (end - begin)


def new_health(pool=POOL):
    return ServerHealth("s1", pool, ConcurrencyLimit(pool, pool.max_concurrency))


class TestSaturation:
    @pytest.mark.parametrize("kind", ["loses", "shares", "queues", "always shares"])
    @pytest.mark.parametrize("batch", [4, 8, 24])
    def test_limit_is_found_and_capacity_used(self, kind, batch):
        # Requests wait all the time. A limit below the batch size leaves the engine
        # partly idle. One far above it slows down all engines and reduces the
        # throughput of some.
        health = new_health()
        engine = Engine(kind, batch)
        saturate(health, engine, 0.0, 120.0)
        assert health.warmth is Warmth.WARM
        used = saturate(health, engine, 120.0, 600.0)
        assert used >= 0.95
        assert health.limit(600.0) <= 1.6 * batch

    def test_slow_server_keeps_its_best_limit(self):
        # One server of a pool is permanently ten times as slow as its peers and misses
        # every target. Lowering its limit for that would only leave it idle.
        health = new_health()
        engine = Engine("shares", 8)
        saturate(health, engine, 0.0, 120.0)
        engine.slow = 10.0
        saturate(health, engine, 120.0, 900.0)
        assert saturate(health, engine, 900.0, 3000.0) >= 0.95

    def test_limit_falls_after_the_batch_became_smaller(self):
        # An engine restarts with a smaller batch while its limit stays the same:
        # answers become very slow although none fails.
        health = new_health()
        engine = Engine("loses", 24)
        saturate(health, engine, 0.0, 200.0)
        engine.batch = 4
        saturate(health, engine, 200.0, 900.0)
        assert health.limit(900.0) <= 8


class TestPlainService:
    @pytest.mark.parametrize("workers", [2, 8])
    def test_limit_follows_latency_alone(self, workers):
        pool = Pool("ledger", kind=PoolKind.PLAIN, max_concurrency=64)
        limit = ConcurrencyLimit(pool, 1)
        for _ in range(4000):
            seconds = 0.01 * max(1.0, limit.limit / workers)
            limit.note_answer(limit.limit, seconds, slow=False, full=True)
        assert workers <= limit.limit <= 1.3 * workers + 1


class TestConcurrencyLimit:
    def test_simultaneous_failures_lower_the_limit_once(self):
        # A network fault ends all running requests of a server at the same time.
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
    def test_relative_gain_compares_throughput_with_the_limit(
        self, low, high, expected
    ):
        assert relative_gain(8, low, 10, high) == pytest.approx(expected)

    def test_skipped_answers_do_not_count(self):
        collected = Round(skip=2)
        for _ in range(3):
            collected.note(4, 1.0, slow=True, full=True)
        assert collected.answers == 1
