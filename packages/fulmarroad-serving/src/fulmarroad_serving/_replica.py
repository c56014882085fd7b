"""A copy of the platform's store that routers keep and hand on to each other.

The store is the only writer. Every item carries its position in the store's history, so
news may come twice, late and from any router: the higher position wins. A store that
comes back from an older copy goes on at higher positions, though its revisions fall.
A router that the store turns away so learns from a peer what it isn't told itself.
"""

from __future__ import annotations

from collections.abc import Iterable

from attrs import frozen

from fulmarroad_serving._positions import Position

KEPT_DELETIONS = 512
"""Deletions remembered for peers; a peer that lacks older ones gets the whole copy."""


@frozen
class ReplicaItem:
    """Hold one item as the store has it; no data means that it was deleted."""

    key: str
    revision: Position
    data: bytes | None = None


@frozen
class ReplicaDelta:
    """Hold what a peer lacks; `is_snapshot` says that nothing else exists."""

    at: Position
    is_snapshot: bool
    items: tuple[ReplicaItem, ...]


class StateReplica:
    """Merge items by revision and tell what changed."""

    def __init__(self) -> None:
        self._items: dict[str, ReplicaItem] = {}
        self._forgotten: Position = 0
        self.at: Position = 0
        """The store's position up to which this copy is complete; 0: not yet."""
        self.news_at: Position = 0
        """Value of `at` when something last changed, so that peers need not ask for
        revisions that changed nothing here."""

    @property
    def known(self) -> bool:
        """Tell whether a whole copy was ever taken."""
        return self.at > 0

    def merge(
        self, items: Iterable[ReplicaItem], at: Position = 0
    ) -> tuple[ReplicaItem, ...]:
        """Take news in; return those that this copy did not know."""
        fresh = tuple(item for item in items if self._take(item))
        if self.known:
            self.at = max(self.at, at)
        self._note_news(fresh)
        return fresh

    def replace(
        self, items: Iterable[ReplicaItem], at: Position
    ) -> tuple[ReplicaItem, ...]:
        """Take a whole listing in that was begun at a revision.

        What the listing lacks and was last written before it is deleted. A listing
        that is older than this copy deletes nothing.
        """
        listed = {item.key: item for item in items}
        fresh = [item for item in listed.values() if self._take(item)]
        if at >= self.at:
            for key, item in list(self._items.items()):
                if key in listed or item.data is None or item.revision > at:
                    continue
                deleted = ReplicaItem(key, at)
                self._items[key] = deleted
                fresh.append(deleted)
            # What came and went before the listing is not in it. A peer that has seen
            # it come would keep it for good if it got the newest changes only.
            self._forgotten = at
            self.at = at
        self._prune()
        self._note_news(tuple(fresh))
        return tuple(fresh)

    def since(self, at: Position) -> ReplicaDelta:
        """Return what a copy that is complete up to a revision lacks."""
        whole = at < self._forgotten or at == 0
        items = (
            item
            for item in self._items.values()
            if (item.data is not None if whole else item.revision > at)
        )
        return ReplicaDelta(self.at, whole, tuple(items))

    def apply_delta(self, delta: ReplicaDelta) -> tuple[ReplicaItem, ...]:
        """Take in what a peer gave."""
        if delta.at == 0:
            return ()
        if delta.is_snapshot:
            return self.replace(delta.items, delta.at)
        return self.merge(delta.items, delta.at)

    def _take(self, item: ReplicaItem) -> bool:
        before = self._items.get(item.key)
        if before is not None and before.revision >= item.revision:
            return False
        if before is None and item.revision <= self.at:
            # The copy is complete up to there, so the item was deleted since. A peer's
            # answer that was overtaken by a listing would bring it back.
            return False
        self._items[item.key] = item
        return True

    def _note_news(self, fresh: tuple[ReplicaItem, ...]) -> None:
        if fresh:
            self.news_at = self.at

    def _prune(self) -> None:
        gone = [item for item in self._items.values() if item.data is None]
        if len(gone) <= KEPT_DELETIONS:
            return
        gone.sort(key=lambda item: item.revision)
        for item in gone[: len(gone) - KEPT_DELETIONS]:
            del self._items[item.key]
            self._forgotten = max(self._forgotten, item.revision)
