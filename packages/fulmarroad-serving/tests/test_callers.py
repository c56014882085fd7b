"""Checks of calls against the current configuration."""

import anyio
import pytest
from attrs import evolve
from serving_bed import (
    KEY,
    Bed,
    Caller,
    answer,
    chunk,
    event,
    make_catalog,
    run,
    stream_head,
)

from fulmarroad.events import Event
from fulmarroad_router.connection_ends import ClosedBy
from fulmarroad_serving import CatalogIndex, KeyHolder, digest_key
from fulmarroad_serving.contracts import CatalogFact


async def echo(arrival, writer):
    writer.write(answer(200, b"done", arrival.header("x-id")))


class TestKeys:
    def test_an_unknown_key_is_rejected(self):
        async def test(bed):
            await bed.serve("s-1", echo)
            assert (await bed.call(key=b"other")).status == 401
            assert (await bed.call(key=b"")).status == 401
            assert not bed.arrivals

        run(test)

    def test_an_anonymous_route_needs_no_key(self):
        async def test(bed):
            await bed.serve("s-1", echo)
            assert (await bed.call("/open/1", key=b"")).status == 200
            assert (await bed.call("/open/1", key=KEY)).status == 200
            assert [row.header("x-workspace") for row in bed.arrivals] == ["", "coop"]

        run(test)

    def test_an_older_version_does_not_restore_a_withdrawn_key(self):
        async def test(bed):
            await bed.serve("s-1", echo)
            bed.apply_fact(CatalogFact(make_catalog(2, holders=())))
            bed.apply_fact(CatalogFact(make_catalog(1)))
            assert bed.beliefs.catalog.version == 2

        run(test)


class TestRoutes:
    def test_a_call_matches_a_route_by_host_and_path_prefix(self):
        index = Bed().beliefs.index
        assert index.route_for("svc.example", "/look/a/b").name == "plain"
        assert index.route_for("svc.example", "/lookout") is None
        assert index.route_for("svc.example", "/other/") is None
        assert index.route_for("other.example", "/look/") is None

    def test_a_router_without_configuration_answers_503_with_a_retry_delay(self):
        """A router that has just started has no configuration. If it answered 404,
        callers would not retry.
        """

        async def test(bed):
            bed.beliefs.index = None
            caller = await bed.call()
            assert caller.status == 503
            assert b"retry-after" in caller.headers

        run(test)

    def test_a_call_without_a_server_is_refused_with_a_retry_delay(self):
        async def test(bed):
            caller = await bed.call()
            assert caller.status == 503
            assert float(caller.headers[b"retry-after"]) > 0

        run(test)

    @pytest.mark.parametrize("path", ["/new/1", "/look/1"])
    @pytest.mark.parametrize(("age_s", "denied"), [(1.9, True), (2.1, False)])
    def test_an_old_configuration_denies_nothing_for_good(self, path, age_s, denied):
        """Guard against callers who give up on a route or key that a router doesn't
        know yet, as it was cut off or stood still while the operator added them.
        """

        async def test(bed):
            bed.list_age_s = age_s
            caller = await bed.call(path, key=b"new")
            if denied:
                assert caller.status in (401, 404)
                assert b"retry-after" not in caller.headers
            else:
                assert caller.status == 503
                assert 0 < float(caller.headers[b"retry-after"]) <= 1.0

        run(test)

    def test_an_old_configuration_serves_what_it_allows(self):
        """Guard against a cut-off data centre that refuses all of its callers."""

        async def test(bed):
            await bed.serve("s-1", echo)
            bed.list_age_s = 60.0
            assert (await bed.call()).status == 200
            assert (await bed.call(headers={"x-large": "x" * 20_000})).status == 431

        run(test)

    def test_headers_above_the_limit_are_rejected(self):
        async def test(bed):
            await bed.serve("s-1", echo)
            caller = await bed.call(headers={"x-large": "x" * 20_000})
            assert caller.status == 431
            assert not bed.arrivals

        run(test)


