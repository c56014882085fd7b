"""A fleet in memory with several owners: the served code, without a network."""

import heapq
import itertools
import random

import anyio
from attrs import define, evolve, field
from owner_bed import make_dispatcher

from fulmarroad_serving import Demand, Placement, parse_features
from fulmarroad_serving._features import FeatureBook
from fulmarroad_serving._granting import Granter
from fulmarroad_serving._owner_client import OwnerClient
from fulmarroad_serving._owner_messages import (
    REPLY_FORMAT,
    REQUEST_FORMAT,
    ProgressNote,
    ProgressReport,
    ReplyKind,
    pack_reply,
    read_progress,
    read_reply,
    read_request,
)
from fulmarroad_serving._owners import OwnerTable
from fulmarroad_serving._reports import unpack
from fulmarroad_serving._spilling import Spiller

SERVICE = "drafting"
SPILLING, REFUSING = "spillover=on", "spillover=off"


@define
class Member:
    """One router, which may own engines."""

    name: str
    dispatcher: object
    owners: OwnerTable
    granter: Granter


@define
class ScriptedRun:
    """The state of a call that a spill needs."""

    demand: Demand
    begun_at: float
    deadline: float
    spilled: bool = False

    def remaining_s(self, now):
        return self.deadline - now


class SpillFleet:
    """Routers of which some own engines, and a router `a` that has the calls."""

    def __init__(self, owners=3, engines=15, features=SPILLING):
        self.now = 100.0
        self.features = features
        self.owners = {f"o{n}": "fes" for n in range(owners)}
        self.members = {name: self._member(name, engines) for name in self.owners}
        self.cut = set()
        self.replies_lost = set()
        self.asked = []
        self.objectives = []
        self.late = []
        self.a = self._dispatcher("a", engines)
        table = OwnerTable(self.a.registry.usable, me="a")
        table.set_routers(self.owners)
        self.client = OwnerClient(
            "a", 5, self.a, table, random.Random(1), lambda: self.now
        )
        self.client.send = self._deliver
        self.a.on_progress = self.client.note_progress
        self.spiller = Spiller(self.client, self.a, lambda: self.now)
        self.report_rooms()

    def _dispatcher(self, name, engines):
        dispatcher = make_dispatcher(name, engines)
        dispatcher.settings._features = FeatureBook(parse_features(self.features))
        return dispatcher

    def _member(self, name, engines):
        dispatcher = self._dispatcher(name, engines)
        table = OwnerTable(dispatcher.registry.usable, me=name)
        table.set_routers(self.owners)
        granter = Granter(name, 7, dispatcher, table)
        return Member(name, dispatcher, table, granter)

    def _deliver(self, owner, data):
        row = unpack(data)
        assert row[0] != REPLY_FORMAT
        if owner in self.cut:
            return
        granter = self.members[owner].granter
        if row[0] != REQUEST_FORMAT:
            granter.receive_progress(read_progress(row), self.now)
            return
        self.asked.append(owner)
        request = read_request(row)
        self.objectives.append(request.demand.objective_s)
        reply = granter.receive_request(request, self.now).reply
        if owner in self.replies_lost:
            self.late.append(reply)
        else:
            self.client.receive_reply(read_reply(unpack(pack_reply(reply))))

    def room(self, name):
        member = self.members[name]
        rows = member.owners.owned(SERVICE).rows
        return member.dispatcher.room(SERVICE, rows, self.now)

    def report_rooms(self):
        """Let router `a` and the owners hear of the room of each owner."""
        hearers = [self.a, *(row.dispatcher for row in self.members.values())]
        for name in self.members:
            for dispatcher in hearers:
                dispatcher.rooms.note(name, self.room(name), self.now)

    def fill(self, name, seconds=2.0):
        """Give each engine of an owner work for some seconds, of other routers."""
        member = self.members[name]
        for row in member.owners.owned(SERVICE).rows:
            load = member.dispatcher.load(row.instance.id)
            load.send(row.instance.id, int(seconds * load.read_rate), self.now)

    def running(self):
        """Return the calls of router `a` that owners count."""
        return sum(len(row.granter._granted) for row in self.members.values())

    async def place(self, demand, held_s=0.0, *, may_wait=True):
        """Ask the first owner, and a second one if it refuses."""
        run = ScriptedRun(demand, self.now - held_s, self.now + 4.0)
        first = self.client.owner_for(demand)
        if first is None:
            return None
        placed = await self.client.request(first, demand, (), may_wait=may_wait)
        if placed is None or isinstance(placed, Placement):
            return placed
        return await self.spiller.spill(run, placed, ()) or placed

    def flush(self):
        for owner, data in self.client.pop_notes():
            self._deliver(owner, data)


@define
class DayResult:
    """What became of the calls of a simulated day."""

    served: int = 0
    refused: int = 0
    asked: dict = field(factory=dict)
    engines: list = field(factory=list)
    """Time and engine of each call for the observed part."""

    def engines_between(self, begin, end):
        return {name for at, name in self.engines if begin <= at < end}


def simulate(fleet, calls, observed, report_s=0.15):
    """Serve calls, given with their times, at engines that keep to the estimates.

    Owners report their rooms every `report_s` seconds, and only then.
    """
    result, source = DayResult(), random.Random(3)
    numbers = itertools.count(1)
    ends = []
    reported_at = 0.0
    parts = [row.dispatcher.parts for row in fleet.members.values()]
    for at, demand in calls:
        while ends and ends[0][0] <= at:
            fleet.now, _, name, note = heapq.heappop(ends)
            report = ProgressReport("a", 5, (note,))
            fleet.members[name].granter.receive_progress(report, fleet.now)
        fleet.now = at
        if at - reported_at >= report_s:
            fleet.report_rooms()
            reported_at = at
        reply = _ask_twice(fleet, demand, source)
        if reply.kind is not ReplyKind.GRANTED:
            result.refused += 1
            continue
        result.served += 1
        if demand.part == observed:
            result.engines.append((at, reply.server))
        for memory in parts:
            memory.note(demand.prompt.part, reply.server, at)
        begun_at = at + reply.wait_s + reply.read_s
        for due, ended in ((begun_at, False), (begun_at + 0.5, True)):
            note = ProgressNote(reply.number, not ended, ended)
            heapq.heappush(ends, (due, next(numbers), reply.owner, note))
    return result


def _ask_twice(fleet, demand, source):
    reply = _ask(fleet, fleet.client.owner_for(demand), demand)
    if reply.kind is ReplyKind.GRANTED or fleet.features != SPILLING:
        return reply
    tokens = demand.prompt_tokens
    others = [name for name in fleet.members if name != reply.owner]
    second = fleet.a.rooms.choose(others, tokens, source, fleet.now)
    if second is None:
        return reply
    fleet.a.rooms.note_sent(second, tokens, fleet.now)
    return _ask(fleet, second, demand)


def _ask(fleet, owner, demand):
    request = fleet.client.new_request(owner, demand, (), may_wait=False)
    granter = fleet.members[owner].granter
    reply = granter.receive_request(request, fleet.now).reply
    fleet.a.rooms.note(owner, reply.room, fleet.now)
    return reply


def run(test):
    """Run an async test with a limit on its time."""

    async def limited():
        with anyio.fail_after(10):
            await test()

    anyio.run(limited)


def numbered(demand, number, **changes):
    """Return a call like another one, of another request."""
    fraction = (number * 0.618) % 1.0
    return evolve(demand, call_id=f"c-{number}", hash_fraction=fraction, **changes)
