"""Retries are paid from a budget, and never made where a call might run twice."""

import pytest

from fulmarroad.admission import Attempt, RetryBudget, RetryDecision


def attempt(**changes):
    fields = {
        "repeatable": True,
        "sent": True,
        "answered": False,
        "number": 1,
        "remaining_s": 10.0,
    }
    return Attempt(**(fields | changes))


def spend(budget, pool, now):
    """Take all retries of a pool's budget."""
    taken = 0
    while budget.may_retry(pool, now):
        taken += 1
        assert taken < 100, "the budget has no end"


class TestRetryBudget:
    @pytest.mark.parametrize("per_second", [1, 50, 200])
    def test_an_outage_is_not_amplified(self, per_second):
        # Every server of a pool fails for five minutes and each request is tried up
        # to three times. The servers would see three times the callers' load just as
        # they try to come back.
        budget = RetryBudget()
        requests = sent = 0
        for second in range(300):
            for _ in range(per_second):
                budget.note_request("drafting", float(second))
                requests += 1
                sent += 1
                number = 1
                while (
                    budget.decide("drafting", attempt(number=number), float(second))
                    is RetryDecision.RETRY
                ):
                    assert number < 10
                    number += 1
                    sent += 1
        assert sent <= 1.1 * requests + 10 + 0.1 * 300
        assert sent > requests

    def test_a_quiet_pool_may_retry(self):
        budget = RetryBudget()
        for hour in range(20):
            now = 3600.0 * hour
            budget.note_request("ledger", now)
            assert budget.may_retry("ledger", now)

    def test_pools_pay_for_themselves(self):
        budget = RetryBudget()
        spend(budget, "drafting", 0.0)
        assert budget.may_retry("ledger", 0.0)

    def test_a_clock_that_stands_still_or_steps_back_adds_nothing(self):
        budget = RetryBudget()
        spend(budget, "drafting", 100.0)
        assert not budget.may_retry("drafting", 50.0)
        assert not budget.may_retry("drafting", 100.0)


class TestRetryDecision:
    @pytest.mark.parametrize(
        ("changes", "decision"),
        [
            ({}, RetryDecision.RETRY),
            ({"repeatable": False}, RetryDecision.NOT_REPEATABLE),
            ({"repeatable": False, "sent": False}, RetryDecision.RETRY),
            ({"answered": True}, RetryDecision.NOT_REPEATABLE),
            ({"number": 3}, RetryDecision.TOO_MANY),
            ({"remaining_s": 0.0}, RetryDecision.NO_TIME),
            ({"expected_s": 11.0}, RetryDecision.NO_TIME),
        ],
    )
    def test_decides(self, changes, decision):
        found = RetryBudget().decide("drafting", attempt(**changes), 0.0)
        assert found is decision

    def test_only_a_retry_takes_from_the_budget(self):
        budget = RetryBudget()
        for _ in range(50):
            budget.decide("drafting", attempt(repeatable=False), 0.0)
        assert budget.decide("drafting", attempt(), 0.0) is RetryDecision.RETRY
