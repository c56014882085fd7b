"""How callers judge what comes back."""

from __future__ import annotations

import json
import random

import pytest
from attrs import evolve

from fulmarroad_bench._answers import expected_answer, plain_answer
from fulmarroad_bench._client import Answer, Request
from fulmarroad_bench._load import Balancer, CallPlan, classify_call

CHAT = CallPlan("r1", "atlas", "key", tokens=3)
PLAIN = CallPlan("p1", "atlas", "key", kind="ledger")


def stream_of(*texts, end="data: [DONE]\n\n"):
    events = [
        "data: " + json.dumps({"choices": [{"delta": {"content": text}}]})
        for text in texts
    ]
    return ("\n\n".join(events) + "\n\n" + end).encode()


def answer(status=200, body=b"", *, complete=True, ran="", connected=True):
    headers = {"fulmarroad-ran": ran} if ran else {}
    return Answer(
        connected=connected,
        status=status,
        headers=headers,
        body=bytearray(body),
        complete=complete,
    )


TOKENS = expected_answer("r1", 3).split(" ")
RIGHT = stream_of(*(f"{token} " for token in TOKENS[:3]))
SHORT = stream_of(f"{TOKENS[0]} ", f"{TOKENS[1]} ")
OPEN = stream_of(f"{TOKENS[0]} ", end="")
ERROR = stream_of(f"{TOKENS[0]} ", end='data: {"error": {"message": "broken"}}\n\n')


class TestJudge:
    @pytest.mark.parametrize(
        ("got", "outcome"),
        [
            (answer(body=RIGHT), "completed"),
            (answer(body=SHORT), "wrong"),
            (answer(body=RIGHT, complete=False), "cut_off"),
            (answer(body=OPEN, complete=False), "cut_off"),
            (answer(body=ERROR), "cut_off"),
            (answer(status=0, complete=False), "cut_off"),
            (answer(status=503, complete=False, ran="not_run"), "cut_off"),
            (answer(status=503, ran="not_run"), "refused"),
            (answer(status=502, ran="unknown"), "unknown"),
            (answer(status=500), "failed"),
            (answer(connected=False, status=0, complete=False), "unreachable"),
        ],
    )
    def test_a_stream(self, got, outcome):
        assert classify_call(CHAT, got).outcome == outcome

    def test_an_answer_that_ends_early_as_if_whole_is_wrong(self):
        # A router loses its engine in the middle of an answer and ends the response
        # cleanly; the caller takes half a letter for a whole one.
        assert classify_call(CHAT, answer(body=OPEN)).outcome == "wrong"

    def test_an_answer_of_another_request_is_wrong(self):
        # Two answers are crossed; each is whole, and each reaches the wrong caller.
        other = CallPlan("r2", "atlas", "key", tokens=3)
        assert classify_call(other, answer(body=RIGHT)).outcome == "wrong"

    @pytest.mark.parametrize(
        ("body", "outcome"),
        [(plain_answer("p1", PLAIN.body()), "completed"), (b"{}", "wrong")],
    )
    def test_a_plain_call(self, body, outcome):
        assert classify_call(PLAIN, answer(body=body)).outcome == outcome

    def test_a_caller_that_leaves_has_right_text_so_far(self):
        leaving = evolve(CHAT, disconnect_after_chunks=1)
        assert (
            classify_call(leaving, answer(body=OPEN, complete=False)).outcome == "left"
        )
        crossed = stream_of("0000 ", end="")
        assert (
            classify_call(leaving, answer(body=crossed, complete=False)).outcome
            == "wrong"
        )


class TestCallPlan:
    def test_a_repeat_differs_only_in_the_mark_of_the_first_attempt(self):
        first = evolve(PLAIN, idempotency_key="k1", first_attempt=True)
        again = evolve(first, first_attempt=False)
        assert set(first.request().headers) - set(again.request().headers) == {
            ("fulmarroad-first-attempt", "?1")
        }
        assert first.body() == again.body()

    def test_the_request_is_framed_by_its_length(self):
        raw = Request("POST", "/x", (("a", "b"),), b"body").encode("h:1")
        assert raw.startswith(b"POST /x HTTP/1.1\r\nhost: h:1\r\na: b\r\n")
        assert b"content-length: 4\r\n" in raw
        assert raw.endswith(b"\r\n\r\nbody")


class TestBalancer:
    def balancer(self, **changes):
        addresses = {f"router-{n}": f"address-{n}" for n in range(6)}
        return Balancer(addresses, random.Random(1), **changes)

    def test_a_workspace_is_seen_by_few_routers(self):
        balancer = self.balancer(spread={"atlas": 2})
        first = {balancer.ranked_addresses("atlas")[0] for _ in range(50)}
        others = {balancer.ranked_addresses("cedar")[0] for _ in range(50)}
        assert len(first) == 2
        assert len(others) > 2

    def test_a_router_that_is_not_ready_is_passed_over(self):
        balancer = self.balancer(unready={"router-0"})
        for _ in range(20):
            order = balancer.ranked_addresses("atlas")
            assert "address-0" not in order
            assert len(order) == 5
