"""Test the lab's model of hard load: speeds, lengths, deadlines, waves and returns."""

import json
import math
import statistics

import pytest
from attrs import evolve

from fulmarroad_bench import hard_load
from fulmarroad_bench._lab_engine import EngineShape, SimulatedCall, SimulatedEngine
from fulmarroad_bench._lab_estimates import estimate_summary
from fulmarroad_bench._lab_forms import FORMS, UNEVEN_SERVERS
from fulmarroad_bench._lab_router import PickOfOwnCentre
from fulmarroad_bench._lab_simulation import Fleet, fleet_routers, simulate_fleet
from fulmarroad_bench._lab_slowdowns import Slowdowns, schedule_slowdowns
from fulmarroad_bench._lab_traffic import CallClass, Wave, Workload, arrivals
from fulmarroad_serving import Features, parse_features

SLOWDOWNS = Slowdowns(0.15, 2.5, 0.6)
ONE_CLASS = Workload(
    (CallClass("letter", 200.0, 1_000, 1_000, 100, 0.5, 3.0, 0.3),),
    workspaces=4,
    seconds=17.0,
)


class TestSlowdowns:
    def test_the_same_fraction_of_engines_is_slow_at_any_time(self):
        schedule = schedule_slowdowns(SLOWDOWNS, 24, 10.0, 1)
        for at in (0.0, 0.31, 4.0, 9.99):
            factors = [schedule.factor(engine, at) for engine in range(24)]
            assert factors.count(2.5) == 4
            assert factors.count(1.0) == 20

    def test_every_engine_is_slow_at_times_and_usual_at_others(self):
        schedule = schedule_slowdowns(SLOWDOWNS, 24, 40.0, 1)
        times = [number / 10 for number in range(400)]
        for engine in range(24):
            assert {schedule.factor(engine, at) for at in times} == {1.0, 2.5}

    def test_a_seed_defines_the_schedule(self):
        first, same, other = (
            schedule_slowdowns(SLOWDOWNS, 24, 10.0, seed) for seed in (1, 1, 2)
        )
        assert first == same
        assert first != other


class TestWave:
    def test_demand_moves_and_its_sum_is_constant(self):
        wave = Wave(17.0, 0.55)
        for at in (0.0, 3.0, 11.0):
            factors = [wave.factor(centre, 4, at) for centre in range(4)]
            assert math.isclose(sum(factors), 4.0)
            assert max(factors) > 1.3
        assert math.isclose(wave.factor(0, 4, 17.0 / 4), 1.55)

    def test_callers_use_routers_of_their_own_centre(self):
        workload = evolve(ONE_CLASS, centres=4, wave=Wave(17.0, 0.55))
        pick = PickOfOwnCentre(4)
        rows = list(arrivals(workload, 1))
        assert all(pick(row, 18) % 4 == row.centre for row in rows)
        assert {pick(row, 18) for row in rows} == set(range(18))
        peak = [row.centre for row in rows if 3.25 <= row.arrived < 5.25]
        assert 1.3 < peak.count(0) / (len(peak) / 4) < 1.8


class TestLengths:
    def test_lengths_keep_their_mean_and_maximum(self):
        (kind,) = ONE_CLASS.classes
        kind = evolve(kind, own_sigma=0.4, output_sigma=0.6, hint_sigma=0.5)
        rows = list(arrivals(evolve(ONE_CLASS, classes=(kind,)), 1))
        own = [row.own_tokens for row in rows]
        output = [row.output_tokens for row in rows]
        assert 950 < statistics.fmean(own) < 1_050
        assert 92 < statistics.fmean(output) < 108
        assert max(output) <= 400 == rows[0].max_output_tokens

    def test_a_hint_is_right_at_the_median_and_often_far_off(self):
        (kind,) = ONE_CLASS.classes
        kind = evolve(kind, output_sigma=0.6, hint_sigma=0.5)
        rows = list(arrivals(evolve(ONE_CLASS, classes=(kind,)), 1))
        ratios = [row.length_hint / row.output_tokens for row in rows]
        assert 0.94 < statistics.median(ratios) < 1.06
        far_off = [ratio for ratio in ratios if not 1 / 1.6 < ratio < 1.6]
        assert 0.25 < len(far_off) / len(ratios) < 0.45


