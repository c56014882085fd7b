"""Tests of what servers say of themselves in answers: that they leave, or want rest."""

import random
from collections import defaultdict

import anyio
import pytest
from attrs import define, evolve, field
from hypothesis import given, settings
from hypothesis import strategies as st
from owner_bed import CALL, LOOKUP, OwnerBed, make_dispatcher
from serving_bed import (
    Caller,
    answer,
    call_while,
    chunk,
    event,
    never_reached,
    run,
    stream_head,
)

from fulmarroad_serving import Instance, Placement, Refusal, SendOutcome
from fulmarroad_serving._attempts import CallProgress
from fulmarroad_serving._exchange import Exchanger
from fulmarroad_serving._owners import OwnedServers
from fulmarroad_serving._rests import MAX_REST_S, ServerRest, read_rest_s
from fulmarroad_serving.contracts import AnswerHead, InstanceFact
from fulmarroad_serving.exceptions import SendError

LEAVES = "x-leaving: 1\r\n"
REFUSED = "x-not-run: 1\r\n"


def respond(status=200, body=b"done", extra="", pause_s=0.0):
    """Return a script that answers each call alike."""

    async def script(arrival, writer):
        await anyio.sleep(pause_s)
        writer.write(answer(status, body, arrival.header("x-id"), extra))

    return script


def servers_of(bed):
    return [arrival.server for arrival in bed.arrivals]


def connect_after(bed, happen):
    """Let something happen while a call waits for a connection."""
    connect = bed.pool._connect

    async def slow_connect(instance):
        await anyio.sleep(0.05)
        happen()
        return await connect(instance)

    bed.pool._connect = slow_connect


class TestRestTime:
    @pytest.mark.parametrize(
        ("stated", "granted"),
        [
            ("", 0.0),
            ("3", 3.0),
            ("0.25", 0.25),
            ("0", 0.0),
            ("86400", MAX_REST_S),
            ("-2", 0.0),
            ("nan", 0.0),
            ("inf", 0.0),
            ("soon", 0.0),
            ("Wed, 21 Oct 2026 07:28:00 GMT", 0.0),
        ],
    )
    def test_a_stated_rest_is_bounded(self, stated, granted):
        """Guard against a server that no router calls for a day after an error of it,
        and against a router that fails on a value that is no number.
        """
        assert read_rest_s("s-1", stated) == granted

    def test_a_value_that_is_not_followed_is_logged(self, caplog):
        with caplog.at_level("INFO", "fulmarroad.serving"):
            read_rest_s("s-1", "3")
            assert not caplog.records
            read_rest_s("s-1", "86400")
        (line,) = caplog.records
        assert (line.server, line.stated, line.granted_s) == (
            "s-1",
            "86400",
            MAX_REST_S,
        )

    def test_a_shorter_rest_does_not_end_an_earlier_one(self):
        rest = ServerRest()
        rest.begin(3.0, 10.0, random.Random(1))
        rest.begin(0.5, 10.1, random.Random(1))
        assert rest.is_on(12.9)
        assert not rest.is_on(15.0)

    def test_routers_do_not_return_in_one_instant(self):
        """Guard against a server that gets the calls of all routers at the moment at
        which its rest ends, and refuses them again.
        """
        ends = []
        for seed in range(20):
            rest = ServerRest()
            rest.begin(3.0, 0.0, random.Random(seed))
            ends.append(rest.until)
        assert min(ends) >= 3.0
        assert max(ends) - min(ends) > 0.3


