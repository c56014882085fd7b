"""Find out from the store which versions served before this router started.

Load pattern: all routers are lost at once, and the callers of every stream come back
within a second. Nobody has watched the servers, but the store numbers its changes, so a
listing and the history behind it show every change since a revision. They tell which
versions have served if that revision is old enough: no change came before it, or half
of the servers' entries, by their starts and heartbeats, were written later and yet
before the oldest stream began. Whatever is missing or contradicts itself leaves the
versions unknown.
"""

from __future__ import annotations

import logging
import math
import time
from collections.abc import Callable, Iterable, Mapping

from attrs import frozen

from fulmarroad.events import Event, emit
from fulmarroad_serving._catalog import Catalog, ServiceName
from fulmarroad_serving._positions import Position, era_of, position, revision_of
from fulmarroad_serving._registry import Instance, Registry
from fulmarroad_serving._replica import ReplicaItem
from fulmarroad_serving.contracts import (
    InstanceFact,
    InstanceRemovedFact,
    Listing,
    StateStore,
    UnusableFact,
)
from fulmarroad_serving.exceptions import StoreError
from fulmarroad_serving.streams._list_watch import ListWatch
from fulmarroad_serving.streams._records import MAX_LIFE_S, StreamOrigin
from fulmarroad_serving.streams._resumption import RECORD_MARGIN_S

logger = logging.getLogger("fulmarroad.serving")

CLOCK_MARGIN_S = 10.0
"""Difference in seconds of the clocks of servers and routers, with the time for which
routers may use a server whose entry was removed."""

SILENT_HEARTBEATS = 3
"""Heartbeat intervals of silence after which the store removes an entry."""

MIN_WITNESSES = 2
WITNESS_SHARE = 0.5
"""Number and share of the servers whose entries have to be old: some may have been
frozen or cut off, and have written later than their heartbeats say."""

FIRST_REVISION = 2
"""Revision up to which no change needs to be shown: the store's counter starts at 1."""

MAX_ERA = 1
"""Era of a store that was never restored; a restored one has lost changes."""

MAX_CHANGES = 5_000
"""Maximum number of changes that are looked through; a fleet has fewer servers."""

READ_WAIT_S = 0.001
READ_INTERVAL_S = 10.0
"""Shortest time between two reads of the history, which a failing store could force."""

_Version = tuple[ServiceName, str]


@frozen
class HistoryBase:
    """Hold the revision since which all changes have to be known, and why it is old."""

    revision: int
    cause: str
    watched_s: float
    cutoff_ms: float  # streams that may be taken up began after it


def longest_life_s(catalog: Catalog) -> float:
    """Return the age in seconds that a stream has at most, 0 if none may be resumed."""
    timeouts = [row.timeout_s for row in catalog.routes if row.resumable]
    return min(MAX_LIFE_S, max(timeouts) + RECORD_MARGIN_S) if timeouts else 0.0


def written_by_ms(instance: Instance, heartbeat_s: float) -> float:
    """Return the latest Unix time at which an entry was written, in milliseconds.

    Infinity if that isn't known, or if the entry changes late in a server's life.
    """
    if instance.beats is None or not instance.started_ms:
        return float("inf")
    if instance.draining or instance.warmup_left_s > 0:
        return float("inf")
    most_s = SILENT_HEARTBEATS * heartbeat_s * (instance.beats + 2)
    return instance.started_ms + 1000 * most_s


def choose_base(
    listed: Mapping[int, Instance], heartbeat_s: float, life_s: float, now_ms: float
) -> HistoryBase:
    """Return the newest revision that is older than any stream.

    `listed` holds the servers by the revisions of their entries.
    """
    cutoff_ms = now_ms - 1000 * (life_s + CLOCK_MARGIN_S)
    beginning = HistoryBase(FIRST_REVISION - 1, "beginning", MAX_LIFE_S, cutoff_ms)
    witnesses = sorted(
        revision
        for revision, instance in listed.items()
        if written_by_ms(instance, heartbeat_s) <= cutoff_ms
    )
    needed = max(MIN_WITNESSES, math.ceil(WITNESS_SHARE * len(listed)))
    if len(witnesses) < needed:
        return beginning
    base = witnesses[-needed]
    before = (row for revision, row in listed.items() if revision <= base)
    if any(row.started_ms > cutoff_ms for row in before):
        # A server that started later has written before them, so a clock is wrong.
        return beginning
    return HistoryBase(base, "heartbeats", life_s, cutoff_ms)


def first_unknown(base: int, at: int, revisions: Iterable[int]) -> int | None:
    """Return the first revision after `base` that isn't given, None if all are."""
    if at - base > MAX_CHANGES:
        return base + 1
    known = set(revisions)
    return next((row for row in range(base + 1, at + 1) if row not in known), None)


