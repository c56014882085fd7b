"""One run of routers before engines that fall silent."""

from __future__ import annotations

import random
import time
from pathlib import Path
from typing import Any

import anyio
from anyio.abc import TaskGroup
from attrs import define, field, frozen

from fulmarroad_bench._platform_routers import (
    fail_on_termination,
    start_platform_router,
)
from fulmarroad_bench._processes import Child, Processes, processes, wait_ready
from fulmarroad_bench._silence_callers import (
    DEADLINE_S,
    WORKSPACES,
    PlannedStream,
    ReceivedStream,
    call_stream,
    plan_streams,
)
from fulmarroad_bench._silence_counts import count_streams
from fulmarroad_bench._silence_engine import SilentEngine
from fulmarroad_bench._silence_forms import Form
from fulmarroad_platform.standin import (
    StandInRoute,
    catalog,
    server_entry,
    settings_text,
)
from fulmarroad_platform.standin_store import StandInStore

ROUTERS = 4
SEED_ROUTERS = 3
"""Routers that a starting router contacts first."""

LOAD_S = 9.0
SETTLE_S = 2.0
"""Seconds from readiness to the load, in which the routers find each other."""

CATALOG_INTERVAL_S = 1.0
OTHER_ROUTES = 20

ENDS_AT_S = 1.0
"""Seconds of load after which engines end."""

EXPIRY_S = 3.6
"""Seconds after which the store removes an engine that ended."""

ROUTER_PORTS = (7420, 7421, 7422, 7400)
"""Ports for callers, readiness, control and other routers."""

STORE_PORT = 7430
ENGINE_PORT = 7431

STORE_HOST, FIRST_ROUTER_HOST, FIRST_ENGINE_HOST = 1, 2, 100
"""Last numbers of addresses."""

ROUTE = StandInRoute(
    path_prefix="/draft/",
    objective_s=0.4,
    pause_objective_s=0.2,
    max_attempts=2,
    timeout_s=DEADLINE_S,
)


@frozen
class RunPlan:
    """Hold what one run needs."""

    form: Form
    seed: int
    tree: Path  # checkout whose routers are run
    retry_burst: int
    network: str  # first three numbers of its addresses
    logs: Path | None = None

    def host(self, number: int) -> str:
        """Return an address of the run."""
        return f"{self.network}.{number}"


async def run_load(plan: RunPlan) -> dict[str, Any]:
    """Run the load with its own routers and return its figures.

    Raises `ProcessError` if this process is asked to terminate.
    """
    async with processes(plan.logs) as starter, anyio.create_task_group() as group:
        group.start_soon(fail_on_termination)
        figures = await SilenceRun(plan, starter).run()
        group.cancel_scope.cancel()
    return figures


