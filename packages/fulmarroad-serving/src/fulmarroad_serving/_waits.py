"""How long a call may wait for its server, and when a refused caller may return."""

from __future__ import annotations

import random

from fulmarroad.types import RefusalReason
from fulmarroad_serving._catalog import Service
from fulmarroad_serving._demands import Demand, Refusal
from fulmarroad_serving._routing import Choice
from fulmarroad_serving._shares import ShareUse

LATE_PROMPT_WAIT_FRACTION = 0.3
"""Fraction of the objective that a prompt may wait if reading it alone takes longer
than the objective: it is late in any case, and would otherwise never be served."""

WAIT_FACTOR_PER_RANK = 0.7
"""Factor on a call's allowed wait for each rank below the most urgent one: when a
service fills up, less urgent calls are refused first, and none while no queue exists.
"""

IDLE_ENGINE_WAIT_S = 0.002
"""Wait below which an engine counts as idle: less than one step."""

PLAIN_MARGIN_FRACTION = 0.3
"""Fraction of the objective that is kept free when a call waits for a slot of a plain
service, besides its own duration."""

FREE_SLOT_WAIT_S = 0.02
"""Estimated wait up to which a call goes to a plain server that seems too slow for its
objective: without calls it would be excluded for good. A queue has a longer wait."""

RETRY_AFTER_S = (0.3, 0.9)
"""Range of the retry delay after a refusal for load: an engine works off its queue
within a fraction of a second, and the range keeps retries from arriving together."""

MAX_RETRY_AFTER_S = 4.0
"""Upper bound of the retry delay: the share window, after which used shares are free
again."""

NO_SERVER_RETRY_AFTER_S = (0.8, 1.6)
"""Range of the retry delay while no server is known: new entries arrive about once a
second."""


def allowed_wait_s(
    demand: Demand,
    service: Service,
    choice: Choice,
    use: ShareUse,
    *,
    few_servers: bool = False,
) -> float:
    """Return how many seconds a call may wait at the chosen server.

    `few_servers`: its stream can go on at a part of the service's servers only.
    """
    if service.engine is None:
        slack_s = (1.0 - PLAIN_MARGIN_FRACTION) * demand.objective_s - choice.read_s
        return max(FREE_SLOT_WAIT_S, slack_s * WAIT_FACTOR_PER_RANK**demand.rank)
    if few_servers:
        # Its share is one of all servers, which it can't use.
        return demand.objective_s
    if use.idle_engines_only:
        return IDLE_ENGINE_WAIT_S
    slack_s = max(
        demand.objective_s - choice.read_s,
        LATE_PROMPT_WAIT_FRACTION * demand.objective_s,
    )
    return use.wait_fraction * slack_s * WAIT_FACTOR_PER_RANK**demand.rank


BROKEN_STREAM_RETRY_AFTER_S = (2.0, 4.0)
"""Range of the retry delay for a stream that can't go on: servers are replaced within
seconds, and an earlier return would be refused again."""


def refuse_without_server(source: random.Random) -> Refusal:
    """Refuse a call for whose service no server is known."""
    return Refusal(RefusalReason.NO_SERVERS, source.uniform(*NO_SERVER_RETRY_AFTER_S))


def refuse_stream(reason: RefusalReason, source: random.Random) -> Refusal:
    """Refuse to go on with a stream.

    A router that couldn't confirm its list of servers may be the only one; the other
    reasons stay for some time.
    """
    if reason is RefusalReason.STREAM_UNCONFIRMED:
        return Refusal(reason, source.uniform(*RETRY_AFTER_S))
    return Refusal(reason, source.uniform(*BROKEN_STREAM_RETRY_AFTER_S))


def refuse_unfinishable(source: random.Random) -> Refusal:
    """Refuse a call whose answer can't end before its deadline."""
    return Refusal(RefusalReason.CANNOT_FINISH, source.uniform(*RETRY_AFTER_S))


def refuse_for_rest(rest_s: float) -> Refusal:
    """Refuse a call while all servers that could take it asked for rest."""
    return Refusal(RefusalReason.SERVERS_REST, rest_s)


def refuse_above_share(
    admitted: float, use: ShareUse, window_s: float, source: random.Random
) -> Refusal:
    """Refuse a call of a workspace of which only a fraction of the calls is tried."""
    pause = source.uniform(*RETRY_AFTER_S) + (1.0 - admitted) * window_s / 2
    return Refusal(RefusalReason.ABOVE_SHARE, min(pause, MAX_RETRY_AFTER_S), use=use)


def refuse_queued(
    reason: RefusalReason, use: ShareUse, window_s: float, source: random.Random
) -> Refusal:
    """Refuse a call that finds no place in the queue or none through it."""
    return Refusal(reason, _pause_s(use, window_s, source), use=use)


def refuse_for_wait(
    choice: Choice,
    use: ShareUse,
    candidates: int,
    excess_wait_s: float,
    window_s: float,
    source: random.Random,
) -> Refusal:
    """Refuse a call that would wait too long at the chosen server."""
    return Refusal(
        RefusalReason.WAIT_TOO_LONG,
        _pause_s(use, window_s, source),
        choice.wait_s,
        use,
        candidates,
        choice.read_s,
        excess_wait_s,
    )


def _pause_s(use: ShareUse, window_s: float, source: random.Random) -> float:
    """Return the retry delay after a refusal for load."""
    pause = source.uniform(*RETRY_AFTER_S)
    over = use.used_fraction - 1.0
    if over > 0:
        # Used share becomes free again as the window slides.
        pause += min(over, 1.0) * window_s / 2
    return min(pause, MAX_RETRY_AFTER_S)
