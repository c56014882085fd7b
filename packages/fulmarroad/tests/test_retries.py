"""Retries are limited by a budget and never made where a call might run twice."""

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


def drain(budget, pool, now):
    """Use up the retry budget of a pool."""
    retries = 0
    while budget.take_retry(pool, now):
        retries += 1
        assert retries < 100, "the budget is not limited"


class TestRetryBudget:
    @pytest.mark.parametrize("per_second", [1, 50, 200])
    def test_retries_do_not_multiply_the_load_of_an_outage(self, per_second):
        # Every server of a pool fails for five minutes and each request may be tried up
        # to three times. Without a budget the servers would get three times the
        # callers' load while they try to recover.
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

    def test_pool_with_few_requests_may_retry(self):
        budget = RetryBudget()
        for hour in range(20):
            now = 3600.0 * hour
            budget.note_request("ledger", now)
            assert budget.take_retry("ledger", now)

    def test_each_pool_has_its_own_budget(self):
        budget = RetryBudget()
        drain(budget, "drafting", 0.0)
        assert budget.take_retry("ledger", 0.0)

    def test_stopped_or_backward_clock_adds_no_retries(self):
        budget = RetryBudget()
        drain(budget, "drafting", 100.0)
        assert not budget.take_retry("drafting", 50.0)
        assert not budget.take_retry("drafting", 100.0)


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
    def test_decision_depends_on_the_attempt(self, changes, decision):
        found = RetryBudget().decide("drafting", attempt(**changes), 0.0)
        assert found is decision

    def test_only_retry_decisions_reduce_the_budget(self):
        budget = RetryBudget()
        for _ in range(50):
            budget.decide("drafting", attempt(repeatable=False), 0.0)
        assert budget.decide("drafting", attempt(), 0.0) is RetryDecision.RETRY
