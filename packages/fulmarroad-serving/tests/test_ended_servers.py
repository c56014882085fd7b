"""Whether a backend server that broke a call off has ended."""

import logging

import anyio
from attrs import evolve
from serving_bed import CrashingServers, run

from fulmarroad.events import Event
from fulmarroad_serving._crash_detector import CRASH_WINDOW_S, CrashDetector
from fulmarroad_serving._fingerprints import fingerprint_of


async def hang_up(arrival, writer):
    return False


def number(kind):
    return kind.value.number


def events(caplog, kind):
    return [row for row in caplog.records if getattr(row, "event", 0) == number(kind)]


class TestVerdicts:
    def test_an_engineer_finds_the_request_under_which_servers_ended(self, caplog):
        """Attempts have ids of their own, so no line showed that one request was at
        every server that ended.
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

    def test_a_reset_connection_is_no_end(self, caplog):
        """Connections are reset while the server lives on. Its calls would be held
        responsible for a crash that never was.
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

    def test_a_server_that_said_it_leaves_has_not_crashed(self, caplog):
        """A server ends at the end of its drain with calls still running there."""

        async def test(bed):
            caplog.set_level(logging.INFO, "fulmarroad.serving")
            gone = []

            async def leave(arrival, writer):
                row = bed.dispatcher.registry.get("s-1")
                bed.dispatcher.registry.put(
                    evolve(row.instance, draining=True), bed.now()
                )
                bed._servers[0].close()
                gone.append(arrival)
                return False

            await bed.serve("s-1", leave)
            await bed.call("/post/1", method="POST", body=b"x")
            assert gone
            assert not events(caplog, Event.SERVER_ENDED)

        run(test)

    def test_a_server_is_asked_once_for_all_its_calls(self):
        """A hundred calls break off together; each opening a connection would press a
        server that only reset its connections.
        """

        async def test(bed):
            asked = []

            async def refuses(instance):
                asked.append(instance.id)
                await anyio.sleep(0.01)
                return True

            async def hang_up_later(arrival, writer):
                await anyio.sleep(0.1)
                return False

            bed.pool.refuses = refuses
            await bed.serve("s-1", hang_up_later)
            async with anyio.create_task_group() as group:
                for n in range(5):
                    group.start_soon(bed.call, "/post/1", f"c-{n}")
            assert asked == ["s-1"]

        run(test)

    def test_a_server_that_was_out_of_reach_for_a_while_may_still_be_there(self):
        """A cut refused connections and has healed. Each connection that is reset later
        would count as another end of the server.
        """

        async def test(bed):
            verdicts = [True, False]

            async def refuses(instance):
                return verdicts.pop(0)

            bed.pool.refuses = refuses
            await bed.serve("s-1", hang_up)
            instance = bed.dispatcher.registry.get("s-1").instance
            ended = CrashDetector(bed.pool, bed.dispatcher.registry, bed.now)
            assert await ended.has_crashed(instance, bed.now())
            bed.skipped_s += CRASH_WINDOW_S + 0.1
            assert not await ended.has_crashed(instance, bed.now())

        run(test)


class TestPool:
    def test_nothing_is_kept_of_a_server_that_ended(self):
        """Servers come back under new ids; what is kept of each would pile up."""

        async def test(bed):
            await bed.serve("s-1", hang_up)
            instance = bed.dispatcher.registry.get("s-1").instance
            assert not await bed.pool.refuses(instance)
            bed._servers[0].close()
            assert await bed.pool.refuses(instance)
            assert not bed.pool._kept

        run(test)


class TestFingerprints:
    def test_another_caller_path_or_body_is_another_request(self):
        request = ("coop", "svc.example", "POST", b"/draft/1", b"body")
        same = fingerprint_of(*request)
        assert same == fingerprint_of(*request)
        for index, other in enumerate(("other", "x.example", "PUT", b"/", b"")):
            changed = list(request)
            changed[index] = other
            assert fingerprint_of(*changed) != same

    def test_fields_do_not_run_into_each_other(self):
        first = fingerprint_of("ab", "c", "GET", b"/", b"")
        assert first != fingerprint_of("a", "bc", "GET", b"/", b"")
