"""Record of a shard's units: which of them are free, in use, or lent.

A lost router's units that are used without its lending are called taken up.

The free units are needed after each event, which is often under saturation. They are
therefore cached for each server and computed again only for servers that changed.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Sequence

from attrs import define, evolve, field, frozen

from fulmarroad._concurrency import ConcurrencyLimit, is_fully_used
from fulmarroad._messages import RunningLease, ServerHint, ServerStatus
from fulmarroad._rendezvous import unit_owner
from fulmarroad._shares import LONGEST_LEASE_S, Owner, Shares
from fulmarroad._tables import BackendServer, Pool
from fulmarroad._warmth import ServerHealth, WarmthChange
from fulmarroad.exceptions import FulmarroadError
from fulmarroad.types import Outcome, RouterName, ServerName, Unit, Warmth


class CapacityError(FulmarroadError):
    """Report an attempt to take a unit that is not free."""


@frozen
class FreeUnit:
    """Hold a free unit and the state of its backend server."""

    unit: Unit
    warmth: Warmth
    running: int
    limit: int


@frozen
class _Lease:
    unit: Unit
    router: RouterName
    observed: bool = False  # whether `observe_early` has counted its answer


@define
class _Server:
    """Hold the health, the leases and the cached units of one backend server."""

    health: ServerHealth
    takes_work: bool = False
    held: dict[int, int] = field(factory=dict)  # leases by unit index
    running: int = 0
    observed: int = 0  # running leases that `observe_early` has counted
    taken_up: int = 0
    next_take_up: float = 0.0
    usable: list[int] = field(factory=list)
    generation: int = -1
    valid_until: float = 0.0
    free: tuple[FreeUnit, ...] | None = None

    def add_lease(self, index: int) -> None:
        self.held[index] = self.held.get(index, 0) + 1
        self.running += 1
        self.free = None

    def remove_lease(self, index: int) -> None:
        left = self.held[index] - 1
        if left:
            self.held[index] = left
        else:
            del self.held[index]
        self.running -= 1
        self.free = None

    def invalidate(self) -> None:
        self.generation = -1


class ServerBook:
    """Hold the backend servers of one shard, for its scheduler.

    `longest_lease_s` is the longest timeout in seconds of the routes to the pool.
    `handed_over` means that the former scheduler stepped down in good order.
    """

    def __init__(
        self,
        pool: Pool,
        servers: Sequence[BackendServer],
        *,
        now: float,
        owner: Owner = unit_owner,
        longest_lease_s: float = LONGEST_LEASE_S,
        handed_over: bool = False,
    ) -> None:
        self._pool = pool
        self._shares = Shares(
            owner, longest_lease_s=longest_lease_s, handed_over=handed_over
        )
        self._servers: dict[ServerName, _Server] = {}
        self._leases: dict[str, _Lease] = {}
        available = [server.name for server in servers]
        self.set_servers(pool, servers, available, now)

    @property
    def units_taken_up(self) -> int:
        """Return how many units of lost routers are in use without a lending."""
        return sum(server.taken_up for server in self._servers.values())

    def set_servers(
        self,
        pool: Pool,
        servers: Sequence[BackendServer],
        available: Collection[ServerName],
        now: float,
    ) -> tuple[WarmthChange, ...]:
        """Apply a table change; a server that is not in `available` gets no new work.

        A server that returns to `available` starts cold, because its state may have
        changed unobserved.
        """
        self._pool = pool
        changes: list[WarmthChange] = []
        for name in [server.name for server in servers]:
            known = self._servers.get(name)
            if known is None:
                known = self._servers[name] = _Server(self._new_health(name))
            known.health.set_pool(pool)
            takes_work = name in available
            if takes_work and not known.takes_work:
                changes += known.health.reset_to_cold("taken into service")
            known.takes_work = takes_work
            known.invalidate()
        self._drop_servers({server.name for server in servers})
        return tuple(changes)

    def set_vms(self, vms: Collection[RouterName], now: float) -> None:
        """Set the published VMs of the data centre, which own the units."""
        self._shares.set_vms(vms, now)

    def lend(self, router: RouterName, until: float, now: float) -> None:
        """Allow grants of a router's units until a time."""
        self._shares.lend(router, until, now)

    def recall(self, router: RouterName) -> None:
        """End the lending of a router that left in good order."""
        self._shares.recall(router)

    def mark_lost(self, router: RouterName, now: float) -> None:
        """Record that a router is lost; its units are taken up one by one."""
        self._shares.mark_lost(router, now)

    def mark_seen(self, router: RouterName) -> None:
        """Stop using the units of a lost router that is reachable again."""
        self._shares.mark_seen(router)

    def adopt_hint(self, hint: ServerHint, now: float) -> tuple[WarmthChange, ...]:
        """Adopt the former scheduler's last hint about a server."""
        server = self._servers.get(hint.server)
        if server is None or not server.takes_work:
            return ()
        server.invalidate()
        return server.health.adopt(hint, now)

    def adopt_lease(self, lease: RunningLease, router: RouterName, now: float) -> None:
        """Add a lease that is running already; do nothing if it is known."""
        if lease.lease_id not in self._leases:
            self._record_lease(lease.lease_id, lease.unit, router)

    def free(self, now: float) -> tuple[FreeUnit, ...]:
        """Return the units that may be granted now, lowest index first."""
        found: list[FreeUnit] = []
        for name, server in self._servers.items():
            if server.takes_work:
                found += self._free_units(name, server, now)
        return tuple(found)

    def take(self, unit: Unit, lease_id: str, router: RouterName, now: float) -> None:
        """Assign a unit to a new lease; raise `CapacityError` if it is not free."""
        if lease_id in self._leases or not self._is_free(unit, now):
            raise CapacityError(
                f"Unit {unit.index} of {unit.server} is not free.",
                hint="Get the free units again before granting.",
            )
        self._record_lease(lease_id, unit, router)

    def release(self, lease_id: str, now: float) -> None:
        """Free the unit of an ended lease; do nothing if the lease is unknown."""
        self.expire(lease_id)

    def expire(self, lease_id: str) -> None:
        """Free the unit of a lease whose deadline has passed."""
        lease = self._leases.pop(lease_id, None)
        if lease is None:
            return
        server = self._servers.get(lease.unit.server)
        if server is not None:
            server.remove_lease(lease.unit.index)
            server.observed -= lease.observed

    def orphans(self, router: RouterName) -> tuple[str, ...]:
        """Return a router's leases, which run to their deadlines once it is lost."""
        return tuple(
            lease_id
            for lease_id, lease in self._leases.items()
            if lease.router == router
        )

    def observe(
        self,
        server: ServerName,
        outcome: Outcome,
        first_s: float | None,
        gap_s: float | None,
        service: float,
        now: float,
        lease_id: str = "",
    ) -> tuple[WarmthChange, ...]:
        """Update a server's health from an ended request whose lease is still held."""
        known = self._servers.get(server)
        if known is None:
            return ()
        lease = self._leases.get(lease_id)
        observed = lease is not None and lease.observed
        if observed and outcome is Outcome.COMPLETED and not known.health.is_warm:
            return ()  # `observe_early` has counted it
        usable = len(self._refresh(server, known, now))
        before = (known.health.warmth, known.health.limit(now), known.taken_up)
        full = is_fully_used(known.running, usable)
        changes = known.health.observe(
            outcome,
            first_s,
            gap_s,
            service,
            known.running,
            full,
            now,
            unobserved=known.running - known.observed,
        )
        self._adjust_taken_up(server, known, outcome, full, now)
        after = (known.health.warmth, known.health.limit(now), known.taken_up)
        if before != after:
            known.invalidate()
        return changes

    def observe_early(
        self,
        lease_id: str,
        first_s: float | None,
        gap_s: float | None,
        service: float,
        now: float,
    ) -> tuple[WarmthChange, ...]:
        """Update the health of a server that is not warm from a running answer.

        A long answer takes ten seconds or more, and a ramp takes ten rounds of
        answers. The first sixteen tokens tell as much about the server after one
        second. The limit of a warm server is derived from whole answers, whose times
        vary less.
        """
        lease = self._leases.get(lease_id)
        if lease is None or lease.observed:
            return ()
        known = self._servers.get(lease.unit.server)
        if known is None or known.health.is_warm:
            return ()
        self._leases[lease_id] = evolve(lease, observed=True)
        known.observed += 1
        changes = known.health.observe(
            Outcome.COMPLETED,
            first_s,
            gap_s,
            service,
            known.running,
            full=True,
            now=now,
            unobserved=known.running - known.observed,
        )
        known.invalidate()
        return changes

    def status(self, now: float) -> tuple[ServerStatus, ...]:
        """Return the status of every server for the heartbeat."""
        rows = []
        for name, server in self._servers.items():
            usable = self._refresh(name, server, now) if server.takes_work else []
            limit = server.health.limit(now)
            warmth = server.health.warmth
            rows.append(
                ServerStatus(
                    name,
                    warmth,
                    limit,
                    server.running,
                    len(usable),
                    server.health.informed,
                )
            )
        return tuple(rows)

    def capacity(self, now: float) -> int:
        """Return how many units are usable, whether free or in use."""
        return sum(
            len(self._refresh(name, server, now))
            for name, server in self._servers.items()
            if server.takes_work
        )

    def _new_health(self, name: ServerName) -> ServerHealth:
        concurrency = ConcurrencyLimit(self._pool, self._pool.max_concurrency)
        return ServerHealth(name, self._pool, concurrency)

    def _drop_servers(self, kept: Iterable[ServerName]) -> None:
        for name in set(self._servers) - set(kept):
            del self._servers[name]

    def _record_lease(self, lease_id: str, unit: Unit, router: RouterName) -> None:
        server = self._servers.get(unit.server)
        if server is None:
            return
        self._leases[lease_id] = _Lease(unit, router)
        server.add_lease(unit.index)

    def _is_free(self, unit: Unit, now: float) -> bool:
        server = self._servers.get(unit.server)
        if server is None or not server.takes_work or unit.index in server.held:
            return False
        usable = self._refresh(unit.server, server, now)
        return unit.index in usable and server.running < len(usable)

    def _free_units(
        self, name: ServerName, server: _Server, now: float
    ) -> tuple[FreeUnit, ...]:
        if not server.takes_work:
            return ()
        usable = self._refresh(name, server, now)
        if server.free is None:
            server.free = self._build_free_units(name, server, usable, now)
        return server.free

    def _build_free_units(
        self, name: ServerName, server: _Server, usable: list[int], now: float
    ) -> tuple[FreeUnit, ...]:
        available = len(usable) - server.running
        if available <= 0:
            return ()
        warmth = server.health.warmth
        limit = server.health.limit(now)
        unused = [index for index in usable if index not in server.held]
        return tuple(
            FreeUnit(Unit(name, index), warmth, server.running, limit)
            for index in unused[:available]
        )

    def _refresh(self, name: ServerName, server: _Server, now: float) -> list[int]:
        if server.generation == self._shares.generation and now < server.valid_until:
            return server.usable
        limit = server.health.limit(now)
        server.usable = self._usable(name, server, limit, now)
        server.generation = self._shares.generation
        server.valid_until = min(
            self._shares.valid_until(now), server.health.next_change(now)
        )
        server.free = None
        return server.usable

    def _usable(
        self, name: ServerName, server: _Server, limit: int, now: float
    ) -> list[int]:
        if server.health.warmth is not Warmth.WARM:
            server.taken_up = 0
            return self._shares.exclusive_units(name, limit, now)
        lost = self._shares.lost(name, limit, now)
        server.taken_up = min(server.taken_up, len(lost))
        lent = self._shares.lent(name, limit, now)
        return sorted(lent + lost[: server.taken_up])

    def _adjust_taken_up(
        self,
        name: ServerName,
        server: _Server,
        outcome: Outcome,
        full: bool,
        now: float,
    ) -> None:
        if server.health.warmth is not Warmth.WARM:
            return
        if outcome is not Outcome.COMPLETED or server.health.slow:
            server.taken_up //= 2
            server.next_take_up = now + self._pool.first_token_target_s
            return
        lost = self._shares.lost(name, server.health.limit(now), now)
        if full and server.taken_up < len(lost) and now >= server.next_take_up:
            server.taken_up += 1
            server.next_take_up = now + self._pool.first_token_target_s