class TestLeaving:
    @pytest.mark.parametrize("status", [200, 404, 500, 503])
    def test_a_server_that_says_it_leaves_gets_no_further_call(self, status):
        """Guard against calls to a leaving server while the store can't say so: its
        answers are the only news of it.
        """

        async def test(bed):
            extra = LEAVES + (REFUSED if status == 503 else "")
            await bed.serve("s-1", respond(status, extra=extra))
            await bed.serve("s-2", respond())
            for number in range(12):
                await bed.call(request_id=f"c-{number}")
            assert servers_of(bed).count("s-1") <= 1
            assert servers_of(bed).count("s-2") >= 11

        run(test)

    def test_the_head_of_a_running_stream_is_enough(self):
        """Guard against calls that go to a leaving server until its first stream has
        ended, which may take as long as the server stays.
        """

        async def test(bed):
            begun = anyio.Event()

            async def script(arrival, writer):
                head = stream_head(arrival.header("x-id"))
                writer.write(
                    head.replace(b"\r\n\r\n", b"\r\n" + LEAVES.encode() + b"\r\n")
                )
                writer.write(chunk(event(1)))
                await writer.drain()
                begun.set()
                await anyio.sleep(0.1)
                writer.write(chunk(event(2)) + b"0\r\n\r\n")

            await bed.serve("s-1", script, "drafting")
            async with anyio.create_task_group() as tasks:
                caller = await self.start(bed, tasks)
                await begun.wait()
                await anyio.sleep(0.01)
                late = await bed.call("/draft/2", "c-2", method="POST", body=b"p")
            assert (late.status, len(bed.arrivals)) == (503, 1)
            assert caller.whole
            assert caller.body.count(b"data") == 2

        run(test)

    async def start(self, bed, tasks):
        """Begin a call whose answer ends after this returns."""
        caller = Caller()

        async def call():
            await bed.call("/draft/1", "c-1", caller=caller, method="POST", body=b"p")

        tasks.start_soon(call)
        return caller

    def test_what_another_server_at_the_address_says_does_not_count(self):
        """Guard against a healthy server taken out of service for what another one
        says, which has the address of an earlier server.
        """

        async def test(bed):
            extra = LEAVES + REFUSED
            await bed.serve("s-1", respond(421, extra=extra))
            await bed.call()
            assert not bed.dispatcher.registry.announced()

        run(test)

    def test_a_call_that_waits_for_a_connection_is_not_sent_to_a_leaving_server(self):
        """Guard against a call that was placed before the announcement and reaches the
        server after it.
        """

        async def test(bed):
            await bed.serve("s-1", respond())
            connect_after(bed, lambda: bed.dispatcher.note_leaving("s-1", 0, "answer"))
            caller = await bed.call()
            assert caller.status == 503
            assert not bed.arrivals

        run(test)

    def test_a_held_call_does_not_go_to_a_server_that_leaves_meanwhile(self):
        async def test(bed):
            await bed.serve("s-1", never_reached, "drafting")
            load = bed.dispatcher.load("s-1")
            busy = load.send("s-1", 60_000, bed.now())

            async def leave():
                await anyio.sleep(0.01)
                bed.dispatcher.note_leaving("s-1", 0, "answer")
                load.end(busy)

            caller = await call_while(bed, leave)
            assert caller.status == 503

        run(test)

    def test_servers_that_were_looked_up_earlier_are_looked_at_again(self):
        """Guard against a held call that looks at the same servers each time, of which
        one leaves meanwhile.
        """
        dispatcher = make_dispatcher("a", engines=0, plain=2)
        owned = OwnedServers(dispatcher.registry.usable("ledger"))
        dispatcher.note_leaving("ledger-0", 0, "answer")
        placed = [dispatcher.place(LOOKUP, 10.0, owned=owned) for _ in range(9)]
        assert {row.choice.server for row in placed} == {"ledger-1"}

    def test_a_restarted_server_gets_calls_again(self):
        async def test(bed):
            port = await bed.serve("s-1", respond(extra=LEAVES))
            assert (await bed.call()).status == 200
            assert (await bed.call()).status == 503
            again = Instance("s-1", "ledger", "127.0.0.1", port, "fes", 8, started_ms=7)
            bed.apply_fact(InstanceFact(again))
            assert (await bed.call()).status == 200

        run(test)

    def test_the_store_cannot_take_the_announcement_back(self):
        """Guard against an entry that was written before the announcement and is read
        after it, as the store was slow.
        """
        dispatcher = make_dispatcher("a", engines=0, plain=1)
        (row,) = dispatcher.registry.usable("ledger")
        dispatcher.note_leaving("ledger-0", 0, "answer")
        assert dispatcher.registry.announced() == (("ledger-0", 0),)
        dispatcher.registry.put(evolve(row.instance, draining=False, slots=9), 1.0)
        assert not dispatcher.registry.usable("ledger")
        dispatcher.registry.put(evolve(row.instance, draining=True), 2.0)
        assert not dispatcher.registry.announced()

    def test_an_announcement_of_another_run_is_ignored(self):
        dispatcher = make_dispatcher("a", engines=0, plain=1)
        dispatcher.note_leaving("ledger-0", 5, "router-b")
        assert dispatcher.registry.usable("ledger")


