"""Encoding and decoding of messages, and rejection of invalid frames."""

import msgpack
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from fulmarroad import messages
from fulmarroad.exceptions import MessageError
from fulmarroad.types import Epoch, Outcome, ShardId, Unit

SHARD = ShardId("drafting", "fes-1", 0)
EPOCH = Epoch("router-a", 17, 2)


class TestCodec:
    @pytest.mark.parametrize(
        "message",
        [
            messages.Demand(SHARD, "d1", "coop", 1.0, 100.0, 0.5, 20.0, (1, 2)),
            messages.Hello(SHARD, "router-a", 17, "fes-1", 3.5),
            messages.Grant(SHARD, EPOCH, "l1", "d1", Unit("s1", 3), 3.5, 1.0),
            messages.Finished(SHARD, "l1", Outcome.COMPLETED, 12.5, 0.2, None),
            messages.TablesReply(3, b"manifest", {"ab": b"\x00\xff"}),
        ],
    )
    def test_decoded_message_equals_the_encoded_one(self, message):
        [received] = messages.decode(messages.encode(message))
        assert received == message
        # A str equals a string enum of the same value; only their repr differs.
        assert repr(received) == repr(message)

    def test_keeps_the_order_of_messages(self):
        sent = (
            messages.Started(SHARD, "l1"),
            messages.Progress(SHARD, (messages.ServiceUsed("l1", 4.0),)),
        )
        assert messages.decode(messages.encode(*sent)) == sent

    def test_ignores_fields_of_a_later_release(self):
        # During a rolling replacement, routers of two releases exchange messages.
        [[tag, payload]] = msgpack.unpackb(
            messages.encode(messages.Started(SHARD, "l1"))
        )
        payload["z"] = 1
        frame = msgpack.packb([[tag, payload]])
        assert messages.decode(frame) == (messages.Started(SHARD, "l1"),)

    @pytest.mark.parametrize(
        "frame",
        [
            b"",
            b"\xc1",
            msgpack.packb(7),
            msgpack.packb([[9999, {}]]),
            msgpack.packb([[5, {"a": "x", "b": "l"}]]),
            msgpack.packb([[5, []]]),
            msgpack.packb([[8, {"a": {"a": "p", "b": "c", "c": 0}, "b": 7}]]),
            b"\x00" * (messages.MAX_MESSAGE_BYTES + 1),
        ],
    )
    def test_rejects_invalid_frames(self, frame):
        with pytest.raises(MessageError):
            messages.decode(frame)

    @settings(derandomize=True, max_examples=200)
    @given(st.binary(max_size=200))
    def test_raises_only_message_errors(self, frame):
        outcome = None
        try:
            outcome = messages.decode(frame)
        except MessageError as error:
            outcome = error.message
        assert outcome is not None
