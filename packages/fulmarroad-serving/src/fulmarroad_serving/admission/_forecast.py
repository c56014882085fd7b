"""Forecast when the turn of a refused call comes.

Load pattern: more calls than the engines can begin. A caller that is told to return
after a random fraction of a second comes back into the same surge and is refused again,
while engines idle for moments after it because nobody returns. So the time follows from
the work that waits ahead and from the rate at which the engines begin calls.
"""

from __future__ import annotations

import math

from attrs import define

RATE_HALF_LIFE_S = 2.0
"""Half-life of the units counted for the rate. An engine begins a few long prompts a
second, so a shorter one would follow chance; engines are lost or added less often."""


@define
class TurnForecast:
    """Measure how many units of service a second the engines of an owner begin."""

    _units: float = 0.0  # decaying sum
    _noted_at: float = 0.0

    def note_begun(self, units: float, now: float) -> None:
        """Record a call that an engine began to answer."""
        self._units = self._decayed(now) + units
        self._noted_at = now

    def rate(self, now: float, least: float) -> float:
        """Return the units of service that begin per second.

        `least` is the reading speed of the engines, in tokens a second: after a start
        or a lull too little has begun to tell.
        """
        return max(least, self._decayed(now) * math.log(2.0) / RATE_HALF_LIFE_S)

    def turn_at(self, ahead: float, units: float, least: float, now: float) -> float:
        """Return when a call's turn comes, behind a number of units; inf if never."""
        rate = self.rate(now, least)
        return now + (ahead + units) / rate if rate > 0 else math.inf

    def _decayed(self, now: float) -> float:
        age_s = max(0.0, now - self._noted_at)
        return self._units * 0.5 ** (age_s / RATE_HALF_LIFE_S)
