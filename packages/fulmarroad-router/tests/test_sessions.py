"""Whole sessions of one caller, compared with golden files."""

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
    def test_stream(self, session, snapshot):
        assert session(one_call()) == snapshot

    def test_plain_call(self, session, snapshot):
        assert session(one_call(**POST), [Script("plain")]) == snapshot

    def test_failed_answer_of_the_server_is_passed_on(self, session, snapshot):
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
    def test_refusal_says_not_run(self, session, snapshot, options):
        assert session(one_call(**options)) == snapshot

    def test_no_tables_yet(self, session, snapshot):
        async def scenario(router):
            router.put(None)
            return await router.call()

        assert session(scenario) == snapshot

    def test_no_server_in_service(self, session, snapshot):
        tables = make_tables()
        out = {"fes-1": DataCentre("fes-1", ServiceState.OUT)}
        tables = evolve(tables, data_centres=out)
        assert session(one_call(), tables=tables) == snapshot

    def test_workspace_over_its_limit(self, session, snapshot):
        tables = make_tables()
        coop = evolve(tables.workspaces["coop"], max_running=0)
        tables = evolve(tables, workspaces={"coop": coop})
        assert session(one_call(), tables=tables) == snapshot

    def test_after_shutdown(self, session, snapshot):
        async def scenario(router):
            router.gate.close()
            return await router.call()

        assert session(scenario) == snapshot


class TestBrokenEngines:
    def test_unreachable_server_is_passed_over(self, session, snapshot):
        # A server died since the last request. No byte was sent, so that the call
        # goes to another server and its caller notices nothing.
        assert session(one_call(), [Script("refuse"), Script()]) == snapshot

    def test_unreachable_everywhere_is_not_run(self, session, snapshot):
        # The only ledger server is gone. The refusal may say "not run", for no byte
        # of the call was sent to any server.
        scripts = [Script("refuse")] * 4
        assert session(one_call(**POST), scripts) == snapshot

    def test_stream_that_breaks_off_is_resumed(self, session, snapshot):
        # The engine's VM dies in the middle of an answer. Another engine goes on at
        # the next token; the caller sees one whole answer without a gap or repeat.
        scripts = [Script(break_after=2), Script()]
        assert session(one_call(), scripts) == snapshot

    def test_stream_that_cannot_be_resumed_is_broken_off(self, session, snapshot):
        # The engines of this pool can't resume. The connection closes without the
        # end of the answer, so that no caller takes half a letter for a whole one.
        tables = make_tables(can_resume=False)
        scripts = [Script(break_after=2)]
        assert session(one_call(), scripts, tables) == snapshot

    def test_call_that_may_not_be_repeated_is_unknown(self, session, snapshot):
        # The ledger server breaks off after the call was sent. It may have posted
        # the reminder; sending it again could send a family two letters.
        assert session(one_call(**POST), [Script("break_before")]) == snapshot

    def test_repeatable_call_is_tried_again(self, session, snapshot):
        scripts = [Script("break_before"), Script()]
        assert session(one_call(), scripts) == snapshot

    def test_broken_call_without_a_free_server_is_not_called_not_run(
        self, session, snapshot
    ):
        # The call was sent, the server broke off, and then no server was left to
        # repeat it. "Not run" would be a lie, though the second try was never sent.
        async def scenario(router):
            lines = []

            async def caller():
                lines.extend(await router.call())

            async with anyio.create_task_group() as group:
                group.start_soon(caller)
                while not router.backends.seen:
                    await anyio.sleep(0.01)
                out = {"fes-1": DataCentre("fes-1", ServiceState.OUT)}
                router.put(evolve(router.tables, version=2, data_centres=out))
            return lines

        assert session(scenario, [Script("break_before")]) == snapshot

    def test_engine_that_fails_is_passed_over(self, session, snapshot):
        # An engine that has just restarted answers 500 at once. The call may be
        # repeated, so another engine gets it; nobody sees the failure.
        scripts = [Script("plain", status=500), Script()]
        assert session(one_call(), scripts) == snapshot

    def test_failure_everywhere_is_passed_on(self, session, snapshot):
        scripts = [Script("plain", status=500)] * 4
        assert session(one_call(), scripts) == snapshot

    def test_answer_to_another_request_is_not_passed_on(self, session, snapshot):
        # A server mixes up two answers. Each caller must get its own or none.
        scripts = [Script("plain", echo_id="request-2")]
        assert session(one_call(**POST), scripts) == snapshot


