"""Tests of calls that are held until an engine becomes free."""

import anyio
from attrs import evolve
from serving_bed import (
    Caller,
    call_while,
    chunk,
    event,
    never_reached,
    run,
    stream_head,
)

from fulmarroad.types import RefusalReason
from fulmarroad_serving import Refusal, _holding
from fulmarroad_serving._holding import HELD_FRACTION, HeldCalls
from fulmarroad_serving._shares import ShareUse

REFUSAL = Refusal(RefusalReason.WAIT_TOO_LONG, 0.5, 0.3, ShareUse(0.5), 3, 0.05)


class TestPollInterval:
    def test_polls_while_the_call_can_begin_on_time(self):
        assert HeldCalls().next_poll_s(REFUSAL, 0.4, 0.0) > 0

    def test_refuses_at_once_when_the_call_cannot_begin_on_time(self):
        """A prompt takes longer to read than its objective. Holding it would only delay
        the refusal.
        """
        long = evolve(REFUSAL, read_s=0.4)
        assert HeldCalls().next_poll_s(long, 0.4, 0.0) is None

    def test_refuses_when_half_of_the_objective_is_used_up(self):
        held = HeldCalls()
        assert held.next_poll_s(REFUSAL, 0.4, HELD_FRACTION * 0.4) is None
        assert held.next_poll_s(evolve(REFUSAL, read_s=0.0), 0.4, 0.19) is None

    def test_refuses_at_once_when_no_server_is_known(self):
        no_servers = evolve(REFUSAL, reason=RefusalReason.NO_SERVERS)
        assert HeldCalls().next_poll_s(no_servers, 0.4, 0.0) is None

    def test_calls_of_a_workspace_below_its_share_poll_more_often(self):
        """One workspace far above its share has many held calls. If they polled as
        often, they would get each engine that becomes free before a call of a small
        workspace polls.
        """
        small = evolve(REFUSAL, use=ShareUse(0.1))
        large = evolve(REFUSAL, use=ShareUse(8.0))
        held = HeldCalls()
        assert held.next_poll_s(small, 0.4, 0.0) < 0.5 * held.next_poll_s(large, 0.4, 0)

    def test_calls_behind_a_long_queue_poll_seldom(self):
        """Every engine constantly has a queue of a quarter of a second. With a poll
        every 10 ms, a call would be tried twenty times before it is refused. That uses
        most of the CPU of a small VM and makes calls late that could be served.
        """
        long_queue = evolve(REFUSAL, excess_wait_s=0.25)
        held, held_s, polls = HeldCalls(), 0.0, 0
        while (pause_s := held.next_poll_s(long_queue, 0.5, held_s)) is not None:
            held_s += pause_s
            polls += 1
        assert polls <= 6

    def test_calls_behind_a_short_queue_poll_soon(self):
        short_queue = evolve(REFUSAL, excess_wait_s=0.005)
        assert HeldCalls().next_poll_s(short_queue, 0.5, 0.0) <= 0.02

    def test_polls_of_many_held_calls_are_limited(self):
        """Hundreds of calls are held at once. If each polled every 10 ms, they would
        use the whole CPU, and calls that could be served would be late.
        """
        held = HeldCalls(count=400)
        polls = held.count / held.next_poll_s(REFUSAL, 2.0, 0.0)
        assert polls <= 500


class TestHeldCalls:
    def test_held_call_is_sent_when_an_engine_becomes_free_in_time(self):
        """An engine is busy for a tenth of a second. If a call is refused at once, its
        caller retries after its objective, although the engine was free long before.
        """

        async def test(bed):
            async def script(arrival, writer):
                writer.write(stream_head(arrival.header("x-id")))
                writer.write(chunk(event(1)) + b"0\r\n\r\n")

            await bed.serve("s-1", script, "drafting")
            load = bed.dispatcher.load("s-1")
            busy = load.send("s-1", 60_000, bed.now())

            async def free():
                await anyio.sleep(0.02)
                load.end(busy)

            caller = await call_while(bed, free)
            assert caller.status == 200

        run(test)

    def test_refuses_a_call_unsent_while_engines_stay_busy(self):
        """Every engine stays busy. The call is refused well before its objective."""

        async def test(bed):
            await bed.serve("s-1", never_reached, "drafting")
            bed.dispatcher.load("s-1").send("s-1", 600_000, bed.now())
            begun = bed.now()
            caller = await bed.call("/draft/1", method="POST", body=b"p")
            assert caller.status == 503
            assert float(caller.headers[b"retry-after"]) > 0
            assert bed.now() - begun < 0.4
            assert not bed.arrivals

        run(test)

    def test_holding_time_counts_against_the_objective(self, monkeypatch):
        """A call was held for half of its objective. An engine where it would begin
        within a whole objective from now would make it late.
        """
        monkeypatch.setattr(_holding, "HELD_FRACTION", 0.9)
        monkeypatch.setattr(_holding, "POLL_INTERVAL_S", 0.1)

        async def test(bed):
            await bed.serve("s-1", never_reached, "drafting")
            load = bed.dispatcher.load("s-1")
            load.send("s-1", 6_000, bed.now())
            busy = load.send("s-1", 60_000, bed.now())

            async def end_one_call():
                await anyio.sleep(0.03)
                load.end(busy)

            caller = await call_while(bed, end_one_call)
            assert caller.status == 503

        run(test)

    def test_refuses_at_once_when_the_deadline_precedes_the_next_poll(
        self, monkeypatch
    ):
        """A caller's deadline expires in 30 ms. If its call were held until a later
        poll, it would end without an answer.
        """
        monkeypatch.setattr(_holding, "POLL_INTERVAL_S", 60.0)

        async def test(bed):
            await bed.serve("s-1", never_reached, "drafting")
            bed.dispatcher.load("s-1").send("s-1", 60_000, bed.now())
            caller = await bed.call(
                "/draft/1", method="POST", body=b"p", headers={"x-deadline-ms": "30"}
            )
            assert caller.status == 503

        run(test)

    def test_does_not_send_a_held_call_after_its_caller_disconnects(self):
        """A caller disconnects while its call is held. If the call were sent later, its
        answer would be wasted.
        """

        async def test(bed):
            await bed.serve("s-1", never_reached, "drafting")
            load = bed.dispatcher.load("s-1")
            busy = load.send("s-1", 60_000, bed.now())
            caller = Caller()
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(
                    lambda: bed.call("/draft/1", method="POST", caller=caller)
                )
                await anyio.sleep(0.03)
                caller.left.set()
                await anyio.sleep(0.02)
                load.end(busy)
                await anyio.sleep(0.1)
            assert not bed.arrivals

        run(test)
