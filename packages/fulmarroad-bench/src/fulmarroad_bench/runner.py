"""Run one scenario on real processes and measure it from outside them."""

from __future__ import annotations

import contextlib
import json
import random
import sys
import time
from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import Any

import anyio
import attrs
import fire
from attrs import asdict, define, field

from fulmarroad.exceptions import ConfigurationError, FulmarroadError
from fulmarroad.scheduling import gap_bound, spread_interval
from fulmarroad_bench._client import Request, call
from fulmarroad_bench._faults import FaultInjector
from fulmarroad_bench._layout import Layout, ServerRow
from fulmarroad_bench._load import Balancer, Callers
from fulmarroad_bench._measures import PROMPT_COST, Run, measures
from fulmarroad_bench._plots import draw
from fulmarroad_bench._processes import (
    Child,
    LocalFleet,
    ProcessError,
    free_ports,
    processes,
    router_rows,
    run_main,
    start_local_fleet,
)
from fulmarroad_bench._scenario import Scenario, load_scenario
from fulmarroad_bench._traffic import (
    MAX_SHARED_PREFIX_WORDS,
    Traffic,
    workspace_names,
    workspace_rows,
)
from fulmarroad_bench._versions import VersionObservation, find_reverts

RESULTS = Path("bench/results")
POLICIES = ("fleet", "local", "fifo")
FIRST_TOKEN_TARGET_S = 0.5
"""Seconds to the first token that a cold stand-in engine needs without a queue."""
GAP_ALLOWANCE = 1.24
"""Factor on the token gap of an unloaded engine: 50 ms give a target of 62 ms."""
CONTROL_FIELDS = (
    "control_bytes_per_node_s",
    "control_cpu_share",
    "control_memory_mb",
)
CALLERS = "callers"
ZERO_CONTROL_USAGE = {"bytes_sent": 0, "bytes_received": 0, "cpu_s": 0.0}
READY_POLL_S = 0.5
"""Seconds between the load balancer's readiness checks of each router."""
DRAIN_S = 14.0
"""Seconds that running answers may take to end after the last call was sent."""
REPORT_DELAY_S = 0.05
"""Delay of a report between two routers on one machine under load, in seconds."""


def layout_of(scenario: Scenario, routers: int) -> Layout:
    """Return the layout of a scenario's fleet, spread evenly over the data centres."""
    fleet = scenario.fleet
    centres = tuple(f"centre-{n + 1}" for n in range(fleet.data_centres))
    ports = free_ports(fleet.engines + fleet.plains)
    engines = [
        ServerRow(f"engine-{n + 1}", centres[n % len(centres)], ports[n])
        for n in range(fleet.engines)
    ]
    plains = [
        ServerRow(f"ledger-{n + 1}", centres[n % len(centres)], port)
        for n, port in enumerate(ports[fleet.engines :])
    ]
    names = [
        (f"router-{n + 1:02}", centres[n % len(centres)])
        for n in range(routers or fleet.routers)
    ]
    pool = {
        "cold_concurrency": scenario.engine.cold_capacity,
        "first_token_target_s": FIRST_TOKEN_TARGET_S,
        "gap_target_s": round(GAP_ALLOWANCE / scenario.engine.tokens_per_s, 4),
        **scenario.pool,
    }
    return Layout(
        centres,
        workspace_rows(scenario),
        tuple(router_rows(names)),
        tuple(engines),
        tuple(plains),
        dict(pool),
        dict(scenario.route),
    )


