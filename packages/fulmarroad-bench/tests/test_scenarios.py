"""Scenario files: accepted input, rejected input and the problems reported."""

from __future__ import annotations

from pathlib import Path

import pytest

from fulmarroad.exceptions import ConfigurationError
from fulmarroad_bench._scenario import load_scenario, parse_scenario
from fulmarroad_bench._traffic import CallGenerator, workspace_names, workspace_rows

SCENARIOS = Path(__file__).parents[3] / "bench" / "scenarios"
GROUP = {"name": "a", "callers": 2}


class TestValidation:
    @pytest.mark.parametrize(
        ("raw", "problem"),
        [
            ({}, "group: at least one is required"),
            ({"group": [GROUP], "speed": 1}, "scenario: unknown field 'speed'"),
            ({"group": [{"callers": 1}]}, "group 1: name is missing"),
            ({"group": [{**GROUP, "size": 1}]}, "group 1: unknown field 'size'"),
            ({"group": [{**GROUP, "callers": 1.5}]}, "is not a whole number"),
            ({"group": [{**GROUP, "rate": "x"}]}, "'x' is not a number"),
            (
                {"group": [{**GROUP, "tokens_low": 99}]},
                "tokens_low is above tokens_high",
            ),
            ({"group": "x"}, "group: is not an array of tables"),
            ({"group": [GROUP], "seconds": 300}, "seconds: 300 is not in"),
            ({"group": [GROUP], "fleet": {"cats": 1}}, "unknown field 'cats'"),
            ({"group": [GROUP], "fault": [{"at_s": 1, "kind": "x"}]}, "kind 'x'"),
            ({"group": [GROUP], "fault": [{"at_s": 99, "kind": "cut"}]}, "at_s: 99"),
        ],
    )
    def test_reports_each_problem(self, raw, problem):
        with pytest.raises(ConfigurationError) as caught:
            parse_scenario("x", raw)
        assert problem in caught.value.format_message()

    def test_reports_all_problems_at_once(self):
        raw = {"group": [{"callers": 1}], "speed": 1, "seconds": 300}
        with pytest.raises(ConfigurationError) as caught:
            parse_scenario("x", raw)
        assert len(caught.value.problems) == 3


class TestCommittedScenarios:
    @pytest.mark.parametrize(
        "path", sorted(SCENARIOS.glob("*.toml")), ids=lambda path: path.stem
    )
    def test_each_scenario_loads_with_the_expected_fleet_size(self, path):
        scenario = load_scenario(path)
        sizes = (scenario.fleet.routers, scenario.fleet.engines, scenario.fleet.plains)
        assert sizes == ((9, 5, 3) if path.stem.startswith("tada") else (9, 10, 3))
        assert len(workspace_rows(scenario)) == 16

    def test_both_users_have_the_same_kinds_of_scenario(self):
        kinds = {"tadamoun": set(), "harbourline": set()}
        for path in SCENARIOS.glob("*.toml"):
            user, _, kind = path.stem.partition("-")
            kinds[user].add(kind)
        assert kinds["tadamoun"] == kinds["harbourline"]
        assert len(kinds["tadamoun"]) == 11


class TestCallGenerator:
    def test_same_seed_generates_the_same_calls(self):
        scenario = parse_scenario("x", {"group": [GROUP]})
        row, group = workspace_rows(scenario)[0], scenario.groups[0]
        one, same, other = (CallGenerator(group, row, seed) for seed in (1, 1, 2))
        calls = [generator.chat() for generator in (one, same, other)]
        assert calls[0] == calls[1] != calls[2]

    def test_workspaces_of_a_group_have_distinct_names(self):
        scenario = parse_scenario("x", {"group": [{**GROUP, "count": 3}]})
        assert workspace_names(scenario.groups[0]) == ["a-1", "a-2", "a-3"]