@define(eq=False)
class SilenceRun:
    """Run one form of the load."""

    _plan: RunPlan
    _starter: Processes
    _store: StandInStore = field(factory=StandInStore)
    _engines: list[SilentEngine] = field(init=False)
    _routers: list[Child] = field(factory=list)
    _received: list[ReceivedStream] = field(factory=list)
    _random: random.Random = field(init=False)
    _version: int = 0
    _worst_delay_s: float = 0.0  # of a stream that this process sent late

    def __attrs_post_init__(self) -> None:
        plan = self._plan
        self._random = random.Random(plan.seed)
        self._engines = [
            SilentEngine(
                f"engine-{number + 1}",
                plan.host(FIRST_ENGINE_HOST + number),
                ENGINE_PORT,
                plan.form,
                random.Random(f"{plan.seed}-{number}"),
            )
            for number in range(plan.form.engines)
        ]

    async def run(self) -> dict[str, Any]:
        """Run the load and return its figures."""
        async with anyio.create_task_group() as group:
            await self._start_standins(group)
            await self._start_routers()
            await anyio.sleep(SETTLE_S)
            before_s = self._processor_s()
            await self._send_load(group)
            used_s = self._processor_s() - before_s
            group.cancel_scope.cancel()
        for engine in self._engines:
            await engine.close()
        runs = [run for engine in self._engines for run in engine.runs]
        line = count_streams(self._received, runs)
        return line | {
            "processor_s": round(used_s, 2),
            "worst_delay_s": round(self._worst_delay_s, 3),
        }

    async def _start_standins(self, group: TaskGroup) -> None:
        self._put_catalog()
        slots = self._plan.form.slots_per_engine
        for engine in self._engines:
            await engine.serve(group)
            entry = server_entry(engine.host, engine.port, slots)
            self._store.put_server(engine.name, entry)
        await self._store.serve(self._plan.host(STORE_HOST), STORE_PORT, group)

    async def _start_routers(self) -> None:
        hosts = [self._plan.host(FIRST_ROUTER_HOST + n) for n in range(ROUTERS)]
        for number, host in enumerate(hosts):
            await self._start_router(f"router-{number + 1}", host, hosts[:SEED_ROUTERS])
        for child, host in zip(self._routers, hosts, strict=True):
            await wait_ready(child, f"{host}:{ROUTER_PORTS[1]}")

    async def _start_router(self, name: str, host: str, seeds: list[str]) -> None:
        store = f"{self._plan.host(STORE_HOST)}:{STORE_PORT}"
        burst = self._plan.retry_burst
        text = settings_text(name, host, ROUTER_PORTS, seeds, store, burst)
        child = await start_platform_router(self._starter, self._plan.tree, name, text)
        self._routers.append(child)

    def _processor_s(self) -> float:
        """Return the user and system time of the routers so far."""
        for child in self._routers:
            child.sample()
        return sum(child.cpu_s for child in self._routers)

    async def _send_load(self, background: TaskGroup) -> None:
        began = time.monotonic()
        background.start_soon(self._change_catalog)
        background.start_soon(self._silence_engines)
        background.start_soon(self._end_engines)
        async with anyio.create_task_group() as group:
            for stream in plan_streams(self._plan.seed, LOAD_S, ROUTERS):
                due = began + stream.at_s
                await anyio.sleep(max(0.0, due - time.monotonic()))
                self._worst_delay_s = max(self._worst_delay_s, time.monotonic() - due)
                group.start_soon(self._call, stream)

    async def _call(self, stream: PlannedStream) -> None:
        host = self._plan.host(FIRST_ROUTER_HOST + stream.router)
        self._received.append(await call_stream(stream, host, ROUTER_PORTS[0]))

    async def _change_catalog(self) -> None:
        while True:
            await anyio.sleep(CATALOG_INTERVAL_S)
            self._put_catalog()

    def _put_catalog(self) -> None:
        """Write another configuration; one of its other routes changes."""
        self._version += self._random.randint(1, 4)
        others = [f"route-{number}" for number in range(OTHER_ROUTES)]
        others.append(f"route-of-{self._version}")
        slots = self._plan.form.slots_per_engine
        self._store.put_catalog(
            catalog(self._version, ROUTE, slots, WORKSPACES, others)
        )

    async def _silence_engines(self) -> None:
        form, number = self._plan.form, 0
        while form.silence_s:
            await anyio.sleep(form.silence_interval_s)
            self._engines[number % len(self._engines)].fall_silent(form.silence_s)
            number += 1

    async def _end_engines(self) -> None:
        form = self._plan.form
        await anyio.sleep(ENDS_AT_S)
        # Routers may leave some engines unused; their end would show nothing.
        busiest = sorted(self._engines, key=lambda row: row.running, reverse=True)
        ended = busiest[: form.dead + form.hung]
        for engine in ended[: form.dead]:
            engine.die()
        for engine in ended[form.dead :]:
            engine.hang()
        await anyio.sleep(EXPIRY_S)
        for engine in ended:
            self._store.remove_server(engine.name)
