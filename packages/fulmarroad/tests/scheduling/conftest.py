"""A pool of shards in virtual time: real schedulers, queues and books, small routers.

Routers and backend servers are modelled by their rules alone; every decision that a
test looks at is taken by the library's own code. Nothing sleeps and nothing is random
but a seeded generator.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections import defaultdict, deque

import pytest
from attrs import define, field

from fulmarroad.capacity import ServerBook
from fulmarroad.messages import (
    Demand,
    Finished,
    Grant,
    Heartbeat,
    Hello,
    Lend,
    Move,
    Progress,
    Refuse,
    RunningLease,
    ServerHint,
    ServiceUsed,
    Started,
    StepDown,
    Welcome,
)
from fulmarroad.scheduling import Scheduler, grant_valid, make_queue
from fulmarroad.tables import BackendServer, Pool
from fulmarroad.types import Epoch, Outcome, ShardId, Warmth

DELAY_S = 0.001
TICK_S = 0.05
PROGRESS_S = 0.25


@define(eq=False)
class Request:
    """A caller's request, and what became of it."""

    name: str
    workspace: str
    cost: float
    hint: float
    weight: float
    arrival: float
    deadline: float
    router: str
    shard: ShardId
    avoid: tuple = ()
    moves: int = 0
    state: str = "waiting"
    lease: Grant | None = None
    began: float = 0.0
    told: float = 0.0
    ended: float = 0.0
    starts: int = 0

    @property
    def waited(self) -> float:
        return self.began - self.arrival


@define(eq=False)
class Router:
    """A router's rules: lend on heartbeats, start valid grants, resend on a change."""

    name: str
    skew: float
    following: dict = field(factory=dict)  # shard: epoch
    hello_clock: dict = field(factory=dict)  # shard: clock in the hello last sent
    requests: dict = field(factory=dict)  # name: Request


