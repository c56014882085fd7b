"""Run routers before engines that fall silent, end or leave answers stuck.

    python -m fulmarroad_bench.silences                      # every form once
    python -m fulmarroad_bench.silences --form short --seeds 2
    python -m fulmarroad_bench.silences --form calm --tree PATH   # another checkout

Four routers run as processes on loopback; engines, callers and the store run in this
process. `docs/MEASURES.md` defines the fields of each line of output.
"""

from __future__ import annotations

import json
import os
import random
import sys
import time
from collections.abc import Sequence
from pathlib import Path
from typing import Any

import anyio
import fire
from anyio.abc import TaskGroup
from attrs import define, field

from fulmarroad_bench._processes import (
    Child,
    Processes,
    processes,
    run_main,
    wait_ready,
)
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
from fulmarroad_bench._silence_forms import FORMS, Form
from fulmarroad_platform.standin import (
    SETTINGS_PATH_VARIABLE,
    StandInRoute,
    catalog,
    server_entry,
    settings_text,
)
from fulmarroad_platform.standin_store import StandInStore

ROUTERS = 4
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

METRICS_PORT = 7410
STORE_PORT = 7430
ENGINE_PORT = 7431
ENGINES_HOST = 100
"""Last number of the first engine's address."""

ROUTE = StandInRoute(
    path_prefix="/draft/",
    objective_s=0.4,
    pause_objective_s=0.2,
    max_attempts=2,
    timeout_s=DEADLINE_S,
)
PASSED_VARIABLES = ("PATH", "HOME", "LANG", "FULMARROAD_FEATURES")


@define(eq=False)
class Day:
    """Run one form of the load."""

    form: Form
    seed: int
    tree: Path
    store: StandInStore = field(factory=StandInStore)
    engines: list[SilentEngine] = field(factory=list)
    routers: list[Child] = field(factory=list)
    received: list[ReceivedStream] = field(factory=list)
    _random: random.Random = field(init=False)
    _version: int = 0

    def __attrs_post_init__(self) -> None:
        self._random = random.Random(self.seed)
        for number in range(self.form.engines):
            host = loopback_host(ENGINES_HOST + number)
            self.engines.append(
                SilentEngine(
                    f"engine-{number + 1}",
                    host,
                    ENGINE_PORT,
                    self.form,
                    random.Random(f"{self.seed}-{number}"),
                )
            )

    async def run(self, starter: Processes) -> dict[str, Any]:
        """Run the load and return its figures."""
        async with anyio.create_task_group() as group:
            await self._start_standins(group)
            await self._start_routers(starter)
            await anyio.sleep(SETTLE_S)
            before_s = self._processor_s()
            await self._load(group)
            used_s = self._processor_s() - before_s
            group.cancel_scope.cancel()
        for engine in self.engines:
            engine.close()
        runs = [run for engine in self.engines for run in engine.runs]
        line = count_streams(self.received, runs)
        line["processor_s"] = round(used_s, 2)
        return line

    async def _start_standins(self, group: TaskGroup) -> None:
        self._put_catalog()
        for engine in self.engines:
            await engine.serve(group)
            slots = self.form.slots_per_engine
            entry = server_entry(engine.host, engine.port, slots)
            self.store.put_server(engine.name, entry)
        await self.store.serve(loopback_host(0), STORE_PORT, group)

    async def _start_routers(self, starter: Processes) -> None:
        hosts = [loopback_host(number + 1) for number in range(ROUTERS)]
        store = f"{loopback_host(0)}:{STORE_PORT}"
        environment = {
            name: os.environ[name] for name in PASSED_VARIABLES if name in os.environ
        }
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        for number, host in enumerate(hosts):
            name = f"router-{number + 1}"
            settings = starter.directory / f"{name}.toml"
            settings.write_text(
                settings_text(name, host, ROUTER_PORTS, hosts[:3], store)
            )
            child = await starter.start_program(
                name,
                [sys.executable, "deploy/router.py", str(METRICS_PORT)],
                directory=self.tree,
                environment=environment | {SETTINGS_PATH_VARIABLE: str(settings)},
            )
            self.routers.append(child)
        for child, host in zip(self.routers, hosts, strict=True):
            await wait_ready(child, f"{host}:{ROUTER_PORTS[1]}")

    def _processor_s(self) -> float:
        for child in self.routers:
            child.sample()
        return sum(child.cpu_s for child in self.routers)

    async def _load(self, background: TaskGroup) -> None:
        began = time.monotonic()
        background.start_soon(self._change_catalog)
        if self.form.silence_s:
            background.start_soon(self._silence_engines)
        background.start_soon(self._end_engines)
        async with anyio.create_task_group() as group:
            for stream in plan_streams(self.seed, LOAD_S, ROUTERS):
                await anyio.sleep(max(0.0, began + stream.at_s - time.monotonic()))
                group.start_soon(self._call, stream)

    async def _call(self, stream: PlannedStream) -> None:
        host = loopback_host(stream.router + 1)
        self.received.append(await call_stream(stream, host, ROUTER_PORTS[0]))

    async def _change_catalog(self) -> None:
        while True:
            await anyio.sleep(CATALOG_INTERVAL_S)
            self._put_catalog()

    def _put_catalog(self) -> None:
        """Write another configuration; one of its other routes changes."""
        self._version += self._random.randint(1, 4)
        others = [f"route-{number}" for number in range(OTHER_ROUTES)]
        others.append(f"route-of-{self._version}")
        slots = self.form.slots_per_engine
        self.store.put_catalog(catalog(self._version, ROUTE, slots, WORKSPACES, others))

    async def _silence_engines(self) -> None:
        number = 0
        while True:
            await anyio.sleep(self.form.silence_interval_s)
            self.engines[number % len(self.engines)].fall_silent(self.form.silence_s)
            number += 1

    async def _end_engines(self) -> None:
        ended = self.engines[: self.form.dead + self.form.hung]
        if not ended:
            return
        await anyio.sleep(ENDS_AT_S)
        for engine in ended:
            if self.form.dead:
                engine.die()
            else:
                engine.hang()
        await anyio.sleep(EXPIRY_S)
        for engine in ended:
            self.store.remove_server(engine.name)


