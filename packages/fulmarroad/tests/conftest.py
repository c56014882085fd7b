"""A small fleet in virtual time, with real coordinators, followers and schedulers.

The network, the membership and the backend servers are fakes: streams are in memory,
the test sets the membership, and servers sleep and record the requests they ran.
"""

import itertools

import anyio
import pytest
from attrs import define, evolve, field

from fulmarroad import messages as m
from fulmarroad.audit import AuditTrail
from fulmarroad.coordination import (
    Ask,
    Coordinator,
    Follower,
    Granted,
    NoteFinished,
    NoteProgress,
    NoteStarted,
    PeerAddress,
    Roles,
    SetMembers,
    SetTables,
    SetVms,
)
from fulmarroad.tables import BackendServer, DataCentre, Pool, ServiceState, Tables
from fulmarroad.testing import MemoryNetwork, run_virtual
from fulmarroad.transport import TrafficCount
from fulmarroad.types import Outcome

CHUNK_S = 0.1
RATE = 100.0  # tokens per second of one running request


@define(eq=False)
class FakeServer:
    """Simulate a backend server, and record the requests that run on it.

    A chunk of tokens takes CHUNK_S, and proportionally longer while more than `batch`
    requests run.
    """

    name: str
    batch: int = 4
    running: int = 0
    peak_running: int = 0
    over_batch: list = field(factory=list)
    starts: list = field(factory=list)
    service: dict = field(factory=dict)

    @property
    def chunk_s(self):
        return CHUNK_S * max(1.0, self.running / self.batch)


@define(eq=False)
class Router:
    name: str
    data_centre: str
    coordinator: Coordinator
    scope: anyio.CancelScope
    tables: Tables | None = None


