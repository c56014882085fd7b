"""Coordinate calls that may not be repeated: ask groups, act on their verdict."""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable, Collection, Mapping
from typing import Any

import anyio
from attrs import evolve, frozen

from fulmarroad._keyrecords import MAX_BODY_BYTES, answer_size
from fulmarroad._keys import KeyStore
from fulmarroad._keyverdict import (
    Fenced,
    Finished,
    Full,
    Mismatch,
    Started,
    Superseded,
    Unknown,
    Unverifiable,
    Verdict,
    decide_fence,
    decide_start,
)
from fulmarroad._messages import (
    KeyCopyGiven,
    KeyCopyWanted,
    KeyFence,
    KeyFinish,
    KeyRecorded,
    KeyStart,
)
from fulmarroad._rendezvous import key_group
from fulmarroad.events import Event, emit
from fulmarroad.exceptions import TransportError
from fulmarroad.types import DataCentreName, RefusalReason, RouterName, WorkspaceName

logger = logging.getLogger("fulmarroad.keys")

ASK_TIMEOUT_S = 1.0
"""Wait for a group's replies: hundreds of round trips, and short beside a call."""

SEND_WITHIN_S = 60.0
"""An attempt must begin to be sent within this time of its verdict, in seconds.

The group forgets keys after the retention time; a process that slept through it would
send an attempt that no repeat can see any more.
"""

RETRY_AFTER_S = 5.0
"""When a refused caller should ask again: members are replaced in about this time."""

COPY_EVERY_S = 1.0
"""Time between two tries to copy records from members that have not given them."""

KeyMessage = KeyStart | KeyFence | KeyFinish | KeyCopyWanted
KeyReply = KeyRecorded | KeyCopyGiven
AskMember = Callable[[RouterName, Any], Awaitable[Any]]


@frozen
class KeyAttempt:
    """Hold the permission to send one attempt once."""

    workspace: WorkspaceName
    key: str
    attempt: str
    fingerprint: str
    fence: int
    group: tuple[RouterName, ...]
    send_before: float  # on this router's clock

    def may_send(self, now: float) -> bool:
        """Tell whether it may still be sent; ask right before its first byte."""
        return now < self.send_before


@frozen
class SendOnce:
    """Send the call, once, and report how it ended."""

    attempt: KeyAttempt


@frozen
class Replay:
    """Give the stored outcome; if not `whole`, only its status is known.

    The router then answers that the call finished with this status and that its answer
    was too long to be kept, and not with a body that the service never gave.
    """

    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    whole: bool = True


@frozen
class KeyInProgress:
    """Answer that another attempt may be running; this one was not run."""


@frozen
class KeyOutcomeUnknown:
    """Answer that an attempt was sent and that nobody knows how it ended."""


@frozen
class KeyMismatch:
    """Answer that the key came before with another request (422)."""


@frozen
class KeyRefusal:
    """Answer that this attempt was not run, and when to ask again."""

    reason: RefusalReason
    retry_after_s: float = RETRY_AFTER_S


KeyDecision = (
    SendOnce | Replay | KeyInProgress | KeyOutcomeUnknown | KeyMismatch | KeyRefusal
)


@frozen
class _Call:
    workspace: WorkspaceName
    key: str
    fingerprint: str
    attempt: str
    fence: int = 0


@frozen
class KeyIdentity:
    """Say whose attempts these are, so that no two ever have the same name."""

    router: RouterName
    incarnation: int
    data_centre: DataCentreName


@frozen
class KeyClocks:
    """Hold the clocks: monotonic seconds, and milliseconds since 1970 for fences.

    Fences only have to grow from one repeat to the next; no promise rests on the
    routers' clocks agreeing.
    """

    now: Callable[[], float]
    wall_ms: Callable[[], int]


