"""What the replies of a key's groups mean."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from attrs import frozen

from fulmarroad._keymemory import majority
from fulmarroad._keyrecords import KeyState
from fulmarroad._messages import KeyRecorded
from fulmarroad.types import DataCentreName

NO_MEMORY, OTHER_GROUP, FULL = "no_memory", "other_group", "full"
COPIED, LONG_AGO = "copied", "long_ago"


@frozen
class Started:
    """The attempt may be sent: no repeat can get past its record."""


@frozen
class Fenced:
    """No other attempt was or will be sent below the fence."""


@frozen
class Finished:
    """An attempt ended; its outcome is kept."""

    record: KeyRecorded


@frozen
class InProgress:
    """Another attempt was, or may be, about to be sent."""


@frozen
class Unknown:
    """An attempt was sent, or may have been, and its outcome is not known."""


@frozen
class Superseded:
    """Another repeat holds a higher fence."""

    fence: int


@frozen
class Full:
    """The group has no room for another key."""


@frozen
class Mismatch:
    """The key came before with another request."""


@frozen
class Unverifiable:
    """Too few members answered, or too few remember."""


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
    """Tell what a group's replies to a start mean.

    A copied record is no vote: the member that made it may have voted for another
    attempt before it lost its memory.
    """
    fact = _fact(replies, fingerprint)
    if fact is not None:
        return fact
    votes = [
        reply
        for reply in replies
        if _is(reply, KeyState.STARTED)
        and reply.attempt == attempt
        and reply.reason != COPIED
    ]
    if len(votes) >= majority(size):
        return Started()
    return _obstacle(replies, attempt)


def decide_fence(
    replies: Mapping[DataCentreName, Sequence[KeyRecorded]],
    sizes: Mapping[DataCentreName, int],
    ballot: tuple[int, str],
    fingerprint: str,
) -> Verdict:
    """Tell what the replies of all data centres' groups to a fence mean.

    A majority fenced is enough, also where a start is seen beside it: that start can't
    have a majority any more, so that its attempt was not and will not be sent.
    """
    everything = [reply for rows in replies.values() for reply in rows]
    fact = _fact(everything, fingerprint)
    if fact is not None:
        return fact
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
        if _is(reply, KeyState.FENCED) and (reply.fence, reply.attempt) == ballot
    ]
    if size and len(fenced) >= majority(size):
        return Fenced()
    return _obstacle(replies, ballot[1])


def _fact(replies: Sequence[KeyRecorded], fingerprint: str) -> Verdict | None:
    run = (KeyState.STARTED, KeyState.UNKNOWN, KeyState.FINISHED)
    for reply in replies:
        known = any(_is(reply, state) for state in run) and reply.fingerprint
        if known and reply.fingerprint != fingerprint:
            return Mismatch()
    for reply in replies:
        if _is(reply, KeyState.FINISHED):
            return Finished(reply)
    if any(_is(reply, KeyState.UNKNOWN) for reply in replies):
        return Unknown()
    return None


def _obstacle(replies: Sequence[KeyRecorded], attempt: str) -> Verdict:
    others = [
        reply
        for reply in replies
        if _is(reply, KeyState.STARTED) and reply.attempt != attempt
    ]
    if any(reply.reason == LONG_AGO for reply in others):
        return Unknown()
    if others:
        return InProgress()
    fences = [
        reply.fence
        for reply in replies
        if _is(reply, KeyState.FENCED) and reply.attempt != attempt
    ]
    if fences:
        return Superseded(max(fences))
    if any(reply.reason == FULL for reply in replies):
        return Full()
    return Unverifiable()


def _is(reply: KeyRecorded, state: KeyState) -> bool:
    return reply.state == state.value
