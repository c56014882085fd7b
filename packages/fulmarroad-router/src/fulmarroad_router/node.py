"""Put a router's tasks together under one supervisor tree."""

from __future__ import annotations

import logging
import signal
import time
from collections.abc import Mapping
from pathlib import Path

import anyio
from anyio.abc import TaskStatus
from attrs import frozen

from fulmarroad.audit import AuditRecord, AuditTrail, Subject
from fulmarroad.coordination import (
    Coordinator,
    Follower,
    PeerAddress,
    Roles,
    StepDownAll,
    TakeMembers,
    TakeTables,
    TakeVms,
)
from fulmarroad.events import Event, emit
from fulmarroad.exceptions import ConfigurationError
from fulmarroad.metrics import Metrics, NoMetrics, StatsdMetrics
from fulmarroad.supervision import ChildSpec, Supervisor
from fulmarroad.tables import BackendServer, RouteIndex, Route, Tables, Workspace
from fulmarroad.transport import (
    PeerChannel,
    PeerServer,
    PeerStream,
    TlsFiles,
    TrafficCount,
)
from fulmarroad_router.admin import AdminApp
from fulmarroad_router.admitting import Admitter
from fulmarroad_router.app import CallersApp
from fulmarroad_router.backend import BackendClient
from fulmarroad_router.execution import Execution
from fulmarroad_router.gate import CallGate
from fulmarroad_router.http_server import HttpServer
from fulmarroad_router.operations import RouterOperations
from fulmarroad_router.settings import Settings

logger = logging.getLogger("fulmarroad.router")

NOTICE_S = 1.0
"""How long a draining router goes on taking calls.

The platform's balancer looks at /readyz about once a second; calls that it sends in
that time are served, so that a shutdown turns nobody away.
"""

METRICS_S = 1.0


@frozen
class Lookup:
    """Hold the tables in force with the index over them."""

    tables: Tables
    index: RouteIndex

    def workspace_for_key(self, bearer: str) -> Workspace | None:
        """Return the workspace that a key belongs to."""
        return self.index.workspace_for_key(bearer)

    def route_for(
        self, method: str, path: str, model: str, workspace: str
    ) -> Route | None:
        """Return the route of a call."""
        return self.index.route_for(method, path, model, workspace)


class Node:
    """Own the life of one router process: start, serve, drain, end."""

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self._clock = time.monotonic
        self._incarnation = time.time_ns() // 1_000_000
        self._traffic = TrafficCount()
        self._audit = AuditTrail(self._log_audit)
        self._metrics = _metrics(settings)
        self._tls = _tls(settings)
        self._gate = CallGate()
        self._cut: set[str] = set()
        self._drain_asked = anyio.Event()
        self._drain_cause = ""
        self._lookup: Lookup | None = None
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
        self._admitter = Admitter(self._coordinator, self._tables, self._clock)

    async def run(self) -> None:
        """Run until the graceful shutdown is done."""
        emit(logger, Event.STARTED, incarnation=self._incarnation)
        async with anyio.create_task_group() as group:
            await group.start(self._watch_signals)
            group.start_soon(self._run_tree)
            await self._drain_asked.wait()
            await self._shut_down()
            group.cancel_scope.cancel()
        await self._backends.close()
        emit(logger, Event.SHUTDOWN_DONE)

    def ask_drain(self, cause: str) -> None:
        """Begin the graceful shutdown."""
        if not self._drain_asked.is_set():
            self._drain_cause = cause
            emit(logger, Event.DRAIN_ASKED, cause=cause)
            self._drain_asked.set()

    async def _run_tree(self) -> None:
        await Supervisor(
            "router",
            [
                ChildSpec("coordinator", self._coordinator.run, restart=False),
                ChildSpec("peers", self._peer_server().run),
                ChildSpec("gossip", self._gossip.run),
                ChildSpec("configuration", self._watcher.run),
                ChildSpec("admission", self._admitter.run),
                ChildSpec("callers", self._callers().run),
                ChildSpec("admin", self._admin().run),
                ChildSpec("metrics", self._run_metrics),
            ],
            seed=self._incarnation,
        ).run()

    async def _watch_signals(self, *, task_status: TaskStatus[None]) -> None:
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            task_status.started()
            async for number in signals:
                self.ask_drain(number.name)

    async def _shut_down(self) -> None:
        """Become unready, hand roles over, finish what was accepted, leave."""
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
        self._gossip.leave()
        done = anyio.Event()
        self._coordinator.tell(StepDownAll(done))
        await done.wait()
        with anyio.move_on_after(self._settings.limits.drain_timeout_s):
            await anyio.sleep(NOTICE_S)
            self._gate.close()
            await self._gate.wait_idle()

    def _callers(self) -> HttpServer:
        execution = Execution(
            self._coordinator, self._backends, self._admitter, self._clock
        )
        app = CallersApp(
            lambda: self._lookup,
            execution,
            self._gate,
            self._metrics,
            self._clock,
            self._settings.limits.max_body_bytes,
        )
        listen = self._settings.listen
        return HttpServer(app, listen.host, listen.port)

    def _admin(self) -> HttpServer:
        operations = RouterOperations(
            self._settings,
            self._coordinator,
            self._gate,
            self._audit,
            self._traffic,
            self._tables,
            self._swim.members,
            self._clock,
            self.ask_drain,
            self._cut,
        )
        listen = self._settings.listen
        app = AdminApp(operations, self._settings.admin.token)
        return HttpServer(app, listen.admin_host, listen.admin_port)

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


def _metrics(settings: Settings) -> Metrics:
    row = settings.metrics
    if not row.host:
        return NoMetrics()
    return StatsdMetrics(row.host, row.port, row.prefix)


def _tls(settings: Settings) -> TlsFiles | None:
    row = settings.tls
    if not row.enabled:
        return None
    try:
        return TlsFiles(
            Path(row.certificate).read_bytes(),
            Path(row.key).read_bytes(),
            Path(row.authority).read_bytes(),
        )
    except OSError as error:
        raise ConfigurationError(
            f"A TLS file can't be read: {error}.",
            hint="Check [tls] in the settings.",
        ) from error
