"""A data centre leaves at once, returns slowly, and slower the more it flaps."""

import pytest

from fulmarroad.shifting import CentreShift, CentreState, hold_time
from fulmarroad.tables import DataCentre, ServiceState, Tables

CENTRES = ("fes-1", "fes-2", "rabat-1")


def tables(*out, version=1):
    rows = {
        name: DataCentre(name, ServiceState.OUT if name in out else ServiceState.IN)
        for name in CENTRES
    }
    return Tables(version, data_centres=rows)


def run_until(shift, begin, end, step=0.5):
    """Tick through a span; return the share at each moment."""
    shares = []
    now = begin
    while now <= end:
        shift.tick(now)
        shares.append(shift.share("fes-1", now))
        now += step
    return shares


class TestCentreShift:
    def test_a_router_without_memory_takes_what_the_first_tables_say(self):
        shift = CentreShift()
        shift.update(tables("fes-2"), 0.0)
        assert [shift.share(name, 0.0) for name in CENTRES] == [1.0, 0.0, 1.0]

    def test_leaving_is_immediate(self):
        # Operators take a data centre out because something in it is about to fail. A
        # router that eased its share down would send calls into it meanwhile.
        shift = CentreShift()
        shift.update(tables(), 0.0)
        [change] = shift.update(tables("fes-1"), 5.0)
        assert (change.before, change.after) == (CentreState.IN, CentreState.OUT)
        assert not shift.takes_work("fes-1", 5.0)
        assert not any(shift.takes("fes-1", f"r{n}", 5.0) for n in range(200))

    def test_returning_ramps_up_in_a_stated_time(self):
        # A data centre returns with cold servers. If every router turned to them at
        # once, callers would queue there while warm servers elsewhere had room.
        shift = CentreShift()
        shift.update(tables(), 0.0)
        shift.update(tables("fes-1"), 1.0)
        shift.update(tables(), 100.0)
        shares = run_until(shift, 100.0, 123.0)
        assert shares[:4] == [0.0] * 4
        assert shares == sorted(shares)
        assert 0 < shares[4] <= 0.2
        assert shares[-1] == 1.0

    def test_one_request_keeps_its_answer_as_the_share_grows(self):
        shift = CentreShift()
        shift.update(tables(), 0.0)
        shift.update(tables("fes-1"), 1.0)
        shift.update(tables(), 100.0)
        shift.tick(102.0)
        early = {n for n in range(300) if shift.takes("fes-1", f"r{n}", 104.0)}
        late = {n for n in range(300) if shift.takes("fes-1", f"r{n}", 114.0)}
        assert early < late

    def test_a_flapping_data_centre_is_held_back_longer_each_time(self):
        # A script toggles the table every 10 s. Each return would pull callers over
        # to cold servers and the next departure back again; with the hold the data
        # centre soon takes nothing until the flapping ends.
        shift = CentreShift()
        shift.update(tables(), 0.0)
        taken = []
        for flap in range(12):
            begin = 20.0 * flap
            shift.update(tables("fes-1"), begin)
            shift.update(tables(), begin + 10)
            taken.append(max(run_until(shift, begin + 10, begin + 19)))
        assert taken[0] > 0
        assert set(taken[3:]) == {0.0}
        last_return = 230.0
        assert run_until(shift, last_return, last_return + 64 + 20)[-1] == 1.0

    def test_flaps_are_forgotten(self):
        shift = CentreShift()
        shift.update(tables(), 0.0)
        for flap in range(6):
            shift.update(tables("fes-1"), 10.0 * flap)
            shift.update(tables(), 10.0 * flap + 5)
        shift.update(tables("fes-1"), 2000.0)
        shift.update(tables(), 2010.0)
        assert run_until(shift, 2010.0, 2012.5)[-1] > 0

    def test_the_only_data_centre_is_not_held_back(self):
        # All data centres were out and one is back: holding it would refuse every
        # caller while its servers idle.
        shift = CentreShift()
        shift.update(tables(), 0.0)
        shift.update(tables(*CENTRES), 1.0)
        shift.update(tables("fes-2", "rabat-1"), 2.0)
        assert shift.share("fes-1", 2.0) == 1.0

    def test_a_table_without_the_data_centre_takes_it_out(self):
        shift = CentreShift()
        shift.update(tables(), 0.0)
        shift.update(Tables(2, data_centres={}), 1.0)
        assert shift.state("fes-1") is CentreState.OUT

    @pytest.mark.parametrize(
        ("departures", "seconds"), [(0, 2), (1, 2), (2, 4), (5, 32), (6, 64), (99, 64)]
    )
    def test_hold_doubles_up_to_its_cap(self, departures, seconds):
        assert hold_time(departures) == seconds
