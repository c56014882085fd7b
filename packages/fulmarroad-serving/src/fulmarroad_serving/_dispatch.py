"""The decisions on a call put together: let in or refuse, where to send, what it cost.

One object holds all that a router believes and decides without a network, so that the
same code runs behind callers, in tests and in the model of a whole fleet. Time is
passed in; what happened is told by the tasks that own the sockets.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Collection, Mapping

from attrs import define, field

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
    Placement,
    Refusal,
    Ticket,
)
from fulmarroad_serving._early_rejection import EngineCapacity, admitted_fraction
from fulmarroad_serving._health import ServerHealth
from fulmarroad_serving._load import PeerLoad, ServerLoad
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
"""Tokens to read from which peers hear of a prompt at once: it keeps an engine busy for
longer than the wait that workspaces above their share are granted."""

LATE_PROMPT_PART = 0.3
"""Part of the objective that a prompt may wait whose reading alone takes longer: it
comes late in any case, and would otherwise never be served."""

RANK_PART = 0.7
"""Part of its wait that a call keeps for each rank below the most urgent one: when a
service fills up, the less urgent are turned away first, and none before there is a
queue."""

EMPTY_WAIT_S = 0.002
"""Wait below which an engine stands empty: less than one step."""

PLAIN_SERVICE_S = 0.05
"""Time of a call at a plain service before any was seen."""

PLAIN_LEARNING = 0.05

PLAIN_WAIT_PART = 0.6
"""Part of the objective that a call may wait for a slot of a plain service."""

RETRY_AFTER_S = (0.3, 0.9)
"""Earliest and latest return after a refusal by load: the queue of an engine is read
within a fraction of a second, and the spread keeps returns from coming at once."""

MOST_LOOKED_AT = 64
"""Engines whose speeds stand for all of a larger service: the mean of so many is off by
an eighth of what they differ by."""

ENGINES_SEEN_S = 0.1
"""Time between two looks at the engines' speeds: lost ones are known no sooner."""

NEVER = float("-inf")

LONGEST_RETRY_AFTER_S = 4.0
"""The window of shares: what was used up then is free again."""

NO_SERVER_RETRY_S = (0.8, 1.6)
"""Return where no server is known: new entries come about once a second."""


@define
class _ServerView:
    """Hold all that this router knows of one server's doing."""

    load: ServerLoad = field(factory=ServerLoad)
    health: ServerHealth = field(factory=ServerHealth)
    cold: ColdShare | None = None
    plain_s: float = PLAIN_SERVICE_S


