"""Encode the messages between a router with a call and the owner that places it.

Each fits into one UDP packet. A lost one costs a moment of accuracy and no call: a
request without an answer is placed without the owner, and the list of granted calls
that routers send every second corrects what an owner missed.
"""

from __future__ import annotations

import enum
import math
from typing import Any

import msgpack
from attrs import frozen

from fulmarroad.exceptions import MessageError
from fulmarroad.types import RefusalReason, RouterName, ServerName
from fulmarroad_serving._attempts import SendOutcome
from fulmarroad_serving._demands import ColdServers, Demand
from fulmarroad_serving.decoding import (
    DECODE_ERRORS,
    MAX_NUMBER,
    read_float,
    read_int,
)

REQUEST_FORMAT = 3
REPLY_FORMAT = 4
PROGRESS_FORMAT = 5
"""First fields of the packets; reports and digests have other values there."""


@frozen
class PlacementRequest:
    """Ask an owner for a place for one call."""

    router: RouterName
    incarnation: int
    number: int  # of this request; the router never uses it again
    demand: Demand
    avoid: tuple[ServerName, ...] = ()
    may_wait: bool = True  # until a server has capacity
    left_out: tuple[RouterName, ...] = ()  # routers that the sender can't reach
    cold: ColdServers = ColdServers()  # as the sender knows the owner's servers
    full: tuple[ServerName, ...] = ()  # the sender has its share of connections in use
    remaining_s: float = 0.0  # until the caller's deadline; 0: not known


class ReplyKind(enum.IntEnum):
    """Distinguish the answers of an owner."""

    WAITS = 0  # another reply follows
    GRANTED = 1
    REFUSED = 2
    NOT_OWNER = 3  # the router owns no server of the service


@frozen
class PlacementReply:
    """Answer a placement request."""

    owner: RouterName
    incarnation: int  # of the owner
    number: int
    kind: ReplyKind
    server: ServerName = ""
    source: ServerName = ""  # another engine that may have the part
    tokens: int = 0  # prompt tokens to read
    wait_s: float = 0.0
    read_s: float = 0.0
    cached: bool = False
    copies: int = 0
    read_rate: float = 0.0  # tokens a second, as the owner learned it
    reason: RefusalReason = RefusalReason.WAIT_TOO_LONG
    retry_after_s: float = 0.0
    cold_granted: bool = False  # the owner counts it in the limit of a cold server
    may_open: bool = False  # a connection beyond the asker's share
    room: int = 0  # prompt tokens that the owner's engines can begin soon
    is_late: bool = False  # a refused call is late in any case


@frozen
class ProgressNote:
    """Report that a granted call began or ended."""

    number: int
    begun: bool
    ended: bool = False
    outcome: SendOutcome | None = None  # of an ended call that was not answered
    unused: bool = False  # the call was not sent


@frozen
class ProgressReport:
    """Report the progress of calls to the owner that granted them."""

    router: RouterName
    incarnation: int
    notes: tuple[ProgressNote, ...] = ()
    held: tuple[int, ...] | None = None  # numbers of all calls that still run
    cancelled: tuple[int, ...] = ()  # numbers of requests that nobody waits for


_OUTCOMES: tuple[SendOutcome | None, ...] = (None, *SendOutcome)
_REASONS = tuple(RefusalReason)


def pack_request(request: PlacementRequest) -> bytes:
    """Encode a request as a packet."""
    demand = request.demand
    row = [
        REQUEST_FORMAT,
        request.router,
        request.incarnation,
        request.number,
        demand.call_id,
        demand.service,
        demand.workspace,
        round(demand.objective_s, 4),
        demand.part,
        demand.shared_tokens,
        demand.own_tokens,
        demand.output_tokens,
        demand.rank,
        demand.hash_fraction,
        list(request.avoid),
        request.may_wait,
        list(request.left_out),
        list(request.cold.permitted),
        demand.version,
        list(request.cold.closed),
        list(request.full),
        round(min(request.remaining_s, MAX_NUMBER), 3),
        demand.length_hint,
    ]
    return bytes(msgpack.packb(row))


