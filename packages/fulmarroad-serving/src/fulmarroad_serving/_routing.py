"""Choose the server of a call: where its prompt is cached, unless that one is behind.

Pattern of load: prompts that share long parts, some of them asked for far more often.
Spread evenly, every engine reads every part again and again; sent to one home each, a
popular part overloads its engine. Operators would notice prompt tokens read several
times over, or one late engine among idle ones. Each part has the same order of servers
at every router, by rendezvous hashing, so routers agree without a message. A call goes
to a server that has its part as long as it begins there on time; only then to another
one that does, which has the part from then on, and the next calls count on that.
Reading 13,000 tokens again takes an engine a seventh of a second from everybody, so
beginning somewhat sooner is no reason for it, and in overload, with every engine
behind, parts stay where they are.
"""

from __future__ import annotations

import random
from collections import OrderedDict
from collections.abc import Sequence
from functools import lru_cache

import xxhash
from attrs import define, field, frozen

from fulmarroad.types import DataCentreName, ServerName

REMEMBERED_S = 12.0
"""How long a router counts on a part that it sent to a server: engines keep what was
used last, and a part that nobody used for longer may have gone."""

REMEMBERED_PARTS = 20_000
"""Pairs of part and server remembered; the oldest go first."""

SETTLED_S = 3.0
"""A server that started less long ago does not have its parts yet."""

ON_TIME_PART = 0.75
"""Part of the objective within which an estimate counts as on time; the rest is margin
for what other routers send at the same moment. Chosen, not measured."""

READ_AGAIN_WEIGHT = 2.0
"""Cost of reading a part again, in times of the reading itself, beside the prompt's own
wait: the engine's time is taken from all others there. With 0.6 and no limit on the
wait below, three kinds of day in the lab came to 0.005 to 0.03 less, and ten whole days
to 0.009 less on average (no processor time, one seed each)."""

SPREAD_WAIT_S = 0.05
"""Wait up to which an engine is asked to read a part that another one has: one that is
behind itself has no time for it. Set together with the weight above."""

OTHER_CENTRE_S = 0.003
"""Cost of leaving the data centre: both ways between two, and the bytes."""


@frozen
class Candidate:
    """Hold what placement knows of one server."""

    server: ServerName
    data_centre: DataCentreName
    age_s: float  # time since it started
    wait_s: float  # before a prompt is read there
    read_rate: float  # prompt tokens a second
    base_s: float  # first token of a cached prompt
    penalty_s: float = 0.0


@frozen
class Choice:
    """Say where a call goes and what is expected there."""

    server: ServerName
    wait_s: float
    read_s: float
    tokens: int  # prompt tokens to read there
    cached: bool
    copies: int = 0  # servers that have the part, by what this router knows


PartId = int


def part_id(part: str) -> PartId:
    """Return the number by which routers name a shared part to each other."""
    return xxhash.xxh3_64_intdigest(part.encode()) & 0xFFFFFFFF if part else 0


@define
class PartMemory:
    """Remember which servers were sent which shared part lately, by any router."""

    _seen: OrderedDict[tuple[PartId, ServerName], float] = field(factory=OrderedDict)
    _untold: dict[tuple[PartId, ServerName], None] = field(factory=dict)

    def send(self, part: PartId, server: ServerName, now: float) -> None:
        """Note that this router sent a part; peers are told of it once."""
        before = self._seen.get((part, server))
        self.note(part, server, now)
        if before is None or now - before > REMEMBERED_S / 2:
            self._untold[(part, server)] = None

    def news(self, most: int) -> tuple[tuple[PartId, ServerName], ...]:
        """Return what peers were not told yet, the oldest first."""
        pairs = tuple(self._untold)[:most]
        for pair in pairs:
            del self._untold[pair]
        return pairs

    def note(self, part: PartId, server: ServerName, now: float) -> None:
        """Note that a server was sent a part."""
        self._seen[(part, server)] = now
        self._seen.move_to_end((part, server))
        if len(self._seen) > REMEMBERED_PARTS:
            self._seen.popitem(last=False)

    def has(self, part: PartId, server: ServerName, now: float) -> bool:
        """Tell whether a server was sent a part lately."""
        at = self._seen.get((part, server))
        return at is not None and now - at < REMEMBERED_S

    def forget(self, server: ServerName) -> None:
        """Drop a server that started again."""
        for pair in [pair for pair in self._seen if pair[1] == server]:
            del self._seen[pair]


@lru_cache(maxsize=4096)
def _server_seed(server: ServerName) -> int:
    return xxhash.xxh3_64_intdigest(server.encode())


def home_order(part: PartId, servers: Sequence[ServerName]) -> list[ServerName]:
    """Return the servers in the order in which a part goes to them."""
    data = part.to_bytes(8, "big")
    return sorted(
        servers,
        key=lambda server: xxhash.xxh3_64_intdigest(data, _server_seed(server)),
        reverse=True,
    )


def choose_engine(
    part: PartId,
    shared_tokens: int,
    own_tokens: int,
    candidates: Sequence[Candidate],
    memory: PartMemory,
    centre: DataCentreName,
    objective_s: float,
    now: float,
    *,
    may_read_again: bool = True,
) -> Choice | None:
    """Return the server for a prompt, counting what each one has cached.

    A prompt that may not be read again goes where it is cached, however late: a
    workspace above its share would else take its surplus from everybody's engines.
    """
    if not candidates:
        return None
    order = home_order(part, [row.server for row in candidates]) if part else []
    place = {server: number for number, server in enumerate(order)}
    best: tuple[tuple[float, float, float], Candidate, int, bool] | None = None
    copies = 0
    for row in candidates:
        is_home = place.get(row.server) == 0
        cached = memory.has(part, row.server, now) or (
            is_home and row.age_s > SETTLED_S
        )
        copies += cached
        tokens = own_tokens if cached else own_tokens + shared_tokens
        cost = row.wait_s + row.base_s + tokens / row.read_rate + row.penalty_s
        if row.data_centre != centre:
            cost += OTHER_CENTRE_S
        late = cost > ON_TIME_PART * objective_s
        # On time goes first, then what is cached, then what begins soonest.
        again = 0.0 if cached else READ_AGAIN_WEIGHT * shared_tokens / row.read_rate
        if not may_read_again:
            key = (float(not cached), 0.0, cost)
        elif late or (not cached and row.wait_s > SPREAD_WAIT_S):
            key = (2.0, 0.0, cost + again)
        else:
            # A part that spreads goes to the same next server from every router, or
            # each of them would make another engine read it.
            spread = place.get(row.server, 0) if not cached else 0
            key = (float(not cached), float(spread), cost)
        if best is None or key < best[0]:
            best = (key, row, tokens, cached)
    assert best is not None
    _, row, tokens, cached = best
    read_s = row.base_s + tokens / row.read_rate
    return Choice(row.server, row.wait_s, read_s, tokens, cached, copies)


def choose_plain(
    candidates: Sequence[Candidate],
    centre: DataCentreName,
    source: random.Random,
) -> Choice | None:
    """Return the better of two servers picked at random.

    The least loaded one as many routers see it would get the next call of each.
    """
    if not candidates:
        return None
    pair = source.sample(candidates, 2) if len(candidates) > 1 else list(candidates)
    row = min(
        pair,
        key=lambda row: (
            row.wait_s
            + row.penalty_s
            + (OTHER_CENTRE_S if row.data_centre != centre else 0.0)
        ),
    )
    return Choice(row.server, row.wait_s, row.base_s, 0, True)
