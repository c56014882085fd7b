"""Which news ride on the next membership packet."""

from __future__ import annotations

import math
from collections.abc import Iterable

from attrs import define

from fulmarroad._messages import MemberUpdate
from fulmarroad.types import MemberState, RouterName

PACKET_BYTES = 1200
"""Largest packet: below every usual MTU, as one lost fragment loses all of them."""

UPDATE_BYTES = 880
"""Room for updates in a packet; the rest is for the header, names and the tag."""

RETRANSMIT_FACTOR = 2
"""Times that each router repeats an update, for each doubling of the members.

Epidemics reach all of n members when each repeats about log n times. At half of this
some of nine members missed a death and found it by their own probes, ten seconds late.
"""


def update_size(update: MemberUpdate) -> int:
    """Return an upper bound of the bytes that an update takes in a packet."""
    texts = (update.router, update.data_centre, update.host)
    numbers = 1 + 9 + 9 + 3 + 3  # row, state, incarnation, two ports
    return numbers + sum(len(text.encode()) + 2 for text in texts)


def fitting(updates: Iterable[MemberUpdate], room: int) -> tuple[MemberUpdate, ...]:
    """Return the leading updates that fit into some bytes, one for each VM."""
    chosen: dict[RouterName, MemberUpdate] = {}
    for update in updates:
        if update.router in chosen:
            continue
        room -= update_size(update)
        if room < 0:
            break
        chosen[update.router] = update
    return tuple(chosen.values())


def retransmits(members: int) -> int:
    """Return how often an update is repeated among so many members."""
    return RETRANSMIT_FACTOR * math.ceil(math.log2(members + 1))


@define
class _Queued:
    update: MemberUpdate
    sent: int = 0


class UpdateQueue:
    """Hold the news that still have to be spread, the least spread first."""

    def __init__(self) -> None:
        self._queued: dict[RouterName, _Queued] = {}

    def add(self, update: MemberUpdate) -> None:
        """Spread an update in place of an older one of the same VM."""
        self._queued[update.router] = _Queued(_without_address_if_dead(update))

    def clear(self) -> None:
        """Drop all news."""
        self._queued.clear()

    def take(
        self, first: list[MemberUpdate], members: int, room: int = UPDATE_BYTES
    ) -> tuple[MemberUpdate, ...]:
        """Return the updates for one packet: those that must go first, then news."""
        ordered = sorted(self._queued.values(), key=lambda queued: queued.sent)
        news = [queued.update for queued in ordered]
        chosen = fitting(first + news, room)
        for update in chosen:
            self._count(update, retransmits(members))
        return chosen

    def _count(self, update: MemberUpdate, limit: int) -> None:
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
