"""What a router knows of each backend server: load, health, warmth and durations."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Collection, Iterable, Mapping

from attrs import define, field, frozen

from fulmarroad.types import RouterName, ServerName
from fulmarroad_serving._budgets import ColdBudget, ColdLimit, may_open_more
from fulmarroad_serving._catalog import Service, ServiceName
from fulmarroad_serving._demands import ColdServers, FleetBounds
from fulmarroad_serving._health import ServerHealth
from fulmarroad_serving._load import PeerLoad, ServerLoad
from fulmarroad_serving._obstacles import Obstacle
from fulmarroad_serving._registry import Instance, Registered, Registry, cold_bound
from fulmarroad_serving._rests import ServerRest
from fulmarroad_serving._routing import Candidate
from fulmarroad_serving._silence import ServerActivity
from fulmarroad_serving.engines._book import EngineBook
from fulmarroad_serving.placement import engine_room

PLAIN_SERVICE_S = 0.05
"""Assumed duration of a call to a plain service before any was measured."""

MIN_PLAIN_SERVICE_S = 0.001
"""Shortest duration learned, if a wait was estimated as too long."""

PLAIN_LEARNING_RATE = 0.05

MAX_SAMPLED_ENGINES = 64
"""Engines sampled to estimate the speed of a larger service: the error of their mean is
an eighth of the engines' standard deviation."""


@define
class ServerView:
    """Hold this router's load, health and timing data for one server."""

    load: ServerLoad = field(factory=ServerLoad)
    health: ServerHealth = field(factory=ServerHealth)
    rest: ServerRest = field(factory=ServerRest)
    activity: ServerActivity = field(factory=ServerActivity)
    cold: ColdLimit | None = None
    plain_s: float = PLAIN_SERVICE_S

    def learn_duration(self, duration_s: float) -> None:
        """Learn the duration of a call to a plain service."""
        duration_s = max(MIN_PLAIN_SERVICE_S, duration_s)
        self.plain_s += PLAIN_LEARNING_RATE * (duration_s - self.plain_s)


@frozen
class PlacementView:
    """Hold what decides, besides a server's own state, whether it may get a call."""

    avoid: Collection[ServerName] = ()
    """Servers that failed the call. For another router's call also those that this
    router can't reach or that asked it for rest: a rest doesn't bind others."""
    version: str = ""  # of the server that began the call's stream; "": not begun
    asker: ColdServers | None = None
    """For another router's call, what that one knows of cold servers."""
    full: Collection[ServerName] = ()
    """For another router's call, servers at which its connections are in use."""
    held: Collection[ServerName] = ()
    """Servers of whose limit this router deals out a part, as their owner."""


OWN_VIEW = PlacementView()


