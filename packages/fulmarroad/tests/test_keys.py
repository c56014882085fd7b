"""At-most-once execution of keyed calls under loss, delay, duplicates and restarts."""

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
    def test_start_verdict_follows_from_replies(self, replies, verdict):
        assert keys.decide_start(replies, 3, "x", "f") == verdict


class TestDecideFence:
    OWN_FENCE = reply("fenced", "y", 10)
    OTHER_START = reply("started", "x")

    @pytest.mark.parametrize(
        ("own_centre", "other_centre", "verdict"),
        [
            ([OWN_FENCE] * 2, [OWN_FENCE] * 2, keys.Fenced()),
            ([OWN_FENCE] * 2, [OWN_FENCE], keys.Unverifiable()),
            ([OWN_FENCE] * 3, [], keys.Unverifiable()),
            ([OWN_FENCE] * 2, [OTHER_START, OWN_FENCE], keys.InProgress()),
            ([OWN_FENCE] * 2, [OTHER_START, OWN_FENCE, OWN_FENCE], keys.Fenced()),
            ([OWN_FENCE] * 2, [reply("started", reason="long_ago")], keys.Unknown()),
            ([OWN_FENCE] * 2, [reply("fenced", "z", 11)] * 2, keys.Superseded(11)),
            ([OWN_FENCE] * 2, [reply("fenced", "z", 10)] * 2, keys.Superseded(10)),
        ],
    )
    def test_fence_verdict_follows_from_replies(
        self, own_centre, other_centre, verdict
    ):
        replies = {"fes-1": own_centre, "fes-2": other_centre}
        sizes = {"fes-1": 3, "fes-2": 3}
        assert keys.decide_fence(replies, sizes, (10, "y"), "f") == verdict

    def test_a_finished_outcome_at_any_member_is_returned(self):
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

    def test_an_attempt_given_up_releases_its_key_for_a_repeat(self):
        # No backend server was reachable, so no byte of the attempt was sent.
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

    def test_a_start_without_an_outcome_becomes_unknown(self):
        member = store(limits=keys.KeyLimits(retention_s=3600.0))
        member.start(start(), 0.0)
        assert member.fence(fence(), 899.0).reason == ""
        assert member.fence(fence(), 900.0).reason == "long_ago"

    def test_a_full_workspace_is_refused_and_others_are_not(self):
        # One workspace sends a new key with each call. It must not evict live records
        # or use up the capacity of other workspaces.
        member = store(limits=keys.KeyLimits(600.0, 100, 100))
        replies = [member.start(start(f"k{n}"), 0.0) for n in range(200)]
        assert [row.state for row in replies].count("started") == 75
        assert replies[-1].reason == "full"
        assert member.start(start("k0"), 0.0).state == "started"
        other = [member.start(start(f"k{n}", workspace="w"), 0.0) for n in range(30)]
        assert [row.state for row in other].count("started") == 25
        assert len(member) == 100

    def test_a_workspace_holds_no_more_than_its_own_limit(self):
        member = store(limits=keys.KeyLimits(600.0, 10, 100))
        replies = [member.start(start(f"k{n}"), 0.0) for n in range(20)]
        assert [row.state for row in replies].count("started") == 10

    def test_stored_answers_are_bounded_and_their_status_is_kept(self):
        limits = keys.KeyLimits(600.0, bodies_bytes=8000)
        member = store(limits=limits)
        replies = [
            member.finish(finish(f"k{n}", body=b"x" * 400), 0.0) for n in range(3)
        ]
        assert [row.reason for row in replies] == ["", "", "body_not_kept"]
        assert replies[2].status == 201
        other = member.finish(finish("k", body=b"x" * 400, workspace="w"), 0.0)
        assert other.body == b"x" * 400

    @pytest.mark.parametrize("group", [("a", "b", "d"), ()])
    def test_refuses_a_request_for_a_different_group(self, group):
        # The sender and the member use different versions of the VM list.
        assert store().start(start(group=group), 0.0).reason == "other_group"


def copy_records(source, target, vms=VMS, asker="a", page_size=1):
    after = ""
    while True:
        asked = messages.KeyCopyRequest("fes-1", after, page_size, asker, tuple(vms))
        page = source.serve_copy(asked, 1.0)
        target.merge_copy(source._me, vms, page, 1.0)
        if not page.more:
            return
        after = page.last