class Fleet:
    """Run routers against fake servers until the test function returns."""

    def __init__(self, centres, servers, *, policy="fleet", pool=None):
        self.network = MemoryNetwork()
        self.centres = centres
        self.policy = policy
        self.pool = pool or Pool("drafting", max_concurrency=4, cold_concurrency=4)
        self.rows = [
            BackendServer(name, f"127.0.0.1:{9000 + index}", centre)
            for index, (name, centre) in enumerate(servers)
        ]
        self.servers = {name: FakeServer(name) for name, _ in servers}
        self.routers = {}
        self.outcomes = {}
        self.submitted_at = {}
        self.ended_at = 0.0
        self.version = 0
        self.out = set()
        self._ids = itertools.count()
        self._incarnations = itertools.count(1)
        self.group = None

    @property
    def now(self):
        return anyio.current_time()

    def tables(self):
        pool = evolve(self.pool, servers=tuple(self.rows))
        centres = {
            name: DataCentre(
                name, ServiceState.OUT if name in self.out else ServiceState.IN
            )
            for name in self.centres
        }
        return Tables(self.version, {}, {}, {pool.name: pool}, centres)

    def start(self, name, centre):
        follower = Follower(name, next(self._incarnations), centre)
        audit = AuditTrail()
        roles = Roles(
            name,
            follower._incarnation,
            self.policy,
            audit,
            lambda server, now: self._tables_of(name).server_takes_work(server),
        )
        coordinator = Coordinator(
            name,
            follower,
            roles,
            TrafficCount(),
            audit,
            dial=self.network.dial(name),
            clock=anyio.current_time,
        )
        router = Router(name, centre, coordinator, anyio.CancelScope())
        self.routers[name] = router
        self.network.join(name, coordinator)
        self.group.start_soon(self._run_router, router)
        return router

    def _tables_of(self, name):
        router = self.routers.get(name)
        return router.tables if router and router.tables else self.tables()

    async def _run_router(self, router):
        with router.scope:
            await router.coordinator.run()

    def kill(self, name):
        """Stop a router without a shutdown, as when its VM fails."""
        router = self.routers.pop(name)
        router.scope.cancel()
        self.network.drop(name)

    def publish(self, out=(), to=None):
        """Send a new version of the tables to the routers in `to`, or to all."""
        self.version += 1
        self.out = set(out)
        for name in to or self.routers:
            self.routers[name].tables = self.tables()
            self.routers[name].coordinator.send_command(SetTables(self.tables()))

    def set_members(self, seen=None):
        """Set the live routers; `seen` maps a router to the names that it sees."""
        for router in self.routers.values():
            names = (seen or {}).get(router.name, self.routers)
            live = {
                centre: tuple(
                    sorted(n for n in names if self.routers[n].data_centre == centre)
                )
                for centre in self.centres
            }
            addresses = {n: PeerAddress("127.0.0.1", 1) for n in names}
            router.coordinator.send_command(SetMembers(live, addresses))

    def set_vms(self):
        vms = {
            centre: tuple(
                sorted(r.name for r in self.routers.values() if r.data_centre == centre)
            )
            for centre in self.centres
        }
        for router in self.routers.values():
            router.coordinator.send_command(SetVms(vms))

    async def call(self, router, workspace, tokens=20, *, deadline_s=60.0, weight=1.0):
        """Request a lease at a router, run the request and return its outcome."""
        name = f"{workspace}-{next(self._ids)}"
        self.outcomes[name] = "unanswered"
        self.submitted_at[name] = self.now
        ask = Ask(
            name,
            self.pool.name,
            workspace,
            weight,
            float(tokens),
            self.now,
            self.now + deadline_s,
        )
        coordinator = self.routers[router].coordinator
        answer = await coordinator.request(ask)
        if not isinstance(answer, Granted):
            self.outcomes[name] = f"refused {answer.reason.value}"
            return self.outcomes[name]
        await self._run(coordinator, answer.lease, workspace, tokens)
        self.outcomes[name] = "completed"
        return "completed"

    async def _run(self, coordinator, lease, workspace, tokens):
        server = self.servers[lease.server.name]
        coordinator.send_command(NoteStarted(lease.lease_id))
        server.starts.append((self.now, workspace))
        server.running += 1
        server.peak_running = max(server.peak_running, server.running)
        if server.running > server.batch:
            server.over_batch.append((self.now, server.running))
        start_time, processed = self.now, 0.0
        try:
            while processed < tokens:
                await anyio.sleep(server.chunk_s)
                step = min(RATE * CHUNK_S, tokens - processed)
                processed += step
                coordinator.send_command(NoteProgress(lease.lease_id, step))
                total = server.service.get(workspace, 0.0) + step
                server.service[workspace] = total
        finally:
            server.running -= 1
        report = m.Finished(
            lease.shard,
            lease.lease_id,
            Outcome.COMPLETED,
            float(tokens),
            (self.now - start_time) * step / tokens,
            (self.now - start_time) * step / tokens,
            self.now - start_time,
        )
        coordinator.send_command(NoteFinished(report))

    async def call_repeatedly(self, router, workspace, tokens=20, **options):
        """Send requests one after the other until cancelled."""
        while True:
            await self.call(router, workspace, tokens, **options)

    def incomplete_calls(self, patience_s=5.0):
        """Return the calls that were refused, or not answered within `patience_s`.

        Calls that had waited for less time when the scenario ended are left out, since
        the test ended them.
        """
        return {
            name: outcome
            for name, outcome in self.outcomes.items()
            if outcome != "completed"
            and (
                outcome != "unanswered"
                or self.ended_at - self.submitted_at[name] > patience_s
            )
        }

    def service(self, workspace):
        return sum(s.service.get(workspace, 0.0) for s in self.servers.values())

    def start_all(self):
        for centre, names in self.centres.items():
            for name in names:
                self.start(name, centre)
        self.set_vms()
        self.set_members()
        self.publish()


@pytest.fixture
def run_fleet():
    """Return a function that runs a scenario on a fleet in virtual time."""

    def run_scenario(scenario, centres, servers, **options):
        fleet = Fleet(centres, servers, **options)

        async def main():
            async with anyio.create_task_group() as group:
                fleet.group = group
                fleet.start_all()
                await scenario(fleet)
                fleet.ended_at = fleet.now
                group.cancel_scope.cancel()

        run_virtual(main)
        return fleet

    return run_scenario
