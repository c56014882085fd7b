"""Admit or refuse a call, choose its server and account for its cost.

One object holds a router's state and makes its decisions without network access, so
that the same code serves real callers, tests and the model of a whole fleet. The
current time is an argument; the tasks that own the sockets report each outcome.
"""

from __future__ import annotations

import logging
import random
from collections.abc import Callable, Collection, Iterable, Mapping

from fulmarroad.events import Event, emit
from fulmarroad.types import (
    DataCentreName,
    RefusalReason,
    RouterName,
    ServerName,
)
from fulmarroad_serving._admission_control import AdmissionControl
from fulmarroad_serving._answer_estimates import AnswerEstimates
from fulmarroad_serving._attempts import SendOutcome
from fulmarroad_serving._baselines import ChooseEngine
from fulmarroad_serving._call_accounts import CallAccounts
from fulmarroad_serving._catalog import Catalog, ServiceName
from fulmarroad_serving._demands import (
    ColdServers,
    Demand,
    FleetBounds,
    Placement,
    Refusal,
    Ticket,
)
from fulmarroad_serving._engine_choice import EngineChooser
from fulmarroad_serving._features import FeatureBook, Features, FeatureSettings
from fulmarroad_serving._health import ServerHealth
from fulmarroad_serving._load import PeerLoad, ServerLoad
from fulmarroad_serving._obstacles import Obstacle
from fulmarroad_serving._owners import OwnedServers
from fulmarroad_serving._registry import Instance, Registered
from fulmarroad_serving._retries import RetryBook
from fulmarroad_serving._routing import PartMemory, choose_engine
from fulmarroad_serving._server_choice import ServerChooser
from fulmarroad_serving._servers import ServerBook
from fulmarroad_serving._service_settings import ServiceSettings
from fulmarroad_serving._shares import ShareBook, ShareUse
from fulmarroad_serving._shortlist import ShortlistBook
from fulmarroad_serving._silence import ServerActivity
from fulmarroad_serving._suspects import Suspects
from fulmarroad_serving._waits import refuse_stream
from fulmarroad_serving._workspace_outcomes import PlacementOutcomes
from fulmarroad_serving.admission import StartBound
from fulmarroad_serving.engines._speeds import EngineSpeeds
from fulmarroad_serving.placement import SpareCapacity, SpeedClasses

logger = logging.getLogger("fulmarroad.serving")


