"""Choose the server of a call: where its prompt is cached, unless that one is behind.

Pattern of load: prompts that share long parts, some of them asked for far more often.
Spread evenly, every engine reads every part again and again; sent to one home each, a
popular part overloads its engine. Operators would notice prompt tokens read several
times over, or one late engine among idle ones. Each part has the same order of servers
at every router, by rendezvous hashing, so routers agree without a message. A call goes
to a server that has its part as long as it begins there on time; only then to another
one that does, which has the part from then on, and the next calls count on that.
Reading 13,000 tokens again takes an engine a seventh of a second from everybody, so
beginning somewhat sooner is no reason for it, and in overload parts stay where they are
(`_engine_time`).

Engines that are linked fetch a part from each other instead of reading it: 5,400
tokens take some 13 ms, not 80. So each call names another engine that was sent its part
lately, also where the part is thought to be cached. With many long answers running, an
engine drops unused parts within a few seconds, and nobody is told.
"""

from __future__ import annotations

import random
from collections import OrderedDict
from collections.abc import Mapping, Sequence
from functools import lru_cache

import xxhash
from attrs import define, field, frozen

from fulmarroad.types import DataCentreName, ServerName
from fulmarroad_serving._engine_time import reading_price

REMEMBERED_S = 12.0
"""How long a router counts on a part that it sent to a server: engines keep what was
used last, and a part that nobody used for longer may have gone."""

ASKED_HALF_LIFE_S = 3.0
"""Time in which the count of a part's calls halves: a part that is asked for now will
likely be asked for while a new copy is kept."""

COUNTED_PARTS = 5_000
"""Parts whose calls are counted; those that nobody asked for go first."""

REMEMBERED_PAIRS = 20_000
"""Pairs of part and server remembered; the parts that nobody used go first."""

SETTLED_S = 3.0
"""A server that started less long ago does not have its parts yet."""

ON_TIME_PART = 0.75
"""Part of the objective within which an estimate counts as on time; the rest is margin
for what other routers send at the same moment."""

EVICTED_PART = 0.5
"""Part of its reading that a fetched copy costs others: it takes as much memory as one
that was read, and what goes for it has to be fetched or read again."""

FETCH_SETUP_S = 0.003
"""Time to open a fetch of a part from another engine, beside its bytes."""

NEVER = float("-inf")

NOBODY: Mapping[ServerName, float] = {}

OTHER_CENTRE_S = 0.003
"""Cost of leaving the data centre: both ways between two, and the bytes."""


PartId = int


@frozen
class Prompt:
    """Hold what the choice of an engine needs to know of a prompt."""

    part: PartId  # of what it shares with others; 0: nothing
    shared_tokens: int
    own_tokens: int
    objective_s: float  # until its first token

    def fetch_s(self, rate: float) -> float:
        """Return how long an engine takes to fetch the part from another one."""
        if not rate or not self.part:
            return float("inf")
        return FETCH_SETUP_S + self.shared_tokens / rate


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
    fetch_rate: float = 0.0  # tokens a second from another engine; 0: it can't


@frozen
class Choice:
    """Say where a call goes and what is expected there."""

    server: ServerName
    wait_s: float
    read_s: float
    tokens: int  # prompt tokens to read there
    cached: bool
    copies: int = 0  # servers that have the part, by what this router knows
    source: ServerName = ""  # another engine that the part may be fetched from


def part_id(part: str) -> PartId:
    """Return the number by which routers name a shared part to each other."""
    return xxhash.xxh3_64_intdigest(part.encode()) & 0xFFFFFFFF if part else 0


@define
class PartMemory:
    """Remember which servers were sent which shared part lately, by any router."""

    _seen: OrderedDict[PartId, dict[ServerName, float]] = field(factory=OrderedDict)
    _pairs: int = 0
    _untold: dict[tuple[PartId, ServerName], None] = field(factory=dict)
    _asked: OrderedDict[PartId, tuple[float, float]] = field(factory=OrderedDict)
    """Calls lately, and the time of that count."""

    def note_asked(self, part: PartId, now: float) -> None:
        """Count a call that asks for a part here."""
        self._asked[part] = (self.asked(part, now) + 1.0, now)
        self._asked.move_to_end(part)
        if len(self._asked) > COUNTED_PARTS:
            self._asked.popitem(last=False)

    def asked(self, part: PartId, now: float) -> float:
        """Return how many calls asked this router for a part lately."""
        count, at = self._asked.get(part, (0.0, now))
        return count * 0.5 ** ((now - at) / ASKED_HALF_LIFE_S)

    def send(self, part: PartId, server: ServerName, now: float) -> None:
        """Note that this router sent a part; peers are told of it once."""
        before = self.sent_at(part, server)
        self.note(part, server, now)
        if now - before > REMEMBERED_S / 2:
            self._untold[(part, server)] = None

    def pop_updates(self, most: int) -> tuple[tuple[PartId, ServerName], ...]:
        """Return what peers were not told yet, the oldest first."""
        pairs = tuple(self._untold)[:most]
        for pair in pairs:
            del self._untold[pair]
        return pairs

    def note(self, part: PartId, server: ServerName, now: float) -> None:
        """Note that a server was sent a part."""
        servers = self._seen.setdefault(part, {})
        self._pairs += server not in servers
        servers[server] = now
        self._seen.move_to_end(part)
        while self._pairs > REMEMBERED_PAIRS:
            _, oldest = self._seen.popitem(last=False)
            self._pairs -= len(oldest)

    def holders(self, part: PartId) -> Mapping[ServerName, float]:
        """Return the servers that were sent a part, with the time of the last one."""
        return self._seen.get(part, NOBODY)

    def sent_at(self, part: PartId, server: ServerName) -> float:
        """Return when a server was sent a part last; long ago if it was not."""
        return self.holders(part).get(server, NEVER)

    def has(self, part: PartId, server: ServerName, now: float) -> bool:
        """Tell whether a server was sent a part lately."""
        return now - self.sent_at(part, server) < REMEMBERED_S

    def forget(self, server: ServerName) -> None:
        """Drop a server that started again."""
        for servers in self._seen.values():
            if servers.pop(server, None) is not None:
                self._pairs -= 1