class TestRest:
    def test_a_server_that_asks_for_rest_gets_none_of_the_calls(self):
        """Guard against repeats that pile up at a server which sheds load: it refuses
        at once, so it looks idle and gets the next call as well.
        """

        async def test(bed):
            extra = REFUSED + "retry-after: 5\r\n"
            await bed.serve("s-1", respond(503, extra=extra))
            await bed.serve("s-2", respond())
            for number in range(12):
                assert (await bed.call(request_id=f"c-{number}")).status == 200
            assert servers_of(bed).count("s-1") <= 1

        run(test)

    def test_callers_are_told_when_the_first_server_wakes(self):
        """Guard against callers who are kept waiting, or return too soon, while every
        server rests.
        """

        async def test(bed):
            for name, rest in (("s-1", "20"), ("s-2", "9.5")):
                extra = REFUSED + f"retry-after: {rest}\r\n"
                await bed.serve(name, respond(503, extra=extra))
            await bed.call()
            begun = bed.now()
            caller = await bed.call()
            assert bed.now() - begun < 0.2
            assert caller.status == 503
            assert b"servers_rest" in caller.body
            assert 9.0 <= float(caller.headers[b"retry-after"]) <= 12.0
            assert len(bed.arrivals) == 2
            bed.skipped_s = 13.0
            await bed.call()
            assert servers_of(bed)[2:] == ["s-2"]

        run(test)

    def test_a_call_that_waits_for_a_connection_does_not_disturb_the_rest(self):
        """Guard against calls that were placed before a server asked for rest, and
        arrive after it.
        """

        async def test(bed):
            await bed.serve("s-1", respond())
            connect_after(bed, lambda: rests(bed.dispatcher, "s-1", bed.now()))
            assert (await bed.call()).status == 503
            assert not bed.arrivals

        run(test)

    def test_a_rest_is_no_failure_of_the_server(self):
        dispatcher = make_dispatcher("a", engines=0, plain=1)
        placed = dispatcher.place(LOOKUP, 10.0)
        ticket = dispatcher.send(LOOKUP, placed, 10.0)
        dispatcher.end(ticket, SendOutcome.RESTS, 10.1)
        assert dispatcher.health("ledger-0").rate == 0
        assert not dispatcher.registry.get("ledger-0").cold(10.2)

    def test_a_call_refused_for_rest_may_be_sent_elsewhere(self):
        progress = CallProgress(repeatable=False, max_attempts=2)
        progress.note_send("s-1")
        progress.note_outcome(SendOutcome.RESTS, "s-1")
        assert progress.may_send
        assert progress.ran.value == "not_run"

    def test_a_refusal_without_rest_counts_as_before(self):
        async def test(bed):
            await bed.serve("s-1", respond(503, extra=REFUSED))
            await bed.call()
            assert bed.dispatcher.health("s-1").rate > 0
            assert not bed.dispatcher.servers.view("s-1").rest.is_on(bed.now())

        run(test)


def rests(dispatcher, server, now):
    instance = dispatcher.registry.get(server).instance
    dispatcher.note_rest(instance, 3.0, now)


class TestOwners:
    def test_the_owner_does_not_grant_servers_that_rest_for_the_asking_router(self):
        """Guard against places that are granted and given back again and again: the
        server refused the router that asks, which only this router knows.
        """

        async def test():
            bed = OwnerBed()
            for number in range(2):
                rests(bed.a, f"drafting-{number}", bed.now)
            for _ in range(20):
                placement = await bed.place()
                assert placement.choice.server == "drafting-2"
                bed.client.abandon(placement.grant)
                bed.flush()

        anyio.run(test)

    def test_a_rest_of_the_owner_does_not_bind_the_asking_router(self):
        """Guard against servers that no router calls because they refused their owner:
        the rest is between one server and one router.
        """

        async def test():
            bed = OwnerBed()
            for number in range(3):
                rests(bed.b, f"drafting-{number}", bed.now)
            assert isinstance(await bed.place(), Placement)
            assert isinstance(bed.b.place(CALL, bed.now), Refusal)

        anyio.run(test)

    def test_an_owner_that_rests_itself_lets_the_router_look_elsewhere(self):
        """Guard against a refusal by an owner whose servers the asking router avoids,
        while it could use those of other owners.
        """

        async def test():
            bed = OwnerBed()
            for number in range(3):
                rests(bed.b, f"drafting-{number}", bed.now)
            avoid = {f"drafting-{number}" for number in range(3)}
            assert await bed.place(avoid=avoid) is None

        anyio.run(test)

    def test_a_place_at_a_server_that_began_to_rest_is_given_back(self):
        async def test():
            bed = OwnerBed()
            deliver = bed.client.send

            def deliver_late(owner, data):
                for number in range(3):
                    rests(bed.a, f"drafting-{number}", bed.now)
                deliver(owner, data)

            bed.client.send = deliver_late
            assert await bed.place() is None
            bed.flush()
            assert bed.running() == 0

        anyio.run(test)

    def test_owners_get_no_calls_for_a_leaving_server(self):
        async def test():
            bed = OwnerBed()
            for dispatcher in (bed.a, bed.b):
                dispatcher.note_leaving("drafting-0", 0, "answer")
            names = {(await bed.place()).choice.server for _ in range(20)}
            assert names == {"drafting-1", "drafting-2"}

        anyio.run(test)