def read_request(row: Any) -> PlacementRequest:
    """Decode a request; raise `MessageError` if it is not valid."""
    try:
        demand = Demand(
            str(row[4]),
            str(row[5]),
            str(row[6]),
            read_float(row[7]),
            str(row[8]),
            read_int(row[9]),
            read_int(row[10]),
            read_int(row[11]),
            read_float(row[13]),
            read_int(row[12]),
            # Routers of the previous release know no versions.
            str(row[18]) if len(row) > 18 else "",
            read_int(row[22]) if len(row) > 22 else 0,
        )
        avoid = tuple(str(name) for name in row[14])
        left_out = tuple(str(name) for name in row[16])
        permitted = tuple(str(name) for name in row[17])
        # Routers of the previous release don't list what they may not use.
        closed = tuple(str(name) for name in row[19]) if len(row) > 19 else ()
        full = tuple(str(name) for name in row[20]) if len(row) > 20 else ()
        remaining_s = _read_remaining_s(row[21]) if len(row) > 21 else 0.0
        return PlacementRequest(
            str(row[1]),
            read_int(row[2]),
            read_int(row[3]),
            demand,
            avoid,
            bool(row[15]),
            left_out,
            ColdServers(permitted, closed),
            full,
            remaining_s,
        )
    except DECODE_ERRORS as error:
        raise MessageError("The placement request is not valid.") from error


def _read_remaining_s(value: Any) -> float:
    """Return the time until a deadline, for which earlier releases send infinity."""
    return float(MAX_NUMBER) if value == math.inf else read_float(value)


def pack_reply(reply: PlacementReply) -> bytes:
    """Encode a reply as a packet."""
    row = [
        REPLY_FORMAT,
        reply.owner,
        reply.incarnation,
        reply.number,
        int(reply.kind),
        reply.server,
        reply.source,
        reply.tokens,
        round(reply.wait_s, 4),
        round(reply.read_s, 4),
        reply.cached,
        reply.copies,
        round(reply.read_rate),
        _REASONS.index(reply.reason),
        round(reply.retry_after_s, 3),
        reply.cold_granted,
        reply.may_open,
        reply.room,
        reply.is_late,
    ]
    return bytes(msgpack.packb(row))


def read_reply(row: Any) -> PlacementReply:
    """Decode a reply; raise `MessageError` if it is not valid."""
    try:
        return PlacementReply(
            str(row[1]),
            read_int(row[2]),
            read_int(row[3]),
            ReplyKind(row[4]),
            str(row[5]),
            str(row[6]),
            read_int(row[7]),
            read_float(row[8]),
            read_float(row[9]),
            bool(row[10]),
            read_int(row[11]),
            read_float(row[12]),
            _REASONS[row[13]],
            read_float(row[14]),
            # Owners of the previous release only grant what the asker permits.
            bool(row[15]) if len(row) > 15 else False,
            bool(row[16]) if len(row) > 16 else False,
            read_int(row[17]) if len(row) > 17 else 0,
            bool(row[18]) if len(row) > 18 else False,
        )
    except DECODE_ERRORS as error:
        raise MessageError("The placement reply is not valid.") from error


def pack_progress(report: ProgressReport) -> bytes:
    """Encode a progress report as a packet."""
    notes = [
        [note.number, note.begun, note.ended, _OUTCOMES.index(note.outcome)]
        for note in report.notes
    ]
    held = None if report.held is None else list(report.held)
    unused = [note.number for note in report.notes if note.unused]
    row = [
        PROGRESS_FORMAT,
        report.router,
        report.incarnation,
        notes,
        held,
        unused,
        list(report.cancelled),
    ]
    return bytes(msgpack.packb(row))


def read_progress(row: Any) -> ProgressReport:
    """Decode a progress report; raise `MessageError` if it is not valid."""
    try:
        # Routers of the previous release don't say what they didn't send.
        unused = {read_int(number) for number in row[5]} if len(row) > 5 else set()
        notes = tuple(
            ProgressNote(
                read_int(number),
                bool(begun),
                bool(ended),
                _OUTCOMES[outcome],
                number in unused,
            )
            for number, begun, ended, outcome in row[3]
        )
        held = None if row[4] is None else tuple(read_int(number) for number in row[4])
        # Nor which requests they no longer need.
        cancelled = tuple(read_int(n) for n in row[6]) if len(row) > 6 else ()
        return ProgressReport(str(row[1]), read_int(row[2]), notes, held, cancelled)
    except DECODE_ERRORS as error:
        raise MessageError("The progress report is not valid.") from error
