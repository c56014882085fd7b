"""Decide how much new work a data centre takes while it leaves and returns.

Patterns of failure: operators take a data centre out at short notice and bring it
back; a faulty link or a script takes it out and in many times. Without the first rule
work still goes where it may not. Without a ramp every router turns to the returned
servers at once, which are cold, and their queues grow while warm ones elsewhere idle.
Without damping a data centre that flaps pulls the fleet to and fro, and each swing
costs caches and warmth on both sides; operators would notice first-token times that
rise in step with the table's versions. Leaving is immediate, returning is slow, and
returning often is slower still.
"""

from __future__ import annotations

import enum

import xxhash
from attrs import define, field, frozen

from fulmarroad._tables import Tables
from fulmarroad.types import DataCentreName

HOLD_BASE_S = 2.0
"""How long a data centre must stay in before it takes work: as long as a new table
needs to be in force on most routers, so that none sends work where others don't."""

HOLD_CAP_S = 64.0
"""Longest hold. A data centre that flaps for a quarter of an hour loses about one
minute after its last return, which callers elsewhere don't notice."""

FLAP_WINDOW_S = 600.0
"""Departures within this time count as flaps. Planned work takes a data centre out a
few times a year; twice in ten minutes is no plan."""

RAMP_S = 20.0
"""Time from the first work to a full share, about the ramp of a server whose answers
take two seconds (`ramp_time`), so that demand arrives no faster than warmth."""

FIRST_SHARE = 0.1
"""Share at the start of the ramp; cold servers need some work to warm up at all."""

MOST_DEPARTURES = 8
"""Departures remembered; the hold is at its cap well before."""

HASH_RANGE = 2**64


class CentreState(enum.StrEnum):
    """Say how far a data centre has come back."""

    OUT = "out"
    HELD = "held"
    RAMPING = "ramping"
    IN = "in"


@frozen
class CentreChange:
    """Say that a data centre changed state, and why."""

    data_centre: DataCentreName
    before: CentreState
    after: CentreState
    cause: str


@define
class _Centre:
    state: CentreState = CentreState.OUT
    departures: list[float] = field(factory=list)
    from_s: float = 0.0  # end of the hold, when the ramp begins


class CentreShift:
    """Hold the state of every data centre as the tables and the time give it."""

    def __init__(self) -> None:
        self._centres: dict[DataCentreName, _Centre] = {}

    def update(self, tables: Tables, now: float) -> tuple[CentreChange, ...]:
        """Take the tables in force.

        What the first tables have in service is in at once: a router without memory
        can't tell a return, and the servers' own ramps protect them.
        """
        first = not self._centres
        changes: list[CentreChange] = []
        for name in sorted(self._centres.keys() | tables.data_centres.keys()):
            centre = self._centres.setdefault(name, _Centre())
            if not tables.in_service(name):
                changes += _leave(name, centre, now)
            elif first:
                changes += _turn(name, centre, CentreState.IN, "in the first tables")
            elif centre.state is CentreState.OUT:
                changes += _return(name, centre, now)
        return (*changes, *self.tick(now))

    def tick(self, now: float) -> tuple[CentreChange, ...]:
        """Move on the data centres whose hold or ramp has ended."""
        changes: list[CentreChange] = []
        for name, centre in self._centres.items():
            if centre.state is CentreState.HELD:
                changes += self._tick_held(name, centre, now)
            if centre.state is CentreState.RAMPING and now >= centre.from_s + RAMP_S:
                changes += _turn(name, centre, CentreState.IN, "ramp ended")
        return tuple(changes)

    def state(self, data_centre: DataCentreName) -> CentreState:
        """Return a data centre's state as of the last update or tick."""
        centre = self._centres.get(data_centre)
        return CentreState.OUT if centre is None else centre.state

    def share(self, data_centre: DataCentreName, now: float) -> float:
        """Return which part of its usual new work a data centre takes, 0 to 1.

        The only data centre that takes work takes all of it.
        """
        own = self._ramp_share(data_centre, now)
        if own > 0 and not self._others_take_work(data_centre):
            return 1.0
        return own

    def takes_work(self, data_centre: DataCentreName, now: float) -> bool:
        """Tell whether a data centre takes any new work."""
        return self.share(data_centre, now) > 0

    def takes(self, data_centre: DataCentreName, key: str, now: float) -> bool:
        """Tell whether one request may go to a data centre, by hash of its id.

        A request that may go at one share may go at every higher one.
        """
        point = xxhash.xxh3_64_intdigest(f"{data_centre}\0{key}".encode()) / HASH_RANGE
        return point < self.share(data_centre, now)

    def _ramp_share(self, name: DataCentreName, now: float) -> float:
        centre = self._centres.get(name)
        if centre is None or centre.state in (CentreState.OUT, CentreState.HELD):
            return 0.0
        if centre.state is CentreState.IN:
            return 1.0
        passed = max(0.0, now - centre.from_s) / RAMP_S
        return min(1.0, FIRST_SHARE + (1 - FIRST_SHARE) * passed)

    def _tick_held(
        self, name: DataCentreName, centre: _Centre, now: float
    ) -> tuple[CentreChange, ...]:
        if now >= centre.from_s:
            return _turn(name, centre, CentreState.RAMPING, "hold ended")
        if not self._others_take_work(name):
            # Holding the only one back would idle capacity while work waits.
            centre.from_s = now
            return _turn(name, centre, CentreState.RAMPING, "no other takes work")
        return ()

    def _others_take_work(self, data_centre: DataCentreName) -> bool:
        return any(
            centre.state in (CentreState.RAMPING, CentreState.IN)
            for name, centre in self._centres.items()
            if name != data_centre
        )


def hold_time(departures: int) -> float:
    """Return how long a data centre is held back, by its recent departures."""
    return min(HOLD_CAP_S, HOLD_BASE_S * 2.0 ** max(0, departures - 1))


def _leave(
    name: DataCentreName, centre: _Centre, now: float
) -> tuple[CentreChange, ...]:
    if centre.state is CentreState.OUT:
        return ()
    recent = [at for at in centre.departures if now - at < FLAP_WINDOW_S]
    centre.departures = [*recent, now][-MOST_DEPARTURES:]
    return _turn(name, centre, CentreState.OUT, "tables took it out")


def _return(
    name: DataCentreName, centre: _Centre, now: float
) -> tuple[CentreChange, ...]:
    recent = [at for at in centre.departures if now - at < FLAP_WINDOW_S]
    centre.from_s = now + hold_time(len(recent))
    cause = f"tables brought it back, departure {len(recent)} of late"
    return _turn(name, centre, CentreState.HELD, cause)


def _turn(
    name: DataCentreName, centre: _Centre, after: CentreState, cause: str
) -> tuple[CentreChange, ...]:
    before = centre.state
    centre.state = after
    return (CentreChange(name, before, after, cause),)
