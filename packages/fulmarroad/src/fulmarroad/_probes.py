"""Whom to probe next, which probe is open, and for whom an answer is passed on."""

from __future__ import annotations

import random
from collections.abc import Collection

from attrs import define, frozen

from fulmarroad._messages import PingRequest
from fulmarroad.types import RouterName

RELAY_S = 2.0
"""How long an answer is still passed on to the member that asked, in seconds."""


@define
class Probe:
    """Hold the probe of this period."""

    target: RouterName
    sequence: int
    sent: float
    indirect_probe_sent: bool = False  # other members have been asked to probe it too


class ProbeOrder:
    """Go round all members in a random order, so that none waits long for its probe.

    Picking one at random each time would leave a dead member unprobed for several
    times the number of members in periods, now and then.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._round: list[RouterName] = []

    def next(self, members: Collection[RouterName]) -> RouterName | None:
        """Return the member whose turn it is."""
        while self._round:
            router = self._round.pop()
            if router in members:
                return router
        self._round = sorted(members)
        self._rng.shuffle(self._round)
        return self._round.pop() if self._round else None


@frozen
class _Relay:
    request: PingRequest
    until: float


class Relays:
    """Remember whose ping requests wait for an answer."""

    def __init__(self) -> None:
        self._open: dict[int, _Relay] = {}

    def add(self, sequence: int, request: PingRequest, now: float) -> None:
        """Remember a request that went out as a probe with a sequence number."""
        self._open[sequence] = _Relay(request, now + RELAY_S)

    def answered(self, sequence: int) -> PingRequest | None:
        """Return the request that an answer belongs to."""
        relay = self._open.pop(sequence, None)
        return relay.request if relay else None

    def expire(self, now: float) -> None:
        """Drop requests whose answer would come too late."""
        for sequence in [key for key, row in self._open.items() if now >= row.until]:
            del self._open[sequence]
