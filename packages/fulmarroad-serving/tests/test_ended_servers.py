"""Tests of the detection of crashed backend servers."""

import logging

import anyio
import pytest
from attrs import evolve
from serving_bed import CrashingServers, run

from fulmarroad.events import Event
from fulmarroad_serving._crash_detector import CRASH_WINDOW_S, CrashDetector
from fulmarroad_serving._fingerprints import fingerprint_of


async def close_connection(arrival, writer):
    return False


def number(kind):
    return kind.value.number


def events(caplog, kind):
    return [row for row in caplog.records if getattr(row, "event", 0) == number(kind)]


class TestCrashDetector:
    def test_the_log_identifies_the_request_that_ran_on_every_crashed_server(
        self, caplog
    ):
        """Guard against logs that do not identify the request that crashes servers.

        Each attempt has an id of its own, so without the fingerprint no line showed
        that the same request ran on every server that crashed.
        """

        async def test(bed):
            caplog.set_level(logging.INFO, "fulmarroad.serving")
            servers = CrashingServers(bed)
            await servers.start("s-1", "s-2", "s-3", "s-4")
            for n in range(2):
                body = {"method": "POST", "body": b"poison"}
                await bed.call("/draft/1", request_id=f"c-{n}", **body)
            ended = {row.server for row in events(caplog, Event.SERVER_ENDED)}
            assert ended == set(servers.ended)
            failed = events(caplog, Event.SEND_FAILED)
            assert len({row.request_id for row in failed}) == 2
            assert len({row.fingerprint for row in failed}) == 1

        run(test)

    def test_a_reset_connection_is_not_a_crash(self, caplog):
        """Guard against taking a reset connection for a crash.

        Connections are reset while the server keeps running. Its calls would be
        suspected of a crash that did not happen.
        """

        async def test(bed):
            caplog.set_level(logging.INFO, "fulmarroad.serving")

            async def reset(arrival, writer):
                writer.transport.abort()
                return False

            await bed.serve("s-1", reset)
            await bed.call("/post/1", method="POST", body=b"x")
            assert events(caplog, Event.SEND_FAILED)
            assert not events(caplog, Event.SERVER_ENDED)

        run(test)

    def test_the_end_of_a_draining_server_is_not_a_crash(self, caplog):
        """Guard against taking the end of a drain with running calls for a crash."""

        async def test(bed):
            caplog.set_level(logging.INFO, "fulmarroad.serving")
            drained = []

            async def leave(arrival, writer):
                row = bed.dispatcher.registry.get("s-1")
                bed.dispatcher.registry.put(
                    evolve(row.instance, draining=True), bed.now()
                )
                bed._servers[0].close()
                drained.append(arrival)
                return False

            await bed.serve("s-1", leave)
            await bed.call("/post/1", method="POST", body=b"x")
            assert drained
            assert not events(caplog, Event.SERVER_ENDED)

        run(test)

    def test_a_server_is_checked_once_for_all_calls_that_broke(self):
        """Guard against one check for each call.

        A hundred calls break at once. A connection attempt for each of them would
        overload a server that has only reset its connections.
        """

        async def test(bed):
            asked = []

            async def refuses(instance):
                asked.append(instance.id)
                await anyio.sleep(0.01)
                return True

            async def close_connection_later(arrival, writer):
                await anyio.sleep(0.1)
                return False

            bed.pool.refuses = refuses
            await bed.serve("s-1", close_connection_later)
            async with anyio.create_task_group() as group:
                for n in range(5):
                    group.start_soon(bed.call, "/post/1", f"c-{n}")
            assert asked == ["s-1"]

        run(test)

    def test_a_server_that_was_unreachable_is_checked_again(self):
        """Guard against results of a check that are kept for too long.

        The network refused connections for a while. Each connection that is reset
        later would count as another crash of the server.
        """

        async def test(bed):
            verdicts = [True, False]

            async def refuses(instance):
                return verdicts.pop(0)

            bed.pool.refuses = refuses
            await bed.serve("s-1", close_connection)
            instance = bed.dispatcher.registry.get("s-1").instance
            ended = CrashDetector(bed.pool, bed.dispatcher.registry, bed.now)
            assert await ended.has_crashed(instance, bed.now())
            bed.skipped_s += CRASH_WINDOW_S + 0.1
            assert not await ended.has_crashed(instance, bed.now())

        run(test)


class TestPool:
    def test_the_pool_keeps_nothing_of_a_crashed_server(self):
        """Guard against a leak, as servers restart with new ids and entries add up."""

        async def test(bed):
            await bed.serve("s-1", close_connection)
            instance = bed.dispatcher.registry.get("s-1").instance
            assert not await bed.pool.refuses(instance)
            bed._servers[0].close()
            assert await bed.pool.refuses(instance)
            assert not bed.pool._server_pools

        run(test)


class TestFingerprints:
    def test_each_field_of_a_request_changes_its_fingerprint(self):
        request = ("coop", "svc.example", "POST", b"/draft/1", b"body")
        same = fingerprint_of(*request)
        assert same == fingerprint_of(*request)
        for index, other in enumerate(("other", "x.example", "PUT", b"/", b"")):
            changed = list(request)
            changed[index] = other
            assert fingerprint_of(*changed) != same

    def test_the_boundaries_between_fields_change_the_fingerprint(self):
        first = fingerprint_of("ab", "c", "GET", b"/", b"")
        assert first != fingerprint_of("a", "bc", "GET", b"/", b"")


class TestUnansweredRequests:
    def test_the_log_says_whether_a_server_that_broke_off_had_the_request(self, caplog):
        """Guard against asking the kernel about a socket that is closed by then."""

        async def test(bed):
            caplog.set_level(logging.INFO, "fulmarroad.serving")
            await bed.serve("s-1", close_connection)
            caller = await bed.call("/post/1", method="POST", body=b"x")
            assert caller.status == 502
            (failed,) = events(caplog, Event.SEND_FAILED)
            assert failed.delivery == "acknowledged"

        run(test)

    def test_the_log_says_whether_the_server_has_the_request(self, caplog):
        """Guard against logs that don't tell a cut path from a silent server."""

        async def test(bed):
            caplog.set_level(logging.INFO, "fulmarroad.serving")

            async def never_answer(arrival, writer):
                await anyio.sleep(5)

            await bed.serve("s-1", never_answer)
            headers = {"x-deadline-ms": "200"}
            await bed.call("/post/1", method="POST", body=b"x", headers=headers)
            (failed,) = events(caplog, Event.SEND_FAILED)
            assert failed.delivery == "acknowledged"
            assert failed.unacked_bytes == 0
            assert failed.written_s == pytest.approx(0.2, abs=0.15)
            (ended,) = events(caplog, Event.REQUEST_UNKNOWN)
            assert ended.delivery == "acknowledged"

        run(test)
