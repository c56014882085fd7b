"""Tests of calls that crash backend servers, through the whole router."""

import anyio
import pytest
from attrs import evolve
from serving_bed import (
    CrashingServers,
    answer,
    chunk,
    event,
    make_catalog,
    run,
    stream_head,
)

from fulmarroad_serving._fingerprints import part_fingerprint
from fulmarroad_serving._suspects import (
    MAX_SUSPECT_ANSWERING_S,
    SuspectState,
)
from fulmarroad_serving.contracts import CatalogFact


def suspect(bed, ends):
    """Give the next request some crashes; return a list of the requests looked up."""
    suspects, asked = bed.dispatcher.suspects, []
    suspect_state = suspects.suspect_state

    def note(fingerprint, now):
        if not asked:
            for end in range(ends):
                suspects.note_crash(fingerprint, end, now)
        asked.append(fingerprint)
        return suspect_state(fingerprint, now)

    suspects.suspect_state = note
    return asked


async def send_poison(bed, times, path="/draft/1"):
    """Send the same body repeatedly, each time with another request id."""
    for n in range(times):
        await bed.call(path, request_id=f"k-{n}", method="POST", body=b"poison")


class TestCalls:
    @pytest.mark.parametrize(("offset_s", "ends"), [(0.2, 0), (-0.4, 1)])
    def test_a_crash_late_in_an_answer_is_not_attributed_to_its_request(
        self, offset_s, ends
    ):
        """Guard against suspecting a request whose long answer breaks in a crash."""

        async def test(bed):
            async def script(arrival, writer):
                writer.write(stream_head(arrival.header("x-id")) + chunk(event(1)))
                await writer.drain()
                await anyio.sleep(MAX_SUSPECT_ANSWERING_S + offset_s)
                bed._servers[0].close()
                return False

            await bed.serve("s-1", script, "drafting")
            await bed.call("/sms/1", method="POST", body=b"p")
            counted = bed.dispatcher.suspects._records.values()
            assert [record.count() for record in counted] == [1] * ends

        run(test)

    def test_a_request_crashes_three_servers_at_most(self):
        """Guard against a request that crashes all servers.

        The caller repeats it with a new request id each time, and without a limit it
        would be sent until no server is left.
        """

        async def test(bed):
            servers = CrashingServers(bed)
            await servers.start(*(f"s-{n}" for n in range(9)))
            await send_poison(bed, 5)
            assert 1 <= len(servers.ended) <= 3

        run(test)

    @pytest.mark.parametrize("path", ["/look/1", "/post/1"])
    def test_a_request_crashes_three_servers_of_a_plain_service_at_most(self, path):
        async def test(bed):
            servers = CrashingServers(bed, service="ledger")
            await servers.start(*(f"s-{n}" for n in range(9)))
            await send_poison(bed, 5, path)
            assert 1 <= len(servers.ended) <= 3

        run(test)

    def test_a_barred_request_is_refused_without_retry_after(self):
        """Guard against a refusal that makes the caller repeat the request.

        The caller would follow a `retry-after` header, and an answer that the request
        did not run would be wrong.
        """

        async def test(bed):
            servers = CrashingServers(bed)
            await servers.start(*(f"s-{n}" for n in range(4)))
            await send_poison(bed, 2)
            caller = await bed.call("/draft/1", method="POST", body=b"poison")
            assert caller.status == 502
            assert b"request_barred" in caller.body
            assert b"retry-after" not in caller.headers
            assert len(servers.ended) == 3

        run(test)

    def test_other_requests_of_the_caller_are_served(self):
        async def test(bed):
            servers = CrashingServers(bed)
            await servers.start(*(f"s-{n}" for n in range(5)))
            await send_poison(bed, 4)
            caller = await bed.call("/draft/1", method="POST", body=b"letter")
            assert (caller.status, caller.whole) == (200, True)

        run(test)

    def test_a_request_that_crashed_two_servers_is_not_retried_by_the_router(self):
        async def test(bed):
            routes = [evolve(row, max_attempts=5) for row in make_catalog().routes]
            bed.apply_fact(CatalogFact(make_catalog(2, routes=tuple(routes))))
            servers = CrashingServers(bed)
            await servers.start(*(f"s-{n}" for n in range(5)))
            caller = await bed.call("/draft/1", method="POST", body=b"poison")
            assert caller.status == 502
            assert len(servers.ended) == 2

        run(test)

    def test_a_bar_received_while_a_call_is_connecting_stops_it(self):
        """Guard against a fourth crash.

        A peer reports the third crash while the connection to a server is being opened,
        after the request was checked.
        """

        async def test(bed):
            servers = CrashingServers(bed)
            await servers.start("s-1", "s-2")
            acquire = bed.pool.acquire

            async def acquire_after_third_crash(*args, **more):
                connection = await acquire(*args, **more)
                for end in range(3):
                    for known in list(asked):
                        bed.dispatcher.suspects.note_crash(known, end, bed.now())
                return connection

            asked = suspect(bed, ends=0)
            bed.pool.acquire = acquire_after_third_crash
            caller = await bed.call("/draft/1", method="POST", body=b"poison")
            assert caller.status == 502
            assert not bed.arrivals

        run(test)

    def test_a_copy_of_a_suspect_is_refused_while_another_one_runs(self):
        async def test(bed):
            async def slow(arrival, writer):
                await anyio.sleep(0.3)
                writer.write(answer(200, b"done", arrival.header("x-id")))

            await bed.serve("s-1", slow)
            suspect(bed, ends=1)
            async with anyio.create_task_group() as group:
                group.start_soon(bed.call, "/look/1", "c-1")
                await anyio.sleep(0.1)
                copy = await bed.call("/look/1", "c-2")
            assert copy.status == 503
            assert float(copy.headers[b"retry-after"]) > 0
            assert len(bed.arrivals) == 1
            assert (await bed.call("/look/1", "c-3")).status == 200

        run(test)

    def test_a_suspect_gets_the_timeout_of_a_last_attempt(self):
        """Guard against the shorter timeout of attempts that may be retried.

        A suspect is not retried, so that timeout would only discard the answer of a
        slow server.
        """

        async def test(bed):
            async def slow(arrival, writer):
                await anyio.sleep(0.9)
                writer.write(answer(200, b"late", arrival.header("x-id")))

            await bed.serve("s-1", slow)
            await bed.serve("s-2", slow)
            suspect(bed, ends=2)
            caller = await bed.call("/look/1")
            assert (caller.status, caller.body) == (200, b"late")
            assert len(bed.arrivals) == 1

        run(test)

    def test_a_failed_send_names_the_parts_and_whether_the_server_crashed(self, caplog):
        """Guard against crashes whose logs do not show what the requests had in common.

        Requests that crash servers may share one part of their prompts only.
        """

        async def test(bed):
            servers = CrashingServers(bed)
            await servers.start("s-1", "s-2")
            headers = {"x-part": "a1,b2"}
            with caplog.at_level("WARNING"):
                await bed.call(
                    "/draft/1", method="POST", body=b"poison", headers=headers
                )
            failed = [row for row in caplog.records if row.event == 509]
            assert {row.parts for row in failed} == {("a1", "b2")}
            assert [row.crashed for row in failed] == [True, True]
            assert {row.answered_s for row in failed} == {None}

        run(test)

    def test_a_call_with_a_barred_part_is_told_its_name(self):
        """Guard against a caller that can't know what to change."""

        async def test(bed):
            servers = CrashingServers(bed)
            await servers.start(*(f"s-{n}" for n in range(5)))
            for n in range(4):
                await bed.call(
                    f"/draft/{n}",
                    method="POST",
                    body=b"poison",
                    headers={"x-part": f"a{n},b2"},
                )
            servers.poison = None
            caller = await bed.call("/draft/9", headers={"x-part": "a9,b2"})
            assert caller.status == 502
            assert b"b2" in caller.body
            assert b"retry-after" not in caller.headers
            assert len(servers.ended) == 3
            other = await bed.call("/draft/9", headers={"x-part": "a0,b3"})
            assert (other.status, other.whole) == (200, True)

        run(test)

    def test_a_part_is_cleared_while_an_answer_goes_on(self):
        """Guard against a part that is held back until a long answer has ended."""

        async def test(bed):
            async def script(arrival, writer):
                writer.write(stream_head(arrival.header("x-id")))
                for number in range(1, 9):
                    writer.write(chunk(event(number)))
                    await writer.drain()
                    await anyio.sleep(0.1)
                writer.write(b"0\r\n\r\n")

            await bed.serve("s-1", script, "drafting")
            part = part_fingerprint("drafting", "b2")
            suspects = bed.dispatcher.suspects
            for end in range(2):
                suspects.note_crash(part, end, bed.now() - 1.0)
            async with anyio.create_task_group() as group:
                headers = {"x-part": "b2"}
                group.start_soon(lambda: bed.call("/draft/1", headers=headers))
                await anyio.sleep(0.2)
                assert suspects.is_running(part, bed.now())
                await anyio.sleep(0.5)
                state = suspects.suspect_state(part, bed.now())
                assert state is SuspectState.CLEAR
                assert not suspects.is_running(part, bed.now())

        run(test)