@define(eq=False)
class Experiment:
    """Run a scenario on a started fleet and hold what was observed."""

    scenario: Scenario
    local_fleet: LocalFleet
    seed: int
    callers: Callers = field(factory=Callers)
    before: dict[str, Mapping[str, Any]] = field(factory=dict)
    after: dict[str, Mapping[str, Any]] = field(factory=dict)
    cpu_before: dict[str, float] = field(factory=dict)
    cpu_after: dict[str, float] = field(factory=dict)
    start: float = 0.0
    end: float = 0.0
    versions: list[VersionObservation] = field(factory=list)
    faults: FaultInjector = field(init=False)
    balancer: Balancer = field(init=False)

    def __attrs_post_init__(self) -> None:
        spread = {
            name: group.spread
            for group in self.scenario.groups
            for name in workspace_names(group)
        }
        addresses = {row.name: row.address for row in self.local_fleet.layout.routers}
        self.balancer = Balancer(addresses, random.Random(self.seed), spread)

    async def run(self) -> None:
        """Warm up, measure, then wait up to `DRAIN_S` for running calls."""
        traffic = Traffic(self.scenario, self.balancer, self.callers, self.seed)
        async with anyio.create_task_group() as group:
            self.faults = FaultInjector(self.local_fleet, self.balancer, group)
            group.start_soon(self._watch_readiness)
            group.start_soon(traffic.run)
            await anyio.sleep(self.scenario.warm_s)
            await self._run_measured_period(group)
            traffic.stopped = True
            with anyio.move_on_after(DRAIN_S):
                while self.callers.running:
                    await anyio.sleep(0.05)
            group.cancel_scope.cancel()

    async def _run_measured_period(self, group: Any) -> None:
        self.before = await self._control_usage()
        self.cpu_before = self._cpu_seconds()
        self.start = time.monotonic()
        group.start_soon(self.faults.run, self.scenario.faults, self.start)
        await anyio.sleep(self.scenario.seconds)
        self.end = time.monotonic()
        self.after = await self._control_usage()
        self.cpu_after = self._cpu_seconds()

    async def _control_usage(self) -> dict[str, Mapping[str, Any]]:
        """Return the control traffic that each reachable router reports for itself."""
        found = {}
        for name in list(self.local_fleet.rows):
            try:
                control = (await self.local_fleet.status(name)).get("control")
            except ProcessError:
                continue
            if control:
                found[name] = control
        return found

    def _cpu_seconds(self) -> dict[str, float]:
        for child in self.local_fleet.starter.children:
            child.sample()
        used = {child.name: child.cpu_s for child in self.local_fleet.starter.children}
        return {**used, CALLERS: time.process_time()}

    async def _watch_readiness(self) -> None:
        """Exclude routers that aren't ready, as the platform's load balancer does."""
        while True:
            async with anyio.create_task_group() as group:
                for name, row in list(self.local_fleet.rows.items()):
                    group.start_soon(self._check_readiness, name, row.admin_address)
            await anyio.sleep(READY_POLL_S)

    async def _check_readiness(self, name: str, address: str) -> None:
        answer = await call(address, Request("GET", "/readyz"), timeout_s=1.0)
        if answer.status != 200:
            self.balancer.unready.add(name)
            return
        self.balancer.unready.discard(name)
        with contextlib.suppress(ProcessError):
            version = int((await self.local_fleet.status(name))["table_version"])
            self.versions.append(VersionObservation(time.monotonic(), name, version))


def control_measures(experiment: Experiment) -> dict[str, float | None]:
    """Return the mean control traffic, processor share and memory of a router.

    A router that started during the measured period counts from its start.
    """
    router_seconds, totals = 0.0, {"bytes": 0.0, "cpu_s": 0.0, "memory_bytes": 0.0}
    for name, after in experiment.after.items():
        before = experiment.before.get(name, ZERO_CONTROL_USAGE)
        measured_from = max(
            experiment.start, experiment.local_fleet.routers[name].started
        )
        router_seconds += experiment.end - measured_from
        for key in ("bytes_sent", "bytes_received"):
            totals["bytes"] += after[key] - before[key]
        totals["cpu_s"] += after["cpu_s"] - before["cpu_s"]
        totals["memory_bytes"] += after["memory_bytes"]
    if not router_seconds:
        return dict.fromkeys(CONTROL_FIELDS)
    values = (
        round(totals["bytes"] / router_seconds, 1),
        round(totals["cpu_s"] / router_seconds, 5),
        round(totals["memory_bytes"] / len(experiment.after) / 1e6, 2),
    )
    return dict(zip(CONTROL_FIELDS, values, strict=True))


def cpu_share(experiment: Experiment, names: Sequence[str]) -> float:
    """Return the mean share of a core that the named processes used."""
    seconds = experiment.end - experiment.start
    before, after = experiment.cpu_before, experiment.cpu_after
    shares = [
        (after[name] - before.get(name, 0.0)) / seconds
        for name in names
        if name in after
    ]
    return round(sum(shares) / len(shares), 4) if shares else 0.0


def bound_of(scenario: Scenario, layout: Layout, engines: Sequence[Any]) -> float:
    """Return the upper bound of the fairness gap that the fleet queue guarantees."""
    largest = max(
        max(group.tokens_high, group.long_tokens if group.long_share else 0)
        + PROMPT_COST * (group.prompt_high + MAX_SHARED_PREFIX_WORDS)
        for group in scenario.groups
    )
    shards = len({row.data_centre for row in layout.engines})
    return gap_bound(
        units=sum(report["max_running"] for report in engines),
        shards=shards,
        rate=len(engines) * scenario.engine.batch * scenario.engine.tokens_per_s,
        interval_s=spread_interval(shards - 1, len(layout.workspaces)),
        delay_s=REPORT_DELAY_S,
        largest_cost=largest,
        estimate_error=largest,
        min_weight=min(row.weight for row in layout.workspaces),
    )


