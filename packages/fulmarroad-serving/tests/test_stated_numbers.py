"""Numbers that callers, servers and the store state, and routers add up and send."""

import json

import msgpack
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from serving_bed import Bed, answer, chunk, event, make_catalog, run, stream_head

from fulmarroad.exceptions import MessageError
from fulmarroad_platform.calls import PlatformCodec
from fulmarroad_platform.facts import decode_item
from fulmarroad_router.exceptions import Refused
from fulmarroad_serving import EngineProfile, ReplicaItem, Service
from fulmarroad_serving._call_checks import check_size
from fulmarroad_serving._demands import Demand
from fulmarroad_serving._digests import (
    Digest,
    ReportSum,
    merge,
    pack_digest,
    read_digest,
    sum_reports,
)
from fulmarroad_serving._fingerprints import FINGERPRINT_BYTES
from fulmarroad_serving._load import PeerLoad
from fulmarroad_serving._owner_messages import (
    PlacementReply,
    PlacementRequest,
    ProgressNote,
    ProgressReport,
    ReplyKind,
    pack_progress,
    pack_reply,
    pack_request,
    read_progress,
    read_reply,
    read_request,
)
from fulmarroad_serving._reports import (
    Member,
    PeerReport,
    pack_report,
    read_report,
    unpack,
    unpack_report,
)
from fulmarroad_serving._shares import ShareBook, WorkspaceCount
from fulmarroad_serving._suspect_rows import SuspectRow
from fulmarroad_serving.contracts import CatalogFact, UnusableFact
from fulmarroad_serving.decoding import MAX_CALL_TOKENS
from fulmarroad_serving.engines._pace_messages import PaceReport, pack_pace, read_pace
from fulmarroad_serving.streams._messages import (
    KeptStream,
    StreamFinding,
    StreamLookup,
    pack_finding,
    pack_kept,
    pack_lookup,
    read_finding,
    read_kept,
    read_lookup,
)
from fulmarroad_serving.streams._records import KEY_BYTES, StreamOrigin
from fulmarroad_serving.streams._views import VersionView

ENTRY = {
    "ServiceName": "drafting",
    "Address": "127.0.0.9:8080",
    "Zone": "fes",
    "Version": "v1",
    "Capacity": 128,
    "LifecycleState": "healthy",
    "WarmupLeftMs": 0,
    "born": 1774344319005,
}

CODEC = PlatformCodec()
MEMORY_TOKENS = 90_000
ROUTERS = 400
CALLS = 10_000

LARGE = [2**31, 2**53, 2**63 - 1, 2**64, 2**70, 10**300]
NUMBERS = st.one_of(
    st.integers(-(2**80), 2**80).map(str),
    st.sampled_from([str(sign * row) for row in LARGE for sign in (1, -1)]),
    st.just("9" * 4500),
    st.sampled_from(["", "nan", "inf", "-inf", "1e999", "1_0", "0x1", "٣", " 7 "]),
    st.text(max_size=8),
)


def item(key, value):
    """Return an item of the store with a value as JSON."""
    return ReplicaItem(key, 1, json.dumps(value).encode())


def read_head(usage="", parts="", deadline="", hint=""):
    """Return a call of a caller that states these texts."""
    rows = {
        b"attempt-id": "c-1",
        b"token-usage": usage,
        b"prefix-hash": parts,
        b"deadline-ms": deadline,
        b"length-hint": hint,
    }
    return CODEC.read_call([(name, row.encode()) for name, row in rows.items()])


