"""Assembly and lifecycle of one serving process: start, supervised tasks and drain."""

from __future__ import annotations

import gc
import logging
import random
import signal
import time
from collections.abc import Callable
from typing import Any

import anyio
from anyio.abc import TaskStatus

from fulmarroad.audit import AuditRecord, AuditTrail, Subject
from fulmarroad.events import Event, emit
from fulmarroad.supervision import ChildSpec, Supervisor, continue_on_error
from fulmarroad_router.gate import CallGate, GateState
from fulmarroad_router.http_server import HttpServer
from fulmarroad_serving._baselines import placement_named
from fulmarroad_serving._call_checks import ConfigurationAge
from fulmarroad_serving._callers import ServingApp
from fulmarroad_serving._catalog import Catalog
from fulmarroad_serving._dispatch import Dispatcher
from fulmarroad_serving._fingerprints import Fingerprint
from fulmarroad_serving._forwarding import Forwarder
from fulmarroad_serving._lateness import LoopLateness
from fulmarroad_serving._metrics import Metrics
from fulmarroad_serving._outcome_log import OutcomeLog
from fulmarroad_serving._peers import Peers
from fulmarroad_serving._pool import ConnectionPool
from fulmarroad_serving._positions import era_of, revision_of
from fulmarroad_serving._reader import StoreReader
from fulmarroad_serving._router_state import RouterState
from fulmarroad_serving._saturation import SaturationGuard
from fulmarroad_serving._shedding_log import SheddingLog
from fulmarroad_serving._status import PageApp, json_page, readiness_page, text_page
from fulmarroad_serving.bounded_log import BoundedLog
from fulmarroad_serving.contracts import (
    CallCodec,
    EngineMemories,
    Listing,
    ServingSettings,
    StateStore,
)
from fulmarroad_serving.streams import (
    EngineEvidence,
    EngineLists,
    ListConfirmation,
    ServerDepartures,
    StoreHistory,
    StreamResumption,
    engines_of,
)

logger = logging.getLogger("fulmarroad.serving")

READINESS_GRACE_S = 2.5
"""Time for which a draining router still accepts calls. The balancer polls readiness
each second and removes a router after two failures."""

GRACE_MARGIN_S = 0.4
"""Part of the grace period before the kill that is reserved for the final shutdown."""

TICK_S = 0.2
PAUSE_S = 0.5
"""Gap between ticks, beyond the tick itself, that counts as a pause of the process."""

LATE_S = 0.03
"""Sustained event loop delay that is logged: three times that of a busy router."""

NO_SERVERS_WAIT_S = 2.0
"""Time after the configuration is loaded after which a router without any server still
becomes ready. It then correctly answers that there is no server."""


