"""A fleet of whole nodes, each with its own view of the store, in virtual time.

A router is a `ServingNode` with its peers, its reader of the store and its reports. A
few routers watch the store, the others copy the changes from peers, so that changes are
hidden from them as they are in service; each answer takes its own time, and nobody sets
the age of a list. Any pair of routers, and any router and the store, can be cut one way
or both ways, and routers can be paused.

Not simulated: HTTP and TCP (a lost packet of a copy is a lost copy), page servers, the
look back into the store's history after a start, and engines' lists.
"""

import contextlib
import contextvars
import random
from collections import Counter
from types import SimpleNamespace

import anyio
import pytest
from paused_processes import PROCESS, Process
from serving_bed import PlainCodec
from stream_callers import StreamCaller
from stream_fleet import (
    CENTRES,
    CONTACT_S,
    NETWORK_S,
    EngineConnection,
    StreamFleet,
)

from fulmarroad.ownership import watchers
from fulmarroad_serving import FleetBounds, _peers, node
from fulmarroad_serving.contracts import CatalogFact, ServingSettings
from fulmarroad_serving.exceptions import (
    ConnectionRefusedByHostError,
    HistoryLostError,
    StoreError,
)
from fulmarroad_serving.streams._records import MAX_LIFE_S

STORE = "store"
CHANGE_DELAY_S = (0.01, 0.4)
"""Range of the time in which a change reaches a router that waits for it."""

CALL_DELAY_S = (0.001, 0.02)
"""Range of the time in which the store answers any other call."""

LIST_TIMEOUT_S = 1.5
WATCH_MARGIN_S = 0.8
READY_S = 1.2
"""Time until the routers of a new fleet have read the store and heard each other."""


class MemorySocket:
    """Packets of one router in memory, in place of its UDP socket."""

    def __init__(self, host, port, on_packet, on_error):
        self.router = PROCESS.get().owner
        self.on_packet = on_packet

    def __enter__(self):
        self.router.socket = self
        return self

    def __exit__(self, *details):
        self.router.socket = None

    def send(self, data, host, port):
        if self.router.alive:
            self.router.fleet.deliver(data, self.router.name, host)


class Reply:
    """An answer that a router waits for."""

    def __init__(self):
        self.value = None
        self.come = anyio.Event()

    def set(self, value):
        self.value = value
        self.come.set()

    async def wait(self, timeout_s):
        """Return whether it has come in time."""
        with anyio.move_on_after(timeout_s):
            await self.come.wait()
        return self.come.is_set()


class StoreClient:
    """The store as one router reaches it; it answers with what it holds then."""

    def __init__(self, fleet, router):
        self.fleet, self.router = fleet, router
        self.random = random.Random(f"{fleet.seed} store {router.incarnation}")

    def decode(self, item):
        return self.fleet.store.decode(item)

    async def list_all(self):
        answer = self.fleet.store.listing
        return await self._call(answer, 0.0, CALL_DELAY_S, LIST_TIMEOUT_S)

    async def watch(self, at, wait_s):
        timeout_s = wait_s + WATCH_MARGIN_S

        def answer():
            return self.fleet.store.changes_after(at)

        return await self._call(answer, wait_s, CHANGE_DELAY_S, timeout_s, at)

    async def read_changes(self, at, timeout_s):
        def answer():
            self.fleet.store_reads += 1
            return self.fleet.store.changes_after(at)

        return await self._call(answer, 0.0, CALL_DELAY_S, timeout_s)

    async def _call(self, answer, wait_s, delay_s, timeout_s, at=0):
        reply = Reply()
        self.fleet.spawn(self._answer, reply, answer, wait_s, delay_s, at)
        if not await reply.wait(timeout_s):
            raise StoreError("no answer")
        if isinstance(reply.value, StoreError):
            raise reply.value
        return reply.value

    async def _answer(self, reply, answer, wait_s, delay_s, at):
        fleet, name = self.fleet, self.router.name
        await anyio.sleep(NETWORK_S)
        if not fleet.passes(name, STORE):
            return
        if wait_s:
            await fleet.wait_for_change(at, wait_s)
        try:
            value = answer()
        except HistoryLostError as error:
            value = error
        await anyio.sleep(self.random.uniform(*delay_s))
        if fleet.passes(STORE, name):
            self.router.process.deliver(STORE, reply.set, value)


