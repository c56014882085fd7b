"""Keep a router's configuration and list of servers up to date with the store.

Facts come from the store or from a peer's copy of it, in any order and possibly more
than once. Each change is logged with its revision.
"""

from __future__ import annotations

import contextlib
import logging
from collections.abc import Callable, Iterable, Iterator

from attrs import frozen

from fulmarroad.audit import AuditTrail, Subject
from fulmarroad.events import Event, emit, error_fields
from fulmarroad.types import ServerName
from fulmarroad_serving._catalog import Catalog, CatalogIndex
from fulmarroad_serving._dispatch import Dispatcher
from fulmarroad_serving._pool import ConnectionPool
from fulmarroad_serving._positions import Position, era_of, revision_of
from fulmarroad_serving._registry import MAX_LIST_GAP_S, Instance
from fulmarroad_serving._replica import ReplicaDelta, ReplicaItem, StateReplica
from fulmarroad_serving.contracts import (
    CatalogFact,
    CentreFact,
    Fact,
    InstanceFact,
    InstanceRemovedFact,
    StateStore,
    UnusableFact,
)

logger = logging.getLogger("fulmarroad.serving")

RESTORE_GRACE_S = 10.0
"""Time after a restore from an older copy for which facts that it lacks are kept.

Operators and servers write them again within seconds.
"""


@frozen
class _DeferredFact:
    """Hold a fact that is applied only if no newer one replaces it by `due`."""

    fact: Fact
    revision: int
    failure_age_s: float
    source: str
    due: float


