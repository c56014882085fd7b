"""Tests of the packets between routers and the owners of servers."""

import math

import msgpack
import pytest
from attrs import evolve
from hypothesis import given, settings
from hypothesis import strategies as st

from fulmarroad.exceptions import MessageError
from fulmarroad.types import RefusalReason
from fulmarroad_serving import Demand, SendOutcome
from fulmarroad_serving._demands import ColdServers
from fulmarroad_serving._owner_exchange import is_owner_message
from fulmarroad_serving._owner_messages import (
    PlacementReply,
    PlacementRequest,
    ProgressNote,
    ProgressReport,
    ReplyKind,
    pack_progress,
    pack_reply,
    pack_request,
    read_progress,
    read_reply,
    read_request,
)
from fulmarroad_serving._reports import unpack

DEMAND = Demand("c-1", "drafting", "coop", 0.6, "part", 6_000, 2_000, 50, 0.25, 1)
COLD = ColdServers(("e4",), ("e5", "e6"))
REQUEST = PlacementRequest("r1", 5, 9, DEMAND, ("e1",), False, ("r2",), COLD, ("e7",))
REPLY = PlacementReply(
    "r2",
    6,
    9,
    ReplyKind.GRANTED,
    "e2",
    "e3",
    2_000,
    0.1,
    0.06,
    True,
    2,
    70_000.0,
    cold_granted=True,
    may_open=True,
)
REFUSED = PlacementReply(
    "r2",
    6,
    9,
    ReplyKind.REFUSED,
    reason=RefusalReason.NO_SERVERS,
    retry_after_s=0.9,
)
PROGRESS = ProgressReport(
    "r1",
    5,
    (
        ProgressNote(9, True),
        ProgressNote(8, False, True, SendOutcome.NOT_RUN),
        ProgressNote(7, False, True, unused=True),
    ),
    (9, 10),
)

READERS = (read_request, read_reply, read_progress)


class TestPackets:
    @pytest.mark.parametrize(
        ("message", "pack", "read"),
        [
            (REQUEST, pack_request, read_request),
            (REPLY, pack_reply, read_reply),
            (REFUSED, pack_reply, read_reply),
            (PROGRESS, pack_progress, read_progress),
        ],
    )
    def test_a_message_is_read_as_it_was_written(self, message, pack, read):
        row = unpack(pack(message))
        assert is_owner_message(row)
        assert read(row) == message

    def test_packets_of_the_previous_release_are_read(self):
        """Guard against a fleet whose routers refuse each other's packets while it is
        being upgraded."""
        request = read_request(unpack(pack_request(REQUEST))[:19])
        assert request.cold == ColdServers(("e4",))
        reply = read_reply(unpack(pack_reply(REPLY))[:15])
        assert not reply.cold_granted
        assert not reply.may_open
        report = read_progress(unpack(pack_progress(PROGRESS))[:5])
        assert not any(note.unused for note in report.notes)

    def test_a_report_is_no_owner_message(self):
        assert not is_owner_message([1, "r1"])
        assert not is_owner_message("text")
        assert not is_owner_message([])

    @pytest.mark.parametrize("read", READERS)
    @given(
        row=st.recursive(
            st.none()
            | st.integers(-(2**63), 2**63)
            | st.text(max_size=3)
            | st.floats(),
            lambda rows: st.lists(rows, max_size=17),
            max_leaves=30,
        )
    )
    @settings(derandomize=True, max_examples=150, deadline=None)
    def test_a_malformed_packet_is_rejected(self, read, row):
        """A router of another release, or a fault, sends a packet of another form. An
        error of another type would end the task that reads all packets.
        """
        data = msgpack.packb([3, row] if not isinstance(row, list) else [3, *row])
        try:
            read(unpack(data))
        except MessageError:
            pass


class TestDeadlines:
    def test_a_request_without_a_deadline_reaches_the_owner(self):
        """Guard against calls that leave a silent server and find no other place."""
        request = evolve(REQUEST, remaining_s=math.inf)
        row = unpack(pack_request(request))
        assert read_request(row).remaining_s > 1e9
        row[21] = math.inf
        assert read_request(row).remaining_s > 1e9
