"""Start routers and stand-ins as child processes on loopback, and stop them."""

from __future__ import annotations

import json
import os
import signal
import socket
import sys
import tempfile
import time
from collections.abc import AsyncIterator, Awaitable, Callable, Mapping, Sequence
from contextlib import asynccontextmanager
from pathlib import Path
from typing import IO, Any, TypeVar

import anyio
import psutil
from anyio.abc import Process
from attrs import define, field

from fulmarroad.exceptions import FulmarroadError
from fulmarroad_bench._client import Answer, Request, call
from fulmarroad_bench._layout import (
    ADMIN_TOKEN,
    HOST,
    Layout,
    RouterRow,
    ServerRow,
    router_settings,
)
from fulmarroad_bench.plain import SERVICE_S

Result = TypeVar("Result")

JSON = "application/json"
READY_S = 15.0
"""Seconds that a process may take to become ready."""
POLL_S = 0.05
STOP_S = 8.0
"""Seconds that a process may take to exit before it is killed."""


class ProcessError(FulmarroadError):
    """Report that a process did not become ready or answered with an error."""


@define(eq=False)
class Child:
    """Hold a child process and its last sampled usage."""

    name: str
    process: Process
    log: Path
    started: float  # monotonic seconds
    cpu_s: float = 0.0  # as last sampled
    memory_bytes: int = 0

    @property
    def pid(self) -> int:
        """Return the process id."""
        return self.process.pid

    @property
    def ended(self) -> bool:
        """Return whether the process has exited."""
        return self.process.returncode is not None

    def sample(self) -> None:
        """Record the processor time and memory used so far."""
        try:
            seen = psutil.Process(self.pid)
            times = seen.cpu_times()
            self.cpu_s = times.user + times.system
            self.memory_bytes = seen.memory_info().rss
        except psutil.Error:
            pass

    def send(self, number: int) -> None:
        """Send a signal to the process unless it has exited."""
        if not self.ended:
            os.kill(self.pid, number)

    def last_lines(self, count: int = 12) -> str:
        """Return the last lines of the log."""
        lines = self.log.read_text(errors="replace").splitlines()
        return "\n".join(lines[-count:])


@define(eq=False)
class Processes:
    """Start child processes that write their logs to one directory."""

    directory: Path
    children: list[Child] = field(factory=list)
    _files: list[IO[bytes]] = field(factory=list)

    async def start(self, name: str, module: str, *arguments: str) -> Child:
        """Start `python -m MODULE ARGUMENTS`."""
        return await self.start_program(
            name, [sys.executable, "-m", module, *arguments]
        )

    async def start_program(
        self,
        name: str,
        command: Sequence[str],
        *,
        directory: Path | None = None,
        environment: Mapping[str, str] | None = None,
    ) -> Child:
        """Start a program; it inherits this process's environment unless given one."""
        log = self.directory / f"{name}.log"
        output = log.open("ab")
        self._files.append(output)
        process = await anyio.open_process(
            command,
            stdin=None,
            stdout=output,
            stderr=output,
            cwd=directory,
            env=environment,
        )
        child = Child(name, process, log, time.monotonic())
        self.children.append(child)
        return child

    async def stop(self, child: Child, within_s: float = STOP_S) -> int | None:
        """Stop a process gracefully and return its exit code; None if it was killed."""
        child.sample()
        child.send(signal.SIGCONT)
        child.send(signal.SIGTERM)
        with anyio.move_on_after(within_s):
            return await child.process.wait()
        child.send(signal.SIGKILL)
        await child.process.wait()
        return None

    async def stop_all(self) -> None:
        """Stop all running processes concurrently and close their logs."""
        async with anyio.create_task_group() as group:
            for child in self.children:
                if not child.ended:
                    group.start_soon(self.stop, child)
        for output in self._files:
            output.close()


@asynccontextmanager
async def processes(keep: Path | None = None) -> AsyncIterator[Processes]:
    """Yield a starter whose processes are stopped at the end of the block.

    Logs go to `keep`, or to a temporary directory without it.
    """
    with tempfile.TemporaryDirectory(prefix="fulmarroad-") as scratch:
        starter = Processes(keep or Path(scratch))
        try:
            yield starter
        finally:
            with anyio.CancelScope(shield=True):
                await starter.stop_all()


