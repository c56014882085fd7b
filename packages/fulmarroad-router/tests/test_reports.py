"""What a try of a call reports of its cost and its times."""

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
    """Grant every demand at once and keep what was told."""

    def __init__(self):
        self.told = []

    async def request(self, ask: Ask):
        return Granted(
            ask.demand_id, Lease("l", SHARD, Unit("e1", 0), SERVER, ask, 0.0)
        )

    def send_command(self, note):
        self.told.append(note)

    @property
    def finished(self):
        return [note.report for note in self.told if isinstance(note, NoteFinished)]


class FakeAnswer:
    """Give chunks at given times, then end or break off."""

    status = 200

    def __init__(self, clock, kind, chunks, breaks=False):
        self._clock = clock
        self.headers = [(b"content-type", kind)]
        self._chunks = chunks
        self._breaks = breaks

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
        if self._breaks:
            raise FailedAfterSend("broken off")


class Bed:
    """Run one call against answers given in turn."""

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
    def test_a_stream_shows_it(self):
        chunks = [(0.5, token()), (2.0, token()), (0.0, end(2))]
        report = Bed().run(ChatBody("draft", True), (EVENTS, chunks))[0]
        assert report.first_s == 0.5

    @pytest.mark.parametrize(
        ("model", "first_s"), [("draft", None), ("", 9.0)], ids=["model", "plain"]
    )
    def test_a_model_answer_in_one_piece_does_not(self, model, first_s):
        # Callers that don't stream get their answers at the end. If that counted as
        # the first token, a few long answers would make a warm server look cold, and
        # its slots would lie idle while work waits.
        answer = (b"application/json", [(9.0, b'{"usage": {}}')])
        report = Bed().run(ChatBody(model, False), answer)[0]
        assert report.first_s == first_s


class TestResumedAnswer:
    def test_its_tokens_are_charged_once(self):
        # An engine dies after three of five tokens and another one gives the rest,
        # with the usage of the whole answer. The workspace pays for five.
        broken = (EVENTS, [(0.1, token()) for _ in range(3)], True)
        rest = (EVENTS, [(0.1, token()), (0.1, token()), (0.0, end(5))])
        reports = Bed().run(ChatBody("draft", True), broken, rest)
        assert [report.service for report in reports] == [3.0, 2.0]
        assert [report.outcome for report in reports] == [
            Outcome.FAILED,
            Outcome.COMPLETED,
        ]
