"""Admit or refuse a call, choose its server and account for its cost.

One object holds a router's state and makes its decisions without network access, so
that the same code serves real callers, tests and the model of a whole fleet. The
current time is an argument; the tasks that own the sockets report each outcome.
"""

from __future__ import annotations

import logging
import random
from collections.abc import Callable, Collection, Iterable, Mapping, Sequence

from attrs import evolve

from fulmarroad.events import Event, emit
from fulmarroad.types import (
    DataCentreName,
    RefusalReason,
    RouterName,
    ServerName,
)
from fulmarroad_serving._answer_estimates import AnswerEstimates
from fulmarroad_serving._attempts import SendOutcome
from fulmarroad_serving._baselines import ChooseEngine
from fulmarroad_serving._budgets import ColdBudget, RetryShare
from fulmarroad_serving._catalog import Catalog, Service, ServiceName
from fulmarroad_serving._demands import (
    ColdServers,
    Demand,
    FleetBounds,
    Grant,
    Placement,
    Refusal,
    Ticket,
)
from fulmarroad_serving._early_rejection import EngineCapacity, admitted_fraction
from fulmarroad_serving._engine_choice import EngineChooser
from fulmarroad_serving._features import FeatureBook, Features, FeatureSettings
from fulmarroad_serving._health import ServerHealth
from fulmarroad_serving._load import Charge, PeerLoad, ServerLoad, SharedPart
from fulmarroad_serving._obstacles import Obstacle
from fulmarroad_serving._owners import OwnedServers
from fulmarroad_serving._registry import Instance, Registered
from fulmarroad_serving._routing import (
    Choice,
    PartMemory,
    choose_engine,
    choose_plain,
    part_id,
)
from fulmarroad_serving._servers import PlacementView, ServerBook
from fulmarroad_serving._shares import NO_USE, ShareBook, ShareUse
from fulmarroad_serving._shortlist import ShortlistBook
from fulmarroad_serving._silence import ServerActivity
from fulmarroad_serving._suspects import Suspects
from fulmarroad_serving._waits import (
    allowed_wait_s,
    refuse_above_share,
    refuse_for_rest,
    refuse_for_wait,
    refuse_queued,
    refuse_stream,
    refuse_unfinishable,
    refuse_without_server,
)
from fulmarroad_serving._workspace_outcomes import PlacementOutcomes
from fulmarroad_serving.admission import StartBound, excess_wait_s
from fulmarroad_serving.engines._speeds import EngineSpeeds
from fulmarroad_serving.placement import (
    NO_CLASSES,
    ClassSnapshot,
    SpareCapacity,
    SpeedClasses,
)

logger = logging.getLogger("fulmarroad.serving")

LARGE_PROMPT_TOKENS = 3_000
"""Uncached prompt tokens from which a prompt is reported to peers at once: it occupies
an engine for longer than workspaces above their share may wait."""

