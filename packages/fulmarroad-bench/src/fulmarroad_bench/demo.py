"""Demo of three routers and four workspaces: a data centre is removed and restored."""

from __future__ import annotations

import json
import random
import sys
import time
from collections.abc import Sequence

import anyio
from attrs import define, evolve, field

from fulmarroad.exceptions import FulmarroadError
from fulmarroad_bench._checks import Checks, check, starts_in
from fulmarroad_bench._layout import Layout, ServerRow, WorkspaceRow
from fulmarroad_bench._load import Balancer, Callers, CallPlan, CallResult
from fulmarroad_bench._processes import (
    LocalFleet,
    Processes,
    free_ports,
    processes,
    router_rows,
    run_main,
    start_local_fleet,
)

CENTRES = ("north", "middle", "south")
REMOVED_CENTRE = "south"
PHASE_S = 6.0
"""Seconds of load before the data centre is removed, and while it is out."""
RETURN_S = 12.0
"""Seconds of load after its return: traffic ramps up slowly to cold engines."""
REMOVAL_LIMIT_S = 3.0
"""Seconds within which a removed data centre must stop receiving new work."""
CALLERS = {"atlas": 6, "cedar": 2, "harbour": 2, "dune": 2}
"""Callers of each workspace; the first workspace is much larger than the others."""
POST_EVERY = 5
"""Number of calls after which a caller posts to the ledger service."""
REPEAT_SHARE = 0.3
"""Share of posts with an idempotency key that their caller sends again."""


def demo_layout() -> Layout:
    """Return three data centres with a router, an engine and a ledger each."""
    ports = free_ports(2 * len(CENTRES))
    engines = [
        ServerRow(f"engine-{centre}", centre, ports[n])
        for n, centre in enumerate(CENTRES)
    ]
    plains = [
        ServerRow(f"ledger-{centre}", centre, ports[len(CENTRES) + n])
        for n, centre in enumerate(CENTRES)
    ]
    return Layout(
        CENTRES,
        tuple(WorkspaceRow(name) for name in CALLERS),
        tuple(router_rows([(f"router-{centre}", centre) for centre in CENTRES])),
        tuple(engines),
        tuple(plains),
    )


@define(eq=False)
class Demo:
    """Drive the fleet through the three phases of the demo."""

    local_fleet: LocalFleet
    rng: random.Random = field(factory=lambda: random.Random(1))
    callers: Callers = field(factory=Callers)
    removed_at: float = 0.0
    restored_at: float = 0.0
    stopped: bool = False
    _count: int = 0

    async def run(self) -> None:
        """Send calls while the data centre is removed and restored."""
        addresses = {row.name: row.address for row in self.local_fleet.layout.routers}
        balancer = Balancer(addresses, self.rng)
        async with anyio.create_task_group() as group:
            for workspace in self.local_fleet.layout.workspaces:
                for _ in range(CALLERS[workspace.name]):
                    group.start_soon(self._caller, workspace, balancer)
            await self._phases()
            self.stopped = True
            print_progress("No new calls; waiting for running answers to end.")

    async def _phases(self) -> None:
        print_progress(
            f"Twelve callers of {len(CALLERS)} workspaces start; engines are cold."
        )
        await anyio.sleep(PHASE_S)
        print_progress(
            f"Operators remove data centre {REMOVED_CENTRE!r}: table version 2."
        )
        self.removed_at = time.monotonic()
        await self.local_fleet.put_tables(2, out=[REMOVED_CENTRE])
        await anyio.sleep(PHASE_S)
        print_progress(f"Operators restore {REMOVED_CENTRE!r}: table version 3.")
        self.restored_at = time.monotonic()
        await self.local_fleet.put_tables(3)
        await anyio.sleep(RETURN_S)

    async def _caller(self, workspace: WorkspaceRow, balancer: Balancer) -> None:
        sent = self.rng.randrange(POST_EVERY)
        while not self.stopped:
            sent += 1
            if sent % POST_EVERY:
                await self._send(self._chat(workspace), balancer)
            else:
                await self._post(workspace, balancer)

    async def _post(self, workspace: WorkspaceRow, balancer: Balancer) -> None:
        call_id = self._next_id(workspace)
        key = f"post-{call_id}" if self.rng.random() < 0.7 else ""
        plan = CallPlan(
            call_id,
            workspace.name,
            workspace.key,
            kind="ledger",
            idempotency_key=key,
            first_attempt=bool(key),
        )
        await self._send(plan, balancer)
        if key and self.rng.random() < REPEAT_SHARE:
            await self._send(evolve(plan, first_attempt=False), balancer)

    async def _send(self, plan: CallPlan, balancer: Balancer) -> CallResult:
        result = await self.callers.send(
            plan, balancer.ranked_addresses(plan.workspace)
        )
        if result.outcome not in ("completed", "left"):
            # A caller whose call was refused or failed waits, as Retry-After asks.
            await anyio.sleep(0.5)
        return result

    def _chat(self, workspace: WorkspaceRow) -> CallPlan:
        tokens = self.rng.randint(10, 50)
        disconnects = self.rng.random() < 0.05
        return CallPlan(
            self._next_id(workspace),
            workspace.name,
            workspace.key,
            stream=self.rng.random() < 0.8 or disconnects,
            tokens=tokens,
            hint=tokens * 2,
            prompt=f"Letter of {workspace.name}. " + "Please pay in time. " * 10,
            disconnect_after_chunks=3 if disconnects else None,
        )

    def _next_id(self, workspace: WorkspaceRow) -> str:
        self._count += 1
        return f"{workspace.name}-{self._count}"


