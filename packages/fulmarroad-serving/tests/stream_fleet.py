"""A fleet of routers in virtual time whose callers take up broken streams elsewhere.

Routers are real down to their connections; engines, packets and callers are simulated.
"""

import contextlib
import itertools
import random

import anyio
from attrs import define, evolve, field
from history_store import HistoryStore
from serving_bed import SHORT, STREAM, PlainCodec, make_catalog, stream_head
from stream_callers import DEADLINE_S, PATIENCE_S, StreamCaller

from fulmarroad.audit import AuditTrail
from fulmarroad_router.gate import CallGate
from fulmarroad_serving import (
    Dispatcher,
    EngineProfile,
    FleetBounds,
    Instance,
    Service,
    Target,
)
from fulmarroad_serving._callers import ServingApp
from fulmarroad_serving._connection import BackendConnection
from fulmarroad_serving._forwarding import Forwarder
from fulmarroad_serving._granting import Granter
from fulmarroad_serving._lateness import LoopLateness
from fulmarroad_serving._metrics import Metrics
from fulmarroad_serving._owner_client import OwnerClient
from fulmarroad_serving._owner_exchange import OwnerExchange
from fulmarroad_serving._owners import OwnerTable
from fulmarroad_serving._pool import ConnectionPool
from fulmarroad_serving._reports import unpack
from fulmarroad_serving._router_state import RouterState
from fulmarroad_serving._saturation import SaturationGuard
from fulmarroad_serving._server_ends import ServerEnds, is_server_end
from fulmarroad_serving.contracts import (
    CatalogFact,
    InstanceFact,
    InstanceRemovedFact,
)
from fulmarroad_serving.exceptions import (
    ConnectionRefusedByHostError,
    HistoryLostError,
    StoreError,
)
from fulmarroad_serving.streams import Keeper, ListConfirmation, ListWatch
from fulmarroad_serving.streams._keepers import (
    KEEPER_SILENCE_S,
    StreamKeepers,
    is_stream_message,
)
from fulmarroad_serving.streams._records import MAX_LIFE_S
from fulmarroad_serving.streams._resumption import StreamResumption

EVENTS = 20
FIRST_S = 0.05
EVENT_S = 0.06
NETWORK_S = 0.002
STORE_S = 0.2
"""Time in which a change of the store reaches every router."""

DETECTION_S = 2.0
"""Time until routers notice that another one is gone."""

CONTACT_S = 3.0
"""Time after a start or a cut from which a router counts as in touch."""

LONG_STREAM = evolve(STREAM, timeout_s=DEADLINE_S, objective_s=0.4)
CENTRES = ("fes", "rabat", "taza")


@define(eq=False)
class Engine:
    """Simulate an engine that streams events which name its service and version."""

    name: str
    service: str
    version: str
    port: int
    started_ms: int = 0
    up: bool = True
    leaving: bool = False
    started_at: float = 0.0
    running: int = 0
    slots: int = 16
    connections: list = field(factory=list)

    def instance(self, **changes):
        values = {"draining": False, "version": self.version} | changes
        return Instance(
            self.name,
            self.service,
            "h",
            self.port,
            CENTRES[self.port % len(CENTRES)],
            self.slots,
            started_ms=self.started_ms,
            **values,
        )

    def crash(self):
        self.up = False
        connections, self.connections = self.connections, []
        for connection in connections:
            connection.end()


