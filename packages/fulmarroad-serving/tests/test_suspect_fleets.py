"""Tests of how a fleet learns of requests that crash backend servers."""

import random

import pytest
from attrs import define, field
from fleet_bed import FleetBed

from fulmarroad_serving._fleet_view import MAX_SUSPECTS
from fulmarroad_serving._suspects import (
    Suspects,
    SuspectState,
)

PROPAGATION_LIMIT_S = 3.0
"""Time within which all connected routers must know of a third crash."""

MAX_LATE_SENDS = 3
"""Maximum number of sends by the whole fleet after that time."""

CALLS_PER_SERVER = 25
"""Concurrent calls of a server, all of which break when it crashes."""

PACKET_INTERVAL_S = 0.15
"""Time between two packets of a router."""

MEAN_UPTIME_S = 120.0
"""Mean time until a server crashes by itself: a crash each 13 s among nine servers."""

FIRST_CHUNK_DELAY_S = 0.3
"""Time from sending to the first part of an answer."""

POISON = b"p" * 16


class TestFleet:
    def spread(self, size, **faults):
        """Return a fleet in which three routers have just seen one crash each."""
        bed = FleetBed(size, **faults)
        bed.run(1.05)
        for number, host in enumerate(("h1", "h4", "h7")):
            bed.routers[host].dispatcher.suspects.note_crash(POISON, number, bed.now)
        return bed

    def hosts_without_bar(self, bed):
        return [
            row.host
            for row in bed.routers.values()
            if row.alive
            and row.dispatcher.suspects.suspect_state(POISON, bed.now)
            is not SuspectState.BARRED
        ]

    @pytest.mark.parametrize("size", [9, 60, 195])
    def test_every_router_bars_the_request_within_the_limit(self, size):
        bed = self.spread(size)
        bed.run(0.6)
        assert not self.hosts_without_bar(bed)

    def test_only_collectors_forward_received_records(self):
        """Guard against hundreds of routers that send rows back to their collectors."""
        bed = FleetBed(60)
        bed.run(1.05)
        first = next(
            host
            for host, row in bed.routers.items()
            if not row.view.is_collector(bed.now)
        )
        bed.routers[first].dispatcher.suspects.note_crash(POISON, 1, bed.now)
        sending_hosts = set()
        for _ in range(8):
            bed.tick()
            sending_hosts |= {
                host
                for host, row in bed.routers.items()
                if row.view._last_report.suspects and not row.view.is_collector(bed.now)
            }
        assert sending_hosts == {first}
        states = {
            row.dispatcher.suspects.suspect_state(POISON, bed.now)
            for row in bed.routers.values()
        }
        assert states == {SuspectState.SERIALIZED}

    @pytest.mark.parametrize("size", [9, 60])
    def test_lost_packets_only_delay_the_bar(self, size):
        bed = self.spread(size, loss=0.3)
        bed.run(PROPAGATION_LIMIT_S)
        assert not self.hosts_without_bar(bed)

    def test_the_bar_spreads_after_the_router_that_saw_the_crash_is_lost(self):
        """Guard against a lost crash.

        The router that saw the third crash is killed just after it sent the update.
        """
        bed = self.spread(9)
        bed.run(0.15)
        bed.routers["h7"].alive = False
        bed.run(PROPAGATION_LIMIT_S)
        assert not self.hosts_without_bar(bed)

    def test_a_router_that_starts_later_receives_the_bar(self):
        bed = self.spread(9)
        bed.run(5.0)
        bed.start(9)
        bed.run(PROPAGATION_LIMIT_S)
        assert not self.hosts_without_bar(bed)

    def test_a_data_centre_that_was_cut_off_receives_the_bar_when_connected_again(self):
        bed = FleetBed(60)
        bed.run(4.0)
        bed.cut = "taza"
        bed.run(3.0)
        for number in range(3):
            suspects = bed.routers["h1"].dispatcher.suspects
            suspects.note_crash(POISON, number, bed.now)
        bed.run(3.0)
        assert {int(host[1:]) % 3 for host in self.hosts_without_bar(bed)} == {2}
        bed.cut = ""
        bed.run(PROPAGATION_LIMIT_S)
        assert not self.hosts_without_bar(bed)


