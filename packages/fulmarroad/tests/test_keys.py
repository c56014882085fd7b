"""A call with a key runs at most once, whatever is lost, late, double or restarted."""

import logging
import random
from collections import Counter
from itertools import count

import anyio
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from fulmarroad import keys, messages
from fulmarroad.events import Event
from fulmarroad.exceptions import TransportError
from fulmarroad.ownership import key_group
from fulmarroad.testing import run_virtual
from fulmarroad.types import RefusalReason

VMS = ("a", "b", "c")
LIMITS = keys.KeyLimits(retention_s=600.0)


def reply(state, attempt="x", fence=0, reason="", fingerprint=""):
    return messages.KeyRecorded(
        state, attempt, fence, fingerprint=fingerprint, reason=reason
    )


def store(me="a", vms=VMS, limits=LIMITS, first_fleet=True):
    member = keys.KeyStore(me, "fes-1", limits, now=0.0, first_fleet=first_fleet)
    member.set_vms(vms, 0.0)
    return member


def start(key="k", attempt="x", fence=0, workspace="coop", group=VMS):
    return messages.KeyStart(workspace, key, attempt, "f", fence, group)


def fence(key="k", attempt="y", fence=10, group=VMS):
    return messages.KeyFence("coop", key, fence, "f", attempt, group)


def finish(key="k", attempt="x", body=b"posted", outcome="finished", workspace="coop"):
    return messages.KeyFinish(workspace, key, attempt, 201, (), body, outcome, "f")


class TestDecideStart:
    @pytest.mark.parametrize(
        ("replies", "verdict"),
        [
            ([reply("started")] * 2, keys.Started()),
            ([reply("started")], keys.Unverifiable()),
            (
                [reply("started"), reply("started", reason="copied")],
                keys.Unverifiable(),
            ),
            ([reply("started"), reply("started", "z")], keys.InProgress()),
            ([reply("started"), reply("fenced", "z", 7)], keys.Superseded(7)),
            ([reply("unable", reason="full")] * 3, keys.Full()),
            ([reply("unable", reason="no_memory")] * 3, keys.Unverifiable()),
            ([reply("unknown", "z", fingerprint="f")], keys.Unknown()),
            ([reply("started", "z", fingerprint="other")], keys.Mismatch()),
            ([reply("fenced", "x", 0, fingerprint="other")], keys.Unverifiable()),
        ],
    )
    def test_verdict(self, replies, verdict):
        assert keys.decide_start(replies, 3, "x", "f") == verdict


class TestDecideFence:
    MINE = reply("fenced", "y", 10)
    SEEN = reply("started", "x")

    @pytest.mark.parametrize(
        ("here", "there", "verdict"),
        [
            ([MINE] * 2, [MINE] * 2, keys.Fenced()),
            ([MINE] * 2, [MINE], keys.Unverifiable()),
            ([MINE] * 3, [], keys.Unverifiable()),
            ([MINE] * 2, [SEEN, MINE], keys.InProgress()),
            ([MINE] * 2, [SEEN, MINE, MINE], keys.Fenced()),
            ([MINE] * 2, [reply("started", reason="long_ago")], keys.Unknown()),
            ([MINE] * 2, [reply("fenced", "z", 11)] * 2, keys.Superseded(11)),
            ([MINE] * 2, [reply("fenced", "z", 10)] * 2, keys.Superseded(10)),
        ],
    )
    def test_verdict(self, here, there, verdict):
        replies = {"fes-1": here, "fes-2": there}
        sizes = {"fes-1": 3, "fes-2": 3}
        assert keys.decide_fence(replies, sizes, (10, "y"), "f") == verdict

    def test_an_outcome_anywhere_ends_it(self):
        done = reply("finished", fingerprint="f")
        verdict = keys.decide_fence({"fes-1": [done]}, {"fes-1": 3}, (10, "y"), "f")
        assert verdict == keys.Finished(done)