class Dispatcher:
    """Make the admission and placement decisions of one router."""

    def __init__(
        self,
        me: RouterName,
        centre: DataCentreName,
        bounds: FleetBounds,
        seed: int = 0,
        choose: ChooseEngine = choose_engine,
        features: FeatureSettings | None = None,
    ) -> None:
        self._random = random.Random(seed)
        self.parts = PartMemory()
        self.suspects = Suspects()
        self.servers = ServerBook(me, bounds)
        self.registry = self.servers.registry
        self.shares = ShareBook(window_s=bounds.share_window_s)
        self.rooms = SpareCapacity()
        """What the engines of each owner can begin soon."""
        self.answers = AnswerEstimates()
        self.placements = PlacementOutcomes()
        """Decisions on placements by workspace, until the node logs them."""
        self.on_large_prompt: Callable[[], None] = lambda: None
        """Called after a large prompt was sent, to report it to peers at once."""
        self.on_leaving: Callable[[], None] = lambda: None
        """Called when a server announced its shutdown, to tell peers at once."""
        self.on_progress: Callable[[Ticket], None] = lambda ticket: None
        """Called when a granted call is sent, begins or ends, to tell its owner."""
        self.settings = ServiceSettings(self.registry, FeatureBook(features))
        self.speeds = EngineSpeeds(self.servers, self.settings.learns_speeds)
        self._retries = RetryBook(bounds)
        self._admission = AdmissionControl(
            self.settings, self.servers, self.shares, self.answers, self._random
        )
        self._chooser = ServerChooser(
            centre,
            self.settings,
            self.servers,
            self.parts,
            self._admission,
            EngineChooser(choose, self.parts, centre),
            ShortlistBook(self._random),
            self._random,
            bounds.share_window_s,
        )
        self._accounts = CallAccounts(
            me,
            self.settings,
            self.servers,
            self.parts,
            self.shares,
            self._retries,
            self._admission,
            self.answers,
            self.speeds,
            self.placements,
            # Looked up at each call, as they are set after the dispatcher is made.
            on_large_prompt=lambda: self.on_large_prompt(),
            on_progress=lambda ticket: self.on_progress(ticket),
        )

    @property
    def routers(self) -> list[RouterName]:
        """Return the routers that may exist, including this one."""
        return self.servers.routers

    @routers.setter
    def routers(self, routers: list[RouterName]) -> None:
        self.servers.routers = routers

    def set_catalog(self, catalog: Catalog) -> None:
        """Apply another version of the configuration."""
        self.settings.catalog = catalog
        self.shares.units_per_s = catalog.limits.units_per_s

    def features(self, service: ServiceName) -> Features:
        """Return the optional features in force for a service."""
        return self.settings.features(service)

    def queues_calls(self, service: ServiceName) -> bool:
        """Return whether calls of a service wait in the queue of an owner."""
        return self.settings.queues_calls(service)

    def learns_speeds(self, service: ServiceName) -> bool:
        """Return whether the speed of a service's engines is modelled."""
        return self.settings.learns_speeds(service)

    def may_spill(self, service: ServiceName) -> bool:
        """Return whether calls of a service may be sent on to a second owner."""
        return self.settings.may_spill(service)

    def speed_classes(self, service: ServiceName, now: float) -> SpeedClasses:
        """Return the classes by which a service's servers are ranked for parts.

        It is the same object until a class changes.
        """
        return self._chooser.speed_classes(service, now)

    def room(self, service: ServiceName, rows: Iterable[Registered], now: float) -> int:
        """Return the prompt tokens that some engines can begin soon.

        It is 0 where spillover is off.
        """
        if not self.settings.may_spill(service):
            return 0
        return self.servers.room(rows, self.settings.service(service), now)

    def restarted(self, server: ServerName) -> None:
        """Drop the state of a server that restarted."""
        self.servers.forget(server)
        self.parts.forget(server)
        self.speeds.pace.forget(server)

    def note_leaving(self, server: ServerName, started_ms: int, source: str) -> None:
        """Give no more calls to a run of a server that announced its shutdown.

        `source` says who read the announcement: this router or a peer.
        """
        if self.registry.note_leaving(server, started_ms):
            emit(logger, Event.SERVER_LEAVES, server=server, source=source)
            self.on_leaving()

    def note_rest(self, instance: Instance, rest_s: float, now: float) -> None:
        """Leave a server alone for as long as it asked this router to."""
        if rest_s <= 0 or not self.registry.accepts_calls(instance):
            return
        self.servers.view(instance.id).rest.begin(rest_s, now, self._random)
        emit(logger, Event.SERVER_RESTS, server=instance.id, seconds=rest_s)

    def health(self, server: ServerName) -> ServerHealth:
        """Return the failure record of a server."""
        return self.servers.view(server).health

    def load(self, server: ServerName) -> ServerLoad:
        """Return the load estimate of a server."""
        return self.servers.view(server).load

    def activity(self, server: ServerName) -> ServerActivity:
        """Return when a server was heard, over any connection."""
        return self.servers.view(server).activity

    def own_load(self) -> dict[ServerName, PeerLoad]:
        """Return this router's own load at each server, for its peers."""
        return self.servers.own_load()

    def receive_load(
        self, router: RouterName, loads: Mapping[ServerName, PeerLoad], now: float
    ) -> None:
        """Store a peer's report of its load at each server."""
        self.servers.receive_load(router, loads, now)

    def forget_peers(self, routers: Collection[RouterName]) -> None:
        """Drop the reports of peers whose load other routers report from now on."""
        self.servers.forget_peers(routers)
        self.shares.forget(routers)

    def expire(self, now: float) -> list[ServerName]:
        """Drop expired entries and return the servers that were removed."""
        removed = self.registry.expire(now)
        for server in self.servers.drop_removed():
            self.speeds.pace.forget(server)
            self.parts.forget(server)
        return removed

    def note_asked(self, demand: Demand, now: float) -> None:
        """Count an incoming call."""
        self._accounts.note_asked(demand, now)

    def reject_early(self, demand: Demand, now: float) -> Refusal | None:
        """Refuse a call without trying a server if its workspace exceeds its share.

        Return None for a call that may be placed. A stream that has begun was let in
        before.
        """
        return self._admission.reject_early(demand, now)

    def reject_unfinishable(
        self, demand: Demand, remaining_s: float, now: float
    ) -> Refusal | None:
        """Refuse a call whose answer can't end within `remaining_s`, its time left.

        A stream that has begun isn't refused, as a part of it was delivered.
        """
        return self._admission.reject_unfinishable(demand, remaining_s, now)

    def refuse_queued(
        self, demand: Demand, reason: RefusalReason, now: float
    ) -> Refusal:
        """Refuse a call that doesn't wait for a place, or no longer."""
        return self._admission.refuse_queued(demand, reason, now)

    def refuse_stream(self, reason: RefusalReason) -> Refusal:
        """Refuse a call that takes up a stream."""
        return refuse_stream(reason, self._random)

    def use_of(self, demand: Demand, now: float) -> ShareUse:
        """Return the share use of a call's workspace, for calls to engines."""
        return self._admission.use_of(demand, now)

    def may_retry(self, service: ServiceName, now: float) -> bool:
        """Return whether the budget has a retry left."""
        return self._retries.of(service).allows(now, len(self.routers))

    def take_retry(self, service: ServiceName, now: float) -> bool:
        """Take one retry from the budget and return whether there was one."""
        return self._retries.of(service).take(now, len(self.routers))

    def obstacle(
        self, demand: Demand, server: ServerName, now: float
    ) -> Obstacle | None:
        """Return why this router may not send a call to a server, None if it may."""
        return self._chooser.obstacle(demand, server, now)

    def may_send(self, demand: Demand, placement: Placement, now: float) -> bool:
        """Return whether a call that was placed earlier may still be sent."""
        return self._chooser.may_send(demand, placement, now)

    def cold_servers(
        self, rows: Iterable[Registered], service: ServiceName, now: float
    ) -> ColdServers:
        """Return which of some servers are cold, and whether they may get a call."""
        return self._chooser.cold_servers(rows, service, now)

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
        return self._chooser.place(
            demand, now, avoid=avoid, owned=owned, asker=asker, full=full, commit=commit
        )

    def send(
        self,
        demand: Demand,
        placement: Placement,
        now: float,
        *,
        for_peer: bool = False,
    ) -> Ticket:
        """Record a call that is about to be sent, by another router if `for_peer`."""
        return self._accounts.send(demand, placement, now, for_peer=for_peer)

    def adopt(self, ticket: Ticket, now: float) -> None:
        """Count a granted call here from now on, as its owner is gone."""
        self._accounts.adopt(ticket, now)

    def begin(self, ticket: Ticket, now: float) -> None:
        """Record the first part of an answer."""
        self._accounts.begin(ticket, now)

    def end(self, ticket: Ticket, outcome: SendOutcome | None, now: float) -> None:
        """Record the end of a call.

        `outcome` is None if the call was answered or its caller disconnected.
        """
        self._accounts.end(ticket, outcome, now)

    def release(self, ticket: Ticket, now: float) -> None:
        """Stop counting a call, without learning from its end."""
        self._accounts.release(ticket, now)
