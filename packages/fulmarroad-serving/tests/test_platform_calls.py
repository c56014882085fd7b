"""Translation of the headers of calls and answers."""

from hypothesis import given, settings
from hypothesis import strategies as st

from fulmarroad_platform.calls import MAX_REQUEST_ID_CHARS, PlatformCodec
from fulmarroad_serving import Instance

CODEC = PlatformCodec()
HEADERS = [
    (b"host", b"svc.example:80"),
    (b"attempt-id", b"9c41"),
    (b"token-usage", b"1460,80"),
    (b"prefix-hash", b"5c1e:800,91bd:410,e440:250"),
    (b"deadline-ms", b"8000"),
    (b"authorization", b"Token secret"),
    (b"tenant-id", b"somebody-else"),
    (b"kv-hold", b"h-1"),
    (b"connection", b"keep-alive, x-hop"),
    (b"x-hop", b"1"),
    (b"x-kept", b"1"),
]


def server_headers(head, **changes):
    values = {
        "instance": "i-1",
        "workspace": "coop",
        "remaining_s": 1.25,
        "last_event_id": "",
    }
    rows = CODEC.server_headers(head, **(values | changes))
    names = [name for name, _ in rows]
    assert len(names) == len(set(names)), "the server gets a header twice"
    return dict(rows)


class TestCalls:
    def test_a_callers_headers_are_decoded(self):
        head = CODEC.read_call(HEADERS)
        assert (head.request_id, head.host, head.key) == (
            "9c41",
            "svc.example",
            b"secret",
        )
        assert head.deadline_s == 8.0
        assert head.part == "5c1e,91bd"
        assert (head.shared_tokens, head.own_tokens) == (1210, 250)
        assert head.output_tokens == 80

    def test_the_stream_that_a_caller_takes_up_is_decoded(self):
        head = CODEC.read_call([*HEADERS, (b"resumes", b" 77ab ")])
        assert head.resumes == "77ab"
        assert CODEC.read_call(HEADERS).resumes == ""

    def test_an_id_that_no_request_can_have_is_cut(self):
        """Guard against a log and messages to peers that one caller fills."""
        head = CODEC.read_call([*HEADERS, (b"resumes", b"7" * 1000)])
        assert len(head.resumes) == MAX_REQUEST_ID_CHARS

    def test_a_caller_cannot_set_router_headers(self):
        """A caller sets another workspace's name, or a reservation that is not its own.
        Forwarded, the call would be charged to that workspace.
        """
        sent = server_headers(CODEC.read_call(HEADERS))
        assert sent[b"tenant-id"] == b"coop"
        assert b"kv-hold" not in sent
        assert b"authorization" not in sent

    def test_only_the_router_sets_the_engine_to_fetch_from(self):
        """A caller names an engine as the source of cached prompt parts. Forwarded, the
        header would make engines transfer other workspaces' prompts over their links.
        """
        head = CODEC.read_call([*HEADERS, (b"kv-fetch", b"10.9.9.9:1")])
        assert b"kv-fetch" not in server_headers(head)
        source = Instance("i-2", "drafting", "10.1.0.2", 8080, "fes", 48)
        assert server_headers(head, source=source)[b"kv-fetch"] == b"10.1.0.2:8080"

    def test_a_call_without_a_workspace_has_no_workspace_header(self):
        assert b"tenant-id" not in server_headers(
            CODEC.read_call(HEADERS), workspace=""
        )

    def test_connection_headers_are_not_forwarded(self):
        sent = server_headers(CODEC.read_call(HEADERS))
        assert b"connection" not in sent
        assert b"x-hop" not in sent
        assert sent[b"x-kept"] == b"1"

    def test_a_server_gets_the_remaining_time_and_its_id(self):
        sent = server_headers(CODEC.read_call(HEADERS))
        assert sent[b"deadline-ms"] == b"1250"
        assert sent[b"expect-instance"] == b"i-1"

    def test_a_resumed_stream_sends_its_last_event_id(self):
        head = CODEC.read_call([*HEADERS, (b"last-event-id", b"3")])
        assert head.last_event_id == "3"
        assert server_headers(head, last_event_id="12")[b"last-event-id"] == b"12"

    @settings(derandomize=True, deadline=None, max_examples=300)
    @given(
        st.lists(
            st.tuples(
                st.sampled_from([name for name, _ in HEADERS]), st.binary(max_size=20)
            )
        )
    )
    def test_any_header_value_is_decoded_without_an_error(self, headers):
        CODEC.read_call(headers)


class TestAnswers:
    def test_a_servers_response_is_decoded(self):
        headers = [
            (b"Attempt-Id", b"9c41"),
            (b"Server-Signature", b"3e1b"),
            (b"Content-Length", b"5"),
            (b"Keep-Alive", b"timeout=5"),
        ]
        head = CODEC.read_answer(200, headers)
        assert (head.request_id, head.signed, head.not_run) == ("9c41", True, False)
        assert [name for name, _ in head.forward] == [
            b"attempt-id",
            b"server-signature",
        ]

    def test_a_response_to_a_call_that_was_not_run(self):
        assert CODEC.read_answer(503, [(b"Not-Executed", b"1")]).not_run

    def test_a_response_of_a_leaving_server(self):
        assert CODEC.read_answer(200, [(b"Server-Leaving", b"1")]).leaving
        assert not CODEC.read_answer(200, [(b"Server-Leaving", b"0")]).leaving
        assert not CODEC.read_answer(200, [(b"Connection", b"close")]).leaving

    def test_a_refusal_that_asks_for_rest(self):
        head = CODEC.read_answer(503, [(b"Retry-After", b" 2.5")])
        assert head.rest == "2.5"
        assert CODEC.read_answer(503, []).rest == ""

    def test_a_response_of_a_cold_server(self):
        assert CODEC.read_answer(200, [(b"Warmup-Ms", b"2500")]).warmup_left_s == 2.5
