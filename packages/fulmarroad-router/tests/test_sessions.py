"""Complete sessions of callers with one router, compared with stored transcripts."""

import anyio
import pytest
from attrs import evolve
from router_bed import Script, make_tables

from fulmarroad.tables import DataCentre, ServiceState


def one_call(**options):
    async def scenario(router):
        return await router.call(**options)

    return scenario


POST = {"path": "/reminders", "body": b'{"letter": 7}'}


class TestAnswers:
    def test_streamed_answer_is_forwarded(self, session, snapshot):
        assert session(one_call()) == snapshot

    def test_plain_answer_is_forwarded(self, session, snapshot):
        assert session(one_call(**POST), [Script("plain")]) == snapshot

    def test_error_status_of_the_backend_server_is_forwarded(self, session, snapshot):
        assert session(one_call(**POST), [Script("plain", status=500)]) == snapshot


class TestRefusals:
    @pytest.mark.parametrize(
        "options",
        [
            {"key": "wrong"},
            {"path": "/nowhere"},
            {"body": b"x" * 2000},
            {"body": b"{"},
            {"body": {"model": "m", "messages": []}},
            {**POST, "headers": {"idempotency-key": "k" * 256}},
        ],
        ids=["key", "route", "too-large", "no-json", "no-messages", "long-key"],
    )
    def test_refused_call_is_reported_as_not_run(self, session, snapshot, options):
        assert session(one_call(**options)) == snapshot

    def test_call_without_tables_is_refused(self, session, snapshot):
        async def scenario(router):
            router.set_tables(None)
            return await router.call()

        assert session(scenario) == snapshot

    def test_call_without_a_server_in_service_is_refused(self, session, snapshot):
        tables = make_tables()
        out = {"fes-1": DataCentre("fes-1", ServiceState.OUT)}
        tables = evolve(tables, data_centres=out)
        assert session(one_call(), tables=tables) == snapshot

    def test_call_above_the_workspace_limit_is_refused(self, session, snapshot):
        tables = make_tables()
        coop = evolve(tables.workspaces["coop"], max_running=0)
        tables = evolve(tables, workspaces={"coop": coop})
        assert session(one_call(), tables=tables) == snapshot

    def test_call_after_shutdown_is_refused(self, session, snapshot):
        async def scenario(router):
            router.gate.close()
            return await router.call()

        assert session(scenario) == snapshot


class TestBackendFailures:
    def test_call_to_an_unreachable_server_is_sent_to_another(self, session, snapshot):
        # The server stopped after its last request. No byte was sent, so the call must
        # be retried on another server without an error for the caller.
        assert session(one_call(), [Script("refuse"), Script()]) == snapshot

    def test_call_is_not_run_if_every_server_is_unreachable(self, session, snapshot):
        # The only ledger server is unreachable. The refusal says "not run", since no
        # byte of the call was sent to any server.
        scripts = [Script("refuse")] * 4
        assert session(one_call(**POST), scripts) == snapshot

    def test_interrupted_stream_is_resumed(self, session, snapshot):
        # The engine's VM fails during an answer. Another engine continues at the next
        # token, and the caller gets a complete answer without gaps or repeated tokens.
        scripts = [Script(break_after=2), Script()]
        assert session(one_call(), scripts) == snapshot

    def test_connection_closes_if_a_stream_cannot_be_resumed(self, session, snapshot):
        # The engines of this pool can't resume. The connection must close without the
        # end of the answer, or the caller would take a truncated answer as complete.
        tables = make_tables(can_resume=False)
        scripts = [Script(break_after=2)]
        assert session(one_call(), scripts, tables) == snapshot

    def test_failed_unrepeatable_call_has_an_unknown_outcome(self, session, snapshot):
        # The ledger server closes the connection after the call was sent. It may have
        # posted the reminder, so sending the call again could post it twice.
        assert session(one_call(**POST), [Script("break_before")]) == snapshot

    def test_repeatable_call_is_retried(self, session, snapshot):
        scripts = [Script("break_before"), Script()]
        assert session(one_call(), scripts) == snapshot

    def test_sent_call_without_a_server_to_retry_has_an_unknown_outcome(
        self, session, snapshot
    ):
        # The call was sent and failed, and no server is left for a second try. The
        # answer must not be "not run", although the second try was never sent.
        async def scenario(router):
            lines = []

            async def caller():
                lines.extend(await router.call())

            async with anyio.create_task_group() as group:
                group.start_soon(caller)
                while not router.backends.seen:
                    await anyio.sleep(0.01)
                out = {"fes-1": DataCentre("fes-1", ServiceState.OUT)}
                router.set_tables(evolve(router.tables, version=2, data_centres=out))
            return lines

        assert session(scenario, [Script("break_before")]) == snapshot

    def test_call_with_a_server_error_is_retried_on_another_engine(
        self, session, snapshot
    ):
        # An engine that has just restarted answers 500 at once. The call may be
        # repeated, so it is sent to another engine and the caller gets no error.
        scripts = [Script("plain", status=500), Script()]
        assert session(one_call(), scripts) == snapshot

    def test_server_error_of_every_engine_is_forwarded(self, session, snapshot):
        scripts = [Script("plain", status=500)] * 4
        assert session(one_call(), scripts) == snapshot

    def test_answer_to_another_request_is_not_forwarded(self, session, snapshot):
        # A server returns the answer to a different request, as its `x-request-id`
        # shows. The caller must get an error instead.
        scripts = [Script("plain", echo_id="request-2")]
        assert session(one_call(**POST), scripts) == snapshot


