"""Tests of what the kernel says about the delivery of requests."""

import socket

import pytest

from fulmarroad.delivery import (
    CloseMode,
    Delivery,
    RequestState,
    unacknowledged_bytes,
)

MORE_THAN_FITS = b"x" * 4_000_000


@pytest.fixture
def pair():
    """Return both ends of a TCP connection on loopback; the receiver's is small."""
    with socket.socket() as listener:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        sender = socket.create_connection(listener.getsockname())
        receiver, _ = listener.accept()
    sender.setblocking(False)
    with sender, receiver:
        yield sender, receiver


class SilentStack:
    """Socket of a network stack that fills nothing in."""

    def fileno(self):
        return -1

    def getsockopt(self, level, name, size, /):
        return bytes(size)


class ClosedSocket(SilentStack):
    """Closed socket of a network stack that answers queries about it all the same."""

    def getsockopt(self, level, name, size, /):
        return b"\1" * size


class TestUnacknowledgedBytes:
    def test_nothing_is_unacknowledged_on_a_new_connection(self, pair):
        assert unacknowledged_bytes(pair[0]) == 0

    def test_bytes_that_the_receiver_has_no_room_for_are_counted(self, pair):
        sender, receiver = pair
        written = sender.send(MORE_THAN_FITS)
        left = unacknowledged_bytes(sender)
        assert 0 < left <= written

    def test_it_is_unknown_for_a_closed_socket(self, pair):
        pair[0].close()
        assert unacknowledged_bytes(pair[0]) is None

    def test_it_is_unknown_for_a_closed_socket_that_answers_queries(self):
        """Guard against an internal error for each call whose connection broke."""
        assert unacknowledged_bytes(ClosedSocket()) is None

    def test_zeros_of_a_stack_that_does_not_say_are_not_believed(self):
        assert unacknowledged_bytes(SilentStack()) is None


class TestRequestState:
    @pytest.mark.parametrize(
        ("answered", "unacked_bytes", "delivery"),
        [
            (True, None, Delivery.ACKNOWLEDGED),
            (False, None, Delivery.UNKNOWN),
            (False, 0, Delivery.ACKNOWLEDGED),
            (False, 1, Delivery.UNACKNOWLEDGED),
        ],
    )
    def test_delivery(self, answered, unacked_bytes, delivery):
        state = RequestState(answered, 0.1, unacked_bytes, CloseMode.RESET)
        assert state.delivery is delivery
