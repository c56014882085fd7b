"""Registry of backend servers that register themselves: usable, cold and removed."""

from __future__ import annotations

from collections.abc import Callable

from attrs import define, evolve, field, frozen

from fulmarroad.types import DataCentreName, ServerName
from fulmarroad_serving._catalog import Service, ServiceName
from fulmarroad_serving._restarts import (
    NEVER,
    SUSPECT_S,
    Contact,
    RestartSuspicion,
    ServerProcess,
)

LAPSE_GRACE_S = 2.0
"""Time in seconds that a server stays in use if its entry expires in a store outage.

Entries expire during an outage although their servers run; dropping them all at once
would leave a router without servers. Running servers write their entries again within
two seconds."""

VERSION_MEMORY_S = 60.0
"""Time in seconds for which a version without a server still counts: streams that it
began may be taken up for as long."""

UNKNOWN_VERSION = "?"
"""Version of a server that ended and may have started again with another one."""

MAX_LIST_GAP_S = 1.5
"""Time in seconds between two confirmations of the list above which servers may have
missed their turn to write their entries. A calm store confirms it each 1.2 s."""

MAX_REMOVED_SERVERS = 512
"""Maximum number of removed servers remembered; fewer are removed in the time that a
restore of the store takes."""


@frozen
class Instance:
    """Describe one run of a backend server, as it registered itself."""

    id: ServerName
    service: ServiceName
    host: str
    port: int
    data_centre: DataCentreName
    slots: int
    draining: bool = False
    warmup_left_s: float = 0.0
    started_ms: int = 0  # Unix time of this start; a restart may reuse the id
    version: str = ""  # of its software
    beats: int | None = None  # heartbeats up to its entry's last change, if stated


@define
class Registered:
    """Hold an instance and the router's view of its state."""

    instance: Instance
    started_at: float  # router's clock; -inf if it was running before the router
    cold_until: float = 0.0
    suspicion: RestartSuspicion | None = None
    lapses_at: float | None = None
    process: ServerProcess = field(factory=ServerProcess)

    def version(self, now: float) -> str:
        """Return the version of its software, as far as it is known."""
        ended = self.process.has_ended(now)
        return UNKNOWN_VERSION if ended else self.instance.version

    def serves(self, version: str, now: float) -> bool:
        """Return whether a stream that a version began may go on here; "" is none."""
        if not version:
            return True
        return version == self.version(now) != UNKNOWN_VERSION

    def cold(self, now: float) -> bool:
        """Return whether it is warming up, or may have restarted unnoticed."""
        suspicion = self.suspicion
        is_suspect = suspicion is not None and suspicion.is_on(now)
        return now < self.cold_until or is_suspect


@frozen
class WriterVersion:
    """Hold the software version of a process that answers over a connection."""

    version: str  # as far as it is known
    is_proven: bool = False  # else another process may answer than the entry's


UNKNOWN_WRITER = WriterVersion(UNKNOWN_VERSION)