class VirtualPool:
    """Drive shards and routers; `cut` tells which pairs can't hear each other."""

    def __init__(
        self,
        *,
        shards=1,
        servers=2,
        units=4,
        routers=("r1", "r2", "r3"),
        policy="fleet",
        centres=("dc1",),
        speed=100.0,
        seed=1,
    ):
        self.now = 0.0
        self.policy = policy
        self.random = random.Random(seed)
        self.cut = lambda source, target: False
        self.loss = 0.0
        self.duplicates = 0.0
        self.jitter = 0.0
        self.speed = defaultdict(lambda: speed)
        self.units = units
        self.routers = {
            name: Router(name, 1000.0 * index) for index, name in enumerate(routers)
        }
        self.shards = {}
        for index in range(shards):
            centre = centres[index % len(centres)]
            shard = ShardId("chat", centre, index)
            names = [f"{centre}-{index}-s{n}" for n in range(servers)]
            self.shards[shard] = [
                BackendServer(n, "127.0.0.1:1", centre) for n in names
            ]
        self.schedulers = {}
        self.former = []  # schedulers that were replaced, and may still wake
        self.links = defaultdict(int)  # (router, shard): streams opened so far
        self.paused = {}
        self.mail = defaultdict(deque)  # epoch: what waits for a scheduler to wake
        self.refused = []
        self.done = []
        self.late_grants = 0
        self.overload = 0
        self.busy = defaultdict(dict)  # server: unit index -> request
        self.samples = []
        self.idle_while_waiting = 0.0
        self._events = []
        self._order = itertools.count()
        self._names = itertools.count()
        self._terms = itertools.count(1)
        for shard in self.shards:
            self.begin(shard)
        self.at(0.0, self._tick)

    # building and breaking

    def begin(self, shard):
        """Start a scheduler with no memory; every router turns to it."""
        if shard in self.schedulers:
            self.former.append(self.schedulers[shard])
        epoch = Epoch(f"h{shard.index}", 1, next(self._terms))
        pool = Pool("chat", max_concurrency=self.units, cold_concurrency=self.units)
        book = ServerBook(pool, self.shards[shard], now=self.now, handed_over=True)
        book.set_vms(tuple(self.routers), self.now)
        queue = make_queue(self.policy)
        scheduler = Scheduler(
            shard, epoch, book, queue, live=tuple(self.routers), now=self.now
        )
        scheduler.set_peers(len(self.shards) - 1)
        self.schedulers[shard] = scheduler
        for router in self.routers.values():
            self.follow(router, shard, epoch)
        return scheduler

    def lose_link(self, router, shard):
        """Break a router's stream; what is under way is lost, and it comes again."""
        scheduler = self.schedulers[shard]
        self.links[router, shard] += 1
        self._at_scheduler(scheduler, lambda: scheduler.link_lost(router, self.now))
        back = self.routers[router]
        self.at(
            self.now + 0.02, lambda: self.follow(back, shard, back.following[shard])
        )

    def pause(self, shard, seconds):
        """Stop a scheduler; it wakes later and believes what it believed."""
        epoch = self.schedulers[shard].epoch
        wakes = self.now + seconds
        self.paused[epoch] = max(wakes, self.paused.get(epoch, 0.0))

    def cancel(self, name):
        """End every running request of a router at once, as its callers left."""
        router = self.routers[name]
        for request in router.requests.values():
            if request.state == "running":
                self._finish(router, request)

    def take_out(self, shard):
        """Take every backend server of a shard out of service."""
        scheduler = self.schedulers[shard]
        pool = Pool("chat", max_concurrency=self.units, cold_concurrency=self.units)
        servers = self.shards[shard]
        self._send(scheduler, scheduler.set_tables(pool, servers, (), self.now))

    def running_at(self, shard):
        """Return how many requests run at a shard's backend servers."""
        return sum(len(self.busy[server.name]) for server in self.shards[shard])

    def finish(self, until):
        """Run until every request is done or refused."""
        self.run(self.now + 1.0)
        while self.now < until and self.open:
            self.run(self.now + 1.0)

    @property
    def open(self):
        """Return the requests that neither ended nor were refused."""
        return [
            request
            for router in self.routers.values()
            for request in router.requests.values()
            if request.state in ("waiting", "running")
        ]

    def follow(self, router, shard, epoch):
        if self.schedulers[shard].epoch != epoch:
            return
        router.following[shard] = epoch
        self.links[router.name, shard] += 1
        mine = [r for r in router.requests.values() if r.shard == shard]
        waiting = [self._demand(r) for r in mine if r.state == "waiting"]
        running = [self._running(r) for r in mine if r.state == "running"]
        hints = [
            ServerHint(server.name, self.units, Warmth.WARM, 0.0)
            for server in self.shards[shard]
        ]
        clock = router.hello_clock[shard] = self.now + router.skew
        hello = Hello(
            shard, router.name, 1, "dc1", clock, waiting, running, tuple(hints)
        )
        self._to_scheduler(router, shard, hello)

    def submit(self, workspace, cost, *, shard=None, router=None, at=None, **more):
        """Let a request arrive; return its record."""
        number = next(self._names)
        names = list(self.routers)
        shards = list(self.shards)
        request = Request(
            f"q{number}",
            workspace,
            cost,
            more.pop("hint", cost),
            more.pop("weight", 1.0),
            self.now if at is None else at,
            more.pop("deadline", 1e6),
            router or names[number % len(names)],
            shards[number % len(shards)] if shard is None else shards[shard],
            more.pop("avoid", ()),
        )
        assert not more
        self.at(request.arrival, lambda: self._arrive(request))
        return request

    def at(self, when, action):
        heapq.heappush(self._events, (when, next(self._order), action))

    def run(self, until):
        while self._events and self._events[0][0] <= until:
            self.now, _, action = heapq.heappop(self._events)
            action()
        self.now = until

    # what callers got

    def waits(self, workspace):
        rows = [r for r in self.done if r.workspace == workspace]
        return sorted(row.waited for row in rows)

    def gap(self, one, other, start=0.0, end=1e9):
        """Return the largest service gap over any interval in which both waited."""
        worst = 0.0
        low = high = None
        for when, served, waiting in self.samples:
            if not start <= when <= end:
                continue
            if one not in waiting or other not in waiting:
                low = high = None
                continue
            gap = served.get(one, 0.0) - served.get(other, 0.0)
            low = gap if low is None else min(low, gap)
            high = gap if high is None else max(high, gap)
            worst = max(worst, high - low)
        return worst

    def served(self, workspace, when=None):
        row = next(
            (s for s in reversed(self.samples) if when is None or s[0] <= when), None
        )
        return row[1].get(workspace, 0.0) if row else 0.0

    # the routers' rules

    def _arrive(self, request):
        self.routers[request.router].requests[request.name] = request
        self._ask(request)

    def _ask(self, request):
        router = self.routers[request.router]
        self._to_scheduler(router, request.shard, self._demand(request))

    def _demand(self, r):
        return Demand(
            r.shard,
            r.name,
            r.workspace,
            r.weight,
            r.hint,
            self.now - r.arrival,
            r.deadline - self.now,
            avoid=r.avoid,
            moves=r.moves,
        )

    def _running(self, r):
        used = (self.now - r.began) * self.speed[r.lease.unit.server]
        return RunningLease(
            r.lease.lease_id,
            r.name,
            r.workspace,
            r.lease.unit,
            self.now - r.began,
            r.deadline - self.now,
            min(used, r.cost),
        )

    def _receive(self, router, scheduler, message):
        if router.following.get(message.shard) != scheduler.epoch:
            if isinstance(message, Grant):
                self._granted(router, message)
            return
        if isinstance(message, Heartbeat):
            clock = self.now + router.skew
            lend = Lend(message.shard, message.epoch, message.clock, clock)
            self._to_scheduler(router, message.shard, lend)
        elif isinstance(message, Grant):
            self._granted(router, message)
        elif isinstance(message, Move):
            self._moved(router, message)
        elif isinstance(message, Refuse):
            request = router.requests[message.demand_id]
            request.state = "refused"
            self.refused.append(request)
        else:
            assert isinstance(message, Welcome | StepDown)

    def _granted(self, router, grant):
        request = router.requests.get(grant.demand_id)
        epoch = router.following.get(grant.shard)
        hello_clock = router.hello_clock[grant.shard]
        valid = grant_valid(grant, epoch, self.now + router.skew, hello_clock)
        if not valid or request is None or request.state != "waiting":
            self.late_grants += not valid
            done = Finished(grant.shard, grant.lease_id, Outcome.DECLINED, 0.0)
            self._to_scheduler(router, grant.shard, done)
            if request is not None and request.state == "waiting":
                self._ask(request)
            return
        self._to_scheduler(router, grant.shard, Started(grant.shard, grant.lease_id))
        self._start(router, request, grant)

    def _start(self, router, request, grant):
        request.state = "running"
        request.lease = grant
        request.shard = grant.shard
        request.began = self.now
        request.starts += 1
        units = self.busy[grant.unit.server]
        if grant.unit.index in units:
            self.overload += 1
        units[grant.unit.index] = request
        ends = self.now + request.cost / self.speed[grant.unit.server]
        self.at(ends, lambda: self._finish(router, request))
        self.at(self.now + PROGRESS_S, lambda: self._progress(router, request))

    def _progress(self, router, request):
        if request.state != "running":
            return
        used = (self.now - request.began) * self.speed[request.lease.unit.server]
        row = ServiceUsed(request.lease.lease_id, used - request.told)
        message = Progress(request.shard, (row,))
        request.told = used
        self._to_scheduler(router, request.shard, message)
        self.at(self.now + PROGRESS_S, lambda: self._progress(router, request))

    def _finish(self, router, request):
        if request.state == "done":
            return
        request.state = "done"
        request.ended = self.now
        self.done.append(request)
        units = self.busy[request.lease.unit.server]
        if units.get(request.lease.unit.index) is request:
            del units[request.lease.unit.index]
        slow = 100.0 / self.speed[request.lease.unit.server]
        message = Finished(
            request.shard,
            request.lease.lease_id,
            Outcome.COMPLETED,
            request.cost,
            0.1 * slow,
            0.02 * slow,
            self.now - request.began,
        )
        self._to_scheduler(router, request.shard, message)

    def _moved(self, router, move):
        request = router.requests[move.demand_id]
        if request.state != "waiting":
            return
        request.shard = move.target
        request.moves += 1
        self._ask(request)

    # the wires

    def _to_scheduler(self, router, shard, message):
        scheduler = self.schedulers[shard]
        link = self.links[router.name, shard]

        def arrive():
            if link == self.links[router.name, shard]:
                self._at_scheduler(
                    scheduler,
                    lambda: scheduler.handle(router.name, message, self.now),
                )

        self.at(self.now + DELAY_S, arrive)

    def _at_scheduler(self, scheduler, action):
        """Let a scheduler take what arrives in order, once it is awake."""
        self.mail[scheduler.epoch].append(action)
        self._drain(scheduler)

    def _drain(self, scheduler):
        wakes = self.paused.get(scheduler.epoch, 0.0)
        if wakes > self.now:
            self.at(wakes, lambda: self._drain(scheduler))
            return
        mail = self.mail[scheduler.epoch]
        while mail:
            self._send(scheduler, mail.popleft()())

    def _send(self, scheduler, sends):
        for send in sends:
            self.at(self.now + DELAY_S, self._delivery(scheduler, send))

    def _delivery(self, scheduler, send):
        router = self.routers[send.router]
        shard = scheduler.shard
        link = self.links[router.name, shard]

        def deliver():
            replaced = router.following.get(shard) != scheduler.epoch
            if replaced or link == self.links[router.name, shard]:
                self._receive(router, scheduler, send.message)

        return deliver

    def _spread(self, scheduler):
        report = scheduler.report(self.now)
        if report is None:
            return
        for shard, other in self.schedulers.items():
            if other is scheduler or self.cut(scheduler.shard, shard):
                continue
            copies = 1 + (self.random.random() < self.duplicates)
            for _ in range(copies):
                if self.random.random() < self.loss:
                    continue
                delay = DELAY_S + self.random.random() * self.jitter
                self.at(
                    self.now + delay,
                    lambda o=other: self._at_scheduler(
                        o, lambda: o.receive_report(report, self.now)
                    ),
                )

    def _tick(self):
        for scheduler in (*self.schedulers.values(), *self.former):
            if self.paused.get(scheduler.epoch, 0.0) <= self.now:
                self._send(scheduler, scheduler.tick(self.now))
                self._spread(scheduler)
        self._sample()
        self.at(self.now + TICK_S, self._tick)

    def _sample(self):
        served = defaultdict(float)
        for request in self.done:
            served[request.workspace] += request.cost / request.weight
        busy = 0
        for server, units in self.busy.items():
            for request in units.values():
                used = (self.now - request.began) * self.speed[server]
                served[request.workspace] += min(used, request.cost) / request.weight
                busy += 1
        waiting = {
            request.workspace
            for router in self.routers.values()
            for request in router.requests.values()
            if request.state == "waiting"
        }
        capacity = self.units * sum(len(rows) for rows in self.shards.values())
        if waiting and busy < capacity:
            self.idle_while_waiting += TICK_S * (1 - busy / capacity)
        self.samples.append((self.now, dict(served), waiting))


@pytest.fixture
def virtual_pool():
    """Return the class, as each test builds its own pool."""
    return VirtualPool
