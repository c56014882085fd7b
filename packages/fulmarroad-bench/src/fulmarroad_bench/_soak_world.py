"""A fleet of router processes whose store, peers and servers can be taken away."""

from __future__ import annotations

import signal
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

SETTLE_S = 2.0
"""Seconds from readiness to the first event, in which the routers find each other."""

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
        await anyio.sleep(SETTLE_S)

    def address(self, router: int) -> Address:
        """Return where a router listens for callers."""
        return Address(self._network.hosts[router], CALLERS_PORT)

    async def join(self, version: str) -> None:
        """Let servers of a version start and write their entries."""
        for _ in range(SERVERS):
            number = len(self._engines)
            host = self.plan.host(FIRST_ENGINE_HOST + number)
            engine = VersionedEngine(f"server-{number}", host, ENGINE_PORT, version)
            await engine.serve(self._group)
            self._engines.append(engine)
            self._store.put_server(engine.name, engine.entry())

    def end_servers(self, version: str) -> None:
        """Let the servers of a version crash; their entries go later."""
        for engine in self._engines:
            if engine.version == version:
                engine.end()
                self._group.start_soon(self._expire, engine)

    def kill(self, router: int) -> None:
        """Kill a router's process."""
        self._routers[router].send(signal.SIGKILL)

    def stop(self, router: int) -> None:
        """Let a router's process stand still."""
        self._routers[router].send(signal.SIGSTOP)

    def resume(self, router: int) -> None:
        """Let a router's process go on."""
        self._routers[router].send(signal.SIGCONT)

    def cut_store(self, router: int) -> None:
        """Cut a router off from the store."""
        self._links[router].cut()

    def mend_store(self, router: int) -> None:
        """Let a router reach the store again."""
        self._links[router].mend()

    def isolate(self, router: int) -> None:
        """Cut a router off from the other routers."""
        self._network.isolate(router)

    def rejoin(self, router: int) -> None:
        """Let a router reach the other routers again."""
        self._network.rejoin(router)

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

    async def _expire(self, engine: VersionedEngine) -> None:
        await anyio.sleep(EXPIRY_S)
        self._store.remove_server(engine.name)
