"""Measure the overhead of one router compared with calling the stand-ins directly.

One router, one stand-in engine, one stand-in plain service and one caller process run
on this machine. The last line printed is JSON; docs/MEASURES.md defines its fields.
"""

from __future__ import annotations

import json
import statistics
import sys
import time
from collections.abc import Sequence
from typing import Any

import anyio
import fire
import psutil
from attrs import define, field

from fulmarroad.exceptions import FulmarroadError
from fulmarroad_bench._client import Answer, call
from fulmarroad_bench._layout import Layout, ServerRow, WorkspaceRow
from fulmarroad_bench._load import CallPlan, classify_call
from fulmarroad_bench._processes import (
    LocalFleet,
    ProcessError,
    free_ports,
    processes,
    router_rows,
    run_main,
    start_local_fleet,
)

CENTRE = "centre-1"
WORKSPACE = WorkspaceRow("bench")
SINGLE_CALLS = 400
"""Number of sequential calls; their median is stable to about 2% from 200 on."""
BUSY_S = 4.0
"""Seconds of concurrent calls; long against the 10 ms steps of processor time."""
BUSY_CALLERS = 24
STREAMS = 24
STREAM_TOKENS = 300
TOKENS_PER_S = 100.0
POOL = {
    "max_concurrency": 64,
    "cold_concurrency": 64,
    "first_token_target_s": 5.0,
    "gap_target_s": 1.0,
}


@define(eq=False)
class TimedAnswer(Answer):
    """Record an answer and when each of its events arrived."""

    event_times: list[float] = field(factory=list)

    def on_body(self, data: bytes) -> None:
        """Append a chunk of the body and record when its events arrived."""
        super().on_body(data)
        self.event_times += [time.monotonic()] * data.count(b"\n\n")


def bench_layout() -> Layout:
    """Return a layout with one router, one engine and one plain service."""
    engine, plain = free_ports(2)
    return Layout(
        (CENTRE,),
        (WORKSPACE,),
        tuple(router_rows([("router-1", CENTRE)])),
        (ServerRow("engine-1", CENTRE, engine),),
        (ServerRow("ledger-1", CENTRE, plain),),
        dict(POOL),
    )


class Meter:
    """Send the same calls to one address and measure their cost.

    `processes_used` are the ids of the processes whose processor time counts.
    """

    def __init__(self, name: str, address: str, processes_used: Sequence[int]) -> None:
        self._name = name
        self._address = address
        self._processes = [psutil.Process(pid) for pid in processes_used]
        self._count = 0

    async def single_call_ms(self) -> float:
        """Return the median time of sequential plain calls, in milliseconds."""
        seconds = []
        for _ in range(SINGLE_CALLS):
            answer = await self._plain_call()
            seconds.append(answer.end_at - answer.sent_at)
        return statistics.median(seconds) * 1000

    async def concurrent_calls(self) -> tuple[float, float]:
        """Return concurrent plain calls per second and per processor second."""
        before, began = self._cpu_seconds(), time.monotonic()
        done = 0

        async def caller() -> None:
            nonlocal done
            while time.monotonic() - began < BUSY_S:
                await self._plain_call()
                done += 1

        async with anyio.create_task_group() as group:
            for _ in range(BUSY_CALLERS):
                group.start_soon(caller)
        seconds = time.monotonic() - began
        return done / seconds, done / max(0.01, self._cpu_seconds() - before)

    async def streams(self) -> tuple[dict[str, list[float]], float]:
        """Return the event times of each stream, and events per processor second."""
        before = self._cpu_seconds()
        arrivals: dict[str, list[float]] = {}

        async def caller() -> None:
            plan = self._plan("chat")
            answer = await self._call(plan)
            arrivals[plan.id] = answer.event_times

        async with anyio.create_task_group() as group:
            for _ in range(STREAMS):
                group.start_soon(caller)
        events = sum(len(times) for times in arrivals.values())
        return arrivals, events / max(0.01, self._cpu_seconds() - before)

    async def _plain_call(self) -> TimedAnswer:
        return await self._call(self._plan("ledger"))

    async def _call(self, plan: CallPlan) -> TimedAnswer:
        answer = TimedAnswer()
        await call(self._address, plan.request(), answer=answer)
        if classify_call(plan, answer).outcome != "completed":
            raise ProcessError(
                f"{self._address} failed call {plan.id} with status {answer.status}.",
                hint=bytes(answer.body[:300]).decode(errors="replace"),
            )
        return answer

    def _plan(self, kind: str) -> CallPlan:
        self._count += 1
        return CallPlan(
            f"{self._name}-{kind}-{self._count}",
            WORKSPACE.name,
            WORKSPACE.key,
            kind=kind,
            tokens=STREAM_TOKENS,
            hint=STREAM_TOKENS,
        )

    def _cpu_seconds(self) -> float:
        times = [process.cpu_times() for process in self._processes]
        return sum(each.user + each.system for each in times)