class TestVotingEligibility:
    def test_a_restarted_member_votes_after_copying_records_of_both_others(self):
        # A VM is replaced by one of the same name, without its records. The record of a
        # running call may be at only one of the other two members.
        others = [store("b"), store("c")]
        others[1].start(start(), 0.0)
        others[0].start(start("l"), 0.0)
        restarted = store(first_fleet=False)
        assert restarted.fence(fence(), 1.0).reason == "no_memory"
        copy_records(others[0], restarted)
        assert restarted.fence(fence(), 1.0).reason == "no_memory"
        copy_records(others[1], restarted)
        assert restarted.fence(fence(), 1.0).state == "started"
        assert restarted.start(start(), 1.0).reason == "copied"
        assert restarted.missing_copies(1.0) == []

    def test_two_restarted_members_wait_for_the_retention_time(self):
        # Two of three VMs are replaced at once, which loses starts that only they knew.
        restarted, also_restarted = (
            store(first_fleet=False),
            store("b", first_fleet=False),
        )
        copy_records(store("c"), restarted)
        copy_records(also_restarted, restarted)
        assert restarted.fence(fence(), 599.0).reason == "no_memory"
        assert restarted.fence(fence(), 600.0).state == "fenced"

    def test_a_new_group_member_copies_records_before_it_votes(self):
        # One VM replaces another in the group; members adopt the new list one by one.
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
        copy_records(members["b"], members["d"], after, "d")
        copy_records(members["a"], members["d"], after, "d")
        assert not members["d"].ready("coop", key, 1.0)
        members["a"].set_vms(after, 1.0)
        copy_records(members["a"], members["d"], after, "d")
        assert members["d"].fence(fence(key, group=group), 1.0).state == "started"

    @pytest.mark.parametrize("after", ["a", "ade", "ad"])
    def test_a_group_that_loses_a_majority_at_once_does_not_vote(self, after):
        # Two VMs of a group leave the list together, and their records are lost.
        members = {name: store(name, VMS) for name in VMS}
        members |= {name: store(name, "de", first_fleet=False) for name in "de"}
        for name in after:
            members[name].set_vms(after, 1.0)
        for name in after:
            for other in set(after) - {name}:
                copy_records(members[other], members[name], after, name)
        ready = [name for name in after if members[name].ready("coop", "k", 1.0)]
        assert len(ready) < len(after) // 2 + 1

    def test_a_member_that_rejoins_a_group_must_copy_records_again(self):
        # A platform fault removes a VM from the list and later adds it again.
        key = next(
            f"k{n}" for n in count() if "c" in key_group("coop", f"k{n}", "abcd")
        )
        member = store("c", "abcd")
        member.set_vms("abd", 1.0)
        member.set_vms("abcd", 2.0)
        assert not member.ready("coop", key, 3.0)


