"""Fit lines through costs measured at several sizes, to get the cost per item."""

from __future__ import annotations

import gc
import time
import tracemalloc
from collections.abc import Callable, Sequence
from typing import Any

import numpy as np
from attrs import frozen

REPEATS = 3
"""Number of runs of which the fastest counts: other load only ever adds time."""


@frozen
class Slope:
    """Hold the values measured at some sizes and the line fitted through them.

    `per` names the item that sizes count, `unit` is the unit of the values, mostly `B`
    or `us`. `each` is the slope, `fixed` the value at size 0, and `misfit` the largest
    distance of a value from the line as a fraction of the largest value.
    """

    name: str
    per: str
    unit: str
    sizes: tuple[int, ...]
    values: tuple[float, ...]
    each: float
    fixed: float
    misfit: float


def fit(
    name: str, per: str, unit: str, sizes: Sequence[int], values: Sequence[float]
) -> Slope:
    """Fit a line by least squares; raise `ValueError` below three distinct sizes."""
    if len(set(sizes)) < 3 or len(sizes) != len(values):
        raise ValueError(f"{name} needs one value each at three sizes or more.")
    each, fixed = (float(part) for part in np.polyfit(sizes, values, 1))
    distances = [abs(v - fixed - each * s) for s, v in zip(sizes, values, strict=True)]
    misfit = max(distances) / (max(abs(v) for v in values) or 1.0)
    return Slope(name, per, unit, tuple(sizes), tuple(values), each, fixed, misfit)


def measure(
    name: str,
    per: str,
    unit: str,
    sizes: Sequence[int],
    value_of: Callable[[int], float],
) -> Slope:
    """Measure `value_of` at each size and fit a line."""
    return fit(name, per, unit, sizes, [float(value_of(size)) for size in sizes])


def allocated_bytes(build: Callable[[], Any]) -> int:
    """Return the bytes that stay allocated while the result of `build` is held.

    tracemalloc counts the memory that Python's allocator handed out, without the
    allocator's overhead. Memory that `build` has released again is not counted.
    """
    build()  # fills imports, caches and interned names first
    gc.collect()
    tracemalloc.start()
    try:
        built = build()
        gc.collect()
        size, _ = tracemalloc.get_traced_memory()
        del built
    finally:
        tracemalloc.stop()
    return size


def best_us(run: Callable[[], Any], count: int = 1, *, repeats: int = REPEATS) -> float:
    """Return processor microseconds of one of `count` items, from the fastest run."""
    best = float("inf")
    for _ in range(repeats):
        gc.collect()
        began = time.thread_time()
        run()
        best = min(best, time.thread_time() - began)
    return best * 1e6 / count
