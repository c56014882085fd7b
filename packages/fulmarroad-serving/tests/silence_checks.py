"""What must hold of a fleet whose servers fall silent, whatever else happens."""

import itertools
import math
from bisect import bisect_right
from collections import Counter, defaultdict

from silence_fleet import (
    DEADLINES_S,
    PAUSING_STREAM,
    REFUSALS,
    TIMEOUT_STATUS,
    Outcome,
    outcome_of,
)

MAX_TWO_AT_WORK_S = 0.4
DEADLINE_MARGIN_S = 0.05
MIN_SETTLED = 0.95
ODD_LOSSES = 2
"""Unsettled calls that prove nothing: one series disturbs about twenty."""

MIN_WHOLE = 0.93


def faults(fleet):
    """Return what broke a bound, one line each."""
    return [
        *lost_calls(fleet),
        *refused_services(fleet),
        *early_timeouts(fleet),
        *cut_runs(fleet),
        *doubled_runs(fleet),
        *excess_retries(fleet),
        *left_behind(fleet),
    ]


def lost_calls(fleet):
    """Yield calls without an answer or a refusal, which a server could have answered.

    Most of those whose server or router ended must be settled.
    """
    judged = [caller for caller in fleet.callers if not caller.left_early]
    disturbed = [caller for caller in judged if is_disturbed(fleet, caller)]
    for caller in judged:
        if caller not in disturbed and outcome_of(caller) is Outcome.NOTHING:
            yield f"lost: {trace(fleet, caller)}"
    disturbed = [caller for caller in disturbed if has_attempts_left(fleet, caller)]
    unsettled = [caller for caller in disturbed if not is_settled(caller)]
    allowed = max(ODD_LOSSES, (1 - MIN_SETTLED) * len(disturbed))
    if fleet.has_ample_places and len(unsettled) > allowed:
        yield f"{len(unsettled)} of {len(disturbed)} disturbed calls unsettled"
        yield from (f"unsettled: {trace(fleet, caller)}" for caller in unsettled)


def refused_services(fleet):
    """Yield services with places enough that don't answer most undisturbed calls."""
    if not fleet.has_ample_places:
        return
    for service in DEADLINES_S:
        found = Counter(
            outcome_of(caller)
            for caller in fleet.callers
            if caller.service == service
            and not caller.left_early
            and not is_disturbed(fleet, caller)
        )
        if found[Outcome.WHOLE] < MIN_WHOLE * found.total():
            yield f"{service}: {dict(found)}"


def early_timeouts(fleet):
    """Yield calls whose router gave them up with time left."""
    for caller in fleet.callers:
        ended_at = caller.deadline - DEADLINE_MARGIN_S
        attempt = caller.tries[-1]
        is_early = attempt.status == TIMEOUT_STATUS and attempt.answered_at < ended_at
        if is_early and not is_disturbed(fleet, caller):
            yield f"timed out early: {trace(fleet, caller)}"


def cut_runs(fleet):
    """Yield runs that a router ended although their engine would have gone on."""
    for run in fleet.cut_runs:
        caller, _ = fleet.call_of(run.request_id)
        yield f"cut at {run.ended_at:.2f}: {trace(fleet, caller)}"


def doubled_runs(fleet):
    """Yield calls that were at work at two engines at once."""
    runs_by_caller = defaultdict(list)
    for runs in fleet.runs.values():
        for run in runs:
            runs_by_caller[fleet.call_of(run.request_id)[0].number].append(run)
    for number, runs in runs_by_caller.items():
        for one, other in itertools.combinations(runs, 2):
            began_at, ended_at = max(one.at, other.at), works_until(one, other)
            if ended_at - began_at > MAX_TWO_AT_WORK_S:
                yield f"at two engines: {trace(fleet, fleet.callers[number])}"


def works_until(*runs):
    return min(run.works_until for run in runs)


def excess_retries(fleet):
    """Yield the windows in which all routers sent more retries than the budget has."""
    bounds = fleet.bounds
    requests, retries = defaultdict(list), defaultdict(list)
    for caller in fleet.callers:
        requests[caller.service] += [row.at for row in caller.tries]
    for runs in fleet.runs.values():
        for run in runs[1:]:
            retries[run.engine.service].append(run.at)
    for service, times in retries.items():
        asked = sorted(requests[service])
        for at in times:
            since = at - bounds.retry_window_s
            sent = sum(since < other <= at for other in times)
            count = bisect_right(asked, at) - bisect_right(asked, since)
            allowed = bounds.retry_ratio * count + bounds.retry_burst
            if sent > allowed:
                yield f"{sent} retries of {service} at {at:.2f}, allowed {allowed:.1f}"


def left_behind(fleet):
    """Yield what is still in use although all calls have ended."""
    for router in fleet.routers.values():
        counts = {
            "grants": len(router.granter._granted),
            "requests": len(router.client._pending),
            "tickets": sum(map(len, router.client._granted._tickets.values())),
            "connections": sum(
                pool.open - len(pool.idle)
                for pool in router.pool._server_pools.values()
            ),
            "waiting": sum(
                view.activity.waiting
                for view in router.dispatcher.servers._views.values()
            ),
            "load": sum(
                view.load.running for view in router.dispatcher.servers._views.values()
            ),
        }
        if any(counts.values()):
            yield f"{router.name} still holds {counts}"
    for runs in fleet.runs.values():
        for run in runs:
            if math.isinf(run.works_until):
                yield f"still at work: {run.request_id} at {run.engine.name}"


def is_disturbed(fleet, caller):
    """Return whether a server or router of a call ended, or an answer got stuck."""
    return caller.lost_router or any(not run.is_sound for run in runs_of(fleet, caller))


def has_attempts_left(fleet, caller):
    """Return whether not all sends that a call may make were lost with a server."""
    lost = [run for run in runs_of(fleet, caller) if not run.is_sound]
    return len(lost) < PAUSING_STREAM.max_attempts


def is_settled(caller):
    return outcome_of(caller) is Outcome.WHOLE or caller.tries[-1].status in REFUSALS


def runs_of(fleet, caller):
    ids = (f"c-{caller.number}-{attempt}" for attempt in range(len(caller.tries)))
    return [run for request_id in ids for run in fleet.runs.get(request_id, ())]


def trace(fleet, caller):
    """Return what happened to a call, for the message of a failed test."""
    tries = [
        f"{row.router} {row.at:.2f} status {row.status} {row.code} got {row.got}"
        f"{' left' if row.left else ''}"
        for row in caller.tries
    ]
    runs = [
        f"{run.engine.name} {run.at:.2f}-{run.ended_at:.2f} lost {run.lost_at:.2f}"
        f" stuck {run.stuck_after} slot {run.has_slot}"
        for run in runs_of(fleet, caller)
    ]
    engines = {run.engine.name: run.engine for run in runs_of(fleet, caller)}
    history = [f"{name}: {'; '.join(row.history)}" for name, row in engines.items()]
    lines = [
        line
        for attempt in range(len(caller.tries))
        for line in fleet.log.lines.get(f"c-{caller.number}-{attempt}", ())
    ]
    return "\n    ".join([f"call {caller.number}", *tries, *runs, *history, *lines])
