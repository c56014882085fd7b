"""The measures of small runs whose results can be calculated by hand."""

from __future__ import annotations

import itertools

import pytest
from attrs import evolve
from hypothesis import given, settings
from hypothesis import strategies as st

from fulmarroad_bench._checks import check, doubled
from fulmarroad_bench._gap import ServiceEvent, fairness_gap
from fulmarroad_bench._intervals import intersected, merged, total, trim_starts
from fulmarroad_bench._load import CallResult
from fulmarroad_bench._measures import (
    IDLE_TOLERANCE_S,
    Run,
    backlogged,
    gap_of,
    idle_while_waiting,
    measures,
    utilisation,
)
from fulmarroad_bench._versions import VersionObservation, find_reverts

TIMES = st.integers(0, 20).map(float)
SPANS = st.lists(st.tuples(TIMES, TIMES), max_size=4).map(merged)
SERVICE_EVENTS = st.lists(
    st.builds(
        ServiceEvent, TIMES, st.sampled_from("abc"), st.sampled_from([1.0, 2.0, 7.0])
    ),
    max_size=12,
)


def brute_force_gap(served, backlog):
    """Return the gap from all pairs and all intervals between known times."""
    times = sorted(
        {event.at for event in served}
        | {at for spans in backlog.values() for span in spans for at in span}
    )
    worst = 0.0
    for one, other in itertools.combinations(sorted(backlog), 2):
        for start, end in itertools.combinations(times, 2):
            inside = all(
                any(low <= start and end <= high for low, high in backlog[name])
                for name in (one, other)
            )
            if inside:
                got = [_between(served, name, start, end) for name in (one, other)]
                worst = max(worst, abs(got[0] - got[1]))
    return worst


def _between(served, name, start, end):
    return sum(s.service for s in served if s.workspace == name and start < s.at <= end)


class TestFairnessGap:
    @settings(derandomize=True, deadline=None, max_examples=200)
    @given(SERVICE_EVENTS, st.fixed_dictionaries(dict.fromkeys("abc", SPANS)))
    def test_gap_equals_brute_force_search(self, served, backlog):
        found = fairness_gap(served, backlog)
        assert found.value == pytest.approx(brute_force_gap(served, backlog))

    def test_service_outside_a_common_backlog_does_not_count(self):
        served = [ServiceEvent(1.0, "a", 5.0), ServiceEvent(3.0, "a", 2.0)]
        backlog = {"a": [(0.0, 10.0)], "b": [(2.0, 10.0)]}
        gap = fairness_gap(served, backlog)
        assert (gap.value, gap.more_served, gap.less_served) == (2.0, "a", "b")

    def test_catching_up_counts_like_falling_behind(self):
        # A workspace that fell behind gets all service once its router receives the
        # report of it; from then on, the other workspace is the one that falls behind.
        served = [ServiceEvent(1.0, "a", 3.0), ServiceEvent(2.0, "b", 9.0)]
        backlog = {"a": [(0.0, 5.0)], "b": [(0.0, 5.0)]}
        gap = fairness_gap(served, backlog)
        assert (gap.value, gap.more_served) == (9.0, "b")


class TestIntervals:
    @settings(derandomize=True, deadline=None, max_examples=100)
    @given(SPANS, SPANS)
    def test_intersection_contains_exactly_the_common_times(self, left, right):
        both = intersected(left, right)
        for at in (n + 0.5 for n in range(20)):
            inside = [any(a < at < b for a, b in spans) for spans in (left, right)]
            assert any(a < at < b for a, b in both) == all(inside)

    def test_trimming_starts_drops_short_intervals(self):
        assert trim_starts([(0.0, 1.0), (2.0, 5.0)], 2.0) == [(4.0, 5.0)]
        assert total([(0.0, 1.0), (2.0, 5.0)]) == 4.0


def result(call_id, workspace="a", outcome="completed", sent=0.0, end=5.0, **changes):
    made = CallResult(call_id, workspace, "chat", outcome, sent, sent + 1, end)
    return evolve(made, **changes)


def record(call_id, workspace="a", start=1.0, end=5.0, **changes):
    row = {"id": call_id, "workspace": workspace, "start": start, "end": end}
    return {**row, "state": "completed", "prompt_tokens": 8, **changes}


