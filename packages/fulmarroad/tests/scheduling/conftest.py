"""A simulated pool of shards in virtual time, with real schedulers, queues and books.

Routers and backend servers are simple models; every decision that a test checks is made
by the library's own code. Nothing sleeps, and all randomness comes from a seeded
generator.
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
    """A caller's request and its state."""

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
    reported: float = 0.0
    ended: float = 0.0
    starts: int = 0

    @property
    def waited(self) -> float:
        return self.began - self.arrival


@define(eq=False)
class Router:
    """A model of a router with its requests and the schedulers that it follows.

    It lends on heartbeats, starts valid grants and resends its state to new schedulers.
    """

    name: str
    skew: float
    following: dict = field(factory=dict)  # shard: epoch
    hello_clock: dict = field(factory=dict)  # shard: clock in the hello last sent
    requests: dict = field(factory=dict)  # name: Request


class VirtualPool:
    """Simulate the shards and routers of a pool.

    `cut(source, target)` returns whether reports between two shards are dropped.
    """

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
        self.replaced = []  # replaced schedulers, which may still resume
        # Streams opened so far, by (router, shard).
        self.stream_count = defaultdict(int)
        self.paused_until = {}
        self.inbox = defaultdict(deque)  # by epoch: actions queued during a pause
        self.refused = []
        self.done = []
        self.late_grants = 0
        self.unit_conflicts = 0
        self.busy = defaultdict(dict)  # server: unit index -> request
        self.samples = []
        self.idle_while_waiting = 0.0
        self._events = []
        self._event_numbers = itertools.count()
        self._request_numbers = itertools.count()
        self._terms = itertools.count(1)
        for shard in self.shards:
            self.start_scheduler(shard)
        self.at(0.0, self._tick)

    # Setup and faults

    def start_scheduler(self, shard):
        """Start a scheduler without state; all routers follow it."""
        if shard in self.schedulers:
            self.replaced.append(self.schedulers[shard])
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

    def break_link(self, router, shard):
        """Break a router's stream and reopen it; messages in transit are lost."""
        scheduler = self.schedulers[shard]
        self.stream_count[router, shard] += 1
        self._deliver_to_scheduler(
            scheduler, lambda: scheduler.link_lost(router, self.now)
        )
        follower = self.routers[router]
        self.at(
            self.now + 0.02,
            lambda: self.follow(follower, shard, follower.following[shard]),
        )

    def pause(self, shard, seconds):
        """Pause a scheduler; it resumes later with its old state."""
        epoch = self.schedulers[shard].epoch
        resume_at = self.now + seconds
        self.paused_until[epoch] = max(resume_at, self.paused_until.get(epoch, 0.0))

    def cancel(self, name):
        """End all running requests of a router at once, as if callers had left."""
        router = self.routers[name]
        for request in router.requests.values():
            if request.state == "running":
                self._finish(router, request)

    def take_out_of_service(self, shard):
        """Take every backend server of a shard out of service."""
        scheduler = self.schedulers[shard]
        pool = Pool("chat", max_concurrency=self.units, cold_concurrency=self.units)
        servers = self.shards[shard]
        self._send_to_routers(
            scheduler, scheduler.set_tables(pool, servers, (), self.now)
        )

    def running_at(self, shard):
        """Return the number of requests that run on a shard's backend servers."""
        return sum(len(self.busy[server.name]) for server in self.shards[shard])

    def finish(self, until):
        """Run until every request has ended or was refused, or until a time."""
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
        self.stream_count[router.name, shard] += 1
        own_requests = [
            request for request in router.requests.values() if request.shard == shard
        ]
        waiting = [
            self._demand_message(request)
            for request in own_requests
            if request.state == "waiting"
        ]
        running = [
            self._running_lease(request)
            for request in own_requests
            if request.state == "running"
        ]
        hints = [
            ServerHint(server.name, self.units, Warmth.WARM, 0.0)
            for server in self.shards[shard]
        ]
        clock = router.hello_clock[shard] = self.now + router.skew
        hello = Hello(
            shard, router.name, 1, "dc1", clock, waiting, running, tuple(hints)
        )
        self._send_to_scheduler(router, shard, hello)

    def submit(self, workspace, cost, *, shard=None, router=None, at=None, **options):
        """Schedule the arrival of a request and return the request."""
        number = next(self._request_numbers)
        names = list(self.routers)
        shards = list(self.shards)
        request = Request(
            f"q{number}",
            workspace,
            cost,
            options.pop("hint", cost),
            options.pop("weight", 1.0),
            self.now if at is None else at,
            options.pop("deadline", 1e6),
            router or names[number % len(names)],
            shards[number % len(shards)] if shard is None else shards[shard],
            options.pop("avoid", ()),
        )
        assert not options
        self.at(request.arrival, lambda: self._arrive(request))
        return request

    def at(self, when, action):
        heapq.heappush(self._events, (when, next(self._event_numbers), action))

    def run(self, until):
        while self._events and self._events[0][0] <= until:
            self.now, _, action = heapq.heappop(self._events)
            action()
        self.now = until

    # Results

    def wait_times(self, workspace):
        rows = [request for request in self.done if request.workspace == workspace]
        return sorted(row.waited for row in rows)

    def gap(self, one, other, start=0.0, end=1e9):
        """Return the largest service gap in any interval in which both were waiting."""
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

    # Router model

    def _arrive(self, request):
        self.routers[request.router].requests[request.name] = request
        self._send_demand(request)

    def _send_demand(self, request):
        router = self.routers[request.router]
        self._send_to_scheduler(router, request.shard, self._demand_message(request))

    def _demand_message(self, request):
        return Demand(
            request.shard,
            request.name,
            request.workspace,
            request.weight,
            request.hint,
            self.now - request.arrival,
            request.deadline - self.now,
            avoid=request.avoid,
            moves=request.moves,
        )

    def _running_lease(self, request):
        used = (self.now - request.began) * self.speed[request.lease.unit.server]
        return RunningLease(
            request.lease.lease_id,
            request.name,
            request.workspace,
            request.lease.unit,
            self.now - request.began,
            request.deadline - self.now,
            min(used, request.cost),
        )

    def _receive(self, router, scheduler, message):
        if router.following.get(message.shard) != scheduler.epoch:
            if isinstance(message, Grant):
                self._handle_grant(router, message)
            return
        if isinstance(message, Heartbeat):
            clock = self.now + router.skew
            lend = Lend(message.shard, message.epoch, message.clock, clock)
            self._send_to_scheduler(router, message.shard, lend)
        elif isinstance(message, Grant):
            self._handle_grant(router, message)
        elif isinstance(message, Move):
            self._handle_move(router, message)
        elif isinstance(message, Refuse):
            request = router.requests[message.demand_id]
            request.state = "refused"
            self.refused.append(request)
        else:
            assert isinstance(message, Welcome | StepDown)

    def _handle_grant(self, router, grant):
        request = router.requests.get(grant.demand_id)
        epoch = router.following.get(grant.shard)
        hello_clock = router.hello_clock[grant.shard]
        valid = grant_valid(grant, epoch, self.now + router.skew, hello_clock)
        if not valid or request is None or request.state != "waiting":
            self.late_grants += not valid
            done = Finished(grant.shard, grant.lease_id, Outcome.DECLINED, 0.0)
            self._send_to_scheduler(router, grant.shard, done)
            if request is not None and request.state == "waiting":
                self._send_demand(request)
            return
        self._send_to_scheduler(
            router, grant.shard, Started(grant.shard, grant.lease_id)
        )
        self._start(router, request, grant)

    def _start(self, router, request, grant):
        request.state = "running"
        request.lease = grant
        request.shard = grant.shard
        request.began = self.now
        request.starts += 1
        units = self.busy[grant.unit.server]
        if grant.unit.index in units:
            self.unit_conflicts += 1
        units[grant.unit.index] = request
        ends = self.now + request.cost / self.speed[grant.unit.server]
        self.at(ends, lambda: self._finish(router, request))
        self.at(self.now + PROGRESS_S, lambda: self._progress(router, request))

    def _progress(self, router, request):
        if request.state != "running":
            return
        used = (self.now - request.began) * self.speed[request.lease.unit.server]
        row = ServiceUsed(request.lease.lease_id, used - request.reported)
        message = Progress(request.shard, (row,))
        request.reported = used
        self._send_to_scheduler(router, request.shard, message)
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
        self._send_to_scheduler(router, request.shard, message)

    def _handle_move(self, router, move):
        request = router.requests[move.demand_id]
        if request.state != "waiting":
            return
        request.shard = move.target
        request.moves += 1
        self._send_demand(request)

    # Network

    def _send_to_scheduler(self, router, shard, message):
        scheduler = self.schedulers[shard]
        stream_number = self.stream_count[router.name, shard]

        def arrive():
            if stream_number == self.stream_count[router.name, shard]:
                self._deliver_to_scheduler(
                    scheduler,
                    lambda: scheduler.handle(router.name, message, self.now),
                )

        self.at(self.now + DELAY_S, arrive)

    def _deliver_to_scheduler(self, scheduler, action):
        """Run an action at a scheduler, in order and after any pause."""
        self.inbox[scheduler.epoch].append(action)
        self._process_inbox(scheduler)

    def _process_inbox(self, scheduler):
        resume_at = self.paused_until.get(scheduler.epoch, 0.0)
        if resume_at > self.now:
            self.at(resume_at, lambda: self._process_inbox(scheduler))
            return
        inbox = self.inbox[scheduler.epoch]
        while inbox:
            self._send_to_routers(scheduler, inbox.popleft()())

    def _send_to_routers(self, scheduler, sends):
        for send in sends:
            self.at(self.now + DELAY_S, self._delivery(scheduler, send))

    def _delivery(self, scheduler, send):
        router = self.routers[send.router]
        shard = scheduler.shard
        stream_number = self.stream_count[router.name, shard]

        def deliver():
            replaced = router.following.get(shard) != scheduler.epoch
            if replaced or stream_number == self.stream_count[router.name, shard]:
                self._receive(router, scheduler, send.message)

        return deliver

    def _send_report(self, scheduler):
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
                    lambda o=other: self._deliver_to_scheduler(
                        o, lambda: o.receive_report(report, self.now)
                    ),
                )

    def _tick(self):
        for scheduler in (*self.schedulers.values(), *self.replaced):
            if self.paused_until.get(scheduler.epoch, 0.0) <= self.now:
                self._send_to_routers(scheduler, scheduler.tick(self.now))
                self._send_report(scheduler)
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
    """Return the class, as each test creates its own pool."""
    return VirtualPool
