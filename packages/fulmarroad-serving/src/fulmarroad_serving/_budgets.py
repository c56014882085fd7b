"""Enforce limits of the whole fleet without coordination between routers.

Load pattern: an outage or a cold start. A retry budget or a cold server's limit applies
to all routers together. A router that had to ask others first would be wrong in every
network partition; the symptoms are servers that are overloaded by retries or fail while
they warm up. So each router uses a fixed share of the limit, computed for a fleet that
is larger than the one it knows. Of a cold server's limit a part is dealt out by its
owner.
"""

from __future__ import annotations

import enum
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

OWNED_CONNECTIONS_FRACTION = 0.25
"""Fraction of a server's connections that its owner deals out with places, beyond the
shares of all routers. Those of the known routers use two thirds."""

BUCKET_S = 0.5
"""Bucket width of a sliding window: a twentieth of the usual ten seconds."""


def assumed_routers(known: int) -> int:
    """Return the number of routers assumed to share a limit, by the known number."""
    return max(MIN_ASSUMED_ROUTERS, math.ceil(FLEET_MARGIN * known))


def connection_share(max_connections: int, routers: int) -> int:
    """Return how many of a server's connections one router may open by itself."""
    return max(1, math.floor(max_connections / assumed_routers(routers)))


def may_open_more(max_connections: int, running: int) -> bool:
    """Return whether a call may use a connection beyond its router's share.

    `running` calls are known to the server's owner. Each needs one connection at most.
    """
    return running < OWNED_CONNECTIONS_FRACTION * max_connections


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


OWNER_FRACTION = 0.45
SHARED_FRACTION = 0.3
"""Fractions of a cold server's limit that its owner deals out by demand, and that all
routers share by rank. While routers disagree there are two owners for a moment; both of
them and the shares together stay within the limit."""


class ColdBudget(enum.Enum):
    """State by which part of a cold server's limit a call is sent."""

    SHARE = 0  # this router's
    OWNER = 1  # dealt out by this router, as the server's owner
    GRANTED = 2  # dealt out by another router, its owner


@define
class ColdLimit:
    """Hold one router's part in the limit on a cold server's calls.

    Load pattern: servers restart cold, and all calls of some workspaces come to one
    router. If the whole limit were dealt out by router, that one could send a sixtieth
    of what cold servers bear, whatever it needs. So the owner deals out a part.
    """

    bound: float  # calls of all routers in a second
    _sent: deque[float] = field(factory=deque)
    _dealt_out: deque[float] = field(factory=deque)  # as the owner
    _ranked: list[RouterName] = field(factory=list)
    _rank: int = 0  # of this router in `_ranked`

    def allows(
        self, server: ServerName, me: RouterName, routers: list[RouterName], now: float
    ) -> bool:
        """Return whether one more call of this router's share may go there now.

        If there are more routers than allowed calls, only the first routers in the
        server's hash order may send one call each: a minimum of one call for every
        router would exceed the limit.
        """
        shared = SHARED_FRACTION * USABLE_FRACTION * self.bound
        share = int(shared / assumed_routers(len(routers)))
        if share == 0 and self._rank_of(server, me, routers) < self._single_calls:
            share = 1
        return _count(self._sent, now) < share

    def owner_allows(self, now: float) -> bool:
        """Return whether the server's owner may deal out one more call now."""
        usable = USABLE_FRACTION * self.bound
        return _count(self._dealt_out, now) < int(OWNER_FRACTION * usable)

    def note(self, budget: ColdBudget, now: float) -> None:
        """Record a call that is sent."""
        if budget is ColdBudget.SHARE:
            self._sent.append(now)
        elif budget is ColdBudget.OWNER:
            self._dealt_out.append(now)

    @property
    def _single_calls(self) -> int:
        """Return how many routers may send one call each if not all may."""
        usable = USABLE_FRACTION * self.bound
        return max(int(SHARED_FRACTION * usable / FLEET_MARGIN), min(1, int(usable)))

    def _rank_of(
        self, server: ServerName, me: RouterName, routers: list[RouterName]
    ) -> int:
        if routers is not self._ranked:
            self._ranked = routers
            self._rank = _rank(server, me, routers)
        return self._rank


def _count(times: deque[float], now: float) -> int:
    """Drop what is older than the window and return the number of the rest."""
    while times and times[0] <= now - COLD_WINDOW_S:
        times.popleft()
    return len(times)


def _rank(server: ServerName, me: RouterName, routers: list[RouterName]) -> int:
    def weight(name: RouterName) -> int:
        return xxhash.xxh3_64_intdigest(f"cold\0{server}\0{name}".encode())

    own_weight = weight(me)
    return sum(1 for name in routers if weight(name) > own_weight)
