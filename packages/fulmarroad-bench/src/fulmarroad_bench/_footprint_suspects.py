"""Measure the cost of suspected requests to a router: time, packets and memory."""

from __future__ import annotations

import itertools
import tracemalloc
from collections.abc import Callable, Sequence

import msgpack
from attrs import frozen

from fulmarroad_bench._processor_time import cpu_s
from fulmarroad_serving._call_suspects import CallSuspects
from fulmarroad_serving._fingerprints import FINGERPRINT_BYTES, fingerprint_of
from fulmarroad_serving._fleet_view import MAX_SUSPECTS
from fulmarroad_serving._suspect_rows import (
    SuspectRow,
    pack_suspect_callers,
    pack_suspects,
    read_suspects,
)
from fulmarroad_serving._suspects import (
    MAX_RECORDS,
    Suspects,
    SuspectState,
)

ROUNDS = 2_000
CRASH_ROUNDS = 50
PARTS = 10
"""Shared parts of a prompt."""

BODY_BYTES = 17_000
"""Size of a request body with a long prompt."""


@frozen
class SuspectCost:
    """Hold the cost of suspected requests to one router."""

    fingerprint_us: float  # of a long prompt
    call_us: float  # a call with ten parts, from its look at the suspects to its end
    crash_us: float  # a change of one record, and culprits found among all of them
    rows: int  # in one packet, each with three crashes
    packet_bytes: int
    pack_and_take_us: float
    known: int
    known_kb: float


def suspect_cost() -> SuspectCost:
    """Measure the cost with the maximum number of suspects that a router keeps."""
    body = bytes(BODY_BYTES)
    target = b"/draft/1"
    fingerprint_us = _each_us(
        lambda: fingerprint_of("coop", "svc.example", "POST", target, body)
    )
    tracemalloc.start()
    suspects = _full_suspects()
    known_kb = tracemalloc.get_traced_memory()[0] / 1024
    tracemalloc.stop()
    rows = suspects.pop_updates(MAX_SUSPECTS, 2.0)
    receiver = Suspects()

    def transfer() -> None:
        received = msgpack.unpackb(_packed(rows))
        receiver.merge_rows(read_suspects(*received), 3.0)

    return SuspectCost(
        fingerprint_us,
        _each_us(lambda: _run_call(receiver)),
        _crash_us(suspects),
        len(rows),
        len(_packed(rows)),
        _each_us(transfer),
        MAX_RECORDS,
        round(known_kb, 1),
    )


def _packed(rows: Sequence[SuspectRow]) -> bytes:
    return bytes(msgpack.packb([pack_suspects(rows), pack_suspect_callers(rows)]))


def _run_call(suspects: Suspects) -> None:
    parts = [f"{number:08x}" for number in range(PARTS)]
    call = CallSuspects.of(
        suspects, b"r" * FINGERPRINT_BYTES, "drafting", "coop", parts
    )
    call.suspicion(3.0)
    call.begin(1, 3.0)
    call.note_good_run(3.0, 3.5)
    call.end()


def _crash_us(suspects: Suspects) -> float:
    name = bytes(FINGERPRINT_BYTES)
    crashes = itertools.count()

    def crash() -> None:
        number = next(crashes)
        suspects.note_crash(name, number, 3.0 + number)
        suspects.ends(name)

    return _each_us(crash, CRASH_ROUNDS)


def _full_suspects() -> Suspects:
    suspects = Suspects()
    for number in range(MAX_RECORDS):
        name = number.to_bytes(FINGERPRINT_BYTES, "big")
        for end in range(SuspectState.BARRED):
            suspects.note_crash(name, end << 40 | number, 1.0, caller=40_000)
    return suspects


def _each_us(step: Callable[[], object], rounds: int = ROUNDS) -> float:
    started = cpu_s()
    for _ in range(rounds):
        step()
    return round((cpu_s() - started) / rounds * 1e6, 1)
