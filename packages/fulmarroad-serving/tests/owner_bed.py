"""Two routers in memory: one has the calls, the other one owns the servers."""

import random

from attrs import define, field

from fulmarroad_serving import (
    CallerLimits,
    Catalog,
    Demand,
    Dispatcher,
    EngineProfile,
    FleetBounds,
    Instance,
    Service,
)
from fulmarroad_serving._granting import Granter
from fulmarroad_serving._owner_client import OwnerClient
from fulmarroad_serving._owner_messages import (
    REPLY_FORMAT,
    REQUEST_FORMAT,
    pack_reply,
    read_progress,
    read_reply,
    read_request,
)
from fulmarroad_serving._owners import OwnerTable
from fulmarroad_serving._reports import unpack

CALL = Demand("c-1", "drafting", "coop", 0.6, "part", 6_000, 2_000, 50)
LOOKUP = Demand("c-2", "ledger", "coop", 0.34)


def make_dispatcher(name, engines=3, plain=2, warmup_rate=0.0):
    bounds = FleetBounds(warmup_factor=1.5, warmup_tolerance=5.0)
    dispatcher = Dispatcher(name, "fes", bounds, 1)
    profile = EngineProfile(32)
    services = {
        "drafting": Service("drafting", engine=profile, warmup_rate=warmup_rate),
        "ledger": Service("ledger"),
    }
    dispatcher.set_catalog(Catalog(1, services=services, limits=CallerLimits()))
    for service, count, slots in (("drafting", engines, 32), ("ledger", plain, 6)):
        for n in range(count):
            instance = Instance(f"{service}-{n}", service, "h", n, "fes", slots)
            dispatcher.registry.put(instance, 0.0)
    return dispatcher


@define
class OwnerBed:
    """Connect the client of router `a` with the granter of router `b`.

    Packets arrive at once, or are lost while `cut` is set.
    """

    now: float = 100.0
    cut: bool = False
    replies_lost: bool = False
    packets: int = 0
    warmup_rate: float = 0.0  # calls a second that a cold server may get
    a: Dispatcher = field(init=False)
    b: Dispatcher = field(init=False)
    client: OwnerClient = field(init=False)
    granter: Granter = field(init=False)

    def __attrs_post_init__(self):
        self.a, self.b = [
            make_dispatcher(name, warmup_rate=self.warmup_rate) for name in "ab"
        ]
        tables = [
            OwnerTable(row.registry.usable, me=name)
            for name, row in (("a", self.a), ("b", self.b))
        ]
        for table in tables:
            table.set_routers({"b": "fes"})
        self.granter = Granter("b", 7, self.b, tables[1])
        self.client = OwnerClient(
            "a", 5, self.a, tables[0], random.Random(1), lambda: self.now
        )
        self.client.send = self.deliver
        self.a.on_progress = self.client.note_progress

    def deliver(self, owner, data):
        self.packets += 1
        if self.cut:
            return
        row = unpack(data)
        assert row[0] != REPLY_FORMAT
        if row[0] == REQUEST_FORMAT:
            answer = self.granter.receive_request(read_request(row), self.now)
            self.answer([answer])
        else:
            self.granter.receive_progress(read_progress(row), self.now)

    def answer(self, replies):
        for row in replies:
            if not self.replies_lost:
                self.client.receive_reply(read_reply(unpack(pack_reply(row.reply))))

    def flush(self):
        for owner, data in self.client.pop_notes():
            self.deliver(owner, data)

    def list_held(self):
        for owner, data in self.client.held_lists():
            self.deliver(owner, data)

    async def place(self, demand=CALL, avoid=(), *, may_wait=True):
        return await self.client.request("b", demand, avoid, may_wait=may_wait)

    def running(self, service="drafting"):
        """Return the calls that router b counts at the servers of a service."""
        rows = self.b.registry.usable(service)
        return sum(self.b.load(row.instance.id).running for row in rows)
