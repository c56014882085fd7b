"""A store in memory that keeps each change, and servers that register there."""

import random

import anyio
from attrs import define, field

from fulmarroad_serving import Instance, ReplicaItem, position
from fulmarroad_serving.contracts import (
    CatalogFact,
    InstanceFact,
    InstanceRemovedFact,
    Listing,
)
from fulmarroad_serving.exceptions import HistoryLostError

RETENTION_S = 20.0
HEARTBEAT_S = 1.2
LAPSE_S = 3 * HEARTBEAT_S
SERVICE = "drafting"


@define
class HistoryStore:
    """Keep decoded facts as items; discard history by age, or at once."""

    era: int = 1
    revision: int = 1
    reads: int = 0
    live: dict = field(factory=dict)
    changes: list = field(factory=list)  # of time and item
    discarded: int = 0  # newest revision whose change is no longer available

    def put(self, key, fact, now=0.0):
        self.revision += 1
        item = ReplicaItem(key, position(self.era, self.revision), fact)
        self.changes.append((now, self.revision, item))
        if fact is None:
            self.live.pop(key, None)
        else:
            self.live[key] = item

    def put_server(self, instance, now=0.0):
        self.put(f"servers/{instance.id}", InstanceFact(instance), now)

    def remove_server(self, name, now=0.0):
        self.put(f"servers/{name}", None, now)

    def discard(self):
        self.discarded = self.revision

    def expire(self, now):
        for at, revision, _ in self.changes:
            if now - at > RETENTION_S:
                self.discarded = max(self.discarded, revision)

    def listing(self):
        return Listing(position(self.era, self.revision), tuple(self.live.values()))

    async def list_all(self):
        return self.listing()

    async def watch(self, at, wait_s):
        self.reads += 1
        await anyio.sleep(0.004)
        return self.changes_after(at)

    async def read_changes(self, at, timeout_s):
        return await self.watch(at, 0.001)

    def changes_after(self, at):
        after = at - position(self.era, 0)
        if after < self.discarded:
            raise HistoryLostError("gone")
        items = tuple(item for _, number, item in self.changes if number > after)
        return Listing(position(self.era, self.revision), items)

    def decode(self, item):
        prefix, _, name = item.key.partition("/")
        if item.data is None and prefix == "servers":
            return InstanceRemovedFact(name)
        is_fact = isinstance(item.data, InstanceFact | CatalogFact)
        return item.data if is_fact else None


@define(eq=False)
class Server:
    """One process of a server; it counts the heartbeats that it makes."""

    name: str
    version: str
    born: float
    offset_s: float  # of its clock
    warm_at: float
    next_beat: float
    beats: int = 0
    written: object = None
    heard_at: float | None = None
    ends_at: float = float("inf")
    is_leaving: bool = False
    frozen_until: float = 0.0

    def instance(self, now):
        return Instance(
            self.name,
            SERVICE,
            "h",
            1,
            "fes",
            8,
            draining=self.is_leaving,
            warmup_left_s=max(0.0, self.warm_at - now),
            started_ms=1_000_000_000 + int(1000 * (self.born + self.offset_s)),
            version=self.version,
            beats=self.beats,
        )