def boot_clock() -> float:
    """Return seconds since boot, counting the time that a VM was suspended.

    The monotonic clock leaves that time out. A router that resumes after a suspension
    would then treat old state as fresh and give servers more time than callers have.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class ServingNode:
    """Run one process: start, serve, drain and stop."""

    def __init__(
        self,
        settings: ServingSettings,
        codec: CallCodec,
        store: StateStore,
        log: BoundedLog,
        read_seeds: Callable[[], tuple[str, ...]],
        clock: Callable[[], float] = boot_clock,
        engines: EngineMemories | None = None,
    ) -> None:
        self._settings = settings
        self._log = log
        self._read_seeds = read_seeds
        self._clock = clock
        self._incarnation = time.time_ns() // 1_000_000
        self._gate = CallGate()
        self._metrics = Metrics()
        self._lateness = LoopLateness()
        self._drain_requested = anyio.Event()
        self._audit = AuditTrail(_log_audit)
        self._dispatcher = Dispatcher(
            settings.router,
            settings.data_centre,
            settings.bounds,
            self._incarnation,
            placement_named(settings.placement),
            settings.features,
        )
        self._pool = ConnectionPool(
            clock, self._metrics.note_closed, settings.bounds.drain_timeout_s
        )
        self._router_state = RouterState(
            store, self._dispatcher, self._pool, self._audit, clock
        )
        self._reader = StoreReader(
            store, self._router_state, self._reads_store, clock, self._incarnation
        )
        self._peers = Peers(
            settings.router,
            settings.data_centre,
            settings.host,
            settings.peer_port,
            self._incarnation,
            self._dispatcher,
            self._router_state,
            lambda: (self._reader.age_s(), self._reader.failure_age_s()),
            clock,
        )
        self._peers.seeds = settings.seeds
        self._confirmation = ListConfirmation(
            store,
            self._router_state,
            lambda: len(self._dispatcher.routers),
            self._peers.store_failure_age_s,
            clock,
        )
        self._peers.confirm_list = self._confirmation.confirm
        self._router_state.on_change = self._peers.trigger_report
        self._dispatcher.on_large_prompt = self._peers.trigger_load_report
        self._dispatcher.suspects.on_change = self._peers.trigger_report
        self._dispatcher.on_leaving = self._peers.trigger_report
        self._dispatcher.speeds.on_slow_change = self._metrics.note_slow_change
        self._dispatcher.suspects.on_barred = _log_barred
        self._dispatcher.suspects.on_cleared = _log_cleared
        departures = ServerDepartures(
            lambda: self._peers.streams.watch.seconds(clock()), clock
        )
        self._router_state.on_entry = departures.note_entry
        self._router_state.on_removed = departures.note_removed
        self._engine_lists = EngineLists(
            engines,
            lambda: engines_of(
                self._router_state.catalog, self._dispatcher.registry.rows()
            ),
            clock,
        )
        self._resumption = resumption = StreamResumption(
            self._peers.streams,
            self._confirmation.confirm,
            clock,
            EngineEvidence(self._engine_lists, departures.within),
            self._peers.list_age_s,
        )
        self._router_state.on_catalog = self._apply_catalog
        self._history = StoreHistory(
            store,
            self._dispatcher.registry,
            self._peers.streams.watch,
            settings.heartbeat_s,
            clock,
        )
        self._history.on_departures = departures.note_history
        self._reader.on_listed = self._look_back
        forwarder = Forwarder(
            self._dispatcher,
            self._pool,
            codec,
            lambda: self._router_state.catalog,
            clock,
            self._peers.owner_client,
            resumption.note_begun,
        )
        source = random.Random(self._incarnation)
        self._saturation = SaturationGuard(self._lateness, source)
        self._app = ServingApp(
            codec,
            self._router_state,
            forwarder,
            self._gate,
            self._metrics,
            self._saturation,
            clock,
            resumption,
            ConfigurationAge(self._peers.list_age_s, settings.bounds.config_apply_s),
        )
        self._outcome_log = OutcomeLog(
            self._dispatcher,
            self._pool,
            self._app.ends,
            self._peers.owner_client,
            lambda: self._router_state.catalog,
            self._metrics,
            self._peers.retries,
            self._peers.granter.queued,
        )
        self._peers.retries.on_outcome = self._metrics.note_retry
        self._callers = HttpServer(
            self._app,
            settings.host,
            settings.callers_port,
            idle_timeout_s=Catalog(0).limits.idle_timeout_s,
        )

    async def run(self) -> None:
        """Run until the graceful shutdown is done."""
        emit(logger, Event.STARTED, incarnation=self._incarnation)
        async with anyio.create_task_group() as group:
            await group.start(self._watch_signals)
            group.start_soon(self._run_supervisor)
            group.start_soon(self._open_gate)
            await self._drain_requested.wait()
            await self._shut_down()
            group.cancel_scope.cancel()
        self._pool.close()
        emit(logger, Event.SHUTDOWN_DONE)
        self._log.drain()

    async def _run_supervisor(self) -> None:
        settings = self._settings
        status = PageApp(json_page(self.status))
        metrics = PageApp(text_page(self._metrics_text))
        ready = PageApp(readiness_page(self._gate, self._saturation))
        children = [
            ChildSpec("log", self._log.run),
            # Peers first: they decide whether the reader reads the store.
            ChildSpec("peers", self._peers.run),
            ChildSpec("reader", self._reader.run),
            ChildSpec("copies", self._peers.serve),
            ChildSpec("callers", self._callers.run),
            ChildSpec("lists", self._engine_lists.run),
            ChildSpec("confirmation", self._confirmation.run),
            ChildSpec("ready", self._page_server(ready, settings.readiness_port).run),
            ChildSpec("status", self._page_server(status, settings.admin_port).run),
            ChildSpec("metrics", self._page_server(metrics, settings.metrics_port).run),
            ChildSpec("tick", self._tick),
            ChildSpec("lateness", self._sample_lateness),
        ]
        await Supervisor("serving", children, seed=self._incarnation).run()

    def _page_server(self, app: PageApp, port: int) -> HttpServer:
        return HttpServer(app, self._settings.host, port, accepts_per_turn=1)

    def _reads_store(self) -> bool:
        return self._peers.reads_store()

    async def _look_back(self, listing: Listing) -> None:
        await self._history.look_back(listing, self._router_state.catalog)

    def _apply_catalog(self, catalog: Catalog) -> None:
        self._resumption.note_catalog(catalog)
        limits = catalog.limits
        self._callers.set_timeouts(limits.idle_timeout_s, limits.header_timeout_s)

    async def _open_gate(self) -> None:
        while self._router_state.index is None:
            await anyio.sleep(0.02)
        with anyio.move_on_after(NO_SERVERS_WAIT_S):
            while not self._dispatcher.registry.rows():
                await anyio.sleep(0.02)
        gc.collect()
        gc.freeze()
        self._gate.open()
        emit(
            logger,
            Event.READY,
            version=self._router_state.catalog.version,
            servers=len(self._dispatcher.registry.rows()),
        )

    async def _tick(self) -> None:
        last = self._clock()
        late_since: float | None = None
        shedding = SheddingLog(self._saturation, self._lateness)
        while True:
            await anyio.sleep(TICK_S)
            now = self._clock()
            if now - last > TICK_S + PAUSE_S:
                emit(logger, Event.CLOCK_PAUSE, seconds=round(now - last, 2))
            late_since = self._log_lateness(late_since, now)
            with continue_on_error("periodic log lines"):
                shedding.log(now, time.process_time())
                self._outcome_log.log(now)
            last = now

    def _log_lateness(self, since: float | None, now: float) -> float | None:
        """Log when the loop starts or stops running late; return when it started."""
        late_s = self._lateness.sustained_s
        if since is None and late_s >= LATE_S:
            in_flight = self._gate.in_flight
            emit(logger, Event.LOOP_LATE, late_s=round(late_s, 3), in_flight=in_flight)
            return now
        if since is None or late_s >= LATE_S / 2:
            return since
        worst_s, self._lateness.worst_s = self._lateness.worst_s, 0.0
        emit(
            logger,
            Event.LOOP_ON_TIME,
            seconds=round(now - since, 1),
            worst_s=round(worst_s, 3),
        )
        return None

    async def _sample_lateness(self) -> None:
        await self._lateness.run(self._clock, self._saturation.adapt)

    async def _watch_signals(self, *, task_status: TaskStatus[None]) -> None:
        handled = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
        with anyio.open_signal_receiver(*handled) as signals:
            task_status.started()
            # The settings may have changed while reloads were still ignored.
            self._reload()
            async for number in signals:
                if number == signal.SIGHUP:
                    self._reload()
                else:
                    self._request_drain(number.name)

    def _request_drain(self, cause: str) -> None:
        if not self._drain_requested.is_set():
            emit(logger, Event.DRAIN_ASKED, cause=cause)
            self._drain_requested.set()

    def _reload(self) -> None:
        try:
            self._peers.seeds = self._read_seeds()
        except (
            OSError,
            ValueError,
            TypeError,
            AttributeError,
            RecursionError,
        ) as error:
            emit(logger, Event.SETTINGS_REJECTED, cause=repr(error))
            return
        emit(logger, Event.SETTINGS_RELOADED, seeds=list(self._peers.seeds))

    async def _shut_down(self) -> None:
        """Become unready, serve for `READINESS_GRACE_S`, then finish running calls."""
        begun = self._clock()
        emit(logger, Event.SHUTDOWN_BEGUN, in_flight=self._gate.in_flight)
        self._audit.record(
            Subject.PROCESS,
            self._settings.router,
            before=self._gate.state.value,
            after=GateState.DRAINING.value,
            cause="signal",
        )
        self._gate.drain()
        self._peers.leaving = True
        self._peers.streams.hand_over()
        self._peers.trigger_report()
        max_drain_s = self._settings.grace_s - GRACE_MARGIN_S
        with anyio.move_on_after(max_drain_s):
            await anyio.sleep(min(READINESS_GRACE_S, max_drain_s / 2))
            self._gate.close()
            await self._callers.stop()
            await self._gate.wait_idle()
        emit(
            logger,
            Event.CALLS_LEFT,
            in_flight=self._gate.in_flight,
            seconds=round(self._clock() - begun, 2),
        )

    def status(self) -> dict[str, Any]:
        """Return this router's view of the fleet and its age."""
        now = self._clock()
        registry = self._dispatcher.registry
        return {
            "router": self._settings.router,
            "state": self._gate.state.value,
            "in_flight": self._gate.in_flight,
            "version": self._router_state.catalog.version,
            "store_revision": revision_of(self._router_state.replica.at),
            "store_era": era_of(self._router_state.replica.at),
            "store_age_s": round(min(self._reader.age_s(), 1e6), 2),
            "loop_late_s": round(self._lateness.sustained_s, 3),
            "reads_store": self._reads_store(),
            "owns": self._peers.owners.owned_by(self._settings.router),
            "requests_barred": {
                name.hex(): ends
                for name, ends in self._dispatcher.suspects.barred(now).items()
            },
            "parts_barred": self._dispatcher.suspects.barred_parts(now),
            "centres_left": sorted(registry.centres_left),
            "peers": {
                peer.router: {
                    "news_at": revision_of(peer.news_at),
                    "leaving": peer.leaving,
                }
                for peer in self._peers.book.alive(now)
            },
            "servers": {
                row.instance.id: self._server_status(row.instance.id, now)
                for row in registry.rows()
            },
        }

    def _server_status(self, server: str, now: float) -> dict[str, Any]:
        row = self._dispatcher.registry.get(server)
        load = self._dispatcher.load(server)
        assert row is not None
        return {
            "service": row.instance.service,
            "draining": row.instance.draining,
            "cold": row.cold(now),
            "rests": self._dispatcher.servers.view(server).rest.is_on(now),
            "running": load.total_running(now),
            "waiting_tokens": round(load.total_waiting(now)),
            "read_rate": round(load.read_rate),
            "failure_rate": round(self._dispatcher.health(server).rate, 3),
        }

    def _metrics_text(self) -> bytes:
        now = self._clock()
        self._metrics.in_flight.set(self._gate.in_flight)
        self._metrics.stream_records.set(len(self._peers.streams.records))
        self._metrics.peers.set(len(self._peers.book.alive(now)))
        self._metrics.version.set(self._router_state.catalog.version)
        self._metrics.store_age.set(min(self._reader.age_s(), 1e6))
        self._metrics.loop_late.set(self._lateness.sustained_s)
        self._metrics.dropped.set(self._log.dropped)
        self._metrics.note_queue(self._peers.granter.queued)
        return self._metrics.text()


def _log_barred(fingerprint: Fingerprint, ends: int, part: str) -> None:
    suspect = fingerprint.hex()
    emit(logger, Event.REQUEST_BARRED_NOW, fingerprint=suspect, ends=ends, part=part)


def _log_cleared(fingerprint: Fingerprint, ends: int, part: str) -> None:
    name = fingerprint.hex()
    emit(logger, Event.SUSPECT_CLEARED, fingerprint=name, ends=ends, part=part)


def _log_audit(record: AuditRecord) -> None:
    logging.getLogger("fulmarroad.audit").info(
        "audit", extra={"audit": record.as_dict()}
    )