def run_main(main: Callable[[], Awaitable[Result]]) -> Result:
    """Run a main task on uvloop and unwrap exception groups to their first error.

    A task group wraps errors, which would hide the message of a `FulmarroadError`.
    """
    try:
        return anyio.run(main, backend_options={"use_uvloop": True})
    except BaseExceptionGroup as errors:
        raise _first_error(errors) from errors


def _first_error(errors: BaseExceptionGroup) -> BaseException:
    """Return the first error of a group, preferring a `FulmarroadError`."""
    own_errors, _ = errors.split(FulmarroadError)
    found: BaseException = own_errors or errors
    while isinstance(found, BaseExceptionGroup):
        found = found.exceptions[0]
    return found


_reserved_sockets: list[socket.socket] = []
"""Bound sockets that reserve their ports until this process exits."""


def free_ports(count: int) -> list[int]:
    """Return TCP ports that are reserved for this process's children.

    A port that is only looked up can be assigned to an outgoing connection before the
    child binds it, and the child then fails to start. These sockets stay bound but
    never listen, so a child with the same socket options can bind and listen too.
    """
    sockets = [socket.socket(socket.AF_INET, socket.SOCK_STREAM) for _ in range(count)]
    for sock in sockets:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        sock.bind((HOST, 0))
    _reserved_sockets.extend(sockets)
    return [sock.getsockname()[1] for sock in sockets]


def free_udp_ports(count: int) -> list[int]:
    """Return UDP ports that are free now.

    They aren't reserved: a second bound socket would receive the child's packets.
    """
    sockets = [socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(count)]
    for sock in sockets:
        sock.bind((HOST, 0))
    ports = [sock.getsockname()[1] for sock in sockets]
    for sock in sockets:
        sock.close()
    return ports


def router_rows(names: Sequence[tuple[str, str]]) -> list[RouterRow]:
    """Return router rows with free ports for pairs of name and data centre."""
    tcp = free_ports(3 * len(names))
    udp = free_udp_ports(len(names))
    return [
        RouterRow(name, centre, tcp[3 * n], tcp[3 * n + 1], tcp[3 * n + 2], udp[n])
        for n, (name, centre) in enumerate(names)
    ]


async def wait_ready(child: Child, address: str, path: str = "/readyz") -> None:
    """Wait until a process answers 200.

    Raise `ProcessError` if it exits or takes longer than `READY_S`.
    """
    with anyio.move_on_after(READY_S):
        while not child.ended:
            answer = await call(address, Request("GET", path), timeout_s=2.0)
            if answer.status == 200:
                return
            await anyio.sleep(POLL_S)
    raise ProcessError(
        f"{child.name} did not become ready within {READY_S:.0f} s.",
        hint=f"Last lines of its log:\n{child.last_lines()}",
    )


async def order(address: str, path: str, value: Any, method: str = "POST") -> Any:
    """Send a control request to a stand-in and return its JSON answer."""
    body = value if isinstance(value, bytes) else json.dumps(value).encode()
    answer = await call(address, Request(method, path, (), body), timeout_s=10.0)
    return _json_of(answer, address, path)


async def order_router(address: str, path: str, value: Any, token: str) -> Any:
    """Send a control request to a router's admin port and return its JSON answer."""
    headers = (("authorization", f"Bearer {token}"), ("content-type", JSON))
    request = Request("POST", path, headers, json.dumps(value).encode())
    return _json_of(await call(address, request, timeout_s=10.0), address, path)


async def fetch(address: str, path: str, *, token: str = "") -> Any:
    """Return the JSON document at a path."""
    headers = (("authorization", f"Bearer {token}"),) if token else ()
    answer = await call(address, Request("GET", path, headers), timeout_s=20.0)
    return _json_of(answer, address, path)


def _json_of(answer: Answer, address: str, path: str) -> Any:
    if not 200 <= answer.status < 300 or not answer.complete:
        raise ProcessError(f"{address}{path} answered {answer.status}.")
    return json.loads(answer.body) if answer.body else {}


