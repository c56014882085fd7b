"""Tests of one router's share of fleet-wide limits."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from fulmarroad_serving._budgets import (
    ColdBudget,
    ColdLimit,
    RetryShare,
    assumed_routers,
    connection_share,
    may_open_more,
)


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


class TestColdLimit:
    @pytest.mark.parametrize("rate", [0.5, 2.0, 12.0, 40.0])
    @pytest.mark.parametrize("owners", [0, 1, 2])
    @pytest.mark.parametrize("count", [1, 7, 12, 74])
    def test_all_routers_and_two_owners_stay_within_the_cold_limit(
        self, count, owners, rate
    ):
        """The servers of a data centre restart cold during a burst. If every router
        sent its calls there at once, they would fail again. While routers disagree on
        the owner of a server, two of them deal out a part.
        """
        bound = rate * 1.5 + 5.0
        names = [f"router-{n}" for n in range(count)]
        limits = {name: ColdLimit(bound) for name in names}
        sent = []
        for step in range(300):
            now = step * 0.01
            for number, (name, limit) in enumerate(limits.items()):
                if limit.allows("server", name, names, now):
                    limit.note(ColdBudget.SHARE, now)
                    sent.append(now)
                while number < owners and limit.owner_allows(now):
                    limit.note(ColdBudget.OWNER, now)
                    sent.append(now)
        for start in sent:
            assert sum(start <= at < start + 1.0 for at in sent) <= bound
        assert sent

    def test_an_owner_may_send_as_many_calls_as_a_dozen_routers(self):
        """Guard against a workspace at one router that gets next to nothing of what
        cold servers bear."""
        limit, sent = ColdLimit(23.0), 0
        while limit.owner_allows(0.0):
            limit.note(ColdBudget.OWNER, 0.0)
            sent += 1
        assert sent >= 8

    def test_assumed_fleet_is_larger_than_the_known_one(self):
        assert assumed_routers(8) == 12
        assert assumed_routers(1) == 6


class TestConnections:
    @settings(derandomize=True, deadline=None)
    @given(st.integers(1, 400), st.integers(1, 5_000))
    def test_shares_and_owned_connections_stay_within_the_limit(self, routers, limit):
        """Guard against connections beyond what a server accepts, which it resets.

        All known routers use their share, and every granted call opens one more.
        """
        limit = max(limit, 4 * assumed_routers(routers))
        granted = 0
        while may_open_more(limit, granted):
            granted += 1
        assert routers * connection_share(limit, routers) + granted <= limit