def loopback_host(number: int) -> str:
    """Return a loopback address of this process's own network."""
    own = os.getpid()
    return f"127.{1 + own // 254 % 254}.{1 + own % 254}.{1 + number}"


async def run_form(form: Form, seed: int, tree: Path, keep: Path | None = None) -> Any:
    """Run one form with its own routers and return its figures."""
    async with processes(keep) as starter:
        return await Day(form, seed, tree).run(starter)


def default_tree() -> Path:
    """Return the checkout that this module is part of."""
    return Path(__file__).parents[4]


def main(
    form: str = "", seeds: int = 1, first_seed: int = 1, tree: str = "", logs: str = ""
) -> None:
    """Run the load and print one JSON line for each form and seed.

    Args:
        form: Name of a form, or several separated by commas; empty for all.
        seeds: Number of runs of each form, each with another seed.
        first_seed: Seed of the first run.
        tree: Checkout whose routers are run; empty for this one.
        logs: Directory for the routers' logs; they are removed without it.

    """
    names: Sequence[str] = [form] if isinstance(form, str) else list(form)
    names = ",".join(names).split(",") if form else list(FORMS)
    checkout = Path(tree).resolve() if tree else default_tree()
    for name in names:
        if name not in FORMS:
            raise SystemExit(f"Unknown form {name!r}. Use one of {', '.join(FORMS)}.")
    for name in names:
        for seed in range(first_seed, first_seed + seeds):
            keep = Path(logs).resolve() / f"{name}-{seed}" if logs else None
            if keep:
                keep.mkdir(parents=True, exist_ok=True)

            async def run(name: str = name, seed: int = seed, keep: Any = keep) -> Any:
                return await run_form(FORMS[name], seed, checkout, keep)

            line = {"form": name, "seed": seed, **run_main(run)}
            print(json.dumps(line), flush=True)


if __name__ == "__main__":
    fire.Fire(main)
