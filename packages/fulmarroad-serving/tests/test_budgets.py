"""Tests of one router's share of fleet-wide limits."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from fulmarroad_serving._budgets import ColdShare, RetryShare, assumed_routers


class TestRetryShare:
    @pytest.mark.parametrize("routers", [1, 7, 12, 74])
    def test_fleet_stays_within_its_retry_budget_in_an_outage(self, routers):
        """Every server of a service fails at once. If each router retried each call,
        the service would get twice its load during the outage.
        """
        shares = [RetryShare(0.2, 10.0, 54.0) for _ in range(routers)]
        sent = 0
        for step in range(400):
            now = 100.0 + step * 0.01
            for share in shares:
                share.note_request(now)
                sent += share.take(now, routers)
        assert sent <= 0.2 * 400 * routers + 54

    def test_an_isolated_router_stays_within_its_share(self):
        """A router that is cut off from its peers knows of no other router, and must
        not use the whole budget.
        """
        share = RetryShare(0.2, 10.0, 54.0)
        assert sum(share.take(0.0, 1) for _ in range(100)) <= 54 / 6

    @settings(derandomize=True, deadline=None)
    @given(st.lists(st.floats(0.0, 0.5), max_size=200))
    def test_retries_in_any_sliding_window_stay_within_the_share(self, gaps):
        share, now, taken = RetryShare(0.2, 10.0, 60.0), 0.0, []
        for gap in gaps:
            now += gap
            if share.take(now, 6):
                taken.append(now)
        for start in taken:
            assert sum(start <= at <= start + 10.0 for at in taken) <= 60 / 6

    def test_requests_earn_retries(self):
        share = RetryShare(0.2, 10.0, 0.0)
        assert not share.take(0.0, 7)
        for _ in range(20):
            share.note_request(0.0)
        assert sum(share.take(0.0, 7) for _ in range(20)) == 3


class TestColdShare:
    @pytest.mark.parametrize("count", [1, 7, 12, 74])
    def test_all_routers_together_stay_within_the_cold_limit(self, count):
        """The servers of a data centre restart cold during a burst. If every router
        sent its calls there at once, they would fail again.
        """
        bound = 12.0 * 1.5 + 5.0
        names = [f"router-{n}" for n in range(count)]
        shares = {name: ColdShare(bound) for name in names}
        sent = []
        for step in range(300):
            now = step * 0.01
            for name, share in shares.items():
                if share.allows("server", name, names, now):
                    share.note(now)
                    sent.append(now)
        for start in sent:
            assert sum(start <= at < start + 1.0 for at in sent) <= bound
        assert sent

    def test_assumed_fleet_is_larger_than_the_known_one(self):
        assert assumed_routers(8) == 12
        assert assumed_routers(1) == 6
