"""Host the schedulers of the shards whose role this router holds.

A router acquires the scheduler role of a shard when it receives the first `Hello` for
it, not when the membership assigns it, since two routers may see the membership
differently for a while. Two schedulers of one shard never grant the same unit, because
each unit is lent by the router that owns it to one scheduler at a time.
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Mapping

from attrs import define, field, frozen

from fulmarroad import _messages as m
from fulmarroad._shares import LONGEST_LEASE_S
from fulmarroad._tables import BackendServer, Tables, shards_of
from fulmarroad.audit import AuditTrail, Subject
from fulmarroad.capacity import ServerBook, WarmthChange
from fulmarroad.events import Event, emit
from fulmarroad.scheduling import Scheduler, Send, make_queue
from fulmarroad.types import (
    DataCentreName,
    Epoch,
    RouterName,
    ServerName,
    ShardId,
    Warmth,
)

logger = logging.getLogger("fulmarroad.roles")

IDLE_ROLE_TIMEOUT_S = 5.0
"""How long a scheduler without followers is kept before its role is released.

Followers that lost a stream reconnect within this time. An idle scheduler costs
little, and releasing it at once would discard the learned limits of its servers.
"""


@frozen
class ToFollower:
    """Send a message to a router that follows a scheduler hosted here."""

    router: RouterName
    message: m.RouterMessage


@frozen
class ToSchedulers:
    """Send a service report to the other schedulers of its pool."""

    report: m.ServiceReport


RoleOutput = ToFollower | ToSchedulers


@define
class Role:
    """Hold a hosted scheduler, its server book and its followers.

    `idle_since` is the time of the first tick that found no followers, in seconds of
    this router's clock, or `None` while there are followers.
    """

    scheduler: Scheduler
    book: ServerBook
    followers: set[RouterName] = field(factory=set)
    idle_since: float | None = None
    settled: bool = False
    units_taken_up: int = 0


class Roles:
    """Host schedulers; methods return the messages to send."""

    def __init__(
        self,
        router: RouterName,
        incarnation: int,
        policy: str,
        audit: AuditTrail,
        takes_work: Callable[[BackendServer, float], bool],
    ) -> None:
        self._router = router
        self._incarnation = incarnation
        self._policy = policy
        self._audit = audit
        self._takes_work = takes_work
        self._last_term = 0
        self._tables: Tables | None = None
        self._live: Mapping[DataCentreName, tuple[RouterName, ...]] = {}
        self._vms: Mapping[DataCentreName, tuple[RouterName, ...]] = {}
        self._roles: dict[ShardId, Role] = {}

    @property
    def held(self) -> Mapping[ShardId, Role]:
        """Return the schedulers hosted here."""
        return self._roles

    def handle(
        self, router: RouterName, message: m.SchedulerMessage, now: float
    ) -> list[RoleOutput]:
        """Handle a message from a follower.

        A `Hello` acquires the role of its shard if this router does not hold it yet.
        """
        shard = message.shard
        role = self._roles.get(shard)
        if isinstance(message, m.Hello):
            role = role or self._acquire_role(shard, now, message.handed_over)
        if role is None:
            return []
        if isinstance(message, m.Hello):
            role.followers.add(router)
            role.idle_since = None
        if isinstance(message, m.Goodbye):
            role.followers.discard(router)
        return self._collect_outputs(role, role.scheduler.handle(router, message, now))

    def receive_report(self, report: m.ServiceReport, now: float) -> list[RoleOutput]:
        """Pass another scheduler's report to the schedulers of the same pool."""
        outputs: list[RoleOutput] = []
        for shard, role in list(self._roles.items()):
            if shard.pool == report.shard.pool and shard != report.shard:
                outputs += self._collect_outputs(
                    role, role.scheduler.receive_report(report, now)
                )
        return outputs

    def link_lost(self, router: RouterName, now: float) -> list[RoleOutput]:
        """Remove a follower whose stream ended."""
        outputs: list[RoleOutput] = []
        for role in list(self._roles.values()):
            if router in role.followers:
                role.followers.discard(router)
                sends = role.scheduler.link_lost(router, now)
                outputs += self._collect_outputs(role, sends)
        return outputs

    def set_live(
        self, live: Mapping[DataCentreName, tuple[RouterName, ...]], now: float
    ) -> list[RoleOutput]:
        """Apply the membership's view of live routers."""
        self._live = dict(live)
        outputs: list[RoleOutput] = []
        for shard, role in list(self._roles.items()):
            names = self._live.get(shard.data_centre, ())
            outputs += self._collect_outputs(role, role.scheduler.set_live(names, now))
        return outputs

    def set_vms(
        self, vms: Mapping[DataCentreName, tuple[RouterName, ...]], now: float
    ) -> None:
        """Apply the published VM list, which decides which router owns each unit."""
        self._vms = dict(vms)
        for shard, role in self._roles.items():
            role.book.set_vms(self._vms.get(shard.data_centre, ()), now)

    def set_tables(self, tables: Tables, now: float) -> list[RoleOutput]:
        """Apply new tables; release the roles of shards they no longer contain."""
        self._tables = tables
        outputs: list[RoleOutput] = []
        for shard, role in list(self._roles.items()):
            servers = self._servers(shard)
            if not servers:
                outputs += self._release_role(shard, now, "shard left the table")
                continue
            pool = tables.pools[shard.pool]
            available = self._available_servers(servers, now)
            sends = role.scheduler.set_tables(pool, servers, available, now)
            outputs += self._collect_outputs(role, sends)
        return outputs

    def tick(self, now: float) -> list[RoleOutput]:
        """Advance every scheduler to `now`, and release roles without followers."""
        outputs: list[RoleOutput] = []
        for shard, role in list(self._roles.items()):
            outputs += self._collect_outputs(role, role.scheduler.tick(now))
            report = role.scheduler.report(now)
            if report is not None:
                outputs.append(ToSchedulers(report))
            self._log_state_changes(role)
            if role.followers:
                continue
            role.idle_since = role.idle_since if role.idle_since is not None else now
            if now - role.idle_since > IDLE_ROLE_TIMEOUT_S:
                outputs += self._release_role(shard, now, "no followers")
        return outputs

    def step_down(self, now: float) -> list[RoleOutput]:
        """Release every role, as part of a graceful shutdown."""
        outputs: list[RoleOutput] = []
        for shard in list(self._roles):
            outputs += self._release_role(shard, now, "graceful shutdown")
        return outputs

    def _servers(self, shard: ShardId) -> tuple[BackendServer, ...]:
        pool = self._tables.pools.get(shard.pool) if self._tables else None
        return shards_of(pool).get(shard, ()) if pool else ()

    def _available_servers(
        self, servers: tuple[BackendServer, ...], now: float
    ) -> tuple[ServerName, ...]:
        return tuple(s.name for s in servers if self._takes_work(s, now))

    def _longest_lease_s(self, shard: ShardId) -> float:
        routes = self._tables.routes.values() if self._tables else ()
        timeouts = [route.timeout_s for route in routes if route.pool == shard.pool]
        return max(timeouts, default=LONGEST_LEASE_S)

    def _acquire_role(
        self, shard: ShardId, now: float, handed_over: bool
    ) -> Role | None:
        servers = self._servers(shard)
        if not servers or self._tables is None:
            return None
        self._last_term += 1
        epoch = Epoch(self._router, self._incarnation, self._last_term)
        pool = self._tables.pools[shard.pool]
        book = ServerBook(
            pool,
            servers,
            now=now,
            longest_lease_s=self._longest_lease_s(shard),
            handed_over=handed_over,
        )
        book.set_vms(self._vms.get(shard.data_centre, ()), now)
        book.set_servers(pool, servers, self._available_servers(servers, now), now)
        scheduler = Scheduler(
            shard,
            epoch,
            book,
            make_queue(self._policy),
            live=self._live.get(shard.data_centre, ()),
            now=now,
        )
        role = Role(scheduler, book)
        self._roles[shard] = role
        emit(logger, Event.ROLE_TAKEN, shard=str(shard), term=epoch.term)
        self._audit.record(
            Subject.ROLE, str(shard), before="", after="held", cause="hello"
        )
        return role

    def _release_role(self, shard: ShardId, now: float, cause: str) -> list[RoleOutput]:
        role = self._roles.pop(shard)
        emit(logger, Event.ROLE_GIVEN_UP, shard=str(shard), cause=cause)
        self._audit.record(
            Subject.ROLE, str(shard), before="held", after="", cause=cause
        )
        return self._collect_outputs(role, role.scheduler.step_down(now))

    def _collect_outputs(self, role: Role, sends: list[Send]) -> list[RoleOutput]:
        for change in role.scheduler.changes():
            self._record_warmth_change(change)
        return [ToFollower(send.router, send.message) for send in sends]

    def _log_state_changes(self, role: Role) -> None:
        """Log when a scheduler settles or first uses the units of lost routers."""
        shard = str(role.scheduler.shard)
        if role.scheduler.settled and not role.settled:
            role.settled = True
            emit(logger, Event.ROLE_SETTLED, shard=shard)
        count, before = role.book.units_taken_up, role.units_taken_up
        role.units_taken_up = count
        if count > 0 and before == 0:
            emit(logger, Event.SHARES_TAKEN, shard=shard, units=count)

    def _record_warmth_change(self, change: WarmthChange) -> None:
        if change.after is Warmth.FAILING:
            emit(
                logger,
                Event.SERVER_FAILING,
                server=change.server,
                cause=change.cause,
            )
        emit(
            logger,
            Event.WARMTH_CHANGED,
            server=change.server,
            before=change.before.value,
            after=change.after.value,
            cause=change.cause,
        )
        self._audit.record(
            Subject.WARMTH,
            change.server,
            before=change.before.value,
            after=change.after.value,
            cause=change.cause,
        )