class TestKeyStore:
    def test_the_first_of_start_and_fence_wins(self):
        member = store()
        assert member.start(start(), 0.0).state == "started"
        assert member.fence(fence(), 0.0).state == "started"
        assert member.fence(fence("l"), 0.0).state == "fenced"
        assert member.start(start("l"), 0.0).state == "fenced"
        assert member.start(start("l", "y", 10), 0.0).state == "started"

    def test_a_message_that_arrives_twice_changes_nothing(self):
        member = store()
        replies = [member.start(start(), 0.0) for _ in range(2)]
        assert replies[0] == replies[1]
        member.finish(finish(), 0.0)
        assert member.start(start(), 0.0).body == b"posted"

    def test_an_attempt_given_up_frees_its_key_for_a_repeat(self):
        # No backend server could be reached, and no byte was sent.
        member = store()
        member.start(start(), 0.0)
        member.finish(finish(outcome="not_run"), 0.0)
        assert member.start(start(), 0.0).state == "fenced"
        assert member.fence(fence(), 0.0).state == "fenced"

    def test_records_are_kept_for_the_retention_time_and_no_longer(self):
        member = store()
        member.start(start(), 0.0)
        assert member.fence(fence(), 599.0).state == "started"
        assert member.fence(fence(), 600.0).state == "fenced"

    def test_a_start_without_an_end_turns_unknown(self):
        member = store(limits=keys.KeyLimits(retention_s=3600.0))
        member.start(start(), 0.0)
        assert member.fence(fence(), 899.0).reason == ""
        assert member.fence(fence(), 900.0).reason == "long_ago"

    def test_a_full_workspace_is_refused_and_others_are_not(self):
        # One workspace sends a new key with each call. No live record is dropped for
        # it, and other workspaces still get room.
        member = store(limits=keys.KeyLimits(600.0, 100, 100))
        told = [member.start(start(f"k{n}"), 0.0) for n in range(200)]
        assert [row.state for row in told].count("started") == 75
        assert told[-1].reason == "full"
        assert member.start(start("k0"), 0.0).state == "started"
        other = [member.start(start(f"k{n}", workspace="w"), 0.0) for n in range(30)]
        assert [row.state for row in other].count("started") == 25
        assert len(member) == 100

    def test_a_workspace_holds_no_more_than_its_own_limit(self):
        member = store(limits=keys.KeyLimits(600.0, 10, 100))
        told = [member.start(start(f"k{n}"), 0.0) for n in range(20)]
        assert [row.state for row in told].count("started") == 10

    def test_answers_are_bounded_and_their_status_stays(self):
        limits = keys.KeyLimits(600.0, bodies_bytes=8000)
        member = store(limits=limits)
        told = [member.finish(finish(f"k{n}", body=b"x" * 400), 0.0) for n in range(3)]
        assert [row.reason for row in told] == ["", "", "body_not_kept"]
        assert told[2].status == 201
        other = member.finish(finish("k", body=b"x" * 400, workspace="w"), 0.0)
        assert other.body == b"x" * 400

    @pytest.mark.parametrize("group", [("a", "b", "d"), ()])
    def test_refuses_an_asker_with_another_group(self, group):
        # The VM list lags at one of the two.
        assert store().start(start(group=group), 0.0).reason == "other_group"


def copy(giver, taker, vms=VMS, me="a", page_size=1):
    after = ""
    while True:
        asked = messages.KeyCopyWanted("fes-1", after, page_size, me, tuple(vms))
        given = giver.serve_copy(asked, 1.0)
        taker.merge_copy(giver._me, vms, given, 1.0)
        if not given.more:
            return
        after = given.last


