"""Tests of answers that have neither a length nor chunks and end with a close."""

import random

import anyio
import pytest
from crash_fleet import EVENTS, CrashFleet, Framing
from serving_bed import event, run

from fulmarroad.testing import run_virtual

HEAD = "HTTP/1.1 200 OK\r\nx-signed: s\r\nx-id: {}\r\n\r\n"
PATIENCE_S = 6.0


def undelimited(arrival, *chunks):
    """Return the bytes of an answer that only the end of its connection ends."""
    return HEAD.format(arrival.header("x-id")).encode() + b"".join(chunks)


async def serve_once(bed, name, *chunks, service="drafting", crashes=False):
    """Start a server that answers, closes the connection and maybe crashes."""

    async def script(arrival, writer):
        if crashes:
            server.close()
        writer.write(undelimited(arrival, *chunks))
        await writer.drain()
        return False

    await bed.serve(name, script, service)
    server = bed._servers[-1]


def crashes_of(bed):
    records = bed.dispatcher.suspects._records.values()
    return sorted(record.count() for record in records)


class TestCrashedServers:
    def test_a_stream_cut_between_two_events_is_not_shown_as_complete(self):
        """Guard against half a stream that its caller takes for a whole one.

        The kernel closes the connections of a crashed process like those of answers
        that have ended.
        """

        async def test(bed):
            await serve_once(bed, "s-1", event(1), event(2), crashes=True)
            caller = await bed.call("/draft/1")
            assert caller.body == event(1) + event(2)
            assert not caller.whole

        run(test)

    def test_such_a_stream_goes_on_at_another_server(self):
        async def test(bed):
            async def rest(arrival, writer):
                assert arrival.header("last-event-id") == "2"
                writer.write(undelimited(arrival, event(3)))
                await writer.drain()
                return False

            await serve_once(bed, "s-1", event(1), event(2), crashes=True)
            bed.dispatcher.health("s-2").unreachable(bed.now())
            await bed.serve("s-2", rest, "drafting")
            caller = await bed.call("/draft/1")
            assert (caller.body, caller.whole) == (event(1) + event(2) + event(3), True)

        run(test)

    @pytest.mark.parametrize("path", ["/look/1", "/post/1"])
    def test_a_buffered_answer_that_was_cut_is_not_shown_as_complete(self, path):
        async def test(bed):
            await serve_once(bed, "s-1", b"half of", service="ledger", crashes=True)
            caller = await bed.call(path)
            assert caller.status == 502
            assert crashes_of(bed) == [1]

        run(test)

    @pytest.mark.parametrize("chunks", [(), (b"id: 1\nda",)])
    def test_a_crash_before_the_first_event_is_charged(self, chunks):
        """Guard against crashes that count against no request.

        Such a stream counted as a broken answer, and nobody asked for its server.
        """

        async def test(bed):
            await serve_once(bed, "s-1", *chunks, crashes=True)
            caller = await bed.call("/draft/1", headers={"x-part": "a1"})
            assert caller.status == 502
            assert crashes_of(bed) == [1, 1]

        run(test)


class TestSoundServers:
    def test_an_answer_that_ends_with_its_connection_is_complete(self):
        async def test(bed):
            await serve_once(bed, "s-1", event(1), event(2))
            for number in range(3):
                caller = await bed.call(f"/draft/{number}")
                assert (caller.body, caller.whole) == (event(1) + event(2), True)
            assert crashes_of(bed) == []

        run(test)

    def test_the_look_at_the_server_costs_one_connection_that_is_used_next(self):
        """Guard against a new connection for each such answer beside its own."""

        async def test(bed):
            await serve_once(bed, "s-1", event(1))
            for number in range(5):
                await bed.call(f"/draft/{number}")
            assert bed.pool.opened == 5 + 1

        run(test)

    def test_an_answer_in_chunks_is_not_looked_at(self):
        async def test(bed):
            async def script(arrival, writer):
                writer.write(
                    b"HTTP/1.1 200 OK\r\nx-signed: s\r\nconnection: close\r\n"
                    b"content-length: 4\r\n\r\ndone"
                )
                await writer.drain()
                return False

            await bed.serve("s-1", script)
            await bed.call("/look/1")
            assert bed.pool.opened == 1

        run(test)


class TestFleet:
    @pytest.mark.parametrize("seed", range(3))
    def test_no_caller_takes_a_part_of_a_stream_for_the_whole(self, seed):
        """Guard against streams that end early while engines crash by themselves."""

        async def test(fleet):
            fleet.framing = Framing(delimited=False, reset=False)
            await fleet.prepare()
            source = random.Random(seed)
            async with anyio.create_task_group() as group:
                group.start_soon(fleet.send_sound, 30.0, 8.0, lambda _: ("a1", "b2"))
                for _ in range(8):
                    await anyio.sleep(1.0)
                    up = [row for row in fleet.engines.values() if row.up]
                    fleet.crash_and_replace(source.choice(up))
            await anyio.sleep(PATIENCE_S)
            whole = [row for row in fleet.callers if row.whole]
            assert len(whole) > 0.9 * len(fleet.callers)
            assert all(len(row.events) == EVENTS for row in whole)

        run_virtual(CrashFleet(seed=seed).run, test)
