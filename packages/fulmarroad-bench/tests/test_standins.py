"""Test the stand-ins: answers, resume, cancellation, late reports and watches."""

from __future__ import annotations

import json
import tomllib

import anyio
import pytest

from fulmarroad_bench._answers import expected_answer, plain_answer
from fulmarroad_bench._engine_model import EngineProfile
from fulmarroad_bench._server import AbortConnectionError
from fulmarroad_bench.engine import Engine
from fulmarroad_bench.plain import PlainService
from fulmarroad_bench.platform import Platform

WARM = EngineProfile(warm_tokens=0)


class Caller:
    """Call an ASGI app directly and collect its response."""

    def __init__(self, app, method="GET", path="/", body=b"", headers=()):
        self._app = app
        raw_path, _, query = path.partition("?")
        self._scope = {
            "type": "http",
            "method": method,
            "path": raw_path,
            "query_string": query.encode(),
            "headers": [(key.encode(), value.encode()) for key, value in headers],
        }
        self._body = body
        self.left = anyio.Event()
        self.status = 0
        self.headers: dict[bytes, bytes] = {}
        self.body = b""
        self.complete = False

    async def call(self):
        await self._app(self._scope, self._receive, self._send)
        return self

    async def _receive(self):
        if self._body is not None:
            body, self._body = self._body, None
            return {"type": "http.request", "body": body}
        await self.left.wait()
        return {"type": "http.disconnect"}

    async def _send(self, message):
        if message["type"] == "http.response.start":
            self.status = message["status"]
            self.headers = dict(message["headers"])
            return
        self.body += message.get("body", b"")
        self.complete = not message.get("more_body", False)


class Clock:
    """Return a time that only the test changes."""

    def __init__(self):
        self.now = 0.0

    def __call__(self):
        return self.now


def chat(request_id, *, stream=True, tokens=12):
    body = {
        "model": "draft",
        "messages": [{"role": "user", "content": "write a reminder"}],
        "max_tokens": tokens,
        "stream": stream,
        "metadata": {"id": request_id, "workspace": "atlas"},
    }
    return json.dumps(body).encode()


def caller_of(engine, body, headers=()):
    return Caller(engine.app, "POST", "/v1/chat/completions", body, headers)


async def drive(engine, clock, steps=200):
    """Advance an engine in steps of 50 ms and let its handlers run after each."""
    for _ in range(steps):
        clock.now += 0.05
        engine.tick(clock.now)
        await anyio.wait_all_tasks_blocked()
        if not engine.model.jobs:
            return


async def finish(engine, clock, caller):
    async with anyio.create_task_group() as group:
        group.start_soon(caller.call)
        await anyio.wait_all_tasks_blocked()
        await drive(engine, clock)
        caller.left.set()
    return caller


def text_of(body):
    events = [line[6:] for line in body.decode().split("\n\n") if line]
    assert events[-1] == "[DONE]"
    chunks = [json.loads(event) for event in events[:-1]]
    return "".join(
        chunk["choices"][0]["delta"].get("content", "") for chunk in chunks
    ), chunks


@pytest.fixture
def anyio_backend():
    return "asyncio"


@pytest.fixture
def clock():
    return Clock()


@pytest.fixture
def engine(clock):
    return Engine("e1", WARM, clock)


@pytest.mark.anyio
class TestEngineAnswers:
    async def test_a_stream_has_one_event_per_token(self, engine, clock):
        caller = await finish(engine, clock, caller_of(engine, chat("r1")))
        text, chunks = text_of(caller.body)
        assert caller.complete
        assert text == expected_answer("r1", 12)
        assert len(chunks) == 13
        assert chunks[-1]["usage"]["completion_tokens"] == 12
        assert engine.records[0].state == "completed"
        assert engine.records[0].workspace == "atlas"

    async def test_an_answer_without_streaming_is_complete(self, engine, clock):
        body = chat("r1", stream=False)
        caller = await finish(engine, clock, caller_of(engine, body))
        answer = json.loads(caller.body)
        text = answer["choices"][0]["message"]["content"]
        assert text == expected_answer("r1", 12)
        assert answer["usage"]["completion_tokens"] == 12

    @pytest.mark.parametrize("body", [b"", b"{", b"[]", b"{}"])
    async def test_a_malformed_body_gets_an_openai_error(self, engine, body):
        caller = await caller_of(engine, body).call()
        assert caller.status == 400
        assert json.loads(caller.body)["error"]["type"] == "invalid_request_error"

    async def test_a_refusing_engine_generates_nothing(self, engine):
        await engine.control({"refuse": True})
        caller = await caller_of(engine, chat("r1")).call()
        assert caller.status == 503
        assert engine.records[0].state == "refused"
        assert engine.service == []


