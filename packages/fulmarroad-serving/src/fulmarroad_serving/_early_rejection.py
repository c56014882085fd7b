"""Decide which calls are tried at all when more is asked than engines give.

Pattern of load: several workspaces ask for a multiple of what engines give, at scores
of routers whose news of each other are older than an engine's queue. A call that looks
while an engine seems to stand empty gets the place, so places go to whoever looks most
often, engines are booked by several routers at once and nearly all that begins is late;
and each refusal costs its router a search. Operators would notice a workspace with half
of what another one gets, first tokens that come late at all engines, and routers whose
processors are used up by refusing. So the calls of a workspace are let in for its
max-min share of what engines give, with room for those that find no place; the rest is
turned away before any engine is looked at.

Who is let in follows from sums over the fleet alone. A router that felt its own way
would settle elsewhere than the others, and a workspace whose calls all come to it would
pay for that.
"""

from __future__ import annotations

from attrs import define

PLACED_FRACTION = 0.5
"""Part of a workspace's calls let in that is to find a place. With less of it,
places go to whoever looks most often; with all of it, engines would idle for each call
that is refused for another reason than a lack of room."""


LEARNING = 0.02
"""Weight of one call in what is learned of calls."""

READ_PART = 0.5
"""Tokens read for a unit of service before any call was seen."""

LEAST_READ_PART = 0.02
"""The same where prompts are cached whole."""


def admitted_fraction(entitled: float) -> float:
    """Return the part of a workspace's calls that is tried.

    `entitled` is its equal share, as a part of what it asks.
    """
    return min(1.0, entitled / PLACED_FRACTION)


@define
class EngineCapacity:
    """Say what the engines of one service give.

    That is what they are handed out, but no less than what they read: with less let in,
    less is handed out, and after a restart it is nothing.
    """

    read_part: float = READ_PART  # tokens read for a unit of service
    tokens_per_s: float = 0.0  # that all engines read

    def capacity(self, granted_units: float, window_s: float) -> float:
        """Return the units of service that the engines give in a window."""
        least = self.tokens_per_s * window_s / max(self.read_part, LEAST_READ_PART)
        return max(granted_units, least)

    def note_sent(self, read_tokens: int, units: float) -> None:
        """Learn from a call that is sent what calls take."""
        self.read_part += LEARNING * (read_tokens / units - self.read_part)