class ServerBook:
    """Hold the registered servers and what this router knows of each."""

    def __init__(self, me: RouterName, bounds: FleetBounds) -> None:
        self._me = me
        self._bounds = bounds
        self._views: dict[ServerName, ServerView] = {}
        self.registry = Registry()
        self.engines = EngineBook()
        self.routers: list[RouterName] = [me]
        """Routers that may exist, including this one."""

    def view(self, server: ServerName) -> ServerView:
        """Return what is known of a server, an empty view at first."""
        view = self._views.get(server)
        if view is None:
            view = self._views[server] = ServerView()
        return view

    def forget(self, server: ServerName) -> None:
        """Drop what is known of a server."""
        self._views.pop(server, None)
        self.engines.forget(server)

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
            self.view(server).load.receive_load(router, load, now)
        for server, view in self._views.items():
            if server not in loads:
                view.load.forget(router)

    def forget_peers(self, routers: Collection[RouterName]) -> None:
        """Drop the reports of peers whose load other routers report from now on."""
        for view in self._views.values():
            for router in routers:
                view.load.forget(router)

    def drop_removed(self) -> list[ServerName]:
        """Drop and return servers without an entry or a running call."""
        dropped = [
            server
            for server, view in self._views.items()
            if self.registry.get(server) is None and not view.load.running
        ]
        for server in dropped:
            del self._views[server]
            self.engines.forget(server)
        return dropped

    def accepts(
        self,
        row: Registered,
        service: Service,
        now: float,
        view: PlacementView = OWN_VIEW,
    ) -> bool:
        """Return whether a call may go to a server now, see `obstacle`."""
        return not self.obstacle(row, service, now, view)

    def obstacle(
        self,
        row: Registered,
        service: Service,
        now: float,
        view: PlacementView = OWN_VIEW,
    ) -> Obstacle | None:
        """Return why a call may not go to a server now, None if it may."""
        server = row.instance.id
        if not row.serves(view.version, now):
            return Obstacle.VERSION
        if server in view.avoid:
            return Obstacle.AVOIDED
        if not self.registry.accepts_calls(row.instance):
            return Obstacle.GONE
        known = self.view(server)
        if known.health.in_backoff(now):
            return Obstacle.BACKOFF
        if view.asker is None and known.rest.is_on(now):
            return Obstacle.RESTS
        if server in view.full and not self.may_open_more(row, service, now):
            return Obstacle.CONNECTIONS
        if service.warmup_rate <= 0:
            return None
        if self.cold_budget(row, service, now, view) is not None:
            return None
        return Obstacle.COLD if now < row.cold_until else Obstacle.SUSPECT

    def cold_budget(
        self, row: Registered, service: Service, now: float, view: PlacementView
    ) -> ColdBudget | None:
        """Return by which part of its limit a server may get a call now, if it is cold.

        Return None if it may not get one.
        """
        if not self._is_cold(row, service, now, view):
            return ColdBudget.SHARE
        server = row.instance.id
        limit = self._cold_limit(server, service)
        if view.asker is not None:
            has_share = server in view.asker.permitted
        else:
            has_share = limit.allows(server, self._me, self.routers, now)
        if has_share:
            return ColdBudget.SHARE
        if server not in view.held or not row.cold(now):
            # An owner that doesn't know a server to be cold lets others send there
            # without a limit.
            return None
        return ColdBudget.OWNER if limit.owner_allows(now) else None

    def _is_cold(
        self, row: Registered, service: Service, now: float, view: PlacementView
    ) -> bool:
        if service.warmup_rate <= 0:
            return False
        is_cold_there = view.asker is not None and row.instance.id in view.asker.closed
        return is_cold_there or row.cold(now)

    def count_obstacles(self, service: Service, now: float) -> Counter[str]:
        """Count the servers of a service that calls of this router may not use."""
        rows = self.registry.usable(service.name)
        found = (self.obstacle(row, service, now) for row in rows)
        return Counter(obstacle.value for obstacle in found if obstacle)

    def cold_servers(
        self, rows: Iterable[Registered], service: Service, now: float
    ) -> ColdServers:
        """Return which of some servers are cold, and whether they may get a call."""
        permitted: list[ServerName] = []
        closed: list[ServerName] = []
        for row in rows:
            if service.warmup_rate > 0 and row.cold(now):
                accepts = self.accepts(row, service, now)
                (permitted if accepts else closed).append(row.instance.id)
        return ColdServers(tuple(permitted), tuple(closed))

    def may_send(self, instance: Instance, version: str, now: float) -> bool:
        """Return whether a call that was placed earlier may still be sent.

        `version` is that of the server that began its stream, "" before its first
        event.
        """
        row = self.registry.get(instance.id)
        if row is None or not row.serves(version, now):
            return False
        if not self.registry.accepts_calls(instance):
            return False
        return not self.view(instance.id).rest.is_on(now)

    def unavailable(self, now: float) -> set[ServerName]:
        """Return the servers that get no calls from this router at present.

        It can't connect to them, or they asked it for rest.
        """
        return {
            name
            for name, view in self._views.items()
            if view.health.in_backoff(now) or view.rest.is_on(now)
        }

    def is_silent(self, server: ServerName, now: float) -> bool:
        """Return whether a server sends nothing to calls of this router."""
        view = self._views.get(server)
        return view is not None and view.activity.is_silent(now)

    def silent(self, rows: Iterable[Registered], now: float) -> set[ServerName]:
        """Return those of some servers that send nothing to calls of this router."""
        names = (row.instance.id for row in rows)
        return {name for name in names if self.is_silent(name, now)}

    def rest_s(self, rows: Collection[Registered], now: float) -> float | None:
        """Return the time until the first of the resting servers wakes.

        Return None if none of them rests.
        """
        rests = [self.view(row.instance.id).rest for row in rows]
        return min((row.until - now for row in rests if row.is_on(now)), default=None)

    def may_open_more(self, row: Registered, service: Service, now: float) -> bool:
        """Return whether its owner lets a call open a connection beyond a share."""
        running = self.view(row.instance.id).load.total_running(now)
        return may_open_more(service.max_connections, running)

    def may_send_cold(
        self, row: Registered, service: Service, budget: ColdBudget, now: float
    ) -> bool:
        """Return whether a call may still be sent if its server is cold.

        Another call may have been sent since it was placed, or a connection broken.
        """
        if budget is ColdBudget.GRANTED or service.warmup_rate <= 0:
            return True
        limit = self._cold_limit(row.instance.id, service)
        if budget is ColdBudget.OWNER:
            return limit.owner_allows(now)
        return not row.cold(now) or limit.allows(
            row.instance.id, self._me, self.routers, now
        )

    def note_cold_call(
        self, server: ServerName, service: Service, budget: ColdBudget, now: float
    ) -> None:
        """Record a call that is sent to a cold server."""
        self._cold_limit(server, service).note(budget, now)

    def engine_wait_s(self, row: Registered, now: float) -> float:
        """Return how long a new prompt waits at an engine before it is read."""
        return self.view(row.instance.id).load.wait_s(row.instance.slots, now)

    def candidate(
        self,
        row: Registered,
        service: Service,
        now: float,
        speed_class: int = 0,
        *,
        speeds: bool = False,
    ) -> Candidate:
        """Return the estimates for a server that a placement compares.

        `speed_class` is the one by which the server is ranked for a part. With
        `speeds`, the estimates for an engine follow the model of its speed.
        """
        instance = row.instance
        view = self.view(instance.id)
        if speeds and service.engine is not None:
            return self._engine_candidate(row, service, speed_class, now)
        if service.engine is not None:
            wait = self.engine_wait_s(row, now)
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
            speed_class,
        )

    def room(self, rows: Iterable[Registered], service: Service, now: float) -> int:
        """Return the prompt tokens that some engines can begin soon, see `placement`.

        A cold engine has none: its calls are limited in another way.
        """
        return sum(
            self._engine_room(row, now)
            for row in rows
            if not row.cold(now) and self.accepts(row, service, now)
        )

    def mean_read_s(self, rows: Collection[Registered], tokens: int) -> float:
        """Return the mean time in which some engines read a prompt; infinite for none.

        It includes the generation of the first token.
        """
        times = [self.view(row.instance.id).load.read_s(tokens) for row in rows]
        return sum(times) / len(times) if times else float("inf")

    def _engine_room(self, row: Registered, now: float) -> int:
        view, slots = self.view(row.instance.id), row.instance.slots
        load, health = view.load, view.health
        wait_s = load.wait_s(slots, now) + health.penalty_s(now) + load.overdue_s(now)
        is_full = bool(slots) and load.total_running(now) >= slots
        return engine_room(wait_s, load.read_rate, is_full=is_full)

    def _engine_candidate(
        self, row: Registered, service: Service, speed_class: int, now: float
    ) -> Candidate:
        view = self.view(row.instance.id)
        instance, load = row.instance, view.load
        estimate = self.engines.estimate(service.name, instance.id, load, now)
        assert service.engine is not None
        return Candidate(
            instance.id,
            instance.data_centre,
            now - row.started_at,
            estimate.wait_s + load.slot_wait_s(instance.slots, now),
            1.0 / estimate.token_s,
            estimate.base_s,
            view.health.penalty_s(now) + load.overdue_s(now),
            service.engine.fetch_rate,
            speed_class,
        )

    def speed_class(self, server: ServerName) -> int:
        """Return a server's lasting speed in half octaves from the median.

        It is 0 if nothing is known of the speed.
        """
        return self.engines.speed_class(server) or 0

    def tokens_per_s(
        self, service: ServiceName, source: random.Random, *, speeds: bool = False
    ) -> float:
        """Return how many prompt tokens a second all engines of a service read."""
        usable = self.registry.usable(service)
        rows = source.sample(usable, min(MAX_SAMPLED_ENGINES, len(usable)))
        names = [row.instance.id for row in rows]
        if speeds:
            rate = sum(self.engines.read_rate(service, name) for name in names)
        else:
            rate = sum(self.view(name).load.read_rate for name in names)
        return rate * len(usable) / max(1, len(rows))

    def _cold_limit(self, server: ServerName, service: Service) -> ColdLimit:
        bounds, view = self._bounds, self.view(server)
        bound = cold_bound(service, bounds.warmup_factor, bounds.warmup_tolerance)
        if view.cold is None:
            view.cold = ColdLimit(bound)
        view.cold.bound = bound
        return view.cold
