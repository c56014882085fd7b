"""How the calls of workspaces end at a router, as told to operators."""

import json
import logging

from serving_bed import run

from fulmarroad.events import Event, emit
from fulmarroad_serving._saturation import FAR_TOO_LATE_S
from fulmarroad_serving._workspace_outcomes import (
    MAX_REPORTED,
    REPORT_INTERVAL_S,
    WorkspaceOutcomes,
)
from fulmarroad_serving.bounded_log import CALL_EVENTS, QUEUE_LINES, BoundedLog


class TestWorkspaceEnds:
    def test_who_was_refused_is_told_with_all_its_calls(self):
        ends = WorkspaceOutcomes()
        for outcome in ("on_time", "late", "router_busy", "router_busy"):
            ends.note("large", outcome)
        ends.note("small", "on_time")
        (row,) = ends.pop_refusals(REPORT_INTERVAL_S)
        assert row.workspace == "large"
        assert row.ends == {"on_time": 1, "late": 1, "router_busy": 2}

    def test_each_call_is_told_once_and_not_more_often_than_each_second(self):
        ends = WorkspaceOutcomes()
        ends.note("large", "wait_too_long")
        assert ends.pop_refusals(REPORT_INTERVAL_S)
        ends.note("large", "wait_too_long")
        assert not ends.pop_refusals(1.5 * REPORT_INTERVAL_S)
        assert ends.pop_refusals(2 * REPORT_INTERVAL_S)
        assert not ends.pop_refusals(4 * REPORT_INTERVAL_S)

    def test_the_most_refused_come_first_and_the_rest_is_left_out(self):
        ends = WorkspaceOutcomes()
        for number in range(2 * MAX_REPORTED):
            for _ in range(number + 1):
                ends.note(f"w{number}", "wait_too_long")
        told = [row.workspace for row in ends.pop_refusals(REPORT_INTERVAL_S)]
        assert told == [
            f"w{2 * MAX_REPORTED - 1 - rank}" for rank in range(MAX_REPORTED)
        ]


class TestSight:
    def test_the_lines_of_calls_do_not_push_it_out(self):
        """A router refuses thousands of calls; their lines are dropped, and nobody can
        tell afterwards whose they were.
        """
        written = []
        log = BoundedLog("router-a")
        log._push = lambda: (written.append(log._rest), setattr(log, "_rest", b""))
        logger = logging.Logger("test")
        logger.addHandler(log)
        for _ in range(QUEUE_LINES + 1):
            emit(logger, Event.REQUEST_REFUSED)
        emit(logger, Event.WORKSPACE_TURNED_AWAY, workspace="large")
        log.write(1)
        line = json.loads(written[0])
        assert line["event"] not in CALL_EVENTS
        assert line["workspace"] == "large"

    def test_calls_turned_away_by_a_busy_router_are_counted(self):
        async def test(bed):
            for _ in range(10):
                bed.lateness.note(FAR_TOO_LATE_S)
            await bed.call("/draft/1", method="POST", body=b"p")
            (row,) = bed.app.ends.pop_refusals(bed.now())
            assert (row.workspace, row.ends) == ("coop", {"router_busy": 1})

        run(test)


class TestAsked:
    def test_what_a_busy_router_turns_away_counts_as_asked(self):
        """One router has all calls of a workspace and turns most of them away. Not
        counted, they leave the fleet thinking that the workspace wants no more.
        """

        async def test(bed):
            for _ in range(10):
                bed.lateness.note(FAR_TOO_LATE_S)
            caller = await bed.call("/draft/1", method="POST", body=b"p")
            assert caller.status == 503
            assert bed.dispatcher.shares.own_counts(bed.now())["coop"].asked > 0

        run(test)
