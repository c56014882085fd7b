"""Queues are bounded: refusals are immediate and small workspaces can always queue."""

import math

import pytest

from fulmarroad.admission import Admission, LoadView
from fulmarroad.tables import Route, Workspace
from fulmarroad.types import RefusalReason

ROUTE = Route("drafts", "/v1/chat/completions", "drafting", max_wait_s=10.0)


def view(wait_s=1.0, servers=4, remaining_s=math.inf):
    return LoadView("drafting", wait_s, servers, remaining_s)


def submit(admission, workspace, count, now=0.0, seen=None):
    """Submit `count` requests of a workspace; return how many were admitted."""
    refusals = [
        admission.admit(
            f"{workspace.name}-{now}-{n}", workspace, ROUTE, seen or view(), now
        )
        for n in range(count)
    ]
    return refusals.count(None)


class TestRefusals:
    @pytest.mark.parametrize(
        ("seen", "reason"),
        [
            (view(servers=0), RefusalReason.NO_SERVERS),
            (view(wait_s=10.5), RefusalReason.WAIT_TOO_LONG),
            (view(wait_s=2.0, remaining_s=1.0), RefusalReason.WAIT_TOO_LONG),
            (view(remaining_s=0.0), RefusalReason.DEADLINE_PASSED),
        ],
    )
    def test_refuses_at_once_when_the_wait_exceeds_the_time_limit(self, seen, reason):
        admission = Admission()
        refusal = admission.admit("r1", Workspace("coop"), ROUTE, seen, 0.0)
        assert refusal is not None
        assert refusal.reason is reason
        assert admission.waiting == 0

    def test_retry_after_covers_the_excess_wait(self):
        refusal = Admission().admit(
            "r1", Workspace("coop"), ROUTE, view(wait_s=30.0), 0.0
        )
        assert 20.0 <= refusal.retry_after_s <= 30.0

    def test_retry_after_is_spread_over_callers_refused_together(self):
        # A pool is down for a minute and a thousand callers are refused within a
        # second. With the same Retry-After they would all retry in one burst.
        admission = Admission()
        times = [
            admission.admit(
                f"r{n}", Workspace("coop"), ROUTE, view(wait_s=30.0), 0.0
            ).retry_after_s
            for n in range(1000)
        ]
        per_second = [sum(20 + b <= t < 21 + b for t in times) for b in range(10)]
        assert max(per_second) < 150

    def test_retry_after_is_finite_for_an_infinite_wait(self):
        refusal = Admission().admit(
            "r1", Workspace("coop"), ROUTE, view(wait_s=math.inf), 0.0
        )
        assert refusal.retry_after_s <= 120.0


class TestFlood:
    def test_flood_reaches_its_workspace_limit_before_the_queue_is_full(self):
        # One workspace sends ten thousand requests in a second. Without a limit per
        # workspace it would fill the shared queue, and the others would be refused
        # because of its load.
        admission = Admission(max_waiting=400)
        flooding = Workspace("large", max_waiting=10_000)
        assert submit(admission, flooding, 10_000) <= 200
        for n in range(15):
            assert submit(admission, Workspace(f"small-{n}"), 5) == 5

    def test_small_workspace_is_admitted_during_many_floods(self):
        admission = Admission(max_waiting=400)
        for n in range(20):
            submit(admission, Workspace(f"large-{n}", max_waiting=10_000), 1000)
        assert submit(admission, Workspace("small"), 2) == 2

    def test_max_waiting_of_the_workspace_limits_its_queue(self):
        admission = Admission()
        assert submit(admission, Workspace("coop", max_waiting=3), 10) == 3

    def test_leave_frees_a_place_once(self):
        admission = Admission()
        workspace = Workspace("coop", max_waiting=1)
        assert submit(admission, workspace, 2) == 1
        admission.leave("coop-0.0-0")
        admission.leave("coop-0.0-0")
        assert admission.waiting_in("coop") == 0
        assert submit(admission, workspace, 1, now=1.0) == 1


class TestShedding:
    def test_request_that_will_miss_its_deadline_is_shed_for_a_new_one(self):
        # Servers were lost while callers with little time left waited. Keeping these
        # requests, which can't be served in time any more, would refuse one that can.
        admission = Admission()
        workspace = Workspace("coop", max_waiting=2)
        submit(admission, workspace, 2, seen=view(remaining_s=3.0))
        assert admission.admit("early", workspace, ROUTE, view(2.9), 0.5) is not None
        assert admission.admit("late", workspace, ROUTE, view(4.0), 1.0) is None
        assert admission.waiting_in("coop") == 2
        [(request_id, refusal)] = admission.shed(1.0)
        assert request_id == "coop-0.0-0"
        assert refusal.reason is RefusalReason.WAIT_TOO_LONG

    def test_shed_returns_requests_that_will_miss_their_deadlines(self):
        # All servers of a pool turn cold and the wait grows to minutes. A caller that
        # is refused only near its deadline has no time left to use another service.
        admission = Admission()
        submit(admission, Workspace("coop"), 3)
        admission.set_estimated_wait("drafting", 200.0)
        shed = admission.shed(0.5)
        assert len(shed) == 3
        assert {refusal.reason for _, refusal in shed} == {RefusalReason.WAIT_TOO_LONG}
        assert admission.waiting == 0
        assert admission.shed(0.5) == ()

    def test_slightly_longer_wait_sheds_nothing(self):
        admission = Admission()
        submit(admission, Workspace("coop"), 3)
        admission.set_estimated_wait("drafting", 14.0)
        assert admission.shed(0.5) == ()

    def test_request_past_its_deadline_is_shed(self):
        admission = Admission()
        submit(admission, Workspace("coop"), 1)
        [(_, refusal)] = admission.shed(10.0)
        assert refusal.reason is RefusalReason.DEADLINE_PASSED


class TestLoadPatterns:
    """Simulate a queue that is served at a steady rate."""

    @staticmethod
    def simulate(arrivals, rate, seconds):
        """Serve `rate` requests a second; return served waits and number refused."""
        admission = Admission()
        workspace = Workspace("coop", max_waiting=1000)
        queue, waits, refused = [], [], 0
        service_credit = 0.0
        for step in range(int(seconds * 10)):
            now = step / 10
            for n in range(arrivals(now)):
                seen = view(wait_s=len(queue) / rate)
                name = f"{step}-{n}"
                if admission.admit(name, workspace, ROUTE, seen, now):
                    refused += 1
                else:
                    queue.append((name, now))
            service_credit = min(service_credit + rate / 10, rate)
            while queue and service_credit >= 1:
                name, since = queue.pop(0)
                admission.leave(name)
                waits.append(now - since)
                service_credit -= 1
        return waits, refused

    def test_burst_is_served_without_refusals(self):
        waits, refused = self.simulate(lambda now: 200 if now == 1 else 0, 50, 10)
        assert refused == 0
        assert len(waits) == 200
        assert max(waits) <= 5

    def test_saturation_refuses_the_excess_and_serves_the_rest_in_time(self):
        waits, refused = self.simulate(lambda now: 10, 50, 60)
        assert max(waits) <= ROUTE.max_wait_s + 0.5
        assert len(waits) >= 0.98 * 50 * 60
        assert refused > 0
