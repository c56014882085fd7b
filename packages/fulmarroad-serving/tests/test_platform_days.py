"""The platform page names a mechanism, a test and a day for every kind of fault."""

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
    "srv_lying_health",
    "srv_flap",
    "bridge_cut",
    "idle_race",
    "poison",
]

VARIANTS = {
    "srv_crash": "dark gone domain across",
    "srv_grey": "errors shed busy hang reset mute slow one_zone all",
    "release": "newer rest",
    "srv_lying_health": "errors hang reset bad",
    "scale_in": "spot reclaim dry",
    "cold_return": "dark",
    "answer_lost": "reset",
    "garble": "extra late unframed early rot",
    "node_kill": "power reader",
    "node_freeze": "leader turn",
    "roll_term": "remove leader busy",
    "herd_kill": "power",
    "zone_cut": "reset one_way drop",
    "core_cut": (
        "leader refuse meet race reader turn seed drain"
        " split all near one_way seeds both lure relieve"
    ),
    "node_cut": "all servers reborn reset one_way",
    "platform_down": "nodes busy many reset silent leader revoke lapse drain meet",
    "platform_lost": "late",
    "platform_compact": "drain",
    "config_change": "route weights timeout tenant quota topup idle",
    "revoke": "last",
    "evacuate": "warm",
    "srv_cut": "fronts some lossy one_way reborn",
    "replace_with_reuse": "drain dark",
    "after_ack_kill": "kill timed",
    "clock_step": "back ahead",
    "poison": "deadly",
}
"""Variants of each kind, as in the `how` field of a day; other kinds have none."""


def fault_rows():
    """Return the kinds, the test and the days of each row of the page's table."""
    page = (ROOT / "docs" / "PLATFORM.md").read_text()
    section = page.split("## Trouble, mechanism, test, day")[1].split("\n## ")[0]
    rows = [line.strip("| ").split(" | ") for line in section.splitlines()]
    rows = [row for row in rows if len(row) == 4 and row[0].startswith("`")]
    return [
        (re.findall(r"`(\w+)`", row[0]), row[2], row[3].split(", ")) for row in rows
    ]


def entries(path):
    """Return the planned work and faults of a day; it may have only one of them."""
    day = tomllib.loads(path.read_text())
    assert "plan" in day or "faults" in day, path
    return [*day.get("plan", ()), *day.get("faults", ())]


def day_kinds(name):
    path = ROOT / "deploy" / "days" / f"{name}.toml"
    return {entry["kind"] for entry in entries(path)}


def played_variants(kind):
    """Return the variants of a kind that the days of the repository contain."""
    words = set()
    for path in (ROOT / "deploy" / "days").glob("*.toml"):
        for entry in entries(path):
            if entry["kind"] == kind:
                words |= set(entry.get("how", "").split())
    return words


class TestVariants:
    @pytest.mark.parametrize("kind", VARIANTS)
    def test_each_variant_of_a_kind_is_in_a_day(self, kind):
        assert set(VARIANTS[kind].split()) <= played_variants(kind)

    def test_days_use_known_variants_only(self):
        known = {word for row in VARIANTS.values() for word in row.split()}
        for kind in KINDS:
            assert played_variants(kind) <= known


class TestTable:
    @pytest.mark.parametrize("kind", KINDS)
    def test_each_kind_has_one_row_that_names_a_day_with_it(self, kind):
        rows = [row for row in fault_rows() if kind in row[0]]
        assert len(rows) == 1
        assert any(kind in day_kinds(day) for day in rows[0][2])

    def test_no_row_names_an_unknown_kind(self):
        assert {kind for row in fault_rows() for kind in row[0]} == set(KINDS)

    def test_each_test_that_the_page_names_exists(self):
        folder = ROOT / "packages" / "fulmarroad-serving" / "tests"
        code = "\n".join(path.read_text() for path in folder.glob("test_*.py"))
        page = (ROOT / "docs" / "PLATFORM.md").read_text()
        named = set(re.findall(r"`(?:test_\w+\.py::)?((?:Test|test_)\w+)`", page))
        named |= set(re.findall(r"`test_\w+\.py::(\w+)`", page))
        assert named
        for name in named:
            assert re.search(rf"\b(class|def) {name}\b", code), name
