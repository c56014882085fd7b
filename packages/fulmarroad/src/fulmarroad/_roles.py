"""The schedulers that this router hosts: roles taken up when followers say hello.

A role is taken up on the first hello and not when the membership says so, since two
routers may see the membership differently for a while. Units are lent by routers, so
two schedulers of one shard never grant the same unit.
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

LINGER_S = 5.0
"""A scheduler without followers is kept this long before its role is given up.

Followers that lost a stream come back within this time; an empty scheduler costs
little, and giving it up at once would forget what its servers can bear.
"""


@frozen
class ToFollower:
    """Send a message to a router that follows a scheduler here."""

    router: RouterName
    message: m.RouterMessage


@frozen
class ToSchedulers:
    """Send a report to the other schedulers of its pool."""

    report: m.ServiceReport


RoleOutput = ToFollower | ToSchedulers


@define
class Role:
    """Hold a scheduler and the book of its backend servers."""

    scheduler: Scheduler
    book: ServerBook
    followers: set[RouterName] = field(factory=set)
    left_at: float | None = None
    settled: bool = False
    shares_lost: int = 0


class Roles:
    """Host schedulers; every method returns what to send."""

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
        self._terms = 0
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
        """Take a follower's message."""
        shard = message.shard
        role = self._roles.get(shard)
        if isinstance(message, m.Hello):
            role = role or self._take_up(shard, now, message.handed_over)
        if role is None:
            return []
        if isinstance(message, m.Hello):
            role.followers.add(router)
            role.left_at = None
        if isinstance(message, m.Goodbye):
            role.followers.discard(router)
        return self._after(role, role.scheduler.handle(router, message, now))

    def receive_report(self, report: m.ServiceReport, now: float) -> list[RoleOutput]:
        """Take another scheduler's report."""
        outputs: list[RoleOutput] = []
        for shard, role in list(self._roles.items()):
            if shard.pool == report.shard.pool and shard != report.shard:
                outputs += self._after(role, role.scheduler.receive_report(report, now))
        return outputs

    def link_lost(self, router: RouterName, now: float) -> list[RoleOutput]:
        """Note that a follower's stream ended."""
        outputs: list[RoleOutput] = []
        for role in list(self._roles.values()):
            if router in role.followers:
                role.followers.discard(router)
                sends = role.scheduler.link_lost(router, now)
                outputs += self._after(role, sends)
        return outputs

    def set_live(
        self, live: Mapping[DataCentreName, tuple[RouterName, ...]], now: float
    ) -> list[RoleOutput]:
        """Take the membership's view of live routers."""
        self._live = dict(live)
        outputs: list[RoleOutput] = []
        for shard, role in list(self._roles.items()):
            names = self._live.get(shard.data_centre, ())
            outputs += self._after(role, role.scheduler.set_live(names, now))
        return outputs

    def set_vms(
        self, vms: Mapping[DataCentreName, tuple[RouterName, ...]], now: float
    ) -> None:
        """Take the published VMs, which decide who owns which unit."""
        self._vms = dict(vms)
        for shard, role in self._roles.items():
            role.book.set_vms(self._vms.get(shard.data_centre, ()), now)

    def set_tables(self, tables: Tables, now: float) -> list[RoleOutput]:
        """Take new tables; roles of shards that are gone are given up."""
        self._tables = tables
        outputs: list[RoleOutput] = []
        for shard, role in list(self._roles.items()):
            servers = self._servers(shard)
            if not servers:
                outputs += self._give_up(shard, now, "shard left the table")
                continue
            pool = tables.pools[shard.pool]
            taking = self._taking(servers, now)
            sends = role.scheduler.set_tables(pool, servers, taking, now)
            outputs += self._after(role, sends)
        return outputs

    def tick(self, now: float) -> list[RoleOutput]:
        """Move time on for every scheduler."""
        outputs: list[RoleOutput] = []
        for shard, role in list(self._roles.items()):
            outputs += self._after(role, role.scheduler.tick(now))
            report = role.scheduler.report(now)
            if report is not None:
                outputs.append(ToSchedulers(report))
            self._note_standing(role)
            if role.followers:
                continue
            role.left_at = role.left_at if role.left_at is not None else now
            if now - role.left_at > LINGER_S:
                outputs += self._give_up(shard, now, "no followers")
        return outputs

    def step_down(self, now: float) -> list[RoleOutput]:
        """Give every role up in good order."""
        outputs: list[RoleOutput] = []
        for shard in list(self._roles):
            outputs += self._give_up(shard, now, "graceful shutdown")
        return outputs

    def _servers(self, shard: ShardId) -> tuple[BackendServer, ...]:
        pool = self._tables.pools.get(shard.pool) if self._tables else None
        return shards_of(pool).get(shard, ()) if pool else ()

    def _taking(
        self, servers: tuple[BackendServer, ...], now: float
    ) -> tuple[ServerName, ...]:
        return tuple(s.name for s in servers if self._takes_work(s, now))

    def _longest_lease_s(self, shard: ShardId) -> float:
        routes = self._tables.routes.values() if self._tables else ()
        times = [route.timeout_s for route in routes if route.pool == shard.pool]
        return max(times, default=LONGEST_LEASE_S)

    def _take_up(self, shard: ShardId, now: float, handed_over: bool) -> Role | None:
        servers = self._servers(shard)
        if not servers or self._tables is None:
            return None
        self._terms += 1
        epoch = Epoch(self._router, self._incarnation, self._terms)
        pool = self._tables.pools[shard.pool]
        book = ServerBook(
            pool,
            servers,
            now=now,
            longest_lease_s=self._longest_lease_s(shard),
            handed_over=handed_over,
        )
        book.set_vms(self._vms.get(shard.data_centre, ()), now)
        book.set_servers(pool, servers, self._taking(servers, now), now)
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

    def _give_up(self, shard: ShardId, now: float, cause: str) -> list[RoleOutput]:
        role = self._roles.pop(shard)
        emit(logger, Event.ROLE_GIVEN_UP, shard=str(shard), cause=cause)
        self._audit.record(
            Subject.ROLE, str(shard), before="held", after="", cause=cause
        )
        return self._after(role, role.scheduler.step_down(now))

    def _after(self, role: Role, sends: list[Send]) -> list[RoleOutput]:
        for change in role.scheduler.changes():
            self._note(change)
        return [ToFollower(send.router, send.message) for send in sends]

    def _note_standing(self, role: Role) -> None:
        """Log that a scheduler settled, and that it uses units of lost routers."""
        shard = str(role.scheduler.shard)
        if role.scheduler.settled and not role.settled:
            role.settled = True
            emit(logger, Event.ROLE_SETTLED, shard=shard)
        lost, before = role.book.shares_lost, role.shares_lost
        role.shares_lost = lost
        if lost > 0 and before == 0:
            emit(logger, Event.SHARES_TAKEN, shard=shard, units=lost)

    def _note(self, change: WarmthChange) -> None:
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
