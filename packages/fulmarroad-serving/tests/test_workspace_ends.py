"""Tests of the outcomes of workspaces' calls as logged for operators."""

import json
import logging

import anyio
from attrs import evolve
from owner_bed import CALL, OwnerBed, make_dispatcher
from serving_bed import run

from fulmarroad.events import Event, emit
from fulmarroad_serving import Placement, SendOutcome
from fulmarroad_serving._budgets import ColdBudget
from fulmarroad_serving._owner_messages import PlacementRequest
from fulmarroad_serving._restarts import Contact
from fulmarroad_serving._saturation import FAR_TOO_LATE_S
from fulmarroad_serving._workspace_outcomes import (
    MAX_REPORTED,
    REPORT_INTERVAL_S,
    WorkspaceOutcomes,
)
from fulmarroad_serving.bounded_log import CALL_EVENTS, QUEUE_LINES, BoundedLog


class TestWorkspaceOutcomes:
    def test_a_refused_workspace_is_reported_with_all_its_outcomes(self):
        ends = WorkspaceOutcomes()
        for outcome in ("on_time", "late", "router_busy", "router_busy"):
            ends.note("large", outcome)
        ends.note("small", "on_time")
        (row,) = ends.pop_refusals(REPORT_INTERVAL_S)
        assert row.workspace == "large"
        assert row.ends == {"on_time": 1, "late": 1, "router_busy": 2}

    def test_each_call_is_reported_once_and_reports_are_a_second_apart(self):
        ends = WorkspaceOutcomes()
        ends.note("large", "wait_too_long")
        assert ends.pop_refusals(REPORT_INTERVAL_S)
        ends.note("large", "wait_too_long")
        assert not ends.pop_refusals(1.5 * REPORT_INTERVAL_S)
        assert ends.pop_refusals(2 * REPORT_INTERVAL_S)
        assert not ends.pop_refusals(4 * REPORT_INTERVAL_S)

    def test_only_the_workspaces_with_the_most_refusals_are_reported(self):
        ends = WorkspaceOutcomes()
        for number in range(2 * MAX_REPORTED):
            for _ in range(number + 1):
                ends.note(f"w{number}", "wait_too_long")
        reported = [row.workspace for row in ends.pop_refusals(REPORT_INTERVAL_S)]
        assert reported == [
            f"w{2 * MAX_REPORTED - 1 - rank}" for rank in range(MAX_REPORTED)
        ]


class TestPlacements:
    UNITS = round(CALL.units)

    def decided(self, dispatcher):
        (row,) = dispatcher.placements.pop_refusals(REPORT_INTERVAL_S)
        return dict(row.ends)

    def test_an_owner_counts_first_attempts_and_returns_apart(self):
        bed = OwnerBed()
        for _ in range(8):
            for number in range(3):
                name = f"drafting-{number}"
                bed.b.load(name).send(name, 60_000, bed.now)
        for number in (1, 2):
            request = PlacementRequest("a", 5, number, CALL, may_wait=False)
            bed.granter.receive_request(request, bed.now + number)
        assert self.decided(bed.b) == {
            "refused": self.UNITS,
            "return_refused": self.UNITS,
        }

    def test_a_place_that_was_not_used_is_told_apart_from_calls_that_were_sent(self):
        """Guard against owners that count places as service which callers never got."""

        async def test():
            bed = OwnerBed()
            placement = await bed.place()
            bed.client.abandon(placement.grant)
            bed.flush()
            assert self.decided(bed.b) == {
                "placed": self.UNITS,
                "given_back": self.UNITS,
            }

        anyio.run(test)

    def test_a_call_lost_with_its_server_is_counted(self):
        dispatcher = make_dispatcher("a")
        placement = dispatcher.place(CALL, 10.0)
        assert isinstance(placement, Placement)
        ticket = dispatcher.send(CALL, placement, 10.0)
        dispatcher.end(ticket, SendOutcome.UNKNOWN, 10.1)
        assert self.decided(dispatcher) == {"lost": self.UNITS}

    def test_a_router_counts_what_it_places_for_its_own_callers(self):
        async def test(bed):
            caller = await bed.call("/draft/1", method="POST", body=b"p")
            assert caller.status == 503
            (row,) = bed.dispatcher.placements.pop_refusals(bed.now())
            assert row.ends == {"refused": 1}

        run(test)


class TestLog:
    def test_lines_of_calls_do_not_displace_the_counts(self):
        """Guard against losing the counts of refused workspaces.

        A router refuses thousands of calls and drops their log lines. Without the
        counts, the log would not show which workspaces were refused.
        """
        written = []
        log = BoundedLog("router-a")
        log._write_pending = lambda: (
            written.append(log._unwritten),
            setattr(log, "_unwritten", b""),
        )
        logger = logging.Logger("test")
        logger.addHandler(log)
        for _ in range(QUEUE_LINES + 1):
            emit(logger, Event.REQUEST_REFUSED)
        emit(logger, Event.WORKSPACE_TURNED_AWAY, workspace="large")
        log.write(1)
        line = json.loads(written[0])
        assert line["event"] not in CALL_EVENTS
        assert line["workspace"] == "large"

    def test_calls_refused_by_a_busy_router_are_counted(self):
        async def test(bed):
            for _ in range(10):
                bed.lateness.note(FAR_TOO_LATE_S)
            await bed.call("/draft/1", method="POST", body=b"p")
            (row,) = bed.app.ends.pop_refusals(bed.now())
            assert (row.workspace, row.ends) == ("coop", {"router_busy": 1})

        run(test)


class TestRequestedShare:
    def test_what_a_busy_router_turns_away_counts_as_asked(self):
        """Guard against shares that ignore the demand at a busy router.

        One router receives all calls of a workspace and refuses most of them. If these
        were not counted, the fleet would underestimate what the workspace requests.
        """

        async def test(bed):
            for _ in range(10):
                bed.lateness.note(FAR_TOO_LATE_S)
            caller = await bed.call("/draft/1", method="POST", body=b"p")
            assert caller.status == 503
            assert bed.dispatcher.shares.own_counts(bed.now())["coop"].asked > 0

        run(test)


class TestRequests:
    def ended(self, bed):
        (row,) = bed.client.requests.pop_refusals(REPORT_INTERVAL_S)
        return dict(row.ends)

    def test_what_became_of_requests_is_counted_by_reason(self):
        """Guard against lost calls for which no line says that a place was not used."""

        async def test():
            bed = OwnerBed()
            bed.a.send(CALL, await bed.place(), bed.now)
            for row in bed.a.registry.rows():
                bed.a.registry.put(evolve(row.instance, draining=True), bed.now)
            await bed.place()
            bed.cut = True
            await bed.place()
            assert self.ended(bed) == {"sent": 1, "given_back_gone": 1, "no_reply": 1}

        anyio.run(test)


class TestServers:
    def test_servers_without_calls_are_counted_by_reason(self):
        """Guard against a router that closes servers to itself unseen."""
        dispatcher = make_dispatcher("a", warmup_rate=1.0)
        dispatcher.registry.suspect("drafting-0", Contact(8.0, 9.9), 10.0)
        dispatcher.registry.mark_cold("drafting-1", 5.0, 10.0)
        dispatcher.health("drafting-2").unreachable(10.0)
        service = dispatcher.settings.service("drafting")
        for server in ("drafting-0", "drafting-1"):
            dispatcher.servers.note_cold_call(server, service, ColdBudget.SHARE, 10.0)
        counts = dispatcher.servers.count_obstacles(service, 10.1)
        assert counts == {"suspect": 1, "cold": 1, "backoff": 1}
