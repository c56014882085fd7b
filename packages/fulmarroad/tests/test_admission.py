"""Bounded queues: refusals come at once and small workspaces always find room."""

import math

import pytest

from fulmarroad.admission import Admission, LoadView
from fulmarroad.tables import Route, Workspace
from fulmarroad.types import RefusalReason

ROUTE = Route("drafts", "/v1/chat/completions", "drafting", max_wait_s=10.0)


def view(wait_s=1.0, servers=4, remaining_s=math.inf):
    return LoadView("drafting", wait_s, servers, remaining_s)


def fill(admission, workspace, count, now=0.0, seen=None):
    """Let a workspace ask `count` times; return how many were let in."""
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
    def test_what_cannot_be_met_is_refused_at_once(self, seen, reason):
        admission = Admission()
        refusal = admission.admit("r1", Workspace("coop"), ROUTE, seen, 0.0)
        assert refusal is not None
        assert refusal.reason is reason
        assert admission.waiting == 0

    def test_retry_after_is_when_the_wait_would_fit(self):
        refusal = Admission().admit(
            "r1", Workspace("coop"), ROUTE, view(wait_s=30.0), 0.0
        )
        assert 20.0 <= refusal.retry_after_s <= 30.0

    def test_callers_refused_together_do_not_return_together(self):
        # A pool is away for a minute and a thousand callers are refused within a
        # second. With one Retry-After for all they would come back as one burst.
        admission = Admission()
        times = [
            admission.admit(
                f"r{n}", Workspace("coop"), ROUTE, view(wait_s=30.0), 0.0
            ).retry_after_s
            for n in range(1000)
        ]
        buckets = [sum(20 + b <= t < 21 + b for t in times) for b in range(10)]
        assert max(buckets) < 150

    def test_an_unknown_wait_gives_a_finite_retry_after(self):
        refusal = Admission().admit(
            "r1", Workspace("coop"), ROUTE, view(wait_s=math.inf), 0.0
        )
        assert refusal.retry_after_s <= 120.0


class TestFlood:
    def test_one_workspace_meets_its_own_bound_first(self):
        # One workspace sends ten thousand requests in a second. The queue is shared,
        # so without bounds of their own the others would be refused for its load.
        admission = Admission(max_waiting=400)
        flooder = Workspace("large", max_waiting=10_000)
        assert fill(admission, flooder, 10_000) <= 200
        for n in range(15):
            assert fill(admission, Workspace(f"small-{n}"), 5) == 5

    def test_many_floods_leave_room_for_a_small_workspace(self):
        admission = Admission(max_waiting=400)
        for n in range(20):
            fill(admission, Workspace(f"large-{n}", max_waiting=10_000), 1000)
        assert fill(admission, Workspace("small"), 2) == 2

    def test_the_table_bound_holds(self):
        admission = Admission()
        assert fill(admission, Workspace("coop", max_waiting=3), 10) == 3

    def test_a_request_that_left_makes_room(self):
        admission = Admission()
        workspace = Workspace("coop", max_waiting=1)
        assert fill(admission, workspace, 2) == 1
        admission.leave("coop-0.0-0")
        admission.leave("coop-0.0-0")
        assert admission.waiting_of("coop") == 0
        assert fill(admission, workspace, 1, now=1.0) == 1


class TestShedding:
    def test_a_hopeless_request_goes_before_the_newcomer(self):
        # Servers were lost while callers with little time left waited. Keeping those,
        # who can't be served in time any more, would turn away one who can.
        admission = Admission()
        workspace = Workspace("coop", max_waiting=2)
        fill(admission, workspace, 2, seen=view(remaining_s=3.0))
        assert admission.admit("early", workspace, ROUTE, view(2.9), 0.5) is not None
        assert admission.admit("late", workspace, ROUTE, view(4.0), 1.0) is None
        assert admission.waiting_of("coop") == 2
        [(request_id, refusal)] = admission.shed(1.0)
        assert request_id == "coop-0.0-0"
        assert refusal.reason is RefusalReason.WAIT_TOO_LONG

    def test_given_up_requests_are_answered_at_once(self):
        # All servers of a pool turn cold and the wait grows to minutes. A caller that
        # is told only near its deadline has no time left to turn elsewhere.
        admission = Admission()
        fill(admission, Workspace("coop"), 3)
        admission.note_wait("drafting", 200.0)
        shed = admission.shed(0.5)
        assert len(shed) == 3
        assert {refusal.reason for _, refusal in shed} == {RefusalReason.WAIT_TOO_LONG}
        assert admission.waiting == 0
        assert admission.shed(0.5) == ()

    def test_a_wait_somewhat_longer_than_estimated_sheds_nothing(self):
        admission = Admission()
        fill(admission, Workspace("coop"), 3)
        admission.note_wait("drafting", 14.0)
        assert admission.shed(0.5) == ()

    def test_a_passed_deadline_is_shed(self):
        admission = Admission()
        fill(admission, Workspace("coop"), 1)
        [(_, refusal)] = admission.shed(10.0)
        assert refusal.reason is RefusalReason.DEADLINE_PASSED


class TestLoadShapes:
    """A queue served at a steady rate; what its callers get."""

    @staticmethod
    def play(arrivals, rate, seconds):
        """Serve `rate` requests a second; return waits of served, count refused."""
        admission = Admission()
        workspace = Workspace("coop", max_waiting=1000)
        queue, waits, refused = [], [], 0
        credit = 0.0
        for step in range(int(seconds * 10)):
            now = step / 10
            for n in range(arrivals(now)):
                seen = view(wait_s=len(queue) / rate)
                name = f"{step}-{n}"
                if admission.admit(name, workspace, ROUTE, seen, now):
                    refused += 1
                else:
                    queue.append((name, now))
            credit = min(credit + rate / 10, rate)
            while queue and credit >= 1:
                name, since = queue.pop(0)
                admission.leave(name)
                waits.append(now - since)
                credit -= 1
        return waits, refused

    def test_burst_is_absorbed(self):
        waits, refused = self.play(lambda now: 200 if now == 1 else 0, 50, 10)
        assert refused == 0
        assert len(waits) == 200
        assert max(waits) <= 5

    def test_saturation_refuses_the_excess_and_serves_the_rest_in_time(self):
        waits, refused = self.play(lambda now: 10, 50, 60)
        assert max(waits) <= ROUTE.max_wait_s + 0.5
        assert len(waits) >= 0.98 * 50 * 60
        assert refused > 0
