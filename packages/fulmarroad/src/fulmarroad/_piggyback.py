"""Selection of the updates that are piggybacked on the next membership packet."""

from __future__ import annotations

import math
from collections.abc import Iterable

from attrs import define

from fulmarroad._messages import MemberUpdate
from fulmarroad.types import MemberState, RouterName

PACKET_BYTES = 1200
"""Maximum packet size, below every usual MTU.

A fragmented packet is lost as a whole if one of its fragments is lost.
"""

MAX_UPDATE_BYTES = 880
"""Maximum size of the updates in a packet; the rest is header, names and tag."""

RETRANSMIT_FACTOR = 2
"""Number of times that each router sends an update, per doubling of the members.

Gossip reaches all of n members if each sends an update about log n times. With half of
this value, some of nine members missed a dead state and detected it by their own
probes, ten seconds late.
"""


def update_size(update: MemberUpdate) -> int:
    """Return an upper bound of an update's encoded size in bytes."""
    texts = (update.router, update.data_centre, update.host)
    numbers = 1 + 9 + 9 + 3 + 3  # row, state, incarnation, two ports
    return numbers + sum(len(text.encode()) + 2 for text in texts)


def fit_updates(
    updates: Iterable[MemberUpdate], free_bytes: int
) -> tuple[MemberUpdate, ...]:
    """Return the first updates that fit into `free_bytes`, one for each VM."""
    chosen: dict[RouterName, MemberUpdate] = {}
    for update in updates:
        if update.router in chosen:
            continue
        free_bytes -= update_size(update)
        if free_bytes < 0:
            break
        chosen[update.router] = update
    return tuple(chosen.values())


def retransmit_limit(members: int) -> int:
    """Return how often a router sends an update, by the number of members."""
    return RETRANSMIT_FACTOR * math.ceil(math.log2(members + 1))


@define
class _Queued:
    update: MemberUpdate
    sent: int = 0


class UpdateQueue:
    """Hold the updates to spread; the least often sent ones go first."""

    def __init__(self) -> None:
        self._queued: dict[RouterName, _Queued] = {}

    def add(self, update: MemberUpdate) -> None:
        """Queue an update; it replaces an older one of the same VM."""
        self._queued[update.router] = _Queued(_without_address_if_dead(update))

    def clear(self) -> None:
        """Drop all queued updates."""
        self._queued.clear()

    def take_for_packet(
        self,
        first: list[MemberUpdate],
        members: int,
        free_bytes: int = MAX_UPDATE_BYTES,
    ) -> tuple[MemberUpdate, ...]:
        """Return the updates for one packet: `first`, then queued ones that fit."""
        ordered = sorted(self._queued.values(), key=lambda queued: queued.sent)
        queued_updates = [queued.update for queued in ordered]
        chosen = fit_updates(first + queued_updates, free_bytes)
        for update in chosen:
            self._count_sent(update, retransmit_limit(members))
        return chosen

    def _count_sent(self, update: MemberUpdate, limit: int) -> None:
        queued = self._queued.get(update.router)
        if queued is None or queued.update != update:
            return
        queued.sent += 1
        if queued.sent >= limit:
            del self._queued[update.router]


def _without_address_if_dead(update: MemberUpdate) -> MemberUpdate:
    if update.state is not MemberState.DEAD:
        return update
    return MemberUpdate(update.router, update.incarnation, update.state)
