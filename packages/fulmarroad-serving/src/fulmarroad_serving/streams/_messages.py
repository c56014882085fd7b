"""Encode the messages by which routers keep records of streams for each other.

Each fits into one UDP packet. Several routers keep each record, and a lookup that is
not answered is sent again, so that one lost packet does no harm.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from typing import Any

import msgpack
from attrs import frozen

from fulmarroad.exceptions import MessageError
from fulmarroad.types import RouterName
from fulmarroad_serving._catalog import ServiceName
from fulmarroad_serving._positions import Position, era_of, position, revision_of
from fulmarroad_serving.decoding import DECODE_ERRORS, read_float, read_int
from fulmarroad_serving.streams._records import (
    KEY_BYTES,
    MAX_LIFE_S,
    StreamKey,
    StreamOrigin,
)
from fulmarroad_serving.streams._views import Confirmation, VersionView

RECORDS_FORMAT = 6
LOOKUP_FORMAT = 7
FINDING_FORMAT = 8
"""First fields of the packets; the other packets have other values there."""

MAX_RECORDS_PER_PACKET = 24
"""Maximum number of records in a packet, which then stays below 1,400 bytes."""

FIELDS_WITH_VIEW = 10
FIELDS_WITH_MET = 11
"""Numbers of fields of an answer that says for which changes of the store it holds, and
which routers there are; earlier releases send shorter ones."""

MAX_NAME_CHARS = 200
"""Maximum length of a service's name or a version in a message."""


@frozen
class KeptStream:
    """Tell a router where a stream began, and how long its caller may come back."""

    key: StreamKey
    origin: StreamOrigin
    life_s: float


@frozen
class StreamLookup:
    """Ask a router where a stream began."""

    router: RouterName
    number: int  # of this lookup; the router never uses it again
    key: StreamKey
    services: tuple[ServiceName, ...]  # that may have begun it
    confirms: bool = False  # ask the store first whether the list is complete


@frozen
class StreamFinding:
    """Answer a lookup."""

    router: RouterName
    number: int
    key: StreamKey
    origin: StreamOrigin | None
    view: VersionView = VersionView()  # of the versions of these services
    met: tuple[RouterName, ...] | None = None  # all others ever, if few


def pack_kept(streams: Sequence[KeptStream]) -> bytes:
    """Encode records as a packet."""
    rows = [
        [row.key, row.origin.service, row.origin.version, round(row.life_s, 1)]
        for row in streams
    ]
    return bytes(msgpack.packb([RECORDS_FORMAT, rows]))


def read_kept(row: Any) -> list[KeptStream]:
    """Decode records; raise `MessageError` if they are not valid."""
    try:
        return [
            KeptStream(_key(key), _origin(service, version), _life_s(life_s))
            for key, service, version, life_s in row[1]
        ]
    except DECODE_ERRORS as error:
        raise MessageError("The records of streams are not valid.") from error


def pack_lookup(lookup: StreamLookup) -> bytes:
    """Encode a lookup as a packet."""
    services = list(lookup.services)
    row = [
        LOOKUP_FORMAT,
        lookup.router,
        lookup.number,
        lookup.key,
        services,
        lookup.confirms,
    ]
    return bytes(msgpack.packb(row))


def read_lookup(row: Any) -> StreamLookup:
    """Decode a lookup; raise `MessageError` if it is not valid."""
    try:
        services = tuple(_name(service) for service in row[4])
        # Routers of the previous release don't ask for it.
        confirms = len(row) > 5 and bool(row[5])
        return StreamLookup(
            _name(row[1]), read_int(row[2]), _key(row[3]), services, confirms
        )
    except DECODE_ERRORS as error:
        raise MessageError("The lookup of a stream is not valid.") from error


def pack_finding(finding: StreamFinding) -> bytes:
    """Encode the answer to a lookup as a packet."""
    origin, view = finding.origin, finding.view
    row = [
        FINDING_FORMAT,
        finding.router,
        finding.number,
        finding.key,
        None if origin is None else [origin.service, origin.version],
        [[row.service, row.version] for row in view.versions],
        _floor_s(min(view.watched_s, MAX_LIFE_S)),
        _pack_position(view.since_at),
        _pack_position(view.at),
        view.confirmation is not Confirmation.NONE,
        None if finding.met is None else list(finding.met),
    ]
    return bytes(msgpack.packb(row))


def read_finding(row: Any) -> StreamFinding:
    """Decode the answer to a lookup; raise `MessageError` if it is not valid."""
    try:
        return StreamFinding(
            _name(row[1]),
            read_int(row[2]),
            _key(row[3]),
            None if row[4] is None else _origin(*row[4]),
            _read_view(row),
            _read_met(row),
        )
    except DECODE_ERRORS as error:
        raise MessageError("The answer to a lookup is not valid.") from error


def _read_view(row: Any) -> VersionView:
    versions = frozenset(_origin(*origin) for origin in row[5])
    if len(row) < FIELDS_WITH_VIEW:
        # Routers of earlier releases don't say up to when they know them.
        return VersionView(versions)
    is_confirmed = bool(row[9])
    return VersionView(
        versions,
        read_float(row[6]),
        _read_position(row[7]),
        _read_position(row[8]),
        Confirmation.PEER if is_confirmed else Confirmation.NONE,
    )


def _read_met(row: Any) -> tuple[RouterName, ...] | None:
    if len(row) < FIELDS_WITH_MET or row[10] is None:
        return None
    return tuple(_name(name) for name in row[10])


def _floor_s(seconds: float) -> float:
    """Return a time in tenths of a second that is not longer."""
    return math.floor(10 * seconds) / 10


def _pack_position(at: Position) -> list[int]:
    # An era and a revision are too large for one integer of a packet.
    return [revision_of(at), era_of(at)]


def _read_position(value: Any) -> Position:
    revision, era = value
    return position(read_int(era), read_int(revision))


def _key(value: Any) -> StreamKey:
    if not isinstance(value, bytes) or len(value) != KEY_BYTES:
        raise ValueError("The key is not bytes of the expected length.")
    return value


def _origin(service: Any, version: Any) -> StreamOrigin:
    return StreamOrigin(_name(service), _name(version))


def _name(value: Any) -> str:
    if not isinstance(value, str) or len(value) > MAX_NAME_CHARS:
        raise ValueError("The name is not a text of a usual length.")
    return value


def _life_s(value: Any) -> float:
    life_s = read_float(value)
    if not 0 <= life_s <= MAX_LIFE_S:
        raise ValueError(f"The life of {life_s} s is out of range.")
    return life_s