class Dispatcher:
    """Decide for one router."""

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
        self._engines_seen_at: dict[ServiceName, float] = {}
        self.parts = PartMemory()
        self.suspects = Suspects()
        self._catalog = Catalog(0)
        self._peers: dict[RouterName, float] = {}
        self.registry = Registry()
        self.shares = ShareBook(window_s=bounds.share_window_s)
        self.routers: list[RouterName] = [me]
        """Routers that may exist, this one too; set by the membership."""
        self.on_large_prompt: Callable[[], None] | None = None
        """Called after a large prompt was sent: peers should hear of it at once."""

    def set_catalog(self, catalog: Catalog) -> None:
        """Decide by another version of the configuration."""
        self._catalog = catalog
        self.shares.units_per_s = catalog.limits.units_per_s

    def restarted(self, server: ServerName) -> None:
        """Forget what was known of a server that started anew."""
        self._views.pop(server, None)
        self.parts.forget(server)

    def health(self, server: ServerName) -> ServerHealth:
        """Return how far a server is trusted."""
        return self._view(server).health

    def load(self, server: ServerName) -> ServerLoad:
        """Return what is known of a server's load."""
        return self._view(server).load

    def own_load(self) -> dict[ServerName, PeerLoad]:
        """Return what this router has at servers, for its peers."""
        return {
            server: PeerLoad(view.load.running, max(0, view.load.waiting_tokens))
            for server, view in self._views.items()
            if view.load.running
        }

    def receive_load(
        self, router: RouterName, loads: Mapping[ServerName, PeerLoad], now: float
    ) -> None:
        """Take a peer's word on what it has at servers."""
        for server, load in loads.items():
            self._view(server).load.receive_load(router, load, now)
        for server, view in self._views.items():
            if server not in loads:
                view.load.forget(router)

    def forget_peers(self, routers: Collection[RouterName]) -> None:
        """Drop what peers said that is told by others from now on."""
        for view in self._views.values():
            for router in routers:
                view.load.forget(router)
        self.shares.forget(routers)

    def note_asked(self, demand: Demand, now: float) -> None:
        """Count a call that came in."""
        self.shares.note_asked(demand.workspace, demand.units, now)
        if demand.part:
            self.parts.note_asked(part_id(demand.part), now)
        self._retry_share(demand.service).note_request(now)

    def reject_early(self, demand: Demand, now: float) -> Refusal | None:
        """Return why a call isn't tried at all, its workspace being above its share."""
        service = self._catalog.services.get(demand.service)
        if service is None or service.engine is None:
            return None
        engines = self._capacity(service.name)
        if now - self._engines_seen_at.get(service.name, NEVER) >= ENGINES_SEEN_S:
            self._engines_seen_at[service.name] = now
            engines.tokens_per_s = self._tokens_per_s(service.name)
        if not engines.tokens_per_s:
            return None  # no engine at all, which the placement tells
        shares = self.shares
        units = engines.capacity(shares.granted_units(now), shares.window_s)
        part = admitted_fraction(shares.entitled_fraction(demand.workspace, units, now))
        if demand.hash_fraction <= part:
            return None
        pause = self._random.uniform(*RETRY_AFTER_S)
        pause += (1.0 - part) * self._bounds.share_window_s / 2
        use = shares.use_of(demand.workspace, demand.units, now)
        pause = min(pause, LONGEST_RETRY_AFTER_S)
        return Refusal(RefusalReason.ABOVE_SHARE, pause, use=use)

    def may_retry(self, service: ServiceName, now: float) -> bool:
        """Tell whether the budget has a retry left."""
        return self._retry_share(service).allows(now, len(self.routers))

    def take_retry(self, service: ServiceName, now: float) -> bool:
        """Take one retry from the budget; tell whether there was one."""
        return self._retry_share(service).take(now, len(self.routers))

    def place(
        self, demand: Demand, now: float, *, avoid: Collection[ServerName] = ()
    ) -> Placement | Refusal:
        """Choose a server, or say why there is none."""
        service = self._catalog.services.get(demand.service) or Service(demand.service)
        rows = self._open_servers(demand, service, now, avoid)
        if not rows:
            return self._no_server()
        candidates = [self._candidate(row, service, now) for row in rows]
        use = NO_USE
        if service.engine is not None:
            use = self.shares.use_of(demand.workspace, demand.units, now)
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
            choice = choose_plain(candidates, self._centre, self._random)
        assert choice is not None
        excess_wait_s = choice.wait_s - self._allowed_wait(demand, service, choice, use)
        if excess_wait_s > 0:
            return self._overloaded(choice, use, len(rows), excess_wait_s)
        registered = self.registry.get(choice.server)
        assert registered is not None
        source = self.registry.get(choice.source) if choice.source else None
        return Placement(registered, choice, use, len(rows), source)

    def send(self, demand: Demand, placement: Placement, now: float) -> Ticket:
        """Count a call that is about to be sent."""
        server = placement.choice.server
        view = self._view(server)
        choice = placement.choice
        expected_s = choice.wait_s + choice.read_s
        charge = view.load.send(server, choice.tokens, now, expected_s)
        if placement.registered.cold(now):
            self._cold_share(view, demand.service).note(now)
        if choice.tokens >= LARGE_PROMPT_TOKENS and self.on_large_prompt is not None:
            self.on_large_prompt()
        if placement.use is not NO_USE:  # at an engine
            self._capacity(demand.service).note_sent(choice.tokens, demand.units)
        if demand.part:
            self.parts.send(part_id(demand.part), server, now)
        self.shares.note_got(demand.workspace, demand.units, now)
        source = placement.source
        return Ticket(demand, charge, source.instance if source is not None else None)

    def begin(self, ticket: Ticket, now: float) -> None:
        """Count the first part of an answer."""
        if not ticket.begun:
            ticket.begun_at = now
            self._view(ticket.charge.server).load.begin(ticket.charge, now)

    def end(self, ticket: Ticket, outcome: SendOutcome | None, now: float) -> None:
        """Count a call that ended; no outcome: answered, or its caller left."""
        view = self._view(ticket.charge.server)
        view.load.end(ticket.charge, begun=ticket.begun)
        if not ticket.begun:
            demand, sent_at = ticket.demand, ticket.charge.sent_at
            self.shares.refund(demand.workspace, demand.units, sent_at, now)
        if outcome is None:
            if ticket.begun:
                view.health.record_success(now)
                took = now - ticket.charge.sent_at
                view.plain_s += PLAIN_LEARNING * (took - view.plain_s)
        else:
            # A server that turns calls away looks idle and would get the most of them.
            view.health.record_failure(now)

    def expire(self, now: float) -> list[ServerName]:
        """Drop what is over; return the servers that are gone for good."""
        gone = self.registry.expire(now)
        for server in list(self._views):
            view = self._views[server]
            if self.registry.get(server) is None and not view.load.running:
                del self._views[server]
                self.parts.forget(server)
        return gone

    def _open_servers(
        self,
        demand: Demand,
        service: Service,
        now: float,
        avoid: Collection[ServerName],
    ) -> list[Registered]:
        """Return the servers that a call looks at and that take one now."""
        usable = self.registry.usable(service.name)
        part = part_id(demand.part)
        picked = self._shortlist(service.name).pick(
            part, usable, self.parts.holders(part)
        )
        rows = [row for row in picked if self._takes(row, service, now, avoid)]
        if not rows and len(picked) < len(usable):
            rows = [row for row in usable if self._takes(row, service, now, avoid)]
        return rows

    def _tokens_per_s(self, service: ServiceName) -> float:
        """Return how many tokens all engines of a service read."""
        usable = self.registry.usable(service)
        rows = self._random.sample(usable, min(MOST_LOOKED_AT, len(usable)))
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

    def _takes(
        self,
        row: Registered,
        service: Service,
        now: float,
        avoid: Collection[ServerName],
    ) -> bool:
        server = row.instance.id
        if server in avoid:
            return False
        view = self._view(server)
        if view.health.in_backoff(now):
            return False
        if service.warmup_rate <= 0 or not row.cold(now):
            return True
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
            # A fuller server among those with room is slower and closer to waiting.
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

    def _allowed_wait(
        self, demand: Demand, service: Service, choice: Choice, use: ShareUse
    ) -> float:
        if service.engine is None:
            part = PLAIN_WAIT_PART * RANK_PART**demand.rank
            return part * demand.objective_s
        if use.yields:
            return EMPTY_WAIT_S
        room = max(
            demand.objective_s - choice.read_s, LATE_PROMPT_PART * demand.objective_s
        )
        return use.wait_fraction * room * RANK_PART**demand.rank

    def _no_server(self) -> Refusal:
        pause = self._random.uniform(*NO_SERVER_RETRY_S)
        return Refusal(RefusalReason.NO_SERVERS, pause)

    def _overloaded(
        self, choice: Choice, use: ShareUse, candidates: int, excess_wait_s: float
    ) -> Refusal:
        early, late = RETRY_AFTER_S
        pause = self._random.uniform(early, late)
        over = use.used_fraction - 1.0
        if over > 0:
            # The share is free again as the window moves on.
            pause += min(over, 1.0) * self._bounds.share_window_s / 2
        pause = min(pause, LONGEST_RETRY_AFTER_S)
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