@define
class CrashSimulation:
    """Simulate routers with servers that crash by themselves or on a poison request.

    There are nine of each. A call that broke in a crash is retried on another server by
    its router or, where that may not retry it, repeated by the caller through any
    router. It may meet another crash there. `barred` counts the barred requests other
    than the poison one.
    """

    seed: int
    routers: list = field(factory=lambda: [Suspects() for _ in range(9)])
    now: float = 100.0
    barred: int = 0
    sends: list = field(factory=list)  # times at which the poison request was sent
    _crash_count: int = 0
    _running: dict = field(factory=dict)  # server: its requests, each with its router
    _sent_at: dict = field(factory=dict)  # request: time of its last send
    _repeats: list = field(factory=list)  # (time, request) that callers repeat
    _requests: int = 0
    _random: random.Random = field(init=False)

    def __attrs_post_init__(self):
        self._random = random.Random(self.seed)

    def simulate(self, seconds):
        self._running = {n: self._start_calls() for n in range(9)}
        for step in range(round(seconds / PACKET_INTERVAL_S)):
            self.now += PACKET_INTERVAL_S
            self._exchange_updates()
            for server in list(self._running):
                self._finish_calls(server)
                if self._random.random() < PACKET_INTERVAL_S / MEAN_UPTIME_S:
                    self._crash(server)
            self._send_due_repeats()
            if step % 7 == 0:
                self._send(POISON, self._random.randrange(9))

    def _start_calls(self):
        rows = {}
        for _ in range(CALLS_PER_SERVER):
            self._start_call(rows)
        return rows

    def _exchange_updates(self):
        for sender in self.routers:
            rows = sender.pop_updates(MAX_SUSPECTS, self.now)
            for receiver in self.routers:
                if receiver is not sender:
                    receiver.merge_rows(rows, self.now)

    def _finish_calls(self, server):
        rows = self._running[server]
        for request in self._random.sample(sorted(rows), len(rows) // 10):
            router = self.routers[rows.pop(request)]
            router.note_success(request, self.now)
            router.end(request)
        while len(rows) < CALLS_PER_SERVER:
            self._start_call(rows)

    def _start_call(self, rows):
        self._requests += 1
        request, router = b"%016d" % self._requests, self._random.randrange(9)
        rows[request] = router
        self._sent_at[request] = self.now
        self.routers[router].begin(request, 0, self.now)

    def _send_due_repeats(self):
        due = [row for row in self._repeats if row[0] <= self.now]
        self._repeats = [row for row in self._repeats if row[0] > self.now]
        for _, request in due:
            self._send(request, self._random.randrange(9))

    def _crash(self, server):
        self._crash_count += 1
        lost, self._running[server] = self._running[server], self._start_calls()
        for request, router in lost.items():
            answered_s = max(
                0.0, self.now - self._sent_at[request] - FIRST_CHUNK_DELAY_S
            )
            self.routers[router].note_crash(
                request, self._crash_count, self.now, answered_s=answered_s
            )
            self.routers[router].end(request)
        for request, router in lost.items():
            if (
                self.routers[router].suspect_state(request, self.now)
                < SuspectState.ISOLATED
            ):
                self._send(request, router, avoid=server)
            elif request != POISON:
                self._repeats.append(
                    (self.now + self._random.uniform(0.05, 0.9), request)
                )

    def _send(self, request, router, avoid=None):
        suspects = self.routers[router]
        if suspects.suspect_state(request, self.now) is SuspectState.BARRED:
            self.barred += request != POISON
            return
        if suspects.is_running(request, self.now):
            return
        free = [n for n in self._running if n != avoid]
        if suspects.suspect_state(request, self.now) is SuspectState.ISOLATED:
            is_running = suspects.trial_servers(self.now)
            free = [n for n in free if n not in is_running]
        if not free:
            self._repeats.append((self.now + self._random.uniform(0.8, 1.6), request))
            return
        server = self._random.choice(free)
        suspects.begin(request, server, self.now)
        self._sent_at[request] = self.now
        self._running[server][request] = router
        if request == POISON:
            self.sends.append(self.now)
            self._crash(server)


class TestCrashDays:
    @pytest.mark.parametrize("seed", [*range(5), 113, 125])
    def test_no_other_request_is_barred_where_servers_end_all_the_time(self, seed):
        """Guard against barring requests that run beside the one that crashes servers.

        Each server crashes every two minutes, and a request that crashes servers is
        among the calls. Others that run beside it break on one server after another.
        """
        simulation = CrashSimulation(seed)
        simulation.simulate(40.0)
        assert simulation.barred == 0

    @pytest.mark.parametrize("seed", range(5))
    def test_the_poison_request_is_sent_little_more_than_three_times(self, seed):
        simulation = CrashSimulation(seed)
        simulation.simulate(40.0)
        third = simulation.sends[2]
        late = [at for at in simulation.sends if at > third + PROPAGATION_LIMIT_S]
        assert len(late) <= MAX_LATE_SENDS
        assert len(simulation.sends) <= 3 + MAX_LATE_SENDS
