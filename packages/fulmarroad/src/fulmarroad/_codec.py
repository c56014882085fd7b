"""Msgpack codec for typed messages, with validation of received frames."""

from __future__ import annotations

import enum
from typing import Any, TypeVar

import msgpack
from attrs import astuple, fields, has
from cattrs.gen import make_dict_structure_fn, make_dict_unstructure_fn, override
from cattrs.preconf.msgpack import make_converter

from fulmarroad import _messages as m
from fulmarroad import types
from fulmarroad.exceptions import MessageError
from fulmarroad.types import MemberState

MAX_MESSAGE_BYTES = 4 * 1024 * 1024
"""Largest frame in bytes; a larger one is rejected before it is decoded.

Without a limit one faulty peer could fill the memory of a small VM. Tables are the
largest messages, and their parts are below 1 MB.
"""

T = TypeVar("T")

# A tag must never change its meaning: routers of two releases exchange messages.
_TAGS: dict[int, type] = {
    1: m.Hello,
    2: m.Demand,
    3: m.Withdraw,
    4: m.Lend,
    5: m.Started,
    6: m.Progress,
    7: m.Finished,
    8: m.Goodbye,
    20: m.Welcome,
    21: m.Grant,
    22: m.Move,
    23: m.Refuse,
    24: m.Heartbeat,
    25: m.StepDown,
    40: m.ServiceReport,
    50: m.TablesRequest,
    51: m.TablesReply,
    60: m.KeyRecorded,
    61: m.KeyStart,
    62: m.KeyFence,
    63: m.KeyFinish,
    64: m.KeyCopyRequest,
    65: m.KeyCopyReply,
    80: m.Ping,
    81: m.PingRequest,
    82: m.Ack,
    83: m.MembersRequest,
    84: m.MembersReply,
}
_TAG_OF = {cls: tag for tag, cls in _TAGS.items()}

_converter = make_converter(forbid_extra_keys=False)


def _check_number(value: Any, cls: Any) -> Any:
    if type(value) is cls or (cls is float and type(value) is int):
        return cls(value)
    raise ValueError(f"{value!r} is no {cls.__name__}")


def _check_text(value: Any, _: type) -> str:
    if type(value) is str:
        return value
    raise ValueError(f"{value!r} is no text")


# By default cattrs converts "3" to 3 and 3 to "3", which would hide a faulty peer.
_converter.register_structure_hook(int, _check_number)
_converter.register_structure_hook(float, _check_number)
_converter.register_structure_hook(bool, _check_number)
_converter.register_structure_hook(str, _check_text)
# The hook for str also matches the string enums of `types`, and would return str.
for _type in vars(types).values():
    if isinstance(_type, enum.EnumType):
        _converter.register_structure_hook(_type, lambda value, cls: cls(value))


def _short_names(cls: type) -> dict[str, Any]:
    return {
        attribute.name: override(rename=chr(ord("a") + index))
        for index, attribute in enumerate(fields(cls))
    }


def _pack(cls: type) -> Any:
    return make_dict_unstructure_fn(
        cls, _converter, _cattrs_omit_if_default=True, **_short_names(cls)
    )


def _unpack(cls: type) -> Any:
    return make_dict_structure_fn(cls, _converter, **_short_names(cls))


# A field is encoded as the letter of its position, and default values are omitted:
# field names took two thirds of the control traffic. New fields must therefore be added
# at the end, with a default; a release that doesn't know a field ignores it.
_converter.register_unstructure_hook_factory(has, _pack)
_converter.register_structure_hook_factory(has, _unpack)

MAX_INCARNATION = 2**53
"""Upper bound of incarnations: milliseconds since 1970 plus a few refutations.

Without it, a faulty peer could claim 2**64 for a VM, which could not refute that with a
higher incarnation.
"""


def _pack_member(update: m.MemberUpdate) -> list[Any]:
    # As a map, field names would take half of each membership packet.
    return list(astuple(update))


def _unpack_member(row: Any, _: type) -> m.MemberUpdate:
    router, incarnation, state, centre, host, peer_port, gossip_port = row[:7]
    if not 0 <= _check_number(incarnation, int) < MAX_INCARNATION:
        raise ValueError(f"{incarnation!r} is no incarnation")
    return m.MemberUpdate(
        _check_text(router, str),
        incarnation,
        MemberState(state),
        _check_text(centre, str),
        _check_text(host, str),
        _check_number(peer_port, int),
        _check_number(gossip_port, int),
    )


_converter.register_unstructure_hook(m.MemberUpdate, _pack_member)
_converter.register_structure_hook(m.MemberUpdate, _unpack_member)


def encode(*messages: Any) -> bytes:
    """Return one frame that holds the messages in order."""
    frame = [
        (_TAG_OF[type(message)], _converter.unstructure(message))
        for message in messages
    ]
    return msgpack.packb(frame, use_bin_type=True)


def decode(frame: bytes) -> tuple[Any, ...]:
    """Return the messages of a frame.

    Raise `MessageError` for anything that `encode` could not have produced.
    """
    if len(frame) > MAX_MESSAGE_BYTES:
        raise MessageError(f"A frame of {len(frame)} bytes is too large.")
    try:
        rows = msgpack.unpackb(frame, raw=False, strict_map_key=True)
        return tuple(_decode_message(row) for row in rows)
    except MessageError:
        raise
    except Exception as error:
        raise MessageError(f"A frame could not be read: {error}") from error


def decode_one(frame: bytes, cls: type[T]) -> T:
    """Return the only message of a frame, which must be of type `cls`.

    Raise `MessageError` if there are several or it is of another type.
    """
    messages = decode(frame)
    if len(messages) != 1 or not isinstance(messages[0], cls):
        raise MessageError(f"Expected one {cls.__name__}.")
    return messages[0]


def _decode_message(tagged: Any) -> Any:
    tag, payload = tagged
    cls = _TAGS.get(tag)
    if cls is None:
        raise MessageError(f"No message has the tag {tag!r}.")
    if not isinstance(payload, dict):
        raise MessageError(f"The payload of {cls.__name__} is no map.")
    return _converter.structure(payload, cls)
