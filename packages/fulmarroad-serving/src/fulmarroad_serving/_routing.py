"""Choose a server for a call, preferring one that has its prompt cached.

Load pattern: prompts share long parts, and some parts are far more popular than others.
If calls are spread evenly, every engine reads every part repeatedly; if each part has
one fixed engine, a popular part overloads it. The symptoms are prompt tokens read
several times, or one late engine among idle ones. Rendezvous hashing gives each part
the same order of servers at every router, so routers agree without messages. A call
goes to a server that has its part cached while it can begin there on time; otherwise to
another server that can begin on time, which then has the part cached for later calls.
Reading 13,000 tokens again occupies an engine for a seventh of a second and delays all
its other calls. A slightly earlier start doesn't justify that, and under overload parts
stay on the engines that have them (`_engine_time`).

Linked engines fetch a part from each other instead of reading it: 5,400 tokens take
about 13 ms instead of 80. So each call names another engine that was recently sent its
part, even if the part is believed to be cached: with many long answers running, an
engine evicts unused parts within a few seconds and doesn't report it.
"""

from __future__ import annotations

import math
import random
from collections import OrderedDict
from collections.abc import Mapping, Sequence

import xxhash
from attrs import define, field, frozen

from fulmarroad.types import DataCentreName, ServerName
from fulmarroad_serving._engine_time import reading_price
from fulmarroad_serving._retention import PartRetention
from fulmarroad_serving.placement import PartId as PartId
from fulmarroad_serving.placement import hash_weight as hash_weight
from fulmarroad_serving.placement import home_order as home_order

PART_REPORT_INTERVAL_S = 6.0
"""Time after which a part that a server is still sent is reported to peers again."""

ASKED_HALF_LIFE_S = 3.0
"""Half-life of the number of calls for a part: a part that is in demand now will likely
be in demand for as long as a new copy is kept."""

ASKED_MEAN_AGE_S = ASKED_HALF_LIFE_S / math.log(2.0)
"""Time in which a decaying count is reached at a steady rate of calls."""

MAX_COUNTED_PARTS = 5_000
"""Maximum number of parts whose calls are counted; the least recently asked for are
dropped first."""

MAX_REMEMBERED_PAIRS = 20_000
"""Maximum number of remembered pairs of part and server; the least recently used parts
are dropped first."""

WARM_CACHE_AGE_S = 3.0
"""Age below which a server is assumed not to have its parts cached yet."""

ON_TIME_FRACTION = 0.75
"""Fraction of the objective within which an estimate counts as on time; the rest is
margin for calls that other routers send at the same moment."""

EVICTION_COST_FRACTION = 0.5
"""Fraction of a part's reading time that a fetched copy costs other prompts: it uses as
much memory as one that was read, and the parts evicted for it have to be fetched or
read again."""

FETCH_SETUP_S = 0.003
"""Time to set up a fetch of a part from another engine, without the transfer."""

NEVER = float("-inf")

NO_HOLDERS: Mapping[ServerName, float] = {}

OTHER_CENTRE_S = 0.003
"""Cost of a server in another data centre: the round trip and the transfer."""

SLOW_SERVER_FACTOR = 2.0
"""Ratio to the fastest server's mean duration above which a plain server in use counts
as slow: durations of sound servers vary by less."""


@frozen
class Prompt:
    """Hold the properties of a prompt that the choice of an engine needs."""

    part: PartId  # the part shared with other prompts; 0: none
    shared_tokens: int
    own_tokens: int
    objective_s: float  # until its first token

    def fetch_s(self, rate: float) -> float:
        """Return the time to fetch the part from another engine; infinite without one.

        `rate` is in tokens a second.
        """
        if not rate or not self.part:
            return float("inf")
        return FETCH_SETUP_S + self.shared_tokens / rate


@frozen
class Candidate:
    """Hold the estimates for one server that the placement compares."""

    server: ServerName
    data_centre: DataCentreName
    age_s: float  # time since it started
    wait_s: float  # before a prompt is read there
    read_rate: float  # prompt tokens a second
    base_s: float  # until the first token of a cached prompt
    penalty_s: float = 0.0
    fetch_rate: float = 0.0  # tokens a second from another engine; 0: no link
    speed_class: int = 0  # in the part's order, see `placement`


@frozen
class Choice:
    """Hold the server chosen for a call and the estimates for it."""

    server: ServerName
    wait_s: float
    read_s: float
    tokens: int  # prompt tokens to read there
    cached: bool
    copies: int = 0  # servers that have the part, as far as this router knows
    source: ServerName = ""  # another engine that may supply the part


def part_id(part: str) -> PartId:
    """Return the identifier of a shared part in messages between routers."""
    return xxhash.xxh3_64_intdigest(part.encode()) & 0xFFFFFFFF if part else 0