class ViewRouter:
    """One router as a node, without its sockets."""

    bounds = FleetBounds(retry_burst=2_000.0)

    def __init__(self, fleet, name, centre, incarnation):
        self.fleet, self.name, self.centre = fleet, name, centre
        self.incarnation = incarnation
        self.alive, self.leaving, self.ready = True, False, False
        self.touched_at = anyio.current_time()
        self.killed = anyio.Event()
        self.process = Process(self)
        self.socket = self.group = None
        self.scopes = {}
        names = sorted(fleet.names)
        settings = ServingSettings(
            name, centre, name, 0, 0, 0, 0, 0, tuple(names[:2]), 4.0, self.bounds
        )
        self.node = node.ServingNode(
            settings,
            PlainCodec(),
            StoreClient(fleet, self),
            None,
            lambda: tuple(names[:2]),
            anyio.current_time,
        )
        self.node._reader.on_listed = None
        self.node._pool._connect = self.connect
        self.peers = self.node._peers
        self.peers._replica_sync._request_delta = self.request_delta
        self.state, self.streams = self.node._router_state, self.peers.streams
        self.app, self.search = self.node._app, self.node._resumption._search

    @property
    def is_paused(self):
        return self.process.is_paused

    @property
    def in_touch(self):
        is_cut = self.is_paused or self.fleet.is_cut(self.name)
        return not is_cut and anyio.current_time() - self.touched_at >= CONTACT_S

    async def run(self):
        with self.scope():
            async with anyio.create_task_group() as self.group:
                self.group.start_soon(self.peers.run)
                self.group.start_soon(self.node._reader.run)
                self.group.start_soon(self.node._confirmation.run)
                self.group.start_soon(self.get_ready)

    async def get_ready(self):
        while self.state.index is None:
            await anyio.sleep(0.02)
        self.node._gate.open()
        self.ready = True

    @contextlib.contextmanager
    def scope(self):
        with anyio.CancelScope() as scope:
            self.scopes[scope] = None
            try:
                yield scope
            finally:
                del self.scopes[scope]

    def receive(self, data, sender):
        if self.socket is not None:
            self.socket.on_packet(data, sender)

    async def connect(self, instance):
        await anyio.sleep(NETWORK_S)
        engine = self.fleet.at_port(instance.port)
        if engine is None:
            raise ConnectionRefusedByHostError("refused")
        return ViewConnection(self.fleet, engine, self).protocol

    async def request_delta(self, host):
        """Return what a peer's copy of the store has more, as of its answer."""
        reply, asked = Reply(), self.state.replica.at
        self.fleet.spawn(self.fleet.copy_from, self, host, asked, reply)
        await reply.come.wait()
        return reply.value

    def serve(self, scope, exchange, ended):
        """Answer a call in a task of this process."""

        async def answer():
            try:
                with contextlib.suppress(Exception), self.scope():
                    await self.app(scope, exchange.receive, exchange.send)
            finally:
                ended.set()

        self.group.start_soon(answer)

    def hand_over(self):
        self.peers.leaving = True
        self.streams.hand_over()
        self.peers.trigger_report()

    def kill(self):
        self.alive = self.ready = False
        for scope in list(self.scopes):
            scope.cancel()
        self.process.discard()
        self.killed.set()


class ViewConnection(EngineConnection):
    """A connection whose bytes wait while its router is paused."""

    def __init__(self, fleet, engine, router):
        self.router = router
        self.source = f"engine {next(fleet.connections):06}"
        super().__init__(fleet, engine)

    def write(self, data):
        self.fleet.context.copy().run(super().write, data)

    def head(self, request_id):
        # A router may then tell that an idle connection ended before its time.
        line = b"keep-alive: timeout=30\r\n\r\n"
        return super().head(request_id).removesuffix(b"\r\n") + line

    def send(self, data):
        if self in self.engine.connections and self.router.alive:
            receive = self.protocol.data_received
            self.router.process.deliver(self.source, receive, data)

    def end(self):
        if self.scope is not None:
            self.scope.cancel()
        if self.router.alive:
            error = ConnectionResetError("the engine ended")
            lose = self.protocol.connection_lost
            self.router.process.deliver(self.source, lose, error)


class ViewCaller(StreamCaller):
    """A caller who may leave a router that is paused."""

    async def call(self, router, scope, exchange):
        if not router.alive:
            return
        ended, over = anyio.Event(), anyio.Event()
        guarded = _UntilLeft(exchange, over)
        source = f"caller {self.number:06}"
        router.process.deliver(source, router.serve, scope, guarded, ended)
        async with anyio.create_task_group() as group:
            for event in (ended, exchange.left, router.killed):
                group.start_soon(_cancel_after, event, group.cancel_scope)
            group.start_soon(exchange.watch)
        over.set()


class _UntilLeft:
    """Drop what a router sends to a caller who isn't there any more."""

    def __init__(self, exchange, over):
        self.exchange, self.over = exchange, over

    async def receive(self):
        return await self.exchange.receive()

    async def send(self, message):
        if not self.over.is_set() and not self.exchange.left.is_set():
            await self.exchange.send(message)


async def _cancel_after(event, scope):
    await event.wait()
    scope.cancel()


