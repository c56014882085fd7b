"""Admit or refuse a call, choose its server and account for its cost.

One object holds a router's state and makes its decisions without network access, so
that the same code serves real callers, tests and the model of a whole fleet. The
current time is an argument; the tasks that own the sockets report each outcome.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Collection, Mapping, Sequence

from attrs import define, evolve, field

from fulmarroad.types import (
    DataCentreName,
    RefusalReason,
    RouterName,
    ServerName,
)
from fulmarroad_serving._attempts import SendOutcome
from fulmarroad_serving._baselines import ChooseEngine
from fulmarroad_serving._budgets import ColdShare, RetryShare
from fulmarroad_serving._catalog import Catalog, Service, ServiceName
from fulmarroad_serving._demands import (
    Demand,
    FleetBounds,
    Grant,
    Placement,
    Refusal,
    Ticket,
)
from fulmarroad_serving._early_rejection import EngineCapacity, admitted_fraction
from fulmarroad_serving._health import ServerHealth
from fulmarroad_serving._load import Charge, PeerLoad, ServerLoad, SharedPart
from fulmarroad_serving._registry import Registered, Registry, cold_bound
from fulmarroad_serving._routing import (
    Candidate,
    Choice,
    PartMemory,
    choose_engine,
    choose_plain,
    part_id,
)
from fulmarroad_serving._shares import NO_USE, ShareBook, ShareUse
from fulmarroad_serving._shortlist import Shortlist
from fulmarroad_serving._suspects import Suspects

LARGE_PROMPT_TOKENS = 3_000
"""Uncached prompt tokens from which a prompt is reported to peers at once: it occupies
an engine for longer than workspaces above their share may wait."""

MIN_TELLING_TOKENS = 4_000
"""Size of a shared part from which the time to the first token tells whether it was
cached: smaller ones are read in the time that the estimate is off."""

LATE_PROMPT_WAIT_FRACTION = 0.3
"""Fraction of the objective that a prompt may wait if reading it alone takes longer
than the objective: it is late in any case, and would otherwise never be served."""

WAIT_FACTOR_PER_RANK = 0.7
"""Factor on a call's allowed wait for each rank below the most urgent one: when a
service fills up, less urgent calls are refused first, and none while no queue exists.
"""

IDLE_ENGINE_WAIT_S = 0.002
"""Wait below which an engine counts as idle: less than one step."""

PLAIN_SERVICE_S = 0.05
"""Assumed duration of a call to a plain service before any was measured."""

MIN_PLAIN_SERVICE_S = 0.001
"""Shortest duration learned, if a wait was estimated as too long."""

PLAIN_LEARNING_RATE = 0.05

PLAIN_MARGIN_FRACTION = 0.3
"""Fraction of the objective that is kept free when a call waits for a slot of a plain
service, besides its own duration."""

RETRY_AFTER_S = (0.3, 0.9)
"""Range of the retry delay after a refusal for load: an engine works off its queue
within a fraction of a second, and the range keeps retries from arriving together."""

MAX_SAMPLED_ENGINES = 64
"""Engines sampled to estimate the speed of a larger service: the error of their mean is
an eighth of the engines' standard deviation."""

SPEED_REFRESH_INTERVAL_S = 0.1
"""Time between two estimates of the engines' total speed: lost engines aren't detected
any sooner."""

NEVER = float("-inf")

MAX_RETRY_AFTER_S = 4.0
"""Upper bound of the retry delay: the share window, after which used shares are free
again."""

NO_SERVER_RETRY_AFTER_S = (0.8, 1.6)
"""Range of the retry delay while no server is known: new entries arrive about once a
second."""


@define
class _ServerView:
    """Hold this router's load, health and timing data for one server."""

    load: ServerLoad = field(factory=ServerLoad)
    health: ServerHealth = field(factory=ServerHealth)
    cold: ColdShare | None = None
    plain_s: float = PLAIN_SERVICE_S