class StoreHistory:
    """Start the watch of the list of servers as early as the store allows."""

    def __init__(
        self,
        store: StateStore,
        registry: Registry,
        watch: ListWatch,
        heartbeat_s: float,
        clock: Callable[[], float],
        unix_time: Callable[[], float] = time.time,
    ) -> None:
        self._store = store
        self._registry = registry
        self._watch = watch
        self._heartbeat_s = heartbeat_s
        self._clock = clock
        self._unix_time = unix_time
        self._read_at = float("-inf")
        self.on_departures: Callable[[float, Iterable[StreamOrigin]], None] = (
            lambda seconds, left: None
        )
        """Called with all versions of which runs ended in the last seconds."""

    async def look_back(self, listing: Listing, catalog: Catalog) -> None:
        """Search a listing, and the history behind it if it isn't enough."""
        life_s, now = longest_life_s(catalog), self._clock()
        if not life_s or self._watch.seconds(now) >= life_s:
            return
        if now - self._read_at < READ_INTERVAL_S:
            return
        self._read_at = now
        watched_from = self._watch.since_at
        base = choose_base(
            self._servers(listing.items), self._heartbeat_s, life_s, self._now_ms()
        )
        try:
            items = await self._changes(base, listing)
            versions = self._versions(base, items)
        except StoreError as error:
            self._log(base, listing, watched_s=0.0, cause=error.message)
            return
        if self._watch.since_at != watched_from:
            cause = "A copy that may hide changes came meanwhile."
            self._log(base, listing, watched_s=0.0, cause=cause)
            return
        for service, version in versions:
            self._registry.note_version(service, version, now)
        since_at = position(era_of(listing.at), base.revision)
        self._watch.extend(base.watched_s, since_at, now)
        self.on_departures(base.watched_s, self._departures(items))
        self._log(base, listing, watched_s=base.watched_s)

    def _now_ms(self) -> float:
        return self._unix_time() * 1000

    def _servers(self, items: Iterable[ReplicaItem]) -> dict[int, Instance]:
        facts = ((item.revision, self._store.decode(item)) for item in items)
        return {
            revision_of(at): fact.instance
            for at, fact in facts
            if isinstance(fact, InstanceFact)
        }

    async def _changes(
        self, base: HistoryBase, listing: Listing
    ) -> tuple[ReplicaItem, ...]:
        """Return all changes after a revision; raise `StoreError` if one is missing."""
        era, at = era_of(listing.at), revision_of(listing.at)
        if era > MAX_ERA:
            raise StoreError("The store was restored from an older copy.")
        items = listing.items
        missing = first_unknown(base.revision, at, _revisions(items))
        if missing is None:
            return items
        if at - base.revision > MAX_CHANGES:
            raise StoreError("There were too many changes since.")
        after: Position = position(era, missing - 1)
        history = await self._store.watch(after, READ_WAIT_S)
        items += history.items
        if first_unknown(base.revision, at, _revisions(items)) is not None:
            raise StoreError("The history doesn't show every change.")
        return items

    def _versions(
        self, base: HistoryBase, items: tuple[ReplicaItem, ...]
    ) -> set[_Version]:
        """Return the versions of the changes; raise `StoreError` if one is unknown."""
        versions: set[_Version] = set()
        seen: set[str] = set()
        for item in sorted(items, key=lambda row: row.revision):
            is_first = item.key not in seen
            is_change = revision_of(item.revision) > base.revision
            seen.add(item.key)
            fact = self._store.decode(item)
            if isinstance(fact, InstanceFact):
                versions.add((fact.instance.service, fact.instance.version))
            if is_first and is_change and not self._shows_former(base, fact):
                raise StoreError(f"The entry of {item.key} before is unknown.")
        return versions

    def _departures(self, items: Iterable[ReplicaItem]) -> set[StreamOrigin]:
        """Return the versions of runs that complete changes show to have ended."""
        runs: dict[str, Instance] = {}
        left: set[StreamOrigin] = set()
        for item in sorted(items, key=lambda row: row.revision):
            fact = self._store.decode(item)
            before = runs.pop(item.key, None)
            run = fact.instance if isinstance(fact, InstanceFact) else None
            if before is not None and (run is None or not _is_same_run(before, run)):
                left.add(StreamOrigin(before.service, before.version))
            if run is not None:
                runs[item.key] = run
        return left

    def _shows_former(self, base: HistoryBase, fact: object) -> bool:
        """Return whether a key's first change tells what was there before."""
        if isinstance(fact, InstanceRemovedFact):
            return False
        if base.cause == "beginning":
            return True
        if isinstance(fact, InstanceFact):
            # A run that has lasted for so long; a later one may replace another.
            return 0 < fact.instance.started_ms <= base.cutoff_ms
        return not (isinstance(fact, UnusableFact) and fact.server)

    def _log(
        self,
        base: HistoryBase,
        listing: Listing,
        *,
        watched_s: float,
        cause: str = "",
    ) -> None:
        emit(
            logger,
            Event.STORE_LOOKED_BACK,
            evidence=base.cause,
            after=base.revision,
            at=revision_of(listing.at),
            watched_s=round(watched_s, 1),
            cause=cause,
        )


def _is_same_run(before: Instance, run: Instance) -> bool:
    names = (before.service, before.version, before.started_ms)
    return names == (run.service, run.version, run.started_ms)


def _revisions(items: Iterable[ReplicaItem]) -> Iterable[int]:
    return (revision_of(item.revision) for item in items)
