"""Copy of the platform's store that routers keep and pass to each other.

The store is the only writer. Every item carries its position in the store's history and
the highest position wins, so an item may arrive twice, late and from any router. A
store restored from an older copy continues at higher positions, although its revisions
are lower. A router that the store refuses reads the changes from a peer.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable

from attrs import frozen

from fulmarroad_serving._positions import Position, era_of

MAX_KEPT_DELETIONS = 512
"""Deletions kept for peers; a peer that misses an older one gets the whole copy."""


@frozen
class ReplicaItem:
    """Hold one item of the store; `data` is None for a deleted item."""

    key: str
    revision: Position
    data: bytes | None = None


@frozen
class ReplicaDelta:
    """Hold the items that a peer is missing.

    With `is_snapshot`, `items` is the whole copy and every other key is deleted.
    """

    at: Position
    is_snapshot: bool
    items: tuple[ReplicaItem, ...]


class StateReplica:
    """Merge items by position and return those that changed."""

    def __init__(self) -> None:
        self._items: dict[str, ReplicaItem] = {}
        self._pruned_up_to: Position = 0
        self.at: Position = 0
        """Position of the store up to which this copy is complete; 0 before the first
        listing."""
        self.news_at: Position = 0
        """Value of `at` at the last change of an item. Peers compare it with their own
        position and don't ask for revisions that changed nothing in this copy."""

    @property
    def known(self) -> bool:
        """Return whether a complete listing was ever received."""
        return self.at > 0

    def hides_changes(
        self, items: Iterable[ReplicaItem], at: Position, *, is_snapshot: bool
    ) -> bool:
        """Return whether items up to `at` may lack changes since this copy's position.

        Every change takes one revision. An item that came and went meanwhile, or that
        changed twice, takes one that a copy doesn't show.
        """
        if at <= self.at:
            return False
        if not self.known or era_of(at) != era_of(self.at):
            return True
        items = tuple(items)
        keys = {row.key for row in items}
        shown = {row.revision for row in items if self.at < row.revision <= at}
        deleted = self._count_deleted(keys, at) if is_snapshot else 0
        return len(shown) + deleted < at - self.at

    def _count_deleted(self, listed: Collection[str], at: Position) -> int:
        """Count the items that a listing up to `at` shows to be deleted."""
        return sum(
            row.data is not None and row.revision <= at and key not in listed
            for key, row in self._items.items()
        )

    def merge(
        self, items: Iterable[ReplicaItem], at: Position = 0
    ) -> tuple[ReplicaItem, ...]:
        """Merge changed items; return those that were new to this copy."""
        changed = tuple(item for item in items if self._accept(item))
        if self.known:
            self.at = max(self.at, at)
        self._note_change(changed)
        return changed

    def replace(
        self, items: Iterable[ReplicaItem], at: Position
    ) -> tuple[ReplicaItem, ...]:
        """Merge a complete listing as of position `at`; return the items that changed.

        A key that is not listed and was last written at or before `at` is deleted. A
        listing older than this copy deletes nothing.
        """
        listed = {item.key: item for item in items}
        changed = [item for item in listed.values() if self._accept(item)]
        if at >= self.at:
            for key, item in list(self._items.items()):
                if key in listed or item.data is None or item.revision > at:
                    continue
                deleted = ReplicaItem(key, at)
                self._items[key] = deleted
                changed.append(deleted)
            # The listing doesn't contain items that were created and deleted before it.
            # A peer that has such an item would keep it forever if it got only the
            # latest changes.
            self._pruned_up_to = at
            self.at = at
        self._prune()
        self._note_change(tuple(changed))
        return tuple(changed)

    def since(self, at: Position) -> ReplicaDelta:
        """Return the items missing from a copy that is complete up to `at`."""
        is_snapshot_needed = at < self._pruned_up_to or at == 0
        items = (
            item
            for item in self._items.values()
            if (item.data is not None if is_snapshot_needed else item.revision > at)
        )
        return ReplicaDelta(self.at, is_snapshot_needed, tuple(items))

    def apply_delta(self, delta: ReplicaDelta) -> tuple[ReplicaItem, ...]:
        """Merge a peer's delta; return the items that changed."""
        if delta.at == 0:
            return ()
        if delta.is_snapshot:
            return self.replace(delta.items, delta.at)
        return self.merge(delta.items, delta.at)

    def _accept(self, item: ReplicaItem) -> bool:
        before = self._items.get(item.key)
        if before is not None and before.revision >= item.revision:
            return False
        if before is None and item.revision <= self.at:
            # The copy is complete up to this position, so the item was deleted since. A
            # peer's answer that arrives after a newer listing must not bring it back.
            return False
        self._items[item.key] = item
        return True

    def _note_change(self, changed: tuple[ReplicaItem, ...]) -> None:
        if changed:
            self.news_at = self.at

    def _prune(self) -> None:
        deletions = [item for item in self._items.values() if item.data is None]
        if len(deletions) <= MAX_KEPT_DELETIONS:
            return
        deletions.sort(key=lambda item: item.revision)
        for item in deletions[: len(deletions) - MAX_KEPT_DELETIONS]:
            del self._items[item.key]
            self._pruned_up_to = max(self._pruned_up_to, item.revision)
