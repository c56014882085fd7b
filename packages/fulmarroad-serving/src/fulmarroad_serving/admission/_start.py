"""Decide where and until when a waiting call may begin.

Load pattern: engines slow down or stop for a moment while calls wait for them. A call
that was sent can't be moved, so one that was sent to an engine with a long queue is
late whatever other engines do meanwhile. So a call is sent only where its prompt is
read almost at once; until then it waits at the owner, from where it can go to any of
the owner's engines.
"""

from __future__ import annotations

import math

from attrs import frozen

from fulmarroad_serving._demands import Demand
from fulmarroad_serving._routing import Choice

COMMIT_FRACTION = 0.15
"""Fraction of the objective within which an engine must begin to read a prompt. It
covers the exchange between owner and router, during which the engine must not idle."""

MARGIN_FRACTION = 0.05
"""Fraction of the objective that is kept free for wrong estimates: two engine steps
with full chunks of prompts."""

SEND_MARGIN_S = 0.02
"""Time reserved for the reply, the sending and the first token's way back."""

IDLE_WAIT_S = 0.002
"""Wait below which an engine counts as idle: less than one step."""

LATE_WAIT_FRACTION = 0.3
"""Fraction of the objective for which a call waits that is late in any case. It gets
idle engines only, so a longer wait would mostly end in a refusal all the same."""

RANK_FACTOR = 0.7
"""Factor on the bound for each rank below the most urgent calls of the service."""


@frozen
class StartBound:
    """Bound the wait of a call at the engine that it is sent to."""

    wait_s: float  # until the engine begins to read the prompt
    on_time: bool = True  # whether it must also begin within its objective
    margin_s: float = SEND_MARGIN_S


@frozen
class StartTimes:
    """Hold until when a call waits for a place."""

    latest_start: float  # at which it can still begin on time
    late: bool  # it can't begin on time in any case
    until: float  # end of its wait
    bound: StartBound


def start_times(
    demand: Demand,
    read_s: float,
    now: float,
    *,
    late: bool = False,
    continues: bool = False,
    remaining_s: float = 0.0,
) -> StartTimes:
    """Return until when a call may wait that arrives now.

    `read_s` is the time to read its prompt at the quickest engine, `remaining_s` the
    time until its caller gives up (0: not known). `late`: its objective has passed, and
    the demand states a part of it. `continues`: its caller has a part of the answer.
    """
    objective_s = demand.objective_s if math.isfinite(demand.objective_s) else 0.0
    margin_s = SEND_MARGIN_S + MARGIN_FRACTION * objective_s
    latest = now + objective_s - read_s - margin_s
    reads_too_long = latest <= now
    if late or continues:
        until = now + objective_s
    elif reads_too_long:
        until = now + LATE_WAIT_FRACTION * objective_s
    else:
        until = latest
    late = (late or reads_too_long) and not continues
    wait_s = IDLE_WAIT_S if late else COMMIT_FRACTION * objective_s
    bound = StartBound(
        wait_s * RANK_FACTOR**demand.rank,
        on_time=not late and not continues,
        margin_s=margin_s,
    )
    if remaining_s > 0:
        until = min(until, now + remaining_s)
    return StartTimes(latest, late, until, bound)


def excess_wait_s(demand: Demand, choice: Choice, bound: StartBound) -> float:
    """Return by how much the wait at an engine exceeds the bound.

    The objective of `demand` is what is left of it.
    """
    allowed_s = bound.wait_s
    if bound.on_time:
        left_s = demand.objective_s - choice.read_s - bound.margin_s
        allowed_s = min(allowed_s, left_s)
    return choice.wait_s - allowed_s