class RouterState:
    """Apply items of the store to the dispatcher's configuration and servers."""

    def __init__(
        self,
        store: StateStore,
        dispatcher: Dispatcher,
        pool: ConnectionPool,
        audit: AuditTrail,
        clock: Callable[[], float],
    ) -> None:
        self._store = store
        self._dispatcher = dispatcher
        self._pool = pool
        self._audit = audit
        self._clock = clock
        self._restored_at = float("-inf")
        self._deferred: dict[str, _DeferredFact] = {}
        self.replica = StateReplica()
        self.index: CatalogIndex | None = None
        self.on_catalog: Callable[[Catalog], None] = lambda catalog: None
        self.on_change: Callable[[], None] = lambda: None
        self.on_items: Callable[[Position, bool], None] = lambda at, hides: None
        """Called before items are applied, unless they are all changes since the last.

        It gets the position up to which they are complete, and whether changes of the
        time between may be missing.
        """
        self.on_entry: Callable[[Instance], None] = lambda instance: None
        self.on_removed: Callable[[ServerName], None] = lambda server: None

    @property
    def catalog(self) -> Catalog:
        """Return the configuration in force, version 0 before the first one."""
        return self.index.catalog if self.index is not None else Catalog(0)

    def apply_listing(
        self,
        items: Iterable[ReplicaItem],
        at: Position,
        failure_age_s: float,
        source: str,
        *,
        is_paged: bool = False,
    ) -> int:
        """Apply a full listing of the store and return the number of changed items."""
        items = tuple(items)
        hides = self.replica.hides_changes(items, at, is_snapshot=True)
        # What left between two pages isn't in the listing, as if it had left before.
        self.on_items(at, hides or is_paged)
        before = self.replica.at
        changed = self.replica.replace(items, at)
        self._apply(before, changed, failure_age_s, source)
        return len(changed)

    def apply_changes(
        self,
        items: Iterable[ReplicaItem],
        at: Position,
        failure_age_s: float,
        source: str,
    ) -> None:
        """Apply changes of the store."""
        items = tuple(items)
        before = self.replica.at
        if before and self.replica.hides_changes(items, at, is_snapshot=False):
            self.on_items(at, True)
        self._apply(before, self.replica.merge(items, at), failure_age_s, source)

    def apply_delta(
        self, delta: ReplicaDelta, failure_age_s: float, source: str
    ) -> None:
        """Apply a delta from a peer."""
        if delta.at:
            hides = self.replica.hides_changes(
                delta.items, delta.at, is_snapshot=delta.is_snapshot
            )
            self.on_items(delta.at, hides)
        before = self.replica.at
        self._apply(before, self.replica.apply_delta(delta), failure_age_s, source)

    def expire(self, list_age_s: float = 0.0) -> None:
        """Drop lapsed servers and idle connections, and apply deferred facts.

        `list_age_s` is the age of the list of servers. An old one doesn't show which of
        them are back.
        """
        self._pool.prune()
        now = self._clock()
        seen_until = now - max(0.0, list_age_s - MAX_LIST_GAP_S)
        for server in self._dispatcher.expire(seen_until):
            self._forget_server(server, "lapsed", 0)
        for key, row in list(self._deferred.items()):
            if now >= row.due:
                del self._deferred[key]
                with self._isolate_item(key, row.revision, row.source):
                    self._apply_fact(
                        row.fact, row.revision, row.failure_age_s, row.source
                    )

    def _apply(
        self,
        before: Position,
        items: tuple[ReplicaItem, ...],
        failure_age_s: float,
        source: str,
    ) -> None:
        self._check_era(before, source)
        # A restore of the store counts as an outage even if no access failed.
        failure_age_s = min(failure_age_s, self._clock() - self._restored_at)
        for item in items:
            with self._isolate_item(item.key, revision_of(item.revision), source):
                self._apply_item(item, failure_age_s, source)
        if items:
            self._dispatcher.registry.note_listed()
            self.on_change()

    def _apply_item(self, item: ReplicaItem, failure_age_s: float, source: str) -> None:
        self._deferred.pop(item.key, None)
        fact = self._store.decode(item)
        if fact is None:
            return
        revision = revision_of(item.revision)
        if self._may_be_outdated(fact):
            due = self._restored_at + RESTORE_GRACE_S
            self._deferred[item.key] = _DeferredFact(
                fact, revision, failure_age_s, source, due
            )
        else:
            self._apply_fact(fact, revision, failure_age_s, source)

    @contextlib.contextmanager
    def _isolate_item(self, key: str, revision: int, source: str) -> Iterator[None]:
        """Log an error of one item, and go on with the others.

        The copy of the store has merged all of them already, so none would come again.
        """
        try:
            yield
        except Exception as error:
            emit(
                logger,
                Event.STORE_ITEM_UNUSABLE,
                key=key,
                revision=revision,
                source=source,
                **error_fields(error),
            )

    def _check_era(self, before: Position, source: str) -> None:
        """Record and log that the store was restored from an older copy."""
        era = era_of(self.replica.at)
        if before and era > era_of(before):
            self._restored_at = self._clock()
            emit(
                logger,
                Event.STORE_RETURNED_OLDER,
                era=era,
                at=revision_of(self.replica.at),
                known_at=revision_of(before),
                source=source,
            )

    def _may_be_outdated(self, fact: Fact) -> bool:
        """Return whether a fact may come from an older copy that lost later changes.

        Once acknowledged, the removal of a server or the exclusion of a data centre is
        binding, also after the store was restored from an older copy.
        """
        if self._clock() - self._restored_at >= RESTORE_GRACE_S:
            return False
        registry = self._dispatcher.registry
        if isinstance(fact, CentreFact):
            return not fact.excluded and fact.data_centre in registry.centres_left
        return isinstance(fact, InstanceFact) and registry.has_ended(fact.instance)

    def _apply_fact(
        self, fact: Fact, revision: int, failure_age_s: float, source: str
    ) -> None:
        if isinstance(fact, CatalogFact):
            self._apply_catalog(fact.catalog, revision, source)
        elif isinstance(fact, InstanceFact):
            self._apply_instance(fact.instance, revision, source)
        elif isinstance(fact, InstanceRemovedFact):
            self._apply_removal(fact, revision, failure_age_s)
        elif isinstance(fact, CentreFact):
            self._apply_centre(fact, revision, source)
        elif isinstance(fact, UnusableFact):
            if fact.server:
                self._apply_removal(
                    InstanceRemovedFact(fact.server), revision, failure_age_s
                )
            emit(
                logger,
                Event.STORE_ITEM_UNUSABLE,
                key=fact.key,
                cause=fact.cause,
                revision=revision,
                source=source,
            )

    def _apply_catalog(self, catalog: Catalog, revision: int, source: str) -> None:
        before = self.catalog.version
        if catalog.version <= before:
            emit(logger, Event.TABLES_LOWER, version=catalog.version, current=before)
            return
        index = CatalogIndex(catalog)
        self._dispatcher.set_catalog(catalog)
        self.index = index
        emit(
            logger,
            Event.CATALOG_IN_FORCE,
            version=catalog.version,
            before=before,
            routes=len(catalog.routes),
            workspaces=len(catalog.holders),
            revision=revision,
            source=source,
        )
        self._audit.record(
            Subject.TABLES,
            "catalog",
            before=str(before),
            after=str(catalog.version),
            cause=source,
            version=revision,
        )
        self.on_catalog(catalog)

    def _apply_instance(self, instance: Instance, revision: int, source: str) -> None:
        self.on_entry(instance)
        now = self._clock()
        if self._dispatcher.registry.put(instance, now):
            self._dispatcher.restarted(instance.id)
            self._pool.forget(instance.id)
        emit(
            logger,
            Event.SERVER_REGISTERED,
            server=instance.id,
            service=instance.service,
            data_centre=instance.data_centre,
            server_version=instance.version,
            draining=instance.draining,
            warmup_left_s=instance.warmup_left_s,
            revision=revision,
            source=source,
        )

    def _apply_removal(
        self, fact: InstanceRemovedFact, revision: int, failure_age_s: float
    ) -> None:
        self.on_removed(fact.server)
        registry = self._dispatcher.registry
        if registry.remove(
            fact.server, self._clock(), store_failure_age_s=failure_age_s
        ):
            self._forget_server(fact.server, "removed", revision)

    def _forget_server(self, server: str, cause: str, revision: int) -> None:
        self._pool.forget(server)
        emit(logger, Event.SERVER_GONE, server=server, cause=cause, revision=revision)

    def _apply_centre(self, fact: CentreFact, revision: int, source: str) -> None:
        registry = self._dispatcher.registry
        was_left = fact.data_centre in registry.centres_left
        if fact.excluded == was_left:
            return
        if fact.excluded:
            registry.exclude_centre(fact.data_centre)
            emit(logger, Event.CENTRE_LEFT, data_centre=fact.data_centre, at=revision)
        else:
            registry.include_centre(fact.data_centre)
            emit(
                logger, Event.CENTRE_RETURNED, data_centre=fact.data_centre, at=revision
            )
        self._audit.record(
            Subject.DATA_CENTRE,
            fact.data_centre,
            before="left" if was_left else "in service",
            after="left" if fact.excluded else "in service",
            cause=source,
            version=revision,
        )
