"""Membership detects failed VMs and declares no running VM dead."""

import heapq
import random

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from fulmarroad import messages
from fulmarroad.membership import PACKET_BYTES, TICK_S, Swim, VmEntry
from fulmarroad.types import MemberState

ALIVE, SUSPECT = MemberState.ALIVE, MemberState.SUSPECT
LEAVING, DEAD = MemberState.LEAVING, MemberState.DEAD


def update(name, incarnation=1, state=ALIVE):
    host = f"10.0.0.{name}"
    return messages.MemberUpdate(name, incarnation, state, "fes-1", host, 7000, 7001)


def entry(name, leaving=False):
    return VmEntry(name, "fes-1", f"10.0.0.{name}", 7000, 7001, leaving)


def page(*updates):
    return messages.MembersReply(0, "giver", 0, updates)


class Fleet:
    """Exchange messages between state machines in virtual time."""

    def __init__(self, count, seed=1, loss=0.0, knows_members=True):
        self.now = 0.0
        self.rng = random.Random(seed)
        self.loss = loss
        self.duplicates = 0.0
        self.delay = 0.002
        self.queue = []
        self.order = 0
        self.stopped = set()
        self.cut = lambda one, other: False
        self.on_change = lambda name: None
        self.sent = []
        self.changes = []
        self.swims = {}
        self.names = [f"r{index}" for index in range(count)]
        self.entries = [entry(name) for name in self.names]
        for name in self.names:
            self.start(name)
        if knows_members:
            all_members = page(*(update(name) for name in self.names))
            for swim in self.swims.values():
                swim.handle(all_members, self.now)
                swim.changes()

    def start(self, name, incarnation=1):
        swim = Swim(update(name, incarnation), seed=self.rng.random(), now=self.now)
        self.swims[name] = swim
        self.post(name, swim.hint(self.entries, self.now))
        self.at(self.now + self.rng.random() * TICK_S, self.tick, swim)

    def at(self, when, call, *args):
        self.order += 1
        heapq.heappush(self.queue, (when, self.order, call, args))

    def tick(self, swim):
        name = swim.me.router
        if self.swims[name] is not swim:
            return
        if name not in self.stopped:
            self.post(name, swim.tick(self.now))
        self.at(self.now + TICK_S, self.tick, swim)

    def post(self, name, out):
        self.changes += [(name, change) for change in self.swims[name].changes()]
        self.sent += out
        for row in out:
            copies = 2 if self.rng.random() < self.duplicates else 1
            for _ in range(copies):
                if self.rng.random() >= self.loss and not self.cut(name, row.router):
                    delay = self.delay * self.rng.uniform(0.5, 1)
                    self.at(self.now + delay, self.deliver, row)

    def deliver(self, row):
        if row.router not in self.stopped:
            out = self.swims[row.router].handle(row.message, self.now)
            self.post(row.router, out)
            self.on_change(row.router)

    def run(self, seconds=60.0, until=lambda: False):
        """Run until a condition holds or `seconds` are over; return the seconds run."""
        started, next_check = self.now, self.now
        while self.queue[0][0] <= started + seconds:
            if self.now >= next_check:
                next_check = self.now + TICK_S
                if until():
                    break
            self.now, _, call, args = heapq.heappop(self.queue)
            call(*args)
        return self.now - started

    def all_see(self, subject, state):
        watching = set(self.names) - {subject} - self.stopped
        rows = [self.swims[name].members().get(subject) for name in watching]
        return all(row is not None and row.state is state for row in rows)

    def all_live(self):
        running = tuple(sorted(set(self.names) - self.stopped))
        return all(self.swims[name].live() == running for name in running)

    def deaths(self):
        return [(by, row.router) for by, row in self.changes if row.after is DEAD]