@define
class PartMemory:
    """Remember which servers any router recently sent which shared part."""

    retention: PartRetention = field(factory=PartRetention)
    _sent_times: OrderedDict[PartId, dict[ServerName, float]] = field(
        factory=OrderedDict
    )
    _pairs: int = 0
    _unreported: dict[tuple[PartId, ServerName], None] = field(factory=dict)
    _call_counts: OrderedDict[PartId, tuple[float, float]] = field(factory=OrderedDict)
    """The decaying number of calls for each part, and the time of that count."""

    def note_asked(self, part: PartId, now: float) -> None:
        """Count a call for a part at this router."""
        self._call_counts[part] = (self.asked(part, now) + 1.0, now)
        self._call_counts.move_to_end(part)
        if len(self._call_counts) > MAX_COUNTED_PARTS:
            self._call_counts.popitem(last=False)

    def asked(self, part: PartId, now: float) -> float:
        """Return the decaying number of calls for a part at this router."""
        count, at = self._call_counts.get(part, (0.0, now))
        return count * 0.5 ** ((now - at) / ASKED_HALF_LIFE_S)

    def send(self, part: PartId, server: ServerName, now: float) -> None:
        """Record that a server was sent a part, and queue this for a report to peers.

        It is not queued if it was sent within `PART_REPORT_INTERVAL_S` before.
        """
        before = self.sent_at(part, server)
        self.note(part, server, now)
        if now - before > PART_REPORT_INTERVAL_S:
            self._unreported[(part, server)] = None

    def pop_updates(self, most: int) -> tuple[tuple[PartId, ServerName], ...]:
        """Remove and return up to `most` unreported pairs, the oldest first."""
        pairs = tuple(self._unreported)[:most]
        for pair in pairs:
            del self._unreported[pair]
        return pairs

    def note(self, part: PartId, server: ServerName, now: float) -> None:
        """Record that a server was sent a part."""
        servers = self._sent_times.setdefault(part, {})
        self._pairs += server not in servers
        servers[server] = now
        self._sent_times.move_to_end(part)
        while self._pairs > MAX_REMEMBERED_PAIRS:
            _, oldest = self._sent_times.popitem(last=False)
            self._pairs -= len(oldest)

    def holders(self, part: PartId) -> Mapping[ServerName, float]:
        """Return the servers that were sent a part, each with the last time."""
        return self._sent_times.get(part, NO_HOLDERS)

    def sent_at(self, part: PartId, server: ServerName) -> float:
        """Return when a server was last sent a part; minus infinity if it was not."""
        return self.holders(part).get(server, NEVER)

    def has(self, part: PartId, server: ServerName, now: float) -> bool:
        """Return whether a server was recently sent a part."""
        return self.retention.is_kept(now - self.sent_at(part, server))

    def forget(self, server: ServerName) -> None:
        """Drop the entries of a server that restarted."""
        for servers in self._sent_times.values():
            if servers.pop(server, None) is not None:
                self._pairs -= 1


def engine_order(part: PartId, candidates: Sequence[Candidate]) -> list[ServerName]:
    """Return the engines in the part's order of preference."""
    classes = {row.server: row.speed_class for row in candidates if row.speed_class}
    return home_order(part, [row.server for row in candidates], classes)


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
    """Return the server for a prompt, taking into account which ones have it cached.

    A prompt that may not be read again goes where it is cached, however late:
    otherwise a workspace above its share would use engine time of all others.
    `shortage` is the refused fraction of the demand. Return None without candidates.
    """
    if not candidates:
        return None
    order = engine_order(prompt.part, candidates) if prompt.part else []
    positions = {server: number for number, server in enumerate(order)}
    holders = _holders(prompt, candidates, positions, memory, now)
    # An engine that fails calls or doesn't answer may not supply a part either.
    healthy = {row.server for row in candidates if row.penalty_s <= 0}
    sources = [name for name in holders if name in healthy]
    late_s = ON_TIME_FRACTION * prompt.objective_s
    price = reading_price(shortage, _engines_needed(prompt, candidates, memory, now))
    best: tuple[Rank, Candidate] | None = None
    for row in candidates:
        cached = row.server in holders
        source = "" if cached else _source(row, sources)
        read_s, engine_s, _ = _reading_cost(prompt, row, source, cached=cached)
        cost_s = row.wait_s + read_s + row.penalty_s
        if row.data_centre != centre:
            cost_s += OTHER_CENTRE_S
        if not may_read_again:
            rank = (float(not cached), 0.0, cost_s)
        elif cost_s > late_s or (not cached and row.wait_s > price.spread_wait_s):
            rank = (2.0, 0.0, cost_s + price.weight * engine_s)
        else:
            # All routers copy a part to the same next server; otherwise each router
            # would make a different engine read it.
            spread = 0 if cached else positions.get(row.server, 0)
            rank = (float(not cached), float(spread), cost_s)
        if best is None or rank < best[0]:
            best = (rank, row)
    assert best is not None
    return _choice(prompt, best[1], holders, _source(best[1], sources))


