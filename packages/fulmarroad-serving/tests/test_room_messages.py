"""Tests of the room of owners in replies, reports and digests."""

import msgpack
import pytest
from attrs import evolve
from fleet_bed import FleetBed

from fulmarroad.exceptions import MessageError
from fulmarroad_serving._digests import Digest, ReportSum, pack_digest, read_digest
from fulmarroad_serving._owner_messages import (
    PlacementReply,
    ReplyKind,
    pack_reply,
    read_reply,
)
from fulmarroad_serving._reports import PeerReport, pack_report, read_report

REPLY = PlacementReply("r2", 6, 9, ReplyKind.REFUSED, room=28_500)
REPORT = PeerReport("r2", 1, 3, "fes", "h2", False, 0, 0.1, 60.0, room=28_500)
ROOMS = ((7, 28_500, 0.15), (4_000_000_000, 0, 0.0))
DIGEST = Digest("r2", "", ReportSum({}, 0.0, {}, {}), rooms=ROOMS)


class TestFormats:
    def test_rooms_are_read_as_written(self):
        assert read_reply(msgpack.unpackb(pack_reply(REPLY))) == REPLY
        assert read_report(msgpack.unpackb(pack_report(REPORT))) == REPORT
        assert read_digest(msgpack.unpackb(pack_digest(DIGEST))) == DIGEST

    def test_packets_of_the_previous_release_state_no_room(self):
        """Guard against a fleet that splits while it is updated."""
        assert read_reply(msgpack.unpackb(pack_reply(REPLY))[:17]).room == 0
        assert read_report(msgpack.unpackb(pack_report(REPORT))[:19]).room == 0
        assert read_digest(msgpack.unpackb(pack_digest(DIGEST))[:12]).rooms == ()

    def test_a_wrong_room_is_rejected(self):
        row = msgpack.unpackb(pack_digest(DIGEST))
        with pytest.raises(MessageError):
            read_digest([*row[:13], [1, 2]])
        with pytest.raises(MessageError):
            read_report([*msgpack.unpackb(pack_report(REPORT))[:20], "much"])

    def test_rooms_take_little_space_in_a_digest(self):
        """Guard against digests that grow with the owners: sixty routers get several a
        second, each with the rooms of fourteen owners.
        """
        rooms = tuple((2**32 - n, 30_000, 0.2) for n in range(1, 15))
        without = len(pack_digest(evolve(DIGEST, rooms=())))
        assert len(pack_digest(evolve(DIGEST, rooms=rooms))) - without <= 14 * 10


class RoomFleet(FleetBed):
    """A fleet in which routers with a room own engines."""

    rooms = {"h3": 30_000, "h4": 12_000}

    def report(self, host):
        room = self.rooms.get(host, 0)
        self.routers[host].dispatcher.rooms.note(f"r{host[1:]}", room, self.now)
        return evolve(super().report(host), room=room)


def heard(fleet, name):
    """Return what each other router believes of an owner's room."""
    others = [row for row in fleet.routers.values() if row.host != f"h{name[1:]}"]
    return {row.dispatcher.rooms.room(name, fleet.now) for row in others}


class TestFleets:
    @pytest.mark.parametrize("size", [8, 40])
    def test_all_routers_hear_of_rooms(self, size):
        """Guard against rooms that only collectors hear of in a large fleet."""
        fleet = RoomFleet(size)
        fleet.run(3.0)
        assert heard(fleet, "r3") == {30_000}
        assert heard(fleet, "r4") == {12_000}

    def test_a_change_is_heard_everywhere(self):
        """Guard against a collector that relays an old room as a new one."""
        fleet = RoomFleet(40)
        fleet.run(3.0)
        fleet.rooms = {"h3": 0, "h4": 45_000}
        fleet.run(0.45)
        assert heard(fleet, "r3") == {0}
        assert heard(fleet, "r4") == {45_000}

    def test_the_room_of_a_lost_owner_is_forgotten(self):
        fleet = RoomFleet(40)
        fleet.run(3.0)
        fleet.routers["h3"].alive = False
        fleet.run(0.9)
        assert heard(fleet, "r3") == {0}

    def test_lost_packets_leave_routers_informed(self):
        fleet = RoomFleet(40, loss=0.1)
        fleet.run(3.0)
        assert heard(fleet, "r3") == {30_000}

    def test_routers_without_engines_take_no_space(self):
        fleet = RoomFleet(40)
        fleet.run(3.0)
        rows = fleet.routers["h0"].dispatcher.rooms.rows(fleet.now)
        assert {row.owner for row in rows} == {"r3", "r4"}
