"""Tests of the cost and times that each try of a call reports."""

from __future__ import annotations

import json
from unittest.mock import Mock

import anyio
import pytest

from fulmarroad.coordination import Ask, Granted, Lease, NoteFinished
from fulmarroad.tables import BackendServer, Pool, Route, Workspace
from fulmarroad.types import Outcome, ShardId, Unit
from fulmarroad_router.backend import FailedAfterSend
from fulmarroad_router.calls import Call, ChatBody
from fulmarroad_router.execution import Execution

SERVER = BackendServer("e1", "127.0.0.1:1", "c1")
POOL = Pool("model", can_resume=True, prompt_cost=0.0, servers=(SERVER,))
SHARD = ShardId("model", "c1", 0)


class FakeCoordinator:
    """Grant every demand immediately and record the commands it receives."""

    def __init__(self):
        self.commands = []

    async def request(self, ask: Ask):
        return Granted(
            ask.demand_id, Lease("l", SHARD, Unit("e1", 0), SERVER, ask, 0.0)
        )

    def send_command(self, command):
        self.commands.append(command)

    @property
    def finished(self):
        return [
            command.report
            for command in self.commands
            if isinstance(command, NoteFinished)
        ]


class FakeAnswer:
    """Yield chunks after given delays, then end or fail."""

    status = 200

    def __init__(self, clock, kind, chunks, fails=False):
        self._clock = clock
        self.headers = [(b"content-type", kind)]
        self._chunks = chunks
        self._fails = fails

    def header(self, name):
        return dict(self.headers).get(name, b"")

    async def __aenter__(self):
        return self

    async def __aexit__(self, *error):
        return None

    async def chunks(self):
        for after, chunk in self._chunks:
            self._clock.now += after
            yield chunk
        if self._fails:
            raise FailedAfterSend("broken off")


class CallHarness:
    """Run one call whose tries get the given answers in order."""

    def __init__(self):
        self.now = 0.0
        self.coordinator = FakeCoordinator()
        self.answers = []
        self.body = b""
        self.begun = False

    def call(self, pool, server, request, *, repeatable):
        return self.answers.pop(0)

    async def begin(self, status, headers):
        self.begun = True

    async def send(self, chunk):
        self.body += chunk

    async def finish(self):
        pass

    def run(self, chat, *answers):
        self.answers = [FakeAnswer(self, *answer) for answer in answers]
        execution = Execution(
            self.coordinator, self, Mock(), lambda: self.now, "router-a/1"
        )
        route = Route("draft", "/v1", "model", repeatable=True)
        call = Call(
            "r1", Workspace("a"), route, POOL, "POST", b"/v1", [], b"{}", 0.0, chat
        )
        anyio.run(execution.run, call, self)
        return self.coordinator.finished


def token(text="x"):
    choice = {"delta": {"content": text}}
    return b"data: " + json.dumps({"choices": [choice]}).encode() + b"\n\n"


def end(tokens):
    usage = json.dumps({"choices": [], "usage": {"completion_tokens": tokens}})
    return b"data: " + usage.encode() + b"\n\ndata: [DONE]\n\n"


EVENTS = b"text/event-stream"


class TestFirstToken:
    def test_streamed_answer_reports_time_to_first_token(self):
        chunks = [(0.5, token()), (2.0, token()), (0.0, end(2))]
        report = CallHarness().run(ChatBody("draft", True), (EVENTS, chunks))[0]
        assert report.first_s == 0.5

    @pytest.mark.parametrize(
        ("model", "first_s"), [("draft", None), ("", 9.0)], ids=["model", "plain"]
    )
    def test_unstreamed_model_answer_reports_no_time_to_first_token(
        self, model, first_s
    ):
        # A call that doesn't stream gets its whole answer at the end. If that time
        # counted as time to first token, a few long answers would make a warm server
        # look cold, and its slots would stay idle while calls wait.
        answer = (b"application/json", [(9.0, b'{"usage": {}}')])
        report = CallHarness().run(ChatBody(model, False), answer)[0]
        assert report.first_s == first_s


class TestResumedAnswer:
    def test_tokens_are_charged_once(self):
        # A backend server fails after three of five tokens. A second one sends the
        # rest and reports the usage of the whole answer. The workspace must be charged
        # for five tokens, not for eight.
        broken = (EVENTS, [(0.1, token()) for _ in range(3)], True)
        rest = (EVENTS, [(0.1, token()), (0.1, token()), (0.0, end(5))])
        reports = CallHarness().run(ChatBody("draft", True), broken, rest)
        assert [report.service for report in reports] == [3.0, 2.0]
        assert [report.outcome for report in reports] == [
            Outcome.FAILED,
            Outcome.COMPLETED,
        ]