def engine(records=(), service=(), samples=None, name="e1"):
    samples = samples or [[0.0, 0, 2, 0.0, 0.0], [10.0, 0, 2, 4.0, 10.0]]
    return {
        "name": name,
        "records": list(records),
        "service": list(service),
        "samples": samples,
        "overloads": 0,
    }


def run_of(results, engines, plains=(), **changes):
    weights = {"a": 1.0, "b": 2.0}
    centres = {"e1": "c1", "e2": "c2"}
    return Run(0.0, 10.0, results, engines, plains, weights, centres, **changes)


class TestRun:
    def test_waiting_ends_when_an_engine_starts_or_the_call_ends(self):
        results = [result("1", end=9.0), result("2", "b", "refused", sent=2.0, end=4.0)]
        run = run_of(results, [engine([record("1", start=3.0)])])
        assert backlogged(run) == {"a": [(0.0, 3.0)], "b": [(2.0, 4.0)]}

    def test_gap_includes_prompt_cost_and_weights(self):
        results = [result("1"), result("2", "b"), result("3"), result("4", "b")]
        records = [record("1", start=0.1), record("2", "b", start=0.1)]
        service = [(1.0, 0, 10), (2.0, 1, 10)]
        run = run_of(results, [engine(records, service)])
        # Each gets 10 tokens and 8 prompt tokens at 0.25; b has twice the weight.
        assert gap_of(run).value == 12.0

    def test_utilisation_is_work_divided_by_capacity(self):
        assert utilisation(run_of([], [engine()])) == pytest.approx(0.4)

    def test_a_free_slot_while_a_call_waits_counts_as_idle(self):
        results = [result("1", end=9.0), result("2", sent=2.0, end=9.0)]
        records = [record("1", start=0.0, end=8.0), record("2", start=6.0, end=8.0)]
        run = run_of(results, [engine(records)])
        assert total(idle_while_waiting(run)) == pytest.approx(4.0 - IDLE_TOLERANCE_S)

    def test_a_removed_server_does_not_count_as_idle(self):
        results = [result("2", sent=2.0, end=9.0)]
        run = run_of(
            results,
            [engine([record("2", start=6.0)])],
            removed_centre="c1",
            removed_at=0.0,
            restored_at=10.0,
        )
        assert idle_while_waiting(run) == []

    def test_measures_the_last_start_after_a_centre_was_removed(self):
        results = [result("1", sent=5.0), result("2", sent=5.0, outcome="refused")]
        records = [record("1", start=6.5)]
        run = run_of(results, [engine(records)], removed_centre="c1", removed_at=4.0)
        line = measures(run)
        assert line["last_work_after_leave_s"] == 2.5
        assert line["served_while_leaving_share"] == 0.5


class TestReverts:
    @pytest.mark.parametrize(
        ("rows", "count"),
        [
            ([("r1", 0, 1), ("r1", 1, 2), ("r2", 2, 1), ("r2", 5, 2)], 0),
            ([("r1", 0, 2), ("r1", 1, 1)], 1),
            ([("r1", 0, 2), ("r2", 4, 1), ("r2", 6, 1)], 1),
        ],
    )
    def test_finds_routers_behind_their_own_or_long_behind_other_versions(
        self, rows, count
    ):
        seen = [VersionObservation(at, router, version) for router, at, version in rows]
        assert len(find_reverts(seen)) == count


class TestChecks:
    def test_a_refused_call_that_ran_is_a_false_refusal(self):
        # The router reports a call as not run although it ran. The caller sends it
        # again, and the letter is posted twice.
        refused = [result(name, outcome="refused") for name in "123"]
        found = check(refused, [engine([record("1")])], [])
        assert found.false_not_run == 1
        assert not found.held

    def test_an_answer_without_a_server_record_is_counted(self):
        assert check([result("1")], [engine()], []).unheard == 1

    @pytest.mark.parametrize(
        ("pairs", "count"),
        [
            ([("1", ""), ("2", "")], 0),
            ([("1", ""), ("1", "")], 1),
            ([("1", "k"), ("2", "k")], 1),
            ([("1", "k"), ("1", "k"), ("1", "k")], 2),
        ],
    )
    def test_counts_repeated_posts_of_an_id_or_key(self, pairs, count):
        records = [{"id": i, "key": k, "workspace": "a"} for i, k in pairs]
        assert doubled([{"records": records}]) == count

    def test_a_run_without_violations_passes(self):
        assert check([result("1")], [engine([record("1")])], []).held