def engines_with_time(
    prompt: Prompt,
    candidates: Sequence[Candidate],
    memory: PartMemory,
    now: float,
    *,
    longest_wait_s: float,
    shortage: float,
) -> list[Candidate]:
    """Return the engines that have time to read a prompt's part again.

    Calls that wait elsewhere for the engine with the part don't show in its queue, so
    its wait doesn't tell that another engine should read the part. An engine may then
    wait for `longest_wait_s`, or for less if the price of the reading says so. A part
    whose calls need more engines than have it is worth its reading at any price.
    """
    needed = _engines_needed(prompt, candidates, memory, now)
    holders = sum(memory.has(prompt.part, row.server, now) for row in candidates)
    limit_s = longest_wait_s
    if needed <= holders:
        limit_s = min(limit_s, reading_price(shortage, needed).spread_wait_s)
    return [row for row in candidates if row.wait_s <= limit_s]


def _engines_needed(
    prompt: Prompt, candidates: Sequence[Candidate], memory: PartMemory, now: float
) -> float:
    """Return how many engines the calls for a part keep busy if all have it cached."""
    calls_per_s = memory.asked(prompt.part, now) / ASKED_MEAN_AGE_S
    rate = sum(row.read_rate for row in candidates) / len(candidates)
    return calls_per_s * prompt.own_tokens / rate


def _choice(
    prompt: Prompt, row: Candidate, holders: Sequence[ServerName], source: ServerName
) -> Choice:
    cached = row.server in holders
    read_s, _, tokens = _reading_cost(prompt, row, source, cached=cached)
    return Choice(row.server, row.wait_s, read_s, tokens, cached, len(holders), source)


def _source(row: Candidate, sources: Sequence[ServerName]) -> ServerName:
    """Return the engine to fetch the part from, or an empty name.

    Over a link that is slower than reading, a fetch would only delay the prompt.
    """
    if row.fetch_rate <= row.read_rate:
        return ""
    return next((name for name in sources if name != row.server), "")


def _reading_cost(
    prompt: Prompt, row: Candidate, source: ServerName, *, cached: bool
) -> tuple[float, float, int]:
    """Return the time to the first token, the engine time used, and the tokens to read.

    The result is a tuple because this runs for each engine of each call: with objects,
    a placement among thirty engines took 1.6 times as long.
    """
    own = prompt.own_tokens
    read_s = row.base_s + own / row.read_rate
    if cached:
        return read_s, 0.0, own
    again_s = prompt.shared_tokens / row.read_rate
    if source:
        fetch_s = prompt.fetch_s(row.fetch_rate)
        if fetch_s < again_s:
            return read_s + fetch_s, max(fetch_s, EVICTION_COST_FRACTION * again_s), own
    return read_s + again_s, again_s, own + prompt.shared_tokens


def _holders(
    prompt: Prompt,
    candidates: Sequence[Candidate],
    positions: Mapping[ServerName, int],
    memory: PartMemory,
    now: float,
) -> list[ServerName]:
    """Return the servers that likely have a prompt's part, the most likely first."""
    if not prompt.part:
        return []
    times = memory.holders(prompt.part)
    kept = memory.retention
    recent, holders = [], []
    for row in candidates:
        at = times.get(row.server)
        if at is not None and kept.is_kept(now - at):
            recent.append((at, row.server))
        elif at is None and kept.unrecorded_kept and positions[row.server] == 0:
            holders += [row.server] if row.age_s > WARM_CACHE_AGE_S else []
    recent.sort(reverse=True)
    return [server for _, server in recent] + holders


def choose_plain(
    candidates: Sequence[Candidate],
    centre: DataCentreName,
    source: random.Random | None,
) -> Choice | None:
    """Return the better of two servers picked at random, or without `source` the best.

    If every router chose the least loaded server, it would get the next call of each.
    Only a router that places all calls there may do so. Return None without candidates.
    """
    if not candidates:
        return None
    pair = candidates
    if source is not None and len(candidates) > 2:
        pair = source.sample(candidates, 2)
    usual_s = SLOW_SERVER_FACTOR * min(row.base_s for row in pair)
    row = min(
        pair,
        key=lambda row: (
            row.wait_s
            + row.penalty_s
            + (max(0.0, row.base_s - usual_s) if row.wait_s > 0 else 0.0)
            + (OTHER_CENTRE_S if row.data_centre != centre else 0.0)
        ),
    )
    return Choice(row.server, row.wait_s, row.base_s, 0, True)
