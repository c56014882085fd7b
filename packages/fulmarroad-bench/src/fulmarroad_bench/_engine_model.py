"""Numeric model of an engine's continuous batch; it has no network and no clock."""

from __future__ import annotations

from collections import OrderedDict

from attrs import define, field, frozen

from fulmarroad.exceptions import FulmarroadError
from fulmarroad_bench._answers import BLOCK_WORDS

OVERLOAD_COST = 0.08
"""Throughput lost per request beyond the batch, as the engine swaps its cache."""


class EngineRefusedError(FulmarroadError):
    """Report that the engine accepts no request at present."""


@frozen
class EngineProfile:
    """Describe an engine's speed and capacity.

    Up to `batch` requests run at `tokens_per_s` each. With more, they share the
    throughput of the full batch, less `OVERLOAD_COST` for each one beyond it. A cold
    engine runs at `cold_speed` times that speed and can run `cold_capacity` requests;
    both rise linearly with the tokens generated since, until `warm_tokens`.
    """

    batch: int = 8
    tokens_per_s: float = 40.0
    prefill_tokens_per_s: float = 4000.0
    cold_capacity: int = 2
    cold_speed: float = 0.5
    cold_first_s: float = 0.4  # added to the prefill of a cold engine
    warm_tokens: float = 160.0
    recovery_s: float = 3.0  # restart after a crash
    cache_blocks: int = 1024


@define(eq=False)
class Job:
    """Hold the progress of one request in the batch."""

    job_id: int
    tokens: int
    position: int
    cached_tokens: int
    prefill_s: float
    credit: float = 0.0
    started: bool = False

    @property
    def done(self) -> bool:
        """Return whether the last token has been generated."""
        return self.started and self.position >= self.tokens


@frozen
class Step:
    """Hold the tokens a job got in one step; `first` if they begin its answer."""

    job: Job
    tokens: int
    first: bool


@frozen
class CacheEvent:
    """Describe a block that the prefix cache stored or removed."""

    number: int
    kind: str  # stored or removed
    block: int


class PrefixCache:
    """Cache the most recently used prompt blocks, up to a maximum number."""

    def __init__(self, blocks: int) -> None:
        self._max_blocks = blocks
        self._blocks: OrderedDict[int, None] = OrderedDict()
        self._number = 0

    def matched(self, blocks: tuple[int, ...]) -> int:
        """Return how many leading blocks are cached."""
        count = 0
        for block in blocks:
            if block not in self._blocks:
                break
            self._blocks.move_to_end(block)
            count += 1
        return count

    def store(self, blocks: tuple[int, ...]) -> list[CacheEvent]:
        """Cache blocks and return the resulting events."""
        events = []
        for block in blocks:
            if block not in self._blocks:
                events.append(self._event("stored", block))
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        while len(self._blocks) > self._max_blocks:
            dropped, _ = self._blocks.popitem(last=False)
            events.append(self._event("removed", dropped))
        return events

    def clear(self) -> None:
        """Remove all blocks, without events."""
        self._blocks.clear()

    def _event(self, kind: str, block: int) -> CacheEvent:
        self._number += 1
        return CacheEvent(self._number, kind, block)


