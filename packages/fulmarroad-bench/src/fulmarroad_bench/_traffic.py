"""Generate the calls of a scenario's workspaces; a seed always gives the same."""

from __future__ import annotations

import itertools
import random
import time
from collections.abc import Callable

import anyio
from anyio.abc import TaskGroup
from attrs import define, evolve, field

from fulmarroad_bench._layout import WorkspaceRow
from fulmarroad_bench._load import Balancer, Callers, CallPlan, CallResult
from fulmarroad_bench._scenario import Group, Scenario

PAUSE_AFTER_REFUSAL_S = 0.25
"""Seconds that a caller waits after a call that was not completed."""
KEYED_SHARE = 0.7
"""Share of ledger calls with an idempotency key."""
MAX_SHARED_PREFIX_WORDS = 48
"""Maximum words with which all prompts of a workspace begin; engines cache them."""
REPEAT_SHARE = 0.2
"""Share of keyed ledger calls that are repeated, as after a lost answer."""


def workspace_names(group: Group) -> list[str]:
    """Return the names of a group's workspaces."""
    if group.count == 1:
        return [group.name]
    return [f"{group.name}-{number}" for number in range(1, group.count + 1)]


def workspace_rows(scenario: Scenario) -> tuple[WorkspaceRow, ...]:
    """Return all workspaces of a scenario."""
    return tuple(
        WorkspaceRow(name, group.weight)
        for group in scenario.groups
        for name in workspace_names(group)
    )


class CallGenerator:
    """Generate the calls of one workspace from a seed."""

    def __init__(self, group: Group, workspace: WorkspaceRow, seed: int) -> None:
        self._group = group
        self._workspace = workspace
        self._rng = random.Random(f"{seed}/{workspace.name}")
        self._numbers = itertools.count(1)

    def chat(self) -> CallPlan:
        """Return a chat call."""
        group, rng = self._group, self._rng
        tokens = rng.randint(group.tokens_low, group.tokens_high)
        if rng.random() < group.long_share:
            tokens = group.long_tokens
        words = rng.randint(group.prompt_low, group.prompt_high)
        return CallPlan(
            self._next_id("c"),
            self._workspace.name,
            self._workspace.key,
            stream=rng.random() < group.stream_share,
            tokens=tokens,
            hint=max(1, int(tokens * rng.uniform(group.hint_low, group.hint_high))),
            prompt=self._prompt(words),
        )

    def post(self) -> CallPlan:
        """Return a call to the ledger service, which must not run twice."""
        call_id = self._next_id("p")
        key = f"key-{call_id}" if self._rng.random() < KEYED_SHARE else ""
        return CallPlan(
            call_id,
            self._workspace.name,
            self._workspace.key,
            kind="ledger",
            idempotency_key=key,
            first_attempt=bool(key),
            timeout_s=30.0,
        )

    def interval_s(self, rate: float) -> float:
        """Return a random interval to the next call, for `rate` calls per second."""
        return self._rng.expovariate(rate)

    def should_repeat(self) -> bool:
        """Return whether a keyed call is to be repeated, by `REPEAT_SHARE`."""
        return self._rng.random() < REPEAT_SHARE

    def _next_id(self, kind: str) -> str:
        return f"{self._workspace.name}-{kind}{next(self._numbers)}"

    def _prompt(self, words: int) -> str:
        """Return a prompt that begins with the words common to the workspace."""
        start = f"{self._workspace.name} letter "
        common = start * min(words // 4, MAX_SHARED_PREFIX_WORDS // 2)
        return common + " ".join(f"w{self._rng.randrange(999)}" for _ in range(words))


@define(eq=False)
class Traffic:
    """Send the calls of all workspaces until `stopped` is set."""

    scenario: Scenario
    balancer: Balancer
    callers: Callers
    seed: int
    began: float = 0.0
    stopped: bool = False
    _clock: Callable[[], float] = field(default=time.monotonic)

    async def run(self) -> None:
        """Send calls; once `stopped` is set, wait for those still running."""
        self.began = self._clock()
        async with anyio.create_task_group() as group:
            for row in self.scenario.groups:
                for name in workspace_names(row):
                    workspace = WorkspaceRow(name, row.weight)
                    generator = CallGenerator(row, workspace, self.seed)
                    self._start_callers(group, row, generator)

    def _start_callers(
        self, group: TaskGroup, row: Group, generator: CallGenerator
    ) -> None:
        for _ in range(row.callers):
            group.start_soon(self._closed_loop, row, generator)
        if row.rate:
            group.start_soon(self._open_loop, row, row.rate, generator.chat, generator)
        if row.ledger_rate:
            group.start_soon(
                self._open_loop, row, row.ledger_rate, generator.post, generator
            )

    async def _closed_loop(self, row: Group, generator: CallGenerator) -> None:
        await anyio.sleep(row.start_s)
        while self._is_active(row):
            result = await self._send(generator.chat())
            if result.outcome != "completed":
                await anyio.sleep(PAUSE_AFTER_REFUSAL_S)
            elif row.think_s:
                await anyio.sleep(generator.interval_s(1.0 / row.think_s))

    async def _open_loop(
        self,
        row: Group,
        rate: float,
        new_call: Callable[[], CallPlan],
        generator: CallGenerator,
    ) -> None:
        await anyio.sleep(row.start_s)
        async with anyio.create_task_group() as group:
            while self._is_active(row):
                await anyio.sleep(generator.interval_s(rate))
                group.start_soon(self._send_once, new_call(), generator)

    async def _send_once(self, plan: CallPlan, generator: CallGenerator) -> None:
        result = await self._send(plan)
        if plan.idempotency_key and generator.should_repeat():
            if result.outcome != "completed":
                await anyio.sleep(PAUSE_AFTER_REFUSAL_S)
            await self._send(evolve(plan, first_attempt=False))

    async def _send(self, plan: CallPlan) -> CallResult:
        return await self.callers.send(
            plan, self.balancer.ranked_addresses(plan.workspace)
        )

    def _is_active(self, row: Group) -> bool:
        return not self.stopped and self._clock() - self.began < row.stop_s
