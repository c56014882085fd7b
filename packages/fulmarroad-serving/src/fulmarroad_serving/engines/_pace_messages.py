"""Encode the reports of routers that see the answers of a server pause.

Each fits into one small UDP packet. A lost one is repeated while the pause lasts.
"""

from __future__ import annotations

from typing import Any

import msgpack
from attrs import frozen

from fulmarroad.exceptions import MessageError
from fulmarroad.types import RouterName, ServerName
from fulmarroad_serving.decoding import DECODE_ERRORS, read_float, read_int

PACE_FORMAT = 9
"""First field of the packet; the other packets have other values there."""

TENTHS = 10

MAX_TENTHS = 1_000
MAX_ANSWERS = 10_000
"""Largest values that a valid report has."""


@frozen
class PaceReport:
    """Report by how much a server's answers pause longer than usual."""

    router: RouterName
    incarnation: int  # of the router
    number: int  # of this report; the router never uses it again
    server: ServerName
    started_ms: int  # start of the server's run in Unix time
    factor: float  # 1: they don't any more
    answers: int  # that were seen to pause


def pack_pace(report: PaceReport) -> bytes:
    """Encode a report as a packet."""
    row = [
        PACE_FORMAT,
        report.router,
        report.incarnation,
        report.number,
        report.server,
        report.started_ms,
        round(report.factor * TENTHS),
        report.answers,
    ]
    return bytes(msgpack.packb(row))


def read_pace(row: Any) -> PaceReport:
    """Decode a report; raise `MessageError` if it is not valid."""
    try:
        tenths, answers = read_float(row[6]), read_int(row[7])
        if not 0 <= tenths <= MAX_TENTHS or not 0 <= answers <= MAX_ANSWERS:
            raise ValueError
        return PaceReport(
            str(row[1]),
            read_int(row[2]),
            read_int(row[3]),
            str(row[4]),
            read_int(row[5]),
            tenths / TENTHS,
            answers,
        )
    except DECODE_ERRORS as error:
        raise MessageError("The pace report is not valid.") from error
