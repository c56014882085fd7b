"""A data centre leaves at once and returns slowly, more slowly the more it flaps."""

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


def shares_during(shift, begin, end, step=0.5):
    """Tick from `begin` to `end`; return the share of fes-1 after each tick."""
    shares = []
    now = begin
    while now <= end:
        shift.tick(now)
        shares.append(shift.share("fes-1", now))
        now += step
    return shares


class TestCentreShift:
    def test_first_tables_apply_without_hold_or_ramp(self):
        shift = CentreShift()
        shift.update(tables("fes-2"), 0.0)
        assert [shift.share(name, 0.0) for name in CENTRES] == [1.0, 0.0, 1.0]

    def test_data_centre_out_of_service_gets_no_new_work(self):
        # Operators take a data centre out of service because something in it is about
        # to fail. A router that reduced its share gradually would still send calls
        # there.
        shift = CentreShift()
        shift.update(tables(), 0.0)
        [change] = shift.update(tables("fes-1"), 5.0)
        assert (change.before, change.after) == (CentreState.IN, CentreState.OUT)
        assert not shift.takes_work("fes-1", 5.0)
        assert not any(shift.accepts("fes-1", f"r{n}", 5.0) for n in range(200))

    def test_returning_data_centre_ramps_up_within_the_time_limit(self):
        # A data centre returns with cold servers. If every router sent it a full share
        # at once, requests would queue there while warm servers elsewhere are free.
        shift = CentreShift()
        shift.update(tables(), 0.0)
        shift.update(tables("fes-1"), 1.0)
        shift.update(tables(), 100.0)
        shares = shares_during(shift, 100.0, 123.0)
        assert shares[:4] == [0.0] * 4
        assert shares == sorted(shares)
        assert 0 < shares[4] <= 0.2
        assert shares[-1] == 1.0

    def test_request_stays_accepted_as_the_share_grows(self):
        shift = CentreShift()
        shift.update(tables(), 0.0)
        shift.update(tables("fes-1"), 1.0)
        shift.update(tables(), 100.0)
        shift.tick(102.0)
        early = {n for n in range(300) if shift.accepts("fes-1", f"r{n}", 104.0)}
        late = {n for n in range(300) if shift.accepts("fes-1", f"r{n}", 114.0)}
        assert early < late

    def test_flapping_data_centre_is_held_longer_each_time(self):
        # A script toggles the state in the table every 10 s. Without the hold, each
        # return would move callers to cold servers and the next departure would move
        # them back. With it, the data centre soon gets no work until the flapping ends.
        shift = CentreShift()
        shift.update(tables(), 0.0)
        max_shares = []
        for flap in range(12):
            begin = 20.0 * flap
            shift.update(tables("fes-1"), begin)
            shift.update(tables(), begin + 10)
            max_shares.append(max(shares_during(shift, begin + 10, begin + 19)))
        assert max_shares[0] > 0
        assert set(max_shares[3:]) == {0.0}
        last_return = 230.0
        assert shares_during(shift, last_return, last_return + 64 + 20)[-1] == 1.0

    def test_old_departures_do_not_count(self):
        shift = CentreShift()
        shift.update(tables(), 0.0)
        for flap in range(6):
            shift.update(tables("fes-1"), 10.0 * flap)
            shift.update(tables(), 10.0 * flap + 5)
        shift.update(tables("fes-1"), 2000.0)
        shift.update(tables(), 2010.0)
        assert shares_during(shift, 2010.0, 2012.5)[-1] > 0

    def test_only_data_centre_is_not_held(self):
        # All data centres were out of service and one returns. With a hold, every
        # caller would be refused while its servers idle.
        shift = CentreShift()
        shift.update(tables(), 0.0)
        shift.update(tables(*CENTRES), 1.0)
        shift.update(tables("fes-2", "rabat-1"), 2.0)
        assert shift.share("fes-1", 2.0) == 1.0

    def test_data_centre_missing_from_the_tables_is_out(self):
        shift = CentreShift()
        shift.update(tables(), 0.0)
        shift.update(Tables(2, data_centres={}), 1.0)
        assert shift.state("fes-1") is CentreState.OUT

    @pytest.mark.parametrize(
        ("departures", "seconds"), [(0, 2), (1, 2), (2, 4), (5, 32), (6, 64), (99, 64)]
    )
    def test_hold_doubles_up_to_its_cap(self, departures, seconds):
        assert hold_time(departures) == seconds