class Dispatcher:
    """Make the admission and placement decisions of one router."""

    def __init__(
        self,
        me: RouterName,
        centre: DataCentreName,
        bounds: FleetBounds,
        seed: int = 0,
        choose: ChooseEngine = choose_engine,
    ) -> None:
        self._choose = choose
        self._me = me
        self._centre = centre
        self._bounds = bounds
        self._random = random.Random(seed)
        self._shortlists: dict[ServiceName, Shortlist] = {}
        self._views: dict[ServerName, _ServerView] = {}
        self._retries: dict[ServiceName, RetryShare] = {}
        self._capacities: dict[ServiceName, EngineCapacity] = {}
        self._speeds_refreshed_at: dict[ServiceName, float] = {}
        self.parts = PartMemory()
        self.suspects = Suspects()
        self._catalog = Catalog(0)
        self._peers: dict[RouterName, float] = {}
        self.registry = Registry()
        self.shares = ShareBook(window_s=bounds.share_window_s)
        self.routers: list[RouterName] = [me]
        """Routers that may exist, including this one; set by the membership."""
        self.on_large_prompt: Callable[[], None] | None = None
        """Called after a large prompt was sent, to report it to peers at once."""
        self.on_progress: Callable[[Ticket], None] = lambda ticket: None
        """Called when a granted call is sent, begins or ends, to tell its owner."""

    def set_catalog(self, catalog: Catalog) -> None:
        """Apply another version of the configuration."""
        self._catalog = catalog
        self.shares.units_per_s = catalog.limits.units_per_s

    def restarted(self, server: ServerName) -> None:
        """Drop the state of a server that restarted."""
        self._views.pop(server, None)
        self.parts.forget(server)

    def health(self, server: ServerName) -> ServerHealth:
        """Return the failure record of a server."""
        return self._view(server).health

    def load(self, server: ServerName) -> ServerLoad:
        """Return the load estimate of a server."""
        return self._view(server).load

    def own_load(self) -> dict[ServerName, PeerLoad]:
        """Return this router's own load at each server, for its peers."""
        return {
            server: PeerLoad(view.load.running, max(0, view.load.waiting_tokens))
            for server, view in self._views.items()
            if view.load.running
        }

    def receive_load(
        self, router: RouterName, loads: Mapping[ServerName, PeerLoad], now: float
    ) -> None:
        """Store a peer's report of its load at each server."""
        for server, load in loads.items():
            self._view(server).load.receive_load(router, load, now)
        for server, view in self._views.items():
            if server not in loads:
                view.load.forget(router)

    def forget_peers(self, routers: Collection[RouterName]) -> None:
        """Drop the reports of peers whose load other routers report from now on."""
        for view in self._views.values():
            for router in routers:
                view.load.forget(router)
        self.shares.forget(routers)

    def note_asked(self, demand: Demand, now: float) -> None:
        """Count an incoming call."""
        self.shares.note_asked(demand.workspace, demand.units, now)
        if demand.part:
            self.parts.note_asked(part_id(demand.part), now)
        self._retry_share(demand.service).note_request(now)

    def reject_early(self, demand: Demand, now: float) -> Refusal | None:
        """Refuse a call without trying a server if its workspace exceeds its share.

        Return None for a call that may be placed.
        """
        service = self._catalog.services.get(demand.service)
        if service is None or service.engine is None:
            return None
        engines = self._capacity(service.name)
        if (
            now - self._speeds_refreshed_at.get(service.name, NEVER)
            >= SPEED_REFRESH_INTERVAL_S
        ):
            self._speeds_refreshed_at[service.name] = now
            engines.tokens_per_s = self._tokens_per_s(service.name)
        if not engines.tokens_per_s:
            return None  # no engine at all; `place` refuses with that reason
        shares = self.shares
        units = engines.capacity(shares.granted_units(now), shares.window_s)
        part = admitted_fraction(shares.entitled_fraction(demand.workspace, units, now))
        if demand.hash_fraction <= part:
            return None
        pause = self._random.uniform(*RETRY_AFTER_S)
        pause += (1.0 - part) * self._bounds.share_window_s / 2
        use = shares.use_of(demand.workspace, demand.units, now)
        pause = min(pause, MAX_RETRY_AFTER_S)
        return Refusal(RefusalReason.ABOVE_SHARE, pause, use=use)

    def accepts_call(
        self, service: ServiceName, server: ServerName, now: float
    ) -> bool:
        """Return whether this router may send a call to a server now."""
        row = self.registry.get(server)
        named = self._catalog.services.get(service) or Service(service)
        return row is not None and self._accepts_call(row, named, now, ())

    def cold_servers(self, service: ServiceName, now: float) -> list[ServerName]:
        """Return the cold servers to which this router may send a call now."""
        return [
            row.instance.id
            for row in self.registry.usable(service)
            if row.cold(now) and self.accepts_call(service, row.instance.id, now)
        ]

    def unreachable_servers(self, now: float) -> set[ServerName]:
        """Return the servers to which this router can't connect at present."""
        return {
            name for name, view in self._views.items() if view.health.in_backoff(now)
        }

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
        owned: Sequence[Registered] | None = None,
        permitted_cold: Collection[ServerName] | None = None,
    ) -> Placement | Refusal:
        """Choose a server, or return the reason for a refusal.

        `owned` limits the choice to servers whose queues this router knows exactly. For
        another router's call, `permitted_cold` lists the cold servers to which that
        router may send it.
        """
        service = self._catalog.services.get(demand.service) or Service(demand.service)
        usable = self.registry.usable(service.name) if owned is None else owned
        rows = self._eligible_servers(
            demand,
            usable,
            lambda row: self._accepts_call(row, service, now, avoid, permitted_cold),
        )
        if not rows:
            return self._refuse_without_server()
        candidates = [self._candidate(row, service, now) for row in rows]
        use = self.use_of(demand, now)
        if service.engine is not None:
            choice = self._choose(
                demand.prompt,
                candidates,
                self.parts,
                self._centre,
                now,
                may_read_again=use.may_spread,
                shortage=use.shortage,
            )
        else:
            source = self._random if owned is None else None
            choice = choose_plain(candidates, self._centre, source)
        assert choice is not None
        excess_wait_s = choice.wait_s - self._allowed_wait_s(
            demand, service, choice, use
        )
        if excess_wait_s > 0:
            return self._refuse_for_wait(choice, use, len(rows), excess_wait_s)
        registered = self.registry.get(choice.server)
        assert registered is not None
        supplier = self.registry.get(choice.source) if choice.source else None
        return Placement(registered, choice, use, len(rows), supplier)

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
        view = self._view(server)
        choice = placement.choice
        expected_s = choice.wait_s + choice.read_s
        charge = view.load.send(server, choice.tokens, now, expected_s, choice.wait_s)
        charge = evolve(charge, part=self._shared_part(demand, choice, now))
        if placement.registered.cold(now) and not for_peer:
            self._cold_share(view, demand.service).note(now)
        if choice.tokens >= LARGE_PROMPT_TOKENS and self.on_large_prompt is not None:
            self.on_large_prompt()
        if placement.use is not NO_USE:  # only set for engine services
            self._capacity(demand.service).note_sent(choice.tokens, demand.units)
        if demand.part:
            self.parts.send(part_id(demand.part), server, now)
        self.shares.note_got(demand.workspace, demand.units, now)
        source = placement.source
        return Ticket(demand, charge, source.instance if source is not None else None)

    def _send_granted(
        self, demand: Demand, placement: Placement, grant: Grant, now: float
    ) -> Ticket:
        """Record a call whose place another router granted, and counts."""
        choice = placement.choice
        grant.sent = True
        if placement.registered.cold(now):
            view = self._view(choice.server)
            self._cold_share(view, demand.service).note(now)
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

    def adopt(self, ticket: Ticket) -> None:
        """Count a granted call here from now on, as its owner is gone."""
        view = self._view(ticket.charge.server)
        ticket.charge = view.load.adopt(ticket.charge, begun=ticket.begun)
        ticket.grant = None

    def begin(self, ticket: Ticket, now: float) -> None:
        """Record the first part of an answer."""
        if ticket.begun:
            return
        ticket.begun_at = now
        if ticket.grant is None:
            charge = ticket.charge
            load = self._view(charge.server).load
            load.begin(charge, now, learn=self._part_was_as_assumed(charge, load, now))
        else:
            self.on_progress(ticket)

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
        view = self._view(ticket.charge.server)
        if ticket.grant is not None:
            ticket.outcome, ticket.ended = outcome, True
            self.on_progress(ticket)
        else:
            self.release(ticket, now)
        if outcome is None:
            if ticket.begun:
                view.health.record_success(now)
                # With its wait, a queue would seem to slow the server down further.
                duration_s = now - ticket.charge.sent_at - ticket.charge.wait_s
                duration_s = max(MIN_PLAIN_SERVICE_S, duration_s)
                view.plain_s += PLAIN_LEARNING_RATE * (duration_s - view.plain_s)
        else:
            # Without a penalty, a server that refuses calls looks idle and gets most.
            view.health.record_failure(now)

    def release(self, ticket: Ticket, now: float) -> None:
        """Stop counting a call, without learning from its end."""
        self._view(ticket.charge.server).load.end(ticket.charge)
        if not ticket.begun:
            demand, sent_at = ticket.demand, ticket.charge.sent_at
            self.shares.refund(demand.workspace, demand.units, sent_at, now)

    def expire(self, now: float) -> list[ServerName]:
        """Drop expired entries and return the servers that were removed."""
        removed = self.registry.expire(now)
        for server in list(self._views):
            view = self._views[server]
            if self.registry.get(server) is None and not view.load.running:
                del self._views[server]
                self.parts.forget(server)
        return removed

    def _eligible_servers(
        self,
        demand: Demand,
        usable: Sequence[Registered],
        accepts: Callable[[Registered], bool],
    ) -> list[Registered]:
        """Return the shortlisted servers that accept a call now.

        Fall back to all usable servers if none of the shortlist accepts one.
        """
        part = part_id(demand.part)
        picked = self._shortlist(demand.service).pick(
            part, usable, self.parts.holders(part)
        )
        rows = [row for row in picked if accepts(row)]
        if not rows and len(picked) < len(usable):
            rows = [row for row in usable if accepts(row)]
        return rows

    def _tokens_per_s(self, service: ServiceName) -> float:
        """Return how many prompt tokens a second all engines of a service read."""
        usable = self.registry.usable(service)
        rows = self._random.sample(usable, min(MAX_SAMPLED_ENGINES, len(usable)))
        rate = sum(self._view(row.instance.id).load.read_rate for row in rows)
        return rate * len(usable) / max(1, len(rows))

    def _capacity(self, service: ServiceName) -> EngineCapacity:
        capacity = self._capacities.get(service)
        if capacity is None:
            capacity = self._capacities[service] = EngineCapacity()
        return capacity

    def _shortlist(self, service: ServiceName) -> Shortlist:
        shortlist = self._shortlists.get(service)
        if shortlist is None:
            shortlist = self._shortlists[service] = Shortlist(self._random)
        return shortlist

    def _accepts_call(
        self,
        row: Registered,
        service: Service,
        now: float,
        avoid: Collection[ServerName],
        permitted_cold: Collection[ServerName] | None = None,
    ) -> bool:
        server = row.instance.id
        if server in avoid:
            return False
        view = self._view(server)
        if view.health.in_backoff(now):
            return False
        if service.warmup_rate <= 0 or not row.cold(now):
            return True
        if permitted_cold is not None:
            return server in permitted_cold
        share = self._cold_share(view, service.name)
        return share.allows(server, self._me, self.routers, now)

    def _candidate(self, row: Registered, service: Service, now: float) -> Candidate:
        instance = row.instance
        view = self._view(instance.id)
        if service.engine is not None:
            wait = view.load.wait_s(instance.slots, now)
        else:
            over = view.load.total_running(now) + 1 - instance.slots
            wait = max(0.0, over / max(1, instance.slots)) * view.plain_s
            # Among servers with free slots, a fuller one is slower and closer to full.
            wait += 0.001 * view.load.total_running(now)
        return Candidate(
            instance.id,
            instance.data_centre,
            now - row.started_at,
            wait,
            view.load.read_rate,
            view.load.base_s if service.engine is not None else view.plain_s,
            view.health.penalty_s(now) + view.load.overdue_s(now),
            service.engine.fetch_rate if service.engine is not None else 0.0,
        )

    def _allowed_wait_s(
        self, demand: Demand, service: Service, choice: Choice, use: ShareUse
    ) -> float:
        if service.engine is None:
            slack_s = (1.0 - PLAIN_MARGIN_FRACTION) * demand.objective_s - choice.read_s
            return slack_s * WAIT_FACTOR_PER_RANK**demand.rank
        if use.idle_engines_only:
            return IDLE_ENGINE_WAIT_S
        slack_s = max(
            demand.objective_s - choice.read_s,
            LATE_PROMPT_WAIT_FRACTION * demand.objective_s,
        )
        return use.wait_fraction * slack_s * WAIT_FACTOR_PER_RANK**demand.rank

    def _refuse_without_server(self) -> Refusal:
        pause = self._random.uniform(*NO_SERVER_RETRY_AFTER_S)
        return Refusal(RefusalReason.NO_SERVERS, pause)

    def _refuse_for_wait(
        self, choice: Choice, use: ShareUse, candidates: int, excess_wait_s: float
    ) -> Refusal:
        early, late = RETRY_AFTER_S
        pause = self._random.uniform(early, late)
        over = use.used_fraction - 1.0
        if over > 0:
            # Used share becomes free again as the window slides.
            pause += min(over, 1.0) * self._bounds.share_window_s / 2
        pause = min(pause, MAX_RETRY_AFTER_S)
        return Refusal(
            RefusalReason.WAIT_TOO_LONG,
            pause,
            choice.wait_s,
            use,
            candidates,
            choice.read_s,
            excess_wait_s,
        )

    def _view(self, server: ServerName) -> _ServerView:
        view = self._views.get(server)
        if view is None:
            view = self._views[server] = _ServerView()
        return view

    def _cold_share(self, view: _ServerView, service: ServiceName) -> ColdShare:
        row = self._catalog.services.get(service) or Service(service)
        bounds = self._bounds
        bound = cold_bound(row, bounds.warmup_factor, bounds.warmup_tolerance)
        if view.cold is None:
            view.cold = ColdShare(bound)
        view.cold.bound = bound
        return view.cold

    def _retry_share(self, service: ServiceName) -> RetryShare:
        share = self._retries.get(service)
        if share is None:
            bounds = self._bounds
            share = self._retries[service] = RetryShare(
                bounds.retry_ratio, bounds.retry_window_s, bounds.retry_burst
            )
        return share
