"""Compute the cost of letting another engine read a shared part again.

Load pattern: overload by prompts that share long parts. While engines are idle, it
costs nothing if one more of them reads a part and begins a call sooner. When part of
the demand is refused, each such reading displaces calls that would have been served
where their parts are cached. The symptoms are engines that read several times the
tokens callers send, and twice the refusals. A part that more calls ask for than one
engine serves is worth its reading, so the cost is divided by the engines they need.
"""

from __future__ import annotations

from attrs import frozen

SHORTAGE_LIMIT = 0.2
"""Refused fraction of the demand from which no engine has time to spare: short-lived
queues alone cause refusals of less than a fifth."""

SPREAD_WAIT_S = 0.05
"""Longest wait at which an engine may read a part that another one has cached, while
nothing is refused: an engine with a longer queue has no time for it."""

BASE_WEIGHT = 2.0
"""Cost of a reading as a multiple of its time, in addition to the prompt's own wait:
the reading delays all other prompts of the engine."""

NEVER_SPREAD_S = float("-inf")
"""Value of `spread_wait_s` when no engine has time to spare. It isn't zero because
many engines seem to be idle according to slightly outdated load reports."""

SHORTAGE_WEIGHT = 20.0
"""Addition to `BASE_WEIGHT` if all demand were refused, scaled by the refused fraction.
"""


@frozen
class ReadingPrice:
    """Hold the cost of reading a shared part again."""

    weight: float  # factor on the reading time, added to the prompt's own wait
    spread_wait_s: float  # longest wait at which an engine has time for the reading


def reading_price(shortage: float, engines: float) -> ReadingPrice:
    """Return the cost of reading a part for which calls need a number of engines.

    `shortage` is the refused fraction of the demand, 0 to 1.
    """
    scarcity = shortage / max(1.0, engines)
    spare_fraction = 1.0 - scarcity / SHORTAGE_LIMIT
    return ReadingPrice(
        BASE_WEIGHT + SHORTAGE_WEIGHT * scarcity,
        SPREAD_WAIT_S * spare_fraction if spare_fraction > 0 else NEVER_SPREAD_S,
    )