class TestCancelledCalls:
    @pytest.mark.parametrize("steps", [0, 1, 12])
    def test_a_cancelled_call_frees_its_engine(self, steps):
        """Guard against slots held by callers that left, whatever the call's state."""
        engine = SimulatedEngine(EngineShape(chunk_tokens=1_000))
        row = SimulatedCall(1, "letter", "w", "p", 9_000, 1_000, 50, 0.0)
        engine.admit(row)
        for _ in range(steps):
            engine.step(set())
        engine.cancel(row)
        assert not engine.busy


def simulate_one_engine(kind, calls, engine=EngineShape(slots=1, queue=0)):
    workload = Workload((kind,), 1, seconds=1.0)
    return simulate_fleet(workload, Fleet(1, 1, engine, 1e6), calls, 1)


def letters(kind, count, gap_s=0.0):
    return [
        SimulatedCall(
            number,
            kind.name,
            "w00",
            "",
            0,
            500,
            100,
            gap_s * number,
            deadline_s=kind.deadline_s,
        )
        for number in range(count)
    ]


class TestDeadlines:
    def test_a_call_that_is_incomplete_at_its_deadline_fails(self):
        """Guard against a call that counts as on time because it began in time."""
        kind = CallClass("letter", 1.0, 0, 500, 100, 0.5, 1.0, 0.1, deadline_s=0.3)
        day = simulate_one_engine(kind, letters(kind, 1))
        assert [(row.ended, row.at) for row in day.outcomes] == [("failed", 0.3)]

    def test_a_cut_call_frees_its_slot(self):
        """Guard against an answer that runs on after its caller has left."""
        kind = CallClass("letter", 1.0, 0, 500, 100, 0.5, 1.0, 0.1, deadline_s=0.3)
        rows = letters(kind, 2, gap_s=0.31)
        rows[0].output_tokens, rows[1].output_tokens = 1_000, 10
        day = simulate_one_engine(kind, rows)
        assert [row.ended for row in day.outcomes] == ["failed", "on time"]


class TestReturns:
    def test_a_refused_caller_returns_once_within_a_third_of_its_time(self):
        """Guard against callers that wait for `Retry-After` beyond their deadline."""
        kind = CallClass("letter", 1.0, 0, 500, 100, 0.5, 1.0, 0.1, deadline_s=0.6)
        shape = EngineShape(slots=0, queue=0)
        day = simulate_one_engine(kind, letters(kind, 1), shape)
        (row,) = day.outcomes
        assert (row.ended, row.call.retries) == ("refused", 1)
        assert row.at < 0.25


class TestForms:
    @pytest.mark.parametrize("form", FORMS.values(), ids=list(FORMS))
    def test_a_day_is_deterministic_for_a_seed(self, form):
        days = [hard_load.simulate_form(form, 1, seconds=1.5) for _ in "ab"]
        rows = [hard_load.figures(form, day) for day in days]
        assert rows[0] == rows[1]
        ended = ("on_time", "late", "refused", "failed")
        assert rows[0]["calls"] == sum(rows[0][name] for name in ended) > 100
        assert 0.0 < rows[0]["reading_fraction"] < 1.0

    @pytest.mark.parametrize("form", FORMS.values(), ids=list(FORMS))
    def test_a_form_has_scarce_engines(self, form):
        """Guard against a form in which the features are never in force."""
        fleet = evolve(form.fleet, features=parse_features("answer_lengths=off"))
        features = fleet_routers(fleet)[0].dispatcher.features("drafting")
        assert features == Features(admission_queue=True, scheduled_retries=True)


class TestOutput:
    def test_an_ablation_prints_a_row_for_each_feature(self, capsys, monkeypatch):
        short = evolve(UNEVEN_SERVERS.workload, seconds=0.2)
        monkeypatch.setitem(
            FORMS, "uneven_servers", evolve(UNEVEN_SERVERS, workload=short)
        )
        hard_load.main(ablation=True)
        lines = capsys.readouterr().out.splitlines()
        rows = [json.loads(line) for line in lines if line.startswith("{")]
        assert len(rows) == 8
        assert rows[1]["features"] == "admission_queue=off"
        assert lines[-1].startswith("without any")

    def test_estimates_are_grouped_by_the_state_of_engines(self):
        day = hard_load.simulate_form(UNEVEN_SERVERS, 1, seconds=1.0)
        groups = estimate_summary(day.estimates)
        sent = len(day.estimates)
        assert sent > 50
        for rows in groups.values():
            assert sum(row["calls"] for row in rows) == sent
        speeds = {row["group"].split(",")[0] for row in groups["by_speed"]}
        assert speeds == {"0.7", "1.7"}
