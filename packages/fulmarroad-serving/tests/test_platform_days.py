"""Every kind of trouble has its mechanism, test and day on the platform page."""

import re
import tomllib
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[3]
KINDS = [
    "burst",
    "hot_key",
    "hot_tenant",
    "retry_abuse",
    "give_up",
    "srv_crash",
    "srv_grey",
    "release",
    "scale_out",
    "scale_in",
    "cold_return",
    "answer_lost",
    "garble",
    "node_kill",
    "node_freeze",
    "roll_term",
    "herd_kill",
    "add_nodes",
    "zone_cut",
    "core_cut",
    "node_cut",
    "lossy",
    "platform_down",
    "platform_slow",
    "platform_lost",
    "platform_compact",
    "config_change",
    "config_storm",
    "big_config",
    "revoke",
    "evacuate",
    "srv_slow",
    "srv_cut",
    "replace_with_reuse",
    "node_slow",
    "after_ack_kill",
    "clock_step",
    "hup",
    "reset_conns",
    "zone_loss",
]


def trouble_rows():
    """Return the kinds of each row with its test and its days."""
    page = (ROOT / "docs" / "PLATFORM.md").read_text()
    section = page.split("## Trouble, mechanism, test, day")[1].split("\n## ")[0]
    rows = [line.strip("| ").split(" | ") for line in section.splitlines()]
    rows = [row for row in rows if len(row) == 4 and row[0].startswith("`")]
    return [
        (re.findall(r"`(\w+)`", row[0]), row[2], row[3].split(", ")) for row in rows
    ]


def day_kinds(name):
    day = tomllib.loads((ROOT / "deploy" / "days" / f"{name}.toml").read_text())
    return {entry["kind"] for entry in [*day["plan"], *day["faults"]]}


class TestTable:
    @pytest.mark.parametrize("kind", KINDS)
    def test_each_kind_has_a_row_and_plays_in_a_day_that_it_names(self, kind):
        rows = [row for row in trouble_rows() if kind in row[0]]
        assert len(rows) == 1
        assert any(kind in day_kinds(day) for day in rows[0][2])

    def test_no_row_names_an_unknown_kind(self):
        assert {kind for row in trouble_rows() for kind in row[0]} == set(KINDS)

    def test_each_test_that_the_page_names_exists(self):
        folder = ROOT / "packages" / "fulmarroad-serving" / "tests"
        code = "\n".join(path.read_text() for path in folder.glob("test_*.py"))
        page = (ROOT / "docs" / "PLATFORM.md").read_text()
        named = set(re.findall(r"`(?:test_\w+\.py::)?((?:Test|test_)\w+)`", page))
        named |= set(re.findall(r"`test_\w+\.py::(\w+)`", page))
        assert named
        for name in named:
            assert re.search(rf"\b(class|def) {name}\b", code), name
