"""Decide which calls are tried at all when the demand exceeds the engines' capacity.

Load pattern: several workspaces ask for a multiple of the engines' capacity at many
routers, whose reports about each other are older than an engine's queue. A call that is
tried while an engine seems idle is placed, so the workspace that tries most often gets
most, several routers fill the same engine at once and nearly every call is late; and
each refusal costs its router a search for an engine. The symptoms are a workspace that
gets half as much as another one, late first tokens at all engines, and routers whose
CPU time is used up by refusals. So calls of a workspace are admitted for its max-min
share of the capacity, with a margin for calls that find no free engine; the rest are
refused before any engine is considered.

The decision depends only on sums over the fleet. A router that adapted to its own
measurements would reach another limit than the others, and workspaces whose calls all
go to that router would get less than their share.
"""

from __future__ import annotations

from attrs import define

PLACED_FRACTION = 0.5
"""Fraction of a workspace's admitted calls that should be placed. With a smaller one,
the workspaces that try most often get most; with 1, engines would idle for each call
that is refused for another reason than a lack of capacity."""


SPEED_REFRESH_INTERVAL_S = 0.1
"""Time between two estimates of the engines' total speed: lost engines aren't detected
any sooner."""

LEARNING_RATE = 0.02
"""Weight of one call in the learned read ratio."""

INITIAL_READ_RATIO = 0.5
"""Initial estimate of the tokens read per unit of service."""

MIN_READ_RATIO = 0.02
"""Lower bound of the read ratio, for prompts that are completely cached."""


def admitted_fraction(entitled: float) -> float:
    """Return the fraction of a workspace's calls that is tried.

    `entitled` is its equal share as a fraction of its demand.
    """
    return min(1.0, entitled / PLACED_FRACTION)


@define
class EngineCapacity:
    """Estimate the capacity of the engines of one service.

    The capacity is the granted service, but no less than what follows from the engines'
    reading speed: when fewer calls are admitted, less is granted, and after a restart
    nothing is granted yet.
    """

    read_ratio: float = INITIAL_READ_RATIO  # tokens read per unit of service
    tokens_per_s: float = 0.0  # reading speed of all engines together
    _speed_noted_at: float = float("-inf")

    def is_outdated(self, now: float) -> bool:
        """Return whether the engines' speed should be estimated again."""
        return now - self._speed_noted_at >= SPEED_REFRESH_INTERVAL_S

    def note_speed(self, tokens_per_s: float, now: float) -> None:
        """Record an estimate of the reading speed of all engines together."""
        self.tokens_per_s, self._speed_noted_at = tokens_per_s, now

    def capacity(self, granted_units: float, window_s: float) -> float:
        """Return the units of service that the engines provide in a window."""
        least = self.tokens_per_s * window_s / max(self.read_ratio, MIN_READ_RATIO)
        return max(granted_units, least)

    def note_sent(self, read_tokens: int, units: float) -> None:
        """Update the read ratio with a call that is sent."""
        self.read_ratio += LEARNING_RATE * (read_tokens / units - self.read_ratio)