@define(eq=False)
class BatchModel:
    """Run jobs in one continuous batch; the caller supplies the time."""

    profile: EngineProfile = field(factory=EngineProfile)
    now: float = 0.0
    jobs: dict[int, Job] = field(factory=dict)
    served: float = 0.0  # tokens since the engine was last cold
    slow: float = 1.0  # factor by which tokens take longer than in the profile
    hung: bool = False
    down: bool = False  # the process has ended
    recovering_until: float = 0.0
    overloads: int = 0  # crashes because too many requests ran while cold
    max_running: int = 0
    work: float = 0.0  # seconds of full throughput used
    capacity: float = 0.0  # seconds of full throughput available
    cache: PrefixCache = field(init=False)
    cache_log: list[CacheEvent] = field(factory=list)
    _next_id: int = 0

    def __attrs_post_init__(self) -> None:
        self.cache = PrefixCache(self.profile.cache_blocks)

    @property
    def warmth(self) -> float:
        """Return the warmth of the engine, from 0 (cold) to 1."""
        if self.profile.warm_tokens <= 0:
            return 1.0
        return min(1.0, self.served / self.profile.warm_tokens)

    @property
    def slots(self) -> int:
        """Return how many requests can now run without sharing speed."""
        profile = self.profile
        warm_gain = profile.batch - profile.cold_capacity
        return profile.cold_capacity + int(warm_gain * self.warmth)

    @property
    def recovering(self) -> bool:
        """Return whether the engine restarts after a crash and refuses requests."""
        return self.now < self.recovering_until

    @property
    def running(self) -> int:
        """Return the number of running requests."""
        return len(self.jobs)

    def admit(
        self,
        tokens: int,
        prompt_tokens: int,
        blocks: tuple[int, ...],
        position: int = 0,
    ) -> Job:
        """Admit a request; raise `EngineRefusedError` while the engine recovers."""
        if self.recovering:
            raise EngineRefusedError("the engine is restarting")
        hits = self.cache.matched(blocks)
        cached = min(hits * BLOCK_WORDS, prompt_tokens)
        self.cache_log.extend(self.cache.store(blocks))
        prefill_tokens = prompt_tokens - cached + position
        seconds = prefill_tokens / self.profile.prefill_tokens_per_s
        seconds += self.profile.cold_first_s * (1.0 - self.warmth)
        self._next_id += 1
        job = Job(self._next_id, tokens, position, cached, seconds)
        self.jobs[job.job_id] = job
        self.max_running = max(self.max_running, self.running)
        return job

    def overloaded_cold(self) -> bool:
        """Return whether a cold engine runs more requests than it has slots."""
        return self.warmth < 1.0 and self.running > self.slots

    def crash(self) -> list[Job]:
        """Drop all jobs, reset to cold and start recovery; return the dropped jobs."""
        self.overloads += 1
        self.recovering_until = self.now + self.profile.recovery_s
        return self.reset_to_cold()

    def reset_to_cold(self) -> list[Job]:
        """Drop all jobs, clear warmth and cache; return the dropped jobs."""
        dropped = list(self.jobs.values())
        self.jobs.clear()
        self.cache.clear()
        self.served = 0.0
        return dropped

    def remove(self, job: Job) -> None:
        """Remove a job that ended or whose caller disconnected."""
        self.jobs.pop(job.job_id, None)

    def job_rate(self) -> float:
        """Return the tokens per second that each running job gets at present."""
        profile = self.profile
        speed = profile.cold_speed + (1.0 - profile.cold_speed) * self.warmth
        return profile.tokens_per_s * speed * self._speed_fraction() / self.slow

    def advance(self, now: float) -> list[Step]:
        """Run the batch up to `now` and return the steps that generated tokens."""
        seconds = max(0.0, now - self.now)
        self.now = max(now, self.now)
        if self.recovering or self.down:
            return []
        self.capacity += seconds * self.slots / self.profile.batch
        if self.hung:
            return []
        useful = min(self.running, self.slots) / self.profile.batch
        self.work += (
            seconds * useful * min(1.0, self._speed_fraction() * self._overload_ratio())
        )
        rate = self.job_rate()
        steps = [self._step(job, seconds, rate) for job in self.jobs.values()]
        generated = [step for step in steps if step.tokens]
        self.served += sum(step.tokens for step in generated)
        return generated

    def _speed_fraction(self) -> float:
        """Return a job's current speed as a fraction of its full speed."""
        batch = self.profile.batch
        excess = self.running - batch
        if excess <= 0:
            return 1.0
        return batch / self.running / (1.0 + OVERLOAD_COST * excess)

    def _overload_ratio(self) -> float:
        return max(1.0, self.running / self.profile.batch)

    def _step(self, job: Job, seconds: float, rate: float) -> Step:
        speed = rate / self.profile.tokens_per_s
        prefill = min(job.prefill_s, seconds * speed)
        job.prefill_s -= prefill
        if job.prefill_s > 1e-9:
            return Step(job, 0, False)
        spent = prefill / speed if speed else seconds
        job.credit += (seconds - spent) * rate
        tokens = min(int(job.credit), job.tokens - job.position)
        job.credit -= tokens
        first = not job.started and (tokens > 0 or job.tokens == job.position)
        job.started = job.started or first
        job.position += tokens
        return Step(job, tokens, first)
