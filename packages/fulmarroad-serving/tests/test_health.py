"""Tests of a server's failure rate at routers with few and with many of its calls."""

import random

from fulmarroad_serving._health import ServerHealth


def record(health, calls_per_s, failing, seconds, seed=1):
    """Record outcomes and return the fraction of the time with a penalty."""
    source = random.Random(seed)
    now, penalized, calls = 100.0, 0, int(calls_per_s * seconds)
    for _ in range(calls):
        now += 1.0 / calls_per_s
        if source.random() < failing:
            health.record_failure(now)
        else:
            health.record_success(now)
        penalized += health.penalty_s(now) > 0
    return penalized / calls


class TestManyCalls:
    def test_a_service_that_fails_a_tenth_of_its_calls_is_not_avoided(self):
        """All calls to a server are placed by one router, and a tenth of them fails as
        always. After two failures in a row the whole fleet avoided the server for
        seconds, and calls were refused while it idled.
        """
        assert record(ServerHealth(), 30.0, 0.1, 60.0) < 0.02

    def test_a_server_that_fails_half_of_its_calls_is_avoided(self):
        assert record(ServerHealth(), 30.0, 0.5, 60.0) > 0.9

    def test_three_failures_suffice_at_a_router_with_few_calls(self):
        health = ServerHealth()
        for number in range(3):
            health.record_failure(100.0 + number)
        assert health.penalty_s(102.0) > 0.3