class Fleet:
    """Simulate routers, an unreliable network and a service that counts calls."""

    def __init__(self, seed, centres=2, vms=3):
        self.rng = random.Random(seed)
        self.centres = {
            f"dc{c}": [f"r{c}{n}" for n in range(vms)] for c in range(centres)
        }
        self.centre_of = {n: c for c, names in self.centres.items() for n in names}
        self.loss, self.delay, self.duplicates = 0.0, 0.001, 0.0
        self.cut = set()
        self.calls = Counter()
        self.incarnations = Counter()
        self.vm_lists = {}
        self.routers = {}
        self.group = None
        for name in self.centre_of:
            self.boot(name, first_fleet=True)

    def boot(self, name, first_fleet=False):
        self.incarnations[name] += 1
        centre = self.centre_of[name]
        identity = keys.KeyIdentity(name, self.incarnations[name], centre)
        now = anyio.current_time
        member = keys.KeyStore(name, centre, LIMITS, now=now(), first_fleet=first_fleet)
        member.set_vms(self.centres[centre], now())
        clocks = keys.KeyClocks(now, lambda: int(now() * 1000) + 1)

        async def ask(peer, message):
            return await self.ask(name, peer, message)

        self.vm_lists[name] = {c: list(names) for c, names in self.centres.items()}
        self.routers[name] = keys.KeyGroups(
            identity, member, ask, lambda: self.vm_lists[name], clocks
        )

    def replace(self, name, replacement):
        """Replace a VM in the published list; it keeps running with its old list."""
        centre = self.centre_of[name]
        if name not in self.centres[centre]:
            return
        self.centres[centre].remove(name)
        self.centres[centre].append(replacement)
        self.centre_of[replacement] = centre
        self.boot(replacement)

    def read_list(self, name):
        self.vm_lists[name] = {c: list(names) for c, names in self.centres.items()}

    async def ask(self, sender, peer, message):
        await self.transmit(sender, peer)
        answer = self.routers[peer].handle(message)
        if self.rng.random() < self.duplicates:
            self.group.start_soon(self.redeliver, peer, message)
        await self.transmit(peer, sender)
        return answer

    async def transmit(self, sender, peer):
        await anyio.sleep(self.delay * self.rng.random())
        if self.rng.random() < self.loss or {sender, peer} & self.cut:
            await anyio.sleep(3)
            raise TransportError("lost")

    async def redeliver(self, peer, message):
        await anyio.sleep(2 * self.rng.random())
        self.routers[peer].handle(message)

    async def call(self, name, key, first=False, pause=0.0, end="finish"):
        """Make one call as a router does and return the decision."""
        router, incarnation = self.routers[name], self.incarnations[name]
        decision = await router.begin("coop", key, "f", first)
        if not isinstance(decision, keys.SendOnce):
            return decision
        await anyio.sleep(pause)
        attempt = decision.attempt
        if self.incarnations[name] != incarnation or not attempt.may_send(
            anyio.current_time()
        ):
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
                repeat = await fleet.call(name, "k")
                assert repeat == keys.Replay(201, (), b"posted")
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
    def test_a_repeat_of_an_unfinished_attempt_is_sent_only_after_give_up(
        self, end, decision
    ):
        async def test(fleet):
            await fleet.call("r00", "k", first=True, end=end)
            assert isinstance(await fleet.call("r10", "k"), decision)
            assert fleet.calls == {"k": 1}

        in_fleet(test)

    def test_a_delayed_first_attempt_is_refused_by_the_fence(self):
        # A router is paused with the caller's first request. The repeat runs at another
        # router, and then the paused one resumes.
        async def test(fleet):
            await fleet.call("r10", "k")
            late = await fleet.call("r00", "k", first=True)
            assert isinstance(late, keys.KeyInProgress)
            assert fleet.calls == {"k": 1}

        in_fleet(test)

    def test_an_isolated_data_centre_serves_first_attempts_and_refuses_repeats(self):
        async def test(fleet):
            fleet.cut |= {"r10", "r11", "r12"}
            first = await fleet.call("r00", "k", first=True)
            assert isinstance(first, keys.SendOnce)
            other = await fleet.call("r00", "l")
            assert other == keys.KeyRefusal(RefusalReason.KEY_UNVERIFIABLE)
            fleet.cut.clear()
            assert isinstance(await fleet.call("r00", "l"), keys.SendOnce)

        in_fleet(test)

    def test_one_unreachable_member_neither_delays_nor_fails_calls(self):
        async def test(fleet):
            fleet.cut.add("r01")
            start_time = anyio.current_time()
            assert isinstance(await fleet.call("r00", "k", end="crash"), keys.SendOnce)
            assert anyio.current_time() - start_time < 0.1

        in_fleet(test)

    def test_the_same_key_with_another_request_is_refused(self):
        async def test(fleet):
            await fleet.call("r00", "k", first=True)
            for first in (True, False):
                decision = await fleet.routers["r10"].begin("coop", "k", "other", first)
                assert isinstance(decision, keys.KeyMismatch | keys.SendOnce)
                assert isinstance(decision, keys.KeyMismatch) or first

        in_fleet(test)

    def test_only_the_status_of_an_oversized_answer_is_replayed(self):
        async def test(fleet):
            router = fleet.routers["r00"]
            decision = await router.begin("coop", "k", "f", True)
            body = b"x" * (keys.MAX_BODY_BYTES + 1)
            await router.finish(decision.attempt, 201, (), body)
            repeat = await fleet.call("r10", "k")
            assert repeat == keys.Replay(201, whole=False)

        in_fleet(test)

    def test_a_restarted_router_copies_records_and_votes_again(self):
        async def test(fleet):
            await fleet.call("r00", "k", first=True)
            fleet.boot("r01")
            await fleet.routers["r01"].copy_once()
            fleet.boot("r02")
            await fleet.routers["r02"].copy_once()
            fleet.cut.add("r00")
            assert isinstance(await fleet.call("r10", "k"), keys.Replay)

        in_fleet(test)

    def test_fences_and_copies_are_logged_without_the_key(self, caplog):
        async def test(fleet):
            await fleet.call("r00", "secret-key")
            fleet.boot("r01")
            for _ in range(3):
                await fleet.routers["r01"].copy_once()

        with caplog.at_level(logging.INFO, "fulmarroad.keys"):
            in_fleet(test)
        event_numbers = [record.event for record in caplog.records]
        assert event_numbers == [
            Event.KEY_FENCED.value.number,
            Event.KEYS_COPIED.value.number,
        ]
        assert "secret-key" not in str([vars(record) for record in caplog.records])

    def test_a_caller_that_disconnects_releases_its_key(self):
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


class TestRandomFaults:
    """Loss, delay, duplicates, restarts, cuts and pauses in random order; one key."""

    @settings(derandomize=True, deadline=None, max_examples=300)
    @given(st.lists(STEPS, min_size=4, max_size=24), st.integers(0, 1000))
    def test_no_key_runs_twice(self, steps, seed):
        # Callers repeat unanswered calls at any router while routers fail. A call that
        # ran twice would take effect twice, such as two letters sent instead of one.
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
        # VMs of one data centre lose their records or are replaced, and each router
        # reads the new VM list at a different time.
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
