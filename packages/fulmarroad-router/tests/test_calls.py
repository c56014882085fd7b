"""Tests of request parsing and of the headers that are forwarded."""

import json

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from fulmarroad.tables import Pool, Route, Workspace
from fulmarroad_router.calls import (
    MAX_PREFIX_BLOCKS,
    PREFIX_BLOCK_BYTES,
    Call,
    bearer_token,
    cached_blocks,
    parse_chat_body,
    prefix_hashes,
    request_id_of,
    response_headers,
    strip_headers,
)
from fulmarroad_router.exceptions import BadRequest


def make_call(headers=()):
    return Call(
        request_id="r1",
        workspace=Workspace("coop"),
        route=Route("drafts", "/v1/chat/completions", "drafting", timeout_s=10.0),
        pool=Pool("drafting"),
        method="POST",
        target=b"/v1/chat/completions",
        headers=list(headers),
        body=b"x" * 400,
        arrived=5.0,
    )


class TestHeaders:
    def test_hop_by_hop_headers_are_removed(self):
        sent = [
            (b"Connection", b"close, X-Private"),
            (b"X-Private", b"1"),
            (b"Keep-Alive", b"5"),
            (b"Accept", b"*/*"),
        ]
        assert strip_headers(sent, {b"connection", b"keep-alive"}) == [
            (b"Accept", b"*/*")
        ]

    def test_bearer_token_is_not_forwarded(self):
        call = make_call([(b"authorization", b"Bearer secret"), (b"accept", b"*/*")])
        headers = call.backend_request("127.0.0.1:9001").headers
        assert b"secret" not in b" ".join(value for _, value in headers)
        assert (b"accept", b"*/*") in headers
        assert (b"x-request-id", b"r1") in headers

    def test_resumption_sends_request_id_and_position(self):
        headers = dict(
            make_call().backend_request("127.0.0.1:9001", resume_from=7).headers
        )
        assert headers[b"x-resume-from"] == b"7"
        assert headers[b"x-resume-id"] == b"r1"

    def test_resumption_header_of_a_caller_is_dropped(self):
        call = make_call([(b"X-Resume-From", b"99")])
        assert b"x-resume-from" not in dict(
            call.backend_request("127.0.0.1:9001").headers
        )

    def test_ran_header_of_a_backend_server_is_dropped(self):
        kept = response_headers([(b"Fulmarroad-Ran", b"not_run"), (b"etag", b"1")])
        assert kept == [(b"etag", b"1")]

    @pytest.mark.parametrize(
        ("value", "bearer"),
        [
            (b"Bearer abc", "abc"),
            (b"bearer  abc ", "abc"),
            (b"Basic abc", ""),
            (b"", ""),
        ],
    )
    def test_bearer_token_is_parsed(self, value, bearer):
        assert bearer_token([(b"authorization", value)]) == bearer

    @pytest.mark.parametrize("given", [b"", b"a\tb", b"x" * 129, "é".encode()])
    def test_invalid_request_id_is_replaced(self, given):
        assert request_id_of([(b"x-request-id", given)]) != given.decode("latin-1")

    def test_valid_request_id_is_kept(self):
        assert request_id_of([(b"x-request-id", b"mine-1")]) == "mine-1"


class TestChatBody:
    def test_parses_model_stream_and_max_tokens(self):
        body = {"model": "m", "messages": [{}], "stream": True, "max_tokens": 9}
        chat = parse_chat_body(json.dumps(body).encode())
        assert (chat.model, chat.stream, chat.max_tokens) == ("m", True, 9)

    @pytest.mark.parametrize(
        "body",
        [
            b"",
            b"{",
            b"[]",
            b"[" * 100_000,
            b'{"model": "m"}',
            b'{"model": "m", "messages": []}',
            b'{"model": 3, "messages": [{}]}',
            b'{"model": "m", "messages": [{}], "stream": "yes"}',
            b'{"model": "m", "messages": [{}], "max_tokens": -1}',
            b'{"model": "m", "messages": [{}], "max_tokens": true}',
            b"\xff\xfe",
        ],
    )
    def test_rejects_an_invalid_body(self, body):
        with pytest.raises(BadRequest):
            parse_chat_body(body)

    @settings(derandomize=True, max_examples=200)
    @given(st.binary(max_size=100))
    def test_random_bytes_raise_only_bad_request(self, body):
        with pytest.raises(BadRequest):
            parse_chat_body(body)


class TestPromptPrefix:
    def test_common_prefix_has_equal_hashes(self):
        start = b"a" * PREFIX_BLOCK_BYTES * 2
        one = prefix_hashes(start + b"b" * PREFIX_BLOCK_BYTES * 2)
        other = prefix_hashes(start + b"c" * PREFIX_BLOCK_BYTES * 2)
        assert one[:2] == other[:2]
        assert one[2] != other[2]

    def test_number_of_hashes_is_limited(self):
        assert len(prefix_hashes(b"a" * 1_000_000)) == MAX_PREFIX_BLOCKS

    @pytest.mark.parametrize(
        ("tokens", "blocks"), [(0, 0), (63, 0), (64, 1), (128, 2), (10**9, 8)]
    )
    def test_cached_tokens_are_converted_to_blocks(self, tokens, blocks):
        assert cached_blocks(tokens) == blocks

    def test_cost_hint_and_deadline_follow_from_the_request(self):
        assert make_call().cost_hint == 400 / 4 * 0.25 + 256
        assert make_call().deadline == 15.0
