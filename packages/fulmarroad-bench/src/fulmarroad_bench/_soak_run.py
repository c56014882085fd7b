"""One run of a form: get routers out of step, break streams, take them up there."""

from __future__ import annotations

import random
import time
from pathlib import Path
from typing import Any

import anyio
from attrs import define, field, frozen

from fulmarroad_bench._platform_routers import fail_on_termination
from fulmarroad_bench._processes import processes
from fulmarroad_bench._soak_callers import (
    Address,
    Stream,
    begin,
    plan_streams,
    take_up,
)
from fulmarroad_bench._soak_counts import count_reasons, count_streams
from fulmarroad_bench._soak_forms import Breakage, Form, Lateness
from fulmarroad_bench._soak_world import ROUTERS, SoakWorld, WorldPlan

FORMER, JOINED = "v1", "v2"
"""Versions of the servers at the start, and of those that join."""

STREAMS, FRESH_STREAMS = 90, 20
JOIN_S = 0.1
"""Seconds from getting out of step until servers of the other version join."""

STREAM_AGE_S = 0.75
"""Age of the oldest streams when they break."""

MAX_JITTER_S = 0.05
DELAY_CHECK_S = 0.02
BEGIN_SPREAD_S = 0.2
"""Seconds within which the streams begin."""


@frozen
class RunPlan:
    """Hold what one run needs."""

    form: Form
    seed: int
    world: WorldPlan
    logs: Path | None = None


async def run_form(plan: RunPlan) -> dict[str, Any]:
    """Run a form with its own routers and return its figures.

    Raises `ProcessError` if this process is asked to terminate.
    """
    async with processes(plan.logs) as starter, anyio.create_task_group() as group:
        group.start_soon(fail_on_termination)
        run = _FormRun(plan, SoakWorld(plan.world, starter, group))
        figures = await run.run()
        group.cancel_scope.cancel()
    return figures


@define(eq=False)
class _FormRun:
    _plan: RunPlan
    _world: SoakWorld
    _random: random.Random = field(init=False)
    _late: list[int] = field(init=False)  # routers that get out of step
    _worst_delay_s: float = 0.0  # of this process
    _broken: anyio.Event = field(factory=anyio.Event)

    def __attrs_post_init__(self) -> None:
        self._random = random.Random(self._plan.seed)
        self._late = self._random.sample(range(ROUTERS), self._form.late_routers)

    @property
    def _form(self) -> Form:
        return self._plan.form

    async def run(self) -> dict[str, Any]:
        streams = plan_streams(self._random, STREAMS, "b")
        fresh = plan_streams(self._random, FRESH_STREAMS, "f")
        await self._world.start(FORMER)
        async with anyio.create_task_group() as background:
            background.start_soon(self._watch_delays)
            async with anyio.create_task_group() as group:
                group.start_soon(self._send_streams, streams)
                group.start_soon(self._change_world)
                group.start_soon(self._send_fresh, fresh)
            background.cancel_scope.cancel()
        return {
            "late_routers": [number + 1 for number in self._late],
            **count_streams(streams, fresh),
            "reasons": count_reasons(self._world.logs(self._late)),
            "worst_delay_s": round(self._worst_delay_s, 3),
        }

    async def _watch_delays(self) -> None:
        while True:
            due = time.monotonic() + DELAY_CHECK_S
            await anyio.sleep(DELAY_CHECK_S)
            self._worst_delay_s = max(self._worst_delay_s, time.monotonic() - due)

    async def _change_world(self) -> None:
        """Take routers out of step, let servers join, break the streams."""
        form = self._form
        self._take_out_of_step()
        await anyio.sleep(JOIN_S)
        if form.joins:
            await self._world.join(JOINED)
        jitter_s = self._random.uniform(0.0, MAX_JITTER_S)
        await anyio.sleep(form.late_s - JOIN_S + jitter_s)
        if form.back_s is not None:
            self._bring_back()
            await anyio.sleep(form.back_s)
        elif form.lateness is Lateness.STOPPED:
            self._wake()
        self._break_streams()
        if form.heals_s is not None:
            await anyio.sleep(form.heals_s)
            self._bring_back()

    def _take_out_of_step(self) -> None:
        world, lateness = self._world, self._form.lateness
        if lateness in (Lateness.CUT_OFF, Lateness.NO_STORE):
            world.cut_store(self._late)
        if lateness in (Lateness.CUT_OFF, Lateness.NO_PEERS):
            world.isolate(self._late)
        if lateness is Lateness.STOPPED:
            world.stop(self._late)

    def _bring_back(self) -> None:
        self._world.mend_store()
        self._world.rejoin()
        self._world.resume(self._late)

    def _wake(self) -> None:
        if self._form.store_silent_s:
            self._world.cut_store(self._late)
        self._world.resume(self._late)

    def _break_streams(self) -> None:
        if self._form.breakage is Breakage.SERVERS_ENDED:
            self._world.end_servers(JOINED)
        elif self._form.breakage is Breakage.SERVERS_LEFT:
            self._world.end_servers(JOINED, expiry_s=0.0)
        else:
            self._world.kill(self._others())
        self._broken.set()

    def _late_address(self) -> Address:
        return self._world.address(self._random.choice(self._late))

    def _others(self) -> list[int]:
        return [number for number in range(ROUTERS) if number not in self._late]

    async def _send_streams(self, streams: list[Stream]) -> None:
        await anyio.sleep(self._form.late_s + (self._form.back_s or 0.0) - STREAM_AGE_S)
        async with anyio.create_task_group() as group:
            for stream in streams:
                group.start_soon(self._call, stream)

    async def _call(self, stream: Stream) -> None:
        router = self._random.choice(self._others())
        await anyio.sleep(self._random.uniform(0.0, BEGIN_SPREAD_S))
        await begin(stream, self._world.address(router))
        await take_up(stream, self._late_address())

    async def _send_fresh(self, fresh: list[Stream]) -> None:
        await self._broken.wait()
        if self._form.store_silent_s:
            await anyio.sleep(self._form.store_silent_s)
            self._world.mend_store()
        async with anyio.create_task_group() as group:
            for stream in fresh:
                group.start_soon(begin, stream, self._late_address())
