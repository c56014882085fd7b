"""Draw what happens to a fleet whose routers' views of the store differ."""

import random
from collections import Counter

import anyio
from fleet_views import STORE

from fulmarroad_serving.contracts import InstanceRemovedFact

SERIES_S = 7.0
STREAMS_PER_S = 14.0
SETTLE_S = 1.0
ENGINES = 4
BURST = 18
"""Number of streams that begin beside a router that is out of step."""

PAUSE_S = (1.0, 6.0)
CUT_S = (0.4, 4.0)
NAMED_SHARE = 0.6


class OutOfStepSeries:
    """Let a version join a fleet of one version while routers are out of step."""

    def __init__(self, fleet, seed, *, reuses_ids=False):
        self.fleet = fleet
        self.seed = seed
        self.reuses_ids = reuses_ids
        self.random = random.Random(f"{seed} events")
        self.views = random.Random(f"{seed} views")
        self.versions = 1

    async def run(self):
        self.add_engines("v1", ENGINES)
        await anyio.sleep(SETTLE_S)
        async with anyio.create_task_group() as group:
            group.start_soon(self.begin_streams)
            group.start_soon(self.disturb_views)
            group.start_soon(self.make_trouble)
        await anyio.sleep(9.0)

    async def begin_streams(self):
        draw = random.Random(f"{self.seed} streams")
        for number in range(int(SERIES_S * STREAMS_PER_S)):
            self.fleet.begin(number, names_stream=draw.random() < NAMED_SHARE)
            await anyio.sleep(draw.expovariate(STREAMS_PER_S))

    # views that grow old

    async def disturb_views(self):
        draw = self.views
        kinds = (self.pause, self.pause, self.cut, self.cut, self.cut_one_way)
        kinds += (self.cut_pair, self.cut_store, self.cut_store, self.cut_all_stores)
        end_at = anyio.current_time() + SERIES_S
        while anyio.current_time() < end_at:
            await anyio.sleep(draw.uniform(0.1, 1.2))
            draw.choice(kinds)()
            if draw.random() < 0.2:
                self.fleet.store.discard()

    def pause(self, name=None):
        name = name or self.views.choice(self.fleet.names)
        self.fleet.spawn(self.fleet.pause, name, self.views.uniform(*PAUSE_S))

    def cut(self, name=None):
        """Cut a router off from the others and from the store."""
        name = name or self.views.choice(self.fleet.names)
        pairs = [*self.fleet.pairs(name), (name, STORE), (STORE, name)]
        self.cut_pairs(pairs)

    def cut_one_way(self, name=None):
        name = name or self.views.choice(self.fleet.names)
        place = self.views.choice((0, 1))
        pairs = [*self.fleet.pairs(name), (name, STORE), (STORE, name)]
        self.cut_pairs([pair for pair in pairs if pair[place] == name])

    def cut_pair(self):
        one, other = self.views.sample(self.fleet.names, 2)
        pairs = [(one, other), (other, one)]
        self.cut_pairs(pairs[: self.views.choice((1, 2))])

    def cut_store(self):
        name = self.views.choice(self.fleet.names)
        pairs = [(name, STORE), (STORE, name)]
        self.views.shuffle(pairs)
        self.cut_pairs(pairs[: self.views.choice((1, 2))])

    def cut_all_stores(self):
        self.cut_pairs([(STORE, name) for name in self.fleet.names])

    def cut_pairs(self, pairs):
        for_s = self.views.uniform(*CUT_S)
        self.fleet.spawn(self.fleet.cut_pairs, pairs, for_s)

    # what happens meanwhile

    async def make_trouble(self):
        kinds = (
            self.release,
            self.end_version,
            self.lose_routers,
            self.lose_routers,
            self.crash_engine,
            self.end_router,
        )
        if self.reuses_ids:
            kinds += (self.start_again, self.start_again)
        await self.join_out_of_step()
        end_at = anyio.current_time() + SERIES_S - 3.0
        while anyio.current_time() < end_at:
            await anyio.sleep(self.random.uniform(0.2, 1.0))
            await self.random.choice(kinds)()

    async def join_out_of_step(self):
        """Let a version join while a router or two are out of step, and its streams
        break.
        """
        draw, fleet = self.random, self.fleet
        late = draw.sample(fleet.names, draw.choice((1, 1, 2)))
        for name in late:
            draw.choice((self.pause, self.cut, self.cut_one_way))(name)
        await anyio.sleep(draw.uniform(0.0, 1.0))
        self.versions += 1
        self.add_engines("v2", draw.choice((2, ENGINES)))
        await anyio.sleep(draw.uniform(0.3, 0.7))
        others = [name for name in fleet.ready() if name not in late]
        for number in range(BURST if others else 0):
            router = fleet.routers[others[number % len(others)]]
            names_stream = draw.random() < NAMED_SHARE
            fleet.begin(1_000 + number, router=router, names_stream=names_stream)
        await anyio.sleep(draw.uniform(0.1, 1.0))
        kind = draw.choice(("routers", "servers", "both"))
        if kind != "routers":
            self.end_servers({"v2"})
        if kind != "servers":
            for name in others:
                fleet.spawn(fleet.restart, name, draw.uniform(0.5, 3.0))

    async def release(self):
        """Let a version join, and itself or the others leave again."""
        self.versions += 1
        version = f"v{self.versions}"
        self.add_engines(version, self.random.choice((2, ENGINES)))
        await anyio.sleep(self.random.uniform(0.3, 1.6))
        kind = self.random.choice(("forward", "back", "routers", "stays"))
        if kind == "forward":
            self.end_servers({row.version for row in self.running()} - {version})
        elif kind == "back":
            self.end_servers({version})
        elif kind == "routers":
            await self.lose_routers()

    def add_engines(self, version, number):
        for _ in range(number):
            self.fleet.add_engine(f"e-{len(self.fleet.engines)}", version)

    def running(self):
        return [row for row in self.fleet.engines.values() if row.up]

    async def end_version(self):
        versions = sorted({row.version for row in self.running()})
        if len(versions) > 1:
            self.end_servers({self.random.choice(versions)})

    def end_servers(self, versions):
        """End all servers of some versions; their entries go at once or lapse."""
        lapses = self.random.random() < 0.3
        for engine in self.running():
            if engine.version not in versions:
                continue
            if lapses:
                self.fleet.crash(engine.name)
            else:
                engine.crash()
                self.fleet.publish(InstanceRemovedFact(engine.name))

        left = {row.version for row in self.running()}
        self.add_engines(max(left, default="v1"), ENGINES - len(self.running()))

    async def crash_engine(self):
        """Crash an engine, in whose place another one of its version starts."""
        engine = self.random.choice(self.running())
        self.fleet.crash(engine.name)
        self.add_engines(engine.version, 1)

    async def start_again(self):
        """Crash an engine and start it again under its id, as any version."""
        engine = self.random.choice(self.running())
        version = f"v{self.random.randint(1, self.versions)}"
        self.fleet.crash(engine.name)
        await anyio.sleep(0.25)
        self.fleet.start_again(engine.name, version)

    async def lose_routers(self):
        ready = self.fleet.ready()
        if len(ready) < 2:
            return
        for name in self.random.sample(ready, self.random.randint(1, len(ready) - 1)):
            self.fleet.spawn(self.fleet.restart, name, self.random.uniform(0.5, 3.0))

    async def end_router(self):
        ready = self.fleet.ready()
        if len(ready) > 2:
            self.fleet.spawn(self.replace, self.random.choice(ready))

    async def replace(self, name):
        await self.fleet.end(name)
        await anyio.sleep(0.5)
        self.fleet.start_router(name)


def count_take_ups(fleet):
    """Return how many streams were taken up, went on, mixed and were refused."""
    figures = Counter()
    for caller in fleet.callers:
        for row in caller.tries:
            if not row.resumes:
                continue
            figures["taken up"] += 1
            figures["went on"] += row.status == 200
            if row.code:
                figures[row.code] += 1
            elif row.status == 0:
                figures["no answer"] += 1
    figures["two versions"] = len(fleet.mixed())
    figures["streams"] = len(fleet.callers)
    return figures