@define(eq=False)
class LocalFleet:
    """Run the stand-ins and routers of one layout."""

    layout: Layout
    starter: Processes
    platform_address: str
    platform_control: str
    engines_control: str
    plains_control: str
    policy: str = "fleet"
    routers: dict[str, Child] = field(factory=dict)
    rows: dict[str, RouterRow] = field(factory=dict)
    vm_version: int = 0

    async def put_tables(
        self, version: int, out: Sequence[str] = (), servers_out: Sequence[str] = ()
    ) -> None:
        """Publish a table version at the platform stand-in."""
        tables = self.layout.tables(version, out, servers_out)
        await order(self.platform_control, "/control/tables", tables, "PUT")

    async def put_vms(self, leaving: Sequence[str] = ()) -> None:
        """Publish a VM list of the routers in `rows` at the platform stand-in."""
        self.vm_version += 1
        vms = self.layout.vm_list(self.vm_version, self.rows.values(), leaving)
        await order(self.platform_control, "/control/vms", vms, "PUT")

    async def start_router(self, row: RouterRow, *, first: bool = False) -> Child:
        """Start a router process; set `first` if the fleet has never served."""
        path = self.starter.directory / f"{row.name}.toml"
        text = router_settings(
            row,
            self.platform_address,
            policy=self.policy,
            allow_cut=True,
            first_fleet=first,
        )
        path.write_text(text)
        child = await self.starter.start(
            row.name, "fulmarroad_router", "--settings", str(path)
        )
        self.routers[row.name] = child
        self.rows[row.name] = row
        return child

    async def start_routers(self) -> None:
        """Start every router of the layout and wait until all are ready."""
        self.rows = {row.name: row for row in self.layout.routers}
        await self.put_vms()
        for row in self.layout.routers:
            await self.start_router(row, first=True)
        for row in self.layout.routers:
            await wait_ready(self.routers[row.name], row.admin_address)

    async def status(self, name: str) -> Any:
        """Return a router's status."""
        return await fetch(self.rows[name].admin_address, "/status", token=ADMIN_TOKEN)

    async def engine_reports(self) -> list[dict[str, Any]]:
        """Return the records of every engine."""
        names = [row.name for row in self.layout.engines]
        return [await fetch(self.engines_control, f"/{name}/records") for name in names]

    async def plain_reports(self) -> list[dict[str, Any]]:
        """Return the records of every plain service."""
        names = [row.name for row in self.layout.plains]
        return [await fetch(self.plains_control, f"/{name}/records") for name in names]


async def start_local_fleet(
    layout: Layout,
    starter: Processes,
    *,
    policy: str = "fleet",
    profile: dict[str, float] | None = None,
    plain_service_s: float = SERVICE_S,
) -> LocalFleet:
    """Start the stand-ins of a layout and publish its tables as version 1."""
    ports = free_ports(4)
    platform, platform_control, engines_control, plains_control = ports
    child = await starter.start(
        "platform",
        "fulmarroad_bench.platform",
        f"--port={platform}",
        f"--control_port={platform_control}",
    )
    options = [f"--{key}={value}" for key, value in (profile or {}).items()]
    engines = await _start_servers(
        starter, "engine", layout.engines, engines_control, options
    )
    plains = await _start_servers(
        starter,
        "plain",
        layout.plains,
        plains_control,
        [f"--service_s={plain_service_s}"],
    )
    await wait_ready(child, f"{HOST}:{platform}", "/vms")
    for server, control, rows in (
        (engines, engines_control, layout.engines),
        (plains, plains_control, layout.plains),
    ):
        if server is not None:
            await wait_ready(server, f"{HOST}:{control}", f"/{rows[0].name}/records")
    local_fleet = LocalFleet(
        layout,
        starter,
        f"{HOST}:{platform}",
        f"{HOST}:{platform_control}",
        f"{HOST}:{engines_control}",
        f"{HOST}:{plains_control}",
        policy,
    )
    await local_fleet.put_tables(1)
    return local_fleet


async def _start_servers(
    starter: Processes,
    kind: str,
    rows: Sequence[ServerRow],
    control: int,
    options: Sequence[str],
) -> Child | None:
    if not rows:
        return None
    return await starter.start(
        f"{kind}s",
        f"fulmarroad_bench.{kind}",
        f"--port={','.join(str(row.port) for row in rows)}",
        f"--name={','.join(row.name for row in rows)}",
        f"--control_port={control}",
        *options,
    )
