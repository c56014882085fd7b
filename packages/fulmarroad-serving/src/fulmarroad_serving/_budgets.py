"""Enforce limits of the whole fleet without coordination between routers.

Load pattern: an outage or a cold start. A retry budget or a cold server's limit applies
to all routers together. A router that had to ask others first would be wrong in every
network partition; the symptoms are servers that are overloaded by retries or fail while
they warm up. So each router uses a fixed share of the limit, computed for a fleet that
is larger than the one it knows.
"""

from __future__ import annotations

import math
from collections import deque

import xxhash
from attrs import define, field

from fulmarroad.types import RouterName, ServerName

FLEET_MARGIN = 1.5
"""Ratio of assumed to known routers: deployments add a third to a half at once."""

MIN_ASSUMED_ROUTERS = 6
"""Minimum number of assumed routers: a router that has just started knows none."""

USABLE_FRACTION = 0.9
"""Fraction of a limit that is used; the rest covers calls delayed in transit."""

BUCKET_S = 0.5
"""Bucket width of a sliding window: a twentieth of the usual ten seconds."""


def assumed_routers(known: int) -> int:
    """Return the number of routers assumed to share a limit, by the known number."""
    return max(MIN_ASSUMED_ROUTERS, math.ceil(FLEET_MARGIN * known))


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
    Each router earns the first part with its own requests, so the sum stays within the
    budget; the burst is divided by the number of routers that may exist.
    """

    ratio: float
    window_s: float
    burst: float
    _requests: SlidingSum = field(init=False)
    _retries: SlidingSum = field(init=False)

    def __attrs_post_init__(self) -> None:
        self._requests = SlidingSum(self.window_s)
        # One bucket longer, so that no sliding window exceeds the limit.
        self._retries = SlidingSum(self.window_s + BUCKET_S)

    def note_request(self, now: float) -> None:
        """Count a caller's request."""
        self._requests.add(1.0, now)

    def allows(self, now: float, routers: int) -> bool:
        """Return whether a retry is left."""
        earned = self.ratio * self._requests.total(now)
        allowed = USABLE_FRACTION * (earned + self.burst / assumed_routers(routers))
        return self._retries.total(now) + 1.0 <= allowed

    def take(self, now: float, routers: int) -> bool:
        """Take one retry and return whether there was one."""
        if not self.allows(now, routers):
            return False
        self._retries.add(1.0, now)
        return True


COLD_WINDOW_S = 1.2
"""Window of the cold limit. The limit applies to the arrivals in any second; the extra
fifth covers uneven network delays."""


@define
class ColdShare:
    """Hold one router's share of the calls a second that a cold server can serve."""

    bound: float  # calls of all routers in a second
    _sent: deque[float] = field(factory=deque)
    _ranked: list[RouterName] = field(factory=list)
    _rank: int = 0  # of this router in `_ranked`

    def allows(
        self, server: ServerName, me: RouterName, routers: list[RouterName], now: float
    ) -> bool:
        """Return whether one more call may go to the server now.

        If there are more routers than allowed calls, only the first routers in the
        server's hash order may send one call each: a minimum of one call for every
        router would exceed the limit.
        """
        while self._sent and self._sent[0] <= now - COLD_WINDOW_S:
            self._sent.popleft()
        usable = USABLE_FRACTION * self.bound
        share = int(usable / assumed_routers(len(routers)))
        if share == 0 and self._rank_of(server, me, routers) < int(
            usable / FLEET_MARGIN
        ):
            share = 1
        return len(self._sent) < share

    def note(self, now: float) -> None:
        """Record a call that is sent."""
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

    own_weight = weight(me)
    return sum(1 for name in routers if weight(name) > own_weight)
