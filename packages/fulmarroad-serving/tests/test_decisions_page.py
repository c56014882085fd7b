"""Tests that the examples in docs/DECISIONS.md agree with the code."""

from pathlib import Path

import pytest

from fulmarroad_serving._holding import HELD_FRACTION, POLL_INTERVAL_S, SEND_MARGIN_S
from fulmarroad_serving._routing import (
    Candidate,
    PartMemory,
    Prompt,
    choose_engine,
    home_order,
    part_id,
)
from fulmarroad_serving._shares import MIN_WAIT_USE, wait_fraction

PAGE = Path(__file__).parents[3] / "docs" / "DECISIONS.md"
PART = part_id("letter")
NAMES = home_order(PART, ["e-1", "e-2", "e-3"])
"""Engines in the part's order, named e-1 to e-3 on the page."""


def choose_example(*, may_read_again):
    waits = dict(zip(NAMES, (0.40, 0.03, 0.10), strict=True))
    rows = [
        Candidate(name, "fes", 60.0, wait_s, 70_000.0, 0.035, fetch_rate=500_000.0)
        for name, wait_s in waits.items()
    ]
    prompt = Prompt(PART, 5_000, 7_000, 0.6)
    return choose_engine(
        prompt, rows, PartMemory(), "fes", 9.0, may_read_again=may_read_again
    )


class TestPage:
    def test_program_on_the_page_runs(self, capsys):
        code = PAGE.read_text().split("```python\n")[1].split("```")[0]
        exec(compile(code, str(PAGE), "exec"), {})
        assert capsys.readouterr().out.startswith("Choice(server=")


class TestExample:
    def test_fetches_the_part_to_the_engine_with_the_short_queue(self):
        choice = choose_example(may_read_again=True)
        assert (choice.server, choice.source) == (NAMES[1], NAMES[0])
        assert choice.wait_s + choice.read_s == pytest.approx(0.178, abs=0.001)

    def test_call_above_its_share_stays_and_is_held(self):
        choice = choose_example(may_read_again=False)
        assert choice.server == NAMES[0]
        allowed_s = wait_fraction(MIN_WAIT_USE) * (0.6 - choice.read_s)
        assert allowed_s == pytest.approx(0.028, abs=0.0005)
        assert pytest.approx(0.021) == POLL_INTERVAL_S * (1 + MIN_WAIT_USE)
        refused_at = HELD_FRACTION * 0.6 - choice.read_s - SEND_MARGIN_S
        assert refused_at == pytest.approx(0.145, abs=0.001)