class KeyGroups:
    """Ask the groups of a key before a call is sent, and serve as a member of others.

    `groups` returns the published VMs of each data centre. `ask` sends one message to a
    router and returns its reply, or raises `TransportError`.
    """

    def __init__(
        self,
        identity: KeyIdentity,
        store: KeyStore,
        ask: AskMember,
        groups: Callable[[], Mapping[DataCentreName, Collection[RouterName]]],
        clocks: KeyClocks,
    ) -> None:
        self._identity = identity
        self._store = store
        self._ask = ask
        self._groups = groups
        self._clocks = clocks
        self._attempts = 0

    async def begin(
        self, workspace: WorkspaceName, key: str, fingerprint: str, first_attempt: bool
    ) -> KeyDecision:
        """Decide what to do with a keyed call, right before it would be sent.

        `first_attempt` is the caller's own word that it never sent this key before; a
        caller that says so of a repeat takes the risk of a double call on itself.
        """
        call = _Call(workspace, key, fingerprint, self._new_attempt())
        if first_attempt:
            return await self._start(call)
        call = evolve(call, fence=self._clocks.wall_ms())
        verdict = await self._fence(call)
        if isinstance(verdict, Superseded):
            call = evolve(call, fence=verdict.fence + 1)
            verdict = await self._fence(call)
        if isinstance(verdict, Fenced):
            # The key itself is the caller's secret and stays out of the log.
            emit(logger, Event.KEY_FENCED, workspace=workspace, attempt=call.attempt)
            return await self._start(call)
        return _decision(verdict)

    async def finish(
        self,
        attempt: KeyAttempt,
        status: int,
        headers: tuple[tuple[str, str], ...] = (),
        body: bytes = b"",
    ) -> None:
        """Keep an attempt's answer for repeats."""
        if answer_size(headers, body) > MAX_BODY_BYTES:
            await self._end(attempt, "finished", status, whole=False)
            return
        await self._end(attempt, "finished", status, headers, body)

    async def mark_outcome_unknown(self, attempt: KeyAttempt) -> None:
        """Keep that an attempt was sent and that its outcome is not known."""
        await self._end(attempt, "unknown", 0)

    async def give_up(self, attempt: KeyAttempt) -> None:
        """Free the key of an attempt of which no byte was or will be sent."""
        await self._end(attempt, "not_run", 0)

    def handle(self, message: KeyMessage) -> KeyReply:
        """Answer as a member of a group."""
        now = self._clocks.now()
        own = self._groups().get(self._identity.data_centre, ())
        self._store.set_vms(own, now)
        match message:
            case KeyStart():
                return self._store.start(message, now)
            case KeyFence():
                return self._store.fence(message, now)
            case KeyFinish():
                return self._store.finish(message, now)
            case KeyCopyWanted():
                return self._store.serve_copy(message, now)

    async def run_copying(self) -> None:
        """Copy the records of the groups that this router has no memory of."""
        while True:
            await self.copy_once()
            await anyio.sleep(COPY_EVERY_S)

    async def copy_once(self) -> None:
        """Try each member that has not yet given its records."""
        now = self._clocks.now()
        own = self._groups().get(self._identity.data_centre, ())
        self._store.set_vms(own, now)
        wanted = self._store.missing_copies(now)
        for router in wanted:
            await self._copy_from(router)
        if wanted and not self._store.missing_copies(self._clocks.now()):
            emit(logger, Event.KEYS_COPIED, members=len(wanted))

    async def _copy_from(self, router: RouterName) -> None:
        vms = tuple(sorted(self._store.vms))
        after = ""
        while True:
            centre, me = self._identity.data_centre, self._identity.router
            wanted = KeyCopyWanted(centre, after, asker=me, vms=vms)
            given = await self._reply(router, wanted)
            if not isinstance(given, KeyCopyGiven) or not given.ready:
                return
            self._store.merge_copy(router, vms, given, self._clocks.now())
            if not given.more:
                return
            after = given.last

    async def _start(self, call: _Call) -> KeyDecision:
        group = self._group(self._identity.data_centre, call)
        message = KeyStart(
            call.workspace, call.key, call.attempt, call.fingerprint, call.fence, group
        )

        def judge(replies: list[KeyRecorded]) -> Verdict:
            return decide_start(replies, len(group), call.attempt, call.fingerprint)

        replies: list[KeyRecorded] = []
        attempt = self._attempt(call, group)
        try:
            await self._gather(
                dict.fromkeys(group, message),
                lambda _, reply: replies.append(reply),
                lambda: isinstance(judge(replies), Started),
            )
        except anyio.get_cancelled_exc_class():
            await self.give_up(attempt)  # or a caller that left leaves its key blocked
            raise
        verdict = judge(replies)
        if isinstance(verdict, Started):
            return SendOnce(attempt)
        await self.give_up(attempt)
        return _decision(verdict)

    async def _fence(self, call: _Call) -> Verdict:
        groups = {centre: self._group(centre, call) for centre in self._groups()}
        groups = {centre: group for centre, group in groups.items() if group}
        sizes = {centre: len(group) for centre, group in groups.items()}
        centre_of = {name: centre for centre, row in groups.items() for name in row}
        replies: dict[DataCentreName, list[KeyRecorded]] = {c: [] for c in groups}

        def judge() -> Verdict:
            ballot = (call.fence, call.attempt)
            return decide_fence(replies, sizes, ballot, call.fingerprint)

        await self._gather(
            {
                name: KeyFence(
                    call.workspace,
                    call.key,
                    call.fence,
                    call.fingerprint,
                    call.attempt,
                    groups[centre],
                )
                for name, centre in centre_of.items()
            },
            lambda name, reply: replies[centre_of[name]].append(reply),
            lambda: isinstance(judge(), Fenced | Finished),
        )
        return judge() if groups else Unverifiable()

    async def _end(
        self,
        attempt: KeyAttempt,
        outcome: str,
        status: int,
        headers: tuple[tuple[str, str], ...] = (),
        body: bytes = b"",
        *,
        whole: bool = True,
    ) -> None:
        message = KeyFinish(
            attempt.workspace,
            attempt.key,
            attempt.attempt,
            status,
            headers,
            body,
            outcome,
            attempt.fingerprint,
            whole,
        )
        with anyio.CancelScope(shield=True):
            await self._gather(
                dict.fromkeys(attempt.group, message),
                lambda name, reply: None,
                lambda: False,
            )

    async def _gather(
        self,
        messages: Mapping[RouterName, KeyMessage],
        take: Callable[[RouterName, KeyRecorded], None],
        enough: Callable[[], bool],
    ) -> None:
        """Ask all at once; return when enough is known or the time is over."""
        with anyio.move_on_after(ASK_TIMEOUT_S) as scope:
            async with anyio.create_task_group() as group:

                async def one(name: RouterName, message: KeyMessage) -> None:
                    reply = await self._reply(name, message)
                    if isinstance(reply, KeyRecorded):
                        take(name, reply)
                        if enough():
                            scope.cancel()

                for name, message in messages.items():
                    group.start_soon(one, name, message)

    async def _reply(self, router: RouterName, message: KeyMessage) -> Any:
        if router == self._identity.router:
            return self.handle(message)
        try:
            return await self._ask(router, message)
        except TransportError:
            return None

    def _group(self, centre: DataCentreName, call: _Call) -> tuple[RouterName, ...]:
        return key_group(call.workspace, call.key, self._groups().get(centre, ()))

    def _attempt(self, call: _Call, group: tuple[RouterName, ...]) -> KeyAttempt:
        return KeyAttempt(
            call.workspace,
            call.key,
            call.attempt,
            call.fingerprint,
            call.fence,
            group,
            self._clocks.now() + SEND_WITHIN_S,
        )

    def _new_attempt(self) -> str:
        self._attempts += 1
        row = self._identity
        return f"{row.router}/{row.incarnation}/{self._attempts}"


def _decision(verdict: Verdict) -> KeyDecision:
    match verdict:
        case Finished(record):
            whole = record.reason != "body_not_kept"
            return Replay(record.status, record.headers, record.body, whole)
        case Unknown():
            return KeyOutcomeUnknown()
        case Mismatch():
            return KeyMismatch()
        case Full():
            return KeyRefusal(RefusalReason.KEYS_FULL)
        case Unverifiable():
            return KeyRefusal(RefusalReason.KEY_UNVERIFIABLE)
        case _:
            # A higher fence is another repeat's, which may be about to be sent.
            return KeyInProgress()
