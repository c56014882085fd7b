"""Tests of splitting server-sent events and counting their tokens."""

import json

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from fulmarroad_router.sse import (
    MAX_EVENT_BYTES,
    EventSplitter,
    EventTooLarge,
    parse_usage,
)


def token(text):
    chunk = {"choices": [{"delta": {"content": text}}]}
    return b"data: " + json.dumps(chunk, separators=(",", ":")).encode() + b"\n\n"


class TestEventSplitter:
    @settings(derandomize=True, max_examples=50)
    @given(st.lists(st.integers(1, 40), max_size=20))
    def test_events_do_not_depend_on_chunk_boundaries(self, sizes):
        stream = token("a") + token("b") + token("") + b"data: [DONE]\n\n"
        splitter, events, at = EventSplitter(), [], 0
        for size in [*sizes, len(stream)]:
            events += splitter.feed(stream[at : at + size])
            at += size
        assert b"".join(event.raw for event in events) == stream
        assert [event.tokens for event in events] == [1, 1, 0, 0]
        assert [event.done for event in events] == [False, False, False, True]

    def test_buffers_an_incomplete_event(self):
        splitter = EventSplitter()
        assert splitter.feed(b'data: {"x"') == []
        assert splitter.pending == 10

    def test_accepts_crlf_line_endings(self):
        [event] = EventSplitter().feed(b"data: [DONE]\r\n\r\n")
        assert event.done

    def test_rejects_an_event_above_the_size_limit(self):
        # An engine that never ends an event would fill the router's memory.
        splitter = EventSplitter()
        with pytest.raises(EventTooLarge):
            splitter.feed(b"x" * (MAX_EVENT_BYTES + 1))


class TestUsage:
    @pytest.mark.parametrize(
        ("data", "usage"),
        [
            (b'{"usage": {"prompt_tokens": 3}}', {"prompt_tokens": 3}),
            (b'{"usage": null}', None),
            (b'["usage"]', None),
            (b'{"usage"', None),
            (b"{}", None),
        ],
    )
    def test_returns_usage_or_none(self, data, usage):
        assert parse_usage(data) == usage
