"""Test how lost calls are classified and grouped from routers' log lines."""

import json

import pytest

from fulmarroad_bench import losses

LINE = {
    "time": "2026-04-18 11:13:22,500",
    "event": 500,
    "route": "r-1",
    "workspace": "coop",
    "outcome": "served",
    "seconds": 0.5,
    "first_s": 0.2,
    "sends": 1,
    "wait_s": 0.05,
    "held_s": 0.0,
    "expected_s": 0.15,
    "share_used": 0.4,
    "objective_s": 0.4,
    "shared_tokens": 500,
    "own_tokens": 700,
}
REFUSED = {"event": 501, "outcome": "wait_too_long", "first_s": 0.0}


def lines(*changes):
    return ["  12.5 router-a " + json.dumps(LINE | change) for change in changes]


class TestCauses:
    @pytest.mark.parametrize(
        ("change", "end"),
        [
            ({}, losses.ON_TIME),
            ({"first_s": 0.5}, losses.MISJUDGED),
            ({"first_s": 0.5, "expected_s": 0.45}, losses.EXPECTED_LATE),
            ({"first_s": 0.5, "held_s": 0.3}, losses.EXPECTED_LATE),
            ({"first_s": 0.5, "sends": 2}, losses.RETRIED),
            (REFUSED, losses.NO_PLACE),
            (REFUSED | {"share_used": 1.3}, losses.ABOVE_SHARE),
            ({"event": 502, "outcome": "timeout"}, "timeout"),
        ],
    )
    def test_each_call_has_one_outcome(self, change, end):
        (row,) = losses.read_lines(lines(change))
        assert losses.outcome_of(row) == end


class TestGroups:
    def test_calls_are_grouped_by_route_workspace_size_and_second(self):
        rows = lines({}, {"workspace": "farm"}, REFUSED, {"own_tokens": 9_000})
        groups = losses.group_calls(losses.read_lines(rows))
        assert groups["route"]["r-1"].asked == 4
        assert groups["workspace"]["coop"].ends[losses.NO_PLACE] == 1
        assert {key.strip(): row.asked for key, row in groups["size"].items()} == {
            "1024": 3,
            "8192": 1,
        }
        assert list(groups["second"]) == ["   40402"]
        assert groups["route"]["r-1"].summary()["median_wait_at_refusal_s"] == 0.05

    def test_unrelated_and_truncated_lines_are_ignored(self):
        """Guard against a report that ends at an unexpected line. Logs contain lines of
        other events and programs, and the last line of a killed router is truncated.
        """
        cut = lines({})[0][:80]
        rows = ["started", json.dumps({"event": 100}), cut, *lines({})]
        assert len(list(losses.read_lines(rows))) == 1


class TestCommand:
    def test_prints_tables_or_json(self, tmp_path, capsys):
        path = tmp_path / "router.log"
        path.write_text("\n".join(lines({}, REFUSED)))
        losses.main(str(path))
        assert losses.NO_PLACE in capsys.readouterr().out
        losses.main(str(path), json=True)
        report = json.loads(capsys.readouterr().out)
        assert report["workspace"]["coop"][losses.ON_TIME] == 1

    def test_a_missing_file_argument_is_reported(self):
        with pytest.raises(SystemExit, match="Name one log file"):
            losses.main()
