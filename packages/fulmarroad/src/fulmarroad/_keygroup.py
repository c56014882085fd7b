"""At-most-once calls: query the groups of a key and act on their verdict."""

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
    KeyCopyReply,
    KeyCopyRequest,
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
"""Time limit for a group's replies.

It allows for hundreds of round trips and is short compared with a call.
"""

MAX_SEND_DELAY_S = 60.0
"""Time from its verdict within which an attempt must begin to be sent, in seconds.

The group deletes keys after the retention time. A process that was suspended for longer
would otherwise send an attempt that no repeat can detect any more.
"""

RETRY_AFTER_S = 5.0
"""Retry delay for a refused caller: members are replaced in about this time."""

COPY_INTERVAL_S = 1.0
"""Interval between two tries to copy records from members that have not sent them."""

KeyMessage = KeyStart | KeyFence | KeyFinish | KeyCopyRequest
KeyReply = KeyRecorded | KeyCopyReply
AskMember = Callable[[RouterName, Any], Awaitable[Any]]


@frozen
class KeyAttempt:
    """Grant permission to send one attempt, once."""

    workspace: WorkspaceName
    key: str
    attempt: str
    fingerprint: str
    fence: int
    group: tuple[RouterName, ...]
    send_deadline: float  # on this router's clock

    def may_send(self, now: float) -> bool:
        """Return whether it may still be sent; call right before its first byte."""
        return now < self.send_deadline


@frozen
class SendOnce:
    """Send the call once and report its outcome."""

    attempt: KeyAttempt


@frozen
class Replay:
    """Return the stored outcome; if `whole` is false, only its status is known.

    The router then answers that the call finished with this status and that its answer
    was too long to be stored. It does not make up a body that the service never sent.
    """

    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    whole: bool = True


@frozen
class KeyInProgress:
    """Answer that another attempt may be running and that this one was not run."""


@frozen
class KeyOutcomeUnknown:
    """Answer that an attempt was sent and that its outcome is unknown."""


@frozen
class KeyMismatch:
    """Answer that the key was already used with a different request (422)."""


@frozen
class KeyRefusal:
    """Answer that this attempt was not run, and when to retry."""

    reason: RefusalReason
    retry_after_s: float = RETRY_AFTER_S


KeyDecision = (
    SendOnce | Replay | KeyInProgress | KeyOutcomeUnknown | KeyMismatch | KeyRefusal
)


@frozen
class _KeyedCall:
    workspace: WorkspaceName
    key: str
    fingerprint: str
    attempt: str
    fence: int = 0


@frozen
class KeyIdentity:
    """Identify the router that makes attempts, so that every attempt id is unique."""

    router: RouterName
    incarnation: int
    data_centre: DataCentreName


@frozen
class KeyClocks:
    """Hold the clocks: monotonic seconds, and milliseconds since 1970 for fences.

    Fences only have to increase from one repeat to the next; correctness does not
    depend on synchronised clocks.
    """

    now: Callable[[], float]
    wall_ms: Callable[[], int]


