"""Tests of the load estimate and of the learned speed of an engine."""

import pytest

from fulmarroad_serving._load import PEER_FRESH_S, READ_RATE, PeerLoad, ServerLoad


class TestQueue:
    def test_waiting_prompts_count_until_they_begin(self):
        load = ServerLoad()
        charge = load.send("s", 9_000, 0.0)
        assert load.wait_s(128, 0.0) == pytest.approx(9_000 / READ_RATE)
        load.begin(charge, 0.1)
        assert load.wait_s(128, 0.1) == 0.0
        load.end(charge)
        assert load.total_running(0.1) == 0

    def test_a_call_that_ends_before_it_begins_is_removed(self):
        load = ServerLoad()
        load.end(load.send("s", 9_000, 0.0))
        assert (load.running, load.waiting_tokens) == (0, 0)

    def test_a_call_to_an_earlier_run_of_a_server_is_not_subtracted(self):
        """A server crashes and restarts before its router notices the end of all calls.
        Subtracted from the new run's load, they make it seem less busy than idle.
        """
        before, after = ServerLoad(), ServerLoad()
        charge = before.send("s", 9_000, 0.0)
        after.send("s", 1_000, 0.1)
        after.begin(charge, 0.2)
        after.end(charge)
        assert (after.running, after.waiting_tokens) == (1, 1_000)

    def test_peer_load_decreases_with_the_age_of_its_report(self):
        """Two routers send long prompts to the same idle engine at once. Without the
        other's report each would consider it idle, and both prompts would be late.
        """
        load = ServerLoad()
        load.receive_load("router-b", PeerLoad(3, 20_000), 0.0)
        assert load.total_waiting(0.0) == 20_000
        assert 0 < load.total_waiting(0.1) < 20_000
        assert load.total_running(0.1) == 3
        assert load.total_running(PEER_FRESH_S) == 0

    def test_wait_of_a_full_engine_includes_a_penalty(self):
        load = ServerLoad()
        for _ in range(8):
            load.begin(load.send("s", 0, 0.0), 0.1)
        assert load.wait_s(8, 0.2) >= 1.0
        assert load.wait_s(9, 0.2) < 1.0


class TestLearning:
    def test_learns_the_speed_of_a_slow_engine(self):
        """One engine of a pool runs at a quarter of its speed. With a fixed estimate it
        would get as many calls as the others.
        """
        load, now = ServerLoad(), 0.0
        for _ in range(20):
            charge = load.send("s", 9_000, now)
            now += 0.4
            load.begin(charge, now)
            load.end(charge)
        assert load.read_rate < READ_RATE / 2

    def test_one_wrong_cache_assumption_changes_the_speed_little(self):
        load = ServerLoad()
        charge = load.send("s", 17_000, 0.0)
        load.begin(charge, 0.03)
        assert load.read_rate < 1.2 * READ_RATE


class TestOverdue:
    def test_a_server_that_never_answers_becomes_overdue(self):
        """A server accepts calls and never answers, so none fails before its deadline
        and the server has the shortest queue. All calls would be sent there.
        """
        load = ServerLoad()
        charge = load.send("s", 0, 0.0, 0.1)
        load.send("s", 0, 0.4, 0.1)
        assert load.overdue_s(0.5) == 0.0
        assert load.overdue_s(1.0) == pytest.approx(0.45)
        load.end(charge)
        assert load.overdue_s(0.9) == 0.0
