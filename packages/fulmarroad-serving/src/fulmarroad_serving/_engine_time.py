"""Price the time that an engine spends on reading a shared part again.

Pattern of load: overload by prompts that share long parts. While engines stand by, it
costs nobody anything if one more of them reads a part and begins a call sooner. When
part of what callers ask is turned away, each such reading takes the place of calls that
would have been served where their parts are; operators would notice engines that read
several times what callers send them, and twice the refusals. A part that many calls ask
for pays its reading back, so the price is divided by those.
"""

from __future__ import annotations

from attrs import frozen

SCARCE = 0.2
"""Part of what is asked that is turned away, from which on no engine has time to spare:
a fifth is more than queues that come and go turn away."""

SPREAD_WAIT_S = 0.05
"""Wait up to which an engine is asked to read a part that another one has, as long as
nothing is turned away: one that is behind itself has no time for it."""

LEAST_WEIGHT = 2.0
"""Cost of a reading, as a multiple of its time, beside the prompt's own wait: the time
is taken from all others there."""

NO_TIME_S = float("-inf")
"""The same where no engine has time. Not zero: by news of a moment ago many engines
seem to stand empty."""

SCARCE_WEIGHT = 20.0
"""Added to that multiple if all that is asked were turned away; less in proportion."""


@frozen
class ReadingPrice:
    """Say what reading a shared part again costs."""

    weight: float  # of the reading's time, beside the prompt's own wait
    spread_wait_s: float  # an engine with no more to do has time for it


def reading_price(shortage: float, calls: float) -> ReadingPrice:
    """Return the price of reading a part that a number of calls asked for lately.

    `shortage` is the part of what callers asked that was turned away, 0 to 1.
    """
    scarcity = shortage / max(1.0, calls)
    spare = 1.0 - scarcity / SCARCE
    return ReadingPrice(
        LEAST_WEIGHT + SCARCE_WEIGHT * scarcity,
        SPREAD_WAIT_S * spare if spare > 0 else NO_TIME_S,
    )