@pytest.mark.anyio
class TestResume:
    @pytest.mark.parametrize("position", [0, 5, 12])
    async def test_a_resumed_answer_starts_at_the_position(
        self, engine, clock, position
    ):
        headers = (("x-resume-id", "r1"), ("x-resume-from", str(position)))
        caller = await finish(engine, clock, caller_of(engine, chat("r1"), headers))
        text, chunks = text_of(caller.body)
        assert text == expected_answer("r1", 12, position)
        assert chunks[-1]["usage"]["completion_tokens"] == 12
        assert engine.records[0].tokens == 12 - position

    async def test_a_position_beyond_the_end_is_refused(self, engine):
        headers = (("x-resume-id", "r1"), ("x-resume-from", "13"))
        caller = await caller_of(engine, chat("r1"), headers).call()
        assert caller.status == 400

    async def test_an_answer_ordered_to_break_is_incomplete(self, engine, clock):
        # The engine's process dies in the middle of an answer. The caller gets some
        # tokens, and the connection closes without the end of the stream.
        await engine.control({"break_streams": 1, "after_tokens": 4})
        caller = caller_of(engine, chat("r1"))
        with pytest.raises(BaseExceptionGroup) as caught:
            await finish(engine, clock, caller)
        assert caught.group_contains(AbortConnectionError)
        assert not caller.complete
        assert caller.body.count(b"data:") == 4
        assert engine.records[0].state == "broken"


@pytest.mark.anyio
class TestCancel:
    async def test_a_disconnect_frees_the_slot(self, engine, clock):
        caller = caller_of(engine, chat("r1", tokens=1000))
        async with anyio.create_task_group() as group:
            group.start_soon(caller.call)
            await anyio.wait_all_tasks_blocked()
            await drive(engine, clock, steps=5)
            assert engine.model.running == 1
            caller.left.set()
        assert engine.model.running == 0
        assert engine.records[0].state == "cancelled"
        assert 0 < engine.records[0].tokens < 1000


@pytest.mark.anyio
class TestColdEngine:
    async def test_overloading_a_cold_engine_breaks_every_answer(self, clock):
        # A router sends a full load to an engine that has just started. All answers
        # fail, and the engine responds with 503 until it has restarted.
        engine = Engine("e1", EngineProfile(), clock)
        callers = [caller_of(engine, chat(f"r{n}")) for n in range(3)]
        async with anyio.create_task_group() as group:
            for caller in callers:
                group.start_soon(caller.call)
        assert engine.model.overloads == 1
        assert [caller.status for caller in callers] == [500] * 3
        assert [record.state for record in engine.records] == ["broken"] * 3
        late = await caller_of(engine, chat("late")).call()
        assert late.status == 503


@pytest.mark.anyio
class TestLateReports:
    async def test_load_and_cache_events_are_delayed(self, engine, clock):
        words = "word " * 200
        body = json.loads(chat("r1", tokens=100))
        body["messages"][0]["content"] = words
        caller = caller_of(engine, json.dumps(body).encode())
        async with anyio.create_task_group() as group:
            group.start_soon(caller.call)
            await anyio.wait_all_tasks_blocked()
            await drive(engine, clock, steps=4)
            assert engine.load()["running"] == 0
            assert engine.cache_events(0) == []
            await drive(engine, clock, steps=12)
            assert engine.load()["running"] == 1
            numbers = [event["number"] for event in engine.cache_events(0)]
            assert numbers[:7] == [1, 2, 3, 4, 5, 6, 8]
            caller.left.set()