class TestCallers:
    def test_caller_that_leaves_stops_the_work(self, session, snapshot):
        # The caller closes its connection in the middle of an answer. The unit that
        # it held must come free at once, not when the engine would have ended.
        scripts = [Script(tokens=100)]
        assert session(one_call(leaves_after_s=0.55), scripts) == snapshot

    def test_caller_that_leaves_while_it_waits(self, session, snapshot):
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
        # A caller on a bad line reads one part each two seconds. Read on ahead, a long
        # answer of each such caller would fill the memory of a small VM.
        ahead = []

        async def scenario(router):
            async with anyio.create_task_group() as group:
                group.start_soon(lambda: router.call(reads_each_s=2.0))
                for seconds in (5.0, 10.0, 15.0):
                    await anyio.sleep(5.0)
                    ahead.append((seconds, len(router.backends.read)))
                group.cancel_scope.cancel()
            return []

        session(scenario, [Script(tokens=100)])
        assert all(0 < parts <= seconds / 2 for seconds, parts in ahead)


class TestChanges:
    def test_shutdown_while_an_answer_streams(self, session, snapshot):
        # A router is replaced while an answer streams. The answer ends whole, and
        # only then the router is idle.
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

    def test_table_change_takes_a_route_away(self, session, snapshot):
        async def scenario(router):
            lines = await router.call(**POST)
            tables = evolve(router.tables, version=2, routes={})
            router.put(tables)
            return lines + await router.call(**POST)

        assert session(scenario, [Script("plain")]) == snapshot


KEYED = {**POST, "headers": {"idempotency-key": "posting-7"}}


def calls(*several):
    async def scenario(router):
        lines = []
        for options in several:
            lines += await router.call(**options)
            lines.append("--")
        return lines

    return scenario


class TestKeys:
    def test_repeat_gets_the_stored_answer(self, session, snapshot):
        # The caller's connection broke after the ledger had posted the reminder, so
        # that it sends the call again. The family must get one letter.
        assert session(calls(KEYED, KEYED), [Script("plain")]) == snapshot

    def test_key_with_another_body_is_refused(self, session, snapshot):
        other = {**KEYED, "body": b'{"letter": 8}'}
        assert session(calls(KEYED, other), [Script("plain")]) == snapshot

    def test_repeat_of_a_lost_call_is_told_so(self, session, snapshot):
        # The ledger server broke off after the first attempt was sent. Nobody knows
        # whether it posted; the repeat must not post again to find out.
        scripts = [Script("break_before"), Script("plain")]
        assert session(calls(KEYED, KEYED), scripts) == snapshot

    def test_call_that_was_not_sent_frees_its_key(self, session, snapshot):
        scripts = [Script("refuse")] * 4 + [Script("plain")]
        assert session(calls(KEYED, KEYED), scripts) == snapshot

    def test_caller_that_leaves_finds_the_outcome_later(self, session, snapshot):
        # The caller gives up while the ledger works. The call runs on, since cutting
        # it off could leave it half done, and the next attempt gets its answer.
        async def scenario(router):
            lines = await router.call(**KEYED, leaves_after_s=0.15)
            await anyio.sleep(1.0)
            return [*lines, "--", *await router.call(**KEYED)]

        assert session(scenario, [Script("plain")]) == snapshot

    def test_repeat_while_a_data_centre_is_cut_off(self, session, snapshot):
        # The first attempt may have come in at the other data centre, which can't be
        # asked now. This attempt isn't sent, and "not run" would be a lie about the
        # call: its caller would book again elsewhere.
        async def scenario(router):
            router.key_vms = {**router.key_vms, "far": ("router-z",)}
            return await router.call(**KEYED)

        assert session(scenario, [Script("plain")]) == snapshot

    def test_first_attempt_while_a_data_centre_is_cut_off(self, session, snapshot):
        # A caller that says it never sent this key before is served all the same.
        async def scenario(router):
            router.key_vms = {**router.key_vms, "far": ("router-z",)}
            headers = {**KEYED["headers"], "fulmarroad-first-attempt": "?1"}
            return await router.call(**{**KEYED, "headers": headers})

        assert session(scenario, [Script("plain")]) == snapshot
