"""Assemble the tasks of a router under one supervisor tree."""

from __future__ import annotations

import logging
import signal
import time
from collections.abc import Callable, Coroutine
from typing import Any

import anyio
from anyio.abc import TaskGroup, TaskStatus

from fulmarroad.audit import AuditRecord, AuditTrail, Subject
from fulmarroad.configuration import (
    ConfigurationWatcher,
    HttpConfigurationSource,
    VmListing,
)
from fulmarroad.coordination import (
    Coordinator,
    Follower,
    PeerAddress,
    PeerClient,
    Roles,
    SetMembers,
    SetTables,
    SetVms,
    StepDownAll,
)
from fulmarroad.events import Event, emit
from fulmarroad.exceptions import MessageError
from fulmarroad.membership import Gossip, Swim
from fulmarroad.messages import (
    KeyCopyReply,
    KeyCopyRequest,
    KeyFence,
    KeyFinish,
    KeyRecorded,
    KeyStart,
    MemberUpdate,
    TablesReply,
    TablesRequest,
)
from fulmarroad.supervision import ChildSpec, Supervisor
from fulmarroad.tables import (
    BackendServer,
    Tables,
    TableStore,
)
from fulmarroad.transport import (
    PeerChannel,
    PeerServer,
    PeerStream,
    TrafficCount,
)
from fulmarroad.types import MemberState
from fulmarroad_router.admin import AdminApp
from fulmarroad_router.admitting import AdmissionController
from fulmarroad_router.app import CallersApp
from fulmarroad_router.backend import BackendClient
from fulmarroad_router.execution import Execution
from fulmarroad_router.gate import CallGate
from fulmarroad_router.http_server import HttpServer
from fulmarroad_router.keyed import IdempotentRunner
from fulmarroad_router.lookup import Lookup
from fulmarroad_router.operations import RouterOperations
from fulmarroad_router.parts import build_key_groups, build_metrics, load_tls_files
from fulmarroad_router.settings import Settings
from fulmarroad_router.traffic import TrafficCountingMetrics

logger = logging.getLogger("fulmarroad.router")

READINESS_GRACE_S = 1.0
"""Time for which a draining router still accepts calls.

The platform's load balancer polls /readyz about once a second. Calls that it sends
before its next poll are served, so a shutdown refuses no calls.
"""

METRICS_S = 1.0
ASK_TIMEOUT_S = 2.0