def chunk_ms(arrivals: dict[str, list[float]], report: dict[str, Any]) -> float:
    """Return the median delay of a token from engine to caller, in milliseconds."""
    send_times: dict[int, list[float]] = {}
    for at, index, tokens in report["service"]:
        send_times.setdefault(index, []).extend([at] * tokens)
    ids = {record["id"]: n for n, record in enumerate(report["records"])}
    late = [
        arrived - left
        for call_id, times in arrivals.items()
        for left, arrived in zip(send_times[ids[call_id]], times, strict=False)
    ]
    return statistics.median(late) * 1000


async def measure(local_fleet: LocalFleet) -> dict[str, float]:
    """Return the measures of direct and of routed calls."""
    layout = local_fleet.layout
    pids = {child.name: child.pid for child in local_fleet.starter.children}
    router = layout.routers[0].address
    plain_direct = Meter("direct", layout.plains[0].address, [pids["plains"]])
    engine_direct = Meter("direct", layout.engines[0].address, [pids["engines"]])
    routed = Meter("routed", router, [pids["router-1"]])
    line: dict[str, float] = {}
    for name, meter in (("direct", plain_direct), ("routed", routed)):
        await meter.single_call_ms()  # warms up connections, caches and code paths
        line[f"call_ms_{name}"] = await meter.single_call_ms()
        rate, per_core = await meter.concurrent_calls()
        line[f"calls_per_s_{name}"] = rate
        line[f"calls_per_core_{name}"] = per_core
    for name, meter in (("direct", engine_direct), ("routed", routed)):
        arrivals, per_core = await meter.streams()
        report = (await local_fleet.engine_reports())[0]
        line[f"chunk_ms_{name}"] = chunk_ms(arrivals, report)
        line[f"chunks_per_core_{name}"] = per_core
    return ratios(line)


def ratios(line: dict[str, float]) -> dict[str, float]:
    """Return the rounded measures together with the router's overhead."""
    overhead = {
        "call_added_ms": line["call_ms_routed"] - line["call_ms_direct"],
        "call_ratio": line["call_ms_routed"] / line["call_ms_direct"],
        "chunk_added_ms": line["chunk_ms_routed"] - line["chunk_ms_direct"],
        "chunk_ratio": line["chunk_ms_routed"] / line["chunk_ms_direct"],
        "calls_ratio": line["calls_per_core_routed"] / line["calls_per_core_direct"],
    }
    return {key: round(value, 3) for key, value in {**line, **overhead}.items()}


async def run() -> dict[str, float]:
    """Start the processes and return the measures."""
    profile = {"batch": 64, "tokens_per_s": TOKENS_PER_S, "warm_tokens": 0.0}
    async with processes() as starter:
        local_fleet = await start_local_fleet(
            bench_layout(), starter, profile=profile, plain_service_s=0.0
        )
        await local_fleet.start_routers()
        return await measure(local_fleet)


def main() -> None:
    """Measure the overhead of one router and print it; the last line is JSON."""
    try:
        line = run_main(run)
    except FulmarroadError as error:
        print(error.format_message(), file=sys.stderr)
        sys.exit(error.exit_code)
    for key, value in line.items():
        print(f"{key:<24} {value}")
    print(json.dumps(line))


if __name__ == "__main__":
    fire.Fire(main)