class KeyGroups:
    """Query a key's groups before a call is sent, and act as a member of groups.

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
        self._attempt_count = 0

    async def begin(
        self, workspace: WorkspaceName, key: str, fingerprint: str, first_attempt: bool
    ) -> KeyDecision:
        """Decide how to handle a keyed call, right before it would be sent.

        `first_attempt` is the caller's claim that it never sent this key before; a
        caller that makes this claim for a repeat accepts the risk of a double call.
        """
        call = _KeyedCall(workspace, key, fingerprint, self._next_attempt_id())
        if first_attempt:
            return await self._start(call)
        call = evolve(call, fence=self._clocks.wall_ms())
        verdict = await self._fence(call)
        if isinstance(verdict, Superseded):
            call = evolve(call, fence=verdict.fence + 1)
            verdict = await self._fence(call)
        if isinstance(verdict, Fenced):
            # The key is the caller's secret and must not appear in the log.
            emit(logger, Event.KEY_FENCED, workspace=workspace, attempt=call.attempt)
            return await self._start(call)
        return _to_decision(verdict)

    async def finish(
        self,
        attempt: KeyAttempt,
        status: int,
        headers: tuple[tuple[str, str], ...] = (),
        body: bytes = b"",
    ) -> None:
        """Store an attempt's answer for repeats."""
        if answer_size(headers, body) > MAX_BODY_BYTES:
            await self._record_outcome(attempt, "finished", status, whole=False)
            return
        await self._record_outcome(attempt, "finished", status, headers, body)

    async def mark_outcome_unknown(self, attempt: KeyAttempt) -> None:
        """Record that an attempt was sent and that its outcome is unknown."""
        await self._record_outcome(attempt, "unknown", 0)

    async def give_up(self, attempt: KeyAttempt) -> None:
        """Release the key of an attempt of which no byte was or will be sent."""
        await self._record_outcome(attempt, "not_run", 0)

    def handle(self, message: KeyMessage) -> KeyReply:
        """Answer a message as a member of the key's group."""
        now = self._clocks.now()
        local_vms = self._groups().get(self._identity.data_centre, ())
        self._store.set_vms(local_vms, now)
        match message:
            case KeyStart():
                return self._store.start(message, now)
            case KeyFence():
                return self._store.fence(message, now)
            case KeyFinish():
                return self._store.finish(message, now)
            case KeyCopyRequest():
                return self._store.serve_copy(message, now)

    async def run_copying(self) -> None:
        """Copy missing records of this router's groups until cancelled."""
        while True:
            await self.copy_once()
            await anyio.sleep(COPY_INTERVAL_S)

    async def copy_once(self) -> None:
        """Copy the records of each member that has not sent all of them yet."""
        now = self._clocks.now()
        local_vms = self._groups().get(self._identity.data_centre, ())
        self._store.set_vms(local_vms, now)
        missing = self._store.missing_copies(now)
        for router in missing:
            await self._copy_from(router)
        if missing and not self._store.missing_copies(self._clocks.now()):
            emit(logger, Event.KEYS_COPIED, members=len(missing))

    async def _copy_from(self, router: RouterName) -> None:
        vms = tuple(sorted(self._store.vms))
        after = ""
        while True:
            centre, own_name = self._identity.data_centre, self._identity.router
            request = KeyCopyRequest(centre, after, asker=own_name, vms=vms)
            page = await self._request_reply(router, request)
            if not isinstance(page, KeyCopyReply) or not page.ready:
                return
            self._store.merge_copy(router, vms, page, self._clocks.now())
            if not page.more:
                return
            after = page.last

    async def _start(self, call: _KeyedCall) -> KeyDecision:
        group = self._group_of(self._identity.data_centre, call)
        message = KeyStart(
            call.workspace, call.key, call.attempt, call.fingerprint, call.fence, group
        )

        def evaluate(replies: list[KeyRecorded]) -> Verdict:
            return decide_start(replies, len(group), call.attempt, call.fingerprint)

        replies: list[KeyRecorded] = []
        attempt = self._create_attempt(call, group)
        try:
            await self._gather(
                dict.fromkeys(group, message),
                lambda _, reply: replies.append(reply),
                lambda: isinstance(evaluate(replies), Started),
            )
        except anyio.get_cancelled_exc_class():
            await self.give_up(attempt)  # or a disconnected caller's key stays blocked
            raise
        verdict = evaluate(replies)
        if isinstance(verdict, Started):
            return SendOnce(attempt)
        await self.give_up(attempt)
        return _to_decision(verdict)

    async def _fence(self, call: _KeyedCall) -> Verdict:
        groups = {centre: self._group_of(centre, call) for centre in self._groups()}
        groups = {centre: group for centre, group in groups.items() if group}
        sizes = {centre: len(group) for centre, group in groups.items()}
        centre_of = {
            name: centre for centre, members in groups.items() for name in members
        }
        replies: dict[DataCentreName, list[KeyRecorded]] = {c: [] for c in groups}

        def evaluate() -> Verdict:
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
            lambda: isinstance(evaluate(), Fenced | Finished),
        )
        return evaluate() if groups else Unverifiable()

    async def _record_outcome(
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
        on_reply: Callable[[RouterName, KeyRecorded], None],
        is_decided: Callable[[], bool],
    ) -> None:
        """Ask all routers at once; return once decided or after the timeout."""
        with anyio.move_on_after(ASK_TIMEOUT_S) as scope:
            async with anyio.create_task_group() as group:

                async def ask_member(name: RouterName, message: KeyMessage) -> None:
                    reply = await self._request_reply(name, message)
                    if isinstance(reply, KeyRecorded):
                        on_reply(name, reply)
                        if is_decided():
                            scope.cancel()

                for name, message in messages.items():
                    group.start_soon(ask_member, name, message)

    async def _request_reply(self, router: RouterName, message: KeyMessage) -> Any:
        if router == self._identity.router:
            return self.handle(message)
        try:
            return await self._ask(router, message)
        except TransportError:
            return None

    def _group_of(
        self, centre: DataCentreName, call: _KeyedCall
    ) -> tuple[RouterName, ...]:
        return key_group(call.workspace, call.key, self._groups().get(centre, ()))

    def _create_attempt(
        self, call: _KeyedCall, group: tuple[RouterName, ...]
    ) -> KeyAttempt:
        return KeyAttempt(
            call.workspace,
            call.key,
            call.attempt,
            call.fingerprint,
            call.fence,
            group,
            self._clocks.now() + MAX_SEND_DELAY_S,
        )

    def _next_attempt_id(self) -> str:
        self._attempt_count += 1
        identity = self._identity
        return f"{identity.router}/{identity.incarnation}/{self._attempt_count}"


def _to_decision(verdict: Verdict) -> KeyDecision:
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
            # A higher fence belongs to another repeat, which may be about to be sent.
            return KeyInProgress()