class TestMemory:
    def test_a_restarted_member_votes_once_both_others_gave_their_records(self):
        # A VM is replaced under its name. The record of a call that runs may be at
        # only one of the other two.
        others = [store("b"), store("c")]
        others[1].start(start(), 0.0)
        others[0].start(start("l"), 0.0)
        new = store(first_fleet=False)
        assert new.fence(fence(), 1.0).reason == "no_memory"
        copy(others[0], new)
        assert new.fence(fence(), 1.0).reason == "no_memory"
        copy(others[1], new)
        assert new.fence(fence(), 1.0).state == "started"
        assert new.start(start(), 1.0).reason == "copied"
        assert new.missing_copies(1.0) == []

    def test_two_restarted_members_wait_for_the_retention_time(self):
        # Two of three VMs are replaced at once; a start that only they knew is gone.
        new, also_new = store(first_fleet=False), store("b", first_fleet=False)
        copy(store("c"), new)
        copy(also_new, new)
        assert new.fence(fence(), 599.0).reason == "no_memory"
        assert new.fence(fence(), 600.0).state == "fenced"

    def test_a_member_new_to_a_group_learns_before_it_votes(self):
        # A VM goes, another takes its place in the group, and lists change one by one.
        key = next(
            f"k{n}"
            for n in count()
            if set(key_group("coop", f"k{n}", "abcd")) == set(VMS)
        )
        before, after = "abcd", "abd"
        members = {name: store(name, before) for name in before}
        members["a"].start(start(key), 0.0)
        group = ("a", "b", "d")
        for name in "bd":
            members[name].set_vms(after, 1.0)
        assert members["b"].ready("coop", key, 1.0)
        assert not members["d"].ready("coop", key, 1.0)
        copy(members["b"], members["d"], after, "d")
        copy(members["a"], members["d"], after, "d")
        assert not members["d"].ready("coop", key, 1.0)
        members["a"].set_vms(after, 1.0)
        copy(members["a"], members["d"], after, "d")
        assert members["d"].fence(fence(key, group=group), 1.0).state == "started"

    @pytest.mark.parametrize("after", ["a", "ade", "ad"])
    def test_a_group_that_lost_a_majority_at_once_does_not_vote(self, after):
        # Two VMs of a group vanish from the list together, with all that they knew.
        members = {name: store(name, VMS) for name in VMS}
        members |= {name: store(name, "de", first_fleet=False) for name in "de"}
        for name in after:
            members[name].set_vms(after, 1.0)
        for name in after:
            for other in set(after) - {name}:
                copy(members[other], members[name], after, name)
        ready = [name for name in after if members[name].ready("coop", "k", 1.0)]
        assert len(ready) < len(after) // 2 + 1

    def test_a_member_that_was_out_of_a_group_has_to_learn_again(self):
        # A VM falls out of the list by a fault of the platform and comes back.
        key = next(
            f"k{n}" for n in count() if "c" in key_group("coop", f"k{n}", "abcd")
        )
        member = store("c", "abcd")
        member.set_vms("abd", 1.0)
        member.set_vms("abcd", 2.0)
        assert not member.ready("coop", key, 3.0)


class Fleet:
    """Two data centres of routers, a hostile network and a service that counts."""

    def __init__(self, seed, centres=2, vms=3):
        self.rng = random.Random(seed)
        self.centres = {
            f"dc{c}": [f"r{c}{n}" for n in range(vms)] for c in range(centres)
        }
        self.centre_of = {n: c for c, names in self.centres.items() for n in names}
        self.loss, self.delay, self.duplicates = 0.0, 0.001, 0.0
        self.cut = set()
        self.calls = Counter()
        self.lives = Counter()
        self.views = {}
        self.routers = {}
        self.group = None
        for name in self.centre_of:
            self.boot(name, first_fleet=True)

    def boot(self, name, first_fleet=False):
        self.lives[name] += 1
        centre = self.centre_of[name]
        identity = keys.KeyIdentity(name, self.lives[name], centre)
        now = anyio.current_time
        member = keys.KeyStore(name, centre, LIMITS, now=now(), first_fleet=first_fleet)
        member.set_vms(self.centres[centre], now())
        clocks = keys.KeyClocks(now, lambda: int(now() * 1000) + 1)

        async def ask(peer, message):
            return await self.ask(name, peer, message)

        self.views[name] = {c: list(names) for c, names in self.centres.items()}
        self.routers[name] = keys.KeyGroups(
            identity, member, ask, lambda: self.views[name], clocks
        )

    def replace(self, name, new):
        """Publish a new VM in the place of another, which goes on with its old list."""
        centre = self.centre_of[name]
        if name not in self.centres[centre]:
            return
        self.centres[centre].remove(name)
        self.centres[centre].append(new)
        self.centre_of[new] = centre
        self.boot(new)

    def read_list(self, name):
        self.views[name] = {c: list(names) for c, names in self.centres.items()}

    async def ask(self, sender, peer, message):
        await self.travel(sender, peer)
        answer = self.routers[peer].handle(message)
        if self.rng.random() < self.duplicates:
            self.group.start_soon(self.again, peer, message)
        await self.travel(peer, sender)
        return answer

    async def travel(self, sender, peer):
        await anyio.sleep(self.delay * self.rng.random())
        if self.rng.random() < self.loss or {sender, peer} & self.cut:
            await anyio.sleep(3)
            raise TransportError("lost")

    async def again(self, peer, message):
        await anyio.sleep(2 * self.rng.random())
        self.routers[peer].handle(message)

    async def call(self, name, key, first=False, pause=0.0, end="finish"):
        """Make one call as a router does; return the decision."""
        router, life = self.routers[name], self.lives[name]
        decision = await router.begin("coop", key, "f", first)
        if not isinstance(decision, keys.SendOnce):
            return decision
        await anyio.sleep(pause)
        attempt = decision.attempt
        if self.lives[name] != life or not attempt.may_send(anyio.current_time()):
            return decision
        if end == "give_up":
            await router.give_up(attempt)
            return decision
        self.calls[key] += 1
        if end == "finish":
            await router.finish(attempt, 201, (), b"posted")
        elif end == "lose":
            await router.mark_outcome_unknown(attempt)
        return decision