class Registry:
    """Hold every registered backend server."""

    def __init__(self) -> None:
        self._rows: dict[ServerName, Registered] = {}
        self._excluded_centres: set[DataCentreName] = set()
        self._removed_servers: dict[ServerName, int] = {}  # their `started_ms`
        self._dropped: dict[ServerName, Registered] = {}
        self._listed = False
        self._usable: dict[tuple[ServiceName, str], tuple[Registered, ...]] = {}
        """By service and version; "" stands for all versions."""
        self._announced: dict[ServerName, int] = {}  # their `started_ms`
        self._live_versions: dict[ServiceName, frozenset[str]] = {}
        self._former_versions: dict[tuple[ServiceName, str], float] = {}
        """When a server of a service and version was last dropped."""
        self._read_at = self._settles_at = NEVER
        self._current_at = NEVER
        """Time up to which each start of a server would show in its entry."""
        self.on_ended: Callable[[Instance], None] = lambda instance: None
        """Called when a process seems to have ended, to tell the other routers."""

    @property
    def centres_left(self) -> frozenset[DataCentreName]:
        """Return the data centres whose servers get no calls."""
        return frozenset(self._excluded_centres)

    def get(self, server: ServerName) -> Registered | None:
        """Return the registered server with this id, or None."""
        return self._rows.get(server)

    def rows(self) -> list[Registered]:
        """Return every registered server."""
        return list(self._rows.values())

    def put(self, instance: Instance, now: float) -> bool:
        """Add or update an entry; return whether the server has (re)started."""
        row = self._rows.get(instance.id) or self._take_back(instance)
        is_new_run = row is None or row.instance.started_ms != instance.started_ms
        is_outdated = row is not None and instance.started_ms < row.instance.started_ms
        if row is None:
            row = self._rows[instance.id] = Registered(instance, now)
        if is_new_run or instance.draining:
            self._announced.pop(instance.id, None)
        if not is_new_run and row.instance.draining:
            # A draining server never returns to service, but a store restored from an
            # older copy shows the entry that it had before.
            instance = evolve(instance, draining=True)
        self._note_former(row.instance, now)
        row.instance = instance
        self._usable.clear()
        row.lapses_at = None
        row.suspicion = None
        if is_new_run:
            row.process = (
                ServerProcess.of_outdated_entry(now)
                if is_outdated
                else ServerProcess(now, self._current_at)
            )
            # The first listing after a router's restart shows servers that have cached
            # their prompt parts. Treated as new, each of them would fetch its parts
            # from other engines.
            ran_before = not self._listed and instance.warmup_left_s <= 0
            row.started_at = float("-inf") if ran_before else now
        row.cold_until = now + max(0.0, instance.warmup_left_s)
        return is_new_run

    def _take_back(self, instance: Instance) -> Registered | None:
        """Return the row of a run that was dropped while it went on, None if it wasn't.

        Its entry lapsed, as it or the store was silent for some seconds. Taken for a
        restart, its running calls would no longer be counted.
        """
        row = self._dropped.pop(instance.id, None)
        if row is None or not instance.started_ms:
            return None
        if row.instance.started_ms != instance.started_ms:
            return None
        self._rows[instance.id] = row
        return row

    def note_listed(self) -> None:
        """Record the first listing; servers that are added later have just started."""
        self._listed = True

    def remove(
        self,
        server: ServerName,
        now: float,
        *,
        store_failure_age_s: float = LAPSE_GRACE_S,
    ) -> bool:
        """Remove a server at once or after a grace period; return whether removed.

        `store_failure_age_s` is the time since a call to the store last failed for the
        router that read the removal.
        """
        row = self._rows.get(server)
        if row is None:
            return False
        grace = LAPSE_GRACE_S - store_failure_age_s
        if grace > 0 and not row.instance.draining:
            row.lapses_at = now + grace
            return False
        self._drop(server, now)
        self._removed_servers[server] = row.instance.started_ms
        if len(self._removed_servers) > MAX_REMOVED_SERVERS:
            del self._removed_servers[next(iter(self._removed_servers))]
        return True

    def has_ended(self, instance: Instance) -> bool:
        """Return whether this run ended: the server was removed or restarted since."""
        row = self._rows.get(instance.id)
        if row is not None:
            return instance.started_ms < row.instance.started_ms
        left = self._removed_servers.get(instance.id)
        return left is not None and instance.started_ms <= left

    def expire(self, now: float) -> list[ServerName]:
        """Remove and return servers whose entries did not return by a time."""
        expired = [
            name
            for name, row in self._rows.items()
            if row.lapses_at is not None and now >= row.lapses_at
        ]
        for name in expired:
            self._drop(name, now)
        return expired

    def _drop(self, server: ServerName, now: float) -> None:
        row = self._dropped[server] = self._rows.pop(server)
        if len(self._dropped) > MAX_REMOVED_SERVERS:
            del self._dropped[next(iter(self._dropped))]
        self._note_former(row.instance, now)
        self._announced.pop(server, None)
        self._usable.clear()

    def exclude_centre(self, centre: DataCentreName) -> None:
        """Stop sending calls to a data centre."""
        self._excluded_centres.add(centre)
        self._usable.clear()

    def include_centre(self, centre: DataCentreName) -> None:
        """Resume sending calls to a data centre."""
        self._excluded_centres.discard(centre)
        self._usable.clear()

    def suspect(self, server: ServerName, contact: Contact, now: float) -> None:
        """Record a broken connection; the server may have restarted and be cold.

        `contact` is that of the connection.
        """
        row = self._rows.get(server)
        if row is None:
            return
        if row.suspicion is not None and row.suspicion.is_on(now):
            row.suspicion = row.suspicion.extended(contact, now)
        else:
            row.suspicion = RestartSuspicion(contact.heard_at, now)

    def note_contact(self, instance: Instance, contact: Contact) -> None:
        """Record that a run was heard; if it was running all the while, trust it."""
        row = self._rows.get(instance.id)
        if row is None:
            return
        row.process.note(contact, self._current_at)
        if row.suspicion is None:
            return
        is_same_run = row.instance.started_ms == instance.started_ms
        if is_same_run and row.suspicion.is_refuted_by(contact):
            row.suspicion = None

    def note_ended(self, instance: Instance, now: float) -> None:
        """Record that a run's process may have ended, and another version may run.

        If it runs on, its entry is still there after `SUSPECT_S`.
        """
        if self.note_end(instance.id, instance.started_ms, now, now):
            self.on_ended(instance)

    def note_end(
        self, server: ServerName, started_ms: int, at: float, now: float
    ) -> bool:
        """Record that a run's process ended at a time; return whether that is new."""
        row = self._rows.get(server)
        if row is None or row.instance.started_ms != started_ms:
            return False
        return row.process.note_end(at, now)

    def note_current(self, at: float) -> None:
        """Record the time up to which every change of the store was read.

        After a gap, servers that started in it have yet to write their entries.
        """
        if at > self._read_at + MAX_LIST_GAP_S > NEVER:
            self.note_gap(at)
        self._read_at = max(self._read_at, at)
        if self._read_at >= self._settles_at:
            self._current_at = self._read_at

    def note_gap(self, at: float) -> None:
        """Record that changes of the store up to a time may not have been read."""
        self._settles_at = at + SUSPECT_S

    def writer_version(self, instance: Instance, contact: Contact) -> WriterVersion:
        """Return the version of the process that answers over a connection.

        `instance` is the run to which the connection was opened. As long as the process
        isn't proven to be the one that wrote the entry, its version is known only if
        nobody saw a sign that the run ended before the connection was opened.
        """
        row, current_at = self._rows.get(instance.id), self._current_at
        if row is None:
            row, current_at = self._dropped.get(instance.id), NEVER
        if row is None:
            return UNKNOWN_WRITER
        if row.process.wrote(contact, current_at):
            return WriterVersion(row.instance.version, is_proven=True)
        is_same_run = row.instance.started_ms == instance.started_ms
        if not is_same_run or row.process.may_be_replaced(contact):
            return UNKNOWN_WRITER
        return WriterVersion(instance.version)

    def versions(self, service: ServiceName, now: float) -> set[str]:
        """Return the versions that serve, or that may have begun streams before."""
        former = {
            version
            for (name, version), left_at in self._former_versions.items()
            if name == service and now - left_at < VERSION_MEMORY_S
        }
        return former | self._versions_of_servers(service)

    def note_version(self, service: ServiceName, version: str, now: float) -> None:
        """Record that a version has served, whose servers may have left since."""
        self._former_versions[service, version] = now

    def keep_former_versions(self, now: float) -> None:
        """Let the time for which former versions count begin anew.

        A router that is cut off goes on using servers whose entries are gone.
        """
        for key in self._former_versions:
            self._former_versions[key] = now

    def _versions_of_servers(self, service: ServiceName) -> frozenset[str]:
        versions = self._live_versions.get(service)
        if versions is None:
            versions = self._live_versions[service] = frozenset(
                row.instance.version
                for row in self._rows.values()
                if row.instance.service == service
            )
        return versions

    def _note_former(self, instance: Instance, now: float) -> None:
        self._live_versions.clear()
        self._former_versions[instance.service, instance.version] = now
        for key, left_at in list(self._former_versions.items()):
            if now - left_at >= VERSION_MEMORY_S:
                del self._former_versions[key]

    def mark_cold(self, server: ServerName, left_s: float, now: float) -> None:
        """Record that a server reported itself cold for another `left_s` seconds."""
        row = self._rows.get(server)
        if row is not None:
            row.cold_until = max(row.cold_until, now + left_s)

    def note_leaving(self, server: ServerName, started_ms: int) -> bool:
        """Record that a run of a server announced its shutdown; return whether new.

        It gets no new calls, also if its entry says otherwise: the store may be down,
        or know it later.
        """
        row = self._rows.get(server)
        if row is None or row.instance.started_ms != started_ms:
            return False
        if row.instance.draining:
            return False
        row.instance = evolve(row.instance, draining=True)
        self._announced[server] = started_ms
        self._usable.clear()
        return True

    def accepts_calls(self, instance: Instance) -> bool:
        """Return whether this run of a server may get new calls."""
        row = self._rows.get(instance.id)
        return (
            row is not None
            and row.instance.started_ms == instance.started_ms
            and not row.instance.draining
            and row.instance.data_centre not in self._excluded_centres
        )

    def announced(self) -> tuple[tuple[ServerName, int], ...]:
        """Return the runs that leave by their own word, while no entry says so.

        Each is a server and the Unix time of its start in milliseconds.
        """
        return tuple(self._announced.items())

    def usable(self, service: ServiceName, version: str = "") -> tuple[Registered, ...]:
        """Return the servers of a service, or of one version, that may get new calls.

        The same tuple is returned until one of the servers changes.
        """
        rows = self._usable.get((service, version))
        if rows is None:
            rows = self._usable[service, version] = tuple(
                row
                for row in self._rows.values()
                if row.instance.service == service
                and version in ("", row.instance.version)
                and self.accepts_calls(row.instance)
            )
        return rows


def cold_bound(service: Service, factor: float, tolerance: float) -> float:
    """Return the calls per second that a cold server may get from all routers."""
    return service.warmup_rate * factor + tolerance