MIN_TELLING_TOKENS = 4_000
"""Size of a shared part from which the time to the first token tells whether it was
cached: smaller ones are read in the time that the estimate is off."""


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
        self._features = FeatureBook(features)
        self._me = me
        self._centre = centre
        self._bounds = bounds
        self._random = random.Random(seed)
        self._shortlists = ShortlistBook(self._random)
        self._retries: dict[ServiceName, RetryShare] = {}
        self._capacities: dict[ServiceName, EngineCapacity] = {}
        self._classes: dict[ServiceName, ClassSnapshot] = {}
        self.parts = PartMemory()
        self._chooser = EngineChooser(choose, self.parts, centre)
        self.suspects = Suspects()
        self._catalog = Catalog(0)
        self._peers: dict[RouterName, float] = {}
        self.servers = ServerBook(me, bounds)
        self.registry = self.servers.registry
        self.shares = ShareBook(window_s=bounds.share_window_s)
        self.rooms = SpareCapacity()
        """What the engines of each owner can begin soon."""
        self.answers = AnswerEstimates()
        self.placements = PlacementOutcomes()
        """Decisions on placements by workspace, until the node logs them."""
        self.on_large_prompt: Callable[[], None] | None = None
        """Called after a large prompt was sent, to report it to peers at once."""
        self.on_leaving: Callable[[], None] = lambda: None
        """Called when a server announced its shutdown, to tell peers at once."""
        self.on_progress: Callable[[Ticket], None] = lambda ticket: None
        """Called when a granted call is sent, begins or ends, to tell its owner."""
        self.speeds = EngineSpeeds(self.servers, self.learns_speeds)

    @property
    def routers(self) -> list[RouterName]:
        """Return the routers that may exist, including this one."""
        return self.servers.routers

    @routers.setter
    def routers(self, routers: list[RouterName]) -> None:
        self.servers.routers = routers

    def set_catalog(self, catalog: Catalog) -> None:
        """Apply another version of the configuration."""
        self._catalog = catalog
        self.shares.units_per_s = catalog.limits.units_per_s

    def features(self, service: ServiceName) -> Features:
        """Return the optional features in force for a service."""
        engines = len(self.registry.usable(service))
        return self._features.features(self._catalog, service, engines)

    def queues_calls(self, service: ServiceName) -> bool:
        """Return whether calls of a service wait in the queue of an owner."""
        row = self._catalog.services.get(service)
        has_engines = row is not None and row.engine is not None
        return has_engines and self.features(service).admission_queue

    def speed_classes(self, service: ServiceName, now: float) -> SpeedClasses:
        """Return the classes by which a service's servers are ranked for parts.

        It is the same object until a class changes.
        """
        if not self.features(service).weighted_parts:
            return NO_CLASSES
        snapshot = self._classes.get(service)
        if snapshot is None:
            snapshot = ClassSnapshot(self.servers.speed_class)
            self._classes[service] = snapshot
        return snapshot.current(self.registry.usable(service), now)

    def room(self, service: ServiceName, rows: Iterable[Registered], now: float) -> int:
        """Return the prompt tokens that some engines can begin soon.

        It is 0 where spillover is off.
        """
        if not self.may_spill(service):
            return 0
        return self.servers.room(rows, self._service(service), now)

    def may_spill(self, service: ServiceName) -> bool:
        """Return whether calls of a service may be sent on to a second owner.

        Only engines have a room, so it is never so for a plain service.
        """
        has_engines = self._service(service).engine is not None
        return has_engines and self.features(service).spillover

    def spilling_services(self) -> list[ServiceName]:
        """Return the services whose calls may be sent on to a second owner."""
        return [name for name in self._catalog.services if self.may_spill(name)]

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

    def note_asked(self, demand: Demand, now: float) -> None:
        """Count an incoming call."""
        self.shares.note_asked(demand.workspace, demand.units, now)
        if demand.part:
            self.parts.note_asked(part_id(demand.part), now)
        self._retry_share(demand.service).note_request(now)

    def reject_early(self, demand: Demand, now: float) -> Refusal | None:
        """Refuse a call without trying a server if its workspace exceeds its share.

        Return None for a call that may be placed. A stream that has begun was let in
        before.
        """
        service = self._catalog.services.get(demand.service)
        if service is None or service.engine is None or demand.version:
            return None
        engines = self._capacity(service.name)
        if engines.is_outdated(now):
            speeds = self.learns_speeds(service.name)
            speed = self.servers.tokens_per_s(service.name, self._random, speeds=speeds)
            engines.note_speed(speed, now)
        if not engines.tokens_per_s:
            return None  # no engine at all; `place` refuses with that reason
        shares = self.shares
        units = engines.capacity(shares.granted_units(now), shares.window_s)
        part = admitted_fraction(shares.entitled_fraction(demand.workspace, units, now))
        if demand.hash_fraction <= part:
            return None
        use = shares.use_of(demand.workspace, demand.units, now)
        return refuse_above_share(part, use, self._bounds.share_window_s, self._random)

    def reject_unfinishable(
        self, demand: Demand, remaining_s: float, now: float
    ) -> Refusal | None:
        """Refuse a call whose answer can't end within `remaining_s`, its time left.

        A stream that has begun isn't refused, as a part of it was delivered.
        """
        if demand.version or not self.features(demand.service).answer_lengths:
            return None
        if not self.answers.cannot_finish(demand, remaining_s, now):
            return None
        return refuse_unfinishable(self._random)

    def obstacle(
        self, demand: Demand, server: ServerName, now: float
    ) -> Obstacle | None:
        """Return why this router may not send a call to a server, None if it may."""
        row = self.registry.get(server)
        if row is None:
            return Obstacle.GONE
        service = self._service(demand.service)
        view = PlacementView(version=demand.version)
        return self.servers.obstacle(row, service, now, view)

    def may_send(self, demand: Demand, placement: Placement, now: float) -> bool:
        """Return whether a call that was placed earlier may still be sent."""
        row = placement.registered
        if not self.servers.may_send(row.instance, demand.version, now):
            return False
        service = self._service(demand.service)
        return self.servers.may_send_cold(row, service, placement.cold_budget, now)

    def cold_servers(
        self, rows: Iterable[Registered], service: ServiceName, now: float
    ) -> ColdServers:
        """Return which of some servers are cold, and whether they may get a call."""
        return self.servers.cold_servers(rows, self._service(service), now)

    def may_retry(self, service: ServiceName, now: float) -> bool:
        """Return whether the budget has a retry left."""
        return self._retry_share(service).allows(now, len(self.routers))

    def take_retry(self, service: ServiceName, now: float) -> bool:
        """Take one retry from the budget and return whether there was one."""
        return self._retry_share(service).take(now, len(self.routers))

    def use_of(self, demand: Demand, now: float) -> ShareUse:
        """Return the share use of a call's workspace, for calls to engines."""
        service = self._catalog.services.get(demand.service)
        if service is None or service.engine is None:
            return NO_USE
        return self.shares.use_of(demand.workspace, demand.units, now)

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
        service = self._service(demand.service)
        if owned is None:
            usable = self.registry.usable(service.name, demand.version)
            view = PlacementView(avoid, demand.version, asker, full)
        else:
            usable = owned.rows
            view = PlacementView(avoid, demand.version, asker, full, owned.held)
        classes = self.speed_classes(service.name, now)
        part = part_id(demand.part)
        rows = self._shortlists.of(demand.service, demand.version).pick_accepting(
            part,
            usable,
            self.parts.holders(part),
            classes,
            lambda row: self.servers.accepts(row, service, now, view),
            lambda row: self.servers.is_silent(row.instance.id, now),
        )
        if not rows:
            # Another router knows itself which servers rest for it.
            return self._refuse_without_server(
                demand, usable if asker is None else (), now
            )
        speeds = self.learns_speeds(service.name)
        candidates = [
            self.servers.candidate(
                row, service, now, classes.get(row.instance.id, 0), speeds=speeds
            )
            for row in rows
        ]
        use = self.use_of(demand, now)
        if service.engine is not None:
            choice = self._chooser.choose(demand, candidates, use, now, commit)
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
            window_s = self._bounds.share_window_s
            return refuse_for_wait(
                choice, use, len(rows), excess_s, window_s, self._random
            )
        registered = self.registry.get(choice.server)
        assert registered is not None
        supplier = self.registry.get(choice.source) if choice.source else None
        budget = self.servers.cold_budget(registered, service, now, view)
        return Placement(
            registered,
            choice,
            use,
            len(rows),
            supplier,
            cold_budget=budget or ColdBudget.SHARE,
            may_open=owned is not None
            and self.servers.may_open_more(registered, service, now),
        )

    def _refuse_without_server(
        self, demand: Demand, resting: Sequence[Registered], now: float
    ) -> Refusal:
        """Refuse a call that no server accepts now; some of `resting` may rest."""
        if not self._has_origin(demand):
            return refuse_stream(RefusalReason.STREAM_ORIGIN_GONE, self._random)
        rest_s = self.servers.rest_s(resting, now) if resting else None
        if rest_s is not None:
            return refuse_for_rest(rest_s)
        return refuse_without_server(self._random)

    def refuse_queued(
        self, demand: Demand, reason: RefusalReason, now: float
    ) -> Refusal:
        """Refuse a call that doesn't wait for a place, or no longer."""
        use, window_s = self.use_of(demand, now), self._bounds.share_window_s
        return refuse_queued(reason, use, window_s, self._random)

    def send(
        self,
        demand: Demand,
        placement: Placement,
        now: float,
        *,
        for_peer: bool = False,
    ) -> Ticket:
        """Record a call that is about to be sent, by another router if `for_peer`."""
        if placement.grant is not None:
            return self._send_granted(demand, placement, placement.grant, now)
        server = placement.choice.server
        view = self.servers.view(server)
        choice = placement.choice
        expected_s = choice.wait_s + choice.read_s
        ahead = self.speeds.unread_tokens(demand.service, server, now)
        charge = view.load.send(server, choice.tokens, now, expected_s, choice.wait_s)
        charge = evolve(charge, part=self._shared_part(demand, choice, now))
        if ahead is not None:
            charge = evolve(charge, ahead_tokens=ahead)
        self._note_cold_call(demand, placement, now, for_peer=for_peer)
        if choice.tokens >= LARGE_PROMPT_TOKENS and self.on_large_prompt is not None:
            self.on_large_prompt()
        if placement.use is not NO_USE:  # only set for engine services
            self._capacity(demand.service).note_sent(choice.tokens, demand.units)
        if demand.part:
            self.parts.send(part_id(demand.part), server, now)
        self.shares.note_got(demand.workspace, demand.units, now)
        source = placement.source
        ticket = Ticket(demand, charge, source.instance if source is not None else None)
        if self.features(demand.service).answer_lengths:
            self.answers.expect_end(ticket, view.load, now)
        return ticket

    def _send_granted(
        self, demand: Demand, placement: Placement, grant: Grant, now: float
    ) -> Ticket:
        """Record a call whose place another router granted, and counts."""
        choice = placement.choice
        grant.closed = True
        self._note_cold_call(demand, placement, now, for_peer=False)
        if grant.owner != self._me:  # as the owner, it counted the call already
            if placement.use is not NO_USE:
                self._capacity(demand.service).note_sent(choice.tokens, demand.units)
            if demand.part:
                self.parts.note(part_id(demand.part), choice.server, now)
        expected_s = choice.wait_s + choice.read_s
        charge = Charge(
            choice.server, choice.tokens, 0.0, now, expected_s, wait_s=choice.wait_s
        )
        source = placement.source.instance if placement.source is not None else None
        ticket = Ticket(demand, charge, source, grant=grant)
        self.on_progress(ticket)
        return ticket

    def _note_cold_call(
        self, demand: Demand, placement: Placement, now: float, *, for_peer: bool
    ) -> None:
        """Count a call to a cold server, unless another router counts it."""
        budget = placement.cold_budget
        if budget is ColdBudget.SHARE and (
            for_peer or not placement.registered.cold(now)
        ):
            return
        service = self._service(demand.service)
        self.servers.note_cold_call(placement.choice.server, service, budget, now)

    def adopt(self, ticket: Ticket, now: float) -> None:
        """Count a granted call here from now on, as its owner is gone."""
        view = self.servers.view(ticket.charge.server)
        if self.learns_speeds(ticket.demand.service):
            # The owner knew the queue; this router only knows the expected wait.
            ahead = ticket.charge.wait_s * view.load.read_rate
            ticket.charge = evolve(ticket.charge, ahead_tokens=ahead)
        ticket.charge = view.load.adopt(ticket.charge, begun=ticket.begun)
        ticket.grant = None
        if self.features(ticket.demand.service).answer_lengths:
            self.answers.expect_end(ticket, view.load, now)

    def begin(self, ticket: Ticket, now: float) -> None:
        """Record the first part of an answer."""
        if ticket.begun:
            return
        ticket.begun_at = now
        if ticket.grant is None:
            charge = ticket.charge
            load = self.servers.view(charge.server).load
            as_assumed = self._part_was_as_assumed(charge, load, now)
            if self.learns_speeds(ticket.demand.service):
                load.begin(charge, now, learn=False)
                self.speeds.note_begun(ticket, load, now, as_assumed=as_assumed)
            else:
                load.begin(charge, now, learn=as_assumed)
        else:
            self.on_progress(ticket)

    def services_with_speeds(self) -> list[ServiceName]:
        """Return the services whose engines' speeds are modelled."""
        return [name for name in self._catalog.services if self.learns_speeds(name)]

    def learns_speeds(self, service: ServiceName) -> bool:
        """Return whether the speed of a service's engines is modelled."""
        row = self._catalog.services.get(service)
        if row is None or row.engine is None:
            return False
        return self.features(service).engine_speeds

    def _shared_part(
        self, demand: Demand, choice: Choice, now: float
    ) -> SharedPart | None:
        if not demand.part or choice.source:  # a part that is fetched tells nothing
            return None
        age_s = now - self.parts.sent_at(part_id(demand.part), choice.server)
        return SharedPart(demand.shared_tokens, age_s, choice.cached)

    def _part_was_as_assumed(
        self, charge: Charge, load: ServerLoad, now: float
    ) -> bool:
        """Learn whether the shared part was cached; return whether as assumed."""
        part = charge.part
        if part is None or part.tokens < MIN_TELLING_TOKENS:
            return True
        part_s = part.tokens / load.read_rate
        cached_s = charge.expected_s - (0.0 if part.cached else part_s)
        hit = now - charge.sent_at < cached_s + part_s / 2
        self.parts.retention.note(part.age_s, hit=hit)
        return hit == part.cached

    def end(self, ticket: Ticket, outcome: SendOutcome | None, now: float) -> None:
        """Record the end of a call.

        `outcome` is None if the call was answered or its caller disconnected.
        """
        view = self.servers.view(ticket.charge.server)
        self.speeds.pace.end(ticket.charge.server, id(ticket))
        if ticket.grant is not None:
            ticket.outcome, ticket.ended = outcome, True
            self.on_progress(ticket)
            if ticket.grant.owner == self._me:
                return  # as the owner, it learned from the end just now
        else:
            self.release(ticket, now)
            if outcome is not None and not ticket.begun:
                self.placements.note_lost(ticket.demand.workspace, ticket.demand.units)
        if outcome is None:
            if ticket.complete and self.features(ticket.demand.service).answer_lengths:
                self.answers.note_end(ticket, self._service(ticket.demand.service), now)
            if ticket.begun:
                view.health.record_success(now)
                # With its wait, a queue would seem to slow the server down further.
                duration_s = now - ticket.charge.sent_at - ticket.charge.wait_s
                view.learn_duration(duration_s)
        elif outcome is not SendOutcome.RESTS:
            # Without a penalty, a server that refuses calls looks idle and gets most.
            view.health.record_failure(now)

    def release(self, ticket: Ticket, now: float) -> None:
        """Stop counting a call, without learning from its end."""
        self.servers.view(ticket.charge.server).load.end(ticket.charge)
        if not ticket.begun:
            demand, sent_at = ticket.demand, ticket.charge.sent_at
            self.shares.refund(demand.workspace, demand.units, sent_at, now)

    def expire(self, now: float) -> list[ServerName]:
        """Drop expired entries and return the servers that were removed."""
        removed = self.registry.expire(now)
        for server in self.servers.drop_removed():
            self.speeds.pace.forget(server)
            self.parts.forget(server)
        return removed

    def _has_origin(self, demand: Demand) -> bool:
        """Return whether a server is left that may go on with a call's stream."""
        if not demand.version:
            return True
        return bool(self.registry.usable(demand.service, demand.version))

    def _has_few_servers(self, demand: Demand) -> bool:
        """Return whether a call's stream can go on at some of the servers only."""
        if not demand.version:
            return False
        usable = self.registry.usable(demand.service, demand.version)
        return len(usable) < len(self.registry.usable(demand.service))

    def refuse_stream(self, reason: RefusalReason) -> Refusal:
        """Refuse a call that takes up a stream."""
        return refuse_stream(reason, self._random)

    def _capacity(self, service: ServiceName) -> EngineCapacity:
        capacity = self._capacities.get(service)
        if capacity is None:
            capacity = self._capacities[service] = EngineCapacity()
        return capacity

    def _service(self, name: ServiceName) -> Service:
        return self._catalog.services.get(name) or Service(name)

    def _retry_share(self, service: ServiceName) -> RetryShare:
        share = self._retries.get(service)
        if share is None:
            bounds = self._bounds
            share = self._retries[service] = RetryShare(
                bounds.retry_ratio, bounds.retry_window_s, bounds.retry_burst
            )
        return share
