"""A fleet of router processes whose store, peers and servers can be taken away."""

from __future__ import annotations

import signal
from collections.abc import Iterable
from pathlib import Path

import anyio
from anyio.abc import TaskGroup
from attrs import define, field, frozen

from fulmarroad_bench._platform_routers import start_platform_router
from fulmarroad_bench._processes import Child, Processes, wait_ready
from fulmarroad_bench._soak_callers import DEADLINE_S, WORKSPACES, Address
from fulmarroad_bench._soak_engine import SLOTS, VersionedEngine
from fulmarroad_bench._soak_network import PeerNetwork
from fulmarroad_platform.standin import StandInRoute, catalog, settings_text
from fulmarroad_platform.standin_store import StandInStore, StoreLink

ROUTERS = 4
SEED_ROUTERS = 3
"""Routers that a starting router contacts first."""

SERVERS = 4
"""Servers of each version."""

USUAL_SETTLE_S = 6.5
"""Seconds from readiness to the first event. Routers find each other sooner, but ask
engines about streams in their first seconds only."""

HEARTBEAT_S = 1.2
EXPIRY_S = 3.6
"""Seconds after which the store removes a server that ended."""

RETRY_BURST = 50
OTHER_ROUTES = ("lists",)

CALLERS_PORT, READINESS_PORT, CONTROL_PORT = 7420, 7421, 7422
FIRST_STORE_PORT = 7430
FIRST_PEER_PORT = 7440
ENGINE_PORT = 7460

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
class WorldPlan:
    """Hold whose routers run, and on which addresses."""

    tree: Path  # checkout whose routers are run
    network: str  # first three numbers of its addresses
    settle_s: float = USUAL_SETTLE_S

    def host(self, number: int) -> str:
        """Return an address of the run."""
        return f"{self.network}.{number}"


@define(eq=False)
class SoakWorld:
    """Own routers, servers and the store of one run."""

    plan: WorldPlan
    _starter: Processes
    _group: TaskGroup
    _store: StandInStore = field(factory=StandInStore)
    _links: list[StoreLink] = field(factory=list)
    _network: PeerNetwork = field(init=False)
    _routers: list[Child] = field(factory=list)
    _engines: list[VersionedEngine] = field(factory=list)

    def __attrs_post_init__(self) -> None:
        hosts = [self.plan.host(FIRST_ROUTER_HOST + n) for n in range(ROUTERS)]
        ports = [FIRST_PEER_PORT + n for n in range(ROUTERS)]
        self._network = PeerNetwork(hosts, ports)

    async def start(self, version: str) -> None:
        """Start everything with servers of one version."""
        await self._network.serve(self._group)
        self._store.put_catalog(catalog(1, ROUTE, SLOTS, WORKSPACES, OTHER_ROUTES))
        await self.join(version)
        self._group.start_soon(self._beat)
        for number in range(ROUTERS):
            link = StoreLink()
            self._links.append(link)
            port = FIRST_STORE_PORT + number
            host = self.plan.host(STORE_HOST)
            await self._store.serve(host, port, self._group, link)
        for number in range(ROUTERS):
            self._routers.append(await self._start_router(number))
        for child, host in zip(self._routers, self._network.hosts, strict=True):
            await wait_ready(child, f"{host}:{READINESS_PORT}")
        await anyio.sleep(self.plan.settle_s)

    def address(self, router: int) -> Address:
        """Return where a router listens for callers."""
        return Address(self._network.hosts[router], CALLERS_PORT)

    def logs(self, routers: Iterable[int]) -> list[Path]:
        """Return the log files of routers."""
        return [self._routers[router].log for router in routers]

    async def join(self, version: str) -> None:
        """Let servers of a version start and write their entries."""
        for _ in range(SERVERS):
            number = len(self._engines)
            host = self.plan.host(FIRST_ENGINE_HOST + number)
            engine = VersionedEngine(f"server-{number}", host, ENGINE_PORT, version)
            await engine.serve(self._group)
            self._engines.append(engine)
            self._store.put_server(engine.name, engine.entry())

    def end_servers(self, version: str, expiry_s: float = EXPIRY_S) -> None:
        """Let the servers of a version end; their entries are removed later."""
        for engine in self._engines:
            if engine.version == version:
                engine.end()
                self._group.start_soon(self._expire, engine, expiry_s)

    def kill(self, routers: Iterable[int]) -> None:
        """Kill the processes of routers."""
        self._signal(routers, signal.SIGKILL)

    def stop(self, routers: Iterable[int]) -> None:
        """Let the processes of routers stand still."""
        self._signal(routers, signal.SIGSTOP)

    def resume(self, routers: Iterable[int]) -> None:
        """Let the processes of routers go on."""
        self._signal(routers, signal.SIGCONT)

    def cut_store(self, routers: Iterable[int]) -> None:
        """Cut routers off from the store."""
        for router in routers:
            self._links[router].cut()

    def mend_store(self) -> None:
        """Let all routers reach the store."""
        for link in self._links:
            link.mend()

    def isolate(self, routers: Iterable[int]) -> None:
        """Cut routers off from the others, but not from each other."""
        self._network.isolate(routers)

    def rejoin(self) -> None:
        """Let all routers reach each other."""
        self._network.rejoin()

    def _signal(self, routers: Iterable[int], number: int) -> None:
        for router in routers:
            self._routers[router].send(number)

    async def _start_router(self, number: int) -> Child:
        name = f"router-{number + 1}"
        hosts = list(self._network.hosts)
        ports = CALLERS_PORT, READINESS_PORT, CONTROL_PORT, self._network.ports[number]
        store = f"{self.plan.host(STORE_HOST)}:{FIRST_STORE_PORT + number}"
        text = settings_text(
            name, hosts[number], ports, hosts[:SEED_ROUTERS], store, RETRY_BURST
        )
        return await start_platform_router(self._starter, self.plan.tree, name, text)

    async def _beat(self) -> None:
        """Write the entries of the servers that run again and again."""
        while True:
            await anyio.sleep(HEARTBEAT_S)
            for engine in self._engines:
                if not engine.ended:
                    self._store.put_server(engine.name, engine.entry())

    async def _expire(self, engine: VersionedEngine, expiry_s: float) -> None:
        await anyio.sleep(expiry_s)
        self._store.remove_server(engine.name)