class TestFailureDetection:
    @pytest.mark.parametrize("count", [2, 3, 5, 9])
    @pytest.mark.parametrize("seed", range(5))
    def test_failed_vm_is_declared_dead_by_all_within_seconds(self, count, seed):
        # A VM loses power. Callers wait for the schedulers on it until the other
        # members detect the failure.
        fleet = Fleet(count, seed)
        fleet.run(5 + seed / 5)
        fleet.stopped.add("r1")
        assert fleet.run(until=lambda: fleet.all_see("r1", DEAD)) < 6

    def test_vm_with_broken_link_is_declared_dead_in_about_two_seconds(self):
        # A scheduler's VM fails and the streams of its followers break at once.
        fleet = Fleet(9)
        fleet.run(5)
        fleet.stopped.add("r1")
        fleet.post("r2", fleet.swims["r2"].probe_now("r1", fleet.now))
        seen = lambda: fleet.swims["r2"].members()["r1"].state is DEAD  # noqa: E731
        assert fleet.run(until=seen) < 2.1

    @pytest.mark.parametrize("seed", range(3))
    def test_lost_packets_cause_no_deaths(self, seed):
        # A tenth of all packets is lost for two minutes. A VM that is declared dead
        # loses its schedulers, which are rebuilt on other VMs while callers wait.
        fleet = Fleet(9, seed, loss=0.1)
        fleet.run(120)
        assert fleet.deaths() == []
        assert fleet.all_live() or fleet.run(5, fleet.all_live) < 5

    def test_one_broken_path_causes_no_suspicion(self):
        # Two VMs cannot reach each other, but all other VMs reach both.
        fleet = Fleet(5)
        fleet.cut = lambda one, other: {one, other} == {"r1", "r2"}
        fleet.run(60)
        assert fleet.changes == []

    def test_leaving_vm_gets_no_roles_and_never_becomes_alive_again(self):
        # A drained VM keeps running for a while before it stops.
        fleet = Fleet(9)
        fleet.run(5)
        fleet.post("r1", fleet.swims["r1"].leave(fleet.now))
        assert "r1" not in fleet.swims["r1"].live()
        assert fleet.run(until=lambda: fleet.all_see("r1", LEAVING)) < 3
        fleet.run(30)
        assert fleet.all_see("r1", LEAVING)
        fleet.stopped.add("r1")
        fleet.run(until=lambda: fleet.all_see("r1", DEAD))
        states = {row.after for _, row in fleet.changes if row.router == "r1"}
        assert states == {LEAVING, DEAD}


