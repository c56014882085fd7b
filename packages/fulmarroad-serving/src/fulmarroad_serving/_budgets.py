"""Bounds that hold for the whole fleet although each router only knows itself.

Pattern of load: an outage or a cold start. A retry budget or a cold server's limit is
stated for all routers together; a router that asked others first would be wrong in
every partition, and operators would notice servers that are retried to death or fall
over while they warm up. So each router takes a fixed share of the bound, worked out
for a fleet that is larger than the one it knows.
"""

from __future__ import annotations

import math
from collections import deque

import xxhash
from attrs import define, field

from fulmarroad.types import RouterName, ServerName

FLEET_MARGIN = 1.5
"""Assumed routers over known ones: deployments add a third to a half at once."""

SMALLEST_FLEET = 6
"""Routers assumed while fewer are known: a router that has just started knows none."""

SHARE_USED = 0.9
"""Part of a bound that is spent; the rest covers calls that wait on the way."""

BUCKET_S = 0.5
"""Width of the buckets of a sliding window: a twentieth of the usual ten seconds."""


def assumed_routers(known: int) -> int:
    """Return how many routers may share a bound, given how many are known."""
    return max(SMALLEST_FLEET, math.ceil(FLEET_MARGIN * known))


@define
class SlidingSum:
    """Sum values over a sliding window, in buckets."""

    length_s: float
    _buckets: deque[list[float]] = field(factory=deque)

    def add(self, value: float, now: float) -> None:
        """Add a value at a time."""
        slot = math.floor(now / BUCKET_S)
        if self._buckets and self._buckets[-1][0] == slot:
            self._buckets[-1][1] += value
        else:
            self._buckets.append([slot, value])

    def total(self, now: float) -> float:
        """Return the sum of the window that ends now."""
        first = math.floor((now - self.length_s) / BUCKET_S)
        while self._buckets and self._buckets[0][0] < first:
            self._buckets.popleft()
        return sum(bucket[1] for bucket in self._buckets)


@define
class RetryShare:
    """Hold one router's share of a service's retry budget.

    In any window the fleet may send `ratio` retries for each request plus `burst`.
    The first part is paid by a router's own requests, so it adds up by itself; the
    burst is divided by the routers that may exist.
    """

    ratio: float
    window_s: float
    burst: float
    _requests: SlidingSum = field(init=False)
    _retries: SlidingSum = field(init=False)

    def __attrs_post_init__(self) -> None:
        self._requests = SlidingSum(self.window_s)
        # A bucket more than the window, so that no sliding window sees more.
        self._retries = SlidingSum(self.window_s + BUCKET_S)

    def note_request(self, now: float) -> None:
        """Count a caller's request."""
        self._requests.add(1.0, now)

    def allows(self, now: float, routers: int) -> bool:
        """Tell whether there is a retry to take."""
        paid = self.ratio * self._requests.total(now)
        allowed = SHARE_USED * (paid + self.burst / assumed_routers(routers))
        return self._retries.total(now) + 1.0 <= allowed

    def take(self, now: float, routers: int) -> bool:
        """Take one retry; tell whether there was one."""
        if not self.allows(now, routers):
            return False
        self._retries.add(1.0, now)
        return True


COLD_WINDOW_S = 1.2
"""The bound counts any second of arrivals; the fifth covers uneven ways."""


@define
class ColdShare:
    """Hold one router's share of what a cold server bears in a second."""

    bound: float  # calls of all routers in a second
    _sent: deque[float] = field(factory=deque)
    _ranked: list[RouterName] = field(factory=list)
    _rank: int = 0  # of this router among those

    def allows(
        self, server: ServerName, me: RouterName, routers: list[RouterName], now: float
    ) -> bool:
        """Tell whether one more call may go to the server now.

        Where there are more routers than calls, the first in the server's hash order
        get one each: all others would each send "only one" as well.
        """
        while self._sent and self._sent[0] <= now - COLD_WINDOW_S:
            self._sent.popleft()
        spent = SHARE_USED * self.bound
        share = int(spent / assumed_routers(len(routers)))
        if share == 0 and self._rank_of(server, me, routers) < int(
            spent / FLEET_MARGIN
        ):
            share = 1
        return len(self._sent) < share

    def note(self, now: float) -> None:
        """Count a call that is sent."""
        self._sent.append(now)

    def _rank_of(
        self, server: ServerName, me: RouterName, routers: list[RouterName]
    ) -> int:
        if routers is not self._ranked:
            self._ranked = routers
            self._rank = _rank(server, me, routers)
        return self._rank


def _rank(server: ServerName, me: RouterName, routers: list[RouterName]) -> int:
    def weight(name: RouterName) -> int:
        return xxhash.xxh3_64_intdigest(f"cold\0{server}\0{name}".encode())

    mine = weight(me)
    return sum(1 for name in routers if weight(name) > mine)
