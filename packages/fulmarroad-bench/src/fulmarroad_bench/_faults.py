"""Inject a scenario's faults through stand-ins and signals to child processes."""

from __future__ import annotations

import signal
import time
from collections.abc import Awaitable, Callable

import anyio
from anyio.abc import TaskGroup
from attrs import define, field

from fulmarroad_bench._layout import ADMIN_TOKEN, RouterRow
from fulmarroad_bench._load import Balancer
from fulmarroad_bench._processes import (
    LocalFleet,
    ProcessError,
    order,
    order_router,
    router_rows,
    wait_ready,
)
from fulmarroad_bench._scenario import Fault

PROPAGATION_POLL_S = 0.05
PROPAGATION_LIMIT_S = 15.0
"""Longest propagation in seconds that is awaited; a longer one is recorded as this."""
DRAIN_S = 40.0
"""Seconds that a replaced router may take to finish its accepted calls."""


@define(eq=False)
class FaultInjector:
    """Inject the faults of a scenario and record when each happened."""

    local_fleet: LocalFleet
    balancer: Balancer
    group: TaskGroup
    version: int = 1
    out: set[str] = field(factory=set)
    removed_centre: str = ""
    removed_at: float = 0.0
    restored_at: float = 0.0
    propagation_times: list[float] = field(factory=list)
    exit_codes: list[int | None] = field(factory=list)
    injected: list[tuple[float, str]] = field(factory=list)
    paused: set[str] = field(factory=set)

    async def run(self, faults: tuple[Fault, ...], began: float) -> None:
        """Inject each fault at its time; `began` is in monotonic seconds."""
        for fault in faults:
            await anyio.sleep(max(0.0, began + fault.at_s - time.monotonic()))
            self.injected.append((time.monotonic(), fault.kind))
            await self._handlers()[fault.kind](fault)

    def _handlers(self) -> dict[str, Callable[[Fault], Awaitable[None]]]:
        return {
            "engine": self._engine,
            "plain": self._plain,
            "platform": self._platform,
            "leave": self._leave,
            "return": self._return,
            "table": self._table,
            "cut": self._cut,
            "heal": self._heal,
            "pause": self._pause,
            "resume": self._resume,
            "replace": self._replace,
        }

    async def _engine(self, fault: Fault) -> None:
        rows = self.local_fleet.layout.engines
        name = rows[fault.target % len(rows)].name
        await order(self.local_fleet.engines_control, f"/{name}/control", fault.order)

    async def _plain(self, fault: Fault) -> None:
        rows = self.local_fleet.layout.plains
        name = rows[fault.target % len(rows)].name
        await order(self.local_fleet.plains_control, f"/{name}/control", fault.order)

    async def _platform(self, fault: Fault) -> None:
        await order(self.local_fleet.platform_control, "/control", fault.order)

    async def _leave(self, fault: Fault) -> None:
        self.removed_centre = self.local_fleet.layout.data_centres[fault.target]
        self.out.add(self.removed_centre)
        self.removed_at = time.monotonic()
        await self._table(fault)

    async def _return(self, fault: Fault) -> None:
        self.out.discard(self.local_fleet.layout.data_centres[fault.target])
        self.restored_at = time.monotonic()
        await self._table(fault)

    async def _table(self, fault: Fault) -> None:
        self.version += 1
        await self.local_fleet.put_tables(self.version, sorted(self.out))
        self.group.start_soon(self._record_propagation, self.version, time.monotonic())

    async def _record_propagation(self, version: int, since: float) -> None:
        """Record how long a version takes to be in force on every router."""
        pending = set(self.local_fleet.rows) - self.paused
        while pending and time.monotonic() - since < PROPAGATION_LIMIT_S:
            for name in sorted(pending):
                if await self._has_version(name, version):
                    pending.discard(name)
            await anyio.sleep(PROPAGATION_POLL_S)
        self.propagation_times.append(time.monotonic() - since)

    async def _has_version(self, name: str, version: int) -> bool:
        if name not in self.local_fleet.rows or name in self.paused:
            return True
        try:
            status = await self.local_fleet.status(name)
        except ProcessError:
            return False
        return int(status["table_version"]) >= version

    async def _cut(self, fault: Fault) -> None:
        rows = sorted(self.local_fleet.rows.values(), key=lambda row: row.name)
        if fault.sides == "halves":
            first_side = {row.name for row in rows[::2]}
        else:
            centre = self.local_fleet.layout.data_centres[fault.target]
            first_side = {row.name for row in rows if row.data_centre == centre}
        second_side = {row.name for row in rows} - first_side
        for row in rows:
            await self._block_peers(
                row, second_side if row.name in first_side else first_side
            )

    async def _heal(self, fault: Fault) -> None:
        for row in list(self.local_fleet.rows.values()):
            await self._block_peers(row, set())

    async def _block_peers(self, row: RouterRow, peers: set[str]) -> None:
        await order_router(
            row.admin_address, "/bench/cut", {"peers": sorted(peers)}, ADMIN_TOKEN
        )

    async def _pause(self, fault: Fault) -> None:
        row = self.local_fleet.layout.routers[fault.target]
        self.paused.add(row.name)
        self.local_fleet.routers[row.name].send(signal.SIGSTOP)

    async def _resume(self, fault: Fault) -> None:
        row = self.local_fleet.layout.routers[fault.target]
        self.local_fleet.routers[row.name].send(signal.SIGCONT)
        self.paused.discard(row.name)

    async def _replace(self, fault: Fault) -> None:
        self.group.start_soon(
            self._replace_one, self.local_fleet.layout.routers[fault.target]
        )

    async def _replace_one(self, old: RouterRow) -> None:
        """Start a router with empty state, then stop the old one gracefully."""
        replacement = router_rows([(f"{old.name}-new", old.data_centre)])[0]
        child = await self.local_fleet.start_router(replacement)
        await self.local_fleet.put_vms(leaving=[old.name])
        await wait_ready(child, replacement.admin_address)
        self.balancer.addresses[replacement.name] = replacement.address
        code = await self.local_fleet.starter.stop(
            self.local_fleet.routers[old.name], DRAIN_S
        )
        self.exit_codes.append(code)
        self.balancer.addresses.pop(old.name, None)
        del self.local_fleet.rows[old.name]
        await self.local_fleet.put_vms()
