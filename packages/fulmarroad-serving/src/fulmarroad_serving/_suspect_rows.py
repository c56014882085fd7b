"""Encode suspects in the reports and digests that routers exchange."""

from __future__ import annotations

from collections.abc import Iterable
from itertools import zip_longest
from typing import Any

from attrs import frozen

from fulmarroad_serving._culprits import CrashId
from fulmarroad_serving._fingerprints import FINGERPRINT_BYTES, Fingerprint
from fulmarroad_serving._suspect_records import CallerTag
from fulmarroad_serving.decoding import read_float, read_id


@frozen
class SuspectRow:
    """Hold the state of one suspect as sent between routers; ages in seconds."""

    fingerprint: Fingerprint
    ends: tuple[tuple[CrashId, float], ...]
    success_age_s: float | None = None  # since its last successful run
    trial: tuple[CrashId, float] | None = None  # server start that runs it now, and age
    callers: tuple[CallerTag, ...] = ()  # of each crash


def pack_suspects(suspects: Iterable[SuspectRow]) -> list[Any]:
    """Encode suspects as rows."""
    return [
        [
            row.fingerprint,
            [[end, _pack_age(age_s)] for end, age_s in row.ends],
            _pack_age(row.success_age_s),
            None if row.trial is None else [row.trial[0], _pack_age(row.trial[1])],
        ]
        for row in suspects
    ]


def pack_suspect_callers(suspects: Iterable[SuspectRow]) -> list[Any]:
    """Encode the callers of suspects, which routers of the previous release lack."""
    return [list(row.callers) for row in suspects]


def read_suspects(rows: list[Any], callers: list[Any]) -> tuple[SuspectRow, ...]:
    """Decode suspects from rows, with the callers of each.

    Raises `ValueError` or `TypeError` for rows that are not valid.
    """
    return tuple(
        SuspectRow(
            _read_fingerprint(name),
            tuple((read_id(end), _read_age(age)) for end, age in ends),
            None if success_age is None else _read_age(success_age),
            None if trial is None else _read_trial(trial),
            tuple(read_id(tag) for tag in tags or ()),
        )
        for (name, ends, success_age, trial), tags in zip_longest(
            rows, callers[: len(rows)]
        )
    )


def _read_trial(value: Any) -> tuple[int, float]:
    server, age_s = value
    return read_id(server), _read_age(age_s)


def _read_fingerprint(value: Any) -> Fingerprint:
    if not isinstance(value, bytes) or len(value) != FINGERPRINT_BYTES:
        raise ValueError("The fingerprint is not bytes of the expected length.")
    return value


def _pack_age(age_s: float | None) -> float | None:
    return None if age_s is None else round(max(0.0, age_s), 2)


def _read_age(value: Any) -> float:
    age_s = read_float(value)
    if age_s < 0:
        raise ValueError(f"The age {age_s} is negative.")
    return age_s
