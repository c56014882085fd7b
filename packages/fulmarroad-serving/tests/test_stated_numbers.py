"""Numbers that callers, servers and the store state, and routers add up and send."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from serving_bed import Bed, answer, chunk, event, make_catalog, run, stream_head

from fulmarroad_platform.calls import PlatformCodec
from fulmarroad_router.exceptions import Refused
from fulmarroad_serving import EngineProfile, Service
from fulmarroad_serving._callers import _check_size
from fulmarroad_serving._demands import Demand
from fulmarroad_serving._digests import Digest, merge, pack_digest, sum_reports
from fulmarroad_serving._reports import PeerReport, pack_report, unpack_report
from fulmarroad_serving._shares import ShareBook
from fulmarroad_serving.contracts import CatalogFact
from fulmarroad_serving.numbers import MAX_CALL_TOKENS

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
        head = _check_size(largest_head(), Service("s", engine=EngineProfile(16)))
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
        assert _check_size(largest_head(), service) == largest_head()
        with pytest.raises(Refused):
            _check_size(read_head("9" * 20), service)
