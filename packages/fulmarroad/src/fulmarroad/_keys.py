"""At-most-once calls: a group member's records and votes.

An attempt is sent only after a majority of the key's group in the sender's data centre
recorded its start. A repeat first sets a fence at a majority of the key's group in
every data centre. Any two majorities of a group share a member. That member received
either the start first and reports it to the repeat, or the fence first and refuses the
start.
"""

from __future__ import annotations

from collections.abc import Callable, Collection

from fulmarroad._keyrecords import (
    STATE_PRECEDENCE,
    KeyLimits,
    KeyName,
    KeyRecords,
    KeyState,
    Record,
)
from fulmarroad._keyverdict import COPIED, FULL, LONG_AGO, NO_MEMORY, OTHER_GROUP
from fulmarroad._messages import (
    KeyCopyReply,
    KeyCopyRequest,
    KeyEntry,
    KeyFence,
    KeyFinish,
    KeyRecorded,
    KeyStart,
)
from fulmarroad._rendezvous import key_group
from fulmarroad._voting_eligibility import VotingEligibility
from fulmarroad.types import DataCentreName, RouterName

UNKNOWN_AFTER_S = 900.0
"""Age from which a start without an outcome counts as unknown, not in progress.

It is the longest graceful shutdown, which is above every route's timeout.
"""