async def run_scenario(
    scenario: Scenario, seed: int, policy: str, routers: int, directory: Path
) -> dict[str, Any]:
    """Run a scenario once and return its measures."""
    layout = layout_of(scenario, routers)
    profile = attrs.asdict(scenario.engine)
    async with processes(directory) as starter:
        local_fleet = await start_local_fleet(
            layout, starter, policy=policy, profile=profile
        )
        await local_fleet.start_routers()
        experiment = Experiment(scenario, local_fleet, seed)
        await experiment.run()
        engines, plains = (
            await local_fleet.engine_reports(),
            await local_fleet.plain_reports(),
        )
        await starter.stop_all()
    run = run_of(experiment, engines, plains)
    draw(run, experiment.faults.injected, directory)
    _write_incomplete_calls(run, directory)
    return line_of(experiment, run, policy)


def _write_incomplete_calls(run: Run, directory: Path) -> None:
    """Write every call that did not complete to a file, for diagnosis."""
    lines = [
        json.dumps({"after_s": round(result.sent_at - run.start, 3), **asdict(result)})
        for result in run.results
        if result.outcome != "completed"
    ]
    (directory / "not_completed.jsonl").write_text("".join(f"{x}\n" for x in lines))


def run_of(experiment: Experiment, engines: Any, plains: Any) -> Run:
    """Return the observations that the measures are computed from."""
    layout, faults = experiment.local_fleet.layout, experiment.faults
    return Run(
        experiment.start,
        experiment.end,
        experiment.callers.results,
        engines,
        plains,
        {row.name: row.weight for row in layout.workspaces},
        {row.name: row.data_centre for row in (*layout.engines, *layout.plains)},
        faults.removed_centre,
        faults.removed_at,
        faults.restored_at,
    )


def line_of(experiment: Experiment, run: Run, policy: str) -> dict[str, Any]:
    """Return the measures of a run as the fields of its output line."""
    scenario, faults = experiment.scenario, experiment.faults
    codes = [exit_code(child) for child in experiment.local_fleet.routers.values()]
    return {
        "scenario": scenario.name,
        "seed": experiment.seed,
        "policy": policy,
        "routers": len(experiment.local_fleet.layout.routers),
        "servers": scenario.fleet.engines + scenario.fleet.plains,
        "seconds": round(run.end - run.start, 2),
        **measures(run),
        "fairness_gap_bound": round(
            bound_of(scenario, experiment.local_fleet.layout, run.engines), 1
        ),
        **control_measures(experiment),
        "router_cpu_share": cpu_share(experiment, list(experiment.local_fleet.routers)),
        "engines_cpu_share": cpu_share(experiment, ["engines"]),
        "callers_cpu_share": cpu_share(experiment, [CALLERS]),
        "config_spread_s": round(max(faults.propagation_times), 3)
        if faults.propagation_times
        else None,
        "config_reverts": len(find_reverts(experiment.versions)),
        "bad_exits": sum(code != 0 for code in codes),
        "unfinished": experiment.callers.running,
    }


def exit_code(child: Child) -> int | None:
    """Return a process's exit code."""
    return child.process.returncode


def table_of(line: Mapping[str, Any]) -> str:
    """Return the measures as a text table, one row each."""
    return "\n".join(f"{key:<28} {value}" for key, value in line.items()) + "\n"


def run_file(path: Path, seed: int, policy: str, routers: int) -> dict[str, Any]:
    """Run a scenario file once, write the results and return the measures."""
    if policy not in POLICIES:
        raise ConfigurationError(f"The policy must be one of {', '.join(POLICIES)}.")
    scenario = load_scenario(path)
    count = routers or scenario.fleet.routers
    directory = _empty_directory(f"{scenario.name}-{policy}-{count}-{seed}")

    async def run() -> dict[str, Any]:
        return await run_scenario(scenario, seed, policy, count, directory)

    line = run_main(run)
    (directory / "measures.txt").write_text(table_of(line))
    (directory / "line.json").write_text(json.dumps(line) + "\n")
    return line


def _empty_directory(name: str) -> Path:
    directory = RESULTS / name
    directory.mkdir(parents=True, exist_ok=True)
    for old in directory.iterdir():
        old.unlink()
    return directory


def main(scenario: str, seed: int = 1, policy: str = "fleet", routers: int = 0) -> None:
    """Run a scenario and print its measures; the last line is JSON.

    Args:
        scenario: path of the scenario's TOML file.
        seed: seed of the random calls.
        policy: fleet, local or fifo.
        routers: number of routers; 0 takes the scenario's number.

    """
    try:
        line = run_file(Path(scenario), seed, policy, routers)
    except FulmarroadError as error:
        print(error.format_message(), file=sys.stderr)
        sys.exit(error.exit_code)
    print(table_of(line))
    print(json.dumps(line))


if __name__ == "__main__":
    fire.Fire(main)