class EngineConnection:
    """The engine's side of one connection; also its transport at the router."""

    def __init__(self, fleet, engine):
        self.fleet, self.engine = fleet, engine
        self.protocol = self.make_protocol()
        self.protocol.connection_made(self)
        self.scope = None
        self.received = b""
        engine.connections.append(self)

    def make_protocol(self):
        return BackendConnection()

    # what the router's side calls

    def get_extra_info(self, name):
        return None

    def is_closing(self):
        return self not in self.engine.connections

    def get_write_buffer_size(self):
        return 0

    def pause_reading(self):
        pass

    def resume_reading(self):
        pass

    def abort(self):
        if self in self.engine.connections:
            self.engine.connections.remove(self)
        if self.scope is not None:
            self.scope.cancel()

    def write(self, data):
        self.received += data
        head, _, body = self.received.partition(b"\r\n\r\n")
        self.received = b""
        rows = [line.partition(": ") for line in head.decode().split("\r\n")[1:]]
        headers = {name.lower(): value for name, _, value in rows}
        self.fleet.group.start_soon(self.answer, headers)

    # the engine

    def end(self):
        if self.scope is not None:
            self.scope.cancel()
        self.protocol.connection_lost(ConnectionResetError("the engine ended"))

    async def answer(self, headers):
        with anyio.CancelScope() as self.scope:
            if headers["x-instance"] != self.engine.name:
                self.send(b"HTTP/1.1 421 M\r\ncontent-length: 0\r\n\r\n")
                return
            self.engine.running += 1
            try:
                await self.stream(headers)
            finally:
                self.engine.running -= 1

    async def stream(self, headers):
        engine = self.engine
        await anyio.sleep(FIRST_S)
        self.send(self.head(headers["x-id"]))
        for number in range(int(headers["last-event-id"] or 0) + 1, EVENTS + 1):
            data = f"{engine.service} {engine.version} {number}"
            text = f"id: {number}\ndata: {data}\n\n".encode()
            self.send(b"%x\r\n%s\r\n" % (len(text), text))
            await anyio.sleep(EVENT_S)
        self.send(b"0\r\n\r\n")

    def head(self, request_id):
        return stream_head(request_id)

    def send(self, data):
        if self in self.engine.connections:
            self.protocol.data_received(data)


class StoreLink:
    """The store as one router reaches it."""

    def __init__(self, fleet, router):
        self.fleet, self.router = fleet, router

    def decode(self, item):
        return self.fleet.store.decode(item)

    async def read_changes(self, at, timeout_s):
        """Answer with the changes as of now; a router without contact waits in vain."""
        await anyio.sleep(NETWORK_S)
        if self.router.store_cut:
            await anyio.sleep(timeout_s)
            raise StoreError("no answer")
        listing = self.fleet.store.changes_after(at)
        self.fleet.store_reads += 1
        await anyio.sleep(NETWORK_S)
        return listing