class TestPriorities:
    def test_a_workspace_priority_overrides_the_route_priority(self):
        urgent = KeyHolder("urgent", (digest_key(b"u"),), 0)
        index = CatalogIndex(make_catalog(holders=(urgent, KeyHolder("plain"))))
        route = evolve(index.catalog.routes[0], priority=2)
        assert index.rank_of(route, urgent) == 0
        assert index.rank_of(route, KeyHolder("plain")) == 2

    def test_anonymous_calls_are_not_ranked_by_workspace_priorities(self):
        """Workspaces have a high priority and anonymous routes a low one. If anonymous
        calls were ranked against the workspaces, all of them would be refused early.
        """
        urgent = KeyHolder("urgent", (digest_key(b"u"),), 0)
        routes = tuple(
            evolve(row, priority=2, anonymous=True) for row in make_catalog().routes
        )
        index = CatalogIndex(make_catalog(routes=routes, holders=(urgent,)))
        assert index.rank_of(routes[0], None) == 0


class TestDraining:
    def test_a_draining_router_serves_calls_and_closes_connections(self):
        async def test(bed):
            await bed.serve("s-1", echo)
            bed.gate.drain()
            caller = await bed.call()
            assert caller.status == 200
            assert caller.headers[b"connection"] == b"close"
            bed.gate.close()
            caller = await bed.call()
            assert caller.status == 503

        run(test)


class TestStreamLog:
    def test_the_end_of_a_call_names_the_stream_it_takes_up(self, caplog):
        """Guard against streams that go on at another software version, of which the
        log doesn't say where they began.
        """

        async def test(bed):
            async def script(arrival, writer):
                writer.write(stream_head(arrival.header("x-id")))
                writer.write(chunk(event(5)) + b"0\r\n\r\n")

            await bed.serve("s-1", script, "drafting", version="v1")
            headers = {"resumes": "c-1", "last-event-id": "4"}
            await bed.call("/draft/1", "c-2", method="POST", body=b"p", headers=headers)

        with caplog.at_level("INFO", "fulmarroad.serving"):
            run(test)
        (line,) = [
            row for row in caplog.records if row.msg == Event.REQUEST_DONE.value.text
        ]
        assert (line.server_version, line.resumes, line.after_event) == (
            "v1",
            "c-1",
            "4",
        )


class TestClosedBy:
    """Log lines say who ended the connection of a call without a complete answer."""

    @staticmethod
    async def _answers(arrival, writer):
        head = stream_head(arrival.header("x-id"))
        writer.write(head + chunk(event(1)) + b"0\r\n\r\n")

    @staticmethod
    async def _ends_early(arrival, writer):
        writer.write(stream_head(arrival.header("x-id")) + chunk(event(1)))
        return False

    @staticmethod
    async def _hangs(arrival, writer):
        writer.write(stream_head(arrival.header("x-id")) + chunk(event(1)))
        await anyio.sleep(5)

    async def _leave(self, bed, caller):
        await anyio.sleep(0.2)
        caller.left.set()

    async def _be_cancelled(self, bed, caller):
        await anyio.sleep(0.2)
        bed.scope.cancel()

    async def _wait(self, bed, caller):
        await anyio.sleep(0.1)

    @pytest.mark.parametrize(
        ("script", "happen", "kind", "closed_by"),
        [
            ("_answers", "_wait", Event.REQUEST_DONE, ClosedBy.NOBODY),
            (None, "_wait", Event.REQUEST_REFUSED, ClosedBy.NOBODY),
            ("_ends_early", "_wait", Event.STREAM_BROKEN, ClosedBy.ROUTER),
            ("_hangs", "_leave", Event.CALLER_LEFT, ClosedBy.CALLER),
            ("_hangs", "_be_cancelled", Event.STREAM_BROKEN, ClosedBy.DRAIN),
        ],
    )
    def test_lines_name_who_ended_the_connection(
        self, caplog, script, happen, kind, closed_by
    ):
        """Guard against requests without an answer of which the log doesn't say
        whether the caller or the router ended the connection.
        """

        async def test(bed):
            if script is not None:
                await bed.serve("s-1", getattr(self, script), "drafting")
            caller = Caller()
            async with anyio.create_task_group() as group:
                group.start_soon(getattr(self, happen), bed, caller)
                with anyio.CancelScope() as bed.scope:
                    await bed.call("/sms/1", method="POST", body=b"p", caller=caller)

        with caplog.at_level("INFO", "fulmarroad.serving"):
            run(test)
        (line,) = [row for row in caplog.records if row.msg == kind.value.text]
        assert line.closed_by == closed_by
