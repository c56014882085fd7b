"""Fit lines through measured sizes: what one more of something costs."""

from __future__ import annotations

import gc
import time
import tracemalloc
from collections.abc import Callable, Sequence
from typing import Any

import numpy as np
from attrs import frozen

REPEATS = 3
"""Times are the best of so many runs: other load on the machine only ever adds."""


@frozen
class Slope:
    """Hold what was measured at some sizes, and the line through it.

    `per` names what is counted, `unit` is `B` or `us`. `each` is the slope, `fixed`
    what remains at size 0, and `misfit` the largest distance of a value from the line,
    as a part of the largest value.
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
    """Return the line of least squares; raise `ValueError` below three sizes."""
    if len(set(sizes)) < 3 or len(sizes) != len(values):
        raise ValueError(f"{name} needs a value at three sizes or more.")
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
    """Return the line through `value_of` at each size."""
    return fit(name, per, unit, sizes, [float(value_of(size)) for size in sizes])


def allocated_bytes(build: Callable[[], Any]) -> int:
    """Return the bytes that stay allocated while the built thing is held.

    Counted by tracemalloc: what Python's allocator gave out, without its own slack.
    What `build` needed only on the way is not in it.
    """
    build()  # imports, caches and interned names are paid once
    gc.collect()
    tracemalloc.start()
    try:
        thing = build()
        gc.collect()
        size, _ = tracemalloc.get_traced_memory()
        del thing
    finally:
        tracemalloc.stop()
    return size


def best_us(run: Callable[[], Any], count: int = 1, *, repeats: int = REPEATS) -> float:
    """Return microseconds of processor time for one of the `count` things in a run."""
    best = float("inf")
    for _ in range(repeats):
        gc.collect()
        began = time.thread_time()
        run()
        best = min(best, time.thread_time() - began)
    return best * 1e6 / count