def largest_head():
    """Return the largest call that a service takes which states no memory."""
    most = str(MAX_CALL_TOKENS // 2 - 1)
    return read_head(f"{most},{most}")


def report_of(head, calls=CALLS):
    """Return a report of a router that got a number of calls in its window."""
    demand = Demand(
        "c-1",
        "drafting",
        "coop",
        0.4,
        "",
        head.shared_tokens,
        head.own_tokens,
        head.output_tokens,
    )
    book = ShareBook()
    for _ in range(calls):
        book.note_asked("coop", demand.units, 0.0)
        book.note_got("coop", demand.units, 0.0)
    counts = book.own_counts(0.0)
    return PeerReport("r", 1, 1, "fes", "h", False, 1, 0.0, 0.0, {}, counts)


class TestNumbersOfCallers:
    @pytest.mark.parametrize(
        "headers",
        [
            {"usage": f"1460,{2**63 - 1}"},
            {"usage": f"{2**63 - 1},80"},
            {"usage": f"-{2**63 - 1},-{2**63 - 1}"},
            {"usage": "9" * 300},
            {"usage": "1460,80", "parts": f"a:{2**63 - 1},b:{2**70},c:5"},
            {"usage": "1460,80", "parts": f"a:{'9' * 4500},c:5"},
        ],
    )
    def test_a_report_that_counts_such_a_call_can_be_sent(self, headers):
        """Guard against one caller whose numbers end the processes of all routers."""
        report = report_of(read_head(**headers), calls=100)
        assert unpack_report(pack_report(report)).counts.keys() == {"coop"}

    @given(st.lists(NUMBERS, min_size=5, max_size=5))
    @settings(max_examples=400, deadline=None)
    def test_whatever_a_caller_states_is_within_range(self, numbers):
        """Guard against numbers that no message between routers can hold."""
        prompt, output, part, deadline, hint = numbers
        head = read_head(f"{prompt},{output}", f"a:{part},b:{part},c:1", deadline, hint)
        for tokens in (head.shared_tokens, head.own_tokens, head.output_tokens):
            assert 0 <= tokens <= MAX_CALL_TOKENS
        assert head.deadline_s is None or 0 <= head.deadline_s < 2**53
        assert 0 <= head.length_hint < MAX_CALL_TOKENS

    def test_the_sum_of_the_largest_calls_at_all_routers_can_be_sent(self):
        """Guard against numbers that are in range while their sums aren't."""
        head = check_size(largest_head(), Service("s", engine=EngineProfile(16)))
        report = report_of(head)
        total = merge([(sum_reports([(report, 0.1)]), 0.1)] * ROUTERS)
        assert total.counts["coop"].asked > ROUTERS * CALLS * head.tokens
        pack_digest(Digest("r", "", total))


class TestLargeCalls:
    def catalog(self):
        engine = EngineProfile(16, memory_tokens=MEMORY_TOKENS)
        services = {
            "ledger": Service("ledger", max_connections=600),
            "drafting": Service("drafting", max_connections=600, engine=engine),
        }
        return CatalogFact(make_catalog(2, services=services))

    @pytest.mark.parametrize(
        ("tokens", "status"),
        [
            (f"0,{MEMORY_TOKENS - 100},100", 200),
            (f"0,{MEMORY_TOKENS - 100},101", 503),
            (f"{MEMORY_TOKENS},1,0", 503),
            (f"0,1460,{2**63 - 1}", 503),
        ],
    )
    def test_a_call_larger_than_an_engines_memory_is_refused_unsent(
        self, tokens, status
    ):
        """Guard against retries at every engine for a call that none can hold."""

        async def script(arrival, writer):
            writer.write(stream_head(arrival.header("x-id")))
            writer.write(chunk(event(1)) + b"0\r\n\r\n")

        async def test(bed: Bed):
            await bed.serve("e-1", script, "drafting")
            bed.apply_fact(self.catalog())
            caller = await bed.call(
                "/draft/1", method="POST", body=b"p", headers={"x-tokens": tokens}
            )
            assert caller.status == status
            assert len(bed.arrivals) == (status == 200)
            if status == 503:
                assert b"call_too_large" in caller.body
                assert bed.dispatcher.shares.own_counts(bed.now()) == {}

        run(test)

    @pytest.mark.parametrize(("digits", "status"), [(64, 200), (65, 400), (4500, 400)])
    def test_an_event_id_that_no_event_has_is_refused_unsent(self, digits, status):
        """Guard against one caller whose event ids let servers fail for all others."""

        async def script(arrival, writer):
            writer.write(answer(200, b"done", arrival.header("x-id")))

        async def test(bed: Bed):
            await bed.serve("s-1", script)
            caller = await bed.call(headers={"last-event-id": "9" * digits})
            assert caller.status == status
            assert len(bed.arrivals) == (status == 200)

        run(test)

    def test_plain_servers_get_calls_with_any_number_of_tokens(self):
        """Guard against shares that count what a caller of a plain service made up."""

        async def script(arrival, writer):
            writer.write(answer(200, b"done", arrival.header("x-id")))

        async def test(bed: Bed):
            await bed.serve("s-1", script)
            tokens = {"x-tokens": f"0,1460,{2**63 - 1}"}
            caller = await bed.call("/look/1", headers=tokens)
            assert (caller.status, caller.body) == (200, b"done")
            counts = bed.dispatcher.shares.own_counts(bed.now())
            assert counts["coop"].asked == 1.0

        run(test)

    def test_a_call_of_the_largest_number_is_refused_where_no_memory_is_stated(self):
        """Guard against a service whose configuration leaves its memory out."""
        service = Service("drafting", engine=EngineProfile(16))
        assert check_size(largest_head(), service) == largest_head()
        with pytest.raises(Refused):
            check_size(read_head("9" * 20), service)


HOSTILE = [
    *(sign * row for row in (2**53 + 1, 2**63 - 1) for sign in (1, -1)),
    2**64 - 1,
    float("nan"),
    float("inf"),
    -1e300,
    "9" * 4200,
    "9" * 5000,
    "",
    None,
    True,
    b"\xff",
    [],
    {},
]
"""Values that a packet can hold in the place of any other."""

LOADS = {"e-1": PeerLoad(3, 2**53)}
COUNTS = {"coop": WorkspaceCount(2.0**53, 5.0)}
SUSPECT = SuspectRow(b"f" * FINGERPRINT_BYTES, ((2**64 - 1, 0.5),), 1.0, (7, 0.5), (3,))
MEMBER = Member("r-2", 5, 6, "fes", "h", False, 7, 0.1, 0.2, 0.3)
REPORT = PeerReport(
    "r",
    1,
    2,
    "fes",
    "h",
    False,
    3,
    0.1,
    0.2,
    LOADS,
    COUNTS,
    (MEMBER,),
    ((2**32 - 1, "e-1"),),
    (SUSPECT,),
    leaving_servers=(("e-1", 7),),
    speed_classes=(("e-1", 7, 2),),
    room=9,
)
TOTAL = ReportSum({2**32 - 1: 4}, 0.1, LOADS, COUNTS)
DIGEST = Digest(
    "r",
    "fes",
    TOTAL,
    (MEMBER,),
    ((1, "e-1"),),
    (SUSPECT,),
    (("e-1", 7),),
    (("e-1", 7, 2),),
    ((5, 900, 0.1),),
)
ORIGIN = StreamOrigin("drafting", "v1")
KEY = b"k" * KEY_BYTES
CALL = Demand("c-1", "drafting", "coop", 0.4, "p", 1, 2, 3)
PACKETS = {
    "report": (read_report, pack_report, REPORT),
    "digest": (read_digest, pack_digest, DIGEST),
    "request": (read_request, pack_request, PlacementRequest("r", 1, 2, CALL)),
    "reply": (read_reply, pack_reply, PlacementReply("r", 1, 2, ReplyKind.GRANTED)),
    "progress": (
        read_progress,
        pack_progress,
        ProgressReport("r", 1, (ProgressNote(1, True),), (4,), (5,)),
    ),
    "records": (read_kept, pack_kept, [KeptStream(KEY, ORIGIN, 1.0)]),
    "lookup": (read_lookup, pack_lookup, StreamLookup("r", 1, KEY, ("drafting",))),
    "finding": (
        read_finding,
        pack_finding,
        StreamFinding("r", 1, KEY, ORIGIN, VersionView(frozenset({ORIGIN}))),
    ),
    "pace": (read_pace, pack_pace, PaceReport("r", 1, 2, "e-1", 7, 2.0, 3)),
}
"""How each packet is read and encoded, and a valid one."""


def places(row, path=()):
    """Return the paths to all values in nested rows."""
    yield path
    for index, value in enumerate(row) if isinstance(row, list) else ():
        yield from places(value, (*path, index))


def replaced(row, path, value):
    """Return nested rows with another value at a path."""
    if not path:
        return value
    first, *rest = path
    return [
        replaced(old, rest, value) if index == first else old
        for index, old in enumerate(row)
    ]


class TestNumbersOfPeers:
    @pytest.mark.parametrize("kind", PACKETS)
    def test_what_is_accepted_from_a_peer_can_be_sent_on(self, kind):
        """Guard against one faulty router whose numbers end the tasks of all others."""
        read, pack, message = PACKETS[kind]
        row = unpack(pack(message))
        assert read(row) == message
        accepted = 0
        for path in places(row):
            if path in ((), (0,)):
                continue
            for value in HOSTILE:
                changed = replaced(row, path, value)
                try:
                    received = read(unpack(msgpack.packb(changed)))
                except MessageError:
                    continue
                pack(received)
                accepted += 1
        assert accepted

    @pytest.mark.parametrize("path", [(10, 0, 1), (10, 0, 2), (11, 0, 1), (11, 0, 2)])
    def test_sums_of_what_is_accepted_can_be_sent_on(self, path):
        """Guard against numbers of peers of which only the sum is too large."""
        row = unpack(pack_report(REPORT))
        for value in HOSTILE:
            try:
                report = read_report(replaced(row, path, value))
            except MessageError:
                continue
            total = merge([(sum_reports([(report, 0.1)]), 0.1)] * ROUTERS)
            pack_digest(Digest("r", "", total))


class TestNumbersOfTheStore:
    @pytest.mark.parametrize("field", ["Capacity", "WarmupLeftMs", "born"])
    @pytest.mark.parametrize(
        "value", [1e300, 2**64, pytest.param(10**300, id="300 digits"), -1, "5", None]
    )
    def test_an_entry_with_a_number_out_of_range_names_no_server(self, field, value):
        """Guard against an entry whose numbers no report can hold."""
        fact = decode_item(item("servers/e-1", ENTRY | {field: value}))
        assert isinstance(fact, UnusableFact)
        assert fact.server == "e-1"

    @pytest.mark.parametrize("field", ["ServiceName", "Zone", "Version", "Address"])
    @pytest.mark.parametrize(
        "value", ["\ud800", pytest.param("x" * 100_000, id="long")]
    )
    def test_an_entry_with_a_text_that_no_message_holds_names_no_server(
        self, field, value
    ):
        """Guard against an entry whose texts no report can hold."""
        assert isinstance(
            decode_item(item("servers/e-1", ENTRY | {field: value})), UnusableFact
        )

    def test_large_versions_of_the_configuration_stay_apart(self):
        """Guard against a configuration that is taken for the one before it."""
        versions = [2**62, 2**62 + 1]
        decoded = [
            decode_item(
                item("op/config", {"Version": row, "Routes": [], "Services": []})
            )
            for row in versions
        ]
        assert [fact.catalog.version for fact in decoded] == versions