def print_progress(text: str) -> None:
    """Print a line with the seconds since the start."""
    print(f"[{time.monotonic() - _STARTED_AT:5.1f} s] {text}", flush=True)


_STARTED_AT = time.monotonic()


async def main() -> int:
    """Run the demo and return the exit code."""
    async with processes() as starter:
        return await _run(starter)


async def _run(starter: Processes) -> int:
    print_progress(
        "Starting stand-ins: a platform, three model engines, three ledgers."
    )
    local_fleet = await start_local_fleet(demo_layout(), starter)
    print_progress("Starting three routers, one for each data centre.")
    await local_fleet.start_routers()
    demo = Demo(local_fleet)
    await demo.run()
    engines, plains = (
        await local_fleet.engine_reports(),
        await local_fleet.plain_reports(),
    )
    results = demo.callers.results
    checks = check(results, engines, plains)
    reports = [report for report in engines if report["name"].endswith(REMOVED_CENTRE)]
    starts = starts_in(reports, demo.removed_at, demo.restored_at)
    last_s = starts[-1] - demo.removed_at if starts else 0.0
    calls_after_return = len(starts_in(reports, demo.restored_at, time.monotonic()))
    await starter.stop_all()
    codes = [child.process.returncode for child in local_fleet.routers.values()]
    _print_report(results, checks, last_s, calls_after_return, codes)
    held = checks.held and last_s <= REMOVAL_LIMIT_S and calls_after_return > 0
    held = held and all(code == 0 for code in codes) and _all_served(results)
    print(json.dumps(summary(results, checks)))
    return 0 if held else 1


def summary(results: Sequence[CallResult], checks: Checks) -> dict[str, int]:
    """Return the counts that the last line of the output holds."""
    outcomes = [result.outcome for result in results]
    return {
        "completed": outcomes.count("completed"),
        "wrong_answers": checks.wrong_answers,
        "doubled": checks.doubled,
        "cut_off": checks.cut_off,
        "refused_not_run": outcomes.count("refused"),
        "unknown": outcomes.count("unknown"),
        "failed": outcomes.count("failed"),
        "false_not_run": checks.false_not_run,
    }


def _all_served(results: Sequence[CallResult]) -> bool:
    """Return whether every workspace got answers and no call failed."""
    served = {r.workspace for r in results if r.outcome == "completed"}
    failed = any(r.outcome in ("failed", "unreachable") for r in results)
    return served == set(CALLERS) and not failed


def _print_report(
    results: Sequence[CallResult],
    checks: Checks,
    last_s: float,
    calls_after_return: int,
    codes: Sequence[int | None],
) -> None:
    print_progress(
        "Answers were checked against requests, refusals against server records."
    )
    print(f"  {'workspace':<10} {'callers':>7} {'answers':>8} {'tokens':>7}")
    for name, callers in CALLERS.items():
        completed = [
            r for r in results if r.workspace == name and r.outcome == "completed"
        ]
        tokens = sum(r.tokens for r in completed if r.kind == "chat")
        print(f"  {name:<10} {callers:>7} {len(completed):>8} {tokens:>7}")
    print(f"  Last new work in {REMOVED_CENTRE!r}: {last_s:.2f} s after its removal.")
    print(f"  New work there after its return: {calls_after_return} calls.")
    print(f"  Posts that reached a ledger twice: {checks.doubled}.")
    print(f"  Calls refused as 'not run' that did run: {checks.false_not_run}.")
    print(f"  Router exit codes after graceful shutdown: {list(codes)}.")


def cli() -> None:
    """Run the demo and exit with its exit code."""
    try:
        code = run_main(main)
    except FulmarroadError as error:
        print(error.format_message(), file=sys.stderr)
        code = error.exit_code
    sys.exit(code)


if __name__ == "__main__":
    cli()