@pytest.mark.anyio
class TestPlainService:
    async def test_a_call_is_recorded_and_its_answer_derived_from_its_id(self, clock):
        service = PlainService("l1", 0.0, clock)
        headers = (("x-bench-id", "c1"), ("idempotency-key", "k1"))
        caller = await Caller(service.app, "PUT", "/post", b"{}", headers).call()
        assert caller.body == plain_answer("c1", b"{}")
        assert [(r.id, r.key, r.state) for r in service.records] == [
            ("c1", "k1", "completed")
        ]

    async def test_a_hanging_call_is_recorded(self, clock):
        service = PlainService("l1", 0.0, clock)
        await service.control({"hang": True})
        caller = Caller(service.app, "POST", "/post", b"{}", (("x-bench-id", "c1"),))
        caller.left.set()
        await caller.call()
        assert service.records[0].state == "hung"
        assert caller.status == 0

    async def test_an_answer_breaks_off_after_the_ordered_bytes(self, clock):
        service = PlainService("l1", 0.0, clock)
        await service.control({"break_calls": 1, "after_bytes": 7})
        caller = Caller(service.app, "POST", "/post", b"{}", (("x-bench-id", "c1"),))
        with pytest.raises(AbortConnectionError):
            await caller.call()
        assert len(caller.body) == 7
        assert not caller.complete


@pytest.mark.anyio
class TestPlatform:
    @pytest.fixture
    def platform(self):
        platform = Platform()
        platform.put_tables({"version": 3, "routes": "a = 1", "pools": "b = 2"})
        return platform

    async def test_a_manifest_lists_its_parts(self, platform):
        caller = await Caller(platform.app, path="/manifest").call()
        manifest = tomllib.loads(caller.body.decode())
        assert manifest["version"] == 3
        digest = manifest["part"][1]["sha256"]
        part = await Caller(platform.app, path=f"/parts/{digest}").call()
        assert part.body == b"b = 2"
        assert manifest["part"][1]["bytes"] == 5

    async def test_an_unchanged_manifest_is_not_sent_again(self, platform):
        first = await Caller(platform.app, path="/manifest").call()
        known = (("if-none-match", first.headers[b"etag"].decode()),)
        again = await Caller(platform.app, path="/manifest", headers=known).call()
        assert again.status == 304
        assert again.body == b""
        assert platform.calls["manifest"] == 2

    async def test_a_watch_returns_when_the_manifest_changes(self, platform):
        first = await Caller(platform.app, path="/manifest").call()
        known = first.headers[b"etag"].decode()
        headers = (("if-none-match", known), ("prefer", "wait=50"))
        watch = Caller(platform.app, path="/manifest", headers=headers)
        async with anyio.create_task_group() as group:
            group.start_soon(watch.call)
            await anyio.wait_all_tasks_blocked()
            assert watch.status == 0
            platform.put_tables({"version": 4, "routes": "a = 1", "pools": "b = 3"})
        assert watch.status == 200
        assert b"version = 4" in watch.body

    async def test_a_stale_service_keeps_serving_the_old_version(self, platform):
        platform.control({"stale": True})
        platform.put_tables({"version": 4, "routes": "a = 1", "pools": "b = 3"})
        seen = await Caller(platform.app, path="/manifest").call()
        assert b"version = 3" in seen.body
        platform.control({"stale": False})
        seen = await Caller(platform.app, path="/manifest").call()
        assert b"version = 4" in seen.body

    async def test_a_service_that_is_down_responds_with_503(self, platform):
        platform.control({"down": True})
        answers = [
            (await Caller(platform.app, path=path).call()).status
            for path in ("/manifest", "/vms")
        ]
        assert answers == [503, 200]
        platform.control({"vms_down": True, "down": False})
        seen = await Caller(platform.app, path="/vms").call()
        assert seen.status == 503

    async def test_a_lagging_replica_serves_an_older_version(self, platform):
        # A lagging replica of the service answers. A router that trusts it would
        # replace its tables with an older version.
        platform.put_tables({"version": 4, "routes": "a = 1", "pools": "b = 3"})
        platform.control({"old": True})
        seen = await Caller(platform.app, path="/manifest").call()
        assert b"version = 3" in seen.body
        platform.control({"stale": False})
        seen = await Caller(platform.app, path="/manifest").call()
        assert b"version = 4" in seen.body
