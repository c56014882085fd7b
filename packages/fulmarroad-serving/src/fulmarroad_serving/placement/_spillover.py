"""Find another owner for a call that its first owner can't place.

Load pattern: many calls for one part, or slow engines at one owner, while engines of
other owners have prefill capacity left. A call asks the owner of its part's best
servers and was refused if that owner had no place; the symptom is refusals while
engines idle. So owners tell the prompt tokens that their engines can begin soon, and a
refused call is sent on once to an owner with enough of them.

All routers hear the same reports. If each chose the owner with most spare capacity, it
would get the refused calls of scores of routers at once; the better of two random ones
spreads them (power of two choices). The owner that is asked still decides by its own,
newer state.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Collection, Sequence

from attrs import define, field, frozen

from fulmarroad.types import RouterName

BEGIN_WITHIN_S = 0.15
"""Wait within which an engine counts as having room for a prompt: a small part of every
objective that is long enough to ask a second owner."""

ROOM_MAX_AGE_S = 0.5
"""Age at which a reported room no longer counts. It covers three reports, or one lost
report and the way through two collectors."""

IN_FLIGHT_S = 0.02
"""Time before a room was heard in which a call may have been sent that isn't in it: the
way to the owner and back, with an iteration of its event loop."""

SEND_MARGIN_S = 0.02
"""Time reserved for asking the second owner and sending, besides the reading."""

MAX_OWNERS = 1_024
"""Maximum number of owners whose room is kept; names of packets are not trusted."""


@frozen
class OwnerRoom:
    """Hold the prompt tokens that an owner's engines can begin soon."""

    owner: RouterName
    tokens: int
    age_s: float = 0.0


def engine_room(wait_s: float, read_rate: float, *, is_full: bool) -> int:
    """Return the prompt tokens that an engine can begin within `BEGIN_WITHIN_S`.

    `wait_s` is the time before a new prompt is read, `read_rate` in tokens a second.
    """
    if is_full:
        return 0
    return round(max(0.0, BEGIN_WITHIN_S - wait_s) * read_rate)


def can_begin_on_time(left_s: float, read_s: float) -> bool:
    """Return whether a prompt can be read in the rest of its objective."""
    return left_s >= read_s + SEND_MARGIN_S


@frozen
class _Heard:
    tokens: int
    at: float
    has_engines: bool  # ever had room


@define
class SpareCapacity:
    """Keep the newest room of each owner, less what this router sent there since."""

    _rooms: dict[RouterName, _Heard] = field(factory=dict)
    _sent: dict[RouterName, deque[tuple[float, int]]] = field(factory=dict)
    """Times and tokens of calls that may not be in the newest room."""

    def note(self, owner: RouterName, tokens: int, at: float) -> None:
        """Record an owner's room as of a time, unless a newer one is known."""
        known = self._rooms.get(owner)
        if known is None and len(self._rooms) >= MAX_OWNERS:
            return
        if known is not None and known.at > at:
            return
        has_engines = tokens > 0 or (known is not None and known.has_engines)
        self._rooms[owner] = _Heard(max(0, tokens), at, has_engines)
        sent = self._sent.get(owner)
        while sent and sent[0][0] <= at - IN_FLIGHT_S:
            sent.popleft()

    def note_sent(self, owner: RouterName, tokens: int, now: float) -> None:
        """Record a call that is sent to an owner."""
        if owner in self._rooms:
            self._sent.setdefault(owner, deque()).append((now, tokens))

    def room(self, owner: RouterName, now: float) -> int:
        """Return the tokens that an owner's engines can likely still begin soon."""
        heard = self._rooms.get(owner)
        if heard is None or now - heard.at >= ROOM_MAX_AGE_S:
            return 0
        sent = sum(tokens for _, tokens in self._sent.get(owner, ()))
        return max(0, heard.tokens - sent)

    def has_room(
        self, tokens: int, now: float, without: Collection[RouterName] = ()
    ) -> bool:
        """Return whether any other owner has room for a prompt."""
        return any(
            owner not in without and self.room(owner, now) >= tokens
            for owner in self._rooms
        )

    def choose(
        self,
        owners: Sequence[RouterName],
        tokens: int,
        source: random.Random,
        now: float,
    ) -> RouterName | None:
        """Return the better of two random owners with enough room, or None."""
        rooms = {owner: self.room(owner, now) for owner in owners}
        enough = [owner for owner, room in rooms.items() if room >= tokens]
        if len(enough) > 2:
            enough = source.sample(enough, 2)
        return max(enough, key=rooms.__getitem__, default=None)

    def rows(self, now: float) -> list[OwnerRoom]:
        """Return the rooms that count, as heard, and drop the others.

        Routers that own no engine state no room and are not in it.
        """
        for owner, heard in list(self._rooms.items()):
            if now - heard.at >= ROOM_MAX_AGE_S:
                del self._rooms[owner]
                self._sent.pop(owner, None)
        return [
            OwnerRoom(owner, heard.tokens, max(0.0, now - heard.at))
            for owner, heard in self._rooms.items()
            if heard.has_engines
        ]