class FleetRouter:
    """One router with everything that decides on calls."""

    bounds = FleetBounds(retry_burst=2_000.0)

    def __init__(self, fleet, name, centre, incarnation):
        self.fleet, self.name, self.centre = fleet, name, centre
        self.incarnation = incarnation
        self.alive, self.leaving, self.cut = True, False, False
        self.scopes = {}
        self.store_cut, self.store_read_at = False, anyio.current_time()
        self.touched_at = self.cut_at = anyio.current_time()
        clock = anyio.current_time
        self.dispatcher = Dispatcher(name, centre, self.bounds, incarnation)
        self.pool = ConnectionPool(clock)
        self.pool._connect = self.connect
        store = StoreLink(fleet, self)
        self.state = RouterState(store, self.dispatcher, self.pool, AuditTrail(), clock)
        source = random.Random(incarnation)
        owners = self.owners = OwnerTable(self.dispatcher.registry.usable, me=name)
        self.client = OwnerClient(
            name, incarnation, self.dispatcher, owners, source, clock
        )
        self.dispatcher.on_progress = self.client.note_progress
        self.granter = Granter(name, incarnation, self.dispatcher, owners)
        self.exchange = OwnerExchange(
            self.client,
            self.granter,
            lambda: {name: name for name in fleet.routers},
            fleet.incarnations,
            clock,
        )
        self.streams = StreamKeepers(
            name,
            centre,
            lambda service: self.dispatcher.registry.versions(service, clock()),
            lambda: {name: name for name in fleet.routers},
            clock,
            lambda: self.state.replica.at,
            fleet.in_contact,
            lambda: set(fleet.seeds) - {name},
        )
        self.state.on_items = self.note_copy
        self.confirmation = ListConfirmation(
            store, self.state, lambda: len(fleet.routers), lambda: 60.0, clock
        )
        self.ends = ServerEnds(
            name,
            self.dispatcher.registry,
            lambda: {name: name for name in fleet.routers},
            clock,
        )
        resumption = StreamResumption(
            self.streams,
            self.confirmation.confirm,
            clock,
            list_age_s=lambda: self.list_age_s,
        )
        self.state.on_catalog = resumption.note_catalog
        self.search = resumption._search
        codec = PlainCodec()
        forwarder = Forwarder(
            self.dispatcher,
            self.pool,
            codec,
            lambda: self.state.catalog,
            clock,
            self.client,
            resumption.note_begun,
        )
        gate = CallGate()
        gate.open()
        guard = SaturationGuard(LoopLateness(), source)
        self.app = ServingApp(
            codec, self.state, forwarder, gate, Metrics(), guard, clock, resumption
        )

    @property
    def in_touch(self):
        return not self.cut and anyio.current_time() - self.touched_at >= CONTACT_S

    async def connect(self, instance):
        await anyio.sleep(NETWORK_S)
        engine = self.fleet.at_port(instance.port)
        if engine is None:
            raise ConnectionRefusedByHostError("refused")
        return self.fleet.connection_type(self.fleet, engine).protocol

    async def run(self):
        with self.scope():
            async with anyio.create_task_group() as group:
                group.start_soon(self.exchange.run, self.send)
                group.start_soon(self.streams.run, self.send)
                group.start_soon(self.ends.run, self.send)
                group.start_soon(self.confirmation.run)
                group.start_soon(
                    self.streams.confirm_for_others, self.confirmation.confirm
                )

    @contextlib.contextmanager
    def scope(self):
        with anyio.CancelScope() as scope:
            self.scopes[scope] = None
            try:
                yield scope
            finally:
                del self.scopes[scope]

    def send(self, data, host):
        if self.alive and not self.cut:
            self.fleet.deliver(data, self.name, host)

    def receive(self, data, host):
        row = unpack(data)
        if is_stream_message(row):
            self.streams.receive(row, host)
        elif is_server_end(row):
            self.ends.receive(row, host)
        else:
            self.exchange.receive(row, host)

    @property
    def list_age_s(self):
        return anyio.current_time() - self.store_read_at + STORE_S

    def note_copy(self, at, hides_changes):
        now = anyio.current_time()
        self.streams.watch.note_copy(at, now, hides_changes=hides_changes)

    def read_store(self):
        """Read what has changed, as far as the store is reached."""
        if not self.alive or self.store_cut:
            return
        self.store_read_at = anyio.current_time()
        store, state = self.fleet.store, self.state
        try:
            listing = store.changes_after(state.replica.at)
        except HistoryLostError:
            listing = store.listing()
            state.apply_listing(listing.items, listing.at, 60.0, "test")
        else:
            state.apply_changes(listing.items, listing.at, 60.0, "test")

    def kill(self):
        self.alive = False
        for scope in list(self.scopes):
            scope.cancel()


