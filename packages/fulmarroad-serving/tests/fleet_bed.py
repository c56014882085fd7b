"""Simulated routers that exchange reports in virtual time, without sockets."""

import random

import msgpack
from attrs import define, field

from fulmarroad_serving import Dispatcher, FleetBounds
from fulmarroad_serving._digests import is_digest, pack_digest, read_digest
from fulmarroad_serving._fleet_view import FleetView
from fulmarroad_serving._peers import RELAYED_REPORT_S
from fulmarroad_serving._reports import PeerReport, pack_report, read_report

CENTRES = ("fes", "rabat", "taza")
TICK_S = RELAYED_REPORT_S


@define
class Router:
    """Hold a simulated router, its number of running calls and whether it is up."""

    view: FleetView
    dispatcher: Dispatcher
    host: str
    centre: str
    running: int
    alive: bool = True
    sequence: int = 0


@define
class FleetBed:
    """Simulate a fleet that exchanges packets in ticks.

    A fraction `loss` of the packets is lost, and the data centre `cut` is cut off.
    """

    size: int
    loss: float = 0.0
    cut: str = ""
    now: float = 100.0
    routers: dict = field(factory=dict)
    packets: int = 0
    seeds: tuple = ("h0", "h1", "h2")
    centres: tuple = CENTRES
    _random: random.Random = field(factory=lambda: random.Random(7))

    def __attrs_post_init__(self):
        for number in range(self.size):
            self.start(number)

    def start(self, number, incarnation=1):
        name, centre = f"r{number}", self.centres[number % len(self.centres)]
        dispatcher = Dispatcher(name, centre, FleetBounds(), number)
        source = random.Random(number)
        view = FleetView(name, centre, f"h{number}", dispatcher, source)
        router = Router(view, dispatcher, f"h{number}", centre, 1 + number % 5)
        for _ in range(router.running):
            dispatcher.load("s").send("s", 100, self.now)
        dispatcher.shares.note_asked(name, 1.0, self.now)
        self.routers[f"h{number}"] = router
        router.sequence = incarnation * 1000

    def tick(self):
        self.now += TICK_S
        for router in [row for row in self.routers.values() if row.alive]:
            router.dispatcher.shares.note_asked("coop", 1.0, self.now)
            for data, hosts in self._packets(router):
                for host in hosts:
                    self._deliver(router, host, data)

    def report(self, host):
        router = self.routers[host]
        return PeerReport(
            f"r{host[1:]}",
            1,
            router.sequence,
            router.centre,
            host,
            False,
            0,
            0.1,
            60.0,
            router.dispatcher.own_load(),
            router.dispatcher.shares.own_counts(self.now),
        )

    def _packets(self, router):
        router.sequence += 1
        view, now = router.view, self.now
        report = view.complete_report(self.report(router.host), now)
        hosts = view.receivers(self.seeds, router.sequence, now)
        rows = [(pack_report(report), hosts)]
        for digest, followers in view.digests(now):
            rows.append((pack_digest(digest), followers))
        return rows

    def _deliver(self, sender, host, data):
        self.packets += 1
        to = self.routers.get(host)
        if to is None or not to.alive or self._random.random() < self.loss:
            return
        if self.cut and (sender.centre == self.cut) != (to.centre == self.cut):
            return
        row = msgpack.unpackb(data)
        if is_digest(row):
            to.view.receive_digest(read_digest(row), self.now)
        else:
            to.view.receive_report(read_report(row), self.now)

    def run(self, seconds):
        for _ in range(round(seconds / TICK_S)):
            self.tick()

    def errors(self):
        """Return each router's count of running calls minus the true count."""
        alive = [row for row in self.routers.values() if row.alive]
        true = sum(row.running for row in alive)
        return [
            row.dispatcher.load("s").total_running(self.now) - true for row in alive
        ]