class ViewFleet(StreamFleet):
    """Routers as nodes, the store, engines and callers, and cuts between them."""

    caller_type = ViewCaller
    router_type = ViewRouter

    def __init__(self, size=4, seed=1, loss=0.0):
        super().__init__(size, seed, loss)
        self.names = [f"router-{number}" for number in range(size)]
        self.cuts = Counter()
        self.connections = iter(range(10**6))
        self.random = random.Random(f"{seed} fleet")

    async def run(self, test):
        self.context = contextvars.copy_context()
        self.changed = anyio.Event()
        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(_peers, "PacketSocket", MemorySocket)
            async with anyio.create_task_group() as self.group:
                self.store.put("op/config", CatalogFact(self.catalog))
                for name in self.names:
                    self.start_router(name)
                await anyio.sleep(READY_S)
                self.note_long_service()
                await test(self)
                self.group.cancel_scope.cancel()

    def note_long_service(self):
        """Let the routers have watched for as long as a stream can be old."""
        now = anyio.current_time()
        for router in self.routers.values():
            watch, at = router.streams.watch, router.state.replica.at
            watch.extend(MAX_LIFE_S, at, now)

    def spawn(self, function, *args):
        """Run a task that belongs to no router."""
        self.context.copy().run(self.group.start_soon, function, *args)

    # routers

    def start_router(self, name):
        number = next(self._numbers)
        centre = CENTRES[int(name.partition("-")[2]) % len(CENTRES)]
        clock = SimpleNamespace(time_ns=lambda: number * 1_000_000)
        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(node, "time", clock)
            router = self.routers[name] = self.router_type(self, name, centre, number)
        router.process.run(self.group.start_soon, router.run)
        return router

    async def end(self, name):
        router = self.routers[name]
        router.leaving = True
        router.process.deliver("signals", router.hand_over)
        await anyio.sleep(2.5)
        self.kill(name)

    async def pause(self, name, for_s):
        """Let a router stand still for a while."""
        router = self.routers[name]
        if router.is_paused or not router.alive:
            return
        router.process.pause()
        await anyio.sleep(for_s)
        if router.alive:
            router.touched_at = anyio.current_time()
            await router.process.resume(self.random)

    def ready(self):
        rows = self.routers.items()
        return sorted(name for name, row in rows if row.ready and not row.leaving)

    def reader_names(self):
        """Return the routers that watch the store while all is well."""
        by_centre = {}
        for name, row in self.routers.items():
            by_centre.setdefault(row.centre, []).append(name)
        return [watchers(names, 1, "store")[0] for names in by_centre.values()]

    # what lies between

    async def cut_pairs(self, pairs, for_s):
        """Lose what is sent between pairs of sender and receiver for a while."""
        pairs = list(pairs)
        self.cuts.update(pairs)
        await anyio.sleep(for_s)
        cut = [name for name in self.names if self.is_cut(name)]
        self.cuts.subtract(pairs)
        for name in cut:
            self.routers[name].touched_at = anyio.current_time()

    async def cut(self, name, for_s):
        await self.cut_pairs(self.pairs(name), for_s)

    async def cut_store(self, name, for_s):
        await self.cut_pairs([(name, STORE), (STORE, name)], for_s)

    def pairs(self, name):
        """Return the pairs of a router with the others, both ways."""
        others = [other for other in self.names if other != name]
        return [(name, row) for row in others] + [(row, name) for row in others]

    def passes(self, sender, to):
        return not self.cuts[sender, to]

    def is_cut(self, name):
        """Return whether a router doesn't reach the store, or half of the others."""
        pairs = [pair for pair, count in self.cuts.items() if count and name in pair]
        lost = {other for pair in pairs for other in pair} - {name}
        return STORE in lost or 2 * len(lost) >= len(self.names)

    def deliver(self, data, sender, to):
        link = self._links.get((sender, to))
        if link is None:
            link = self._links[sender, to] = random.Random(f"{self.seed} {sender} {to}")
        if link.random() >= self.loss:
            self.spawn(self._arrive, data, sender, to)

    async def _arrive(self, data, sender, to):
        await anyio.sleep(NETWORK_S)
        router = self.routers.get(to)
        if router is not None and router.alive and self.passes(sender, to):
            router.process.deliver("packets", router.receive, data, sender)

    async def copy_from(self, router, name, asked, reply):
        """Let a peer answer a request for what its copy has more."""
        await anyio.sleep(NETWORK_S)
        peer = self.routers.get(name)
        if peer is None or not peer.alive or not self.passes(router.name, name):
            return

        def answer():
            delta = peer.state.replica.since(asked)
            self.spawn(self._bring, router, name, reply, delta)

        peer.process.deliver("copies", answer)

    async def _bring(self, router, sender, reply, delta):
        await anyio.sleep(self.random.uniform(*CHANGE_DELAY_S))
        if router.alive and self.passes(sender, router.name):
            router.process.deliver("copies", reply.set, delta)

    # the store

    def publish(self, fact, after_s=0.0):
        async def write():
            await anyio.sleep(after_s)
            self.write(fact)
            self.changed.set()
            self.changed = anyio.Event()

        self.spawn(write)

    async def wait_for_change(self, at, wait_s):
        """Wait until the store has a change after a position, or for a while."""
        with anyio.move_on_after(wait_s):
            while self.store.listing().at <= at:
                await self.changed.wait()
