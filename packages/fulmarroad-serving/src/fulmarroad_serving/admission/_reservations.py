"""Hold the times at which refused callers are told to return.

Load pattern: a surge refuses hundreds of calls a second, and all of their callers
return. If many are given the same moment, they are a surge of their own; if they are
given all of the capacity, no new call is served. So each reservation takes a slot of
its own on a track that has a third of the capacity. Workspaces beyond their share have
a second track behind the first: their reservations give way to those of others.
"""

from __future__ import annotations

import enum
from collections import OrderedDict, defaultdict

from attrs import define, field, frozen

from fulmarroad.types import WorkspaceName
from fulmarroad_serving._catalog import ServiceName

EARLY_S = 0.1
"""Time before the reserved moment from which a return is in its window: callers round
the stated delay."""

LATE_S = 0.6
"""Time after it until which a return is in its window: it crosses two networks and may
have to open a connection."""

CAPACITY_FRACTION = 1.0 / 3.0
"""Fraction of the expected capacity that may be reserved. The rest is for first
attempts, and for an estimate that is wrong."""

MAX_RESERVATIONS = 2_048
"""Maximum number of open reservations, of all services together."""

RequestHash = float
"""Number that is the same for each attempt of a request, see `_fingerprints`."""


class Claim(enum.Enum):
    """State whether a call returns as it was told."""

    NONE = enum.auto()  # it has no reservation, or returns after its window
    EARLY = enum.auto()
    IN_WINDOW = enum.auto()


@frozen
class Reservation:
    """Hold the moment at which a refused call is expected again."""

    key: RequestHash
    service: ServiceName
    workspace: WorkspaceName
    units: float
    at: float
    slot_s: float  # time on the track that its units take
    gives_way: bool  # to reservations of workspaces within their share

    @property
    def window_end(self) -> float:
        """Return the time after which a return is too late."""
        return self.at + LATE_S


@frozen
class Refused:
    """Describe a refused call for which a moment is to be reserved."""

    key: RequestHash
    service: ServiceName
    workspace: WorkspaceName
    units: float
    turn_at: float  # earliest time at which it is worth returning
    latest_at: float  # last time to which its caller honours a delay
    rate: float  # units a second that the engines begin
    beyond_share: bool = False


@define
class _Track:
    until: float = float("-inf")  # end of the last slot
    rows: OrderedDict[RequestHash, Reservation] = field(factory=OrderedDict)


@define
class ReservationBook:
    """Reserve moments to return, and recognise the calls that do."""

    _rows: dict[RequestHash, Reservation] = field(factory=dict)
    _tracks: dict[tuple[ServiceName, bool], _Track] = field(factory=dict)
    _units: dict[WorkspaceName, float] = field(factory=lambda: defaultdict(float))

    def __len__(self) -> int:
        return len(self._rows)

    def moment_of(self, key: RequestHash) -> float | None:
        """Return the moment that is reserved for a call already."""
        row = self._rows.get(key)
        return None if row is None else row.at

    def reserve(self, refused: Refused, now: float) -> float | None:
        """Return the moment at which a call should return, or None without one.

        Call `drop_missed` before.
        """
        gives_way = refused.beyond_share or self._exceeds_part(refused, now)
        first = self._track(refused.service, gives_way=False)
        track = self._track(refused.service, gives_way=gives_way)
        at = max(refused.turn_at, now + EARLY_S, first.until, track.until)
        if at > refused.latest_at or not self._has_room(refused, gives_way=gives_way):
            return None
        slot_s = refused.units / (CAPACITY_FRACTION * refused.rate)
        row = Reservation(
            refused.key,
            refused.service,
            refused.workspace,
            refused.units,
            at,
            slot_s,
            gives_way,
        )
        if not gives_way:
            self._displace(row)
        track.until = at + slot_s
        track.rows[row.key] = self._rows[row.key] = row
        self._units[row.workspace] += row.units
        return at

    def claim(self, key: RequestHash, now: float) -> tuple[Claim, Reservation | None]:
        """Return whether a call returns in its window, and end its reservation then.

        The reservation of a call that is early remains for its next return.
        """
        row = self._rows.get(key)
        if row is None or now > row.window_end:
            return Claim.NONE, None
        if now < row.at - EARLY_S:
            return Claim.EARLY, row
        self._drop(row)
        return Claim.IN_WINDOW, row

    def drop_missed(self, now: float) -> list[Reservation]:
        """End and return the reservations whose window has passed."""
        missed = []
        for track in self._tracks.values():
            while track.rows:
                row = next(iter(track.rows.values()))
                if now <= row.window_end:
                    break
                self._drop(row)
                missed.append(row)
        return missed

    def _track(self, service: ServiceName, *, gives_way: bool) -> _Track:
        return self._tracks.setdefault((service, gives_way), _Track())

    def _exceeds_part(self, refused: Refused, now: float) -> bool:
        """Return whether a workspace would reserve more than an equal part.

        Before shares are counted, a surge of one workspace would take all moments. Room
        for one more workspace is always left.
        """
        reserved = self._units.get(refused.workspace, 0.0)
        if not reserved:
            return False
        left_s = max(0.0, refused.latest_at - now)
        units = CAPACITY_FRACTION * refused.rate * left_s
        return reserved + refused.units > units / max(2, len(self._units))

    def _has_room(self, refused: Refused, *, gives_way: bool) -> bool:
        if refused.rate <= 0 or refused.key in self._rows:
            return False
        if len(self._rows) < MAX_RESERVATIONS:
            return True
        last = self._track(refused.service, gives_way=True).rows
        if gives_way or not last:
            return False
        self._drop(next(reversed(last.values())))
        return True

    def _displace(self, row: Reservation) -> None:
        """Drop the reservations that give way and whose slots overlap another one."""
        track = self._track(row.service, gives_way=True)
        overlapping = []
        for other in track.rows.values():
            if other.at >= row.at + row.slot_s:
                break
            if other.at + other.slot_s > row.at:
                overlapping.append(other)
        for other in overlapping:
            self._drop(other)

    def _drop(self, row: Reservation) -> None:
        del self._rows[row.key]
        del self._tracks[row.service, row.gives_way].rows[row.key]
        self._units[row.workspace] -= row.units
        if self._units[row.workspace] <= 0:
            del self._units[row.workspace]
