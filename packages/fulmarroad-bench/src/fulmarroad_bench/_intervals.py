"""Arithmetic on lists of disjoint, sorted time intervals."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

Interval = tuple[float, float]


def merged(intervals: Iterable[Interval]) -> list[Interval]:
    """Return the union of intervals."""
    out: list[Interval] = []
    for start, end in sorted(intervals):
        if end <= start:
            continue
        if out and start <= out[-1][1]:
            out[-1] = (out[-1][0], max(out[-1][1], end))
        else:
            out.append((start, end))
    return out


def intersected(left: Sequence[Interval], right: Sequence[Interval]) -> list[Interval]:
    """Return the intersection of two unions."""
    out: list[Interval] = []
    i = j = 0
    while i < len(left) and j < len(right):
        start = max(left[i][0], right[j][0])
        end = min(left[i][1], right[j][1])
        if start < end:
            out.append((start, end))
        if left[i][1] < right[j][1]:
            i += 1
        else:
            j += 1
    return out


def trim_starts(intervals: Iterable[Interval], by: float) -> list[Interval]:
    """Return each interval without its first `by` seconds."""
    return [(start + by, end) for start, end in intervals if start + by < end]


def total(intervals: Iterable[Interval]) -> float:
    """Return the length of a union."""
    return sum(end - start for start, end in intervals)


def where_true(steps: Sequence[tuple[float, bool]], end: float) -> list[Interval]:
    """Return when a step function is true; `steps` are its changes, sorted by time."""
    out = []
    for (at, value), (until, _) in zip(steps, [*steps[1:], (end, False)], strict=True):
        if value and until > at:
            out.append((at, until))
    return merged(out)
