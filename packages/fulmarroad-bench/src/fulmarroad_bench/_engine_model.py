"""A model engine's continuous batch in numbers: no network, no clock of its own."""

from __future__ import annotations

from collections import OrderedDict

from attrs import define, field, frozen

from fulmarroad.exceptions import FulmarroadError
from fulmarroad_bench._answers import BLOCK_WORDS

OVERLOAD_COST = 0.08
"""Share of throughput lost for each request past the batch (cache is swapped)."""


class EngineRefusedError(FulmarroadError):
    """Report that the engine takes no request now."""


@frozen
class EngineProfile:
    """Hold what an engine can bear.

    Up to `batch` requests run at `tokens_per_s` each; past it they share what the
    whole batch yields, and less. A cold engine runs at `cold_speed` of that and bears
    `cold_capacity` requests; both rise evenly with the tokens that it has served
    since, until `warm_tokens`.
    """

    batch: int = 8
    tokens_per_s: float = 40.0
    prefill_tokens_per_s: float = 4000.0
    cold_capacity: int = 2
    cold_speed: float = 0.5
    cold_first_s: float = 0.4
    warm_tokens: float = 160.0
    recovery_s: float = 3.0
    cache_blocks: int = 1024


@define(eq=False)
class Job:
    """Follow one request through the batch."""

    job_id: int
    tokens: int
    position: int
    cached_tokens: int
    prefill_s: float
    credit: float = 0.0
    started: bool = False

    @property
    def done(self) -> bool:
        """Tell whether the last token is out."""
        return self.started and self.position >= self.tokens


@frozen
class Step:
    """Tell how many tokens a job got in one step; `first` marks its first one."""

    job: Job
    tokens: int
    first: bool


@frozen
class CacheEvent:
    """Tell of a block that the prefix cache stored or dropped."""

    number: int
    kind: str  # stored or removed
    block: int


class PrefixCache:
    """Keep the newest blocks of prompts, up to a bound."""

    def __init__(self, blocks: int) -> None:
        self._bound = blocks
        self._blocks: OrderedDict[int, None] = OrderedDict()
        self._number = 0

    def matched(self, blocks: tuple[int, ...]) -> int:
        """Return how many leading blocks are held."""
        count = 0
        for block in blocks:
            if block not in self._blocks:
                break
            self._blocks.move_to_end(block)
            count += 1
        return count

    def store(self, blocks: tuple[int, ...]) -> list[CacheEvent]:
        """Hold blocks and return what changed."""
        events = []
        for block in blocks:
            if block not in self._blocks:
                events.append(self._event("stored", block))
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        while len(self._blocks) > self._bound:
            dropped, _ = self._blocks.popitem(last=False)
            events.append(self._event("removed", dropped))
        return events

    def clear(self) -> None:
        """Forget every block."""
        self._blocks.clear()

    def _event(self, kind: str, block: int) -> CacheEvent:
        self._number += 1
        return CacheEvent(self._number, kind, block)


@define(eq=False)
class BatchModel:
    """Run jobs in one continuous batch; the caller passes the time in."""

    profile: EngineProfile = field(factory=EngineProfile)
    now: float = 0.0
    jobs: dict[int, Job] = field(factory=dict)
    served: float = 0.0  # tokens since the engine was last cold
    slow: float = 1.0  # times as slow as the profile says
    hung: bool = False
    down: bool = False  # the process is gone
    recovering_until: float = 0.0
    overloads: int = 0  # times that it fell over cold
    max_running: int = 0
    work: float = 0.0  # seconds of full throughput given
    capacity: float = 0.0  # seconds of full throughput that could have been given
    cache: PrefixCache = field(init=False)
    cache_log: list[CacheEvent] = field(factory=list)
    _next_id: int = 0

    def __attrs_post_init__(self) -> None:
        self.cache = PrefixCache(self.profile.cache_blocks)

    @property
    def warmth(self) -> float:
        """Return how warm the engine is, from 0 to 1."""
        if self.profile.warm_tokens <= 0:
            return 1.0
        return min(1.0, self.served / self.profile.warm_tokens)

    @property
    def slots(self) -> int:
        """Return how many requests it bears now at full speed for each."""
        profile = self.profile
        room = profile.batch - profile.cold_capacity
        return profile.cold_capacity + int(room * self.warmth)

    @property
    def recovering(self) -> bool:
        """Tell whether it takes nothing because it fell over."""
        return self.now < self.recovering_until

    @property
    def running(self) -> int:
        """Return how many requests run."""
        return len(self.jobs)

    def admit(
        self,
        tokens: int,
        prompt_tokens: int,
        blocks: tuple[int, ...],
        position: int = 0,
    ) -> Job:
        """Take a request into the batch; raise when it is recovering."""
        if self.recovering:
            raise EngineRefusedError("the engine is restarting")
        hits = self.cache.matched(blocks)
        cached = min(hits * BLOCK_WORDS, prompt_tokens)
        self.cache_log.extend(self.cache.store(blocks))
        fresh = prompt_tokens - cached + position
        seconds = fresh / self.profile.prefill_tokens_per_s
        seconds += self.profile.cold_first_s * (1.0 - self.warmth)
        self._next_id += 1
        job = Job(self._next_id, tokens, position, cached, seconds)
        self.jobs[job.job_id] = job
        self.max_running = max(self.max_running, self.running)
        return job

    def overloaded_cold(self) -> bool:
        """Tell whether more runs than a cold engine bears."""
        return self.warmth < 1.0 and self.running > self.slots

    def crash(self) -> list[Job]:
        """Drop every job, turn cold and recover; return what was dropped."""
        self.overloads += 1
        self.recovering_until = self.now + self.profile.recovery_s
        return self.reset_to_cold()

    def reset_to_cold(self) -> list[Job]:
        """Drop every job and forget warmth and cache; return what was dropped."""
        dropped = list(self.jobs.values())
        self.jobs.clear()
        self.cache.clear()
        self.served = 0.0
        return dropped

    def remove(self, job: Job) -> None:
        """Take a job out: it ended, or its caller left."""
        self.jobs.pop(job.job_id, None)

    def job_rate(self) -> float:
        """Return the tokens a second that each running job gets now."""
        profile = self.profile
        speed = profile.cold_speed + (1.0 - profile.cold_speed) * self.warmth
        return profile.tokens_per_s * speed * self._share() / self.slow

    def advance(self, now: float) -> list[Step]:
        """Run the batch up to `now` and return the tokens given."""
        seconds = max(0.0, now - self.now)
        self.now = max(now, self.now)
        if self.recovering or self.down:
            return []
        self.capacity += seconds * self.slots / self.profile.batch
        if self.hung:
            return []
        useful = min(self.running, self.slots) / self.profile.batch
        self.work += seconds * useful * min(1.0, self._share() * self._crowding())
        rate = self.job_rate()
        steps = [self._step(job, seconds, rate) for job in self.jobs.values()]
        given = [step for step in steps if step.tokens]
        self.served += sum(step.tokens for step in given)
        return given

    def _share(self) -> float:
        """Return one job's share of its full speed."""
        batch = self.profile.batch
        over = self.running - batch
        if over <= 0:
            return 1.0
        return batch / self.running / (1.0 + OVERLOAD_COST * over)

    def _crowding(self) -> float:
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
