"""Track the waiting demands of a router, each with the shard that it was sent to."""

from __future__ import annotations

from collections.abc import Iterator

from attrs import define, field

from fulmarroad import _messages as m
from fulmarroad._following import Waiting
from fulmarroad.types import ShardId


@define
class WaitingDemands:
    """Store the waiting demands of one router by demand id."""

    _by_id: dict[str, Waiting] = field(factory=dict)

    def __len__(self) -> int:
        """Return the number of waiting demands."""
        return len(self._by_id)

    def __iter__(self) -> Iterator[Waiting]:
        """Iterate over a copy, so that demands can be removed during the iteration."""
        return iter(list(self._by_id.values()))

    @property
    def shards(self) -> set[ShardId | None]:
        """Return the shards that demands were sent to."""
        return {row.shard for row in self._by_id.values()}

    def add(self, waiting: Waiting) -> None:
        """Add a demand."""
        self._by_id[waiting.ask.demand_id] = waiting

    def pop(self, demand_id: str) -> Waiting | None:
        """Remove and return a demand; return none if it does not wait."""
        return self._by_id.pop(demand_id, None)

    def at(self, shard: ShardId, demand_id: str) -> Waiting | None:
        """Return a demand; return none unless it waits and was sent to the shard."""
        waiting = self._by_id.get(demand_id)
        return waiting if waiting is not None and waiting.shard == shard else None

    def snapshot(self, shard: ShardId, now: float) -> tuple[m.Demand, ...]:
        """Return the demand messages to send to the scheduler of a shard now."""
        return tuple(row.demand(now) for row in self if row.shard == shard)

    def overdue(self, now: float) -> list[Waiting]:
        """Return the demands whose deadline has passed."""
        return [row for row in self if row.ask.deadline <= now]
