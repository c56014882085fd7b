"""Test how callers classify answers, repeat calls and choose routers."""

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
CORRECT = stream_of(*(f"{token} " for token in TOKENS[:3]))
SHORT = stream_of(f"{TOKENS[0]} ", f"{TOKENS[1]} ")
UNFINISHED = stream_of(f"{TOKENS[0]} ", end="")
ERROR = stream_of(f"{TOKENS[0]} ", end='data: {"error": {"message": "broken"}}\n\n')


class TestClassifyCall:
    @pytest.mark.parametrize(
        ("got", "outcome"),
        [
            (answer(body=CORRECT), "completed"),
            (answer(body=SHORT), "wrong"),
            (answer(body=CORRECT, complete=False), "cut_off"),
            (answer(body=UNFINISHED, complete=False), "cut_off"),
            (answer(body=ERROR), "cut_off"),
            (answer(status=0, complete=False), "cut_off"),
            (answer(status=503, complete=False, ran="not_run"), "cut_off"),
            (answer(status=503, ran="not_run"), "refused"),
            (answer(status=502, ran="unknown"), "unknown"),
            (answer(status=500), "failed"),
            (answer(connected=False, status=0, complete=False), "unreachable"),
        ],
    )
    def test_outcome_of_a_stream(self, got, outcome):
        assert classify_call(CHAT, got).outcome == outcome

    def test_an_incomplete_answer_that_ends_normally_is_wrong(self):
        # A router loses its engine in the middle of an answer and ends the response
        # normally, so the caller takes a partial answer for a complete one.
        assert classify_call(CHAT, answer(body=UNFINISHED)).outcome == "wrong"

    def test_the_answer_to_another_request_is_wrong(self):
        # A router swaps the answers of two calls; both are complete.
        other = CallPlan("r2", "atlas", "key", tokens=3)
        assert classify_call(other, answer(body=CORRECT)).outcome == "wrong"

    @pytest.mark.parametrize(
        ("body", "outcome"),
        [(plain_answer("p1", PLAIN.body()), "completed"), (b"{}", "wrong")],
    )
    def test_outcome_of_a_plain_call(self, body, outcome):
        assert classify_call(PLAIN, answer(body=body)).outcome == outcome

    def test_the_text_before_a_planned_disconnect_is_checked(self):
        leaving = evolve(CHAT, disconnect_after_chunks=1)
        assert (
            classify_call(leaving, answer(body=UNFINISHED, complete=False)).outcome
            == "left"
        )
        crossed = stream_of("0000 ", end="")
        assert (
            classify_call(leaving, answer(body=crossed, complete=False)).outcome
            == "wrong"
        )


class TestCallPlan:
    def test_a_repeat_differs_only_in_the_first_attempt_header(self):
        first = evolve(PLAIN, idempotency_key="k1", first_attempt=True)
        again = evolve(first, first_attempt=False)
        assert set(first.request().headers) - set(again.request().headers) == {
            ("fulmarroad-first-attempt", "?1")
        }
        assert first.body() == again.body()

    def test_an_encoded_request_has_its_content_length(self):
        raw = Request("POST", "/x", (("a", "b"),), b"body").encode("h:1")
        assert raw.startswith(b"POST /x HTTP/1.1\r\nhost: h:1\r\na: b\r\n")
        assert b"content-length: 4\r\n" in raw
        assert raw.endswith(b"\r\n\r\nbody")


class TestBalancer:
    def balancer(self, **changes):
        addresses = {f"router-{n}": f"address-{n}" for n in range(6)}
        return Balancer(addresses, random.Random(1), **changes)

    def test_spread_limits_the_routers_of_a_workspace(self):
        balancer = self.balancer(spread={"atlas": 2})
        first = {balancer.ranked_addresses("atlas")[0] for _ in range(50)}
        others = {balancer.ranked_addresses("cedar")[0] for _ in range(50)}
        assert len(first) == 2
        assert len(others) > 2

    def test_a_router_that_is_not_ready_gets_no_calls(self):
        balancer = self.balancer(unready={"router-0"})
        for _ in range(20):
            order = balancer.ranked_addresses("atlas")
            assert "address-0" not in order
            assert len(order) == 5