def in_fleet(test, seed=1, **sizes):
    async def run():
        fleet = Fleet(seed, **sizes)
        async with anyio.create_task_group() as group:
            fleet.group = group
            await test(fleet)

    run_virtual(run)


class TestKeyGroups:
    def test_a_repeat_gets_the_stored_outcome_in_any_data_centre(self):
        async def test(fleet):
            await fleet.call("r00", "k", first=True)
            for name in fleet.routers:
                again = await fleet.call(name, "k")
                assert again == keys.Replay(201, (), b"posted")
            assert fleet.calls == {"k": 1}

        in_fleet(test)

    @pytest.mark.parametrize(
        ("end", "decision"),
        [
            ("lose", keys.KeyOutcomeUnknown),
            ("crash", keys.KeyInProgress),
            ("give_up", keys.SendOnce),
        ],
    )
    def test_a_repeat_of_what_did_not_finish(self, end, decision):
        async def test(fleet):
            await fleet.call("r00", "k", first=True, end=end)
            assert isinstance(await fleet.call("r10", "k"), decision)
            assert fleet.calls == {"k": 1}

        in_fleet(test)

    def test_a_first_attempt_that_wakes_late_stops_at_the_fence(self):
        # The caller's first request hangs in a paused router, its repeat runs
        # elsewhere, and then the router wakes.
        async def test(fleet):
            await fleet.call("r10", "k")
            late = await fleet.call("r00", "k", first=True)
            assert isinstance(late, keys.KeyInProgress)
            assert fleet.calls == {"k": 1}

        in_fleet(test)

    def test_a_data_centre_cut_off_serves_first_attempts_and_refuses_repeats(self):
        async def test(fleet):
            fleet.cut |= {"r10", "r11", "r12"}
            first = await fleet.call("r00", "k", first=True)
            assert isinstance(first, keys.SendOnce)
            other = await fleet.call("r00", "l")
            assert other == keys.KeyRefusal(RefusalReason.KEY_UNVERIFIABLE)
            fleet.cut.clear()
            assert isinstance(await fleet.call("r00", "l"), keys.SendOnce)

        in_fleet(test)

    def test_one_dead_member_costs_neither_time_nor_calls(self):
        async def test(fleet):
            fleet.cut.add("r01")
            began = anyio.current_time()
            assert isinstance(await fleet.call("r00", "k", end="crash"), keys.SendOnce)
            assert anyio.current_time() - began < 0.1

        in_fleet(test)

    def test_the_same_key_with_another_request_is_refused(self):
        async def test(fleet):
            await fleet.call("r00", "k", first=True)
            for first in (True, False):
                told = await fleet.routers["r10"].begin("coop", "k", "other", first)
                assert isinstance(told, keys.KeyMismatch | keys.SendOnce)
                assert isinstance(told, keys.KeyMismatch) or first

        in_fleet(test)

    def test_an_answer_too_long_is_replayed_by_its_status(self):
        async def test(fleet):
            router = fleet.routers["r00"]
            decision = await router.begin("coop", "k", "f", True)
            body = b"x" * (keys.MAX_BODY_BYTES + 1)
            await router.finish(decision.attempt, 201, (), body)
            again = await fleet.call("r10", "k")
            assert again == keys.Replay(201, whole=False)

        in_fleet(test)

    def test_a_restarted_router_copies_and_votes_again(self):
        async def test(fleet):
            await fleet.call("r00", "k", first=True)
            fleet.boot("r01")
            await fleet.routers["r01"].copy_once()
            fleet.boot("r02")
            await fleet.routers["r02"].copy_once()
            fleet.cut.add("r00")
            assert isinstance(await fleet.call("r10", "k"), keys.Replay)

        in_fleet(test)

    def test_the_log_tells_of_fences_and_copies_without_the_key(self, caplog):
        async def test(fleet):
            await fleet.call("r00", "secret-key")
            fleet.boot("r01")
            for _ in range(3):
                await fleet.routers["r01"].copy_once()

        with caplog.at_level(logging.INFO, "fulmarroad.keys"):
            in_fleet(test)
        numbers = [record.event for record in caplog.records]
        assert numbers == [
            Event.KEY_FENCED.value.number,
            Event.KEYS_COPIED.value.number,
        ]
        assert "secret-key" not in str([vars(record) for record in caplog.records])

    def test_a_caller_that_leaves_frees_its_key(self):
        async def test(fleet):
            fleet.delay = 0.5
            with anyio.move_on_after(0.2) as left:
                await fleet.call("r00", "k", first=True)
            assert left.cancelled_caught
            fleet.delay = 0.001
            assert isinstance(await fleet.call("r10", "k"), keys.SendOnce)

        in_fleet(test)


