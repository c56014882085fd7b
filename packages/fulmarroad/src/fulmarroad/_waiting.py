"""The demands that wait at this router, each with the shard that was asked for it."""

from __future__ import annotations

from collections.abc import Iterator

from attrs import define, field

from fulmarroad import _messages as m
from fulmarroad._following import Waiting
from fulmarroad.types import ShardId


@define
class WaitingDemands:
    """Hold the waiting demands of one router by their id."""

    _rows: dict[str, Waiting] = field(factory=dict)

    def __len__(self) -> int:
        """Return how many demands wait."""
        return len(self._rows)

    def __iter__(self) -> Iterator[Waiting]:
        """Return the demands as they are now; they may be taken out meanwhile."""
        return iter(list(self._rows.values()))

    @property
    def shards(self) -> set[ShardId | None]:
        """Return the shards that were asked."""
        return {row.shard for row in self._rows.values()}

    def add(self, waiting: Waiting) -> None:
        """Hold a demand."""
        self._rows[waiting.ask.demand_id] = waiting

    def pop(self, demand_id: str) -> Waiting | None:
        """Take a demand out, if it waits."""
        return self._rows.pop(demand_id, None)

    def at(self, shard: ShardId, demand_id: str) -> Waiting | None:
        """Return a demand, if it waits and that shard was asked for it."""
        waiting = self._rows.get(demand_id)
        return waiting if waiting is not None and waiting.shard == shard else None

    def snapshot(self, shard: ShardId, now: float) -> tuple[m.Demand, ...]:
        """Return the demands of a shard as its scheduler gets them now."""
        return tuple(row.demand(now) for row in self if row.shard == shard)

    def overdue(self, now: float) -> list[Waiting]:
        """Return the demands whose deadline has passed."""
        return [row for row in self if row.ask.deadline <= now]
