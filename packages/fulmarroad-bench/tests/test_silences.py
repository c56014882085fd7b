"""Counting of streams in runs before engines that fall silent."""

import pytest

from fulmarroad_bench._silence_callers import End, ReceivedStream, plan_streams
from fulmarroad_bench._silence_counts import count_streams
from fulmarroad_bench._silence_engine import Run, event_bytes, whole_answer
from fulmarroad_bench.silences import form_names

WHOLE = whole_answer("s")


def received(end, ended_at=5.0, status=200):
    return ReceivedStream("s", end=end, status=status, ended_at=ended_at)


class TestPlannedStreams:
    def test_a_seed_always_gives_the_same_streams(self):
        """Guard against pairs of runs that differ in load."""
        streams = plan_streams(7, 9.0, 4)
        assert streams == plan_streams(7, 9.0, 4)
        assert streams != plan_streams(8, 9.0, 4)
        assert len({stream.id for stream in streams}) == len(streams)
        assert {stream.router for stream in streams} == {0, 1, 2, 3}


class TestEnds:
    @pytest.mark.parametrize(
        ("status", "body", "complete", "end"),
        [
            (200, WHOLE, True, End.WHOLE),
            (200, WHOLE + event_bytes("s", 24), True, End.WRONG),
            (200, WHOLE[len(event_bytes("s", 1)) :], True, End.WRONG),
            (200, whole_answer("other"), True, End.WRONG),
            (200, WHOLE, False, End.CUT),
            (504, b"", True, End.STATUS),
            (0, b"", False, End.CLOSED),
        ],
    )
    def test_an_answer_is_whole_only_with_exactly_its_events(
        self, status, body, complete, end
    ):
        """Guard against counting an answer with doubled or missing events as whole."""
        stream = ReceivedStream(
            "s", status=status, body=bytearray(body), complete=complete
        )
        assert stream.conclude() is end


class TestCounts:
    @pytest.mark.parametrize(
        ("end", "changes", "cut"),
        [
            (End.WHOLE, {"closed_at": 3.0}, 1),
            (End.CUT, {"closed_at": 6.0}, 1),
            (End.LEFT, {"closed_at": 4.0}, 1),
            (End.LEFT, {"closed_at": 5.1}, 0),
            (End.WHOLE, {"whole": True}, 0),
            (End.WHOLE, {"closed_at": 3.0, "stuck_after": 2}, 0),
            (End.WHOLE, {"closed_at": 3.0, "engine_lives": False}, 0),
        ],
    )
    def test_only_a_routers_own_close_at_a_sound_engine_counts_as_cut(
        self, end, changes, cut
    ):
        """Guard against counting cuts by callers that left, or at ended engines."""
        figures = count_streams([received(end)], [Run("s", **changes)])
        assert figures["cut_at_sound_engines"] == cut

    def test_each_stream_counts_once(self):
        ends = [End.WHOLE, End.CUT, End.CLOSED, End.LEFT, End.DEADLINE, End.WRONG]
        streams = [received(end) for end in ends] + [received(End.STATUS, status=504)]
        figures = count_streams(streams, [Run("s"), Run("s"), Run("other")])
        assert figures["nothing"] == 4
        assert figures["other_statuses"] == {"504": 1}
        assert figures["run_twice"] == 1
        counted = figures["whole"] + figures["nothing"] + figures["wrong"] + 1
        assert counted == figures["streams"] == 7


class TestForms:
    def test_an_unknown_form_is_named_before_anything_starts(self):
        with pytest.raises(SystemExit, match="'shrt'"):
            form_names(("calm", "shrt"))
