"""Connect the speed model with a router's servers, its answers and its log.

Load pattern: see `_speed`, `_slow_down` and `_pace`, which decide. Nothing here takes
effect for services whose engines' speeds are not modelled.
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterable

from fulmarroad.events import Event, emit
from fulmarroad.types import ServerName
from fulmarroad_serving._catalog import ServiceName
from fulmarroad_serving._demands import Ticket
from fulmarroad_serving._load import ServerLoad
from fulmarroad_serving._registry import Registered
from fulmarroad_serving._servers import ServerBook
from fulmarroad_serving.engines._book import SlowChange, SpeedClass
from fulmarroad_serving.engines._pace import PaceBook
from fulmarroad_serving.engines._pace_messages import PaceReport

logger = logging.getLogger("fulmarroad.serving")


class EngineSpeeds:
    """Apply what is seen and reported of the speed of engines."""

    def __init__(
        self, servers: ServerBook, learns: Callable[[ServiceName], bool]
    ) -> None:
        self._servers = servers
        self._learns = learns
        self.pace = PaceBook()
        self.on_slow_change: Callable[[SlowChange], None] = lambda change: None
        """Called when a server of this router became slow, or is no longer."""

    def note_begun(
        self, ticket: Ticket, load: ServerLoad, now: float, *, as_assumed: bool
    ) -> None:
        """Learn from a first token of an engine of this router."""
        charge = ticket.charge
        if ticket.source is None:  # a fetched part takes time that is not reading
            self._servers.engines.note_begun(
                ticket.demand.service, charge, load, now, as_assumed=as_assumed
            )
        self._tell_slow_change(charge.server, now)

    def unread_tokens(
        self, service: ServiceName, server: ServerName, now: float
    ) -> float | None:
        """Return the tokens before a new prompt; None where speeds aren't modelled."""
        if not self._learns(service):
            return None
        load = self._servers.view(server).load
        return self._servers.engines.unread_tokens(service, server, load, now)

    def watch_answer(self, ticket: Ticket, now: float) -> None:
        """Watch the gaps of an answer that begins, where speeds are modelled."""
        if self._learns(ticket.demand.service):
            self.pace.begin(ticket.charge.server, id(ticket), now)

    def receive_pace(self, report: PaceReport, now: float) -> None:
        """Apply a report on the gaps of the answers of a server of this router.

        A report on another run of the server is dropped.
        """
        row = self._servers.registry.get(report.server)
        if row is None or row.instance.started_ms != report.started_ms:
            return
        service = row.instance.service
        if self._learns(service):
            self._servers.engines.receive_pace(service, report, now)
            self._tell_slow_change(report.server, now)

    def note_read_rate(
        self, service: ServiceName, server: ServerName, rate: float, now: float
    ) -> None:
        """Store the speed of an engine as its owner learned it."""
        self._servers.view(server).load.read_rate = rate
        if self._learns(service):
            self._servers.engines.note_reported_rate(service, server, rate, now)

    def tell_slow_changes(self, now: float) -> None:
        """Log the slow-downs that ended without a further report or first token."""
        for server in self._servers.engines.slow_servers():
            self._tell_slow_change(server, now)

    def _tell_slow_change(self, server: ServerName, now: float) -> None:
        load = self._servers.view(server).load
        change = self._servers.engines.poll(server, load, now)
        if change is None:
            return
        emit(
            logger,
            Event.ENGINE_RECOVERED if change.ended else Event.ENGINE_SLOW,
            server=server,
            factor=round(change.state.factor, 1),
            source=change.state.source,
        )
        self.on_slow_change(change)

    def classes(self, rows: Iterable[Registered]) -> tuple[SpeedClass, ...]:
        """Return the known classes of servers, for a report."""
        known = (
            (row.instance, self._servers.engines.speed_class(row.instance.id))
            for row in rows
        )
        return tuple(
            (instance.id, instance.started_ms, number)
            for instance, number in known
            if number is not None
        )

    def receive_classes(self, rows: Iterable[SpeedClass], now: float) -> None:
        """Store the classes of servers that their owners reported."""
        for server, started_ms, number in rows:
            row = self._servers.registry.get(server)
            if row is None or row.instance.started_ms != started_ms:
                continue
            service = row.instance.service
            if self._learns(service):
                self._servers.engines.note_reported_class(service, server, number, now)
