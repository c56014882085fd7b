"""Choose the server of a call, and check the choice before the call is sent."""

from __future__ import annotations

import random
from collections.abc import Collection, Iterable, Sequence

from attrs import define, field

from fulmarroad.types import DataCentreName, RefusalReason, ServerName
from fulmarroad_serving._admission_control import AdmissionControl
from fulmarroad_serving._budgets import ColdBudget
from fulmarroad_serving._catalog import ServiceName
from fulmarroad_serving._demands import ColdServers, Demand, Placement, Refusal
from fulmarroad_serving._engine_choice import EngineChooser
from fulmarroad_serving._obstacles import Obstacle
from fulmarroad_serving._owners import OwnedServers
from fulmarroad_serving._registry import Registered
from fulmarroad_serving._routing import PartMemory, choose_plain, part_id
from fulmarroad_serving._servers import PlacementView, ServerBook
from fulmarroad_serving._service_settings import ServiceSettings
from fulmarroad_serving._shortlist import ShortlistBook
from fulmarroad_serving._waits import (
    allowed_wait_s,
    refuse_for_rest,
    refuse_for_wait,
    refuse_stream,
    refuse_without_server,
)
from fulmarroad_serving.admission import StartBound, excess_wait_s
from fulmarroad_serving.placement import NO_CLASSES, ClassSnapshot, SpeedClasses


@define
class ServerChooser:
    """Choose servers among those that accept a call."""

    _centre: DataCentreName
    _settings: ServiceSettings
    _servers: ServerBook
    _parts: PartMemory
    _admission: AdmissionControl
    _engines: EngineChooser
    _shortlists: ShortlistBook
    _random: random.Random
    _share_window_s: float
    _classes: dict[ServiceName, ClassSnapshot] = field(factory=dict)

    def speed_classes(self, service: ServiceName, now: float) -> SpeedClasses:
        """Return the classes by which a service's servers are ranked for parts.

        It is the same object until a class changes.
        """
        if not self._settings.features(service).weighted_parts:
            return NO_CLASSES
        snapshot = self._classes.get(service)
        if snapshot is None:
            snapshot = ClassSnapshot(self._servers.speed_class)
            self._classes[service] = snapshot
        return snapshot.current(self._servers.registry.usable(service), now)

    def obstacle(
        self, demand: Demand, server: ServerName, now: float
    ) -> Obstacle | None:
        """Return why this router may not send a call to a server, None if it may."""
        row = self._servers.registry.get(server)
        if row is None:
            return Obstacle.GONE
        service = self._settings.service(demand.service)
        view = PlacementView(version=demand.version)
        return self._servers.obstacle(row, service, now, view)

    def may_send(self, demand: Demand, placement: Placement, now: float) -> bool:
        """Return whether a call that was placed earlier may still be sent."""
        row = placement.registered
        if not self._servers.may_send(row.instance, demand.version, now):
            return False
        service = self._settings.service(demand.service)
        return self._servers.may_send_cold(row, service, placement.cold_budget, now)

    def cold_servers(
        self, rows: Iterable[Registered], service: ServiceName, now: float
    ) -> ColdServers:
        """Return which of some servers are cold, and whether they may get a call."""
        return self._servers.cold_servers(rows, self._settings.service(service), now)

    def place(
        self,
        demand: Demand,
        now: float,
        *,
        avoid: Collection[ServerName] = (),
        owned: OwnedServers | None = None,
        asker: ColdServers | None = None,
        full: Collection[ServerName] = (),
        commit: StartBound | None = None,
    ) -> Placement | Refusal:
        """Choose a server, or return the reason for a refusal.

        `owned` limits the choice to servers whose queues this router knows exactly. For
        another router's call, `asker` is what that router knows of cold servers, and
        `full` are those at which its connections are in use. `commit` bounds the wait
        at an engine in place of the share, as the order of the queue follows shares.
        """
        service = self._settings.service(demand.service)
        if owned is None:
            usable = self._servers.registry.usable(service.name, demand.version)
            view = PlacementView(avoid, demand.version, asker, full)
        else:
            usable = owned.rows
            view = PlacementView(avoid, demand.version, asker, full, owned.held)
        classes = self.speed_classes(service.name, now)
        part = part_id(demand.part)
        rows = self._shortlists.of(demand.service, demand.version).pick_accepting(
            part,
            usable,
            self._parts.holders(part),
            classes,
            lambda row: self._servers.accepts(row, service, now, view),
            lambda row: self._servers.is_silent(row.instance.id, now),
        )
        if not rows:
            # Another router knows itself which servers rest for it.
            return self._refuse_without_server(
                demand, usable if asker is None else (), now
            )
        speeds = self._settings.learns_speeds(service.name)
        candidates = [
            self._servers.candidate(
                row, service, now, classes.get(row.instance.id, 0), speeds=speeds
            )
            for row in rows
        ]
        use = self._admission.use_of(demand, now)
        if service.engine is not None:
            choice = self._engines.choose(demand, candidates, use, now, commit)
        else:
            source = self._random if owned is None else None
            choice = choose_plain(candidates, self._centre, source)
        assert choice is not None
        if commit is not None:
            excess_s = excess_wait_s(demand, choice, commit)
        else:
            few_servers = self._has_few_servers(demand)
            excess_s = choice.wait_s - allowed_wait_s(
                demand, service, choice, use, few_servers=few_servers
            )
        if excess_s > 0:
            window_s = self._share_window_s
            return refuse_for_wait(
                choice, use, len(rows), excess_s, window_s, self._random
            )
        registered = self._servers.registry.get(choice.server)
        assert registered is not None
        supplier = self._servers.registry.get(choice.source) if choice.source else None
        budget = self._servers.cold_budget(registered, service, now, view)
        return Placement(
            registered,
            choice,
            use,
            len(rows),
            supplier,
            cold_budget=budget or ColdBudget.SHARE,
            may_open=owned is not None
            and self._servers.may_open_more(registered, service, now),
        )

    def _refuse_without_server(
        self, demand: Demand, resting: Sequence[Registered], now: float
    ) -> Refusal:
        """Refuse a call that no server accepts now; some of `resting` may rest."""
        if not self._has_origin(demand):
            return refuse_stream(RefusalReason.STREAM_ORIGIN_GONE, self._random)
        rest_s = self._servers.rest_s(resting, now) if resting else None
        if rest_s is not None:
            return refuse_for_rest(rest_s)
        return refuse_without_server(self._random)

    def _has_origin(self, demand: Demand) -> bool:
        """Return whether a server is left that may go on with a call's stream."""
        if not demand.version:
            return True
        return bool(self._servers.registry.usable(demand.service, demand.version))

    def _has_few_servers(self, demand: Demand) -> bool:
        """Return whether a call's stream can go on at some of the servers only."""
        if not demand.version:
            return False
        usable = self._servers.registry.usable(demand.service, demand.version)
        return len(usable) < len(self._servers.registry.usable(demand.service))
