"""Leave a server alone for as long as it asked for when it refused a call.

Load pattern: a server that sheds load refuses calls at once and so looks idle. A router
that balances by load sends it more of them, each of which costs a refusal, a retry and
a part of the retry budget; the symptom is retries that pile up at servers which asked
for rest. The request is between one server and one router: others may still be served.
"""

from __future__ import annotations

import logging
import math
import random

from attrs import define

from fulmarroad.events import Event, emit
from fulmarroad.types import ServerName

logger = logging.getLogger("fulmarroad.serving")

MAX_REST_S = 60.0
"""Longest rest that is granted. Longer ones are taken for an error of the server, which
would otherwise get no calls for hours after it has recovered."""

SPREAD_FRACTION = 0.2
"""Fraction of a rest by which it is extended at random, so that the routers that a
server refused at the same moment don't all return to it at once."""


@define
class ServerRest:
    """Track for how long one server gets no calls from this router."""

    until: float = float("-inf")

    def is_on(self, now: float) -> bool:
        """Return whether the server gets no calls for now."""
        return now < self.until

    def begin(self, rest_s: float, now: float, source: random.Random) -> None:
        """Record that a refusal asked for a rest.

        The latest of several ends counts: a shorter rest doesn't end an earlier one.
        """
        spread = 1.0 + SPREAD_FRACTION * source.random()
        self.until = max(self.until, now + spread * rest_s)


def read_rest_s(server: ServerName, stated: str) -> float:
    """Return the seconds of rest that a server stated, 0.0 for none.

    Log values that aren't followed as stated.
    """
    if not stated:
        return 0.0
    try:
        rest_s = float(stated)
    except ValueError:
        rest_s = math.nan
    granted_s = min(max(rest_s, 0.0), MAX_REST_S) if math.isfinite(rest_s) else 0.0
    if granted_s != rest_s:
        emit(
            logger,
            Event.REST_NOT_FOLLOWED,
            server=server,
            stated=stated[:40],
            granted_s=granted_s,
        )
    return granted_s
