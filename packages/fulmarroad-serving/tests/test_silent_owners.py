"""Tests of which owners of servers are left out because they don't answer."""

import pytest

from fulmarroad_serving._silent_owners import SILENCE_S, SilentOwners

ROUTERS = {f"{at}-{number}": at for at in ("fes", "rabat") for number in range(4)}
CUT = {name for name, at in ROUTERS.items() if at == "fes"}

SERIES = [
    ("one silent owner", "-fes-0", {"fes-0"}),
    ("two in a row", "-fes-0 -fes-1", CUT),
    ("one that answers in between", "-fes-0 +fes-2 -fes-1", {"fes-0", "fes-1"}),
    ("one that answers after both", "-fes-0 -fes-1 +fes-2", {"fes-0", "fes-1"}),
    ("an answer before both", "+fes-2 -fes-0 -fes-1", CUT),
    ("an answer from elsewhere", "-fes-0 +rabat-1 -fes-1", CUT),
    ("a cut after a late answer", "-fes-0 +fes-2 -fes-1 -fes-2", CUT),
    ("a further time-out", "-fes-0 +fes-2 -fes-1 -fes-0", {"fes-0", "fes-1"}),
    ("one of each", "-fes-0 -rabat-1", {"fes-0", "rabat-1"}),
    ("one that answers again", "-fes-0 -fes-1 +fes-0", {"fes-1"}),
]


class TestLeftOut:
    @pytest.mark.parametrize(
        ("steps", "expected"), [row[1:] for row in SERIES], ids=[r[0] for r in SERIES]
    )
    def test_leaves_out_a_data_centre_only_if_none_of_its_owners_answers(
        self, steps, expected
    ):
        """Guard against routers that place calls by old reports for a second, as two
        owners paused and the others of their data centre were left out as well.
        """
        silent = SilentOwners()
        for step in steps.split():
            if step[0] == "-":
                silent.note(step[1:], 100.0)
            else:
                silent.forget(step[1:])
        assert silent.left_out(ROUTERS, 100.0) == expected
        assert silent.left_out(ROUTERS, 100.0 + SILENCE_S) == set()
