"""Share of new work that each data centre gets when it leaves service and returns.

Failure patterns: operators take a data centre out of service at short notice and bring
it back; a faulty link or a script takes it out of service and back many times. A data
centre that leaves must get no new work from then on. Without a ramp, every router
immediately sends its requests to the returned servers, which are cold, and their queues
grow while warm servers elsewhere idle. Without damping, a flapping data centre moves
the load of the fleet back and forth, and each move costs caches and warmth on both
sides; the time to the first token then rises with each version of the tables. Leaving
is therefore immediate, returning is slow, and repeated returns are slower still.
"""

from __future__ import annotations

import enum

import xxhash
from attrs import define, field, frozen

from fulmarroad._tables import Tables
from fulmarroad.types import DataCentreName

HOLD_BASE_S = 2.0
"""Time that a data centre must be in service before it gets work. New tables need this
long to take effect on most routers; before that, only some routers would send it
work."""

HOLD_CAP_S = 64.0
"""Maximum hold. A data centre that flaps for a quarter of an hour loses about one
minute after its last return, which callers elsewhere don't notice."""

FLAP_WINDOW_S = 600.0
"""Period in which departures count as flapping. Planned work takes a data centre out of
service a few times a year, so twice in ten minutes is not planned."""

RAMP_S = 20.0
"""Time from the first work to the full share, about the ramp of a server whose answers
take two seconds (`ramp_time`), so that the load grows no faster than the servers warm
up."""

INITIAL_SHARE = 0.1
"""Share at the start of the ramp: cold servers need some work to warm up."""

MAX_DEPARTURES = 8
"""Maximum number of departures remembered; the hold reaches its cap with fewer."""

HASH_RANGE = 2**64


class CentreState(enum.StrEnum):
    """Describe how far a data centre has returned to service."""

    OUT = "out"
    HELD = "held"
    RAMPING = "ramping"
    IN = "in"


@frozen
class CentreChange:
    """Describe a data centre's change of state and its cause."""

    data_centre: DataCentreName
    before: CentreState
    after: CentreState
    cause: str


@define
class _Centre:
    state: CentreState = CentreState.OUT
    departures: list[float] = field(factory=list)
    ramp_starts_at: float = 0.0  # end of the hold, when the ramp begins


class CentreShift:
    """Track the state of every data centre from the tables and the time."""

    def __init__(self) -> None:
        self._centres: dict[DataCentreName, _Centre] = {}

    def update(self, tables: Tables, now: float) -> tuple[CentreChange, ...]:
        """Apply the tables in force and return the changes of state.

        Data centres that the first tables have in service are `IN` at once: a router
        that has just started can't recognise a return, and the ramps of the servers
        protect them.
        """
        first_tables = not self._centres
        changes: list[CentreChange] = []
        for name in sorted(self._centres.keys() | tables.data_centres.keys()):
            centre = self._centres.setdefault(name, _Centre())
            if not tables.in_service(name):
                changes += _mark_departed(name, centre, now)
            elif first_tables:
                changes += _set_state(
                    name, centre, CentreState.IN, "in the first tables"
                )
            elif centre.state is CentreState.OUT:
                changes += _mark_returned(name, centre, now)
        return (*changes, *self.tick(now))

    def tick(self, now: float) -> tuple[CentreChange, ...]:
        """Advance the data centres whose hold or ramp has ended; return the changes."""
        changes: list[CentreChange] = []
        for name, centre in self._centres.items():
            if centre.state is CentreState.HELD:
                changes += self._advance_held(name, centre, now)
            if (
                centre.state is CentreState.RAMPING
                and now >= centre.ramp_starts_at + RAMP_S
            ):
                changes += _set_state(name, centre, CentreState.IN, "ramp ended")
        return tuple(changes)

    def state(self, data_centre: DataCentreName) -> CentreState:
        """Return the state of a data centre as of the last update or tick."""
        centre = self._centres.get(data_centre)
        return CentreState.OUT if centre is None else centre.state

    def share(self, data_centre: DataCentreName, now: float) -> float:
        """Return the share of its usual new work that a data centre gets, from 0 to 1.

        During the ramp it is also 1 if no other data centre takes work.
        """
        share = self._ramp_share(data_centre, now)
        if share > 0 and not self._others_accept_work(data_centre):
            return 1.0
        return share

    def takes_work(self, data_centre: DataCentreName, now: float) -> bool:
        """Return whether a data centre takes any new work."""
        return self.share(data_centre, now) > 0

    def accepts(self, data_centre: DataCentreName, key: str, now: float) -> bool:
        """Return whether a data centre accepts one request, by the hash of its id.

        A request that is accepted at one share is accepted at every higher one.
        """
        fraction = (
            xxhash.xxh3_64_intdigest(f"{data_centre}\0{key}".encode()) / HASH_RANGE
        )
        return fraction < self.share(data_centre, now)

    def _ramp_share(self, name: DataCentreName, now: float) -> float:
        centre = self._centres.get(name)
        if centre is None or centre.state in (CentreState.OUT, CentreState.HELD):
            return 0.0
        if centre.state is CentreState.IN:
            return 1.0
        elapsed = max(0.0, now - centre.ramp_starts_at) / RAMP_S
        return min(1.0, INITIAL_SHARE + (1 - INITIAL_SHARE) * elapsed)

    def _advance_held(
        self, name: DataCentreName, centre: _Centre, now: float
    ) -> tuple[CentreChange, ...]:
        if now >= centre.ramp_starts_at:
            return _set_state(name, centre, CentreState.RAMPING, "hold ended")
        if not self._others_accept_work(name):
            # A hold would idle the only data centre while requests wait.
            centre.ramp_starts_at = now
            return _set_state(name, centre, CentreState.RAMPING, "no other takes work")
        return ()

    def _others_accept_work(self, data_centre: DataCentreName) -> bool:
        return any(
            centre.state in (CentreState.RAMPING, CentreState.IN)
            for name, centre in self._centres.items()
            if name != data_centre
        )


def hold_time(departures: int) -> float:
    """Return the hold in seconds for a number of recent departures."""
    return min(HOLD_CAP_S, HOLD_BASE_S * 2.0 ** max(0, departures - 1))


def _mark_departed(
    name: DataCentreName, centre: _Centre, now: float
) -> tuple[CentreChange, ...]:
    if centre.state is CentreState.OUT:
        return ()
    recent = [at for at in centre.departures if now - at < FLAP_WINDOW_S]
    centre.departures = [*recent, now][-MAX_DEPARTURES:]
    return _set_state(name, centre, CentreState.OUT, "tables took it out")


def _mark_returned(
    name: DataCentreName, centre: _Centre, now: float
) -> tuple[CentreChange, ...]:
    recent = [at for at in centre.departures if now - at < FLAP_WINDOW_S]
    centre.ramp_starts_at = now + hold_time(len(recent))
    cause = f"tables brought it back, departure {len(recent)} of late"
    return _set_state(name, centre, CentreState.HELD, cause)


def _set_state(
    name: DataCentreName, centre: _Centre, after: CentreState, cause: str
) -> tuple[CentreChange, ...]:
    before = centre.state
    centre.state = after
    return (CentreChange(name, before, after, cause),)
