"""Tests of what a router takes for a restart or a failure of a server."""

import asyncio
import errno
import functools

import anyio
import pytest
from serving_bed import answer, chunk, event, make_catalog, run, stream_head

from fulmarroad_serving import EngineProfile, Service
from fulmarroad_serving.contracts import CatalogFact
from fulmarroad_serving.exceptions import ConnectionLimitError

KEEP_ALIVE = b"keep-alive: timeout=5\r\n"


def is_suspect(bed, server="e-1"):
    return bed.dispatcher.registry.get(server).cold(bed.now())


class TestIdleConnections:
    def serve_and_close(self, extra):
        """Return whether a server is suspect that closed an idle connection."""
        found = []

        async def test(bed):
            closing = anyio.Event()

            async def script(arrival, writer):
                head = stream_head(arrival.header("x-id")).removesuffix(b"\r\n")
                writer.write(head + extra + b"\r\n" + chunk(event(1)) + b"0\r\n\r\n")
                await writer.drain()
                await closing.wait()
                return False

            await bed.serve("e-1", script, "drafting")
            assert (await bed.call("/draft/1", method="POST")).status == 200
            assert not is_suspect(bed)
            closing.set()
            await anyio.sleep(0.05)
            found.append(is_suspect(bed))

        run(test)
        return found[0]

    def test_a_server_that_closes_idle_connections_early_may_have_restarted(self):
        """Guard against a cold server that gets calls at the usual rate.

        It restarted while no call of this router was there, so none broke.
        """
        assert self.serve_and_close(KEEP_ALIVE)

    def test_a_server_that_stated_no_idle_timeout_may_close_at_any_time(self):
        """Guard against sound servers without calls as they close idle connections."""
        assert not self.serve_and_close(b"")

    def test_a_connection_that_the_server_wants_to_close_is_no_sign(self):
        assert not self.serve_and_close(KEEP_ALIVE + b"connection: close\r\n")


class TestBrokenAnswers:
    def test_a_wrong_answer_is_no_sign_of_a_restart(self):
        """Guard against a server without calls after an answer without a signature."""

        async def test(bed):
            async def script(arrival, writer):
                writer.write(answer(request_id=arrival.header("x-id"), signed=False))

            await bed.serve("e-1", script, "drafting")
            assert (await bed.call("/draft/1", method="POST")).status == 502
            assert not is_suspect(bed)

        run(test)

    def test_a_reset_is_forgotten_as_an_older_stream_goes_on(self):
        """Guard against a server without calls for seconds as it reset one call."""

        async def test(bed):
            reset, goes_on = anyio.Event(), anyio.Event()

            async def script(arrival, writer):
                writer.write(stream_head(arrival.header("x-id")) + chunk(event(1)))
                await writer.drain()
                if arrival.header("x-id") == "reset":
                    await reset.wait()
                    writer.transport.abort()
                    return False
                await goes_on.wait()
                writer.write(chunk(event(2)) + b"0\r\n\r\n")
                return None

            await bed.serve("e-1", script, "drafting")
            async with anyio.create_task_group() as group:
                for name in ("goes on", "reset"):
                    group.start_soon(
                        lambda name=name: bed.call(
                            "/sms/1", request_id=name, method="POST"
                        )
                    )
                    await anyio.sleep(0.15)
                reset.set()
                await anyio.sleep(0.15)
                assert is_suspect(bed)
                goes_on.set()
                await anyio.sleep(0.05)
                assert not is_suspect(bed)

        run(test)


class TestDescriptors:
    def test_a_router_out_of_descriptors_holds_no_server_for_unreachable(self):
        """Guard against a router that gives no server a call for seconds, and tells
        their owners that they fail, as it has no file descriptor left itself.
        """

        async def test(bed):
            async def script(arrival, writer):
                writer.write(answer(request_id=arrival.header("x-id")))

            await bed.serve("s-1", script)
            loop = asyncio.get_running_loop()
            connect = loop.create_connection

            async def fail(*args):
                raise OSError(errno.EMFILE, "Too many open files")

            loop.create_connection = fail
            caller = await bed.call("/look/1")
            assert caller.status == 503
            assert float(caller.headers[b"retry-after"]) > 0
            loop.create_connection = connect
            assert not bed.dispatcher.health("s-1").in_backoff(bed.now())
            assert (await bed.call("/look/1")).status == 200

        run(test)


class TestConnectionShares:
    def test_a_connection_beyond_the_share_is_closed_after_its_call(self):
        """Guard against idle connections that pile up at a server, until it resets
        those of others: no owner counts them."""

        async def test(bed):
            async def script(arrival, writer):
                return None

            await bed.serve("s-1", script)
            instance = bed.dispatcher.registry.get("s-1").instance
            open_one = functools.partial(bed.pool.acquire, instance, 6, 1)
            first = await open_one()
            with pytest.raises(ConnectionLimitError):
                await open_one()
            second = await open_one(beyond_share=True)
            bed.pool.release("s-1", second)
            assert not second.reusable
            bed.pool.release("s-1", first)
            assert await open_one() is first

        run(test)


class TestColdServers:
    def test_two_calls_that_wait_for_a_connection_are_not_both_sent(self):
        """Guard against a cold server that gets more than its limit: both calls were
        placed while this router's share of one call was free."""

        async def test(bed):
            service = Service("drafting", engine=EngineProfile(16), warmup_rate=24.0)
            catalog = make_catalog(2, services={"drafting": service})
            bed.apply_fact(CatalogFact(catalog))

            async def script(arrival, writer):
                writer.write(stream_head(arrival.header("x-id")) + chunk(event(1)))
                writer.write(b"0\r\n\r\n")

            await bed.serve("e-1", script, "drafting")
            bed.dispatcher.registry.mark_cold("e-1", 5.0, bed.now())
            statuses = []

            async def call(name):
                caller = await bed.call("/sms/1", request_id=name, method="POST")
                statuses.append(caller.status)

            async with anyio.create_task_group() as group:
                for name in ("first", "second"):
                    group.start_soon(call, name)
            assert sorted(statuses) == [200, 503]
            assert len(bed.arrivals) == 1

        run(test)