class TestRecovery:
    def test_resumed_process_suspects_no_member(self):
        # A VM is frozen for ten seconds during a probe and resumes with all timers
        # expired. It must not declare the other VMs dead, which would cost them their
        # roles.
        fleet = Fleet(9)
        fleet.run(5.3)
        fleet.stopped.add("r1")
        fleet.run(10)
        assert fleet.all_see("r1", DEAD)
        fleet.stopped.clear()
        changes_before_resume = len(fleet.changes)
        assert fleet.run(until=fleet.all_live) < 5
        fleet.run(10)
        changed = {row.router for _, row in fleet.changes[changes_before_resume:]}
        assert changed == {"r1"}
        assert fleet.swims["r1"].me.incarnation == 2

    def test_probe_sent_before_a_pause_causes_no_suspicion(self):
        # A process pauses right after sending a probe. The answer is still in its
        # socket's buffer when it resumes.
        swim = Swim(update("r0"), seed=1, now=0.0)
        swim.handle(page(update("r1")), 0.0)
        probes = [row.message for row in swim.tick(0.0)]
        assert any(isinstance(probe, messages.Ping) for probe in probes)
        swim.changes()
        swim.tick(10.0)
        assert swim.recovering_from_pause(10.0)
        assert swim.changes() == []

    def test_restarted_vm_knows_all_members_within_seconds(self):
        # A VM is replaced under the same name, without any stored state.
        fleet = Fleet(24)
        fleet.run(5)
        fleet.start("r1", incarnation=2)
        assert fleet.run(until=fleet.all_live) < 2
        assert fleet.swims["r1"].joined(fleet.now)
        assert fleet.run(until=lambda: fleet.all_see("r1", ALIVE)) < 2

    def test_routers_that_start_together_find_each_other(self):
        fleet = Fleet(40, knows_members=False)
        assert fleet.run(until=fleet.all_live) < 5

    def test_single_router_joins_after_a_timeout(self):
        fleet = Fleet(3, knows_members=False)
        fleet.stopped = {"r1", "r2"}
        fleet.run(2)
        assert not fleet.swims["r0"].joined(fleet.now)
        fleet.run(2)
        assert fleet.swims["r0"].joined(fleet.now)
        assert fleet.swims["r0"].live() == ("r0",)

    @pytest.mark.parametrize(("count", "length"), [(2, 20), (9, 60), (9, 600)])
    def test_halves_rejoin_after_a_partition(self, count, length):
        # During a partition both halves declare each other dead. When the network
        # recovers, the VM list is unavailable.
        fleet = Fleet(count)
        half = set(fleet.names[: count // 2])
        fleet.cut = lambda one, other: (one in half) != (other in half)
        fleet.run(length)
        assert fleet.swims["r0"].live() == tuple(sorted(half))
        fleet.cut = lambda one, other: False
        assert fleet.run(until=fleet.all_live) < 15

    def test_outdated_gossip_does_not_revive_a_dead_vm(self):
        # A process resumes after hours and still spreads that a replaced VM is alive.
        swim = Swim(update("r0"), seed=1, now=0.0)
        swim.handle(page(update("r1", 5)), 0.0)
        swim.handle(page(update("r1", 5, DEAD)), 1.0)
        for now in (2.0, 8000.0):
            swim.tick(now)
            swim.handle(page(update("r1", 5), update("r1", 4)), now)
            assert swim.live() == ("r0",)
        assert "r1" not in swim.members()
        swim.handle(page(update("r1", 6)), 8001.0)
        assert swim.live() == ("r0", "r1")

    def test_restart_with_earlier_clock_refutes_the_previous_incarnation(self):
        # A VM restarts with its clock set back, so that the fleet knows it with a
        # higher incarnation.
        swim = Swim(update("r0", 10), seed=1, now=0.0)
        swim.handle(page(update("r0", 99)), 0.0)
        assert swim.me.incarnation == 100
        assert [row.cause for row in swim.changes()] == ["refuted"]


class TestVmList:
    def test_vm_missing_from_the_list_stays_live(self):
        # The list is outdated, or a fault of the platform dropped half of it.
        fleet = Fleet(3)
        for swim in fleet.swims.values():
            swim.hint(fleet.entries[:1], fleet.now)
        fleet.run(20)
        assert fleet.all_live()
        assert fleet.swims["r0"].vm_list.published("fes-1") == ("r0",)

    def test_listed_vm_that_never_answers_is_not_live(self):
        fleet = Fleet(3)
        fleet.swims["r0"].hint([*fleet.entries, entry("gone")], fleet.now)
        fleet.deliver = lambda row, deliver=fleet.deliver: (
            deliver(row) if row.router != "gone" else None
        )
        fleet.run(20)
        assert any(row.router == "gone" for row in fleet.sent)
        assert "gone" not in fleet.swims["r0"].members()

    def test_vm_listed_as_leaving_gets_no_roles(self):
        swim = Swim(update("r0"), seed=1, now=0.0)
        swim.handle(page(update("r1"), update("r2")), 0.0)
        swim.hint([entry("r0"), entry("r1", leaving=True)], 0.0)
        assert swim.live("fes-1") == ("r0", "r2")
        assert swim.vm_list.published() == ("r0", "r1")

    def test_empty_list_is_ignored(self):
        swim = Swim(update("r0"), seed=1, now=0.0)
        swim.hint([entry("r0"), entry("r1")], 0.0)
        swim.hint([], 1.0)
        assert swim.vm_list.published() == ("r0", "r1")

    def test_vm_with_a_reused_address_does_not_answer_for_the_previous_vm(self):
        # A new VM reuses the address of a removed one. If it answered probes of the
        # removed VM, that one would count as alive for as long as the new one runs.
        swim = Swim(update("r0"), seed=1, now=0.0)
        ping = messages.Ping(1, "r1", 1, 0, (update("r1"),), "former")
        assert swim.handle(ping, 0.0) == []


class TestPackets:
    def test_largest_packet_fits_the_size_limit(self):
        swim = Swim(update("r" * 64), seed=1, now=0.0)
        names = [f"{index:064}" for index in range(60)]
        for name in names:
            row = messages.MemberUpdate(name, 2**50, SUSPECT, "c" * 64, "h" * 64, 1, 1)
            ping = messages.Ping(1, name, 2**50, 2**40, (row,), "r" * 64)
            swim.handle(ping, 0.0)
        request = messages.MembersRequest(1, names[0], 0)
        out = swim.handle(request, 0.0) + swim.probe_now(names[1], 0.0)
        sizes = [len(messages.encode(row.message)) for row in out]
        assert len(sizes) == 2
        assert 900 < max(sizes) <= PACKET_BYTES - 16

    def test_members_with_too_long_names_are_ignored(self):
        swim = Swim(update("r0"), seed=1, now=0.0)
        swim.handle(page(update("n" * 65)), 0.0)
        assert swim.live() == ("r0",)

    def test_traffic_per_router_does_not_grow_with_fleet_size(self):
        rates = []
        for count in (3, 60):
            fleet = Fleet(count)
            fleet.run(40)
            fleet.sent.clear()
            fleet.run(10)
            size = sum(len(messages.encode(row.message)) for row in fleet.sent)
            rates.append(size / count / 10)
        assert rates[1] < 1.2 * rates[0] < 400


class TestVersions:
    def test_new_version_reaches_370_routers_within_two_seconds(self):
        # An operator publishes a change and one router reads it. Each other router
        # needs 0.1 s to fetch it from the router that announced it.
        fleet = Fleet(370)
        fetched = {"r0": 0}

        def announce(name, hops):
            fetched[name] = hops
            fleet.post(name, fleet.swims[name].announce_version(7, fleet.now))

        def fetch(name):
            version, source = fleet.swims[name].highest_reported_version()
            if version == 7 and name not in fetched:
                fetched[name] = -1
                fleet.at(fleet.now + 0.1, announce, name, fetched[source] + 1)

        fleet.on_change = fetch
        announce("r0", 0)
        assert fleet.run(until=lambda: len(fetched) == 370) < 1.5
        fleet.run(0.2)
        assert max(fetched.values()) < 12

    def test_source_of_a_version_is_a_reachable_router(self):
        # The only router with a version fails before any other router fetched it.
        swim = Swim(update("r0"), seed=1, now=0.0)
        assert swim.highest_reported_version() == (0, "")
        for name, version in (("r1", 7), ("r2", 6)):
            ping = messages.Ping(1, name, 1, version, (update(name),), "r0")
            swim.handle(ping, 0.0)
        assert swim.highest_reported_version() == (7, "r1")
        swim.handle(page(update("r1", 1, DEAD)), 0.0)
        assert swim.highest_reported_version() == (6, "r2")

    def test_lower_version_is_not_announced(self):
        fleet = Fleet(3)
        assert len(fleet.swims["r0"].announce_version(7, 0.0)) == 2
        assert fleet.swims["r0"].announce_version(6, 0.0) == []
        assert fleet.swims["r0"].table_version == 7


NODES = st.sampled_from([f"r{index}" for index in range(4)])


class RandomFaults(RuleBasedStateMachine):
    """Apply network faults, pauses, restarts, partitions and drains, then end them all.

    After any such sequence, no router may still consider a VM dead that runs and is
    reachable: its schedulers would never return to it.
    """

    def __init__(self):
        super().__init__()
        self.fleet = Fleet(4)
        self.incarnation = 1
        self.drained = set()
        self.seen = {}

    @rule(seconds=st.sampled_from([0.2, 0.7, 1.5, 4.0, 9.0]))
    def wait(self, seconds):
        self.fleet.run(seconds)

    @rule(loss=st.sampled_from([0.0, 0.3, 0.9]), duplicates=st.sampled_from([0.0, 0.5]))
    def spoil_the_network(self, loss, duplicates):
        self.fleet.loss = loss
        self.fleet.duplicates = duplicates

    @rule(delay=st.sampled_from([0.002, 0.4, 3.0]))
    def slow_the_network(self, delay):
        self.fleet.delay = delay

    @rule(node=NODES)
    def pause(self, node):
        self.fleet.stopped.add(node)

    @rule(node=NODES)
    def wake(self, node):
        self.fleet.stopped.discard(node)

    @rule(node=NODES)
    def restart(self, node):
        self.incarnation += 1000
        self.fleet.start(node, self.incarnation)
        self.fleet.stopped.discard(node)
        self.drained.discard(node)
        self.seen = {pair: row for pair, row in self.seen.items() if pair[0] != node}

    @rule(node=NODES)
    def drain(self, node):
        if node not in self.fleet.stopped:
            self.fleet.post(node, self.fleet.swims[node].leave(self.fleet.now))
            self.drained.add(node)

    @rule(half=st.sets(NODES, min_size=1, max_size=3))
    def split(self, half):
        self.fleet.cut = lambda one, other: (one in half) != (other in half)

    @rule()
    def heal(self):
        self.fleet.cut = lambda one, other: False

    @invariant()
    def member_states_never_regress(self):
        for observer, swim in self.fleet.swims.items():
            for subject, member in swim.members().items():
                before = self.seen.get((observer, subject))
                if before is not None:
                    assert member.incarnation >= before.incarnation
                    same = member.incarnation == before.incarnation
                    if same and before.state in (LEAVING, DEAD):
                        assert member.state in (before.state, DEAD)
                self.seen[observer, subject] = member

    def teardown(self):
        fleet = self.fleet
        fleet.loss, fleet.duplicates, fleet.delay = 0.0, 0.0, 0.002
        fleet.stopped.clear()
        self.heal()
        self.wait(40.0)
        self.member_states_never_regress()
        running = tuple(sorted(set(fleet.names) - self.drained))
        for swim in fleet.swims.values():
            assert swim.live() == running
            assert DEAD not in {row.state for row in swim.members().values()}


RandomFaults.TestCase.settings = settings(
    derandomize=True, deadline=None, max_examples=40, stateful_step_count=20
)
TestRandomFaults = RandomFaults.TestCase
