"""Verdicts on a keyed call, derived from the replies of the key's groups."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from attrs import frozen

from fulmarroad._keyrecords import KeyState
from fulmarroad._messages import KeyRecorded
from fulmarroad._voting_eligibility import majority
from fulmarroad.types import DataCentreName

NO_MEMORY, OTHER_GROUP, FULL = "no_memory", "other_group", "full"
COPIED, LONG_AGO = "copied", "long_ago"


@frozen
class Started:
    """Allow the attempt to be sent: every repeat will find its record."""


@frozen
class Fenced:
    """Report that no other attempt was or will be sent below the fence."""


@frozen
class Finished:
    """Report that an attempt ended, with its stored outcome."""

    record: KeyRecorded


@frozen
class InProgress:
    """Report that another attempt was, or may be, about to be sent."""


@frozen
class Unknown:
    """Report that an attempt was or may have been sent, with an unknown outcome."""


@frozen
class Superseded:
    """Report that another repeat holds a higher fence."""

    fence: int


@frozen
class Full:
    """Report that the group has no capacity for another key."""


@frozen
class Mismatch:
    """Report that the key was already used with a different request."""


@frozen
class Unverifiable:
    """Report that too few members answered, or too few have their records."""


Verdict = (
    Started
    | Fenced
    | Finished
    | InProgress
    | Unknown
    | Superseded
    | Full
    | Mismatch
    | Unverifiable
)


def decide_start(
    replies: Sequence[KeyRecorded], size: int, attempt: str, fingerprint: str
) -> Verdict:
    """Return the verdict on a group's replies to a start.

    A copied record is no vote: the member that copied it may have voted for another
    attempt before it lost its records.
    """
    conclusive = _conclusive_verdict(replies, fingerprint)
    if conclusive is not None:
        return conclusive
    votes = [
        reply
        for reply in replies
        if _has_state(reply, KeyState.STARTED)
        and reply.attempt == attempt
        and reply.reason != COPIED
    ]
    if len(votes) >= majority(size):
        return Started()
    return _blocking_verdict(replies, attempt)


def decide_fence(
    replies: Mapping[DataCentreName, Sequence[KeyRecorded]],
    sizes: Mapping[DataCentreName, int],
    ballot: tuple[int, str],
    fingerprint: str,
) -> Verdict:
    """Return the verdict on the replies of all data centres' groups to a fence.

    A majority that set the fence is enough, even if another member reports a start:
    that start can't reach a majority any more, so its attempt was not and will not be
    sent.
    """
    all_replies = [reply for rows in replies.values() for reply in rows]
    conclusive = _conclusive_verdict(all_replies, fingerprint)
    if conclusive is not None:
        return conclusive
    verdicts = [
        _centre_verdict(replies.get(centre, ()), size, ballot)
        for centre, size in sizes.items()
    ]
    for kind in (InProgress, Unknown, Superseded, Full, Unverifiable):
        for verdict in verdicts:
            if isinstance(verdict, kind):
                return verdict
    return Fenced()


def _centre_verdict(
    replies: Sequence[KeyRecorded], size: int, ballot: tuple[int, str]
) -> Verdict:
    fenced = [
        reply
        for reply in replies
        if _has_state(reply, KeyState.FENCED) and (reply.fence, reply.attempt) == ballot
    ]
    if size and len(fenced) >= majority(size):
        return Fenced()
    return _blocking_verdict(replies, ballot[1])


def _conclusive_verdict(
    replies: Sequence[KeyRecorded], fingerprint: str
) -> Verdict | None:
    run = (KeyState.STARTED, KeyState.UNKNOWN, KeyState.FINISHED)
    for reply in replies:
        known = any(_has_state(reply, state) for state in run) and reply.fingerprint
        if known and reply.fingerprint != fingerprint:
            return Mismatch()
    for reply in replies:
        if _has_state(reply, KeyState.FINISHED):
            return Finished(reply)
    if any(_has_state(reply, KeyState.UNKNOWN) for reply in replies):
        return Unknown()
    return None


def _blocking_verdict(replies: Sequence[KeyRecorded], attempt: str) -> Verdict:
    other_starts = [
        reply
        for reply in replies
        if _has_state(reply, KeyState.STARTED) and reply.attempt != attempt
    ]
    if any(reply.reason == LONG_AGO for reply in other_starts):
        return Unknown()
    if other_starts:
        return InProgress()
    fences = [
        reply.fence
        for reply in replies
        if _has_state(reply, KeyState.FENCED) and reply.attempt != attempt
    ]
    if fences:
        return Superseded(max(fences))
    if any(reply.reason == FULL for reply in replies):
        return Full()
    return Unverifiable()


def _has_state(reply: KeyRecorded, state: KeyState) -> bool:
    return reply.state == state.value
