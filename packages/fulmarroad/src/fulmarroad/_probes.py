"""Order of probes, the probe in progress, and probes relayed for other members."""

from __future__ import annotations

import random
from collections.abc import Collection

from attrs import define, frozen

from fulmarroad._messages import PingRequest
from fulmarroad.types import RouterName

RELAY_TIMEOUT_S = 2.0
"""How long an answer is relayed to the member that requested it, in seconds."""


@define
class Probe:
    """Hold the state of the probe in progress."""

    target: RouterName
    sequence: int
    sent: float
    indirect_probe_sent: bool = False  # other members have been asked to probe it too


class ProbeOrder:
    """Iterate over all members in random order, reshuffled after each round.

    With an independent random choice each time, a dead member would occasionally not
    be probed for as long as several rounds take.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._remaining: list[RouterName] = []

    def next(self, members: Collection[RouterName]) -> RouterName | None:
        """Return the member whose turn it is."""
        while self._remaining:
            router = self._remaining.pop()
            if router in members:
                return router
        self._remaining = sorted(members)
        self._rng.shuffle(self._remaining)
        return self._remaining.pop() if self._remaining else None


@frozen
class _Relay:
    request: PingRequest
    expires_at: float


class Relays:
    """Keep the ping requests of other members that wait for an answer."""

    def __init__(self) -> None:
        self._pending: dict[int, _Relay] = {}

    def add(self, sequence: int, request: PingRequest, now: float) -> None:
        """Add a request that was relayed as a probe with this sequence number."""
        self._pending[sequence] = _Relay(request, now + RELAY_TIMEOUT_S)

    def finish(self, sequence: int) -> PingRequest | None:
        """Remove and return the request that an answer belongs to, or None."""
        relay = self._pending.pop(sequence, None)
        return relay.request if relay else None

    def expire(self, now: float) -> None:
        """Drop the requests that waited longer than `RELAY_TIMEOUT_S`."""
        for sequence in [
            key for key, row in self._pending.items() if now >= row.expires_at
        ]:
            del self._pending[sequence]