@lru_cache(maxsize=4096)
def _server_seed(server: ServerName) -> int:
    return xxhash.xxh3_64_intdigest(server.encode())


def hash_weight(part: PartId, server: ServerName) -> int:
    """Return by how much a part prefers a server: the same number at every router."""
    return xxhash.xxh3_64_intdigest(part.to_bytes(8, "big"), _server_seed(server))


def home_order(part: PartId, servers: Sequence[ServerName]) -> list[ServerName]:
    """Return the servers in the order in which a part goes to them."""
    return sorted(servers, key=lambda server: hash_weight(part, server), reverse=True)


Rank = tuple[float, float, float]


def choose_engine(
    prompt: Prompt,
    candidates: Sequence[Candidate],
    memory: PartMemory,
    centre: DataCentreName,
    now: float,
    *,
    may_read_again: bool = True,
    shortage: float = 0.0,
) -> Choice | None:
    """Return the server for a prompt, counting what each one has cached.

    A prompt that may not be read again goes where it is cached, however late: a
    workspace above its share would else take its surplus from everybody's engines.
    `shortage` is the part of what callers asked that was turned away.
    """
    if not candidates:
        return None
    order = (
        home_order(prompt.part, [r.server for r in candidates]) if prompt.part else []
    )
    place = {server: number for number, server in enumerate(order)}
    holders = _holders(prompt, candidates, place, memory, now)
    # An engine that fails calls or is silent may not give a part either.
    sound = {row.server for row in candidates if row.penalty_s <= 0}
    sources = [name for name in holders if name in sound]
    late_s = ON_TIME_PART * prompt.objective_s
    price = reading_price(shortage, memory.asked(prompt.part, now))
    best: tuple[Rank, Candidate] | None = None
    for row in candidates:
        cached = row.server in holders
        source = "" if cached else _source(row, sources)
        read_s, taken_s, _ = _reading(prompt, row, source, cached=cached)
        cost_s = row.wait_s + read_s + row.penalty_s
        if row.data_centre != centre:
            cost_s += OTHER_CENTRE_S
        if not may_read_again:
            rank = (float(not cached), 0.0, cost_s)
        elif cost_s > late_s or (not cached and row.wait_s > price.spread_wait_s):
            rank = (2.0, 0.0, cost_s + price.weight * taken_s)
        else:
            # A part that spreads goes to the same next server from every router, or
            # each of them would make another engine read it.
            spread = 0 if cached else place.get(row.server, 0)
            rank = (float(not cached), float(spread), cost_s)
        if best is None or rank < best[0]:
            best = (rank, row)
    assert best is not None
    return _choice(prompt, best[1], holders, _source(best[1], sources))


def _choice(
    prompt: Prompt, row: Candidate, holders: Sequence[ServerName], source: ServerName
) -> Choice:
    cached = row.server in holders
    read_s, _, tokens = _reading(prompt, row, source, cached=cached)
    return Choice(row.server, row.wait_s, read_s, tokens, cached, len(holders), source)


def _source(row: Candidate, sources: Sequence[ServerName]) -> ServerName:
    """Return the engine from which one may fetch, or nothing.

    Over a link that is slower than reading, a fetch would only delay the prompt.
    """
    if row.fetch_rate <= row.read_rate:
        return ""
    return next((name for name in sources if name != row.server), "")


def _reading(
    prompt: Prompt, row: Candidate, source: ServerName, *, cached: bool
) -> tuple[float, float, int]:
    """Return the time until the first token, what it takes from others, and tokens.

    No class of its own: this runs for each engine of each call, and with objects a
    placement among thirty engines took 1.6 times as long.
    """
    own = prompt.own_tokens
    read_s = row.base_s + own / row.read_rate
    if cached:
        return read_s, 0.0, own
    again_s = prompt.shared_tokens / row.read_rate
    if source:
        fetch_s = prompt.fetch_s(row.fetch_rate)
        if fetch_s < again_s:
            return read_s + fetch_s, max(fetch_s, EVICTED_PART * again_s), own
    return read_s + again_s, again_s, own + prompt.shared_tokens


def _holders(
    prompt: Prompt,
    candidates: Sequence[Candidate],
    place: Mapping[ServerName, int],
    memory: PartMemory,
    now: float,
) -> list[ServerName]:
    """Return the servers that should have a prompt's part, the surest first."""
    if not prompt.part:
        return []
    times = memory.holders(prompt.part)
    sent = [(times.get(row.server, NEVER), row) for row in candidates]
    lately = [(at, row.server) for at, row in sent if now - at < REMEMBERED_S]
    lately.sort(key=lambda pair: pair[0], reverse=True)
    holders = [server for _, server in lately]
    for _, row in sent:
        is_home = place[row.server] == 0 and row.age_s > SETTLED_S
        if is_home and row.server not in holders:
            holders.append(row.server)
    return holders


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