class TestPromises:
    """The two promises, checked from what servers see, over series of events."""

    @given(st.data())
    @settings(max_examples=60, deadline=None)
    def test_no_series_of_events_breaks_them(self, data):
        """Guard against a way to a server that no rule closes: servers leave, ask for
        rest, restart at the same address, are cut off, and the store is away.
        """
        series = Series()
        for _ in range(data.draw(st.integers(5, 40))):
            step = data.draw(st.sampled_from(STEPS))
            step(series, data.draw(st.integers(0, 2)), data.draw(st.floats(0.01, 2.0)))
        assert not series.broken


@define
class Series:
    """Two routers, one of which owns the servers, and what the servers see."""

    bed: OwnerBed = field(factory=OwnerBed)
    broken: list = field(factory=list)
    leaving: set = field(factory=set)  # servers that leave
    rests: dict = field(factory=lambda: defaultdict(float))  # by router and server
    resting: dict = field(factory=dict)  # rest in seconds with which a server refuses
    starts: dict = field(factory=lambda: defaultdict(int))
    store_away: bool = False
    told: set = field(factory=set)  # routers and servers whose announcement was read

    def call(self, dispatcher, placement):
        """Send a placed call and let its server answer."""
        bed, name = self.bed, placement.choice.server
        me = "a" if dispatcher is bed.a else "b"
        if not dispatcher.servers.may_send(placement.registered.instance, "", bed.now):
            if placement.grant is not None:
                bed.client.abandon(placement.grant)
            return
        if (me, name) in self.told:
            self.broken.append(f"{me} called {name}, which had said that it leaves")
        if bed.now < self.rests[me, name]:
            self.broken.append(f"{me} called {name} during its rest")
        ticket = dispatcher.send(CALL, placement, bed.now)
        outcome = None
        head = AnswerHead(200, signed=True)
        if name in self.resting:
            rest_s = self.resting[name]
            self.rests[me, name] = max(self.rests[me, name], bed.now + rest_s)
            head = AnswerHead(503, not_run=True, rest=f"{rest_s:.6f}")
        if name in self.leaving:
            self.told.add((me, name))
            head = evolve(head, leaving=True)
        exchanger = Exchanger(
            dispatcher,
            None,
            lambda: bed.now,
            lambda call, version, now: None,
            lambda instance, at: None,
            lambda instance, at: None,
            lambda run, ticket, connection: None,
        )
        try:
            exchanger._check_head(head, placement.registered.instance)
        except SendError as error:
            outcome = error.outcome
        else:
            dispatcher.begin(ticket, bed.now)
        dispatcher.end(ticket, outcome, bed.now)
        bed.flush()


def step_call(series, number, seconds):
    async def place():
        return await series.bed.place()

    placement = anyio.run(place)
    if isinstance(placement, Placement):
        series.call(series.bed.a, placement)


def step_call_of_owner(series, number, seconds):
    placement = series.bed.b.place(CALL, series.bed.now)
    if isinstance(placement, Placement):
        series.call(series.bed.b, placement)


def step_wait(series, number, seconds):
    series.bed.now += seconds


def step_leave(series, number, seconds):
    name = f"drafting-{number}"
    series.leaving.add(name)
    if not series.store_away:
        for dispatcher in (series.bed.a, series.bed.b):
            row = dispatcher.registry.get(name)
            dispatcher.registry.put(evolve(row.instance, draining=True), series.bed.now)


def step_rest(series, number, seconds):
    series.resting[f"drafting-{number}"] = seconds


def step_serve_again(series, number, seconds):
    series.resting.pop(f"drafting-{number}", None)


def step_restart(series, number, seconds):
    name = f"drafting-{number}"
    series.starts[name] += 1
    series.leaving.discard(name)
    series.resting.pop(name, None)
    for me, dispatcher in (("a", series.bed.a), ("b", series.bed.b)):
        series.told.discard((me, name))
        series.rests.pop((me, name), None)
        instance = evolve(
            dispatcher.registry.get(name).instance,
            draining=False,
            started_ms=series.starts[name],
        )
        if dispatcher.registry.put(instance, series.bed.now):
            dispatcher.restarted(name)


def step_old_entry(series, number, seconds):
    """Read an entry that was written before a server announced its shutdown."""
    for dispatcher in (series.bed.a, series.bed.b):
        row = dispatcher.registry.get(f"drafting-{number}")
        entry = evolve(row.instance, draining=False)
        dispatcher.registry.put(entry, series.bed.now)


def step_store(series, number, seconds):
    series.store_away = not series.store_away


def step_cut(series, number, seconds):
    series.bed.cut = not series.bed.cut


STEPS = (
    step_call,
    step_call,
    step_call_of_owner,
    step_wait,
    step_leave,
    step_rest,
    step_serve_again,
    step_restart,
    step_old_entry,
    step_store,
    step_cut,
)