class Node:
    """Run one router process: start, serve, drain and exit."""

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self._clock = time.monotonic
        self._incarnation = time.time_ns() // 1_000_000
        self._traffic = TrafficCount()
        self._audit = AuditTrail(self._log_audit)
        self._metrics = build_metrics(settings)
        self._tls = load_tls_files(settings)
        self._gate = CallGate()
        self._cut: set[str] = set()
        self._drain_requested = anyio.Event()
        self._bound = anyio.Event()
        self._drain_cause = ""
        self._lookup: Lookup | None = None
        self._group: TaskGroup | None = None
        self._backends = BackendClient()
        name, centre = settings.router.name, settings.router.data_centre
        self._coordinator = Coordinator(
            name,
            Follower(name, self._incarnation, centre),
            Roles(
                name,
                self._incarnation,
                settings.bench.policy.value,
                self._audit,
                self._takes_work,
            ),
            self._traffic,
            self._audit,
            dial=self._dial,
            clock=self._clock,
        )
        self._admission_controller = AdmissionController(
            self._coordinator, self._tables, self._clock
        )
        self._swim = Swim(self._own_member(), seed=self._incarnation, now=self._clock())
        self._gossip = Gossip(
            self._swim,
            settings.cluster.secret.encode(),
            trail=self._audit,
            metrics=TrafficCountingMetrics(self._metrics, self._traffic),
            clock=self._clock,
            cut=self._is_cut,
        )
        self._peer_client = PeerClient(
            name,
            self._addresses,
            self._traffic,
            tls=self._tls,
            cut=self._is_cut,
        )
        self._vms: dict[str, tuple[str, ...]] = {}
        self._keys = build_key_groups(
            settings,
            self._incarnation,
            self._query_member,
            lambda: self._vms,
            self._clock,
        )
        self._store = TableStore()
        platform = settings.platform
        self._source = HttpConfigurationSource(platform.configuration, platform.vm_list)
        self._watcher = ConfigurationWatcher(
            self._store,
            self._source,
            me=name,
            live=lambda: self._swim.live(centre),
            peers=self._swim.live,
            fetch_from_peer=self._fetch_tables,
            on_tables=self._apply_tables,
            on_vm_list=self._apply_vm_list,
            audit=self._audit,
            seed=self._incarnation,
        )

    async def run(self) -> None:
        """Run until the graceful shutdown has finished."""
        emit(logger, Event.STARTED, incarnation=self._incarnation)
        async with anyio.create_task_group() as group:
            self._group = group
            await group.start(self._watch_signals)
            group.start_soon(self._open_gate)
            group.start_soon(self._run_tree)
            await self._drain_requested.wait()
            await self._shut_down()
            group.cancel_scope.cancel()
        await self._backends.close()
        emit(logger, Event.SHUTDOWN_DONE)

    async def _open_gate(self) -> None:
        await self._watcher.ready.wait()
        await self._bound.wait()
        self._gate.open()
        emit(logger, Event.READY)

    def request_drain(self, cause: str) -> None:
        """Start the graceful shutdown."""
        if not self._drain_requested.is_set():
            self._drain_cause = cause
            emit(logger, Event.DRAIN_ASKED, cause=cause)
            self._drain_requested.set()

    async def _run_tree(self) -> None:
        await Supervisor(
            "router",
            [
                ChildSpec("coordinator", self._coordinator.run, restart=False),
                ChildSpec("peers", self._peer_server().run),
                ChildSpec("gossip", self._run_gossip),
                ChildSpec("members", self._watch_members),
                ChildSpec("versions", self._watch_versions),
                ChildSpec("configuration", self._watcher.run),
                ChildSpec("keys", self._keys.run_copying),
                ChildSpec("admission", self._admission_controller.run),
                ChildSpec("callers", self._callers().run),
                ChildSpec("admin", self._admin().run),
                ChildSpec("metrics", self._run_metrics),
            ],
            seed=self._incarnation,
        ).run()

    def on_attached(self, peer: str, send: Callable[[Any], None]) -> int:
        """Register the stream of a peer and return its handle."""
        return self._coordinator.on_attached(peer, send)

    def on_message(self, peer: str, message: Any) -> None:
        """Handle a message from the stream of a peer."""
        self._coordinator.on_message(peer, message)

    def on_detached(self, peer: str, handle: int) -> None:
        """Unregister the stream of a peer that has ended."""
        self._coordinator.on_detached(peer, handle)

    async def on_request(self, peer: str, message: Any) -> Any:
        """Answer a single request of a peer.

        Raise `MessageError` for a message that is not a request.
        """
        if isinstance(message, TablesRequest):
            return self._watcher.make_reply(message)
        if isinstance(message, KeyStart | KeyFence | KeyFinish | KeyCopyRequest):
            return self._keys.handle(message)
        raise MessageError(f"{type(message).__name__} is no question.")

    async def _watch_signals(self, *, task_status: TaskStatus[None]) -> None:
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            task_status.started()
            async for number in signals:
                self.request_drain(number.name)

    async def _shut_down(self) -> None:
        """Drain: leave the membership, hand over roles and finish accepted calls."""
        emit(
            logger,
            Event.SHUTDOWN_BEGUN,
            cause=self._drain_cause,
            in_flight=self._gate.in_flight,
        )
        self._audit.record(
            Subject.PROCESS,
            self._settings.router.name,
            before=self._gate.state.value,
            after="draining",
            cause=self._drain_cause,
        )
        self._gate.drain()
        await self._gossip.leave()
        done = anyio.Event()
        self._coordinator.send_command(StepDownAll(done))
        await done.wait()
        with anyio.move_on_after(self._settings.limits.drain_timeout_s):
            await anyio.sleep(READINESS_GRACE_S)
            self._gate.close()
            await self._gate.wait_idle()

    def _callers(self) -> HttpServer:
        execution = Execution(
            self._coordinator,
            self._backends,
            self._admission_controller,
            self._clock,
            f"{self._settings.router.name}/{self._incarnation}",
        )
        runner = IdempotentRunner(execution, self._keys)
        app = CallersApp(
            lambda: self._lookup,
            runner,
            self._gate,
            self._metrics,
            self._clock,
            self._settings.limits.max_body_bytes,
        )
        listen = self._settings.listen
        # Readiness waits until the port is bound. Otherwise a router whose port is in
        # use would report ready, and the load balancer would send calls to the process
        # that holds the port.
        return HttpServer(
            app, listen.host, listen.port, on_ready=lambda port: self._bound.set()
        )

    def _admin(self) -> HttpServer:
        operations = RouterOperations(
            self._settings,
            self._coordinator,
            self._gate,
            self._audit,
            self._traffic,
            self._tables,
            self._swim.members,
            self._swim.versions,
            self._clock,
            self.request_drain,
            self._cut,
        )
        listen = self._settings.listen
        app = AdminApp(operations, self._settings.admin.token)
        tls = self._settings.tls if self._settings.admin_uses_tls else None
        return HttpServer(app, listen.admin_host, listen.admin_port, tls=tls)

    def _peer_server(self) -> PeerServer:
        listen = self._settings.listen
        return PeerServer(
            self,
            self._traffic,
            host=listen.peer_host,
            port=listen.peer_port,
            tls=self._tls,
            cut=self._is_cut,
        )

    async def _run_metrics(self) -> None:
        while True:
            await anyio.sleep(METRICS_S)
            self._metrics.gauge("in_flight", self._gate.in_flight)
            self._metrics.gauge("waiting", self._coordinator.follower.waiting)
            self._metrics.gauge("running", self._coordinator.follower.running)
            self._metrics.gauge("control.bytes_sent", self._traffic.sent)
            self._metrics.gauge("control.bytes_received", self._traffic.received)

    def _own_member(self) -> MemberUpdate:
        listen, router = self._settings.listen, self._settings.router
        return MemberUpdate(
            router.name,
            self._incarnation,
            MemberState.ALIVE,
            router.data_centre,
            listen.peer_host,
            listen.peer_port,
            listen.gossip_port,
        )

    def _addresses(self) -> dict[str, PeerAddress]:
        return {
            name: PeerAddress(member.host, member.peer_port)
            for name, member in self._swim.members().items()
        }

    async def _run_gossip(self) -> None:
        listen = self._settings.listen
        await self._gossip.run(listen.peer_host, listen.gossip_port)

    async def _watch_members(self) -> None:
        async for _ in self._gossip.changes:
            self._publish_members()

    async def _watch_versions(self) -> None:
        async for report in self._gossip.versions:
            self._watcher.record_peer_version(report.router, report.version)

    def _publish_members(self) -> None:
        live: dict[str, list[str]] = {}
        members = self._swim.members()
        for name in self._swim.live():
            centre = (
                members[name].data_centre
                if name in members
                else self._settings.router.data_centre
            )
            live.setdefault(centre, []).append(name)
        self._coordinator.send_command(
            SetMembers(
                {centre: tuple(names) for centre, names in live.items()},
                self._addresses(),
            )
        )

    def _apply_tables(self, tables: Tables) -> None:
        index = self._store.index
        if index is not None:
            self._lookup = Lookup(tables, index)
        self._coordinator.send_command(SetTables(tables))
        self._start_in_group(self._gossip.announce_version, tables.version)

    def _apply_vm_list(self, listing: VmListing) -> None:
        self._start_in_group(self._gossip.hint, listing.entries)
        vms: dict[str, list[str]] = {}
        for entry in listing.entries:
            vms.setdefault(entry.data_centre, []).append(entry.router)
        self._vms = {centre: tuple(sorted(names)) for centre, names in vms.items()}
        self._coordinator.send_command(SetVms(self._vms))
        self._publish_members()

    async def _query_member(self, peer: str, message: Any) -> Any:
        is_copy_request = isinstance(message, KeyCopyRequest)
        cls = KeyCopyReply if is_copy_request else KeyRecorded
        return await self._peer_client.ask(peer, message, cls, ASK_TIMEOUT_S)

    async def _fetch_tables(self, peer: str, request: TablesRequest) -> TablesReply:
        return await self._peer_client.ask(peer, request, TablesReply, ASK_TIMEOUT_S)

    def _start_in_group(
        self, function: Callable[[Any], Coroutine[Any, Any, None]], value: Any
    ) -> None:
        if self._group is not None:
            self._group.start_soon(function, value)

    def _dial(self, peer: str, address: PeerAddress) -> PeerStream:
        return PeerChannel(
            self._settings.router.name,
            peer,
            address.host,
            address.port,
            self._traffic,
            tls=self._tls,
            cut=self._is_cut,
        )

    def _tables(self) -> Tables | None:
        return self._lookup.tables if self._lookup else None

    def _takes_work(self, server: BackendServer, now: float) -> bool:
        tables = self._tables()
        return tables is not None and tables.server_takes_work(server)

    def _is_cut(self, peer: str) -> bool:
        return peer in self._cut

    def _log_audit(self, record: AuditRecord) -> None:
        logging.getLogger("fulmarroad.audit").info(
            "audit", extra={"audit": record.as_dict()}
        )
