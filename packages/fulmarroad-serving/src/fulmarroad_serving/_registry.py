"""Backend servers that register themselves: who may get work, who is cold, who left."""

from __future__ import annotations

from attrs import define, evolve, frozen

from fulmarroad.types import DataCentreName, ServerName
from fulmarroad_serving._catalog import Service, ServiceName

LAPSE_GRACE_S = 2.0
"""How long a server whose entry vanished around an outage of the store stays in use.

Entries lapse while the store is away although their servers live; all at once they
would leave a router without servers. Live ones are written again within two seconds.
"""

SUSPECT_S = 4.0
"""How long a server that broke a connection is treated as cold: three intervals of its
own entry's writing (1.2 s), by which a restart shows in the entry."""

MOST_LEFT = 512
"""Servers remembered that have left: more than leave within a store's return."""


@frozen
class Instance:
    """Describe one start of a backend server, as it registered itself."""

    id: ServerName
    service: ServiceName
    host: str
    port: int
    data_centre: DataCentreName
    slots: int
    draining: bool = False
    warmup_left_s: float = 0.0
    started_ms: int = 0  # Unix time of its start; the same id may start again


@define
class Registered:
    """Hold an instance with what is believed of it."""

    instance: Instance
    started_at: float  # by this router's clock; long ago if it ran before the router
    cold_until: float = 0.0
    suspect_until: float = 0.0
    lapses_at: float | None = None

    def cold(self, now: float) -> bool:
        """Tell whether it bears little now, or may have started again unseen."""
        return now < self.cold_until or now < self.suspect_until


class Registry:
    """Hold every registered backend server."""

    def __init__(self) -> None:
        self._rows: dict[ServerName, Registered] = {}
        self._left: set[DataCentreName] = set()
        self._left_servers: dict[ServerName, int] = {}  # the start that left
        self._listed = False
        self._usable: dict[ServiceName, tuple[Registered, ...]] = {}

    @property
    def centres_left(self) -> frozenset[DataCentreName]:
        """Return the data centres whose servers get nothing."""
        return frozenset(self._left)

    def get(self, server: ServerName) -> Registered | None:
        """Return what is believed of a server, or nothing."""
        return self._rows.get(server)

    def rows(self) -> list[Registered]:
        """Return every server."""
        return list(self._rows.values())

    def put(self, instance: Instance, now: float) -> bool:
        """Take an entry in; tell whether the server is a new start."""
        row = self._rows.get(instance.id)
        fresh = row is None or row.instance.started_ms != instance.started_ms
        if row is None:
            row = self._rows[instance.id] = Registered(instance, now)
        if not fresh and row.instance.draining:
            # A server that has said it leaves doesn't stay; a store that came back from
            # an older copy shows it as before.
            instance = evolve(instance, draining=True)
        row.instance = instance
        self._usable.clear()
        row.lapses_at = None
        row.suspect_until = 0.0
        if fresh:
            # A router that starts again finds servers that have their parts; taken for
            # new, each of them would be made to read the parts of its neighbours.
            ran_before = not self._listed and instance.warmup_left_s <= 0
            row.started_at = float("-inf") if ran_before else now
        row.cold_until = now + max(0.0, instance.warmup_left_s)
        return fresh

    def note_listed(self) -> None:
        """Note that the first listing is in: later servers have just started."""
        self._listed = True

    def remove(
        self,
        server: ServerName,
        now: float,
        *,
        store_failure_age_s: float = LAPSE_GRACE_S,
    ) -> bool:
        """Drop a server, or keep it until it would be back; tell whether it is gone.

        `store_failure_age_s` is the time since the store last failed whoever read the
        removal.
        """
        row = self._rows.get(server)
        if row is None:
            return False
        grace = LAPSE_GRACE_S - store_failure_age_s
        if grace > 0 and not row.instance.draining:
            row.lapses_at = now + grace
            return False
        del self._rows[server]
        self._usable.clear()
        self._left_servers[server] = row.instance.started_ms
        if len(self._left_servers) > MOST_LEFT:
            del self._left_servers[next(iter(self._left_servers))]
        return True

    def is_over(self, instance: Instance) -> bool:
        """Tell whether a start of a server is over: it left, or a later one came."""
        row = self._rows.get(instance.id)
        if row is not None:
            return instance.started_ms < row.instance.started_ms
        left = self._left_servers.get(instance.id)
        return left is not None and instance.started_ms <= left

    def expire(self, now: float) -> list[ServerName]:
        """Drop the servers whose entry has not come back; return them."""
        gone = [
            name
            for name, row in self._rows.items()
            if row.lapses_at is not None and now >= row.lapses_at
        ]
        for name in gone:
            del self._rows[name]
            self._usable.clear()
        return gone

    def exclude_centre(self, centre: DataCentreName) -> None:
        """Send nothing more to a data centre."""
        self._left.add(centre)
        self._usable.clear()

    def include_centre(self, centre: DataCentreName) -> None:
        """Let a data centre take work again."""
        self._left.discard(centre)
        self._usable.clear()

    def suspect(self, server: ServerName, now: float) -> None:
        """Note a broken connection: the server may have started again, cold."""
        row = self._rows.get(server)
        if row is not None:
            row.suspect_until = now + SUSPECT_S

    def mark_cold(self, server: ServerName, left_s: float, now: float) -> None:
        """Note that a server said that it is cold."""
        row = self._rows.get(server)
        if row is not None:
            row.cold_until = max(row.cold_until, now + left_s)

    def usable(self, service: ServiceName) -> tuple[Registered, ...]:
        """Return the servers of a service that may get new work.

        It is the same object until one of them changes.
        """
        rows = self._usable.get(service)
        if rows is None:
            rows = self._usable[service] = tuple(
                row
                for row in self._rows.values()
                if row.instance.service == service
                and not row.instance.draining
                and row.instance.data_centre not in self._left
            )
        return rows


def cold_bound(service: Service, factor: float, tolerance: float) -> float:
    """Return the calls a second that a cold server may get from all routers."""
    return service.warmup_rate * factor + tolerance