class StreamFleet:
    """Routers, engines and the store between them."""

    router_type = FleetRouter
    engine_type = Engine
    connection_type = EngineConnection
    caller_type = StreamCaller
    patience_s = PATIENCE_S
    seeds = ("router-0", "router-1", "router-2")

    def __init__(self, size=4, seed=1, loss=0.0):
        self.seed = seed
        self._links = {}
        self.loss = loss
        self.size = size
        self.routers = {}
        self.gone_at = {}
        self.engines = {}
        self.callers = []
        self.group = None
        self.store, self.store_reads = HistoryStore(), 0
        self.catalog = make_catalog(routes=(LONG_STREAM, SHORT))
        self._numbers = itertools.count(1)

    async def run(self, test):
        async with anyio.create_task_group() as group:
            self.group = group
            self.store.put("op/config", CatalogFact(self.catalog))
            for number in range(self.size):
                router = self.start_router(f"router-{number}")
                # The fleet has been in service for a while.
                router.streams.watch = ListWatch(anyio.current_time() - MAX_LIFE_S)
            group.start_soon(self.keep_membership)
            await anyio.sleep(0.5)
            await test(self)
            group.cancel_scope.cancel()

    # routers

    def start_router(self, name):
        number = next(self._numbers)
        centre = CENTRES[int(name.partition("-")[2]) % len(CENTRES)]
        router = self.routers[name] = self.router_type(self, name, centre, number)
        self.gone_at.pop(name, None)
        listing = self.store.listing()
        router.state.apply_listing(listing.items, listing.at, 60.0, "test")
        self.group.start_soon(router.run)
        self.update_membership()
        return router

    def kill(self, name):
        self.routers[name].kill()
        self.gone_at[name] = anyio.current_time()

    async def end(self, name):
        """Let a router end as after SIGTERM: it serves on for a while, unready."""
        router = self.routers[name]
        router.leaving = True
        self.update_membership()
        router.streams.hand_over()
        await anyio.sleep(2.5)
        self.kill(name)

    async def cut(self, name, for_s):
        """Lose all packets between a router and the others for a while."""
        router = self.routers[name]
        router.cut, router.cut_at = True, anyio.current_time()
        await anyio.sleep(for_s)
        router.cut = False
        router.touched_at = anyio.current_time()

    async def cut_store(self, name, for_s):
        """Let the store be silent for one router for a while."""
        router = self.routers[name]
        router.store_cut = True
        await anyio.sleep(for_s)
        router.store_cut = False
        router.read_store()

    def in_contact(self):
        """Return the routers that reach the store, as far as others know."""
        return [name for name, row in self.routers.items() if not row.store_cut]

    async def restart(self, name, after_s=0.5):
        self.kill(name)
        await anyio.sleep(after_s)
        self.start_router(name)

    def believed_alive(self):
        now = anyio.current_time()
        return {
            name: router.centre
            for name, router in self.routers.items()
            if not router.leaving
            and (router.alive or now - self.gone_at[name] < DETECTION_S)
        }

    def incarnations(self):
        believed = self.believed_alive()
        return {name: self.routers[name].incarnation for name in believed}

    def update_membership(self):
        believed = self.believed_alive()
        for router in self.routers.values():
            router.owners.set_routers(believed)
            router.streams.set_routers(
                self.keepers(router, believed), anyio.current_time()
            )
            if router.alive:
                router.read_store()
                current_at = anyio.current_time() - router.list_age_s
                router.dispatcher.registry.note_current(current_at)
                if self.has_silent_peer(router, believed):
                    now = anyio.current_time()
                    router.dispatcher.registry.keep_former_versions(now)
            router.dispatcher.routers = sorted(self.routers)

    def keepers(self, router, believed):
        """Return the keepers as a router knows them."""
        return [
            Keeper(
                name,
                centre,
                self.routers[name].incarnation,
                self.heard_lately(router, self.routers[name]),
            )
            for name, centre in believed.items()
        ]

    def has_silent_peer(self, router, believed):
        """Return whether a router doesn't hear another one, as `PeerBook` tells."""
        heard = {row.router for row in self.keepers(router, believed)}
        others = {name for name, row in self.routers.items() if not row.leaving}
        return bool(others - heard)

    def heard_lately(self, router, other):
        now = anyio.current_time()
        silent_since = [row.cut_at for row in (router, other) if row.cut]
        if not other.alive:
            silent_since.append(self.gone_at[other.name])
        return all(now - at < KEEPER_SILENCE_S for at in silent_since)

    async def keep_membership(self):
        while True:
            self.update_membership()
            await anyio.sleep(0.25)

    def pick(self, client, attempt):
        """Return a router as a balancer would, another one for each attempt."""
        names = self.ready()
        return self.routers[names[(client + 3 * attempt) % len(names)]]

    def ready(self):
        """Return the names of the routers that get calls."""
        rows = self.routers.items()
        return sorted(name for name, row in rows if row.alive and not row.leaving)

    async def wait_for_router(self, client, attempt):
        """Return a router as `pick` does, once any is up."""
        while not self.ready():
            await anyio.sleep(0.1)
        return self.pick(client, attempt)

    def deliver(self, data, sender, to):
        # One source for each pair: packets to several routers leave in any order.
        link = self._links.get((sender, to))
        if link is None:
            link = self._links[sender, to] = random.Random(f"{self.seed} {sender} {to}")
        if link.random() < self.loss:
            return

        async def arrive():
            await anyio.sleep(NETWORK_S)
            router = self.routers.get(to)
            if router is not None and router.alive and not router.cut:
                router.receive(data, sender)

        self.group.start_soon(arrive)

    # engines

    def add_engine(self, name, version="v1", service="drafting", **more):
        port = len(self.engines) + 1
        engine = self.engine_type(name, service, version, port, **more)
        self.engines[name] = engine
        engine.started_at = anyio.current_time()
        self.publish(InstanceFact(engine.instance()))
        return engine

    def at_port(self, port):
        rows = [row for row in self.engines.values() if row.port == port and row.up]
        return rows[0] if rows else None

    def crash(self, name):
        self.engines[name].crash()
        engine = self.engines[name]

        async def expire():
            await anyio.sleep(1.5)
            if not engine.up:
                self.publish(InstanceRemovedFact(name), after_s=0.0)

        self.group.start_soon(expire)

    def start_again(self, name, version, entry_after_s=0.0):
        """Start an engine again under its id, maybe with another version.

        Its entry is written `entry_after_s` later.
        """
        engine = self.engines[name]
        engine.version, engine.up = version, True
        engine.started_ms += 1
        engine.started_at = anyio.current_time()
        self.publish(InstanceFact(engine.instance()), STORE_S + entry_after_s)

    def serving(self, service, version):
        """Return how many engines of a version run, are known and don't leave."""
        return sum(
            row.up
            and not row.leaving
            and (row.service, row.version) == (service, version)
            and anyio.current_time() - row.started_at > 2 * STORE_S
            for row in self.engines.values()
        )

    def drain(self, name):
        self.engines[name].leaving = True
        self.publish(InstanceFact(self.engines[name].instance(draining=True)))

    def set_catalog(self, **changes):
        self.catalog = make_catalog(self.catalog.version + 1, **changes)
        self.publish(CatalogFact(self.catalog))

    def publish(self, fact, after_s=STORE_S):
        """Write a fact to the store so that routers read it `after_s` from now."""
        read_s = min(after_s, STORE_S)

        async def write():
            await anyio.sleep(after_s - read_s)
            self.write(fact)
            await anyio.sleep(read_s)
            for router in self.routers.values():
                router.read_store()

        self.group.start_soon(write)

    def write(self, fact):
        if isinstance(fact, InstanceFact):
            self.store.put_server(fact.instance)
        elif isinstance(fact, InstanceRemovedFact):
            self.store.remove_server(fact.server)
        else:
            self.store.put("op/config", fact)

    # callers

    def begin(self, number, **more):
        """Begin a stream and return its caller, without waiting for the end."""
        router, tries = more.pop("router", None), more.pop("tries", 4)
        caller = self.caller_type(self, number, **more)
        self.callers.append(caller)
        self.group.start_soon(caller.run, router, tries)
        return caller

    def mixed(self):
        """Return the callers that hold events of two versions or services."""
        return [row for row in self.callers if len(row.makers) > 1 or not row.in_order]


def split_catalog(weights=(50.0, 50.0)):
    """Return the changes that split the stream's route over two services."""
    services = {
        name: Service(name, max_connections=600, engine=EngineProfile(16))
        for name in ("drafting", "drafting-b")
    }
    targets = tuple(map(Target, services, weights))
    return {
        "routes": (evolve(LONG_STREAM, targets=targets), SHORT),
        "services": services,
    }
