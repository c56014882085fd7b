"""Calls that find no place at once and may still begin on time."""

import anyio
from attrs import evolve
from serving_bed import Caller, chunk, event, run, stream_head

from fulmarroad.types import RefusalReason
from fulmarroad_serving import Refusal, _holding
from fulmarroad_serving._holding import HELD_FRACTION, HeldCalls
from fulmarroad_serving._shares import ShareUse

BUSY = Refusal(RefusalReason.WAIT_TOO_LONG, 0.5, 0.3, ShareUse(0.5), 3, 0.05)


class TestPace:
    def test_a_call_looks_again_while_it_may_begin_on_time(self):
        assert HeldCalls().next_poll_s(BUSY, 0.4, 0.0) > 0

    def test_a_call_that_cannot_begin_on_time_is_refused_at_once(self):
        """A prompt takes longer to read than its objective. Held, its caller would hear
        later that it has to come back, and nothing would have changed.
        """
        long = evolve(BUSY, read_s=0.4)
        assert HeldCalls().next_poll_s(long, 0.4, 0.0) is None

    def test_nothing_is_held_for_half_of_its_objective(self):
        held = HeldCalls()
        assert held.next_poll_s(BUSY, 0.4, HELD_FRACTION * 0.4) is None
        assert held.next_poll_s(evolve(BUSY, read_s=0.0), 0.4, 0.19) is None

    def test_without_servers_there_is_nothing_to_wait_for(self):
        gone = evolve(BUSY, reason=RefusalReason.NO_SERVERS)
        assert HeldCalls().next_poll_s(gone, 0.4, 0.0) is None

    def test_who_uses_less_of_its_share_looks_more_often(self):
        """One workspace floods the fleet and holds many calls. Each of their looks may
        take the place that comes free before a small workspace looks again.
        """
        small = evolve(BUSY, use=ShareUse(0.1))
        flood = evolve(BUSY, use=ShareUse(8.0))
        held = HeldCalls()
        assert held.next_poll_s(small, 0.4, 0.0) < 0.5 * held.next_poll_s(flood, 0.4, 0)

    def test_a_call_does_not_look_before_its_queue_can_have_moved(self):
        """Every engine is a quarter of a second behind and stays so. Looking each 10 ms
        a call is placed twenty times to be refused: at a small VM that is most of what
        its processor does, and calls that could be served are late.
        """
        far = evolve(BUSY, excess_wait_s=0.25)
        held, held_s, looks = HeldCalls(), 0.0, 0
        while (pause_s := held.next_poll_s(far, 0.5, held_s)) is not None:
            held_s += pause_s
            looks += 1
        assert looks <= 6

    def test_a_call_beside_a_short_queue_looks_soon(self):
        near = evolve(BUSY, excess_wait_s=0.005)
        assert HeldCalls().next_poll_s(near, 0.5, 0.0) <= 0.02

    def test_many_held_calls_look_less_often(self):
        """A burst of hundreds of calls is held at once. Looking each 10 ms they would
        take the whole processor, and calls that could be served would be late.
        """
        held = HeldCalls(count=400)
        looks = held.count / held.next_poll_s(BUSY, 2.0, 0.0)
        assert looks <= 500


class TestHeldCalls:
    def test_a_place_that_comes_free_in_time_is_taken(self):
        """An engine is busy for a tenth of a second. A call that is turned away then
        comes back after its objective, although the engine was free long before it.
        """

        async def test(bed):
            async def script(arrival, writer):
                writer.write(stream_head(arrival.header("x-id")))
                writer.write(chunk(event(1)) + b"0\r\n\r\n")

            await bed.serve("s-1", script, "drafting")
            load = bed.dispatcher.load("s-1")
            busy = load.send("s-1", 60_000, bed.now())

            async def free():
                await anyio.sleep(0.05)
                load.end(busy, begun=False)

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(free)
                caller = await bed.call("/draft/1", method="POST", body=b"p")
            assert caller.status == 200

        run(test)

    def test_without_a_place_the_refusal_says_that_nothing_ran(self):
        """Every engine stays busy. The call is refused well before its objective."""

        async def test(bed):
            async def script(arrival, writer):
                raise AssertionError("the call was sent")

            await bed.serve("s-1", script, "drafting")
            bed.dispatcher.load("s-1").send("s-1", 600_000, bed.now())
            begun = bed.now()
            caller = await bed.call("/draft/1", method="POST", body=b"p")
            assert caller.status == 503
            assert float(caller.headers[b"retry-after"]) > 0
            assert bed.now() - begun < 0.4
            assert not bed.arrivals

        run(test)

    def test_the_time_held_counts_against_the_objective(self, monkeypatch):
        """A call was held for half of its objective. A place where it would begin
        within a whole objective from now would make it late.
        """
        monkeypatch.setattr(_holding, "HELD_FRACTION", 0.9)
        monkeypatch.setattr(_holding, "POLL_INTERVAL_S", 0.1)

        async def test(bed):
            async def script(arrival, writer):
                raise AssertionError("the call was sent")

            await bed.serve("s-1", script, "drafting")
            load = bed.dispatcher.load("s-1")
            load.send("s-1", 6_000, bed.now())
            busy = load.send("s-1", 60_000, bed.now())

            async def shorten():
                await anyio.sleep(0.03)
                load.end(busy, begun=False)

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(shorten)
                caller = await bed.call("/draft/1", method="POST", body=b"p")
            assert caller.status == 503

        run(test)

    def test_a_caller_with_no_time_for_another_look_is_told_at_once(self, monkeypatch):
        """A caller gives up in 30 ms. Held until a later look, its call would end
        without an answer.
        """
        monkeypatch.setattr(_holding, "POLL_INTERVAL_S", 60.0)

        async def test(bed):
            async def script(arrival, writer):
                raise AssertionError("the call was sent")

            await bed.serve("s-1", script, "drafting")
            bed.dispatcher.load("s-1").send("s-1", 60_000, bed.now())
            caller = await bed.call(
                "/draft/1", method="POST", body=b"p", headers={"x-deadline-ms": "30"}
            )
            assert caller.status == 503

        run(test)

    def test_a_caller_who_leaves_while_held_is_not_sent_on(self):
        """A caller closes its connection while its call waits for a place. Sent later,
        the call would run for nobody.
        """

        async def test(bed):
            async def script(arrival, writer):
                raise AssertionError("the call was sent")

            await bed.serve("s-1", script, "drafting")
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
                load.end(busy, begun=False)
                await anyio.sleep(0.1)
            assert not bed.arrivals

        run(test)