class TestDisconnects:
    def test_disconnect_cancels_a_running_call(self, session, snapshot):
        # The caller closes its connection during an answer. Its unit must be released
        # at once, not when the engine would have finished.
        scripts = [Script(tokens=100)]
        assert session(one_call(leaves_after_s=0.55), scripts) == snapshot

    def test_disconnect_cancels_a_waiting_call(self, session, snapshot):
        tables = make_tables(cold_concurrency=1)

        async def scenario(router):
            lines = []

            async def one(**options):
                lines.extend(await router.call(**options))

            async with anyio.create_task_group() as group:
                for _ in range(2):
                    group.start_soon(lambda: one(body=None))
                await anyio.sleep(0.05)
                group.start_soon(lambda: one(leaves_after_s=0.1))
            return lines

        assert session(scenario, tables=tables) == snapshot


class TestSlowCaller:
    def test_engine_is_read_no_faster_than_the_caller_reads(self, session):
        # A caller on a slow connection reads one chunk every two seconds. If the router
        # read ahead, long answers to such callers would fill the memory of a small VM.
        chunks_read = []

        async def scenario(router):
            async with anyio.create_task_group() as group:
                group.start_soon(lambda: router.call(reads_each_s=2.0))
                for seconds in (5.0, 10.0, 15.0):
                    await anyio.sleep(5.0)
                    chunks_read.append((seconds, len(router.backends.read)))
                group.cancel_scope.cancel()
            return []

        session(scenario, [Script(tokens=100)])
        assert all(0 < parts <= seconds / 2 for seconds, parts in chunks_read)


class TestShutdownAndTableChanges:
    def test_shutdown_waits_for_a_streaming_answer(self, session, snapshot):
        # A router shuts down while an answer streams. The answer must be completed
        # before the router counts as idle.
        async def scenario(router):
            lines = []

            async def caller():
                lines.extend(await router.call())
                lines.append(f"-- gate {router.gate.state.value}")

            async with anyio.create_task_group() as group:
                group.start_soon(caller)
                await anyio.sleep(0.25)
                router.gate.drain()
                router.gate.close()
                await router.gate.wait_idle()
                lines.append("-- idle")
            return lines

        assert session(scenario) == snapshot

    def test_call_to_a_removed_route_is_refused(self, session, snapshot):
        async def scenario(router):
            lines = await router.call(**POST)
            tables = evolve(router.tables, version=2, routes={})
            router.set_tables(tables)
            return lines + await router.call(**POST)

        assert session(scenario, [Script("plain")]) == snapshot


KEYED = {**POST, "headers": {"idempotency-key": "posting-7"}}


def calls(*call_options):
    async def scenario(router):
        lines = []
        for options in call_options:
            lines += await router.call(**options)
            lines.append("--")
        return lines

    return scenario


class TestIdempotencyKeys:
    def test_repeat_gets_the_stored_answer(self, session, snapshot):
        # The caller's connection broke after the ledger had posted the reminder, and
        # the caller repeats the call. The reminder must be posted only once.
        assert session(calls(KEYED, KEYED), [Script("plain")]) == snapshot

    def test_key_with_another_body_is_refused(self, session, snapshot):
        other = {**KEYED, "body": b'{"letter": 8}'}
        assert session(calls(KEYED, other), [Script("plain")]) == snapshot

    def test_repeat_of_a_call_with_unknown_outcome_is_not_sent(self, session, snapshot):
        # The ledger server closed the connection after the first attempt was sent, and
        # may have posted the reminder. The repeat must not be sent.
        scripts = [Script("break_before"), Script("plain")]
        assert session(calls(KEYED, KEYED), scripts) == snapshot

    def test_key_of_an_unsent_call_can_be_used_again(self, session, snapshot):
        scripts = [Script("refuse")] * 4 + [Script("plain")]
        assert session(calls(KEYED, KEYED), scripts) == snapshot

    def test_disconnected_caller_gets_the_answer_on_its_next_attempt(
        self, session, snapshot
    ):
        # The caller disconnects while the ledger runs the call. The call must continue,
        # since a cancellation could leave it half done, and the next attempt gets its
        # answer.
        async def scenario(router):
            lines = await router.call(**KEYED, leaves_after_s=0.15)
            await anyio.sleep(1.0)
            return [*lines, "--", *await router.call(**KEYED)]

        assert session(scenario, [Script("plain")]) == snapshot

    def test_repeat_is_unverifiable_while_a_data_centre_is_unreachable(
        self, session, snapshot
    ):
        # An earlier attempt may have reached the other data centre, which can't be
        # asked now. This attempt isn't sent, but the answer must not be "not run": the
        # caller would then repeat the call elsewhere.
        async def scenario(router):
            router.key_vms = {**router.key_vms, "far": ("router-z",)}
            return await router.call(**KEYED)

        assert session(scenario, [Script("plain")]) == snapshot

    def test_first_attempt_is_served_while_a_data_centre_is_unreachable(
        self, session, snapshot
    ):
        # The caller states that it has not sent this key before, so the unreachable
        # data centre need not be asked.
        async def scenario(router):
            router.key_vms = {**router.key_vms, "far": ("router-z",)}
            headers = {**KEYED["headers"], "fulmarroad-first-attempt": "?1"}
            return await router.call(**{**KEYED, "headers": headers})

        assert session(scenario, [Script("plain")]) == snapshot
