"""Versions of which servers left or started again lately."""

from fulmarroad_serving import Instance
from fulmarroad_serving.streams._departures import ServerDepartures
from fulmarroad_serving.streams._records import StreamOrigin

V1, V2 = StreamOrigin("drafting", "v1"), StreamOrigin("drafting", "v2")


def entry(version="v1", started_ms=5, name="a"):
    return Instance(
        name, "drafting", "h", 1, "c", 8, started_ms=started_ms, version=version
    )


class TestDepartures:
    def setup_method(self):
        self.now = 100.0
        self.departures = ServerDepartures(lambda: self.now - 90.0, lambda: self.now)
        self.departures.note_entry(entry())
        self.departures.note_history(20.0, ())

    def test_heartbeats_are_no_departures(self):
        self.departures.note_entry(entry())
        assert self.departures.within(9.0) == frozenset()

    def test_a_server_that_left_counts_for_as_long_as_its_streams(self):
        self.departures.note_removed("a")
        self.departures.note_removed("unknown")
        assert self.departures.within(9.0) == {V1}
        self.now += 10.0
        assert self.departures.within(9.0) == {V1}
        self.now += 10.0
        assert self.departures.within(9.0) == frozenset()

    def test_another_start_under_the_same_id_ends_the_one_before(self):
        """Guard against a server that has forgotten its streams, and seems to be the
        one that never ran them.
        """
        self.departures.note_entry(entry("v2", 6))
        assert self.departures.within(9.0) == {V1}
        self.departures.note_entry(entry("v2", 7))
        assert self.departures.within(9.0) == {V1, V2}

    def test_what_left_before_the_start_is_known_from_the_history_alone(self):
        """Guard against an extended watch that is taken for one that saw who left."""
        departures = ServerDepartures(lambda: 90.0, lambda: self.now)
        assert departures.within(9.0) is None
        departures.note_history(9.0, [V2])
        assert departures.within(9.0) == {V2}

    def test_before_the_watch_began_it_is_not_known(self):
        assert self.departures.within(10.1) is None