class History:
    """Draw a history of servers, releases, ends and a store that forgets."""

    STEP_S = 0.1

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.store = HistoryStore()
        self.now = 0.0
        self.servers = []
        self.number = 0
        self.version = 1
        self.served = {}
        """When each version last could begin a stream."""
        self.calm = self.random.choice((0.0, 0.004, 0.02))

    def run(self):
        draw = self.random
        self.store.put("op/config", object(), self.now)
        for _ in range(draw.choice((1, 3, 5))):
            self.start("v1", warm_s=0.0)
        if draw.random() < 0.5:
            self.start("v0", warm_s=0.0)
        if draw.random() < 0.3:
            self.store.discard()
        for _ in range(int(draw.uniform(2.0, 120.0) / self.STEP_S)):
            self.step()
            if draw.random() < self.calm:
                self.trouble()
        last = (self.release, self.replace_in_place, self.leave_before_late_entry)
        draw.choice((*last, lambda: None))()
        for _ in range(int(draw.choice((2.0, 25.0)) * draw.random() / self.STEP_S)):
            self.step()

    def replace_in_place(self):
        """Let one server of the oldest version start again under its id as the next."""
        former = sorted(self.servers, key=lambda row: row.version)[:1]
        for row in former:
            self.servers.remove(row)
            self.start(f"v{self.version}", warm_s=0.0, name=row.name)

    def leave_before_late_entry(self):
        """Let a silent server register again just after a version left, unseen."""
        former = min(self.servers, default=None, key=lambda row: row.version)
        if former is None:
            return
        self.freeze([row for row in self.servers if row is not former][:1], 40.0)
        for _ in range(int(40.0 / self.STEP_S)):
            self.step()
        self.remove_all(former.version)
        for _ in range(int(2 * HEARTBEAT_S / self.STEP_S)):
            self.step()
        self.store.discard()

    def remove_all(self, version):
        for row in [row for row in self.servers if row.version == version]:
            self.servers.remove(row)
            self.remove(row)

    def start(self, version, warm_s, name=None):
        self.number += 1
        name = name or f"s-{self.number}"
        offset_s = self.random.uniform(-2.0, 2.0)
        begun = self.now
        delay_s = self.random.uniform(0.1, HEARTBEAT_S)
        row = Server(name, version, begun, offset_s, begun + warm_s, begun + delay_s)
        self.servers.append(row)

    def step(self):
        self.now += self.STEP_S
        for row in list(self.servers):
            self.beat(row)
            if f"servers/{row.name}" in self.store.live:
                self.served[row.version] = self.now
            if self.now >= row.ends_at:
                self.servers.remove(row)
                self.remove(row)
        self.store.expire(self.now)

    def beat(self, row):
        if row.heard_at is not None and self.now - row.heard_at > LAPSE_S:
            self.remove(row)
        if self.now < max(row.next_beat, row.frozen_until):
            return
        row.next_beat = self.now + HEARTBEAT_S * self.random.uniform(0.95, 1.3)
        row.beats += 1
        entry = (row.instance(self.now).warmup_left_s, row.is_leaving)
        row.heard_at = self.now
        if entry != row.written:
            row.written = entry
            self.store.put_server(row.instance(self.now), self.now)

    def remove(self, row):
        row.heard_at = row.written = None
        if f"servers/{row.name}" in self.store.live:
            self.store.remove_server(row.name, self.now)

    def trouble(self):
        kinds = (self.release, self.crash, self.freeze, self.freeze_all, self.configure)
        self.random.choice((*kinds, self.store.discard, self.chill))()

    def release(self):
        self.version += 1
        former = [row for row in self.servers if row.ends_at == float("inf")]
        for row in former:
            row.is_leaving = self.random.random() < 0.7
            row.ends_at = self.now + self.random.uniform(0.0, 6.0)
            self.start(f"v{self.version}", warm_s=self.random.choice((0.0, 4.0)))

    def crash(self):
        if not self.servers:
            return
        row = self.random.choice(self.servers)
        self.servers.remove(row)
        reuses = self.random.random() < 0.5
        if not reuses:
            self.remove(row)
        self.start(row.version, warm_s=4.0, name=row.name if reuses else None)

    def freeze(self, rows=None, seconds=None):
        if rows is None:
            rows = self.random.sample(self.servers, min(1, len(self.servers)))
        for row in rows:
            row.frozen_until = self.now + (seconds or self.random.uniform(1.0, 15.0))

    def freeze_all(self):
        self.freeze(self.servers)

    def chill(self):
        for row in self.servers[:1]:
            row.warm_at = self.now + 4.0

    def configure(self):
        self.store.put("op/config", object(), self.now)

    def recent(self, life_s):
        """Return the versions that may have begun streams which are taken up now."""
        return {name for name, at in self.served.items() if self.now - at <= life_s}