ROUTERS = st.sampled_from([f"r{c}{n}" for c in range(2) for n in range(3)])
PAUSES = st.sampled_from([0.0, 0.5, 3.0])
ENDS = st.sampled_from(["finish", "lose", "crash", "give_up"])
STEPS = st.one_of(
    st.tuples(st.just("call"), ROUTERS, PAUSES, ENDS),
    st.tuples(st.just("call"), ROUTERS, PAUSES, ENDS),
    st.tuples(st.just("wait"), st.sampled_from([0.002, 0.3, 2.0])),
    st.tuples(st.just("restart"), ROUTERS),
    st.tuples(st.just("copy"), ROUTERS),
    st.tuples(st.just("cut"), st.sets(ROUTERS, max_size=3)),
    st.tuples(
        st.just("spoil"),
        st.sampled_from([0.0, 0.2]),
        st.sampled_from([0.001, 0.4, 1.5]),
        st.sampled_from([0.0, 0.5]),
    ),
)


class TestAnyOrderOfFaults:
    """Loss, delay, doubles, restarts, cuts and pauses in any order, few keys."""

    @settings(derandomize=True, deadline=None, max_examples=300)
    @given(st.lists(STEPS, min_size=4, max_size=24), st.integers(0, 1000))
    def test_no_key_runs_twice(self, steps, seed):
        # Callers repeat what they got no answer to, at whatever router the balancer
        # picks, while routers fail around them. A family would get two letters.
        async def test(fleet):
            first = True
            for step in steps:
                match step:
                    case ("call", name, pause, end):
                        fleet.group.start_soon(fleet.call, name, "k", first, pause, end)
                        first = False
                    case ("wait", seconds):
                        await anyio.sleep(seconds)
                    case ("restart", name):
                        fleet.boot(name)
                    case ("copy", name):
                        await fleet.routers[name].copy_once()
                    case ("cut", names):
                        fleet.cut = names
                    case ("spoil", loss, delay, duplicates):
                        fleet.loss, fleet.delay = loss, delay
                        fleet.duplicates = duplicates
                assert fleet.calls["k"] <= 1
            await anyio.sleep(30)
            assert fleet.calls["k"] <= 1

        in_fleet(test, seed)

    @settings(derandomize=True, deadline=None, max_examples=400)
    @given(
        st.lists(
            st.one_of(
                st.tuples(st.just("call"), st.integers(0, 9), ENDS),
                st.tuples(st.just("restart"), st.integers(0, 9)),
                st.tuples(st.just("copy"), st.integers(0, 9)),
                st.tuples(st.just("replace"), st.integers(0, 9)),
                st.tuples(st.just("read"), st.integers(0, 9)),
                st.tuples(st.just("cut"), st.integers(0, 9)),
                st.just(("heal",)),
            ),
            min_size=6,
            max_size=30,
        ),
        st.integers(0, 1000),
    )
    def test_no_key_runs_twice_while_vms_are_replaced(self, steps, seed):
        # VMs of one data centre lose their memory or are replaced, and each router
        # reads the VM list in its own time.
        async def test(fleet):
            first = True
            for index, step in enumerate(steps):
                names = list(fleet.routers)
                name = names[step[1] % len(names)] if len(step) > 1 else ""
                match step[0]:
                    case "call":
                        await fleet.call(name, "k", first, end=step[2])
                        first = False
                    case "restart":
                        fleet.boot(name)
                    case "copy":
                        await fleet.routers[name].copy_once()
                    case "replace":
                        fleet.replace(name, f"n{index}")
                    case "read":
                        fleet.read_list(name)
                    case "cut":
                        fleet.cut = {name}
                    case "heal":
                        fleet.cut = set()
                assert fleet.calls["k"] <= 1

        in_fleet(test, seed, centres=1, vms=4)