class KeyStore:
    """Hold one member's records and vote on starts and fences."""

    def __init__(
        self,
        me: RouterName,
        data_centre: DataCentreName,
        limits: KeyLimits,
        *,
        now: float,
        first_fleet: bool = False,
    ) -> None:
        self._me = me
        self._data_centre = data_centre
        self._records = KeyRecords(limits)
        self._eligibility = VotingEligibility(me, limits.retention_s, now)
        self._first_fleet = first_fleet

    def __len__(self) -> int:
        return len(self._records)

    @property
    def vms(self) -> frozenset[RouterName]:
        """Return the VMs of the data centre from which groups are formed."""
        return self._eligibility.vms

    def set_vms(self, vms: Collection[RouterName], now: float) -> None:
        """Adopt the published VMs of this data centre."""
        self._eligibility.set_vms(vms, now)
        if self._first_fleet and vms:
            self._eligibility.assume_no_records()
            self._first_fleet = False

    def start(self, asked: KeyStart, now: float) -> KeyRecorded:
        """Record that an attempt is about to be sent, unless a record forbids it."""
        return self._vote(asked, KeyState.STARTED, _forbids_start, now)

    def fence(self, asked: KeyFence, now: float) -> KeyRecorded:
        """Refuse lower attempts from now on, or return what was recorded before."""
        return self._vote(asked, KeyState.FENCED, _forbids_fence, now)

    def finish(self, asked: KeyFinish, now: float) -> KeyRecorded:
        """Store an attempt's outcome, which needs no vote."""
        self._records.expire(now)
        name = (asked.workspace, asked.key)
        known = self._records.get(name)
        if known is None and not self._records.has_capacity(asked.workspace):
            return KeyRecorded(KeyState.UNABLE.value, reason=FULL)
        if asked.outcome == "not_run":
            record = _after_not_run(known, asked.attempt)
        else:
            record = _after_run(known, asked)
        return self._records.put(name, record, now).to_reply()

    def serve_copy(self, asked: KeyCopyRequest, now: float) -> KeyCopyReply:
        """Return the records of the groups that the asker is also in."""
        self._records.expire(now)
        basis = self._eligibility.basis(now)
        if basis is None or frozenset(asked.vms) != self._eligibility.vms:
            return KeyCopyReply(False)
        rows = self._shared_names(asked)
        page = rows[: asked.limit]
        entries = tuple(self._to_entry(name, now) for name in page)
        last = _cursor(page[-1]) if page else ""
        return KeyCopyReply(
            True, entries, last, len(rows) > len(page), tuple(sorted(basis))
        )

    def merge_copy(
        self,
        router: RouterName,
        vms: Collection[RouterName],
        page: KeyCopyReply,
        now: float,
    ) -> None:
        """Add a page of another member's records; the last page completes the copy."""
        for entry in page.entries:
            self._merge_entry(entry, now)
        if page.ready and not page.more:
            self._eligibility.record_copy(router, vms, frozenset(page.basis))

    def missing_copies(self, now: float) -> list[RouterName]:
        """Return the members whose records are still to be copied."""
        return self._eligibility.missing_copies(now)

    def ready(self, workspace: str, key: str, now: float) -> bool:
        """Return whether this member may vote on a key."""
        return self._eligibility.ready((workspace, key), now)

    def _vote(
        self,
        asked: KeyStart | KeyFence,
        state: KeyState,
        forbids: Callable[[Record, tuple[int, str]], bool],
        now: float,
    ) -> KeyRecorded:
        name = (asked.workspace, asked.key)
        refusal = self._refusal(name, asked.group, now)
        if refusal is not None:
            return refusal
        known = self._records.get(name)
        if known is not None and forbids(known, (asked.fence, asked.attempt)):
            return self._known_reply(known, now)
        record = Record(state, asked.attempt, asked.fence, asked.fingerprint)
        return self._records.put(name, record, now).to_reply()

    def _refusal(
        self, name: KeyName, group: tuple[RouterName, ...], now: float
    ) -> KeyRecorded | None:
        self._records.expire(now)
        reason = ""
        if set(group) != set(key_group(*name, self._eligibility.vms)):
            reason = OTHER_GROUP
        elif not self._eligibility.ready(name, now):
            reason = NO_MEMORY
        elif not self._records.get(name) and not self._records.has_capacity(name[0]):
            reason = FULL
        return KeyRecorded(KeyState.UNABLE.value, reason=reason) if reason else None

    def _known_reply(self, record: Record, now: float) -> KeyRecorded:
        if record.state is not KeyState.STARTED:
            return record.to_reply()
        if now - record.changed >= UNKNOWN_AFTER_S:
            return record.to_reply(LONG_AGO)
        return record.to_reply(COPIED if record.copied else "")

    def _shared_names(self, asked: KeyCopyRequest) -> list[KeyName]:
        names = (name for name, _ in self._records.items())
        later = (name for name in names if _cursor(name) > asked.after)
        vms = self._eligibility.vms
        return sorted(name for name in later if asked.asker in key_group(*name, vms))

    def _to_entry(self, name: KeyName, now: float) -> KeyEntry:
        record = self._records.get(name)
        assert record is not None
        return KeyEntry(*name, now - record.changed, record.to_reply())

    def _merge_entry(self, entry: KeyEntry, now: float) -> None:
        """Keep the record that takes precedence.

        A start recorded by a single other member may be part of a majority.
        """
        name = (entry.workspace, entry.key)
        state = KeyState(entry.record.state)
        known = self._records.get(name)
        if (
            known is not None
            and STATE_PRECEDENCE[known.state] >= STATE_PRECEDENCE[state]
        ):
            return
        reply = entry.record
        record = Record(
            state,
            reply.attempt,
            reply.fence,
            reply.fingerprint,
            reply.status,
            reply.headers,
            reply.body,
            reply.reason != "body_not_kept",
            copied=True,
        )
        self._records.put(name, record, now)


def _forbids_start(known: Record, ballot: tuple[int, str]) -> bool:
    if known.state is KeyState.FENCED:
        return ballot < (known.fence, known.attempt)
    return True


def _forbids_fence(known: Record, ballot: tuple[int, str]) -> bool:
    if known.state is KeyState.FENCED:
        return ballot < (known.fence, known.attempt)
    return True


def _after_not_run(known: Record | None, attempt: str) -> Record:
    """Release a key whose attempt was given up before a byte was sent."""
    if known is None:
        return Record(KeyState.FENCED, "", 1)
    if known.attempt != attempt or known.state is not KeyState.STARTED:
        return known
    # The fence prevents a delayed start message from being recorded again.
    return Record(KeyState.FENCED, "", known.fence + 1, known.fingerprint)


def _after_run(known: Record | None, asked: KeyFinish) -> Record:
    if known is not None and known.state is KeyState.FINISHED:
        return known
    state = KeyState(asked.outcome)
    return Record(
        state,
        asked.attempt,
        known.fence if known else 0,
        asked.fingerprint,
        asked.status,
        asked.headers,
        asked.body,
        asked.whole,
    )


def _cursor(name: KeyName) -> str:
    return f"{name[0]}\0{name[1]}"
